package agent

import (
	"context"
	"time"

	"clementineramp/chooser"
	"clementineramp/engine"
	"clementineramp/planner"
)

const (
	// placementInterval is the time between two looks at whether the engine should load something else.
	placementInterval = 200 * time.Millisecond
	// drainTimeout bounds the wait for running answers before a change of version; what then still runs is continued by
	// routers at an engine that keeps the old version.
	drainTimeout = 30 * time.Second
	// loadTimeout bounds a load order, which pulls weights from a store with a limited rate.
	loadTimeout = 10 * time.Minute
)

// placementState is what the agent knows of the orders that it gave its engine.
type placementState struct {
	expected planner.Placement
	last     planner.Order
	sentAt   time.Duration
	reason   string
}

// maintainPlacement keeps the engine at the placement of the configuration until ctx ends.
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

// reconcilePlacement plans for the engine and carries out an order, if there is one.
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
	// The wait may have been long, so the order is decided again from what is known now.
	orders, _ = planner.Plan(a.elapsed(), desired, a.observed(p), a.poolPeers())
	if len(orders) == 1 && orders[0].Current(a.elapsed()) {
		a.sendOrder(ctx, p, orders[0])
	}
}

// sendOrder gives the engine a load order and reads the result back.
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

// drainEngine waits until no answer runs at the engine, and reports whether the change may go on.
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

// desired returns the placement that the configuration wants for the agent's pool.
func (a *Agent) desired() (planner.Desired, bool) {
	s := a.cfg.Snapshot()
	if s == nil {
		return planner.Desired{}, false
	}
	pool, ok := s.Pool(a.cfg.Pool)
	return planner.Desired{Placement: planner.Placement{Model: pool.Model, Version: pool.Version}, Floor: pool.Floor}, ok
}

// observed returns what the agent knows of its own engine.
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

// poolPeers returns what is known of the other workers of the pool.
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

// elapsed returns the time since the start of the agent on its own clock.
func (a *Agent) elapsed() time.Duration {
	return a.cfg.Now().Sub(a.started)
}
