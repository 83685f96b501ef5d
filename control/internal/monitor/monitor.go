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

// codeObjectNotInPrerequisiteState is the SQLSTATE with which a database refuses a request; the connection remains usable.
const codeObjectNotInPrerequisiteState = "55000"

// Config has the limits and timeouts of a Monitor.
type Config struct {
	// Source is the local address of connections; the zero value leaves the choice to the system.
	Source netip.Addr
	// ProbeTimeout limits a probe, from dialing to the answer.
	ProbeTimeout time.Duration
	// RequestTimeout limits any other request, including dialing.
	RequestTimeout time.Duration
	// ReusedConnTimeout limits the wait for an answer on a reused connection, after which a new connection is tried.
	ReusedConnTimeout time.Duration
	// IdleTimeout is the time after which the connections to an unused server are closed.
	IdleTimeout time.Duration
	// MaxRequestsPerServer limits the concurrent requests to one server.
	MaxRequestsPerServer int
	// MaxRequests limits the concurrent requests to all servers, and MaxProbes the concurrent probes.
	MaxRequests int
	MaxProbes   int
}

// DefaultConfig returns the limits and timeouts for a fleet in which a failover must complete within two seconds.
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

// Target identifies the database to which a request is sent, and its address.
type Target struct {
	ID      group.ServerID
	Address string
}

// Answer is the result of a request.
type Answer struct {
	Outcome failover.Outcome
	// Status is the state of the group member after the request, also if the request was refused.
	Status group.Status
	// Err is the reason if Outcome is not failover.OutcomeDone.
	Err error
}

// Monitor sends requests to databases and reuses idle connections.
type Monitor struct {
	cfg          Config
	requests     chan struct{}
	probes       chan struct{}
	requestCount atomic.Uint64

	mu      sync.Mutex
	servers map[Target]*server
}

// New returns a monitor without connections; Close closes its idle connections.
func New(cfg Config) *Monitor {
	return &Monitor{cfg: cfg, requests: make(chan struct{}, cfg.MaxRequests), probes: make(chan struct{}, cfg.MaxProbes), servers: make(map[Target]*server)}
}

// RequestCount returns the total number of requests, including probes.
func (m *Monitor) RequestCount() uint64 { return m.requestCount.Load() }

// Probe opens a new connection and queries the status. It sends nothing while Config.MaxProbes probes are running.
func (m *Monitor) Probe(ctx context.Context, target Target) failover.ProbeOutcome {
	select {
	case m.probes <- struct{}{}:
	default:
		return failover.ProbeNotSent
	}
	defer func() { <-m.probes }()
	m.requestCount.Add(1)
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
	if _, err := dialer.QueryStatuses(ctx, conn, dialer.StatusQuery); err != nil {
		return failover.ProbeSilent
	}
	return failover.ProbeAnswered
}

// Fence asks a member to reject all terms before the given one.
func (m *Monitor) Fence(ctx context.Context, target Target, slot group.Slot, term group.Term) Answer {
	return m.request(ctx, target, slot, m.cfg.RequestTimeout, fmt.Sprintf("SELECT lentilwind_fence(%d, %d)", slot, term))
}

// Promote asks a fenced member to become the primary of a term.
func (m *Monitor) Promote(ctx context.Context, target Target, slot group.Slot, term group.Term, position group.Position) Answer {
	sql := fmt.Sprintf("SELECT lentilwind_promote(%d, %d, %d)", slot, term, position)
	return m.request(ctx, target, slot, m.cfg.RequestTimeout, sql)
}

// Follow asks a member to follow the primary of a term.
func (m *Monitor) Follow(ctx context.Context, target Target, slot group.Slot, term group.Term, primary string) Answer {
	address, err := netip.ParseAddrPort(primary)
	if err != nil {
		return Answer{Outcome: failover.OutcomeUnknown, Err: fmt.Errorf("monitor: address of the primary: %w", err)}
	}
	sql := fmt.Sprintf("SELECT lentilwind_follow(%d, %d, '%s')", slot, term, address)
	return m.request(ctx, target, slot, m.cfg.RequestTimeout, sql)
}

// Wait asks a member to answer once it has received a position, or after the given limit.
func (m *Monitor) Wait(ctx context.Context, target Target, slot group.Slot, position group.Position, limit time.Duration) Answer {
	sql := fmt.Sprintf("SELECT * FROM lentilwind_wait(%d, %d, %d)", slot, position, max(0, limit.Milliseconds()))
	return m.request(ctx, target, slot, m.cfg.RequestTimeout+limit, sql)
}

// request sends one request. Every request is idempotent, so one without an answer on a reused connection is sent again on a new
// connection.
func (m *Monitor) request(ctx context.Context, target Target, slot group.Slot, limit time.Duration, sql string) Answer {
	m.requestCount.Add(1)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	s, err := m.acquire(ctx, target)
	if err != nil {
		return Answer{Outcome: failover.OutcomeUnknown, Err: err}
	}
	defer m.release(s)
	if conn := s.takeIdle(); conn != nil {
		answer := m.requestOnReused(ctx, s, conn, slot, limit, sql)
		if answer.Outcome != failover.OutcomeUnknown {
			return answer
		}
	}
	conn, err := dial(ctx, m.cfg.Source, target)
	if err != nil {
		return Answer{Outcome: failover.OutcomeUnknown, Err: fmt.Errorf("monitor: %w", err)}
	}
	return s.requestOn(ctx, conn, slot, sql)
}

func (m *Monitor) requestOnReused(ctx context.Context, s *server, conn *pgconn.PgConn, slot group.Slot, limit time.Duration, sql string) Answer {
	ctx, cancel := context.WithTimeout(ctx, limit-m.cfg.RequestTimeout+m.cfg.ReusedConnTimeout)
	defer cancel()
	return s.requestOn(ctx, conn, slot, sql)
}

// requestOn sends a request on a connection and returns the connection to the idle ones if it is still usable.
func (s *server) requestOn(ctx context.Context, conn *pgconn.PgConn, slot group.Slot, sql string) Answer {
	statuses, err := dialer.QueryStatuses(ctx, conn, sql)
	var refusal *pgconn.PgError
	refused := errors.As(err, &refusal) && refusal.Code == codeObjectNotInPrerequisiteState
	if refused {
		var statusErr error
		statuses, statusErr = dialer.QueryStatuses(ctx, conn, dialer.StatusQuery)
		if statusErr != nil {
			err, refused = statusErr, false
		}
	}
	if err != nil && !refused {
		closeConn(conn)
		return Answer{Outcome: failover.OutcomeUnknown, Err: fmt.Errorf("monitor: %w", err)}
	}
	s.putIdle(conn)
	status, found := findStatus(statuses, slot)
	switch {
	case !found:
		return Answer{Outcome: failover.OutcomeUnknown, Err: fmt.Errorf("monitor: no status of slot %d in the answer", slot)}
	case refused:
		return Answer{Outcome: failover.OutcomeRefused, Status: status, Err: err}
	}
	return Answer{Outcome: failover.OutcomeDone, Status: status}
}

func findStatus(statuses []group.Status, slot group.Slot) (group.Status, bool) {
	for _, status := range statuses {
		if status.Slot == slot {
			return status, true
		}
	}
	return group.Status{}, false
}
