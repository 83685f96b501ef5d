package failover_test

import (
	"context"
	"errors"
	"sync"

	"lentilwind.dev/lentilwind/catalog"
	"lentilwind.dev/lentilwind/journal"
)

var errNotLeading = errors.New("this process does not lead")

// store is the state that all processes share; one of them leads at a time.
type store struct {
	mu      sync.Mutex
	state   *catalog.State
	term    journal.Term
	leader  *ledger
	changed chan struct{}
	// before and after are called around the commit of a command; true moves the leadership on at that point.
	before, after func(catalog.Command) bool
	next          func()
}

func newStore() *store {
	return &store{state: &catalog.State{}, changed: make(chan struct{}), next: func() {}}
}

// lead makes one process the leader, or nobody.
func (s *store) lead(l *ledger) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leader = l
	s.term++
	s.signal()
}

func (s *store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ledger is the view of one process.
type ledger struct{ *store }

func (l *ledger) Propose(_ context.Context, command catalog.Command) (catalog.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader != l {
		return catalog.Result{}, errNotLeading
	}
	if l.before != nil && l.before(command) {
		go l.next()
		return catalog.Result{}, errNotLeading
	}
	var result catalog.Result
	l.state, result = l.state.Apply(l.state.Index()+1, command)
	l.signal()
	if l.after != nil && l.after(command) {
		go l.next()
		return catalog.Result{}, errNotLeading
	}
	return result, nil
}

func (l *ledger) State() *catalog.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

func (l *ledger) Leading() (journal.Term, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term, l.leader == l
}

func (l *ledger) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}
