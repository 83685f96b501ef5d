package journal_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"lentilwind.dev/lentilwind/journal"
)

// supportsOtherCandidate lets a leader obtain its lease from a voter whose clock runs at the given rate, and reports whether
// that voter supports another candidate at the last instant of the lease.
func supportsOtherCandidate(t *testing.T, fault string, rate float64) bool {
	t.Helper()
	membership := journal.Membership{Members: []journal.Member{{ID: 1}, {ID: 2}, {ID: 3}}}
	elapsed := time.Duration(0)
	now := map[journal.MemberID]func() time.Time{
		1: func() time.Time { return time.Unix(0, 0).Add(elapsed) },
		2: func() time.Time { return time.Unix(0, 0).Add(time.Duration(float64(elapsed) * rate)) },
	}
	machines := map[journal.MemberID]*journal.Machine{}
	for id := range now {
		cfg := journal.Config{ID: id, HeartbeatInterval: heartbeat, ElectionTimeout: election, Random: rand.New(rand.NewPCG(1, uint64(id)))}
		persisted := journal.Persisted{Snapshot: journal.Snapshot{Index: 1, Term: 1, Membership: membership}}
		machines[id] = journal.New(journal.WithFault(cfg, fault), persisted, now[id]())
	}
	var deliver func(effects []journal.Effect)
	deliver = func(effects []journal.Effect) {
		for _, effect := range effects {
			if send, isSend := effect.(journal.Send); isSend && machines[send.Message.To] != nil {
				to := send.Message.To
				deliver(machines[to].Step(now[to](), send.Message))
			}
		}
	}
	for {
		elapsed += time.Millisecond
		if elapsed > time.Minute {
			t.Fatal("no lease within a minute")
		}
		until, held := machines[1].Lease(now[1]())
		if held {
			elapsed = until.Sub(time.Unix(0, 0)) - 1
			break
		}
		deliver(machines[1].Tick(now[1]()))
	}
	request := journal.Message{
		Type: journal.MessagePreVote, From: 3, To: 2, Term: machines[2].Term() + 1,
		Index: machines[1].LastIndex() + 1, LogTerm: machines[2].Term(),
	}
	for _, effect := range machines[2].Step(now[2](), request) {
		if send, isSend := effect.(journal.Send); isSend && !send.Message.Reject {
			return true
		}
	}
	return false
}

func TestLeaseExpiresBeforeVotersSupportOthers(t *testing.T) {
	fastest := 1 + float64(journal.DriftPercent)/100
	for _, rate := range []float64{1 / fastest, 1, fastest} {
		if supportsOtherCandidate(t, "", rate) {
			t.Errorf("a voter whose clock runs %.2f times as fast supports another candidate while the lease is valid", rate)
		}
	}
	if !supportsOtherCandidate(t, journal.FaultLongLease, fastest) {
		t.Error("the injected long lease was not detected")
	}
	if !supportsOtherCandidate(t, "", 1.2) {
		t.Error("a clock beyond the drift bound does not break the lease, so this test would not detect drift")
	}
}
