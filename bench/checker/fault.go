package checker

import (
	"fmt"
	"time"

	"lentilwind.dev/bench/history"
)

// FaultStop is a planned stop; its target is the process.
const FaultStop history.FaultKind = "stop"

// KeyGrace is how long after its withdrawal a key may still work somewhere.
const KeyGrace = 5 * time.Second

// FaultWithdrawKey is a fault whose target is the id of the withdrawn key.
const FaultWithdrawKey history.FaultKind = "withdrawKey"

// faultWindow is the time after a fault that its row describes.
const faultWindow = 5 * time.Second

// FaultRow is what callers saw after one fault.
type FaultRow struct {
	history.Fault
	// TookMs is the time until the fault had been brought about, for example until a change was in force.
	TookMs    int64                   `json:"tookMs"`
	Requests  int                     `json:"requests"`
	Outcomes  map[history.Outcome]int `json:"outcomes"`
	SlowestMs int64                   `json:"slowestMs"`
	// FailoverGapMs is the longest gap that began in the window.
	FailoverGapMs int64 `json:"failoverGapMs"`
}

func (j *judge) faultRows(failovers []Failover) []FaultRow {
	rows := []FaultRow{}
	for _, f := range j.run.Faults {
		row := FaultRow{Fault: f, Outcomes: make(map[history.Outcome]int), TookMs: f.Done.Sub(f.Time).Milliseconds()}
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
		withdrawn[f.Target] = f.Time.Add(KeyGrace)
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

// cutOffRequests counts requests that a planned stop of their entry left without an answer.
func (j *judge) cutOffRequests() int {
	n := 0
	for _, f := range j.run.Faults {
		if f.Kind != FaultStop {
			continue
		}
		for _, r := range j.requests {
			overlaps := r.Entry == f.Target && !r.Completed.Before(f.Time) && !r.Invoked.After(f.Done)
			if overlaps && j.cutOff(r) {
				n += j.find("cutOffRequests", r.ID, fmt.Sprintf("ended with %q in the planned stop of %s", r.Code+r.Message, f.Target))
			}
		}
	}
	return n
}

// cutOff tells whether a request was taken and then not answered.
func (j *judge) cutOff(r *history.Request) bool {
	return r.Outcome == history.OutcomeUnknown || r.Outcome == history.OutcomeStopped && len(j.commits[r.ID]) > 0
}
