package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// Timeouts of a connection.
const (
	// dialTimeout bounds a connection attempt. Data centres are about a millisecond apart, but a lost packet delays the handshake
	// by a second.
	dialTimeout = 600 * time.Millisecond
	// writeTimeout bounds a write to a process that does not read.
	writeTimeout = 2 * time.Second
	// pingAfter is how long a call waits for its reply before a ping is sent. silentAfter is the time without any received data
	// after which the connection is closed: long enough for a packet that is lost twice.
	pingAfter   = 200 * time.Millisecond
	silentAfter = 700 * time.Millisecond
	// userTimeout is how long sent data may remain unacknowledged before the kernel closes the connection.
	userTimeout = 1500 * time.Millisecond
)

// Errors of calls that got no answer.
var (
	// ErrUnavailable is wrapped by all of them; the call may have been executed.
	ErrUnavailable = errors.New("peer: unavailable")
	// ErrNotSent is wrapped as well if the call has certainly not arrived.
	ErrNotSent = errors.New("not sent")
)

// Client calls other processes over one connection per address.
type Client struct {
	name inventory.InstanceName

	mu    sync.Mutex
	conns map[string]*conn
}

// NewClient returns a client that sends name as the sender of each frame.
func NewClient(name inventory.InstanceName) *Client {
	return &Client{name: name, conns: make(map[string]*conn)}
}

// Call sends a request and decodes the answer into reply; a refusal is returned as a *protocol.Refusal.
func (c *Client) Call(ctx context.Context, address string, kind protocol.Kind, request, reply any) error {
	connection, err := c.conn(ctx, address)
	if err != nil {
		return err
	}
	frame, err := connection.call(ctx, kind, c.name, request)
	if err != nil {
		return err
	}
	if frame.Refusal != nil {
		return frame.Refusal
	}
	return protocol.Decode(frame.Body, reply)
}

// Send sends a message that has no reply.
func (c *Client) Send(ctx context.Context, address string, kind protocol.Kind, message any) error {
	connection, err := c.conn(ctx, address)
	if err != nil {
		return err
	}
	return connection.send(kind, c.name, 0, message)
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, connection := range c.conns {
		connection.close()
	}
	clear(c.conns)
}

func (c *Client) conn(ctx context.Context, address string) (*conn, error) {
	c.mu.Lock()
	connection := c.conns[address]
	if connection == nil || connection.closed() {
		connection = &conn{address: address, ready: make(chan struct{}), done: make(chan struct{}), pending: make(map[protocol.RequestID]chan protocol.Frame)}
		c.conns[address] = connection
		go connection.run()
	}
	c.mu.Unlock()
	select {
	case <-connection.ready:
		return connection, nil
	case <-connection.done:
		return nil, fmt.Errorf("%w: %w: %s: no connection", ErrUnavailable, ErrNotSent, address)
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w: %s: %w", ErrUnavailable, ErrNotSent, address, ctx.Err())
	}
}

// conn is one connection to another process.
type conn struct {
	address string
	ready   chan struct{}
	done    chan struct{}
	closing sync.Once

	writeMu sync.Mutex
	socket  net.Conn

	mu      sync.Mutex
	lastID  protocol.RequestID
	pending map[protocol.RequestID]chan protocol.Frame
	// lastReceived is the time at which the last frame was received.
	lastReceived time.Time
}

// run connects and reads replies until the connection is closed.
func (c *conn) run() {
	defer c.close()
	socket, err := net.DialTimeout("tcp", c.address, dialTimeout)
	if err != nil {
		return
	}
	setUserTimeout(socket)
	c.writeMu.Lock()
	c.socket = socket
	c.writeMu.Unlock()
	close(c.ready)
	for {
		frame, err := protocol.ReadFrame(socket)
		if err != nil {
			return
		}
		c.mu.Lock()
		replies := c.pending[frame.ID]
		delete(c.pending, frame.ID)
		c.lastReceived = time.Now()
		c.mu.Unlock()
		if replies != nil {
			replies <- frame
		}
	}
}

func (c *conn) closed() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

