package roster_test

import (
	"fmt"
	"time"

	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
	"lentilwind.dev/lentilwind/roster"
)

// A receiver of topologies asks for the changes since the version that it holds.
func ExampleRoster_Topology() {
	now := time.Unix(0, 0)
	r := roster.New(roster.DefaultConfig(), protocol.TopologyVersion{LeaderTerm: 1}, now)
	databases := []inventory.Database{{Name: "a", DataCentre: "raquira"}}
	r.SetInventory(now, &inventory.Inventory{Services: []inventory.Service{{Name: "inventario-1", Slots: 1, Databases: databases}}})
	held := r.Version()
	r.HandleAnnouncement(now, protocol.Announcement{Service: "inventario-1", Server: "a", Address: "127.0.0.1:5432", Sequence: 1})
	delta := r.Topology(held)
	fmt.Println(delta.Full, delta.Servers[0].Server, delta.Servers[0].Health, r.Topology(delta.Version) == nil)
	// Output: false a live true
}
