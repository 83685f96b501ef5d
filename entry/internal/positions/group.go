package positions

import (
	"slices"
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
	remote  []*remoteWant
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
	verdict confirm.WriteState
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
	var inline [maxInline]confirm.StatusSample
	samples := inline[:0]
	for _, m := range g.members {
		samples = append(samples, m.load())
	}
	if w.purpose == forFloor {
		floor, known := confirm.ReadFloor(samples, w.since)
		return answer{verdict: confirm.Confirmed, floor: floor}, known
	}
	verdict := confirm.CheckWrite(samples, w.term, w.position)
	if newestTerm > w.term {
		verdict = confirm.Superseded
	}
	if verdict == confirm.Confirmed && w.purpose == forCurrent && confirm.TermConfirmedAt(samples, w.term).Before(w.since) {
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
	for _, w := range g.remote {
		w.settle()
	}
	g.count()
}

// count keeps the number of those who wait; g.mu is held.
func (g *groupState) count() { g.waiting.Store(int32(len(g.waiters) + len(g.remote))) }

func (g *groupState) add(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiters = append(g.waiters, w)
	g.count()
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
	g.count()
}

func (g *groupState) addRemote(w *remoteWant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.remote = append(g.remote, w)
	g.count()
	w.settle()
}

func (g *groupState) removeRemote(w *remoteWant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.remote = slices.DeleteFunc(g.remote, func(other *remoteWant) bool { return other == w })
	g.count()
}

// writing calls a function for the term of each write that waits.
func (g *groupState) writing(yield func(group.Term)) {
	if g.waiting.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, w := range g.waiters {
		if w.purpose == forWrite {
			yield(w.term)
		}
	}
}

func (g *groupState) changes() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// need is what those who wait need of one member.
type need struct {
	// write asks for a status of the term that has received the position.
	write    bool
	term     group.Term
	position group.Position
	// fresh asks for any newer sample.
	fresh bool
}

// add takes in a write; the least position is waited for first.
func (n *need) add(term group.Term, position group.Position, sample *confirm.StatusSample) {
	if position <= sample.Status.Received && sample.Status.Term == term {
		return
	}
	if !n.write || position < n.position {
		n.write, n.term, n.position = true, term, position
	}
}

// demand returns what the waiters of this entry and of others need of one member.
func (g *groupState) demand(m *member) need {
	var n need
	if g.waiting.Load() == 0 {
		return n
	}
	sample := m.load()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, w := range g.waiters {
		n.fresh = n.fresh || w.purpose != forWrite && sample.SentAt.Before(w.since)
		if w.purpose != forFloor {
			n.add(w.term, w.position, &sample)
		}
	}
	for _, w := range g.remote {
		if w.member != m {
			continue
		}
		n.fresh = n.fresh || sample.SentAt.Before(w.since)
		if w.Write {
			n.add(w.Term, w.Position, &sample)
		}
	}
	return n
}
