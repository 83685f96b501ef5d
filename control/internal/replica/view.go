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

// view is an immutable copy of the state machine's status for readers outside the loop.
type view struct {
	term       journal.Term
	leader     journal.MemberID
	membership journal.Membership
	// leaseUntil is the end of the leader's lease, and the zero time on any other member.
	leaseUntil time.Time
}

// notifier wakes all goroutines that wait for a change.
type notifier struct {
	mu sync.Mutex
	ch chan struct{}
}

func (n *notifier) reset() { n.ch = make(chan struct{}) }

func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.ch)
	n.reset()
}

func (n *notifier) watch() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ch
}

// State returns the newest applied state.
func (r *Replica) State() *catalog.State { return r.state.Load() }

// Changed returns a channel that is closed at the next change of the state or of the leadership.
func (r *Replica) Changed() <-chan struct{} { return r.changed.watch() }

// Leading returns the current term and whether this process holds the leader lease, so that no other process can lead.
func (r *Replica) Leading() (journal.Term, bool) {
	v := r.view.Load()
	return v.term, time.Now().Before(v.leaseUntil)
}

// Leader returns the leader that this member knows of.
func (r *Replica) Leader() (journal.Member, bool) {
	v := r.view.Load()
	return v.membership.Find(v.leader)
}

// IsMember reports whether this process is in the membership of the journal.
func (r *Replica) IsMember() bool {
	_, found := r.view.Load().membership.Find(r.store.Identity().Member)
	return found
}

// Status is the status of the journal as one member knows it.
type Status struct {
	Term      journal.Term
	Committed journal.Index
	Members   []protocol.MemberState
}

// Status returns the status of the journal; only the leader knows the progress of other members.
func (r *Replica) Status(ctx context.Context) (Status, error) {
	var status Status
	err := r.runOnLoop(ctx, func(now time.Time) []journal.Effect {
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

// Snapshot takes a snapshot if there are new entries, and returns the newest one.
func (r *Replica) Snapshot(ctx context.Context) (journal.Snapshot, error) {
	var snapshot journal.Snapshot
	var snapshotErr error
	err := r.runOnLoop(ctx, func(time.Time) []journal.Effect {
		var effects []journal.Effect
		effects, snapshotErr = r.takeSnapshot()
		snapshot = r.machine.Snapshot()
		return effects
	})
	if err == nil {
		err = snapshotErr
	}
	if err == nil && snapshot.Index == 0 {
		err = fmt.Errorf("replica: there is no state yet")
	}
	return snapshot, err
}
