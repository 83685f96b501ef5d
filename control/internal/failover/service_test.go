package failover_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"lentilwind.dev/bench/database"
	"lentilwind.dev/lentilwind/catalog"
	corefailover "lentilwind.dev/lentilwind/failover"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// maxFailoverGap is the longest acceptable failover.
const maxFailoverGap = 19 * time.Second

// checkNoLostWrites checks that the current primary has every acknowledged write exactly once.
func (c *client) checkNoLostWrites(t testing.TB) {
	t.Helper()
	c.mu.Lock()
	all := slices.Clone(c.acked)
	c.mu.Unlock()
	config := c.fleet.topology()
	conn, err := c.fleet.writer(c.fleet.ctx, config)
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
			t.Errorf("write %s, acknowledged in term %d, found %d times in term %d", a.id, a.term, present[a.id], config.Term)
		}
	}
}

// startHealthyFleet starts a fleet and a client, and waits until the first group accepts writes.
func startHealthyFleet(t testing.TB, processes int) (*fleet, *client, group.Configuration) {
	t.Helper()
	f := startFleet(t, processes)
	config := f.awaitPrimary(0)
	f.awaitFollowers()
	c := f.startClient()
	f.await("writes", func() bool { return c.ackedCount() >= 20 })
	return f, c, config
}

func (c *client) awaitFailover(t testing.TB, term group.Term) time.Duration {
	t.Helper()
	var gap time.Duration
	c.fleet.await("a write acknowledged by the next primary", func() bool {
		var over bool
		gap, over = c.failoverGap(term)
		return over
	})
	t.Logf("failover gap %s", gap.Round(time.Millisecond))
	if gap > maxFailoverGap {
		t.Errorf("failover gap %s exceeds %s", gap, maxFailoverGap)
	}
	return gap
}

func TestKilledPrimaryIsReplaced(t *testing.T) {
	f, c, config := startHealthyFleet(t, 1)
	f.kill(config.Primary)
	c.awaitFailover(t, config.Term)
	c.checkNoLostWrites(t)
	n := f.nodes[config.Primary]
	f.open(n)
	if err := n.server.Restart(); err != nil {
		t.Fatal(err)
	}
	f.awaitFollowers()
	c.checkNoLostWrites(t)
}

func TestIsolatedPrimaryRejoinsAndDropsUnconfirmedWrites(t *testing.T) {
	f, c, config := startHealthyFleet(t, 1)
	old := f.nodes[config.Primary]
	before, _ := old.server.Status(0)
	f.setCutOff(config.Primary, true)
	tail, err := f.directWriter(old, config)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = tail.Close(context.Background()) }()
	for _, id := range []string{"tail-1", "tail-2", "tail-3"} {
		if _, err := tail.Exec(f.ctx, "INSERT INTO journal (id, key, value) VALUES ($1, 'k', 1)", id); err != nil {
			t.Fatal(err)
		}
	}
	c.awaitFailover(t, config.Term)
	f.setCutOff(config.Primary, false)
	f.awaitFollowers()
	if after, _ := old.server.Status(0); after.Role != group.RoleReplica || after.Term <= before.Term {
		t.Errorf("old primary did not become a replica: %s", after)
	}
	if _, err := tail.Exec(f.ctx, "INSERT INTO journal (id, key, value) VALUES ('tail-4', 'k', 1)"); err == nil {
		t.Error("the replaced primary accepted a write")
	}
	c.checkNoLostWrites(t)
}

func TestPrimaryThatReachesNoReplicaIsReplaced(t *testing.T) {
	f, c, config := startHealthyFleet(t, 1)
	f.nodes[config.Primary].server.SetFaults(func(faults *database.Faults) { faults.PauseReplication = true })
	c.awaitFailover(t, config.Term)
	c.checkNoLostWrites(t)
}

func TestLeavingPrimaryHandsOver(t *testing.T) {
	f, c, config := startHealthyFleet(t, 1)
	f.nodes[config.Primary].server.Leave()
	c.awaitFailover(t, config.Term)
	f.await("the leaving server may stop", func() bool {
		select {
		case <-f.nodes[config.Primary].server.Stopped():
			return true
		default:
			return false
		}
	})
	c.checkNoLostWrites(t)
}

func TestNewLeaderResumesInterruptedFailover(t *testing.T) {
	startsTerm := func(command catalog.Command) bool {
		return command.SetGroup != nil && command.SetGroup.Configuration.Primary == ""
	}
	setsPrimary := func(command catalog.Command) bool {
		return command.SetGroup != nil && command.SetGroup.Configuration.Primary != ""
	}
	steps := map[string]func(*store, func(catalog.Command) bool){
		"before": func(s *store, at func(catalog.Command) bool) { s.failBefore = at },
		"after":  func(s *store, at func(catalog.Command) bool) { s.failAfter = at },
	}
	kinds := map[string]func(catalog.Command) bool{"begin": startsTerm, "appoint": setsPrimary}
	for when, set := range steps {
		for kind, matches := range kinds {
			t.Run(when+" "+kind, func(t *testing.T) {
				t.Parallel()
				f, c, config := startHealthyFleet(t, 2)
				f.store.mu.Lock()
				set(f.store, func(command catalog.Command) bool {
					hit := matches(command) && command.SetGroup.Configuration.Group == slot0
					if hit {
						f.store.failBefore, f.store.failAfter = nil, nil
					}
					return hit
				})
				f.store.onFail = func() { f.store.setLeader(f.processes[1].ledger) }
				f.store.mu.Unlock()
				f.kill(config.Primary)
				c.awaitFailover(t, config.Term)
				c.checkNoLostWrites(t)
			})
		}
	}
}

