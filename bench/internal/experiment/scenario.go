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

// Scenario names the workload of one of the users.
type Scenario string

// The scenarios.
const (
	ScenarioTresRios  Scenario = "tres-rios"
	ScenarioClydeside Scenario = "clydeside"
)

const (
	// offeredShare is the part of its rate that a workspace offers in calm.
	offeredShare = 0.5
	// requestsPerSession is the offered rate that one caller carries.
	requestsPerSession = 10.0
	minSessions        = 4
	surgeFactor        = 5.0
	probeWorkspace     = inventory.WorkspaceName("latency-probe")
	probeRate          = 400.0
	probePeriod        = 20 * time.Millisecond
)

// Layout returns the fleet of the scenario, with one workspace more for latency probes.
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

// workspaces returns the offered load; the fourth workspace sends several times its rate in the middle third.
func workspaces(f *fleet.Fleet, length time.Duration) []load.Workspace {
	var list []load.Workspace
	for i, w := range f.Layout.Workspaces {
		if w.Name == probeWorkspace || w.Name == inventory.PublicWorkspace && !hasOpenRoute(f.Layout) {
			continue
		}
		offered := load.Workspace{
			Name: w.Name, APIKey: f.Keys[w.Name].Key, Rate: w.Rate * offeredShare,
			Sessions: max(minSessions, int(w.Rate*offeredShare/requestsPerSession)), ReadOnly: w.Name == inventory.PublicWorkspace,
		}
		if i == surging {
			offered.Surges = []load.Surge{{From: length / 3, To: 2 * length / 3, Factor: surgeFactor / offeredShare}}
			offered.Sessions *= surgeSessions
		}
		list = append(list, offered)
	}
	return list
}

// hasOpenRoute tells whether callers without a key may use any route.
func hasOpenRoute(layout fleet.Layout) bool {
	return slices.ContainsFunc(layout.Routes, func(r inventory.Route) bool { return r.OpenToAll })
}

const (
	surging       = 3
	surgeSessions = 30
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
