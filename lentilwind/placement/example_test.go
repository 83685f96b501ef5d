package placement_test

import (
	"fmt"
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/placement"
)

func ExampleHomes() {
	database := placement.Database{
		ID:         group.ServerID{Service: "inventario-1", Server: "inv1-a"},
		DataCentre: "raquira", Region: "andina", Connections: 20,
	}
	homes := placement.Homes(nil, &database, []placement.Entry{
		{Name: "entry-1", DataCentre: "tunja", Region: "andina"},
		{Name: "entry-2", DataCentre: "raquira", Region: "andina"},
		{Name: "entry-3", DataCentre: "govan-depot", Region: "west-scotland"},
	}, 2)
	fmt.Println(homes)
	// Output:
	// [entry-2 entry-1]
}

func ExampleLeader() {
	now := time.Unix(1000, 0)
	settings := placement.DefaultSettings()
	id := group.ServerID{Service: "inventario-1", Server: "inv1-a"}
	leader := placement.NewLeader(settings, now, true)
	leader.SetDatabases([]placement.Database{{ID: id, DataCentre: "raquira", Region: "andina", Connections: 20}})
	leader.SetEntries([]placement.Entry{
		{Name: "entry-1", DataCentre: "raquira", Region: "andina"}, {Name: "entry-2", DataCentre: "raquira", Region: "andina"},
	})
	client := placement.NewLeaseClient(settings, "entry-1", 1)

	// The application carries the request to the leader and the reply back.
	request := client.NewRequest(now, []placement.Usage{{Database: id, Demand: 3}})
	reply, _ := leader.Handle(now, &request)
	client.HandleReply(&reply)
	fmt.Printf("%+v\n", client.Budget(now, id))
	// Without the leader, the share ends and the floor remains.
	fmt.Printf("%+v\n", client.Budget(now.Add(settings.ShareLease), id))
	// Output:
	// {Hold:9 Target:9}
	// {Hold:2 Target:2}
}
