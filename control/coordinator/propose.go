package coordinator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"lentilwind.dev/lentilwind/journal"
	"lentilwind.dev/lentilwind/protocol"
)

// errOutcomeUnknown means that a proposal may or may not take effect later.
var errOutcomeUnknown = errors.New("coordinator: the outcome is unknown; send the same again")

// pendingProposal waits for the log entry of one proposal to be applied.
type pendingProposal struct {
	term journal.Term
	done chan<- error
}

// runOnLoop runs a function on the loop and waits until it returns.
func (c *Coordinator) runOnLoop(ctx context.Context, run task) error {
	done := make(chan struct{})
	in := func(now time.Time) []journal.Effect {
		defer close(done)
		return run(now)
	}
	select {
	case c.tasks <- in:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// propose submits a command and returns its index once it is committed and applied.
func (c *Coordinator) propose(ctx context.Context, cmd command) (journal.Index, error) {
	data, err := protocol.EncodeStored(cmd)
	if err != nil {
		return 0, err
	}
	return c.submit(ctx, func(now time.Time) (journal.Position, []journal.Effect, error) { return c.machine.Propose(now, data) })
}

func (c *Coordinator) submit(
	ctx context.Context, begin func(now time.Time) (journal.Position, []journal.Effect, error),
) (journal.Index, error) {
	done := make(chan error, 1)
	var index journal.Index
	err := c.runOnLoop(ctx, func(now time.Time) []journal.Effect {
		position, effects, err := begin(now)
		if err != nil {
			done <- err
			return nil
		}
		index = position.Index
		c.pending[position.Index] = pendingProposal{term: position.Term, done: done}
		return effects
	})
	if err != nil {
		return 0, errors.Join(errOutcomeUnknown, err)
	}
	select {
	case err := <-done:
		return index, err
	case <-ctx.Done():
		return 0, errors.Join(errOutcomeUnknown, ctx.Err())
	}
}

// completeProposal completes the proposal that waits for the index of an applied entry.
func (c *Coordinator) completeProposal(entry journal.Entry) {
	pending, found := c.pending[entry.Index]
	if !found {
		return
	}
	delete(c.pending, entry.Index)
	if pending.term != entry.Term {
		pending.done <- &journal.NotLeaderError{Leader: c.machine.Leader()}
		return
	}
	pending.done <- nil
}

// failPending fails all pending proposals when the leadership is lost.
func (c *Coordinator) failPending() {
	for index, pending := range c.pending {
		pending.done <- errOutcomeUnknown
		delete(c.pending, index)
	}
}

// TransferLeadership hands the leadership to another member if this one leads, and waits until this one no longer does.
func (c *Coordinator) TransferLeadership(ctx context.Context) error {
	for {
		changed := c.changed.watch()
		leading := false
		err := c.runOnLoop(ctx, func(now time.Time) []journal.Effect {
			leading = c.machine.Role() == journal.RoleLeader && len(c.machine.Membership().Voters()) > 1
			effects, _ := c.machine.TransferLeadership(now)
			return effects
		})
		if err != nil || !leading {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("coordinator: hand over: %w", ctx.Err())
		}
	}
}
