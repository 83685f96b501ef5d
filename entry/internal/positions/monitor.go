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

// Times of monitoring.
const (
	dialTimeout   = time.Second
	answerTimeout = 500 * time.Millisecond
	waitLimit     = 5 * time.Millisecond
	activeFor     = 2 * time.Second
	activePeriod  = 25 * time.Millisecond
	idlePeriod    = 500 * time.Millisecond
	firstBackOff  = 20 * time.Millisecond
	lastBackOff   = 500 * time.Millisecond
	suspectAfter  = time.Second
)

// monitor watches one server over one connection at a time.
type monitor struct {
	keeper  *Tracker
	server  group.Server
	service group.Service
	signal  chan struct{}
	cancel  context.CancelFunc
	turn    int
	// answered is the time of the last answer, as time since the keeper's origin.
	answered atomic.Int64
	refused  atomic.Bool
}

func (m *monitor) wake() {
	select {
	case m.signal <- struct{}{}:
	default:
	}
}

func (m *monitor) sleep(ctx context.Context, limit time.Duration) {
	clock := time.NewTimer(limit)
	defer clock.Stop()
	select {
	case <-ctx.Done():
	case <-clock.C:
	case <-m.signal:
	}
}

// run connects and watches again and again, with a delay that grows while it fails.
func (m *monitor) run(ctx context.Context) {
	backOff := firstBackOff
	for ctx.Err() == nil {
		before := m.answered.Load()
		m.connectAndWatch(ctx)
		if m.answered.Load() != before {
			backOff = firstBackOff
		}
		m.sleep(ctx, backOff/2+rand.N(backOff/2))
		backOff = min(2*backOff, lastBackOff)
	}
}

func (m *monitor) connectAndWatch(ctx context.Context) {
	server := m.keeper.cfg.Directory.Snapshot().Server(m.server)
	if server == nil || !server.Address.IsValid() {
		m.sleep(ctx, idlePeriod)
		return
	}
	dialContext, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, err := dialer.Monitor(dialContext, m.keeper.cfg.Source, m.service, server.Address)
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
		if now := m.keeper.cfg.Directory.Snapshot().Server(m.server); now == nil || now.Address != server.Address {
			return
		}
	}
}

func closeConn(conn *pgconn.PgConn) {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	_ = conn.Close(ctx)
}

// poll sends one query as soon as something needs it and takes in the answer.
func (m *monitor) poll(ctx context.Context, conn *pgconn.PgConn) error {
	sql, delay := m.next()
	if delay > 0 {
		m.sleep(ctx, delay)
		sql, _ = m.next()
	}
	askContext, cancel := context.WithTimeout(ctx, waitLimit+answerTimeout)
	defer cancel()
	sent := time.Now()
	statuses, err := dialer.Statuses(askContext, conn, sql)
	if err != nil {
		return err
	}
	m.answered.Store(int64(time.Since(m.keeper.origin)))
	for _, status := range statuses {
		m.keeper.Observe(m.service, m.server, status, sent)
	}
	return nil
}

// next returns the next query and how long it may be put off.
func (m *monitor) next() (sql string, delay time.Duration) {
	service := m.keeper.cfg.Directory.Snapshot().Service(m.service)
	if service == nil {
		return dialer.StatusQuery, idlePeriod
	}
	fresh, active := false, false
	now := time.Since(m.keeper.origin)
	m.turn++
	for i := range service.Slots {
		slot := group.Slot((i + m.turn) % service.Slots)
		g := m.keeper.group(group.ID{Service: m.service, Slot: slot})
		if g == nil || g.member(m.server) == nil {
			continue
		}
		need := g.demand(g.member(m.server))
		if need.write {
			return waitQuery(slot, need.position, waitLimit), 0
		}
		fresh = fresh || need.fresh
		active = active || now-time.Duration(g.viewed.Load()) < activeFor
	}
	switch {
	case fresh:
		return dialer.StatusQuery, 0
	case active:
		return dialer.StatusQuery, activePeriod
	}
	return dialer.StatusQuery, idlePeriod
}

func (m *monitor) silent(now time.Time) time.Duration {
	return now.Sub(m.keeper.origin) - time.Duration(m.answered.Load())
}

// suspected tells that the server refuses connections or has given no answer for a while.
func (m *monitor) suspected(now time.Time) bool {
	return m.refused.Load() || m.silent(now) >= suspectAfter
}

// Suspects returns the servers that give this entry, or the home that it asks, no answer.
func (k *Tracker) Suspects(now time.Time) []protocol.Suspicion {
	k.mu.Lock()
	defer k.mu.Unlock()
	var suspects []protocol.Suspicion
	for _, m := range k.monitors {
		if m.suspected(now) {
			suspects = append(suspects, protocol.Suspicion{Service: m.service, Server: m.server, Silent: m.silent(now)})
		}
	}
	for _, o := range k.observers {
		suspects = o.appendSuspects(suspects, now)
	}
	return suspects
}
