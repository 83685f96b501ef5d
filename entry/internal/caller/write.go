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

// write sends an answer; false means that the caller is gone or did not take it in time.
func (c *caller) write(data []byte) bool {
	_ = c.conn.SetWriteDeadline(time.Now().Add(c.server.cfg.Limits.SlowCaller))
	_, err := c.conn.Write(data)
	if err != nil && isTimeout(err) {
		c.server.Counters.SlowCallers.Add(1)
	}
	return err == nil
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// blockState is what ReadyForQuery reports.
func (c *caller) blockState() byte {
	switch {
	case c.failed:
		return executor.TxStatusFailed
	case c.tx != nil && !c.tx.implicit || c.begin != "":
		return executor.TxStatusInBlock
	}
	return executor.TxStatusIdle
}

func appendReady(dst []byte, state byte) []byte {
	return append(relay.AppendHeader(dst, relay.KindReadyForQuery, 1), state)
}

// refuse answers a request with a failure; inside a block the whole block has failed.
func (c *caller) refuse(f *outcome.Failure) bool {
	c.note(f)
	if c.tx != nil || c.begin != "" {
		c.abortBlock()
	}
	b := c.buffers
	return c.writeFailure(b.answer[:0], f)
}

// writeFailure ends what was answered so far with an error.
func (c *caller) writeFailure(answer []byte, f *outcome.Failure) bool {
	answer = relay.AppendFailure(answer, "ERROR", f)
	if c.buffers.request.EndsWithSync {
		answer = appendReady(answer, c.blockState())
	} else {
		c.skip = true
	}
	c.buffers.answer = answer
	return c.write(answer)
}

// note counts a failure and puts it on the time line.
func (c *caller) note(f *outcome.Failure) {
	if f.Reason == "" {
		return
	}
	c.server.Counters.failed(f.Reason)
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

// rewriteFailure is the outcome of a batch that cannot be sent to any database.
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
	return &outcome.Failure{SQLState: outcome.ProtocolViolation, Message: "malformed message", Cause: fmt.Errorf("caller: %w", err)}
}
