package queue

import "time"

// Config holds the limits of a queue.
type Config struct {
	// Classes is the number of priority classes. Class 0 has the highest priority.
	Classes int
	// MaxLength bounds the number of waiting requests. A full queue evicts the newest request of the longest flow.
	MaxLength int
	// AgingThreshold is the wait after which the first request of a lower class is served before the higher classes, which
	// happens at most once in minTurnsBetweenAged turns.
	AgingThreshold time.Duration
}

// minTurnsBetweenAged is the least number of turns from one that serves a class because of its age to the next.
const minTurnsBetweenAged = 4

// Request is a request to enqueue.
type Request[K comparable, V any] struct {
	// Key identifies the flow, such as a workspace. The queue is fair among flows.
	Key K
	// Weight is the relative share of the flow; values below 1 count as 1.
	Weight   int
	Class    int
	Deadline time.Time
	// Interval is the expected time between two served requests. It is used until the queue has measured it.
	Interval time.Duration
	Value    V
}

// Outcome is the outcome of a push.
type Outcome string

// Outcomes.
const (
	Accepted Outcome = "accepted"
	// TooLate means that the expected wait exceeds the deadline.
	TooLate Outcome = "tooLate"
	// Full means that the queue is full and that the request's own flow is the longest.
	Full Outcome = "full"
)

// PushResult is the result of a push.
type PushResult[K comparable, V any] struct {
	Outcome Outcome
	// Item is the handle of an accepted request.
	Item *Item[K, V]
	// Wait is the expected wait.
	Wait time.Duration
	// Evicted is a waiting request that was removed to make room and must be refused.
	Evicted *Item[K, V]
}

// Queue is a weighted fair queue with priority classes. It is not safe for concurrent use.
type Queue[K comparable, V any] struct {
	cfg             Config
	classes         []*class[K, V]
	itemsByDeadline indexHeap[*Item[K, V]]
	flowsByLength   indexHeap[lengthElement[K, V]]
	expired         []*Item[K, V]
	serviceInterval intervalEstimator
	turnsSinceAged  int
}

// New returns an empty queue.
func New[K comparable, V any](cfg Config) *Queue[K, V] {
	q := &Queue[K, V]{cfg: cfg}
	for range max(1, cfg.Classes) {
		q.classes = append(q.classes, newClass[K, V]())
	}
	q.itemsByDeadline.less = func(a, b *Item[K, V]) bool { return a.deadline.Before(b.deadline) }
	q.flowsByLength.less = func(a, b lengthElement[K, V]) bool { return a.weightedLength() > b.weightedLength() }
	return q
}

// Len returns the number of waiting requests.
func (q *Queue[K, V]) Len() int { return q.itemsByDeadline.len() }

// Push adds a request, unless its expected wait exceeds its deadline or the queue is full and its flow is the longest.
func (q *Queue[K, V]) Push(r Request[K, V], now time.Time) PushResult[K, V] {
	c := q.classes[min(max(r.Class, 0), len(q.classes)-1)]
	weight := float64(max(1, r.Weight))
	wait := q.expectedWait(c, r.Key, weight, r.Interval, now)
	if now.Add(wait).After(r.Deadline) {
		return PushResult[K, V]{Outcome: TooLate, Wait: wait}
	}
	var evicted *Item[K, V]
	if q.cfg.MaxLength > 0 && q.Len() >= q.cfg.MaxLength {
		if evicted = q.evict(c, r.Key, weight); evicted == nil {
			return PushResult[K, V]{Outcome: Full, Wait: wait}
		}
	}
	item := &Item[K, V]{Value: r.Value, key: r.Key, deadline: r.Deadline, pushedAt: now}
	f, isNew := c.flowFor(r.Key, weight)
	f.append(item)
	c.length++
	if isNew {
		c.turns.push(turnElement[K, V]{f})
		q.flowsByLength.push(lengthElement[K, V]{f})
	} else {
		q.flowsByLength.fix(lengthElement[K, V]{f})
	}
	q.itemsByDeadline.push(item)
	return PushResult[K, V]{Outcome: Accepted, Item: item, Wait: wait, Evicted: evicted}
}

// evict removes the newest request of the longest flow, unless the new request's flow would be the longest.
func (q *Queue[K, V]) evict(c *class[K, V], key K, weight float64) *Item[K, V] {
	longest := q.flowsByLength.first().flow
	length := 1 / weight
	if own := c.flows[key]; own != nil {
		length += own.weightedLength()
	}
	if longest.weightedLength() <= length {
		return nil
	}
	item := longest.tail
	q.detach(item)
	return item
}

// Remove removes a request and reports whether it was still waiting.
func (q *Queue[K, V]) Remove(item *Item[K, V]) bool {
	if item.flow == nil {
		return false
	}
	q.detach(item)
	return true
}

func (q *Queue[K, V]) detach(item *Item[K, V]) {
	f := item.flow
	f.unlink(item)
	f.class.length--
	item.flow = nil
	q.itemsByDeadline.remove(item)
	if f.length > 0 {
		q.flowsByLength.fix(lengthElement[K, V]{f})
		return
	}
	f.class.turns.remove(turnElement[K, V]{f})
	q.flowsByLength.remove(lengthElement[K, V]{f})
	f.class.closeFlow(f)
}

// Expire removes and returns the requests whose deadline has passed.
func (q *Queue[K, V]) Expire(now time.Time) []*Item[K, V] {
	for q.itemsByDeadline.len() > 0 && !q.itemsByDeadline.first().deadline.After(now) {
		item := q.itemsByDeadline.first()
		q.detach(item)
		q.expired = append(q.expired, item)
	}
	expired := q.expired
	q.expired = nil
	return expired
}

// NextDeadline returns the earliest deadline, at which Expire should be called; false if no request waits.
func (q *Queue[K, V]) NextDeadline() (time.Time, bool) {
	if q.itemsByDeadline.len() == 0 {
		return time.Time{}, false
	}
	return q.itemsByDeadline.first().deadline, true
}

// Pop removes and returns the next request to serve. Requests past their deadline are left for Expire to return.
func (q *Queue[K, V]) Pop(now time.Time) (*Item[K, V], bool) {
	q.expired = q.Expire(now)
	c := q.nextClass(now)
	if c == nil {
		q.serviceInterval.recordIdle()
		return nil, false
	}
	f := c.turns.first().flow
	item := f.head
	c.virtualTime = f.start
	f.start += 1 / f.weight
	c.turns.fix(turnElement[K, V]{f})
	q.detach(item)
	c.prune()
	q.serviceInterval.recordServed(now, q.Len() > 0)
	return item, true
}

// nextClass returns the class to serve: the highest one with requests, or a lower one whose first request has waited for
// AgingThreshold.
func (q *Queue[K, V]) nextClass(now time.Time) *class[K, V] {
	var highest *class[K, V]
	q.turnsSinceAged++
	for _, c := range q.classes {
		if c.length == 0 {
			continue
		}
		if highest == nil {
			highest = c
			continue
		}
		waited := now.Sub(c.turns.first().head.pushedAt)
		if q.cfg.AgingThreshold > 0 && waited >= q.cfg.AgingThreshold && q.turnsSinceAged >= minTurnsBetweenAged {
			q.turnsSinceAged = 0
			return c
		}
	}
	return highest
}
