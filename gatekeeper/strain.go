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
	// strainedLag is the mean lateness from which a process is strained: its part of an answer's time would then be
	// near the objectives of the quickest requests, 100 to 150 ms. relievedLag is the mean at which it no longer is.
	strainedLag = 60 * time.Millisecond
	relievedLag = 20 * time.Millisecond
	// longestLag bounds what one measurement adds, so that a process that stood still once does not count as strained.
	longestLag = 250 * time.Millisecond
	// lagTime is the time that the mean covers, and greatestWeight bounds the weight of one measurement in it: two long
	// waits in a row make a process strained, one does not.
	lagTime        = 500 * time.Millisecond
	greatestWeight = 0.2
)

// Strain tells from how late a process wakes up whether its host gives it less processor time than it needs; its zero
// value is at ease. It is safe for concurrent use.
type Strain struct {
	mu       sync.Mutex
	mean     time.Duration
	strained bool
}

// Note takes a measurement, and reports the state and whether it has changed.
func (s *Strain) Note(lag time.Duration) (strained, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lag = max(lag, 0)
	weight := min(float64(probeInterval+lag)/float64(lagTime), greatestWeight)
	s.mean += time.Duration(weight * float64(min(lag, longestLag)-s.mean))
	before := s.strained
	switch {
	case s.mean > strainedLag:
		s.strained = true
	case s.mean < relievedLag:
		s.strained = false
	}
	return s.strained, s.strained != before
}

// Strained reports whether the process is strained, and the mean lateness.
func (s *Strain) Strained() (strained bool, mean time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.strained, s.mean
}

// probe measures the strain until ctx ends.
func (g *Gateway) probe(ctx context.Context) {
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
		if strained, changed := g.strain.Note(now.Sub(due)); changed {
			_, mean := g.strain.Strained()
			g.log.Warn("strain_changed", "strained", strained, "mean_lag_ms", mean.Milliseconds(), "running", g.proxier.Running(),
				"peers_at_ease", g.relayer.AtEase())
		}
		due = now.Add(probeInterval)
		t.Reset(probeInterval)
	}
}

// yields reports whether callers should go to other gateways: this one is strained, and most others are not.
func (g *Gateway) yields() bool {
	strained, _ := g.strain.Strained()
	return strained && 2*g.relayer.AtEase() > g.relayer.Gateways()
}
