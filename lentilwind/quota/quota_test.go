package quota_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
	"lentilwind.dev/lentilwind/quota"
)

func newWorkspaceLoad(name string, rate, burst float64) *workspaceLoad {
	return &workspaceLoad{name: inventory.WorkspaceName(name), limits: quota.Limits{Rate: rate, Burst: burst}, idealLevel: burst}
}

func noDrift() float64 { return 0 }

// shiftingLoad returns a load whose distribution over the entries changes every two seconds.
func shiftingLoad(sim *simulation, factors []float64, request func(workspace, entry int)) func() {
	weights := make([]float64, len(sim.entries))
	return func() {
		if sim.now%(2*time.Second) == 0 {
			for i := range weights {
				weights[i] = math.Pow(sim.rng.Float64(), 4)
			}
		}
		for i, w := range sim.workspaces {
			mean := factors[i] * w.limits.Rate * step.Seconds()
			for n := poisson(sim, mean); n > 0; n-- {
				request(i, pickWeighted(sim, weights))
			}
		}
	}
}

func poisson(sim *simulation, mean float64) int {
	n, p := 0, sim.rng.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= sim.rng.Float64()
	}
	return n
}

func pickWeighted(sim *simulation, weights []float64) int {
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	at := sim.rng.Float64() * sum
	for i, w := range weights {
		if at -= w; at < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// Two workspaces send several times their rate, the others stay below theirs.
var loadFactors = []float64{0.5, 0.6, 0.7, 0.8, 0.85, 0.9, 4, 8}

func eightWorkspaces() []*workspaceLoad {
	return []*workspaceLoad{
		newWorkspaceLoad("w0", 400, 400), newWorkspaceLoad("w1", 200, 200), newWorkspaceLoad("w2", 100, 100), newWorkspaceLoad("w3", 50, 50),
		newWorkspaceLoad("w4", 50, 100), newWorkspaceLoad("w5", 400, 800), newWorkspaceLoad("w6", 100, 100), newWorkspaceLoad("w7", 50, 50),
	}
}

func TestNoWrongfulRefusalsWithoutFaults(t *testing.T) {
	for seed := range uint64(3) {
		sim := newSimulation(seed, 8, noDrift, eightWorkspaces()...)
		sim.run(4*time.Second, func() {})
		sim.run(34*time.Second, shiftingLoad(sim, loadFactors, sim.request))
		sim.run(35*time.Second, func() {})
		for i, w := range sim.workspaces {
			if w.worstExcess > 1e-6 {
				t.Errorf("seed %d: %s exceeded its limits by %.3f requests", seed, w.name, w.worstExcess)
			}
			if loadFactors[i] < 1 && w.refused > w.sent-w.idealAdmitted {
				t.Errorf("seed %d: %s: %d of %d requests refused, an exact bucket refuses %d", seed, w.name, w.refused, w.sent, w.sent-w.idealAdmitted)
			}
			t.Logf("seed %d: %s sent %d, admitted %d, ideal %d", seed, w.name, w.sent, w.admitted, w.idealAdmitted)
		}
		t.Logf("seed %d: %.0f draw requests per second and entry", seed, float64(sim.draws)/35/8)
	}
}

func TestLimitsHoldOverEveryWindowUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drift := func() float64 {
			return rapid.Float64Range(-quota.MaxClockDrift/2, quota.MaxClockDrift/2).Draw(t, "drift")
		}
		limits := rapid.SampledFrom([]quota.Limits{{Rate: 100, Burst: 100}, {Rate: 10, Burst: 1}, {Rate: 200, Burst: 30}, {Rate: 50, Burst: 7.5}, {Rate: 10, Burst: 90}})
		l := limits.Draw(t, "limits")
		w := newWorkspaceLoad("w", l.Rate, l.Burst)
		settings := rapid.SampledFrom([]quota.Settings{quota.DefaultSettings(), quota.FastFailoverSettings()}).Draw(t, "settings")
		sim := newSimulationWith(settings, rapid.Uint64().Draw(t, "seed"), 3, drift, w)
		sim.withReserves, sim.lossyJournal = rapid.Bool().Draw(t, "reserving"), true
		slow := false
		sim.randomDelay = func() time.Duration {
			if slow && sim.rng.IntN(3) == 0 {
				return time.Duration(sim.rng.Int64N(int64(6 * time.Second)))
			}
			return time.Duration(sim.rng.Int64N(int64(2 * time.Millisecond)))
		}
		rate := 0.0
		load := func() {
			for n := poisson(sim, rate*l.Rate*step.Seconds()); n > 0; n-- {
				sim.request(0, sim.rng.IntN(len(sim.entries)))
			}
		}
		for range rapid.IntRange(3, 10).Draw(t, "phases") {
			switch rapid.SampledFrom([]string{"cut off", "lose replies", "heal", "elect leader", "slow", "fast", "none", "configure"}).Draw(t, "fault") {
			case "cut off":
				sim.entries[rapid.IntRange(0, 2).Draw(t, "entry")].cutOff = true
			case "lose replies":
				sim.entries[rapid.IntRange(0, 2).Draw(t, "entry")].losesReplies = true
			case "heal":
				for _, node := range sim.entries {
					node.cutOff, node.losesReplies = false, false
				}
			case "elect leader":
				sim.electLeader()
			case "slow":
				slow = true
			case "fast":
				slow = false
			case "configure":
				sim.leader.Configure([]inventory.Workspace{{Name: "w", Rate: l.Rate, Burst: l.Burst}}, sim.entryNames, origin.Add(sim.now))
			}
			rate = rapid.SampledFrom([]float64{0, 0.3, 2, 10}).Draw(t, "rate")
			sim.run(sim.now+time.Duration(rapid.IntRange(100, 5000).Draw(t, "ms"))*time.Millisecond, load)
			if w.worstExcess > 1e-6 {
				t.Fatalf("some window exceeds the limits by %.3f requests", w.worstExcess)
			}
		}
	})
}

