package caller

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"lentilwind.dev/entry/internal/directory"
	"lentilwind.dev/entry/internal/executor"
	"lentilwind.dev/instance/events"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/queue"
	"lentilwind.dev/lentilwind/route"
	"lentilwind.dev/lentilwind/session"
)

// Positions is what sessions need to know of group members.
type Positions interface {
	FillView(id group.ID, view *route.View) bool
	Changed(id group.ID) <-chan struct{}
	Observe(service group.Service, server group.Server, status group.Status, sent time.Time)
	Confirm(ctx context.Context, id group.ID, term group.Term, position group.Position) error
	ConfirmCurrent(ctx context.Context, id group.ID, term group.Term, position group.Position, since time.Time) error
	SessionFloor(ctx context.Context, id group.ID, since time.Time) (group.Floor, error)
}

// Quota grants requests out of the workspaces' shares of the fleet.
type Quota interface {
	// Take returns false when the workspace is over its rate.
	Take(ctx context.Context, workspace inventory.WorkspaceName) bool
}

// Limits bound what callers may use.
type Limits struct {
	// Callers is the most connections of callers.
	Callers int
	// RequestBytes is the most of one request.
	RequestBytes int
	// AnswerBytes is the most of one answer that is kept in memory.
	AnswerBytes int
	// RequestTimeout bounds the time until a request has a connection, retries included.
	RequestTimeout time.Duration
	// AnswerTimeout bounds the time until a database has answered a statement.
	AnswerTimeout time.Duration
	// ConfirmTimeout bounds the wait for a majority.
	ConfirmTimeout time.Duration
	// IdleInTransaction bounds the wait for the next statement inside a transaction block.
	IdleInTransaction time.Duration
	// SlowCaller bounds the time in which a caller must take the answer that it is sent.
	SlowCaller time.Duration
	// StartupTimeout bounds the time until a caller has shown its key.
	StartupTimeout time.Duration
}

// Config is what a server of callers needs.
type Config struct {
	Directory *directory.Directory
	Positions Positions
	Executor  executor.Executor
	// Quota may be nil, which refuses nothing.
	Quota  Quota
	Signer *session.Signer
	// TLS may be nil, which refuses SSLRequest.
	TLS *tls.Config
	// PlainTextNetworks lists the networks whose callers may show a key without TLS.
	PlainTextNetworks []netip.Prefix
	Limits            Limits
	Events            *events.Recorder
	Log               *log.Logger
}

// Server accepts callers.
type Server struct {
	cfg      Config
	listener net.Listener
	Counters Counters

	failures limiter
	retries  *queue.RetryBudget
	running  sync.WaitGroup
	callers  atomic.Int64
	stopping atomic.Bool

	mu       sync.Mutex
	sessions map[backendKey]*caller
	nextID   uint32
}

// NewServer returns a server on a listener that it closes.
func NewServer(cfg Config, listener net.Listener) *Server {
	return &Server{
		cfg: cfg, listener: listener, sessions: make(map[backendKey]*caller),
		retries: queue.NewRetryBudget(retryShare, savedRetries),
	}
}

// Address returns the address that callers connect to.
func (s *Server) Address() net.Addr { return s.listener.Addr() }

// Serve accepts callers until the context ends; it then closes those that are left.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.listener.Close() })
	defer stop()
	go s.watchKeys(ctx)
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				break
			}
			// Running out of file descriptors passes; the pause keeps the loop from spinning.
			time.Sleep(acceptPause)
			continue
		}
		s.running.Go(func() { s.serveConn(conn) })
	}
	<-ctx.Done()
	s.closeAll()
	s.running.Wait()
	return nil
}

// Retries are a share of the requests, and a number that may be saved up.
const (
	retryShare   = 0.1
	savedRetries = 100
)

const acceptPause = 10 * time.Millisecond

func (s *Server) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if s.callers.Add(1) > int64(s.cfg.Limits.Callers) {
		s.callers.Add(-1)
		refuseConn(conn)
		return
	}
	defer s.callers.Add(-1)
	c := newCaller(s, conn)
	defer func() { _ = c.conn.Close() }()
	if !c.start() {
		return
	}
	defer s.forget(c)
	c.serve()
}

// register gives the session its cancel key.
func (s *Server) register(c *caller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		s.nextID++
		c.key = newBackendKey(s.nextID)
		if _, taken := s.sessions[c.key]; !taken {
			break
		}
	}
	s.sessions[c.key] = c
}

func (s *Server) forget(c *caller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, c.key)
}

func (s *Server) find(key backendKey) *caller {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sessions[key]
}

func (s *Server) each(call func(*caller)) {
	s.mu.Lock()
	all := make([]*caller, 0, len(s.sessions))
	for _, c := range s.sessions {
		all = append(all, c)
	}
	s.mu.Unlock()
	for _, c := range all {
		call(c)
	}
}

// watchKeys closes callers whose key is no longer granted, after each change of the inventory.
func (s *Server) watchKeys(ctx context.Context) {
	subscription := s.cfg.Directory.Subscribe()
	defer subscription.Close()
	var checked inventory.Revision
	for {
		snapshot := s.cfg.Directory.Snapshot()
		if snapshot.Revision != checked {
			checked = snapshot.Revision
			s.closeWithdrawn(snapshot)
		}
		select {
		case <-ctx.Done():
			return
		case <-subscription.Changed:
		}
	}
}

func (s *Server) closeWithdrawn(snapshot *directory.Snapshot) {
	s.each(func(c *caller) {
		if !c.granted(snapshot) {
			c.interrupt(interruptKey)
		}
	})
}

// Drain tells idle callers to go and waits until none is left or the context ends.
func (s *Server) Drain(ctx context.Context) {
	s.stopping.Store(true)
	ticker := time.NewTicker(drainPeriod)
	defer ticker.Stop()
	for {
		s.each(func(c *caller) { c.interrupt(interruptStop) })
		if s.callers.Load() == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

const drainPeriod = 20 * time.Millisecond

// Callers returns the number of connected callers.
func (s *Server) Callers() int { return int(s.callers.Load()) }

func (s *Server) closeAll() {
	s.each(func(c *caller) { _ = c.conn.Close() })
}
