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

// Positions tracks the replication positions of group members; the confirmation of writes and the choice of servers depend on them.
type Positions interface {
	FillView(id group.ID, view *route.View) bool
	Changed(id group.ID) <-chan struct{}
	Observe(service group.Service, server group.Server, status group.Status, sent time.Time)
	Confirm(ctx context.Context, id group.ID, term group.Term, position group.Position) error
	ConfirmCurrent(ctx context.Context, id group.ID, term group.Term, position group.Position, since time.Time) error
	SessionFloor(ctx context.Context, id group.ID, since time.Time) (group.Floor, error)
}

// Quota limits the request rate of each workspace.
type Quota interface {
	// Take consumes one request; it returns false if the workspace is over its rate.
	Take(ctx context.Context, workspace inventory.WorkspaceName) bool
}

// Limits bounds the resources that callers may use.
type Limits struct {
	// Callers is the maximum number of connected callers.
	Callers int
	// RequestBytes is the maximum size of a request.
	RequestBytes int
	// AnswerBytes is the size up to which an answer is buffered; longer ones are relayed in parts.
	AnswerBytes int
	// RequestTimeout bounds the time until a request gets a database connection, including retries.
	RequestTimeout time.Duration
	// AnswerTimeout bounds the time in which a database must answer a statement.
	AnswerTimeout time.Duration
	// ConfirmTimeout bounds the wait for the confirmation by a majority of the group.
	ConfirmTimeout time.Duration
	// IdleInTransaction bounds the wait for the next statement inside a transaction block.
	IdleInTransaction time.Duration
	// SlowCaller bounds the time in which a caller must send the rest of a request, and accept a part of an answer.
	SlowCaller time.Duration
	// StartupTimeout bounds the startup of a connection, including the check of the key.
	StartupTimeout time.Duration
}

// Config holds the dependencies and limits of a Server.
type Config struct {
	Directory *directory.Directory
	Positions Positions
	Executor  executor.Executor
	// Quota may be nil, which disables rate limits.
	Quota  Quota
	Signer *session.Signer
	// TLS may be nil, which rejects SSLRequest.
	TLS *tls.Config
	// PlainTextNetworks lists the networks from which callers may send a key without TLS.
	PlainTextNetworks []netip.Prefix
	Limits            Limits
	Events            *events.Recorder
	Log               *log.Logger
}

// Server accepts and serves the connections of callers.
type Server struct {
	cfg      Config
	listener net.Listener
	Counters Counters

	keyFailures keyFailureLimiter
	retryBudget *queue.RetryBudget
	serving     sync.WaitGroup
	callers     atomic.Int64
	stopping    atomic.Bool

	mu         sync.Mutex
	connsByKey map[backendKey]*callerConn
	nextID     uint32
}

// NewServer returns a server on a listener. Serve closes the listener.
func NewServer(cfg Config, listener net.Listener) *Server {
	return &Server{
		cfg: cfg, listener: listener, connsByKey: make(map[backendKey]*callerConn),
		retryBudget: queue.NewRetryBudget(retryRatio, maxSavedRetries),
	}
}

// Address returns the address of the listener.
func (s *Server) Address() net.Addr { return s.listener.Addr() }

// Serve accepts callers until the context ends; it then closes the remaining connections.
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
			// A shortage of file descriptors is temporary; the pause keeps the loop from spinning.
			time.Sleep(acceptPause)
			continue
		}
		s.serving.Go(func() { s.serveConn(conn) })
	}
	<-ctx.Done()
	s.closeAll()
	s.serving.Wait()
	return nil
}

// The retry budget: a ratio of the requests, and the number of unused retries that may accumulate.
const (
	retryRatio      = 0.1
	maxSavedRetries = 100
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
	c := newCallerConn(s, conn)
	defer func() { _ = c.conn.Close() }()
	if !c.handshake() {
		return
	}
	defer s.unregister(c)
	c.serve()
}

// register assigns a unique cancel key to the connection and makes it known to cancel requests.
func (s *Server) register(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		s.nextID++
		c.cancelKey = newBackendKey(s.nextID)
		if _, exists := s.connsByKey[c.cancelKey]; !exists {
			break
		}
	}
	s.connsByKey[c.cancelKey] = c
}

func (s *Server) unregister(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connsByKey, c.cancelKey)
}

func (s *Server) lookup(key backendKey) *callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connsByKey[key]
}

func (s *Server) forEachCaller(fn func(*callerConn)) {
	s.mu.Lock()
	callers := make([]*callerConn, 0, len(s.connsByKey))
	for _, c := range s.connsByKey {
		callers = append(callers, c)
	}
	s.mu.Unlock()
	for _, c := range callers {
		fn(c)
	}
}

// watchKeys closes the connections whose key has been withdrawn, after each change of the inventory.
func (s *Server) watchKeys(ctx context.Context) {
	subscription := s.cfg.Directory.Subscribe()
	defer subscription.Close()
	var checked inventory.Revision
	for {
		snapshot := s.cfg.Directory.Snapshot()
		if snapshot.Revision != checked {
			checked = snapshot.Revision
			s.closeWithdrawnKeys(snapshot)
		}
		select {
		case <-ctx.Done():
			return
		case <-subscription.Changed:
		}
	}
}

func (s *Server) closeWithdrawnKeys(snapshot *directory.Snapshot) {
	s.forEachCaller(func(c *callerConn) {
		if !c.granted(snapshot) {
			c.requestClose(closeKeyWithdrawn)
		}
	})
}

// Drain closes connections as they become idle outside of transactions, until none is left or the context ends.
func (s *Server) Drain(ctx context.Context) {
	s.stopping.Store(true)
	ticker := time.NewTicker(drainPeriod)
	defer ticker.Stop()
	for {
		s.forEachCaller(func(c *callerConn) { c.requestClose(closeStopping) })
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
	s.forEachCaller(func(c *callerConn) { _ = c.conn.Close() })
}
