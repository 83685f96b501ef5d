package pool

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// checkAfter is how long a connection may rest before it is checked for a close by the database.
const checkAfter = 5 * time.Millisecond

// alive tells that the database has neither closed the connection nor sent anything unasked for.
func (c *Conn) alive() bool {
	if c.Reader.Buffered() > 0 {
		return false
	}
	if time.Since(c.LastResponse) < checkAfter {
		return true
	}
	// The deadline of the last answer would fail the look at a good connection.
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var probe [1]byte
		_, _, err := unix.Recvfrom(int(fd), probe[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}
