package experiment_test

import (
	"testing"
	"time"

	"lentilwind.dev/bench/fleet"
	"lentilwind.dev/bench/internal/experiment"
	"lentilwind.dev/lentilwind/inventory"
)

func TestWorkspacesLoadPublicWorkspaceOnlyWithOpenRoute(t *testing.T) {
	for scenario, want := range map[experiment.Scenario]bool{
		experiment.ScenarioTresRios: true, experiment.ScenarioClydeside: false,
	} {
		layout, err := scenario.Layout()
		if err != nil {
			t.Fatal(err)
		}
		got, surges := false, 0
		for _, w := range experiment.Workspaces(&fleet.Fleet{Layout: layout}, time.Minute) {
			got = got || w.Name == inventory.PublicWorkspace && w.ReadOnly
			surges += len(w.Surges)
		}
		if got != want || surges != 1 {
			t.Errorf("%s: load without an API key: %v, want %v; %d surges, want 1", scenario, got, want, surges)
		}
	}
}
