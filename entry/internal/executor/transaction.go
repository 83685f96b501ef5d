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

// maxPart bounds what one call of Next appends.
const maxPart = 32 << 10

// local is a transaction on one of the entry's own connections.
type local struct {
	pool    *pool.Pool
	waits   *WaitRegistry
	opening protocol.Forward
	scope   pool.Scope
	want    pool.Request

	plan     relay.AnswerPlan
	position ReportedStatus
	sent     time.Time
	// placed tells that the scope is set and checked.
	placed bool
	// broken connections are never used again.
	broken bool
	block  byte
	// unsynced tells that the last batch ended with Flush, so that the database still waits for more of its pipeline.
	unsynced bool
	// rest is the number of bytes of the present message that are still to come.
	rest int
	// parses holds the internal names of statements whose ParseComplete is owed, the oldest first.
	parses [][]byte
	out    []byte
	body   []byte

	mu      sync.Mutex
	conn    *pool.Conn
	running bool
}

// Send sends a batch whole.
func (t *local) Send(batch []byte) error {
	if !t.placed {
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

// write sends bytes and tells how many the connection took.
func (t *local) write(data []byte) (int, error) {
	t.sent = time.Now()
	_ = t.conn.SetDeadline(t.sent.Add(t.opening.AnswerFor))
	n, err := t.conn.Write(data)
	if err != nil {
		t.broken = true
		return n, t.lost(err)
	}
	return n, nil
}

// lost is the outcome of a batch whose answer will not come.
func (t *local) lost(err error) error {
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

// appendBatch appends what the connection must be sent and plans what it will answer.
func (t *local) appendBatch(dst, batch []byte) []byte {
	for len(batch) > 0 {
		kind, body, rest, err := relay.Split(batch)
		if err != nil {
			panic("executor: a batch is not whole: " + err.Error())
		}
		dst = t.appendMessage(dst, kind, body, batch[:len(batch)-len(rest)])
		batch = rest
	}
	return dst
}

func (t *local) appendMessage(dst []byte, kind relay.Kind, body, message []byte) []byte {
	t.unsynced = kind != relay.KindQuery && kind != relay.KindSync
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

// appendParse prepares a statement unless the connection knows it already.
func (t *local) appendParse(dst []byte, kind relay.Kind, body []byte) []byte {
	name, _, _ := relay.CutString(body)
	_, known := t.conn.Prepared[string(name)]
	if known && len(name) > 0 || t.parsing(name) {
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
	t.parses = append(t.parses, name)
	dst = relay.AppendHeader(dst, relay.KindParse, len(body))
	return append(dst, body...)
}

// parsing tells that this batch prepares the named statement already.
func (t *local) parsing(name []byte) bool {
	for _, parse := range t.parses {
		if len(name) > 0 && string(parse) == string(name) {
			return true
		}
	}
	return false
}

// Next appends the next part of the answer.
func (t *local) Next(dst []byte) ([]byte, AnswerPart, error) {
	for {
		dst = t.plan.AppendLocal(dst)
		if t.plan.Done() && t.rest == 0 {
			t.parses = t.parses[:0]
			t.setRunning(false)
			return dst, AnswerPart{Done: true}, nil
		}
		out, event, relayed, err := t.part(dst)
		if err != nil {
			return dst, AnswerPart{}, t.lost(err)
		}
		if relayed {
			return out, event, nil
		}
		dst = out
	}
}

// part reads one message, or a part of a long one, and tells whether it was appended.
func (t *local) part(dst []byte) ([]byte, AnswerPart, bool, error) {
	if t.rest > 0 {
		return t.continued(dst)
	}
	kind, size, err := relay.ReadHeader(t.conn.Reader)
	if err != nil {
		return dst, AnswerPart{}, false, err
	}
	verdict := t.plan.Classify(kind)
	if verdict == relay.Unexpected || kind == relay.KindCopyBoth {
		return dst, AnswerPart{}, false, relay.ErrMalformedMessage
	}
	if kind == relay.KindCopyIn {
		t.broken = true
		return dst, AnswerPart{}, false, errCopy
	}
	start := len(dst)
	dst = relay.AppendHeader(dst, kind, size)
	t.rest = size
	dst, event, _, err := t.continued(dst)
	if err != nil {
		return dst, AnswerPart{}, false, err
	}
	event.Kind = kind
	event.More = t.rest > 0
	body := dst[start+relay.HeaderBytes:]
	if t.rest == 0 && t.inspect(kind, body, &event) {
		verdict = relay.Drop
	}
	if verdict == relay.Drop {
		return dst[:start], AnswerPart{}, false, nil
	}
	return dst, event, true, nil
}

// continued appends more of the present message.
func (t *local) continued(dst []byte) ([]byte, AnswerPart, bool, error) {
	n := min(t.rest, maxPart)
	dst, err := relay.AppendBody(dst, t.conn.Reader, n)
	t.rest -= n
	return dst, AnswerPart{More: t.rest > 0}, true, err
}

// inspect takes in what a message says of the connection and reports whether the caller must not see it.
func (t *local) inspect(kind relay.Kind, body []byte, event *AnswerPart) bool {
	switch kind {
	case relay.KindParameterStatus:
		return t.takePosition(body)
	case relay.KindParseComplete:
		t.parsed()
	case relay.KindErrorResponse:
		event.SQLState = relay.ErrorSQLState(body)
		t.parses = t.parses[:0]
	case relay.KindCommandComplete:
		event.Committed, event.RolledBack, event.Wrote = relay.Committed(body), relay.RolledBack(body), relay.Wrote(body)
		if relay.LeavesState(body) {
			t.conn.Dirty = true
		}
	case relay.KindReadyForQuery:
		t.ready(body, event)
	}
	return false
}

func (t *local) ready(body []byte, event *AnswerPart) {
	if len(body) != 1 {
		t.broken = true
		return
	}
	t.block, event.TxStatus = body[0], body[0]
	t.conn.LastResponse = time.Now()
}

// parsed records that the oldest owed statement is prepared.
func (t *local) parsed() {
	if len(t.parses) == 0 {
		return
	}
	if name := t.parses[0]; len(name) > 0 {
		t.conn.Prepared[string(name)] = struct{}{}
	}
	t.parses = t.parses[1:]
}

const positionName = "lentilwind.position"

// takePosition reads the position parameter; other parameters are not meant for it.
func (t *local) takePosition(body []byte) bool {
	name, value, err := relay.CutString(body)
	if err != nil || string(name) != positionName {
		return false
	}
	text, _, err := relay.CutString(value)
	if err != nil {
		return true
	}
	status, err := group.ParseStatus(text)
	if err == nil && status.Slot == t.scope.Slot {
		t.position = ReportedStatus{Status: status, SentAt: t.sent}
	}
	return true
}
