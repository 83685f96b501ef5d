package failover_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lentilwind.dev/lentilwind/failover"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

var start = time.Unix(5000, 0)

// script drives one machine and collects its effects.
type script struct {
	*failover.Machine
	now time.Time
	out []failover.Effect
}

func newScript(journalled group.Configuration, names ...group.Server) *script {
	members := make([]failover.Member, 0, len(names))
	for _, name := range names {
		members = append(members, failover.Member{Server: name})
	}
	return newScriptOf(failover.DefaultConfig(), journalled, members)
}

func newScriptOf(cfg failover.Config, journalled group.Configuration, members []failover.Member) *script {
	s := &script{Machine: failover.New(cfg, group.ID{}, members, journalled), now: start}
	s.out = s.Start(s.now)
	return s
}

func (s *script) do(events ...failover.Event) {
	for _, event := range events {
		s.out = append(s.out, s.Step(s.now, event)...)
	}
}

// pass lets time pass while the given events come again every 100 ms.
func (s *script) pass(d time.Duration, events ...failover.Event) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(100 * time.Millisecond)
		s.do(append([]failover.Event{failover.Tick{}}, events...)...)
	}
}

// take returns the effects of one type since the last call and forgets all others.
func take[E failover.Effect](s *script) []E {
	var found []E
	for _, effect := range s.out {
		if e, ok := effect.(E); ok {
			found = append(found, e)
		}
	}
	s.out = nil
	return found
}

func status(role group.Role, term, fenced group.Term, received group.Position) group.Status {
	return group.Status{Role: role, Term: term, FencedTerm: fenced, Received: received}
}

func announced(name group.Server, s group.Status) failover.Announced {
	return failover.Announced{Server: name, Address: "address of " + string(name), Incarnation: 1, Status: s}
}

func fenced(name group.Server, term group.Term, s group.Status) failover.FenceResult {
	return failover.FenceResult{Server: name, Term: term, Outcome: failover.OutcomeDone, Status: s}
}

func journalled(term group.Term, primary group.Server) failover.JournalResult {
	return failover.JournalResult{Outcome: failover.OutcomeDone, Current: group.Configuration{Term: term, Primary: primary}}
}

// serving returns a machine whose group is served by a in a term.
func serving(term group.Term, received group.Position) *script {
	s := newScript(group.Configuration{Term: term, Primary: "a"}, "a", "b", "c")
	s.do(
		announced("a", status(group.RolePrimary, term, term, received)),
		announced("b", status(group.RoleReplica, term, term, received)),
		announced("c", status(group.RoleReplica, term, term, received)),
	)
	return s
}

func TestHealthyGroupCausesNothing(t *testing.T) {
	s := serving(4, 10)
	s.out = nil
	if !s.NextTick().IsZero() {
		t.Error("a calm machine asks for ticks")
	}
	s.pass(time.Minute, announced("a", status(group.RolePrimary, 4, 4, 10)),
		announced("b", status(group.RoleReplica, 4, 4, 10)), announced("c", status(group.RoleReplica, 4, 4, 10)))
	if len(s.out) != 0 {
		t.Errorf("got %v", s.out)
	}
}

