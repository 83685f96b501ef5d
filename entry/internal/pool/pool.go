package pool

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"time"

	"lentilwind.dev/lentilwind/group"
)

// ErrClosed is returned once a pool gives out no more connections.
var ErrClosed = errors.New("pool: closed")

// ErrWaitTooLong is returned when the wait for a connection would be too long.
var ErrWaitTooLong = errors.New("pool: the wait would be too long")

// maxIdleFor is how long a connection stays open without use.
const maxIdleFor = 5 * time.Minute

// keepOpen connections stay open for the next burst.
const keepOpen = 2

// warmTimeout bounds the opening of one connection ahead of need.
const warmTimeout = 5 * time.Second

// Request is what a transaction asks of a pool.
type Request struct {
	Scope Scope
	Class Class
	// Deadline bounds the wait.
	Deadline time.Time
}

// Pool is the connections of an entry to one server.
type Pool struct {
	service group.Service
	server  group.Server
	// source is the address that connections leave from.
	source netip.Addr

	mu      sync.Mutex
	address netip.AddrPort
	limit   int
	open    int
	closed  bool
	idle    []*Conn
	// active is the connections with a transaction.
	active map[*Conn]struct{}
	// writes counts the running write transactions.
	writes map[writeKey]int
	// endedAt is when the term of running writes was first seen to have ended.
	endedAt map[writeKey]time.Time
	waiting waiters
}

// NewPool returns an empty pool of at most limit connections.
func NewPool(service group.Service, server group.Server, address netip.AddrPort, limit int) *Pool {
	return &Pool{service: service, server: server, address: address, limit: limit, waiting: newWaiters(), writes: make(map[writeKey]int), endedAt: make(map[writeKey]time.Time), active: make(map[*Conn]struct{})}
}

// TryAcquire returns an idle connection, or nil when the transaction has to wait for one.
func (p *Pool) TryAcquire(want *Request) *Conn {
	p.mu.Lock()
	var conn *Conn
	if !p.closed && p.waiting.len() == 0 {
		conn = p.takeIdle(want.Scope)
	}
	p.mu.Unlock()
	if conn != nil {
		p.begin(conn, want.Scope)
	}
	return conn
}

// Acquire returns a connection that nobody else uses, opened if need be.
func (p *Pool) Acquire(ctx context.Context, want *Request) (*Conn, error) {
	conn, err := p.reserve(ctx, want)
	if err == nil && conn == nil {
		conn, err = p.dialUntil(ctx, want.Deadline)
	}
	if err != nil {
		return nil, err
	}
	p.begin(conn, want.Scope)
	return conn, nil
}

func (p *Pool) dialUntil(ctx context.Context, deadline time.Time) (*Conn, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return p.dial(ctx)
}

// Warm opens connections ahead of need, up to n in all.
func (p *Pool) Warm(ctx context.Context, n int) {
	for ctx.Err() == nil {
		p.mu.Lock()
		if p.closed || p.open >= min(n, p.limit) {
			p.mu.Unlock()
			return
		}
		p.open++
		p.mu.Unlock()
		conn, err := p.dialUntil(ctx, time.Now().Add(warmTimeout))
		if err != nil {
			return
		}
		p.Release(conn, true)
	}
}

// reserve takes an idle connection, or the right to open one when it returns neither a connection nor an error.
func (p *Pool) reserve(ctx context.Context, want *Request) (*Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	if p.waiting.len() == 0 {
		if conn := p.takeIdle(want.Scope); conn != nil {
			p.mu.Unlock()
			return conn, nil
		}
		if p.open < p.limit {
			p.open++
			p.mu.Unlock()
			return nil, nil
		}
	}
	w, err := p.waiting.add(want, time.Now())
	p.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return p.await(ctx, w, want.Deadline)
}

func (p *Pool) await(ctx context.Context, w *waiter, deadline time.Time) (*Conn, error) {
	clock := time.NewTimer(time.Until(deadline))
	defer clock.Stop()
	select {
	case g := <-w.granted:
		return g.conn, g.err
	case <-ctx.Done():
	case <-clock.C:
	}
	p.mu.Lock()
	removed := p.waiting.remove(w)
	p.mu.Unlock()
	if removed {
		return nil, ErrWaitTooLong
	}
	g := <-w.granted
	if g.err == nil {
		p.Release(g.conn, g.conn != nil)
	}
	return nil, ErrWaitTooLong
}

// takeIdle prefers a connection with the same scope, then one of the same workspace, then the one used last.
func (p *Pool) takeIdle(scope Scope) *Conn {
	for len(p.idle) > 0 {
		best := len(p.idle) - 1
		for i, conn := range p.idle {
			if better(conn, p.idle[best], scope) {
				best = i
			}
		}
		conn := p.idle[best]
		p.idle = slices.Delete(p.idle, best, best+1)
		if conn.alive() {
			return conn
		}
		p.open--
		go func() { _ = conn.Close() }()
	}
	return nil
}

