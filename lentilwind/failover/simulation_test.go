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

// database is a model of one member: all that it answers is durable.
type database struct {
	name        group.Server
	log         []record
	term        group.Term
	fenced      group.Term
	ruling      group.Term
	began       int
	target      group.Term
	source      group.Server
	incarnation protocol.Incarnation
	up, cut     bool
	leaving     bool
	clock       *time.Time
	// fresh is the time of the last news from a primary.
	fresh time.Time
}

func (d *database) status() group.Status {
	s := group.Status{Role: group.RoleReplica, Term: d.term, FencedTerm: d.fenced, Received: group.Position(len(d.log))}
	s.Lag = d.clock.Sub(d.fresh)
	if d.rules(d.ruling) {
		s.Role, s.Lag = group.RolePrimary, 0
	}
	return s
}

// rules tells whether the database is the primary of a term.
func (d *database) rules(term group.Term) bool {
	return term > 0 && d.ruling == term && d.term == term && d.fenced == term
}

func (d *database) fence(term group.Term) failover.Outcome {
	if term < d.fenced {
		return failover.OutcomeRefused
	}
	d.fenced = term
	return failover.OutcomeDone
}

func (d *database) follow(term group.Term, source group.Server) failover.Outcome {
	if term < d.fenced || d.ruling == term {
		return failover.OutcomeRefused
	}
	d.fenced, d.target, d.source = term, term, source
	return failover.OutcomeDone
}

// receive cuts off what the primary of a term does not have and takes in its log up to a position.
func (d *database) receive(term group.Term, source group.Server, began, end int, log []record) {
	if !d.up || d.cut || d.target != term || d.source != source || d.fenced > term {
		return
	}
	d.fresh = *d.clock
	common := 0
	for common < min(len(log), len(d.log)) && log[common] == d.log[common] {
		common++
	}
	if d.term == term && common == len(log) {
		return
	}
	d.log = append(slices.Clone(d.log[:common]), log[common:max(common, end)]...)
	if len(d.log) >= began {
		d.term = term
	}
}

// write is a record that waits for its acknowledgement.
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

// world has one group, the leaders of control that believe to lead, and a bag of messages on their way.
type world struct {
	rng       *rand.Rand
	now       time.Time
	databases []*database
	journal   group.Configuration
	leaders   []*leader
	epoch     int
	bag       []func()
	writes    []*write
	primaries map[group.Term]group.Server
	fault     func(*failover.Machine)
	calm      bool
	problem   string
}

func newWorld(seed uint64, fault func(*failover.Machine)) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), primaries: map[group.Term]group.Server{}, fault: fault}
	for i := range 3 + 2*w.rng.IntN(2) {
		w.databases = append(w.databases, &database{name: group.Server(fmt.Sprintf("db-%d", i)), incarnation: 1, up: true, clock: &w.now, fresh: w.now})
	}
	w.elect()
	return w
}

// elect starts a new leader; an old one may go on for a while without knowing.
func (w *world) elect() {
	var members []failover.Member
	for _, d := range w.databases {
		members = append(members, failover.Member{Server: d.name})
	}
	machine := failover.New(failover.DefaultConfig(), group.ID{}, members, w.journal)
	if w.fault != nil {
		w.fault(machine)
	}
	w.epoch++
	l := &leader{machine: machine, epoch: w.epoch}
	w.leaders = append(w.leaders[max(0, len(w.leaders)-1):], l)
	w.perform(l, machine.Start(w.now))
}

func (w *world) step(l *leader, event failover.Event) { w.perform(l, l.machine.Step(w.now, event)) }

func (w *world) find(name group.Server) *database {
	return w.databases[slices.IndexFunc(w.databases, func(d *database) bool { return d.name == name })]
}

func (w *world) send(message func()) { w.bag = append(w.bag, message) }

// call delivers a request to a database and sends its answer back.
func (w *world) call(l *leader, server group.Server, run func(d *database) failover.Event) {
	w.send(func() {
		if d := w.find(server); d.up && !d.cut {
			event := run(d)
			w.send(func() { w.step(l, event) })
		}
	})
}

func (w *world) perform(l *leader, effects []failover.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case failover.Journal:
			w.send(func() { w.propose(l, e) })
		case failover.Fence:
			w.call(l, e.Server, func(d *database) failover.Event {
				outcome := d.fence(e.Term)
				return failover.FenceResult{Server: e.Server, Term: e.Term, Outcome: outcome, Status: d.status()}
			})
		case failover.Promote:
			w.call(l, e.Server, func(d *database) failover.Event {
				outcome := w.promote(d, e)
				return failover.PromoteResult{Server: e.Server, Term: e.Term, Outcome: outcome, Status: d.status()}
			})
		case failover.Follow:
			w.call(l, e.Server, func(d *database) failover.Event {
				return failover.FollowResult{Server: e.Server, Term: e.Term, Outcome: d.follow(e.Term, group.Server(e.Address))}
			})
		case failover.Wait:
			w.call(l, e.Server, func(d *database) failover.Event {
				return failover.WaitResult{Server: e.Server, Term: e.Term, Outcome: failover.OutcomeDone, Status: d.status()}
			})
		}
	}
}

// propose journals a configuration as the catalog does: by compare-and-set, and only for the leader.
func (w *world) propose(l *leader, e failover.Journal) {
	if l.epoch != w.epoch {
		return
	}
	named := e.Next.Term == w.journal.Term && w.journal.Primary == "" && e.Next.Primary != ""
	if e.Expect == w.journal.Term && (e.Next.Term > w.journal.Term || named) {
		w.journal = e.Next
	}
	current := w.journal
	w.send(func() { w.step(l, failover.JournalResult{Outcome: failover.OutcomeDone, Current: current}) })
}

func (w *world) promote(d *database, e failover.Promote) failover.Outcome {
	if d.ruling == e.Term && d.fenced == e.Term {
		return failover.OutcomeDone
	}
	if d.fenced != e.Term || d.target == e.Term || len(d.log) < int(e.Position) {
		return failover.OutcomeRefused
	}
	d.term, d.ruling, d.began = e.Term, e.Term, len(d.log)
	if other := w.primaries[e.Term]; other != "" && other != d.name {
		w.problem = fmt.Sprintf("term %d has the primaries %s and %s", e.Term, other, d.name)
	}
	w.primaries[e.Term] = d.name
	return failover.OutcomeDone
}

// check returns a broken promise: every acknowledged write stands in the log of the newest primary.
func (w *world) check() string {
	newest := group.Term(0)
	for term := range w.primaries {
		newest = max(newest, term)
	}
	if w.problem != "" || newest == 0 {
		return w.problem
	}
	log := w.find(w.primaries[newest]).log
	if d := w.find(w.primaries[newest]); d.ruling != newest || d.term != newest {
		return ""
	}
	for _, p := range w.writes {
		if p.acked && p.term <= newest && (p.position > len(log) || log[p.position-1] != p.record) {
			return fmt.Sprintf("write %d of term %d was acknowledged and is missing in term %d", p.id, p.term, newest)
		}
	}
	return ""
}
