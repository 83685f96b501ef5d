package proxy

import (
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"lentilwind.dev/lentilwind/capacity"
	"lentilwind.dev/lentilwind/database"
	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/forward"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/statement"
)

// Time limits and sizes of pools.
const (
	// connectTimeout bounds the opening of a connection. Databases need about 12 ms, and more while all their slots are taken.
	connectTimeout = 400 * time.Millisecond
	// connectBackoff is how long a pool opens no connection after the database refused one because of its connection limit.
	connectBackoff = 100 * time.Millisecond
	// reconnectInterval is the delay before each attempt to reach a server that did not answer.
	reconnectInterval = 200 * time.Millisecond
	// idleTimeout is how long an unused connection is kept open.
	idleTimeout = 20 * time.Second
	// redundantIdleTimeout is how long it is kept if the workspace has another idle connection.
	redundantIdleTimeout = 1500 * time.Millisecond
	// extraConcurrency is how much work may run beyond a server's slots, so that no slot is idle until the next work arrives.
	extraConcurrency = 1
	// serviceTimeWeight is the weight of a new sample in the moving average of the service time.
	serviceTimeWeight = 0.05
	// initialServiceTime is the service time that is assumed before the first sample.
	initialServiceTime = 20 * time.Millisecond
)

// Errors of acquiring a connection; no statement was sent to the server. The text of errWaitTooLong crosses entries in a result's detail,
// where request.tryOnPrimary compares it.
var (
	errNoConnection   = errors.New("proxy: no connection in time")
	errServerDown     = errors.New("proxy: the server does not answer")
	errServerReplaced = errors.New("proxy: another server answers at the address")
	errWaitTooLong    = errors.New("proxy: the expected wait is too long")
)

// pooledConn is one pooled connection with its session state.
type pooledConn struct {
	backend   database.Connection
	pool      *pool
	workspace inventory.WorkspaceName
	// values are the session values that are set on the connection, and prepared the names of its prepared statements.
	values   map[textDigest]textDigest
	prepared map[preparedKey]string
	// statementCount is the number of statements prepared since the last reset.
	statementCount int
	// workStarted is the start of the current work, running the number of statements that ran on the database then, and class its urgency.
	workStarted time.Time
	running     int
	class       int
	lastUsed    time.Time
	broken      bool
	// valueBytes and preparedBytes are what the values and the prepared statements take at the database.
	valueBytes, preparedBytes int
}

// maxIdleStateBytes limits the state of a connection that is kept for the next session. A session with more costs a new connection.
const maxIdleStateBytes = 64 << 10

// maxPreparedBytes limits the prepared statements of a connection. Beyond it, those that are not about to run are dropped.
const maxPreparedBytes = 64 << 10

// pool holds this entry's connections to one database and queues the work for it.
type pool struct {
	server    fleet.Server
	connector database.Connector
	now       func() time.Time

	mu sync.Mutex
	// maxOpen limits the open connections, and maxRunning the work that runs at once.
	maxOpen, maxRunning int
	open                int
	running             int
	idle                []*pooledConn
	queue               *workQueue
	// curve learns how much work the database takes well. loggedLimit is the limit that was last logged.
	curve       capacity.Curve
	loggedLimit int
	// meanServiceTime is the moving average of the time that one piece of work takes.
	meanServiceTime time.Duration
	closed          bool
	replaced        bool
	// leavingSince is when the server began to leave; zero if it is not leaving, or if that is not known.
	leavingSince time.Time
	// noConnectUntil is the time before which no connection is opened, because the database refused one.
	noConnectUntil time.Time
	// down is set when connecting fails, and cleared when a reconnect in the background succeeds.
	down bool
	// lastSuccess is when the server last answered, and failingSince when its current series of failures began.
	lastSuccess  time.Time
	failingSince time.Time
	// laggingUntil is the end of the period in which the server is avoided because it lacked a needed position.
	laggingUntil time.Time
	busyUntil    time.Time
	// owners are the entries that may own connections to the server, the actual owners first.
	owners []*owner
	// speed compares the server with others.
	speed serverSpeed
}

func newPool(server fleet.Server, connector database.Connector, now func() time.Time, maxOpen, maxRunning int) *pool {
	return &pool{
		server: server, connector: connector, now: now, maxOpen: maxOpen, maxRunning: maxRunning, meanServiceTime: initialServiceTime,
		queue: newWorkQueue(), leavingSince: server.LeavingSince,
	}
}

// acquire returns a connection for a workspace once the work may run. It waits in the queue for at most work.MaxQueueWait.
func (p *pool) acquire(work forward.Work) (*pooledConn, error) {
	deadline := p.now().Add(work.Timeout)
	for {
		granted, w := p.requestGrant(work)
		if w != nil {
			granted = p.awaitGrant(w, min(work.MaxQueueWait, deadline.Sub(p.now())))
		}
		if granted.err != nil {
			return nil, granted.err
		}
		conn := granted.conn
		if conn == nil {
			var err error
			if conn, err = p.connect(work.Workspace, min(deadline.Sub(p.now()), connectTimeout)); err != nil {
				return nil, err
			}
		}
		if conn.backend.Alive() {
			conn.workStarted, conn.running, conn.class = p.now(), granted.running, min(max(work.Priority, -1), queueClasses)
			return conn, nil
		}
		p.discard(conn)
		if p.now().After(deadline) {
			return nil, errNoConnection
		}
	}
}