// Shares below one request are used by keepers that change, in a fleet with partitions, lost and late messages and drifting clocks.
func TestLimitsHoldOverEveryWindowWithKeepers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drift := func() float64 {
			return rapid.Float64Range(-quota.MaxClockDrift/2, quota.MaxClockDrift/2).Draw(t, "drift")
		}
		l := rapid.SampledFrom([]quota.Limits{{Rate: 40, Burst: 12}, {Rate: 100, Burst: 23}, {Rate: 24, Burst: 24}, {Rate: 30, Burst: 3}}).Draw(t, "limits")
		w := newWorkspaceLoad("w", l.Rate, l.Burst)
		sim := newSimulationWith(quota.FastFailoverSettings(), rapid.Uint64().Draw(t, "seed"), 24, drift, w)
		sim.withReserves, sim.lossyJournal = rapid.Bool().Draw(t, "reserving"), true
		keeper, slow := 0, false
		sim.keeperOf = func() int { return keeper }
		sim.randomDelay = func() time.Duration {
			if slow && sim.rng.IntN(4) == 0 {
				return time.Duration(sim.rng.Int64N(int64(2 * time.Second)))
			}
			return time.Duration(sim.rng.Int64N(int64(2 * time.Millisecond)))
		}
		rate := 0.0
		load := func() {
			for n := poisson(sim, rate*l.Rate*step.Seconds()); n > 0; n-- {
				sim.request(0, sim.rng.IntN(len(sim.entries)))
			}
		}
		for range rapid.IntRange(3, 8).Draw(t, "phases") {
			switch rapid.SampledFrom([]string{"cut off", "cut off", "heal", "elect leader", "slow", "fast", "keeper", "lose replies"}).Draw(t, "fault") {
			case "cut off":
				first := rapid.IntRange(0, 20).Draw(t, "first")
				for _, node := range sim.entries[first:min(first+8, len(sim.entries))] {
					node.cutOff = true
				}
			case "lose replies":
				sim.entries[rapid.IntRange(0, 23).Draw(t, "entry")].losesReplies = true
			case "heal":
				for _, node := range sim.entries {
					node.cutOff, node.losesReplies = false, false
				}
			case "elect leader":
				sim.electLeader()
			case "slow":
				slow = true
			case "fast":
				slow = false
			case "keeper":
				keeper = rapid.IntRange(0, 23).Draw(t, "keeper")
			}
			rate = rapid.SampledFrom([]float64{0.3, 2, 10}).Draw(t, "rate")
			sim.run(sim.now+time.Duration(rapid.IntRange(100, 2500).Draw(t, "ms"))*time.Millisecond, load)
			if w.worstExcess > 1e-6 {
				t.Fatalf("some window exceeds the limits by %.3f requests", w.worstExcess)
			}
		}
	})
}

// A data centre with 16 of 94 entries is cut off while each workspace sends its usual demand, a fraction of its rate.
func TestCutOffDataCentreIsServedFromItsSharesTogether(t *testing.T) {
	const entries, dataCentre = 94, 16
	for _, withKeeper := range []bool{false, true} {
		w := newWorkspaceLoad("w", 30, 30)
		sim := newSimulationWith(quota.FastFailoverSettings(), 1, entries, noDrift, w)
		if withKeeper {
			sim.keeperOf = func() int { return 3 }
		}
		sim.run(2*time.Second, func() {})
		for _, node := range sim.entries[:dataCentre] {
			node.cutOff = true
		}
		sim.run(3*time.Second, func() {})
		sent, admitted := w.sent, w.admitted
		sim.run(13*time.Second, func() {
			// Clients spread evenly over the data centres send 1 / 1.6 of the rate.
			if sim.rng.Float64() < 30/1.6*dataCentre/entries*step.Seconds() {
				sim.request(0, sim.rng.IntN(dataCentre))
			}
		})
		sent, admitted = w.sent-sent, w.admitted-admitted
		if share := float64(admitted) / float64(sent); withKeeper != (share > 0.75) {
			t.Errorf("with keeper %v: %d of %d requests admitted", withKeeper, admitted, sent)
		}
	}
}

