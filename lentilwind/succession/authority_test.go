package succession_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/succession"
)

const service group.Service = "stock"

func table(version fleet.Epoch, server group.Server) fleet.Designations {
	return fleet.Designations{Version: version, List: []fleet.Designation{{Service: service, Server: server, Epoch: version}}}
}

func TestOnlyTheDesignatedServerIsUsedWhileTheLeaseLasts(t *testing.T) {
	a := succession.NewAuthority()
	a.Apply(table(1, "a"), at(0))
	if got := a.Primary(service, at(0)); got != "" {
		t.Fatalf("%q may be used without a lease", got)
	}
	a.Extend(at(100))
	if got := a.Primary(service, at(99)); got != "a" {
		t.Fatalf("primary is %q", got)
	}
	if _, ok := a.BeginWrite(service, "b", at(50)); ok {
		t.Error("a write began at a server that is not designated")
	}
	if _, ok := a.BeginWrite(service, "a", at(100)); ok {
		t.Error("a write began after the lease")
	}
	w, _ := a.BeginWrite(service, "a", at(90))
	if a.EndWrite(w, at(100)) {
		t.Error("a write was acknowledged after the lease")
	}
}

func TestWritesInFlightEndWithARevokedPrimary(t *testing.T) {
	a := succession.NewAuthority()
	a.Apply(table(1, "a"), at(0))
	a.Extend(at(1000))
	w, _ := a.BeginWrite(service, "a", at(10))
	next := table(2, "a")
	next.List[0].Suspended = true
	if pending := a.Apply(next, at(20)); len(pending) != 0 {
		t.Error("writes to a primary that was not stopped in order are awaited")
	}
	if a.Primary(service, at(21)) != "" {
		t.Error("a suspended primary may be used")
	}
	if a.EndWrite(w, at(30)) {
		t.Error("a write was acknowledged after its primary was revoked")
	}
}

func TestWritesInFlightToAStoppedPrimaryAreAwaited(t *testing.T) {
	for _, c := range []struct {
		name        string
		confirm     bool
		endAt       int
		wantAllowed bool
	}{{"before the confirmation", false, 30, true}, {"after the confirmation", true, 30, false}, {"after the lease", false, 1000, false}} {
		a := succession.NewAuthority()
		a.Apply(table(1, "a"), at(0))
		a.Extend(at(1000))
		w, _ := a.BeginWrite(service, "a", at(10))
		next := table(2, "b")
		next.List[0].Drain = true
		pending := a.Apply(next, at(20))
		if len(pending) != 1 {
			t.Fatalf("%s: %d writes are awaited, want 1", c.name, len(pending))
		}
		if c.confirm {
			a.Confirm()
		}
		if got := a.EndWrite(w, at(c.endAt)); got != c.wantAllowed {
			t.Errorf("%s: acknowledged is %v", c.name, got)
		}
		select {
		case <-pending[0]:
		default:
			t.Errorf("%s: the end of the write was not signalled", c.name)
		}
	}
}

func TestRepeatedDesignationKeepsWritesInFlight(t *testing.T) {
	a := succession.NewAuthority()
	a.Apply(table(1, "a"), at(0))
	a.Extend(at(1000))
	w, _ := a.BeginWrite(service, "a", at(10))
	a.Apply(table(2, "a"), at(20))
	a.Confirm()
	if !a.EndWrite(w, at(30)) {
		t.Error("a write to a primary that was designated again is not acknowledged")
	}
}

func TestOlderTablesAreIgnored(t *testing.T) {
	a := succession.NewAuthority()
	a.Apply(table(5, "b"), at(0))
	a.Apply(table(4, "a"), at(1))
	a.Extend(at(1000))
	if got := a.Primary(service, at(2)); got != "b" {
		t.Errorf("a late table designated %q", got)
	}
}

func TestFenceWaitsForSilentHolders(t *testing.T) {
	f := succession.Fence{Epoch: 7, Lease: time.Second, LeaderSince: at(0)}
	if got := f.ClearAt([]succession.LeaseHolder{{LastContact: at(50), Confirmed: 7}}); !got.IsZero() {
		t.Errorf("a confirmed fence is clear at %v", got)
	}
	holders := []succession.LeaseHolder{{LastContact: at(50), Confirmed: 7}, {LastContact: at(400), Confirmed: 6}}
	if got, want := f.ClearAt(holders), at(1400).Add(succession.LeaseDriftMargin); !got.Equal(want) {
		t.Errorf("the fence is clear at %v, want %v", got, want)
	}
	// An entry that this leader has not heard of may hold a lease of an earlier leader.
	if got, want := f.ClearAt([]succession.LeaseHolder{{}}), at(1000).Add(succession.LeaseDriftMargin); !got.Equal(want) {
		t.Errorf("the fence is clear at %v, want %v", got, want)
	}
}

