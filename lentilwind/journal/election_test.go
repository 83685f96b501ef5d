package journal_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lentilwind.dev/lentilwind/journal"
)

// coinTimeout flips a coin at each half of an election time and campaigns at the first heads.
func coinTimeout(random *rand.Rand, election time.Duration) time.Duration {
	wait := election
	for random.IntN(2) == 0 {
		wait += election / 2
	}
	return wait
}

// delivery is a message that arrives at a time.
type delivery struct {
	at      time.Time
	message journal.Message
}

// electAgain lets a settled leader vanish and returns how long it takes until another one holds a lease, and in how many terms.
func electAgain(seed uint64, members int, delay, jitter time.Duration, timeout func(*rand.Rand, time.Duration) time.Duration) (time.Duration, journal.Term) {
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
	post := func(effects []journal.Effect) {
		for _, effect := range effects {
			if send, ok := effect.(journal.Send); ok {
				pending = append(pending, delivery{now.Add(delay + time.Duration(random.Int64N(int64(jitter)))), send.Message})
			}
		}
	}
	gone := journal.MemberID(0)
	var began time.Time
	var before journal.Term
	for range 1_000_000 {
		for _, m := range membership.Members {
			machine := machines[m.ID]
			if m.ID == gone {
				continue
			}
			if _, held := machine.Lease(now); held {
				if gone != 0 {
					return now.Sub(began), machine.Term() - before
				}
				gone, began, before = m.ID, now, machine.Term()
				continue
			}
		}
		next := delivery{at: now.Add(time.Hour)}
		for _, m := range membership.Members {
			if deadline := machines[m.ID].Deadline(); m.ID != gone && deadline.Before(next.at) {
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
		case next.message.To == gone:
		case next.message.Type == "":
			post(machines[next.message.To].Tick(now))
		default:
			post(machines[next.message.To].Step(now, next.message))
		}
	}
	return time.Hour, 0
}

// BenchmarkElections compares ways to draw the time to a campaign over seeded losses of a leader.
func BenchmarkElections(b *testing.B) {
	const elections = 400
	ways := []struct {
		name string
		draw func(*rand.Rand, time.Duration) time.Duration
	}{{"uniform", journal.UniformTimeout}, {"coin", coinTimeout}}
	for _, members := range []int{3, 5, 7} {
		for _, delay := range []time.Duration{time.Millisecond, 40 * time.Millisecond} {
			for _, way := range ways {
				b.Run(fmt.Sprintf("%s/members=%d/delay=%s", way.name, members, delay), func(b *testing.B) {
					for b.Loop() {
						var times []time.Duration
						terms := journal.Term(0)
						for seed := range uint64(elections) {
							took, n := electAgain(seed, members, delay, delay/2+time.Microsecond, way.draw)
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
