package directory_test

import (
	"testing"

	"lentilwind.dev/entry/internal/directory"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

func TestPartialTopologyFromNewLeaderKeepsUnlistedState(t *testing.T) {
	const service = "inventario-1"
	inv := inventory.Inventory{Services: []inventory.Service{{Name: service, Slots: 2, Databases: []inventory.Database{{Name: "a"}, {Name: "b"}}}}}
	delta := inventory.Diff(0, nil, 1, &inv)
	live := func(name group.Server, address string) protocol.ServerState {
		return protocol.ServerState{Service: service, Server: name, Address: address, Health: protocol.HealthLive}
	}
	primary := func(slot group.Slot, term group.Term, server group.Server) group.Configuration {
		return group.Configuration{Group: group.ID{Service: service, Slot: slot}, Term: term, Primary: server}
	}
	d := directory.New()
	d.Apply(&delta, &protocol.Topology{
		Version: protocol.TopologyVersion{LeaderTerm: 1, Count: 9}, Full: true,
		Groups:  []group.Configuration{primary(0, 1, "a"), primary(1, 4, "a")},
		Servers: []protocol.ServerState{live("a", "127.0.0.1:1"), live("b", "127.0.0.1:2")},
		Entries: []protocol.EntryState{{Name: "entry-1"}},
	})
	partial := protocol.Topology{
		Version: protocol.TopologyVersion{LeaderTerm: 2, Count: 1},
		Groups:  []group.Configuration{primary(0, 2, "b"), primary(1, 3, "b")},
		Servers: []protocol.ServerState{live("b", "127.0.0.1:3")},
	}
	if !d.Apply(nil, &partial) {
		t.Fatal("the partial topology was rejected")
	}
	s := d.Snapshot()
	for slot, want := range []group.Configuration{primary(0, 2, "b"), primary(1, 4, "a")} {
		if got, _ := s.Group(group.ID{Service: service, Slot: group.Slot(slot)}); got != want {
			t.Errorf("slot %d: got %+v, want %+v", slot, got, want)
		}
	}
	if !s.Server("a").Live() || s.Server("b").Address.Port() != 3 || len(s.Entries()) != 1 {
		t.Errorf("a: %+v, b: %+v, entries: %v", s.Server("a"), s.Server("b"), s.Entries())
	}
	partial.Version = protocol.TopologyVersion{LeaderTerm: 1, Count: 10}
	if d.Apply(nil, &partial) {
		t.Error("accepted a topology of an older leader term")
	}
}
