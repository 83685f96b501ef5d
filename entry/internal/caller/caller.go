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

// interrupt says why an idle caller is to be closed.
type interrupt string

const (
	interruptNone interrupt = ""
	interruptKey  interrupt = "keyWithdrawn"
	interruptStop interrupt = "stopping"
)

const readBufferBytes = 4 << 10

// caller is one connection of a caller; one goroutine serves it.
type caller struct {
	server    *Server
	conn      net.Conn
	r         *bufio.Reader
	encrypted bool
	connected time.Time

	workspace inventory.WorkspaceName
	service   group.Service
	route     inventory.RouteName
	hash      directory.KeyHash
	keyed     bool
	key       backendKey
	state     session.State
	rewriter  relay.Rewriter

	// tx is the open transaction block; nil outside of blocks.
	tx *block
	// begin is the text of a BEGIN that was answered but not sent yet.
	begin string
	// failed tells that a block without a connection waits for its end.
	failed bool
	// skip tells that messages up to the next Sync are skipped after an error.
	skip bool

	buffers *buffers

	mu      sync.Mutex
	reason  interrupt
	waiting bool
	inBlock bool
	running executor.Transaction
}

func newCaller(s *Server, conn net.Conn) *caller {
	return &caller{server: s, conn: conn, r: bufio.NewReaderSize(conn, readBufferBytes), connected: time.Now()}
}

// granted tells whether the caller's key is still granted.
func (c *caller) granted(snapshot *directory.Snapshot) bool {
	if !c.keyed {
		return true
	}
	workspace := snapshot.Workspace(c.workspace)
	return workspace != nil && workspace.HasKey(c.hash)
}

// interrupt closes the caller once it has no request running; a stop lets a transaction block end first.
func (c *caller) interrupt(reason interrupt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reason == interruptNone || reason == interruptKey {
		c.reason = reason
	}
	if c.waiting && c.interrupted() != interruptNone {
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// interrupted returns the reason that counts now; c.mu is held.
func (c *caller) interrupted() interrupt {
	if c.reason == interruptStop && c.inBlock {
		return interruptNone
	}
	return c.reason
}

// wait marks the caller as having no request running, unless it is to be closed.
func (c *caller) wait(inBlock bool) interrupt {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inBlock = inBlock
	if reason := c.interrupted(); reason != interruptNone {
		return reason
	}
	c.waiting = true
	deadline := time.Time{}
	if inBlock {
		deadline = time.Now().Add(c.server.cfg.Limits.IdleInTransaction)
	}
	_ = c.conn.SetReadDeadline(deadline)
	return interruptNone
}

// resumed marks the caller as busy and returns the reason to close it, if any.
func (c *caller) resumed() interrupt {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	return c.interrupted()
}

// serve answers requests until the caller goes or is closed.
func (c *caller) serve() {
	defer c.abandon()
	if !c.granted(c.server.cfg.Directory.Snapshot()) {
		// The key was withdrawn before this caller could be found by it.
		c.dismiss(interruptKey)
		return
	}
	for {
		reason := c.wait(c.tx != nil || c.begin != "" || c.failed)
		if reason != interruptNone {
			c.dismiss(reason)
			return
		}
		err := c.awaitMessage()
		if reason := c.resumed(); reason != interruptNone {
			c.dismiss(reason)
			return
		}
		if err != nil {
			c.ended(err)
			return
		}
		if !c.serveBatch() {
			return
		}
	}
}

// awaitMessage waits for the header of the next message without a buffer of its own.
func (c *caller) awaitMessage() error {
	_, err := c.r.Peek(relay.HeaderBytes)
	return err
}

// serveBatch reads one batch and answers it; false closes the caller.
func (c *caller) serveBatch() bool {
	c.buffers = takeBuffers()
	defer func() {
		c.buffers.put()
		c.buffers = nil
	}()
	more, err := c.readBatch()
	if err != nil {
		c.ended(err)
		return false
	}
	if !more {
		return false
	}
	return c.answer()
}

// dismiss says why the connection is closed.
func (c *caller) dismiss(reason interrupt) {
	if reason == interruptStop {
		c.fatal(outcome.ForReason(outcome.ReasonStopping, nil))
		return
	}
	c.note(outcome.ForReason(outcome.ReasonKeyWithdrawn, nil))
	c.fatal(outcome.ForReason(outcome.ReasonKeyWithdrawn, nil))
}

// ended closes a caller whose connection failed or that sent what cannot be read.
func (c *caller) ended(err error) {
	var netErr net.Error
	switch {
	case errors.As(err, &netErr) && netErr.Timeout() && c.buffers != nil:
		c.fatal(&outcome.Failure{SQLState: outcome.ProtocolViolation, Message: "not run: the rest of the request did not come in time"})
	case errors.As(err, &netErr) && netErr.Timeout():
		c.fatal(&outcome.Failure{SQLState: "25P03", Message: "the transaction was idle for too long and has been rolled back"})
	case errors.Is(err, errTooLarge):
		c.fatal(&outcome.Failure{SQLState: outcome.TooLarge, Message: "not run: the request is too large"})
	case errors.Is(err, relay.ErrMalformedMessage):
		c.fatal(&outcome.Failure{SQLState: outcome.ProtocolViolation, Message: "malformed message"})
	}
}

// fatal sends a last error.
func (c *caller) fatal(f *outcome.Failure) {
	_ = c.conn.SetWriteDeadline(time.Now().Add(lastWriteTimeout))
	_, _ = c.conn.Write(relay.AppendFailure(nil, "FATAL", f))
}

const lastWriteTimeout = time.Second

// abandon rolls an open transaction back.
func (c *caller) abandon() {
	if c.tx != nil {
		c.closeBlock()
	}
}

// setRunning names the transaction that a cancel request ends.
func (c *caller) setRunning(tx executor.Transaction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = tx
}

// cancelRunning cancels the running statement and reports whether there was one.
func (c *caller) cancelRunning() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running == nil {
		return false
	}
	c.running.Cancel()
	return true
}
