package proxy

import (
	"slices"
	"time"

	"lentilwind.dev/lentilwind/forward"
	"lentilwind.dev/lentilwind/inventory"
)

// waiter waits for its turn.
type waiter struct {
	workspace inventory.WorkspaceName
	values    map[string]string
	priority  int
	turn      chan turn
}

// turn is the right to run work: on a connection, or on one that must be opened first.
type turn struct {
	link *link
	err  error
}

// enter returns a turn, or a place in line.
func (p *pool) enter(work forward.Work) (turn, *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.gone || p.closed:
		return turn{err: errGone}, nil
	case p.down && len(p.idle) == 0:
		return turn{err: errDown}, nil
	}
	at := len(p.waiting)
	for at > 0 && p.waiting[at-1].priority > work.Priority {
		at--
	}
	if at == 0 && p.running < p.width {
		if l, ok := p.reserve(work.Workspace, work.Values); ok {
			return turn{link: l}, nil
		}
	}
	if ahead := time.Duration(at+1) * p.pace / time.Duration(p.width); ahead > work.MaxQueueWait {
		return turn{err: errTooLong}, nil
	}
	w := &waiter{workspace: work.Workspace, values: work.Values, priority: work.Priority, turn: make(chan turn, 1)}
	p.waiting = slices.Insert(p.waiting, at, w)
	return turn{}, w
}

// reserve counts one more work and takes an idle connection for it, or the room to open one; false means that there is neither.
func (p *pool) reserve(workspace inventory.WorkspaceName, values map[string]string) (*link, bool) {
	if l := p.pick(workspace, values); l != nil {
		p.running++
		return l, true
	}
	switch {
	case p.open < p.limit && !p.now().Before(p.fullUntil):
		p.open++
	case len(p.idle) > 0:
		p.idle[0].backend.Close()
		p.idle = p.idle[1:]
	case p.open == 0:
		p.open++
	default:
		return nil, false
	}
	p.running++
	return nil, true
}

// next gives turns to those in line.
func (p *pool) next() {
	for len(p.waiting) > 0 && p.running < p.width {
		w := p.waiting[0]
		if p.gone || p.closed {
			w.turn <- turn{err: errGone}
			p.waiting = p.waiting[1:]
			continue
		}
		l, ok := p.reserve(w.workspace, w.values)
		if !ok {
			return
		}
		p.waiting = p.waiting[1:]
		w.turn <- turn{link: l}
	}
}

func (p *pool) await(w *waiter, patience time.Duration) turn {
	clock := time.NewTimer(patience)
	defer clock.Stop()
	select {
	case t := <-w.turn:
		return t
	case <-clock.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if at := slices.Index(p.waiting, w); at >= 0 {
		p.waiting = slices.Delete(p.waiting, at, at+1)
		return turn{err: errNoConnection}
	}
	return <-w.turn
}
