package caller_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"lentilwind.dev/bench/database"
	"lentilwind.dev/bench/history"
	"lentilwind.dev/entry/internal/directory"
	"lentilwind.dev/lentilwind/jsonc"
)

func sqlState(err error) string {
	var refused *pgconn.PgError
	if errors.As(err, &refused) {
		return refused.Code
	}
	if err != nil {
		return "error: " + err.Error()
	}
	return ""
}

func wantSQLState(t *testing.T, err error, want string) {
	t.Helper()
	if got := sqlState(err); got != want {
		t.Errorf("SQLSTATE %q, want %q (%v)", got, want, err)
	}
}

// countStatements counts the statements containing a text that the databases have received.
func (f *fleet) countStatements(text string) int {
	n := 0
	for _, db := range f.databases {
		for _, o := range db.Observations() {
			if o.Kind == history.DatabaseStatement && strings.Contains(o.Statement, text) {
				n++
			}
		}
	}
	return n
}

func TestRequestThatMustNotReachADatabaseIsRefused(t *testing.T) {
	f := newFleet(t, nil)
	e := f.newEntry()
	conn := e.connect(t, "")
	ctx := testContext(t)
	for name, run := range map[string]func() error{
		"key in the text":      func() error { _, err := conn.Exec(ctx, "SELECT '"+testKey+"'"); return err },
		"key as a parameter":   func() error { _, err := conn.Exec(ctx, insertOrder, testKey, 1); return err },
		"reserved parameter":   func() error { _, err := conn.Exec(ctx, "SET LentilWind.workspace = 'stallholders'"); return err },
		"unknown route":        func() error { _, err := conn.Exec(ctx, "/*route='none'*/ SELECT 1"); return err },
		"reserved as argument": func() error { _, err := conn.Exec(ctx, insertOrder, "lentilwind.slot", 1); return err },
	} {
		t.Run(name, func(t *testing.T) { wantSQLState(t, run(), "LW001") })
	}
	if _, err := conn.Exec(ctx, insertOrder, "a", 1); err != nil {
		t.Errorf("the connection is unusable after refusals: %v", err)
	}
	for _, db := range f.databases {
		if db.HasReceived(testKey) {
			t.Error("a database received the key")
		}
	}
	if f.countStatements("route='none'") != 0 {
		t.Error("a refused statement reached a database")
	}
}

func TestKeysAreChecked(t *testing.T) {
	f := newFleet(t, nil)
	e := f.newEntry()
	for name, login := range map[string][2]string{
		"wrong key":         {testWorkspace, "lw-wrong"},
		"key of another":    {testWorkspace, otherKey},
		"unknown workspace": {"nobody", testKey},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := pgx.Connect(testContext(t), fmt.Sprintf(e.url, login[0], login[1]))
			wantSQLState(t, err, "28P01")
		})
	}
	public := e.connectAs(t, "public", "", "")
	var one int
	if err := public.QueryRow(testContext(t), "/*route='shelf'*/ SELECT 1").Scan(&one); err != nil || one != 1 {
		t.Errorf("open route: %d, %v", one, err)
	}
	_, err := public.Exec(testContext(t), "/*route='lookup'*/ SELECT 1")
	wantSQLState(t, err, "LW001")
}

func TestRefusedKeysAreLimitedByAddress(t *testing.T) {
	f := newFleet(t, nil)
	e := f.newEntry()
	for range 100 {
		_, err := pgx.Connect(testContext(t), fmt.Sprintf(e.url, testWorkspace, "lw-wrong"))
		if sqlState(err) == "53300" {
			return
		}
	}
	t.Error("no connection was refused because of the limit")
}

func TestWithdrawnKeyClosesIdleCallersAndRefusesOthers(t *testing.T) {
	f := newFleet(t, nil)
	e := f.newEntry()
	ctx := testContext(t)
	idle, inBlock, other := e.connect(t, ""), e.connect(t, ""), e.connectAs(t, "stallholders", otherKey, "")
	tx, err := inBlock.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(ctx, "INSERT INTO stock (key, value) VALUES ('x', 1)"); err != nil {
		t.Fatal(err)
	}
	f.inventory.Workspaces[0].Keys = nil
	f.applyInventory()
	for e.server.Callers() > 1 {
		if ctx.Err() != nil {
			t.Fatal("callers with the withdrawn key are still connected")
		}
		time.Sleep(time.Millisecond)
	}
	_, err = idle.Exec(ctx, "SELECT 1")
	wantSQLState(t, err, "LW004")
	wantSQLState(t, tx.Commit(ctx), "LW004")
	if _, err := other.Exec(ctx, "SELECT 1"); err != nil {
		t.Errorf("another workspace: %v", err)
	}
	var n int
	if err := other.QueryRow(ctx, "SELECT count(*) FROM stock").Scan(&n); err != nil || n != 0 {
		t.Errorf("%d rows, %v", n, err)
	}
}

