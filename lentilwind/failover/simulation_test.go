package failover_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lentilwind.dev/lentilwind/failover"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/protocol"
)

type record struct {
	term group.Term
	id   int
}

// database models one member; everything that it acknowledges is durable.
type database struct {
	name            group.Server
	log             []record
	term            group.Term
	fenced          group.Term
	primaryTerm     group.Term
	termStart       int
	followTerm      group.Term
	source          group.Server
	incarnation     protocol.Incarnation
	up, partitioned bool
	leaving         bool
	clock           *time.Time
	// lastContact is the time of the last message from a primary.
	lastContact time.Time
}

func (d *database) status() group.Status {
	s := group.Status{Role: group.RoleReplica, Term: d.term, FencedTerm: d.fenced, Received: group.Position(len(d.log))}
	s.Lag = d.clock.Sub(d.lastContact)
	if d.isPrimary(d.primaryTerm) {
		s.Role, s.Lag = group.RolePrimary, 0
	}
	return s
}

// isPrimary reports whether the database is the primary of a term.
func (d *database) isPrimary(term group.Term) bool {
	return term > 0 && d.primaryTerm == term && d.term == term && d.fenced == term
}

func (d *database) fence(term group.Term) failover.Outcome {
	if term < d.fenced {
		return failover.OutcomeRefused
	}
	d.fenced = term
	return failover.OutcomeDone
}

func (d *database) follow(term group.Term, source group.Server) failover.Outcome {
	if term < d.fenced || d.primaryTerm == term {
		return failover.OutcomeRefused
	}
	d.fenced, d.followTerm, d.source = term, term, source
	return failover.OutcomeDone
}

// receive truncates the log where it differs from that of the primary of a term and appends the primary's log up to end.
func (d *database) receive(term group.Term, source group.Server, termStart, end int, log []record) {
	if !d.up || d.partitioned || d.followTerm != term || d.source != source || d.fenced > term {
		return
	}
	d.lastContact = *d.clock
	common := 0
	for common < min(len(log), len(d.log)) && log[common] == d.log[common] {
		common++
	}
	if d.term == term && common == len(log) {
		return
	}
	d.log = append(slices.Clone(d.log[:common]), log[common:max(common, end)]...)
	if len(d.log) >= termStart {
		d.term = term
	}
}

// write is a client's write, acknowledged once a majority has confirmed it.
type write struct {
	record
	position  int
	confirmed map[group.Server]bool
	acked     bool
}

type leader struct {
	machine *failover.Machine
	epoch   int
}

// simulation holds one group, the control processes that believe they are leader, and the messages in flight.
type simulation struct {
	rng         *rand.Rand
	now         time.Time
	databases   []*database
	journal     group.Configuration
	leaders     []*leader
	epoch       int
	messages    []func()
	writes      []*write
	primaries   map[group.Term]group.Server
	injectFault func(*failover.Machine)
	faultFree   bool
	violation   string
}

func newSimulation(seed uint64, fault func(*failover.Machine)) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), primaries: map[group.Term]group.Server{}, injectFault: fault}
	for i := range 3 + 2*s.rng.IntN(2) {
		s.databases = append(s.databases, &database{name: group.Server(fmt.Sprintf("db-%d", i)), incarnation: 1, up: true, clock: &s.now, lastContact: s.now})
	}
	s.elect()
	return s
}

// elect starts a new leader; the previous one may continue for a while without noticing.
func (s *simulation) elect() {
	var members []failover.Member
	for _, d := range s.databases {
		members = append(members, failover.Member{Server: d.name})
	}
	machine := failover.New(failover.DefaultConfig(), group.ID{}, members, s.journal)
	if s.injectFault != nil {
		s.injectFault(machine)
	}
	s.epoch++
	l := &leader{machine: machine, epoch: s.epoch}
	s.leaders = append(s.leaders[max(0, len(s.leaders)-1):], l)
	s.perform(l, machine.Start(s.now))
}

