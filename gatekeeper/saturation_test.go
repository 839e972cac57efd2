package gatekeeper_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/gatekeeper"
)

// TestSaturationOfASlowHost guards against missing a slow host. When one host ran eight times slower while the others
// restarted in turn, it continued to count as ready, and nearly all responses were late.
func TestSaturationOfASlowHost(t *testing.T) {
	const ms = time.Millisecond
	repeat := func(lag time.Duration, n int) []time.Duration {
		list := make([]time.Duration, n)
		for i := range list {
			list[i] = lag
		}
		return list
	}
	// throttled is a host whose processor quota is used up in each period of a tenth of a second.
	var throttled []time.Duration
	for range 40 {
		throttled = append(throttled, 1*ms, 70*ms)
	}
	for _, c := range []struct {
		name string
		lags []time.Duration
		want bool
	}{
		{"unsaturated", repeat(3*ms, 100), false},
		{"slow", repeat(150*ms, 20), true},
		{"single pause", append(append(repeat(2*ms, 10), 4*time.Second), repeat(2*ms, 10)...), false},
		{"extremely slow", repeat(900*ms, 2), true},
		{"throttled by a quota", throttled, false},
		{"slow, then recovered", append(repeat(200*ms, 40), repeat(2*ms, 40)...), false},
		{"slow, then slightly better", append(repeat(200*ms, 40), repeat(40*ms, 40)...), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s gatekeeper.Saturation
			for _, lag := range c.lags {
				s.Observe(lag)
			}
			saturated, _ := s.Saturated()
			require.Equal(t, c.want, saturated)
		})
	}
}
