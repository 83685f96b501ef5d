package coordinator

import "sync"

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
	n.ch = make(chan struct{})
}

func (n *notifier) watch() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ch
}