// Guards against requests with a key that may have been withdrawn, on any route that the operators did not mark to go on, and against open
// routes that stop for callers without a key.
func TestWithoutALeaseOnlyOpenRoutesAreServed(t *testing.T) {
	f := newFleet(t, nil)
	f.directory = directory.New()
	f.directory.ExtendLease(time.Now().Add(time.Second))
	f.applyInventory()
	f.publishTopology(1, serverName(0), serverName(1), serverName(2))
	e := f.newEntry()
	conn, inBlock, public := e.connect(t, ""), e.connect(t, ""), e.connectAs(t, "public", "", "")
	ctx := testContext(t)
	if _, err := inBlock.Exec(ctx, "/*route='shelf'*/ BEGIN"); err != nil {
		t.Fatal(err)
	}
	if _, err := inBlock.Exec(ctx, "SELECT 1"); err != nil {
		t.Fatal(err)
	}
	f.waitFor(ctx, func() bool { return !f.directory.Leased(time.Now()) })
	_, err := conn.Exec(ctx, insertOrder, "a", 1)
	wantSQLState(t, err, "LW001")
	_, err = conn.Exec(ctx, "/*route='shelf'*/ SELECT 2")
	wantSQLState(t, err, "LW001")
	_, err = inBlock.Exec(ctx, "SELECT 2")
	wantSQLState(t, err, "LW001")
	var one int
	if err := public.QueryRow(ctx, "/*route='shelf'*/ SELECT 1").Scan(&one); err != nil {
		t.Errorf("open route without a key: %v", err)
	}
	if f.countStatements("INSERT")+f.countStatements("SELECT 2") != 0 {
		t.Error("a refused statement reached a database")
	}
}

