package proxy_test

import (
	"context"
	"testing"
	"time"

	"lentilwind.dev/instance/peer"
	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/policy"
	"lentilwind.dev/lentilwind/statement"
)

func TestWriteWithoutAnswerTimesOutAndIsNotRetried(t *testing.T) {
	d := newDatabases("a", "b")
	c, _ := newEntry(t, "e", d, nil).open("orders", "key")
	d.update(func(s map[group.Server]*server) { s["a"].unresponsive = true })
	if a := c.execute("w1", statement.Write, "WRITE x 1"); a.Outcome != statement.TimedOut {
		t.Errorf("the client was told %q", a.Outcome)
	}
	if n := d.runCount("w1"); n != 1 {
		t.Errorf("the write ran %d times", n)
	}
}

func TestWriteRefusedByReplicaIsRetriedOnPrimary(t *testing.T) {
	d := newDatabases("a", "b")
	c, _ := newEntry(t, "e", d, nil).open("orders", "key")
	d.update(func(s map[group.Server]*server) { s["a"].primary, s["b"].primary = false, true })
	if a := c.execute("w1", statement.Write, "WRITE x 1"); a.Outcome != statement.Done {
		t.Errorf("the client was told %q: %s", a.Outcome, a.Detail)
	}
}

func TestLatestReadConfirmsPrimaryFirst(t *testing.T) {
	d := newDatabases("a", "b")
	c, _ := newEntry(t, "e", d, nil).open("orders", "key")
	d.update(func(s map[group.Server]*server) { s["a"].primary, s["b"].primary = false, true })
	a := c.execute("r1", statement.Read, "READ x")
	if a.Outcome != statement.Done || a.Rows[0] != "b" || a.State != statement.Idle {
		t.Errorf("the read was answered with %+v", a)
	}
	if n := d.runCount("r1"); n != 1 {
		t.Errorf("the read ran %d times; a former primary must not run it", n)
	}
}

// A read is sent together with a rollback. If the answer to the read is lost, the answer to the rollback must not be taken for it.
func TestReadIsNotAnsweredWithNextAnswerOnConnection(t *testing.T) {
	d := newDatabases("a")
	c, _ := newEntry(t, "e", d, nil).open("orders", "key")
	d.update(func(servers map[group.Server]*server) { servers["a"].lostReads = 1 })
	if got := c.execute("1", statement.Read, "READ x"); got.Outcome != statement.Done || len(got.Rows) != 1 || got.Signature != "sig" {
		t.Errorf("the read was answered with %+v", got)
	}
	if n := d.runCount("1"); n != 2 {
		t.Errorf("the read ran %d times, want 2", n)
	}
}

func TestOwnWritesReadSkipsReplicasBehindSession(t *testing.T) {
	d := newDatabases("a", "b", "c")
	c, _ := newEntry(t, "e", d, nil).open("counts", "key")
	for range 20 {
		c.execute("w", statement.Write, "WRITE x 1")
		if a := c.execute("r", statement.Read, "READ x"); a.Outcome != statement.Done || a.Rows[0] != "a" {
			t.Fatalf("a replica without the session's write answered: %+v", a)
		}
	}
}

func TestSlowReadIsHedged(t *testing.T) {
	d := newDatabases("a", "b", "c")
	e := newEntry(t, "e", d, nil)
	c, _ := e.open("shelves", "")
	c.execute("w", statement.Read, "READ x")
	d.update(func(s map[group.Server]*server) { s["b"].slow, s["c"].slow = 5*time.Second, 5*time.Second })
	if a := c.execute("r", statement.Read, "READ x"); a.Outcome != statement.Done || a.Rows[0] != "a" {
		t.Errorf("with slow replicas the read was answered with %+v", a)
	}
}

func TestTransactionIsAbortedWhenConnectionIsLost(t *testing.T) {
	d := newDatabases("a", "b")
	c, _ := newEntry(t, "e", d, nil).open("orders", "key")
	c.execute("1", statement.Begin, "BEGIN")
	c.execute("2", statement.Write, "WRITE x 1")
	d.update(func(s map[group.Server]*server) { s["a"].unreachable = true })
	if a := c.execute("3", statement.Write, "WRITE y 1"); a.Outcome != statement.Aborted || a.State != statement.Failed {
		t.Errorf("the client was told %q in state %q", a.Outcome, a.State)
	}
	if a := c.execute("4", statement.Commit, "COMMIT"); a.Outcome != statement.Aborted || a.State != statement.Idle {
		t.Errorf("the commit was answered with %q in state %q", a.Outcome, a.State)
	}
	if n := d.runCount("4"); n != 0 {
		t.Error("the commit of a lost transaction reached a database")
	}
}

