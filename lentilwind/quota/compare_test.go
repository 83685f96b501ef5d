package quota_test

import (
	"strconv"
	"testing"
	"time"

	"lentilwind.dev/lentilwind/protocol"
)

const compareFor = 30 * time.Second

// BenchmarkPolicies reports the refusals beyond those of one exact bucket, as a share of the requests, for the same load.
func BenchmarkPolicies(b *testing.B) {
	policies := []struct {
		name    string
		request func(*fleet) func(workspace, entry int)
	}{
		{"EqualSplit", equalSplit},
		{"FixedBatches", fixedBatches},
		{"DemandSized", func(f *fleet) func(workspace, entry int) { return f.request }},
	}
	for _, policy := range policies {
		b.Run(policy.name, func(b *testing.B) {
			var wrongful, insideWrongful, sent, insideSent, draws int
			for i := range b.N {
				f := newFleet(uint64(i), 8, noDrift, eightWorkspaces()...)
				f.run(4*time.Second, func() {})
				f.run(4*time.Second+compareFor, shiftingLoad(f, loadFactors, policy.request(f)))
				f.run(f.now+time.Second, func() {})
				for i, w := range f.workspaces {
					sent += w.sent
					wrongful += w.wrongful()
					if loadFactors[i] < 1 {
						insideSent += w.sent
						insideWrongful += w.wrongful()
					}
				}
				draws += f.requests
			}
			b.ReportMetric(100*float64(wrongful)/float64(sent), "%wrongful")
			b.ReportMetric(100*float64(insideWrongful)/float64(insideSent), "%wrongfulInside")
			b.ReportMetric(float64(draws)/float64(b.N)/compareFor.Seconds()/8, "draws/s")
		})
	}
}

// BenchmarkFleetSizes reports refusals beyond those of one exact bucket, and all requests to the leader, in calm.
func BenchmarkFleetSizes(b *testing.B) {
	for _, entries := range []int{8, 64, 610} {
		b.Run(strconv.Itoa(entries), func(b *testing.B) {
			var inside, insideWrongful, draws int
			for i := range b.N {
				f := newFleet(uint64(i), entries, noDrift, eightWorkspaces()...)
				f.run(4*time.Second, func() {})
				f.requests = 0
				f.run(4*time.Second+compareFor, shiftingLoad(f, loadFactors, f.request))
				draws += f.requests
				f.run(f.now+time.Second, func() {})
				for i, w := range f.workspaces {
					if loadFactors[i] < 1 {
						inside += w.sent
						insideWrongful += w.wrongful()
					}
				}
			}
			b.ReportMetric(100*float64(insideWrongful)/float64(inside), "%wrongfulInside")
			b.ReportMetric(float64(draws)/float64(b.N)/compareFor.Seconds(), "draws/s")
		})
	}
}

// equalSplit gives each entry a fixed part of each workspace's bucket.
func equalSplit(f *fleet) func(workspace, entry int) {
	type bucket struct {
		level float64
		at    time.Duration
	}
	buckets := make([][8]bucket, len(f.workspaces))
	for i, w := range f.workspaces {
		for j := range buckets[i] {
			buckets[i][j] = bucket{level: w.limits.Burst / 8, at: f.now}
		}
	}
	return func(workspace, entry int) {
		w, own := f.workspaces[workspace], &buckets[workspace][entry]
		w.arrive(f.now)
		own.level = min(w.limits.Burst/8, own.level+w.limits.Rate/8*(f.now-own.at).Seconds())
		own.at = f.now
		if own.level >= 1 {
			own.level--
			w.admit(f.now)
		}
	}
}

// fixedBatches draws the same number of tokens whenever an entry has run out, and refuses meanwhile.
func fixedBatches(f *fleet) func(workspace, entry int) {
	const batch = 20
	type held struct {
		tokens uint32
		end    time.Duration
		asking bool
	}
	all := make([][8]held, len(f.workspaces))
	return func(workspace, entry int) {
		w, own := f.workspaces[workspace], &all[workspace][entry]
		w.arrive(f.now)
		if own.tokens > 0 && f.now < own.end {
			own.tokens--
			w.admit(f.now)
			return
		}
		if own.asking {
			return
		}
		own.asking = true
		f.requests++
		sent := f.now
		f.after(f.delay(), func() {
			request := protocol.DrawRequest{Draws: []protocol.Draw{{Workspace: w.name, Want: batch, Need: batch}}}
			grant := f.leader.HandleDraw(&request, origin.Add(f.now)).Grants[0]
			f.after(f.delay(), func() { *own = held{tokens: grant.Granted, end: sent + grant.Lifetime} })
		})
	}
}
