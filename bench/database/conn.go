package database

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

var errSilenced = errors.New("database: connection is silenced")

// conn is an accepted connection that can be silenced: it stays open but carries no more data.
type conn struct {
	net.Conn
	stream    *stream
	silent    atomic.Bool
	closeOnce sync.Once
}

func newConn(c net.Conn, s *stream) *conn {
	return &conn{Conn: c, stream: s}
}

// Read reads and records the bytes; it fails on a silenced connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() {
		return 0, errSilenced
	}
	if n > 0 {
		c.stream.add(p[:n])
	}
	return n, err
}

// Write writes the bytes; it fails on a silenced connection.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return 0, errSilenced
	}
	return c.Conn.Write(p)
}

// Close closes the connection; a silenced one stays open, so that its peer does not notice.
func (c *conn) Close() error {
	if c.silent.Load() {
		return nil
	}
	return c.closeConn()
}

func (c *conn) closeConn() error {
	var err error
	c.closeOnce.Do(func() {
		err = c.Conn.Close()
		c.stream.close()
	})
	return err
}

// silence ends the session on this side without closing the connection.
func (c *conn) silence() {
	c.silent.Store(true)
	_ = c.SetReadDeadline(time.Now())
}

// closeAfterPeer closes the connection; a silenced one stays open until its peer closes it.
func (c *conn) closeAfterPeer() {
	if c.silent.Load() {
		_ = c.SetReadDeadline(time.Time{})
		_, _ = io.Copy(io.Discard, c.Conn)
	}
	_ = c.closeConn()
}

// reset closes the connection with a TCP reset.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.closeConn()
}

// connSet is a set of open connections.
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

func (s *connSet) forEach(call func(*conn)) {
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
