package proxy

import (
	"errors"
	"slices"
	"sync"
	"time"

	"lentilwind.dev/lentilwind/database"
	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/forward"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/statement"
)

// Times and sizes of pools.
const (
	// connectTimeout bounds the opening of a connection; databases need about 12 ms.
	connectTimeout = 700 * time.Millisecond
	// fullPause is how long a pool opens no further connection after the database refused one for its limit.
	fullPause = 100 * time.Millisecond
	// downPause is the time between attempts to reach a server that did not answer.
	downPause = 250 * time.Millisecond
	// idleLimit is how long an unused connection is kept.
	idleLimit = 20 * time.Second
)

// Failures of acquiring a connection; nothing was sent to the server.
var (
	errNoConnection = errors.New("proxy: no connection in time")
	errDown         = errors.New("proxy: the server does not answer")
	errGone         = errors.New("proxy: another server answers at the address")
)

// link is one pooled connection with the session state that it carries.
type link struct {
	backend   database.Backend
	pool      *pool
	workspace inventory.WorkspaceName
	values    map[string]string
	prepared  map[forward.Shape]string
	used      time.Time
	broken    bool
}

// pool holds this entry's connections to one database.
type pool struct {
	server    fleet.Server
	connector database.Connector
	now       func() time.Time

	mu      sync.Mutex
	limit   int
	open    int
	idle    []*link
	waiting []*waiter
	closed  bool
	// fullUntil and downUntil hold attempts to connect back.
	fullUntil time.Time
	downUntil time.Time
	gone      bool
	// lastOK and failingSince tell how the server has answered lately.
	lastOK       time.Time
	failingSince time.Time
	// laggingUntil marks a replica that lacked a needed position.
	laggingUntil time.Time
	busyUntil    time.Time
	running      int
	// remote is how busy the server was at its home, as of the last answer from there.
	remote   int
	remoteAt time.Time
	sent     int
}

// waiter waits for a connection or for the room to open one.
type waiter struct {
	workspace inventory.WorkspaceName
	priority  int
	// given receives a link, or nil as the right to open one.
	given chan *link
}

func newPool(server fleet.Server, connector database.Connector, now func() time.Time, limit int) *pool {
	return &pool{server: server, connector: connector, now: now, limit: limit}
}

// acquire returns a connection for a workspace, within a timeout.
func (p *pool) acquire(workspace inventory.WorkspaceName, values map[string]string, priority int, timeout time.Duration) (*link, error) {
	end := p.now().Add(timeout)
	for {
		l, wait, err := p.take(workspace, values, priority)
		if err != nil {
			return nil, err
		}
		if wait != nil {
			if l, err = p.await(wait, end.Sub(p.now())); err != nil {
				return nil, err
			}
		}
		if l == nil && p.abandoned() {
			return nil, errGone
		}
		if l == nil {
			return p.connect(workspace, min(end.Sub(p.now()), connectTimeout))
		}
		if l.backend.Alive() {
			return l, nil
		}
		p.discard(l)
		if p.now().After(end) {
			return nil, errNoConnection
		}
	}
}

// take returns an idle connection, nothing at all as the right to open one, or a waiter.
func (p *pool) take(workspace inventory.WorkspaceName, values map[string]string, priority int) (*link, *waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if l := p.pick(workspace, values); l != nil {
		p.running++
		return l, nil, nil
	}
	if p.gone || p.closed {
		return nil, nil, errGone
	}
	if now.Before(p.downUntil) {
		return nil, nil, errDown
	}
	if p.open < p.limit && !now.Before(p.fullUntil) {
		p.open++
		p.running++
		return nil, nil, nil
	}
	if len(p.idle) > 0 {
		oldest := p.idle[0]
		p.idle = p.idle[1:]
		oldest.backend.Close()
		p.running++
		return nil, nil, nil
	}
	if p.open == 0 {
		return nil, nil, errNoConnection
	}
	w := &waiter{workspace: workspace, priority: priority, given: make(chan *link, 1)}
	at := len(p.waiting)
	for at > 0 && p.waiting[at-1].priority > priority {
		at--
	}
	p.waiting = slices.Insert(p.waiting, at, w)
	return nil, w, nil
}

