package positions

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"lentilwind.dev/instance/dialer"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/protocol"
)

// Timeouts and intervals of monitoring.
const (
	dialTimeout   = time.Second
	answerTimeout = 500 * time.Millisecond
	waitLimit     = 5 * time.Millisecond
	activeFor     = 2 * time.Second
	activePeriod  = 25 * time.Millisecond
	idlePeriod    = 500 * time.Millisecond
	minBackoff    = 20 * time.Millisecond
	maxBackoff    = 500 * time.Millisecond
	suspectAfter  = time.Second
)

// monitor polls one server over one connection at a time.
type monitor struct {
	tracker    *Tracker
	server     group.Server
	service    group.Service
	signal     chan struct{}
	cancel     context.CancelFunc
	slotOffset int
	// lastAnswer is the time of the last answer, relative to the tracker's origin.
	lastAnswer atomic.Int64
	refused    atomic.Bool
}

func (m *monitor) wake() {
	select {
	case m.signal <- struct{}{}:
	default:
	}
}

func (m *monitor) sleep(ctx context.Context, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-m.signal:
	}
}

// run polls the server until the context ends, and reconnects with exponential backoff.
func (m *monitor) run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		before := m.lastAnswer.Load()
		m.connectAndPoll(ctx)
		if m.lastAnswer.Load() != before {
			backoff = minBackoff
		}
		m.sleep(ctx, backoff/2+rand.N(backoff/2))
		backoff = min(2*backoff, maxBackoff)
	}
}

func (m *monitor) connectAndPoll(ctx context.Context) {
	server := m.tracker.cfg.Directory.Snapshot().Server(m.server)
	if server == nil || !server.Address.IsValid() {
		m.sleep(ctx, idlePeriod)
		return
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, err := dialer.ConnectMonitor(dialCtx, m.tracker.cfg.Source, m.service, server.Address)
	cancel()
	m.refused.Store(errors.Is(err, syscall.ECONNREFUSED))
	if err != nil {
		return
	}
	defer closeConn(conn)
	for ctx.Err() == nil {
		if m.poll(ctx, conn) != nil {
			return
		}
		if now := m.tracker.cfg.Directory.Snapshot().Server(m.server); now == nil || now.Address != server.Address {
			return
		}
	}
}

func closeConn(conn *pgconn.PgConn) {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	_ = conn.Close(ctx)
}

// poll sends one query as soon as it is needed and records the statuses of the answer.
func (m *monitor) poll(ctx context.Context, conn *pgconn.PgConn) error {
	sql, delay := m.next()
	if delay > 0 {
		m.sleep(ctx, delay)
		sql, _ = m.next()
	}
	queryCtx, cancel := context.WithTimeout(ctx, waitLimit+answerTimeout)
	defer cancel()
	sentAt := time.Now()
	statuses, err := dialer.QueryStatuses(queryCtx, conn, sql)
	if err != nil {
		return err
	}
	m.lastAnswer.Store(int64(time.Since(m.tracker.origin)))
	for _, status := range statuses {
		m.tracker.Observe(m.service, m.server, status, sentAt)
	}
	return nil
}

// next returns the next query and how long it may be delayed.
func (m *monitor) next() (sql string, delay time.Duration) {
	service := m.tracker.cfg.Directory.Snapshot().Service(m.service)
	if service == nil {
		return dialer.StatusQuery, idlePeriod
	}
	fresh, active := false, false
	now := time.Since(m.tracker.origin)
	m.slotOffset++
	for i := range service.Slots {
		slot := group.Slot((i + m.slotOffset) % service.Slots)
		g := m.tracker.group(group.ID{Service: m.service, Slot: slot})
		if g == nil || g.member(m.server) == nil {
			continue
		}
		required := g.requirementOf(g.member(m.server))
		if required.write {
			return waitQuery(slot, required.position, waitLimit), 0
		}
		fresh = fresh || required.fresh
		active = active || now-time.Duration(g.lastRead.Load()) < activeFor
	}
	switch {
	case fresh:
		return dialer.StatusQuery, 0
	case active:
		return dialer.StatusQuery, activePeriod
	}
	return dialer.StatusQuery, idlePeriod
}

func (m *monitor) sinceAnswer(now time.Time) time.Duration {
	return now.Sub(m.tracker.origin) - time.Duration(m.lastAnswer.Load())
}

// suspected reports whether the server refuses connections or has not answered for suspectAfter.
func (m *monitor) suspected(now time.Time) bool {
	return m.refused.Load() || m.sinceAnswer(now) >= suspectAfter
}

// Suspects returns the servers that do not answer this entry, or the home that it asks about them.
func (t *Tracker) Suspects(now time.Time) []protocol.Suspicion {
	t.mu.Lock()
	defer t.mu.Unlock()
	var suspects []protocol.Suspicion
	for _, m := range t.monitors {
		if m.suspected(now) {
			suspects = append(suspects, protocol.Suspicion{Service: m.service, Server: m.server, Silent: m.sinceAnswer(now)})
		}
	}
	for _, o := range t.observers {
		suspects = o.appendSuspects(suspects, now)
	}
	return suspects
}