// plantedFault disables one rule of the simulated fleet.
type plantedFault string

const (
	noFault          plantedFault = ""
	faultNoWait      plantedFault = "the leader does not wait for silent entries"
	faultNewLeader   plantedFault = "a new leader ignores entries that it has not heard of"
	faultAcknowledge plantedFault = "an entry acknowledges a write whatever happened meanwhile"
	faultNoLease     plantedFault = "an entry ignores the end of its lease"
	faultEarly       plantedFault = "an entry confirms a table before it obeys it"
)

const simulatedLease = 300 * time.Millisecond

// simulation is a fleet whose former primaries go on accepting writes. A leader replaces the primary while entries are frozen and cut off.
type simulation struct {
	random  *rand.Rand
	fault   plantedFault
	now     int
	events  events
	table   fleet.Designations
	holders []succession.LeaseHolder
	since   int
	term    int
	entries []*simulatedEntry
	// leads holds the servers that led, each with the time from which it did.
	leads      []leadership
	replacing  bool
	violations []string
	acked      int
}

type leadership struct {
	from   int
	server group.Server
}

type simulatedEntry struct {
	authority   *succession.Authority
	frozenUntil int
	cutUntil    int
}

func (s *simulation) after(ms int, run func()) {
	heap.Push(&s.events, event{s.now + ms, len(s.events), run})
}

// onEntry runs a step of an entry, once the entry is not frozen.
func (s *simulation) onEntry(e *simulatedEntry, ms int, run func()) {
	s.after(ms, func() {
		if s.now < e.frozenUntil {
			s.onEntry(e, e.frozenUntil-s.now, run)
			return
		}
		run()
	})
}

func (s *simulation) delay() int { return 1 + s.random.IntN(8) }

// renew sends one renewal of an entry's lease, and the next one when it is answered or lost.
func (s *simulation) renew(i int) {
	e := s.entries[i]
	sent, version := s.now, e.authority.Version()
	if s.now < e.cutUntil {
		s.onEntry(e, 40, func() { s.renew(i) })
		return
	}
	s.after(s.delay(), func() { s.serveRenewal(i, sent, version, s.now+50) })
}

func (s *simulation) serveRenewal(i, sent int, version fleet.Epoch, until int) {
	e, term := s.entries[i], s.term
	s.holders[i] = succession.LeaseHolder{LastContact: at(s.now), Confirmed: version}
	var hold func()
	hold = func() {
		if s.table.Version == version && s.now < until && s.term == term {
			s.after(5, hold)
			return
		}
		reply, lost := s.table, s.now < e.cutUntil || s.term != term
		reply.List = append([]fleet.Designation(nil), reply.List...)
		if lost {
			s.onEntry(e, 100, func() { s.renew(i) })
			return
		}
		s.onEntry(e, s.delay(), func() { s.applyReply(i, sent, reply) })
	}
	hold()
}

func (s *simulation) applyReply(i, sent int, reply fleet.Designations) {
	e := s.entries[i]
	if s.fault == faultEarly {
		s.holders[i].Confirmed = reply.Version
		s.onEntry(e, 30, func() { s.finishReply(i, sent, reply) })
		return
	}
	s.finishReply(i, sent, reply)
}

func (s *simulation) finishReply(i, sent int, reply fleet.Designations) {
	e := s.entries[i]
	pending := e.authority.Apply(reply, at(s.now))
	finish := func() {
		e.authority.Confirm()
		e.authority.Extend(at(sent).Add(simulatedLease))
		if s.fault == faultNoLease {
			e.authority.Extend(at(1 << 30))
		}
		s.renew(i)
	}
	if len(pending) > 0 {
		s.onEntry(e, s.random.IntN(30), finish)
		return
	}
	finish()
}

// leader returns the server that leads now.
func (s *simulation) leader() group.Server {
	last := group.Server("")
	for _, l := range s.leads {
		if l.from <= s.now {
			last = l.server
		}
	}
	return last
}

