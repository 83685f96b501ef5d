package directory

import (
	"maps"
	"net/netip"
	"slices"
	"strings"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
	"lentilwind.dev/lentilwind/route"
)

// Builder builds snapshots from inventory deltas and topologies. It ignores outdated ones.
type Builder struct {
	revision        inventory.Revision
	inventory       *inventory.Inventory
	topologyVersion protocol.TopologyVersion
	groups          map[group.ID]group.Configuration
	servers         map[group.Server]protocol.ServerState
	entries         map[inventory.InstanceName]protocol.EntryState
}

// NewBuilder returns an empty builder.
func NewBuilder() *Builder {
	return &Builder{
		groups:  make(map[group.ID]group.Configuration),
		servers: make(map[group.Server]protocol.ServerState),
		entries: make(map[inventory.InstanceName]protocol.EntryState),
	}
}

// ApplyDelta applies a delta to a newer inventory and reports whether it did. A delta from revision 0 replaces the whole document.
func (b *Builder) ApplyDelta(delta inventory.Delta) bool {
	if delta.To <= b.revision || delta.From != b.revision && delta.From != 0 {
		return false
	}
	old := b.inventory
	if delta.From == 0 {
		old = nil
	}
	b.inventory = delta.Apply(old)
	b.revision = delta.To
	return true
}

// ApplyTopology applies a newer topology and reports whether it did. A partial topology leaves everything that it does not list
// unchanged.
func (b *Builder) ApplyTopology(t *protocol.Topology) bool {
	if !newerVersion(t.Version, b.topologyVersion) {
		return false
	}
	if t.Full {
		clear(b.servers)
		clear(b.entries)
	}
	b.topologyVersion = t.Version
	for _, g := range t.Groups {
		b.applyGroup(g)
	}
	for _, server := range t.Servers {
		b.servers[server.Server] = server
	}
	for _, entry := range t.Entries {
		b.entries[entry.Name] = entry
	}
	return true
}

// applyGroup replaces a group's configuration by one of a newer term, or of the same term while its primary is unknown. A term
// has at most one primary.
func (b *Builder) applyGroup(g group.Configuration) {
	old, found := b.groups[g.Group]
	if found && (g.Term < old.Term || g.Term == old.Term && old.Primary != "") {
		return
	}
	b.groups[g.Group] = g
}

func newerVersion(a, b protocol.TopologyVersion) bool {
	if a.LeaderTerm != b.LeaderTerm {
		return a.LeaderTerm > b.LeaderTerm
	}
	return a.Count > b.Count
}

// Snapshot returns an immutable snapshot of the current state.
func (b *Builder) Snapshot() *Snapshot {
	s := &Snapshot{
		Revision:    b.revision,
		Topology:    b.topologyVersion,
		Inventory:   b.inventory,
		workspaces:  make(map[inventory.WorkspaceName]*Workspace),
		services:    make(map[group.Service]*Service),
		servers:     make(map[group.Server]*Server),
		groups:      maps.Clone(b.groups),
		regions:     make(map[inventory.DataCentre]inventory.RegionName),
		entryByName: make(map[inventory.InstanceName]int),
	}
	b.addInventory(s)
	s.entries = slices.SortedFunc(maps.Values(b.entries), func(a, b protocol.EntryState) int {
		return strings.Compare(string(a.Name), string(b.Name))
	})
	for i, entry := range s.entries {
		s.entryByName[entry.Name] = i
	}
	return s
}

func (b *Builder) addInventory(s *Snapshot) {
	if b.inventory == nil {
		s.routes = route.NewIndex(nil)
		return
	}
	s.routes = route.NewIndex(b.inventory.Routes)
	for _, region := range b.inventory.Regions {
		for _, dc := range region.DataCentres {
			s.regions[dc] = region.Name
		}
	}
	for _, w := range b.inventory.Workspaces {
		s.workspaces[w.Name] = newWorkspace(w)
	}
	for _, service := range b.inventory.Services {
		b.addService(s, service)
	}
}

func (b *Builder) addService(s *Snapshot, service inventory.Service) {
	result := &Service{Service: service}
	for _, database := range service.Databases {
		server := &Server{
			Service:     service.Name,
			Name:        database.Name,
			DataCentre:  database.DataCentre,
			Connections: service.Connections,
			Health:      protocol.HealthSilent,
		}
		if state, found := b.servers[database.Name]; found && state.Service == service.Name {
			server.Health = state.Health
			server.FailsWith = state.FailsWith
			server.Address, _ = netip.ParseAddrPort(state.Address)
		}
		result.Servers = append(result.Servers, server)
		s.servers[server.Name] = server
	}
	s.services[service.Name] = result
}
