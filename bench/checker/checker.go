package checker

import (
	"cmp"
	"slices"
	"time"

	"lentilwind.dev/bench/history"
	"lentilwind.dev/lentilwind/inventory"
)

// Quota is the quota of a workspace; if it changed during a run, the largest rate and burst.
type Quota struct {
	Workspace inventory.WorkspaceName `json:"workspace"`
	Rate      float64                 `json:"rate"`
	Burst     float64                 `json:"burst"`
	Weight    float64                 `json:"weight"`
}

// Run holds all records of a run.
type Run struct {
	Requests       []history.Request
	DatabaseEvents []history.DatabaseEvent
	FinalJournals  []history.FinalJournal
	Faults         []history.Fault
	Quotas         []Quota
	// Keys are the access keys of the callers, which must not reach a database.
	Keys []string
	// Skipped lists planned actions that the run did not carry out.
	Skipped []string
}

// Latencies are percentiles of the latency that the system adds, in microseconds.
type Latencies struct {
	P50 int64 `json:"p50"`
	P99 int64 `json:"p99"`
}

// Summary is the result of checking a run.
type Summary struct {
	LostWrites      int `json:"lostWrites"`
	DoubledWrites   int `json:"doubledWrites"`
	StaleReads      int `json:"staleReads"`
	MixedWorkspaces int `json:"mixedWorkspaces"`
	KeyLeaks        int `json:"keyLeaks"`
	// OverQuota is the sum over workspaces of the largest number of requests above rate and burst in any window.
	OverQuota   int `json:"overQuota"`
	FalseNotRun int `json:"falseNotRun"`
	// WithdrawnKeys counts requests that ran with a key after the grace period of its withdrawal.
	WithdrawnKeys int `json:"withdrawnKeys"`
	// CutOffRequests counts requests that a planned stop of an entry or backend server left without an answer.
	CutOffRequests int `json:"cutOffRequests"`

	Requests         int                     `json:"requests"`
	Outcomes         map[history.Outcome]int `json:"outcomes"`
	ReplicaReadShare float64                 `json:"replicaReadShare"`
	WrongfulRefusals int                     `json:"wrongfulRefusals"`
	// FailoverGapMs is the longest gap and FailoverGapP50Ms the median.
	FailoverGapMs       int64            `json:"failoverGapMs"`
	FailoverGapP50Ms    int64            `json:"failoverGapP50Ms"`
	Failovers           []Failover       `json:"failovers"`
	WorstWorkspaceShare float64          `json:"worstWorkspaceShare"`
	Workspaces          []WorkspaceShare `json:"workspaces"`
	AddedLatencyUs      Latencies        `json:"addedLatencyUs"`
	Faults              []FaultImpact    `json:"faults"`
	Skipped             []string         `json:"skipped"`
	// Findings lists violations, at most maxFindings for each guarantee.
	Findings []Finding `json:"findings"`
}

// Finding is one violation of a guarantee; Promise is the name of the guarantee.
type Finding struct {
	Promise string `json:"promise"`
	Request string `json:"request,omitempty"`
	Detail  string `json:"detail"`
}

// Broken returns the number of violations of all guarantees.
func (s *Summary) Broken() int {
	return s.LostWrites + s.DoubledWrites + s.StaleReads + s.MixedWorkspaces + s.KeyLeaks + s.OverQuota +
		s.FalseNotRun + s.WithdrawnKeys + s.CutOffRequests
}

// maxFindings limits the findings listed for one guarantee.
const maxFindings = 20

// verifier holds a run with the indexes that the checks share.
type verifier struct {
	run *Run
	// requests are the requests sent through the system, ordered by invocation time.
	requests []*history.Request
	byID     map[string]*history.Request
	// commits maps the ID of a write to the transactions that committed it.
	commits  map[string][]*history.DatabaseEvent
	findings map[string][]Finding
}

// Check checks a recorded run against the guarantees of the system.
func Check(run *Run) *Summary {
	v := newVerifier(run)
	s := &Summary{
		LostWrites:       v.lostWrites(),
		DoubledWrites:    v.doubledWrites(),
		StaleReads:       v.staleReads(),
		MixedWorkspaces:  v.mixedWorkspaces(),
		KeyLeaks:         v.keyLeaks(),
		OverQuota:        v.overQuota(),
		FalseNotRun:      v.falseNotRun(),
		WithdrawnKeys:    v.withdrawnKeys(),
		CutOffRequests:   v.cutOffRequests(),
		Requests:         len(v.requests),
		Outcomes:         make(map[history.Outcome]int),
		ReplicaReadShare: v.replicaReadShare(),
		WrongfulRefusals: v.wrongfulRefusals(),
		Failovers:        v.failovers(),
		Workspaces:       v.shares(),
		AddedLatencyUs:   v.addedLatency(),
		Skipped:          append([]string{}, run.Skipped...),
	}
	s.Faults = v.faultImpacts(s.Failovers)
	for _, r := range v.requests {
		s.Outcomes[r.Outcome]++
	}
	s.FailoverGapP50Ms, s.FailoverGapMs = gapStats(s.Failovers)
	s.WorstWorkspaceShare = minShare(s.Workspaces)
	s.Findings = v.listFindings()
	return s
}

func newVerifier(run *Run) *verifier {
	v := &verifier{
		run: run, byID: make(map[string]*history.Request),
		commits: make(map[string][]*history.DatabaseEvent), findings: make(map[string][]Finding),
	}
	for i := range run.Requests {
		r := &run.Requests[i]
		if r.Path == history.PathDirect {
			continue
		}
		v.requests = append(v.requests, r)
		v.byID[r.ID] = r
	}
	slices.SortStableFunc(v.requests, func(a, b *history.Request) int { return a.Invoked.Compare(b.Invoked) })
	for i := range run.DatabaseEvents {
		event := &run.DatabaseEvents[i]
		if event.Kind != history.DatabaseCommitted {
			continue
		}
		for _, change := range event.Changes {
			if change.ID != "" && !change.Delete {
				v.commits[change.ID] = append(v.commits[change.ID], event)
			}
		}
	}
	return v
}

// addFinding records a violation, unless maxFindings is reached, and returns 1.
func (v *verifier) addFinding(guarantee, request, detail string) int {
	if len(v.findings[guarantee]) < maxFindings {
		v.findings[guarantee] = append(v.findings[guarantee], Finding{Promise: guarantee, Request: request, Detail: detail})
	}
	return 1
}

func (v *verifier) listFindings() []Finding {
	list := []Finding{}
	for _, findings := range v.findings {
		list = append(list, findings...)
	}
	slices.SortStableFunc(list, func(a, b Finding) int { return cmp.Compare(a.Promise, b.Promise) })
	return list
}

// quota returns the quota of a workspace, or nil if it has none.
func (v *verifier) quota(name inventory.WorkspaceName) *Quota {
	for i := range v.run.Quotas {
		if v.run.Quotas[i].Workspace == name {
			return &v.run.Quotas[i]
		}
	}
	return nil
}

func seconds(d time.Duration) float64 { return d.Seconds() }
