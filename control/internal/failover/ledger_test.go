package failover_test

import (
	"context"
	"errors"
	"sync"

	"lentilwind.dev/lentilwind/catalog"
	"lentilwind.dev/lentilwind/journal"
)

var errNotLeading = errors.New("this process does not lead")

// store is the state that all processes share; at most one of them leads.
type store struct {
	mu      sync.Mutex
	state   *catalog.State
	term    journal.Term
	leader  *ledger
	changed chan struct{}
	// failBefore and failAfter are called before and after a command is committed; true fails the proposal and calls onFail.
	failBefore, failAfter func(catalog.Command) bool
	onFail                func()
}

func newStore() *store {
	return &store{state: &catalog.State{}, changed: make(chan struct{}), onFail: func() {}}
}

// setLeader makes a process the leader of a new term; nil means none.
func (s *store) setLeader(l *ledger) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leader = l
	s.term++
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ledger is one process's view of the store.
type ledger struct{ *store }

func (l *ledger) Propose(_ context.Context, command catalog.Command) (catalog.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader != l {
		return catalog.Result{}, errNotLeading
	}
	if l.failBefore != nil && l.failBefore(command) {
		go l.onFail()
		return catalog.Result{}, errNotLeading
	}
	var result catalog.Result
	l.state, result = l.state.Apply(l.state.Index()+1, command)
	l.notify()
	if l.failAfter != nil && l.failAfter(command) {
		go l.onFail()
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
