package proxy_test

import (
	"context"
	"net"
	"testing"
	"time"

	"lentilwind.dev/instance/logs"
	"lentilwind.dev/instance/peer"
	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/forward"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/statement"
)

// callTimeout bounds one forwarded piece of work in tests.
const callTimeout = 10 * time.Second

// ownAddress has an IP of its own, so that no outgoing connection gets its port while an entry restarts.
const ownAddress = "127.77.0.1:0"

// servePeers makes an entry accept forwarded work at an address until stop is called.
func (e *entry) servePeers(address string) (actual string, stop func()) {
	e.t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		e.t.Fatal(err)
	}
	server := peer.NewServer("home", logs.Discard())
	e.Register(server)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()
	return listener.Addr().String(), func() {
		cancel()
		if err := <-done; err != nil {
			e.t.Error(err)
		}
	}
}

// Guards against a statement that runs in another client's transaction, because the owner of both connections has restarted in between
// and used the connection's ID again.
func TestRestartedOwnerDoesNotContinueTransactionsOfItsFormerRun(t *testing.T) {
	d := newDatabases("a")
	client := peer.NewClient("far")
	defer client.Close()
	address, stop := newEntry(t, "home", d, nil).servePeers(ownAddress)
	remote := newEntry(t, "far", d, client)
	entries := []fleet.Entry{{Name: "home", DataCentre: "near", Address: address}}
	remote.SetRoster(newRoster(d, entries...))
	early, _ := remote.open("orders", "key")
	early.execute("e1", statement.Begin, "BEGIN")
	early.execute("e2", statement.Write, "WRITE x early")
	stop()

	restarted := newEntry(t, "home", d, nil)
	restarted.SetRoster(newRoster(d, entries...))
	_, stop = restarted.servePeers(address)
	defer stop()
	late, _ := restarted.open("orders", "key")
	late.execute("l1", statement.Begin, "BEGIN")
	if a := late.execute("l2", statement.Write, "WRITE x late"); a.Outcome != statement.Done {
		t.Fatalf("the late transaction was answered with %q: %s", a.Outcome, a.Detail)
	}
	if a := early.execute("e3", statement.Write, "WRITE y early"); a.Outcome != statement.Aborted {
		t.Errorf("a statement of a lost transaction was answered with %q", a.Outcome)
	}
	if a := early.execute("e4", statement.Commit, "COMMIT"); a.Outcome != statement.Aborted {
		t.Errorf("the commit of a lost transaction was answered with %q", a.Outcome)
	}
	if n := d.runCount("e3") + d.runCount("e4"); n != 0 {
		t.Errorf("%d statements of a lost transaction ran at a database", n)
	}
	if a := late.execute("l3", statement.Commit, "COMMIT"); a.Outcome != statement.Done {
		t.Errorf("the commit of the late transaction was answered with %q: %s", a.Outcome, a.Detail)
	}
}

// Guards against work of one workspace on a connection that a transaction of another workspace holds.
func TestHeldConnectionRefusesOtherWorkspaces(t *testing.T) {
	d := newDatabases("a")
	client := peer.NewClient("far")
	defer client.Close()
	address, stop := newEntry(t, "home", d, nil).servePeers("127.0.0.1:0")
	defer stop()
	begin := statement.Statement{ID: statement.ProxyID, Verb: statement.Begin}
	call := func(work forward.Work) (result forward.Result) {
		work.Service, work.Server, work.Timeout, work.MaxQueueWait = "stock", "a", callTimeout, callTimeout
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		if err := client.Call(ctx, address, forward.KindWork, work, &result); err != nil {
			t.Fatal(err)
		}
		return result
	}
	write := []statement.Statement{{ID: "w1", Verb: statement.Write, Text: "WRITE x 1"}}
	held := call(forward.Work{Workspace: "pottery", Begin: &begin, Statements: write, HoldConnection: true}).HeldConnection
	foreign := []statement.Statement{{ID: "w2", Verb: statement.Write, Text: "WRITE x 2"}}
	if result := call(forward.Work{Workspace: "bakery", Statements: foreign, HeldConnection: held}); result.Failure != forward.NotSent {
		t.Errorf("work of another workspace was answered with %+v", result)
	}
	commit := []statement.Statement{{ID: "c1", Verb: statement.Commit, Text: "COMMIT"}}
	if result := call(forward.Work{Workspace: "pottery", Statements: commit, HeldConnection: held, ReleaseHeld: true}); len(result.Answers) != 1 {
		t.Errorf("the commit of the holder was answered with %+v", result)
	}
	if n := d.runCount("w2"); n != 0 {
		t.Error("work of another workspace ran in the transaction")
	}
}

// Guards against an answer of unknown outcome, and a pause of all forwarding, for a statement whose text is not UTF-8.
func TestStatementOfAnyBytesIsForwarded(t *testing.T) {
	d := newDatabases("a")
	client := peer.NewClient("far")
	defer client.Close()
	address, stop := newEntry(t, "home", d, nil).servePeers("127.0.0.1:0")
	defer stop()
	remote := newEntry(t, "far", d, client)
	remote.SetRoster(newRoster(d, fleet.Entry{Name: "home", DataCentre: "near", Address: address}))
	c, _ := remote.open("orders", "key")
	const text = "WRITE x \xff\xfe"
	if a := c.execute("w1", statement.Write, text); a.Outcome != statement.Done {
		t.Errorf("the write was answered with %q: %s", a.Outcome, a.Detail)
	}
	d.update(func(servers map[group.Server]*server) {
		for _, st := range servers["a"].executed {
			if st.ID == "w1" && st.Text != text {
				t.Errorf("the database received %q", st.Text)
			}
		}
	})
	if n := d.runCount("w1"); n != 1 {
		t.Errorf("the write ran %d times", n)
	}
}
