package proxy

import (
	"math"
	"time"

	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/forward"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/policy"
)

// Owners of a database are the entries that keep its connections and its queue; the others forward their work to them.
//
// Few owners answer a fleet with many entries and workspaces before databases with few slots and connections. With an owner for each entry of
// the data centre, each has room for one statement and for less than one connection a workspace: work waits at one owner while the slots of
// another are free, urgent work waits in the database behind any other, and connections are closed for the next workspace all the time.
const (
	// minOwners is the least number of owners. One suffices for the queue; the second takes over at once when the first is lost.
	minOwners = 2
	// replicaSlotMbps and primarySlotMbps are what the statements of one busy slot take of an owner's link, in each direction: 33 of 30 ms a second
	// on replicas, and more, shorter ones on primaries, with 0.9 KB each way.
	replicaSlotMbps = 0.24
	primarySlotMbps = 0.5
	// maxLinkUse is the part of an owner's link that one database may take. An entry may own several, and requests of its own callers come too.
	maxLinkUse = 0.25
	// A statement holds its place at the owner for longer than the database works on it: transferMillis divided by the speed of the link in
	// Mbit/s is the time for its bytes, and shortStatementMillis the work of a short one. With places for the slots alone, the slots of a primary
	// behind links of 1.4 Mbit/s were idle for half of the time.
	transferMillis       = 14.0
	shortStatementMillis = 10.0
	// loadMargin is how much more work the first choice may have than the second and still get the work of a workspace.
	loadMargin = 1
	// pathDownPeriod is how long an owner that does not reach the database gets no work for it.
	pathDownPeriod = 300 * time.Millisecond
	// maxOtherPaths is how many further entries are tried if an owner does not reach the database.
	maxOtherPaths = 2
)

// ownerCount returns how many of the entries in its data centre own connections to a server. The work of a database passes through the links of
// its owners: three owners of a primary with 6 slots, and two of each replica, had links of 1.4 Mbit/s that were full at times. There are never
// more owners than may run one statement each. Links of unknown speed, 0, count as fast.
func ownerCount(server fleet.Server, entries int, linkMbps float64) int {
	slotMbps := replicaSlotMbps
	if server.Primary {
		slotMbps = primarySlotMbps
	}
	wanted := minOwners
	if linkMbps > 0 {
		wanted = max(wanted, int(math.Ceil(float64(server.Slots)*slotMbps/(maxLinkUse*linkMbps))))
	}
	return min(wanted, concurrencyOf(server, linkMbps), entries)
}

// concurrencyOf returns how much work all owners of a server together let run at once: a statement for each slot, those whose bytes are on
// their way meanwhile, and extraConcurrency.
func concurrencyOf(server fleet.Server, linkMbps float64) int {
	slots := max(1, server.Slots)
	onTheirWay := 0.0
	if linkMbps > 0 {
		onTheirWay = float64(slots) * min(1, transferMillis/linkMbps/shortStatementMillis)
	}
	return slots + int(onTheirWay) + extraConcurrency
}

// owner is an entry that may own connections to a database, as seen by this entry.
type owner struct {
	entry *peerEntry
	// isSelf is true for this entry. first is true for the owners, and false for entries that take over only if no owner can be used.
	isSelf, first bool
	// load is the owner's work on the database as it last reported it, and forwarding the work that is being forwarded to it.
	load       int
	loadAt     time.Time
	forwarding int
	// pathDownUntil is the end of the period in which the owner is avoided because it did not reach the database.
	pathDownUntil time.Time
}

// workCount returns the work on the database that the owner is believed to have.
func (o *owner) workCount(now time.Time) int {
	if now.Sub(o.loadAt) < remoteLoadTTL {
		return max(o.load, o.forwarding)
	}
	return o.forwarding
}

