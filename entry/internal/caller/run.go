package caller

import (
	"context"
	"time"

	"lentilwind.dev/entry/internal/executor"
	"lentilwind.dev/entry/internal/outcome"
	"lentilwind.dev/entry/internal/relay"
	"lentilwind.dev/lentilwind/group"
)

// place runs a request outside of an open block, or the first one of a block.
func (c *caller) place() bool {
	t := &c.buffers.ticket
	if failure := c.admit(t, &c.buffers.request); failure != nil {
		return c.refuse(failure)
	}
	for {
		alive, failure := c.attempt(t)
		if failure == nil {
			return alive
		}
		if !c.mayRetry(t, failure) {
			return c.refuse(failure)
		}
	}
}

// mayRetry decides whether a request that failed is tried again, and waits for the right moment.
//
// Only what was never sent or did nothing for sure, and reads and repeatable routes, may be sent again.
func (c *caller) mayRetry(t *ticket, f *outcome.Failure) bool {
	if time.Now().After(t.deadline) {
		return false
	}
	switch f.Reason {
	case outcome.ReasonBehind:
		again := !t.primary
		t.primary = true
		return again
	case outcome.ReasonRefusedBefore:
	case outcome.ReasonNoServer:
		// No server was asked, so the next attempt burdens none anew.
		t.tried = group.Configuration{}
		return c.pause(t, t.backOff())
	case outcome.ReasonConnect, outcome.ReasonHome:
		t.tried = group.Configuration{}
		if !c.elsewhere(t) && !c.pause(t, t.backOff()) {
			return false
		}
	case outcome.ReasonAnswerLost, outcome.ReasonAnswerTime, outcome.ReasonNotConfirmed:
		if !t.reads() && !t.rule.Repeatable {
			return false
		}
		c.elsewhere(t)
	default:
		return false
	}
	if t.retried {
		return true
	}
	t.retried = c.server.retries.TryRetry()
	c.server.Counters.Retries.Add(1)
	return t.retried
}

// elsewhere lets a read take turns between replicas and the primary, and reports whether the other kind is still to be tried.
func (c *caller) elsewhere(t *ticket) bool {
	if !t.reads() {
		return false
	}
	t.primary = !t.primary
	return t.primary
}

const maxBackOff = 250 * time.Millisecond

// backOff returns the pause before the next attempt to reach a database; it doubles each time.
func (t *ticket) backOff() time.Duration {
	const maxDoublings = 4
	t.attempts++
	return min(recheckPeriod<<min(t.attempts, maxDoublings), maxBackOff)
}

// attempt runs a request once; a failure means that nothing was relayed.
func (c *caller) attempt(t *ticket) (alive bool, failure *outcome.Failure) {
	where := &c.buffers.target
	if *where, failure = c.choose(t); failure != nil {
		return false, failure
	}
	if !c.granted(c.server.cfg.Directory.Snapshot()) {
		return false, outcome.ForReason(outcome.ReasonKeyWithdrawn, nil)
	}
	tx, err := c.server.cfg.Executor.Open(context.Background(), &where.opening)
	if err != nil {
		return false, outcome.FromError(err)
	}
	c.setRunning(tx)
	x := &c.buffers.exchange
	*x = exchange{caller: c, tx: tx, where: where, ticket: t, sent: time.Now()}
	if err := tx.Send(c.buffers.request.Data); err != nil {
		x.observe()
		x.close()
		return false, outcome.FromError(err)
	}
	if failure := x.receive(); failure != nil {
		x.close()
		return x.cut(failure)
	}
	return x.finish()
}

// block is an open transaction block with its connection.
type block struct {
	tx     executor.Transaction
	ticket ticket
	where  target
	wrote  bool
	// implicit tells that no ReadyForQuery has reported an open block, so that the next Sync commits.
	implicit bool
}

// continueBlock runs a further batch of an open block.
func (c *caller) continueBlock() bool {
	b := c.tx
	if !serves(b.ticket.rule) && !c.server.cfg.Directory.Leased(time.Now()) {
		return c.refuse(outcome.ForReason(outcome.ReasonNoLease, nil))
	}
	c.setRunning(b.tx)
	x := &c.buffers.exchange
	*x = exchange{caller: c, tx: b.tx, where: &b.where, ticket: &b.ticket, sent: time.Now(), inBlock: true, wrote: b.wrote}
	x.mayCommit = b.implicit || relay.MayCommit(c.buffers.request.Data)
	if err := b.tx.Send(c.buffers.request.Data); err != nil {
		return c.blockLost(x, outcome.FromError(err))
	}
	if failure := x.receive(); failure != nil {
		return c.blockLost(x, failure)
	}
	alive, failure := x.finish()
	if failure == nil {
		return alive
	}
	return c.refuse(failure)
}

// blockLost answers after the connection of a block was lost.
//
// Without a commit in what was sent, the database rolls the block back for sure.
func (c *caller) blockLost(x *exchange, f *outcome.Failure) bool {
	x.close()
	if f.SQLState == outcome.Unknown && !x.mayCommit {
		f = outcome.ForReason(outcome.ReasonRolledBack, f.Cause)
	}
	if x.relayed {
		alive, _ := x.cut(f)
		return alive
	}
	c.failed = !x.mayCommit
	return c.refuse(f)
}

// abortBlock rolls the open block back; the caller must end it before it can go on.
func (c *caller) abortBlock() {
	implicit := c.tx != nil && c.tx.implicit
	if c.tx != nil {
		c.closeBlock()
	}
	c.begin = ""
	c.failed = !implicit
}

func (c *caller) closeBlock() {
	tx := c.tx.tx
	c.tx = nil
	c.setRunning(nil)
	tx.Close()
}
