package queue

// heapElement is an element that stores its index in a heap.
type heapElement interface {
	comparable
	// heapIndex returns a pointer to the stored index.
	heapIndex() *int
}

// notInHeap is the index of an element that is not in a heap.
const notInHeap = -1

// indexHeap is a binary heap whose elements can be removed and reordered.
type indexHeap[E heapElement] struct {
	elements []E
	less     func(a, b E) bool
}

func (h *indexHeap[E]) len() int { return len(h.elements) }

func (h *indexHeap[E]) first() E { return h.elements[0] }

func (h *indexHeap[E]) push(e E) {
	*e.heapIndex() = len(h.elements)
	h.elements = append(h.elements, e)
	h.up(len(h.elements) - 1)
}

func (h *indexHeap[E]) remove(e E) {
	i := *e.heapIndex()
	last := len(h.elements) - 1
	h.swap(i, last)
	var zero E
	h.elements[last] = zero
	h.elements = h.elements[:last]
	*e.heapIndex() = notInHeap
	if i < last {
		h.fix(h.elements[i])
	}
}

// fix restores the heap order after an element's order has changed.
func (h *indexHeap[E]) fix(e E) {
	if !h.down(*e.heapIndex()) {
		h.up(*e.heapIndex())
	}
}

func (h *indexHeap[E]) swap(i, j int) {
	h.elements[i], h.elements[j] = h.elements[j], h.elements[i]
	*h.elements[i].heapIndex() = i
	*h.elements[j].heapIndex() = j
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
