package shedder

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// sheddingStart and greatestLoad are the loads, as shares of all places, at which the least and the most urgent
	// requests are refused. An engine with a batch of three quarters makes nine tenths of the tokens of a full one, and
	// each of them sooner. The most urgent requests pass by those that wait, so they are taken beyond a full batch.
	sheddingStart = 0.75
	sheddingFull  = 1.2
	// historySize is the number of requests that are remembered for each service, and recentTime the time for which they
	// count: about the length of a stream.
	historySize = 512
	historyTime = 3 * time.Second
	// overloadGap is the time without refusals after which the next one begins a new overload.
	overloadGap = 2 * time.Second
	// minRetryAfter and longestReturn bound the time after which a refused caller should come back. Callers wait at
	// most a third of the time that they have.
	minRetryAfter     = 500 * time.Millisecond
	maxRetryAfter     = 5 * time.Second
	maxRemainingShare = 1.0 / 3
	// retryJitter is the part of that time by which it varies, so that callers do not return together.
	retryJitter = 0.3
)

// Request is what bears on whether a request is taken.
type Request struct {
	Service      string
	Organisation string
	// Urgency is the place among the ranks; 0 is the most urgent.
	Urgency int
	// Remaining is the time that the caller still waits.
	Remaining time.Duration
}

// Decision says whether a request is taken, and what decided.
type Decision struct {
	Refused bool
	// RefusedShare is the share of the requests that are refused at this load.
	RefusedShare float64
	// Position is the share of the recent requests that go before this one; those of the greatest positions are refused.
	Position float64
	// RetryAfter is the time after which the caller should come back.
	RetryAfter time.Duration
}

// arrival is a request that came.
type arrival struct {
	at           time.Time
	organisation string
	urgency      int
}

// serviceState remembers the requests for one serviceState.
type serviceState struct {
	arrivals [historySize]arrival
	next     int
	// since is the start of the overload, zero while there is none, and refusedAt the time of its last refusal.
	since, refusedAt time.Time
}

// OverloadEvent is the begin or the end of a time in which requests of a service are refused.
type OverloadEvent struct {
	Service string
	Began   bool
	// Load is that of the request which showed the change, Lasted the time up to the last refusal.
	Load     float64
	Duration time.Duration
}

// Shedder is safe for concurrent use; its zero value has seen no request.
type Shedder struct {
	// OnChange is told when an overload begins or has ended, while a lock is held; nil means no one is.
	OnChange func(OverloadEvent)
	// Random returns a number from 0 to 1; nil means that of math/rand.
	Random func() float64

	mu       sync.Mutex
	services map[string]*serviceState
}

// Decide takes a request or refuses it; load is the work of the service's upstreams as a share of their places.
//
// Requests go before others that are less urgent, among equally urgent ones those of organisations that ask for less,
// and those of one organisation in random order.
func (s *Shedder) Decide(r Request, load float64, now time.Time) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.state(r.Service)
	v.arrivals[v.next] = arrival{at: now, organisation: r.Organisation, urgency: r.Urgency}
	v.next = (v.next + 1) % historySize
	if !v.since.IsZero() && now.Sub(v.refusedAt) > overloadGap {
		s.notify(OverloadEvent{Service: r.Service, Load: load, Duration: v.refusedAt.Sub(v.since)})
		v.since = time.Time{}
	}
	if load <= sheddingStart {
		return Decision{}
	}
	d := Decision{RefusedShare: min((load-sheddingStart)/(sheddingFull-sheddingStart), 1)}
	d.Position = v.position(r, now, s.random())
	if d.Position <= 1-d.RefusedShare {
		return d
	}
	if v.since.IsZero() {
		v.since = now
		s.notify(OverloadEvent{Service: r.Service, Began: true, Load: load})
	}
	v.refusedAt = now
	d.Refused, d.RetryAfter = true, s.retryAfter(r, now.Sub(v.since))
	return d
}

func (s *Shedder) notify(o OverloadEvent) {
	if s.OnChange != nil {
		s.OnChange(o)
	}
}

func (s *Shedder) state(name string) *serviceState {
	if s.services == nil {
		s.services = make(map[string]*serviceState)
	}
	v := s.services[name]
	if v == nil {
		v = &serviceState{}
		s.services[name] = v
	}
	return v
}

func (s *Shedder) random() float64 {
	if s.Random != nil {
		return s.Random()
	}
	return rand.Float64()
}

// position returns the share of the recent requests that go position a request; part is that of the requests of its own
// organisation and urgency that do.
func (v *serviceState) position(r Request, now time.Time, part float64) float64 {
	total, before := 0, 0
	equals := make(map[string]int)
	for i := range v.arrivals {
		a := &v.arrivals[i]
		if a.at.IsZero() || now.Sub(a.at) > historyTime {
			continue
		}
		total++
		switch {
		case a.urgency < r.Urgency:
			before++
		case a.urgency == r.Urgency:
			equals[a.organisation]++
		}
	}
	own := equals[r.Organisation]
	for _, n := range equals {
		if n < own {
			before += n
		}
	}
	return (float64(before) + part*float64(own)) / float64(max(total, 1))
}

// retryAfter returns the time until a refused caller should return: overloads last, on average, as long again as they
// have lasted.
func (s *Shedder) retryAfter(r Request, lasted time.Duration) time.Duration {
	wait := min(max(lasted, minRetryAfter), maxRetryAfter)
	wait = time.Duration(float64(wait) * (1 + retryJitter*(2*s.random()-1)))
	if r.Remaining > 0 {
		wait = min(wait, time.Duration(maxRemainingShare*float64(r.Remaining)))
	}
	return wait
}
