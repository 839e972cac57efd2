package appraiser

import (
	"math/bits"
	"sync"
	"time"

	"clementineramp/notifier"
)

// Health is the state of an upstream; it says which requests may be sent there.
type Health int

const (
	// Good upstreams may be sent any request; it is the zero value.
	Good Health = iota
	// Trial upstreams may be sent one repeatable request at a time, whose outcome decides whether they have recovered.
	Trial
	// Suspect upstreams have failed too many of their recent requests.
	Suspect
	// Unreachable upstreams accept no connections. Probes, which open a connection, decide when they have recovered.
	Unreachable
)

var healthNames = [...]string{Good: "good", Trial: "trial", Suspect: "suspect", Unreachable: "unreachable"}

// String returns the name of the health in logs.
func (h Health) String() string {
	return healthNames[h]
}

// Outcome is the result of sending a request to an upstream.
type Outcome int

const (
	// Served requests had a complete response, or a valid start of one.
	Served Outcome = iota
	// Failed requests were answered with a server error.
	Failed
	// Broken requests ended because the connection broke or the bytes received were not a valid response.
	Broken
	// Shed requests were refused by an upstream that has free slots.
	Shed
	// Silent requests had no data in response before a timeout.
	Silent
	// Refused means that no connection could be opened.
	Refused
	// Connected means that a probe opened a connection to an unreachable upstream.
	Connected
)

var outcomeNames = [...]string{
	Served: "served", Failed: "failed", Broken: "broken", Shed: "shed", Silent: "silent", Refused: "refused",
	Connected: "connected",
}

// String returns the name of the outcome in logs.
func (o Outcome) String() string {
	return outcomeNames[o]
}

const (
	// failureLimit is the number of failures among the last eight outcomes that makes an upstream suspect. A healthy
	// service other than an engine fails 4% of its requests; at that rate, fewer than 1% of requests bring the count to 3.
	failureLimit = 3
	// minBackoff and maxBackoff bound the time for which a suspect upstream is suspended; it doubles with each failed
	// trial.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// minUnreachableBackoff and maxUnreachableBackoff are the same for unreachable upstreams; a restart takes about a
	// second.
	minUnreachableBackoff = 250 * time.Millisecond
	maxUnreachableBackoff = 2 * time.Second
	// requiredTrials is the number of successive trials that a suspect upstream must pass to be good again.
	requiredTrials = 2
	// minProbeInterval is the least time between two probes of a good upstream that is silent, which may only be slow.
	minProbeInterval = time.Second
	// reportTTL is the time for which a report counts. Failed probes renew those on upstreams that stay unreachable.
	reportTTL = 2500 * time.Millisecond
	// trialTimeout is the time after which a trial without an outcome no longer prevents the next one.
	trialTimeout = 3 * time.Second
)

// state is the state of one upstream.
type state struct {
	// failures holds the eight newest outcomes, one bit each, the newest lowest; a set bit is a failure.
	failures       uint8
	health         Health
	backoff        time.Duration
	suspendedUntil time.Time
	passedTrials   int
	// trialAt is the start of the trial or probe in progress, or zero.
	trialAt time.Time
	// doubted is set if a good upstream was silent or reported, so that a probe must decide whether it is reachable. probedAt
	// is the start of the last probe.
	doubted  bool
	probedAt time.Time
}

// Change is a change of an upstream's health.
type Change struct {
	Upstream string
	From, To Health
	// Outcome is that of the request which caused the change.
	Outcome Outcome
	// Failures is the number of failures among the last eight outcomes.
	Failures int
	// Backoff is the time for which the upstream is suspended.
	Backoff time.Duration
}

// Config sets up an Appraiser. No lock is held while its functions are called.
type Config struct {
	// OnChange is called for each change of an upstream's health; it may be nil.
	OnChange func(Change)
	// OnReport is called with the first report on an upstream that counts; it may be nil.
	OnReport func()
	// Heard returns the time at which an upstream last reported its load to any gateway; nil means never.
	Heard func(upstream string) time.Time
}

