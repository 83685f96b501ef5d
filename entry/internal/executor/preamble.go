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
	// recentAnswerPeriod is how long after an answer a connection is assumed to work, so that a statement that cannot be
	// repeated may be sent without a check.
	recentAnswerPeriod = time.Second
	// maxConnections bounds the connections that one transaction tries before any of its messages was sent.
	maxConnections = 3
	// maxPreambleBytes bounds the size of one message in the answer to a preamble.
	maxPreambleBytes = 64 << 10
)

var errCopy = &outcome.Failure{
	SQLState: outcome.NotSupported, Message: "COPY from a caller is not supported; nothing was copied",
	Hint: "Use INSERT statements.", Reason: outcome.ReasonRolledBack,
}

// preamble is what is sent on a connection before the first batch: a DISCARD, the scope and a BEGIN.
type preamble struct {
	discard, scope, begin bool
	// pipelined means that the first batch is sent without waiting for the answer to the preamble.
	pipelined bool
}

// readyCount returns the number of ReadyForQuery messages in the answer to the preamble.
func (p preamble) readyCount() int {
	n := 0
	for _, part := range [...]bool{p.discard, p.scope, p.begin} {
		if part {
			n++
		}
	}
	return n
}

// choosePreamble decides what the connection needs.
//
// A write is pipelined only if it cannot run under another scope when the preamble fails.
func (t *localTransaction) choosePreamble() preamble {
	c := t.conn
	p := preamble{begin: t.opening.BeginStatement != ""}
	p.discard = c.Dirty || c.PreparedLimitReached() || c.Scoped && c.Scope.Workspace != t.scope.Workspace
	scopeMatches := c.Scoped && !p.discard && c.Scope == t.scope
	recentlyAnswered := time.Since(c.LastResponse) < recentAnswerPeriod
	p.scope = !scopeMatches || t.isRead() || !recentlyAnswered
	if p.begin || !recentlyAnswered {
		return p
	}
	p.pipelined = t.isRead() || scopeMatches || !c.Scoped && !p.discard
	return p
}

// sendFirst sends the preamble and the first batch. It tries other connections as long as nothing of the batch was sent.
func (t *localTransaction) sendFirst(batch []byte) error {
	var err error
	for range maxConnections {
		var sent bool
		sent, err = t.attempt(batch)
		if err == nil {
			t.scopeSet = true
			return nil
		}
		if sent || !retryElsewhere(err) {
			return err
		}
		if reconnectErr := t.reconnect(); reconnectErr != nil {
			return reconnectErr
		}
	}
	return err
}

// retryElsewhere reports whether another connection to the same server may succeed.
func retryElsewhere(err error) bool { return outcome.FromError(err).Reason == outcome.ReasonConnect }

func (t *localTransaction) reconnect() error {
	t.pool.Release(t.detach(), false)
	t.broken = false
	if t.waitRegistry.isObsolete(&t.opening) {
		return outcome.ForReason(outcome.ReasonNoServer, errObsolete)
	}
	return t.acquire(context.Background())
}

// attempt tries the current connection and reports whether any part of the batch was sent.
func (t *localTransaction) attempt(batch []byte) (sent bool, err error) {
	t.plan.Reset()
	t.pendingParses = t.pendingParses[:0]
	p := t.choosePreamble()
	t.out = t.appendPreamble(t.out[:0], p)
	preambleBytes := len(t.out)
	if p.discard {
		// DISCARD ALL drops the prepared statements, so the batch must prepare them again.
		t.conn.MarkReset()
	}
	if !p.pipelined {
		if err := t.sendPreamble(p); err != nil {
			return false, err
		}
		preambleBytes = 0
		t.out = t.out[:0]
		p = preamble{}
	}
	t.out = t.appendBatch(t.out, batch)
	t.setRunning(true)
	n, err := t.write(t.out)
	if err != nil && n <= preambleBytes {
		return false, outcome.ForReason(outcome.ReasonConnect, err)
	}
	if err != nil {
		return true, err
	}
	return true, t.finishPipelined(p)
}

