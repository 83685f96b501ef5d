package caller

import (
	"context"
	"time"

	"lentilwind.dev/entry/internal/executor"
	"lentilwind.dev/entry/internal/outcome"
	"lentilwind.dev/entry/internal/relay"
	"lentilwind.dev/lentilwind/group"
)

// runRequest runs a request outside of an open block, or the first request of a block.
func (c *callerConn) runRequest() bool {
	t := &c.buffers.admitted
	if failure := c.admit(t, &c.buffers.request); failure != nil {
		return c.refuse(failure)
	}
	for {
		alive, failure := c.attempt(t)
		if failure == nil {
			return alive
		}
		if !c.prepareRetry(t, failure) {
			return c.refuse(failure)
		}
	}
}

// prepareRetry reports whether a failed request is retried, and waits for the back-off.
//
// Only a request that was not sent or certainly had no effect may be retried, besides reads and requests of repeatable routes.
func (c *callerConn) prepareRetry(t *admittedTx, f *outcome.Failure) bool {
	if time.Now().After(t.deadline) {
		return false
	}
	switch f.Reason {
	case outcome.ReasonBehind:
		again := !t.primaryOnly
		t.primaryOnly = true
		return again
	case outcome.ReasonRefusedBefore:
	case outcome.ReasonNoServer:
		// No server received the request, so a retry adds no load and is not charged to the budget.
		t.failedUnder = group.Configuration{}
		return c.awaitDirectoryChange(t, t.backOff())
	case outcome.ReasonConnect, outcome.ReasonHome:
		t.failedUnder = group.Configuration{}
		if !c.alternateTarget(t) && !c.awaitDirectoryChange(t, t.backOff()) {
			return false
		}
	case outcome.ReasonAnswerLost, outcome.ReasonAnswerTime, outcome.ReasonNotConfirmed:
		if !t.reads() && !t.rule.Repeatable {
			return false
		}
		c.alternateTarget(t)
	default:
		return false
	}
	if t.budgetUsed {
		return true
	}
	t.budgetUsed = c.server.retryBudget.TryRetry()
	c.server.Counters.Retries.Add(1)
	return t.budgetUsed
}

// alternateTarget switches a read between replicas and the primary; it returns true if the primary is to be tried next. For writes it
// does nothing.
func (c *callerConn) alternateTarget(t *admittedTx) bool {
	if !t.reads() {
		return false
	}
	t.primaryOnly = !t.primaryOnly
	return t.primaryOnly
}

const maxBackOff = 250 * time.Millisecond

// backOff returns the wait before the next attempt to reach a database; it doubles each time up to maxBackOff.
func (t *admittedTx) backOff() time.Duration {
	const maxDoublings = 4
	t.failedConnects++
	return min(recheckPeriod<<min(t.failedConnects, maxDoublings), maxBackOff)
}

// attempt runs a request once; a failure means that nothing was relayed to the caller.
func (c *callerConn) attempt(t *admittedTx) (alive bool, failure *outcome.Failure) {
	chosen := &c.buffers.target
	if *chosen, failure = c.chooseTarget(t); failure != nil {
		return false, failure
	}
	if !c.granted(c.server.cfg.Directory.Snapshot()) {
		return false, outcome.ForReason(outcome.ReasonKeyWithdrawn, nil)
	}
	tx, err := c.server.cfg.Executor.Open(context.Background(), &chosen.forward)
	if err != nil {
		return false, outcome.FromError(err)
	}
	c.setRunningTx(tx)
	x := &c.buffers.exchange
	*x = exchange{caller: c, tx: tx, target: chosen, admitted: t, sendStart: time.Now()}
	if err := tx.Send(c.buffers.request.Data); err != nil {
		x.reportStatus()
		x.release()
		return false, outcome.FromError(err)
	}
	if failure := x.receive(); failure != nil {
		x.release()
		return x.endPartialAnswer(failure)
	}
	return x.finish()
}

// block is an open transaction block and its database connection.
type block struct {
	tx       executor.Transaction
	admitted admittedTx
	target   target
	wrote    bool
	// implicit is set while no ReadyForQuery has reported an open block; the next Sync then commits.
	implicit bool
	// boundCommit is set once a batch has bound a portal whose statement may commit; a later batch may execute the portal.
	boundCommit bool
}

// continueBlock runs the next batch of an open block.
func (c *callerConn) continueBlock() bool {
	b := c.block
	if !c.servesWithoutLease(b.admitted.rule) && !c.server.cfg.Directory.Leased(time.Now()) {
		return c.refuse(outcome.ForReason(outcome.ReasonNoLease, nil))
	}
	c.setRunningTx(b.tx)
	x := &c.buffers.exchange
	*x = exchange{caller: c, tx: b.tx, target: &b.target, admitted: &b.admitted, sendStart: time.Now(), inBlock: true, wrote: b.wrote}
	r := &c.buffers.request
	x.mayCommit = b.implicit || r.ExecutesEarlierPortal && b.boundCommit || relay.MayCommit(r.Data)
	if err := b.tx.Send(c.buffers.request.Data); err != nil {
		return c.handleLostBlock(x, outcome.FromError(err))
	}
	if failure := x.receive(); failure != nil {
		return c.handleLostBlock(x, failure)
	}
	alive, failure := x.finish()
	if failure == nil {
		return alive
	}
	return c.refuse(failure)
}

// handleLostBlock answers after the loss of a block's connection.
//
// If the batch cannot have committed the block, the database is certain to roll it back.
func (c *callerConn) handleLostBlock(x *exchange, f *outcome.Failure) bool {
	x.release()
	if f.SQLState == outcome.Unknown && !x.mayCommit {
		f = outcome.ForReason(outcome.ReasonRolledBack, f.Cause)
	}
	if x.relayed {
		alive, _ := x.endPartialAnswer(f)
		return alive
	}
	c.blockFailed = !x.mayCommit
	return c.refuse(f)
}

// abortBlock rolls back the open block; the caller must end the block before other statements are accepted.
func (c *callerConn) abortBlock() {
	implicit := c.block != nil && c.block.implicit
	if c.block != nil {
		c.closeBlock()
	}
	c.deferredBegin = ""
	c.blockFailed = !implicit
}

func (c *callerConn) closeBlock() {
	tx := c.block.tx
	c.block = nil
	c.setRunningTx(nil)
	tx.Close()
}
