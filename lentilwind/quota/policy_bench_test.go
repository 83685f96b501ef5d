package quota_test

import (
	"strconv"
	"testing"
	"time"

	"lentilwind.dev/lentilwind/protocol"
)

const measuredPeriod = 30 * time.Second

// BenchmarkPolicies reports the refusals beyond those of one exact bucket, as a percentage of the requests, of three policies
// under the same load.
func BenchmarkPolicies(b *testing.B) {
	policies := []struct {
		name    string
		request func(*simulation) func(workspace, entry int)
	}{
		{"EqualSplit", equalSplit},
		{"FixedBatches", fixedBatches},
		{"DemandSized", func(sim *simulation) func(workspace, entry int) { return sim.request }},
	}
	for _, policy := range policies {
		b.Run(policy.name, func(b *testing.B) {
			var wrongful, insideWrongful, sent, insideSent, draws int
			for i := range b.N {
				sim := newSimulation(uint64(i), 8, noDrift, eightWorkspaces()...)
				sim.run(4*time.Second, func() {})
				sim.run(4*time.Second+measuredPeriod, shiftingLoad(sim, loadFactors, policy.request(sim)))
				sim.run(sim.now+time.Second, func() {})
				for i, w := range sim.workspaces {
					sent += w.sent
					wrongful += w.wrongfulRefusals()
					if loadFactors[i] < 1 {
						insideSent += w.sent
						insideWrongful += w.wrongfulRefusals()
					}
				}
				draws += sim.draws
			}
			b.ReportMetric(100*float64(wrongful)/float64(sent), "%wrongful")
			b.ReportMetric(100*float64(insideWrongful)/float64(insideSent), "%wrongfulInside")
			b.ReportMetric(float64(draws)/float64(b.N)/measuredPeriod.Seconds()/8, "draws/s")
		})
	}
}

// BenchmarkFleetSizes reports the refusals beyond those of one exact bucket, and the rate of all requests to the leader,
// without faults.
func BenchmarkFleetSizes(b *testing.B) {
	for _, entries := range []int{8, 64, 610} {
		b.Run(strconv.Itoa(entries), func(b *testing.B) {
			var inside, insideWrongful, draws int
			for i := range b.N {
				sim := newSimulation(uint64(i), entries, noDrift, eightWorkspaces()...)
				sim.run(4*time.Second, func() {})
				sim.draws = 0
				sim.run(4*time.Second+measuredPeriod, shiftingLoad(sim, loadFactors, sim.request))
				draws += sim.draws
				sim.run(sim.now+time.Second, func() {})
				for i, w := range sim.workspaces {
					if loadFactors[i] < 1 {
						inside += w.sent
						insideWrongful += w.wrongfulRefusals()
					}
				}
			}
			b.ReportMetric(100*float64(insideWrongful)/float64(inside), "%wrongfulInside")
			b.ReportMetric(float64(draws)/float64(b.N)/measuredPeriod.Seconds(), "draws/s")
		})
	}
}

// equalSplit gives each entry a fixed part of each workspace's bucket.
func equalSplit(sim *simulation) func(workspace, entry int) {
	type bucket struct {
		level float64
		at    time.Duration
	}
	buckets := make([][8]bucket, len(sim.workspaces))
	for i, w := range sim.workspaces {
		for j := range buckets[i] {
			buckets[i][j] = bucket{level: w.limits.Burst / 8, at: sim.now}
		}
	}
	return func(workspace, entry int) {
		w, own := sim.workspaces[workspace], &buckets[workspace][entry]
		w.arrive(sim.now)
		own.level = min(w.limits.Burst/8, own.level+w.limits.Rate/8*(sim.now-own.at).Seconds())
		own.at = sim.now
		if own.level >= 1 {
			own.level--
			w.admit(sim.now)
		}
	}
}

// fixedBatches draws the same number of tokens whenever an entry has none left, and refuses requests until they arrive.
func fixedBatches(sim *simulation) func(workspace, entry int) {
	const batch = 20
	type batchGrant struct {
		tokens      uint32
		end         time.Duration
		drawPending bool
	}
	grants := make([][8]batchGrant, len(sim.workspaces))
	return func(workspace, entry int) {
		w, own := sim.workspaces[workspace], &grants[workspace][entry]
		w.arrive(sim.now)
		if own.tokens > 0 && sim.now < own.end {
			own.tokens--
			w.admit(sim.now)
			return
		}
		if own.drawPending {
			return
		}
		own.drawPending = true
		sim.draws++
		sent := sim.now
		sim.schedule(sim.randomDelay(), func() {
			request := protocol.DrawRequest{Draws: []protocol.Draw{{Workspace: w.name, Want: batch, Need: batch}}}
			grant := sim.leader.HandleDraw(&request, origin.Add(sim.now)).Grants[0]
			sim.schedule(sim.randomDelay(), func() { *own = batchGrant{tokens: grant.Granted, end: sent + grant.Lifetime} })
		})
	}
}
