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
	// DefaultBytesPerSecond is 8 KB/s. A KB counts as 1,000 bytes, the stricter of its two meanings.
	DefaultBytesPerSecond = 8000
	// DefaultBurst is the time for which unused budget accumulates.
	DefaultBurst = 10 * time.Second
)

// ControlConfig configures a ControlBudget; a zero field takes its default.
type ControlConfig struct {
	// BytesPerSecond is the rate of control traffic, sent and received together.
	BytesPerSecond int
	// Burst is the time for which unused budget accumulates.
	Burst time.Duration
}

// ControlTotals counts control traffic since the start of the process, in bytes.
type ControlTotals struct {
	Sent     uint64
	Received uint64
	// Skipped is the number of exchanges that were left out for lack of budget.
	Skipped uint64
}

// ControlBudget bounds control traffic; it is safe for concurrent use. Bytes are counted after they have been
// transferred, even beyond the budget; exchanges are then skipped until the balance covers them again.
type ControlBudget struct {
	limiter *rate.Limiter

	mu     sync.Mutex
	totals ControlTotals
}

// NewControlBudget returns a budget with a full burst, or an error if the configuration is out of range.
func NewControlBudget(cfg ControlConfig) (*ControlBudget, error) {
	cfg.BytesPerSecond = cmp.Or(cfg.BytesPerSecond, DefaultBytesPerSecond)
	cfg.Burst = cmp.Or(cfg.Burst, DefaultBurst)
	burst := float64(cfg.BytesPerSecond) * cfg.Burst.Seconds()
	if cfg.BytesPerSecond < 0 || burst < 1 || burst > 1<<30 {
		return nil, fmt.Errorf("control budget of %d B/s with a burst of %v is out of range", cfg.BytesPerSecond, cfg.Burst)
	}
	return &ControlBudget{limiter: rate.NewLimiter(rate.Limit(cfg.BytesPerSecond), int(burst))}, nil
}

// Allow reports whether an exchange of an expected number of bytes may take place, and counts it as skipped if not.
// The bytes themselves are counted by CountSent and CountReceived.
func (b *ControlBudget) Allow(n int, now time.Time) bool {
	if b.limiter.TokensAt(now) >= float64(n) {
		return true
	}
	b.CountSkipped()
	return false
}

// CountSkipped counts an exchange that the caller left out for lack of budget.
func (b *ControlBudget) CountSkipped() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.totals.Skipped++
}

// AvailableShare returns the fraction of the burst that is available, from 0 to 1.
func (b *ControlBudget) AvailableShare(now time.Time) float64 {
	return min(1, max(0, b.limiter.TokensAt(now)/float64(b.limiter.Burst())))
}

// CountSent counts bytes that were sent.
func (b *ControlBudget) CountSent(n int, now time.Time) {
	b.spend(n, now)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.totals.Sent += uint64(max(0, n))
}

// CountReceived counts bytes that were received.
func (b *ControlBudget) CountReceived(n int, now time.Time) {
	b.spend(n, now)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.totals.Received += uint64(max(0, n))
}

// Balance returns the number of bytes that may be transferred now; it is negative after an overdraft.
func (b *ControlBudget) Balance(now time.Time) float64 {
	return b.limiter.TokensAt(now)
}

// Totals returns the counts since the budget was created.
func (b *ControlBudget) Totals() ControlTotals {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totals
}

// spend subtracts n bytes from the budget. It does so in pieces, since the rate limiter refuses a reservation above the
// burst as a whole and would not count it.
func (b *ControlBudget) spend(n int, now time.Time) {
	for n > 0 {
		piece := min(n, b.limiter.Burst())
		b.limiter.ReserveN(now, piece)
		n -= piece
	}
}
