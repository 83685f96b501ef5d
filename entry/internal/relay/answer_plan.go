package relay

// Step is one part of the expected answer to a batch.
type Step byte

// Steps of an answer.
const (
	// StepQuery is the complete answer to a simple query.
	StepQuery Step = iota
	StepParse
	// StepEnsurePrepared is a ParseComplete that is hidden from the caller.
	StepEnsurePrepared
	// StepLocalParse is a ParseComplete that the entry generates, because the statement is already prepared.
	StepLocalParse
	// StepLocalClose is a CloseComplete that the entry generates, because statements stay prepared on the connection.
	StepLocalClose
	StepBind
	StepDescribe
	StepExecute
	StepClose
	StepSync
)

// AnswerPlan is the sequence of answers that are outstanding on a connection.
type AnswerPlan struct {
	steps []Step
	next  int
	// skipping reports that the database discards messages up to the next Sync.
	skipping bool
}

// Reset empties the plan.
func (p *AnswerPlan) Reset() { p.steps, p.next, p.skipping = p.steps[:0], 0, false }

// Add appends a step.
func (p *AnswerPlan) Add(step Step) { p.steps = append(p.steps, step) }

// Done reports whether no answer is outstanding.
func (p *AnswerPlan) Done() bool { return p.next == len(p.steps) }

// NextBatch starts the next batch of the same pipeline or transaction.
func (p *AnswerPlan) NextBatch() { p.steps, p.next = p.steps[:0], 0 }

// SkipFailed removes the steps that the database skips because of an error in an earlier batch of the same pipeline.
func (p *AnswerPlan) SkipFailed() {
	if !p.skipping || len(p.steps) == 0 {
		return
	}
	p.skipping = false
	p.skipToSync()
}

// AppendLocal appends the generated answers that are due before the next message of the database.
func (p *AnswerPlan) AppendLocal(dst []byte) []byte {
	for ; p.next < len(p.steps); p.next++ {
		switch p.steps[p.next] {
		case StepLocalParse:
			dst = AppendHeader(dst, KindParseComplete, 0)
		case StepLocalClose:
			dst = AppendHeader(dst, KindCloseComplete, 0)
		default:
			return dst
		}
	}
	return dst
}

// Action is what to do with a message of the answer.
type Action byte

// Actions for a message.
const (
	// Relay passes the message on to the caller.
	Relay Action = iota
	// Drop hides the message from the caller.
	Drop
	// Unexpected means that the message does not belong to the expected answer.
	Unexpected
)

// Classify advances the plan by a message of the database.
func (p *AnswerPlan) Classify(kind Kind) Action {
	switch kind {
	case KindNotice, KindParameterStatus:
		return Relay
	case KindNotification:
		return Drop
	}
	if p.Done() {
		return Unexpected
	}
	if kind == KindErrorResponse {
		p.skipToSync()
		return Relay
	}
	return p.advance(kind)
}

// skipToSync skips the steps that the database skips after an error.
func (p *AnswerPlan) skipToSync() {
	if p.steps[p.next] == StepQuery {
		return
	}
	for p.next < len(p.steps) && p.steps[p.next] != StepSync {
		p.next++
	}
	p.skipping = p.Done()
}

func (p *AnswerPlan) advance(kind Kind) Action {
	step := p.steps[p.next]
	action := Relay
	complete := false
	switch step {
	case StepQuery:
		complete = kind == KindReadyForQuery
		if kind == KindParseComplete || kind == KindBindComplete || kind == KindCloseComplete || kind == KindParameterDescription {
			return Unexpected
		}
	case StepParse, StepEnsurePrepared:
		complete = kind == KindParseComplete
		if step == StepEnsurePrepared {
			action = Drop
		}
	case StepBind:
		complete = kind == KindBindComplete
	case StepDescribe:
		if kind == KindParameterDescription {
			return Relay
		}
		complete = kind == KindRowDescription || kind == KindNoData
	case StepExecute:
		complete = kind == KindCommandComplete || kind == KindEmptyQuery || kind == KindPortalSuspended
		if kind == KindDataRow || kind == KindCopyIn || kind == 'H' || kind == KindCopyData || kind == KindCopyDone {
			return Relay
		}
	case StepClose:
		complete = kind == KindCloseComplete
	case StepSync:
		complete = kind == KindReadyForQuery
	}
	if complete {
		p.next++
		return action
	}
	if step == StepQuery {
		return Relay
	}
	return Unexpected
}
