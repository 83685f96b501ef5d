package failover_test

import (
	"fmt"
	"time"

	"lentilwind.dev/lentilwind/failover"
	"lentilwind.dev/lentilwind/group"
)

// A machine is driven by events and returns effects; its caller carries them out and reports the results as events.
func ExampleMachine() {
	id := group.ID{Service: "inventario-1"}
	members := []failover.Member{{Server: "a"}, {Server: "b"}, {Server: "c"}}
	m := failover.New(failover.DefaultConfig(), id, members, group.Configuration{Group: id, Term: 1, Primary: "a"})
	now := time.Unix(0, 0)
	m.Start(now)
	for _, name := range []group.Server{"b", "c"} {
		status := group.Status{Role: group.RoleReplica, Term: 1, FencedTerm: 1, Received: 40}
		m.Step(now, failover.Announced{Server: name, Address: "127.0.0.1:5432", Incarnation: 1, Status: status})
	}
	for _, effect := range m.Step(now, failover.ServerFailed{Server: "a"}) {
		fmt.Printf("%T %+v\n", effect, effect)
	}
	termStarted := group.Configuration{Group: id, Term: 2}
	for _, effect := range m.Step(now, failover.JournalResult{Outcome: failover.OutcomeDone, Current: termStarted}) {
		if fence, ok := effect.(failover.Fence); ok {
			fmt.Printf("%T %+v\n", fence, fence)
		}
	}
	// Output:
	// failover.Journal {Expect:1 Next:{Group:inventario-1/0 Term:2 Primary:}}
	// failover.Fence {Server:b Term:2}
	// failover.Fence {Server:c Term:2}
}
