package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sys/unix"

	"lentilwind.dev/instance/memory"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// Handler answers one request; an error that is not a *protocol.Refusal is sent as a refusal that may be retried.
type Handler func(ctx context.Context, sender inventory.InstanceName, body []byte) (any, error)

// Limits bounds what the connections of other processes may use. Zero values set no bound.
type Limits struct {
	// Connections is the number of open connections. Beyond it the oldest one that has sent no whole frame yet is closed, or else the new one.
	Connections int
	// Requests is the number of requests of one connection that run at once. Beyond it the connection is not read.
	Requests int
	// Budget is the memory for requests that are not small.
	Budget *memory.Budget
}

// Server answers calls from other processes.
type Server struct {
	name     inventory.InstanceName
	log      *log.Logger
	handlers map[protocol.Kind]Handler
	limits   Limits
	table    connTable
}

// NewServer returns a server without handlers.
func NewServer(name inventory.InstanceName, logger *log.Logger) *Server {
	return &Server{name: name, log: logger, handlers: make(map[protocol.Kind]Handler)}
}

// Handle registers the handler of a kind; it must be called before Serve.
func (s *Server) Handle(kind protocol.Kind, handler Handler) { s.handlers[kind] = handler }

// SetLimits sets the limits; it must be called before Serve.
func (s *Server) SetLimits(limits Limits) { s.limits = limits }

// TypedHandler returns a handler that decodes the request and calls handle.
func TypedHandler[Q, R any](handle func(ctx context.Context, sender inventory.InstanceName, request Q) (R, error)) Handler {
	return func(ctx context.Context, sender inventory.InstanceName, body []byte) (any, error) {
		var request Q
		if err := protocol.Decode(body, &request); err != nil {
			return nil, err
		}
		return handle(ctx, sender, request)
	}
}

// Serve accepts connections until the context is cancelled.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	var connections sync.WaitGroup
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	defer connections.Wait()
	for {
		socket, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			if !isTemporary(err) {
				return fmt.Errorf("peer: accept: %w", err)
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !s.table.add(socket, s.limits.Connections) {
			s.log.Warn().Int("limit", s.limits.Connections).Msg("peerConnectionRefused")
			_ = socket.Close()
			continue
		}
		connections.Go(func() {
			defer s.table.remove(socket)
			s.serve(ctx, socket)
		})
	}
}

// acceptRetryDelay is the pause after a failed accept.
const acceptRetryDelay = 10 * time.Millisecond

// isTemporary reports whether an accept may succeed later: the process has no descriptor left, or the peer has already disconnected.
func isTemporary(err error) bool {
	return errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE) || errors.Is(err, unix.ECONNABORTED) || errors.Is(err, unix.ENOBUFS) || errors.Is(err, unix.ENOMEM)
}

func (s *Server) serve(ctx context.Context, socket net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	setUserTimeout(socket)
	c := &inbound{server: s, socket: socket, cancel: cancel}
	if s.limits.Budget != nil {
		c.account = s.limits.Budget.Open(cancel)
		defer c.account.Close()
	}
	if s.limits.Requests > 0 {
		c.running = make(chan struct{}, s.limits.Requests)
	}
	for c.serveFrame(ctx) {
	}
}

// inbound is one connection from another process.
type inbound struct {
	server  *Server
	socket  net.Conn
	cancel  context.CancelFunc
	account *memory.Account
	// running has room for as many requests as may run at once; nil sets no bound.
	running chan struct{}
	proven  bool
	writeMu sync.Mutex
}

// Limits of reading one frame.
const (
	// smallFrameBytes is the size up to which a frame takes nothing from the budget and has no time limit.
	smallFrameBytes = 4 << 10
	// frameTimeout limits the time from the length of a frame to its last byte.
	frameTimeout = 10 * time.Second
)

