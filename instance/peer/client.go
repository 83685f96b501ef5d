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

// Times of a connection.
const (
	// dialTimeout bounds a connection attempt; data centres are about a millisecond apart, and one lost packet costs a second.
	dialTimeout = 600 * time.Millisecond
	// writeTimeout bounds a write to a process that does not read.
	writeTimeout = 2 * time.Second
	// pingAfter is the silence of a waiting call after which the other side is asked for a sign of life, and silentAfter the one
	// after which the connection is given up: long enough for a packet that is lost twice.
	pingAfter   = 200 * time.Millisecond
	silentAfter = 700 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged before the kernel drops the connection.
	userTimeout = 1500 * time.Millisecond
)

// Errors about a process that did not answer.
var (
	// ErrUnavailable is wrapped by all of them; the call may have been carried out.
	ErrUnavailable = errors.New("peer: unavailable")
	// ErrNotSent is wrapped besides where the call has certainly not arrived.
	ErrNotSent = errors.New("not sent")
)

// Client calls other processes over one connection to each address.
type Client struct {
	name inventory.InstanceName

	mu    sync.Mutex
	conns map[string]*conn
}

// NewClient returns a client that names itself in each frame.
func NewClient(name inventory.InstanceName) *Client {
	return &Client{name: name, conns: make(map[string]*conn)}
}

// Call sends a request and decodes the reply into reply; a refusal is a *protocol.Refusal.
func (c *Client) Call(ctx context.Context, address string, kind protocol.Kind, request, reply any) error {
	link, err := c.conn(ctx, address)
	if err != nil {
		return err
	}
	frame, err := link.call(ctx, kind, c.name, request)
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
	link, err := c.conn(ctx, address)
	if err != nil {
		return err
	}
	return link.send(kind, c.name, 0, message)
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, link := range c.conns {
		link.close()
	}
	clear(c.conns)
}

func (c *Client) conn(ctx context.Context, address string) (*conn, error) {
	c.mu.Lock()
	link := c.conns[address]
	if link == nil || link.ended() {
		link = &conn{address: address, ready: make(chan struct{}), done: make(chan struct{}), pending: make(map[protocol.RequestID]chan protocol.Frame)}
		c.conns[address] = link
		go link.run()
	}
	c.mu.Unlock()
	select {
	case <-link.ready:
		return link, nil
	case <-link.done:
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
	end     sync.Once

	writing sync.Mutex
	socket  net.Conn

	mu      sync.Mutex
	last    protocol.RequestID
	pending map[protocol.RequestID]chan protocol.Frame
	// heard is when the last frame came.
	heard time.Time
}

// run connects and reads replies until the connection ends.
func (l *conn) run() {
	defer l.close()
	socket, err := net.DialTimeout("tcp", l.address, dialTimeout)
	if err != nil {
		return
	}
	setUserTimeout(socket)
	l.writing.Lock()
	l.socket = socket
	l.writing.Unlock()
	close(l.ready)
	for {
		frame, err := protocol.ReadFrame(socket)
		if err != nil {
			return
		}
		l.mu.Lock()
		waiting := l.pending[frame.ID]
		delete(l.pending, frame.ID)
		l.heard = time.Now()
		l.mu.Unlock()
		if waiting != nil {
			waiting <- frame
		}
	}
}

func (l *conn) ended() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

func (l *conn) close() {
	l.end.Do(func() {
		close(l.done)
		l.writing.Lock()
		defer l.writing.Unlock()
		if l.socket != nil {
			_ = l.socket.Close() // The connection is given up; there is nobody to tell.
		}
	})
}

func (l *conn) call(ctx context.Context, kind protocol.Kind, sender inventory.InstanceName, request any) (protocol.Frame, error) {
	waiting := make(chan protocol.Frame, 1)
	l.mu.Lock()
	l.last++
	id := l.last
	l.pending[id] = waiting
	l.mu.Unlock()
	sent := time.Now()
	if err := l.send(kind, sender, id, request); err != nil {
		return protocol.Frame{}, err
	}
	return l.await(ctx, id, kind, sender, sent, waiting)
}

// kindPing asks for any answer at all.
const kindPing protocol.Kind = "ping"

// await waits for the reply; a connection on which nothing comes at all is given up.
func (l *conn) await(
	ctx context.Context, id protocol.RequestID, kind protocol.Kind, sender inventory.InstanceName, sent time.Time, waiting <-chan protocol.Frame,
) (protocol.Frame, error) {
	look := time.NewTimer(pingAfter)
	defer look.Stop()
	pinged := false
	for {
		select {
		case frame := <-waiting:
			return frame, nil
		case <-l.done:
			return protocol.Frame{}, fmt.Errorf("%w: %s: the connection ended during %s", ErrUnavailable, l.address, kind)
		case <-ctx.Done():
			l.forget(id, sent)
			return protocol.Frame{}, fmt.Errorf("%w: %s: %s: %w", ErrUnavailable, l.address, kind, ctx.Err())
		case <-look.C:
			if pinged && l.silentSince(sent) {
				l.close()
				continue
			}
			// The time is taken first: the answer may be here before send returns.
			sent, pinged = time.Now(), true
			if err := l.send(kindPing, sender, l.nextID(), struct{}{}); err != nil {
				continue
			}
			look.Reset(silentAfter - pingAfter)
		}
	}
}

func (l *conn) nextID() protocol.RequestID {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last++
	return l.last
}

func (l *conn) silentSince(at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heard.Before(at)
}

// forget drops a call that got no reply; a connection that was silent all the while is replaced.
func (l *conn) forget(id protocol.RequestID, sent time.Time) {
	l.mu.Lock()
	delete(l.pending, id)
	l.mu.Unlock()
	if time.Since(sent) > silentAfter && l.silentSince(sent) {
		l.close()
	}
}

func (l *conn) send(kind protocol.Kind, sender inventory.InstanceName, id protocol.RequestID, message any) error {
	body, err := protocol.Encode(message)
	if err != nil {
		return err
	}
	frame := protocol.Frame{Version: protocol.Version, Kind: kind, Sender: sender, ID: id, Body: body}
	if err := write(&l.writing, l.socket, frame); err != nil {
		l.close()
		return fmt.Errorf("%w: %s: %w", ErrUnavailable, l.address, err)
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

// setUserTimeout lets the kernel drop a connection whose far end acknowledges nothing.
func setUserTimeout(socket net.Conn) {
	tcp, ok := socket.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	// Without the option calls still end by their own deadlines, so a failure here changes nothing but the time.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}
