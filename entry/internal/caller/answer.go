package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"lentilwind.dev/entry/internal/executor"
	"lentilwind.dev/entry/internal/outcome"
	"lentilwind.dev/entry/internal/relay"
)

// answerBatch answers the batch that was read; it returns false if the connection must be closed.
func (c *callerConn) answerBatch() bool {
	b := c.buffers
	c.server.retryBudget.AddRequest()
	if c.skipToSync {
		c.skipToSync = false
		return c.write(appendReady(b.answer[:0], c.txStatus()))
	}
	if err := c.rewriter.Rewrite(&b.request, b.batch); err != nil {
		b.request.EndsWithSync = expectsReady(b.batch)
		return c.refuse(rewriteFailure(err))
	}
	switch {
	case !c.granted(c.server.cfg.Directory.Snapshot()):
		// The connection is closed after this error.
		c.refuse(outcome.ForReason(outcome.ReasonKeyWithdrawn, nil))
		return false
	case c.blockFailed:
		return c.answerInFailedBlock()
	case !b.request.NeedsDatabase && c.block == nil:
		return c.answerLocally()
	case b.request.SimpleQuery && c.answerReset():
		return c.write(b.answer)
	case c.block != nil:
		return c.continueBlock()
	case b.request.OnlyBegin && c.deferredBegin == "" && !relay.HasLeadingComment(b.request.RoutingText) && b.request.EndsWithSync:
		return c.answerDeferredBegin()
	}
	return c.runRequest()
}

// answerReset answers a query that only resets the state of the connection, such as DISCARD ALL; it returns false for any other query.
func (c *callerConn) answerReset() bool {
	tag, found := relay.IsReset(c.buffers.request.RoutingText)
	if !found || c.block != nil || c.deferredBegin != "" {
		return false
	}
	c.rewriter.Statements.Clear()
	c.buffers.answer = appendReady(appendComplete(c.buffers.answer[:0], tag), c.txStatus())
	return true
}

// expectsReady reports whether a batch ends with a message that is answered by ReadyForQuery.
func expectsReady(batch []byte) bool {
	last := relay.KindFlush
	for len(batch) > 0 {
		kind, _, rest, err := relay.Split(batch)
		if err != nil {
			break
		}
		last, batch = kind, rest
	}
	return last != relay.KindFlush
}

// answerLocally answers a batch that contains only Close, Sync and Flush messages, without a database.
func (c *callerConn) answerLocally() bool {
	b := c.buffers
	answer := b.answer[:0]
	for data := b.request.Data; len(data) > 0; {
		kind, _, rest, err := relay.Split(data)
		if err != nil {
			return false
		}
		switch kind {
		case relay.KindClose:
			answer = relay.AppendHeader(answer, relay.KindCloseComplete, 0)
		case relay.KindSync:
			answer = appendReady(answer, c.txStatus())
		}
		data = rest
	}
	b.answer = answer
	return c.write(answer)
}

// answerDeferredBegin answers a BEGIN without a database; the first statement of the block determines the server.
func (c *callerConn) answerDeferredBegin() bool {
	b := c.buffers
	answer, executes := b.answer[:0], b.request.SimpleQuery
	for data := b.request.Data; len(data) > 0; {
		kind, body, rest, err := relay.Split(data)
		if err != nil {
			return false
		}
		if kind == relay.KindExecute || kind == relay.KindQuery {
			executes = true
			c.deferredBegin = string(b.request.RoutingText)
		}
		answer = appendBeginAnswer(answer, kind, body, c.txStatus())
		data = rest
	}
	if !executes {
		return c.runRequest()
	}
	b.answer = answer
	return c.write(answer)
}

func appendBeginAnswer(dst []byte, kind relay.Kind, body []byte, txStatus byte) []byte {
	switch kind {
	case relay.KindParse:
		return relay.AppendHeader(dst, relay.KindParseComplete, 0)
	case relay.KindBind:
		return relay.AppendHeader(dst, relay.KindBindComplete, 0)
	case relay.KindClose:
		return relay.AppendHeader(dst, relay.KindCloseComplete, 0)
	case relay.KindDescribe:
		if relay.ClosesStatement(body) {
			dst = append(relay.AppendHeader(dst, relay.KindParameterDescription, 2), 0, 0)
		}
		return relay.AppendHeader(dst, relay.KindNoData, 0)
	case relay.KindExecute:
		return appendComplete(dst, "BEGIN")
	case relay.KindQuery:
		return appendReady(appendComplete(dst, "BEGIN"), txStatus)
	case relay.KindSync:
		return appendReady(dst, txStatus)
	}
	return dst
}

func appendComplete(dst []byte, tag string) []byte {
	dst = relay.AppendHeader(dst, relay.KindCommandComplete, len(tag)+1)
	return append(append(dst, tag...), 0)
}

// answerInFailedBlock answers inside a failed block, which has no database connection: only the end of the block is accepted.
func (c *callerConn) answerInFailedBlock() bool {
	b := c.buffers
	if b.request.NeedsDatabase && !relay.IsEnd(b.request.RoutingText) {
		return c.writeFailure(b.answer[:0], &outcome.Failure{
			SQLState: outcome.FailedTransaction, Message: "current transaction is aborted, commands ignored until end of transaction block",
		})
	}
	answer := b.answer[:0]
	for data := b.request.Data; len(data) > 0; {
		kind, body, rest, err := relay.Split(data)
		if err != nil {
			return false
		}
		if kind == relay.KindExecute || kind == relay.KindQuery {
			c.blockFailed = false
		}
		answer = c.appendRollbackAnswer(answer, kind, body)
		data = rest
	}
	b.answer = answer
	return c.write(answer)
}

func (c *callerConn) appendRollbackAnswer(dst []byte, kind relay.Kind, body []byte) []byte {
	switch kind {
	case relay.KindExecute:
		return appendComplete(dst, "ROLLBACK")
	case relay.KindQuery:
		return appendReady(appendComplete(dst, "ROLLBACK"), executor.TxStatusIdle)
	}
	return appendBeginAnswer(dst, kind, body, c.txStatus())
}

// appendToken appends a ParameterStatus with the new session token.
func (c *callerConn) appendToken(dst []byte, name string) []byte {
	status := pgproto3.ParameterStatus{Name: name, Value: c.server.cfg.Signer.Sign(c.session)}
	out, err := status.Encode(dst)
	if err != nil {
		return dst
	}
	return out
}
