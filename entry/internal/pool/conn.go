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

// User is the name under which an entry connects to databases.
const User = "lentilwind"

// Limits of a connection.
const (
	readBufferBytes = 16 << 10
	// maxPrepared bounds the statements that stay prepared on a connection.
	maxPrepared = 512
	// maxStartupBytes bounds one message of a database's answer to a startup.
	maxStartupBytes = 64 << 10
)

// Times after which a silent connection is given up.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	userTimeout       = 4 * time.Second
	cancelTimeout     = 2 * time.Second
)

// Conn is one connection to a database; it has one user at a time.
type Conn struct {
	net.Conn
	Reader *bufio.Reader

	// Scope is what the connection was last set to, where Scoped is true.
	Scope  Scope
	Scoped bool
	// Dirty connections must be reset before their next use.
	Dirty bool
	// Prepared holds the internal names of the statements that the connection knows.
	Prepared map[string]struct{}
	// LastResponse is when the connection last gave an answer.
	LastResponse time.Time

	// writing is what the pool counts the connection's transaction as; zero for reads.
	writing writeKey
	// abandoned connections give no more answers.
	abandoned atomic.Bool

	processID uint32
	secretKey []byte

	mu sync.Mutex
	// cancelling is closed once the cancel request was taken; nil while none was sent.
	cancelling chan struct{}
	// cancelledOnce connections are not given to another transaction.
	cancelledOnce bool
}

// Dial opens a connection and waits until the database is ready.
func Dial(ctx context.Context, source netip.Addr, address netip.AddrPort, service group.Service) (*Conn, error) {
	d := dialer.From(source)
	d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
	d.Control = setUserTimeout
	raw, err := d.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("pool: %w", err)
	}
	c := &Conn{Conn: raw, Reader: bufio.NewReaderSize(raw, readBufferBytes), Prepared: make(map[string]struct{})}
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	err = c.start(service)
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

func (c *Conn) start(service group.Service) error {
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
		if ready, err := c.startupMessage(kind, buf); ready || err != nil {
			return err
		}
	}
}

const kindAuthentication relay.Kind = 'R'

func (c *Conn) startupMessage(kind relay.Kind, body []byte) (ready bool, err error) {
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

// Cancel asks the database to end the running statement; the connection is not used again.
//
// The caller makes sure that the statement to cancel is the one that the connection runs.
func (c *Conn) Cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelling != nil || len(c.secretKey) == 0 {
		return
	}
	done := make(chan struct{})
	c.cancelling = done
	go func() {
		defer close(done)
		sendCancel(c.LocalAddr().(*net.TCPAddr).AddrPort().Addr(), c.RemoteAddr().String(), c.processID, c.secretKey)
	}()
}

// AwaitCancel waits until a cancel request that is under way can no longer hit the next statement.
func (c *Conn) AwaitCancel() {
	c.mu.Lock()
	cancelling := c.cancelling
	c.cancelling = nil
	c.cancelledOnce = c.cancelledOnce || cancelling != nil
	c.mu.Unlock()
	if cancelling != nil {
		<-cancelling
	}
}

// Cancelled tells whether a cancel request was sent for the connection.
func (c *Conn) Cancelled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cancelledOnce || c.cancelling != nil
}

func sendCancel(source netip.Addr, address string, processID uint32, secretKey []byte) {
	d := dialer.From(source)
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
	// The database closes the connection once it has taken the request.
	var end [1]byte
	_, _ = conn.Read(end[:])
}

// PreparedLimitReached tells that the connection holds as many prepared statements as it may.
func (c *Conn) PreparedLimitReached() bool { return len(c.Prepared) >= maxPrepared }

// MarkReset records that the connection was reset.
func (c *Conn) MarkReset() {
	clear(c.Prepared)
	c.Scope, c.Scoped, c.Dirty = Scope{}, false, false
}
