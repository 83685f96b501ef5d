package affinity

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"lentilwind.dev/lentilwind/group"
)

// Config holds the parameters and limits of a model.
type Config struct {
	// HalfLife is the time after which the weight of a failure has halved.
	HalfLife time.Duration
	// MaxServers and MaxPairs bound the memory; those with the lowest weight are evicted first.
	MaxServers int
	MaxPairs   int
	// MaxFailureSize is the largest number of servers in one failure from which pairs are learnt.
	MaxFailureSize int
	// MinListedCorrelation is the lowest correlation that FailsWith lists, and MaxListed the maximum length of its list.
	MinListedCorrelation float64
	MaxListed            int
}

// DefaultConfig returns the configuration for a fleet of several thousand servers.
func DefaultConfig() Config {
	return Config{
		HalfLife:             180 * 24 * time.Hour,
		MaxServers:           8192,
		MaxPairs:             16_384,
		MaxFailureSize:       48,
		MinListedCorrelation: 0.2,
		MaxListed:            8,
	}
}

// Model estimates how likely two servers are to fail together; it is not safe for concurrent use.
type Model struct {
	cfg       Config
	servers   map[group.Server]*decayingCount
	partners  map[group.Server]map[group.Server]*decayingCount
	pairCount int
}

// decayingCount is a number of failures that decays exponentially with time.
type decayingCount struct {
	weight    float64
	updatedAt time.Time
}

// New returns a model without any recorded failures.
func New(cfg Config) *Model {
	return &Model{
		cfg:      cfg,
		servers:  make(map[group.Server]*decayingCount),
		partners: make(map[group.Server]map[group.Server]*decayingCount),
	}
}

// decayed returns the value of a count at a time.
func (m *Model) decayed(e *decayingCount, now time.Time) float64 {
	if e == nil {
		return 0
	}
	return e.weight * math.Exp2(-float64(now.Sub(e.updatedAt))/float64(m.cfg.HalfLife))
}

func (m *Model) add(e *decayingCount, now time.Time, weight float64) {
	e.weight = m.decayed(e, now) + weight
	e.updatedAt = now
}

// RecordFailure records one failure that hit one or more servers at once.
func (m *Model) RecordFailure(now time.Time, servers []group.Server) {
	for _, server := range servers {
		m.AddServerFailures(now, server, 1)
	}
	if len(servers) > m.cfg.MaxFailureSize {
		return
	}
	for i, a := range servers {
		for _, b := range servers[i+1:] {
			m.AddPairFailures(now, a, b, 1)
		}
	}
}

// AddServerFailures adds a number of failures of one server, for example from a journal.
func (m *Model) AddServerFailures(now time.Time, server group.Server, failures float64) {
	e := m.servers[server]
	if e == nil {
		if len(m.servers) >= m.cfg.MaxServers {
			m.evictServers(now)
		}
		e = &decayingCount{updatedAt: now}
		m.servers[server] = e
	}
	m.add(e, now, failures)
}

// AddPairFailures adds a number of failures that hit both servers.
func (m *Model) AddPairFailures(now time.Time, a, b group.Server, failures float64) {
	if a == b {
		return
	}
	e := m.partners[a][b]
	if e == nil {
		if m.pairCount >= m.cfg.MaxPairs {
			m.evictPairs(now)
		}
		e = &decayingCount{updatedAt: now}
		m.link(a, b, e)
		m.link(b, a, e)
		m.pairCount++
	}
	m.add(e, now, failures)
}

func (m *Model) link(from, to group.Server, e *decayingCount) {
	if m.partners[from] == nil {
		m.partners[from] = make(map[group.Server]*decayingCount)
	}
	m.partners[from][to] = e
}

// evictionDivisor sets the share of servers or pairs, one in evictionDivisor, that is evicted at once when a limit is reached.
const evictionDivisor = 8

func (m *Model) evictServers(now time.Time) {
	names := slices.SortedFunc(maps.Keys(m.servers), func(a, b group.Server) int {
		return cmp.Or(cmp.Compare(m.decayed(m.servers[a], now), m.decayed(m.servers[b], now)), cmp.Compare(a, b))
	})
	for _, name := range names[:len(names)/evictionDivisor+1] {
		delete(m.servers, name)
	}
}

func (m *Model) evictPairs(now time.Time) {
	type pair struct {
		a, b   group.Server
		weight float64
	}
	var all []pair
	for a, partners := range m.partners {
		for b, e := range partners {
			if a < b {
				all = append(all, pair{a, b, m.decayed(e, now)})
			}
		}
	}
	slices.SortFunc(all, func(p, q pair) int {
		return cmp.Or(cmp.Compare(p.weight, q.weight), cmp.Compare(p.a, q.a), cmp.Compare(p.b, q.b))
	})
	for _, p := range all[:len(all)/evictionDivisor+1] {
		m.unlink(p.a, p.b)
		m.unlink(p.b, p.a)
		m.pairCount--
	}
}

func (m *Model) unlink(from, to group.Server) {
	delete(m.partners[from], to)
	if len(m.partners[from]) == 0 {
		delete(m.partners, from)
	}
}

// Correlation estimates, from 0 to 1, how likely one of two servers is to fail when the other does.
//
// It is the share of the failures of either server that hit both. One additional failure of a single server is assumed, so
// that a first coincidence does not count in full.
func (m *Model) Correlation(now time.Time, a, b group.Server) float64 {
	together := m.decayed(m.partners[a][b], now)
	if together == 0 {
		return 0
	}
	either := m.decayed(m.servers[a], now) + m.decayed(m.servers[b], now) - together
	return together / (max(either, together) + 1)
}

// FailsWith lists the servers that are likely to fail together with the given one, the most likely first.
func (m *Model) FailsWith(now time.Time, server group.Server) []group.Server {
	weights := make(map[group.Server]float64)
	for other := range m.partners[server] {
		if weight := m.Correlation(now, server, other); weight >= m.cfg.MinListedCorrelation {
			weights[other] = weight
		}
	}
	names := slices.SortedFunc(maps.Keys(weights), func(a, b group.Server) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
	return names[:min(len(names), m.cfg.MaxListed)]
}

// SortByRisk sorts servers in place, starting with the one least likely to fail together with any of the others.
func (m *Model) SortByRisk(now time.Time, servers, others []group.Server) {
	risk := make(map[group.Server]float64, len(servers))
	for _, server := range servers {
		for _, other := range others {
			if other != server {
				risk[server] += m.Correlation(now, server, other)
			}
		}
	}
	slices.SortStableFunc(servers, func(a, b group.Server) int { return cmp.Compare(risk[a], risk[b]) })
}
