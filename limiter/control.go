package limiter

import (
	"cmp"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Defaults of ControlConfig.
const (
	// DefaultBytesPerSecond is 8 KB/s with a KB of 1,000 bytes, the stricter reading.
	DefaultBytesPerSecond = 8000
	// DefaultBurst is the time for which unused budget is kept.
	DefaultBurst = 10 * time.Second
)

// ControlConfig configures a ControlBudget; a zero field takes its default.
type ControlConfig struct {
	// BytesPerSecond is the rate of control bytes, sent and received together.
	BytesPerSecond int
	// Burst is the time for which unused budget is kept.
	Burst time.Duration
}

// ControlTotals counts control traffic since the start of the process, in bytes.
type ControlTotals struct {
	Sent     uint64
	Received uint64
	// Skipped is the number of exchanges that the budget refused.
	Skipped uint64
}

// ControlBudget bounds control traffic; it is safe for concurrent use. Bytes are counted when they have passed, also
// beyond the budget, and exchanges are skipped until the debt is paid.
type ControlBudget struct {
	limiter *rate.Limiter

	mu     sync.Mutex
	totals ControlTotals
}

// NewControlBudget returns a full budget, or an error if the configuration is out of range.
func NewControlBudget(cfg ControlConfig) (*ControlBudget, error) {
	cfg.BytesPerSecond = cmp.Or(cfg.BytesPerSecond, DefaultBytesPerSecond)
	cfg.Burst = cmp.Or(cfg.Burst, DefaultBurst)
	burst := float64(cfg.BytesPerSecond) * cfg.Burst.Seconds()
	if cfg.BytesPerSecond < 0 || burst < 1 || burst > 1<<30 {
		return nil, fmt.Errorf("control budget of %d B/s with a burst of %v is out of range", cfg.BytesPerSecond, cfg.Burst)
	}
	return &ControlBudget{limiter: rate.NewLimiter(rate.Limit(cfg.BytesPerSecond), int(burst))}, nil
}

// Allow reports whether an exchange of an expected number of bytes may take place, and counts a skip if not.
// The bytes themselves are counted by Sent and Received.
func (b *ControlBudget) Allow(n int, now time.Time) bool {
	if b.limiter.TokensAt(now) >= float64(n) {
		return true
	}
	b.CountSkipped()
	return false
}

// CountSkipped counts something that was left out for lack of room.
func (b *ControlBudget) CountSkipped() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.totals.Skipped++
}

// AvailableShare returns the part of the whole budget that is left, from 0 to 1.
func (b *ControlBudget) AvailableShare(now time.Time) float64 {
	return min(1, max(0, b.limiter.TokensAt(now)/float64(b.limiter.Burst())))
}

// Sent counts bytes that were sent.
func (b *ControlBudget) Sent(n int, now time.Time) {
	b.spend(n, now)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.totals.Sent += uint64(max(0, n))
}

// Received counts bytes that were received.
func (b *ControlBudget) Received(n int, now time.Time) {
	b.spend(n, now)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.totals.Received += uint64(max(0, n))
}

// Balance returns the bytes that may pass now; a negative number is the debt.
func (b *ControlBudget) Balance(now time.Time) float64 {
	return b.limiter.TokensAt(now)
}

// Totals returns the counts since the start.
func (b *ControlBudget) Totals() ControlTotals {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totals
}

// spend reserves in pieces, since a reservation above the burst is refused as a whole and would not be counted.
func (b *ControlBudget) spend(n int, now time.Time) {
	for n > 0 {
		piece := min(n, b.limiter.Burst())
		b.limiter.ReserveN(now, piece)
		n -= piece
	}
}
