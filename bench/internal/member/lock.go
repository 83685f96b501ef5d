package member

import (
	"context"
	"sync"
	"time"
)

// lockKey identifies a row that can be locked.
type lockKey struct{ table, workspace, identity string }

type rowLock struct {
	owner    *Transaction
	released chan struct{}
}

type locks struct {
	mu   *sync.Mutex
	held map[lockKey]*rowLock
}

func newLocks() locks { return locks{mu: new(sync.Mutex), held: make(map[lockKey]*rowLock)} }

// acquire takes a row lock, waiting up to the timeout for another transaction to release it.
func (l locks) acquire(ctx context.Context, owner *Transaction, key lockKey, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		released := l.tryAcquire(owner, key)
		if released == nil {
			return nil
		}
		select {
		case <-released:
		case <-timer.C:
			return &Error{Code: CodeLockTimeout, Message: "canceling statement due to lock timeout"}
		case <-ctx.Done():
			return &Error{Code: CodeQueryCanceled, Message: "canceling statement due to user request"}
		}
	}
}

// tryAcquire takes the lock and returns nil, or returns a channel that is closed when the lock is released.
func (l locks) tryAcquire(owner *Transaction, key lockKey) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	lock := l.held[key]
	if lock == nil {
		l.held[key] = &rowLock{owner: owner, released: make(chan struct{})}
		owner.locked = append(owner.locked, key)
		return nil
	}
	if lock.owner == owner {
		return nil
	}
	return lock.released
}

func (l locks) release(owner *Transaction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, key := range owner.locked {
		close(l.held[key].released)
		delete(l.held, key)
	}
	owner.locked = nil
}
