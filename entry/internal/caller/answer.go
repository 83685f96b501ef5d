package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"lentilwind.dev/entry/internal/executor"
	"lentilwind.dev/entry/internal/outcome"
	"lentilwind.dev/entry/internal/relay"
)

// answer answers the batch that was read; false closes the caller.
func (c *caller) answer() bool {
	b := c.buffers
	c.server.retries.AddRequest()
	if c.skip {
		c.skip = false
		return c.write(appendReady(b.answer[:0], c.blockState()))
	}
	if err := c.rewriter.Rewrite(&b.request, b.batch); err != nil {
		b.request.EndsWithSync = asksForReady(b.batch)
		return c.refuse(rewriteFailure(err))
	}
	switch {
	case !c.granted(c.server.cfg.Directory.Snapshot()):
		// The connection is closed behind the refusal.
		c.refuse(outcome.ForReason(outcome.ReasonKeyWithdrawn, nil))
		return false
	case c.failed:
		return c.answerFailed()
	case !b.request.NeedsDatabase && c.tx == nil:
		return c.answerAlone()
	case b.request.SimpleQuery && c.reset():
		return c.write(b.answer)
	case c.tx != nil:
		return c.continueBlock()
	case b.request.OnlyBegin && c.begin == "" && !relay.HasLeadingComment(b.request.RoutingText) && b.request.EndsWithSync:
		return c.answerBegin()
	}
	return c.place()
}

// reset answers a query that only makes the caller's connection like a new one; false for every other query.
func (c *caller) reset() bool {
	tag, found := relay.IsReset(c.buffers.request.RoutingText)
	if !found || c.tx != nil || c.begin != "" {
		return false
	}
	c.rewriter.Statements.Clear()
	c.buffers.answer = appendReady(appendComplete(c.buffers.answer[:0], tag), c.blockState())
	return true
}

// asksForReady tells whether a batch ends with a message that ReadyForQuery answers.
func asksForReady(batch []byte) bool {
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

// answerAlone answers a batch that only closes statements or synchronises.
func (c *caller) answerAlone() bool {
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
			answer = appendReady(answer, c.blockState())
		}
		data = rest
	}
	b.answer = answer
	return c.write(answer)
}

// answerBegin opens a block that gets its place with the first statement behind it.
func (c *caller) answerBegin() bool {
	b := c.buffers
	answer, executes := b.answer[:0], b.request.SimpleQuery
	for data := b.request.Data; len(data) > 0; {
		kind, body, rest, err := relay.Split(data)
		if err != nil {
			return false
		}
		if kind == relay.KindExecute || kind == relay.KindQuery {
			executes = true
			c.begin = string(b.request.RoutingText)
		}
		answer = appendBeginAnswer(answer, kind, body, c.blockState())
		data = rest
	}
	if !executes {
		return c.place()
	}
	b.answer = answer
	return c.write(answer)
}

func appendBeginAnswer(dst []byte, kind relay.Kind, body []byte, state byte) []byte {
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
		return appendReady(appendComplete(dst, "BEGIN"), state)
	case relay.KindSync:
		return appendReady(dst, state)
	}
	return dst
}

func appendComplete(dst []byte, tag string) []byte {
	dst = relay.AppendHeader(dst, relay.KindCommandComplete, len(tag)+1)
	return append(append(dst, tag...), 0)
}

// answerFailed answers inside a block that has failed without a connection.
func (c *caller) answerFailed() bool {
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
			c.failed = false
		}
		answer = c.appendRollbackAnswer(answer, kind, body)
		data = rest
	}
	b.answer = answer
	return c.write(answer)
}

func (c *caller) appendRollbackAnswer(dst []byte, kind relay.Kind, body []byte) []byte {
	switch kind {
	case relay.KindExecute:
		return appendComplete(dst, "ROLLBACK")
	case relay.KindQuery:
		return appendReady(appendComplete(dst, "ROLLBACK"), executor.TxStatusIdle)
	}
	return appendBeginAnswer(dst, kind, body, c.blockState())
}

// appendToken appends the session's new token.
func (c *caller) appendToken(dst []byte, name string) []byte {
	status := pgproto3.ParameterStatus{Name: name, Value: c.server.cfg.Signer.Sign(c.state)}
	out, err := status.Encode(dst)
	if err != nil {
		return dst
	}
	return out
}
