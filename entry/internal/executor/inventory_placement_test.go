package executor_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"lentilwind.dev/entry/internal/directory"
	"lentilwind.dev/entry/internal/executor"
	"lentilwind.dev/entry/internal/pool"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

func newSnapshot(instances, databases int) *directory.Snapshot {
	inv := inventory.Inventory{
		Regions:  []inventory.Region{{Name: "andina", DataCentres: []inventory.DataCentre{"raquira", "tunja"}}},
		Services: []inventory.Service{{Name: "inventario-1", Slots: 1, Connections: 20}},
	}
	topology := protocol.Topology{Version: protocol.TopologyVersion{LeaderTerm: 1, Count: 1}, Full: true}
	for i := range instances {
		instance := inventory.Instance{Name: inventory.InstanceName(fmt.Sprintf("entry-%d", i)), DataCentre: inv.Regions[0].DataCentres[i%2]}
		inv.Instances = append(inv.Instances, instance)
		topology.Entries = append(topology.Entries, protocol.EntryState{
			Name: instance.Name, DataCentre: instance.DataCentre, Address: fmt.Sprintf("127.0.0.1:%d", 7000+i), Health: protocol.HealthLive,
		})
	}
	for i := range databases {
		name := group.Server(fmt.Sprintf("db-%d", i))
		inv.Services[0].Databases = append(inv.Services[0].Databases, inventory.Database{Name: name, DataCentre: "raquira"})
		topology.Servers = append(topology.Servers, protocol.ServerState{
			Service: "inventario-1", Server: name, Address: fmt.Sprintf("127.0.0.1:%d", 5000+i), Health: protocol.HealthLive,
		})
	}
	delta := inventory.Diff(0, nil, 1, &inv)
	d := directory.New()
	d.Apply(&delta, &topology)
	return d.Snapshot()
}

func TestLimitsOfAllEntriesAddUpToServerLimit(t *testing.T) {
	for _, instances := range []int{1, 2, 8, 64} {
		snapshot := newSnapshot(instances, 30)
		sum := make(map[group.Server]int)
		for i := range instances {
			p := executor.NewInventoryPlacement(inventory.InstanceName(fmt.Sprintf("entry-%d", i)))
			for _, target := range p.Update(snapshot) {
				sum[target.Server] += target.Limit
			}
			for db := range 30 {
				homes, local := p.Homes(group.Server(fmt.Sprintf("db-%d", db)), nil)
				if local == (len(homes) > 0) {
					t.Fatalf("entry %d, database %d: local %v with homes %v", i, db, local, homes)
				}
			}
		}
		for server, n := range sum {
			if n != 20 {
				t.Errorf("%d instances: %s gets %d connections", instances, server, n)
			}
		}
		if len(sum) != 30 {
			t.Errorf("%d instances: %d databases have a home", instances, len(sum))
		}
	}
}

func TestGrowthDelayHoldsBackRaisedLimits(t *testing.T) {
	delay := executor.NewGrowthDelay()
	now := time.Unix(1000, 0)
	target := func(server group.Server, limit int) pool.Target {
		return pool.Target{Server: server, Address: netip.MustParseAddrPort("127.0.0.1:1"), Limit: limit}
	}
	for _, step := range []struct {
		after       time.Duration
		limit, want int
	}{{0, 6, 6}, {time.Second, 10, 6}, {4 * time.Second, 10, 6}, {6 * time.Second, 10, 10}, {7 * time.Second, 5, 5}, {8 * time.Second, 6, 5}} {
		targets := []pool.Target{target("db-0", step.limit)}
		delay.Apply(targets, now.Add(step.after))
		if targets[0].Limit != step.want {
			t.Errorf("after %v: %d, want %d", step.after, targets[0].Limit, step.want)
		}
	}
	targets := []pool.Target{target("db-0", 5), target("db-1", 6)}
	if recheck := delay.Apply(targets, now.Add(9*time.Second)); targets[1].Limit != 0 || recheck <= 0 {
		t.Errorf("new home starts with limit %d, recheck after %v", targets[1].Limit, recheck)
	}
}
