package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/quic-go/quic-go"
	"golang.org/x/sync/errgroup"

	"lentilwind.dev/instance/identity"
	"lentilwind.dev/lentilwind/hlc"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

const protocolName = "lentilwind/1"

// Timeouts and limits of connections.
const (
	keepAlivePeriod    = 500 * time.Millisecond
	maxIdleTimeout     = 2 * time.Second
	handshakeTimeout   = 2 * time.Second
	maxIncomingStreams = 10_000
)

// Handler answers one request; a *protocol.Refusal returned as the error is sent to the caller as it is.
type Handler func(ctx context.Context, peer identity.Peer, request protocol.Frame) (reply any, err error)

// StreamHandler serves one incoming stream and must close it.
type StreamHandler func(ctx context.Context, peer identity.Peer, opening protocol.Frame, stream *Stream)

// Config is the configuration of an endpoint.
type Config struct {
	// Listen is the address of the listening socket; outgoing connections use the same IP.
	Listen      netip.AddrPort
	Name        inventory.InstanceName
	Incarnation protocol.Incarnation
	Identity    *identity.Source
	Clock       *hlc.Clock
	Log         *log.Logger
}

// Endpoint sends and receives frames for one process.
type Endpoint struct {
	cfg       Config
	transport *quic.Transport
	listener  *quic.Listener
	nextID    atomic.Uint64
	dropped   atomic.Uint64

	mu       sync.RWMutex
	handlers map[protocol.Kind]Handler
	streams  map[protocol.Kind]StreamHandler

	connsMu sync.Mutex
	conns   map[netip.AddrPort]*connection
}

// Listen opens the socket; handlers must be registered before Serve.
func Listen(cfg Config) (*Endpoint, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(cfg.Listen))
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	transport := &quic.Transport{Conn: socket}
	listener, err := transport.Listen(cfg.Identity.Server(protocolName), quicConfig())
	if err != nil {
		return nil, errors.Join(fmt.Errorf("link: %w", err), socket.Close())
	}
	return &Endpoint{
		cfg:       cfg,
		transport: transport,
		listener:  listener,
		handlers:  make(map[protocol.Kind]Handler),
		streams:   make(map[protocol.Kind]StreamHandler),
		conns:     make(map[netip.AddrPort]*connection),
	}, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  handshakeTimeout,
		MaxIdleTimeout:        maxIdleTimeout,
		KeepAlivePeriod:       keepAlivePeriod,
		MaxIncomingStreams:    maxIncomingStreams,
		MaxIncomingUniStreams: maxIncomingStreams,
	}
}

// Address returns the address that the endpoint listens on.
func (e *Endpoint) Address() netip.AddrPort {
	return e.listener.Addr().(*net.UDPAddr).AddrPort()
}

// Dropped returns the number of received frames that were discarded.
func (e *Endpoint) Dropped() uint64 { return e.dropped.Load() }

// Handle registers the handler of a kind of request or one-way message.
func (e *Endpoint) Handle(kind protocol.Kind, handler Handler) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handlers[kind] = handler
}

// HandleStream registers the handler of streams of a kind.
func (e *Endpoint) HandleStream(kind protocol.Kind, handler StreamHandler) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams[kind] = handler
}

// Serve accepts connections until the context is cancelled, then closes the endpoint.
func (e *Endpoint) Serve(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		return e.close()
	})
	g.Go(func() error {
		for {
			conn, err := e.listener.Accept(ctx)
			if err != nil {
				return nil
			}
			g.Go(func() error {
				e.serveConn(ctx, conn)
				return nil
			})
		}
	})
	return g.Wait()
}

func (e *Endpoint) close() error {
	e.connsMu.Lock()
	for address, c := range e.conns {
		c.close()
		delete(e.conns, address)
	}
	e.connsMu.Unlock()
	return errors.Join(e.listener.Close(), e.transport.Close(), e.transport.Conn.Close())
}

func (e *Endpoint) serveConn(ctx context.Context, conn *quic.Conn) {
	peer, err := identity.PeerOf(conn.ConnectionState().TLS)
	if err != nil {
		_ = conn.CloseWithError(0, "no identity")
		return
	}
	var g errgroup.Group
	g.Go(func() error {
		e.acceptMessages(ctx, conn, peer)
		return nil
	})
	e.acceptStreams(ctx, conn, peer)
	_ = g.Wait()
}

func (e *Endpoint) acceptMessages(ctx context.Context, conn *quic.Conn, peer identity.Peer) {
	for {
		stream, err := conn.AcceptUniStream(ctx)
		if err != nil {
			return
		}
		go func() {
			frame, err := protocol.ReadFrame(stream)
			if err != nil {
				stream.CancelRead(0)
				return
			}
			if handler := e.handlerFor(peer, frame); handler != nil {
				_, _ = handler(ctx, peer, frame)
			}
		}()
	}
}

func (e *Endpoint) acceptStreams(ctx context.Context, conn *quic.Conn, peer identity.Peer) {
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go e.serveStream(ctx, peer, &Stream{Stream: stream, conn: conn})
	}
}

// handlerFor observes the frame's clock and returns the frame's handler, or nil if there is none or the peer is not the sender.
func (e *Endpoint) handlerFor(peer identity.Peer, frame protocol.Frame) Handler {
	e.cfg.Clock.Observe(time.Now(), frame.Clock)
	e.mu.RLock()
	handler := e.handlers[frame.Kind]
	e.mu.RUnlock()
	if handler == nil || string(frame.Sender) != peer.Name {
		e.dropped.Add(1)
		return nil
	}
	return handler
}

func (e *Endpoint) serveStream(ctx context.Context, peer identity.Peer, stream *Stream) {
	frame, err := protocol.ReadFrame(stream)
	if err != nil {
		stream.Reset()
		return
	}
	e.mu.RLock()
	streamHandler := e.streams[frame.Kind]
	e.mu.RUnlock()
	if streamHandler != nil && string(frame.Sender) == peer.Name {
		e.cfg.Clock.Observe(time.Now(), frame.Clock)
		streamHandler(stream.Context(), peer, frame, stream)
		return
	}
	handler := e.handlerFor(peer, frame)
	if handler == nil {
		stream.Reset()
		return
	}
	reply, err := handler(stream.Context(), peer, frame)
	e.sendReply(stream, frame, reply, err)
}

func (e *Endpoint) sendReply(stream *Stream, request protocol.Frame, body any, err error) {
	frame := e.newFrame(request.Kind)
	frame.ID = request.ID
	if err != nil {
		frame.Refusal = refusalOf(err)
	} else if frame.Body, err = protocol.Encode(body); err != nil {
		frame.Refusal = refusalOf(err)
	}
	if err := protocol.WriteFrame(stream, frame); err != nil {
		stream.Reset()
		return
	}
	_ = stream.Close()
	stream.CancelRead(0)
}

// refusalOf returns the refusal that err wraps; any other error becomes a refusal with CodeUnavailable.
func refusalOf(err error) *protocol.Refusal {
	var refusal *protocol.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &protocol.Refusal{Code: protocol.CodeUnavailable, Message: err.Error()}
}

func (e *Endpoint) newFrame(kind protocol.Kind) protocol.Frame {
	return protocol.Frame{
		Version:     protocol.Version,
		Kind:        kind,
		Sender:      e.cfg.Name,
		Incarnation: e.cfg.Incarnation,
		ID:          protocol.RequestID(e.nextID.Add(1)),
		Clock:       e.cfg.Clock.Now(time.Now()),
	}
}