// takeIdle removes and returns an idle connection of the workspace, preferring equal session values and then the most recently used one.
func (p *pool) takeIdle(workspace inventory.WorkspaceName, values map[textDigest]textDigest) *pooledConn {
	best := -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		conn := p.idle[i]
		if conn.workspace != workspace {
			continue
		}
		if maps.Equal(conn.values, values) {
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
	conn := p.idle[best]
	p.idle = append(p.idle[:best], p.idle[best+1:]...)
	return conn
}

// connect opens a connection for which capacity was reserved before.
func (p *pool) connect(workspace inventory.WorkspaceName, timeout time.Duration) (*pooledConn, error) {
	target := database.Target{Address: p.server.Address, Service: p.server.Service, Server: p.server.Name, Workspace: workspace}
	backend, answer, err := p.connector.Connect(target, timeout)
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && answer.Outcome == statement.Done {
		p.recordSuccessLocked(now)
		return &pooledConn{backend: backend, pool: p, workspace: workspace, lastUsed: now}, nil
	}
	p.releaseCapacity()
	if err != nil {
		p.recordFailureLocked(now)
		if timeout >= connectTimeout/2 || failureKind(err) != forward.TimedOut {
			p.markDown(workspace)
		}
		return nil, errServerDown
	}
	switch answer.Outcome {
	case statement.WrongServer:
		p.replaced = true
		return nil, errServerReplaced
	default:
		p.noConnectUntil = now.Add(connectBackoff)
		return nil, errNoConnection
	}
}

// markDown rejects the waiting work, and starts to reconnect in the background. Until that succeeds, new work is accepted only while
// idle connections are left.
func (p *pool) markDown(workspace inventory.WorkspaceName) {
	p.refuseWaiting(errServerDown)
	if p.down {
		return
	}
	p.down = true
	go p.reconnect(workspace)
}

// reconnect tries to reach a server that is down until it answers or has been replaced.
func (p *pool) reconnect(workspace inventory.WorkspaceName) {
	for {
		time.Sleep(reconnectInterval)
		p.mu.Lock()
		if p.closed || p.replaced {
			p.mu.Unlock()
			return
		}
		p.open++
		p.running++
		p.mu.Unlock()
		conn, err := p.connect(workspace, connectTimeout)
		if errors.Is(err, errServerDown) {
			continue
		}
		p.mu.Lock()
		p.down = false
		p.mu.Unlock()
		if err == nil {
			conn.workStarted = p.now()
			conn.release()
		}
		return
	}
}

func (p *pool) recordSuccessLocked(now time.Time) {
	p.lastSuccess, p.failingSince = now, time.Time{}
}

func (p *pool) recordFailureLocked(now time.Time) {
	if p.failingSince.IsZero() {
		p.failingSince = now
	}
}

// releaseCapacity gives back the capacity that a closed connection used.
func (p *pool) releaseCapacity() {
	p.running--
	p.open--
	p.dispatch()
}

// discard closes a connection that can no longer be used.
func (p *pool) discard(conn *pooledConn) {
	conn.backend.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseCapacity()
}

// release returns the connection to its pool, or closes it if it is broken or no longer needed.
func (conn *pooledConn) release() {
	p := conn.pool
	if conn.broken {
		p.discard(conn)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordServiceTime(conn)
	if p.closed || p.open > p.maxOpen || conn.valueBytes+conn.preparedBytes > maxIdleStateBytes {
		conn.backend.Close()
		p.releaseCapacity()
		return
	}
	p.running--
	p.idle = append(p.idle, conn)
	p.dispatch()
}

// suspend lets other work run while an open transaction holds the connection without using it.
func (conn *pooledConn) suspend() {
	p := conn.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordServiceTime(conn)
	p.running--
	p.dispatch()
}

// resume counts the next work of an open transaction, which does not wait in the queue.
func (conn *pooledConn) resume() {
	p := conn.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running++
	conn.workStarted, conn.running = p.now(), p.running
}

// markBroken marks a connection on which a statement got no answer. It also closes the idle connections, which may be dead too.
func (conn *pooledConn) markBroken() {
	conn.broken = true
	p := conn.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordFailureLocked(p.now())
	for _, other := range p.idle {
		other.backend.Close()
		p.open--
	}
	p.idle = nil
}

// closeIdle closes connections that have been idle for too long, sooner if the workspace has another idle one.
//
// After a power loss, a database still counts the dead connections for seconds. Idle connections that are kept without need would then
// use up what is left of its limit.
func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	seen := make(map[inventory.WorkspaceName]bool, len(p.idle))
	kept := make([]*pooledConn, 0, len(p.idle))
	for _, conn := range slices.Backward(p.idle) {
		timeout := idleTimeout
		if seen[conn.workspace] {
			timeout = redundantIdleTimeout
		}
		seen[conn.workspace] = true
		if now.Sub(conn.lastUsed) > timeout {
			conn.backend.Close()
			p.open--
			continue
		}
		kept = append(kept, conn)
	}
	slices.Reverse(kept)
	p.idle = kept
}

// close closes the idle connections. Those in use are closed when they are released.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, conn := range p.idle {
		conn.backend.Close()
		p.open--
	}
	p.idle = nil
	p.refuseWaiting(errServerReplaced)
}

func (p *pool) setLimits(maxOpen, maxRunning int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxOpen, p.maxRunning = maxOpen, maxRunning
	// Another entry may own the connections now, and the database counts those that this one keeps.
	for len(p.idle) > 0 && p.open > p.maxOpen {
		p.idle[0].backend.Close()
		p.idle = p.idle[1:]
		p.open--
	}
}

func (p *pool) setServer(server fleet.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !server.Leaving || !p.server.Leaving:
		p.leavingSince = server.LeavingSince
	case !server.LeavingSince.IsZero() && (p.leavingSince.IsZero() || server.LeavingSince.Before(p.leavingSince)):
		p.leavingSince = server.LeavingSince
	}
	p.server.Primary, p.server.Leaving, p.server.Cold = server.Primary, server.Leaving, server.Cold
}
