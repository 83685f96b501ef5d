package failover_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"lentilwind.dev/bench/database"
	"lentilwind.dev/lentilwind/catalog"
	decisions "lentilwind.dev/lentilwind/failover"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// gapLimit is the longest that a change of primary may take.
const gapLimit = 19 * time.Second

// checkNothingLost compares the rows of the newest primary with the writes that were acknowledged.
func (c *caller) checkNothingLost(t testing.TB) {
	t.Helper()
	c.mu.Lock()
	all := slices.Clone(c.acked)
	c.mu.Unlock()
	to := c.fleet.topology()
	conn, err := c.fleet.writer(c.fleet.ctx, to)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close(context.Background()) }()
	rows, err := conn.Query(c.fleet.ctx, "SELECT id FROM journal WHERE key = 'k'")
	if err != nil {
		t.Fatal(err)
	}
	defer rows.Close()
	present := map[string]int{}
	for rows.Next() {
		var id string
		if err := rows.Scan(&id); err != nil {
			t.Fatal(err)
		}
		present[id]++
	}
	if err := rows.Err(); err != nil {
		t.Fatal(err)
	}
	for _, a := range all {
		if present[a.id] != 1 {
			t.Errorf("write %s, acknowledged in term %d, stands %d times in term %d", a.id, a.term, present[a.id], to.Term)
		}
	}
}

// calm starts a fleet in which the first group takes writes.
func calm(t testing.TB, processes int) (*fleet, *caller, group.Configuration) {
	t.Helper()
	f := startFleet(t, processes)
	to := f.awaitPrimary(0)
	f.awaitFollowers()
	c := f.startCaller()
	f.await("writes", func() bool { return c.count() >= 20 })
	return f, c, to
}

func (c *caller) awaitGap(t testing.TB, term group.Term) time.Duration {
	t.Helper()
	var gap time.Duration
	c.fleet.await("a write under the next primary", func() bool {
		var over bool
		gap, over = c.gap(term)
		return over
	})
	t.Logf("gap %s", gap.Round(time.Millisecond))
	if gap > gapLimit {
		t.Errorf("the gap of %s is above %s", gap, gapLimit)
	}
	return gap
}

func TestKilledPrimaryIsReplaced(t *testing.T) {
	f, c, to := calm(t, 1)
	f.kill(to.Primary)
	c.awaitGap(t, to.Term)
	c.checkNothingLost(t)
	n := f.nodes[to.Primary]
	f.open(n)
	if err := n.server.Restart(); err != nil {
		t.Fatal(err)
	}
	f.awaitFollowers()
	c.checkNothingLost(t)
}

func TestCutOffPrimaryReturnsWithATailAndFollows(t *testing.T) {
	f, c, to := calm(t, 1)
	old := f.nodes[to.Primary]
	before, _ := old.server.Status(0)
	f.cut(to.Primary, true)
	tail, err := f.directWriter(old, to)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = tail.Close(context.Background()) }()
	for _, id := range []string{"tail-1", "tail-2", "tail-3"} {
		if _, err := tail.Exec(f.ctx, "INSERT INTO journal (id, key, value) VALUES ($1, 'k', 1)", id); err != nil {
			t.Fatal(err)
		}
	}
	c.awaitGap(t, to.Term)
	f.cut(to.Primary, false)
	f.awaitFollowers()
	if after, _ := old.server.Status(0); after.Role != group.RoleReplica || after.Term <= before.Term {
		t.Errorf("the old primary is at %s", after)
	}
	if _, err := tail.Exec(f.ctx, "INSERT INTO journal (id, key, value) VALUES ('tail-4', 'k', 1)"); err == nil {
		t.Error("the replaced primary took a write")
	}
	c.checkNothingLost(t)
}

func TestPrimaryThatReachesNoReplicaIsReplaced(t *testing.T) {
	f, c, to := calm(t, 1)
	f.nodes[to.Primary].server.SetFaults(func(faults *database.Faults) { faults.PauseReplication = true })
	c.awaitGap(t, to.Term)
	c.checkNothingLost(t)
}

func TestLeavingPrimaryHandsOver(t *testing.T) {
	f, c, to := calm(t, 1)
	f.nodes[to.Primary].server.Leave()
	c.awaitGap(t, to.Term)
	f.await("the leaving server may stop", func() bool {
		select {
		case <-f.nodes[to.Primary].server.Stopped():
			return true
		default:
			return false
		}
	})
	c.checkNothingLost(t)
}

func TestNewLeaderResumesEveryStep(t *testing.T) {
	begins := func(command catalog.Command) bool {
		return command.SetGroup != nil && command.SetGroup.Configuration.Primary == ""
	}
	appoints := func(command catalog.Command) bool {
		return command.SetGroup != nil && command.SetGroup.Configuration.Primary != ""
	}
	steps := map[string]func(*store, func(catalog.Command) bool){
		"before": func(s *store, at func(catalog.Command) bool) { s.before = at },
		"after":  func(s *store, at func(catalog.Command) bool) { s.after = at },
	}
	kinds := map[string]func(catalog.Command) bool{"begin": begins, "appoint": appoints}
	for when, set := range steps {
		for kind, matches := range kinds {
			t.Run(when+" "+kind, func(t *testing.T) {
				t.Parallel()
				f, c, to := calm(t, 2)
				f.store.mu.Lock()
				set(f.store, func(command catalog.Command) bool {
					hit := matches(command) && command.SetGroup.Configuration.Group == slot0
					if hit {
						f.store.before, f.store.after = nil, nil
					}
					return hit
				})
				f.store.next = func() { f.store.lead(f.processes[1].ledger) }
				f.store.mu.Unlock()
				f.kill(to.Primary)
				c.awaitGap(t, to.Term)
				c.checkNothingLost(t)
			})
		}
	}
}

