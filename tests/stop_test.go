package tests_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"lentilwind.dev/bench/fleet"
)

// traffic writes through ready entries until it is stopped, as behind a load balancer.
type traffic struct {
	f       *fleet.Fleet
	cancel  context.CancelFunc
	workers sync.WaitGroup
	// dropped counts requests that ended without an answer and without an error that tells their outcome.
	dropped atomic.Int64
	// unknown counts requests whose outcome was reported as unknown.
	unknown      atomic.Int64
	answered     atomic.Int64
	firstFailure atomic.Pointer[string]

	mu sync.Mutex
	// notRun holds the rows of the requests that were refused, or that the driver has not sent.
	notRun []string
}

func startTraffic(t *testing.T, f *fleet.Fleet, callers int) *traffic {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	tr := &traffic{f: f, cancel: cancel}
	for i := range callers {
		tr.workers.Go(func() { tr.runCaller(ctx, i) })
	}
	t.Cleanup(tr.stop)
	return tr
}

func (tr *traffic) stop() {
	tr.cancel()
	tr.workers.Wait()
}

func (tr *traffic) runCaller(ctx context.Context, caller int) {
	for n := 0; ctx.Err() == nil; {
		conn := tr.connectReady(ctx, caller+n)
		if conn == nil {
			continue
		}
		for ctx.Err() == nil && tr.writeRow(conn, fmt.Sprintf("caller-%d-%d", caller, n)) {
			n++
		}
		n++
		_ = conn.Close(context.Background())
	}
}

// connectReady connects to the first ready entry, starting from the given index.
func (tr *traffic) connectReady(ctx context.Context, from int) *pgx.Conn {
	for i := range tr.f.Entries {
		entry := (from + i) % len(tr.f.Entries)
		if !tr.f.Entries[entry].Running() || tr.f.Entries[entry].Ready(ctx) != nil {
			continue
		}
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		conn, err := dial(attempt, tr.f, entry, workspace, "")
		cancel()
		if err == nil {
			return conn
		}
	}
	return nil
}

// checkNotRun checks that no request that was refused, or not sent, has committed.
func (tr *traffic) checkNotRun(t *testing.T) {
	t.Helper()
	list := databaseEvents(t, tr.f)
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, id := range tr.notRun {
		if n := countCommits(list, id); n > 0 {
			t.Errorf("the refused write of row %s was committed %d times", id, n)
		}
	}
}

// writeRow sends one write and reports whether the connection can be used further.
func (tr *traffic) writeRow(conn *pgx.Conn, id string) bool {
	err := insert(context.Background(), conn, id, "traffic")
	switch {
	case err == nil:
		tr.answered.Add(1)
		return true
	case notRun(err), sqlState(err) == "57P01", errors.Is(err, pgconn.ErrConnClosed):
		// After a refusal the driver first closes its prepared statement. If the entry has ended the connection with 57P01 by then, the
		// driver sends nothing of the next request and reports ErrConnClosed instead.
		tr.mu.Lock()
		defer tr.mu.Unlock()
		tr.notRun = append(tr.notRun, id)
		return !conn.IsClosed()
	case sqlState(err) == "LW002":
		tr.unknown.Add(1)
	default:
		tr.dropped.Add(1)
	}
	text := err.Error()
	tr.firstFailure.CompareAndSwap(nil, &text)
	return false
}

func TestRollingRestartDropsNoRequest(t *testing.T) {
	f := startFleet(t, smallLayout())
	tr := startTraffic(t, f, 8)
	restart := func(i *fleet.Instance) {
		if err := i.Stop(t.Context()); err != nil {
			t.Errorf("stopping %s: %v", i.Name(), err)
		}
		if err := i.Start(); err != nil {
			t.Fatal(err)
		}
		if err := i.WaitReady(withTimeout(t, waitTimeout)); err != nil {
			t.Fatal(err)
		}
	}
	for _, e := range f.Entries {
		restart(e)
	}
	for _, c := range f.Control {
		if err := c.Stop(t.Context()); err != nil {
			t.Errorf("stopping %s: %v", c.Name(), err)
		}
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		eventually(t, "catch up", func() error { return checkCaughtUp(t, f, c.Name()) })
	}
	tr.stop()
	tr.checkNotRun(t)
	if tr.dropped.Load() > 0 || tr.unknown.Load() > 0 {
		t.Errorf("%d requests were dropped and %d have an unknown outcome; the first failure: %s", tr.dropped.Load(), tr.unknown.Load(), *tr.firstFailure.Load())
	}
	if tr.answered.Load() == 0 {
		t.Error("no request was answered")
	}
	t.Logf("%d requests were answered", tr.answered.Load())
}

func TestLeavingPrimaryIsReplacedWithoutDroppedRequests(t *testing.T) {
	f := startFleet(t, smallLayout())
	tr := startTraffic(t, f, 4)
	w := newWriter(t, f, "all", "kiln")
	leaving := w.primary()
	if err := leaving.AnnounceLeave(t.Context()); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the leaving server stops", func() error {
		if leaving.Running() {
			return fmt.Errorf("%s still runs", leaving.Name())
		}
		return nil
	})
	w.writeUntilAcknowledged(time.Now())
	tr.stop()
	tr.checkNotRun(t)
	if tr.dropped.Load() > 0 || tr.unknown.Load() > 0 {
		t.Errorf("%d requests were dropped and %d have an unknown outcome; the first failure: %s", tr.dropped.Load(), tr.unknown.Load(), *tr.firstFailure.Load())
	}
	w.check()
}
