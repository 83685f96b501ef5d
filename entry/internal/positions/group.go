package positions

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lentilwind.dev/lentilwind/confirm"
	"lentilwind.dev/lentilwind/group"
)

// groupState holds the member statuses of one group and the requests that wait for newer ones.
type groupState struct {
	id      group.ID
	members []*member
	// lastRead is the last time a read was routed, relative to the tracker's origin.
	lastRead    atomic.Int64
	waiterCount atomic.Int32

	mu            sync.Mutex
	waiters       []*waiter
	remoteWaiters []*remoteWaiter
	changed       chan struct{}
}

// purpose is the condition that a waiter waits for.
type purpose string

const (
	forWrite   purpose = "write"
	forCurrent purpose = "current"
	forFloor   purpose = "floor"
)

// waiter is a request that waits until its condition is decided.
type waiter struct {
	purpose  purpose
	term     group.Term
	position group.Position
	since    time.Time
	answer   chan waitResult
}

type waitResult struct {
	state confirm.WriteState
	floor group.Floor
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

// maxInlineMembers is the number of members up to which samples are collected without a heap allocation.
const maxInlineMembers = 8

// evaluate checks a waiter's condition against the current samples. It returns false if the waiter must keep waiting.
func (g *groupState) evaluate(w *waiter, newestTerm group.Term) (waitResult, bool) {
	var buffer [maxInlineMembers]confirm.StatusSample
	samples := buffer[:0]
	for _, m := range g.members {
		samples = append(samples, m.load())
	}
	if w.purpose == forFloor {
		floor, known := confirm.ReadFloor(samples, w.since)
		return waitResult{state: confirm.Confirmed, floor: floor}, known
	}
	state := confirm.CheckWrite(samples, w.term, w.position)
	if newestTerm > w.term {
		state = confirm.Superseded
	}
	if state == confirm.Confirmed && w.purpose == forCurrent && confirm.TermConfirmedAt(samples, w.term).Before(w.since) {
		state = confirm.Waiting
	}
	return waitResult{state: state}, state != confirm.Waiting
}

// resolveWaiters answers the waiters whose condition is decided and signals that a status has changed.
func (g *groupState) resolveWaiters(newestTerm group.Term) {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.changed)
	g.changed = make(chan struct{})
	undecided := g.waiters[:0]
	for _, w := range g.waiters {
		result, decided := g.evaluate(w, newestTerm)
		if !decided {
			undecided = append(undecided, w)
			continue
		}
		w.answer <- result
	}
	clear(g.waiters[len(undecided):])
	g.waiters = undecided
	for _, w := range g.remoteWaiters {
		w.notifyIfFulfilled()
	}
	g.updateWaiterCount()
}

// updateWaiterCount stores the number of waiters for readers without the lock. g.mu must be held.
func (g *groupState) updateWaiterCount() {
	g.waiterCount.Store(int32(len(g.waiters) + len(g.remoteWaiters)))
}

func (g *groupState) add(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiters = append(g.waiters, w)
	g.updateWaiterCount()
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
	g.updateWaiterCount()
}

func (g *groupState) addRemote(w *remoteWaiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.remoteWaiters = append(g.remoteWaiters, w)
	g.updateWaiterCount()
	w.notifyIfFulfilled()
}

func (g *groupState) removeRemote(w *remoteWaiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.remoteWaiters = slices.DeleteFunc(g.remoteWaiters, func(other *remoteWaiter) bool { return other == w })
	g.updateWaiterCount()
}

// pendingWrites calls yield with the term of each write that waits for confirmation.
func (g *groupState) pendingWrites(yield func(group.Term)) {
	if g.waiterCount.Load() == 0 {
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

// requirement is what the waiters need from one member.
type requirement struct {
	// write requests a status of the term with at least the position received.
	write    bool
	term     group.Term
	position group.Position
	// fresh requests any newer sample.
	fresh bool
}

// addWrite adds a write unless the sample already covers it. The lowest position is requested first.
func (r *requirement) addWrite(term group.Term, position group.Position, sample *confirm.StatusSample) {
	if position <= sample.Status.Received && sample.Status.Term == term {
		return
	}
	if !r.write || position < r.position {
		r.write, r.term, r.position = true, term, position
	}
}

// requirementOf combines what the local and remote waiters need from one member.
func (g *groupState) requirementOf(m *member) requirement {
	var r requirement
	if g.waiterCount.Load() == 0 {
		return r
	}
	sample := m.load()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, w := range g.waiters {
		r.fresh = r.fresh || w.purpose != forWrite && sample.SentAt.Before(w.since)
		if w.purpose != forFloor {
			r.addWrite(w.term, w.position, &sample)
		}
	}
	for _, w := range g.remoteWaiters {
		if w.member != m {
			continue
		}
		r.fresh = r.fresh || sample.SentAt.Before(w.since)
		if w.Write {
			r.addWrite(w.Term, w.Position, &sample)
		}
	}
	return r
}
