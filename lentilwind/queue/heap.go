package queue

// indexed is an element that knows its place in a heap.
type indexed interface {
	comparable
	// place returns where the element keeps its index.
	place() *int
}

// notQueued is the place of an element that is in no heap.
const notQueued = -1

// indexHeap is a binary heap whose elements can be removed and moved.
type indexHeap[E indexed] struct {
	elements []E
	less     func(a, b E) bool
}

func (h *indexHeap[E]) len() int { return len(h.elements) }

func (h *indexHeap[E]) first() E { return h.elements[0] }

func (h *indexHeap[E]) push(e E) {
	*e.place() = len(h.elements)
	h.elements = append(h.elements, e)
	h.up(len(h.elements) - 1)
}

func (h *indexHeap[E]) remove(e E) {
	i := *e.place()
	last := len(h.elements) - 1
	h.swap(i, last)
	var zero E
	h.elements[last] = zero
	h.elements = h.elements[:last]
	*e.place() = notQueued
	if i < last {
		h.fix(h.elements[i])
	}
}

// fix moves an element whose order has changed.
func (h *indexHeap[E]) fix(e E) {
	if !h.down(*e.place()) {
		h.up(*e.place())
	}
}

func (h *indexHeap[E]) swap(i, j int) {
	h.elements[i], h.elements[j] = h.elements[j], h.elements[i]
	*h.elements[i].place() = i
	*h.elements[j].place() = j
}

func (h *indexHeap[E]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.elements[i], h.elements[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *indexHeap[E]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.elements) {
			break
		}
		if right := child + 1; right < len(h.elements) && h.less(h.elements[right], h.elements[child]) {
			child = right
		}
		if !h.less(h.elements[child], h.elements[i]) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > start
}
