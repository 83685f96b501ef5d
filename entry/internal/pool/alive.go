package pool

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// livenessCheckAfter is how long a connection may be idle before reuse requires checking that the database has not closed it.
const livenessCheckAfter = 5 * time.Millisecond

// alive reports whether the connection appears open and has no unread data.
func (c *Conn) alive() bool {
	if c.Reader.Buffered() > 0 {
		return false
	}
	if time.Since(c.LastResponse) < livenessCheckAfter {
		return true
	}
	// An expired deadline left by the last response would make the check fail on a good connection.
	if c.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	stillOpen := false
	err = raw.Read(func(fd uintptr) bool {
		var probe [1]byte
		_, _, err := unix.Recvfrom(int(fd), probe[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		stillOpen = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && stillOpen
}
