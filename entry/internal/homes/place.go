package homes

import (
	"net/netip"

	"lentilwind.dev/entry/internal/directory"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/placement"
	"lentilwind.dev/lentilwind/protocol"
)

// place is where the transactions of a server run.
type place struct {
	id group.ServerID
	// home tells that this entry is one of the homes.
	home bool
	// others are the addresses of the other homes, the best first.
	others []netip.AddrPort
}

// follow finds the homes of all servers anew.
func (h *Manager) follow() {
	snapshot := h.cfg.Directory.Snapshot()
	entries := liveEntries(snapshot)
	places := make(map[group.Server]*place)
	var names []inventory.InstanceName
	for server := range snapshot.Servers {
		database := placement.Database{
			ID: group.ServerID{Service: server.Service, Server: server.Name}, DataCentre: server.DataCentre,
			Region: snapshot.Region(server.DataCentre), Connections: server.Connections,
		}
		names = placement.Homes(names[:0], &database, entries, h.cfg.Settings.Homes)
		places[server.Name] = h.place(snapshot, database.ID, names)
	}
	h.places.Store(&places)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.eager = true
}

// liveEntries returns the entries that take new work.
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

func (h *Manager) place(snapshot *directory.Snapshot, id group.ServerID, names []inventory.InstanceName) *place {
	p := &place{id: id}
	for _, name := range names {
		if name == h.cfg.Name {
			p.home = true
			continue
		}
		entry, _ := snapshot.Entry(name)
		if address, err := netip.ParseAddrPort(entry.Address); err == nil {
			p.others = append(p.others, address)
		}
	}
	return p
}
