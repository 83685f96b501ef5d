package affinity

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"lentilwind.dev/lentilwind/group"
)

// Config bounds what a model learns.
type Config struct {
	// HalfLife is the time after which a failure weighs half.
	HalfLife time.Duration
	// MaxServers and MaxPairs bound the memory; the lightest are forgotten first.
	MaxServers int
	MaxPairs   int
	// MaxFailureSize is the largest failure that tells something of its pairs.
	MaxFailureSize int
	// MinListedWeight is the weight from which a pair is listed by FailsWith, and MaxListed the length of the list.
	MinListedWeight float64
	MaxListed       int
}

// DefaultConfig returns the bounds for a fleet of some thousand servers.
func DefaultConfig() Config {
	return Config{
		HalfLife:        180 * 24 * time.Hour,
		MaxServers:      8192,
		MaxPairs:        16_384,
		MaxFailureSize:  48,
		MinListedWeight: 0.2,
		MaxListed:       8,
	}
}

// Model estimates how likely two servers fail together; it is not safe for concurrent use.
type Model struct {
	cfg     Config
	servers map[group.Server]*evidence
	partner map[group.Server]map[group.Server]*evidence
	pairs   int
}

// evidence is a number of failures that decays.
type evidence struct {
	weight float64
	at     time.Time
}

// New returns a model that has seen no failure.
func New(cfg Config) *Model {
	return &Model{
		cfg:     cfg,
		servers: make(map[group.Server]*evidence),
		partner: make(map[group.Server]map[group.Server]*evidence),
	}
}

func (m *Model) decayed(e *evidence, now time.Time) float64 {
	if e == nil {
		return 0
	}
	return e.weight * math.Exp2(-float64(now.Sub(e.at))/float64(m.cfg.HalfLife))
}

func (m *Model) add(e *evidence, now time.Time, weight float64) {
	e.weight = m.decayed(e, now) + weight
	e.at = now
}

// RecordFailure takes in one failure of one or more servers.
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

// AddServerFailures adds earlier failures of one server, for example from a journal.
func (m *Model) AddServerFailures(now time.Time, server group.Server, failures float64) {
	e := m.servers[server]
	if e == nil {
		if len(m.servers) >= m.cfg.MaxServers {
			m.forgetServers(now)
		}
		e = &evidence{at: now}
		m.servers[server] = e
	}
	m.add(e, now, failures)
}

// AddPairFailures adds earlier failures of two servers together.
func (m *Model) AddPairFailures(now time.Time, a, b group.Server, failures float64) {
	if a == b {
		return
	}
	e := m.partner[a][b]
	if e == nil {
		if m.pairs >= m.cfg.MaxPairs {
			m.forgetPairs(now)
		}
		e = &evidence{at: now}
		m.link(a, b, e)
		m.link(b, a, e)
		m.pairs++
	}
	m.add(e, now, failures)
}

func (m *Model) link(from, to group.Server, e *evidence) {
	if m.partner[from] == nil {
		m.partner[from] = make(map[group.Server]*evidence)
	}
	m.partner[from][to] = e
}

// forgottenShare is the part of a full memory that is made free at once.
const forgottenShare = 8

func (m *Model) forgetServers(now time.Time) {
	names := slices.SortedFunc(maps.Keys(m.servers), func(a, b group.Server) int {
		return cmp.Or(cmp.Compare(m.decayed(m.servers[a], now), m.decayed(m.servers[b], now)), cmp.Compare(a, b))
	})
	for _, name := range names[:len(names)/forgottenShare+1] {
		delete(m.servers, name)
	}
}

func (m *Model) forgetPairs(now time.Time) {
	type pair struct {
		a, b   group.Server
		weight float64
	}
	var all []pair
	for a, partners := range m.partner {
		for b, e := range partners {
			if a < b {
				all = append(all, pair{a, b, m.decayed(e, now)})
			}
		}
	}
	slices.SortFunc(all, func(p, q pair) int {
		return cmp.Or(cmp.Compare(p.weight, q.weight), cmp.Compare(p.a, q.a), cmp.Compare(p.b, q.b))
	})
	for _, p := range all[:len(all)/forgottenShare+1] {
		m.unlink(p.a, p.b)
		m.unlink(p.b, p.a)
		m.pairs--
	}
}

func (m *Model) unlink(from, to group.Server) {
	delete(m.partner[from], to)
	if len(m.partner[from]) == 0 {
		delete(m.partner, from)
	}
}

// Correlation estimates, from 0 to 1, how likely one of two servers fails when the other does.
//
// It is the share of the failures of either that hit both; one assumed lone failure keeps a first coincidence from counting in full.
func (m *Model) Correlation(now time.Time, a, b group.Server) float64 {
	together := m.decayed(m.partner[a][b], now)
	if together == 0 {
		return 0
	}
	either := m.decayed(m.servers[a], now) + m.decayed(m.servers[b], now) - together
	return together / (max(either, together) + 1)
}

// FailsWith lists the servers that are likely to fail with one, the likeliest first.
func (m *Model) FailsWith(now time.Time, server group.Server) []group.Server {
	weights := make(map[group.Server]float64)
	for other := range m.partner[server] {
		if weight := m.Correlation(now, server, other); weight >= m.cfg.MinListedWeight {
			weights[other] = weight
		}
	}
	names := slices.SortedFunc(maps.Keys(weights), func(a, b group.Server) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
	return names[:min(len(names), m.cfg.MaxListed)]
}

// SortByRisk sorts servers in place, the one least likely to fail together with any of the others given first.
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
