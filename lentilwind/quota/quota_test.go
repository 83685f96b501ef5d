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

func newLoad(name string, rate, burst float64) *workspaceLoad {
	return &workspaceLoad{name: inventory.WorkspaceName(name), limits: quota.Limits{Rate: rate, Burst: burst}, ideal: burst}
}

func noDrift() float64 { return 0 }

// shiftingLoad returns a load of eight workspaces whose demand moves between the entries every two seconds.
func shiftingLoad(f *fleet, factors []float64, request func(workspace, entry int)) func() {
	weights := make([]float64, len(f.entries))
	return func() {
		if f.now%(2*time.Second) == 0 {
			for i := range weights {
				weights[i] = math.Pow(f.rng.Float64(), 4)
			}
		}
		for i, w := range f.workspaces {
			mean := factors[i] * w.limits.Rate * step.Seconds()
			for n := poisson(f, mean); n > 0; n-- {
				request(i, pick(f, weights))
			}
		}
	}
}

func poisson(f *fleet, mean float64) int {
	n, p := 0, f.rng.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= f.rng.Float64()
	}
	return n
}

func pick(f *fleet, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	at := f.rng.Float64() * sum
	for i, w := range weights {
		if at -= w; at < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// Two workspaces send several times their rate, the others stay inside theirs.
var loadFactors = []float64{0.5, 0.6, 0.7, 0.8, 0.85, 0.9, 4, 8}

func eightWorkspaces() []*workspaceLoad {
	return []*workspaceLoad{
		newLoad("w0", 400, 400), newLoad("w1", 200, 200), newLoad("w2", 100, 100), newLoad("w3", 50, 50),
		newLoad("w4", 50, 100), newLoad("w5", 400, 800), newLoad("w6", 100, 100), newLoad("w7", 50, 50),
	}
}

func TestNoWrongfulRefusalInCalm(t *testing.T) {
	for seed := range uint64(3) {
		f := newFleet(seed, 8, noDrift, eightWorkspaces()...)
		f.run(4*time.Second, func() {})
		f.run(34*time.Second, shiftingLoad(f, loadFactors, f.request))
		f.run(35*time.Second, func() {})
		for i, w := range f.workspaces {
			if w.worst > 1e-6 {
				t.Errorf("seed %d: %s passed its limits by %.3f", seed, w.name, w.worst)
			}
			if loadFactors[i] < 1 && w.refused > w.sent-w.idealFor {
				t.Errorf("seed %d: %s: %d of %d refused, an exact bucket refuses %d", seed, w.name, w.refused, w.sent, w.sent-w.idealFor)
			}
			t.Logf("seed %d: %s sent %d, admitted %d, ideal %d", seed, w.name, w.sent, w.admitted, w.idealFor)
		}
		t.Logf("seed %d: %.0f draw requests a second and entry", seed, float64(f.requests)/35/8)
	}
}

func TestLimitsHoldOverEveryWindowUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drift := func() float64 {
			return rapid.Float64Range(-quota.MaxClockDrift/2, quota.MaxClockDrift/2).Draw(t, "drift")
		}
		limits := rapid.SampledFrom([]quota.Limits{{Rate: 100, Burst: 100}, {Rate: 10, Burst: 1}, {Rate: 200, Burst: 30}, {Rate: 50, Burst: 7.5}, {Rate: 10, Burst: 90}})
		l := limits.Draw(t, "limits")
		w := newLoad("w", l.Rate, l.Burst)
		settings := rapid.SampledFrom([]quota.Settings{quota.DefaultSettings(), quota.FastFailoverSettings()}).Draw(t, "settings")
		f := newFleetWith(settings, rapid.Uint64().Draw(t, "seed"), 3, drift, w)
		f.reserving, f.shaky = rapid.Bool().Draw(t, "reserving"), true
		slow := false
		f.delay = func() time.Duration {
			if slow && f.rng.IntN(3) == 0 {
				return time.Duration(f.rng.Int64N(int64(6 * time.Second)))
			}
			return time.Duration(f.rng.Int64N(int64(2 * time.Millisecond)))
		}
		rate := 0.0
		load := func() {
			for n := poisson(f, rate*l.Rate*step.Seconds()); n > 0; n-- {
				f.request(0, f.rng.IntN(len(f.entries)))
			}
		}
		for range rapid.IntRange(3, 10).Draw(t, "phases") {
			switch rapid.SampledFrom([]string{"cut", "deaf", "heal", "elect", "slow", "fast", "none", "configure"}).Draw(t, "fault") {
			case "cut":
				f.entries[rapid.IntRange(0, 2).Draw(t, "entry")].cut = true
			case "deaf":
				f.entries[rapid.IntRange(0, 2).Draw(t, "entry")].deaf = true
			case "heal":
				for _, node := range f.entries {
					node.cut, node.deaf = false, false
				}
			case "elect":
				f.elect()
			case "slow":
				slow = true
			case "fast":
				slow = false
			case "configure":
				f.leader.Configure([]inventory.Workspace{{Name: "w", Rate: l.Rate, Burst: l.Burst}}, f.names, origin.Add(f.now))
			}
			rate = rapid.SampledFrom([]float64{0, 0.3, 2, 10}).Draw(t, "rate")
			f.run(f.now+time.Duration(rapid.IntRange(100, 5000).Draw(t, "ms"))*time.Millisecond, load)
			if w.worst > 1e-6 {
				t.Fatalf("some window has %.3f requests too many", w.worst)
			}
		}
	})
}

