package caller

import (
	"time"

	"lentilwind.dev/entry/internal/executor"
	"lentilwind.dev/entry/internal/outcome"
	"lentilwind.dev/entry/internal/relay"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/route"
	"lentilwind.dev/lentilwind/session"
)

// SQLSTATEs with which a database rejects a statement because of its scope.
const (
	sqlStateReadOnly outcome.SQLState = "25006"
	sqlStateNoScope  outcome.SQLState = "55000"
)

// exchange is one batch sent to a database, and its answer.
type exchange struct {
	caller   *callerConn
	tx       executor.Transaction
	target   *target
	admitted *admittedTx
	// reported is the last status that the server reported; set when the exchange is complete.
	reported executor.ReportedStatus
	// sendStart is a time before the first byte of the batch was sent.
	sendStart time.Time
	inBlock   bool
	wrote     bool
	// mayCommit is set if the batch may end the block with a commit.
	mayCommit bool

	// readyOffset is the offset of ReadyForQuery in the answer; 0 while there is none.
	readyOffset int
	// txStatus is the transaction status that ReadyForQuery reports.
	txStatus byte
	// heldOffset is the offset of the first COMMIT in the answer, otherwise of the last CommandComplete. An unconfirmed write is held back
	// from there on.
	heldOffset    int
	completions   int
	rollbacks     int
	committed     bool
	errorSQLState outcome.SQLState
	// relayed is set once a part of the answer has been sent to the caller.
	relayed bool
	// midMessage is set if the last part sent ends inside a message.
	midMessage bool
	// termChecked is set once the group's term was found valid after the batch was sent.
	termChecked bool
	released    bool
}

// release returns the connection to the executor.
func (x *exchange) release() {
	if x.released {
		return
	}
	x.released = true
	x.caller.setRunningTx(nil)
	if x.caller.block != nil && x.caller.block.tx == x.tx {
		x.caller.block = nil
	}
	x.tx.Close()
}

// endPartialAnswer ends a partially relayed answer with the failure; if nothing was relayed, it returns the failure to be handled.
func (x *exchange) endPartialAnswer(f *outcome.Failure) (bool, *outcome.Failure) {
	if !x.relayed {
		return false, f
	}
	x.caller.recordFailure(f)
	if x.midMessage {
		return false, nil
	}
	x.caller.blockFailed = x.inBlock && !x.mayCommit
	return x.caller.writeFailure(x.caller.buffers.answer[:0], f), nil
}

// receive buffers the answer and relays parts of it that exceed the buffer limit.
func (x *exchange) receive() *outcome.Failure {
	b := x.caller.buffers
	b.answer = b.answer[:0]
	for {
		start := len(b.answer)
		answer, part, err := x.tx.Next(b.answer)
		b.answer = answer
		if err != nil {
			return outcome.FromError(err)
		}
		if part.Done {
			return nil
		}
		x.inspect(part, start)
		if len(b.answer) > x.caller.server.cfg.Limits.AnswerBytes {
			if failure := x.relayPart(part); failure != nil {
				return failure
			}
		}
	}
}

func (x *exchange) inspect(part executor.AnswerPart, start int) {
	switch part.Kind {
	case relay.KindCommandComplete:
		x.completions++
		if !x.committed {
			x.heldOffset = start
		}
		x.committed = x.committed || part.Committed
		x.wrote = x.wrote || part.Wrote
		if part.RolledBack {
			x.rollbacks++
		}
	case relay.KindErrorResponse:
		if x.errorSQLState == "" {
			x.errorSQLState = part.SQLState
		}
	case relay.KindReadyForQuery:
		x.readyOffset, x.txStatus = start, part.TxStatus
	}
}

