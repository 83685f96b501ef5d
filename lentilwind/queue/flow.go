package queue

import "time"

// Item is a waiting request and the handle to remove it.
type Item[K comparable, V any] struct {
	// Value is the value that was pushed.
	Value V

	key        K
	flow       *flow[K, V]
	deadline   time.Time
	pushedAt   time.Time
	index      int
	prev, next *Item[K, V]
}

// Key returns the key of the request's flow.
func (i *Item[K, V]) Key() K { return i.key }

func (i *Item[K, V]) heapIndex() *int { return &i.index }

// flow holds the waiting requests of one key in one class, oldest first.
type flow[K comparable, V any] struct {
	key    K
	class  *class[K, V]
	weight float64
	// start is the virtual start time of the first request.
	start       float64
	head, tail  *Item[K, V]
	length      int
	turnIndex   int
	lengthIndex int
}

func (f *flow[K, V]) append(item *Item[K, V]) {
	item.flow = f
	item.prev = f.tail
	if f.tail == nil {
		f.head = item
	} else {
		f.tail.next = item
	}
	f.tail = item
	f.length++
}

func (f *flow[K, V]) unlink(item *Item[K, V]) {
	if item.prev == nil {
		f.head = item.next
	} else {
		item.prev.next = item.next
	}
	if item.next == nil {
		f.tail = item.prev
	} else {
		item.next.prev = item.prev
	}
	item.prev, item.next = nil, nil
	f.length--
}

// weightedLength returns the flow's length divided by its weight.
func (f *flow[K, V]) weightedLength() float64 { return float64(f.length) / f.weight }

// turnElement is a flow as an element of its class's heap of turns.
type turnElement[K comparable, V any] struct{ *flow[K, V] }

func (f turnElement[K, V]) heapIndex() *int { return &f.turnIndex }

// lengthElement is a flow as an element of the heap of the longest flows.
type lengthElement[K comparable, V any] struct{ *flow[K, V] }

func (f lengthElement[K, V]) heapIndex() *int { return &f.lengthIndex }

// class is one priority class, with start-time fair queueing over its flows.
type class[K comparable, V any] struct {
	flows map[K]*flow[K, V]
	turns indexHeap[turnElement[K, V]]
	// virtualTime is the start time of the request that was served last.
	virtualTime float64
	// finishTimes holds the finish times of flows that became empty, as long as they are later than virtualTime.
	finishTimes map[K]float64
	// nextPruneSize is the size of finishTimes at which it is pruned next.
	nextPruneSize int
	length        int
	weight        float64
}

// minPruneSize is the least size of finishTimes at which it is pruned.
const minPruneSize = 64

func newClass[K comparable, V any]() *class[K, V] {
	return &class[K, V]{
		flows:       make(map[K]*flow[K, V]),
		finishTimes: make(map[K]float64),
		turns: indexHeap[turnElement[K, V]]{less: func(a, b turnElement[K, V]) bool {
			return a.start < b.start
		}},
	}
}

// flowFor returns the flow of a key and whether it is new.
func (c *class[K, V]) flowFor(key K, weight float64) (*flow[K, V], bool) {
	if f := c.flows[key]; f != nil {
		return f, false
	}
	f := &flow[K, V]{key: key, class: c, weight: weight, start: max(c.virtualTime, c.finishTimes[key])}
	delete(c.finishTimes, key)
	c.flows[key] = f
	c.weight += weight
	return f, true
}

// closeFlow removes an empty flow, but keeps its finish time, so that the flow cannot start anew ahead of the others.
func (c *class[K, V]) closeFlow(f *flow[K, V]) {
	delete(c.flows, f.key)
	c.weight -= f.weight
	if len(c.flows) == 0 {
		c.weight, c.virtualTime = 0, 0
		clear(c.finishTimes)
		return
	}
	if f.start > c.virtualTime {
		c.finishTimes[f.key] = f.start
	}
}

// prune removes finish times that virtualTime has passed. It runs each time that their number has doubled.
func (c *class[K, V]) prune() {
	if len(c.finishTimes) < max(c.nextPruneSize, minPruneSize) {
		return
	}
	for key, finish := range c.finishTimes {
		if finish <= c.virtualTime {
			delete(c.finishTimes, key)
		}
	}
	c.nextPruneSize = 2 * len(c.finishTimes)
}