func (t *localTransaction) appendPreamble(dst []byte, p preamble) []byte {
	if p.discard {
		dst = pool.AppendDiscard(dst)
	}
	if p.scope {
		dst = pool.AppendScope(dst, t.scope)
	}
	if p.begin {
		dst = pool.AppendQuery(dst, t.opening.BeginStatement)
	}
	return dst
}

// sendPreamble sends the preamble alone and waits for its answer, so that a broken connection loses no part of the request.
func (t *localTransaction) sendPreamble(p preamble) error {
	t.sentAt = time.Now()
	_ = t.conn.SetDeadline(t.sentAt.Add(probeTimeout))
	if _, err := t.conn.Write(t.out); err != nil {
		t.broken = true
		return outcome.ForReason(outcome.ReasonConnect, err)
	}
	if err := t.readPreamble(p); err != nil {
		t.broken = true
		if isTimeout(err) {
			t.pool.RecheckIdle()
		}
		if failure := t.preambleFailure(p, err); failure != nil {
			return failure
		}
		return outcome.ForReason(outcome.ReasonConnect, err)
	}
	return t.checkFloor()
}

// preambleFailure returns the failure if the database rejected the preamble, or nil for other errors. A rejected BEGIN is
// reported with the database's error, since the caller wrote it.
func (t *localTransaction) preambleFailure(p preamble, err error) error {
	var databaseErr *relay.DatabaseError
	if !errors.As(err, &databaseErr) {
		return nil
	}
	if p.begin && t.conn.Scoped {
		return &outcome.Failure{SQLState: databaseErr.SQLState, Message: databaseErr.Message, Cause: err}
	}
	return outcome.ForReason(outcome.ReasonScope, err)
}

// finishPipelined reads the answer to a preamble that was sent together with the batch.
func (t *localTransaction) finishPipelined(p preamble) error {
	if p.readyCount() == 0 {
		return nil
	}
	// The database answers a preamble without work, so a missing answer means that the connection is dead.
	_ = t.conn.SetReadDeadline(t.sentAt.Add(probeTimeout))
	if err := t.readPreamble(p); err != nil {
		return t.answerFailure(err)
	}
	err := t.checkFloor()
	if err != nil {
		t.drain()
		return err
	}
	_ = t.conn.SetReadDeadline(t.sentAt.Add(t.opening.AnswerTimeout))
	return nil
}

// maxDrainBytes bounds how much of a discarded answer is read.
const maxDrainBytes = 64 << 10

// drain reads and discards a short answer, so that the connection can be reused.
func (t *localTransaction) drain() {
	for n := 0; n < maxDrainBytes; n += len(t.body) {
		var part AnswerPart
		var err error
		if t.body, part, err = t.Next(t.body[:0]); err != nil || part.Done {
			return
		}
	}
}

// checkFloor rejects a server whose state is older than a read requires. Its answer is never passed on.
func (t *localTransaction) checkFloor() error {
	if !t.isRead() {
		return nil
	}
	status := t.status.Status
	stale := t.status.SentAt.IsZero() || !t.opening.Floor.SatisfiedBy(status) || status.Term != t.opening.Term
	if limit := t.opening.MaxStaleness; limit > 0 && status.Lag+time.Since(t.sentAt) > limit {
		stale = true
	}
	if !stale {
		return nil
	}
	return outcome.ForReason(outcome.ReasonBehind, nil)
}

// readPreamble reads the answer to a preamble and records the new scope of the connection.
func (t *localTransaction) readPreamble(p preamble) error {
	var failed error
	for left := p.readyCount(); left > 0; {
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
			t.handlePosition(t.body)
		case relay.KindReadyForQuery:
			left--
			t.txStatus = t.body[0]
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
