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

// The SQLSTATEs with which a database refuses a statement for its scope.
const (
	stateReadOnly outcome.SQLState = "25006"
	stateNoScope  outcome.SQLState = "55000"
)

// exchange is one batch and its answer.
type exchange struct {
	caller *caller
	tx     executor.Transaction
	where  *target
	ticket *ticket
	// position is what the server reported last, once the exchange is complete.
	position executor.ReportedStatus
	// sent is a time before the first byte of the batch was sent.
	sent    time.Time
	inBlock bool
	wrote   bool
	// mayCommit tells that the batch may end the block with a commit.
	mayCommit bool

	// ready is the offset of ReadyForQuery in the answer; 0 while there is none.
	ready int
	// block is the state of the block that ReadyForQuery reports.
	block byte
	// held is the offset of the last CommandComplete in the answer, or of the first COMMIT.
	held       int
	completes  int
	rollbacks  int
	committed  bool
	errorState outcome.SQLState
	// relayed tells that a part of the answer was sent to the caller already.
	relayed bool
	// open tells that the part sent last ends inside a message.
	open bool
	// checked tells that the group's term was found valid after the batch was sent.
	checked bool
	closed  bool
}

// close gives the connection back.
func (x *exchange) close() {
	if x.closed {
		return
	}
	x.closed = true
	x.caller.setRunning(nil)
	if x.caller.tx != nil && x.caller.tx.tx == x.tx {
		x.caller.tx = nil
	}
	x.tx.Close()
}

// cut ends an answer that was relayed in part; without one the failure goes back to be handled.
func (x *exchange) cut(f *outcome.Failure) (bool, *outcome.Failure) {
	if !x.relayed {
		return false, f
	}
	x.caller.note(f)
	if x.open {
		return false, nil
	}
	x.caller.failed = x.inBlock && !x.mayCommit
	return x.caller.writeFailure(x.caller.buffers.answer[:0], f), nil
}

// receive collects the answer and relays what does not fit into memory.
func (x *exchange) receive() *outcome.Failure {
	b := x.caller.buffers
	b.answer = b.answer[:0]
	for {
		start := len(b.answer)
		answer, event, err := x.tx.Next(b.answer)
		b.answer = answer
		if err != nil {
			return outcome.FromError(err)
		}
		if event.Done {
			return nil
		}
		x.take(event, start)
		if len(b.answer) > x.caller.server.cfg.Limits.AnswerBytes {
			if failure := x.overflow(event); failure != nil {
				return failure
			}
		}
	}
}

func (x *exchange) take(event executor.AnswerPart, start int) {
	switch event.Kind {
	case relay.KindCommandComplete:
		x.completes++
		if !x.committed {
			x.held = start
		}
		x.committed = x.committed || event.Committed
		x.wrote = x.wrote || event.Wrote
		if event.RolledBack {
			x.rollbacks++
		}
	case relay.KindErrorResponse:
		if x.errorState == "" {
			x.errorState = event.SQLState
		}
	case relay.KindReadyForQuery:
		x.ready, x.block = start, event.TxStatus
	}
}

// overflow relays the first part of a long answer. What may acknowledge a write is held back.
func (x *exchange) overflow(event executor.AnswerPart) *outcome.Failure {
	b := x.caller.buffers
	end := len(b.answer)
	if x.completes > 0 && !x.ticket.reads() {
		end = x.held
	}
	if x.ready > 0 {
		end = min(end, x.ready)
	}
	if end == 0 {
		if len(b.answer) > maxHeldAnswers*x.caller.server.cfg.Limits.AnswerBytes {
			return outcome.ForReason(outcome.ReasonAnswerSize, nil)
		}
		return nil
	}
	if failure := x.check(); failure != nil {
		return failure
	}
	if !x.caller.write(b.answer[:end]) {
		x.relayed, x.open = true, true
		return outcome.ForReason(outcome.ReasonCallerGone, nil)
	}
	x.relayed = true
	x.open = end == len(b.answer) && event.More
	b.answer = append(b.answer[:0], b.answer[end:]...)
	x.held = 0
	x.ready = max(0, x.ready-end)
	return nil
}

// maxHeldAnswers bounds what is held back of one answer, in multiples of the limit of an answer.
const maxHeldAnswers = 16

// finish ends an exchange whose answer is complete; a failure means that nothing was relayed.
func (x *exchange) finish() (bool, *outcome.Failure) {
	x.observe()
	if x.block != executor.TxStatusIdle {
		return x.keepBlock()
	}
	x.close()
	if failure := x.refusedByScope(); failure != nil {
		return x.cut(failure)
	}
	// Whatever the caller is told now, the block is over.
	x.caller.begin = ""
	if failure := x.settle(x.position); failure != nil {
		return x.cut(failure)
	}
	x.count()
	return x.deliver(), nil
}

// observe passes on what the server reported of its member.
func (x *exchange) observe() {
	x.position = x.tx.LastStatus()
	if !x.position.SentAt.IsZero() {
		x.caller.server.cfg.Positions.Observe(x.ticket.id.Service, x.where.opening.Server, x.position.Status, x.position.SentAt)
	}
}

