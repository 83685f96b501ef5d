package directory

import (
	"net/netip"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
	"lentilwind.dev/lentilwind/route"
)

// Snapshot is what was known at one moment; it never changes and its parts must not be changed.
type Snapshot struct {
	// Revision is the inventory in force; 0 before the first one.
	Revision inventory.Revision
	// Topology is the version of what control has learned.
	Topology protocol.TopologyVersion
	// Inventory is the operators' document; nil before the first one.
	Inventory *inventory.Inventory

	workspaces  map[inventory.WorkspaceName]*Workspace
	services    map[group.Service]*Service
	servers     map[group.Server]*Server
	groups      map[group.ID]group.Configuration
	routes      *route.Index
	regions     map[inventory.DataCentre]inventory.RegionName
	entries     []protocol.EntryState
	entryByName map[inventory.InstanceName]int
}

// Service is a service with its servers in the order of the inventory.
type Service struct {
	inventory.Service
	Servers []*Server
}

// Server is a database of the inventory with what control knows of it.
type Server struct {
	Service    group.Service
	Name       group.Server
	DataCentre inventory.DataCentre
	// Connections is the most that the whole system opens to the server.
	Connections int
	// Address is invalid while the server has not announced itself.
	Address netip.AddrPort
	Health  protocol.Health
	// FailsWith lists servers that have vanished together with this one.
	FailsWith []group.Server
}

// Live tells whether the server may get new work.
func (s *Server) Live() bool { return s.Health == protocol.HealthLive && s.Address.IsValid() }

// Workspace returns a workspace, or nil for one that does not exist.
func (s *Snapshot) Workspace(name inventory.WorkspaceName) *Workspace { return s.workspaces[name] }

// Workspaces calls a function for each workspace until it returns false.
func (s *Snapshot) Workspaces(yield func(*Workspace) bool) {
	for _, w := range s.workspaces {
		if !yield(w) {
			return
		}
	}
}

// Service returns a service, or nil for one that does not exist.
func (s *Snapshot) Service(name group.Service) *Service { return s.services[name] }

// Server returns a server of the inventory, or nil for one that it does not list.
func (s *Snapshot) Server(name group.Server) *Server { return s.servers[name] }

// Servers calls a function for each server of the inventory until it returns false.
func (s *Snapshot) Servers(yield func(*Server) bool) {
	for _, server := range s.servers {
		if !yield(server) {
			return
		}
	}
}

// Group returns the newest known term and primary of a group; false while none is known.
func (s *Snapshot) Group(id group.ID) (group.Configuration, bool) {
	g, found := s.groups[id]
	return g, found
}

// Route returns the rule of a request; false means that the name stands for no route of the service.
func (s *Snapshot) Route(service group.Service, name inventory.RouteName) (*inventory.Route, bool) {
	return s.routes.Lookup(service, name)
}

// Entries returns the known entries in the order of their names.
func (s *Snapshot) Entries() []protocol.EntryState { return s.entries }

// Entry returns one entry by name.
func (s *Snapshot) Entry(name inventory.InstanceName) (protocol.EntryState, bool) {
	i, found := s.entryByName[name]
	if !found {
		return protocol.EntryState{}, false
	}
	return s.entries[i], true
}

// Region returns the region of a data centre; empty for one that the inventory does not list.
func (s *Snapshot) Region(dc inventory.DataCentre) inventory.RegionName { return s.regions[dc] }

// Distance returns how far two data centres stand from each other.
func (s *Snapshot) Distance(a, b inventory.DataCentre) route.Distance {
	if a == b {
		return route.SameDataCentre
	}
	region, found := s.regions[a]
	if found && region == s.regions[b] {
		return route.SameRegion
	}
	return route.OtherRegion
}
