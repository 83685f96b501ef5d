package checker

import (
	"fmt"
	"math"
	"slices"
	"time"

	"lentilwind.dev/bench/history"
	"lentilwind.dev/lentilwind/inventory"
)

// maxWindowStarts limits the number of windows checked for one workspace.
const maxWindowStarts = 2000

// roundingTolerance allows for rounding errors of floating-point sums, in requests.
const roundingTolerance = 1e-6

// overQuota sums over all workspaces the largest number of requests above rate and burst in any window.
//
// A request was admitted at some time between its invocation and its answer, so it counts for windows that contain both.
func (v *verifier) overQuota() int {
	n := 0
	for _, q := range v.run.Quotas {
		var ran []*history.Request
		for _, r := range v.requests {
			if r.Workspace == q.Workspace && r.Outcome.Ran() {
				ran = append(ran, r)
			}
		}
		excess := max(q.maxWindowExcess(ran), q.totalExcess(v.transactionEnds(q.Workspace, ran), ran))
		if excess > roundingTolerance {
			v.addFinding("overQuota", "", fmt.Sprintf("%s ran %.1f requests above its rate and burst", q.Workspace, excess))
			n += int(math.Ceil(excess - roundingTolerance))
		}
	}
	return n
}

// maxWindowExcess returns the largest number of requests above the quota in any window; ran is ordered by invocation time.
func (q *Quota) maxWindowExcess(ran []*history.Request) float64 {
	byEnd := slices.Clone(ran)
	slices.SortFunc(byEnd, func(a, b *history.Request) int { return a.Completed.Compare(b.Completed) })
	step := len(ran)/maxWindowStarts + 1
	highest := 0.0
	for i := 0; i < len(ran); i += step {
		start := ran[i].Invoked
		count := 0.0
		for _, r := range byEnd {
			if r.Invoked.Before(start) {
				continue
			}
			count++
			highest = max(highest, count-q.allowed(r.Completed.Sub(start)))
		}
	}
	return highest
}

// allowed returns the number of requests that the quota permits in a window.
func (q *Quota) allowed(window time.Duration) float64 { return q.Burst + q.Rate*seconds(window) }

