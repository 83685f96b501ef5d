package monitor

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// server has the connections to one database at one address.
type server struct {
	slots chan struct{}

	mu   sync.Mutex
	idle []*pgconn.PgConn
	used time.Time
}

// take returns an open connection that nobody uses, or nil.
func (s *server) take() *pgconn.PgConn {
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

// give puts a usable connection back.
func (s *server) give(conn *pgconn.PgConn) {
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

// acquire waits for a free place among the requests to one server and to all.
func (m *Monitor) acquire(ctx context.Context, target Target) (*server, error) {
	m.mu.Lock()
	s := m.servers[target]
	if s == nil {
		s = &server{slots: make(chan struct{}, m.cfg.MaxRequestsPerServer)}
		m.servers[target] = s
	}
	s.used = time.Now()
	m.mu.Unlock()
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, fmt.Errorf("monitor: too many requests to %s: %w", target.ID.Server, ctx.Err())
	}
	select {
	case m.requests <- struct{}{}:
		return s, nil
	case <-ctx.Done():
		<-s.slots
		return nil, fmt.Errorf("monitor: too many requests: %w", ctx.Err())
	}
}

func (m *Monitor) release(s *server) {
	<-m.requests
	<-s.slots
}

// CloseIdle closes the connections to servers that had no request for a while.
func (m *Monitor) CloseIdle(now time.Time) {
	m.mu.Lock()
	var unused []*server
	for target, s := range m.servers {
		if now.Sub(s.used) >= m.cfg.IdleTimeout && len(s.slots) == 0 {
			unused = append(unused, s)
			delete(m.servers, target)
		}
	}
	m.mu.Unlock()
	for _, s := range unused {
		s.close()
	}
}

// Close closes all idle connections; requests that still run close their own.
func (m *Monitor) Close() { m.CloseIdle(time.Now().Add(2 * m.cfg.IdleTimeout)) }
