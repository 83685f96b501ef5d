package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"lentilwind.dev/lentilwind/database"
	"lentilwind.dev/lentilwind/evacuation"
	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/floor"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/policy"
	"lentilwind.dev/lentilwind/succession"
)

// primaryRefusalPeriod is how long a server that refused to act as the primary is skipped when the primary is looked for.
const primaryRefusalPeriod = 150 * time.Millisecond

// cluster holds the connection pools of one service's databases and what this entry knows of its primary.
type cluster struct {
	proxy     *Proxy
	name      group.Service
	authority *succession.Authority
	log       *log.Logger
	// fencedByLeases means that authority decides which server may be used as the primary.
	fencedByLeases atomic.Bool

	mu            sync.Mutex
	pools         map[group.Server]*pool
	confirmations floor.ProofHistory
	// primary is the server that was last confirmed as the primary, unless it has refused to act as one since. lastConfirmed still names it
	// then.
	primary, lastConfirmed group.Server
	// refusedAt holds the time at which each server last refused to act as the primary.
	refusedAt map[group.Server]time.Time
	// changed is closed when the roster or the primary changes.
	changed chan struct{}
	// reference is the shortest service time of the servers at referenceAt.
	reference   time.Duration
	referenceAt time.Time
	// probing is closed when the running probe of the primary ends; it is nil while no probe runs.
	probing chan struct{}
}

func newCluster(name group.Service, p *Proxy) *cluster {
	return &cluster{
		proxy: p, name: name, authority: p.authority, log: p.cfg.Log, pools: make(map[group.Server]*pool), refusedAt: make(map[group.Server]time.Time),
		changed: make(chan struct{}),
	}
}

// likelyPrimary returns the pool of the server that is most likely the primary, or nil if there is no candidate.
func (c *cluster) likelyPrimary(now time.Time) *pool {
	designated := group.Server("")
	if c.fencedByLeases.Load() {
		if designated = c.authority.Primary(c.name, now); designated == "" {
			return nil
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.primaryDrained(now, designated) {
		return nil
	}
	var best *pool
	bestRank := 0
	for id, p := range c.pools {
		rank := 1
		switch {
		case designated != "" && id != designated:
			continue
		case now.Sub(c.refusedAt[id]) < primaryRefusalPeriod, c.proxy.withdrawn(p.server), p.drained(now, c.proxy.cfg.DrainTime):
			continue
		case id == c.primary:
			rank = 4
		case p.isPrimary():
			rank = 3
		}
		if lastSuccess, failingSince := p.health(); !failingSince.IsZero() && failingSince.After(lastSuccess) {
			rank--
		}
		if rank > bestRank {
			best, bestRank = p, rank
		}
	}
	return best
}

// isWithdrawn reports whether the service has databases and all of them are in evacuated data centres.
func (c *cluster) isWithdrawn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		if !c.proxy.withdrawn(p.server) {
			return false
		}
	}
	return len(c.pools) > 0
}

// proof is a kind of answer that only a server that leads gives.
type proof string

// Kinds of proofs. A commit is one only if the transaction wrote: databases commit any other without a look at their lead.
const (
	proofBegin     proof = "begin"
	proofStatement proof = "statement"
	proofWrite     proof = "write"
	proofCommit    proof = "commit"
)

// confirmPrimary records that a server was the primary, at the given position, when it answered a request sent at the given time. It
// reports whether the server may still be used as the primary now.
func (c *cluster) confirmPrimary(p *pool, by proof, position group.Floor, sent, now time.Time) bool {
	if !c.mayLead(p, now) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if position.Term < c.confirmations.Newest().Position.Term {
		return true
	}
	c.confirmations.Observe(position, sent)
	server := p.serverName()
	delete(c.refusedAt, server)
	if c.primary != server {
		c.primary = server
		c.notify()
	}
	if c.lastConfirmed != server {
		c.log.Info().Str("service", string(c.name)).Str("server", string(server)).Str("replaces", string(c.lastConfirmed)).Str("by", string(by)).
			Uint64("term", uint64(position.Term)).Uint64("position", uint64(position.Position)).Msg("primaryConfirmed")
		c.lastConfirmed = server
	}
	return true
}

