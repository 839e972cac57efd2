package appraiser

import (
	"math/bits"
	"sync"
	"time"
)

// Grade says what an upstream may be given.
type Grade int

const (
	// Good upstreams take any request; it is the zero value.
	Good Grade = iota
	// Trial upstreams take one repeatable request at a time, which decides whether they are good again.
	Trial
	// Suspect upstreams fail too many requests.
	Suspect
	// Unreachable upstreams take no connections.
	Unreachable
)

var gradeNames = [...]string{Good: "good", Trial: "trial", Suspect: "suspect", Unreachable: "unreachable"}

// String returns the name of the grade in logs.
func (g Grade) String() string {
	return gradeNames[g]
}

// Outcome is what became of a request at an upstream.
type Outcome int

const (
	// Served requests had a complete answer, or a sound beginning of one.
	Served Outcome = iota
	// Failed requests were answered with a server error.
	Failed
	// Broken requests ended with their connection, or with bytes that are no answer.
	Broken
	// Shed requests were turned away although the upstream has free places.
	Shed
	// Silent requests had no sign of life in time.
	Silent
	// Refused means that no connection could be opened.
	Refused
)

var outcomeNames = [...]string{
	Served: "served", Failed: "failed", Broken: "broken", Shed: "shed", Silent: "silent", Refused: "refused",
}

// String returns the name of the outcome in logs.
func (o Outcome) String() string {
	return outcomeNames[o]
}

const (
	// limit is the number of failures among the last eight outcomes that makes an upstream suspect: 3 are rarer than once in
	// a hundred requests at the 4% of errors that a sound plain service gives.
	limit = 3
	// firstRest and longestRest bound the time without requests, which doubles with each failed trial.
	firstRest   = 500 * time.Millisecond
	longestRest = 4 * time.Second
	// firstAway and longestAway are the same for upstreams that take no connections; a restart takes about a second.
	firstAway   = 250 * time.Millisecond
	longestAway = 2 * time.Second
	// trialsNeeded is the number of trials in a row that an upstream must pass.
	trialsNeeded = 2
	// trialTime is the time after which a trial without outcome no longer holds up the next.
	trialTime = 3 * time.Second
)

// health is what is known of one upstream.
type health struct {
	// fails holds the eight newest outcomes, one bit each, the newest lowest; a set bit is a failure.
	fails  uint8
	grade  Grade
	rest   time.Duration
	until  time.Time
	passed int
	// trialAt is the start of the trial in progress; zero means none.
	trialAt time.Time
}

// Change is a change of an upstream's grade.
type Change struct {
	Upstream string
	From, To Grade
	Outcome  Outcome
	// Failures is the number of failures among the last outcomes.
	Failures int
	Rest     time.Duration
}

// Config sets up an Appraiser.
type Config struct {
	// OnChange is told each change of a grade while a lock is held; nil means no one is.
	OnChange func(Change)
}

// Appraiser is safe for concurrent use.
type Appraiser struct {
	cfg Config
	mu  sync.Mutex
	all map[string]*health
}

// New returns an appraiser that takes every upstream for good.
func New(cfg Config) *Appraiser {
	return &Appraiser{cfg: cfg, all: make(map[string]*health)}
}

// Grade returns the grade of an upstream.
func (a *Appraiser) Grade(upstream string, now time.Time) Grade {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.all[upstream]
	if h == nil || h.grade == Good {
		return Good
	}
	if now.Before(h.until) || !h.trialAt.IsZero() && now.Sub(h.trialAt) < trialTime {
		return h.grade
	}
	return Trial
}

// Begin notes that a request goes to an upstream; during a trial no other request gets the grade Trial.
func (a *Appraiser) Begin(upstream string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h := a.all[upstream]; h != nil && h.grade != Good && !now.Before(h.until) && h.trialAt.IsZero() {
		h.trialAt = now
	}
}

// Note takes the outcome of a request.
func (a *Appraiser) Note(upstream string, o Outcome, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.all[upstream]
	if h == nil {
		if o == Served {
			return
		}
		h = &health{}
		a.all[upstream] = h
	}
	h.fails <<= 1
	if o != Served {
		h.fails |= 1
	}
	before := h.grade
	switch {
	case o == Served:
		h.serve()
	case o == Refused:
		h.suspend(Unreachable, firstAway, longestAway, now)
	case h.grade != Good:
		h.suspend(Suspect, firstRest, longestRest, now)
	case bits.OnesCount8(h.fails) >= limit:
		h.suspend(Suspect, firstRest, longestRest, now)
	}
	if h.grade != before && a.cfg.OnChange != nil {
		a.cfg.OnChange(Change{
			Upstream: upstream, From: before, To: h.grade, Outcome: o, Failures: bits.OnesCount8(h.fails), Rest: h.rest,
		})
	}
}

// serve takes a success.
func (h *health) serve() {
	if h.grade == Good {
		return
	}
	h.trialAt = time.Time{}
	h.passed++
	if h.passed >= trialsNeeded || h.grade == Unreachable {
		*h = health{}
	}
}

// suspend takes the upstream out of use for a time that doubles as long as it does not recover.
func (h *health) suspend(g Grade, first, longest time.Duration, now time.Time) {
	if h.grade != Good && now.Before(h.until) {
		return // The outcome of a request that was sent before.
	}
	h.rest = min(max(2*h.rest, first), longest)
	h.grade, h.until, h.passed, h.trialAt = g, now.Add(h.rest), 0, time.Time{}
}

// Forget drops what is known of upstreams for which keep is false.
func (a *Appraiser) Forget(keep func(upstream string) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name := range a.all {
		if !keep(name) {
			delete(a.all, name)
		}
	}
}
