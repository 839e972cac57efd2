package soaker

import (
	"slices"
	"time"

	"clementineramp/platform/imitator"
)

const (
	// pauseGrace is the time after a rejection with a pause during which requests may still be on their way, and
	// maxDuringPause the number of requests that may arrive between it and the end of the pause.
	pauseGrace     = 500 * time.Millisecond
	maxDuringPause = 2
)

// way is the way of requests from a gateway to an upstream.
type way struct {
	gateway  int
	upstream string
}

// checkMarks checks that no request that was sent maxLeaveDelay after a gateway had passed on a response with the leaving mark
// of an upstream ran there, whatever the store said.
func (s *soak) checkMarks(runs map[string][]run) {
	passedOn := make(map[way]time.Time)
	for _, a := range s.attempts {
		if a.header.Get(imitator.HeaderLeaving) == "" {
			continue
		}
		// The header of a resumed stream is that of the upstream which began it, not of the last one.
		list := slices.DeleteFunc(slices.Clone(runs[a.id]), func(r run) bool { return !r.saysLeaving })
		if len(list) == 0 {
			continue
		}
		w := way{a.gateway, list[len(list)-1].upstream}
		if at, ok := passedOn[w]; !ok || a.ended.Before(at) {
			passedOn[w] = a.ended
		}
	}
	for _, a := range s.attempts {
		for _, r := range runs[a.id] {
			at, ok := passedOn[way{a.gateway, r.upstream}]
			if late := a.sent.Sub(at); ok && late > maxLeaveDelay+timeTolerance && !s.disturbed(at, r.Start, a.gateway, "") {
				s.addViolation("marked: %s ran at %s, sent %v after its gateway had passed on the leaving mark", a.id, r.upstream, late)
			}
		}
	}
}

// checkPauses checks that at most maxDuringPause requests reach an upstream from a gateway during a pause that the upstream
// asked that gateway for, pauseGrace after its start.
func (s *soak) checkPauses(sent map[string]*attempt) {
	for _, u := range s.allUpstreams {
		arrivals := make(map[int][]time.Time)
		add := func(id string, at time.Time) {
			if a := sent[id]; a != nil {
				arrivals[a.gateway] = append(arrivals[a.gateway], at)
			}
		}
		refusals := u.Refusals()
		for _, r := range refusals {
			add(r.ID, r.At)
		}
		for _, r := range u.Runs() {
			add(r.ID, r.Start)
		}
		for _, refusal := range refusals {
			a := sent[refusal.ID]
			if a == nil || refusal.Pause == 0 {
				continue
			}
			end := refusal.At.Add(refusal.Pause)
			if n := countBetween(arrivals[a.gateway], refusal.At.Add(pauseGrace), end); n > maxDuringPause && !s.disturbed(refusal.At, end, a.gateway, u.ID) {
				s.addViolation("paused: %d requests reached %s from gateway %d during a pause from %s", n, u.ID, a.gateway,
					refusal.At.UTC().Format(timeFormat))
			}
		}
	}
}

// countBetween counts the times between start and end.
func countBetween(times []time.Time, start, end time.Time) (n int) {
	for _, at := range times {
		if at.After(start) && at.Before(end) {
			n++
		}
	}
	return n
}

// disturbed reports whether a fault affected the gateway or the upstream between start and end; faults of the whole fleet,
// such as an outage of the store, do not count.
func (s *soak) disturbed(start, end time.Time, gateway int, upstream string) bool {
	name := s.gateways[gateway].process.Name
	for _, d := range s.faultWindows {
		if (d.target == name || upstream != "" && d.target == upstream) && d.start.Before(end) && d.end.After(start) {
			return true
		}
	}
	return false
}
