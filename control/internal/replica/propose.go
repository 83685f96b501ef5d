package replica

import (
	"context"
	"errors"
	"fmt"
	"time"

	"lentilwind.dev/lentilwind/catalog"
	"lentilwind.dev/lentilwind/journal"
	"lentilwind.dev/lentilwind/protocol"
)

// ErrOutcomeUnknown means that a proposal may or may not take effect later.
var ErrOutcomeUnknown = errors.New("replica: the outcome is unknown; ask again with the same operation")

// answer is what a proposal led to.
type answer struct {
	result catalog.Result
	err    error
}

// waiter waits for the entry of one proposal.
type waiter struct {
	term journal.Term
	done chan<- answer
}

// Propose returns the result of a command once a majority holds it and it has been applied.
func (r *Replica) Propose(ctx context.Context, command catalog.Command) (catalog.Result, error) {
	data, err := protocol.Encode(command)
	if err != nil {
		return catalog.Result{}, err
	}
	return r.submit(ctx, func(now time.Time) (journal.Position, []journal.Effect, error) {
		return r.machine.Propose(now, data)
	})
}

// submit begins a change on the loop and waits until its entry is applied.
func (r *Replica) submit(
	ctx context.Context, begin func(now time.Time) (journal.Position, []journal.Effect, error),
) (catalog.Result, error) {
	done := make(chan answer, 1)
	err := r.ask(ctx, func(now time.Time) []journal.Effect {
		position, effects, err := begin(now)
		if err != nil {
			done <- answer{err: err}
			return nil
		}
		r.waiters[position.Index] = waiter{term: position.Term, done: done}
		return effects
	})
	if err != nil {
		return catalog.Result{}, errors.Join(ErrOutcomeUnknown, err)
	}
	select {
	case a := <-done:
		return a.result, a.err
	case <-ctx.Done():
		return catalog.Result{}, errors.Join(ErrOutcomeUnknown, ctx.Err())
	}
}

// resolve answers the proposal whose place an applied entry has taken.
func (r *Replica) resolve(entry journal.Entry, result catalog.Result) {
	w, found := r.waiters[entry.Index]
	if !found {
		return
	}
	delete(r.waiters, entry.Index)
	if w.term != entry.Term {
		w.done <- answer{err: fmt.Errorf("replica: another entry took the place: %w", &journal.NotLeaderError{Leader: r.machine.Leader()})}
		return
	}
	w.done <- answer{result: result}
}

// failWaiters ends all waiting when the leadership is lost.
func (r *Replica) failWaiters() {
	for index, w := range r.waiters {
		w.done <- answer{err: ErrOutcomeUnknown}
		delete(r.waiters, index)
	}
}

// TransferLeadership gives the leadership to another member and waits until it is gone; it returns at once for any other member.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	for {
		changed := r.Changed()
		leading := false
		err := r.ask(ctx, func(now time.Time) []journal.Effect {
			leading = r.machine.Role() == journal.RoleLeader && len(r.machine.Membership().Voters()) > 1
			effects, _ := r.machine.TransferLeadership(now)
			return effects
		})
		if err != nil || !leading {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("replica: hand over: %w", ctx.Err())
		}
	}
}
