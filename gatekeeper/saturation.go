package gatekeeper

import (
	"context"
	"runtime"
	"sync"
	"time"
)

const (
	// probeInterval is the interval between measurements of the wake-up lag: how late a timer wakes the process.
	probeInterval = 50 * time.Millisecond
	// saturatedLag is the mean lag above which a process is saturated: the lag would then add nearly as much to a
	// response time as the latency objectives of the fastest requests allow, 100 to 150 ms. It is no longer saturated
	// below recoveredLag.
	saturatedLag = 60 * time.Millisecond
	recoveredLag = 20 * time.Millisecond
	// maxLag caps a single measurement, so that one pause of the process does not count as saturation.
	maxLag = 250 * time.Millisecond
	// lagWindow is the time constant of the moving mean, and maxWeight caps the weight of one measurement in it: two
	// long lags in a row make a process saturated, one does not.
	lagWindow = 500 * time.Millisecond
	maxWeight = 0.2
)

// Saturation detects from the wake-up lag of a process whether its host gives it less processor time than it needs. Its
// zero value is unsaturated. It is safe for concurrent use.
type Saturation struct {
	mu        sync.Mutex
	mean      time.Duration
	saturated bool
}

// Observe adds a measurement of the lag, and reports the new state and whether it has changed.
func (s *Saturation) Observe(lag time.Duration) (saturated, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lag = max(lag, 0)
	weight := min(float64(probeInterval+lag)/float64(lagWindow), maxWeight)
	s.mean += time.Duration(weight * float64(min(lag, maxLag)-s.mean))
	before := s.saturated
	switch {
	case s.mean > saturatedLag:
		s.saturated = true
	case s.mean < recoveredLag:
		s.saturated = false
	}
	return s.saturated, s.saturated != before
}

// Saturated reports whether the process is saturated, and the mean lag.
func (s *Saturation) Saturated() (saturated bool, mean time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.saturated, s.mean
}

// measureSaturation measures the wake-up lag at each probeInterval until ctx ends.
func (g *Gateway) measureSaturation(ctx context.Context) {
	t := time.NewTimer(probeInterval)
	defer t.Stop()
	for due := time.Now().Add(probeInterval); ; {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		// A goroutine woken by a timer runs before other runnable ones; yielding lets the lag include their wait.
		runtime.Gosched()
		now := time.Now()
		if saturated, changed := g.saturation.Observe(now.Sub(due)); changed {
			_, mean := g.saturation.Saturated()
			g.log.Warn("saturation_changed", "saturated", saturated, "mean_lag_ms", mean.Milliseconds(), "running", g.proxier.Running(),
				"unsaturated_peers", g.relayer.Unsaturated())
		}
		due = now.Add(probeInterval)
		g.pulse.Beat(now, due)
		t.Reset(probeInterval)
	}
}

// divertsCallers reports whether callers should use other gateways: this one is saturated, and more than half of all
// gateways are live peers that are not.
func (g *Gateway) divertsCallers() bool {
	saturated, _ := g.saturation.Saturated()
	return saturated && 2*g.relayer.Unsaturated() > g.relayer.Gateways()
}
