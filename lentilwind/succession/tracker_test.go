package succession_test

import (
	"testing"
	"time"

	"lentilwind.dev/lentilwind/succession"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func newTracker() *succession.Tracker {
	return &succession.Tracker{Members: []succession.Member{
		{Server: "a", Incarnation: 1, Primary: true}, {Server: "b", Incarnation: 1}, {Server: "c", Incarnation: 1},
	}}
}

func TestSilentPrimaryIsReplaced(t *testing.T) {
	s := newTracker()
	s.Decide(at(0))
	s.HandleProbe("a", at(0), at(10), succession.ProbeNoAnswer)
	if _, needed := s.Decide(at(20)); needed {
		t.Fatal("primary replaced after one unanswered probe")
	}
	s.HandleProbe("a", at(100), at(110), succession.ProbeNoAnswer)
	if reason, needed := s.Decide(at(120)); !needed || reason != succession.ReasonSilent {
		t.Fatalf("silent primary not replaced: reason %q", reason)
	}
}

func TestPrimaryReachableByEntriesIsKept(t *testing.T) {
	s := newTracker()
	s.Decide(at(0))
	for ms := 0; ms < 2000; ms += 100 {
		s.HandleProbe("a", at(ms), at(ms+50), succession.ProbeNoAnswer)
		s.HandleEntryReport(at(ms+60), "a", 20*time.Millisecond, 0, 10*time.Millisecond)
		if reason, needed := s.Decide(at(ms + 70)); needed {
			t.Fatalf("at %d ms: primary replaced although entries reach it: %s", ms, reason)
		}
	}
}

// Under load, entries notice a primary that vanishes before control's second probe has timed out.
func TestPrimaryThatFailsForEntriesIsReplacedAfterOneProbe(t *testing.T) {
	s := newTracker()
	s.Decide(at(0))
	s.HandleEntryReport(at(0), "a", 10*time.Millisecond, 0, 0)
	s.HandleProbe("a", at(50), at(400), succession.ProbeNoAnswer)
	s.HandleEntryReport(at(410), "a", 390*time.Millisecond, 300*time.Millisecond, 10*time.Millisecond)
	if reason, needed := s.Decide(at(420)); !needed || reason != succession.ReasonSilent {
		t.Errorf("a primary that fails for control and entries is kept: reason %q", reason)
	}
}

// One entry that lost its way to the primary does not replace it while others reach it, nor after one lost probe without reports.
func TestFailureOfOneEntryKeepsThePrimary(t *testing.T) {
	s := newTracker()
	s.Decide(at(0))
	s.HandleProbe("a", at(50), at(400), succession.ProbeNoAnswer)
	s.HandleEntryReport(at(410), "a", 390*time.Millisecond, 300*time.Millisecond, 10*time.Millisecond)
	s.HandleEntryReport(at(410), "a", 5*time.Millisecond, 0, 10*time.Millisecond)
	if _, needed := s.Decide(at(420)); needed {
		t.Error("a primary that another entry reaches was replaced")
	}
	s = newTracker()
	s.Decide(at(0))
	s.HandleEntryReport(at(0), "a", 390*time.Millisecond, 300*time.Millisecond, 0)
	if _, needed := s.Decide(at(500)); needed {
		t.Error("a primary that answers control was replaced")
	}
	s.HandleProbe("a", at(1000), at(1400), succession.ProbeNoAnswer)
	if _, needed := s.Decide(at(1410)); needed {
		t.Error("a primary was replaced on an old report")
	}
}

func TestOutdatedAndFailingReportsAreIgnored(t *testing.T) {
	s := newTracker()
	s.Decide(at(0))
	s.HandleProbe("a", at(0), at(10), succession.ProbeNoAnswer)
	s.HandleProbe("a", at(100), at(110), succession.ProbeNoAnswer)
	s.HandleEntryReport(at(120), "a", 20*time.Millisecond, 10*time.Millisecond, 0)
	s.HandleEntryReport(at(120), "a", 20*time.Millisecond, 0, 2*time.Second)
	if _, needed := s.Decide(at(130)); !needed {
		t.Fatal("outdated and failing reports kept a silent primary")
	}
}

func TestLeavingPrimaryIsReplacedIfThereIsASuccessor(t *testing.T) {
	s := newTracker()
	s.Members[0].Leaving = true
	if reason, needed := s.Decide(at(0)); !needed || reason != succession.ReasonLeaving {
		t.Fatalf("leaving primary not replaced: reason %q", reason)
	}
	s.Members = s.Members[:1]
	if _, needed := s.Decide(at(10)); needed {
		t.Fatal("leaving primary replaced without a successor")
	}
}

func TestNewPrimaryIsKeptDuringPromotionGrace(t *testing.T) {
	s := newTracker()
	s.Decide(at(0))
	s.Members[0].Primary = false
	s.MarkPromoted("b", at(100))
	if got := s.Primary(); got != "b" {
		t.Fatalf("primary is %q, want b", got)
	}
	s.HandleProbe("b", at(110), at(120), succession.ProbeNoAnswer)
	s.HandleProbe("b", at(130), at(140), succession.ProbeNoAnswer)
	if _, needed := s.Decide(at(200)); needed {
		t.Fatal("primary replaced right after its promotion")
	}
}

func TestGroupWithoutAPrimaryWaitsForAnnouncements(t *testing.T) {
	s := newTracker()
	s.Members[0].Primary = false
	if _, needed := s.Decide(at(0)); needed {
		t.Fatal("primary promoted before the members had time to announce themselves")
	}
	if _, needed := s.Decide(at(2500)); needed {
		t.Fatal("primary promoted before two announcement intervals have passed")
	}
	if reason, needed := s.Decide(at(2700)); !needed || reason != succession.ReasonMissing {
		t.Fatalf("group without a primary gets none: reason %q", reason)
	}
}
