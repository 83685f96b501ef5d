package experiment_test

import (
	"errors"
	"testing"

	"lentilwind.dev/bench/internal/experiment"
	"lentilwind.dev/lentilwind/jsonc"
)

func TestParsePlanSortsFaultsByTime(t *testing.T) {
	plan, err := experiment.ParsePlan([]byte(`{"faults": [
    {"at": "9s", "kind": "cut", "dataCentre": "tunja", "for": "2s"}, // later
    {"at": "2s", "kind": "killPrimary", "service": "inventario-1", "slot": 1},
  ]}`))
	if err != nil {
		t.Fatal(err)
	}
	if plan.Faults[0].Kind != experiment.FaultKillPrimary || plan.Faults[0].Slot != 1 {
		t.Errorf("got %+v, want killPrimary of slot 1 first", plan.Faults)
	}
}

func TestParsePlanReportsEveryProblemWithItsLine(t *testing.T) {
	_, err := experiment.ParsePlan([]byte(`{"faults": [
    {"at": "1s", "kind": "explode"},
    {"at": "2s", "kind": "lag"},
  ]}`))
	var planErr *jsonc.Error
	if !errors.As(err, &planErr) || len(planErr.Problems) != 2 {
		t.Fatalf("got %v, want an error with 2 problems", err)
	}
	for i, line := range []int{2, 3} {
		if planErr.Problems[i].Line != line {
			t.Errorf("problem %d is at line %d, want line %d", i, planErr.Problems[i].Line, line)
		}
	}
}
