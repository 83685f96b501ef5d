package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"lentilwind.dev/instance/peer"
	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/forward"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/statement"
)

// Time limits of work on a database.
const (
	// minAttemptTime is the least remaining time in which an attempt at a database is worthwhile.
	minAttemptTime = 10 * time.Millisecond
	// forwardOverhead is the time allowed for the round trip to another entry, in addition to the work itself.
	forwardOverhead = 60 * time.Millisecond
	// entryDownPeriod is how long an entry that did not answer gets no work.
	entryDownPeriod = 600 * time.Millisecond
)

// beginReadWrite opens a transaction that only a primary accepts, and rollbackInternal ends it.
var (
	beginReadWrite   = statement.Statement{ID: statement.ProxyID, Verb: statement.Begin}
	rollbackInternal = statement.Statement{ID: statement.ProxyID, Verb: statement.Rollback}
)

func failureResult(failure forward.Failure, detail string) forward.Result {
	return forward.Result{Failure: failure, Detail: detail}
}

// failureKind classifies the error of an exchange.
func failureKind(err error) forward.Failure {
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return forward.TimedOut
	}
	return forward.ConnectionLost
}

// Register registers the handler for work that other entries forward to this one.
func (p *Proxy) Register(server *peer.Server) {
	server.Handle(forward.KindWork, peer.TypedHandler(func(_ context.Context, _ inventory.InstanceName, work forward.Work) (forward.Result, error) {
		return p.runLocal(work), nil
	}))
}

// runLocal runs work on a connection of this entry. Nothing is sent to a server whose data centre is evacuated or whose drain time is over,
// also if the entry that forwarded the work does not know of it yet. That is checked again after the wait for a connection.
func (p *Proxy) runLocal(work forward.Work) forward.Result {
	deadline := p.cfg.Now().Add(work.Timeout)
	if work.HeldConnection != 0 {
		return p.runOnHeldConn(work, deadline)
	}
	c := p.cluster(work.Service)
	if c == nil {
		return failureResult(forward.NotSent, "the service is not known")
	}
	pool := c.pool(work.Server)
	if pool == nil {
		return failureResult(forward.NotSent, "the server is not known")
	}
	if refusal := p.refusesNewWork(pool); refusal != "" {
		return failureResult(forward.NotSent, refusal)
	}
	conn, err := pool.acquire(work)
	if err != nil {
		result := failureResult(forward.NotSent, err.Error())
		result.Load = pool.localWorkCount()
		return result
	}
	if refusal := p.refusesNewWork(pool); refusal != "" {
		conn.release()
		return failureResult(forward.NotSent, refusal)
	}
	result := p.runOnConn(conn, work, deadline)
	if result.HeldConnection == 0 {
		conn.release()
	} else {
		conn.suspend()
	}
	result.Load, result.ServiceTime = pool.localWorkCount(), pool.localServiceTime()
	return result
}

// refusesNewWork returns why no new work may be sent to a server, or "" if it may.
func (p *Proxy) refusesNewWork(pool *pool) string {
	switch {
	case p.withdrawn(pool.server):
		return evacuatedDetail
	case pool.drained(p.cfg.Now(), p.cfg.DrainTime):
		return errDrained.Error()
	default:
		return ""
	}
}

// runOnHeldConn runs work on the connection of an open transaction.
func (p *Proxy) runOnHeldConn(work forward.Work, deadline time.Time) forward.Result {
	conn, refusal := p.held.checkOut(work.HeldConnection, work.Workspace)
	if refusal != "" {
		p.logHeldRefusal(work, refusal)
		return failureResult(forward.NotSent, "the transaction's connection is gone")
	}
	if work.CloseHeld || p.withdrawn(conn.pool.server) {
		p.held.remove(work.HeldConnection)
		conn.resume()
		conn.broken = true
		conn.release()
		if !work.CloseHeld {
			return failureResult(forward.NotSent, evacuatedDetail)
		}
		return forward.Result{}
	}
	conn.resume()
	result := p.runOnConn(conn, work, deadline)
	if work.ReleaseHeld || conn.broken {
		p.held.remove(work.HeldConnection)
		conn.release()
		return result
	}
	conn.suspend()
	p.held.checkIn(work.HeldConnection, p.cfg.Now())
	result.HeldConnection = work.HeldConnection
	return result
}