// Report says that a gateway could not open a connection to an upstream.
type Report struct {
	Upstream string
	// Age is the time since then.
	Age time.Duration
}

// Appraiser tracks the health of upstreams; it is safe for concurrent use.
type Appraiser struct {
	cfg Config

	mu sync.Mutex
	// calls holds the calls of the functions of cfg that are due.
	calls  notifier.Notifier
	states map[string]*state
	// reports holds the times of the newest reports, those of this gateway included.
	reports map[string]time.Time
}

// New returns an Appraiser for which all upstreams are good.
func New(cfg Config) *Appraiser {
	if cfg.Heard == nil {
		cfg.Heard = func(string) time.Time { return time.Time{} }
	}
	return &Appraiser{cfg: cfg, states: make(map[string]*state), reports: make(map[string]time.Time)}
}

// Health returns the health of an upstream; upstreams without any outcome are good. Once its suspension has passed, a
// suspect upstream has the health Trial except while a trial is in progress.
func (a *Appraiser) Health(upstream string, now time.Time) Health {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.states[upstream]
	if s == nil || s.health == Good {
		return Good
	}
	if s.health == Unreachable || now.Before(s.suspendedUntil) || !s.trialAt.IsZero() && now.Sub(s.trialAt) < trialTimeout {
		return s.health
	}
	return Trial
}

// Begin records that a request is sent to an upstream. If it is a trial, Health does not return Trial again until its
// outcome is recorded or it times out.
func (a *Appraiser) Begin(upstream string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s := a.states[upstream]; s != nil && s.health == Suspect && !now.Before(s.suspendedUntil) && s.trialAt.IsZero() {
		s.trialAt = now
	}
}

// Record records the outcome of a request to an upstream.
func (a *Appraiser) Record(upstream string, o Outcome, now time.Time) {
	a.mu.Lock()
	defer a.calls.Unlock(&a.mu)
	s := a.states[upstream]
	if s == nil {
		if o == Served {
			return
		}
		s = &state{}
		a.states[upstream] = s
	}
	s.failures <<= 1
	if o != Served {
		s.failures |= 1
	}
	before := s.health
	s.doubted = o == Silent && s.health == Good
	switch {
	case o == Served:
		s.recordSuccess()
	case o == Refused:
		s.suspend(Unreachable, minUnreachableBackoff, maxUnreachableBackoff, now)
		a.report(upstream, now)
	case s.health != Good:
		s.suspend(Suspect, minBackoff, maxBackoff, now)
	case bits.OnesCount8(s.failures) >= failureLimit:
		s.suspend(Suspect, minBackoff, maxBackoff, now)
	}
	if s.health != before && a.cfg.OnChange != nil {
		change := Change{
			Upstream: upstream, From: before, To: s.health, Outcome: o, Failures: bits.OnesCount8(s.failures), Backoff: s.backoff,
		}
		a.calls.Add(func() { a.cfg.OnChange(change) })
	}
}

// DueProbes returns the upstreams that must be probed now, and begins a probe of each; RecordProbe ends it. These are the
// unreachable ones whose suspension has passed, and the good ones whose last request was silent or that are reported.
func (a *Appraiser) DueProbes(now time.Time) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var due []string
	for name, s := range a.states {
		if s.probeDue(now) {
			s.probedAt, s.trialAt, s.doubted = now, now, false
			due = append(due, name)
		}
	}
	return due
}

func (s *state) probeDue(now time.Time) bool {
	if !s.trialAt.IsZero() && now.Sub(s.trialAt) < trialTimeout {
		return false
	}
	switch s.health {
	case Good:
		return s.doubted && now.Sub(s.probedAt) >= minProbeInterval
	case Unreachable:
		return !now.Before(s.suspendedUntil)
	default:
		return false
	}
}

