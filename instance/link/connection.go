package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"

	"github.com/quic-go/quic-go"

	"lentilwind.dev/instance/identity"
	"lentilwind.dev/lentilwind/protocol"
)

// connection is an outgoing connection to one address; after a failure it is dialled again from a new socket.
type connection struct {
	// lock guards the fields below. It is held while its buffer is full; unlike a sync.Mutex it can be awaited with a context.
	lock      chan struct{}
	conn      *quic.Conn
	transport *quic.Transport
}

func newConnection() *connection {
	return &connection{lock: make(chan struct{}, 1)}
}

// acquire takes the lock or returns an error when the context ends.
func (c *connection) acquire(ctx context.Context) error {
	select {
	case c.lock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *connection) release() { <-c.lock }

func (c *connection) close() {
	c.lock <- struct{}{}
	defer c.release()
	c.drop()
}

// drop closes the connection and its socket; the caller holds the lock.
func (c *connection) drop() {
	if c.conn == nil {
		return
	}
	_ = c.conn.CloseWithError(0, "closing")
	_ = c.transport.Close()
	_ = c.transport.Conn.Close()
	c.conn, c.transport = nil, nil
}

// get returns the open connection or dials a new one.
func (c *connection) get(ctx context.Context, from netip.Addr, to netip.AddrPort, source *identity.Source) (*quic.Conn, error) {
	if err := c.acquire(ctx); err != nil {
		return nil, fmt.Errorf("link: dial %s: %w", to, err)
	}
	defer c.release()
	if c.conn != nil && c.conn.Context().Err() == nil {
		return c.conn, nil
	}
	c.drop()
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(from, 0)))
	if err != nil {
		return nil, fmt.Errorf("link: dial %s: %w", to, err)
	}
	transport := &quic.Transport{Conn: socket}
	conn, err := transport.Dial(ctx, net.UDPAddrFromAddrPort(to), source.Client(protocolName), quicConfig())
	if err != nil {
		return nil, errors.Join(fmt.Errorf("link: dial %s: %w", to, err), transport.Close(), socket.Close())
	}
	c.conn, c.transport = conn, transport
	return conn, nil
}

func (e *Endpoint) connect(ctx context.Context, to netip.AddrPort) (*quic.Conn, error) {
	e.connsMu.Lock()
	c := e.conns[to]
	if c == nil {
		c = newConnection()
		e.conns[to] = c
	}
	e.connsMu.Unlock()
	return c.get(ctx, e.cfg.Listen.Addr(), to, e.cfg.Identity)
}

// Call sends a request and decodes the reply; a refusal is returned as a *protocol.Refusal.
//
// After any other error it is unknown whether the request was run.
func (e *Endpoint) Call(ctx context.Context, to netip.AddrPort, kind protocol.Kind, body, reply any) error {
	stream, opening, err := e.open(ctx, to, kind, body)
	if err != nil {
		return err
	}
	defer stream.Reset()
	stop := context.AfterFunc(ctx, stream.Reset)
	defer stop()
	// The peer may reply and stop reading before Close returns, so an error of Close says nothing about the call.
	_ = stream.Close()
	frame, err := protocol.ReadFrame(stream)
	if err != nil {
		return fmt.Errorf("link: reply from %s: %w", to, errors.Join(err, ctx.Err()))
	}
	e.cfg.Clock.Observe(wallNow(), frame.Clock)
	if frame.ID != opening.ID || frame.Kind != kind {
		e.dropped.Add(1)
		return fmt.Errorf("link: reply from %s: %w: it answers another request", to, protocol.ErrMalformedFrame)
	}
	if frame.Refusal != nil {
		return frame.Refusal
	}
	return protocol.Decode(frame.Body, reply)
}

// Send sends a one-way message; a nil error does not mean that the message has arrived.
func (e *Endpoint) Send(ctx context.Context, to netip.AddrPort, kind protocol.Kind, body any) error {
	conn, err := e.connect(ctx, to)
	if err != nil {
		return err
	}
	frame := e.newFrame(kind)
	if frame.Body, err = protocol.Encode(body); err != nil {
		return err
	}
	stream, err := conn.OpenUniStreamSync(ctx)
	if err != nil {
		return fmt.Errorf("link: %w", err)
	}
	if err := protocol.WriteFrame(stream, frame); err != nil {
		stream.CancelWrite(0)
		return fmt.Errorf("link: %w", err)
	}
	return stream.Close()
}

// Open opens a stream and sends a first frame with the given body; what follows is up to the two ends.
func (e *Endpoint) Open(ctx context.Context, to netip.AddrPort, kind protocol.Kind, body any) (*Stream, error) {
	stream, _, err := e.open(ctx, to, kind, body)
	return stream, err
}

func (e *Endpoint) open(ctx context.Context, to netip.AddrPort, kind protocol.Kind, body any) (*Stream, protocol.Frame, error) {
	frame := e.newFrame(kind)
	var err error
	if frame.Body, err = protocol.Encode(body); err != nil {
		return nil, frame, err
	}
	conn, err := e.connect(ctx, to)
	if err != nil {
		return nil, frame, err
	}
	opened, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, frame, fmt.Errorf("link: %w", err)
	}
	stream := &Stream{Stream: opened, conn: conn}
	if err := protocol.WriteFrame(stream, frame); err != nil {
		stream.Reset()
		return nil, frame, fmt.Errorf("link: %w", err)
	}
	return stream, frame, nil
}
