package roster

import (
	"cmp"
	"maps"
	"slices"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// change identifies a changed group, server or entry; exactly one field is set.
type change struct {
	group  group.ID
	server group.ServerID
	entry  inventory.InstanceName
}

// changeLog numbers the changes made under one leader and keeps the newest ones.
type changeLog struct {
	term  uint64
	limit int
	count uint64
	// changes holds the changes numbered count-len(changes)+1 to count.
	changes []change
}

func (l *changeLog) add(c change) {
	if len(l.changes) >= l.limit {
		l.changes = slices.Clone(l.changes[l.limit/2:])
	}
	l.changes = append(l.changes, c)
	l.count++
}

// reset discards the changes, so that every receiver with an older version gets all state instead of a delta.
func (l *changeLog) reset() {
	l.changes = nil
	l.count++
}

// since returns the distinct changes after count and whether all of them are still in the log.
func (l *changeLog) since(count uint64) (map[change]struct{}, bool) {
	oldest := l.count - uint64(len(l.changes))
	if count < oldest || count > l.count {
		return nil, false
	}
	changed := make(map[change]struct{})
	for _, c := range l.changes[count-oldest:] {
		changed[c] = struct{}{}
	}
	return changed, true
}

// Version returns the version of the newest topology.
func (r *Roster) Version() protocol.TopologyVersion {
	return protocol.TopologyVersion{LeaderTerm: r.changes.term, Count: r.changes.count}
}

// Topology returns the changes since a version, or nil if there are none; the cost depends only on the number of changes.
//
// For a version that is too old or from another leader, it returns all known state. This is marked as full only once the
// leader has had time to hear from every live process; until then the receiver keeps its other entries.
func (r *Roster) Topology(since protocol.TopologyVersion) *protocol.Topology {
	version := r.Version()
	if since == version {
		return nil
	}
	if since.LeaderTerm == version.LeaderTerm {
		if changed, known := r.changes.since(since.Count); known {
			return r.delta(version, changed)
		}
	}
	return r.snapshot(version)
}

// delta lists the changed servers, groups and entries; those that have left the inventory are listed with unknown health.
func (r *Roster) delta(version protocol.TopologyVersion, changed map[change]struct{}) *protocol.Topology {
	topology := &protocol.Topology{Version: version}
	for c := range changed {
		switch {
		case c.entry != "":
			topology.Entries = append(topology.Entries, r.entryState(c.entry))
		case c.server != group.ServerID{}:
			topology.Servers = append(topology.Servers, r.serverState(c.server))
		default:
			if configuration, found := r.groups[c.group]; found {
				topology.Groups = append(topology.Groups, configuration)
			}
		}
	}
	sortTopology(topology)
	return topology
}

func (r *Roster) entryState(name inventory.InstanceName) protocol.EntryState {
	if e := r.entries[name]; e != nil {
		return e.state()
	}
	return protocol.EntryState{Name: name, Health: protocol.HealthUnknown}
}

func (r *Roster) serverState(id group.ServerID) protocol.ServerState {
	if server := r.servers[id]; server != nil {
		return server.state()
	}
	return protocol.ServerState{Service: id.Service, Server: id.Server, Health: protocol.HealthUnknown}
}

// snapshot lists all known state; before the end of discovery, servers that have not announced themselves are left out.
func (r *Roster) snapshot(version protocol.TopologyVersion) *protocol.Topology {
	topology := &protocol.Topology{
		Version: version,
		Full:    r.discoveryDone,
		Groups:  slices.Collect(maps.Values(r.groups)),
		Entries: r.Entries(),
	}
	for _, server := range r.servers {
		if r.discoveryDone || !server.AnnouncedAt.IsZero() {
			topology.Servers = append(topology.Servers, server.state())
		}
	}
	sortTopology(topology)
	return topology
}

func sortTopology(topology *protocol.Topology) {
	slices.SortFunc(topology.Groups, func(a, b group.Configuration) int { return a.Group.Compare(b.Group) })
	sortServers(topology.Servers)
	slices.SortFunc(topology.Entries, func(a, b protocol.EntryState) int { return cmp.Compare(a.Name, b.Name) })
}
