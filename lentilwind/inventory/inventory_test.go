package inventory_test

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/jsonc"
)

const sample = `{
  // One region.
  "regions": [{"name": "andina", "dataCentres": ["raquira", "tunja"]}],
  "instances": [{"name": "entry-1", "dataCentre": "raquira"}],
  "services": [{"name": "inventario-1", "slots": 3, "connections": 20,
    "databases": [{"name": "inv1-a", "dataCentre": "raquira"}]}],
  "workspaces": [{"name": "w1", "rate": 10, "burst": 20, "keys": []}],
  "routes": [{"name": "lookup", "access": "read", "maxStaleness": "500ms"}],
}`

func TestReadFillsDefaults(t *testing.T) {
	inv, err := inventory.Read([]byte(sample))
	if err != nil {
		t.Fatal(err)
	}
	if inv.Workspaces[0].Weight != 1 || inv.Routes[0].CutOff != inventory.CutOffRefuse {
		t.Errorf("defaults are missing: %+v", inv)
	}
}

func TestReadReportsLineOfUnknownField(t *testing.T) {
	_, err := inventory.Read([]byte(`{
  "regions": [{"name": "andina", "dataCentres": ["raquira"]}],
  "instances": [{"name": "entry-1", "dataCentre": "bogota"}],
  "services": [], "workspaces": [],
  "routes": [{"name": "x", "access": "peek", "colour": "red"}]
}`))
	var refused *jsonc.Error
	if !errors.As(err, &refused) {
		t.Fatalf("got %v", err)
	}
	if refused.Problems[0].Line != 5 {
		t.Errorf("unknown field at line %d, want 5", refused.Problems[0].Line)
	}
}

func TestReadReportsLinesOfInvalidValues(t *testing.T) {
	_, err := inventory.Read([]byte(`{
  "regions": [{"name": "andina", "dataCentres": ["raquira"]}],
  "instances": [{"name": "entry-1", "dataCentre": "bogota"}],
  "routes": [{"name": "x", "access": "peek"}]
}`))
	var refused *jsonc.Error
	if !errors.As(err, &refused) || len(refused.Problems) != 2 {
		t.Fatalf("got %v", err)
	}
	lines := []int{refused.Problems[0].Line, refused.Problems[1].Line}
	if diff := cmp.Diff([]int{3, 4}, lines); diff != "" {
		t.Error(diff)
	}
}

// Guards against a document that was cut short or of which a part was forgotten, which would take out of force what it does not list.
func TestReadCompleteRefusesMissingParts(t *testing.T) {
	if _, err := inventory.ReadComplete([]byte(sample)); err != nil {
		t.Errorf("a complete document: %v", err)
	}
	_, err := inventory.ReadComplete([]byte(`{"regions": [], "instances": [], "services": [], "routes": null}`))
	var refused *jsonc.Error
	if !errors.As(err, &refused) || len(refused.Problems) != 2 {
		t.Errorf("without workspaces and routes: %v", err)
	}
	if _, err := inventory.Read([]byte(`{"regions": []}`)); err != nil {
		t.Errorf("a document that was accepted before: %v", err)
	}
}

func TestApplyingDiffYieldsNewInventory(t *testing.T) {
	old, err := inventory.Read([]byte(sample))
	if err != nil {
		t.Fatal(err)
	}
	current := *old
	current.Routes = []inventory.Route{{Name: "order", Access: inventory.AccessWrite}}
	current.Workspaces = append([]inventory.Workspace{}, old.Workspaces...)
	current.Workspaces[0].Rate = 99
	got := inventory.Diff(1, old, 2, &current).Apply(old)
	if diff := cmp.Diff(&current, got); diff != "" {
		t.Error(diff)
	}
}
