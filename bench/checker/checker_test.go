package checker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lentilwind.dev/bench/checker"
	"lentilwind.dev/bench/history"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/jsonc"
)

var start = time.Date(2030, 1, 1, 5, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func request(id, session string, ms int) history.Request {
	return history.Request{
		ID: id, Workspace: "w1", Service: "s", Session: session, Entry: "e1", Path: history.PathEntry,
		Route: "lookup", Key: "k", Scheduled: at(ms), Invoked: at(ms), Completed: at(ms + 2), Outcome: history.OutcomeOK,
	}
}

func write(id string, ms int) history.Request {
	r := request(id, "s1", ms)
	r.Route, r.Write = "order", true
	return r
}

func read(id string, ms int, staleness time.Duration, seen ...string) history.Request {
	r := request(id, "s1", ms)
	r.MaxStaleness = jsonc.Duration(staleness)
	for _, id := range seen {
		r.Rows = append(r.Rows, history.Row{ID: id, Key: "k", Workspace: "w1"})
	}
	return r
}

func commit(id, transaction string, term group.Term, ms int) history.DatabaseEvent {
	return history.DatabaseEvent{
		Time: at(ms), Service: "s", Server: "a", Kind: history.DatabaseCommitted, Workspace: "w1", Term: term,
		Transaction: transaction, Changes: []history.Change{{Table: "journal", ID: id, Key: "k"}},
	}
}

func lookupOn(role group.Role) history.DatabaseEvent {
	return history.DatabaseEvent{
		Kind: history.DatabaseStatement, Workspace: "w1", Role: role,
		Statement: "/*route='lookup'*/ SELECT id FROM journal", Time: at(2000),
	}
}

// validRun returns a run that violates no guarantee.
func validRun() *checker.Run {
	other := read("r2", 1000, 500*time.Millisecond, "w-1")
	other.Session = "s2"
	return &checker.Run{
		Requests: []history.Request{
			write("w-1", 0), write("w-2", 900), read("r1", 950, 500*time.Millisecond, "w-1", "w-2"), other,
		},
		DatabaseEvents: []history.DatabaseEvent{commit("w-1", "t1", 1, 1), commit("w-2", "t2", 1, 901), lookupOn(group.RoleReplica)},
		FinalJournals: []history.FinalJournal{{Service: "s", Workspace: "w1", Rows: []history.Row{
			{ID: "w-1", Key: "k", Workspace: "w1"}, {ID: "w-2", Key: "k", Workspace: "w1"},
		}}},
		Quotas: []checker.Quota{{Workspace: "w1", Rate: 10, Burst: 3, Weight: 1}},
		Keys:   []string{"secret"},
	}
}

func TestValidRunHasNoFindings(t *testing.T) {
	s := checker.Check(validRun())
	if s.Broken() != 0 || len(s.Findings) != 0 {
		t.Errorf("a valid run has findings: %+v", s.Findings)
	}
	if s.Requests != 4 || s.ReplicaReadShare != 1 || s.WorstWorkspaceShare != 1 || s.WrongfulRefusals != 0 {
		t.Errorf("unexpected metrics: %+v", s)
	}
}

// violations holds the counts of a summary that are 0 for a valid run.
type violations struct{ Lost, Doubled, Stale, Mixed, Leaks, Over, FalseNotRun, Withdrawn, CutOff int }

func TestViolationsAreDetected(t *testing.T) {
	tests := map[string]struct {
		mutate func(*checker.Run)
		want   violations
	}{
		"an acknowledged write is missing": {func(r *checker.Run) { r.FinalJournals[0].Rows = r.FinalJournals[0].Rows[:1] }, violations{Lost: 1}},
		"a row stands twice": {func(r *checker.Run) {
			r.FinalJournals[0].Rows = append(r.FinalJournals[0].Rows, r.FinalJournals[0].Rows[0])
		}, violations{Doubled: 1}},
		"a write ran again after its first run was cut off": {func(r *checker.Run) {
			r.DatabaseEvents = append(r.DatabaseEvents, commit("w-1", "t9", 2, 950))
		}, violations{Doubled: 1}},
		"a session misses its own write": {func(r *checker.Run) {
			r.Requests[2].Rows = r.Requests[2].Rows[:1]
		}, violations{Stale: 1}},
		"a roaming session misses its own write": {func(r *checker.Run) {
			r.Requests[2].Rows = r.Requests[2].Rows[:1]
			r.Requests[2].Entry = "e2"
		}, violations{Stale: 1}},
		"a read is staler than its route allows": {func(r *checker.Run) { r.Requests[3].Rows = nil }, violations{Stale: 1}},
		"a read at the primary is stale":         {func(r *checker.Run) { r.Requests[3].MaxStaleness = 0 }, violations{Stale: 1}},
		"a row of another workspace is shown":    {func(r *checker.Run) { r.Requests[2].Rows[0].Workspace = "w2" }, violations{Mixed: 1}},
		"an answer belongs to another request":   {func(r *checker.Run) { r.Requests[2].Rows[0].Key = "k2" }, violations{Mixed: 1}},
		"a write ran for another workspace":      {func(r *checker.Run) { r.DatabaseEvents[0].Workspace = "w2" }, violations{Mixed: 1}},
		"a write ran in another slot":            {func(r *checker.Run) { r.DatabaseEvents[0].Slot = 1 }, violations{Mixed: 1}},
		"a key stands in a statement":            {func(r *checker.Run) { r.DatabaseEvents[2].Statement += " -- secret" }, violations{Leaks: 1}},
		"a key stands in a parameter": {func(r *checker.Run) {
			r.DatabaseEvents[2].Parameters = map[string]string{"options": "secret"}
		}, violations{Leaks: 1}},
		"a key stood in the bytes": {func(r *checker.Run) {
			r.DatabaseEvents = append(r.DatabaseEvents, history.DatabaseEvent{Kind: history.DatabaseWatchedText, Text: "secret"})
		}, violations{Leaks: 1}},
		"a window holds too many requests": {func(r *checker.Run) {
			for i := range 4 {
				r.Requests = append(r.Requests, read(fmt.Sprint("x", i), 960, time.Second, "w-1", "w-2"))
			}
		}, violations{Over: 3}},
		"databases ran more than callers sent": {func(r *checker.Run) {
			for range 14 {
				r.DatabaseEvents = append(r.DatabaseEvents, history.DatabaseEvent{
					Kind: history.DatabaseRolledBack, Workspace: "w1", Time: at(950),
				})
			}
		}, violations{Over: 4}},
		"not run was said of a write that ran": {func(r *checker.Run) {
			r.Requests[1].Outcome, r.Requests[1].Code = history.OutcomeNotRun, "LW001"
		}, violations{FalseNotRun: 1}},
		"a withdrawn key still works": {func(r *checker.Run) {
			r.Faults = []history.Fault{{Time: at(-6000), Done: at(10_000), Kind: checker.FaultWithdrawKey, Target: "k1"}}
			r.Requests[2].Credential = "k1"
		}, violations{Withdrawn: 1}},
		"a key works after the withdrawal was said to be done": {func(r *checker.Run) {
			r.Faults = []history.Fault{{Time: at(900), Done: at(940), Kind: checker.FaultWithdrawKey, Target: "k1"}}
			r.Requests[2].Credential = "k1"
		}, violations{Withdrawn: 1}},
		"a planned stop cuts a request off": {func(r *checker.Run) {
			r.Faults = []history.Fault{{Time: at(901), Done: at(990), Kind: checker.FaultStop, Target: "e1"}}
			r.Requests[2].Outcome = history.OutcomeUnknown
		}, violations{CutOff: 1}},
		"a leaving server cuts a request off": {func(r *checker.Run) {
			r.Faults = []history.Fault{{Time: at(901), Kind: checker.FaultLeave, Target: "a"}}
			r.Requests[2].Outcome = history.OutcomeUnknown
		}, violations{CutOff: 1}},
		"a refusal by quota stands in the journal": {func(r *checker.Run) {
			r.Requests[1].Outcome = history.OutcomeQuotaExceeded
			r.DatabaseEvents = r.DatabaseEvents[:1]
		}, violations{FalseNotRun: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			run := validRun()
			test.mutate(run)
			s := checker.Check(run)
			got := violations{
				s.LostWrites, s.DoubledWrites, s.StaleReads, s.MixedWorkspaces, s.KeyLeaks, s.OverQuota, s.FalseNotRun, s.WithdrawnKeys, s.CutOffRequests,
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("%s\n%+v", diff, s.Findings)
			}
		})
	}
}

func TestReplicaReadShareCountsStaleReadableRoutes(t *testing.T) {
	run := validRun()
	run.DatabaseEvents = append(run.DatabaseEvents, lookupOn(group.RolePrimary), lookupOn(group.RolePrimary), lookupOn(group.RoleReplica))
	if got := checker.Check(run).ReplicaReadShare; got != 0.5 {
		t.Errorf("got %v, want 0.5", got)
	}
}

func TestWrongfulRefusals(t *testing.T) {
	run := validRun()
	refused := write("w-3", 2000)
	refused.Outcome = history.OutcomeQuotaExceeded
	run.Requests = append(run.Requests, refused)
	if got := checker.Check(run).WrongfulRefusals; got != 1 {
		t.Errorf("refusal within the quota: got %d wrongful refusals, want 1", got)
	}
	run = validRun()
	refused.Invoked, refused.Completed = at(1000), at(1001)
	run.Requests = append(run.Requests, refused)
	if got := checker.Check(run).WrongfulRefusals; got != 0 {
		t.Errorf("refusal above the quota: got %d wrongful refusals, want 0", got)
	}
}

func TestFailoverGapIsMeasuredBetweenAcknowledgedWrites(t *testing.T) {
	run := validRun()
	run.DatabaseEvents[1].Term = 2
	s := checker.Check(run)
	want := []checker.Failover{{Group: group.ID{Service: "s"}, From: 1, To: 2, GapMs: 900, At: at(2)}}
	if diff := cmp.Diff(want, s.Failovers); diff != "" || s.FailoverGapMs != 900 {
		t.Errorf("gap %d ms, want 900: %s", s.FailoverGapMs, diff)
	}
}

func TestWorstShareReflectsStarvedWorkspace(t *testing.T) {
	run := validRun()
	run.Quotas = append(run.Quotas, checker.Quota{Workspace: "w2", Rate: 100, Burst: 100, Weight: 1})
	for i := range 4 {
		r := read(fmt.Sprint("y", i), 950, time.Second)
		r.Workspace, r.Rows = "w2", nil
		if i > 0 {
			r.Outcome = history.OutcomeNotRun
		}
		run.Requests = append(run.Requests, r)
	}
	if got := checker.Check(run).WorstWorkspaceShare; got != 0.4 {
		t.Errorf("got %v, want 0.4: 1 request served, fair share 2.5", got)
	}
}

func TestAddedLatencyComparesProbes(t *testing.T) {
	run := validRun()
	for i := range 100 {
		entry, direct := read(fmt.Sprint("pe", i), 5000+i, time.Second, "w-1", "w-2"), read(fmt.Sprint("pd", i), 5000+i, time.Second)
		entry.Workspace, direct.Workspace = "probe", "probe"
		entry.Probe, direct.Probe, entry.Rows = true, true, nil
		direct.Path = history.PathDirect
		direct.Completed = direct.Invoked.Add(time.Millisecond)
		run.Requests = append(run.Requests, entry, direct)
	}
	want := checker.Latencies{P50: 1000, P99: 1000}
	if diff := cmp.Diff(want, checker.Check(run).AddedLatencyUs); diff != "" {
		t.Error(diff)
	}
}
