package admitter

import "container/heap"

// indexHeap is a heap whose items store their position, so that any item can be updated or removed.
type indexHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	// index returns a pointer to the position field of an item; the position is -1 while the item is not in the heap.
	index func(T) *int
}

func (h *indexHeap[T]) Len() int { return len(h.items) }

func (h *indexHeap[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

func (h *indexHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]) = i
	*h.index(h.items[j]) = j
}

// Push implements heap.Interface; add has already appended the item.
func (h *indexHeap[T]) Push(any) {}

// Pop implements heap.Interface; it returns nil to avoid boxing the item in an interface.
func (h *indexHeap[T]) Pop() any {
	last := len(h.items) - 1
	*h.index(h.items[last]) = -1
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	return nil
}

func (h *indexHeap[T]) add(x T) {
	*h.index(x) = len(h.items)
	h.items = append(h.items, x)
	heap.Push(h, nil)
}

func (h *indexHeap[T]) remove(x T) {
	if i := *h.index(x); i >= 0 {
		heap.Remove(h, i)
	}
}

func (h *indexHeap[T]) fix(x T) {
	if i := *h.index(x); i >= 0 {
		heap.Fix(h, i)
	}
}

func (h *indexHeap[T]) first() (T, bool) {
	if len(h.items) == 0 {
		var zero T
		return zero, false
	}
	return h.items[0], true
}
