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
	pools        *pool.Set
	waitRegistry *WaitRegistry
}

// NewLocal returns an executor over a set of pools.
func NewLocal(pools *pool.Set, waitRegistry *WaitRegistry) *Local {
	return &Local{pools: pools, waitRegistry: waitRegistry}
}

var errNoPool = errors.New("executor: the entry has no connections to the server")

// Open waits for a connection from the server's pool.
func (l *Local) Open(ctx context.Context, opening *protocol.Forward) (Transaction, error) {
	p := l.pools.Pool(opening.Server)
	if p == nil || !p.Available() {
		return nil, outcome.ForReason(outcome.ReasonNoServer, errNoPool)
	}
	t := transactions.Get().(*localTransaction)
	t.waitRegistry = l.waitRegistry
	t.reset(p, opening)
	if err := t.acquire(ctx); err != nil {
		t.recycle()
		return nil, err
	}
	return t, nil
}

var transactions = sync.Pool{New: func() any { return &localTransaction{} }}

func (t *localTransaction) reset(p *pool.Pool, opening *protocol.Forward) {
	t.pool = p
	t.opening = *opening
	t.scope = pool.Scope{Workspace: opening.Workspace, Slot: opening.Group.Slot, Term: opening.Term, Access: opening.Access}
	t.request = pool.Request{Scope: t.scope, Class: pool.Class{
		Workspace: opening.Workspace, Priority: opening.Priority, Weight: opening.Weight,
	}, Deadline: time.Now().Add(opening.QueueTimeout)}
	t.plan.Reset()
	t.status = ReportedStatus{}
	t.scopeSet, t.broken, t.awaitingSync, t.txStatus, t.remaining = false, false, false, TxStatusIdle, 0
	t.pendingParses = t.pendingParses[:0]
}

func (t *localTransaction) recycle() {
	t.pool = nil
	transactions.Put(t)
}

// acquire gets a connection within the time that the opening allows.
func (t *localTransaction) acquire(ctx context.Context) error {
	conn := t.pool.TryAcquire(&t.request)
	if conn == nil {
		var err error
		if conn, err = t.awaitConnection(ctx); err != nil {
			return err
		}
	}
	t.mu.Lock()
	t.conn = conn
	t.mu.Unlock()
	return nil
}

// awaitConnection waits for a connection. The wait also ends when the server is closed or its term has ended.
func (t *localTransaction) awaitConnection(ctx context.Context) (*pool.Conn, error) {
	ctx, w := t.waitRegistry.begin(ctx, &t.opening)
	defer w.end()
	conn, err := t.pool.Acquire(ctx, &t.request)
	if err == nil {
		return conn, nil
	}
	if becameObsolete(ctx) {
		return nil, outcome.ForReason(outcome.ReasonNoServer, errObsolete)
	}
	if errors.Is(err, pool.ErrClosed) {
		return nil, outcome.ForReason(outcome.ReasonNoServer, errNoPool)
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, pool.ErrWaitTooLong) {
		return nil, outcome.ForReason(outcome.ReasonQueue, err)
	}
	return nil, outcome.ForReason(outcome.ReasonConnect, err)
}

func (t *localTransaction) isRead() bool { return t.opening.Access == inventory.AccessRead }

// detach removes the connection from the transaction, so that Cancel no longer reaches it.
func (t *localTransaction) detach() *pool.Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	conn := t.conn
	t.conn = nil
	return conn
}

// Close returns the connection to its pool or closes it.
func (t *localTransaction) Close() {
	conn := t.detach()
	if conn != nil {
		t.pool.Release(conn, t.reusable())
	}
	t.recycle()
}

func (t *localTransaction) reusable() bool {
	return !t.broken && !t.awaitingSync && t.plan.Done() && t.remaining == 0 && t.txStatus == TxStatusIdle
}

// Cancel cancels the running statement.
func (t *localTransaction) Cancel() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil && t.running {
		t.conn.Cancel()
	}
}

func (t *localTransaction) setRunning(running bool) {
	t.mu.Lock()
	t.running = running
	t.mu.Unlock()
}

// LastStatus returns the newest status that the server reported.
func (t *localTransaction) LastStatus() ReportedStatus { return t.status }

// probeTimeout bounds the wait for answers that need no work by the database.
const probeTimeout = time.Second