func TestNewLeaderProbesAPrimaryThatItNeverHeard(t *testing.T) {
	detector := decisions.DefaultDetectorConfig()
	// Only a refused probe can tell that the primary is dead.
	detector.SilentTimeout, detector.StuckTimeout = time.Hour, time.Hour
	f := startFleetWith(t, 2, detector)
	to := f.awaitPrimary(0)
	f.awaitFollowers()
	c := f.startCaller()
	f.await("writes", func() bool { return c.count() >= 20 })
	f.kill(to.Primary)
	f.store.lead(f.processes[1].ledger)
	c.awaitGap(t, to.Term)
	c.checkNothingLost(t)
}

func TestNoMajorityIsRefused(t *testing.T) {
	f, c, to := calm(t, 1)
	for _, name := range names {
		if name != to.Primary {
			f.cut(name, true)
		}
	}
	f.kill(to.Primary)
	before := c.count()
	f.await("all servers are silent", func() bool { return f.silentServers() == len(names) })
	if now := f.topology(); now.Primary != "" && now.Primary != to.Primary {
		t.Errorf("%s was promoted without a majority", now.Primary)
	}
	if c.count() != before {
		t.Error("a write was acknowledged without a majority")
	}
	for _, name := range names {
		if name != to.Primary {
			f.cut(name, false)
		}
	}
	c.awaitGap(t, to.Term)
	c.checkNothingLost(t)
}

func TestMembersChangeOneAtATimeAndOnlyWhenCaughtUp(t *testing.T) {
	f, _, to := calm(t, 1)
	change := func(names ...group.Server) int {
		next := *f.processes[0].ledger.State().Inventory()
		next.Services = slices.Clone(next.Services)
		next.Services[0].Databases = nil
		for _, name := range names {
			next.Services[0].Databases = append(next.Services[0].Databases, inventory.Database{Name: name, DataCentre: "dc1"})
		}
		return len(f.processes[0].failover.CheckMemberChanges(f.ctx, &next))
	}
	a, b, c := names[0], names[1], names[2]
	if change(a, b, c) != 0 || change(a, b, c, "new") != 0 || change(a, b) != 0 {
		t.Error("a change of one member was refused")
	}
	if change(a, b, "new") == 0 || change(a) == 0 {
		t.Error("a change of two members was accepted")
	}
	for _, name := range names {
		if name != to.Primary {
			f.cut(name, true)
		}
	}
	if change(a, b, c, "new") == 0 {
		t.Error("a change was accepted while no majority has caught up")
	}
}

func TestCalmFleetIsNotPolled(t *testing.T) {
	f, _, _ := calm(t, 1)
	announcements := func() int {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.announced
	}
	before, requests := announcements(), f.processes[0].monitor.Sent()
	f.await("announcements", func() bool { return announcements() >= before+4*len(names) })
	if sent := f.processes[0].monitor.Sent() - requests; sent != 0 {
		t.Errorf("%d requests to databases in calm", sent)
	}
}

// BenchmarkGap reports the time from the last acknowledged write before a fault to the first after it.
func BenchmarkGap(b *testing.B) {
	faults := map[string]func(*fleet, group.Server){
		"kill":     (*fleet).kill,
		"cut":      func(f *fleet, name group.Server) { f.cut(name, true) },
		"handover": func(f *fleet, name group.Server) { f.nodes[name].server.Leave() },
	}
	for name, fault := range faults {
		b.Run(name, func(b *testing.B) {
			var gaps []time.Duration
			for range b.N {
				f, c, to := calm(b, 1)
				fault(f, to.Primary)
				gaps = append(gaps, c.awaitGap(b, to.Term))
				c.checkNothingLost(b)
				f.stop()
			}
			slices.Sort(gaps)
			b.ReportMetric(float64(gaps[len(gaps)/2].Milliseconds()), "p50-ms")
			b.ReportMetric(float64(gaps[len(gaps)-1].Milliseconds()), "worst-ms")
		})
	}
}

func TestPrimariesOfANewFleetAreSpread(t *testing.T) {
	f, _, _ := calm(t, 1)
	loads := make(map[group.Server]int)
	f.await("a primary of each group", func() bool {
		clear(loads)
		for _, configuration := range f.processes[0].roster.Topology(protocol.TopologyVersion{}).Groups {
			if configuration.Primary != "" {
				loads[configuration.Primary]++
			}
		}
		return loads[names[0]]+loads[names[1]]+loads[names[2]] == len(names)
	})
	if len(loads) != len(names) {
		t.Errorf("the primaries of %d groups are %v", len(names), loads)
	}
}
