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

func TestWindowJoinsFailures(t *testing.T) {
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

func TestWeightRisesAndDecays(t *testing.T) {
	cfg := affinity.DefaultConfig()
	m := affinity.New(cfg)
	m.RecordFailure(start, []group.Server{"a", "b"})
	once := m.Correlation(start, "a", "b")
	m.RecordFailure(start, []group.Server{"a", "b"})
	twice := m.Correlation(start, "b", "a")
	m.RecordFailure(start, []group.Server{"a"})
	lone := m.Correlation(start, "a", "b")
	later := m.Correlation(start.Add(2*cfg.HalfLife), "a", "b")
	if once <= 0 || twice <= once || lone >= twice || later >= lone || later <= 0 {
		t.Errorf("got %v, %v, %v, %v", once, twice, lone, later)
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
		t.Error("the heaviest pair was forgotten")
	}
}

// feeds is a generated map from servers to the power feeds that nobody documented.
type feeds struct {
	rng    *rand.Rand
	feedOf map[group.Server]int
	count  int
}

func newFeeds(seed uint64, servers []group.Server) feeds {
	f := feeds{rng: rand.New(rand.NewPCG(seed, 7)), feedOf: make(map[group.Server]int), count: len(servers) / 4}
	for _, server := range servers {
		f.feedOf[server] = f.rng.IntN(f.count)
	}
	return f
}

// failure trips one breaker, or takes a single server.
func (f feeds) failure(servers []group.Server) []group.Server {
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

// TestSuccessorsOnOtherFeeds measures, over breaker maps, how often a successor stands on the feed of the primary that it replaces.
func TestSuccessorsOnOtherFeeds(t *testing.T) {
	for _, size := range []int{3, 5} {
		for _, learned := range []int{0, 30, 100, 300} {
			knowing, blind := 0, 0
			for seed := range uint64(40) {
				k, b := sharedFeeds(seed, size, learned)
				knowing, blind = knowing+k, blind+b
			}
			t.Logf("groups of %d, %d failures seen: %d of %d successors share a feed with their primary; %d without knowing",
				size, learned, knowing, 40*groupsPerMap, blind)
			if knowing > blind {
				t.Errorf("knowing made it worse")
			}
			if learned == 300 && 3*knowing > blind {
				t.Errorf("300 failures saved less than two thirds")
			}
		}
	}
}

const groupsPerMap = 20

func sharedFeeds(seed uint64, size, learned int) (knowing, blind int) {
	var servers []group.Server
	for i := range groupsPerMap * size {
		servers = append(servers, group.Server(fmt.Sprintf("db-%03d", i)))
	}
	f := newFeeds(seed, servers)
	m := affinity.New(affinity.DefaultConfig())
	for i := range learned {
		m.RecordFailure(start.Add(time.Duration(i)*time.Hour), f.failure(servers))
	}
	now := start.Add(time.Duration(learned) * time.Hour)
	for g := range groupsPerMap {
		members := append([]group.Server(nil), servers[g*size:(g+1)*size]...)
		primary, others := members[0], members[1:]
		if f.feedOf[others[0]] == f.feedOf[primary] {
			blind++
		}
		m.SortByRisk(now, others, members[:1])
		if f.feedOf[others[0]] == f.feedOf[primary] {
			knowing++
		}
	}
	return knowing, blind
}
