package positions

import (
	"context"
	"time"

	"lentilwind.dev/lentilwind/confirm"
	"lentilwind.dev/lentilwind/group"
)

// Confirm waits until a majority of the group has received the write in its term. It returns an *Error on failure.
func (t *Tracker) Confirm(ctx context.Context, id group.ID, term group.Term, position group.Position) error {
	_, err := t.wait(ctx, id, waiter{purpose: forWrite, term: term, position: position})
	return err
}

// ConfirmCurrent waits until a majority, asked after since, is in the term and has received the position.
//
// On success, a read on the primary that began after since includes every write that was acknowledged before the read began.
func (t *Tracker) ConfirmCurrent(ctx context.Context, id group.ID, term group.Term, position group.Position, since time.Time) error {
	_, err := t.wait(ctx, id, waiter{purpose: forCurrent, term: term, position: position, since: since})
	return err
}

// SessionFloor returns the floor that covers every write acknowledged before since. It returns an *Error on failure.
func (t *Tracker) SessionFloor(ctx context.Context, id group.ID, since time.Time) (group.Floor, error) {
	result, err := t.wait(ctx, id, waiter{purpose: forFloor, since: since})
	return result.floor, err
}

func (t *Tracker) wait(ctx context.Context, id group.ID, condition waiter) (waitResult, error) {
	g := t.group(id)
	if g == nil {
		return waitResult{}, &Error{Group: id, Term: condition.term, Reason: UnknownGroup}
	}
	if result, decided := g.evaluate(&condition, t.newestTerm(id)); decided {
		return result, confirmError(id, condition.term, result.state)
	}
	w := &condition
	w.answer = make(chan waitResult, 1)
	g.add(w)
	// Evaluate again: a status may have arrived between the first evaluation and the registration of the waiter.
	g.resolveWaiters(t.newestTerm(id))
	t.wake(g)
	select {
	case result := <-w.answer:
		return result, confirmError(id, w.term, result.state)
	case <-ctx.Done():
		g.remove(w)
		return waitResult{}, &Error{Group: id, Term: w.term, Reason: TimedOut}
	}
}

func confirmError(id group.ID, term group.Term, state confirm.WriteState) error {
	if state == confirm.Superseded {
		return &Error{Group: id, Term: term, Reason: Superseded}
	}
	return nil
}

// wake wakes the monitors and observers of the group's members.
func (t *Tracker) wake(g *groupState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range g.members {
		if monitor := t.monitors[m.server]; monitor != nil {
			monitor.wake()
		}
		if o := t.observerOf[m.server]; o != nil {
			o.wake()
		}
	}
}
