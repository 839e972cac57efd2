package limiter

import (
	"cmp"
	"fmt"
	"sync"
	"time"
)

// Defaults of RetryConfig.
const (
	DefaultRatio  = 0.1
	DefaultWindow = 10 * time.Second
	// DefaultFloor lets a router with a few requests per window retry at all.
	DefaultFloor = 3
)

// buckets is the number of steps in which the window slides.
const buckets = 10

// RetryConfig configures a RetryBudget; a zero field takes its default.
type RetryConfig struct {
	// Ratio is the number of retries per first attempt.
	Ratio float64
	// Window is the time over which attempts are counted.
	Window time.Duration
	// Floor is the number of retries per window that are always granted; a negative number means none.
	Floor int
}

// RetryTotals counts attempts since the start of the process.
type RetryTotals struct {
	First   uint64
	Retries uint64
	Refused uint64
}

// RetryBudget grants retries in proportion to first attempts; it is safe for concurrent use.
// A request that goes to the next candidate because an agent refused it by the load bound is no retry.
type RetryBudget struct {
	ratio float64
	floor float64
	step  time.Duration

	mu sync.Mutex
	// extra is granted beside the ratio.
	extra   float64
	started bool
	// head is the start of the newest bucket, which is at index at.
	head    time.Time
	current int
	first   [buckets]int
	retries [buckets]int
	totals  RetryTotals
}

// NewRetryBudget returns a budget without history, or an error if the configuration is out of range.
func NewRetryBudget(cfg RetryConfig) (*RetryBudget, error) {
	cfg.Ratio = cmp.Or(cfg.Ratio, DefaultRatio)
	cfg.Window = cmp.Or(cfg.Window, DefaultWindow)
	cfg.Floor = cmp.Or(cfg.Floor, DefaultFloor)
	if !(cfg.Ratio > 0 && cfg.Ratio <= 1) {
		return nil, fmt.Errorf("retry ratio %g is not within 0 to 1", cfg.Ratio)
	}
	if cfg.Window < buckets {
		return nil, fmt.Errorf("retry window %v is too short", cfg.Window)
	}
	return &RetryBudget{
		ratio: cfg.Ratio,
		floor: float64(max(0, cfg.Floor)),
		step:  cfg.Window / buckets,
	}, nil
}

// CountFirst counts a first attempt.
func (b *RetryBudget) CountFirst(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slide(now)
	b.first[b.current]++
	b.totals.First++
}

// AllowRetry reports whether a retry is granted, and counts it if so.
func (b *RetryBudget) AllowRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slide(now)
	if float64(sum(b.retries)+1) > b.allowed() {
		b.totals.Refused++
		return false
	}
	b.retries[b.current]++
	b.totals.Retries++
	return true
}

// SetExtra sets the number of retries in a window that are granted beside the ratio, such as this process's part of
// an allowance of the whole fleet.
func (b *RetryBudget) SetExtra(n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.extra = n
}

// Remaining returns the number of retries that would be granted now.
func (b *RetryBudget) Remaining(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slide(now)
	return max(int(b.allowed())-sum(b.retries), 0)
}

// allowed returns the number of retries in a window.
func (b *RetryBudget) allowed() float64 {
	return b.extra + max(b.floor, b.ratio*float64(sum(b.first)))
}

// Totals returns the counts since the start.
func (b *RetryBudget) Totals() RetryTotals {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totals
}

// slide empties the buckets that left the window. A time before the newest bucket counts as that bucket.
func (b *RetryBudget) slide(now time.Time) {
	if !b.started {
		b.started = true
		b.head = now
		return
	}
	steps := now.Sub(b.head) / b.step
	if steps <= 0 {
		return
	}
	b.head = b.head.Add(steps * b.step)
	for range min(steps, buckets) {
		b.current = (b.current + 1) % buckets
		b.first[b.current] = 0
		b.retries[b.current] = 0
	}
}

func sum(counts [buckets]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
