package relay

// Step is one part of the answer that a batch must get.
type Step byte

// The steps of an answer.
const (
	// StepQuery is the whole answer of a simple query.
	StepQuery Step = iota
	StepParse
	// StepEnsurePrepared is a ParseComplete that the caller does not see.
	StepEnsurePrepared
	// StepLocalParse stands for a ParseComplete that no database sends.
	StepLocalParse
	// StepLocalClose stands for a CloseComplete that no database sends.
	StepLocalClose
	StepBind
	StepDescribe
	StepExecute
	StepClose
	StepSync
)

// AnswerPlan is the sequence of answers that a connection still owes.
type AnswerPlan struct {
	steps []Step
	next  int
	// failed tells that the database skips messages up to the next Sync.
	failed bool
}

// Reset empties the plan.
func (p *AnswerPlan) Reset() { p.steps, p.next, p.failed = p.steps[:0], 0, false }

// Add appends a step.
func (p *AnswerPlan) Add(step Step) { p.steps = append(p.steps, step) }

// Done tells that nothing is owed any more.
func (p *AnswerPlan) Done() bool { return p.next == len(p.steps) }

// NextBatch prepares for the next batch of the same pipeline or transaction.
func (p *AnswerPlan) NextBatch() { p.steps, p.next = p.steps[:0], 0 }

// SkipFailed takes out what the database skips because of an error in an earlier batch of the same pipeline.
func (p *AnswerPlan) SkipFailed() {
	if !p.failed || len(p.steps) == 0 {
		return
	}
	p.failed = false
	p.fail()
}

// AppendLocal appends the answers that no database sends and that are due before the next message.
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

// Action tells what to do with a message of the answer.
type Action byte

// The verdicts.
const (
	// Relay passes the message on.
	Relay Action = iota
	// Drop keeps the message from the caller.
	Drop
	// Unexpected means that the message answers nothing that was asked.
	Unexpected
)

// Classify accounts for a message of the database.
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
		p.fail()
		return Relay
	}
	return p.advance(kind)
}

// fail skips what the database skips after an error.
func (p *AnswerPlan) fail() {
	if p.steps[p.next] == StepQuery {
		return
	}
	for p.next < len(p.steps) && p.steps[p.next] != StepSync {
		p.next++
	}
	p.failed = p.Done()
}

func (p *AnswerPlan) advance(kind Kind) Action {
	step := p.steps[p.next]
	verdict := Relay
	ends := false
	switch step {
	case StepQuery:
		ends = kind == KindReadyForQuery
		if kind == KindParseComplete || kind == KindBindComplete || kind == KindCloseComplete || kind == KindParameterDescription {
			return Unexpected
		}
	case StepParse, StepEnsurePrepared:
		ends = kind == KindParseComplete
		if step == StepEnsurePrepared {
			verdict = Drop
		}
	case StepBind:
		ends = kind == KindBindComplete
	case StepDescribe:
		if kind == KindParameterDescription {
			return Relay
		}
		ends = kind == KindRowDescription || kind == KindNoData
	case StepExecute:
		ends = kind == KindCommandComplete || kind == KindEmptyQuery || kind == KindPortalSuspended
		if kind == KindDataRow || kind == KindCopyIn || kind == 'H' || kind == KindCopyData || kind == KindCopyDone {
			return Relay
		}
	case StepClose:
		ends = kind == KindCloseComplete
	case StepSync:
		ends = kind == KindReadyForQuery
	}
	if ends {
		p.next++
		return verdict
	}
	if step == StepQuery {
		return Relay
	}
	return Unexpected
}
