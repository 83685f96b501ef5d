package positions

import (
	"sync"
	"sync/atomic"
	"time"

	"lentilwind.dev/lentilwind/confirm"
	"lentilwind.dev/lentilwind/group"
)

// groupState is what is known of one group and who waits for more.
type groupState struct {
	id      group.ID
	members []*member
	// viewed is the last time a read was placed, as time since the keeper's origin.
	viewed  atomic.Int64
	waiting atomic.Int32

	mu      sync.Mutex
	waiters []*waiter
	changed chan struct{}
}

// purpose is what a waiter waits for.
type purpose string

const (
	forWrite   purpose = "write"
	forCurrent purpose = "current"
	forFloor   purpose = "floor"
)

// waiter is one request that is held until its question is answered.
type waiter struct {
	purpose  purpose
	term     group.Term
	position group.Position
	since    time.Time
	answer   chan answer
}

type answer struct {
	verdict confirm.Verdict
	floor   group.Floor
}

func newGroupState(id group.ID, servers []group.Server) *groupState {
	g := &groupState{id: id, changed: make(chan struct{})}
	for _, server := range servers {
		g.members = append(g.members, &member{server: server})
	}
	return g
}

func (g *groupState) member(server group.Server) *member {
	for _, m := range g.members {
		if m.server == server {
			return m
		}
	}
	return nil
}

// maxInline is the number of members up to which a question needs no memory of its own.
const maxInline = 8

// judge answers a waiter's question from the present samples; false means to wait on.
func (g *groupState) judge(w *waiter, newestTerm group.Term) (answer, bool) {
	var inline [maxInline]confirm.Sample
	samples := inline[:0]
	for _, m := range g.members {
		samples = append(samples, m.load())
	}
	if w.purpose == forFloor {
		floor, known := confirm.Floor(samples, w.since)
		return answer{verdict: confirm.Confirmed, floor: floor}, known
	}
	verdict := confirm.Write(samples, w.term, w.position)
	if newestTerm > w.term {
		verdict = confirm.Replaced
	}
	if verdict == confirm.Confirmed && w.purpose == forCurrent && confirm.Current(samples, w.term).Before(w.since) {
		verdict = confirm.Waiting
	}
	return answer{verdict: verdict}, verdict != confirm.Waiting
}

// update answers the waiters whose question is settled.
func (g *groupState) update(newestTerm group.Term) {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.changed)
	g.changed = make(chan struct{})
	left := g.waiters[:0]
	for _, w := range g.waiters {
		result, settled := g.judge(w, newestTerm)
		if !settled {
			left = append(left, w)
			continue
		}
		w.answer <- result
	}
	clear(g.waiters[len(left):])
	g.waiters = left
	g.waiting.Store(int32(len(left)))
}

func (g *groupState) add(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiters = append(g.waiters, w)
	g.waiting.Store(int32(len(g.waiters)))
}

func (g *groupState) remove(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, other := range g.waiters {
		if other == w {
			g.waiters = append(g.waiters[:i], g.waiters[i+1:]...)
			break
		}
	}
	g.waiting.Store(int32(len(g.waiters)))
}

func (g *groupState) changes() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// demand returns what the waiters need of one member: a position to wait for, or any newer sample.
func (g *groupState) demand(m *member) (position group.Position, write, fresh bool) {
	if g.waiting.Load() == 0 {
		return 0, false, false
	}
	sample := m.load()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, w := range g.waiters {
		if w.purpose != forWrite && sample.Start.Before(w.since) {
			fresh = true
		}
		if w.purpose == forFloor || w.position <= sample.Status.Received && sample.Status.Term == w.term {
			continue
		}
		if !write || w.position < position {
			position, write = w.position, true
		}
	}
	return position, write, fresh
}