// serveFrame reads one frame and handles it. It returns false when the connection has ended.
func (c *inbound) serveFrame(ctx context.Context) bool {
	frame, held, err := c.readFrame()
	if err != nil {
		if errors.Is(err, memory.ErrExhausted) {
			c.server.log.Warn().Err(err).Str("address", c.socket.RemoteAddr().String()).Msg("peerFrameRefused")
		}
		return false
	}
	if !c.proven {
		c.proven = true
		c.server.table.markProven(c.socket)
	}
	handler := c.server.handlers[frame.Kind]
	if frame.ID == 0 {
		c.server.receive(ctx, handler, frame)
		c.account.Shrink(held)
		return true
	}
	if c.running != nil {
		select {
		case c.running <- struct{}{}:
		case <-ctx.Done():
			return false
		}
	}
	go c.handle(ctx, handler, frame, held)
	return true
}

// handle runs one request and sends its reply.
func (c *inbound) handle(ctx context.Context, handler Handler, frame protocol.Frame, held int) {
	defer c.account.Shrink(held)
	if c.running != nil {
		defer func() { <-c.running }()
	}
	reply := c.server.answer(ctx, handler, frame)
	err := write(&c.writeMu, c.socket, reply)
	if errors.Is(err, protocol.ErrFrameTooLarge) {
		reply.Body, reply.Refusal = nil, &protocol.Refusal{Code: protocol.CodeUnavailable, Message: err.Error()}
		err = write(&c.writeMu, c.socket, reply)
	}
	if err != nil {
		c.server.log.Debug().Err(err).Str("peer", string(frame.Sender)).Str("kind", string(frame.Kind)).Msg("failed to send reply")
		c.cancel()
	}
}

// readFrame reads a frame, and returns how many bytes of the account it holds. A large frame takes memory as its bytes arrive.
func (c *inbound) readFrame() (frame protocol.Frame, held int, err error) {
	size, err := protocol.ReadFrameSize(c.socket)
	if err != nil {
		return protocol.Frame{}, 0, err
	}
	if size <= smallFrameBytes {
		payload := make([]byte, size)
		if _, err := io.ReadFull(c.socket, payload); err != nil {
			return protocol.Frame{}, 0, err
		}
		frame, err = protocol.DecodeFrame(payload)
		return frame, 0, err
	}
	if err := c.socket.SetReadDeadline(time.Now().Add(frameTimeout)); err != nil {
		return protocol.Frame{}, 0, err
	}
	c.account.SetEvictable(true)
	payload, err := memory.ReadUpTo(c.account, c.socket, size, size)
	c.account.SetEvictable(false)
	if err == nil && len(payload) < size {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return protocol.Frame{}, 0, err
	}
	frame, err = protocol.DecodeFrame(payload)
	return frame, cap(payload), errors.Join(err, c.socket.SetReadDeadline(time.Time{}))
}

// receive handles a message without a reply on the reading goroutine, so that messages are handled in order.
func (s *Server) receive(ctx context.Context, handler Handler, frame protocol.Frame) {
	if handler == nil {
		return
	}
	if _, err := handler(ctx, frame.Sender, frame.Body); err != nil {
		s.log.Debug().Err(err).Str("peer", string(frame.Sender)).Str("kind", string(frame.Kind)).Msg("message refused")
	}
}

func (s *Server) answer(ctx context.Context, handler Handler, frame protocol.Frame) protocol.Frame {
	reply := protocol.Frame{Version: protocol.Version, Kind: frame.Kind, Sender: s.name, ID: frame.ID}
	if handler == nil {
		reply.Refusal = &protocol.Refusal{Code: protocol.CodeNotPermitted, Message: "this process does not answer " + string(frame.Kind)}
		return reply
	}
	body, err := handler(ctx, frame.Sender, frame.Body)
	if err == nil {
		reply.Body, err = protocol.Encode(body)
	}
	if err != nil {
		reply.Refusal = refusalOf(err)
	}
	return reply
}

// refusalOf returns the refusal that err wraps; any other error becomes a refusal with CodeUnavailable.
func refusalOf(err error) *protocol.Refusal {
	var refusal *protocol.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &protocol.Refusal{Code: protocol.CodeUnavailable, Message: err.Error()}
}
