package pool

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"golang.org/x/sys/unix"

	"lentilwind.dev/entry/internal/relay"
	"lentilwind.dev/instance/dialer"
	"lentilwind.dev/lentilwind/group"
)

// User is the database user of an entry's connections.
const User = "lentilwind"

// Limits of a connection.
const (
	readBufferBytes = 16 << 10
	// maxPrepared limits the prepared statements of a connection.
	maxPrepared = 512
	// maxStartupBytes limits the size of a message that the database sends during startup.
	maxStartupBytes = 64 << 10
)

// Timeouts for detecting an unresponsive peer.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	userTimeout       = 4 * time.Second
	cancelTimeout     = 2 * time.Second
)

// Conn is a connection to a database. At most one transaction uses it at a time.
type Conn struct {
	net.Conn
	Reader *bufio.Reader

	// Scope is the scope that was last set on the connection; it is valid only if Scoped is true.
	Scope  Scope
	Scoped bool
	// Dirty is set if the connection must be reset before its next use.
	Dirty bool
	// Prepared holds the internal names of the statements that are prepared on the connection.
	Prepared map[string]struct{}
	// LastResponse is when the database last responded on the connection.
	LastResponse time.Time

	// writeKey is the slot and term under which the pool counts the running write transaction; zero if there is none.
	writeKey writeKey
	// abandoned is set once the pool has stopped waiting for responses on the connection.
	abandoned atomic.Bool

	processID uint32
	secretKey []byte

	mu sync.Mutex
	// cancelDone is closed when the cancel request has finished; nil if none is pending.
	cancelDone chan struct{}
	// cancelled is set by AwaitCancel after a cancel request; such a connection is not reused.
	cancelled bool
}

// Dial connects to a database and waits until it is ready for queries.
func Dial(ctx context.Context, source netip.Addr, address netip.AddrPort, service group.Service) (*Conn, error) {
	d := dialer.NewDialer(source)
	d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
	d.Control = setUserTimeout
	raw, err := d.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("pool: %w", err)
	}
	c := &Conn{Conn: raw, Reader: bufio.NewReaderSize(raw, readBufferBytes), Prepared: make(map[string]struct{})}
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	err = c.startUp(service)
	if !stop() || err != nil {
		_ = raw.Close()
		return nil, fmt.Errorf("pool: connect to %s: %w", address, errors.Join(err, ctx.Err()))
	}
	c.LastResponse = time.Now()
	return c, nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}

func (c *Conn) startUp(service group.Service) error {
	startup := pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": User, "database": string(service)},
	}
	out, err := startup.Encode(nil)
	if err != nil {
		return err
	}
	if _, err := c.Write(out); err != nil {
		return err
	}
	var buf []byte
	for {
		kind, size, err := relay.ReadHeader(c.Reader)
		if err != nil {
			return err
		}
		if size > maxStartupBytes {
			return fmt.Errorf("%w: %d bytes", relay.ErrMalformedMessage, size)
		}
		if buf, err = relay.AppendBody(buf[:0], c.Reader, size); err != nil {
			return err
		}
		if ready, err := c.handleStartupMessage(kind, buf); ready || err != nil {
			return err
		}
	}
}

const kindAuthentication relay.Kind = 'R'

func (c *Conn) handleStartupMessage(kind relay.Kind, body []byte) (ready bool, err error) {
	switch kind {
	case kindAuthentication:
		if len(body) != 4 || binary.BigEndian.Uint32(body) != pgproto3.AuthTypeOk {
			return false, errors.New("the database asks for a password")
		}
	case 'K':
		var key pgproto3.BackendKeyData
		if err := key.Decode(body); err != nil {
			return false, err
		}
		c.processID, c.secretKey = key.ProcessID, append([]byte(nil), key.SecretKey...)
	case relay.KindErrorResponse:
		return false, relay.DecodeError(body)
	case relay.KindReadyForQuery:
		return true, nil
	}
	return false, nil
}

// Cancel sends a cancel request for the running statement. The connection is not reused afterwards.
//
// The caller must ensure that the statement to cancel is the one that the connection is running.
func (c *Conn) Cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelDone != nil || len(c.secretKey) == 0 {
		return
	}
	done := make(chan struct{})
	c.cancelDone = done
	go func() {
		defer close(done)
		sendCancel(c.LocalAddr().(*net.TCPAddr).AddrPort().Addr(), c.RemoteAddr().String(), c.processID, c.secretKey)
	}()
}

// AwaitCancel waits for a pending cancel request, so that it cannot cancel the next statement instead.
func (c *Conn) AwaitCancel() {
	c.mu.Lock()
	cancelDone := c.cancelDone
	c.cancelDone = nil
	c.cancelled = c.cancelled || cancelDone != nil
	c.mu.Unlock()
	if cancelDone != nil {
		<-cancelDone
	}
}

// Cancelled reports whether a cancel request was sent for the connection.
func (c *Conn) Cancelled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cancelled || c.cancelDone != nil
}

func sendCancel(source netip.Addr, address string, processID uint32, secretKey []byte) {
	d := dialer.NewDialer(source)
	d.Timeout = cancelTimeout
	conn, err := d.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	request := pgproto3.CancelRequest{ProcessID: processID, SecretKey: secretKey}
	out, err := request.Encode(nil)
	if err != nil {
		return
	}
	_ = conn.SetDeadline(time.Now().Add(cancelTimeout))
	_, _ = conn.Write(out)
	// The database closes the connection after it has processed the request.
	var end [1]byte
	_, _ = conn.Read(end[:])
}

// PreparedLimitReached reports whether the connection holds the maximum number of prepared statements.
func (c *Conn) PreparedLimitReached() bool { return len(c.Prepared) >= maxPrepared }

// MarkReset records that DISCARD ALL has cleared the connection's state.
func (c *Conn) MarkReset() {
	clear(c.Prepared)
	c.Scope, c.Scoped, c.Dirty = Scope{}, false, false
}
