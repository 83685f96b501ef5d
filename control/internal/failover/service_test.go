package failover_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"lentilwind.dev/lentilwind/catalog"
	"lentilwind.dev/lentilwind/group"
)

// gapLimit is the longest that a change of primary may take.
const gapLimit = 19 * time.Second

// checkNothingLost compares the rows of the newest primary with the writes that were acknowledged.
func (c *caller) checkNothingLost(t *testing.T) {
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
func calm(t *testing.T, processes int) (*fleet, *caller, group.Configuration) {
	t.Helper()
	f := startFleet(t, processes)
	to := f.awaitPrimary(0)
	f.awaitFollowers()
	c := f.startCaller()
	f.await("writes", func() bool { return c.count() >= 20 })
	return f, c, to
}

func (c *caller) awaitGap(t *testing.T, term group.Term) {
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
