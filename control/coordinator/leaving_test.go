package coordinator_test

import (
	"context"
	"testing"
	"time"

	"lentilwind.dev/control/coordinator"
	"lentilwind.dev/instance/logs"
	"lentilwind.dev/instance/peer"
	"lentilwind.dev/lentilwind/fleet"
)

// leavingServer returns a database as control sends it to an entry that asks for the first time, once control says that it leaves.
func leavingServer(t *testing.T, address, name string) fleet.Server {
	t.Helper()
	client := peer.NewClient("entry")
	var found fleet.Server
	eventually(t, name+" leaves", func() bool {
		var reply fleet.RenewReply
		request := fleet.RenewRequest{Entry: fleet.Entry{Name: "entry", DataCentre: "near", Address: "127.0.0.1:9"}}
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		if err := client.Call(ctx, address, fleet.KindRenew, request, &reply); err != nil || reply.Roster == nil {
			return false
		}
		for _, s := range reply.Roster.Servers {
			if string(s.Name) == name && s.Leaving {
				found = s
				return true
			}
		}
		return false
	})
	return found
}

// Guards against an entry that hears late that a database leaves and is not told since when, and against a new leader that counts from when it
// hears of it, although a former one has acknowledged it before.
func TestEntriesAreToldSinceWhenADatabaseLeaves(t *testing.T) {
	g := newDatabaseGroup("a", "b", "c")
	g.refuse = true
	dir := t.TempDir()
	stop, address := startServingControl(t, g, dir)
	before := time.Now()
	g.update("a", func(a *memoryDatabase) { a.leaving = true })
	leavingServer(t, address, "a")
	heard := time.Now()
	const pause = 300 * time.Millisecond
	time.Sleep(pause)
	if s := leavingServer(t, address, "a"); s.LeavingFor < pause || s.LeavingFor > time.Since(before) {
		t.Errorf("%v after it was heard of, a database is said to have been leaving for %v", time.Since(heard), s.LeavingFor)
	}
	stop()
	_, address = startServingControl(t, g, dir)
	if s := leavingServer(t, address, "a"); s.LeavingFor != 0 {
		t.Errorf("a new leader says that a database has been leaving for %v, which it can't know", s.LeavingFor)
	}
}

// Guards against an acknowledgement that a leader has not stored: its successor would let the drain time begin anew.
func TestLeavingIsStoredBeforeItIsAcknowledged(t *testing.T) {
	g := newDatabaseGroup("a", "b", "c")
	g.refuse = true
	dir := t.TempDir()
	stop, _ := startServingControl(t, g, dir)
	g.update("a", func(a *memoryDatabase) { a.leaving = true })
	eventually(t, "the announcement is acknowledged", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.databases["a"].acknowledged
	})
	stop()
	_, address := startServingControl(t, g, dir)
	if s := leavingServer(t, address, "a"); s.LeavingFor != 0 {
		t.Errorf("a new leader says that a database has been leaving for %v, which it can't know", s.LeavingFor)
	}
}

// Guards against a database that leaves, finds no leader during an election, and stops without an acknowledgement.
func TestLeavingWaitsForTheNextLeader(t *testing.T) {
	c := coordinator.New(coordinator.Config{
		Instance: "control", Address: "127.0.0.1:9", RereadSeeds: func() []string { return nil }, DecodePolicy: decodePolicy,
		Client: peer.NewClient("control"), Log: logs.Discard(), Now: time.Now,
	})
	leaving := fleet.Server{Name: "a", Service: "stock", Address: "127.0.0.1:5000", DataCentre: "near", Incarnation: 1, Sequence: 1, Leaving: true, Slots: 3}
	start := time.Now()
	if err := c.Announce(context.Background(), leaving); err == nil || time.Since(start) < 500*time.Millisecond {
		t.Errorf("without a leader, the leaving of a database was answered after %v: %v", time.Since(start), err)
	}
	staying := leaving
	staying.Leaving = false
	start = time.Now()
	if err := c.Announce(context.Background(), staying); err == nil || time.Since(start) > 500*time.Millisecond {
		t.Errorf("without a leader, an announcement was answered after %v: %v", time.Since(start), err)
	}
}
