package executor

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"lentilwind.dev/entry/internal/outcome"
	"lentilwind.dev/entry/internal/pool"
	"lentilwind.dev/entry/internal/relay"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/protocol"
)

// maxPartBytes bounds how many bytes one call of Next reads.
const maxPartBytes = 32 << 10

// localTransaction is a transaction on one of the entry's own connections.
type localTransaction struct {
	pool         *pool.Pool
	waitRegistry *WaitRegistry
	opening      protocol.Forward
	scope        pool.Scope
	request      pool.Request

	plan   relay.AnswerPlan
	status ReportedStatus
	sentAt time.Time
	// scopeSet reports that the scope is set and checked.
	scopeSet bool
	// broken reports that the connection must not be reused.
	broken   bool
	txStatus byte
	// awaitingSync reports that the last batch ended with Flush, so that the pipeline is still open.
	awaitingSync bool
	// remaining is the number of unread bytes of the current message.
	remaining int
	// pendingParses holds the internal names of statements whose ParseComplete is outstanding, oldest first.
	pendingParses [][]byte
	out           []byte
	body          []byte

	mu      sync.Mutex
	conn    *pool.Conn
	running bool
}

// Send sends a complete batch.
func (t *localTransaction) Send(batch []byte) error {
	if !t.scopeSet {
		return t.sendFirst(batch)
	}
	t.conn.AwaitCancel()
	t.plan.NextBatch()
	t.out = t.appendBatch(t.out[:0], batch)
	t.plan.SkipFailed()
	t.setRunning(true)
	if _, err := t.write(t.out); err != nil {
		return err
	}
	return nil
}

// write sends data and returns how many bytes the connection accepted.
func (t *localTransaction) write(data []byte) (int, error) {
	t.sentAt = time.Now()
	_ = t.conn.SetDeadline(t.sentAt.Add(t.opening.AnswerTimeout))
	n, err := t.conn.Write(data)
	if err != nil {
		t.broken = true
		return n, t.answerFailure(err)
	}
	return n, nil
}

