package checker

import (
	"cmp"
	"slices"
	"time"

	"lentilwind.dev/bench/history"
	"lentilwind.dev/lentilwind/inventory"
)

// Quota is the share of a workspace; when it changed during a run, the largest rate and burst.
type Quota struct {
	Workspace inventory.WorkspaceName `json:"workspace"`
	Rate      float64                 `json:"rate"`
	Burst     float64                 `json:"burst"`
	Weight    float64                 `json:"weight"`
}

// Run is everything recorded of one run.
type Run struct {
	Requests       []history.Request
	DatabaseEvents []history.DatabaseEvent
	FinalJournals  []history.FinalJournal
	Faults         []history.Fault
	Quotas         []Quota
	// Keys are the secrets of the callers.
	Keys []string
	// Skipped lists what the run should have done and did not.
	Skipped []string
}

// Latencies are microseconds added by the system.
type Latencies struct {
	P50 int64 `json:"p50"`
	P99 int64 `json:"p99"`
}

// Summary is the verdict on a run.
type Summary struct {
	LostWrites      int `json:"lostWrites"`
	DoubledWrites   int `json:"doubledWrites"`
	StaleReads      int `json:"staleReads"`
	MixedWorkspaces int `json:"mixedWorkspaces"`
	KeyLeaks        int `json:"keyLeaks"`
	// OverQuota is the sum over workspaces of the most requests above rate and burst in any window.
	OverQuota   int `json:"overQuota"`
	FalseNotRun int `json:"falseNotRun"`
	// WithdrawnKeys counts requests that ran for a key after the grace of its withdrawal.
	WithdrawnKeys int `json:"withdrawnKeys"`
	// CutOffRequests counts requests without an answer in planned stops of entries.
	CutOffRequests int `json:"cutOffRequests"`

	Requests         int                     `json:"requests"`
	Outcomes         map[history.Outcome]int `json:"outcomes"`
	ReplicaReadShare float64                 `json:"replicaReadShare"`
	WrongfulRefusals int                     `json:"wrongfulRefusals"`
	// FailoverGapMs is the worst gap, and FailoverGapP50Ms the median.
	FailoverGapMs       int64            `json:"failoverGapMs"`
	FailoverGapP50Ms    int64            `json:"failoverGapP50Ms"`
	Failovers           []Failover       `json:"failovers"`
	WorstWorkspaceShare float64          `json:"worstWorkspaceShare"`
	Workspaces          []WorkspaceShare `json:"workspaces"`
	AddedLatencyUs      Latencies        `json:"addedLatencyUs"`
	Faults              []FaultImpact    `json:"faults"`
	Skipped             []string         `json:"skipped"`
	// Findings names the first broken promises of each kind.
	Findings []Finding `json:"findings"`
}

// Finding is one broken promise.
type Finding struct {
	Promise string `json:"promise"`
	Request string `json:"request,omitempty"`
	Detail  string `json:"detail"`
}

// Broken returns the number of broken promises.
func (s *Summary) Broken() int {
	return s.LostWrites + s.DoubledWrites + s.StaleReads + s.MixedWorkspaces + s.KeyLeaks + s.OverQuota +
		s.FalseNotRun + s.WithdrawnKeys + s.CutOffRequests
}

// maxFindings bounds the findings of one promise.
const maxFindings = 20

// judge holds what the checkers share.
type judge struct {
	run *Run
	// requests are those through the system, in the order of their invocation.
	requests []*history.Request
	byID     map[string]*history.Request
	// commits has the transactions that committed each write.
	commits  map[string][]*history.DatabaseEvent
	findings map[string][]Finding
}

// Check judges a run.
func Check(run *Run) *Summary {
	j := newJudge(run)
	s := &Summary{
		LostWrites:       j.lostWrites(),
		DoubledWrites:    j.doubledWrites(),
		StaleReads:       j.staleReads(),
		MixedWorkspaces:  j.mixedWorkspaces(),
		KeyLeaks:         j.keyLeaks(),
		OverQuota:        j.overQuota(),
		FalseNotRun:      j.falseNotRun(),
		WithdrawnKeys:    j.withdrawnKeys(),
		CutOffRequests:   j.cutOffRequests(),
		Requests:         len(j.requests),
		Outcomes:         make(map[history.Outcome]int),
		ReplicaReadShare: j.replicaReadShare(),
		WrongfulRefusals: j.wrongfulRefusals(),
		Failovers:        j.failovers(),
		Workspaces:       j.shares(),
		AddedLatencyUs:   j.addedLatency(),
		Skipped:          append([]string{}, run.Skipped...),
	}
	s.Faults = j.faultRows(s.Failovers)
	for _, r := range j.requests {
		s.Outcomes[r.Outcome]++
	}
	s.FailoverGapP50Ms, s.FailoverGapMs = gaps(s.Failovers)
	s.WorstWorkspaceShare = worst(s.Workspaces)
	s.Findings = j.listFindings()
	return s
}

func newJudge(run *Run) *judge {
	j := &judge{
		run: run, byID: make(map[string]*history.Request),
		commits: make(map[string][]*history.DatabaseEvent), findings: make(map[string][]Finding),
	}
	for i := range run.Requests {
		r := &run.Requests[i]
		if r.Path == history.PathDirect {
			continue
		}
		j.requests = append(j.requests, r)
		j.byID[r.ID] = r
	}
	slices.SortStableFunc(j.requests, func(a, b *history.Request) int { return a.Invoked.Compare(b.Invoked) })
	for i := range run.DatabaseEvents {
		o := &run.DatabaseEvents[i]
		if o.Kind != history.DatabaseCommitted {
			continue
		}
		for _, change := range o.Changes {
			if change.ID != "" && !change.Delete {
				j.commits[change.ID] = append(j.commits[change.ID], o)
			}
		}
	}
	return j
}

// find records a broken promise and returns 1.
func (j *judge) find(promise, request, detail string) int {
	if len(j.findings[promise]) < maxFindings {
		j.findings[promise] = append(j.findings[promise], Finding{Promise: promise, Request: request, Detail: detail})
	}
	return 1
}

func (j *judge) listFindings() []Finding {
	list := []Finding{}
	for _, findings := range j.findings {
		list = append(list, findings...)
	}
	slices.SortStableFunc(list, func(a, b Finding) int { return cmp.Compare(a.Promise, b.Promise) })
	return list
}

// quota returns the share of a workspace, or nil when it has none.
func (j *judge) quota(name inventory.WorkspaceName) *Quota {
	for i := range j.run.Quotas {
		if j.run.Quotas[i].Workspace == name {
			return &j.run.Quotas[i]
		}
	}
	return nil
}

func seconds(d time.Duration) float64 { return d.Seconds() }
