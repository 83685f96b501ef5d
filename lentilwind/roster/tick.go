package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// SilentServer is a server that has stopped announcing itself.
type SilentServer struct {
	ID group.ServerID
	// WasLeaving is set if the server had announced that it is leaving, so that its silence is not a failure.
	WasLeaving bool
}

// Tick marks servers and entries that have become silent and returns those servers.
func (r *Roster) Tick(now time.Time) []SilentServer {
	var silent []SilentServer
	for id, server := range r.servers {
		if server.AnnouncedAt.IsZero() || server.Health == protocol.HealthSilent {
			continue
		}
		wasLeaving := server.Health == protocol.HealthLeaving
		if r.updateHealth(now, server) && server.Health == protocol.HealthSilent {
			silent = append(silent, SilentServer{ID: id, WasLeaving: wasLeaving})
		}
	}
	for name, e := range r.entries {
		if e.health != protocol.HealthSilent && now.Sub(e.reportedAt) > r.cfg.EntryTimeout {
			e.health = protocol.HealthSilent
			r.changes.add(change{entry: name})
		}
	}
	r.endDiscovery(now)
	slices.SortFunc(silent, func(a, b SilentServer) int { return a.ID.Compare(b.ID) })
	return silent
}

// endDiscovery marks topologies as full once DiscoveryPeriod has passed, since live processes have been heard from by then.
func (r *Roster) endDiscovery(now time.Time) {
	if r.discoveryDone || now.Sub(r.started) < r.cfg.DiscoveryPeriod {
		return
	}
	r.discoveryDone = true
	r.changes.reset()
}

// Server returns the state of a listed server; the result must not be modified.
func (r *Roster) Server(id group.ServerID) (Server, bool) {
	server, found := r.servers[id]
	if !found {
		return Server{}, false
	}
	return *server, true
}

// Servers returns the state of all servers, including unknown ones, ordered by service and name.
func (r *Roster) Servers() []protocol.ServerState {
	var states []protocol.ServerState
	for _, servers := range []map[group.ServerID]*Server{r.servers, r.unknown} {
		for _, server := range servers {
			states = append(states, server.state())
		}
	}
	sortServers(states)
	return states
}

// Entries returns the state of all entries, ordered by name.
func (r *Roster) Entries() []protocol.EntryState {
	states := make([]protocol.EntryState, 0, len(r.entries))
	for _, name := range slices.Sorted(maps.Keys(r.entries)) {
		states = append(states, r.entries[name].state())
	}
	return states
}

// Drained reports whether every live entry has applied at least this topology and runs no transaction of an older term of
// the group.
func (r *Roster) Drained(id group.ID, version protocol.TopologyVersion) bool {
	for _, e := range r.entries {
		if e.health == protocol.HealthSilent {
			continue
		}
		if !e.report.Topology.AtLeast(version) || slices.Contains(e.report.OlderTermGroups, id) {
			return false
		}
	}
	return true
}

// EntryReport returns the last report of an entry.
func (r *Roster) EntryReport(name inventory.InstanceName) (protocol.EntryReport, bool) {
	e, found := r.entries[name]
	if !found {
		return protocol.EntryReport{}, false
	}
	return e.report, true
}

func (s *Server) state() protocol.ServerState {
	return protocol.ServerState{
		Service: s.ID.Service, Server: s.ID.Server, Address: s.LastAnnouncement.Address, Health: s.Health, FailsWith: s.FailsWith,
	}
}

func (e *entry) state() protocol.EntryState {
	return protocol.EntryState{
		Name: e.report.Name, DataCentre: e.report.DataCentre, Address: e.report.Address, Health: e.health,
	}
}

func sortServers(states []protocol.ServerState) {
	slices.SortFunc(states, func(a, b protocol.ServerState) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Server, b.Server))
	})
}
