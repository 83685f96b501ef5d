package pool

import (
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"lentilwind.dev/lentilwind/group"
)

// Target is one server to which an entry may open connections.
type Target struct {
	Service group.Service
	Server  group.Server
	Address netip.AddrPort
	// Limit is the most connections that this entry opens.
	Limit int
}

// Set is the pools of an entry by server; it is read without locks.
type Set struct {
	source netip.Addr

	mu    sync.Mutex
	pools atomic.Pointer[map[group.Server]*Pool]
}

// NewSet returns an empty set; its connections leave from the given address, or from any for the zero one.
func NewSet(source netip.Addr) *Set {
	s := &Set{source: source}
	s.pools.Store(&map[group.Server]*Pool{})
	return s
}

// Pool returns the pool of a server, or nil.
func (s *Set) Pool(server group.Server) *Pool { return (*s.pools.Load())[server] }

// Configure makes the set serve exactly the targets with an address.
//
// Pools of others are closed and stay until their transactions have ended, so that these are still counted and given up.
func (s *Set) Configure(targets []Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := *s.pools.Load()
	left := maps.Clone(old)
	pools := make(map[group.Server]*Pool, len(targets))
	for _, target := range targets {
		if !target.Address.IsValid() {
			continue
		}
		p := left[target.Server]
		delete(left, target.Server)
		if p == nil {
			p = NewPool(target.Service, target.Server, target.Address, target.Limit)
			p.source = s.source
		} else {
			p.Configure(target.Address, target.Limit)
		}
		pools[target.Server] = p
	}
	for server, p := range left {
		if p.Close(); p.Usage().Open > 0 {
			pools[server] = p
		}
	}
	s.pools.Store(&pools)
}

// Each calls a function for each pool.
func (s *Set) Each(call func(server group.Server, p *Pool)) {
	for server, p := range *s.pools.Load() {
		call(server, p)
	}
}

// Trim closes connections that were not used for long.
func (s *Set) Trim(now time.Time) {
	for _, p := range *s.pools.Load() {
		p.Trim(now)
	}
}
