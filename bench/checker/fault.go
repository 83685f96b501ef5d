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

// planned lists the kinds that are no faults but operators' work.
var planned = []history.FaultKind{FaultStop, FaultLeave, FaultWithdrawKey, "changeRule"}

// KeyWithdrawalGrace is how long after its withdrawal a key may still work somewhere.
const KeyWithdrawalGrace = 5 * time.Second

// FaultWithdrawKey is a fault whose target is the id of the withdrawn key.
const FaultWithdrawKey history.FaultKind = "withdrawKey"

// faultWindow is the time after a fault that its row describes.
const faultWindow = 5 * time.Second

// FaultImpact is what callers saw after one fault.
type FaultImpact struct {
	history.Fault
	// TookMs is the time until the fault had been brought about, for example until a change was in force.
	TookMs    int64                   `json:"tookMs"`
	Requests  int                     `json:"requests"`
	Outcomes  map[history.Outcome]int `json:"outcomes"`
	SlowestMs int64                   `json:"slowestMs"`
	// FailoverGapMs is the longest gap that began in the window.
	FailoverGapMs int64 `json:"failoverGapMs"`
}

func (j *judge) faultRows(failovers []Failover) []FaultImpact {
	rows := []FaultImpact{}
	for _, f := range j.run.Faults {
		row := FaultImpact{Fault: f, Outcomes: make(map[history.Outcome]int), TookMs: f.Done.Sub(f.Time).Milliseconds()}
		end := f.Time.Add(faultWindow)
		for _, r := range j.requests {
			if r.Invoked.Before(f.Time) || r.Invoked.After(end) {
				continue
			}
			row.Requests++
			row.Outcomes[r.Outcome]++
			row.SlowestMs = max(row.SlowestMs, r.Latency().Milliseconds())
		}
		for _, failover := range failovers {
			if !failover.At.Before(f.Time.Add(-time.Second)) && failover.At.Before(end) {
				row.FailoverGapMs = max(row.FailoverGapMs, failover.GapMs)
			}
		}
		rows = append(rows, row)
	}
	return rows
}

// withdrawnKeys counts requests that ran for a key long after its withdrawal.
func (j *judge) withdrawnKeys() int {
	withdrawn := make(map[string]time.Time)
	for _, f := range j.run.Faults {
		if f.Kind != FaultWithdrawKey || f.Error != "" {
			continue
		}
		// The withdrawal is done once the system has said that the key works nowhere.
		withdrawn[f.Target] = f.Time.Add(KeyWithdrawalGrace)
		if f.Done.Before(withdrawn[f.Target]) {
			withdrawn[f.Target] = f.Done
		}
	}
	n := 0
	for _, r := range j.requests {
		since, found := withdrawn[string(r.Credential)]
		if found && r.Outcome.Ran() && r.Invoked.After(since) {
			n += j.find("withdrawnKeys", r.ID, fmt.Sprintf("ran %s after the end of the withdrawal", r.Invoked.Sub(since)))
		}
	}
	return n
}

// cutOffRequests counts requests that a planned stop of their entry or backend server left without an answer.
func (j *judge) cutOffRequests() int {
	n := 0
	for _, f := range j.run.Faults {
		if f.Kind != FaultStop && f.Kind != FaultLeave {
			continue
		}
		service := j.serviceOf(f.Target)
		if f.Kind == FaultLeave && j.nearFault(&f) {
			continue
		}
		for _, r := range j.requests {
			if j.cutOff(r) && touched(&f, service, r) {
				n += j.find("cutOffRequests", r.ID, fmt.Sprintf("ended with %q in the planned stop of %s", r.Code+" "+r.Message, f.Target))
			}
		}
	}
	return n
}

// touched tells whether a request ran while what served it was being stopped.
func touched(f *history.Fault, service group.Service, r *history.Request) bool {
	if f.Kind == FaultStop {
		return r.Entry == f.Target && overlap(r, f.Time, f.Done)
	}
	return r.Service == service && overlap(r, f.Time, f.Time.Add(faultWindow))
}

func overlap(r *history.Request, from, to time.Time) bool {
	return !r.Completed.Before(from) && !r.Invoked.After(to)
}

// serviceOf returns the service of a backend server.
func (j *judge) serviceOf(server string) group.Service {
	for i := range j.run.DatabaseEvents {
		if o := &j.run.DatabaseEvents[i]; string(o.Server) == server {
			return o.Service
		}
	}
	return ""
}

// nearFault tells whether a real fault, which may leave outcomes unknown, stands near a planned stop.
func (j *judge) nearFault(f *history.Fault) bool {
	return slices.ContainsFunc(j.run.Faults, func(other history.Fault) bool {
		distance := other.Time.Sub(f.Time).Abs()
		return !slices.Contains(planned, other.Kind) && distance <= nearDistance
	})
}

// nearDistance is how long a fault may leave its mark.
const nearDistance = 15 * time.Second

// cutOff tells whether a request was taken and then not answered.
func (j *judge) cutOff(r *history.Request) bool {
	return r.Outcome == history.OutcomeUnknown || r.Outcome == history.OutcomeEntryStopping && len(j.commits[r.ID]) > 0
}