func TestJournalComesBeforePromotionAndPublication(t *testing.T) {
	s := serving(4, 10)
	s.out = nil
	s.do(failover.ServerFailed{Server: "a"})
	if diff := cmp.Diff([]failover.Journal{{Expect: 4, Next: group.Configuration{Term: 5}}}, take[failover.Journal](s)); diff != "" {
		t.Fatal(diff)
	}
	s.do(journalled(5, ""))
	want := []failover.Fence{{Server: "b", Term: 5}, {Server: "c", Term: 5}}
	if diff := cmp.Diff(want, take[failover.Fence](s)); diff != "" {
		t.Fatal(diff)
	}
	s.do(fenced("b", 5, status(group.RoleReplica, 4, 5, 9)))
	if len(take[failover.Journal](s)) != 0 {
		t.Fatal("a minority decided")
	}
	s.do(fenced("c", 5, status(group.RoleReplica, 4, 5, 10)))
	if diff := cmp.Diff([]failover.Journal{{Expect: 5, Next: group.Configuration{Term: 5, Primary: "c"}}}, take[failover.Journal](s)); diff != "" {
		t.Fatal(diff)
	}
	s.do(journalled(5, "c"))
	if diff := cmp.Diff([]failover.Effect{failover.Promote{Server: "c", Term: 5, Position: 10}}, s.out); diff != "" {
		t.Fatal(diff)
	}
	s.out = nil
	s.do(failover.PromoteResult{Server: "c", Term: 5, Outcome: failover.OutcomeDone, Status: status(group.RolePrimary, 5, 5, 10)})
	effects := []failover.Effect{
		failover.Note{Kind: failover.NotePrimaryPromoted, Server: "c", Term: 5, Detail: status(group.RolePrimary, 5, 5, 10).String()},
		failover.Publish{Configuration: group.Configuration{Term: 5, Primary: "c"}},
		failover.Follow{Server: "b", Term: 5, Address: "address of c"},
	}
	if diff := cmp.Diff(effects, s.out); diff != "" {
		t.Error(diff)
	}
	s.out = nil
	s.do(announced("a", status(group.RolePrimary, 4, 4, 12)))
	late := []failover.Effect{failover.Fence{Server: "a", Term: 5}, failover.Follow{Server: "a", Term: 5, Address: "address of c"}}
	if diff := cmp.Diff(late, s.out); diff != "" {
		t.Error(diff)
	}
}

func TestResumedLeaderGoesOnFromTheJournal(t *testing.T) {
	between := newScript(group.Configuration{Term: 7}, "a", "b", "c")
	between.do(announced("a", status(group.RoleReplica, 6, 7, 1)), announced("b", status(group.RoleReplica, 6, 6, 1)))
	for _, fence := range take[failover.Fence](between) {
		if fence.Term != 7 {
			t.Errorf("got %+v", fence)
		}
	}
	chosen := newScript(group.Configuration{Term: 7, Primary: "b"}, "a", "b", "c")
	chosen.do(announced("b", status(group.RoleReplica, 6, 7, 5)))
	if diff := cmp.Diff([]failover.Promote{{Server: "b", Term: 7}}, take[failover.Promote](chosen)); diff != "" {
		t.Error(diff)
	}
	refused := failover.PromoteResult{Server: "b", Term: 7, Outcome: failover.OutcomeRefused, Status: status(group.RoleReplica, 6, 9, 5)}
	chosen.do(announced("a", status(group.RoleReplica, 6, 7, 5)), refused)
	if diff := cmp.Diff([]failover.Journal{{Expect: 7, Next: group.Configuration{Term: 10}}}, take[failover.Journal](chosen)); diff != "" {
		t.Error(diff)
	}
}

func TestNoMajorityNoTerm(t *testing.T) {
	s := serving(4, 10)
	s.do(failover.ServerFailed{Server: "b"}, failover.ServerFailed{Server: "a"})
	s.out = nil
	s.pass(20 * time.Second)
	if len(take[failover.Journal](s)) != 0 {
		t.Error("a term was begun that nobody could win")
	}
	s.do(failover.Tick{}, announced("b", status(group.RoleReplica, 4, 4, 10)), announced("c", status(group.RoleReplica, 4, 4, 10)))
	if len(take[failover.Journal](s)) != 1 {
		t.Error("no term although a majority is back")
	}
}

func TestPrimaryThatReachesNoMajorityIsReplaced(t *testing.T) {
	primary := announced("a", status(group.RolePrimary, 4, 4, 20))
	silentFor := func(s *script, slowOnly bool) []failover.Event {
		b, c := status(group.RoleReplica, 4, 4, 10), status(group.RoleReplica, 4, 4, 10)
		b.Lag, c.Lag = s.now.Sub(start), s.now.Sub(start)
		if slowOnly {
			b.Received = group.Position(10 + s.now.Sub(start)/time.Second)
		}
		return []failover.Event{primary, announced("b", b), announced("c", c)}
	}
	for _, slowOnly := range []bool{true, false} {
		s := serving(4, 10)
		s.out = nil
		for s.now.Sub(start) < 8*time.Second {
			s.pass(500*time.Millisecond, silentFor(s, slowOnly)...)
		}
		if replaced := len(take[failover.Journal](s)) > 0; replaced == slowOnly {
			t.Errorf("replicas only slow: %t, replaced: %t", slowOnly, replaced)
		}
	}
}

