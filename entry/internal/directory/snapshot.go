package directory

import (
	"net/netip"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
	"lentilwind.dev/lentilwind/route"
)

// Snapshot is an immutable view of the fleet. Callers must not modify anything that it returns.
type Snapshot struct {
	// Revision is the revision of the inventory; 0 before the first one.
	Revision inventory.Revision
	// Topology is the version of the topology received from control.
	Topology protocol.TopologyVersion
	// Inventory is the document written by the operators; nil before the first one.
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

// Service is a service and its servers, in the order of the inventory.
type Service struct {
	inventory.Service
	Servers []*Server
}

// Server is a database of the inventory with its state as reported by control.
type Server struct {
	Service    group.Service
	Name       group.Server
	DataCentre inventory.DataCentre
	// Connections is the maximum number of connections that the whole system opens to the server.
	Connections int
	// Address is invalid until the server has announced itself.
	Address netip.AddrPort
	Health  protocol.Health
	// FailsWith lists servers that have failed at the same time as this one.
	FailsWith []group.Server
}

// Live reports whether the server accepts new work.
func (s *Server) Live() bool { return s.Health == protocol.HealthLive && s.Address.IsValid() }

// Workspace returns a workspace, or nil if it does not exist.
func (s *Snapshot) Workspace(name inventory.WorkspaceName) *Workspace { return s.workspaces[name] }

// Workspaces iterates over all workspaces.
func (s *Snapshot) Workspaces(yield func(*Workspace) bool) {
	for _, w := range s.workspaces {
		if !yield(w) {
			return
		}
	}
}

// Service returns a service, or nil if it does not exist.
func (s *Snapshot) Service(name group.Service) *Service { return s.services[name] }

// Server returns a server, or nil if the inventory does not list it.
func (s *Snapshot) Server(name group.Server) *Server { return s.servers[name] }

// Servers iterates over all servers of the inventory.
func (s *Snapshot) Servers(yield func(*Server) bool) {
	for _, server := range s.servers {
		if !yield(server) {
			return
		}
	}
}

// Group returns the newest known term and primary of a group, or false if none is known.
func (s *Snapshot) Group(id group.ID) (group.Configuration, bool) {
	g, found := s.groups[id]
	return g, found
}

// Route returns a route of the service by its name, or false if there is none.
func (s *Snapshot) Route(service group.Service, name inventory.RouteName) (*inventory.Route, bool) {
	return s.routes.Lookup(service, name)
}

// Entries returns the known entries, sorted by name.
func (s *Snapshot) Entries() []protocol.EntryState { return s.entries }

// Entry returns an entry by name, or false if it is unknown.
func (s *Snapshot) Entry(name inventory.InstanceName) (protocol.EntryState, bool) {
	i, found := s.entryByName[name]
	if !found {
		return protocol.EntryState{}, false
	}
	return s.entries[i], true
}

// Region returns the region of a data centre, or an empty name if the inventory does not list it.
func (s *Snapshot) Region(dc inventory.DataCentre) inventory.RegionName { return s.regions[dc] }

// Distance classifies how far apart two data centres are.
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
