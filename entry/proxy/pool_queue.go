package proxy

import (
	"slices"
	"time"

	"lentilwind.dev/lentilwind/forward"
	"lentilwind.dev/lentilwind/inventory"
)

// waiter is work that waits in the queue of a pool.
type waiter struct {
	workspace inventory.WorkspaceName
	values    map[string]string
	priority  int
	granted   chan grant
}

// grant is the permission to run work. If conn is nil, the holder must open a connection first.
type grant struct {
	conn *pooledConn
	err  error
}

// requestGrant returns a grant if the work may run at once, or else a place in the queue.
func (p *pool) requestGrant(work forward.Work) (grant, *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.replaced || p.closed:
		return grant{err: errServerReplaced}, nil
	case p.down && len(p.idle) == 0:
		return grant{err: errServerDown}, nil
	}
	position := len(p.waiting)
	for position > 0 && p.waiting[position-1].priority > work.Priority {
		position--
	}
	if position == 0 && p.running < p.maxRunning {
		if conn, ok := p.reserve(work.Workspace, work.Values); ok {
			return grant{conn: conn}, nil
		}
	}
	if expectedWait := time.Duration(position+1) * p.meanServiceTime / time.Duration(p.maxRunning); expectedWait > work.MaxQueueWait {
		return grant{err: errWaitTooLong}, nil
	}
	w := &waiter{workspace: work.Workspace, values: work.Values, priority: work.Priority, granted: make(chan grant, 1)}
	p.waiting = slices.Insert(p.waiting, position, w)
	return grant{}, w
}

// reserve counts one more running work. It takes an idle connection, or reserves the capacity to open one, and reports false if neither is
// available.
func (p *pool) reserve(workspace inventory.WorkspaceName, values map[string]string) (*pooledConn, bool) {
	if conn := p.takeIdle(workspace, values); conn != nil {
		p.running++
		return conn, true
	}
	switch {
	case p.open < p.maxOpen && !p.now().Before(p.noConnectUntil):
		p.open++
	case len(p.idle) > 0:
		p.idle[0].backend.Close()
		p.idle = p.idle[1:]
	case p.open == 0:
		p.open++
	default:
		return nil, false
	}
	p.running++
	return nil, true
}

// dispatch gives grants to the waiting work as far as there is capacity.
func (p *pool) dispatch() {
	for len(p.waiting) > 0 && p.running < p.maxRunning {
		w := p.waiting[0]
		if p.replaced || p.closed {
			w.granted <- grant{err: errServerReplaced}
			p.waiting = p.waiting[1:]
			continue
		}
		conn, ok := p.reserve(w.workspace, w.values)
		if !ok {
			return
		}
		p.waiting = p.waiting[1:]
		w.granted <- grant{conn: conn}
	}
}

func (p *pool) awaitGrant(w *waiter, maxWait time.Duration) grant {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case g := <-w.granted:
		return g
	case <-timer.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if position := slices.Index(p.waiting, w); position >= 0 {
		p.waiting = slices.Delete(p.waiting, position, position+1)
		return grant{err: errNoConnection}
	}
	return <-w.granted
}