// relayPart relays the first part of a long answer. It holds back any message that may acknowledge a write.
func (x *exchange) relayPart(part executor.AnswerPart) *outcome.Failure {
	b := x.caller.buffers
	end := len(b.answer)
	if x.completions > 0 && !x.admitted.reads() {
		end = x.heldOffset
	}
	if x.readyOffset > 0 {
		end = min(end, x.readyOffset)
	}
	if end == 0 {
		if len(b.answer) > heldAnswerFactor*x.caller.server.cfg.Limits.AnswerBytes {
			return outcome.ForReason(outcome.ReasonAnswerSize, nil)
		}
		return nil
	}
	if failure := x.checkTerm(); failure != nil {
		return failure
	}
	if !x.caller.write(b.answer[:end]) {
		x.relayed, x.midMessage = true, true
		return outcome.ForReason(outcome.ReasonCallerGone, nil)
	}
	x.relayed = true
	x.midMessage = end == len(b.answer) && part.More
	b.answer = append(b.answer[:0], b.answer[end:]...)
	x.heldOffset = 0
	x.readyOffset = max(0, x.readyOffset-end)
	return nil
}

// heldAnswerFactor bounds the held-back part of one answer, as a multiple of Limits.AnswerBytes.
const heldAnswerFactor = 16

// finish completes an exchange whose answer is complete; a failure means that nothing was relayed.
func (x *exchange) finish() (bool, *outcome.Failure) {
	x.reportStatus()
	if x.txStatus != executor.TxStatusIdle {
		return x.keepBlock()
	}
	x.release()
	if failure := x.scopeRefusal(); failure != nil {
		return x.endPartialAnswer(failure)
	}
	// The block has ended, whichever answer the caller receives.
	x.caller.deferredBegin = ""
	if failure := x.confirmAnswer(x.reported); failure != nil {
		return x.endPartialAnswer(failure)
	}
	x.countServed()
	return x.sendAnswer(), nil
}

// reportStatus passes the status that the server reported to Positions.
func (x *exchange) reportStatus() {
	x.reported = x.tx.LastStatus()
	if !x.reported.SentAt.IsZero() {
		x.caller.server.cfg.Positions.Observe(x.admitted.group.Service, x.target.forward.Server, x.reported.Status, x.reported.SentAt)
	}
}

// scopeRefusal returns a failure if the database rejected a write because it is not a valid primary; the write then had no effect.
func (x *exchange) scopeRefusal() *outcome.Failure {
	if x.admitted.reads() || x.errorSQLState != sqlStateReadOnly && x.errorSQLState != sqlStateNoScope {
		return nil
	}
	if x.completions > 0 {
		// A statement before the rejected one may have committed.
		return nil
	}
	if x.inBlock {
		return outcome.ForReason(outcome.ReasonRolledBack, nil)
	}
	forward := &x.target.forward
	x.admitted.failedUnder = group.Configuration{Group: forward.Group, Term: forward.Term, Primary: forward.Server}
	return outcome.ForReason(outcome.ReasonRefusedBefore, nil)
}

// confirmAnswer waits for the confirmation that must precede the end of the answer: the term for reads, the majority for writes.
func (x *exchange) confirmAnswer(reported executor.ReportedStatus) *outcome.Failure {
	if x.admitted.reads() {
		return x.checkTerm()
	}
	if x.completions == x.rollbacks {
		return nil
	}
	forward := &x.target.forward
	if reported.SentAt.IsZero() || reported.Status.Term != forward.Term {
		return outcome.ForReason(outcome.ReasonNotConfirmed, nil)
	}
	ctx := x.caller.confirmContext()
	defer x.caller.buffers.waitContext.stop()
	var err error
	if x.wrote {
		err = x.caller.server.cfg.Positions.Confirm(ctx, forward.Group, forward.Term, reported.Status.Applied)
	} else {
		err = x.caller.server.cfg.Positions.ConfirmCurrent(ctx, forward.Group, forward.Term, reported.Status.Applied, x.sendStart)
	}
	if err != nil {
		return outcome.ForReason(outcome.ReasonNotConfirmed, err)
	}
	return nil
}

