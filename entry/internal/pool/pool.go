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

// ErrClosed is returned by Acquire after the pool was closed.
var ErrClosed = errors.New("pool: closed")

// ErrWaitTooLong is returned if no connection is expected to become free, or did not become free, before the deadline.
var ErrWaitTooLong = errors.New("pool: the wait would be too long")

// maxIdleTime is how long an unused connection stays open.
const maxIdleTime = 5 * time.Minute

// minOpenConns is the number of connections that Trim keeps open for the next burst.
const minOpenConns = 2

// warmTimeout limits how long Warm waits for one connection.
const warmTimeout = 5 * time.Second

// Request describes the connection that a transaction needs.
type Request struct {
	Scope Scope
	Class Class
	// Deadline ends the wait for a connection.
	Deadline time.Time
}

// Pool is a bounded pool of connections to one server.
type Pool struct {
	service group.Service
	server  group.Server
	// source is the local address of connections.
	source netip.Addr

	mu      sync.Mutex
	address netip.AddrPort
	limit   int
	open    int
	closed  bool
	idle    []*Conn
	// active holds the connections that run a transaction.
	active map[*Conn]struct{}
	// writes counts the running write transactions by slot and term.
	writes map[writeKey]int
	// endedAt is when the term of running writes was first observed to have ended.
	endedAt map[writeKey]time.Time
	waiting waiters
}

// NewPool returns an empty pool of at most limit connections.
func NewPool(service group.Service, server group.Server, address netip.AddrPort, limit int) *Pool {
	return &Pool{service: service, server: server, address: address, limit: limit, waiting: newWaiters(), writes: make(map[writeKey]int), endedAt: make(map[writeKey]time.Time), active: make(map[*Conn]struct{})}
}

// TryAcquire returns an idle connection, or nil if there is none or other transactions are waiting.
func (p *Pool) TryAcquire(request *Request) *Conn {
	p.mu.Lock()
	var conn *Conn
	if !p.closed && p.waiting.len() == 0 {
		conn = p.takeIdle(request.Scope)
	}
	p.mu.Unlock()
	if conn != nil {
		p.trackTransaction(conn, request.Scope)
	}
	return conn
}

// Acquire returns a connection for exclusive use: an idle one, a new one, or the next one released.
func (p *Pool) Acquire(ctx context.Context, request *Request) (*Conn, error) {
	conn, err := p.reserve(ctx, request)
	if err == nil && conn == nil {
		conn, err = p.dialUntil(ctx, request.Deadline)
	}
	if err != nil {
		return nil, err
	}
	p.trackTransaction(conn, request.Scope)
	return conn, nil
}

func (p *Pool) dialUntil(ctx context.Context, deadline time.Time) (*Conn, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return p.dial(ctx)
}

// Warm opens connections in advance until the pool has n, or its limit if that is lower.
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

// reserve returns an idle connection; nil without an error permits the caller to open one.
func (p *Pool) reserve(ctx context.Context, request *Request) (*Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	if p.waiting.len() == 0 {
		if conn := p.takeIdle(request.Scope); conn != nil {
			p.mu.Unlock()
			return conn, nil
		}
		if p.open < p.limit {
			p.open++
			p.mu.Unlock()
			return nil, nil
		}
	}
	w, err := p.waiting.add(request, time.Now())
	p.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return p.awaitGrant(ctx, w, request.Deadline)
}

func (p *Pool) awaitGrant(ctx context.Context, w *waiter, deadline time.Time) (*Conn, error) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case g := <-w.granted:
		return g.conn, g.err
	case <-ctx.Done():
	case <-timer.C:
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

// takeIdle removes an idle connection, preferring one with the same scope, then one of the same workspace, then one that has
// no scope or must be reset, and among equals the most recently used. It closes dead connections that it finds.
func (p *Pool) takeIdle(scope Scope) *Conn {
	for len(p.idle) > 0 {
		best := len(p.idle) - 1
		for i, conn := range p.idle {
			if betterMatch(conn, p.idle[best], scope) {
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

func betterMatch(a, b *Conn, scope Scope) bool { return scopeMatch(a, scope) > scopeMatch(b, scope) }

func scopeMatch(c *Conn, scope Scope) int {
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

// dial opens a connection that the caller has already counted in p.open.
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

// RecheckIdle is called after a connection received no response. Every idle connection is then checked before its next use.
func (p *Pool) RecheckIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle {
		conn.LastResponse = time.Time{}
	}
}

// Release returns a connection to the pool, or closes it if it is not reusable. A nil conn returns an unused permission to open
// one.
func (p *Pool) Release(conn *Conn, reusable bool) {
	unusable := conn != nil && (!reusable || conn.Cancelled())
	if unusable {
		_ = conn.Close()
	}
	p.mu.Lock()
	p.untrackTransaction(conn)
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

// Available reports whether the pool is open and has a limit above zero.
func (p *Pool) Available() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.closed && p.limit > 0
}

// Configure sets the address and the limit, and reopens a closed pool. It closes idle connections to a previous address.
func (p *Pool) Configure(address netip.AddrPort, limit int) {
	p.mu.Lock()
	addressChanged := address != p.address
	p.address, p.limit, p.closed = address, limit, false
	var surplus []*Conn
	if addressChanged {
		surplus, p.idle = p.idle, nil
	}
	for len(p.idle) > 0 && p.open-len(surplus) > p.limit {
		surplus = append(surplus, p.idle[0])
		p.idle = p.idle[1:]
	}
	p.open -= len(surplus)
	granted := p.grantCapacity()
	p.mu.Unlock()
	for _, conn := range surplus {
		_ = conn.Close()
	}
	for _, w := range granted {
		w.granted <- grant{}
	}
}

// EnforceLimit closes connections above a hard limit: idle ones first, then those that run a transaction.
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
		// The transaction releases the connection when its next read or write fails.
		surplus = append(surplus, conn)
		excess--
	}
	p.mu.Unlock()
	for _, conn := range surplus {
		_ = conn.Close()
	}
}

// grantCapacity removes waiters that may open a connection, as many as the limit allows, and counts their connections.
func (p *Pool) grantCapacity() []*waiter {
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

// Trim closes connections that have been idle for maxIdleTime, but keeps minOpenConns open.
func (p *Pool) Trim(now time.Time) {
	p.mu.Lock()
	var old []*Conn
	p.idle = slices.DeleteFunc(p.idle, func(conn *Conn) bool {
		if now.Sub(conn.LastResponse) < maxIdleTime || p.open-len(old) <= minOpenConns {
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

// Usage holds the number of open connections, idle connections and waiting transactions.
type Usage struct {
	Open, Idle, Waiting int
}

// Usage returns the current usage of the pool.
func (p *Pool) Usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Usage{Open: p.open, Idle: len(p.idle), Waiting: p.waiting.len()}
}

// Close closes idle connections and rejects waiting transactions. Running transactions may finish.
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
