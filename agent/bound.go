package agent

import (
	"time"

	"clementineramp/chooser"
)

const (
	// settleTime is the time after its first host list within which an agent that knows the load of no peer runs one
	// request at a time. Peers report once per second.
	settleTime = 3 * time.Second
	// maxSettleTime is the same time from the start of an agent without a host list; one that reaches neither the
	// platform nor a peer must serve again eventually.
	maxSettleTime = 30 * time.Second
)

// poolLoad is an agent's estimate of the load of its pool: the work in tokens, and the number of engines n whose load
// is known.
type poolLoad struct {
	work float64
	n    int
}

// estimatePoolLoad returns a low estimate of the pool's load, so that the load limit is not set too high. It includes
// the backlog of the pool, and own as the running work of this engine.
func (a *Agent) estimatePoolLoad(own float64) poolLoad {
	l := a.cfg.PeerLoad(a.cfg.Pool, a.cfg.Name)
	return poolLoad{work: l.LowerEstimate() + l.Backlog() + own, n: l.Known + 1}
}

// loadLimit returns the limit, in tokens, of the work that the engine may run including a new request of the given
// cost. An engine at or below the mean load of its pool has no limit for its next request, for the reason
// given at chooser.AtOrBelowMean. An agent that has just started and knows no peer runs one request at a time.
func (a *Agent) loadLimit(work, cost float64) float64 {
	if a.cfg.Kind != KindEngine {
		return noLimit
	}
	p := a.estimatePoolLoad(work)
	if p.n == 1 && work > 0 && a.settling() {
		return work
	}
	if chooser.AtOrBelowMean(work, p.work, p.n) {
		return noLimit
	}
	return chooser.Limit(a.cfg.Bound, p.work, p.n, cost)
}

// settling reports whether the agent may not have heard of the peers in its pool yet, because it has started recently or
// was cut off since its start. Their mean load is then unknown, rather than equal to its own.
func (a *Agent) settling() bool {
	now := a.cfg.Now()
	listed := len(a.cfg.View(a.cfg.Pool))
	if listed == 0 {
		return now.Sub(a.started) < maxSettleTime
	}
	a.listedSince.CompareAndSwap(nil, &now)
	return listed > 1 && now.Sub(*a.listedSince.Load()) < settleTime
}

// work returns the running work of the engine, in tokens.
func (g *gate) work() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admitter.RunningWork()
}
