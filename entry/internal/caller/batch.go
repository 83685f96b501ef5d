package caller

import (
	"errors"
	"time"

	"lentilwind.dev/entry/internal/relay"
)

var errTooLarge = errors.New("caller: request too large")

// readBatch reads messages up to one that requests an answer; it returns false after a Terminate message.
//
// Nothing is sent to a database before the batch is complete, so a partially sent request holds no database connection.
func (c *callerConn) readBatch() (bool, error) {
	b := c.buffers
	b.batch = b.batch[:0]
	_ = c.conn.SetReadDeadline(time.Now().Add(c.server.cfg.Limits.SlowCaller))
	for {
		kind, size, err := relay.ReadHeader(c.r)
		if err != nil {
			return false, err
		}
		if kind == relay.KindTerminate {
			return false, nil
		}
		if len(b.batch)+relay.HeaderBytes+size > c.server.cfg.Limits.RequestBytes {
			return false, errTooLarge
		}
		start := len(b.batch)
		b.batch = relay.AppendHeader(b.batch, kind, size)
		if b.batch, err = relay.AppendBody(b.batch, c.r, size); err != nil {
			return false, err
		}
		if c.skipToSync && kind != relay.KindSync {
			b.batch = b.batch[:start]
			continue
		}
		switch kind {
		case relay.KindQuery, relay.KindSync, relay.KindFlush, relay.KindFunctionCall:
			return true, nil
		case relay.KindCopyData, relay.KindCopyDone, relay.KindCopyFail:
			// These follow a rejected COPY; they are ignored as in PostgreSQL.
			b.batch = b.batch[:start]
		}
	}
}
