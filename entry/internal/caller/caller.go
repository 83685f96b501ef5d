package caller

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"

	"lentilwind.dev/entry/internal/directory"
	"lentilwind.dev/entry/internal/executor"
	"lentilwind.dev/entry/internal/outcome"
	"lentilwind.dev/entry/internal/relay"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/session"
)

// closeReason is the reason for which an idle connection is closed.
type closeReason string

const (
	closeNone         closeReason = ""
	closeKeyWithdrawn closeReason = "keyWithdrawn"
	closeStopping     closeReason = "stopping"
)

const readBufferBytes = 4 << 10

// callerConn is one connection of a caller, served by one goroutine.
type callerConn struct {
	server    *Server
	conn      net.Conn
	r         *bufio.Reader
	encrypted bool
	connected time.Time

	workspace inventory.WorkspaceName
	service   group.Service
	route     inventory.RouteName
	keyHash   directory.KeyHash
	hasKey    bool
	cancelKey backendKey
	session   session.State
	rewriter  relay.Rewriter

	// block is the open transaction block; nil outside of blocks.
	block *block
	// deferredBegin is the text of a BEGIN that has been answered but not yet sent to a database.
	deferredBegin string
	// blockFailed is set while a failed block, which has no database connection, waits for COMMIT or ROLLBACK.
	blockFailed bool
	// skipToSync is set after an error: messages are discarded up to the next Sync.
	skipToSync bool

	buffers *buffers

	// mu guards the fields below.
	mu          sync.Mutex
	closeReason closeReason
	idle        bool
	inBlock     bool
	runningTx   executor.Transaction
}

func newCallerConn(s *Server, conn net.Conn) *callerConn {
	return &callerConn{server: s, conn: conn, r: bufio.NewReaderSize(conn, readBufferBytes), connected: time.Now()}
}

// granted reports whether the key of the connection is still granted.
func (c *callerConn) granted(snapshot *directory.Snapshot) bool {
	if !c.hasKey {
		return true
	}
	workspace := snapshot.Workspace(c.workspace)
	return workspace != nil && workspace.HasKey(c.keyHash)
}

// requestClose closes the connection once no request is running; closeStopping also lets an open transaction block end first.
func (c *callerConn) requestClose(reason closeReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeReason == closeNone || reason == closeKeyWithdrawn {
		c.closeReason = reason
	}
	if c.idle && c.pendingClose() != closeNone {
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// pendingClose returns the reason that applies now; c.mu must be held.
func (c *callerConn) pendingClose() closeReason {
	if c.closeReason == closeStopping && c.inBlock {
		return closeNone
	}
	return c.closeReason
}

// markIdle records that no request is running, unless the connection is to be closed for the returned reason.
func (c *callerConn) markIdle(inBlock bool) closeReason {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inBlock = inBlock
	if reason := c.pendingClose(); reason != closeNone {
		return reason
	}
	c.idle = true
	deadline := time.Time{}
	if inBlock {
		deadline = time.Now().Add(c.server.cfg.Limits.IdleInTransaction)
	}
	_ = c.conn.SetReadDeadline(deadline)
	return closeNone
}

// markBusy records that a request is running and returns the reason to close the connection, if any.
func (c *callerConn) markBusy() closeReason {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	return c.pendingClose()
}

// serve answers requests until the caller disconnects or the connection is closed.
func (c *callerConn) serve() {
	defer c.rollBackOpenBlock()
	if !c.granted(c.server.cfg.Directory.Snapshot()) {
		// The key was withdrawn before the connection was registered, so watchKeys did not see it.
		c.sendCloseReason(closeKeyWithdrawn)
		return
	}
	for {
		reason := c.markIdle(c.block != nil || c.deferredBegin != "" || c.blockFailed)
		if reason != closeNone {
			c.sendCloseReason(reason)
			return
		}
		err := c.awaitMessage()
		if reason := c.markBusy(); reason != closeNone {
			c.sendCloseReason(reason)
			return
		}
		if err != nil {
			c.reportReadError(err)
			return
		}
		if !c.serveBatch() {
			return
		}
	}
}

// awaitMessage waits for the header of the next message; an idle connection holds no request buffers.
func (c *callerConn) awaitMessage() error {
	_, err := c.r.Peek(relay.HeaderBytes)
	return err
}

// serveBatch reads and answers one batch; it returns false if the connection must be closed.
func (c *callerConn) serveBatch() bool {
	c.buffers = getBuffers()
	defer func() {
		c.buffers.release()
		c.buffers = nil
	}()
	more, err := c.readBatch()
	if err != nil {
		c.reportReadError(err)
		return false
	}
	if !more {
		return false
	}
	return c.answerBatch()
}

// sendCloseReason sends the caller the reason for closing the connection.
func (c *callerConn) sendCloseReason(reason closeReason) {
	if reason == closeStopping {
		c.writeFatal(outcome.ForReason(outcome.ReasonStopping, nil))
		return
	}
	c.recordFailure(outcome.ForReason(outcome.ReasonKeyWithdrawn, nil))
	c.writeFatal(outcome.ForReason(outcome.ReasonKeyWithdrawn, nil))
}

// reportReadError sends the caller a final error for a failed read, except when the connection is lost.
func (c *callerConn) reportReadError(err error) {
	var netErr net.Error
	switch {
	case errors.As(err, &netErr) && netErr.Timeout() && c.buffers != nil:
		c.writeFatal(&outcome.Failure{SQLState: outcome.ProtocolViolation, Message: "not run: the rest of the request did not come in time"})
	case errors.As(err, &netErr) && netErr.Timeout():
		c.writeFatal(&outcome.Failure{SQLState: "25P03", Message: "the transaction was idle for too long and has been rolled back"})
	case errors.Is(err, errTooLarge):
		c.writeFatal(&outcome.Failure{SQLState: outcome.TooLarge, Message: "not run: the request is too large"})
	case errors.Is(err, relay.ErrMalformedMessage):
		c.writeFatal(&outcome.Failure{SQLState: outcome.ProtocolViolation, Message: "malformed message"})
	}
}

// writeFatal sends a final error before the connection is closed.
func (c *callerConn) writeFatal(f *outcome.Failure) {
	_ = c.conn.SetWriteDeadline(time.Now().Add(lastWriteTimeout))
	_, _ = c.conn.Write(relay.AppendFailure(nil, "FATAL", f))
}

const lastWriteTimeout = time.Second

// rollBackOpenBlock rolls back the open transaction block, if any.
func (c *callerConn) rollBackOpenBlock() {
	if c.block != nil {
		c.closeBlock()
	}
}

// setRunningTx sets the transaction that a cancel request applies to.
func (c *callerConn) setRunningTx(tx executor.Transaction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runningTx = tx
}

// cancelRunning cancels the running statement, if any, and reports whether there was one.
func (c *callerConn) cancelRunning() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runningTx == nil {
		return false
	}
	c.runningTx.Cancel()
	return true
}
