package placement_test

import (
	"fmt"
	"testing"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/placement"
)

// The fleet size that the design targets.
const (
	fleetEntries   = 610
	fleetDatabases = 1400
	dataCentres    = 7
)

func fleetOfEntries() []placement.Entry {
	entries := make([]placement.Entry, fleetEntries)
	for i := range entries {
		dc := i % dataCentres
		entries[i] = placement.Entry{
			Name:       inventory.InstanceName(fmt.Sprintf("entry-%d", i)),
			DataCentre: inventory.DataCentre(fmt.Sprintf("dc-%d", dc)), Region: inventory.RegionName(fmt.Sprintf("region-%d", dc%2)),
		}
	}
	return entries
}

func fleetOfDatabases() []placement.Database {
	databases := make([]placement.Database, fleetDatabases)
	for i := range databases {
		dc := i % dataCentres
		databases[i] = placement.Database{
			ID:         group.ServerID{Service: group.Service(fmt.Sprintf("service-%d", i/3)), Server: group.Server(fmt.Sprintf("db-%d", i))},
			DataCentre: inventory.DataCentre(fmt.Sprintf("dc-%d", dc)), Region: inventory.RegionName(fmt.Sprintf("region-%d", dc%2)),
			Connections: connections,
		}
	}
	return databases
}

// BenchmarkHomes finds the homes of one database in a large fleet.
func BenchmarkHomes(b *testing.B) {
	entries, databases := fleetOfEntries(), fleetOfDatabases()
	var homes []inventory.InstanceName
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		homes = placement.Homes(homes[:0], &databases[i%len(databases)], entries, 3)
	}
}

// BenchmarkLeader handles one request of an entry that is a home of its part of a large fleet's databases.
func BenchmarkLeader(b *testing.B) {
	entries, databases := fleetOfEntries(), fleetOfDatabases()
	settings := placement.DefaultSettings()
	leader := placement.NewLeader(settings, origin, true)
	leader.SetDatabases(databases)
	leader.SetEntries(entries)
	clients := make(map[inventory.InstanceName]*placement.LeaseClient)
	usages := make(map[inventory.InstanceName][]placement.Usage)
	for _, entry := range entries {
		clients[entry.Name] = placement.NewLeaseClient(settings, entry.Name, 1)
	}
	for i := range databases {
		for _, home := range placement.Homes(nil, &databases[i], entries, settings.Homes) {
			usages[home] = append(usages[home], placement.Usage{Database: databases[i].ID, Demand: i % connections})
		}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		name := entries[i%len(entries)].Name
		request := clients[name].NewRequest(origin, usages[name])
		if reply, answered := leader.Handle(origin, &request); !answered || !clients[name].HandleReply(&reply) {
			b.Fatal("a request was not answered")
		}
	}
}
