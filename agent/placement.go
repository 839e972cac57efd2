package agent

import (
	"context"
	"time"

	"clementineramp/chooser"
	"clementineramp/engine"
	"clementineramp/planner"
)

const (
	// placementInterval is the time between two checks whether the engine should load another model or version.
	placementInterval = 200 * time.Millisecond
	// drainTimeout limits the wait for running answers before a change of version. Routers continue the remaining ones
	// at an engine that keeps the old version.
	drainTimeout = 30 * time.Second
	// loadTimeout limits a load order, for which the engine fetches weights from a rate-limited store.
	loadTimeout = 10 * time.Minute
)

// placementState is the state of maintainPlacement.
type placementState struct {
	// expected is the desired placement that was last observed to be loaded.
	expected planner.Placement
	// last is the last load order, and sentAt the time since the agent's start at which it was sent.
	last   planner.Order
	sentAt time.Duration
	// reason is the reason that was last logged.
	reason string
}

// maintainPlacement makes the engine load the model and version that the configuration specifies, until ctx is cancelled.
func (a *Agent) maintainPlacement(ctx context.Context) error {
	t := time.NewTicker(placementInterval)
	defer t.Stop()
	var p placementState
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			a.reconcilePlacement(ctx, &p)
		}
	}
}

// reconcilePlacement compares the desired with the loaded model version and sends a load order if one is due.
func (a *Agent) reconcilePlacement(ctx context.Context, p *placementState) {
	desired, ok := a.desired()
	if !ok {
		return
	}
	observed := a.observed(p)
	if observed.Loaded == desired.Placement && !observed.Loading {
		p.expected = desired.Placement
	}
	a.engineState.setExpected(p.expected)
	orders, reason := planner.Plan(a.elapsed(), desired, observed, a.poolPeers())
	if reason != p.reason {
		a.cfg.Log.Info("placement", "desired", desired.String(), "loaded", observed.Loaded.String(),
			"expected", p.expected.String(), "orders", len(orders), "reason", reason)
		p.reason = reason
	}
	if len(orders) == 0 {
		return
	}
	a.engineState.setChanging(true)
	defer a.engineState.setChanging(false)
	if observed.Loaded != (planner.Placement{}) && !a.drainEngine(ctx) {
		return
	}
	// Draining may have taken long, so the order is planned again from the current state.
	orders, _ = planner.Plan(a.elapsed(), desired, a.observed(p), a.poolPeers())
	if len(orders) == 1 && orders[0].Valid(a.elapsed()) {
		a.sendOrder(ctx, p, orders[0])
	}
}

// sendOrder sends a load order to the engine and then reads the engine's status.
func (a *Agent) sendOrder(ctx context.Context, p *placementState, o planner.Order) {
	p.last, p.sentAt = o, a.elapsed()
	a.cfg.Log.Info("load_order", "placement", o.String(), "fence", o.Fence, "reason", o.Reason)
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	err := a.engine.Load(ctx, engine.LoadOrder{Model: o.Model, Version: o.Version, Fence: o.Fence, Controller: a.controller()})
	if err != nil {
		a.cfg.Log.Warn("load_order_failed", "placement", o.String(), "fence", o.Fence, "error", err)
	}
	a.readEngine(ctx)
}

// drainEngine waits until no request runs or is queued, or cancels the running ones at drainTimeout. It returns false
// if ctx is cancelled first.
func (a *Agent) drainEngine(ctx context.Context) bool {
	limit := time.NewTimer(drainTimeout)
	defer limit.Stop()
	t := time.NewTicker(placementInterval)
	defer t.Stop()
	for {
		if _, _, requests := a.gate.load(); requests == 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-limit.C:
			a.followers.cancelAll(errVersionChange)
			return true
		case <-t.C:
		}
	}
}

// desired returns the placement that the configuration specifies for the agent's pool, or false if it has no such pool.
func (a *Agent) desired() (planner.Desired, bool) {
	s := a.cfg.Snapshot()
	if s == nil {
		return planner.Desired{}, false
	}
	pool, ok := s.Pool(a.cfg.Pool)
	return planner.Desired{Placement: planner.Placement{Model: pool.Model, Version: pool.Version}, Floor: pool.Floor}, ok
}

// observed returns the last known state of the engine, as input of the planner.
func (a *Agent) observed(p *placementState) planner.Observed {
	status, readAt := a.engineState.lastRead()
	o := planner.Observed{
		Name: a.cfg.Name, Read: !readAt.IsZero(), ReadAt: readAt.Sub(a.started), Loading: !status.Ready,
		Fence: status.Fence, Expected: p.expected, Last: p.last, SentAt: p.sentAt,
	}
	if status.Ready {
		o.Loaded = planner.Placement{Model: status.Model, Version: status.Version}
	}
	return o
}

// poolPeers returns the known state of the other workers of the pool.
func (a *Agent) poolPeers() []planner.Peer {
	var peers []planner.Peer
	for _, u := range a.cfg.View(a.cfg.Pool) {
		if u.Name == a.cfg.Name {
			continue
		}
		down := u.State == chooser.Down || u.State == chooser.Leaving
		peers = append(peers, planner.Peer{Name: u.Name, Version: u.Version, Down: down})
	}
	return peers
}

// elapsed returns the time since the agent's start, by its own clock.
func (a *Agent) elapsed() time.Duration {
	return a.cfg.Now().Sub(a.started)
}
