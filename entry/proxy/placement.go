package proxy

import (
	"context"
	"hash/fnv"
	"slices"

	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/policy"
	"lentilwind.dev/lentilwind/protocol"
)

// fallbackOwners is the number of entries that own the connections to a database whose data centre has no live entry.
const fallbackOwners = 2

// ownersOf returns the entries that may own connections to a server, ranked, and how many of them do: entries in its data centre, or else a
// few others.
func (p *Proxy) ownersOf(server fleet.Server) ([]*peerEntry, int) {
	table := *p.entries.Load()
	if local := table.byDataCentre[server.DataCentre]; len(local) > 0 {
		return rankByWeight(local, string(server.Name), -1), ownerCount(server, len(local), p.cfg.LinkMbps)
	}
	others := rankByWeight(table.all, string(server.Name), fallbackOwners)
	return others, len(others)
}

// assignOwners sets the possible owners of a pool from the entries of the roster.
func (p *Proxy) assignOwners(pool *pool) {
	entries, first := p.ownersOf(pool.server)
	pool.setOwners(entries, first, p.entries.Load().self)
}

// Keeper returns the entry that keeps the quota shares of cut-off entries of this data centre, and whether that is this entry.
func (p *Proxy) Keeper() (address string, self, found bool) {
	table, now := p.entries.Load(), p.cfg.Now()
	for _, entry := range rankByWeight(table.byDataCentre[p.cfg.DataCentre], "quota", -1) {
		if entry == table.self {
			return entry.info.Address, true, true
		}
		if entry.usable(now) {
			return entry.info.Address, false, true
		}
	}
	return "", false, false
}

// CallKeeper sends a request to a keeper. If it does not answer, the next one is chosen for a while.
func (p *Proxy) CallKeeper(ctx context.Context, address string, body, reply any) error {
	err := p.cfg.Client.Call(ctx, address, protocol.KindGroupDraw, body, reply)
	if err != nil {
		for _, entry := range p.entries.Load().byDataCentre[p.cfg.DataCentre] {
			if entry.info.Address == address {
				entry.markDown(p.cfg.Now().Add(entryDownPeriod))
			}
		}
	}
	return err
}

// rankByWeight sorts entries by their rendezvous hash weight for a key, so that losing an entry moves only the keys that it owned.
func rankByWeight(entries []*peerEntry, key string, limit int) []*peerEntry {
	ranked := make([]*peerEntry, 0, len(entries))
	weights := make([]uint64, 0, len(entries))
	for _, entry := range entries {
		entryWeight := rendezvousWeight(string(entry.info.Name), key)
		position := len(ranked)
		for position > 0 && weights[position-1] < entryWeight {
			position--
		}
		ranked = append(ranked, nil)
		weights = append(weights, 0)
		copy(ranked[position+1:], ranked[position:])
		copy(weights[position+1:], weights[position:])
		ranked[position], weights[position] = entry, entryWeight
	}
	if limit >= 0 && len(ranked) > limit {
		ranked = ranked[:limit]
	}
	return ranked
}

func rendezvousWeight(entry, key string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(entry)) // A hash never fails.
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	sum := h.Sum64()
	// FNV-1a leaves the upper bits of short keys alike, so the hash is mixed once more.
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	return sum ^ sum>>33
}

// entryTable holds the entries of the roster. It is replaced as a whole.
type entryTable struct {
	self         *peerEntry
	all          []*peerEntry
	byDataCentre map[inventory.DataCentre][]*peerEntry
}

// newEntryTable builds a table from a roster. Entries that are also in the current table keep their state.
func newEntryTable(self inventory.InstanceName, current *entryTable, entries []fleet.Entry) *entryTable {
	previous := make(map[fleet.Entry]*peerEntry)
	for _, entry := range current.all {
		previous[entry.info] = entry
	}
	table := &entryTable{byDataCentre: make(map[inventory.DataCentre][]*peerEntry)}
	for _, entry := range entries {
		if entry.Leaving || entry.Address == "" {
			continue
		}
		peer := previous[entry]
		if peer == nil {
			peer = &peerEntry{info: entry}
		}
		if entry.Name == self {
			table.self = peer
		}
		table.all = append(table.all, peer)
		table.byDataCentre[entry.DataCentre] = append(table.byDataCentre[entry.DataCentre], peer)
	}
	return table
}

// limitsFor divides the connections to a database, and the work that may run on it at once, among its owners.
func (p *Proxy) limitsFor(service *policy.Service, server fleet.Server) (maxOpen, maxRunning int) {
	entries, first := p.ownersOf(server)
	self := p.entries.Load().self
	concurrency := concurrencyOf(server, p.cfg.LinkMbps)
	if service == nil || !slices.Contains(entries[:first], self) {
		return nonOwnerLimit, nonOwnerLimit
	}
	return max(1, (service.MaxConnections-reservedConnections)/first), max(1, (concurrency+first-1)/first)
}

const (
	// reservedConnections is the number of connections to each database that are left to control and to entries that cannot reach an owner.
	reservedConnections = 4
	// nonOwnerLimit is how many connections an entry opens to a database for which it is not an owner.
	nonOwnerLimit = 2
)