// RecordProbe records whether a probe of an upstream opened a connection. An unreachable one is good again then, and a
// good one is unreachable if it did not.
func (a *Appraiser) RecordProbe(upstream string, connected bool, now time.Time) {
	a.mu.Lock()
	defer a.calls.Unlock(&a.mu)
	s := a.states[upstream]
	if s == nil || s.trialAt.IsZero() || s.health != Unreachable && s.health != Good {
		return // The probe has timed out, or a request has shown more since.
	}
	change := Change{Upstream: upstream, From: s.health, Outcome: Connected}
	s.trialAt = time.Time{}
	switch {
	case !connected:
		s.suspend(Unreachable, minUnreachableBackoff, maxUnreachableBackoff, now)
		change.To, change.Outcome, change.Backoff = Unreachable, Refused, s.backoff
		a.report(upstream, now)
	case s.health == Unreachable:
		*s = state{probedAt: s.probedAt}
	}
	if change.From != change.To && a.cfg.OnChange != nil {
		a.calls.Add(func() { a.cfg.OnChange(change) })
	}
}

// report records that some gateway could not connect to an upstream at the given time.
func (a *Appraiser) report(upstream string, at time.Time) {
	old := a.reports[upstream]
	if !at.After(old) {
		return
	}
	a.reports[upstream] = at
	if at.Sub(old) > reportTTL && a.cfg.OnReport != nil {
		a.calls.Add(a.cfg.OnReport)
	}
}

// Reports returns the reports that still count, to be sent to other gateways.
func (a *Appraiser) Reports(now time.Time) []Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	var reports []Report
	for upstream, at := range a.reports {
		if age := now.Sub(at); age < reportTTL {
			reports = append(reports, Report{Upstream: upstream, Age: max(age, 0)})
		}
	}
	return reports
}

// MergeReports records the reports of another gateway. Upstreams that have not reported their load since are probed, and only
// that probe decides, because the other gateway may itself be cut off.
func (a *Appraiser) MergeReports(reports []Report, now time.Time) {
	heard := make([]time.Time, len(reports))
	for i, r := range reports {
		heard[i] = a.cfg.Heard(r.Upstream)
	}
	a.mu.Lock()
	defer a.calls.Unlock(&a.mu)
	for i, r := range reports {
		at := now.Add(-r.Age)
		if r.Age < 0 || r.Age >= reportTTL || !at.After(a.reports[r.Upstream]) {
			continue
		}
		a.report(r.Upstream, at)
		if at.Before(heard[i]) {
			continue
		}
		s := a.states[r.Upstream]
		if s == nil {
			s = &state{}
			a.states[r.Upstream] = s
		}
		if s.health == Good && at.After(s.probedAt) {
			s.doubted = true
		}
	}
}

// recordSuccess records a served request. A suspect upstream is good again after requiredTrials of them, an unreachable
// one after the first.
func (s *state) recordSuccess() {
	if s.health == Good {
		return
	}
	s.trialAt = time.Time{}
	s.passedTrials++
	if s.passedTrials >= requiredTrials || s.health == Unreachable {
		*s = state{}
	}
}

// suspend takes the upstream out of use for a time that doubles with each further suspension until it has recovered.
func (s *state) suspend(to Health, shortest, longest time.Duration, now time.Time) {
	if s.health != Good && now.Before(s.suspendedUntil) {
		return // The request was sent before the suspension.
	}
	s.backoff = min(max(2*s.backoff, shortest), longest)
	s.health, s.suspendedUntil, s.passedTrials, s.trialAt = to, now.Add(s.backoff), 0, time.Time{}
}

// Prune removes the state of upstreams for which keep returns false.
func (a *Appraiser) Prune(keep func(upstream string) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name := range a.states {
		if !keep(name) {
			delete(a.states, name)
		}
	}
	for name := range a.reports {
		if !keep(name) {
			delete(a.reports, name)
		}
	}
}
