package monitor

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// server holds the idle connections to one database at one address.
type server struct {
	// permits limits the concurrent requests.
	permits chan struct{}

	mu       sync.Mutex
	idle     []*pgconn.PgConn
	lastUsed time.Time
}

// takeIdle removes and returns an idle connection, or returns nil if there is none.
func (s *server) takeIdle() *pgconn.PgConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := len(s.idle) - 1
	if last < 0 {
		return nil
	}
	conn := s.idle[last]
	s.idle = s.idle[:last]
	return conn
}

// putIdle adds a usable connection to the idle ones.
func (s *server) putIdle(conn *pgconn.PgConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = append(s.idle, conn)
}

func (s *server) close() {
	s.mu.Lock()
	conns := s.idle
	s.idle = nil
	s.mu.Unlock()
	for _, conn := range conns {
		closeConn(conn)
	}
}

// acquire waits until the limits on requests to one server and to all servers admit another request.
func (m *Monitor) acquire(ctx context.Context, target Target) (*server, error) {
	m.mu.Lock()
	s := m.servers[target]
	if s == nil {
		s = &server{permits: make(chan struct{}, m.cfg.MaxRequestsPerServer)}
		m.servers[target] = s
	}
	s.lastUsed = time.Now()
	m.mu.Unlock()
	select {
	case s.permits <- struct{}{}:
	case <-ctx.Done():
		return nil, fmt.Errorf("monitor: too many requests to %s: %w", target.ID.Server, ctx.Err())
	}
	select {
	case m.requests <- struct{}{}:
		return s, nil
	case <-ctx.Done():
		<-s.permits
		return nil, fmt.Errorf("monitor: too many requests: %w", ctx.Err())
	}
}

func (m *Monitor) release(s *server) {
	<-m.requests
	<-s.permits
}

// CloseIdle closes the connections to servers that have had no request for IdleTimeout.
func (m *Monitor) CloseIdle(now time.Time) {
	m.mu.Lock()
	var unused []*server
	for target, s := range m.servers {
		if now.Sub(s.lastUsed) >= m.cfg.IdleTimeout && len(s.permits) == 0 {
			unused = append(unused, s)
			delete(m.servers, target)
		}
	}
	m.mu.Unlock()
	for _, s := range unused {
		s.close()
	}
}

// Close closes the connections to all servers that have no request in progress.
func (m *Monitor) Close() { m.CloseIdle(time.Now().Add(2 * m.cfg.IdleTimeout)) }
