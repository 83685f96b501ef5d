package proxy_test

import (
	"context"
	"net"
	"testing"
	"time"

	"lentilwind.dev/instance/logs"
	"lentilwind.dev/instance/peer"
	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/statement"
)

func TestWriteWithALostAnswerIsUnknownAndNotRepeated(t *testing.T) {
	d := newDatabases("a", "b")
	c, _ := newEntry(t, "e", d, nil).open("orders", "key")
	d.change(func(s map[group.Server]*server) { s["a"].mute = true })
	if a := c.ask("w1", statement.Write, "WRITE x 1"); a.Outcome != statement.TimedOut {
		t.Errorf("the caller was told %q", a.Outcome)
	}
	if n := d.runs("w1"); n != 1 {
		t.Errorf("the write ran %d times", n)
	}
}

func TestWriteRefusedByAReplicaGoesToThePrimary(t *testing.T) {
	d := newDatabases("a", "b")
	c, _ := newEntry(t, "e", d, nil).open("orders", "key")
	d.change(func(s map[group.Server]*server) { s["a"].primary, s["b"].primary = false, true })
	if a := c.ask("w1", statement.Write, "WRITE x 1"); a.Outcome != statement.Done {
		t.Errorf("the caller was told %q: %s", a.Outcome, a.Detail)
	}
}

func TestReadOfNewestStateIsProvenFirst(t *testing.T) {
	d := newDatabases("a", "b")
	c, _ := newEntry(t, "e", d, nil).open("orders", "key")
	d.change(func(s map[group.Server]*server) { s["a"].primary, s["b"].primary = false, true })
	a := c.ask("r1", statement.Read, "READ x")
	if a.Outcome != statement.Done || a.Rows[0] != "b" || a.State != statement.Idle {
		t.Errorf("the read was answered with %+v", a)
	}
	if n := d.runs("r1"); n != 1 {
		t.Errorf("the read ran on %d servers; a replaced primary must not run it", n)
	}
}

// The answer of the rollback that follows a read must not be taken for the read's.
func TestLostAnswerIsNotReplacedByTheNextOne(t *testing.T) {
	d := newDatabases("a")
	c, _ := newEntry(t, "e", d, nil).open("orders", "key")
	d.change(func(servers map[group.Server]*server) { servers["a"].losing = 1 })
	if got := c.ask("1", statement.Read, "READ x"); got.Outcome != statement.Done || len(got.Rows) != 1 || got.Signature != "sig" {
		t.Errorf("the read was answered with %+v", got)
	}
	if n := d.runs("1"); n != 2 {
		t.Errorf("the read ran %d times, want 2", n)
	}
}

func TestOwnWritesAreReadEverywhere(t *testing.T) {
	d := newDatabases("a", "b", "c")
	c, _ := newEntry(t, "e", d, nil).open("counts", "key")
	for range 20 {
		c.ask("w", statement.Write, "WRITE x 1")
		if a := c.ask("r", statement.Read, "READ x"); a.Outcome != statement.Done || a.Rows[0] != "a" {
			t.Fatalf("a replica without the session's write answered: %+v", a)
		}
	}
}

func TestSlowReadGoesToASecondServer(t *testing.T) {
	d := newDatabases("a", "b", "c")
	e := newEntry(t, "e", d, nil)
	c, _ := e.open("shelves", "")
	c.ask("w", statement.Read, "READ x")
	d.change(func(s map[group.Server]*server) { s["b"].slow, s["c"].slow = 5*time.Second, 5*time.Second })
	if a := c.ask("r", statement.Read, "READ x"); a.Outcome != statement.Done || a.Rows[0] != "a" {
		t.Errorf("with slow replicas the read was answered with %+v", a)
	}
}

func TestTransactionIsLostWithItsConnectionAndSaysSo(t *testing.T) {
	d := newDatabases("a", "b")
	c, _ := newEntry(t, "e", d, nil).open("orders", "key")
	c.ask("1", statement.Begin, "BEGIN")
	c.ask("2", statement.Write, "WRITE x 1")
	d.change(func(s map[group.Server]*server) { s["a"].unreachable = true })
	if a := c.ask("3", statement.Write, "WRITE y 1"); a.Outcome != statement.Aborted || a.State != statement.Failed {
		t.Errorf("the caller was told %q in state %q", a.Outcome, a.State)
	}
	if a := c.ask("4", statement.Commit, "COMMIT"); a.Outcome != statement.Aborted || a.State != statement.Idle {
		t.Errorf("the commit was answered with %q in state %q", a.Outcome, a.State)
	}
	if n := d.runs("4"); n != 0 {
		t.Error("the commit of a lost transaction reached a database")
	}
}

