package proxy

import (
	"hash/fnv"
	"slices"

	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/policy"
)

// spareHomes is how many entries hold connections to a database whose data centre has no live entry.
const spareHomes = 2

// homesOf returns the entries that may hold connections to a server: those of its data centre, else a few others.
//
// Nil stands for this entry.
func (p *Proxy) homesOf(s fleet.Server) []*home {
	table := *p.homes.Load()
	if near := table.near[s.DataCentre]; len(near) > 0 {
		return near
	}
	return rank(table.all, string(s.Name), spareHomes)
}

// homeOf returns the entry that holds a workspace's connections to a server, nil for this one.
func (p *Proxy) homeOf(pool *pool, workspace inventory.WorkspaceName) *home {
	now := p.cfg.Now()
	for _, h := range rank(p.homesOf(pool.server), string(pool.server.Name)+"/"+string(workspace), -1) {
		if h == p.homes.Load().self {
			return nil
		}
		if h.usable(now) {
			return h
		}
	}
	return nil
}

// rank orders homes by their weight for a key, so that the loss of one moves only its own keys.
func rank(homes []*home, key string, most int) []*home {
	ranked := make([]*home, 0, len(homes))
	weights := make([]uint64, 0, len(homes))
	for _, h := range homes {
		w := weight(string(h.entry.Name), key)
		at := len(ranked)
		for at > 0 && weights[at-1] < w {
			at--
		}
		ranked = append(ranked, nil)
		weights = append(weights, 0)
		copy(ranked[at+1:], ranked[at:])
		copy(weights[at+1:], weights[at:])
		ranked[at], weights[at] = h, w
	}
	if most >= 0 && len(ranked) > most {
		ranked = ranked[:most]
	}
	return ranked
}

func weight(entry, key string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(entry)) // A hash never fails.
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	sum := h.Sum64()
	// Short keys leave the upper bits of this hash alike, so they are mixed once more.
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	return sum ^ sum>>33
}

// homeTable is what the roster says of entries; it is replaced as a whole.
type homeTable struct {
	self *home
	all  []*home
	near map[inventory.DataCentre][]*home
}

// newHomeTable makes a table; homes that are known keep what was learned of them.
func newHomeTable(self inventory.InstanceName, old *homeTable, entries []fleet.Entry) *homeTable {
	known := make(map[fleet.Entry]*home)
	for _, h := range old.all {
		known[h.entry] = h
	}
	table := &homeTable{near: make(map[inventory.DataCentre][]*home)}
	for _, entry := range entries {
		if entry.Leaving || entry.Address == "" {
			continue
		}
		h := known[entry]
		if h == nil {
			h = &home{entry: entry}
		}
		if entry.Name == self {
			table.self = h
		}
		table.all = append(table.all, h)
		table.near[entry.DataCentre] = append(table.near[entry.DataCentre], h)
	}
	return table
}

// limitsFor divides the connections of one database, and the work under way there, among its homes.
func (p *Proxy) limitsFor(service *policy.Service, s fleet.Server) (limit, width int) {
	homes := p.homesOf(s)
	self := p.homes.Load().self
	work := max(1, s.Slots) + spareWork
	if service == nil || !slices.Contains(homes, self) {
		return strangerLimit, strangerLimit
	}
	share := func(n int) int { return max(1, (n+len(homes)-1)/len(homes)) }
	return max(1, (service.MaxConnections-reservedConnections)/len(homes)), share(work)
}

const (
	// reservedConnections are left to control and to entries that cannot reach a home, for each database.
	reservedConnections = 4
	// strangerLimit is how many connections an entry opens to a database that it is no home of.
	strangerLimit = 2
)
