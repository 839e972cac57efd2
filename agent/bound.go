package agent

import "clementineramp/chooser"

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
// given at chooser.AtOrBelowMean.
func (a *Agent) loadLimit(work, cost float64) float64 {
	if a.cfg.Kind != KindEngine {
		return noLimit
	}
	p := a.estimatePoolLoad(work)
	if chooser.AtOrBelowMean(work, p.work, p.n) {
		return noLimit
	}
	return chooser.Limit(a.cfg.Bound, p.work, p.n, cost)
}

// work returns the running work of the engine, in tokens.
func (g *gate) work() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admitter.RunningWork()
}
