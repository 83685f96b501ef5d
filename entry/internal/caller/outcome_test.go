package caller_test

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"lentilwind.dev/entry/internal/outcome"
	"lentilwind.dev/lentilwind/inventory"
)

const sleepStatement = "/*route='order'*/ SELECT pg_sleep(30)"

// startStatement runs a pg_sleep statement; it returns the channel of its result once a database has received it.
func (f *fleet) startStatement(ctx context.Context, conn *pgx.Conn, sql string) <-chan error {
	f.t.Helper()
	before := f.countStatements("pg_sleep")
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(ctx, sql)
		done <- err
	}()
	f.waitFor(ctx, func() bool { return f.countStatements("pg_sleep") > before })
	return done
}

type emptyQuota struct{}

func (emptyQuota) Take(context.Context, inventory.WorkspaceName) bool { return false }

func TestWorkspaceOverItsRateIsRefused(t *testing.T) {
	f := newFleet(t, nil)
	f.quota = emptyQuota{}
	_, err := f.newEntry().connect(t, "").Exec(testContext(t), insertOrder, "a", 1)
	wantSQLState(t, err, "LW003")
	if f.countStatements("INSERT") != 0 {
		t.Error("a refused statement reached a database")
	}
}

func TestRequestWithoutAConnectionInTimeIsNotRun(t *testing.T) {
	f := newFleet(t, nil)
	f.poolSize = 1
	f.limits.RequestTimeout = 2 * time.Second
	e := f.newEntry()
	ctx := testContext(t)
	busy := e.connect(t, "")
	done := f.startStatement(ctx, busy, sleepStatement)
	_, err := e.connect(t, "").Exec(ctx, "/*route='order'*/ INSERT INTO stock (key, value) VALUES ('a', 1)")
	wantSQLState(t, err, "LW001")
	if f.countStatements("INSERT") != 0 {
		t.Error("a refused statement reached a database")
	}
	if err := busy.PgConn().CancelRequest(ctx); err != nil {
		t.Fatal(err)
	}
	wantSQLState(t, <-done, "57014")
}

func TestStatementWithoutAnAnswerInTimeIsUnknown(t *testing.T) {
	f := newFleet(t, nil)
	f.limits.AnswerTimeout = 300 * time.Millisecond
	ctx := testContext(t)
	wantSQLState(t, <-f.startStatement(ctx, f.newEntry().connect(t, ""), sleepStatement), "LW002")
	if n := f.countStatements("pg_sleep"); n != 1 {
		t.Errorf("sent %d times", n)
	}
}

func TestRepeatableRouteIsTriedAgain(t *testing.T) {
	f := newFleet(t, nil)
	ctx := testContext(t)
	done := f.startStatement(ctx, f.newEntry().connect(t, ""), "/*route='restock'*/ SELECT pg_sleep(1)")
	f.databases[0].DropConnections()
	if err := <-done; err != nil {
		t.Error(err)
	}
	if n := f.countStatements("pg_sleep"); n != 2 {
		t.Errorf("sent %d times", n)
	}
}

func TestLostBlockIsRolledBackUnlessItMayHaveCommitted(t *testing.T) {
	f := newFleet(t, nil)
	e := f.newEntry()
	ctx := testContext(t)
	conn := e.connect(t, "")
	tx, err := conn.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(ctx, "/*route='order'*/ INSERT INTO stock (key, value) VALUES ('a', 1)"); err != nil {
		t.Fatal(err)
	}
	done := f.startStatement(ctx, conn, "SELECT pg_sleep(30)")
	f.databases[0].DropConnections()
	wantSQLState(t, <-done, "LW001")
	_, err = tx.Exec(ctx, "SELECT 1")
	wantSQLState(t, err, "25P02")
	if err := tx.Rollback(ctx); err != nil {
		t.Error(err)
	}

	if tx, err = conn.Begin(ctx); err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(ctx, "/*route='order'*/ INSERT INTO stock (key, value) VALUES ('b', 1)"); err != nil {
		t.Fatal(err)
	}
	f.databases[0].DropConnections()
	wantSQLState(t, tx.Commit(ctx), "LW002")
}

func TestCommitOnAFencedPrimaryIsNotRun(t *testing.T) {
	f := newFleet(t, nil)
	e := f.newEntry()
	ctx := testContext(t)
	tx, err := e.connect(t, "").Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(ctx, "/*route='order'*/ INSERT INTO stock (key, value) VALUES ('a', 1)"); err != nil {
		t.Fatal(err)
	}
	f.failOver(2, 1, 0, 2)
	wantSQLState(t, tx.Commit(ctx), "LW001")
	f.publishTopology(2, serverName(1))
	var n int
	if err := e.connect(t, "").QueryRow(ctx, "SELECT count(*) FROM stock").Scan(&n); err != nil || n != 0 {
		t.Errorf("%d rows, %v", n, err)
	}
}

func TestLostHomeLeavesTheOutcomeUnknownOnlyAfterTheStatementWasSent(t *testing.T) {
	f := newForwardingFleet(t)
	f.limits.RequestTimeout = 2 * time.Second
	ctx := testContext(t)
	conn := f.newEntry().connect(t, "")
	done := f.startStatement(ctx, conn, sleepStatement)
	f.stopHome()
	wantSQLState(t, <-done, "LW002")
	_, err := conn.Exec(ctx, "/*route='order'*/ INSERT INTO stock (key, value) VALUES ('a', 1)")
	wantSQLState(t, err, "LW001")
	if n := f.countStatements("pg_sleep") + f.countStatements("INSERT"); n != 1 {
		t.Errorf("%d statements were sent", n)
	}
}

func TestStartupParameterNamesTheRoute(t *testing.T) {
	f := newFleet(t, nil)
	e := f.newEntry()
	ctx := testContext(t)
	cfg := e.connect(t, "").Config()
	cfg.RuntimeParams["lentilwind.route"] = "lookup"
	conn, err := pgx.ConnectConfig(ctx, cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	_, err = conn.Exec(ctx, "INSERT INTO stock (key, value) VALUES ('a', 1)")
	wantSQLState(t, err, "25006")
	if _, err := conn.Exec(ctx, insertOrder, "a", 1); err != nil {
		t.Errorf("the comment does not override the startup parameter: %v", err)
	}
	cfg.RuntimeParams["lentilwind.route"] = "none"
	_, err = pgx.ConnectConfig(ctx, cfg)
	wantSQLState(t, err, "22023")
}

func TestForeignSessionTokenIsRefused(t *testing.T) {
	f := newFleet(t, nil)
	e := f.newEntry()
	ctx := testContext(t)
	writer := e.connect(t, "")
	if _, err := writer.Exec(ctx, insertOrder, "a", 1); err != nil {
		t.Fatal(err)
	}
	cfg := e.connectAs(t, "stallholders", otherKey, "").Config()
	for _, token := range []string{writer.PgConn().ParameterStatus("lentilwind.session"), "nonsense"} {
		cfg.RuntimeParams["lentilwind.session"] = token
		_, err := pgx.ConnectConfig(ctx, cfg)
		wantSQLState(t, err, "22023")
	}
}

func TestOutcomeTableIsComplete(t *testing.T) {
	seen := make(map[outcome.Reason]bool)
	for _, row := range outcome.Table {
		if seen[row.Reason] || row.Message == "" || row.Hint == "" {
			t.Errorf("duplicate reason or missing text: %+v", row)
		}
		seen[row.Reason] = true
		if notRun := row.Message[:7] == "not run"; notRun == (row.SQLState == outcome.Unknown) {
			t.Errorf("%+v: message and state disagree", row)
		}
	}
}
