package lease_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/lease"
)

var epoch = time.Unix(1000, 0)

func TestInForceWaitsForAppliedOrExpiredLeases(t *testing.T) {
	g := lease.NewGrants(epoch, lease.Duration)
	now := epoch.Add(10 * time.Second)
	g.Grant("a", now, 1)
	g.Grant("b", now, 1)
	if inForce, waiting, _ := g.InForce(now, 2); inForce || len(waiting) != 2 {
		t.Errorf("got %v, %v", inForce, waiting)
	}
	g.Grant("a", now, 2)
	g.ReportApplied("a", 2)
	if inForce, waiting, _ := g.InForce(now, 2); inForce || len(waiting) != 1 || waiting[0] != "b" {
		t.Errorf("got %v, %v", inForce, waiting)
	}
	g.Grant("b", now.Add(time.Second), 2)
	_, _, until := g.InForce(now, 2)
	if inForce, _, _ := g.InForce(until, 2); !inForce || until.Sub(now) < lease.Duration {
		t.Errorf("revision 2 is not in force after %v, or leases end too early", until.Sub(now))
	}
}

func TestNewLeaderWaitsForLeasesOfPreviousLeader(t *testing.T) {
	g := lease.NewGrants(epoch, lease.Duration)
	if inForce, _, _ := g.InForce(epoch.Add(lease.Duration), 1); inForce {
		t.Error("in force while leases of the previous leader may still be valid")
	}
	if inForce, _, _ := g.InForce(epoch.Add(lease.Duration*11/10), 1); !inForce {
		t.Error("not in force after all leases of the previous leader have expired")
	}
}

// A revision must not be reported as in force while an entry still acts on an older one. The clocks of the entries drift,
// and a third of the replies are lost.
func TestInForceNeverReportedTooEarly(t *testing.T) {
	type entry struct {
		name   inventory.InstanceName
		rate   float64
		holder lease.Holder
	}
	inForceCount := 0
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		g := lease.NewGrants(epoch, lease.Duration)
		entries := []*entry{{name: "a"}, {name: "b"}, {name: "c"}}
		for _, e := range entries {
			e.rate = 0.955 + 0.09*random.Float64()
		}
		revision := inventory.Revision(1)
		elapsed := time.Duration(0)
		for range 400 {
			elapsed += time.Duration(random.Int64N(int64(200 * time.Millisecond)))
			localTime := func(rate float64, d time.Duration) time.Time { return epoch.Add(time.Duration(float64(d) * rate)) }
			now := localTime(1, elapsed)
			if random.IntN(30) == 0 {
				revision++
			}
			e := entries[random.IntN(len(entries))]
			g.ReportApplied(e.name, e.holder.Revision())
			granted := g.Grant(e.name, now, revision)
			if random.IntN(3) > 0 {
				e.holder.Extend(localTime(e.rate, elapsed), granted, revision)
			}
			inForce, _, _ := g.InForce(now, revision)
			for _, e := range entries {
				if inForce && e.holder.Valid(localTime(e.rate, elapsed)) && e.holder.Revision() < revision {
					t.Fatalf("seed %d: entry %s acts on revision %d while %d is reported as in force", seed, e.name, e.holder.Revision(), revision)
				}
			}
			if inForce {
				inForceCount++
			}
		}
	}
	if inForceCount == 0 {
		t.Error("no revision was ever in force")
	}
}

func TestHolderIgnoresGrantsForOlderRevisions(t *testing.T) {
	var h lease.Holder
	h.Extend(epoch, lease.Duration, 5)
	if h.Extend(epoch.Add(time.Second), lease.Duration, 4) || h.Revision() != 5 {
		t.Error("a grant for an older revision was accepted")
	}
	if h.Valid(epoch.Add(lease.Duration)) || !h.Valid(epoch.Add(lease.Duration-1)) {
		t.Error("the lease is not measured from when it was requested")
	}
}
