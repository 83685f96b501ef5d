package failover_test

import (
	"testing"
	"time"

	"lentilwind.dev/lentilwind/failover"
	"lentilwind.dev/lentilwind/group"
)

// turn does one random thing.
func (w *world) turn() {
	w.now = w.now.Add(time.Duration(w.rng.IntN(60)) * time.Millisecond)
	switch n := w.rng.IntN(100); {
	case n < 35:
		for range 1 + len(w.bag)/8 {
			w.deliver()
		}
	case n < 50:
		w.replicate()
	case n < 60:
		w.write()
	case n < 72:
		w.confirm()
	case n < 84:
		w.announce()
	case n < 92:
		for _, l := range w.leaders {
			w.step(l, failover.Tick{})
		}
	case n < 96:
		w.suspect()
	default:
		w.fail()
	}
}

func (w *world) pick() *database { return w.databases[w.rng.IntN(len(w.databases))] }

// deliver takes a message out of the bag in any order; it may be lost or come twice.
func (w *world) deliver() {
	if len(w.bag) == 0 {
		return
	}
	i := w.rng.IntN(len(w.bag))
	message := w.bag[i]
	fate := w.rng.IntN(20)
	if fate != 0 || w.calm {
		w.bag[i] = w.bag[len(w.bag)-1]
		w.bag = w.bag[:len(w.bag)-1]
	}
	if fate != 1 || w.calm {
		message()
	}
}

func (w *world) replicate() {
	d := w.pick()
	if d.target == 0 {
		return
	}
	source, term := w.find(d.source), d.target
	if !source.up || source.cut || !source.rules(term) {
		return
	}
	end := len(source.log)
	if !w.calm {
		end -= w.rng.IntN(min(end, 3) + 1)
	}
	log, began, name := append([]record(nil), source.log...), source.began, source.name
	w.send(func() { d.receive(term, name, began, end, log) })
}

func (w *world) write() {
	d := w.pick()
	if d.up && d.rules(d.term) {
		r := record{term: d.term, id: len(w.writes)}
		d.log = append(d.log, r)
		w.writes = append(w.writes, &write{record: r, position: len(d.log), confirmed: map[group.Server]bool{}})
	}
}

// confirm lets an entry learn that a member holds a recent write in its term.
func (w *world) confirm() {
	if len(w.writes) == 0 {
		return
	}
	p := w.writes[len(w.writes)-1-w.rng.IntN(min(len(w.writes), 4))]
	d := w.pick()
	if !d.up || d.term != p.term || d.fenced != p.term || len(d.log) < p.position {
		return
	}
	p.confirmed[d.name] = true
	if len(p.confirmed) > len(w.databases)/2 {
		p.acked = true
	}
}

func (w *world) announce() {
	d := w.pick()
	if !d.up || d.cut {
		return
	}
	event := failover.Announced{Server: d.name, Address: string(d.name), Incarnation: d.incarnation, Leaving: d.leaving, Status: d.status()}
	for _, l := range w.leaders {
		w.send(func() { w.step(l, event) })
	}
}

// suspect reports a primary that is gone, and now and then one that is not.
func (w *world) suspect() {
	for _, l := range w.leaders {
		primary := l.machine.Configuration().Primary
		if primary == "" {
			continue
		}
		if d := w.find(primary); !d.up || d.cut || (!w.calm && w.rng.IntN(8) == 0) {
			w.step(l, failover.ServerFailed{Server: primary})
		}
	}
}

func (w *world) fail() {
	if w.calm {
		return
	}
	d := w.pick()
	switch w.rng.IntN(10) {
	case 0, 1:
		w.elect()
	case 2:
		d.up = !d.up
		d.incarnation++
	case 3:
		d.cut = !d.cut
	case 4:
		d.leaving = !d.leaving
	default:
		d.up, d.cut = true, false
	}
}

// heal ends all faults.
func (w *world) heal() {
	w.calm = true
	w.elect()
	w.leaders = w.leaders[1:]
	for _, d := range w.databases {
		d.up, d.cut, d.leaving = true, false, false
	}
}

// run plays one schedule and returns the first broken promise.
func (w *world) run(turns int) string {
	for range turns {
		w.turn()
		if problem := w.check(); problem != "" {
			return problem
		}
	}
	return ""
}

const (
	schedules        = 2000
	turnsPerSchedule = 1500
)

func TestNoAcknowledgedWriteIsLost(t *testing.T) {
	acked, terms := 0, 0
	for seed := range uint64(schedules) {
		w := newWorld(seed, nil)
		if problem := w.run(turnsPerSchedule); problem != "" {
			t.Fatalf("seed %d: %s", seed, problem)
		}
		w.heal()
		if problem := w.recover(); problem != "" {
			t.Fatalf("seed %d: after the faults: %s", seed, problem)
		}
		for _, p := range w.writes {
			if p.acked {
				acked++
			}
		}
		terms += len(w.primaries)
	}
	t.Logf("%d acknowledged writes, %d terms with a primary", acked, terms)
	if acked < 5*schedules || terms < 3*schedules {
		t.Errorf("the schedules did too little: %d writes acknowledged, %d terms", acked, terms)
	}
}

// recover runs without faults until a new write is acknowledged and every member follows.
func (w *world) recover() string {
	from := len(w.writes)
	for range 20_000 {
		w.turn()
		if problem := w.check(); problem != "" {
			return problem
		}
		if w.serving(from) {
			return ""
		}
	}
	return "the group does not serve again"
}

func (w *world) serving(from int) bool {
	for _, d := range w.databases {
		if d.term != w.journal.Term {
			return false
		}
	}
	for _, p := range w.writes[from:] {
		if p.acked {
			return true
		}
	}
	return false
}

func TestChecksFindFaults(t *testing.T) {
	faults := map[string]func(*failover.Machine){
		"fence of a minority":      (*failover.Machine).FenceMinority,
		"choice by position alone": (*failover.Machine).IgnoreLogTerm,
		"promotion before journal": (*failover.Machine).PromoteBeforeJournal,
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(schedules) {
				if problem := newWorld(seed, fault).run(turnsPerSchedule); problem != "" {
					t.Logf("seed %d: %s", seed, problem)
					return
				}
			}
			t.Error("no schedule found the fault")
		})
	}
}
