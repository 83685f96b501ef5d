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

// proposalResult is the result of a proposal that was applied, or its error.
type proposalResult struct {
	result catalog.Result
	err    error
}

// pendingProposal waits for the journal entry of one proposal to be applied.
type pendingProposal struct {
	term journal.Term
	done chan<- proposalResult
}

// Propose returns the result of a command once a majority holds it and it has been applied.
func (r *Replica) Propose(ctx context.Context, command catalog.Command) (catalog.Result, error) {
	data, err := protocol.EncodeStored(command)
	if err != nil {
		return catalog.Result{}, err
	}
	return r.submit(ctx, func(now time.Time) (journal.Position, []journal.Effect, error) {
		return r.machine.Propose(now, data)
	})
}

// submit starts a change on the loop and waits until its entry is applied.
func (r *Replica) submit(
	ctx context.Context, begin func(now time.Time) (journal.Position, []journal.Effect, error),
) (catalog.Result, error) {
	done := make(chan proposalResult, 1)
	err := r.runOnLoop(ctx, func(now time.Time) []journal.Effect {
		position, effects, err := begin(now)
		if err != nil {
			done <- proposalResult{err: err}
			return nil
		}
		r.pending[position.Index] = pendingProposal{term: position.Term, done: done}
		return effects
	})
	if err != nil {
		return catalog.Result{}, errors.Join(ErrOutcomeUnknown, err)
	}
	select {
	case completed := <-done:
		return completed.result, completed.err
	case <-ctx.Done():
		return catalog.Result{}, errors.Join(ErrOutcomeUnknown, ctx.Err())
	}
}

// completeProposal completes the proposal that waits for the index of an applied entry.
func (r *Replica) completeProposal(entry journal.Entry, result catalog.Result) {
	pending, found := r.pending[entry.Index]
	if !found {
		return
	}
	delete(r.pending, entry.Index)
	if pending.term != entry.Term {
		pending.done <- proposalResult{err: fmt.Errorf("replica: another entry took the place: %w", &journal.NotLeaderError{Leader: r.machine.Leader()})}
		return
	}
	pending.done <- proposalResult{result: result}
}

// failPending fails all pending proposals when the leadership is lost.
func (r *Replica) failPending() {
	for index, pending := range r.pending {
		pending.done <- proposalResult{err: ErrOutcomeUnknown}
		delete(r.pending, index)
	}
}

// TransferLeadership hands the leadership to another member and waits until this one no longer leads. It returns at once if
// this member does not lead or is the only voter.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	for {
		changed := r.Changed()
		leading := false
		err := r.runOnLoop(ctx, func(now time.Time) []journal.Effect {
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