// Guards against stale reads after a failover: databases commit a transaction that wrote nothing also when they have been replaced.
func TestCommitWithoutWritesProvesNoPrimary(t *testing.T) {
	d := newDatabases("a", "b", "c")
	e := newEntry(t, "e", d, nil)
	tx, _ := e.open("orders", "key")
	tx.execute("1", statement.Begin, "BEGIN")
	if a := tx.execute("2", statement.Read, "READ x"); a.Outcome != statement.Done {
		t.Fatalf("the read was answered with %q: %s", a.Outcome, a.Detail)
	}
	proved := time.Now()
	d.update(func(s map[group.Server]*server) { s["a"].primary, s["b"].primary, s["b"].position = false, true, 7 })
	time.Sleep(testStaleness / 2)
	if a := tx.execute("3", statement.Commit, "COMMIT"); a.Outcome != statement.Done {
		t.Errorf("the commit was answered with %q: %s", a.Outcome, a.Detail)
	}
	time.Sleep(time.Until(proved.Add(testStaleness)))
	bounded, _ := e.open("shelves", "")
	for range 20 {
		if a := bounded.execute("4", statement.Read, "READ x"); a.Outcome != statement.Done || a.Rows[0] != "b" {
			t.Fatalf("a bounded read was answered with %q by %v, which lack the successor's write", a.Outcome, a.Rows)
		}
	}
}

func TestWithdrawnKeyIsRefusedAndOpenRouteNeedsNoKey(t *testing.T) {
	d := newDatabases("a", "b")
	e := newEntry(t, "e", d, nil)
	e.ExtendLease(time.Now())
	other := newEntry(t, "f", d, nil)
	other.SetPolicy(testPolicy(t, 2, "another"))
	keyed, _ := other.open("orders", "another")
	if a := keyed.execute("1", statement.Read, "READ x"); a.Outcome != statement.Done {
		t.Fatalf("with a lease: %q", a.Outcome)
	}
	other.SetPolicy(testPolicy(t, 3, "third"))
	if a := keyed.execute("2", statement.Read, "READ x"); a.Outcome != statement.BadKey {
		t.Errorf("a withdrawn key was answered with %q", a.Outcome)
	}
	if n := d.runCount("2"); n != 0 {
		t.Error("a request with a withdrawn key reached a database")
	}
	if _, a := other.open("orders", "another"); a.Outcome != statement.BadKey {
		t.Errorf("a session with a withdrawn key was answered with %q", a.Outcome)
	}
	open, a := other.open("shelves", "")
	if a.Outcome != statement.Done || open.execute("3", statement.Read, "READ x").Outcome != statement.Done {
		t.Error("an open route needs a key")
	}
}

// openTransaction starts a session and a transaction that has written.
func (e *entry) openTransaction(database policy.Database, key string) *clientConn {
	e.t.Helper()
	c, _ := e.open(database, key)
	c.execute("begin", statement.Begin, "BEGIN")
	if a := c.execute("first", statement.Write, "WRITE x 1"); a.Outcome != statement.Done {
		e.t.Fatalf("the write was answered with %q: %s", a.Outcome, a.Detail)
	}
	return c
}

// Guards against statements and commits that run with a withdrawn key, because their transaction was opened before.
func TestWithdrawnKeyEndsOpenTransactions(t *testing.T) {
	d := newDatabases("a")
	e := newEntry(t, "e", d, nil)
	writer, committer := e.openTransaction("orders", "key"), e.openTransaction("orders", "key")
	e.SetPolicy(testPolicy(t, 2, "another"))
	if a := writer.execute("1", statement.Write, "WRITE x 2"); a.Outcome != statement.BadKey || a.State != statement.Failed {
		t.Errorf("a write with a withdrawn key was answered with %q in state %q", a.Outcome, a.State)
	}
	if a := writer.execute("2", statement.Commit, "COMMIT"); a.Outcome != statement.Aborted || a.State != statement.Idle {
		t.Errorf("the commit of the failed transaction was answered with %q in state %q", a.Outcome, a.State)
	}
	if a := committer.execute("3", statement.Commit, "COMMIT"); a.Outcome != statement.BadKey || a.State != statement.Idle {
		t.Errorf("a commit with a withdrawn key was answered with %q in state %q", a.Outcome, a.State)
	}
	if a := committer.execute("4", statement.Begin, "BEGIN"); a.Outcome != statement.BadKey {
		t.Errorf("the next transaction was answered with %q", a.Outcome)
	}
	if n := d.runCount("1") + d.runCount("2") + d.runCount("3"); n != 0 {
		t.Errorf("%d statements with a withdrawn key ran", n)
	}
}

