package caller_test

import (
	"fmt"
	"testing"

	"golang.org/x/sync/errgroup"
)

func newForwardingFleet(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t, nil)
	f.forwardAll = true
	return f
}

func TestForwardedCallersShareFewConnections(t *testing.T) {
	f := newForwardingFleet(t)
	e := f.newEntry()
	ctx := testContext(t)
	var g errgroup.Group
	for i := range 8 {
		conn := e.connect(t, "")
		g.Go(func() error { return exerciseConnection(ctx, conn, fmt.Sprintf("key-%d", i)) })
	}
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
	if e.server.Counters.ReplicaReads.Load() == 0 {
		t.Error("no replica reads")
	}
}

func TestForwardedWriteKeepsItsOutcome(t *testing.T) {
	f := newForwardingFleet(t)
	e := f.newEntry()
	conn := e.connect(t, "")
	ctx := testContext(t)
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(ctx, "/*route='order'*/ SELECT pg_sleep(30)")
		done <- err
	}()
	f.waitFor(ctx, func() bool { return f.countStatements("pg_sleep") == 1 })
	f.databases[0].DropConnections()
	wantSQLState(t, <-done, "LW002")
	if n := f.countStatements("pg_sleep"); n != 1 {
		t.Errorf("sent %d times", n)
	}
}

func TestForwardedCancelEndsTheStatement(t *testing.T) {
	f := newForwardingFleet(t)
	e := f.newEntry()
	conn := e.connect(t, "")
	ctx := testContext(t)
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(ctx, "/*route='order'*/ SELECT pg_sleep(30)")
		done <- err
	}()
	f.waitFor(ctx, func() bool { return f.countStatements("pg_sleep") == 1 })
	if err := conn.PgConn().CancelRequest(ctx); err != nil {
		t.Fatal(err)
	}
	wantSQLState(t, <-done, "57014")
	if _, err := conn.Exec(ctx, insertOrder, "a", 1); err != nil {
		t.Error(err)
	}
}