// write runs writes of an entry, one after the other, at the server that the entry may use.
func (s *simulation) write(e *simulatedEntry) {
	s.onEntry(e, 1+s.random.IntN(10), func() {
		defer s.write(e)
		server := e.authority.Primary(service, at(s.now))
		w, ok := e.authority.BeginWrite(service, server, at(s.now))
		if !ok {
			return
		}
		s.after(s.delay(), func() {
			leads, ranAt := s.leader() == server, s.now
			s.onEntry(e, s.delay(), func() {
				if !e.authority.EndWrite(w, at(s.now)) && s.fault != faultAcknowledge {
					return
				}
				s.acked++
				if !leads {
					s.violations = append(s.violations, fmt.Sprintf("at %d ms %s acknowledged a write although it had been replaced", ranAt, server))
				}
			})
		})
	})
}

// replace suspends the primary, and orders its successor when the fence is clear.
func (s *simulation) replace(next group.Server) {
	term := s.term
	s.change(fleet.Designation{Service: service, Server: s.leader(), Suspended: true})
	epoch := s.table.Version
	var poll func()
	poll = func() {
		if s.term != term {
			// The next leader starts the replacement again.
			s.replace(next)
			return
		}
		fence := succession.Fence{Epoch: epoch, Lease: simulatedLease, LeaderSince: at(s.since)}
		holders := s.holders
		if s.fault == faultNewLeader {
			holders = nil
			for _, h := range s.holders {
				if !h.LastContact.IsZero() {
					holders = append(holders, h)
				}
			}
		}
		if clearAt := fence.ClearAt(holders); at(s.now).Before(clearAt) && s.fault != faultNoWait {
			s.after(5, poll)
			return
		}
		s.change(fleet.Designation{Service: service, Server: next})
		s.leads = append(s.leads, leadership{s.now, next})
		s.replacing = false
	}
	s.after(5, poll)
}

// replaceWhenIdle starts a replacement when the former one has ended.
func (s *simulation) replaceWhenIdle(next group.Server) {
	if s.replacing {
		s.after(10, func() { s.replaceWhenIdle(next) })
		return
	}
	s.replacing = true
	s.replace(next)
}

func (s *simulation) change(d fleet.Designation) {
	s.table.Version++
	d.Epoch = s.table.Version
	s.table.List = []fleet.Designation{d}
}

func (s *simulation) disturb() {
	s.after(20+s.random.IntN(200), func() {
		defer s.disturb()
		e := s.entries[s.random.IntN(len(s.entries))]
		until := s.now + 20 + s.random.IntN(700)
		switch s.random.IntN(5) {
		case 0, 1:
			e.frozenUntil = until
		case 2, 3:
			e.cutUntil = until
		default:
			s.term, s.since = s.term+1, s.now
			s.holders = make([]succession.LeaseHolder, len(s.entries))
		}
	})
}

func runSimulation(seed uint64, fault plantedFault) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 7)), fault: fault, holders: make([]succession.LeaseHolder, 4), leads: []leadership{{0, "a"}}}
	s.change(fleet.Designation{Service: service, Server: "a"})
	for i := range s.holders {
		e := &simulatedEntry{authority: succession.NewAuthority()}
		s.entries = append(s.entries, e)
		s.renew(i)
		s.write(e)
	}
	s.disturb()
	for i, next := range []group.Server{"b", "c", "a"} {
		s.after(600+1500*i, func() { s.replaceWhenIdle(next) })
	}
	for s.now < 8000 && len(s.events) > 0 && (len(s.leads) < 4 || s.now < s.leads[3].from+500) {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	return s
}

func TestNoWriteIsAcknowledgedByAReplacedPrimary(t *testing.T) {
	acked := 0
	for seed := range uint64(1000) {
		s := runSimulation(seed, noFault)
		if len(s.violations) > 0 {
			t.Fatalf("seed %d: %s", seed, s.violations[0])
		}
		if len(s.leads) < 4 {
			t.Fatalf("seed %d: only %d servers led", seed, len(s.leads))
		}
		acked += s.acked
	}
	if acked < 50000 {
		t.Errorf("only %d writes were acknowledged", acked)
	}
}

func TestPlantedFaultsOfReplacementsAreFound(t *testing.T) {
	for _, fault := range []plantedFault{faultNoWait, faultNewLeader, faultAcknowledge, faultNoLease, faultEarly} {
		found := false
		for seed := uint64(0); seed < 300 && !found; seed++ {
			found = len(runSimulation(seed, fault).violations) > 0
		}
		if !found {
			t.Errorf("not found: %s", fault)
		}
	}
}

type event struct {
	at, order int
	run       func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