func TestDatabaseKilledWhileItRunsAWriteLeavesTheOutcomeUnknown(t *testing.T) {
	f := newFleet(t, nil)
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

func (f *fleet) waitFor(ctx context.Context, condition func() bool) {
	f.t.Helper()
	for !condition() {
		if ctx.Err() != nil {
			f.t.Fatal("timed out waiting for a condition")
		}
		time.Sleep(time.Millisecond)
	}
}

func TestDatabaseThatCannotBeReachedMeansNotRun(t *testing.T) {
	f := newFleet(t, nil)
	f.limits.RequestTimeout = 200 * time.Millisecond
	e := f.newEntry()
	conn := e.connect(t, "")
	if err := f.databases[0].Crash(); err != nil {
		t.Fatal(err)
	}
	_, err := conn.Exec(testContext(t), "/*route='order'*/ INSERT INTO stock (key, value) VALUES ('a', 1)")
	wantSQLState(t, err, "LW001")
	f.publishTopology(2, "")
	_, err = conn.Exec(testContext(t), "/*route='order'*/ INSERT INTO stock (key, value) VALUES ('a', 1)")
	wantSQLState(t, err, "LW005")
}

func TestWriteThatNoMajorityHoldsIsUnknown(t *testing.T) {
	f := newFleet(t, nil)
	f.limits.ConfirmTimeout = time.Second
	e := f.newEntry()
	conn := e.connect(t, "")
	ctx := testContext(t)
	if _, err := conn.Exec(ctx, insertOrder, "a", 1); err != nil {
		t.Fatal(err)
	}
	f.databases[0].SetFaults(func(faults *database.Faults) { faults.PauseReplication = true })
	_, err := conn.Exec(ctx, insertOrder, "b", 2)
	wantSQLState(t, err, "LW002")
	tx, err := conn.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(ctx, "/*route='order'*/ INSERT INTO stock (key, value) VALUES ('c', 1)"); err != nil {
		t.Fatal(err)
	}
	wantSQLState(t, tx.Commit(ctx), "LW002")
}

func TestReadsDoNotWaitForDeadReplicas(t *testing.T) {
	f := newFleet(t, nil)
	f.inventory.Routes[0].MaxStaleness = jsonc.Duration(testTimeout)
	f.applyInventory()
	f.limits.RequestTimeout = 2 * time.Second
	e := f.newEntry()
	ctx := testContext(t)
	conn := e.connect(t, "")
	if _, err := conn.Exec(ctx, insertOrder, "a", 1); err != nil {
		t.Fatal(err)
	}
	var value int
	if err := conn.QueryRow(ctx, readLookup, "a").Scan(&value); err != nil {
		t.Fatal(err)
	}
	for _, db := range f.databases[1:] {
		if err := db.Crash(); err != nil {
			t.Fatal(err)
		}
	}
	for range 5 {
		if err := conn.QueryRow(ctx, readLookup, "a").Scan(&value); err != nil || value != 1 {
			t.Fatalf("got %d, %v", value, err)
		}
	}
}

func TestBlockOnAReplicaEndsWithItsStaleness(t *testing.T) {
	f := newFleet(t, nil)
	f.inventory.Routes[0].MaxStaleness = jsonc.Duration(300 * time.Millisecond)
	f.applyInventory()
	e := f.newEntry()
	ctx := testContext(t)
	if _, err := e.connect(t, "").Exec(ctx, insertOrder, "a", 1); err != nil {
		t.Fatal(err)
	}
	c := e.newFrontend(t)
	read := &pgproto3.Query{String: "/*route='lookup'*/ BEGIN; SELECT value FROM stock WHERE key = 'a'"}
	f.waitFor(ctx, func() bool {
		c.exchange(0, read)
		onReplica := e.server.Counters.PrimaryReads.Load() == 0 && f.replicaReceived("SELECT value")
		if !onReplica {
			c.exchange(0, &pgproto3.Query{String: "ROLLBACK"})
		}
		return onReplica
	})
	started := time.Now()
	f.waitFor(ctx, func() bool { return time.Since(started) > 310*time.Millisecond })
	c.expect("after the staleness", c.exchange(0, &pgproto3.Query{String: "SELECT value FROM stock WHERE key = 'a'"}), "LW001", "ready E")
}

// replicaReceived reports whether a replica of slot 0 has received a statement containing a text.
func (f *fleet) replicaReceived(text string) bool {
	for _, db := range f.databases[1:] {
		for _, o := range db.Observations() {
			if o.Kind == history.DatabaseStatement && strings.Contains(o.Statement, text) {
				return true
			}
		}
	}
	return false
}

func TestReadsAreNeverStalerThanTheirRouteAllows(t *testing.T) {
	f := newFleet(t, nil)
	f.inventory.Routes[0].MaxStaleness = jsonc.Duration(200 * time.Millisecond)
	f.applyInventory()
	writers, readers := f.newEntry(), f.newEntry()
	ctx := testContext(t)
	writer, reader := writers.connect(t, ""), readers.connect(t, "")
	if _, err := writer.Exec(ctx, insertOrder, "a", 0); err != nil {
		t.Fatal(err)
	}
	var value int
	if err := reader.QueryRow(ctx, readLookup, "a").Scan(&value); err != nil {
		t.Fatal(err)
	}
	f.databases[1].SetFaults(func(faults *database.Faults) { faults.ApplyDelay = jsonc.Duration(time.Second) })
	f.databases[2].SetFaults(func(faults *database.Faults) { faults.ApplyDelay = jsonc.Duration(time.Second) })
	for i := 1; i <= 20; i++ {
		acknowledged := time.Now()
		if _, err := writer.Exec(ctx, "/*route='order'*/ UPDATE stock SET value = $1 WHERE key = 'a'", i); err != nil {
			t.Fatal(err)
		}
		done := time.Now()
		f.waitFor(ctx, func() bool { return time.Since(done) > 210*time.Millisecond })
		if err := reader.QueryRow(ctx, readLookup, "a").Scan(&value); err != nil || value < i {
			t.Fatalf("read %d after %v, want %d: %v", value, time.Since(acknowledged), i, err)
		}
	}
}

func TestKeyIsNotCheckedBeforeThereIsAConfiguration(t *testing.T) {
	f := newFleet(t, nil)
	f.directory, f.revision, f.topologyCount = directory.New(), 0, 0
	f.limits.StartupTimeout = 300 * time.Millisecond
	ctx := testContext(t)
	e := f.newEntry()
	_, err := pgx.Connect(ctx, fmt.Sprintf(e.url, testWorkspace, testKey))
	wantSQLState(t, err, "57P03")
	if n := e.server.Counters.KeyFailures.Load(); n != 0 {
		t.Errorf("%d refused keys", n)
	}

	f.limits.StartupTimeout = testTimeout
	e = f.newEntry()
	done := make(chan error, 1)
	go func() {
		conn, err := pgx.Connect(ctx, fmt.Sprintf(e.url, testWorkspace, testKey))
		if err == nil {
			err = conn.Close(ctx)
		}
		done <- err
	}()
	f.waitFor(ctx, func() bool { return e.server.Callers() == 1 })
	f.applyInventory()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
