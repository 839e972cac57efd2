package agent

import (
	"context"
	"time"

	"clementineramp/admitter"
	"clementineramp/chooser"
	"clementineramp/judge"
)

const (
	// maxDeferral is how long a request waits for room within the load bound at the engine that holds its prefix. It
	// leaves three quarters of the 440 ms in which the first token is due.
	maxDeferral = 100 * time.Millisecond
	// deferralPollInterval is the time between two looks at the load, a fraction of the time between the ends of two requests.
	deferralPollInterval = 5 * time.Millisecond
)

// acquire asks for a slot. A request whose prefix is here waits a little for room within the load bound, because the
// prefill at another engine usually takes longer than the wait.
func (a *Agent) acquire(ctx context.Context, where destination, r admitter.Request) (*slot, error) {
	s, err := a.gate.acquire(ctx, r)
	if !where.hasPrefix || r.Last || judge.ReasonOf(err) != judge.ReasonLoadBound {
		return s, err
	}
	end := a.cfg.Now().Add(min(maxDeferral, r.Deadline/4))
	for judge.ReasonOf(err) == judge.ReasonLoadBound && a.awaitLoadLimit(ctx, r.Cost, end) {
		s, err = a.gate.acquire(ctx, r)
	}
	return s, err
}

// awaitLoadLimit waits until the engine may take a request within the load bound, and reports false if it may not in time.
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
