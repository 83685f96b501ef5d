package checker

import (
	"fmt"
	"math"
	"slices"
	"time"

	"lentilwind.dev/bench/history"
	"lentilwind.dev/lentilwind/inventory"
)

// maxWindowStarts bounds the windows looked at for one workspace.
const maxWindowStarts = 2000

// roundingSlack allows for the rounding of floating point sums, in requests.
const roundingSlack = 1e-6

// overQuota sums over workspaces the most requests above rate and burst in any window.
//
// A request was admitted between its invocation and its answer, so it counts for a window that holds both.
func (j *judge) overQuota() int {
	n := 0
	for _, q := range j.run.Quotas {
		var ran []*history.Request
		for _, r := range j.requests {
			if r.Workspace == q.Workspace && r.Outcome.Ran() {
				ran = append(ran, r)
			}
		}
		excess := max(q.excess(ran), q.totalExcess(j.ended(q.Workspace, ran), ran))
		if excess > roundingSlack {
			j.find("overQuota", "", fmt.Sprintf("%s ran %.1f requests above its rate and burst", q.Workspace, excess))
			n += int(math.Ceil(excess - roundingSlack))
		}
	}
	return n
}

// excess returns the most requests above the quota in any window; requests are in the order of invocation.
func (q *Quota) excess(ran []*history.Request) float64 {
	byEnd := slices.Clone(ran)
	slices.SortFunc(byEnd, func(a, b *history.Request) int { return a.Completed.Compare(b.Completed) })
	step := len(ran)/maxWindowStarts + 1
	most := 0.0
	for i := 0; i < len(ran); i += step {
		start := ran[i].Invoked
		count := 0.0
		for _, r := range byEnd {
			if r.Invoked.Before(start) {
				continue
			}
			count++
			most = max(most, count-q.allowed(r.Completed.Sub(start)))
		}
	}
	return most
}

func (q *Quota) allowed(window time.Duration) float64 { return q.Burst + q.Rate*seconds(window) }

// ended returns when the databases ended each transaction of a workspace, up to the last answer to a caller.
func (j *judge) ended(workspace inventory.WorkspaceName, ran []*history.Request) []time.Time {
	var until time.Time
	for _, r := range ran {
		if r.Completed.After(until) {
			until = r.Completed
		}
	}
	var times []time.Time
	for i := range j.run.DatabaseEvents {
		o := &j.run.DatabaseEvents[i]
		finished := o.Kind == history.DatabaseCommitted || o.Kind == history.DatabaseRolledBack
		if finished && o.Workspace == string(workspace) && !o.Time.After(until) {
			times = append(times, o.Time)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// totalExcess compares what databases ran since the first request with the quota since then.
func (q *Quota) totalExcess(ended []time.Time, ran []*history.Request) float64 {
	if len(ran) == 0 {
		return 0
	}
	start := ran[0].Invoked
	most, count := 0.0, 0.0
	for _, at := range ended {
		if at.Before(start) {
			continue
		}
		count++
		most = max(most, count-q.allowed(at.Sub(start)))
	}
	return most
}

// wrongfulRefusals counts refusals by quota of requests that were inside rate and burst.
func (j *judge) wrongfulRefusals() int {
	n := 0
	for _, q := range j.run.Quotas {
		var own []*history.Request
		for _, r := range j.requests {
			if r.Workspace == q.Workspace {
				own = append(own, r)
			}
		}
		n += q.wrongful(own)
	}
	return n
}

// wrongful counts refusals that no window of accepted requests explains.
//
// An accepted request used its token at some moment between its invocation and its answer, so it counts for each window
// that it overlaps.
func (q *Quota) wrongful(requests []*history.Request) int {
	var accepted []*history.Request
	for _, r := range requests {
		if r.Outcome != history.OutcomeQuotaExceeded {
			accepted = append(accepted, r)
		}
	}
	slices.SortFunc(accepted, func(a, b *history.Request) int { return b.Completed.Compare(a.Completed) })
	n := 0
	for _, r := range requests {
		if r.Outcome == history.OutcomeQuotaExceeded && !q.explains(r, accepted) {
			n++
		}
	}
	return n
}

// explains tells whether a window that ends with the refusal was full; accepted requests are in falling order of answers.
func (q *Quota) explains(refused *history.Request, accepted []*history.Request) bool {
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

// WorkspaceShare is how one workspace fared.
type WorkspaceShare struct {
	Workspace inventory.WorkspaceName `json:"workspace"`
	Offered   int                     `json:"offered"`
	Served    int                     `json:"served"`
	// Fair is the workspace's part of all that was served, by weight and never more than it was entitled to.
	Fair  float64 `json:"fair"`
	Share float64 `json:"share"`
}

// shares compares what each workspace got with its fair part.
func (j *judge) shares() []WorkspaceShare {
	list := []WorkspaceShare{}
	var entitled, weights []float64
	served := 0
	for _, q := range j.run.Quotas {
		s := WorkspaceShare{Workspace: q.Workspace}
		var own []*history.Request
		for _, r := range j.requests {
			if r.Workspace != q.Workspace {
				continue
			}
			own = append(own, r)
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
		entitled = append(entitled, q.conforming(own))
		weights = append(weights, max(1, q.Weight))
	}
	for i, fair := range fairParts(float64(served), entitled, weights) {
		list[i].Fair = fair
		list[i].Share = 1
		if fair > 0 {
			list[i].Share = float64(list[i].Served) / fair
		}
	}
	return list
}

// conforming counts the requests that an exact token bucket would let pass.
func (q *Quota) conforming(requests []*history.Request) float64 {
	passed, tokens := 0.0, q.Burst
	var last time.Time
	for _, r := range requests {
		if !last.IsZero() {
			tokens = min(q.Burst, tokens+q.Rate*seconds(r.Invoked.Sub(last)))
		}
		last = r.Invoked
		if tokens >= 1 {
			tokens--
			passed++
		}
	}
	return passed
}

// fairParts divides what was served by weight; nobody gets more than entitled, and the rest goes to the others.
func fairParts(served float64, entitled, weights []float64) []float64 {
	parts := make([]float64, len(entitled))
	open := make([]bool, len(entitled))
	for i := range open {
		open[i] = true
	}
	for {
		var weight float64
		for i, o := range open {
			if o {
				weight += weights[i]
			}
		}
		if weight == 0 || served <= 0 {
			return parts
		}
		satisfied := false
		level := served / weight
		for i, o := range open {
			if o && entitled[i] <= level*weights[i] {
				parts[i], open[i], satisfied = entitled[i], false, true
				served -= entitled[i]
			}
		}
		if satisfied {
			continue
		}
		for i, o := range open {
			if o {
				parts[i] = level * weights[i]
			}
		}
		return parts
	}
}

func worst(shares []WorkspaceShare) float64 {
	least := 1.0
	for _, s := range shares {
		least = min(least, s.Share)
	}
	return least
}
