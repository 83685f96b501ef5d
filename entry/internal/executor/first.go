package executor

import (
	"context"
	"errors"
	"time"

	"lentilwind.dev/entry/internal/outcome"
	"lentilwind.dev/entry/internal/pool"
	"lentilwind.dev/entry/internal/relay"
)

const (
	// provenFor is how long after an answer a connection may be trusted with an unrepeatable statement.
	provenFor = time.Second
	// maxConnections bounds the connections that one transaction tries before anything of it was sent.
	maxConnections = 3
	// maxPreambleBytes bounds one message of the answer to a preamble.
	maxPreambleBytes = 64 << 10
)

var errCopy = &outcome.Failure{
	SQLState: outcome.NotSupported, Message: "COPY from a caller is not supported; nothing was copied",
	Hint: "Use INSERT statements.", Reason: outcome.ReasonRolledBack,
}

// preamble is what a connection is sent before the first batch.
type preamble struct {
	discard, scope, begin bool
	// ahead tells that the first batch may be sent before the preamble is answered.
	ahead bool
}

// answers returns the number of ReadyForQuery messages that answer the preamble.
func (p preamble) answers() int {
	n := 0
	for _, part := range [...]bool{p.discard, p.scope, p.begin} {
		if part {
			n++
		}
	}
	return n
}

// preamble decides what the connection needs.
//
// A write goes ahead of the answers only where a failed preamble could not make it run under another scope.
func (t *local) preamble() preamble {
	c := t.conn
	p := preamble{begin: t.opening.Begin != ""}
	p.discard = c.Dirty || c.PreparedLimitReached() || c.Scoped && c.Scope.Workspace != t.scope.Workspace
	same := c.Scoped && !p.discard && c.Scope == t.scope
	proven := time.Since(c.LastResponse) < provenFor
	p.scope = !same || t.reads() || !proven
	if p.begin || !proven {
		return p
	}
	p.ahead = t.reads() || same || !c.Scoped && !p.discard
	return p
}

// sendFirst sets the scope, opens the block and sends the first batch; it tries other connections while nothing was sent.
func (t *local) sendFirst(batch []byte) error {
	var err error
	for range maxConnections {
		var sent bool
		sent, err = t.attempt(batch)
		if err == nil {
			t.placed = true
			return nil
		}
		if sent || !retryElsewhere(err) {
			return err
		}
		if again := t.reconnect(); again != nil {
			return again
		}
	}
	return err
}

// retryElsewhere tells whether another connection to the same server may do better.
func retryElsewhere(err error) bool { return outcome.FromError(err).Reason == outcome.ReasonConnect }

func (t *local) reconnect() error {
	t.pool.Release(t.detach(), false)
	t.broken = false
	if t.waits.over(&t.opening) {
		return outcome.ForReason(outcome.ReasonNoServer, errOver)
	}
	return t.acquire(context.Background())
}

// attempt tries one connection and tells whether any of the batch was sent.
func (t *local) attempt(batch []byte) (sent bool, err error) {
	t.plan.Reset()
	t.parses = t.parses[:0]
	p := t.preamble()
	t.out = t.appendPreamble(t.out[:0], p)
	before := len(t.out)
	if p.discard {
		// The preamble forgets what was prepared, so the batch must prepare all of it.
		t.conn.MarkReset()
	}
	if !p.ahead {
		if err := t.prepareScope(p); err != nil {
			return false, err
		}
		before = 0
		t.out = t.out[:0]
		p = preamble{}
	}
	t.out = t.appendBatch(t.out, batch)
	t.setRunning(true)
	n, err := t.write(t.out)
	if err != nil && n <= before {
		return false, outcome.ForReason(outcome.ReasonConnect, err)
	}
	if err != nil {
		return true, err
	}
	return true, t.settle(p)
}

func (t *local) appendPreamble(dst []byte, p preamble) []byte {
	if p.discard {
		dst = pool.AppendDiscard(dst)
	}
	if p.scope {
		dst = pool.AppendScope(dst, t.scope)
	}
	if p.begin {
		dst = pool.AppendQuery(dst, t.opening.Begin)
	}
	return dst
}

