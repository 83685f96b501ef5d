package proxy

import (
	"errors"
	"slices"
	"sync"
	"time"

	"lentilwind.dev/lentilwind/database"
	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/forward"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/statement"
)

// Times and sizes of pools.
const (
	// connectTimeout bounds the opening of a connection; databases need about 12 ms, and more when their slots are taken.
	connectTimeout = 400 * time.Millisecond
	// fullPause is how long a pool opens no further connection after the database refused one for its limit.
	fullPause = 100 * time.Millisecond
	// downPause is the time between attempts to reach a server that did not answer.
	downPause = 200 * time.Millisecond
	// idleLimit is how long an unused connection is kept.
	idleLimit = 20 * time.Second
	// spareLimit is how long it is kept beside another one of the same workspace.
	spareLimit = 1500 * time.Millisecond
	// spareWork is how much work may be under way beyond a server's slots, so that no slot waits for the next one.
	spareWork = 1
	// paceWeight is the weight of one more sample in the mean time of work.
	paceWeight = 0.05
	// firstPace is the time of work that is assumed before there is a sample.
	firstPace = 20 * time.Millisecond
)

// Failures of acquiring a connection; nothing was sent to the server.
var (
	errNoConnection = errors.New("proxy: no connection in time")
	errDown         = errors.New("proxy: the server does not answer")
	errGone         = errors.New("proxy: another server answers at the address")
	errTooLong      = errors.New("proxy: the expected wait is too long")
)

// link is one pooled connection with the session state that it carries.
type link struct {
	backend   database.Backend
	pool      *pool
	workspace inventory.WorkspaceName
	values    map[string]string
	prepared  map[forward.PreparedStatement]string
	// began is the start of the current work and used the end of the last one.
	began  time.Time
	used   time.Time
	broken bool
}

// pool holds this entry's connections to one database and orders the work for it.
type pool struct {
	server    fleet.Server
	connector database.Connector
	now       func() time.Time

	mu sync.Mutex
	// limit bounds the connections and width the work under way.
	limit, width int
	open         int
	running      int
	idle         []*link
	// waiting is ordered by priority, then by arrival.
	waiting []*waiter
	// pace is the mean time of one work.
	pace   time.Duration
	closed bool
	gone   bool
	// fullUntil holds attempts to connect back.
	fullUntil time.Time
	// down is set from a failure to connect until an attempt in the background succeeds.
	down bool
	// lastOK and failingSince tell how the server has answered lately.
	lastOK       time.Time
	failingSince time.Time
	// laggingUntil marks a replica that lacked a needed position.
	laggingUntil time.Time
	busyUntil    time.Time
	// remote is how busy the server was at its home, as of the last answer from there, and sent how much work is on its way there.
	remote   int
	remoteAt time.Time
	sent     int
}

func newPool(server fleet.Server, connector database.Connector, now func() time.Time, limit, width int) *pool {
	return &pool{server: server, connector: connector, now: now, limit: limit, width: width, pace: firstPace}
}

// acquire returns a connection for a workspace when it is the work's turn; patience bounds the wait for that.
func (p *pool) acquire(work forward.Work) (*link, error) {
	end := p.now().Add(work.Timeout)
	for {
		t, w := p.enter(work)
		if w != nil {
			t = p.await(w, min(work.MaxQueueWait, end.Sub(p.now())))
		}
		if t.err != nil {
			return nil, t.err
		}
		l := t.link
		if l == nil {
			var err error
			if l, err = p.connect(work.Workspace, min(end.Sub(p.now()), connectTimeout)); err != nil {
				return nil, err
			}
		}
		if l.backend.Alive() {
			l.began = p.now()
			return l, nil
		}
		p.discard(l)
		if p.now().After(end) {
			return nil, errNoConnection
		}
	}
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
		if timeout >= connectTimeout/2 || broke(err) != forward.TimedOut {
			p.goDown(workspace)
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

// goDown refuses work until an attempt in the background has reached the server.
func (p *pool) goDown(workspace inventory.WorkspaceName) {
	for _, w := range p.waiting {
		w.turn <- turn{err: errDown}
	}
	p.waiting = nil
	if p.down {
		return
	}
	p.down = true
	go p.comeBack(workspace)
}

// comeBack tries to reach a server that is down until it answers or is known to be gone.
func (p *pool) comeBack(workspace inventory.WorkspaceName) {
	for {
		time.Sleep(downPause)
		p.mu.Lock()
		if p.closed || p.gone {
			p.mu.Unlock()
			return
		}
		p.open++
		p.running++
		p.mu.Unlock()
		l, err := p.connect(workspace, connectTimeout)
		if errors.Is(err, errDown) {
			continue
		}
		p.mu.Lock()
		p.down = false
		p.mu.Unlock()
		if err == nil {
			l.began = p.now()
			l.release()
		}
		return
	}
}

func (p *pool) noteSuccess(now time.Time) {
	p.lastOK, p.failingSince = now, time.Time{}
}

func (p *pool) noteFailure(now time.Time) {
	if p.failingSince.IsZero() {
		p.failingSince = now
	}
}

// giveUp returns the room of a connection that is gone.
func (p *pool) giveUp() {
	p.running--
	p.open--
	p.next()
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
	p.finish(l)
	if p.closed || p.open > p.limit {
		l.backend.Close()
		p.giveUp()
		return
	}
	p.running--
	p.idle = append(p.idle, l)
	p.next()
}

// finish notes how long the work on a connection took.
func (p *pool) finish(l *link) {
	now := p.now()
	l.used = now
	p.pace += time.Duration(paceWeight * float64(now.Sub(l.began)-p.pace))
}

// rest lets other work run while a transaction keeps the connection without using it.
func (l *link) rest() {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finish(l)
	p.running--
	p.next()
}

// resume counts the work of a transaction that goes on; it has no turn to wait for.
func (l *link) resume() {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	l.began = p.now()
	p.running++
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

// trim closes connections that were not used for a while, sooner where the workspace has another one.
//
// After a loss of power a database counts the connections of the dead for seconds, so that what is kept without need then lacks.
func (p *pool) trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	newer := make(map[inventory.WorkspaceName]bool, len(p.idle))
	kept := make([]*link, 0, len(p.idle))
	for _, l := range slices.Backward(p.idle) {
		limit := idleLimit
		if newer[l.workspace] {
			limit = spareLimit
		}
		newer[l.workspace] = true
		if now.Sub(l.used) > limit {
			l.backend.Close()
			p.open--
			continue
		}
		kept = append(kept, l)
	}
	slices.Reverse(kept)
	p.idle = kept
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
		w.turn <- turn{err: errGone}
	}
	p.waiting = nil
}

func (p *pool) setLimits(limit, width int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit, p.width = limit, width
}

func (p *pool) setServer(s fleet.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server.Primary, p.server.Leaving = s.Primary, s.Leaving
}