func TestCutOffEntryGetsItsFloorAndTheRestStaysForTheOthers(t *testing.T) {
	w := newLoad("w", 100, 100)
	f := newFleet(1, 4, noDrift, w)
	f.run(time.Second, func() {})
	f.entries[0].cut = true
	f.run(10*time.Second, func() {})
	before := w.admitted
	f.run(30*time.Second, func() {
		f.request(0, 0)
	})
	if got, want := w.admitted-before, 20*100*95/100/4/2; got < want || got > want+13 {
		t.Errorf("a cut-off entry admitted %d in 20 s, want its floor of %d and its burst", got, want)
	}
	before = w.admitted
	f.run(50*time.Second, func() {
		f.request(0, 1)
	})
	if got, want := w.admitted-before, 20*100*7/8; got < want {
		t.Errorf("the others got %d in 20 s, want at least %d", got, want)
	}
	if w.worst > 1e-6 {
		t.Errorf("some window has %.3f requests too many", w.worst)
	}
}

// While a leader is replaced, the worst-served workspace must get 0.95 of what it asks for inside its rate, if need be after a wait.
func TestNewLeaderBeginsWithWhatWasReserved(t *testing.T) {
	for seed := range uint64(20) {
		w := newLoad("w", 200, 200)
		f := newFleetWith(quota.FastFailoverSettings(), seed, 8, noDrift, w)
		f.reserving = true
		weights := []float64{1, 1, 1, 1, 1, 2, 2, 3}
		load := func() {
			for n := poisson(f, 0.55*w.limits.Rate*step.Seconds()); n > 0; n-- {
				f.request(0, pick(f, weights))
			}
		}
		f.run(3*time.Second, load)
		sent, refused := w.sent, w.refused
		// Three of the entries stay behind a partition with the old leader; their callers go to the others.
		for i, node := range f.entries[:3] {
			node.cut, weights[i] = true, 0
		}
		f.headless = true
		f.run(3450*time.Millisecond, load)
		f.headless = false
		f.elect()
		f.run(4*time.Second, load)
		sent, refused = w.sent-sent, w.refused-refused
		if refused > sent/20 {
			t.Errorf("seed %d: %d of %d requests were refused while a leader was replaced", seed, refused, sent)
		}
		if w.worst > 1e-6 {
			t.Errorf("seed %d: some window has %.3f requests too many", seed, w.worst)
		}
	}
}

func TestInactiveWorkspacesAreForgotten(t *testing.T) {
	f := newFleet(1, 2, noDrift, newLoad("w", 100, 100))
	f.request(0, 0)
	f.run(time.Second, func() {})
	if f.leader.ActiveWorkspaces() != 1 {
		t.Errorf("%d active after a request", f.leader.ActiveWorkspaces())
	}
	f.run(20*time.Second, func() {})
	if f.leader.ActiveWorkspaces() != 0 {
		t.Errorf("%d active after 19 s without requests", f.leader.ActiveWorkspaces())
	}
}

func ExampleLeader() {
	f := newFleet(1, 2, noDrift, newLoad("florists", 10, 50))
	f.run(10*time.Second, func() {})
	for range 100 {
		f.request(0, 0)
	}
	f.run(11*time.Second, func() {})
	w := f.workspaces[0]
	fmt.Println(w.admitted+w.refused, w.admitted <= 51, w.admitted >= 49)
	// Output: 100 true true
}

// A leader that has set every floor share aside has nothing to give, but only until the entries have proven their contact.
func TestEmptyLeaderDoesNotSilenceEntries(t *testing.T) {
	start := time.Unix(1000, 0)
	leader := quota.NewLeader(quota.FastFailoverSettings(), 2, quota.Reserves{}, start)
	leader.Configure(
		[]inventory.Workspace{{Name: "orders", Rate: 10, Burst: 10}}, []inventory.InstanceName{"entry-1", "entry-2"}, start,
	)
	reply := leader.HandleDraw(&protocol.DrawRequest{Entry: "entry-1", Draws: []protocol.Draw{{Workspace: "orders", Want: 1, Need: 1}}}, start)
	if got := reply.Grants[0]; got.Granted != 0 || got.RetryAfter <= 0 || got.RetryAfter > time.Second {
		t.Fatalf("the leader granted %d and told the entry to wait for %v", got.Granted, got.RetryAfter)
	}
}
