package agent

import (
	"context"
	"time"

	"clementineramp/admitter"
	"clementineramp/chooser"
	"clementineramp/judge"
)

const (
	// deferTime is how long a request waits for room within the load bound at the engine that holds its prefix. It
	// leaves three quarters of the 440 ms in which the first token is due.
	deferTime = 100 * time.Millisecond
	// deferStep is the time between two looks at the load, a fraction of the time between the ends of two requests.
	deferStep = 5 * time.Millisecond
)

// acquire asks for a slot. A request whose prefix is here waits a little for room within the load bound, because the
// prefill at another engine usually takes longer than the wait.
func (a *Agent) acquire(ctx context.Context, where destination, r admitter.Request) (*slot, error) {
	s, err := a.gate.acquire(ctx, r)
	if !where.holds || r.Last || judge.ReasonOf(err) != judge.ReasonLoadBound {
		return s, err
	}
	end := a.cfg.Now().Add(min(deferTime, r.Deadline/4))
	for judge.ReasonOf(err) == judge.ReasonLoadBound && a.awaitRoom(ctx, r.Cost, end) {
		s, err = a.gate.acquire(ctx, r)
	}
	return s, err
}

// awaitRoom waits until the engine may take a request within the load bound, and reports false if it may not in time.
func (a *Agent) awaitRoom(ctx context.Context, cost float64, end time.Time) bool {
	t := time.NewTicker(deferStep)
	defer t.Stop()
	for a.cfg.Now().Before(end) {
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
		}
		if work := a.gate.work(); chooser.Admits(work, cost, a.limit(work, cost)) {
			return true
		}
	}
	return false
}