// answerFailure returns the failure of a batch whose answer will not arrive.
func (t *localTransaction) answerFailure(err error) error {
	t.broken = true
	if errors.Is(err, errCopy) {
		return errCopy
	}
	if errors.Is(err, os.ErrDeadlineExceeded) || isTimeout(err) {
		t.pool.RecheckIdle()
		return outcome.ForReason(outcome.ReasonAnswerTime, err)
	}
	return outcome.ForReason(outcome.ReasonAnswerLost, err)
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// appendBatch appends the messages to send and adds the expected answers to the plan.
func (t *localTransaction) appendBatch(dst, batch []byte) []byte {
	for len(batch) > 0 {
		kind, body, rest, err := relay.Split(batch)
		if err != nil {
			panic("executor: incomplete batch: " + err.Error())
		}
		dst = t.appendMessage(dst, kind, body, batch[:len(batch)-len(rest)])
		batch = rest
	}
	return dst
}

func (t *localTransaction) appendMessage(dst []byte, kind relay.Kind, body, message []byte) []byte {
	t.awaitingSync = kind != relay.KindQuery && kind != relay.KindSync
	switch kind {
	case relay.KindQuery:
		t.plan.Add(relay.StepQuery)
	case relay.KindParse, relay.KindEnsurePrepared:
		return t.appendParse(dst, kind, body)
	case relay.KindBind:
		t.plan.Add(relay.StepBind)
	case relay.KindDescribe:
		t.plan.Add(relay.StepDescribe)
	case relay.KindExecute:
		t.plan.Add(relay.StepExecute)
	case relay.KindSync:
		t.plan.Add(relay.StepSync)
	case relay.KindClose:
		if relay.ClosesStatement(body) {
			t.plan.Add(relay.StepLocalClose)
			return dst
		}
		t.plan.Add(relay.StepClose)
	}
	return append(dst, message...)
}

// appendParse prepares a statement unless the connection has it already.
func (t *localTransaction) appendParse(dst []byte, kind relay.Kind, body []byte) []byte {
	name, _, _ := relay.CutString(body)
	_, known := t.conn.Prepared[string(name)]
	if known && len(name) > 0 || t.parsePending(name) {
		if kind == relay.KindParse {
			t.plan.Add(relay.StepLocalParse)
		}
		return dst
	}
	step := relay.StepParse
	if kind == relay.KindEnsurePrepared {
		step = relay.StepEnsurePrepared
	}
	t.plan.Add(step)
	t.pendingParses = append(t.pendingParses, name)
	dst = relay.AppendHeader(dst, relay.KindParse, len(body))
	return append(dst, body...)
}

// parsePending reports whether the current batch already prepares the named statement.
func (t *localTransaction) parsePending(name []byte) bool {
	for _, parse := range t.pendingParses {
		if len(name) > 0 && string(parse) == string(name) {
			return true
		}
	}
	return false
}

// Next appends the next part of the answer.
func (t *localTransaction) Next(dst []byte) ([]byte, AnswerPart, error) {
	for {
		dst = t.plan.AppendLocal(dst)
		if t.plan.Done() && t.remaining == 0 {
			t.pendingParses = t.pendingParses[:0]
			t.setRunning(false)
			return dst, AnswerPart{Done: true}, nil
		}
		out, part, relayed, err := t.readPart(dst)
		if err != nil {
			return dst, AnswerPart{}, t.answerFailure(err)
		}
		if relayed {
			return out, part, nil
		}
		dst = out
	}
}

// readPart reads one message, or a part of a long one, and reports whether it was appended.
func (t *localTransaction) readPart(dst []byte) ([]byte, AnswerPart, bool, error) {
	if t.remaining > 0 {
		return t.readRemaining(dst)
	}
	kind, size, err := relay.ReadHeader(t.conn.Reader)
	if err != nil {
		return dst, AnswerPart{}, false, err
	}
	action := t.plan.Classify(kind)
	if action == relay.Unexpected || kind == relay.KindCopyBoth {
		return dst, AnswerPart{}, false, relay.ErrMalformedMessage
	}
	if kind == relay.KindCopyIn {
		t.broken = true
		return dst, AnswerPart{}, false, errCopy
	}
	start := len(dst)
	dst = relay.AppendHeader(dst, kind, size)
	t.remaining = size
	dst, part, _, err := t.readRemaining(dst)
	if err != nil {
		return dst, AnswerPart{}, false, err
	}
	part.Kind = kind
	part.More = t.remaining > 0
	body := dst[start+relay.HeaderBytes:]
	if t.remaining == 0 && t.inspect(kind, body, &part) {
		action = relay.Drop
	}
	if action == relay.Drop {
		return dst[:start], AnswerPart{}, false, nil
	}
	return dst, part, true, nil
}

// readRemaining appends more of the current message.
func (t *localTransaction) readRemaining(dst []byte) ([]byte, AnswerPart, bool, error) {
	n := min(t.remaining, maxPartBytes)
	dst, err := relay.AppendBody(dst, t.conn.Reader, n)
	t.remaining -= n
	return dst, AnswerPart{More: t.remaining > 0}, true, err
}

// inspect updates the connection's state from a message and reports whether to hide the message from the caller.
func (t *localTransaction) inspect(kind relay.Kind, body []byte, part *AnswerPart) bool {
	switch kind {
	case relay.KindParameterStatus:
		return t.handlePosition(body)
	case relay.KindParseComplete:
		t.recordParsed()
	case relay.KindErrorResponse:
		part.SQLState = relay.ErrorSQLState(body)
		t.pendingParses = t.pendingParses[:0]
	case relay.KindCommandComplete:
		part.Committed, part.RolledBack, part.Wrote = relay.Committed(body), relay.RolledBack(body), relay.Wrote(body)
		if relay.LeavesState(body) {
			t.conn.Dirty = true
		}
	case relay.KindReadyForQuery:
		t.handleReady(body, part)
	}
	return false
}

func (t *localTransaction) handleReady(body []byte, part *AnswerPart) {
	if len(body) != 1 {
		t.broken = true
		return
	}
	t.txStatus, part.TxStatus = body[0], body[0]
	t.conn.LastResponse = time.Now()
}

// recordParsed records that the oldest pending statement is prepared.
func (t *localTransaction) recordParsed() {
	if len(t.pendingParses) == 0 {
		return
	}
	if name := t.pendingParses[0]; len(name) > 0 {
		t.conn.Prepared[string(name)] = struct{}{}
	}
	t.pendingParses = t.pendingParses[1:]
}

const positionParameter = "lentilwind.position"

// handlePosition reads the position parameter and reports whether the message was one.
func (t *localTransaction) handlePosition(body []byte) bool {
	name, value, err := relay.CutString(body)
	if err != nil || string(name) != positionParameter {
		return false
	}
	text, _, err := relay.CutString(value)
	if err != nil {
		return true
	}
	status, err := group.ParseStatus(text)
	if err == nil && status.Slot == t.scope.Slot {
		t.status = ReportedStatus{Status: status, SentAt: t.sentAt}
	}
	return true
}