// runOnConn runs work on the given connection.
func (p *Proxy) runOnConn(conn *pooledConn, work forward.Work, deadline time.Time) forward.Result {
	if err := conn.prepareFor(work.Values, work.Prepared); err != nil {
		return failureResult(forward.NotSent, err.Error())
	}
	var result forward.Result
	if work.Begin != nil {
		answers, err := conn.exchange(min(max(deadline.Sub(p.cfg.Now()), minAttemptTime), setupTimeout), *work.Begin)
		if err != nil {
			return failureResult(forward.NotSent, "the transaction could not be opened")
		}
		result.BeginAnswer = &answers[0]
		if answers[0].Outcome != statement.Done {
			return result
		}
	}
	statements := make([]statement.Statement, len(work.Statements), len(work.Statements)+1)
	copy(statements, work.Statements)
	for i := range statements {
		if statements[i].Verb == statement.Execute && work.Prepared != nil {
			statements[i].Name = conn.statementName(*work.Prepared)
		}
	}
	rollbackAfter := work.Begin != nil && !work.HoldConnection
	if rollbackAfter {
		statements = append(statements, rollbackInternal)
	}
	if len(statements) > 0 {
		p.exchangeStatements(&result, conn, deadline, statements, len(work.Statements))
	}
	lastState := lastTransactionState(result)
	if work.HoldConnection && !conn.broken && lastState == statement.InTransaction {
		result.HeldConnection = p.held.add(conn, p.cfg.Now())
	} else if lastState != statement.Idle && (work.HeldConnection == 0 || work.ReleaseHeld) {
		conn.broken = true
	}
	return result
}

func (p *Proxy) exchangeStatements(result *forward.Result, conn *pooledConn, deadline time.Time, statements []statement.Statement, requested int) {
	answers, err := conn.exchange(max(deadline.Sub(p.cfg.Now()), minAttemptTime), statements...)
	if err != nil && len(answers) < requested {
		result.Failure, result.Detail = failureKind(err), err.Error()
	}
	if len(answers) > requested && answers[requested].State != statement.Idle {
		conn.broken = true
	}
	result.Answers = answers[:min(requested, len(answers))]
	if err == nil && len(answers) > requested {
		// The rollback has ended the transaction, whatever the state after the statements was.
		for i := range result.Answers {
			result.Answers[i].State = statement.Idle
		}
	}
}

// lastTransactionState returns the last transaction state that the database reported.
func lastTransactionState(result forward.Result) statement.State {
	switch {
	case len(result.Answers) > 0:
		return result.Answers[len(result.Answers)-1].State
	case result.BeginAnswer != nil:
		return result.BeginAnswer.State
	default:
		return statement.Idle
	}
}

// runRemote forwards work to another entry. It reports false if the work certainly did not arrive there.
func (p *Proxy) runRemote(target *peerEntry, work forward.Work) (forward.Result, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), work.Timeout+forwardOverhead)
	defer cancel()
	var result forward.Result
	err := p.cfg.Client.Call(ctx, target.info.Address, forward.KindWork, work, &result)
	switch {
	case err == nil:
		return result, true
	case errors.Is(err, peer.ErrNotSent):
		target.markDown(p.cfg.Now().Add(entryDownPeriod))
		return forward.Result{}, false
	default:
		target.markDown(p.cfg.Now().Add(entryDownPeriod))
		failure := forward.ConnectionLost
		if ctx.Err() != nil {
			failure = forward.TimedOut
		}
		return failureResult(failure, err.Error()), true
	}
}

// continueTransaction runs work at the entry that holds the transaction's connection; nil stands for this entry.
func (p *Proxy) continueTransaction(owner *peerEntry, work forward.Work) forward.Result {
	if owner == nil {
		return p.runLocal(work)
	}
	result, reached := p.runRemote(owner, work)
	if !reached {
		return failureResult(forward.NotSent, "the entry that holds the connection does not answer")
	}
	return result
}

// dropHeldConn closes the connection of an open transaction, which rolls the transaction back.
func (p *Proxy) dropHeldConn(owner *peerEntry, workspace inventory.WorkspaceName, heldID forward.HeldID) {
	work := forward.Work{Workspace: workspace, HeldConnection: heldID, CloseHeld: true, Timeout: setupTimeout}
	if owner == nil {
		p.runLocal(work)
		return
	}
	// The result is not needed. If the message is lost, the connection is closed by the idle limit of transactions.
	go p.runRemote(owner, work)
}

// peerEntry is an entry that may own connections to databases.
type peerEntry struct {
	info fleet.Entry

	mu        sync.Mutex
	downUntil time.Time
}

func (e *peerEntry) markDown(until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.downUntil = until
}

func (e *peerEntry) usable(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !now.Before(e.downUntil)
}
