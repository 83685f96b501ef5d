package affinity_test

import (
	"fmt"
	"time"

	"lentilwind.dev/lentilwind/affinity"
	"lentilwind.dev/lentilwind/group"
)

// A model ranks possible successors by their risk of failing together with the primary.
func ExampleModel_SortByRisk() {
	now := time.Unix(0, 0)
	m := affinity.New(affinity.DefaultConfig())
	m.RecordFailure(now, []group.Server{"a", "b"})
	m.RecordFailure(now, []group.Server{"c"})
	successors := []group.Server{"b", "c"}
	m.SortByRisk(now, successors, []group.Server{"a"})
	fmt.Println(successors, m.FailsWith(now, "a"))
	// Output: [c b] [b]
}