func (c *conn) close() {
	c.closing.Do(func() {
		close(c.done)
		c.writeMu.Lock()
		defer c.writeMu.Unlock()
		if c.socket != nil {
			_ = c.socket.Close() // The connection is abandoned, so the error is of no use.
		}
	})
}

func (c *conn) call(ctx context.Context, kind protocol.Kind, sender inventory.InstanceName, request any) (protocol.Frame, error) {
	replies := make(chan protocol.Frame, 1)
	c.mu.Lock()
	c.lastID++
	id := c.lastID
	c.pending[id] = replies
	c.mu.Unlock()
	sent := time.Now()
	if err := c.send(kind, sender, id, request); err != nil {
		c.mu.Lock()
		delete(c.pending, id)
		c.mu.Unlock()
		return protocol.Frame{}, err
	}
	return c.await(ctx, id, kind, sender, sent, replies)
}

// kindPing is the kind of a request that is sent only to get some answer; servers refuse it as an unknown kind.
const kindPing protocol.Kind = "ping"

// await waits for the reply; if nothing at all arrives on the connection, it closes the connection.
func (c *conn) await(
	ctx context.Context, id protocol.RequestID, kind protocol.Kind, sender inventory.InstanceName, sent time.Time, replies <-chan protocol.Frame,
) (protocol.Frame, error) {
	silenceTimer := time.NewTimer(pingAfter)
	defer silenceTimer.Stop()
	pinged := false
	for {
		select {
		case frame := <-replies:
			return frame, nil
		case <-c.done:
			return protocol.Frame{}, fmt.Errorf("%w: %s: the connection ended during %s", ErrUnavailable, c.address, kind)
		case <-ctx.Done():
			c.abandon(id, sent)
			return protocol.Frame{}, fmt.Errorf("%w: %s: %s: %w", ErrUnavailable, c.address, kind, ctx.Err())
		case <-silenceTimer.C:
			if pinged && c.silentSince(sent) {
				c.close()
				continue
			}
			// The time is taken before the ping is sent, because the answer may arrive before send returns.
			sent, pinged = time.Now(), true
			if err := c.send(kindPing, sender, c.nextID(), struct{}{}); err != nil {
				continue
			}
			silenceTimer.Reset(silentAfter - pingAfter)
		}
	}
}

func (c *conn) nextID() protocol.RequestID {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	return c.lastID
}

// silentSince reports whether no frame has been received since a time.
func (c *conn) silentSince(at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastReceived.Before(at)
}

// abandon removes a call that got no reply; if the connection has been silent since the call was sent, it is closed.
func (c *conn) abandon(id protocol.RequestID, sent time.Time) {
	c.mu.Lock()
	delete(c.pending, id)
	c.mu.Unlock()
	if time.Since(sent) > silentAfter && c.silentSince(sent) {
		c.close()
	}
}

func (c *conn) send(kind protocol.Kind, sender inventory.InstanceName, id protocol.RequestID, message any) error {
	body, err := protocol.Encode(message)
	if err != nil {
		return err
	}
	frame := protocol.Frame{Version: protocol.Version, Kind: kind, Sender: sender, ID: id, Body: body}
	if err := write(&c.writeMu, c.socket, frame); err != nil {
		if errors.Is(err, protocol.ErrFrameTooLarge) {
			// Nothing was written, so the other calls on the connection go on.
			return fmt.Errorf("%w: %w: %s: %w", ErrUnavailable, ErrNotSent, c.address, err)
		}
		c.close()
		return fmt.Errorf("%w: %s: %w", ErrUnavailable, c.address, err)
	}
	return nil
}

func write(mu *sync.Mutex, socket net.Conn, frame protocol.Frame) error {
	mu.Lock()
	defer mu.Unlock()
	if err := socket.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return protocol.WriteFrame(socket, frame)
}

// setUserTimeout makes the kernel close a connection whose peer does not acknowledge sent data.
func setUserTimeout(socket net.Conn) {
	tcp, ok := socket.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	// Without the option calls still end by their own deadlines, so a failure here only delays the detection.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}
