package proxy

import (
	"time"

	"lentilwind.dev/lentilwind/capacity"
	"lentilwind.dev/lentilwind/forward"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/queue"
)

// Limits of a pool's queue.
const (
	// queueClasses is the number of priority classes: that of probes, and those of the routes. Routes beyond the last class share it.
	queueClasses = 5
	// maxQueued bounds the waiting work of one database at one entry. No work waits for long enough to serve that much.
	maxQueued = 512
	// agingThreshold is the wait after which work gives way to more urgent work only three times out of four. It is below what the least
	// urgent requests may wait, so they are not starved.
	agingThreshold = 200 * time.Millisecond
)

// workQueue orders the work that waits for one database: by urgency, then fairly among workspaces.
type workQueue = queue.Queue[inventory.WorkspaceName, *waiter]

func newWorkQueue() *workQueue {
	return queue.New[inventory.WorkspaceName, *waiter](queue.Config{Classes: queueClasses, MaxLength: maxQueued, AgingThreshold: agingThreshold})
}

// waiter is work that waits in the queue of a pool.
type waiter struct {
	workspace inventory.WorkspaceName
	values    map[textDigest]textDigest
	item      *queue.Item[inventory.WorkspaceName, *waiter]
	granted   chan grant
}

// grant is the permission to run work. If conn is nil, the holder must open a connection first.
type grant struct {
	conn *pooledConn
	err  error
	// running is the number of statements that run then, this one included.
	running int
}

// limit returns how much work may run at once: no more than this entry's share, and no more than the database takes well.
func (p *pool) limit(now time.Time) int { return p.curve.Limit(now, p.maxRunning) }

// requestGrant returns a grant if the work may run at once, or else a place in the queue.
func (p *pool) requestGrant(work forward.Work) (grant, *waiter) {
	values := digestValues(work.Values)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.replaced || p.closed:
		return grant{err: errServerReplaced}, nil
	case p.down && len(p.idle) == 0:
		return grant{err: errServerDown}, nil
	}
	now := p.now()
	limit := p.limit(now)
	if p.queue.Len() == 0 && p.running < limit {
		if conn, ok := p.reserve(work.Workspace, values); ok {
			return grant{conn: conn, running: p.running}, nil
		}
	}
	w := &waiter{workspace: work.Workspace, values: values, granted: make(chan grant, 1)}
	pushed := p.queue.Push(queue.Request[inventory.WorkspaceName, *waiter]{
		Key: work.Workspace, Class: work.Priority + 1, Deadline: now.Add(work.MaxQueueWait), Interval: p.meanServiceTime / time.Duration(limit), Value: w,
	}, now)
	if pushed.Outcome != queue.Accepted {
		return grant{err: errWaitTooLong}, nil
	}
	if pushed.Evicted != nil {
		pushed.Evicted.Value.granted <- grant{err: errWaitTooLong}
	}
	w.item = pushed.Item
	p.dispatch()
	return grant{}, w
}

// canReserve reports whether reserve would succeed for any workspace.
func (p *pool) canReserve() bool {
	return len(p.idle) > 0 || p.open == 0 || p.open < p.maxOpen && !p.now().Before(p.noConnectUntil)
}

// reserve counts one more running work. It takes an idle connection, or reserves the capacity to open one, and reports false if neither is
// available.
func (p *pool) reserve(workspace inventory.WorkspaceName, values map[textDigest]textDigest) (*pooledConn, bool) {
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
	if p.queue.Len() == 0 {
		return
	}
	if p.replaced || p.closed {
		p.refuseWaiting(errServerReplaced)
		return
	}
	now := p.now()
	for p.running < p.limit(now) && p.canReserve() {
		item, found := p.queue.Pop(now)
		if !found {
			break
		}
		w := item.Value
		conn, _ := p.reserve(w.workspace, w.values)
		w.granted <- grant{conn: conn, running: p.running}
	}
	for _, expired := range p.queue.Expire(now) {
		expired.Value.granted <- grant{err: errNoConnection}
	}
}

// refuseWaiting rejects all waiting work.
func (p *pool) refuseWaiting(err error) {
	now := p.now()
	for {
		item, found := p.queue.Pop(now)
		if !found {
			break
		}
		item.Value.granted <- grant{err: err}
	}
	for _, expired := range p.queue.Expire(now) {
		expired.Value.granted <- grant{err: err}
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
	if p.queue.Remove(w.item) {
		return grant{err: errNoConnection}
	}
	return <-w.granted
}

// recordServiceTime adds the duration of the finished work to what is known of the database.
func (p *pool) recordServiceTime(conn *pooledConn) {
	now := p.now()
	conn.lastUsed = now
	took := now.Sub(conn.workStarted)
	p.meanServiceTime += time.Duration(serviceTimeWeight * float64(took-p.meanServiceTime))
	p.speed.observeServiceTime(now, p.meanServiceTime)
	if !conn.broken {
		p.curve.Observe(now, capacity.Class(conn.class), conn.running, took)
	}
}
