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

// waiter waits for the entry of one proposal.
type waiter struct {
	term journal.Term
	done chan<- error
}

// ask runs a function on the loop and waits until it has.
func (c *Coordinator) ask(ctx context.Context, do input) error {
	done := make(chan struct{})
	in := func(now time.Time) []journal.Effect {
		defer close(done)
		return do(now)
	}
	select {
	case c.inputs <- in:
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

// propose returns the index of a command once a majority holds it and it has been applied.
func (c *Coordinator) propose(ctx context.Context, cmd command) (journal.Index, error) {
	data, err := protocol.Encode(cmd)
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
	err := c.ask(ctx, func(now time.Time) []journal.Effect {
		position, effects, err := begin(now)
		if err != nil {
			done <- err
			return nil
		}
		index = position.Index
		c.waiters[position.Index] = waiter{term: position.Term, done: done}
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

// resolve answers the proposal whose place an applied entry has taken.
func (c *Coordinator) resolve(entry journal.Entry) {
	w, found := c.waiters[entry.Index]
	if !found {
		return
	}
	delete(c.waiters, entry.Index)
	if w.term != entry.Term {
		w.done <- &journal.NotLeaderError{Leader: c.machine.Leader()}
		return
	}
	w.done <- nil
}

// failWaiters ends all waiting when the leadership is lost.
func (c *Coordinator) failWaiters() {
	for index, w := range c.waiters {
		w.done <- errOutcomeUnknown
		delete(c.waiters, index)
	}
}

// TransferLeadership gives the leadership to another member, if this one has it, and waits until it is gone.
func (c *Coordinator) TransferLeadership(ctx context.Context) error {
	for {
		changed := c.changed.watch()
		leading := false
		err := c.ask(ctx, func(now time.Time) []journal.Effect {
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
