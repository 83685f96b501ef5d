package monitor

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"lentilwind.dev/instance/dialer"
	"lentilwind.dev/lentilwind/failover"
	"lentilwind.dev/lentilwind/group"
)

// codeWrongState is the SQLSTATE of a refusal that leaves the connection usable.
const codeWrongState = "55000"

// Config has the bounds of a Monitor.
type Config struct {
	// Source is the address that connections leave from; zero leaves the choice to the system.
	Source netip.Addr
	// ProbeTimeout bounds a probe, from the dial to the answer.
	ProbeTimeout time.Duration
	// RequestTimeout bounds any other request, the dial included.
	RequestTimeout time.Duration
	// ReusedConnTimeout bounds the answer on a connection that was open before; then a new one is tried.
	ReusedConnTimeout time.Duration
	// IdleTimeout is the time after which an unused connection is closed.
	IdleTimeout time.Duration
	// MaxRequestsPerServer bounds the requests to one server at a time.
	MaxRequestsPerServer int
	// MaxRequests bounds the requests to all servers at a time, and MaxProbes the probes.
	MaxRequests int
	MaxProbes   int
}

// DefaultConfig returns the bounds for a fleet in which a failover must be over within two seconds.
func DefaultConfig() Config {
	return Config{
		ProbeTimeout:         400 * time.Millisecond,
		RequestTimeout:       time.Second,
		ReusedConnTimeout:    200 * time.Millisecond,
		IdleTimeout:          20 * time.Second,
		MaxRequestsPerServer: 4,
		MaxRequests:          256,
		MaxProbes:            256,
	}
}

// Target is the database that a request goes to.
type Target struct {
	ID      group.ServerID
	Address string
}

// Answer is what came of a request.
type Answer struct {
	Outcome failover.Outcome
	// Status is the member's state after the request, also after a refusal.
	Status group.Status
	// Err says why the outcome is not done.
	Err error
}

// Monitor sends requests to databases and keeps their connections for a while.
type Monitor struct {
	cfg      Config
	requests chan struct{}
	probes   chan struct{}
	sent     atomic.Uint64

	mu      sync.Mutex
	servers map[Target]*server
}

// New returns a monitor without connections; Close ends it.
func New(cfg Config) *Monitor {
	return &Monitor{cfg: cfg, requests: make(chan struct{}, cfg.MaxRequests), probes: make(chan struct{}, cfg.MaxProbes), servers: make(map[Target]*server)}
}

// RequestCount returns the number of requests so far, probes included.
func (m *Monitor) RequestCount() uint64 { return m.sent.Load() }

// Probe opens a new connection and asks for the status.
func (m *Monitor) Probe(ctx context.Context, target Target) failover.ProbeOutcome {
	select {
	case m.probes <- struct{}{}:
	default:
		return failover.ProbeNotSent
	}
	defer func() { <-m.probes }()
	m.sent.Add(1)
	ctx, cancel := context.WithTimeout(ctx, m.cfg.ProbeTimeout)
	defer cancel()
	conn, err := dial(ctx, m.cfg.Source, target)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return failover.ProbeRefused
	}
	if err != nil {
		return failover.ProbeSilent
	}
	defer closeConn(conn)
	if _, err := dialer.Statuses(ctx, conn, dialer.StatusQuery); err != nil {
		return failover.ProbeSilent
	}
	return failover.ProbeAnswered
}

// Fence asks a member to promise a term.
func (m *Monitor) Fence(ctx context.Context, target Target, slot group.Slot, term group.Term) Answer {
	return m.ask(ctx, target, slot, m.cfg.RequestTimeout, fmt.Sprintf("SELECT lentilwind_fence(%d, %d)", slot, term))
}