func TestMemberThatLostItsLogDoesNotDecide(t *testing.T) {
	s := newScript(group.Configuration{Term: 7}, "a", "b", "c")
	s.do(announced("b", status(group.RoleReplica, 0, 0, 0)), announced("c", status(group.RoleReplica, 6, 6, 3)))
	s.do(fenced("b", 7, status(group.RoleReplica, 0, 7, 0)), fenced("c", 7, status(group.RoleReplica, 6, 7, 3)))
	s.pass(10 * time.Second)
	if len(take[failover.Journal](s)) != 0 {
		t.Error("an empty member helped to decide")
	}
	s.do(fenced("a", 7, status(group.RolePrimary, 6, 7, 5)))
	if diff := cmp.Diff([]failover.Journal{{Expect: 7, Next: group.Configuration{Term: 7, Primary: "a"}}}, take[failover.Journal](s)); diff != "" {
		t.Error(diff)
	}
}

func TestFlappingIsBounded(t *testing.T) {
	s := serving(1, 0)
	term, begun := group.Term(1), 0
	var longest, last time.Duration
	for s.now.Sub(start) < 10*time.Minute {
		primary := s.Configuration().Primary
		s.pass(100*time.Millisecond, announced("a", status(group.RoleReplica, term, term, 0)),
			announced("b", status(group.RoleReplica, term, term, 0)), announced("c", status(group.RoleReplica, term, term, 0)))
		if primary != "" {
			s.do(failover.ServerFailed{Server: primary})
		}
		for _, journal := range take[failover.Journal](s) {
			if journal.Next.Primary == "" && journal.Next.Term > term {
				begun++
				longest = max(longest, s.now.Sub(start)-last)
				last = s.now.Sub(start)
				term = journal.Next.Term
			}
			s.do(journalled(journal.Next.Term, journal.Next.Primary))
			for _, name := range []group.Server{"a", "b", "c"} {
				s.do(fenced(name, term, status(group.RoleReplica, term-1, term, 0)))
			}
		}
	}
	if begun < 30 || begun > 120 || longest > 12*time.Second {
		t.Errorf("%d terms in ten minutes, up to %s apart", begun, longest)
	}
}

func TestChoiceAmongEqualsAvoidsCommonFailure(t *testing.T) {
	cfg := failover.DefaultConfig()
	cfg.FailureCorrelation = func(a, b group.Server) float64 {
		if (a == "a" && b == "b") || (a == "b" && b == "a") {
			return 0.8
		}
		return 0
	}
	s := newScriptOf(cfg, group.Configuration{Term: 4, Primary: "a"}, []failover.Member{{Server: "a"}, {Server: "b"}, {Server: "c"}})
	s.do(announced("b", status(group.RoleReplica, 4, 4, 10)), announced("c", status(group.RoleReplica, 4, 4, 10)))
	s.do(failover.ServerFailed{Server: "a"}, journalled(5, ""))
	s.do(fenced("b", 5, status(group.RoleReplica, 4, 5, 10)), fenced("c", 5, status(group.RoleReplica, 4, 5, 10)))
	journals := take[failover.Journal](s)
	if last := journals[len(journals)-1]; last.Next.Primary != "c" {
		t.Errorf("got %+v", last)
	}
}

