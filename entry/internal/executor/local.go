package executor

import (
	"context"
	"errors"
	"sync"
	"time"

	"lentilwind.dev/entry/internal/outcome"
	"lentilwind.dev/entry/internal/pool"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// Local runs transactions over the entry's own connections.
type Local struct {
	pools *pool.Set
	waits *WaitRegistry
}

// NewLocal returns an executor over a set of pools.
func NewLocal(pools *pool.Set, waits *WaitRegistry) *Local { return &Local{pools: pools, waits: waits} }

var errNoPool = errors.New("executor: the entry has no connections to the server")

// Open waits for a connection of the entry.
func (l *Local) Open(ctx context.Context, opening *protocol.Forward) (Transaction, error) {
	p := l.pools.Pool(opening.Server)
	if p == nil || !p.Available() {
		return nil, outcome.ForReason(outcome.ReasonNoServer, errNoPool)
	}
	t := transactions.Get().(*local)
	t.waits = l.waits
	t.reset(p, opening)
	if err := t.acquire(ctx); err != nil {
		t.recycle()
		return nil, err
	}
	return t, nil
}

var transactions = sync.Pool{New: func() any { return &local{} }}

func (t *local) reset(p *pool.Pool, opening *protocol.Forward) {
	t.pool = p
	t.opening = *opening
	t.scope = pool.Scope{Workspace: opening.Workspace, Slot: opening.Group.Slot, Term: opening.Term, Access: opening.Access}
	t.want = pool.Request{Scope: t.scope, Class: pool.Class{
		Workspace: opening.Workspace, Priority: opening.Priority, Weight: opening.Weight,
	}, Deadline: time.Now().Add(opening.QueueFor)}
	t.plan.Reset()
	t.position = ReportedStatus{}
	t.placed, t.broken, t.unsynced, t.block, t.rest = false, false, false, TxStatusIdle, 0
	t.parses = t.parses[:0]
}

func (t *local) recycle() {
	t.pool = nil
	transactions.Put(t)
}

// acquire gets a connection within the time that the opening allows.
func (t *local) acquire(ctx context.Context) error {
	conn := t.pool.TryAcquire(&t.want)
	if conn == nil {
		var err error
		if conn, err = t.await(ctx); err != nil {
			return err
		}
	}
	t.mu.Lock()
	t.conn = conn
	t.mu.Unlock()
	return nil
}

// await waits for a connection, unless the server or the term is over before there is one.
func (t *local) await(ctx context.Context) (*pool.Conn, error) {
	ctx, w := t.waits.begin(ctx, &t.opening)
	defer w.end()
	conn, err := t.pool.Acquire(ctx, &t.want)
	if err == nil {
		return conn, nil
	}
	if ended(ctx) {
		return nil, outcome.ForReason(outcome.ReasonNoServer, errOver)
	}
	if errors.Is(err, pool.ErrClosed) {
		return nil, outcome.ForReason(outcome.ReasonNoServer, errNoPool)
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, pool.ErrWaitTooLong) {
		return nil, outcome.ForReason(outcome.ReasonQueue, err)
	}
	return nil, outcome.ForReason(outcome.ReasonConnect, err)
}

func (t *local) reads() bool { return t.opening.Access == inventory.AccessRead }

// detach takes the connection out of Cancel's reach.
func (t *local) detach() *pool.Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	conn := t.conn
	t.conn = nil
	return conn
}

// Close gives the connection back or closes it.
func (t *local) Close() {
	conn := t.detach()
	if conn != nil {
		t.pool.Release(conn, t.reusable())
	}
	t.recycle()
}

func (t *local) reusable() bool {
	return !t.broken && !t.unsynced && t.plan.Done() && t.rest == 0 && t.block == TxStatusIdle
}

// Cancel ends the running statement.
func (t *local) Cancel() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil && t.running {
		t.conn.Cancel()
	}
}

func (t *local) setRunning(running bool) {
	t.mu.Lock()
	t.running = running
	t.mu.Unlock()
}

// LastStatus returns the newest reported status.
func (t *local) LastStatus() ReportedStatus { return t.position }

// probeTimeout bounds the wait for an answer that needs no work of the database.
const probeTimeout = time.Second
