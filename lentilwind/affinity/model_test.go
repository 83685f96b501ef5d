package affinity_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lentilwind.dev/lentilwind/affinity"
	"lentilwind.dev/lentilwind/group"
)

var start = time.Unix(1_000_000, 0)

func TestWindowGroupsFailures(t *testing.T) {
	w := affinity.NewFailureWindow(3 * time.Second)
	w.Add(start, "b")
	w.Add(start.Add(time.Second), "a")
	w.Add(start.Add(time.Second), "b")
	if early := w.Close(start.Add(2 * time.Second)); early != nil {
		t.Errorf("closed early with %v", early)
	}
	if diff := cmp.Diff([]group.Server{"a", "b"}, w.Close(start.Add(3*time.Second))); diff != "" {
		t.Error(diff)
	}
	if again := w.Close(start.Add(time.Hour)); again != nil {
		t.Errorf("closed twice with %v", again)
	}
}

func TestCorrelationRisesAndDecays(t *testing.T) {
	cfg := affinity.DefaultConfig()
	m := affinity.New(cfg)
	m.RecordFailure(start, []group.Server{"a", "b"})
	once := m.Correlation(start, "a", "b")
	m.RecordFailure(start, []group.Server{"a", "b"})
	twice := m.Correlation(start, "b", "a")
	m.RecordFailure(start, []group.Server{"a"})
	afterSingleFailure := m.Correlation(start, "a", "b")
	later := m.Correlation(start.Add(2*cfg.HalfLife), "a", "b")
	if once <= 0 || twice <= once || afterSingleFailure >= twice || later >= afterSingleFailure || later <= 0 {
		t.Errorf("got %v, %v, %v, %v", once, twice, afterSingleFailure, later)
	}
	if diff := cmp.Diff([]group.Server{"b"}, m.FailsWith(start, "a")); diff != "" {
		t.Error(diff)
	}
}

func TestMemoryIsBounded(t *testing.T) {
	cfg := affinity.DefaultConfig()
	cfg.MaxPairs, cfg.MaxServers = 64, 32
	m := affinity.New(cfg)
	for range 5 {
		m.RecordFailure(start, []group.Server{"kept-1", "kept-2"})
	}
	for i := range 1000 {
		at := start.Add(time.Duration(i) * time.Second)
		m.RecordFailure(at, []group.Server{group.Server(fmt.Sprint(i)), group.Server(fmt.Sprint(i + 1)), group.Server(fmt.Sprint(i + 2))})
	}
	if servers, pairs := m.Size(); servers > cfg.MaxServers || pairs > cfg.MaxPairs {
		t.Errorf("%d servers and %d pairs", servers, pairs)
	}
	if m.Correlation(start.Add(time.Hour), "kept-1", "kept-2") == 0 {
		t.Error("the pair with the highest weight was evicted")
	}
}

// powerFeeds is a generated assignment of servers to power feeds, which the model does not know.
type powerFeeds struct {
	rng    *rand.Rand
	feedOf map[group.Server]int
	count  int
}

func newPowerFeeds(seed uint64, servers []group.Server) powerFeeds {
	f := powerFeeds{rng: rand.New(rand.NewPCG(seed, 7)), feedOf: make(map[group.Server]int), count: len(servers) / 4}
	for _, server := range servers {
		f.feedOf[server] = f.rng.IntN(f.count)
	}
	return f
}

// failure returns the servers hit by a random failure: a single server, or all servers on one power feed.
func (f powerFeeds) failure(servers []group.Server) []group.Server {
	if f.rng.IntN(2) == 0 {
		return []group.Server{servers[f.rng.IntN(len(servers))]}
	}
	feed := f.rng.IntN(f.count)
	var down []group.Server
	for _, server := range servers {
		if f.feedOf[server] == feed {
			down = append(down, server)
		}
	}
	return down
}

// TestModelAvoidsSharedPowerFeeds measures, over random assignments of servers to power feeds, how often a successor shares
// the feed of the primary that it replaces, with and without the model's ranking.
func TestModelAvoidsSharedPowerFeeds(t *testing.T) {
	for _, size := range []int{3, 5} {
		for _, learned := range []int{0, 30, 100, 300} {
			ranked, unranked := 0, 0
			for seed := range uint64(40) {
				r, u := countSharedFeeds(seed, size, learned)
				ranked, unranked = ranked+r, unranked+u
			}
			t.Logf("groups of %d, %d recorded failures: %d of %d successors share a feed with their primary; %d without ranking",
				size, learned, ranked, 40*groupsPerSeed, unranked)
			if ranked > unranked {
				t.Errorf("ranking by the model increased the number of shared feeds")
			}
			if learned == 300 && 3*ranked > unranked {
				t.Errorf("after 300 failures, ranking by the model avoided less than two thirds of the shared feeds")
			}
		}
	}
}

const groupsPerSeed = 20

func countSharedFeeds(seed uint64, size, learned int) (ranked, unranked int) {
	var servers []group.Server
	for i := range groupsPerSeed * size {
		servers = append(servers, group.Server(fmt.Sprintf("db-%03d", i)))
	}
	f := newPowerFeeds(seed, servers)
	m := affinity.New(affinity.DefaultConfig())
	for i := range learned {
		m.RecordFailure(start.Add(time.Duration(i)*time.Hour), f.failure(servers))
	}
	now := start.Add(time.Duration(learned) * time.Hour)
	for g := range groupsPerSeed {
		members := append([]group.Server(nil), servers[g*size:(g+1)*size]...)
		primary, others := members[0], members[1:]
		if f.feedOf[others[0]] == f.feedOf[primary] {
			unranked++
		}
		m.SortByRisk(now, others, members[:1])
		if f.feedOf[others[0]] == f.feedOf[primary] {
			ranked++
		}
	}
	return ranked, unranked
}
