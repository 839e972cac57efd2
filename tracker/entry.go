package tracker

import (
	"time"

	"clementineramp/chooser"
	"clementineramp/encoder"
)

// entry is what is known of one upstream. Its state is computed when it is asked for, so that knowledge that expired
// during a pause is never used.
type entry struct {
	host   Host
	listed bool
	// firstListed is zero for upstreams of the first list.
	firstListed time.Time

	hasReport bool
	report    encoder.LoadEntry
	// measured is the time at which the agent took the report, and ready the time at which the upstream became
	// ready; both are on this process's clock.
	measured time.Time
	ready    time.Time

	// statusChanged is when this process heard that the upstream became ready or ceased to be.
	statusChanged time.Time

	answered       time.Time
	refusedLeaving time.Time

	// failure is Live while no failure stands.
	failure  chooser.State
	failed   time.Time
	eligible time.Time
	flaps    int
	flapped  time.Time
}

// lastSeen returns the time of the newest sign of life.
func (e *entry) lastSeen() time.Time {
	if e.hasReport && e.measured.After(e.answered) {
		return e.measured
	}
	return e.answered
}

// isMember reports whether the upstream is a member: the list has it, or it still answers.
func (e *entry) isMember(now time.Time, cfg *Config) bool {
	return e.listed || e.alive(now, cfg)
}

// leaving reports whether any source says that the upstream takes no new work. A newer report revokes what an older
// report or refusal said, but not what the host list says. What is not renewed for the longest wait is dropped,
// because a process that came back under the name may not have been heard of.
func (e *entry) leaving(now time.Time, cfg *Config) bool {
	if e.listed && e.host.Leaving {
		return true
	}
	if e.hasReport && e.measured.After(e.refusedLeaving) {
		return e.report.Leaving && now.Sub(e.measured) <= cfg.MaxBackoff
	}
	return !e.refusedLeaving.IsZero() && now.Sub(e.refusedLeaving) <= cfg.MaxBackoff
}

// failing reports whether a failure stands that no later sign of life disproves.
func (e *entry) failing() bool {
	return e.failure != chooser.Live && !e.lastSeen().After(e.failed)
}

func (e *entry) state(now time.Time, cfg *Config) chooser.State {
	switch {
	case e.leaving(now, cfg):
		return chooser.Leaving
	case e.backingOff(now):
		return e.failure
	case e.notReady(now, cfg):
		return chooser.Down
	case e.failing() || !e.alive(now, cfg):
		return chooser.Joining
	default:
		return chooser.Live
	}
}

// countsInMean reports whether the upstream counts in the mean load. One that is held back after a restart does as soon as
// it carries work or is soon eligible: others may have seen it fail earlier and use it already, and without it the mean
// would seem higher than it is.
func (e *entry) countsInMean(now time.Time, cfg *Config) bool {
	switch e.state(now, cfg) {
	case chooser.Leaving:
		return false
	case chooser.Down:
		ready := e.hasReport && e.report.UptimeMS > 0 && e.measured.After(e.failed)
		return ready && (e.report.Work > 0 || e.eligible.Sub(now) <= cfg.MinBackoff/2)
	default:
		return true
	}
}

// clearLeaving takes back what was said of the leaving of an upstream that the list names as live again: no router asks it,
// so that its own report would be heard of late. The load that it had when it left has ended since.
func (e *entry) clearLeaving() {
	e.refusedLeaving = time.Time{}
	e.hasReport = false
}

// priorityTime orders reports by what they are worth to others.
func (e *entry) priorityTime(now time.Time) time.Time {
	if now.Sub(e.statusChanged) < statusChangeWindow {
		return e.measured.Add(statusChangeWindow)
	}
	return e.measured
}

// notReady reports whether the newest word of the upstream is that its agent answers but it takes no work.
func (e *entry) notReady(now time.Time, cfg *Config) bool {
	return e.hasReport && e.report.UptimeMS == 0 && e.measured.After(e.answered) && e.alive(now, cfg)
}

// backingOff reports whether the wait after a failure still runs.
func (e *entry) backingOff(now time.Time) bool {
	return e.failure != chooser.Live && now.Before(e.eligible)
}