// setOwners replaces the possible owners, of which the first ones own the connections. Entries that stay keep their state.
func (p *pool) setOwners(entries []*peerEntry, first int, self *peerEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := make(map[*peerEntry]*owner, len(p.owners))
	for _, o := range p.owners {
		known[o.entry] = o
	}
	next := make([]*owner, 0, len(entries))
	for i, entry := range entries {
		o := known[entry]
		if o == nil {
			o = &owner{entry: entry}
		}
		o.isSelf, o.first = entry == self, i < first
		next = append(next, o)
	}
	p.owners = next
}

// ownerOf returns the entry in the given homes that should run a workspace's work on a database; nil stands for this entry, outside the queue
// of any owner. The owner avoided is chosen only if there is no other.
//
// Each workspace has a first and a second choice among the owners, so that it keeps few connections; the second is chosen while the first
// has much more work.
func (p *Proxy) ownerOf(pool *pool, workspace inventory.WorkspaceName, homes policy.Homes, avoided *owner) *owner {
	now := p.cfg.Now()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	var best, second, fallback *owner
	var bestWeight, secondWeight uint64
	for _, o := range pool.owners {
		if o == avoided || now.Before(o.pathDownUntil) || !o.isSelf && (!o.entry.usable(now) || !p.isHome(homes, o.entry.info.DataCentre)) {
			continue
		}
		if !o.first {
			if fallback == nil {
				fallback = o
			}
			continue
		}
		weight := rendezvousWeight(string(o.entry.info.Name), string(pool.server.Name)+"/"+string(workspace))
		switch {
		case best == nil || weight > bestWeight:
			second, secondWeight = best, bestWeight
			best, bestWeight = o, weight
		case second == nil || weight > secondWeight:
			second, secondWeight = o, weight
		}
	}
	switch {
	case best == nil:
		return fallback
	case second != nil && pool.workAt(best, now) > pool.workAt(second, now)+loadMargin:
		return second
	default:
		return best
	}
}

// workAt returns the work on the database at one owner.
func (p *pool) workAt(o *owner, now time.Time) int {
	if o.isSelf {
		return p.running + p.queue.Len()
	}
	return o.workCount(now)
}

// run runs work at the entry that owns the connections. If that entry was certainly not reached, the work runs on this one; if it does not
// reach the database, the work runs on another one that may. Only entries in the given homes, and this one, get the work.
func (p *Proxy) run(pool *pool, work forward.Work, homes policy.Homes, avoided *owner) (forward.Result, *peerEntry) {
	work.Service, work.Server = pool.server.Service, pool.server.Name
	if len(work.Statements) > 0 {
		if err := p.admitCold(pool, work.MaxQueueWait); err != nil {
			return failureResult(forward.NotSent, err.Error()), nil
		}
	}
	for path := 0; ; path++ {
		o := p.ownerOf(pool, work.Workspace, homes, avoided)
		result, entry := p.runAt(o, pool, work)
		if o == nil || result.Failure != forward.NotSent || result.Detail != errServerDown.Error() {
			return result, entry
		}
		pool.markPathDown(o, p.cfg.Now().Add(pathDownPeriod))
		if path == maxOtherPaths || !pool.hasOtherPaths() {
			return result, entry
		}
	}
}

// runAt runs work at an owner; nil stands for this entry.
func (p *Proxy) runAt(o *owner, pool *pool, work forward.Work) (forward.Result, *peerEntry) {
	if o == nil || o.isSelf {
		return p.runLocal(work), nil
	}
	pool.addForwarding(o, 1)
	result, reached := p.runRemote(o.entry, work)
	pool.addForwarding(o, -1)
	if !reached {
		return p.runLocal(work), nil
	}
	pool.recordRemoteResult(o, result, p.cfg.Now())
	return result, o.entry
}

func (p *pool) markPathDown(o *owner, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o.pathDownUntil = until
}

// hasOtherPaths reports whether more entries than the owners can reach the database. In a small data centre there are none, and connections
// over another owner would be missing elsewhere.
func (p *pool) hasOtherPaths() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.owners) > minOwners
}

// addForwarding adjusts the count of work that is being forwarded to an owner.
func (p *pool) addForwarding(o *owner, change int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o.forwarding += change
}