func TestNewLeaderProbesUnannouncedPrimary(t *testing.T) {
	detector := corefailover.DefaultDetectorConfig()
	// With these timeouts only a refused probe can detect that the primary has failed.
	detector.SilentTimeout, detector.StuckTimeout = time.Hour, time.Hour
	f := startFleetWith(t, 2, detector)
	config := f.awaitPrimary(0)
	f.awaitFollowers()
	c := f.startClient()
	f.await("writes", func() bool { return c.ackedCount() >= 20 })
	f.kill(config.Primary)
	f.store.setLeader(f.processes[1].ledger)
	c.awaitFailover(t, config.Term)
	c.checkNoLostWrites(t)
}

func TestNoPromotionWithoutMajority(t *testing.T) {
	f, c, config := startHealthyFleet(t, 1)
	for _, name := range serverNames {
		if name != config.Primary {
			f.setCutOff(name, true)
		}
	}
	f.kill(config.Primary)
	before := c.ackedCount()
	f.await("all servers are silent", func() bool { return f.countSilentServers() == len(serverNames) })
	if now := f.topology(); now.Primary != "" && now.Primary != config.Primary {
		t.Errorf("%s was promoted without a majority", now.Primary)
	}
	if c.ackedCount() != before {
		t.Error("a write was acknowledged without a majority")
	}
	for _, name := range serverNames {
		if name != config.Primary {
			f.setCutOff(name, false)
		}
	}
	c.awaitFailover(t, config.Term)
	c.checkNoLostWrites(t)
}

func TestMembersChangeOneAtATimeAndOnlyWhenCaughtUp(t *testing.T) {
	f, _, config := startHealthyFleet(t, 1)
	change := func(names ...group.Server) int {
		next := *f.processes[0].ledger.State().Inventory()
		next.Services = slices.Clone(next.Services)
		next.Services[0].Databases = nil
		for _, name := range names {
			next.Services[0].Databases = append(next.Services[0].Databases, inventory.Database{Name: name, DataCentre: "dc1"})
		}
		return len(f.processes[0].failover.CheckMemberChanges(f.ctx, &next))
	}
	a, b, c := serverNames[0], serverNames[1], serverNames[2]
	if change(a, b, c) != 0 || change(a, b, c, "new") != 0 || change(a, b) != 0 {
		t.Error("a change of one member was rejected")
	}
	if change(a, b, "new") == 0 || change(a) == 0 {
		t.Error("a change of two members was accepted")
	}
	for _, name := range serverNames {
		if name != config.Primary {
			f.setCutOff(name, true)
		}
	}
	if change(a, b, c, "new") == 0 {
		t.Error("a change was accepted although no majority has caught up")
	}
}

func TestHealthyFleetIsNotPolled(t *testing.T) {
	f, _, _ := startHealthyFleet(t, 1)
	announcements := func() int {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.announced
	}
	before, requests := announcements(), f.processes[0].monitor.RequestCount()
	f.await("announcements", func() bool { return announcements() >= before+4*len(serverNames) })
	if sent := f.processes[0].monitor.RequestCount() - requests; sent != 0 {
		t.Errorf("%d requests to databases of a healthy fleet", sent)
	}
}

// BenchmarkFailoverGap reports the time from the last acknowledged write before a fault to the first one after it.
func BenchmarkFailoverGap(b *testing.B) {
	faults := map[string]func(*fleet, group.Server){
		"kill":     (*fleet).kill,
		"cut":      func(f *fleet, name group.Server) { f.setCutOff(name, true) },
		"handover": func(f *fleet, name group.Server) { f.nodes[name].server.Leave() },
	}
	for name, fault := range faults {
		b.Run(name, func(b *testing.B) {
			var gaps []time.Duration
			for range b.N {
				f, c, config := startHealthyFleet(b, 1)
				fault(f, config.Primary)
				gaps = append(gaps, c.awaitFailover(b, config.Term))
				c.checkNoLostWrites(b)
				f.stop()
			}
			slices.Sort(gaps)
			b.ReportMetric(float64(gaps[len(gaps)/2].Milliseconds()), "p50-ms")
			b.ReportMetric(float64(gaps[len(gaps)-1].Milliseconds()), "worst-ms")
		})
	}
}

func TestPrimariesOfNewFleetAreBalanced(t *testing.T) {
	f, _, _ := startHealthyFleet(t, 1)
	loads := make(map[group.Server]int)
	f.await("a primary of each group", func() bool {
		clear(loads)
		for _, configuration := range f.processes[0].roster.Topology(protocol.TopologyVersion{}).Groups {
			if configuration.Primary != "" {
				loads[configuration.Primary]++
			}
		}
		return loads[serverNames[0]]+loads[serverNames[1]]+loads[serverNames[2]] == len(serverNames)
	})
	if len(loads) != len(serverNames) {
		t.Errorf("primaries of %d groups are not balanced: %v", len(serverNames), loads)
	}
}
