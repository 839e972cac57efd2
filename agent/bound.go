package agent

import "clementineramp/chooser"

// poolLoad is what an agent takes for the load of its pool.
type poolLoad struct {
	work float64
	n    int
}

// estimatePoolLoad returns a cautious estimate of the estimatePoolLoad's load, with its backlog.
func (a *Agent) estimatePoolLoad(own float64) poolLoad {
	l := a.cfg.PeerLoad(a.cfg.Pool, a.cfg.Name)
	return poolLoad{work: l.LowerEstimate() + l.Backlog() + own, n: l.Known + 1}
}

// loadLimit returns the work that the engine may carry once a request of a cost runs in it. An engine at or below the
// mean may take one more request, because requests cannot be divided.
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

// work returns the work that runs in the engine, in tokens.
func (g *gate) work() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admitter.RunningWork()
}