func TestWithoutALeaseNoKeyCountsAndOpenRoutesGoOn(t *testing.T) {
	d := newDatabases("a", "b")
	e := newEntry(t, "e", d, nil)
	e.ExtendLease(time.Now())
	other := newEntry(t, "f", d, nil)
	other.SetPolicy(testPolicy(t, 2, "another"))
	keyed, _ := other.open("orders", "another")
	if a := keyed.ask("1", statement.Read, "READ x"); a.Outcome != statement.Done {
		t.Fatalf("with a lease: %q", a.Outcome)
	}
	other.SetPolicy(testPolicy(t, 3, "third"))
	if a := keyed.ask("2", statement.Read, "READ x"); a.Outcome != statement.BadKey {
		t.Errorf("a withdrawn key was answered with %q", a.Outcome)
	}
	if n := d.runs("2"); n != 0 {
		t.Error("a request with a withdrawn key reached a database")
	}
	if _, a := other.open("orders", "another"); a.Outcome != statement.BadKey {
		t.Errorf("a session with a withdrawn key was answered with %q", a.Outcome)
	}
	open, a := other.open("shelves", "")
	if a.Outcome != statement.Done || open.ask("3", statement.Read, "READ x").Outcome != statement.Done {
		t.Error("an open route needs a key")
	}
}

func TestRefusalBeforeTheFirstLeaseIsLoggedAndNotFatal(t *testing.T) {
	d := newDatabases("a")
	e := newEntry(t, "e", d, nil)
	e.SetPolicy(testPolicy(t, 2, "key"))
	bare := &entry{newBare(d), t}
	if _, a := bare.open("orders", "key"); a.Outcome != statement.Busy {
		t.Errorf("before the first configuration the caller was told %q", a.Outcome)
	}
	bare.SetPolicy(testPolicy(t, 2, "key"))
	if _, a := bare.open("orders", "key"); a.Outcome != statement.Busy {
		t.Errorf("without a lease the caller was told %q", a.Outcome)
	}
}

func TestOlderPolicyIsIgnored(t *testing.T) {
	d := newDatabases("a")
	e := newEntry(t, "e", d, nil)
	e.SetPolicy(testPolicy(t, 5, "new"))
	e.SetPolicy(testPolicy(t, 4, "old"))
	if _, a := e.open("orders", "old"); a.Outcome != statement.BadKey {
		t.Error("an older configuration came into force")
	}
}

// Work goes to the one entry that holds a workspace's connections, and stays possible when that entry is gone.
func TestWorkIsDoneAtItsHome(t *testing.T) {
	d := newDatabases("a")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	home := newEntry(t, "home", d, nil)
	server := peer.NewServer("home", logs.Discard())
	home.Register(server)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()

	client := peer.NewClient("far")
	defer client.Close()
	far := newEntry(t, "far", d, client)
	entries := []fleet.Entry{{Name: "home", DataCentre: "near", Address: listener.Addr().String()}}
	far.SetRoster(roster(d, entries...))
	home.SetRoster(roster(d, entries...))
	here, _ := home.open("orders", "key")
	there, _ := far.open("orders", "key")
	for range 10 {
		here.ask("1", statement.Write, "WRITE x 1")
		there.ask("2", statement.Write, "WRITE x 2")
	}
	there.ask("3", statement.Begin, "BEGIN")
	there.ask("4", statement.Write, "WRITE x 3")
	if a := there.ask("5", statement.Commit, "COMMIT"); a.Outcome != statement.Done {
		t.Errorf("a forwarded commit was answered with %q: %s", a.Outcome, a.Detail)
	}
	if d.opened > 2 {
		t.Errorf("%d connections were opened for one workspace that writes one at a time", d.opened)
	}
	stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
	for end := time.Now().Add(20 * time.Second); there.ask("6", statement.Write, "WRITE x 4").Outcome != statement.Done; {
		if time.Now().After(end) {
			t.Fatal("without its home an entry serves nothing")
		}
	}
}

func TestDrainEndsRestingSessionsAndLetsTransactionsFinish(t *testing.T) {
	d := newDatabases("a")
	e := newEntry(t, "e", d, nil)
	resting, _ := e.open("orders", "key")
	busy, _ := e.open("orders", "key")
	busy.ask("1", statement.Begin, "BEGIN")
	busy.ask("2", statement.Write, "WRITE x 1")
	drained := make(chan struct{})
	go func() { e.Drain(context.Background(), time.Minute); close(drained) }()
	<-resting.ended
	if e.Ready() {
		t.Error("a draining entry says that it is ready")
	}
	if a := busy.ask("3", statement.Commit, "COMMIT"); a.Outcome != statement.Done {
		t.Errorf("a commit during the planned stop was answered with %q", a.Outcome)
	}
	select {
	case <-drained:
	case <-time.After(20 * time.Second):
		t.Error("the planned stop does not end")
	}
}
