package caller

import (
	"errors"
	"fmt"
	"time"

	"lentilwind.dev/entry/internal/executor"
	"lentilwind.dev/entry/internal/outcome"
	"lentilwind.dev/entry/internal/relay"
	"lentilwind.dev/instance/events"
)

// write sends an answer; it returns false if the connection is lost or the caller does not accept the answer in time.
func (c *callerConn) write(data []byte) bool {
	_ = c.conn.SetWriteDeadline(time.Now().Add(c.server.cfg.Limits.SlowCaller))
	_, err := c.conn.Write(data)
	if err != nil && isTimeout(err) {
		c.server.Counters.SlowCallers.Add(1)
	}
	return err == nil
}

func isTimeout(err error) bool {
	var timeoutErr interface{ Timeout() bool }
	return errors.As(err, &timeoutErr) && timeoutErr.Timeout()
}

// txStatus returns the transaction status for ReadyForQuery.
func (c *callerConn) txStatus() byte {
	switch {
	case c.blockFailed:
		return executor.TxStatusFailed
	case c.block != nil && !c.block.implicit || c.deferredBegin != "":
		return executor.TxStatusInBlock
	}
	return executor.TxStatusIdle
}

func appendReady(dst []byte, txStatus byte) []byte {
	return append(relay.AppendHeader(dst, relay.KindReadyForQuery, 1), txStatus)
}

// refuse answers a request with an error; inside a block the whole block fails.
func (c *callerConn) refuse(f *outcome.Failure) bool {
	c.recordFailure(f)
	if c.block != nil || c.deferredBegin != "" {
		c.abortBlock()
	}
	b := c.buffers
	return c.writeFailure(b.answer[:0], f)
}

// writeFailure ends an answer with an error, followed by ReadyForQuery if the request expects it.
func (c *callerConn) writeFailure(answer []byte, f *outcome.Failure) bool {
	answer = relay.AppendFailure(answer, "ERROR", f)
	if c.buffers.request.EndsWithSync {
		answer = appendReady(answer, c.txStatus())
	} else {
		c.skipToSync = true
	}
	c.buffers.answer = answer
	return c.write(answer)
}

// recordFailure counts a failure, records an event for key and name violations, and logs the cause.
func (c *callerConn) recordFailure(f *outcome.Failure) {
	if f.Reason == "" {
		return
	}
	c.server.Counters.countFailure(f.Reason)
	switch f.Reason {
	case outcome.ReasonKeyWithdrawn:
		c.server.cfg.Events.Record(events.Event{
			Kind: events.KindKeyWithdrawn, Workspace: string(c.workspace), Service: string(c.service),
		})
	case outcome.ReasonKeyInStatement, outcome.ReasonReservedName:
		c.server.cfg.Events.Record(events.Event{
			Kind: events.KindRequestRefused, Workspace: string(c.workspace), Service: string(c.service), Detail: string(f.Reason),
		})
	}
	if f.Cause != nil {
		c.server.cfg.Log.Debug().Str("workspace", string(c.workspace)).Str("reason", string(f.Reason)).Err(f.Cause).Msg("request failed")
	}
}

// rewriteFailure returns the outcome of a batch that must not be sent to a database.
func rewriteFailure(err error) *outcome.Failure {
	switch {
	case errors.Is(err, relay.ErrContainsKey):
		return outcome.ForReason(outcome.ReasonKeyInStatement, nil)
	case errors.Is(err, relay.ErrReservedName):
		return outcome.ForReason(outcome.ReasonReservedName, nil)
	case errors.Is(err, relay.ErrUnknownStatement):
		return &outcome.Failure{SQLState: outcome.UnknownStatement, Message: "prepared statement does not exist"}
	case errors.Is(err, relay.ErrTooManyStatements):
		return &outcome.Failure{SQLState: outcome.TooLarge, Message: "too many prepared statements on one connection"}
	case errors.Is(err, relay.ErrNotSupported):
		return &outcome.Failure{SQLState: outcome.NotSupported, Message: "the message is not supported"}
	}
	return &outcome.Failure{SQLState: outcome.ProtocolViolation, Message: "malformed message", Cause: fmt.Errorf("caller: rewrite batch: %w", err)}
}
