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
	// DefaultFloor is above 0 so that a router with only a few requests per window may retry too.
	DefaultFloor = 3
)

// buckets is the number of buckets that the sliding window consists of.
const buckets = 10

// RetryConfig configures a RetryBudget; a zero field takes its default.
type RetryConfig struct {
	// Ratio is the maximum number of retries per first attempt, above 0 and at most 1.
	Ratio float64
	// Window is the time over which attempts are counted.
	Window time.Duration
	// Floor is the number of retries per window that are always allowed; a negative number means none.
	Floor int
}

// RetryTotals counts first attempts, allowed retries and refused retries since the budget was created.
type RetryTotals struct {
	First   uint64
	Retries uint64
	Refused uint64
}

// RetryBudget allows retries in proportion to first attempts; it is safe for concurrent use. A request that goes to the
// next candidate because an agent refused it for exceeding its load limit does not count as a retry.
type RetryBudget struct {
	ratio float64
	floor float64
	step  time.Duration

	mu sync.Mutex
	// extra is the number of retries per window set by SetExtra.
	extra   float64
	started bool
	// head is the start of the newest bucket, and current its index.
	head    time.Time
	current int
	first   [buckets]int
	retries [buckets]int
	totals  RetryTotals
}

// NewRetryBudget returns a budget without any attempts, or an error if the configuration is out of range.
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

// AllowRetry reports whether a retry is allowed, and counts it as allowed or refused.
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

// SetExtra sets the number of retries per window that are allowed in addition to those of the ratio and the floor, such
// as this process's part of an allowance for the whole fleet.
func (b *RetryBudget) SetExtra(n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.extra = n
}

// Remaining returns the number of retries that would be allowed now.
func (b *RetryBudget) Remaining(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slide(now)
	return max(int(b.allowed())-sum(b.retries), 0)
}

// allowed returns the number of retries allowed in the current window.
func (b *RetryBudget) allowed() float64 {
	return b.extra + max(b.floor, b.ratio*float64(sum(b.first)))
}

// Totals returns the counts since the budget was created.
func (b *RetryBudget) Totals() RetryTotals {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totals
}

// slide advances the window to now and clears the buckets that left it. A time before the newest bucket counts towards
// that bucket.
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
