package logger

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the lines that are queued while the output is slow: about 1 MB.
	maxQueuedLines = 4096
	// maxLinesPerSecond bounds the lines that are accepted per second; a router handles about 100 requests per second.
	maxLinesPerSecond = 400
	// dropReportInterval is the longest time until dropped lines are reported while no line is accepted.
	dropReportInterval = time.Second
)

// Async is an io.Writer that never blocks. It drops lines beyond a rate and while its queue is full, and writes the
// number of dropped lines as a line of its own. It is safe for concurrent use.
type Async struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.Mutex
	second int64 // the Unix time that count belongs to
	count  int
	// closed reports whether lines is closed.
	closed bool
}

// NewAsync returns a writer that passes each line to out in one call of Write. The caller must close it.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go a.run()
	return a
}

// Write queues a copy of a line or drops it. It always returns the length of the line and no error.
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

// allow counts a line in the given second and reports whether it is within the rate; a.mu must be held.
func (a *Async) allow(second int64) bool {
	if second != a.second {
		a.second, a.count = second, 0
	}
	a.count++
	return a.count <= maxLinesPerSecond
}

func (a *Async) run() {
	defer close(a.done)
	// Lines may be dropped after the last accepted one; without the ticker, their number would be written only with the
	// next accepted line.
	t := time.NewTicker(dropReportInterval)
	defer t.Stop()
	for {
		select {
		case line, ok := <-a.lines:
			if !ok {
				a.reportDropped()
				return
			}
			a.write(line)
			a.reportDropped()
		case <-t.C:
			a.reportDropped()
		}
	}
}

// reportDropped writes the number of lines that have been dropped since the last report, if there are any.
func (a *Async) reportDropped() {
	if n := a.dropped.Swap(0); n > 0 {
		a.write(fmt.Appendf(nil, "time=%s level=warn event=log_lines_dropped lines=%d\n", time.Now().UTC().Format(timeFormat), n))
	}
}

func (a *Async) write(line []byte) {
	// A failure to write the log must not stop the work that is logged.
	_, _ = a.out.Write(line)
}

// closeTimeout bounds how long Close waits for an output that blocks, such as a pipe that nothing reads.
const closeTimeout = 200 * time.Millisecond

// Close writes the queued lines, but returns after 200 ms if the output is too slow. Lines that are written later are
// dropped. It may be called more than once.
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
