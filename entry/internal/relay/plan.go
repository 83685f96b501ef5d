package relay

// Step is one part of the answer that a batch must get.
type Step byte

// The steps of an answer.
const (
	// StepQuery is the whole answer of a simple query.
	StepQuery Step = iota
	StepParse
	// StepEnsure is a ParseComplete that the caller does not see.
	StepEnsure
	// StepParseKnown stands for a ParseComplete that no database sends.
	StepParseKnown
	// StepCloseKnown stands for a CloseComplete that no database sends.
	StepCloseKnown
	StepBind
	StepDescribe
	StepExecute
	StepClose
	StepSync
)

// Plan is the sequence of answers that a connection still owes.
type Plan struct {
	steps []Step
	next  int
	// failed tells that the database skips messages up to the next Sync.
	failed bool
}

// Reset empties the plan.
func (p *Plan) Reset() { p.steps, p.next, p.failed = p.steps[:0], 0, false }

// Add appends a step.
func (p *Plan) Add(step Step) { p.steps = append(p.steps, step) }

// Done tells that nothing is owed any more.
func (p *Plan) Done() bool { return p.next == len(p.steps) }

// Begin prepares for the next batch of the same pipeline or transaction.
func (p *Plan) Begin() { p.steps, p.next = p.steps[:0], 0 }

// SkipFailed takes out what the database skips because of an error in an earlier batch of the same pipeline.
func (p *Plan) SkipFailed() {
	if !p.failed || len(p.steps) == 0 {
		return
	}
	p.failed = false
	p.fail()
}

// Known appends the answers that no database sends and that are due before the next message.
func (p *Plan) Known(dst []byte) []byte {
	for ; p.next < len(p.steps); p.next++ {
		switch p.steps[p.next] {
		case StepParseKnown:
			dst = AppendHeader(dst, KindParseComplete, 0)
		case StepCloseKnown:
			dst = AppendHeader(dst, KindCloseComplete, 0)
		default:
			return dst
		}
	}
	return dst
}

// Verdict tells what to do with a message of the answer.
type Verdict byte

// The verdicts.
const (
	// Relay passes the message on.
	Relay Verdict = iota
	// Drop keeps the message from the caller.
	Drop
	// Crossed means that the message answers nothing that was asked.
	Crossed
)

// Take accounts for a message of the database.
func (p *Plan) Take(kind Kind) Verdict {
	switch kind {
	case KindNotice, KindParameterStatus:
		return Relay
	case KindNotification:
		return Drop
	}
	if p.Done() {
		return Crossed
	}
	if kind == KindError {
		p.fail()
		return Relay
	}
	return p.advance(kind)
}

// fail skips what the database skips after an error.
func (p *Plan) fail() {
	if p.steps[p.next] == StepQuery {
		return
	}
	for p.next < len(p.steps) && p.steps[p.next] != StepSync {
		p.next++
	}
	p.failed = p.Done()
}

func (p *Plan) advance(kind Kind) Verdict {
	step := p.steps[p.next]
	verdict := Relay
	ends := false
	switch step {
	case StepQuery:
		ends = kind == KindReady
		if kind == KindParseComplete || kind == KindBindComplete || kind == KindCloseComplete || kind == KindParameters {
			return Crossed
		}
	case StepParse, StepEnsure:
		ends = kind == KindParseComplete
		if step == StepEnsure {
			verdict = Drop
		}
	case StepBind:
		ends = kind == KindBindComplete
	case StepDescribe:
		if kind == KindParameters {
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
		ends = kind == KindReady
	}
	if ends {
		p.next++
		return verdict
	}
	if step == StepQuery {
		return Relay
	}
	return Crossed
}
