package pool

import (
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"lentilwind.dev/lentilwind/group"
)

// Target is a server to which an entry may open connections.
type Target struct {
	Service group.Service
	Server  group.Server
	Address netip.AddrPort
	// Limit is the maximum number of connections that this entry opens.
	Limit int
}

// Set holds the pools of an entry by server. Reads take no lock.
type Set struct {
	source netip.Addr

	mu    sync.Mutex
	pools atomic.Pointer[map[group.Server]*Pool]
}

// NewSet returns an empty set. Its connections use source as their local address; the zero address means any.
func NewSet(source netip.Addr) *Set {
	s := &Set{source: source}
	s.pools.Store(&map[group.Server]*Pool{})
	return s
}

// Pool returns the pool of a server, or nil if there is none.
func (s *Set) Pool(server group.Server) *Pool { return (*s.pools.Load())[server] }

// Configure creates and updates pools for the targets that have an address.
//
// All other pools are closed. They stay in the set until their transactions have ended, so that these are still counted and can
// be abandoned.
func (s *Set) Configure(targets []Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := *s.pools.Load()
	remaining := maps.Clone(old)
	pools := make(map[group.Server]*Pool, len(targets))
	for _, target := range targets {
		if !target.Address.IsValid() {
			continue
		}
		p := remaining[target.Server]
		delete(remaining, target.Server)
		if p == nil {
			p = NewPool(target.Service, target.Server, target.Address, target.Limit)
			p.source = s.source
		} else {
			p.Configure(target.Address, target.Limit)
		}
		pools[target.Server] = p
	}
	for server, p := range remaining {
		if p.Close(); p.Usage().Open > 0 {
			pools[server] = p
		}
	}
	s.pools.Store(&pools)
}

// Each calls fn for each pool.
func (s *Set) Each(fn func(server group.Server, p *Pool)) {
	for server, p := range *s.pools.Load() {
		fn(server, p)
	}
}

// Trim closes long-idle connections of every pool.
func (s *Set) Trim(now time.Time) {
	for _, p := range *s.pools.Load() {
		p.Trim(now)
	}
}
