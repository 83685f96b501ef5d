package experiment

import (
	"fmt"
	"os"
	"slices"
	"strconv"

	"lentilwind.dev/bench/checker"
	"lentilwind.dev/bench/history"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/jsonc"
)

// The kinds of faults and planned changes.
const (
	FaultKillPrimary    history.FaultKind = "killPrimary"
	FaultPausePrimary   history.FaultKind = "pausePrimary"
	FaultIsolatePrimary history.FaultKind = "cutPrimary"
	FaultKill           history.FaultKind = "kill"
	FaultPause          history.FaultKind = "pause"
	FaultStop                             = checker.FaultStop
	FaultIsolate        history.FaultKind = "cut"
	FaultSilence        history.FaultKind = "silence"
	FaultLag            history.FaultKind = "lag"
	FaultLeave                            = checker.FaultLeave
	FaultWithdrawKey                      = checker.FaultWithdrawKey
	FaultChangeRule     history.FaultKind = "changeRule"
)

var faultKinds = []history.FaultKind{
	FaultKillPrimary, FaultPausePrimary, FaultIsolatePrimary, FaultKill, FaultPause, FaultStop, FaultIsolate, FaultSilence, FaultLag,
	FaultLeave, FaultWithdrawKey, FaultChangeRule,
}

// PlannedFault is one fault of a plan. Faults with the same time are injected concurrently.
type PlannedFault struct {
	// At is the time since the start of the load.
	At   jsonc.Duration    `json:"at"`
	Kind history.FaultKind `json:"kind"`
	// Duration is the time after which the fault is repaired; zero leaves it in place until the end of the load.
	Duration jsonc.Duration `json:"for,omitempty"`
	// Service and Slot select the group whose primary is the target.
	Service group.Service `json:"service,omitempty"`
	Slot    group.Slot    `json:"slot,omitempty"`
	// Process is the name of an entry, a control process or a database; "leader" selects the leading control process.
	Process    string                  `json:"process,omitempty"`
	DataCentre inventory.DataCentre    `json:"dataCentre,omitempty"`
	Workspace  inventory.WorkspaceName `json:"workspace,omitempty"`
	Route      inventory.RouteName     `json:"route,omitempty"`
	// MaxStaleness is the new maximum staleness of the route.
	MaxStaleness jsonc.Duration `json:"maxStaleness,omitempty"`
	// Delay is the replication lag of a replica.
	Delay jsonc.Duration `json:"delay,omitempty"`
}

// Plan is a fault plan. Its file is JSON with comments.
type Plan struct {
	Faults []PlannedFault `json:"faults"`
}

// ReadPlan reads a fault plan from a file.
func ReadPlan(path string) (*Plan, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	return ParsePlan(data)
}

// ParsePlan parses and checks a fault plan and sorts its faults by time. The error lists every problem.
func ParsePlan(data []byte) (*Plan, error) {
	doc, err := jsonc.Parse(data)
	if err != nil {
		return nil, err
	}
	var p Plan
	if err := doc.Decode(&p); err != nil {
		return nil, err
	}
	if err := doc.NewError(p.check()); err != nil {
		return nil, err
	}
	slices.SortStableFunc(p.Faults, func(a, b PlannedFault) int { return int(a.At - b.At) })
	return &p, nil
}

func (p *Plan) check() []jsonc.Problem {
	var problems []jsonc.Problem
	for i := range p.Faults {
		pointer := "/faults/" + strconv.Itoa(i)
		f := &p.Faults[i]
		if !slices.Contains(faultKinds, f.Kind) {
			problems = append(problems, jsonc.Problem{
				Pointer: pointer + "/kind", Message: fmt.Sprintf("unknown kind %q", f.Kind), Remedy: fmt.Sprintf("use one of %v", faultKinds),
			})
			continue
		}
		if missing := f.missingField(); missing != "" {
			problems = append(problems, jsonc.Problem{
				Pointer: pointer, Message: fmt.Sprintf("%s requires %s", f.Kind, missing), Remedy: "add it",
			})
		}
	}
	return problems
}

// missingField returns the name of an empty field that the kind of fault requires, or "".
func (f *PlannedFault) missingField() string {
	switch f.Kind {
	case FaultKillPrimary, FaultPausePrimary, FaultIsolatePrimary:
		if f.Service == "" {
			return "service"
		}
	case FaultKill, FaultPause, FaultStop, FaultSilence, FaultLag, FaultLeave:
		if f.Process == "" {
			return "process"
		}
	case FaultIsolate:
		if f.DataCentre == "" {
			return "dataCentre"
		}
	case FaultWithdrawKey:
		if f.Workspace == "" {
			return "workspace"
		}
	case FaultChangeRule:
		if f.Route == "" {
			return "route"
		}
	}
	return ""
}

// needsRelays reports whether the fault requires relays between the processes.
func (f *PlannedFault) needsRelays() bool {
	return f.Kind == FaultIsolate || f.Kind == FaultIsolatePrimary
}