// Guards against requests with a withdrawn key on a route that was closed, at an entry that has lost control before it could learn of either.
func TestKeyIsNotAcceptedOnAnOpenRouteWithoutALease(t *testing.T) {
	const lease = 300 * time.Millisecond
	d := newDatabases("a")
	e := &entry{newUnconfigured(d), t}
	e.SetPolicy(testPolicy(t, 1, "key"))
	e.SetRoster(newRoster(d))
	e.ExtendLease(time.Now().Add(lease))
	single, _ := e.open("shelves", "key")
	if a := single.execute("0", statement.Read, "READ x"); a.Outcome != statement.Done {
		t.Fatalf("with a lease a read was answered with %q: %s", a.Outcome, a.Detail)
	}
	transaction := e.openTransaction("shelves", "key")
	time.Sleep(lease)
	if a := single.execute("1", statement.Read, "READ x"); a.Outcome != statement.Busy {
		t.Errorf("without a lease a read with a key was answered with %q", a.Outcome)
	}
	if a := transaction.execute("1", statement.Commit, "COMMIT"); a.Outcome != statement.Aborted {
		t.Errorf("without a lease a commit with a key was answered with %q", a.Outcome)
	}
	if _, a := e.open("shelves", "key"); a.Outcome != statement.Busy {
		t.Errorf("without a lease a session with a key was answered with %q", a.Outcome)
	}
	if n := d.runCount("1"); n != 0 {
		t.Errorf("%d statements with a key ran without a lease", n)
	}
	open, _ := e.open("shelves", "")
	if a := open.execute("2", statement.Read, "READ x"); a.Outcome != statement.Done {
		t.Errorf("without a lease a read without a key was answered with %q: %s", a.Outcome, a.Detail)
	}
}

// Guards against statements of open transactions at an entry that cannot know whether their key was withdrawn.
func TestLostLeaseEndsOpenTransactions(t *testing.T) {
	const lease = 300 * time.Millisecond
	d := newDatabases("a")
	e := &entry{newUnconfigured(d), t}
	e.SetPolicy(testPolicy(t, 1, "key"))
	e.SetRoster(newRoster(d))
	e.ExtendLease(time.Now().Add(lease))
	keyed, open := e.openTransaction("orders", "key"), e.openTransaction("shelves", "")
	time.Sleep(lease)
	if a := keyed.execute("1", statement.Read, "READ x"); a.Outcome != statement.Aborted || a.State != statement.Failed {
		t.Errorf("without a lease a read was answered with %q in state %q", a.Outcome, a.State)
	}
	if a := open.execute("2", statement.Commit, "COMMIT"); a.Outcome != statement.Done {
		t.Errorf("on a route without keys a commit was answered with %q: %s", a.Outcome, a.Detail)
	}
	if n := d.runCount("1"); n != 0 {
		t.Error("a read ran without a lease")
	}
}

// Guards against work for a workspace that has lost a key to another one.
func TestKeyOfAnotherWorkspaceEndsOpenTransactions(t *testing.T) {
	d := newDatabases("a")
	e := newEntry(t, "e", d, nil)
	c := e.openTransaction("orders", "key")
	moved := testPolicy(t, 2, "another")
	moved.WorkspacesByKey["key"] = &policy.Workspace{Name: "bakery", Unlimited: true}
	e.SetPolicy(moved)
	if a := c.execute("1", statement.Commit, "COMMIT"); a.Outcome != statement.Aborted || d.runCount("1") != 0 {
		t.Errorf("the commit was answered with %q and ran %d times", a.Outcome, d.runCount("1"))
	}
	if a := c.execute("2", statement.Write, "WRITE x 2"); a.Outcome != statement.Done {
		t.Errorf("a write for the other workspace was answered with %q: %s", a.Outcome, a.Detail)
	}
}

