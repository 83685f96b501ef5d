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

// machineDriver drives one machine and collects its effects.
type machineDriver struct {
	*failover.Machine
	now     time.Time
	effects []failover.Effect
}

func newDriver(journalled group.Configuration, names ...group.Server) *machineDriver {
	members := make([]failover.Member, 0, len(names))
	for _, name := range names {
		members = append(members, failover.Member{Server: name})
	}
	return newDriverWith(failover.DefaultConfig(), journalled, members)
}

func newDriverWith(cfg failover.Config, journalled group.Configuration, members []failover.Member) *machineDriver {
	s := &machineDriver{Machine: failover.New(cfg, group.ID{}, members, journalled), now: start}
	s.effects = s.Start(s.now)
	return s
}

func (s *machineDriver) send(events ...failover.Event) {
	for _, event := range events {
		s.effects = append(s.effects, s.Step(s.now, event)...)
	}
}

// advance moves time forward by d and sends a tick and the given events every 100 ms.
func (s *machineDriver) advance(d time.Duration, events ...failover.Event) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(100 * time.Millisecond)
		s.send(append([]failover.Event{failover.Tick{}}, events...)...)
	}
}

// takeEffects returns the effects of one type since the last call and discards all others.
func takeEffects[E failover.Effect](s *machineDriver) []E {
	var found []E
	for _, effect := range s.effects {
		if e, ok := effect.(E); ok {
			found = append(found, e)
		}
	}
	s.effects = nil
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

// newServingGroup returns a driver of a group of three members whose primary in the term is a.
func newServingGroup(term group.Term, received group.Position) *machineDriver {
	s := newDriver(group.Configuration{Term: term, Primary: "a"}, "a", "b", "c")
	s.send(
		announced("a", status(group.RolePrimary, term, term, received)),
		announced("b", status(group.RoleReplica, term, term, received)),
		announced("c", status(group.RoleReplica, term, term, received)),
	)
	return s
}

func TestHealthyGroupProducesNoEffects(t *testing.T) {
	s := newServingGroup(4, 10)
	s.effects = nil
	if !s.NextTick().IsZero() {
		t.Error("machine of a healthy group requests ticks")
	}
	s.advance(time.Minute, announced("a", status(group.RolePrimary, 4, 4, 10)),
		announced("b", status(group.RoleReplica, 4, 4, 10)), announced("c", status(group.RoleReplica, 4, 4, 10)))
	if len(s.effects) != 0 {
		t.Errorf("got %v", s.effects)
	}
}

func TestJournalComesBeforePromotionAndPublication(t *testing.T) {
	s := newServingGroup(4, 10)
	s.effects = nil
	s.send(failover.ServerFailed{Server: "a"})
	if diff := cmp.Diff([]failover.Journal{{Expect: 4, Next: group.Configuration{Term: 5}}}, takeEffects[failover.Journal](s)); diff != "" {
		t.Fatal(diff)
	}
	s.send(journalled(5, ""))
	want := []failover.Fence{{Server: "b", Term: 5}, {Server: "c", Term: 5}}
	if diff := cmp.Diff(want, takeEffects[failover.Fence](s)); diff != "" {
		t.Fatal(diff)
	}
	s.send(fenced("b", 5, status(group.RoleReplica, 4, 5, 9)))
	if len(takeEffects[failover.Journal](s)) != 0 {
		t.Fatal("primary selected by a minority")
	}
	s.send(fenced("c", 5, status(group.RoleReplica, 4, 5, 10)))
	if diff := cmp.Diff([]failover.Journal{{Expect: 5, Next: group.Configuration{Term: 5, Primary: "c"}}}, takeEffects[failover.Journal](s)); diff != "" {
		t.Fatal(diff)
	}
	s.send(journalled(5, "c"))
	if diff := cmp.Diff([]failover.Effect{failover.Promote{Server: "c", Term: 5, Position: 10}}, s.effects); diff != "" {
		t.Fatal(diff)
	}
	s.effects = nil
	s.send(failover.PromoteResult{Server: "c", Term: 5, Outcome: failover.OutcomeDone, Status: status(group.RolePrimary, 5, 5, 10)})
	effects := []failover.Effect{
		failover.Note{Kind: failover.NotePrimaryPromoted, Server: "c", Term: 5, Detail: status(group.RolePrimary, 5, 5, 10).String()},
		failover.Publish{Configuration: group.Configuration{Term: 5, Primary: "c"}},
		failover.Follow{Server: "b", Term: 5, Address: "address of c"},
	}
	if diff := cmp.Diff(effects, s.effects); diff != "" {
		t.Error(diff)
	}
	s.effects = nil
	s.send(announced("a", status(group.RolePrimary, 4, 4, 12)))
	redirected := []failover.Effect{failover.Fence{Server: "a", Term: 5}, failover.Follow{Server: "a", Term: 5, Address: "address of c"}}
	if diff := cmp.Diff(redirected, s.effects); diff != "" {
		t.Error(diff)
	}
}

func TestNewLeaderResumesFromJournal(t *testing.T) {
	fencing := newDriver(group.Configuration{Term: 7}, "a", "b", "c")
	fencing.send(announced("a", status(group.RoleReplica, 6, 7, 1)), announced("b", status(group.RoleReplica, 6, 6, 1)))
	for _, fence := range takeEffects[failover.Fence](fencing) {
		if fence.Term != 7 {
			t.Errorf("got %+v", fence)
		}
	}
	promoting := newDriver(group.Configuration{Term: 7, Primary: "b"}, "a", "b", "c")
	promoting.send(announced("b", status(group.RoleReplica, 6, 7, 5)))
	if diff := cmp.Diff([]failover.Promote{{Server: "b", Term: 7}}, takeEffects[failover.Promote](promoting)); diff != "" {
		t.Error(diff)
	}
	refused := failover.PromoteResult{Server: "b", Term: 7, Outcome: failover.OutcomeRefused, Status: status(group.RoleReplica, 6, 9, 5)}
	promoting.send(announced("a", status(group.RoleReplica, 6, 7, 5)), refused)
	if diff := cmp.Diff([]failover.Journal{{Expect: 7, Next: group.Configuration{Term: 10}}}, takeEffects[failover.Journal](promoting)); diff != "" {
		t.Error(diff)
	}
}

func TestNoTermStartsWithoutMajority(t *testing.T) {
	s := newServingGroup(4, 10)
	s.send(failover.ServerFailed{Server: "b"}, failover.ServerFailed{Server: "a"})
	s.effects = nil
	s.advance(20 * time.Second)
	if len(takeEffects[failover.Journal](s)) != 0 {
		t.Error("term started without a reachable majority")
	}
	s.send(failover.Tick{}, announced("b", status(group.RoleReplica, 4, 4, 10)), announced("c", status(group.RoleReplica, 4, 4, 10)))
	if len(takeEffects[failover.Journal](s)) != 1 {
		t.Error("no term started although a majority is reachable again")
	}
}

func TestIsolatedPrimaryIsReplaced(t *testing.T) {
	primary := announced("a", status(group.RolePrimary, 4, 4, 20))
	announcements := func(s *machineDriver, receiving bool) []failover.Event {
		b, c := status(group.RoleReplica, 4, 4, 10), status(group.RoleReplica, 4, 4, 10)
		b.Lag, c.Lag = s.now.Sub(start), s.now.Sub(start)
		if receiving {
			b.Received = group.Position(10 + s.now.Sub(start)/time.Second)
		}
		return []failover.Event{primary, announced("b", b), announced("c", c)}
	}
	for _, receiving := range []bool{true, false} {
		s := newServingGroup(4, 10)
		s.effects = nil
		for s.now.Sub(start) < 8*time.Second {
			s.advance(500*time.Millisecond, announcements(s, receiving)...)
		}
		if replaced := len(takeEffects[failover.Journal](s)) > 0; replaced == receiving {
			t.Errorf("a replica still receives records: %t, primary replaced: %t", receiving, replaced)
		}
	}
}

func TestMemberWithoutLogDoesNotCountTowardsMajority(t *testing.T) {
	s := newDriver(group.Configuration{Term: 7}, "a", "b", "c")
	s.send(announced("b", status(group.RoleReplica, 0, 0, 0)), announced("c", status(group.RoleReplica, 6, 6, 3)))
	s.send(fenced("b", 7, status(group.RoleReplica, 0, 7, 0)), fenced("c", 7, status(group.RoleReplica, 6, 7, 3)))
	s.advance(10 * time.Second)
	if len(takeEffects[failover.Journal](s)) != 0 {
		t.Error("member without a log counted towards the majority")
	}
	s.send(fenced("a", 7, status(group.RolePrimary, 6, 7, 5)))
	if diff := cmp.Diff([]failover.Journal{{Expect: 7, Next: group.Configuration{Term: 7, Primary: "a"}}}, takeEffects[failover.Journal](s)); diff != "" {
		t.Error(diff)
	}
}

func TestBackoffBoundsFlapping(t *testing.T) {
	s := newServingGroup(1, 0)
	term, started := group.Term(1), 0
	var longest, last time.Duration
	for s.now.Sub(start) < 10*time.Minute {
		primary := s.Configuration().Primary
		s.advance(100*time.Millisecond, announced("a", status(group.RoleReplica, term, term, 0)),
			announced("b", status(group.RoleReplica, term, term, 0)), announced("c", status(group.RoleReplica, term, term, 0)))
		if primary != "" {
			s.send(failover.ServerFailed{Server: primary})
		}
		for _, journal := range takeEffects[failover.Journal](s) {
			if journal.Next.Primary == "" && journal.Next.Term > term {
				started++
				longest = max(longest, s.now.Sub(start)-last)
				last = s.now.Sub(start)
				term = journal.Next.Term
			}
			s.send(journalled(journal.Next.Term, journal.Next.Primary))
			for _, name := range []group.Server{"a", "b", "c"} {
				s.send(fenced(name, term, status(group.RoleReplica, term-1, term, 0)))
			}
		}
	}
	if started < 30 || started > 120 || longest > 12*time.Second {
		t.Errorf("%d terms started in ten minutes, up to %s apart", started, longest)
	}
}

func TestSelectionAvoidsCorrelatedFailures(t *testing.T) {
	cfg := failover.DefaultConfig()
	cfg.FailureCorrelation = func(a, b group.Server) float64 {
		if (a == "a" && b == "b") || (a == "b" && b == "a") {
			return 0.8
		}
		return 0
	}
	s := newDriverWith(cfg, group.Configuration{Term: 4, Primary: "a"}, []failover.Member{{Server: "a"}, {Server: "b"}, {Server: "c"}})
	s.send(announced("b", status(group.RoleReplica, 4, 4, 10)), announced("c", status(group.RoleReplica, 4, 4, 10)))
	s.send(failover.ServerFailed{Server: "a"}, journalled(5, ""))
	s.send(fenced("b", 5, status(group.RoleReplica, 4, 5, 10)), fenced("c", 5, status(group.RoleReplica, 4, 5, 10)))
	journals := takeEffects[failover.Journal](s)
	if last := journals[len(journals)-1]; last.Next.Primary != "c" {
		t.Errorf("got %+v", last)
	}
}

func TestHandoverDrainsBeforeFencing(t *testing.T) {
	s := newServingGroup(4, 100)
	leaving := announced("a", status(group.RolePrimary, 4, 4, 120))
	leaving.Leaving = true
	s.effects = nil
	s.send(leaving)
	waits := takeEffects[failover.Wait](s)
	if len(waits) != 1 || waits[0].Position != 120 || waits[0].Server == "a" {
		t.Fatalf("got %+v", waits)
	}
	target := waits[0].Server
	s.send(failover.WaitResult{Server: target, Term: 4, Outcome: failover.OutcomeDone, Status: status(group.RoleReplica, 4, 4, 121)})
	if len(takeEffects[failover.Journal](s)) != 1 {
		t.Fatal("no term started after the target caught up")
	}
	s.send(journalled(5, ""))
	if len(takeEffects[failover.Fence](s)) != 0 {
		t.Fatal("members fenced before running transactions have ended")
	}
	s.send(failover.Drained{Term: 5})
	s.send(failover.WaitResult{Server: "a", Term: 5, Outcome: failover.OutcomeDone, Status: status(group.RolePrimary, 4, 4, 130)})
	if diff := cmp.Diff([]failover.Fence(nil), takeEffects[failover.Fence](s)); diff != "" {
		t.Fatal(diff)
	}
	s.send(failover.WaitResult{Server: target, Term: 5, Outcome: failover.OutcomeDone, Status: status(group.RoleReplica, 4, 4, 130)})
	if len(takeEffects[failover.Fence](s)) != 3 {
		t.Fatal("members not fenced after the target received the final position")
	}
	for _, name := range []group.Server{"a", "b", "c"} {
		s.send(fenced(name, 5, status(group.RoleReplica, 4, 5, 130)))
	}
	if diff := cmp.Diff([]failover.Journal{{Expect: 5, Next: group.Configuration{Term: 5, Primary: target}}}, takeEffects[failover.Journal](s)); diff != "" {
		t.Error(diff)
	}
}

func TestHandoverContinuesAfterDrainTimeout(t *testing.T) {
	s := newServingGroup(4, 100)
	leaving := announced("a", status(group.RolePrimary, 4, 4, 100))
	leaving.Leaving = true
	s.send(leaving, journalled(5, ""))
	s.effects = nil
	s.advance(2 * failover.DefaultConfig().DrainTimeout)
	s.advance(2 * failover.DefaultConfig().CatchUpTimeout)
	if len(takeEffects[failover.Fence](s)) == 0 {
		t.Error("handover blocked by a transaction that does not end")
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
			lastAnnounced := now
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
					lastAnnounced = now
				}
				result := d.Tick(now, func(group.ServerID) time.Time { return lastAnnounced })
				for _, probed := range result.ToProbe {
					d.HandleProbe(now, probed, test.probe)
				}
				dead = dead || len(result.Failed) > 0
			}
			if dead != test.dead {
				t.Errorf("dead: %t, want %t", dead, test.dead)
			}
		})
	}
}
