package group_test

import (
	"fmt"

	"lentilwind.dev/lentilwind/group"
)

func ExampleFloor() {
	status, err := group.ParseStatus("slot=2 role=replica term=7 fenced=7 received=120 applied=118 ageMs=40")
	if err != nil {
		panic(err)
	}
	fmt.Println(group.Floor{Term: 7, Position: 118}.SatisfiedBy(status))
	fmt.Println(group.Floor{Term: 7, Position: 119}.SatisfiedBy(status))
	// Positions of different terms cannot be compared.
	fmt.Println(group.Floor{Term: 8, Position: 5}.SatisfiedBy(status))
	// Output:
	// true
	// false
	// false
}