// markNotPrimary records that a server refused to act as the primary.
func (c *cluster) markNotPrimary(p *pool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusedAt[p.serverName()] = now
	if c.primary == p.serverName() {
		c.primary = ""
	}
}

func (c *cluster) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *cluster) watch() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// minPosition returns the position that a server must have reached for a read with the given staleness bound. It reports false if
// no confirmation is recent enough, so that the primary must be probed first.
func (c *cluster) minPosition(now time.Time, staleness time.Duration, session group.Floor) (group.Floor, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	confirmation, ok := c.confirmations.OldestSince(now.Add(-staleness))
	return floor.Max(confirmation.Position, session), ok
}

// startProbe returns true to the one request that must probe the primary. The others get a channel that is closed when the probe ends.
func (c *cluster) startProbe() (bool, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.probing != nil {
		return false, c.probing
	}
	c.probing = make(chan struct{})
	return true, nil
}

func (c *cluster) endProbe() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.probing)
	c.probing = nil
}

// confirmationAge returns the time since the primary was last confirmed.
func (c *cluster) confirmationAge(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.confirmations.Newest().At)
}

// bestReadServer returns the usable server with the lowest cost for a read in the given regions, leaving out those already tried.
func (c *cluster) bestReadServer(homes policy.Homes, tried []*pool) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best *pool
	bestCost := 0.0
	reference := c.fastestServiceTime()
	for id, p := range c.pools {
		s := p.status()
		if !s.usable || contains(tried, p) || c.proxy.useOf(p.server) != evacuation.Unrestricted || !c.proxy.isHome(homes, p.server.DataCentre) {
			continue
		}
		if cost := readCost(s, reference, c.proxy.isLocal(p.server), id == c.primary); best == nil || cost < bestCost {
			best, bestCost = p, cost
		}
	}
	return best
}

// referenceInterval is the time between two searches for the fastest server.
const referenceInterval = 200 * time.Millisecond

// fastestServiceTime returns the shortest service time of all servers, or 0 if none is known. It is called with the lock held.
func (c *cluster) fastestServiceTime() time.Duration {
	now := c.proxy.cfg.Now()
	if now.Sub(c.referenceAt) < referenceInterval {
		return c.reference
	}
	c.reference, c.referenceAt = 0, now
	for _, p := range c.pools {
		if s := p.status(); s.usable && s.serviceTime > 0 && (c.reference == 0 || s.serviceTime < c.reference) {
			c.reference = s.serviceTime
		}
	}
	return c.reference
}

// pool returns the pool of a server, or nil if the server is unknown.
func (c *cluster) pool(server group.Server) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pools[server]
}

func contains(pools []*pool, p *pool) bool {
	for _, other := range pools {
		if other == p {
			return true
		}
	}
	return false
}

func (p *pool) isPrimary() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.server.Primary && !p.replaced
}

// update applies the servers that the roster lists for this service. Servers missing from a partial roster are kept.
func (c *cluster) update(servers []fleet.Server, partial bool, limits func(fleet.Server) (maxOpen, maxRunning int), setOwners func(*pool), connector database.Connector, now func() time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := make(map[group.Server]bool)
	changed := false
	for _, server := range servers {
		listed[server.Name] = true
		p := c.pools[server.Name]
		if p != nil && (p.server.Incarnation != server.Incarnation || p.server.Address != server.Address) {
			p.close()
			p = nil
		}
		if p == nil {
			maxOpen, maxRunning := limits(server)
			p = newPool(server, connector, now, maxOpen, maxRunning)
			c.pools[server.Name] = p
			setOwners(p)
			changed = true
			continue
		}
		if server.Primary != p.isPrimary() {
			changed = true
			delete(c.refusedAt, server.Name)
		}
		p.setServer(server)
		p.setLimits(limits(server))
		setOwners(p)
	}
	for id, p := range c.pools {
		if !listed[id] && !partial {
			p.close()
			delete(c.pools, id)
			delete(c.refusedAt, id)
			changed = true
		}
	}
	if changed {
		c.notify()
	}
}
