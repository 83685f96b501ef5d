package pool

import (
	"context"
	"slices"
	"time"

	"lentilwind.dev/lentilwind/inventory"
)

// Class decides in which order transactions that wait get connections.
type Class struct {
	Workspace inventory.WorkspaceName
	Priority  inventory.Priority
	Weight    int
}

// grant is what a waiting transaction gets: a connection, the right to open one, or an error.
type grant struct {
	conn *Conn
	err  error
}

type waiter struct {
	want    *Want
	granted chan grant
}

// waiters is the transactions that wait for a connection.
type waiters struct {
	list []*waiter
}

func (q *waiters) len() int { return len(q.list) }

func (q *waiters) add(want *Want, _ time.Time, _ context.Context) (*waiter, error) {
	w := &waiter{want: want, granted: make(chan grant, 1)}
	q.list = append(q.list, w)
	return w, nil
}

func (q *waiters) next(time.Time, *Conn) *waiter {
	if len(q.list) == 0 {
		return nil
	}
	w := q.list[0]
	q.list = q.list[1:]
	return w
}

func (q *waiters) remove(w *waiter) bool {
	i := slices.Index(q.list, w)
	if i < 0 {
		return false
	}
	q.list = slices.Delete(q.list, i, i+1)
	return true
}