// alive reports whether there is a recent sign of life.
func (e *entry) alive(now time.Time, cfg *Config) bool {
	seen := e.lastSeen()
	return !seen.IsZero() && now.Sub(seen) <= cfg.LivenessTTL
}

// fail records a failure. A failure during the wait after an earlier one changes only its kind, because requests
// that were sent before fail late.
func (e *entry) fail(kind chooser.State, at, now time.Time, flap bool, cfg *Config) {
	if e.backingOff(now) {
		e.failure = kind
		e.failed = at
		return
	}
	backoff := cfg.MinBackoff
	if flap {
		if now.Sub(e.flapped) > cfg.FlapWindow {
			e.flaps = 0
		}
		e.flaps++
		e.flapped = now
		for i := 1; i < e.flaps && backoff < cfg.MaxBackoff; i++ {
			backoff *= 2
		}
	}
	e.failure = kind
	e.failed = at
	e.eligible = now.Add(min(backoff, cfg.MaxBackoff))
}

// supersededBy reports whether a report supersedes the one that is held. No copy of an old report is relayed for as long as
// the longest wait, so after that time a lower incarnation means that the clock behind it was set back.
func (e *entry) supersededBy(r *encoder.LoadEntry, measured time.Time, cfg *Config) bool {
	if e.hasReport && measured.Sub(e.measured) > max(cfg.MaxBackoff, 2*cfg.LoadTTL) {
		return true
	}
	if !e.hasReport || r.Incarnation != e.report.Incarnation {
		return !e.hasReport || r.Incarnation > e.report.Incarnation
	}
	return r.Sequence > e.report.Sequence
}

// merge takes a report over if it is newer, and says whether it did.
func (e *entry) merge(r *encoder.LoadEntry, measured, now time.Time, cfg *Config) bool {
	if !e.supersededBy(r, measured, cfg) {
		// Each hop hides its transit time, so of several copies of one report the oldest is the closest.
		if e.hasReport && r.Incarnation == e.report.Incarnation && r.Sequence == e.report.Sequence && measured.Before(e.measured) {
			e.ready = e.ready.Add(measured.Sub(e.measured))
			e.measured = measured
		}
		return false
	}
	ready := measured.Add(-time.Duration(r.UptimeMS) * time.Millisecond)
	// Uptimes are compared as reported, since ready times move with the transit time of the reports.
	restarted := e.hasReport && (r.Incarnation != e.report.Incarnation || r.UptimeMS < e.report.UptimeMS)
	if restarted && !e.backingOff(now) && !e.failing() {
		// The report itself then counts as a sign of life after the restart.
		e.fail(chooser.Down, e.measured, now, true, cfg)
	}
	if e.hasReport && ((r.UptimeMS == 0) != (e.report.UptimeMS == 0) || r.Leaving != e.report.Leaving) {
		e.statusChanged = now
	}
	version := r.Version
	if version == "" && e.hasReport && r.Incarnation == e.report.Incarnation {
		// Piggybacked reports leave the version out.
		version = e.report.Version
	}
	e.hasReport = true
	e.report = *r
	e.report.Upstream, e.report.Hash, e.report.Version = e.host.Name, 0, version
	e.measured = measured
	e.ready = ready
	return true
}

// loadAge returns the age of the load report and whether it has not expired.
func (e *entry) loadAge(now time.Time, cfg *Config) (time.Duration, bool) {
	if !e.hasReport {
		return 0, false
	}
	age := max(0, now.Sub(e.measured))
	return age, age <= cfg.LoadTTL
}

func (e *entry) uptime(now time.Time) time.Duration {
	switch {
	case e.hasReport && e.report.UptimeMS == 0:
		return 0
	case e.hasReport:
		return now.Sub(e.ready)
	case e.firstListed.IsZero():
		return assumedUptime
	default:
		return now.Sub(e.firstListed)
	}
}

func (e *entry) upstream(now time.Time, cfg *Config) chooser.Upstream {
	u := chooser.Upstream{
		Name:   e.host.Name,
		Domain: e.host.Domain,
		State:  e.state(now, cfg),
		Uptime: e.uptime(now),
	}
	if e.hasReport {
		u.Version = e.report.Version
	}
	if age, ok := e.loadAge(now, cfg); ok {
		u.Known = true
		u.Work = e.report.Work
		u.Queued = e.report.Queued
		u.WorkAge = age
	}
	return u
}
