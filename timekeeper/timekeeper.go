package timekeeper

import (
	"context"
	"runtime"
	"sync"
	"time"
)

const (
	// recheckTime is how long an expired timer waits for data that has arrived but has not been read yet.
	recheckTime = 25 * time.Millisecond
	// maxLag is the lateness from which a callback shows that this process got no processor time.
	maxLag = 20 * time.Millisecond
	// maxRechecks bounds the rechecks of a process that is always late.
	maxRechecks = 8
)

// Config holds the settings of a Timer.
type Config struct {
	// Expired is called in its own goroutine when the time has passed.
	Expired func()
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// Timer bounds the silence of a peer; it is safe for concurrent use. After a pause of this process, its timers have
// expired before the data that has arrived meanwhile is read. A Timer that expires therefore waits once more for a short
// time, and again if it was called back late, before it calls Config.Expired.
type Timer struct {
	cfg Config

	mu       sync.Mutex
	timer    *time.Timer
	due      time.Time
	rechecks int
	stopped  bool
}

// Start returns a running timer that expires after d.
func Start(cfg Config, d time.Duration) *Timer {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	t := &Timer{cfg: cfg, due: cfg.Now().Add(d)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(d, t.expire)
	return t
}

// Reset makes the timer expire after d from now, unless it has been stopped.
func (t *Timer) Reset(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped {
		t.rechecks = 0
		t.arm(d)
	}
}

// Stop ends the timer. A call of Config.Expired that has begun goes on.
func (t *Timer) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}

// WithTimeout returns a context that ends with the given cause when the returned timer expires, and a function that releases
// both. Unlike the deadline of a context, it does not pass before what arrived during a pause of this process is read.
func WithTimeout(parent context.Context, d time.Duration, cause error) (context.Context, *Timer, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	t := Start(Config{Expired: func() { cancel(cause) }}, d)
	return ctx, t, func() {
		t.Stop()
		cancel(nil)
	}
}

// arm sets the time of the next callback; t.mu must be held.
func (t *Timer) arm(d time.Duration) {
	t.due = t.cfg.Now().Add(d)
	t.timer.Reset(d)
}

func (t *Timer) expire() {
	// Callbacks run before the goroutines that are ready, among them those that wait for the processor to read what has
	// arrived. The time they take then counts as lateness.
	runtime.Gosched()
	if t.expired() {
		t.cfg.Expired()
	}
}

// expired handles a callback, and reports whether the peer has been silent.
func (t *Timer) expired() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	late := t.cfg.Now().Sub(t.due)
	if t.stopped || late < 0 { // Before due, the timer has been reset during the callback.
		return false
	}
	if t.rechecks == 0 || late > maxLag && t.rechecks < maxRechecks {
		t.rechecks++
		t.arm(recheckTime)
		return false
	}
	return true
}
