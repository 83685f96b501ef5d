package route_test

import (
	"fmt"
	"time"

	"lentilwind.dev/lentilwind/confirm"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/route"
)

func ExampleParseComment() {
	hints := route.ParseComment("/*route='order',key='pallet-7'*/ UPDATE crates SET n = n - 1")
	fmt.Println(hints.Route, hints.Key, route.SlotOf(hints.Key, 3))
	// A comment in any other form yields no hints, so the statement takes the default route.
	fmt.Printf("%+v\n", route.ParseComment("/* route='order' for the florists */ SELECT 1"))
	// Output:
	// order pallet-7 1
	// {Route: Key:}
}

func ExampleChoose() {
	now := time.Unix(1000, 0)
	replica := group.Status{Role: group.RoleReplica, Term: 7, Received: 120, Applied: 118, Lag: 40 * time.Millisecond}
	view := route.View{
		Term: 7, Primary: "inv1-a",
		// A majority was polled 10 ms ago and knew of no newer term.
		TermConfirmedAt: now.Add(-10 * time.Millisecond),
		Members: []route.Member{
			{Server: "inv1-a", Usable: true, Distance: route.SameRegion},
			{Server: "inv1-b", Usable: true, Sample: confirm.StatusSample{Status: replica, SentAt: now.Add(-10 * time.Millisecond)}},
		},
	}
	lookup := route.Request{MaxStaleness: 500 * time.Millisecond, Floor: group.Floor{Term: 7, Position: 118}}
	choice := route.Choose(route.DefaultPolicy, &view, &lookup, now)
	fmt.Println(choice.Decision, choice.Server, choice.Until.Sub(now))

	// The session has written something that the replica has not applied yet.
	lookup.Floor.Position = 119
	lookup.Waited = time.Second
	choice = route.Choose(route.DefaultPolicy, &view, &lookup, now)
	fmt.Println(choice.Decision, choice.Server)
	// Output:
	// replica inv1-b 450ms
	// primary inv1-a
}