func TestCutOffEntryIsLimitedToItsFloorShare(t *testing.T) {
	w := newWorkspaceLoad("w", 100, 100)
	sim := newSimulation(1, 4, noDrift, w)
	sim.run(time.Second, func() {})
	sim.entries[0].cutOff = true
	sim.run(10*time.Second, func() {})
	before := w.admitted
	sim.run(30*time.Second, func() {
		sim.request(0, 0)
	})
	if got, want := w.admitted-before, 20*100*95/100/4/2; got < want || got > want+13 {
		t.Errorf("a cut-off entry admitted %d requests in 20 s, want its floor share of %d plus its burst", got, want)
	}
	before = w.admitted
	sim.run(50*time.Second, func() {
		sim.request(0, 1)
	})
	if got, want := w.admitted-before, 20*100*7/8; got < want {
		t.Errorf("the other entries admitted %d requests in 20 s, want at least %d", got, want)
	}
	if w.worstExcess > 1e-6 {
		t.Errorf("some window exceeds the limits by %.3f requests", w.worstExcess)
	}
}

// A workspace below its rate must have 95 percent of its requests admitted, if need be after a wait, while the leader is
// replaced and some entries are cut off together with the old one.
func TestNewLeaderInheritsReserves(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorkspaceLoad("w", 200, 200)
		sim := newSimulationWith(quota.FastFailoverSettings(), seed, 8, noDrift, w)
		sim.withReserves = true
		weights := []float64{1, 1, 1, 1, 1, 2, 2, 3}
		load := func() {
			for n := poisson(sim, 0.55*w.limits.Rate*step.Seconds()); n > 0; n-- {
				sim.request(0, pickWeighted(sim, weights))
			}
		}
		sim.run(3*time.Second, load)
		sent, refused := w.sent, w.refused
		// Three of the entries stay in a partition with the old leader; their callers go to the others.
		for i, node := range sim.entries[:3] {
			node.cutOff, weights[i] = true, 0
		}
		sim.leaderless = true
		sim.run(3450*time.Millisecond, load)
		sim.leaderless = false
		sim.electLeader()
		sim.run(4*time.Second, load)
		sent, refused = w.sent-sent, w.refused-refused
		if refused > sent/20 {
			t.Errorf("seed %d: %d of %d requests were refused while the leader was replaced", seed, refused, sent)
		}
		if w.worstExcess > 1e-6 {
			t.Errorf("seed %d: some window exceeds the limits by %.3f requests", seed, w.worstExcess)
		}
	}
}

func TestBucketsOfInactiveWorkspacesAreRemoved(t *testing.T) {
	sim := newSimulation(1, 2, noDrift, newWorkspaceLoad("w", 100, 100))
	sim.request(0, 0)
	sim.run(time.Second, func() {})
	if sim.leader.ActiveWorkspaces() != 1 {
		t.Errorf("%d active workspaces after a request", sim.leader.ActiveWorkspaces())
	}
	sim.run(20*time.Second, func() {})
	if sim.leader.ActiveWorkspaces() != 0 {
		t.Errorf("%d active workspaces after 19 s without requests", sim.leader.ActiveWorkspaces())
	}
}

func ExampleLeader() {
	sim := newSimulation(1, 2, noDrift, newWorkspaceLoad("florists", 10, 50))
	sim.run(10*time.Second, func() {})
	for range 100 {
		sim.request(0, 0)
	}
	sim.run(11*time.Second, func() {})
	w := sim.workspaces[0]
	fmt.Println(w.admitted+w.refused, w.admitted <= 51, w.admitted >= 49)
	// Output: 100 true true
}

// Guards against entries that stop drawing because a leader has set aside every floor share and has nothing to grant: the
// leader can grant as soon as the entries have proven their contact, so RetryAfter must stay short.
func TestRetryAfterOfEmptyLeaderIsBounded(t *testing.T) {
	start := time.Unix(1000, 0)
	leader := quota.NewLeader(quota.FastFailoverSettings(), 2, quota.Reserves{}, start)
	leader.Configure(
		[]inventory.Workspace{{Name: "orders", Rate: 10, Burst: 10}}, []inventory.InstanceName{"entry-1", "entry-2"}, start,
	)
	reply := leader.HandleDraw(&protocol.DrawRequest{Entry: "entry-1", Draws: []protocol.Draw{{Workspace: "orders", Want: 1, Need: 1}}}, start)
	if got := reply.Grants[0]; got.Granted != 0 || got.RetryAfter <= 0 || got.RetryAfter > time.Second {
		t.Fatalf("the leader granted %d tokens with a retry delay of %v", got.Granted, got.RetryAfter)
	}
}
