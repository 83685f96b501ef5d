package failover_test

import (
	"testing"
	"time"

	"lentilwind.dev/lentilwind/failover"
	"lentilwind.dev/lentilwind/group"
)

// randomStep advances time and performs one random action.
func (s *simulation) randomStep() {
	s.now = s.now.Add(time.Duration(s.rng.IntN(60)) * time.Millisecond)
	switch n := s.rng.IntN(100); {
	case n < 35:
		for range 1 + len(s.messages)/8 {
			s.deliver()
		}
	case n < 50:
		s.replicate()
	case n < 60:
		s.write()
	case n < 72:
		s.confirm()
	case n < 84:
		s.announce()
	case n < 92:
		for _, l := range s.leaders {
			s.step(l, failover.Tick{})
		}
	case n < 96:
		s.suspect()
	default:
		s.changeFaults()
	}
}

func (s *simulation) randomDatabase() *database { return s.databases[s.rng.IntN(len(s.databases))] }

// deliver delivers a random message in flight; while faults are enabled, it may be lost or delivered twice.
func (s *simulation) deliver() {
	if len(s.messages) == 0 {
		return
	}
	i := s.rng.IntN(len(s.messages))
	message := s.messages[i]
	roll := s.rng.IntN(20)
	if roll != 0 || s.faultFree {
		s.messages[i] = s.messages[len(s.messages)-1]
		s.messages = s.messages[:len(s.messages)-1]
	}
	if roll != 1 || s.faultFree {
		message()
	}
}

func (s *simulation) replicate() {
	d := s.randomDatabase()
	if d.followTerm == 0 {
		return
	}
	source, term := s.database(d.source), d.followTerm
	if !source.up || source.partitioned || !source.isPrimary(term) {
		return
	}
	end := len(source.log)
	if !s.faultFree {
		end -= s.rng.IntN(min(end, 3) + 1)
	}
	log, termStart, name := append([]record(nil), source.log...), source.termStart, source.name
	s.send(func() { d.receive(term, name, termStart, end, log) })
}

func (s *simulation) write() {
	d := s.randomDatabase()
	if d.up && d.isPrimary(d.term) {
		r := record{term: d.term, id: len(s.writes)}
		d.log = append(d.log, r)
		s.writes = append(s.writes, &write{record: r, position: len(d.log), confirmed: map[group.Server]bool{}})
	}
}

// confirm tells the entry that a random member holds a recent write in the write's term.
func (s *simulation) confirm() {
	if len(s.writes) == 0 {
		return
	}
	p := s.writes[len(s.writes)-1-s.rng.IntN(min(len(s.writes), 4))]
	d := s.randomDatabase()
	if !d.up || d.term != p.term || d.fenced != p.term || len(d.log) < p.position {
		return
	}
	p.confirmed[d.name] = true
	if len(p.confirmed) > len(s.databases)/2 {
		p.acked = true
	}
}

func (s *simulation) announce() {
	d := s.randomDatabase()
	if !d.up || d.partitioned {
		return
	}
	event := failover.Announced{Server: d.name, Address: string(d.name), Incarnation: d.incarnation, Leaving: d.leaving, Status: d.status()}
	for _, l := range s.leaders {
		s.send(func() { s.step(l, event) })
	}
}

// suspect reports a failed primary and, while faults are enabled, occasionally a healthy one.
func (s *simulation) suspect() {
	for _, l := range s.leaders {
		primary := l.machine.Configuration().Primary
		if primary == "" {
			continue
		}
		if d := s.database(primary); !d.up || d.partitioned || (!s.faultFree && s.rng.IntN(8) == 0) {
			s.step(l, failover.ServerFailed{Server: primary})
		}
	}
}

func (s *simulation) changeFaults() {
	if s.faultFree {
		return
	}
	d := s.randomDatabase()
	switch s.rng.IntN(10) {
	case 0, 1:
		s.elect()
	case 2:
		d.up = !d.up
		d.incarnation++
	case 3:
		d.partitioned = !d.partitioned
	case 4:
		d.leaving = !d.leaving
	default:
		d.up, d.partitioned = true, false
	}
}

// endFaults repairs all databases, replaces the leaders by a new one and disables further faults.
func (s *simulation) endFaults() {
	s.faultFree = true
	s.elect()
	s.leaders = s.leaders[1:]
	for _, d := range s.databases {
		d.up, d.partitioned, d.leaving = true, false, false
	}
}

// run performs random steps and returns the first violated invariant.
func (s *simulation) run(steps int) string {
	for range steps {
		s.randomStep()
		if violation := s.check(); violation != "" {
			return violation
		}
	}
	return ""
}

const (
	schedules        = 2000
	stepsPerSchedule = 1500
)

func TestNoAcknowledgedWriteIsLost(t *testing.T) {
	acked, terms := 0, 0
	for seed := range uint64(schedules) {
		s := newSimulation(seed, nil)
		if violation := s.run(stepsPerSchedule); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
		s.endFaults()
		if violation := s.awaitRecovery(); violation != "" {
			t.Fatalf("seed %d: after the faults ended: %s", seed, violation)
		}
		for _, p := range s.writes {
			if p.acked {
				acked++
			}
		}
		terms += len(s.primaries)
	}
	t.Logf("%d acknowledged writes, %d terms with a primary", acked, terms)
	if acked < 5*schedules || terms < 3*schedules {
		t.Errorf("too little coverage: %d writes acknowledged, %d terms with a primary", acked, terms)
	}
}

// awaitRecovery runs without faults until a new write is acknowledged and every member has reached the journalled term.
func (s *simulation) awaitRecovery() string {
	firstWrite := len(s.writes)
	for range 20_000 {
		s.randomStep()
		if violation := s.check(); violation != "" {
			return violation
		}
		if s.recovered(firstWrite) {
			return ""
		}
	}
	return "the group did not recover"
}

func (s *simulation) recovered(firstWrite int) bool {
	for _, d := range s.databases {
		if d.term != s.journal.Term {
			return false
		}
	}
	for _, p := range s.writes[firstWrite:] {
		if p.acked {
			return true
		}
	}
	return false
}

func TestSimulationDetectsInjectedFaults(t *testing.T) {
	faults := map[string]func(*failover.Machine){
		"fence of a minority":      (*failover.Machine).FenceMinority,
		"choice by position alone": (*failover.Machine).IgnoreLogTerm,
		"promotion before journal": (*failover.Machine).PromoteBeforeJournal,
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(schedules) {
				if violation := newSimulation(seed, fault).run(stepsPerSchedule); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Error("no schedule detected the fault")
		})
	}
}
