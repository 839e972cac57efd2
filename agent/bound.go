package agent

import "clementineramp/chooser"

const (
	// confidence is the number of standard deviations by which an agent assumes the pool's work to be lower than its
	// table says.
	confidence = 2
	// maxMargin is the largest part of the pool's work that uncertainty may take away, so that agents that hear
	// little of each other still fill their engines.
	maxMargin = 0.2
)

// poolLoad is what an agent takes for the load of its pool.
type poolLoad struct {
	work float64
	n    int
}

// pool returns a cautious estimate of the pool's load. Queued work counts in the mean, so that a pool with a backlog
// fills its batches.
func (a *Agent) pool(own float64) poolLoad {
	l := a.cfg.Others(a.cfg.Pool, a.cfg.Name)
	margin := min(confidence*l.Deviation, maxMargin*l.Work)
	return poolLoad{work: l.Work - margin + l.Queued + own, n: l.Known + 1}
}

// limit returns the work that the engine may carry once a request of a cost runs in it. An engine at or below the
// mean may take one more request, because requests cannot be divided.
func (a *Agent) limit(work, cost float64) float64 {
	if a.cfg.Kind != KindEngine {
		return noLimit
	}
	p := a.pool(work)
	if chooser.Even(work, p.work, p.n) {
		return noLimit
	}
	return chooser.Limit(a.cfg.Bound, p.work, p.n, cost)
}
