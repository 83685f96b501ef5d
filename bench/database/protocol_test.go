package database_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"

	"lentilwind.dev/bench/database"
	"lentilwind.dev/bench/history"
)

func TestDriverWritesAndReads(t *testing.T) {
	ctx := testContext(t)
	server := startServer(t, database.Config{})
	for _, mode := range []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe,
		pgx.QueryExecModeDescribeExec, pgx.QueryExecModeSimpleProtocol,
	} {
		t.Run(mode.String(), func(t *testing.T) {
			conn := connectScoped(ctx, t, server, 0, 1, "write")
			key := "pallet-" + mode.String()
			mustExec(ctx, t, conn, "/*route='restock'*/ INSERT INTO stock (key, value) VALUES ($1, $2) "+
				"ON CONFLICT (key) DO UPDATE SET value = stock.value + excluded.value", mode, key, int64(7))
			var value int64
			err := conn.QueryRow(ctx, "UPDATE stock SET value = value - $1 WHERE key = $2 AND value >= $1 RETURNING value",
				mode, int64(3), key).Scan(&value)
			if err != nil || value != 4 {
				t.Errorf("got %d, %v; want 4", value, err)
			}
			rows, err := conn.Query(ctx, "SELECT key, value, workspace FROM stock WHERE key = $1", mode, key)
			if err != nil {
				t.Fatal(err)
			}
			got, err := pgx.CollectRows(rows, pgx.RowToMap)
			if err != nil {
				t.Fatal(err)
			}
			want := []map[string]any{{"key": key, "value": int64(4), "workspace": "florists"}}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestTransactionsCommitAndRollBack(t *testing.T) {
	ctx := testContext(t)
	server := startServer(t, database.Config{})
	conn := connectScoped(ctx, t, server, 1, 1, "write")
	other := connectScoped(ctx, t, server, 1, 1, "write")
	err := pgx.BeginFunc(ctx, conn, func(tx pgx.Tx) error {
		if _, err := tx.Exec(ctx, "INSERT INTO journal (id, key, value) VALUES ($1, $2, $3)", "op-1", "k", int64(1)); err != nil {
			return err
		}
		if n := countRows(ctx, t, conn, "journal", "k"); n != 1 {
			t.Errorf("the transaction sees %d of its own rows, want 1", n)
		}
		if n := countRows(ctx, t, other, "journal", "k"); n != 0 {
			t.Errorf("another connection sees %d uncommitted rows", n)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	failure := errors.New("rolled back by the test")
	err = pgx.BeginFunc(ctx, conn, func(tx pgx.Tx) error {
		if _, err := tx.Exec(ctx, "INSERT INTO journal (id, key, value) VALUES ($1, $2, $3)", "op-2", "k", int64(1)); err != nil {
			return err
		}
		return failure
	})
	if !errors.Is(err, failure) {
		t.Fatal(err)
	}
	if n := countRows(ctx, t, other, "journal", "k"); n != 1 {
		t.Errorf("%d rows are left, want 1", n)
	}
	if got := reportedStatus(t, conn).Applied; got != 1 {
		t.Errorf("the position is %d, want 1", got)
	}
}

func TestErrorAbortsTransaction(t *testing.T) {
	ctx := testContext(t)
	conn := connectScoped(ctx, t, startServer(t, database.Config{}), 0, 1, "write")
	mustExec(ctx, t, conn, "INSERT INTO entries (id, key, value) VALUES ('a', 'k', 1)")
	mustExec(ctx, t, conn, "BEGIN")
	_, err := conn.Exec(ctx, "INSERT INTO entries (id, key, value) VALUES ('a', 'k', 1)")
	wantCode(t, err, "23505")
	if status := conn.PgConn().TxStatus(); status != 'E' {
		t.Errorf("the transaction status is %c, want E", status)
	}
	_, err = conn.Exec(ctx, "SELECT 1")
	wantCode(t, err, "25P02")
	tag, err := conn.Exec(ctx, "COMMIT")
	if err != nil || tag.String() != "ROLLBACK" {
		t.Errorf("got %q, %v; want ROLLBACK", tag, err)
	}
}

func TestUnsupportedStatementsAreRejected(t *testing.T) {
	ctx := testContext(t)
	conn := connectScoped(ctx, t, startServer(t, database.Config{}), 0, 1, "write")
	for sql, want := range map[string]string{
		"SELECT * FROM pg_class":                               "42P01",
		"SELECT colour FROM stock":                             "42703",
		"SELECT key FROM stock WHERE key = 'a' OR key = 'b'":   "42601",
		"SELECT key FROM stock GROUP BY key":                   "42601",
		"SAVEPOINT a":                                          "0A000",
		"CREATE TABLE a (b int)":                               "0A000",
		"UPDATE stock SET value = value * 2 WHERE key = 'a'":   "42601",
		"UPDATE entries SET value = 1":                         "0A000",
		"INSERT INTO stock (key, value) VALUES ('a', 'b')":     "22P02",
		"INSERT INTO stock (key) VALUES ('a')":                 "23502",
		"SET work_mem = '1'":                                   "42704",
		"SELECT lentilwind_fence(0, 2)":                        "42501",
		"SELECT 'unterminated":                                 "42601",
		"SELECT key FROM stock; SELECT nothing FROM elsewhere": "42P01",
	} {
		_, err := conn.Exec(ctx, sql, pgx.QueryExecModeSimpleProtocol)
		if got := errorCode(err); got != want {
			t.Errorf("%s: got %s, want %s", sql, got, want)
		}
	}
}

func TestWorkspacesAndSlotsAreIsolated(t *testing.T) {
	ctx := testContext(t)
	server := startServer(t, database.Config{})
	conn := connectScoped(ctx, t, server, 0, 1, "write")
	mustExec(ctx, t, conn, "INSERT INTO journal (id, key, value) VALUES ('a', 'k', 1)")
	setScope(ctx, t, conn, "stallholders", 0, 1, "write")
	if n := countRows(ctx, t, conn, "journal", "k"); n != 0 {
		t.Errorf("another workspace sees %d rows", n)
	}
	setScope(ctx, t, conn, "florists", 1, 1, "write")
	if n := countRows(ctx, t, conn, "journal", "k"); n != 0 {
		t.Errorf("another slot sees %d rows", n)
	}
}

func TestScopeIsRequiredAndReset(t *testing.T) {
	ctx := testContext(t)
	conn := connect(ctx, t, startServer(t, database.Config{}), database.UserSystem)
	_, err := conn.Exec(ctx, "SELECT 1")
	wantCode(t, err, "55000")
	setScope(ctx, t, conn, "florists", 0, 1, "read")
	mustExec(ctx, t, conn, "SELECT count(*) FROM stock")
	_, err = conn.Exec(ctx, "DELETE FROM stock")
	wantCode(t, err, "25006")
	mustExec(ctx, t, conn, "DISCARD ALL", pgx.QueryExecModeSimpleProtocol)
	_, err = conn.Exec(ctx, "SELECT 1", pgx.QueryExecModeSimpleProtocol)
	wantCode(t, err, "55000")
}

func TestConnectionLimitExemptsMonitors(t *testing.T) {
	ctx := testContext(t)
	server := startServer(t, database.Config{Connections: 2})
	first := connect(ctx, t, server, database.UserSystem)
	connect(ctx, t, server, database.UserSystem)
	_, err := dial(ctx, server, database.UserSystem)
	wantCode(t, err, "53300")
	connect(ctx, t, server, database.UserMonitor)
	if err := first.Close(ctx); err != nil {
		t.Fatal(err)
	}
	eventually(ctx, t, func() bool { return server.Connections() == 1 })
	connect(ctx, t, server, database.UserSystem)
}

func TestCancelRequestCancelsRunningStatement(t *testing.T) {
	ctx := testContext(t)
	server := startServer(t, database.Config{})
	conn := connectScoped(ctx, t, server, 0, 1, "read")
	ended := make(chan error, 1)
	go func() {
		_, err := conn.Exec(ctx, "SELECT pg_sleep($1)", 60.0)
		ended <- err
	}()
	eventually(ctx, t, func() bool { return sawStatement(server, "SELECT pg_sleep($1)") })
	if err := conn.PgConn().CancelRequest(ctx); err != nil {
		t.Fatal(err)
	}
	wantCode(t, <-ended, "57014")
	mustExec(ctx, t, conn, "SELECT 1")
}

func sawStatement(server *database.Server, text string) bool {
	for _, o := range server.Observations() {
		if o.Kind == history.DatabaseStatement && o.Statement == text {
			return true
		}
	}
	return false
}

func TestRowLocksTimeOut(t *testing.T) {
	ctx := testContext(t)
	server := startServer(t, database.Config{LockTimeout: 1})
	first := connectScoped(ctx, t, server, 0, 1, "write")
	second := connectScoped(ctx, t, server, 0, 1, "write")
	mustExec(ctx, t, first, "INSERT INTO stock (key, value) VALUES ('a', 1)")
	mustExec(ctx, t, first, "BEGIN")
	mustExec(ctx, t, first, "UPDATE stock SET value = value + 1 WHERE key = 'a'")
	_, err := second.Exec(ctx, "UPDATE stock SET value = value + 1 WHERE key = 'a'")
	wantCode(t, err, "55P03")
	mustExec(ctx, t, first, "COMMIT")
	mustExec(ctx, t, second, "UPDATE stock SET value = value + 1 WHERE key = 'a'")
}

func TestObservationsRecordCommitsAndWatchedTexts(t *testing.T) {
	ctx := testContext(t)
	server := startServer(t, database.Config{})
	server.Watch("secret-key")
	conn := connectScoped(ctx, t, server, 2, 1, "write")
	mustExec(ctx, t, conn, "/*route='order'*/ INSERT INTO journal (id, key, value) VALUES ($1, $2, $3)", "op-9", "k", int64(5))
	if server.HasReceived("secret-key") || !server.HasReceived("op-9") {
		t.Error("HasReceived gives a wrong result")
	}
	var got []history.DatabaseEvent
	for _, o := range server.Observations() {
		if o.Kind == history.DatabaseCommitted && len(o.Changes) > 0 {
			got = append(got, o)
		}
	}
	if len(got) != 1 {
		t.Fatalf("%d commits are recorded, want 1", len(got))
	}
	want := []history.Change{{Table: "journal", ID: "op-9", Key: "k", Value: 5}}
	if diff := cmp.Diff(want, got[0].Changes); diff != "" {
		t.Error(diff)
	}
	if got[0].Workspace != "florists" || got[0].Slot != 2 || got[0].Position != 1 {
		t.Errorf("the scope of the commit is wrong: %+v", got[0])
	}
	mustExec(ctx, t, conn, "SELECT count(*) FROM journal WHERE key = 'secret-key'")
	found := false
	for _, o := range server.Observations() {
		found = found || o.Kind == history.DatabaseWatchedText && o.Text == "secret-key"
	}
	if !found {
		t.Error("a received watched text is not recorded")
	}
}

func TestSilencedConnectionsStaySilentAndNewOnesWork(t *testing.T) {
	ctx := testContext(t)
	server := startServer(t, database.Config{Connections: 1})
	conn := connectScoped(ctx, t, server, 0, 1, "read")
	server.SilenceConnections()
	limited, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	if _, err := conn.Exec(limited, "SELECT 1"); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a statement on a silenced connection failed with %v", err)
	}
	eventually(ctx, t, func() bool { return server.Connections() == 0 })
	mustExec(ctx, t, connectScoped(ctx, t, server, 0, 1, "read"), "SELECT 1")
}

func TestConcurrentUpdatesAreNotLost(t *testing.T) {
	ctx := testContext(t)
	server := startServer(t, database.Config{})
	mustExec(ctx, t, connectScoped(ctx, t, server, 0, 1, "write"), "INSERT INTO stock (key, value) VALUES ('a', 0)")
	const callers, each = 8, 25
	var wg sync.WaitGroup
	for range callers {
		conn := connectScoped(ctx, t, server, 0, 1, "write")
		wg.Go(func() {
			for range each {
				err := pgx.BeginFunc(ctx, conn, func(tx pgx.Tx) error {
					_, err := tx.Exec(ctx, "UPDATE stock SET value = value + 1 WHERE key = 'a'")
					return err
				})
				if err != nil {
					t.Error(err)
				}
			}
		})
	}
	wg.Wait()
	var value int64
	if err := connectScoped(ctx, t, server, 0, 1, "read").QueryRow(ctx, "SELECT value FROM stock").Scan(&value); err != nil {
		t.Fatal(err)
	}
	if value != callers*each {
		t.Errorf("got %d, want %d", value, callers*each)
	}
}
