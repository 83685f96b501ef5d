package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/phuslu/log"

	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// Handler answers one request; an error that is not a *protocol.Refusal is sent as a refusal that may be retried.
type Handler func(ctx context.Context, sender inventory.InstanceName, body []byte) (any, error)

// Server answers calls from other processes.
type Server struct {
	name     inventory.InstanceName
	log      *log.Logger
	handlers map[protocol.Kind]Handler
}

// NewServer returns a server without handlers.
func NewServer(name inventory.InstanceName, logger *log.Logger) *Server {
	return &Server{name: name, log: logger, handlers: make(map[protocol.Kind]Handler)}
}

// Handle registers the handler of a kind; it must be called before Serve.
func (s *Server) Handle(kind protocol.Kind, handler Handler) { s.handlers[kind] = handler }

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
			return fmt.Errorf("peer: accept: %w", err)
		}
		connections.Go(func() { s.serve(ctx, socket) })
	}
}

func (s *Server) serve(ctx context.Context, socket net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	setUserTimeout(socket)
	var writeMu sync.Mutex
	for {
		frame, err := protocol.ReadFrame(socket)
		if err != nil {
			return
		}
		handler := s.handlers[frame.Kind]
		if frame.ID == 0 {
			s.receive(ctx, handler, frame)
			continue
		}
		go func() {
			reply := s.answer(ctx, handler, frame)
			if err := write(&writeMu, socket, reply); err != nil {
				s.log.Debug().Err(err).Str("peer", string(frame.Sender)).Str("kind", string(frame.Kind)).Msg("failed to send reply")
				cancel()
			}
		}()
	}
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
