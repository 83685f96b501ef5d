package executor

import (
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"lentilwind.dev/entry/internal/directory"
	"lentilwind.dev/entry/internal/pool"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/placement"
	"lentilwind.dev/lentilwind/protocol"
)

// InventoryPlacement knows the pool homes of every server.
//
// Homes and their shares follow from the inventory alone, so that all entries of one revision agree on them without a message.
type InventoryPlacement struct {
	self    inventory.InstanceName
	servers atomic.Pointer[map[group.Server]*placed]
	turn    atomic.Uint32
}

// growAfter is how long an entry waits before it uses a share that was another one's; that one has followed by then, or has
// lost its configuration lease.
const growAfter = 5 * time.Second

// GrowthDelay holds grown limits back until the entries that lose theirs have followed.
type GrowthDelay struct {
	first bool
	limit map[group.Server]int
	since map[group.Server]time.Time
}

// NewGrowthDelay returns shares that take the first targets as they are.
func NewGrowthDelay() *GrowthDelay { return &GrowthDelay{first: true} }

// Apply lowers the limits of targets that have grown too lately, and returns when to look again; 0 for never.
func (s *GrowthDelay) Apply(targets []pool.Target, now time.Time) time.Duration {
	limit, since := make(map[group.Server]int), make(map[group.Server]time.Time)
	var again time.Duration
	for i := range targets {
		target := &targets[i]
		old := s.limit[target.Server]
		if s.first || target.Limit <= old {
			limit[target.Server] = target.Limit
			continue
		}
		begun, found := s.since[target.Server]
		if !found {
			begun = now
		}
		if left := begun.Add(growAfter).Sub(now); left > 0 {
			target.Limit, since[target.Server] = old, begun
			again = max(again, left)
		}
		limit[target.Server] = target.Limit
	}
	s.limit, s.since = limit, since
	if len(targets) > 0 {
		s.first = false
	}
	return again
}

// placed is the homes of one server.
type placed struct {
	local bool
	// homes are the addresses of live homes other than this entry.
	homes []netip.AddrPort
}

// NewInventoryPlacement returns a placement that knows no server yet.
func NewInventoryPlacement(self inventory.InstanceName) *InventoryPlacement {
	p := &InventoryPlacement{self: self}
	p.servers.Store(&map[group.Server]*placed{})
	return p
}

// Homes appends the homes of a server, each time another one first, or tells that this entry is one.
func (p *InventoryPlacement) Homes(server group.Server, dst []netip.AddrPort) ([]netip.AddrPort, bool) {
	s := (*p.servers.Load())[server]
	if s == nil || s.local {
		return dst, s != nil
	}
	start := int(p.turn.Add(1))
	for i := range s.homes {
		dst = append(dst, s.homes[(start+i)%len(s.homes)])
	}
	return dst, false
}

// IsHome tells whether this entry is a home of the server.
func (p *InventoryPlacement) IsHome(server group.Server) bool {
	s := (*p.servers.Load())[server]
	return s != nil && s.local
}

// Update takes in a snapshot and returns the servers that this entry is a home of; those without new work have no address.
func (p *InventoryPlacement) Update(snapshot *directory.Snapshot) []pool.Target {
	servers := make(map[group.Server]*placed)
	var targets []pool.Target
	entries := p.entries(snapshot)
	for server := range snapshot.Servers {
		names := p.names(snapshot, server, entries)
		s := &placed{local: slices.Contains(names, p.self), homes: p.addresses(snapshot, names)}
		servers[server.Name] = s
		if s.local {
			targets = append(targets, newTarget(server, share(server.Connections, names, p.self)))
		}
	}
	p.servers.Store(&servers)
	return targets
}

// share divides connections evenly; the best homes get what is left over.
func share(connections int, homes []inventory.InstanceName, self inventory.InstanceName) int {
	n := connections / len(homes)
	if slices.Index(homes, self) < connections%len(homes) {
		n++
	}
	return n
}

func newTarget(server *directory.Server, limit int) pool.Target {
	target := pool.Target{Service: server.Service, Server: server.Name, Limit: limit}
	if server.Health != protocol.HealthLeaving {
		target.Address = server.Address
	}
	return target
}

// entries returns the instances of the inventory, alive or not.
func (p *InventoryPlacement) entries(snapshot *directory.Snapshot) []placement.Entry {
	if snapshot.Inventory == nil {
		return nil
	}
	entries := make([]placement.Entry, 0, len(snapshot.Inventory.Instances))
	for _, instance := range snapshot.Inventory.Instances {
		entries = append(entries, placement.Entry{
			Name: instance.Name, DataCentre: instance.DataCentre, Region: snapshot.Region(instance.DataCentre),
		})
	}
	return entries
}

func (p *InventoryPlacement) names(snapshot *directory.Snapshot, server *directory.Server, entries []placement.Entry) []inventory.InstanceName {
	return placement.Homes(nil, &placement.Database{
		ID: group.ServerID{Service: server.Service, Server: server.Name}, DataCentre: server.DataCentre,
		Region: snapshot.Region(server.DataCentre), Connections: server.Connections,
	}, entries, homeCount(server.Connections, len(entries)))
}

// minShare is the least number of connections that makes an entry worth being a home.
const minShare = 2

// homeCount lets every entry be a home while that leaves each enough connections, since forwarding costs time.
func homeCount(connections, entries int) int {
	return max(placement.DefaultSettings().Homes, min(entries, connections/minShare))
}

func (p *InventoryPlacement) addresses(snapshot *directory.Snapshot, names []inventory.InstanceName) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, name := range names {
		entry, found := snapshot.Entry(name)
		if !found || name == p.self || entry.Health != protocol.HealthLive {
			continue
		}
		if address, err := netip.ParseAddrPort(entry.Address); err == nil {
			addresses = append(addresses, address)
		}
	}
	return addresses
}