// checkTerm ensures that the answer was not read from a server of a term that has been replaced.
func (x *exchange) checkTerm() *outcome.Failure {
	if x.termChecked || x.admitted.reads() && time.Now().Before(x.target.validUntil) {
		return nil
	}
	if x.target.replica {
		return outcome.ForReason(outcome.ReasonBehind, nil)
	}
	forward := &x.target.forward
	reported := x.reported
	if !x.released {
		reported = x.tx.LastStatus()
	}
	ctx := x.caller.confirmContext()
	defer x.caller.buffers.waitContext.stop()
	err := x.caller.server.cfg.Positions.ConfirmCurrent(ctx, forward.Group, forward.Term, reported.Status.Applied, x.sendStart)
	if err != nil {
		return outcome.ForReason(outcome.ReasonBehind, err)
	}
	x.termChecked = true
	return nil
}

// keepBlock keeps the transaction open and relays the answer.
func (x *exchange) keepBlock() (bool, *outcome.Failure) {
	c := x.caller
	if x.committed && x.wrote {
		// Databases report their position only outside of blocks, so the commit before the new block can't be confirmed.
		x.release()
		return x.endPartialAnswer(outcome.ForReason(outcome.ReasonNotConfirmed, nil))
	}
	if x.admitted.reads() {
		if failure := x.checkTerm(); failure != nil {
			x.release()
			c.blockFailed = x.inBlock && x.txStatus != 0
			return x.endPartialAnswer(failure)
		}
	}
	if failure := x.scopeRefusal(); failure != nil {
		x.release()
		c.blockFailed = x.inBlock && !x.mayCommit
		return x.endPartialAnswer(failure)
	}
	c.setRunningTx(nil)
	c.deferredBegin = ""
	if c.block == nil {
		c.block = &block{tx: x.tx, admitted: *x.admitted, target: *x.target}
		c.block.admitted.view = route.View{}
		x.limitReplicaUse(&c.block.target)
	}
	c.block.wrote = x.wrote
	c.block.implicit = x.readyOffset == 0
	c.block.boundCommit = c.block.boundCommit || !c.buffers.request.SimpleQuery && relay.MayCommit(c.buffers.request.Data)
	return c.write(c.buffers.answer), nil
}

// limitReplicaUse limits the use of a replica inside a block to the time when the state of its first answer becomes too stale: inside a
// block, the replica does not report its staleness.
func (x *exchange) limitReplicaUse(used *target) {
	if !used.replica {
		return
	}
	limit := x.reported.SentAt.Add(used.forward.MaxStaleness - x.reported.Status.Lag)
	if limit.Before(used.validUntil) {
		used.validUntil = limit
	}
}

func (x *exchange) countServed() {
	counters := &x.caller.server.Counters
	switch {
	case !x.caller.buffers.request.Executes:
	case !x.admitted.reads():
		counters.Writes.Add(1)
	case x.target.replica:
		counters.ReplicaReads.Add(1)
	default:
		counters.PrimaryReads.Add(1)
	}
}

// sendAnswer sends the rest of the answer. If the session must now see a newer position, a new token precedes ReadyForQuery.
func (x *exchange) sendAnswer() bool {
	c, b := x.caller, x.caller.buffers
	if x.admitted.reads() || x.completions == x.rollbacks || !x.raiseSessionFloor() || x.readyOffset+relay.HeaderBytes > len(b.answer) {
		return c.write(b.answer)
	}
	txStatus := b.answer[len(b.answer)-1]
	b.answer = c.appendToken(b.answer[:x.readyOffset], session.ParameterName)
	b.answer = appendReady(b.answer, txStatus)
	return c.write(b.answer)
}

func (x *exchange) raiseSessionFloor() bool {
	status := x.reported.Status
	return x.caller.session.Raise(x.admitted.group, group.Floor{Term: status.Term, Position: status.Applied})
}