// refusedByScope tells whether the database refused a write because it is no valid primary, so that nothing was done.
func (x *exchange) refusedByScope() *outcome.Failure {
	if x.ticket.reads() || x.errorState != stateReadOnly && x.errorState != stateNoScope {
		return nil
	}
	if x.completes > 0 {
		// A part before the refused one may have committed.
		return nil
	}
	if x.inBlock {
		return outcome.ForReason(outcome.ReasonRolledBack, nil)
	}
	opening := &x.where.opening
	x.ticket.tried = group.Configuration{Group: opening.Group, Term: opening.Term, Primary: opening.Server}
	return outcome.ForReason(outcome.ReasonRefusedBefore, nil)
}

// settle waits for what must be known before the caller may see the end of the answer.
func (x *exchange) settle(position executor.ReportedStatus) *outcome.Failure {
	if x.ticket.reads() {
		return x.check()
	}
	if x.completes == x.rollbacks {
		return nil
	}
	opening := &x.where.opening
	if position.SentAt.IsZero() || position.Status.Term != opening.Term {
		return outcome.ForReason(outcome.ReasonNotConfirmed, nil)
	}
	ctx := x.caller.patience()
	defer x.caller.buffers.patience.stop()
	var err error
	if x.wrote {
		err = x.caller.server.cfg.Positions.Confirm(ctx, opening.Group, opening.Term, position.Status.Applied)
	} else {
		err = x.caller.server.cfg.Positions.ConfirmCurrent(ctx, opening.Group, opening.Term, position.Status.Applied, x.sent)
	}
	if err != nil {
		return outcome.ForReason(outcome.ReasonNotConfirmed, err)
	}
	return nil
}

// check makes sure that what is about to be shown was not read from a server of a replaced term.
func (x *exchange) check() *outcome.Failure {
	if x.checked || x.ticket.reads() && time.Now().Before(x.where.until) {
		return nil
	}
	if x.where.replica {
		return outcome.ForReason(outcome.ReasonBehind, nil)
	}
	opening := &x.where.opening
	position := x.position
	if !x.closed {
		position = x.tx.LastStatus()
	}
	ctx := x.caller.patience()
	defer x.caller.buffers.patience.stop()
	err := x.caller.server.cfg.Positions.ConfirmCurrent(ctx, opening.Group, opening.Term, position.Status.Applied, x.sent)
	if err != nil {
		return outcome.ForReason(outcome.ReasonBehind, err)
	}
	x.checked = true
	return nil
}

// keepBlock leaves the transaction open and relays the answer.
func (x *exchange) keepBlock() (bool, *outcome.Failure) {
	c := x.caller
	if x.ticket.reads() {
		if failure := x.check(); failure != nil {
			x.close()
			c.failed = x.inBlock && x.block != 0
			return x.cut(failure)
		}
	}
	if failure := x.refusedByScope(); failure != nil {
		x.close()
		c.failed = x.inBlock && !x.mayCommit
		return x.cut(failure)
	}
	c.setRunning(nil)
	c.begin = ""
	if c.tx == nil {
		c.tx = &block{tx: x.tx, ticket: *x.ticket, where: *x.where}
		c.tx.ticket.view = route.View{}
		x.boundReplica(&c.tx.where)
	}
	c.tx.wrote = x.wrote
	c.tx.implicit = x.ready == 0
	return c.write(c.buffers.answer), nil
}

// boundReplica ends the use of a replica inside a block at the time when what it showed at first is too old, since it reports no
// age there.
func (x *exchange) boundReplica(where *target) {
	if !where.replica {
		return
	}
	limit := x.position.SentAt.Add(where.opening.MaxStaleness - x.position.Status.Lag)
	if limit.Before(where.until) {
		where.until = limit
	}
}

func (x *exchange) count() {
	counters := &x.caller.server.Counters
	switch {
	case !x.caller.buffers.request.Executes:
	case !x.ticket.reads():
		counters.Writes.Add(1)
	case x.where.replica:
		counters.ReplicaReads.Add(1)
	default:
		counters.PrimaryReads.Add(1)
	}
}

// deliver sends the rest of the answer, with a new token before ReadyForQuery when the session's floor has risen.
func (x *exchange) deliver() bool {
	c, b := x.caller, x.caller.buffers
	if x.ticket.reads() || x.completes == x.rollbacks || !x.raise() || x.ready+relay.HeaderBytes > len(b.answer) {
		return c.write(b.answer)
	}
	state := b.answer[len(b.answer)-1]
	b.answer = c.appendToken(b.answer[:x.ready], session.ParameterName)
	b.answer = appendReady(b.answer, state)
	return c.write(b.answer)
}

func (x *exchange) raise() bool {
	status := x.position.Status
	return x.caller.state.Raise(x.ticket.id, group.Floor{Term: status.Term, Position: status.Applied})
}
