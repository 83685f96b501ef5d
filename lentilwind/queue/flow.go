package queue

import "time"

// Item is a waiting request; it is the handle for removing it.
type Item[K comparable, V any] struct {
	// Value is what was pushed.
	Value V

	key        K
	flow       *flow[K, V]
	deadline   time.Time
	pushed     time.Time
	index      int
	prev, next *Item[K, V]
}

// Key returns the key that the request was pushed under.
func (i *Item[K, V]) Key() K { return i.key }

func (i *Item[K, V]) place() *int { return &i.index }

// flow is the waiting requests of one key in one class, oldest first.
type flow[K comparable, V any] struct {
	key    K
	class  *class[K, V]
	weight float64
	// start is the virtual time at which the first request may begin.
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

// share is the flow's length in relation to its weight.
func (f *flow[K, V]) share() float64 { return float64(f.length) / f.weight }

// byTurn is a flow in the heap of its class's turns.
type byTurn[K comparable, V any] struct{ *flow[K, V] }

func (f byTurn[K, V]) place() *int { return &f.turnIndex }

// byLength is a flow in the heap of the longest flows.
type byLength[K comparable, V any] struct{ *flow[K, V] }

func (f byLength[K, V]) place() *int { return &f.lengthIndex }

// class is one priority class with start-time fair queueing over its flows.
type class[K comparable, V any] struct {
	flows map[K]*flow[K, V]
	turns indexHeap[byTurn[K, V]]
	// virtual is the start of the request that was served last.
	virtual float64
	// finished keeps the virtual end of flows that became empty while it lies ahead of the virtual time.
	finished map[K]float64
	// pruneAt is the size of finished at which it is looked through again.
	pruneAt int
	length  int
	weight  float64
}

// minPrune is the least number of kept ends that are looked through.
const minPrune = 64

func newClass[K comparable, V any]() *class[K, V] {
	return &class[K, V]{
		flows:    make(map[K]*flow[K, V]),
		finished: make(map[K]float64),
		turns: indexHeap[byTurn[K, V]]{less: func(a, b byTurn[K, V]) bool {
			return a.start < b.start
		}},
	}
}

// open returns the flow of a key, and whether it is new.
func (c *class[K, V]) open(key K, weight float64) (*flow[K, V], bool) {
	if f := c.flows[key]; f != nil {
		return f, false
	}
	f := &flow[K, V]{key: key, class: c, weight: weight, start: max(c.virtual, c.finished[key])}
	delete(c.finished, key)
	c.flows[key] = f
	c.weight += weight
	return f, true
}

// close forgets an empty flow, but not what it has used ahead of the others.
func (c *class[K, V]) close(f *flow[K, V]) {
	delete(c.flows, f.key)
	c.weight -= f.weight
	if len(c.flows) == 0 {
		c.weight, c.virtual = 0, 0
		clear(c.finished)
		return
	}
	if f.start > c.virtual {
		c.finished[f.key] = f.start
	}
}

// prune drops ends that the virtual time has passed, each time that the kept ones have doubled.
func (c *class[K, V]) prune() {
	if len(c.finished) < max(c.pruneAt, minPrune) {
		return
	}
	for key, end := range c.finished {
		if end <= c.virtual {
			delete(c.finished, key)
		}
	}
	c.pruneAt = 2 * len(c.finished)
}