// transactionEnds returns the sorted times at which the databases committed or rolled back transactions of a workspace, up to
// the last answer to a caller.
func (v *verifier) transactionEnds(workspace inventory.WorkspaceName, ran []*history.Request) []time.Time {
	var until time.Time
	for _, r := range ran {
		if r.Completed.After(until) {
			until = r.Completed
		}
	}
	var times []time.Time
	for i := range v.run.DatabaseEvents {
		event := &v.run.DatabaseEvents[i]
		finished := event.Kind == history.DatabaseCommitted || event.Kind == history.DatabaseRolledBack
		if finished && event.Workspace == string(workspace) && !event.Time.After(until) {
			times = append(times, event.Time)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// totalExcess returns the largest number of transactions above the quota in any window that starts with the first request.
func (q *Quota) totalExcess(transactionEnds []time.Time, ran []*history.Request) float64 {
	if len(ran) == 0 {
		return 0
	}
	start := ran[0].Invoked
	highest, count := 0.0, 0.0
	for _, at := range transactionEnds {
		if at.Before(start) {
			continue
		}
		count++
		highest = max(highest, count-q.allowed(at.Sub(start)))
	}
	return highest
}

// wrongfulRefusals counts requests refused by quota although they were within rate and burst.
func (v *verifier) wrongfulRefusals() int {
	n := 0
	for _, q := range v.run.Quotas {
		var requests []*history.Request
		for _, r := range v.requests {
			if r.Workspace == q.Workspace {
				requests = append(requests, r)
			}
		}
		n += q.countUnexplained(requests)
	}
	return n
}

// countUnexplained counts refusals for which no window of accepted requests exhausts the quota.
//
// An accepted request took its token at some time between its invocation and its answer, so it counts for every window
// that it overlaps.
func (q *Quota) countUnexplained(requests []*history.Request) int {
	var accepted []*history.Request
	for _, r := range requests {
		if r.Outcome != history.OutcomeQuotaExceeded {
			accepted = append(accepted, r)
		}
	}
	slices.SortFunc(accepted, func(a, b *history.Request) int { return b.Completed.Compare(a.Completed) })
	n := 0
	for _, r := range requests {
		if r.Outcome == history.OutcomeQuotaExceeded && !q.explainsRefusal(r, accepted) {
			n++
		}
	}
	return n
}

// explainsRefusal reports whether the quota was exhausted in a window that ends with the refusal; accepted is sorted by
// completion time, latest first.
func (q *Quota) explainsRefusal(refused *history.Request, accepted []*history.Request) bool {
	count := 0.0
	for _, r := range accepted {
		if r.Invoked.After(refused.Completed) {
			continue
		}
		count++
		window := max(0, refused.Invoked.Sub(r.Completed))
		if count+1 > q.allowed(window) {
			return true
		}
		if q.allowed(window) > float64(len(accepted)) {
			return false
		}
	}
	return q.Burst < 1
}

// WorkspaceShare compares the served requests of a workspace with its fair share.
type WorkspaceShare struct {
	Workspace inventory.WorkspaceName `json:"workspace"`
	Offered   int                     `json:"offered"`
	Served    int                     `json:"served"`
	// Fair is the weighted fair share of all served requests, limited to what the quota admits.
	Fair  float64 `json:"fair"`
	Share float64 `json:"share"`
}

// shares compares the served requests of each workspace with its fair share.
func (v *verifier) shares() []WorkspaceShare {
	list := []WorkspaceShare{}
	var entitled, weights []float64
	served := 0
	for _, q := range v.run.Quotas {
		s := WorkspaceShare{Workspace: q.Workspace}
		var requests []*history.Request
		for _, r := range v.requests {
			if r.Workspace != q.Workspace {
				continue
			}
			requests = append(requests, r)
			s.Offered++
			if r.Outcome.Ran() {
				s.Served++
			}
		}
		if s.Offered == 0 {
			continue
		}
		served += s.Served
		list = append(list, s)
		entitled = append(entitled, q.conformingRequests(requests))
		weights = append(weights, max(1, q.Weight))
	}
	for i, fair := range fairShares(float64(served), entitled, weights) {
		list[i].Fair = fair
		list[i].Share = 1
		if fair > 0 {
			list[i].Share = float64(list[i].Served) / fair
		}
	}
	return list
}

// conformingRequests counts the requests that an exact token bucket would admit.
func (q *Quota) conformingRequests(requests []*history.Request) float64 {
	conforming, tokens := 0.0, q.Burst
	var last time.Time
	for _, r := range requests {
		if !last.IsZero() {
			tokens = min(q.Burst, tokens+q.Rate*seconds(r.Invoked.Sub(last)))
		}
		last = r.Invoked
		if tokens >= 1 {
			tokens--
			conforming++
		}
	}
	return conforming
}

// fairShares computes weighted max-min fair shares of served: no share exceeds its entitlement, and the remainder is
// divided among the others.
func fairShares(served float64, entitled, weights []float64) []float64 {
	parts := make([]float64, len(entitled))
	unsatisfied := make([]bool, len(entitled))
	for i := range unsatisfied {
		unsatisfied[i] = true
	}
	for {
		var weight float64
		for i, pending := range unsatisfied {
			if pending {
				weight += weights[i]
			}
		}
		if weight == 0 || served <= 0 {
			return parts
		}
		satisfied := false
		level := served / weight
		for i, pending := range unsatisfied {
			if pending && entitled[i] <= level*weights[i] {
				parts[i], unsatisfied[i], satisfied = entitled[i], false, true
				served -= entitled[i]
			}
		}
		if satisfied {
			continue
		}
		for i, pending := range unsatisfied {
			if pending {
				parts[i] = level * weights[i]
			}
		}
		return parts
	}
}

func minShare(shares []WorkspaceShare) float64 {
	lowest := 1.0
	for _, s := range shares {
		lowest = min(lowest, s.Share)
	}
	return lowest
}
