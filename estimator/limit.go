package estimator

import (
	"math"
	"time"

	"clementineramp/registrar"
)

const (
	// startLimit, minLimit and maxLimit are multiples of the slots. At three times the slots a request waits for two others,
	// which the usual targets of five times the latency allow.
	startLimit = 3.0
	minLimit   = 0.25
	maxLimit   = 4.0
	// unknownSlots replaces the slots of an upstream that states none.
	unknownSlots = 8
	// growthPerSecond is the growth of a limit in multiples of the slots while the upstream answers as fast as usual; a limit
	// at its lower bound is back at the start within 2.5 s of the first evidence. It falls with the distance to the goal, so
	// that the loop, whose measurements are a second old, does not oscillate.
	growthPerSecond = 1.5
	// minFactorPerSecond bounds the fall of a limit, as the measurements lag behind it.
	minFactorPerSecond = 0.25
	// limitStep is the least time between two changes of a limit, and maxLimitStep the longest time for which one change
	// counts: older measurements are unknown.
	limitStep    = 50 * time.Millisecond
	maxLimitStep = time.Second
	// minGoal is the lowest goal, as a multiple of the usual latency. The median is up to 1.5 times the 30th percentile with
	// the spread of the plain services.
	minGoal = 1.6
	// goalInterval is the time for which a goal is kept, because all routes are searched for it.
	goalInterval = 250 * time.Millisecond
	// goalTTL is the time since the last sample for which the goal of a route counts.
	goalTTL = 30 * time.Second
)

// limit is the number of requests in progress at which an upstream answers in time.
type limit struct {
	value float64
	at    time.Time
	// fellAt is the time at which the latency came to be above the goal, and above says whether it still is.
	fellAt time.Time
	above  bool
}

func slots(u registrar.Upstream) float64 {
	if u.Slots <= 0 {
		return unknownSlots
	}
	return float64(u.Slots)
}

// serviceGoal is the goal of a service at a time.
type serviceGoal struct {
	at    time.Time
	usual time.Duration
	goal  float64
}

// goal returns the usual latency of the route of a service with the strictest goal, and that goal as a multiple of it. Both are
// zero while no route has samples and a target. The goal is the middle between the usual latency and the target.
func (e *Estimator) goal(service string, now time.Time) (usual time.Duration, goal float64) {
	if g, ok := e.goals[service]; ok && now.Sub(g.at) < goalInterval {
		return g.usual, g.goal
	}
	defer func() { e.goals[service] = serviceGoal{at: now, usual: usual, goal: goal} }()
	for key, r := range e.usual {
		if key.service != service || r.latency == 0 || r.target <= 0 || now.Sub(r.last) >= goalTTL {
			continue
		}
		g := max((1+float64(r.target)/float64(r.latency))/2, minGoal)
		if goal == 0 || g < goal || g == goal && r.latency < usual {
			usual, goal = r.latency, g
		}
	}
	return usual, goal
}

// advance changes the limit of an upstream by what is known now. The caller holds e.mu.
func (e *Estimator) advance(s *upstream, u registrar.Upstream, now time.Time) {
	n := slots(u)
	lowest, highest := max(minLimit*n, 1), max(maxLimit*n, 1)
	if s.limit.at.IsZero() {
		s.limit = limit{value: startLimit * n, at: now}
	}
	dt := now.Sub(s.limit.at)
	if dt < limitStep {
		return
	}
	s.limit.at = now
	_, goal := e.goal(u.Service, now)
	if goal == 0 {
		return
	}
	seconds := min(dt, maxLimitStep).Seconds()
	slowdown, _, _ := s.slowdown(now)
	was := s.limit.above
	s.limit.above = slowdown > goal
	switch factor := max(goal/slowdown, minFactorPerSecond); {
	case s.limit.above && !was && now.Sub(s.limit.fellAt) >= maxLimitStep:
		// The measurements are about a second old, so the fall of that second is made up for at once.
		s.limit.value = min(s.limit.value, startLimit*n) * factor
		s.limit.fellAt = now
	case s.limit.above:
		s.limit.value *= math.Pow(factor, seconds)
	default:
		s.limit.value += growthPerSecond * n * seconds * min((goal-slowdown)/(goal-1), 1)
	}
	s.limit.value = min(max(s.limit.value, lowest), highest)
}
