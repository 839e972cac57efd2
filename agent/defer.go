package agent

import (
	"context"
	"time"

	"clementineramp/admitter"
	"clementineramp/chooser"
	"clementineramp/judge"
)

const (
	// maxDeferral is how long a request waits to fit the load limit of the engine that has its prefix in its cache. It
	// leaves three quarters of the 440 ms within which the first token is due.
	maxDeferral = 100 * time.Millisecond
	// deferralPollInterval is the time between two checks of the load, a fraction of the time between the ends of two
	// requests.
	deferralPollInterval = 5 * time.Millisecond
)

// acquire waits for a slot. A request whose prefix is in the cache of this engine also waits for up to maxDeferral
// until it fits the load limit, because the prefill at another engine usually takes longer than that.
func (a *Agent) acquire(ctx context.Context, dest destination, r admitter.Request) (*slot, error) {
	s, err := a.gate.acquire(ctx, r)
	if !dest.hasPrefix || r.Last || judge.ReasonOf(err) != judge.ReasonLoadBound {
		return s, err
	}
	end := a.cfg.Now().Add(min(maxDeferral, r.Deadline/4))
	for judge.ReasonOf(err) == judge.ReasonLoadBound && a.awaitLoadLimit(ctx, r.Cost, end) {
		s, err = a.gate.acquire(ctx, r)
	}
	return s, err
}

// awaitLoadLimit waits until a request fits the load limit of the engine. It returns false if ctx is cancelled or the
// time end is reached first.
func (a *Agent) awaitLoadLimit(ctx context.Context, cost float64, end time.Time) bool {
	t := time.NewTicker(deferralPollInterval)
	defer t.Stop()
	for a.cfg.Now().Before(end) {
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
		}
		if work := a.gate.work(); chooser.Admits(work, cost, a.loadLimit(work, cost)) {
			return true
		}
	}
	return false
}
