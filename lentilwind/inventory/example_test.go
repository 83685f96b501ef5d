package inventory_test

import (
	"fmt"

	"lentilwind.dev/lentilwind/inventory"
)

func ExampleRead() {
	_, err := inventory.Read([]byte(`{
  "regions": [{"name": "andina", "dataCentres": ["raquira"]}],
  // Bogotá stands in no region.
  "instances": [{"name": "entry-1", "dataCentre": "bogota-norte"}],
  "services": [], "workspaces": [], "routes": []
}`))
	fmt.Println(err)
	// Output:
	// inventory: jsonc: line 4, column 51: data centre "bogota-norte" stands in no region; add it to a region or correct the name
}

func ExampleDelta() {
	old, err := inventory.Read([]byte(sample))
	if err != nil {
		panic(err)
	}
	current := *old
	current.Workspaces = nil
	delta := inventory.Diff(1, old, 2, &current)
	fmt.Println(delta.Workspaces.Removed, len(delta.Apply(old).Workspaces))
	// Output:
	// [w1] 0
}
