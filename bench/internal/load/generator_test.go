package load_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"lentilwind.dev/bench/checker"
	"lentilwind.dev/bench/database"
	"lentilwind.dev/bench/history"
	"lentilwind.dev/bench/internal/load"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/jsonc"
)

const apiKey = "lw-secret-of-the-florists"

// runLoad runs a short load through two test entries with the given fault and checks the recorded requests.
func runLoad(t *testing.T, f fault) *checker.Summary {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	cfg := database.Config{Service: "inventario-1", Connections: 100, ApplyDelay: jsonc.Duration(50 * time.Millisecond)}
	service, err := database.StartService(cfg, "a", "b", "c")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = service.Close() }()
	first, second := startFaultyEntry(t, service, f), startFaultyEntry(t, service, f)
	run := &checker.Run{Keys: []string{apiKey}, Quotas: []checker.Quota{
		{Workspace: "stalls", Rate: 1000, Burst: 1000}, {Workspace: "florists", Rate: 1000, Burst: 1000},
	}}
	target := load.Service{Name: "inventario-1", Slots: 3}
	for _, s := range service {
		target.Databases = append(target.Databases, s.Address())
	}
	var mu sync.Mutex
	generator := load.New(load.Config{
		Entries: []load.Entry{
			{Name: "entry-1", Address: first.listener.Addr().String()},
			{Name: "entry-2", Address: second.listener.Addr().String()},
		},
		Services: []load.Service{target},
		Workspaces: []load.Workspace{
			{Name: "stalls", APIKey: "other", Rate: 200, Sessions: 4}, {Name: "florists", APIKey: apiKey, Rate: 200, Sessions: 4},
		},
		Mix: load.TresRiosMix(), KeyCount: 10, Seed: 7, Duration: time.Second,
		EntrySwitchProbability: load.DefaultEntrySwitchProbability,
		ProbeWorkspace:         "probe", ProbePeriod: 10 * time.Millisecond,
		Record: func(r history.Request) {
			mu.Lock()
			defer mu.Unlock()
			run.Requests = append(run.Requests, r)
		},
	})
	if err := generator.Run(ctx); err != nil {
		t.Fatal(err)
	}
	run.FinalJournals, err = load.ReadFinalJournals(ctx, target, []inventory.WorkspaceName{"stalls", "florists"})
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range service {
		run.DatabaseEvents = append(run.DatabaseEvents, s.Observations()...)
	}
	return checker.Check(run)
}

func TestLoadThroughFaultlessEntryHasNoViolations(t *testing.T) {
	s := runLoad(t, faultNone)
	if s.Broken() != 0 {
		t.Errorf("violations were found: %+v", s.Findings)
	}
	if s.Requests < 200 || s.Outcomes[history.OutcomeOK] != s.Requests {
		t.Errorf("not every request succeeded, or fewer than 200 were sent: %+v", s.Outcomes)
	}
	if s.WorstWorkspaceShare != 1 || s.ReplicaReadShare != 0 {
		t.Errorf("worst workspace share %v, want 1; replica read share %v, want 0", s.WorstWorkspaceShare, s.ReplicaReadShare)
	}
}

func TestCheckerDetectsEntryFaults(t *testing.T) {
	for f, count := range map[fault]func(*checker.Summary) int{
		faultStaleRead:       func(s *checker.Summary) int { return s.StaleReads },
		faultDoubledWrite:    func(s *checker.Summary) int { return s.DoubledWrites },
		faultLostWrite:       func(s *checker.Summary) int { return s.LostWrites },
		faultMixedWorkspaces: func(s *checker.Summary) int { return s.MixedWorkspaces },
		faultKeyLeak:         func(s *checker.Summary) int { return s.KeyLeaks },
		faultFalseNotRun:     func(s *checker.Summary) int { return s.FalseNotRun },
	} {
		t.Run(string(f), func(t *testing.T) {
			if s := runLoad(t, f); count(s) == 0 {
				t.Errorf("the checker did not report the fault: %+v", s)
			}
		})
	}
}
