package ticketer

// fifo is a first-in, first-out queue whose memory is proportional to its length.
type fifo[T any] struct {
	items []T
	head  int
}

func (f *fifo[T]) len() int {
	return len(f.items) - f.head
}

func (f *fifo[T]) push(v T) {
	f.items = append(f.items, v)
}

func (f *fifo[T]) first() T {
	return f.items[f.head]
}

func (f *fifo[T]) pop() T {
	var zero T
	v := f.items[f.head]
	f.items[f.head] = zero
	f.head++
	// Moving the remaining items only when at least half of the slice is free keeps the amortised cost per item constant.
	if 2*f.head >= len(f.items) {
		n := copy(f.items, f.items[f.head:])
		clear(f.items[n:])
		f.items = f.items[:n]
		f.head = 0
	}
	return v
}
