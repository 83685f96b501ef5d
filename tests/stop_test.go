package tests_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"lentilwind.dev/bench/fleet"
)

// traffic writes through entries that are ready until it is stopped, as a balancer would let it.
type traffic struct {
	f    *fleet.Fleet
	stop context.CancelFunc
	done sync.WaitGroup
	// cutOff counts requests that ended with neither an answer nor a refusal that says what became of them.
	cutOff atomic.Int64
	// unknown counts requests whose outcome was reported as unknown.
	unknown  atomic.Int64
	answered atomic.Int64
	first    atomic.Pointer[string]
}

func startTraffic(t *testing.T, f *fleet.Fleet, callers int) *traffic {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	tr := &traffic{f: f, stop: cancel}
	for i := range callers {
		tr.done.Go(func() { tr.call(ctx, i) })
	}
	t.Cleanup(tr.end)
	return tr
}

func (tr *traffic) end() {
	tr.stop()
	tr.done.Wait()
}

func (tr *traffic) call(ctx context.Context, caller int) {
	for n := 0; ctx.Err() == nil; {
		conn := tr.connectReady(ctx, caller+n)
		if conn == nil {
			continue
		}
		for ctx.Err() == nil && tr.request(conn, fmt.Sprintf("caller-%d-%d", caller, n)) {
			n++
		}
		n++
		_ = conn.Close(context.Background())
	}
}

// connectReady connects to the first ready entry, beginning at a number.
func (tr *traffic) connectReady(ctx context.Context, from int) *pgx.Conn {
	for i := range tr.f.Entries {
		entry := (from + i) % len(tr.f.Entries)
		if !tr.f.Entries[entry].Running() || tr.f.Entries[entry].Ready(ctx) != nil {
			continue
		}
		attempt, cancel := context.WithTimeout(ctx, attemptLimit)
		conn, err := dial(attempt, tr.f, entry, workspace, "")
		cancel()
		if err == nil {
			return conn
		}
	}
	return nil
}

// request sends one write; false means that the connection is over.
func (tr *traffic) request(conn *pgx.Conn, id string) bool {
	err := insert(context.Background(), conn, id, "traffic")
	switch {
	case err == nil:
		tr.answered.Add(1)
		return true
	case notRun(err):
		return !conn.IsClosed()
	case codeOf(err) == "57P01":
		return false
	case codeOf(err) == "LW002":
		tr.unknown.Add(1)
	default:
		tr.cutOff.Add(1)
	}
	text := err.Error()
	tr.first.CompareAndSwap(nil, &text)
	return false
}

func TestRollingRestartCutsOffNoRequest(t *testing.T) {
	f := start(t, small())
	tr := startTraffic(t, f, 8)
	restart := func(i *fleet.Instance) {
		if err := i.Stop(t.Context()); err != nil {
			t.Errorf("stopping %s: %v", i.Name(), err)
		}
		if err := i.Start(); err != nil {
			t.Fatal(err)
		}
		if err := i.WaitReady(within(t, patience)); err != nil {
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
		eventually(t, "catch up", func() error { return caughtUp(t, f, c.Name()) })
	}
	tr.end()
	if tr.cutOff.Load() > 0 || tr.unknown.Load() > 0 {
		t.Errorf("%d requests were cut off and %d have an unknown outcome; the first: %s", tr.cutOff.Load(), tr.unknown.Load(), *tr.first.Load())
	}
	if tr.answered.Load() == 0 {
		t.Error("no request was answered")
	}
	t.Logf("%d requests were answered", tr.answered.Load())
}

func TestLeavingPrimaryIsHandedOverWithoutCuttingOffARequest(t *testing.T) {
	f := start(t, small())
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
	tr.end()
	if tr.cutOff.Load() > 0 || tr.unknown.Load() > 0 {
		t.Errorf("%d requests were cut off and %d have an unknown outcome; the first: %s", tr.cutOff.Load(), tr.unknown.Load(), *tr.first.Load())
	}
	w.check()
}
