package homes

import (
	"net/netip"

	"lentilwind.dev/entry/internal/directory"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/placement"
	"lentilwind.dev/lentilwind/protocol"
)

// serverHomes holds the homes of one server.
type serverHomes struct {
	id group.ServerID
	// local reports whether this entry is one of the homes.
	local bool
	// others holds the addresses of the other homes, the best first.
	others []netip.AddrPort
}

// updateHomes recomputes the homes of all servers from the directory.
func (m *Manager) updateHomes() {
	snapshot := m.cfg.Directory.Snapshot()
	entries := liveEntries(snapshot)
	servers := make(map[group.Server]*serverHomes)
	var names []inventory.InstanceName
	for server := range snapshot.Servers {
		database := placement.Database{
			ID: group.ServerID{Service: server.Service, Server: server.Name}, DataCentre: server.DataCentre,
			Region: snapshot.Region(server.DataCentre), Connections: server.Connections,
		}
		names = placement.Homes(names[:0], &database, entries, m.cfg.Settings.Homes)
		servers[server.Name] = m.newServerHomes(snapshot, database.ID, names)
	}
	m.servers.Store(&servers)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requestNow = true
}

// liveEntries returns the entries that accept new work.
func liveEntries(snapshot *directory.Snapshot) []placement.Entry {
	var entries []placement.Entry
	for _, entry := range snapshot.Entries() {
		if entry.Health == protocol.HealthLive {
			entries = append(entries, placement.Entry{
				Name: entry.Name, DataCentre: entry.DataCentre, Region: snapshot.Region(entry.DataCentre),
			})
		}
	}
	return entries
}

func (m *Manager) newServerHomes(snapshot *directory.Snapshot, id group.ServerID, names []inventory.InstanceName) *serverHomes {
	s := &serverHomes{id: id}
	for _, name := range names {
		if name == m.cfg.Name {
			s.local = true
			continue
		}
		entry, _ := snapshot.Entry(name)
		if address, err := netip.ParseAddrPort(entry.Address); err == nil {
			s.others = append(s.others, address)
		}
	}
	return s
}