// pick takes the idle connection of a workspace that needs the least to be made fit, the last used one first.
func (p *pool) pick(workspace inventory.WorkspaceName, values map[string]string) *link {
	best := -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		l := p.idle[i]
		if l.workspace != workspace {
			continue
		}
		if sameValues(l.values, values) {
			best = i
			break
		}
		if best < 0 {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	l := p.idle[best]
	p.idle = append(p.idle[:best], p.idle[best+1:]...)
	return l
}

func (p *pool) await(w *waiter, timeout time.Duration) (*link, error) {
	clock := time.NewTimer(timeout)
	defer clock.Stop()
	select {
	case l := <-w.given:
		return l, nil
	case <-clock.C:
	}
	p.mu.Lock()
	for i, other := range p.waiting {
		if other == w {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			break
		}
	}
	p.mu.Unlock()
	select {
	case l := <-w.given:
		return l, nil
	default:
		return nil, errNoConnection
	}
}

// connect opens a connection whose room was taken before.
func (p *pool) connect(workspace inventory.WorkspaceName, timeout time.Duration) (*link, error) {
	target := database.Target{Address: p.server.Address, Service: p.server.Service, Server: p.server.Name, Workspace: workspace}
	backend, answer, err := p.connector.Connect(target, timeout)
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && answer.Outcome == statement.Done {
		p.noteSuccess(now)
		return &link{backend: backend, pool: p, workspace: workspace, used: now}, nil
	}
	p.giveUp()
	if err != nil {
		p.noteFailure(now)
		if timeout >= connectTimeout/2 {
			p.downUntil = now.Add(downPause)
		}
		return nil, errDown
	}
	switch answer.Outcome {
	case statement.WrongServer:
		p.gone = true
		return nil, errGone
	default:
		p.fullUntil = now.Add(fullPause)
		return nil, errNoConnection
	}
}

func (p *pool) noteSuccess(now time.Time) {
	p.lastOK, p.failingSince, p.downUntil = now, time.Time{}, time.Time{}
}

func (p *pool) noteFailure(now time.Time) {
	if p.failingSince.IsZero() {
		p.failingSince = now
	}
}

// abandoned gives the room for a connection back if the pool was closed meanwhile.
func (p *pool) abandoned() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		p.giveUp()
	}
	return p.closed
}

// giveUp returns the room of a connection and lets the next one in line open another.
func (p *pool) giveUp() {
	p.running--
	if len(p.waiting) > 0 && !p.gone && !p.closed {
		w := p.waiting[0]
		p.waiting = p.waiting[1:]
		p.running++
		w.given <- nil
		return
	}
	p.open--
	if p.open == 0 {
		// Nobody is left to hand a connection on, so those in line try for themselves.
		for _, w := range p.waiting {
			p.open++
			p.running++
			w.given <- nil
		}
		p.waiting = nil
	}
}

// discard closes a connection that is of no more use.
func (p *pool) discard(l *link) {
	l.backend.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.giveUp()
}

// release gives a connection back.
func (l *link) release() {
	p := l.pool
	if l.broken {
		p.discard(l)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	l.used = now
	if p.closed || p.open > p.limit {
		l.backend.Close()
		p.giveUp()
		return
	}
	for i, w := range p.waiting {
		if w.workspace == l.workspace {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			w.given <- l
			return
		}
	}
	if len(p.waiting) > 0 {
		l.backend.Close()
		p.giveUp()
		return
	}
	p.running--
	p.idle = append(p.idle, l)
}

// fail marks a connection on which a statement got no answer and drops the idle ones, which may be silent too.
func (l *link) fail() {
	l.broken = true
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteFailure(p.now())
	for _, other := range p.idle {
		other.backend.Close()
		p.open--
	}
	p.idle = nil
}

// trim closes connections that were not used for a while.
func (p *pool) trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for len(p.idle) > 0 && now.Sub(p.idle[0].used) > idleLimit {
		p.idle[0].backend.Close()
		p.idle = p.idle[1:]
		p.open--
	}
}

// close ends the idle connections; those in use end when they are released.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, l := range p.idle {
		l.backend.Close()
		p.open--
	}
	p.idle = nil
	for _, w := range p.waiting {
		p.open++
		p.running++
		w.given <- nil
	}
	p.waiting = nil
}

func (p *pool) setLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

func (p *pool) setServer(s fleet.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server.Primary, p.server.Leaving = s.Primary, s.Leaving
}

// remoteFresh is how long what a home said of its load is believed.
const remoteFresh = 300 * time.Millisecond

// load tells how soon the server can be expected to serve, for choosing among replicas.
func (p *pool) load() (busyness int, usable bool, lagging, busy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	usable = !p.gone && !p.closed && !p.server.Leaving && !now.Before(p.downUntil)
	busyness = p.running + len(p.waiting) + p.sent
	if now.Sub(p.remoteAt) < remoteFresh {
		busyness = max(busyness, p.remote)
	}
	return busyness, usable, now.Before(p.laggingUntil), now.Before(p.busyUntil)
}

// busyness is how much work runs or waits here.
func (p *pool) busyness() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running + len(p.waiting)
}

// noteRemote takes in what a home has answered.
func (p *pool) noteRemote(result forward.Result, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remote, p.remoteAt = result.Load, now
	switch {
	case len(result.Answers) > 0 || result.Opened != nil:
		p.noteSuccess(now)
	case result.Failure != "":
		p.noteFailure(now)
	}
}

// sending counts work on its way to a home.
func (p *pool) sending(change int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent += change
}

func (p *pool) noteLagging(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.laggingUntil = until
}

func (p *pool) noteBusy(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busyUntil = until
}

func (p *pool) noteOK() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteSuccess(p.now())
}

// health returns when the server last answered and since when it has failed without an answer.
func (p *pool) health() (lastOK, failingSince time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastOK, p.failingSince
}

// id returns the name of the server.
func (p *pool) id() group.Server { return p.server.Name }
