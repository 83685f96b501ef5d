package experiment

import (
	"fmt"
	"slices"
	"time"

	"lentilwind.dev/bench/checker"
	"lentilwind.dev/bench/fleet"
	"lentilwind.dev/bench/internal/load"
	"lentilwind.dev/lentilwind/inventory"
)

// Scenario names a deployment with its workload.
type Scenario string

// The scenarios.
const (
	ScenarioTresRios  Scenario = "tres-rios"
	ScenarioClydeside Scenario = "clydeside"
)

const (
	// offeredShare is the fraction of its rate limit that a workspace offers outside its surge.
	offeredShare = 0.5
	// ratePerSession is the offered rate, in requests a second, of one session.
	ratePerSession = 10.0
	minSessions    = 4
	surgeFactor    = 5.0
	probeWorkspace = inventory.WorkspaceName("latency-probe")
	probeRate      = 400.0
	probePeriod    = 20 * time.Millisecond
)

// Layout returns the fleet layout of the scenario, with an additional workspace for latency probes.
func (s Scenario) Layout() (fleet.Layout, error) {
	var layout fleet.Layout
	switch s {
	case ScenarioTresRios:
		layout = fleet.TresRios()
	case ScenarioClydeside:
		layout = fleet.Clydeside()
	default:
		return layout, fmt.Errorf("experiment: unknown scenario %q; use %s or %s", s, ScenarioTresRios, ScenarioClydeside)
	}
	layout.Workspaces = append(slices.Clone(layout.Workspaces), inventory.Workspace{
		Name: probeWorkspace, Rate: probeRate, Burst: probeRate, Weight: 1,
	})
	return layout, nil
}

func (s Scenario) mix() []load.RequestClass {
	if s == ScenarioClydeside {
		return load.ClydesideMix()
	}
	return load.TresRiosMix()
}

// workspaces returns the offered load of each workspace. The fourth workspace exceeds its rate limit several times over during
// the middle third of the run.
func workspaces(f *fleet.Fleet, duration time.Duration) []load.Workspace {
	var list []load.Workspace
	for i, w := range f.Layout.Workspaces {
		if w.Name == probeWorkspace || w.Name == inventory.PublicWorkspace && !hasOpenRoute(f.Layout) {
			continue
		}
		offered := load.Workspace{
			Name: w.Name, APIKey: f.Keys[w.Name].Key, Rate: w.Rate * offeredShare,
			Sessions: max(minSessions, int(w.Rate*offeredShare/ratePerSession)), ReadOnly: w.Name == inventory.PublicWorkspace,
		}
		if i == surgeWorkspace {
			offered.Surges = []load.Surge{{From: duration / 3, To: 2 * duration / 3, Factor: surgeFactor / offeredShare}}
			offered.Sessions *= surgeSessionFactor
		}
		list = append(list, offered)
	}
	return list
}

// hasOpenRoute reports whether any route is open to clients without an API key.
func hasOpenRoute(layout fleet.Layout) bool {
	return slices.ContainsFunc(layout.Routes, func(r inventory.Route) bool { return r.OpenToAll })
}

// The workspace at index surgeWorkspace has a surge, with surgeSessionFactor times its usual number of sessions.
const (
	surgeWorkspace     = 3
	surgeSessionFactor = 30
)

func quotas(layout fleet.Layout) []checker.Quota {
	var list []checker.Quota
	for _, w := range layout.Workspaces {
		if w.Name != probeWorkspace {
			list = append(list, checker.Quota{Workspace: w.Name, Rate: w.Rate, Burst: w.Burst, Weight: float64(w.Weight)})
		}
	}
	return list
}

func services(f *fleet.Fleet) []load.Service {
	var list []load.Service
	for i := range f.Layout.Services {
		service := load.Service{Name: serviceName(f.Layout, i), Slots: f.Layout.Slots}
		for _, d := range f.Databases {
			if d.Service == service.Name {
				service.Databases = append(service.Databases, d.Address.String())
			}
		}
		slices.Sort(service.Databases)
		list = append(list, service)
	}
	return list
}
