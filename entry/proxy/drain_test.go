package proxy_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lentilwind.dev/entry/proxy"
	"lentilwind.dev/instance/logs"
	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/statement"
)

const testDrainTime = 400 * time.Millisecond

// newDrainingEntry returns an entry that sends no new work to a database that has been leaving for testDrainTime.
func newDrainingEntry(t *testing.T, d *databases, roster fleet.Roster) *entry {
	t.Helper()
	p := proxy.New(proxy.Config{
		Instance: "e", DataCentre: "near", Connector: d, Admission: admitAll{}, Log: logs.Discard(), Now: time.Now, DrainTime: testDrainTime,
	})
	p.SetPolicy(testPolicy(t, 1, "key"))
	p.SetRoster(roster)
	p.ExtendLease(time.Now().Add(time.Hour))
	return &entry{p, t}
}

// leavingRoster returns a roster in which the primary has been leaving since the given time, or for an unknown time if that is zero.
func leavingRoster(d *databases, since time.Time) fleet.Roster {
	roster := newRoster(d)
	for i, s := range roster.Servers {
		if s.Primary {
			roster.Servers[i].Leaving, roster.Servers[i].LeavingSince = true, since
		}
	}
	return roster
}

// executedBy returns how many statements a server has run.
func (d *databases) executedBy(name group.Server) int {
	n := 0
	d.update(func(s map[group.Server]*server) { n = len(s[name].executed) })
	return n
}

// checkRefusedAtOnce checks that new work is refused long before its timeout, and that no server gets any of it.
func checkRefusedAtOnce(t *testing.T, d *databases, c *clientConn) {
	t.Helper()
	before, start := d.executedBy("a")+d.executedBy("b"), time.Now()
	for _, st := range []statement.Statement{{ID: "w", Verb: statement.Write, Text: "WRITE x 1"}, {ID: "r", Verb: statement.Read, Text: "READ x"}} {
		if a := c.send(st); a.Outcome != statement.Busy {
			t.Errorf("%s was answered with %q: %s", st.Text, a.Outcome, a.Detail)
		}
	}
	c.execute("b", statement.Begin, "BEGIN")
	if a := c.execute("f", statement.Read, "READ x"); a.Outcome != statement.Busy {
		t.Errorf("the first statement of a transaction was answered with %q: %s", a.Outcome, a.Detail)
	}
	c.execute("e", statement.Rollback, "ROLLBACK")
	if took := time.Since(start); took > time.Second/2 {
		t.Errorf("the refusals took %v", took)
	}
	if n := d.executedBy("a") + d.executedBy("b") - before; n != 0 {
		t.Errorf("the databases ran %d statements", n)
	}
}

// Guards against requests that reach a primary after it may have stopped, when nothing can replace it.
func TestLeavingPrimaryGetsNoNewWorkAfterItsDrainTime(t *testing.T) {
	d := newDatabases("a", "b")
	e := newDrainingEntry(t, d, newRoster(d))
	c, _ := e.open("orders", "key")
	open, _ := e.open("orders", "key")
	began := time.Now()
	e.SetRoster(leavingRoster(d, began))
	if a := c.execute("w1", statement.Write, "WRITE x 1"); a.Outcome != statement.Done {
		t.Errorf("within the drain time a write was answered with %q: %s", a.Outcome, a.Detail)
	}
	open.execute("b1", statement.Begin, "BEGIN")
	open.execute("w2", statement.Write, "WRITE x 2")
	time.Sleep(time.Until(began.Add(testDrainTime)))
	checkRefusedAtOnce(t, d, c)
	if a := open.execute("c1", statement.Commit, "COMMIT"); a.Outcome != statement.Done {
		t.Errorf("the commit of an open transaction was answered with %q: %s", a.Outcome, a.Detail)
	}
	d.update(func(s map[group.Server]*server) { s["a"].primary, s["b"].primary = false, true })
	e.SetRoster(newRoster(d))
	if a := c.execute("w3", statement.Write, "WRITE x 3"); a.Outcome != statement.Done {
		t.Errorf("after the promotion a write was answered with %q: %s", a.Outcome, a.Detail)
	}
}

// Guards against an entry that starts while a primary leaves and counts its drain time anew.
func TestPrimaryThatWasLeavingAtTheStartGetsNoWork(t *testing.T) {
	d := newDatabases("a", "b")
	c, _ := newDrainingEntry(t, d, leavingRoster(d, time.Time{})).open("orders", "key")
	checkRefusedAtOnce(t, d, c)
}

// Guards against an entry that counts the drain time from when it hears that a primary leaves: one that stood still hears of it late.
func TestDrainTimeBeginsWithTheAnnouncement(t *testing.T) {
	d := newDatabases("a", "b")
	e := newDrainingEntry(t, d, newRoster(d))
	c, _ := e.open("orders", "key")
	began := time.Now().Add(-testDrainTime / 2)
	e.SetRoster(leavingRoster(d, began))
	if a := c.execute("w1", statement.Write, "WRITE x 1"); a.Outcome != statement.Done {
		t.Errorf("within the drain time a write was answered with %q: %s", a.Outcome, a.Detail)
	}
	// A later leader does not know since when the primary has been leaving, and another one may have heard of it later.
	e.SetRoster(leavingRoster(d, time.Time{}))
	e.SetRoster(leavingRoster(d, time.Now()))
	time.Sleep(time.Until(began.Add(testDrainTime)))
	checkRefusedAtOnce(t, d, c)
	e.SetRoster(newRoster(d))
	e.SetRoster(leavingRoster(d, time.Now()))
	if a := c.execute("w2", statement.Write, "WRITE x 2"); a.Outcome != statement.Done {
		t.Errorf("when the primary leaves a second time, a write was answered with %q: %s", a.Outcome, a.Detail)
	}
}

// Guards against work that waits for its turn at a primary that leaves, and is sent after the drain time.
func TestWaitingWorkIsNotSentAfterTheDrainTime(t *testing.T) {
	const crowd, readTime = 60, 40 * time.Millisecond
	d := newDatabases("a")
	d.update(func(s map[group.Server]*server) { s["a"].slow = readTime })
	e := newDrainingEntry(t, d, newRoster(d))
	e.SetPolicy(prioritizedPolicy(t))
	began := time.Now()
	e.SetRoster(leavingRoster(d, began))
	var callers sync.WaitGroup
	var refused atomic.Int64
	for n := range crowd {
		c, _ := e.open("patient", "")
		callers.Go(func() {
			if c.execute(statement.ID(fmt.Sprint(n)), statement.Read, "READ x").Outcome == statement.Busy {
				refused.Add(1)
			}
		})
	}
	time.Sleep(time.Until(began.Add(testDrainTime + readTime/2)))
	before := d.executedBy("a")
	callers.Wait()
	if n := d.executedBy("a") - before; n > 0 {
		t.Errorf("%d statements were sent after the drain time", n)
	}
	if refused.Load() == 0 {
		t.Error("no request was waiting when the drain time ended")
	}
}
