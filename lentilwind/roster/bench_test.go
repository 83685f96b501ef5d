package roster_test

import (
	"fmt"
	"testing"
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
	"lentilwind.dev/lentilwind/roster"
)

// newSettledRoster returns a roster with the given numbers of databases and entries whose discovery has ended.
func newSettledRoster(databases, entries int) (*roster.Roster, time.Time) {
	inv := &inventory.Inventory{}
	for i := range entries {
		inv.Instances = append(inv.Instances, inventory.Instance{Name: inventory.InstanceName(fmt.Sprint("entry-", i))})
	}
	for i := range databases {
		name := fmt.Sprint("service-", i/3)
		if i%3 == 0 {
			inv.Services = append(inv.Services, inventory.Service{Name: group.Service(name), Slots: 3})
		}
		service := &inv.Services[len(inv.Services)-1]
		service.Databases = append(service.Databases, inventory.Database{Name: group.Server(fmt.Sprint("database-", i))})
	}
	r := roster.New(cfg, protocol.TopologyVersion{LeaderTerm: 1}, start)
	r.SetInventory(start, inv)
	now := start.Add(time.Minute)
	for _, service := range inv.Services {
		for _, database := range service.Databases {
			a := protocol.Announcement{Service: service.Name, Server: database.Name, Address: "10.0.0.1:" + string(database.Name)}
			r.HandleAnnouncement(now, a)
		}
		for slot := range service.Slots {
			r.SetGroup(now, group.Configuration{Group: group.ID{Service: service.Name, Slot: group.Slot(slot)}, Term: 1, Primary: "p"})
		}
	}
	for _, instance := range inv.Instances {
		r.HandleEntryReport(now, protocol.EntryReport{Name: instance.Name, Address: "10.0.0.2:7000"})
	}
	r.Tick(now)
	return r, now
}

var sizes = []struct{ databases, entries int }{{9, 8}, {450, 200}, {1400, 610}}

func BenchmarkTick(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%d+%d", size.databases, size.entries), func(b *testing.B) {
			r, now := newSettledRoster(size.databases, size.entries)
			for b.Loop() {
				r.Tick(now)
			}
		})
	}
}

// BenchmarkDelta measures the cost of one changed group for one receiver, and the size of a full topology.
func BenchmarkDelta(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%d+%d", size.databases, size.entries), func(b *testing.B) {
			r, now := newSettledRoster(size.databases, size.entries)
			term := group.Term(1)
			for b.Loop() {
				version := r.Version()
				term++
				r.SetGroup(now, group.Configuration{Group: group.ID{Service: "service-0"}, Term: term, Primary: "p"})
				if topology := r.Topology(version); len(topology.Groups) != 1 {
					b.Fatal(topology)
				}
			}
			data, err := protocol.Encode(r.Topology(protocol.TopologyVersion{}))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(data)), "full-bytes")
		})
	}
}
