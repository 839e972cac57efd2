package gatekeeper

import (
	"context"
	"runtime"
	"sync"
	"time"
)

const (
	// probeInterval is the pause between measurements of how late the process wakes up.
	probeInterval = 50 * time.Millisecond
	// saturatedLag is the mean lateness from which a process is saturated: its part of an answer's time would then be
	// near the objectives of the quickest requests, 100 to 150 ms. recoveredLag is the mean at which it no longer is.
	saturatedLag = 60 * time.Millisecond
	recoveredLag = 20 * time.Millisecond
	// maxLag bounds what one measurement adds, so that a process that stood still once does not count as saturated.
	maxLag = 250 * time.Millisecond
	// lagWindow is the time that the mean covers, and maxWeight bounds the weight of one measurement in it: two long
	// waits in a row make a process saturated, one does not.
	lagWindow = 500 * time.Millisecond
	maxWeight = 0.2
)

// Saturation tells from how late a process wakes up whether its host gives it less processor time than it needs; its zero
// value is unsaturated. It is safe for concurrent use.
type Saturation struct {
	mu        sync.Mutex
	mean      time.Duration
	saturated bool
}

// Observe takes a measurement, and reports the state and whether it has changed.
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

// Saturated reports whether the process is saturated, and the mean lateness.
func (s *Saturation) Saturated() (saturated bool, mean time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.saturated, s.mean
}

// probe measures the saturation until ctx ends.
func (g *Gateway) measureSaturation(ctx context.Context) {
	t := time.NewTimer(probeInterval)
	defer t.Stop()
	for due := time.Now().Add(probeInterval); ; {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		// A goroutine that a timer wakes goes before the others; behind them it sees how long they wait.
		runtime.Gosched()
		now := time.Now()
		if saturated, changed := g.saturation.Observe(now.Sub(due)); changed {
			_, mean := g.saturation.Saturated()
			g.log.Warn("saturation_changed", "saturated", saturated, "mean_lag_ms", mean.Milliseconds(), "running", g.proxier.Running(),
				"unsaturated_peers", g.relayer.Unsaturated())
		}
		due = now.Add(probeInterval)
		t.Reset(probeInterval)
	}
}

// divertsCallers reports whether callers should go to other gateways: this one is saturated, and most others are not.
func (g *Gateway) divertsCallers() bool {
	saturated, _ := g.saturation.Saturated()
	return saturated && 2*g.relayer.Unsaturated() > g.relayer.Gateways()
}