// prepareScope sends the preamble alone and waits for its answer, so that nothing of the request is lost with a bad connection.
func (t *local) prepareScope(p preamble) error {
	t.sent = time.Now()
	_ = t.conn.SetDeadline(t.sent.Add(probeTimeout))
	if _, err := t.conn.Write(t.out); err != nil {
		t.broken = true
		return outcome.ForReason(outcome.ReasonConnect, err)
	}
	if err := t.readPreamble(p); err != nil {
		t.broken = true
		if isTimeout(err) {
			t.pool.RecheckIdle()
		}
		if failure := t.preambleRefused(p, err); failure != nil {
			return failure
		}
		return outcome.ForReason(outcome.ReasonConnect, err)
	}
	return t.checkFloor()
}

// preambleRefused is the outcome when the database refused a part of the preamble; the caller wrote the BEGIN itself.
func (t *local) preambleRefused(p preamble, err error) error {
	var database *relay.DatabaseError
	if !errors.As(err, &database) {
		return nil
	}
	if p.begin && t.conn.Scoped {
		return &outcome.Failure{SQLState: database.SQLState, Message: database.Message, Cause: err}
	}
	return outcome.ForReason(outcome.ReasonScope, err)
}

// settle reads the answer of a preamble that the batch was sent with.
func (t *local) settle(p preamble) error {
	if p.answers() == 0 {
		return nil
	}
	// A preamble needs no work, so a connection that does not answer it is silent.
	_ = t.conn.SetReadDeadline(t.sent.Add(probeTimeout))
	if err := t.readPreamble(p); err != nil {
		return t.lost(err)
	}
	err := t.checkFloor()
	if err != nil {
		t.drain()
		return err
	}
	_ = t.conn.SetReadDeadline(t.sent.Add(t.opening.AnswerFor))
	return nil
}

// maxDrainBytes bounds what is read of an answer that nobody wants.
const maxDrainBytes = 64 << 10

// drain reads a short answer that must not be used, so that the connection can be.
func (t *local) drain() {
	for n := 0; n < maxDrainBytes; n += len(t.body) {
		var event AnswerPart
		var err error
		if t.body, event, err = t.Next(t.body[:0]); err != nil || event.Done {
			return
		}
	}
}

// checkFloor refuses a server that does not show what a read must see; its answer is never passed on.
func (t *local) checkFloor() error {
	if !t.reads() {
		return nil
	}
	status := t.position.Status
	behind := t.position.SentAt.IsZero() || !t.opening.Floor.SatisfiedBy(status) || status.Term != t.opening.Term
	if limit := t.opening.MaxStaleness; limit > 0 && status.Lag+time.Since(t.sent) > limit {
		behind = true
	}
	if !behind {
		return nil
	}
	return outcome.ForReason(outcome.ReasonBehind, nil)
}

// readPreamble reads the answers of a preamble and records the connection's new scope.
func (t *local) readPreamble(p preamble) error {
	var failed error
	for left := p.answers(); left > 0; {
		kind, size, err := relay.ReadHeader(t.conn.Reader)
		if err != nil {
			return err
		}
		if size > maxPreambleBytes {
			return relay.ErrMalformedMessage
		}
		if t.body, err = relay.AppendBody(t.body[:0], t.conn.Reader, size); err != nil {
			return err
		}
		switch kind {
		case relay.KindErrorResponse:
			if failed == nil {
				failed = relay.DecodeError(t.body)
				t.conn.Scoped = p.begin && left == 1
			}
		case relay.KindParameterStatus:
			t.takePosition(t.body)
		case relay.KindReadyForQuery:
			left--
			t.block = t.body[0]
		}
	}
	if failed != nil {
		t.conn.Dirty = true
		return failed
	}
	if p.scope {
		t.conn.Scope, t.conn.Scoped = t.scope, true
	}
	t.conn.LastResponse = time.Now()
	return nil
}
