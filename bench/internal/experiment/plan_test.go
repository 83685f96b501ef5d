package experiment_test

import (
	"errors"
	"testing"

	"lentilwind.dev/bench/internal/experiment"
	"lentilwind.dev/lentilwind/jsonc"
)

func TestPlansAreSortedByTime(t *testing.T) {
	p, err := experiment.ParsePlan([]byte(`{"faults": [
    {"at": "9s", "kind": "cut", "dataCentre": "tunja", "for": "2s"}, // later
    {"at": "2s", "kind": "killPrimary", "service": "inventario-1", "slot": 1},
  ]}`))
	if err != nil {
		t.Fatal(err)
	}
	if p.Faults[0].Kind != experiment.FaultKillPrimary || p.Faults[0].Slot != 1 {
		t.Errorf("the plan is %+v", p.Faults)
	}
}

func TestPlansReportEveryProblemWithItsLine(t *testing.T) {
	_, err := experiment.ParsePlan([]byte(`{"faults": [
    {"at": "1s", "kind": "explode"},
    {"at": "2s", "kind": "lag"},
  ]}`))
	var refused *jsonc.Error
	if !errors.As(err, &refused) || len(refused.Problems) != 2 {
		t.Fatalf("got %v", err)
	}
	for i, line := range []int{2, 3} {
		if refused.Problems[i].Line != line {
			t.Errorf("problem %d is at line %d, want %d", i, refused.Problems[i].Line, line)
		}
	}
}
