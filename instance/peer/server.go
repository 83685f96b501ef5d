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

// Handler answers one request; an error that is no *protocol.Refusal is sent as one that may be tried again.
type Handler func(ctx context.Context, sender inventory.InstanceName, body []byte) (any, error)

// Server answers calls of other processes.
type Server struct {
	name     inventory.InstanceName
	log      *log.Logger
	handlers map[protocol.Kind]Handler
}

// NewServer returns a server without handlers.
func NewServer(name inventory.InstanceName, logger *log.Logger) *Server {
	return &Server{name: name, log: logger, handlers: make(map[protocol.Kind]Handler)}
}

// Handle sets the handler of a kind; it must be called before Serve.
func (s *Server) Handle(kind protocol.Kind, handler Handler) { s.handlers[kind] = handler }

// TypedHandler turns a function of a typed request into a handler.
func TypedHandler[Q, R any](handle func(ctx context.Context, sender inventory.InstanceName, request Q) (R, error)) Handler {
	return func(ctx context.Context, sender inventory.InstanceName, body []byte) (any, error) {
		var request Q
		if err := protocol.Decode(body, &request); err != nil {
			return nil, err
		}
		return handle(ctx, sender, request)
	}
}

// Serve accepts connections until the context ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	var open sync.WaitGroup
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	defer open.Wait()
	for {
		socket, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return fmt.Errorf("peer: accept: %w", err)
		}
		open.Go(func() { s.serve(ctx, socket) })
	}
}

func (s *Server) serve(ctx context.Context, socket net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	setUserTimeout(socket)
	var writing sync.Mutex
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
			if err := write(&writing, socket, reply); err != nil {
				s.log.Debug().Err(err).Str("peer", string(frame.Sender)).Str("kind", string(frame.Kind)).Msg("a reply was not sent")
				cancel()
			}
		}()
	}
}

// receive handles a message without a reply on the reader's goroutine, so that messages keep their order.
func (s *Server) receive(ctx context.Context, handler Handler, frame protocol.Frame) {
	if handler == nil {
		return
	}
	if _, err := handler(ctx, frame.Sender, frame.Body); err != nil {
		s.log.Debug().Err(err).Str("peer", string(frame.Sender)).Str("kind", string(frame.Kind)).Msg("a message was refused")
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
		reply.Refusal = refusal(err)
	}
	return reply
}

func refusal(err error) *protocol.Refusal {
	var refused *protocol.Refusal
	if errors.As(err, &refused) {
		return refused
	}
	return &protocol.Refusal{Code: protocol.CodeUnavailable, Message: err.Error()}
}
