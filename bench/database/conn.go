package database

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

var errSilent = errors.New("database: the connection is silent")

// conn is an accepted connection that can be made silent.
type conn struct {
	net.Conn
	stream *stream
	silent atomic.Bool
	once   sync.Once
}

func newConn(c net.Conn, s *stream) *conn {
	return &conn{Conn: c, stream: s}
}

// Read reads and records; a silent connection gives nothing.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() {
		return 0, errSilent
	}
	if n > 0 {
		c.stream.add(p[:n])
	}
	return n, err
}

// Write writes unless the connection is silent.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return 0, errSilent
	}
	return c.Conn.Write(p)
}

// Close closes the connection; a silent one stays open to its peer.
func (c *conn) Close() error {
	if c.silent.Load() {
		return nil
	}
	return c.end()
}

func (c *conn) end() error {
	var err error
	c.once.Do(func() {
		err = c.Conn.Close()
		c.stream.close()
	})
	return err
}

// silence ends the session on this side while the peer is told nothing.
func (c *conn) silence() {
	c.silent.Store(true)
	_ = c.SetReadDeadline(time.Now())
}

// finish keeps a silent connection open until its peer gives up, and closes any other.
func (c *conn) finish() {
	if c.silent.Load() {
		_ = c.SetReadDeadline(time.Time{})
		_, _ = io.Copy(io.Discard, c.Conn)
	}
	_ = c.end()
}

// abort closes the connection without a farewell.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.end()
}

// connSet is the set of open connections.
type connSet struct {
	mu   sync.Mutex
	open map[*conn]struct{}
}

func newConnSet() *connSet { return &connSet{open: make(map[*conn]struct{})} }

func (s *connSet) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = struct{}{}
}

func (s *connSet) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

func (s *connSet) each(call func(*conn)) {
	s.mu.Lock()
	list := make([]*conn, 0, len(s.open))
	for c := range s.open {
		list = append(list, c)
	}
	s.mu.Unlock()
	for _, c := range list {
		call(c)
	}
}
