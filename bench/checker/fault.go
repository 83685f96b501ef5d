package checker

import (
	"fmt"
	"slices"
	"time"

	"lentilwind.dev/bench/history"
	"lentilwind.dev/lentilwind/group"
)

// FaultStop is a planned stop and FaultLeave the planned departure of a backend server; the target is the process.
const (
	FaultStop  history.FaultKind = "stop"
	FaultLeave history.FaultKind = "leave"
)

// plannedKinds lists the kinds that are planned operations rather than faults.
var plannedKinds = []history.FaultKind{FaultStop, FaultLeave, FaultWithdrawKey, "changeRule"}

// KeyWithdrawalGrace is how long a key may still be accepted after its withdrawal began.
const KeyWithdrawalGrace = 5 * time.Second

// FaultWithdrawKey is the withdrawal of a key; the target is the key ID.
const FaultWithdrawKey history.FaultKind = "withdrawKey"

// faultImpactWindow is the time after a fault that a FaultImpact covers.
const faultImpactWindow = 5 * time.Second

// FaultImpact summarises the requests of callers after a fault.
type FaultImpact struct {
	history.Fault
	// TookMs is the time until the injection was complete, for example until a change was in force.
	TookMs    int64                   `json:"tookMs"`
	Requests  int                     `json:"requests"`
	Outcomes  map[history.Outcome]int `json:"outcomes"`
	SlowestMs int64                   `json:"slowestMs"`
	// FailoverGapMs is the longest failover gap that began in the window or within the second before it.
	FailoverGapMs int64 `json:"failoverGapMs"`
}

func (v *verifier) faultImpacts(failovers []Failover) []FaultImpact {
	impacts := []FaultImpact{}
	for _, f := range v.run.Faults {
		impact := FaultImpact{Fault: f, Outcomes: make(map[history.Outcome]int), TookMs: f.Done.Sub(f.Time).Milliseconds()}
		end := f.Time.Add(faultImpactWindow)
		for _, r := range v.requests {
			if r.Invoked.Before(f.Time) || r.Invoked.After(end) {
				continue
			}
			impact.Requests++
			impact.Outcomes[r.Outcome]++
			impact.SlowestMs = max(impact.SlowestMs, r.Latency().Milliseconds())
		}
		for _, failover := range failovers {
			if !failover.At.Before(f.Time.Add(-time.Second)) && failover.At.Before(end) {
				impact.FailoverGapMs = max(impact.FailoverGapMs, failover.GapMs)
			}
		}
		impacts = append(impacts, impact)
	}
	return impacts
}

// withdrawnKeys counts requests that ran with a key after its withdrawal was reported complete or the grace period ended.
func (v *verifier) withdrawnKeys() int {
	withdrawn := make(map[string]time.Time)
	for _, f := range v.run.Faults {
		if f.Kind != FaultWithdrawKey || f.Error != "" {
			continue
		}
		// The withdrawal is complete once the system has reported that no entry accepts the key.
		withdrawn[f.Target] = f.Time.Add(KeyWithdrawalGrace)
		if f.Done.Before(withdrawn[f.Target]) {
			withdrawn[f.Target] = f.Done
		}
	}
	n := 0
	for _, r := range v.requests {
		since, found := withdrawn[string(r.Credential)]
		if found && r.Outcome.Ran() && r.Invoked.After(since) {
			n += v.addFinding("withdrawnKeys", r.ID, fmt.Sprintf("ran %s after the end of the withdrawal", r.Invoked.Sub(since)))
		}
	}
	return n
}

// cutOffRequests counts requests that a planned stop of their entry or backend server left without an answer.
func (v *verifier) cutOffRequests() int {
	n := 0
	for _, f := range v.run.Faults {
		if f.Kind != FaultStop && f.Kind != FaultLeave {
			continue
		}
		service := v.serviceOf(f.Target)
		if f.Kind == FaultLeave && v.nearUnplannedFault(&f) {
			continue
		}
		for _, r := range v.requests {
			if v.interrupted(r) && affected(&f, service, r) {
				n += v.addFinding("cutOffRequests", r.ID, fmt.Sprintf("ended with %q in the planned stop of %s", r.Code+" "+r.Message, f.Target))
			}
		}
	}
	return n
}

// affected reports whether a request was in progress while its entry or backend server was being stopped.
func affected(f *history.Fault, service group.Service, r *history.Request) bool {
	if f.Kind == FaultStop {
		return r.Entry == f.Target && overlaps(r, f.Time, f.Done)
	}
	return r.Service == service && overlaps(r, f.Time, f.Time.Add(faultImpactWindow))
}

func overlaps(r *history.Request, from, to time.Time) bool {
	return !r.Completed.Before(from) && !r.Invoked.After(to)
}

// serviceOf returns the service of a backend server.
func (v *verifier) serviceOf(server string) group.Service {
	for i := range v.run.DatabaseEvents {
		if event := &v.run.DatabaseEvents[i]; string(event.Server) == server {
			return event.Service
		}
	}
	return ""
}

// nearUnplannedFault reports whether an unplanned fault, which may leave outcomes unknown, was injected close to a planned stop.
func (v *verifier) nearUnplannedFault(f *history.Fault) bool {
	return slices.ContainsFunc(v.run.Faults, func(other history.Fault) bool {
		distance := other.Time.Sub(f.Time).Abs()
		return !slices.Contains(plannedKinds, other.Kind) && distance <= faultInfluence
	})
}

// faultInfluence is the time before and after a fault in which it may affect requests.
const faultInfluence = 15 * time.Second

// interrupted reports whether a request was accepted but its outcome was not reported to the caller.
func (v *verifier) interrupted(r *history.Request) bool {
	return r.Outcome == history.OutcomeUnknown || r.Outcome == history.OutcomeEntryStopping && len(v.commits[r.ID]) > 0
}
