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

// InventoryPlacement assigns homes and connection limits from the inventory alone.
//
// All entries with the same inventory revision therefore agree on them without exchanging messages.
type InventoryPlacement struct {
	self     inventory.InstanceName
	servers  atomic.Pointer[map[group.Server]*serverHomes]
	rotation atomic.Uint32
}

// growthDelayPeriod is how long an entry waits before it uses connections that belonged to another entry. By then that entry
// has applied the change too, or has lost its configuration lease.
const growthDelayPeriod = 5 * time.Second

// GrowthDelay delays increases of connection limits until the entries whose limits shrink have applied the change.
type GrowthDelay struct {
	first  bool
	limits map[group.Server]int
	since  map[group.Server]time.Time
}

// NewGrowthDelay returns a delay that applies the first targets at once.
func NewGrowthDelay() *GrowthDelay { return &GrowthDelay{first: true} }

// Apply lowers the limits of targets that have grown within growthDelayPeriod. It returns the time after which it must be
// called again, or 0.
func (d *GrowthDelay) Apply(targets []pool.Target, now time.Time) time.Duration {
	limits, since := make(map[group.Server]int), make(map[group.Server]time.Time)
	var recheck time.Duration
	for i := range targets {
		target := &targets[i]
		previous := d.limits[target.Server]
		if d.first || target.Limit <= previous {
			limits[target.Server] = target.Limit
			continue
		}
		start, found := d.since[target.Server]
		if !found {
			start = now
		}
		if left := start.Add(growthDelayPeriod).Sub(now); left > 0 {
			target.Limit, since[target.Server] = previous, start
			recheck = max(recheck, left)
		}
		limits[target.Server] = target.Limit
	}
	d.limits, d.since = limits, since
	if len(targets) > 0 {
		d.first = false
	}
	return recheck
}

// serverHomes holds the homes of one server.
type serverHomes struct {
	local bool
	// homes holds the addresses of the live homes other than this entry.
	homes []netip.AddrPort
}

// NewInventoryPlacement returns a placement without servers.
func NewInventoryPlacement(self inventory.InstanceName) *InventoryPlacement {
	p := &InventoryPlacement{self: self}
	p.servers.Store(&map[group.Server]*serverHomes{})
	return p
}

// Homes appends the homes of a server, rotated by one on each call, or reports that this entry is one.
func (p *InventoryPlacement) Homes(server group.Server, dst []netip.AddrPort) ([]netip.AddrPort, bool) {
	s := (*p.servers.Load())[server]
	if s == nil || s.local {
		return dst, s != nil
	}
	start := int(p.rotation.Add(1))
	for i := range s.homes {
		dst = append(dst, s.homes[(start+i)%len(s.homes)])
	}
	return dst, false
}

// IsHome reports whether this entry is a home of the server.
func (p *InventoryPlacement) IsHome(server group.Server) bool {
	s := (*p.servers.Load())[server]
	return s != nil && s.local
}

// Update applies a snapshot and returns the servers that this entry is a home of. Servers that are leaving have no address, so
// that they get no new work.
func (p *InventoryPlacement) Update(snapshot *directory.Snapshot) []pool.Target {
	servers := make(map[group.Server]*serverHomes)
	var targets []pool.Target
	entries := p.entries(snapshot)
	for server := range snapshot.Servers {
		names := p.homeNames(snapshot, server, entries)
		s := &serverHomes{local: slices.Contains(names, p.self), homes: p.homeAddresses(snapshot, names)}
		servers[server.Name] = s
		if s.local {
			targets = append(targets, newTarget(server, share(server.Connections, names, p.self)))
		}
	}
	p.servers.Store(&servers)
	return targets
}

// share divides the connections evenly among the homes. The remainder goes to the best ones.
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

// entries returns all entries of the inventory, including those that are not live.
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

func (p *InventoryPlacement) homeNames(snapshot *directory.Snapshot, server *directory.Server, entries []placement.Entry) []inventory.InstanceName {
	return placement.Homes(nil, &placement.Database{
		ID: group.ServerID{Service: server.Service, Server: server.Name}, DataCentre: server.DataCentre,
		Region: snapshot.Region(server.DataCentre), Connections: server.Connections,
	}, entries, homeCount(server.Connections, len(entries)))
}

// minShare is the smallest number of connections for which an entry becomes a home.
const minShare = 2

// homeCount makes every entry a home while each gets at least minShare connections, because forwarding adds latency.
func homeCount(connections, entries int) int {
	return max(placement.DefaultSettings().Homes, min(entries, connections/minShare))
}

func (p *InventoryPlacement) homeAddresses(snapshot *directory.Snapshot, names []inventory.InstanceName) []netip.AddrPort {
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
