package link

import (
	"net"
	"time"

	"github.com/quic-go/quic-go"
)

// Stream is a bidirectional byte stream between two processes; it implements net.Conn.
type Stream struct {
	*quic.Stream
	conn *quic.Conn
}

var _ net.Conn = (*Stream)(nil)

// LocalAddr returns the local address of the underlying connection.
func (s *Stream) LocalAddr() net.Addr { return s.conn.LocalAddr() }

// RemoteAddr returns the remote address of the underlying connection.
func (s *Stream) RemoteAddr() net.Addr { return s.conn.RemoteAddr() }

// Reset aborts both directions at once; unread data is lost.
func (s *Stream) Reset() {
	s.CancelRead(0)
	s.CancelWrite(0)
}

func wallNow() time.Time { return time.Now() }
