package proxy

import (
	"sync"
	"time"

	"lentilwind.dev/lentilwind/database"
	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/floor"
	"lentilwind.dev/lentilwind/group"
)

// demoted is how long a server that refused to be the primary is not taken for it.
const demoted = 150 * time.Millisecond

// cluster is what this entry knows of one service's databases.
type cluster struct {
	name group.Service

	mu     sync.Mutex
	pools  map[group.Server]*pool
	proofs floor.ProofHistory
	// primary is the server that last acted as one.
	primary group.Server
	// refused holds when a server last refused to be the primary.
	refused map[group.Server]time.Time
	// changed is closed when the roster or the primary changes.
	changed chan struct{}
	// proving is closed when the question for a proof that is under way has ended, nil while there is none.
	proving chan struct{}
}

func newCluster(name group.Service) *cluster {
	return &cluster{
		name: name, pools: make(map[group.Server]*pool), refused: make(map[group.Server]time.Time), changed: make(chan struct{}),
	}
}

// leader returns the pool of the server that is most likely the primary, nil if there is none to try.
func (c *cluster) leader(now time.Time) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best *pool
	bestRank := 0
	for id, p := range c.pools {
		rank := 1
		switch {
		case now.Sub(c.refused[id]) < demoted:
			continue
		case id == c.primary:
			rank = 4
		case p.isPrimary():
			rank = 3
		}
		if lastOK, failing := p.health(); !failing.IsZero() && failing.After(lastOK) {
			rank--
		}
		if rank > bestRank {
			best, bestRank = p, rank
		}
	}
	return best
}

// proven notes that a server was the primary at a position when it answered a request sent at a time.
func (c *cluster) proven(p *pool, position group.Floor, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if position.Term < c.proofs.Newest().Position.Term {
		return
	}
	c.proofs.Observe(position, sent)
	delete(c.refused, p.id())
	if c.primary != p.id() {
		c.primary = p.id()
		c.notify()
	}
}

// notPrimary notes that a server refused to be the primary.
func (c *cluster) notPrimary(p *pool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[p.id()] = now
	if c.primary == p.id() {
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

// least returns the floor of a read that may be stale by at most a time; false means that a primary must be asked first.
func (c *cluster) least(now time.Time, staleness time.Duration, session group.Floor) (group.Floor, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	proof, ok := c.proofs.OldestSince(now.Add(-staleness))
	return floor.Max(proof.Position, session), ok
}

// startProof returns true to the one that shall ask for a proof, and to the others a channel that is closed when that has ended.
func (c *cluster) startProof() (bool, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.proving != nil {
		return false, c.proving
	}
	c.proving = make(chan struct{})
	return true, nil
}

func (c *cluster) endProof() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.proving)
	c.proving = nil
}

// proofAge returns how old the newest proof is.
func (c *cluster) proofAge(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.proofs.Newest().At)
}

// Costs that order the servers for a read, in running statements of a near server.
const (
	// farCost is the cost of crossing data centres: bytes between them are dear.
	farCost = 2
	// primaryCost leaves the primary to those reads and writes that need it.
	primaryCost = 2
	busyCost    = 6
	// laggingCost leaves out a replica that lacked a position a moment ago as long as any other server has room.
	laggingCost = 200
)

// reader returns the best server for a read with a floor, apart from those already tried.
func (c *cluster) reader(near func(fleet.Server) bool, tried []*pool) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best *pool
	bestCost := 0
	for id, p := range c.pools {
		running, usable, lagging, busy := p.load()
		if !usable || contains(tried, p) {
			continue
		}
		cost := running
		if !near(p.server) {
			cost += farCost
		}
		if id == c.primary {
			cost += primaryCost
		}
		if busy {
			cost += busyCost
		}
		if lagging {
			cost += laggingCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = p, cost
		}
	}
	return best
}

// pool returns the pool of a server, nil if it is not known.
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
	return p.server.Primary && !p.gone
}

// update takes the roster's servers of this service in.
func (c *cluster) update(servers []fleet.Server, partial bool, limits func(fleet.Server) (limit, width int), connector database.Connector, now func() time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	named := make(map[group.Server]bool)
	changed := false
	for _, s := range servers {
		named[s.Name] = true
		p := c.pools[s.Name]
		if p != nil && (p.server.Incarnation != s.Incarnation || p.server.Address != s.Address) {
			p.close()
			p = nil
		}
		if p == nil {
			limit, width := limits(s)
			c.pools[s.Name] = newPool(s, connector, now, limit, width)
			changed = true
			continue
		}
		if s.Primary != p.isPrimary() {
			changed = true
			delete(c.refused, s.Name)
		}
		p.setServer(s)
		p.setLimits(limits(s))
	}
	for id, p := range c.pools {
		if !named[id] && !partial {
			p.close()
			delete(c.pools, id)
			delete(c.refused, id)
			changed = true
		}
	}
	if changed {
		c.notify()
	}
}
