package pool

import (
	"time"

	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/queue"
)

// Class determines the order in which waiting transactions get connections.
type Class struct {
	Workspace inventory.WorkspaceName
	Priority  inventory.Priority
	Weight    int
}

// Limits of the queue of waiting transactions.
const (
	maxQueueLength = 2_000
	agingThreshold = 2 * time.Second
)

// priorities lists the priorities in the order of their queue classes.
var priorities = [...]inventory.Priority{inventory.PriorityHigh, inventory.PriorityNormal, inventory.PriorityLow}

func priorityClass(priority inventory.Priority) int {
	for i, p := range priorities {
		if p == priority {
			return i
		}
	}
	return len(priorities) / 2
}

// grant ends the wait of a transaction with a connection, an error, or permission to open a connection if both are nil.
type grant struct {
	conn *Conn
	err  error
}

type waiter struct {
	granted chan grant
	item    *queue.Item[inventory.WorkspaceName, *waiter]
}

func (w *waiter) reject(err error) { w.granted <- grant{err: err} }

// waiters is the queue of transactions that wait for a connection. It is guarded by the pool's mutex.
type waiters struct {
	queue *queue.Queue[inventory.WorkspaceName, *waiter]
}

func newWaiters() waiters {
	return waiters{queue: queue.New[inventory.WorkspaceName, *waiter](queue.Config{
		Classes: len(priorities), MaxLength: maxQueueLength, AgingThreshold: agingThreshold,
	})}
}

func (q *waiters) len() int { return q.queue.Len() }

// add queues a transaction, or rejects it immediately if it would not be served before its deadline.
func (q *waiters) add(request *Request, now time.Time) (*waiter, error) {
	w := &waiter{granted: make(chan grant, 1)}
	pushed := q.queue.Push(queue.Request[inventory.WorkspaceName, *waiter]{
		Key: request.Class.Workspace, Weight: request.Class.Weight, Class: priorityClass(request.Class.Priority), Deadline: request.Deadline, Value: w,
	}, now)
	if pushed.Evicted != nil {
		pushed.Evicted.Value.reject(ErrWaitTooLong)
	}
	if pushed.Outcome != queue.Accepted {
		return nil, ErrWaitTooLong
	}
	w.item = pushed.Item
	return w, nil
}

// next removes and returns the next transaction, or nil if none is waiting. It rejects those whose deadline has passed.
func (q *waiters) next(now time.Time) *waiter {
	item, found := q.queue.Pop(now)
	for _, expired := range q.queue.Expire(now) {
		expired.Value.reject(ErrWaitTooLong)
	}
	if !found {
		return nil
	}
	return item.Value
}

func (q *waiters) remove(w *waiter) bool { return q.queue.Remove(w.item) }