// Promote asks a fenced member to become the primary of a term.
func (m *Monitor) Promote(ctx context.Context, target Target, slot group.Slot, term group.Term, position group.Position) Answer {
	sql := fmt.Sprintf("SELECT lentilwind_promote(%d, %d, %d)", slot, term, position)
	return m.ask(ctx, target, slot, m.cfg.RequestTimeout, sql)
}

// Follow asks a member to follow the primary of a term.
func (m *Monitor) Follow(ctx context.Context, target Target, slot group.Slot, term group.Term, primary string) Answer {
	address, err := netip.ParseAddrPort(primary)
	if err != nil {
		return Answer{Outcome: failover.OutcomeUnknown, Err: fmt.Errorf("monitor: address of the primary: %w", err)}
	}
	sql := fmt.Sprintf("SELECT lentilwind_follow(%d, %d, '%s')", slot, term, address)
	return m.ask(ctx, target, slot, m.cfg.RequestTimeout, sql)
}

// Wait asks a member to answer once it has received a position, or after a time.
func (m *Monitor) Wait(ctx context.Context, target Target, slot group.Slot, position group.Position, limit time.Duration) Answer {
	sql := fmt.Sprintf("SELECT * FROM lentilwind_wait(%d, %d, %d)", slot, position, max(0, limit.Milliseconds()))
	return m.ask(ctx, target, slot, m.cfg.RequestTimeout+limit, sql)
}

// ask sends one request; every request is idempotent, so one lost on an old connection is sent again on a new one.
func (m *Monitor) ask(ctx context.Context, target Target, slot group.Slot, limit time.Duration, sql string) Answer {
	m.sent.Add(1)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	s, err := m.acquire(ctx, target)
	if err != nil {
		return Answer{Outcome: failover.OutcomeUnknown, Err: err}
	}
	defer m.release(s)
	if conn := s.take(); conn != nil {
		answer := m.askReused(ctx, s, conn, slot, limit, sql)
		if answer.Outcome != failover.OutcomeUnknown {
			return answer
		}
	}
	conn, err := dial(ctx, m.cfg.Source, target)
	if err != nil {
		return Answer{Outcome: failover.OutcomeUnknown, Err: fmt.Errorf("monitor: %w", err)}
	}
	return s.askOn(ctx, conn, slot, sql)
}

func (m *Monitor) askReused(ctx context.Context, s *server, conn *pgconn.PgConn, slot group.Slot, limit time.Duration, sql string) Answer {
	ctx, cancel := context.WithTimeout(ctx, limit-m.cfg.RequestTimeout+m.cfg.ReusedConnTimeout)
	defer cancel()
	return s.askOn(ctx, conn, slot, sql)
}

// askOn sends a request on a connection and keeps the connection if it is still usable.
func (s *server) askOn(ctx context.Context, conn *pgconn.PgConn, slot group.Slot, sql string) Answer {
	statuses, err := dialer.Statuses(ctx, conn, sql)
	var refusal *pgconn.PgError
	refused := errors.As(err, &refusal) && refusal.Code == codeWrongState
	if refused {
		var statusErr error
		statuses, statusErr = dialer.Statuses(ctx, conn, dialer.StatusQuery)
		if statusErr != nil {
			err, refused = statusErr, false
		}
	}
	if err != nil && !refused {
		closeConn(conn)
		return Answer{Outcome: failover.OutcomeUnknown, Err: fmt.Errorf("monitor: %w", err)}
	}
	s.give(conn)
	status, found := find(statuses, slot)
	switch {
	case !found:
		return Answer{Outcome: failover.OutcomeUnknown, Err: fmt.Errorf("monitor: no status of slot %d in the answer", slot)}
	case refused:
		return Answer{Outcome: failover.OutcomeRefused, Status: status, Err: err}
	}
	return Answer{Outcome: failover.OutcomeDone, Status: status}
}

func find(statuses []group.Status, slot group.Slot) (group.Status, bool) {
	for _, status := range statuses {
		if status.Slot == slot {
			return status, true
		}
	}
	return group.Status{}, false
}