func better(a, b *Conn, scope Scope) bool { return fit(a, scope) > fit(b, scope) }

func fit(c *Conn, scope Scope) int {
	switch {
	case !c.Scoped || c.Dirty:
		return 1
	case c.Scope == scope:
		return 3
	case c.Scope.Workspace == scope.Workspace:
		return 2
	}
	return 0
}

// dial opens a connection for which the caller has reserved room.
func (p *Pool) dial(ctx context.Context) (*Conn, error) {
	p.mu.Lock()
	address := p.address
	p.mu.Unlock()
	conn, err := Dial(ctx, p.source, address, p.service)
	if err != nil {
		p.Release(nil, false)
		return nil, err
	}
	return conn, nil
}

// RecheckIdle records that a connection got no answer; idle ones must prove themselves before their next use.
func (p *Pool) RecheckIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle {
		conn.LastResponse = time.Time{}
	}
}

// Release gives a connection back; one that is not reusable is closed. A nil one gives back the right to open one.
func (p *Pool) Release(conn *Conn, reusable bool) {
	unusable := conn != nil && (!reusable || conn.Cancelled())
	if unusable {
		_ = conn.Close()
	}
	p.mu.Lock()
	p.end(conn)
	if unusable {
		conn = nil
	}
	if p.closed && conn != nil {
		_ = conn.Close()
		conn = nil
	}
	if conn == nil && (p.open > p.limit || p.waiting.len() == 0) {
		p.open--
		p.mu.Unlock()
		return
	}
	if conn != nil && p.open > p.limit {
		p.open--
		p.mu.Unlock()
		_ = conn.Close()
		return
	}
	if w := p.waiting.next(time.Now()); w != nil {
		p.mu.Unlock()
		w.granted <- grant{conn: conn}
		return
	}
	if conn == nil {
		p.open--
	} else {
		p.idle = append(p.idle, conn)
	}
	p.mu.Unlock()
}

// Available tells whether the pool may give out connections.
func (p *Pool) Available() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.closed && p.limit > 0
}

// Configure changes the address and the limit, and opens the pool again; connections to an old address are closed.
func (p *Pool) Configure(address netip.AddrPort, limit int) {
	p.mu.Lock()
	moved := address != p.address
	p.address, p.limit, p.closed = address, limit, false
	var surplus []*Conn
	if moved {
		surplus, p.idle = p.idle, nil
	}
	for len(p.idle) > 0 && p.open-len(surplus) > p.limit {
		surplus = append(surplus, p.idle[0])
		p.idle = p.idle[1:]
	}
	p.open -= len(surplus)
	granted := p.grantRoom()
	p.mu.Unlock()
	for _, conn := range surplus {
		_ = conn.Close()
	}
	for _, w := range granted {
		w.granted <- grant{}
	}
}

// EnforceLimit closes connections above a limit that may not be passed, those with a transaction last.
func (p *Pool) EnforceLimit(limit int) {
	p.mu.Lock()
	var surplus []*Conn
	for len(p.idle) > 0 && p.open > limit {
		surplus = append(surplus, p.idle[0])
		p.idle = p.idle[1:]
		p.open--
	}
	excess := p.open - limit
	for conn := range p.active {
		if excess <= 0 {
			break
		}
		// The transaction gives the connection back once it finds it closed.
		surplus = append(surplus, conn)
		excess--
	}
	p.mu.Unlock()
	for _, conn := range surplus {
		_ = conn.Close()
	}
}

// grantRoom lets waiting transactions open connections while there is room.
func (p *Pool) grantRoom() []*waiter {
	var granted []*waiter
	for p.open < p.limit {
		w := p.waiting.next(time.Now())
		if w == nil {
			break
		}
		p.open++
		granted = append(granted, w)
	}
	return granted
}

// Trim closes connections that were not used for long.
func (p *Pool) Trim(now time.Time) {
	p.mu.Lock()
	var old []*Conn
	p.idle = slices.DeleteFunc(p.idle, func(conn *Conn) bool {
		if now.Sub(conn.LastResponse) < maxIdleFor || p.open-len(old) <= keepOpen {
			return false
		}
		old = append(old, conn)
		return true
	})
	p.open -= len(old)
	p.mu.Unlock()
	for _, conn := range old {
		_ = conn.Close()
	}
}

// Usage is how a pool stands at one moment.
type Usage struct {
	Open, Idle, Waiting int
}

// Usage returns how the pool stands.
func (p *Pool) Usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Usage{Open: p.open, Idle: len(p.idle), Waiting: p.waiting.len()}
}

// Close closes idle connections, refuses those who wait and lets running transactions end.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	var refused []*waiter
	for w := p.waiting.next(time.Now()); w != nil; w = p.waiting.next(time.Now()) {
		refused = append(refused, w)
	}
	p.mu.Unlock()
	for _, conn := range idle {
		_ = conn.Close()
	}
	for _, w := range refused {
		w.granted <- grant{err: ErrClosed}
	}
}
