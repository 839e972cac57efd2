package logger

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the lines that wait for a slow reader: about 1 MB.
	maxQueuedLines = 4096
	// maxLinesPerSecond bounds the lines that are written; a router takes some 100 requests a second.
	maxLinesPerSecond = 400
)

// Async is a writer that never blocks: it drops lines beyond a rate and while the reader is too slow, counts them, and
// writes the count as a line.
type Async struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.Mutex
	second int64
	count  int
	// closed says that lines is closed.
	closed bool
}

// NewAsync returns a writer to out, which receives each line in one call; it must be closed.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go a.run()
	return a
}

// Write queues a copy of a line; it never fails.
func (a *Async) Write(line []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || !a.allow(time.Now().Unix()) {
		a.dropped.Add(1)
		return len(line), nil
	}
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// allow counts a line in the current second and reports whether it is within the rate; the lock is held.
func (a *Async) allow(second int64) bool {
	if second != a.second {
		a.second, a.count = second, 0
	}
	a.count++
	return a.count <= maxLinesPerSecond
}

func (a *Async) run() {
	defer close(a.done)
	for line := range a.lines {
		a.write(line)
		if n := a.dropped.Swap(0); n > 0 {
			a.write(fmt.Appendf(nil, "time=%s level=warn event=log_lines_dropped lines=%d\n", time.Now().UTC().Format(timeFormat), n))
		}
	}
}

func (a *Async) write(line []byte) {
	// A log that cannot be written must not stop the work that it describes.
	_, _ = a.out.Write(line)
}

// closeTimeout bounds the wait for a reader that has stopped reading.
const closeTimeout = 200 * time.Millisecond

// Close writes what is queued, unless the reader takes too long; lines that are written later are dropped.
func (a *Async) Close() {
	a.mu.Lock()
	if !a.closed {
		a.closed = true
		close(a.lines)
	}
	a.mu.Unlock()
	t := time.NewTimer(closeTimeout)
	defer t.Stop()
	select {
	case <-a.done:
	case <-t.C:
	}
}
