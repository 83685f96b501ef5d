package queue

import "time"

// Config sets a queue's limits.
type Config struct {
	// Classes is the number of priority classes; class 0 goes first.
	Classes int
	// MaxLength bounds the waiting requests; a full queue gives up the newest request of the longest flow.
	MaxLength int
	// AgingThreshold is the wait after which a class gets a turn before the higher ones, one turn in agedShare at most.
	AgingThreshold time.Duration
}

// agedShare is the least number of turns between two that go to a class for its age.
const agedShare = 4

// Request is one request for the queue.
type Request[K comparable, V any] struct {
	// Key names the flow, such as a workspace, among which the queue is fair.
	Key K
	// Weight is the share of the flow; below 1 stands for 1.
	Weight   int
	Class    int
	Deadline time.Time
	Value    V
}

// Outcome tells what became of a pushed request.
type Outcome string

// The outcomes.
const (
	Accepted Outcome = "accepted"
	// TooLate means that the expected wait would pass the deadline.
	TooLate Outcome = "tooLate"
	// Full means that the queue is full and the request's own flow is the longest.
	Full Outcome = "full"
)

// PushResult is the result of a push.
type PushResult[K comparable, V any] struct {
	Outcome Outcome
	// Item is the handle of an accepted request.
	Item *Item[K, V]
	// Wait is the expected wait.
	Wait time.Duration
	// Evicted is a waiting request that made room and must be refused.
	Evicted *Item[K, V]
}

// Queue is a weighted fair queue with priority classes; it has no lock of its own.
type Queue[K comparable, V any] struct {
	cfg       Config
	classes   []*class[K, V]
	deadlines indexHeap[*Item[K, V]]
	longest   indexHeap[byLength[K, V]]
	expired   []*Item[K, V]
	pace      pace
	sinceAged int
}

// New returns an empty queue.
func New[K comparable, V any](cfg Config) *Queue[K, V] {
	q := &Queue[K, V]{cfg: cfg}
	for range max(1, cfg.Classes) {
		q.classes = append(q.classes, newClass[K, V]())
	}
	q.deadlines.less = func(a, b *Item[K, V]) bool { return a.deadline.Before(b.deadline) }
	q.longest.less = func(a, b byLength[K, V]) bool { return a.share() > b.share() }
	return q
}

// Len returns the number of waiting requests.
func (q *Queue[K, V]) Len() int { return q.deadlines.len() }

// Push adds a request unless it would wait beyond its deadline.
func (q *Queue[K, V]) Push(r Request[K, V], now time.Time) PushResult[K, V] {
	c := q.classes[min(max(r.Class, 0), len(q.classes)-1)]
	weight := float64(max(1, r.Weight))
	wait := q.expectedWait(c, r.Key, weight, now)
	if now.Add(wait).After(r.Deadline) {
		return PushResult[K, V]{Outcome: TooLate, Wait: wait}
	}
	var evicted *Item[K, V]
	if q.cfg.MaxLength > 0 && q.Len() >= q.cfg.MaxLength {
		if evicted = q.makeRoom(c, r.Key, weight); evicted == nil {
			return PushResult[K, V]{Outcome: Full, Wait: wait}
		}
	}
	item := &Item[K, V]{Value: r.Value, key: r.Key, deadline: r.Deadline, pushed: now}
	f, isNew := c.open(r.Key, weight)
	f.append(item)
	c.length++
	if isNew {
		c.turns.push(byTurn[K, V]{f})
		q.longest.push(byLength[K, V]{f})
	} else {
		q.longest.fix(byLength[K, V]{f})
	}
	q.deadlines.push(item)
	return PushResult[K, V]{Outcome: Accepted, Item: item, Wait: wait, Evicted: evicted}
}

// makeRoom takes out the newest request of the longest flow, unless the new request's flow would be the longest.
func (q *Queue[K, V]) makeRoom(c *class[K, V], key K, weight float64) *Item[K, V] {
	longest := q.longest.first().flow
	share := 1 / weight
	if own := c.flows[key]; own != nil {
		share += own.share()
	}
	if longest.share() <= share {
		return nil
	}
	item := longest.tail
	q.take(item)
	return item
}

// Remove takes a request out and reports whether it was still waiting.
func (q *Queue[K, V]) Remove(item *Item[K, V]) bool {
	if item.flow == nil {
		return false
	}
	q.take(item)
	return true
}

func (q *Queue[K, V]) take(item *Item[K, V]) {
	f := item.flow
	f.unlink(item)
	f.class.length--
	item.flow = nil
	q.deadlines.remove(item)
	if f.length > 0 {
		q.longest.fix(byLength[K, V]{f})
		return
	}
	f.class.turns.remove(byTurn[K, V]{f})
	q.longest.remove(byLength[K, V]{f})
	f.class.close(f)
}

// Expire takes out and returns the requests whose deadline has passed.
func (q *Queue[K, V]) Expire(now time.Time) []*Item[K, V] {
	for q.deadlines.len() > 0 && !q.deadlines.first().deadline.After(now) {
		item := q.deadlines.first()
		q.take(item)
		q.expired = append(q.expired, item)
	}
	expired := q.expired
	q.expired = nil
	return expired
}

// NextDeadline returns the time of the next Expire; false while nothing waits.
func (q *Queue[K, V]) NextDeadline() (time.Time, bool) {
	if q.deadlines.len() == 0 {
		return time.Time{}, false
	}
	return q.deadlines.first().deadline, true
}

// Pop takes out the request whose turn it is; those past their deadline are left to Expire.
func (q *Queue[K, V]) Pop(now time.Time) (*Item[K, V], bool) {
	q.expired = q.Expire(now)
	c := q.turn(now)
	if c == nil {
		q.pace.idle()
		return nil, false
	}
	f := c.turns.first().flow
	item := f.head
	c.virtual = f.start
	f.start += 1 / f.weight
	c.turns.fix(byTurn[K, V]{f})
	q.take(item)
	c.prune()
	q.pace.served(now, q.Len() > 0)
	return item, true
}

// turn returns the class to serve: the highest one, or one that has waited too long.
func (q *Queue[K, V]) turn(now time.Time) *class[K, V] {
	var highest *class[K, V]
	q.sinceAged++
	for _, c := range q.classes {
		if c.length == 0 {
			continue
		}
		if highest == nil {
			highest = c
			continue
		}
		waited := now.Sub(c.turns.first().head.pushed)
		if q.cfg.AgingThreshold > 0 && waited >= q.cfg.AgingThreshold && q.sinceAged >= agedShare {
			q.sinceAged = 0
			return c
		}
	}
	return highest
}
