package roster

import (
	"cmp"
	"maps"
	"slices"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// change names what changed; exactly one field is set.
type change struct {
	group  group.ID
	server group.ServerID
	entry  inventory.InstanceName
}

// changeLog numbers the changes of one leader and keeps the newest of them.
type changeLog struct {
	term  uint64
	limit int
	count uint64
	// changes holds those numbered from count-len(changes)+1 to count.
	changes []change
}

func (l *changeLog) add(c change) {
	if len(l.changes) >= l.limit {
		l.changes = slices.Clone(l.changes[l.limit/2:])
	}
	l.changes = append(l.changes, c)
	l.count++
}

// reset makes every older version too old for a delta.
func (l *changeLog) reset() {
	l.changes = nil
	l.count++
}

// since returns the distinct changes after a count and whether all of them are still known.
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

// Topology returns what has changed since a version, or nil if nothing has; the cost is that of the changes alone.
//
// A version that is too old, or of another leader, gets all there is. It is marked as full only once the leader has led
// for long enough to have heard of every live process: until then the receiver keeps what it knows besides.
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
	return r.all(version)
}

// delta lists the changed ones; what has left the inventory is listed with unknown health.
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

func (r *Roster) all(version protocol.TopologyVersion) *protocol.Topology {
	topology := &protocol.Topology{
		Version: version,
		Full:    r.settled,
		Groups:  slices.Collect(maps.Values(r.groups)),
		Entries: r.Entries(),
	}
	for _, server := range r.servers {
		if r.settled || !server.AnnouncedAt.IsZero() {
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