func (s *simulation) step(l *leader, event failover.Event) {
	s.perform(l, l.machine.Step(s.now, event))
}

func (s *simulation) database(name group.Server) *database {
	return s.databases[slices.IndexFunc(s.databases, func(d *database) bool { return d.name == name })]
}

func (s *simulation) send(message func()) { s.messages = append(s.messages, message) }

// call sends a request to a database and sends its answer back.
func (s *simulation) call(l *leader, server group.Server, run func(d *database) failover.Event) {
	s.send(func() {
		if d := s.database(server); d.up && !d.partitioned {
			event := run(d)
			s.send(func() { s.step(l, event) })
		}
	})
}

func (s *simulation) perform(l *leader, effects []failover.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case failover.Journal:
			s.send(func() { s.propose(l, e) })
		case failover.Fence:
			s.call(l, e.Server, func(d *database) failover.Event {
				outcome := d.fence(e.Term)
				return failover.FenceResult{Server: e.Server, Term: e.Term, Outcome: outcome, Status: d.status()}
			})
		case failover.Promote:
			s.call(l, e.Server, func(d *database) failover.Event {
				outcome := s.promote(d, e)
				return failover.PromoteResult{Server: e.Server, Term: e.Term, Outcome: outcome, Status: d.status()}
			})
		case failover.Follow:
			s.call(l, e.Server, func(d *database) failover.Event {
				return failover.FollowResult{Server: e.Server, Term: e.Term, Outcome: d.follow(e.Term, group.Server(e.Address))}
			})
		case failover.Wait:
			s.call(l, e.Server, func(d *database) failover.Event {
				return failover.WaitResult{Server: e.Server, Term: e.Term, Outcome: failover.OutcomeDone, Status: d.status()}
			})
		}
	}
}

// propose journals a configuration like the catalog does: by compare-and-set, and only for the current leader.
func (s *simulation) propose(l *leader, e failover.Journal) {
	if l.epoch != s.epoch {
		return
	}
	namesPrimary := e.Next.Term == s.journal.Term && s.journal.Primary == "" && e.Next.Primary != ""
	if e.Expect == s.journal.Term && (e.Next.Term > s.journal.Term || namesPrimary) {
		s.journal = e.Next
	}
	current := s.journal
	s.send(func() { s.step(l, failover.JournalResult{Outcome: failover.OutcomeDone, Current: current}) })
}

func (s *simulation) promote(d *database, e failover.Promote) failover.Outcome {
	if d.primaryTerm == e.Term && d.fenced == e.Term {
		return failover.OutcomeDone
	}
	if d.fenced != e.Term || d.followTerm == e.Term || len(d.log) < int(e.Position) {
		return failover.OutcomeRefused
	}
	d.term, d.primaryTerm, d.termStart = e.Term, e.Term, len(d.log)
	if other := s.primaries[e.Term]; other != "" && other != d.name {
		s.violation = fmt.Sprintf("term %d has the primaries %s and %s", e.Term, other, d.name)
	}
	s.primaries[e.Term] = d.name
	return failover.OutcomeDone
}

// check returns a violated invariant, or "". Each term has at most one primary, and every acknowledged write is in the log
// of the newest primary.
func (s *simulation) check() string {
	newest := group.Term(0)
	for term := range s.primaries {
		newest = max(newest, term)
	}
	if s.violation != "" || newest == 0 {
		return s.violation
	}
	log := s.database(s.primaries[newest]).log
	if d := s.database(s.primaries[newest]); d.primaryTerm != newest || d.term != newest {
		return ""
	}
	for _, p := range s.writes {
		if p.acked && p.term <= newest && (p.position > len(log) || log[p.position-1] != p.record) {
			return fmt.Sprintf("write %d of term %d was acknowledged and is missing in term %d", p.id, p.term, newest)
		}
	}
	return ""
}
