package shedder

import (
	"math/rand/v2"
	"sync"
	"time"

	"clementineramp/notifier"
)

const (
	// StartLoad is the load, as a fraction of all slots, above which the least urgent requests are refused, and
	// FullLoad the load from which all requests are refused. An engine with a batch filled to three quarters
	// generates nine tenths of the tokens of one with a full batch, at a lower latency. Engines run the most urgent of
	// the waiting requests first, so these are accepted beyond a full batch.
	StartLoad = 0.75
	// FullLoad is described with StartLoad.
	FullLoad = 1.2
	// historySize is the number of latest requests that are kept for each service, and historyTime the time for which
	// they are counted: about the duration of a stream.
	historySize = 512
	historyTime = 3 * time.Second
	// overloadGap is the time without refusals after which an overload has ended and the next refusal begins a new one.
	overloadGap = 2 * time.Second
	// minRetryAfter and maxRetryAfter bound the delay after which a refused caller should retry, before retryJitter.
	// The delay is also at most maxRemainingShare, a third, of the caller's remaining time.
	minRetryAfter     = 500 * time.Millisecond
	maxRetryAfter     = 5 * time.Second
	maxRemainingShare = 1.0 / 3
	// retryJitter is the fraction by which the delay varies up and down, so that callers do not retry at the same time.
	retryJitter = 0.3
)

// Request holds the properties of a request that the decision depends on.
type Request struct {
	Service      string
	Organisation string
	// Urgency is the position among the ranks; 0 is the most urgent.
	Urgency int
	// Remaining is the time that the caller still waits for the response; zero means unknown.
	Remaining time.Duration
	// Returning marks a request whose caller was refused before; it takes precedence over the others of its organisation
	// and urgency.
	Returning bool
}

// Decision says whether a request is refused, with the values that led to the decision.
type Decision struct {
	Refused bool
	// RefusedShare is the fraction of the requests that are refused at this load.
	RefusedShare float64
	// Position is the fraction of the recent requests that take precedence over this one. The request is refused if it
	// is above 1 - RefusedShare.
	Position float64
	// RetryAfter is the delay after which the caller should retry; zero if the request is not refused.
	RetryAfter time.Duration
}

// arrival is a past request for a service, accepted or refused.
type arrival struct {
	at           time.Time
	organisation string
	urgency      int
	returning    bool
}

// serviceState holds the recent requests for one service and its current overload.
type serviceState struct {
	arrivals [historySize]arrival
	next     int
	// since is the start of the overload, zero if there is none; refusedAt is the time of its last refusal.
	since, refusedAt time.Time
}

// OverloadEvent is the start or the end of a period in which requests for a service are refused.
type OverloadEvent struct {
	Service string
	// Began is true at the start and false at the end.
	Began bool
	// Load is the load that was passed to Decide when the change was detected.
	Load float64
	// Duration is the time from the start to the last refusal; zero in the event of the start.
	Duration time.Duration
}

// Shedder decides which requests are refused. Its zero value is ready to use, and it is safe for concurrent use.
type Shedder struct {
	// OnChange is called when an overload starts or has ended; it may be nil. No lock is held during the call.
	OnChange func(OverloadEvent)
	// Random returns a number of at least 0 and below 1; nil means rand.Float64.
	Random func() float64

	mu sync.Mutex
	// calls holds the calls of OnChange that are due.
	calls    notifier.Notifier
	services map[string]*serviceState
}

// Decide accepts or refuses a request; load is that of the service's upstreams as a fraction of their slots.
//
// More urgent requests take precedence over less urgent ones. Among equally urgent requests, those of organisations with
// fewer recent requests take precedence, and those of one organisation are ordered at random, returning callers first.
func (s *Shedder) Decide(r Request, load float64, now time.Time) Decision {
	s.mu.Lock()
	defer s.calls.Unlock(&s.mu)
	v := s.state(r.Service)
	v.arrivals[v.next] = arrival{
		at: now, organisation: r.Organisation, urgency: r.Urgency, returning: r.Returning,
	}
	v.next = (v.next + 1) % historySize
	if !v.since.IsZero() && now.Sub(v.refusedAt) > overloadGap {
		s.notify(OverloadEvent{Service: r.Service, Load: load, Duration: v.refusedAt.Sub(v.since)})
		v.since = time.Time{}
	}
	if load <= StartLoad {
		return Decision{}
	}
	d := Decision{RefusedShare: min((load-StartLoad)/(FullLoad-StartLoad), 1)}
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
		s.calls.Add(func() { s.OnChange(o) })
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

// position returns the fraction of the recent requests that take precedence over a request. Of those with the same
// organisation and urgency, returning ones go first, and the others have no order: the given fraction counts as preceding it.
func (v *serviceState) position(r Request, now time.Time, fraction float64) float64 {
	total, before, returning := 0, 0, 0
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
			if a.returning && a.organisation == r.Organisation {
				returning++
			}
		}
	}
	same := equals[r.Organisation]
	for _, n := range equals {
		if n < same {
			before += n
		}
	}
	if r.Returning {
		same = returning
	} else {
		before += returning
		same -= returning
	}
	return (float64(before) + fraction*float64(same)) / float64(max(total, 1))
}

// retryAfter returns the delay after which a refused caller should retry; elapsed is the time since the start of the
// overload. On average, an overload continues for as long as it has already lasted.
func (s *Shedder) retryAfter(r Request, elapsed time.Duration) time.Duration {
	delay := min(max(elapsed, minRetryAfter), maxRetryAfter)
	delay = time.Duration(float64(delay) * (1 + retryJitter*(2*s.random()-1)))
	if r.Remaining > 0 {
		delay = min(delay, time.Duration(maxRemainingShare*float64(r.Remaining)))
	}
	return delay
}
