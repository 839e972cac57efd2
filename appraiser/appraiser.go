package appraiser

import (
	"math/bits"
	"sync"
	"time"
)

// Health says what an upstream may be given.
type Health int

const (
	// Good upstreams take any request; it is the zero value.
	Good Health = iota
	// Trial upstreams take one repeatable request at a time, which decides whether they are good again.
	Trial
	// Suspect upstreams fail too many requests.
	Suspect
	// Unreachable upstreams take no connections.
	Unreachable
)

var healthNames = [...]string{Good: "good", Trial: "trial", Suspect: "suspect", Unreachable: "unreachable"}

// String returns the name of the grade in logs.
func (g Health) String() string {
	return healthNames[g]
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
	// failureLimit is the number of failures among the last eight outcomes that makes an upstream suspect: 3 are rarer than once in
	// a hundred requests at the 4% of errors that a sound plain service gives.
	failureLimit = 3
	// minBackoff and longestRest bound the time without requests, which doubles with each failed trial.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// minUnreachableBackoff and longestAway are the same for upstreams that take no connections; a restart takes about a second.
	minUnreachableBackoff = 250 * time.Millisecond
	maxUnreachableBackoff = 2 * time.Second
	// requiredTrials is the number of trials in a row that an upstream must pass.
	requiredTrials = 2
	// trialTimeout is the time after which a trial without outcome no longer holds up the next.
	trialTimeout = 3 * time.Second
)

// state is what is known of one upstream.
type state struct {
	// failures holds the eight newest outcomes, one bit each, the newest lowest; a set bit is a failure.
	failures       uint8
	health         Health
	backoff        time.Duration
	suspendedUntil time.Time
	passedTrials   int
	// trialAt is the start of the trial in progress; zero means none.
	trialAt time.Time
}

// Change is a change of an upstream's grade.
type Change struct {
	Upstream string
	From, To Health
	Outcome  Outcome
	// Failures is the number of failures among the last outcomes.
	Failures int
	Backoff  time.Duration
}

// Config sets up an Appraiser.
type Config struct {
	// OnChange is told each change of a grade while a lock is held; nil means no one is.
	OnChange func(Change)
}

// Appraiser is safe for concurrent use.
type Appraiser struct {
	cfg    Config
	mu     sync.Mutex
	states map[string]*state
}

// New returns an appraiser that takes every upstream for good.
func New(cfg Config) *Appraiser {
	return &Appraiser{cfg: cfg, states: make(map[string]*state)}
}

// Health returns the grade of an upstream.
func (a *Appraiser) Health(upstream string, now time.Time) Health {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.states[upstream]
	if h == nil || h.health == Good {
		return Good
	}
	if now.Before(h.suspendedUntil) || !h.trialAt.IsZero() && now.Sub(h.trialAt) < trialTimeout {
		return h.health
	}
	return Trial
}

// Begin notes that a request goes to an upstream; during a trial no other request gets the grade Trial.
func (a *Appraiser) Begin(upstream string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h := a.states[upstream]; h != nil && h.health != Good && !now.Before(h.suspendedUntil) && h.trialAt.IsZero() {
		h.trialAt = now
	}
}

// Record takes the outcome of a request.
func (a *Appraiser) Record(upstream string, o Outcome, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.states[upstream]
	if h == nil {
		if o == Served {
			return
		}
		h = &state{}
		a.states[upstream] = h
	}
	h.failures <<= 1
	if o != Served {
		h.failures |= 1
	}
	before := h.health
	switch {
	case o == Served:
		h.recordSuccess()
	case o == Refused:
		h.suspend(Unreachable, minUnreachableBackoff, maxUnreachableBackoff, now)
	case h.health != Good:
		h.suspend(Suspect, minBackoff, maxBackoff, now)
	case bits.OnesCount8(h.failures) >= failureLimit:
		h.suspend(Suspect, minBackoff, maxBackoff, now)
	}
	if h.health != before && a.cfg.OnChange != nil {
		a.cfg.OnChange(Change{
			Upstream: upstream, From: before, To: h.health, Outcome: o, Failures: bits.OnesCount8(h.failures), Backoff: h.backoff,
		})
	}
}

// recordSuccess takes a success.
func (h *state) recordSuccess() {
	if h.health == Good {
		return
	}
	h.trialAt = time.Time{}
	h.passedTrials++
	if h.passedTrials >= requiredTrials || h.health == Unreachable {
		*h = state{}
	}
}

// suspend takes the upstream out of use for a time that doubles as long as it does not recover.
func (h *state) suspend(g Health, first, longest time.Duration, now time.Time) {
	if h.health != Good && now.Before(h.suspendedUntil) {
		return // The outcome of a request that was sent before.
	}
	h.backoff = min(max(2*h.backoff, first), longest)
	h.health, h.suspendedUntil, h.passedTrials, h.trialAt = g, now.Add(h.backoff), 0, time.Time{}
}

// Prune drops what is known of upstreams for which keep is false.
func (a *Appraiser) Prune(keep func(upstream string) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name := range a.states {
		if !keep(name) {
			delete(a.states, name)
		}
	}
}
