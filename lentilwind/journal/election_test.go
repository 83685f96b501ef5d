package journal_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lentilwind.dev/lentilwind/journal"
)

// coinFlipTimeout starts at one election timeout and adds half of one for every coin flip until the first heads.
func coinFlipTimeout(random *rand.Rand, election time.Duration) time.Duration {
	wait := election
	for random.IntN(2) == 0 {
		wait += election / 2
	}
	return wait
}

// delivery is a message and its time of arrival.
type delivery struct {
	at      time.Time
	message journal.Message
}

// reelect stops an established leader and returns how long it takes until another member holds a lease, and how many terms.
func reelect(seed uint64, members int, delay, jitter time.Duration, timeout func(*rand.Rand, time.Duration) time.Duration) (time.Duration, journal.Term) {
	random := rand.New(rand.NewPCG(seed, 2))
	var membership journal.Membership
	for i := range members {
		membership.Members = append(membership.Members, journal.Member{ID: journal.MemberID(i + 1)})
	}
	now := time.Unix(0, 0)
	machines := map[journal.MemberID]*journal.Machine{}
	for _, m := range membership.Members {
		cfg := journal.Config{ID: m.ID, Random: random, RandomTimeout: timeout}
		machines[m.ID] = journal.New(cfg, journal.Persisted{Snapshot: journal.Snapshot{Index: 1, Term: 1, Membership: membership}}, now)
	}
	var pending []delivery
	enqueue := func(effects []journal.Effect) {
		for _, effect := range effects {
			if send, ok := effect.(journal.Send); ok {
				pending = append(pending, delivery{now.Add(delay + time.Duration(random.Int64N(int64(jitter)))), send.Message})
			}
		}
	}
	stoppedLeader := journal.MemberID(0)
	var stoppedAt time.Time
	var termBefore journal.Term
	for range 1_000_000 {
		for _, m := range membership.Members {
			machine := machines[m.ID]
			if m.ID == stoppedLeader {
				continue
			}
			if _, held := machine.Lease(now); held {
				if stoppedLeader != 0 {
					return now.Sub(stoppedAt), machine.Term() - termBefore
				}
				stoppedLeader, stoppedAt, termBefore = m.ID, now, machine.Term()
				continue
			}
		}
		next := delivery{at: now.Add(time.Hour)}
		for _, m := range membership.Members {
			if deadline := machines[m.ID].Deadline(); m.ID != stoppedLeader && deadline.Before(next.at) {
				next = delivery{at: deadline, message: journal.Message{To: m.ID}}
			}
		}
		i := slices.IndexFunc(pending, func(d delivery) bool { return d.at.Before(next.at) })
		for j, d := range pending {
			if i >= 0 && d.at.Before(pending[i].at) {
				i = j
			}
		}
		if i >= 0 {
			next = pending[i]
			pending = slices.Delete(pending, i, i+1)
		}
		if next.at.After(now) {
			now = next.at
		}
		switch {
		case next.message.To == stoppedLeader:
		case next.message.Type == "":
			enqueue(machines[next.message.To].Tick(now))
		default:
			enqueue(machines[next.message.To].Step(now, next.message))
		}
	}
	return time.Hour, 0
}

// BenchmarkElections compares distributions of the election timeout over seeded losses of a leader.
func BenchmarkElections(b *testing.B) {
	const elections = 400
	strategies := []struct {
		name    string
		timeout func(*rand.Rand, time.Duration) time.Duration
	}{{"uniform", journal.UniformTimeout}, {"coin", coinFlipTimeout}}
	for _, members := range []int{3, 5, 7} {
		for _, delay := range []time.Duration{time.Millisecond, 40 * time.Millisecond} {
			for _, strategy := range strategies {
				b.Run(fmt.Sprintf("%s/members=%d/delay=%s", strategy.name, members, delay), func(b *testing.B) {
					for b.Loop() {
						var times []time.Duration
						terms := journal.Term(0)
						for seed := range uint64(elections) {
							took, n := reelect(seed, members, delay, delay/2+time.Microsecond, strategy.timeout)
							times = append(times, took)
							terms += n
						}
						slices.Sort(times)
						b.ReportMetric(float64(times[elections/2].Milliseconds()), "p50-ms")
						b.ReportMetric(float64(times[elections*99/100].Milliseconds()), "p99-ms")
						b.ReportMetric(float64(times[elections-1].Milliseconds()), "worst-ms")
						b.ReportMetric(float64(terms)/elections, "terms/election")
					}
				})
			}
		}
	}
}
