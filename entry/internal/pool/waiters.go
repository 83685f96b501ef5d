package pool

import (
	"time"

	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/queue"
)

// Class decides in which order transactions that wait get connections.
type Class struct {
	Workspace inventory.WorkspaceName
	Priority  inventory.Priority
	Weight    int
}

// Limits of a pool's queue.
const (
	maxWaiting = 2_000
	ageBound   = 2 * time.Second
)

// priorities is the order of the classes.
var priorities = [...]inventory.Priority{inventory.PriorityHigh, inventory.PriorityNormal, inventory.PriorityLow}

func classOf(priority inventory.Priority) int {
	for i, p := range priorities {
		if p == priority {
			return i
		}
	}
	return len(priorities) / 2
}

// grant is what a waiting transaction gets: a connection, the right to open one, or an error.
type grant struct {
	conn *Conn
	err  error
}

type waiter struct {
	granted chan grant
	item    *queue.Item[inventory.WorkspaceName, *waiter]
}

func (w *waiter) refuse(err error) { w.granted <- grant{err: err} }

// waiters is the transactions that wait for a connection; the pool's lock guards it.
type waiters struct {
	queue *queue.Queue[inventory.WorkspaceName, *waiter]
}

func newWaiters() waiters {
	return waiters{queue: queue.New[inventory.WorkspaceName, *waiter](queue.Config{
		Classes: len(priorities), MaxLength: maxWaiting, AgingThreshold: ageBound,
	})}
}

func (q *waiters) len() int { return q.queue.Len() }

// add lets a transaction wait, or refuses it at once when its turn would come too late.
func (q *waiters) add(want *Request, now time.Time) (*waiter, error) {
	w := &waiter{granted: make(chan grant, 1)}
	pushed := q.queue.Push(queue.Request[inventory.WorkspaceName, *waiter]{
		Key: want.Class.Workspace, Weight: want.Class.Weight, Class: classOf(want.Class.Priority), Deadline: want.Deadline, Value: w,
	}, now)
	if pushed.Evicted != nil {
		pushed.Evicted.Value.refuse(ErrWaitTooLong)
	}
	if pushed.Outcome != queue.Accepted {
		return nil, ErrWaitTooLong
	}
	w.item = pushed.Item
	return w, nil
}

// next takes out the transaction whose turn it is; nil when none waits.
func (q *waiters) next(now time.Time) *waiter {
	item, found := q.queue.Pop(now)
	for _, expired := range q.queue.Expire(now) {
		expired.Value.refuse(ErrWaitTooLong)
	}
	if !found {
		return nil
	}
	return item.Value
}

func (q *waiters) remove(w *waiter) bool { return q.queue.Remove(w.item) }
