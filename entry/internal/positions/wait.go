package positions

import (
	"context"
	"time"

	"lentilwind.dev/lentilwind/confirm"
	"lentilwind.dev/lentilwind/group"
)

// Confirm returns once a majority of the group holds the write in its term; an error is an *Error.
func (k *Tracker) Confirm(ctx context.Context, id group.ID, term group.Term, position group.Position) error {
	_, err := k.wait(ctx, id, waiter{purpose: forWrite, term: term, position: position})
	return err
}

// ConfirmCurrent returns once a majority, asked after a time, is found to be in the term and to hold the position.
//
// A read on the primary that began after that time has then shown every write acknowledged before it began.
func (k *Tracker) ConfirmCurrent(ctx context.Context, id group.ID, term group.Term, position group.Position, since time.Time) error {
	_, err := k.wait(ctx, id, waiter{purpose: forCurrent, term: term, position: position, since: since})
	return err
}

// SessionFloor returns the floor that shows every write acknowledged before a time; an error is an *Error.
func (k *Tracker) SessionFloor(ctx context.Context, id group.ID, since time.Time) (group.Floor, error) {
	result, err := k.wait(ctx, id, waiter{purpose: forFloor, since: since})
	return result.floor, err
}

func (k *Tracker) wait(ctx context.Context, id group.ID, question waiter) (answer, error) {
	g := k.group(id)
	if g == nil {
		return answer{}, &Error{Group: id, Term: question.term, Reason: UnknownGroup}
	}
	if result, settled := g.judge(&question, k.newestTerm(id)); settled {
		return result, errorOf(id, question.term, result.verdict)
	}
	w := &question
	w.answer = make(chan answer, 1)
	g.add(w)
	// What was learned between the first look and the waiting list would otherwise be missed.
	g.update(k.newestTerm(id))
	k.wake(g)
	select {
	case result := <-w.answer:
		return result, errorOf(id, w.term, result.verdict)
	case <-ctx.Done():
		g.remove(w)
		return answer{}, &Error{Group: id, Term: w.term, Reason: TimedOut}
	}
}

func errorOf(id group.ID, term group.Term, verdict confirm.WriteState) error {
	if verdict == confirm.Superseded {
		return &Error{Group: id, Term: term, Reason: Superseded}
	}
	return nil
}

// wake lets the monitors and observers of a group's members look at its waiters.
func (k *Tracker) wake(g *groupState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, m := range g.members {
		if monitor := k.monitors[m.server]; monitor != nil {
			monitor.wake()
		}
		if o := k.observerOf[m.server]; o != nil {
			o.wake()
		}
	}
}