func TestHandoverDrainsBeforeItFences(t *testing.T) {
	s := serving(4, 100)
	leaving := announced("a", status(group.RolePrimary, 4, 4, 120))
	leaving.Leaving = true
	s.out = nil
	s.do(leaving)
	waits := take[failover.Wait](s)
	if len(waits) != 1 || waits[0].Position != 120 || waits[0].Server == "a" {
		t.Fatalf("got %+v", waits)
	}
	target := waits[0].Server
	s.do(failover.WaitResult{Server: target, Term: 4, Outcome: failover.OutcomeDone, Status: status(group.RoleReplica, 4, 4, 121)})
	if len(take[failover.Journal](s)) != 1 {
		t.Fatal("the term was not begun")
	}
	s.do(journalled(5, ""))
	if len(take[failover.Fence](s)) != 0 {
		t.Fatal("fenced before the running transactions have ended")
	}
	s.do(failover.Drained{Term: 5})
	s.do(failover.WaitResult{Server: "a", Term: 5, Outcome: failover.OutcomeDone, Status: status(group.RolePrimary, 4, 4, 130)})
	if diff := cmp.Diff([]failover.Fence(nil), take[failover.Fence](s)); diff != "" {
		t.Fatal(diff)
	}
	s.do(failover.WaitResult{Server: target, Term: 5, Outcome: failover.OutcomeDone, Status: status(group.RoleReplica, 4, 4, 130)})
	if len(take[failover.Fence](s)) != 3 {
		t.Fatal("not fenced")
	}
	for _, name := range []group.Server{"a", "b", "c"} {
		s.do(fenced(name, 5, status(group.RoleReplica, 4, 5, 130)))
	}
	if diff := cmp.Diff([]failover.Journal{{Expect: 5, Next: group.Configuration{Term: 5, Primary: target}}}, take[failover.Journal](s)); diff != "" {
		t.Error(diff)
	}
}

func TestHandoverEndsWhenTransactionsDoNot(t *testing.T) {
	s := serving(4, 100)
	leaving := announced("a", status(group.RolePrimary, 4, 4, 100))
	leaving.Leaving = true
	s.do(leaving, journalled(5, ""))
	s.out = nil
	s.pass(2 * failover.DefaultConfig().DrainTimeout)
	s.pass(2 * failover.DefaultConfig().CatchUpTimeout)
	if len(take[failover.Fence](s)) == 0 {
		t.Error("a transaction that does not end holds the handover up for ever")
	}
}

func TestDetector(t *testing.T) {
	id := group.ServerID{Service: "s", Server: "a"}
	cfg := failover.DefaultDetectorConfig()
	type step struct {
		suspecting []inventory.DataCentre
		probe      failover.ProbeOutcome
		announces  bool
	}
	all := []inventory.DataCentre{"dc1", "dc2", "dc3", "dc4"}
	tests := map[string]struct {
		step
		within time.Duration
		dead   bool
	}{
		"refused by a dead process":            {step{all, failover.ProbeRefused, false}, time.Second, true},
		"silent":                               {step{all, failover.ProbeSilent, false}, 2 * time.Second, true},
		"only two of four data centres":        {step{all[:2], failover.ProbeRefused, false}, time.Minute, false},
		"answers control":                      {step{all, failover.ProbeAnswered, false}, time.Minute, false},
		"silent to probes but announces":       {step{all, failover.ProbeSilent, true}, 4 * time.Second, false},
		"stuck for long":                       {step{all, failover.ProbeSilent, true}, 10 * time.Second, true},
		"one data centre cut off suspects all": {step{all[:1], failover.ProbeSilent, false}, time.Minute, false},
		"three of four data centres":           {step{all[1:], failover.ProbeSilent, false}, 2 * time.Second, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := start
			d := failover.NewDetector(cfg, now)
			heard := now
			dead := false
			for now.Sub(start) < test.within {
				now = now.Add(50 * time.Millisecond)
				for _, dc := range all {
					report := protocol.EntryReport{Name: inventory.InstanceName(dc), DataCentre: dc}
					if slices.Contains(test.suspecting, dc) {
						report.Suspects = []protocol.Suspicion{{Service: id.Service, Server: id.Server}}
					}
					d.HandleReport(now, report)
				}
				if test.announces {
					heard = now
				}
				verdict := d.Tick(now, func(group.ServerID) time.Time { return heard })
				for _, probed := range verdict.ToProbe {
					d.HandleProbe(now, probed, test.probe)
				}
				dead = dead || len(verdict.Failed) > 0
			}
			if dead != test.dead {
				t.Errorf("dead: %t, want %t", dead, test.dead)
			}
		})
	}
}
