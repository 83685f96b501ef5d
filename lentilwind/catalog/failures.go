package catalog

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lentilwind.dev/lentilwind/group"
)

// Limits of what is learned of failures.
const (
	maxPairs   = 16_384
	maxServers = 8_192
	// maxTogether is the largest set that is taken for a common cause below a whole data centre.
	maxTogether = 48
)

// pair is two servers in the order of their names.
type pair struct {
	first, second group.Server
}

func newPair(a, b group.Server) pair {
	return pair{first: min(a, b), second: max(a, b)}
}

func (p pair) compare(other pair) int {
	return cmp.Or(cmp.Compare(p.first, other.first), cmp.Compare(p.second, other.second))
}

// pairCount is how often a pair vanished together, and when last.
type pairCount struct {
	count uint32
	last  time.Time
}

// failureCounts is what has been learned of failures; it is bounded and changed only by copying.
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
	if len(servers) > maxTogether {
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

// evict drops the pairs that were seen together the longest time ago.
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

func (f failureCounts) with(server group.Server) []group.Server {
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
