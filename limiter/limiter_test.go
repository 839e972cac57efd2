package limiter_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"clementineramp/limiter"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func newRetry(cfg limiter.RetryConfig) *limiter.RetryBudget {
	b, err := limiter.NewRetryBudget(cfg)
	if err != nil {
		panic(err)
	}
	return b
}

func newControl(cfg limiter.ControlConfig) *limiter.ControlBudget {
	b, err := limiter.NewControlBudget(cfg)
	if err != nil {
		panic(err)
	}
	return b
}

// allowedRetries requests n retries and returns the number of those allowed.
func allowedRetries(b *limiter.RetryBudget, n int, now time.Time) int {
	got := 0
	for range n {
		if b.AllowRetry(now) {
			got++
		}
	}
	return got
}

// Guards against retry storms, and against a router with few requests that is never allowed to retry.
func TestRetryBudget(t *testing.T) {
	b := newRetry(limiter.RetryConfig{})
	require.Equal(t, 3, allowedRetries(b, 10, start), "floor")
	for range 100 {
		b.CountFirst(start)
	}
	require.Equal(t, 7, allowedRetries(b, 100, start), "a tenth of 100, less the 3 retries of the floor")
	require.Equal(t, 0, allowedRetries(b, 10, start.Add(9*time.Second)))
	require.Equal(t, 3, allowedRetries(b, 10, start.Add(10*time.Second)), "floor of a new window")
	require.Equal(t, 0, allowedRetries(b, 10, start), "a time in the past allows no retries")
	require.Equal(t, limiter.RetryTotals{First: 100, Retries: 13, Refused: 127}, b.Totals())
	require.Equal(t, 0, allowedRetries(newRetry(limiter.RetryConfig{Floor: -1}), 10, start))
}

// Guards against a sliding window that allows more retries than its ratio at some position within a bucket.
func TestRetryRatioHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newRetry(limiter.RetryConfig{})
		type attempt struct {
			at    time.Duration
			retry bool
		}
		var counted []attempt
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "attempts") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "gap")) * time.Millisecond
			if rapid.IntRange(0, 3).Draw(t, "kind") > 0 {
				b.CountFirst(start.Add(now))
				counted = append(counted, attempt{at: now})
				continue
			}
			if !b.AllowRetry(start.Add(now)) {
				continue
			}
			counted = append(counted, attempt{now, true})
			retries, first := 0, 0
			for _, a := range counted {
				if a.at > now-9*time.Second && a.retry {
					retries++
				}
				if a.at > now-10*time.Second && !a.retry {
					first++
				}
			}
			require.LessOrEqual(t, float64(retries), max(3, 0.1*float64(first)))
		}
	})
}

// Guards against control traffic in excess of the budget, and against bytes that are not counted.
func TestControlBudget(t *testing.T) {
	b := newControl(limiter.ControlConfig{})
	require.True(t, b.Allow(80000, start))
	require.False(t, b.Allow(80001, start))
	b.CountSent(60000, start)
	b.CountReceived(30000, start)
	require.False(t, b.Allow(1, start), "negative balance")
	require.InDelta(t, -10000, b.Balance(start), 1e-6)
	require.False(t, b.Allow(1, start.Add(time.Second)))
	require.True(t, b.Allow(6000, start.Add(2*time.Second)))
	b.CountSent(200000, start.Add(2*time.Second))
	require.InDelta(t, -194000, b.Balance(start.Add(2*time.Second)), 1e-6, "bytes above the burst are not fully counted")
	require.InDelta(t, 80000, b.Balance(start.Add(time.Hour)), 1e-6, "unused budget accumulates beyond the burst")
	b.CountReceived(-5, start)
	require.Equal(t, limiter.ControlTotals{Sent: 260000, Received: 30000, Skipped: 3}, b.Totals())
}

// Guards against a long-term rate above the budget, whatever the sizes of the exchanges.
func TestControlRateHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newControl(limiter.ControlConfig{})
		now := start
		passed := 0
		for range rapid.IntRange(1, 100).Draw(t, "exchanges") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "gap")) * time.Millisecond)
			n := rapid.IntRange(1, 40000).Draw(t, "bytes")
			if b.Allow(n, now) {
				b.CountSent(n/2, now)
				b.CountReceived(n-n/2, now)
				passed += n
			}
			require.LessOrEqual(t, float64(passed), 80000+8000*now.Sub(start).Seconds()+1)
		}
	})
}

func TestInvalidConfig(t *testing.T) {
	for _, cfg := range []limiter.RetryConfig{{Ratio: -1}, {Ratio: 2}, {Window: 5}, {Window: -1}} {
		_, err := limiter.NewRetryBudget(cfg)
		require.Error(t, err, "%+v", cfg)
	}
	for _, cfg := range []limiter.ControlConfig{{BytesPerSecond: -1}, {Burst: -1}, {Burst: time.Nanosecond}, {BytesPerSecond: 1 << 40}} {
		_, err := limiter.NewControlBudget(cfg)
		require.Error(t, err, "%+v", cfg)
	}
}

func BenchmarkRetry(b *testing.B) {
	budget := newRetry(limiter.RetryConfig{})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := start.Add(time.Duration(i) * time.Millisecond)
		budget.CountFirst(now)
		budget.AllowRetry(now)
	}
}

func BenchmarkControl(b *testing.B) {
	budget := newControl(limiter.ControlConfig{})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := start.Add(time.Duration(i) * time.Millisecond)
		if budget.Allow(300, now) {
			budget.CountSent(300, now)
		}
	}
}

func TestRetriesRemaining(t *testing.T) {
	b, err := limiter.NewRetryBudget(limiter.RetryConfig{Ratio: 0.5, Floor: -1})
	require.NoError(t, err)
	now := time.Unix(1000, 0)
	require.Zero(t, b.Remaining(now))
	for range 8 {
		b.CountFirst(now)
	}
	b.SetExtra(2)
	require.Equal(t, 6, b.Remaining(now))
	require.True(t, b.AllowRetry(now))
	require.Equal(t, 5, b.Remaining(now))
	require.Equal(t, 2, b.Remaining(now.Add(time.Minute)))
}