// Logging a refusal must not panic while there is no policy.
func TestSessionBeforeFirstLeaseIsRefused(t *testing.T) {
	d := newDatabases("a")
	e := newEntry(t, "e", d, nil)
	e.SetPolicy(testPolicy(t, 2, "key"))
	unconfigured := &entry{newUnconfigured(d), t}
	if _, a := unconfigured.open("orders", "key"); a.Outcome != statement.Busy {
		t.Errorf("before the first policy the client was told %q", a.Outcome)
	}
	unconfigured.SetPolicy(testPolicy(t, 2, "key"))
	if _, a := unconfigured.open("orders", "key"); a.Outcome != statement.Busy {
		t.Errorf("without a lease the client was told %q", a.Outcome)
	}
}

// After a restart of all processes, clients reconnect before control has a leader.
func TestSessionsWaitForTheFirstConfigurationAfterAStart(t *testing.T) {
	d := newDatabases("a")
	e := &entry{newUnconfigured(d), t}
	answers := make(chan statement.Answer, 20)
	for range cap(answers) {
		go func() {
			_, a := e.open("orders", "key")
			answers <- a
		}()
	}
	time.Sleep(50 * time.Millisecond)
	select {
	case a := <-answers:
		t.Fatalf("a session was answered with %q before the first configuration", a.Outcome)
	default:
	}
	e.SetPolicy(testPolicy(t, 2, "key"))
	e.ExtendLease(time.Now().Add(time.Minute))
	for range cap(answers) {
		select {
		case a := <-answers:
			if a.Outcome != statement.Done {
				t.Errorf("a session that waited was answered with %q", a.Outcome)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("a session was not answered after the first configuration")
		}
	}
}

// An entry that control does not reach after its start refuses at once, after a short time in which control may still come.
func TestSessionsAreRefusedAtOnceWhenNoConfigurationComes(t *testing.T) {
	d := newDatabases("a")
	e := &entry{newUnconfigured(d), t}
	time.Sleep(2600 * time.Millisecond)
	start := time.Now()
	if _, a := e.open("orders", "key"); a.Outcome != statement.Busy || time.Since(start) > time.Second {
		t.Errorf("the session was answered with %q after %v", a.Outcome, time.Since(start))
	}
}

func TestOlderPolicyIsIgnored(t *testing.T) {
	d := newDatabases("a")
	e := newEntry(t, "e", d, nil)
	e.SetPolicy(testPolicy(t, 5, "new"))
	e.SetPolicy(testPolicy(t, 4, "old"))
	if _, a := e.open("orders", "old"); a.Outcome != statement.BadKey {
		t.Error("an older policy was applied")
	}
}

// Work runs at the entry that owns a workspace's connections, and locally once that entry is gone.
func TestWorkIsForwardedToConnectionOwner(t *testing.T) {
	d := newDatabases("a")
	owner := newEntry(t, "home", d, nil)
	address, stop := owner.servePeers("127.0.0.1:0")
	client := peer.NewClient("far")
	defer client.Close()
	remote := newEntry(t, "far", d, client)
	entries := []fleet.Entry{{Name: "home", DataCentre: "near", Address: address}}
	remote.SetRoster(newRoster(d, entries...))
	owner.SetRoster(newRoster(d, entries...))
	ownerSession, _ := owner.open("orders", "key")
	remoteSession, _ := remote.open("orders", "key")
	for range 10 {
		ownerSession.execute("1", statement.Write, "WRITE x 1")
		remoteSession.execute("2", statement.Write, "WRITE x 2")
	}
	remoteSession.execute("3", statement.Begin, "BEGIN")
	remoteSession.execute("4", statement.Write, "WRITE x 3")
	if a := remoteSession.execute("5", statement.Commit, "COMMIT"); a.Outcome != statement.Done {
		t.Errorf("a forwarded commit was answered with %q: %s", a.Outcome, a.Detail)
	}
	if d.opened > 2 {
		t.Errorf("%d connections were opened for one workspace that writes one at a time", d.opened)
	}
	stop()
	for end := time.Now().Add(20 * time.Second); remoteSession.execute("6", statement.Write, "WRITE x 4").Outcome != statement.Done; {
		if time.Now().After(end) {
			t.Fatal("no request was served after the owner had stopped")
		}
	}
}

// leasedEntry returns an entry before databases that only leases fence, with server a as the primary until the lease ends.
func leasedEntry(t *testing.T, d *databases, lease time.Duration) *entry {
	t.Helper()
	e := newEntry(t, "e", d, nil)
	p := testPolicy(t, 2, "key")
	for _, s := range p.Services {
		s.Fencing = policy.FencedByLeases
	}
	e.SetPolicy(p)
	e.SetDesignations(designated(1, "a"))
	e.ExtendPrimaryLease(time.Now().Add(lease))
	return e
}

func designated(epoch fleet.Epoch, server group.Server) fleet.Designations {
	return fleet.Designations{Version: epoch, List: []fleet.Designation{{Service: "stock", Server: server, Epoch: epoch}}}
}

// The lease ends while the first statement of a transaction runs. Its rows may be of a replaced primary, so they must not be answered.
func TestTransactionThatOutlastsTheLeaseIsNotAnswered(t *testing.T) {
	d := newDatabases("a", "b")
	e := leasedEntry(t, d, 150*time.Millisecond)
	d.update(func(s map[group.Server]*server) { s["a"].slow = 300 * time.Millisecond })
	c, _ := e.open("orders", "key")
	c.execute("1", statement.Begin, "BEGIN")
	if a := c.execute("2", statement.Read, "READ x"); a.Outcome == statement.Done {
		t.Errorf("the read was answered with %v after the lease", a.Rows)
	}
	if a := c.execute("3", statement.Commit, "COMMIT"); a.Outcome == statement.Done {
		t.Error("the transaction was committed after the lease")
	}
}

// Another server is designated while a read of the newest state runs on the former primary. The read is repeated there.
func TestReadIsRepeatedOnTheSuccessor(t *testing.T) {
	d := newDatabases("a", "b")
	e := leasedEntry(t, d, time.Minute)
	d.update(func(s map[group.Server]*server) { s["a"].slow, s["b"].primary = 200*time.Millisecond, true })
	c, _ := e.open("orders", "key")
	time.AfterFunc(100*time.Millisecond, func() { e.SetDesignations(designated(2, "b")) })
	if a := c.execute("1", statement.Read, "READ x"); a.Outcome != statement.Done || a.Rows[0] != "b" {
		t.Errorf("the read was answered with %q, %v", a.Outcome, a.Rows)
	}
}

// A suspended primary may be replaced at any moment.
func TestNoWriteIsSentToARevokedPrimary(t *testing.T) {
	d := newDatabases("a", "b")
	e := leasedEntry(t, d, time.Minute)
	c, _ := e.open("orders", "key")
	if a := c.execute("1", statement.Write, "WRITE x 1"); a.Outcome != statement.Done {
		t.Fatalf("the write was answered with %q: %s", a.Outcome, a.Detail)
	}
	suspended := designated(2, "a")
	suspended.List[0].Suspended = true
	e.SetDesignations(suspended)
	if a := c.execute("2", statement.Write, "WRITE x 2"); a.Outcome == statement.Done || d.runCount("2") != 0 {
		t.Errorf("a write at a suspended primary was answered with %q and ran %d times", a.Outcome, d.runCount("2"))
	}
}

func TestDrainEndsIdleSessionsAndLetsTransactionsFinish(t *testing.T) {
	d := newDatabases("a")
	e := newEntry(t, "e", d, nil)
	idle, _ := e.open("orders", "key")
	busy, _ := e.open("orders", "key")
	busy.execute("1", statement.Begin, "BEGIN")
	busy.execute("2", statement.Write, "WRITE x 1")
	drained := make(chan struct{})
	go func() { e.Drain(context.Background(), time.Minute); close(drained) }()
	<-idle.ended
	if e.Ready() {
		t.Error("a draining entry reports that it is ready")
	}
	if a := busy.execute("3", statement.Commit, "COMMIT"); a.Outcome != statement.Done {
		t.Errorf("a commit during the shutdown was answered with %q", a.Outcome)
	}
	select {
	case <-drained:
	case <-time.After(20 * time.Second):
		t.Error("Drain did not return")
	}
}
