package replica

import (
	"context"
	"fmt"
	"sync"
	"time"

	"lentilwind.dev/lentilwind/catalog"
	"lentilwind.dev/lentilwind/journal"
	"lentilwind.dev/lentilwind/protocol"
)

// view is what other goroutines may know of the machine; it is replaced whole.
type view struct {
	term       journal.Term
	leader     journal.MemberID
	membership journal.Membership
	// until is the end of the leader's lease, the zero time for any other member.
	until time.Time
}

// notifier tells any number of waiters that something has changed.
type notifier struct {
	mu      sync.Mutex
	channel chan struct{}
}

func (n *notifier) reset() { n.channel = make(chan struct{}) }

func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.channel)
	n.reset()
}

func (n *notifier) wait() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.channel
}

// State returns the newest applied state.
func (r *Replica) State() *catalog.State { return r.state.Load() }

// Changed returns a channel that is closed at the next change of the state or of the leadership.
func (r *Replica) Changed() <-chan struct{} { return r.changed.wait() }

// Leading returns the term that this process leads in and whether no other process can lead now.
func (r *Replica) Leading() (journal.Term, bool) {
	v := r.view.Load()
	return v.term, time.Now().Before(v.until)
}

// Leader returns the leader that this member knows of.
func (r *Replica) Leader() (journal.Member, bool) {
	v := r.view.Load()
	return v.membership.Find(v.leader)
}

// IsMember tells whether this process belongs to the journal's members.
func (r *Replica) IsMember() bool {
	_, found := r.view.Load().membership.Find(r.store.Identity().Member)
	return found
}

// Status is a member's view of the journal.
type Status struct {
	Term      journal.Term
	Committed journal.Index
	Members   []protocol.MemberState
}

// Status returns what this member knows; only a leader knows the progress of others.
func (r *Replica) Status(ctx context.Context) (Status, error) {
	var status Status
	err := r.ask(ctx, func(now time.Time) []journal.Effect {
		status = Status{Term: r.machine.Term(), Committed: r.machine.CommitIndex()}
		progress := make(map[journal.MemberID]journal.Progress)
		for _, p := range r.machine.Progress() {
			progress[p.Member.ID] = p
		}
		for _, member := range r.machine.Membership().Members {
			status.Members = append(status.Members, r.memberState(now, member, progress[member.ID]))
		}
		return nil
	})
	return status, err
}

func (r *Replica) memberState(now time.Time, member journal.Member, progress journal.Progress) protocol.MemberState {
	state := protocol.MemberState{
		Name: member.Name, Address: member.Address, Role: protocol.MemberFollower, Matched: uint64(progress.MatchIndex),
	}
	if member.Learner {
		state.Role = protocol.MemberLearner
	}
	if member.ID == r.machine.Leader() {
		state.Role = protocol.MemberLeader
	}
	switch {
	case member.ID == r.store.Identity().Member:
		state.Matched = uint64(r.machine.LastIndex())
	case !progress.LastContact.IsZero():
		state.SilentMs = now.Sub(progress.LastContact).Milliseconds()
	default:
		state.SilentMs = -1
	}
	return state
}

// Snapshot takes a snapshot now and returns the newest one.
func (r *Replica) Snapshot(ctx context.Context) (journal.Snapshot, error) {
	var snapshot journal.Snapshot
	var failed error
	err := r.ask(ctx, func(time.Time) []journal.Effect {
		var effects []journal.Effect
		effects, failed = r.takeSnapshot()
		snapshot = r.machine.Snapshot()
		return effects
	})
	if err == nil {
		err = failed
	}
	if err == nil && snapshot.Index == 0 {
		err = fmt.Errorf("replica: there is no state yet")
	}
	return snapshot, err
}
