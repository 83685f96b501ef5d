package caller_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"lentilwind.dev/bench/database"
	"lentilwind.dev/entry/internal/directory"
	"lentilwind.dev/entry/internal/pool"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/jsonc"
	"lentilwind.dev/lentilwind/session"
)

func TestWritesContinueUnderANewPrimary(t *testing.T) {
	f := newFleet(t, nil)
	e := f.newEntry()
	conn := e.connect(t, "")
	ctx := testContext(t)
	// With the delay, the other replica confirms the write before the next primary has received it.
	f.databases[1].SetFaults(func(faults *database.Faults) { faults.ReceiveDelay = jsonc.Duration(50 * time.Millisecond) })
	if _, err := conn.Exec(ctx, insertOrder, "before", 1); err != nil {
		t.Fatal(err)
	}
	f.failOver(2, 1, 0, 2)
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(ctx, insertOrder, "after", 2)
		done <- err
	}()
	f.waitFor(ctx, func() bool { return f.countStatements("INSERT") > 1 })
	f.publishTopology(2, serverName(1))
	if err := <-done; err != nil {
		t.Errorf("write during the failover: %v", err)
	}
	for key, want := range map[string]int{"before": 1, "after": 2} {
		var value int
		if err := conn.QueryRow(ctx, readLookup, key).Scan(&value); err != nil || value != want {
			t.Errorf("%s: got %d, %v", key, value, err)
		}
	}
}

func TestEntryThatMissedAFailoverAcknowledgesNoWriteAndServesNoStaleRead(t *testing.T) {
	f := newFleet(t, nil)
	f.limits.RequestTimeout, f.limits.ConfirmTimeout = 2*time.Second, 2*time.Second
	current := f.newEntry()
	published := f.directory
	f.directory, f.revision, f.topologyCount = directory.New(), 0, 0
	f.directory.ExtendLease(time.Now().Add(time.Hour))
	f.applyInventory()
	f.publishTopology(1, serverName(0), serverName(1), serverName(2))
	stale := f.newEntry()
	ctx := testContext(t)
	old := stale.connect(t, "")
	if _, err := old.Exec(ctx, insertOrder, "a", 1); err != nil {
		t.Fatal(err)
	}
	// The old primary is not told of the failover and continues to serve.
	f.failOver(2, 1, 2)
	f.directory = published
	f.publishTopology(2, serverName(1))
	writer := current.connect(t, "")
	if _, err := writer.Exec(ctx, "/*route='order'*/ UPDATE stock SET value = 2 WHERE key = 'a'"); err != nil {
		t.Fatal(err)
	}
	_, err := old.Exec(ctx, insertOrder, "b", 1)
	wantSQLState(t, err, "LW002")
	var value int
	for name, sql := range map[string]string{
		"exact read": "/*route='exact'*/ SELECT value FROM stock WHERE key = $1", "read without a route": "SELECT value FROM stock WHERE key = $1",
	} {
		if err := old.QueryRow(ctx, sql, "a").Scan(&value); err == nil {
			t.Errorf("%s returned %d", name, value)
		}
	}
	roamed := stale.connect(t, writer.PgConn().ParameterStatus(session.ParameterName))
	if err := roamed.QueryRow(ctx, readLookup, "a").Scan(&value); err == nil && value != 2 {
		t.Errorf("the session read %d", value)
	}
}

// endedTerms reports ended terms and closed servers from a snapshot.
type endedTerms struct{ snapshot *directory.Snapshot }

func (o endedTerms) TermEnded(id group.ID, term group.Term) bool {
	configuration, _ := o.snapshot.Group(id)
	return configuration.Term > term
}

func (o endedTerms) ServerClosed(name group.Server) bool { return !o.snapshot.Server(name).Live() }

func TestWriteThatWaitsForALostPrimaryRunsOnceOnTheNewOne(t *testing.T) {
	for name, forward := range map[string]bool{"local": false, "forwarded": true} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, nil)
			f.forwardAll = forward
			f.limits.RequestTimeout = testTimeout
			silent, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = silent.Close() })
			e := f.newEntry()
			e.pools.Configure([]pool.Target{
				{Service: testService, Server: serverName(0), Address: netip.MustParseAddrPort(silent.Addr().String()), Limit: 1},
				{Service: testService, Server: serverName(1), Address: netip.MustParseAddrPort(f.databases[1].Address()), Limit: 1},
			})
			conn := e.connect(t, "")
			ctx := testContext(t)
			done := make(chan error, 1)
			go func() {
				_, err := conn.Exec(ctx, "/*route='order'*/ INSERT INTO stock (key, value) VALUES ('a', 1)")
				done <- err
			}()
			accepted, err := silent.Accept()
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = accepted.Close() })
			f.failOver(2, 1, 0, 2)
			f.publishTopology(2, serverName(1))
			f.waits.CancelObsolete(endedTerms{f.directory.Snapshot()})
			if err := <-done; err != nil {
				t.Error(err)
			}
			if n := f.countStatements("INSERT"); n != 1 {
				t.Errorf("sent %d times", n)
			}
		})
	}
}
