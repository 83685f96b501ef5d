package link

import (
	"net"
	"time"

	"github.com/quic-go/quic-go"
)

// Stream is a two-way byte stream between two processes; it implements net.Conn.
type Stream struct {
	*quic.Stream
	conn *quic.Conn
}

var _ net.Conn = (*Stream)(nil)

// LocalAddr returns the local address of the connection below.
func (s *Stream) LocalAddr() net.Addr { return s.conn.LocalAddr() }

// RemoteAddr returns the remote address of the connection below.
func (s *Stream) RemoteAddr() net.Addr { return s.conn.RemoteAddr() }

// Reset ends both directions at once; what was not read is lost.
func (s *Stream) Reset() {
	s.CancelRead(0)
	s.CancelWrite(0)
}

func wallNow() time.Time { return time.Now() }
