package caller_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"golang.org/x/sync/errgroup"

	"lentilwind.dev/bench/history"
)

func TestTransactionBlocks(t *testing.T) {
	f := newFleet(t, nil)
	e := f.newEntry()
	ctx := testContext(t)
	conn := e.connect(t, "")
	for _, options := range []pgx.TxOptions{{}, {BeginQuery: "/*route='order'*/ BEGIN"}, {IsoLevel: pgx.ReadCommitted}} {
		tx, err := conn.BeginTx(ctx, options)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := tx.Exec(ctx, "INSERT INTO stock (key, value) VALUES ($1, $2)", "a", 1); err != nil {
			t.Fatal(err)
		}
		if _, err := tx.Exec(ctx, "UPDATE stock SET value = value + $1 WHERE key = $2", 4, "a"); err != nil {
			t.Fatal(err)
		}
		if err := tx.Rollback(ctx); err != nil {
			t.Fatal(err)
		}
	}
	tx, err := conn.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(ctx, "/*route='order'*/ INSERT INTO stock (key, value) VALUES ($1, $2)", "b", 5); err != nil {
		t.Fatal(err)
	}
	if err := tx.Commit(ctx); err != nil {
		t.Fatal(err)
	}
	var n, value int
	if err := conn.QueryRow(ctx, readLookup, "b").Scan(&value); err != nil || value != 5 {
		t.Errorf("got %d, %v", value, err)
	}
	if err := conn.QueryRow(ctx, "SELECT count(*) FROM stock").Scan(&n); err != nil || n != 1 {
		t.Errorf("%d rows, %v", n, err)
	}
	unsupported, err := conn.BeginTx(ctx, pgx.TxOptions{IsoLevel: pgx.Serializable})
	if err != nil {
		t.Fatal(err)
	}
	_, err = unsupported.Exec(ctx, "SELECT 1")
	wantSQLState(t, err, "0A000")
	if err := unsupported.Rollback(ctx); err != nil {
		t.Error(err)
	}
	for _, end := range []func(pgx.Tx) error{
		func(tx pgx.Tx) error { return tx.Commit(ctx) }, func(tx pgx.Tx) error { return tx.Rollback(ctx) },
	} {
		empty, err := conn.Begin(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if err := end(empty); err != nil {
			t.Errorf("empty block: %v", err)
		}
	}
}

func TestFailedBlockRejectsStatementsUntilItsEnd(t *testing.T) {
	f := newFleet(t, nil)
	e := f.newEntry()
	ctx := testContext(t)
	conn := e.connect(t, "")
	for name, invalid := range map[string]string{
		"refused by the entry": "SELECT '" + testKey + "'", "refused by the database": "SELECT nonsense",
	} {
		t.Run(name, func(t *testing.T) {
			tx, err := conn.Begin(ctx)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := tx.Exec(ctx, "INSERT INTO stock (key, value) VALUES ($1, 1)", "z"); err != nil {
				t.Fatal(err)
			}
			if _, err := tx.Exec(ctx, invalid); err == nil {
				t.Fatal("not refused")
			}
			_, err = tx.Exec(ctx, "SELECT 1")
			wantSQLState(t, err, "25P02")
			if err := tx.Commit(ctx); !errors.Is(err, pgx.ErrTxCommitRollback) {
				t.Errorf("commit: %v", err)
			}
			var n int
			if err := conn.QueryRow(ctx, "SELECT count(*) FROM stock").Scan(&n); err != nil || n != 0 {
				t.Errorf("%d rows, %v", n, err)
			}
		})
	}
}

func TestCallersShareFewConnectionsWithoutMixingWorkspaces(t *testing.T) {
	f := newFleet(t, nil)
	e := f.newEntry()
	ctx := testContext(t)
	var g errgroup.Group
	for i := range 16 {
		workspace, key := testWorkspace, testKey
		if i%2 == 1 {
			workspace, key = "stallholders", otherKey
		}
		conn := e.connectAs(t, workspace, key, "")
		g.Go(func() error { return exerciseConnection(ctx, conn, fmt.Sprintf("key-%d", i)) })
	}
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
	for _, db := range f.databases {
		if n := db.Connections(); n > 4 {
			t.Errorf("%d connections", n)
		}
		for _, o := range db.Observations() {
			if o.Kind == history.DatabaseWatchedText {
				t.Errorf("key received: %+v", o)
			}
		}
	}
}

// exerciseConnection writes and reads rows of its own inside and outside of transaction blocks.
func exerciseConnection(ctx context.Context, conn *pgx.Conn, key string) error {
	for i := range 15 {
		if _, err := conn.Exec(ctx, insertOrder, fmt.Sprintf("%s-%d", key, i), i); err != nil {
			return err
		}
		var value int
		if err := conn.QueryRow(ctx, readLookup, fmt.Sprintf("%s-%d", key, i)).Scan(&value); err != nil || value != i {
			return fmt.Errorf("%s-%d: read %d: %w", key, i, value, err)
		}
		tx, err := conn.Begin(ctx)
		if err != nil {
			return err
		}
		if _, err := tx.Exec(ctx, "UPDATE stock SET value = value + $1 WHERE key = $2", 1, fmt.Sprintf("%s-%d", key, i)); err != nil {
			return err
		}
		if i%3 == 0 {
			err = tx.Rollback(ctx)
		} else {
			err = tx.Commit(ctx)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func TestCancelEndsExactlyTheCallersOwnStatement(t *testing.T) {
	f := newFleet(t, nil)
	e := f.newEntry()
	ctx := testContext(t)
	cancelled, other := e.connect(t, ""), e.connect(t, "")
	var first, second error
	var wg sync.WaitGroup
	wg.Go(func() { _, first = cancelled.Exec(ctx, "/*route='order'*/ SELECT pg_sleep(30)") })
	wg.Go(func() { _, second = other.Exec(ctx, "/*route='order'*/ SELECT pg_sleep(1)") })
	f.waitFor(ctx, func() bool { return f.countStatements("pg_sleep") == 2 })
	if err := cancelled.PgConn().CancelRequest(ctx); err != nil {
		t.Fatal(err)
	}
	wg.Wait()
	wantSQLState(t, first, "57014")
	wantSQLState(t, second, "")
	if err := cancelled.PgConn().CancelRequest(ctx); err != nil {
		t.Fatal(err)
	}
	for range 20 {
		if _, err := cancelled.Exec(ctx, "SELECT 1"); err != nil {
			t.Fatalf("after an idle cancel: %v", err)
		}
	}
}

func TestSilentConnectionsAreReplacedBeforeAWriteIsSent(t *testing.T) {
	f := newFleet(t, nil)
	e := f.newEntry()
	ctx := testContext(t)
	conn := e.connect(t, "")
	if _, err := conn.Exec(ctx, insertOrder, "a", 1); err != nil {
		t.Fatal(err)
	}
	idle := time.Now()
	f.waitFor(ctx, func() bool { return time.Since(idle) > 1100*time.Millisecond })
	f.databases[0].SilenceConnections()
	if _, err := conn.Exec(ctx, insertOrder, "b", 2); err != nil {
		t.Errorf("write over a silent connection: %v", err)
	}
}

func TestPartialMessageHoldsNoDatabaseConnection(t *testing.T) {
	f := newFleet(t, nil)
	e := f.newEntry()
	ctx := testContext(t)
	for range 6 {
		partial := e.connect(t, "").PgConn().Conn()
		if _, err := partial.Write([]byte{'Q', 0, 0, 0, 100, 'S', 'E', 'L'}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := e.connect(t, "").Exec(ctx, insertOrder, "a", 1); err != nil {
		t.Error(err)
	}
}

func TestSlowCallerHoldsNoDatabaseConnectionForLong(t *testing.T) {
	f := newFleet(t, nil)
	f.limits.SlowCaller = 300 * time.Millisecond
	e := f.newEntry()
	ctx := testContext(t)
	conn := e.connect(t, "")
	for i := range 40 {
		rows := "INSERT INTO journal (id, key, value) VALUES ('x', 'y', 1)"
		for range 500 {
			rows += ", ('" + fmt.Sprint(i) + "-a-long-identifier-that-fills-the-answer', 'y', 1)"
		}
		if _, err := conn.Exec(ctx, rows); err != nil {
			t.Fatal(err)
		}
	}
	for range 4 {
		slow := e.connect(t, "").PgConn().Conn()
		_ = slow.(*net.TCPConn).SetReadBuffer(4096)
		query := "SELECT id, key, value FROM journal"
		frame := append([]byte{'Q', 0, 0, 0, byte(len(query) + 5)}, query...)
		frame = append(frame, 0)
		for range 20 {
			if _, err := slow.Write(frame); err != nil {
				t.Fatal(err)
			}
		}
	}
	if _, err := conn.Exec(ctx, insertOrder, "a", 1); err != nil {
		t.Error(err)
	}
	f.waitFor(ctx, func() bool { return e.server.Counters.SlowCallers.Load() == 4 })
}

func TestDrainInterruptsNoTransaction(t *testing.T) {
	f := newFleet(t, nil)
	e := f.newEntry()
	ctx := testContext(t)
	idle, busy := e.connect(t, ""), e.connect(t, "")
	tx, err := busy.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(ctx, "INSERT INTO stock (key, value) VALUES ('a', 1)"); err != nil {
		t.Fatal(err)
	}
	drained := make(chan struct{})
	go func() {
		e.server.Drain(ctx)
		close(drained)
	}()
	f.waitFor(ctx, func() bool { return e.server.Callers() == 1 })
	_, err = idle.Exec(ctx, "SELECT 1")
	wantSQLState(t, err, "57P01")
	if _, err := tx.Exec(ctx, "INSERT INTO stock (key, value) VALUES ('b', 1)"); err != nil {
		t.Error(err)
	}
	if err := tx.Commit(ctx); err != nil {
		t.Error(err)
	}
	<-drained
}
