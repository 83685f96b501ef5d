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

// SilentServer is a server that stopped to announce itself.
type SilentServer struct {
	ID group.ServerID
	// WasLeaving tells that it had asked for no new work, so that its end is no failure.
	WasLeaving bool
}

// Tick marks what has gone silent and returns the servers among it.
func (r *Roster) Tick(now time.Time) []SilentServer {
	var silenced []SilentServer
	for id, server := range r.servers {
		if server.AnnouncedAt.IsZero() || server.Health == protocol.HealthSilent {
			continue
		}
		wasLeaving := server.Health == protocol.HealthLeaving
		if r.judge(now, server) && server.Health == protocol.HealthSilent {
			silenced = append(silenced, SilentServer{ID: id, WasLeaving: wasLeaving})
		}
	}
	for name, e := range r.entries {
		if e.health != protocol.HealthSilent && now.Sub(e.seen) > r.cfg.EntryTimeout {
			e.health = protocol.HealthSilent
			r.changes.add(change{entry: name})
		}
	}
	r.settle(now)
	slices.SortFunc(silenced, func(a, b SilentServer) int { return a.ID.Compare(b.ID) })
	return silenced
}

// settle makes topologies full once silence since the start tells something.
func (r *Roster) settle(now time.Time) {
	if r.settled || now.Sub(r.started) < r.cfg.DiscoveryPeriod {
		return
	}
	r.settled = true
	r.changes.reset()
}

// Server returns what is known of a listed server; the result must not be changed.
func (r *Roster) Server(id group.ServerID) (Server, bool) {
	server, found := r.servers[id]
	if !found {
		return Server{}, false
	}
	return *server, true
}

// Servers returns the state of all servers, the unknown ones included, ordered by service and name.
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

// Drained tells whether every live entry starts transactions by at least this topology and has none left of an older term.
func (r *Roster) Drained(id group.ID, version protocol.TopologyVersion) bool {
	for _, e := range r.entries {
		if e.health == protocol.HealthSilent {
			continue
		}
		if !e.report.Topology.Reaches(version) || slices.Contains(e.report.Running, id) {
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
