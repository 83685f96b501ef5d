package catalog

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lentilwind.dev/lentilwind/group"
)

// Limits on the recorded failures.
const (
	maxPairs   = 16_384
	maxServers = 8_192
	// maxJointFailures is the largest set of servers whose failure is attributed to a common cause smaller than a whole data
	// centre.
	maxJointFailures = 48
)

// pair is an unordered pair of servers, stored in the order of their names.
type pair struct {
	first, second group.Server
}

func newPair(a, b group.Server) pair {
	return pair{first: min(a, b), second: max(a, b)}
}

func (p pair) compare(other pair) int {
	return cmp.Or(cmp.Compare(p.first, other.first), cmp.Compare(p.second, other.second))
}

// pairCount holds how often the servers of a pair failed at the same time, and when they last did.
type pairCount struct {
	count uint32
	last  time.Time
}

// failureCounts holds the recorded failures. It is bounded in size and copied on every change.
type failureCounts struct {
	servers map[group.Server]uint32
	pairs   map[pair]pairCount
}

func (f failureCounts) record(failure RecordFailure) failureCounts {
	servers := slices.Compact(slices.Sorted(slices.Values(failure.Servers)))
	next := failureCounts{servers: cloneMap(f.servers), pairs: cloneMap(f.pairs)}
	for _, server := range servers {
		if _, known := next.servers[server]; known || len(next.servers) < maxServers {
			next.servers[server]++
		}
	}
	if len(servers) > maxJointFailures {
		return next
	}
	for i, a := range servers {
		for _, b := range servers[i+1:] {
			p := newPair(a, b)
			next.pairs[p] = pairCount{count: next.pairs[p].count + 1, last: failure.At}
		}
	}
	next.evict()
	return next
}

// evict drops the pairs whose last joint failure is the longest ago.
func (f failureCounts) evict() {
	excess := len(f.pairs) - maxPairs
	if excess <= 0 {
		return
	}
	order := slices.SortedFunc(maps.Keys(f.pairs), func(a, b pair) int {
		return cmp.Or(f.pairs[a].last.Compare(f.pairs[b].last), a.compare(b))
	})
	for _, p := range order[:excess] {
		delete(f.pairs, p)
	}
}

// failedWith returns the servers that have failed at the same time as one server, ordered by name.
func (f failureCounts) failedWith(server group.Server) []group.Server {
	var others []group.Server
	for p := range f.pairs {
		switch server {
		case p.first:
			others = append(others, p.second)
		case p.second:
			others = append(others, p.first)
		}
	}
	slices.Sort(others)
	return others
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	clone := make(map[K]V, len(m)+1)
	maps.Copy(clone, m)
	return clone
}
