package tracker

import (
	"time"

	"clementineramp/chooser"
	"clementineramp/encoder"
)

// entry holds the information about one upstream. Its state is computed on each read, so that information that expired
// during a pause is never used.
type entry struct {
	host   Host
	listed bool
	// firstListed is the time of the first host list with the upstream; it is zero for upstreams of the process's first
	// list.
	firstListed time.Time

	hasReport bool
	report    encoder.LoadEntry
	// measured is the time at which the agent took the report, and ready is the time at which the upstream became
	// ready, both by the clock of this process.
	measured time.Time
	ready    time.Time

	// statusChanged is the time at which this process received a report that the upstream has become ready, ceased to be
	// ready, or changed whether it is leaving.
	statusChanged time.Time

	answered       time.Time
	refusedLeaving time.Time

	// failure is the state due to the last failure, or Live if an answer has cleared it. The upstream may be tried again
	// from eligible on. flaps is the number of flaps, the last one at flapped; it restarts after FlapWindow without one.
	failure  chooser.State
	failed   time.Time
	eligible time.Time
	flaps    int
	flapped  time.Time
}

// lastSeen returns the time of the last answer or report, or zero if there is none.
func (e *entry) lastSeen() time.Time {
	if e.hasReport && e.measured.After(e.answered) {
		return e.measured
	}
	return e.answered
}

// isMember reports whether the upstream is on the host list, or has answered or reported recently.
func (e *entry) isMember(now time.Time, cfg *Config) bool {
	return e.listed || e.alive(now, cfg)
}

// leaving reports whether any source says that the upstream accepts no new work. A newer report overrides an older report
// or refusal, but not the host list. A report or refusal that is not renewed within MaxBackoff expires, because the
// upstream may have restarted under the same name without this process having received a report of it.
func (e *entry) leaving(now time.Time, cfg *Config) bool {
	if e.listed && e.host.Leaving {
		return true
	}
	if e.hasReport && e.measured.After(e.refusedLeaving) {
		return e.report.Leaving && now.Sub(e.measured) <= cfg.MaxBackoff
	}
	return !e.refusedLeaving.IsZero() && now.Sub(e.refusedLeaving) <= cfg.MaxBackoff
}

// failing reports whether the upstream has failed without an answer or report since.
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

// countsInMean reports whether the upstream counts in the mean load. One that is in its backoff after a restart counts as
// soon as it runs work or is about to become eligible: other processes may have seen it fail earlier and use it already,
// and without it the mean would appear higher than it is.
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

// clearLeaving clears the leaving state of an upstream that the host list no longer marks as leaving. It does not wait for
// a report of the upstream, which would arrive late, since no router sends requests to it. It also discards the last
// report, since the load in it has ended.
func (e *entry) clearLeaving() {
	e.refusedLeaving = time.Time{}
	e.hasReport = false
}

// priorityTime is the time by which reports are ordered for forwarding, latest first. It is the time of the report, plus
// statusChangeWindow if the status changed within statusChangeWindow.
func (e *entry) priorityTime(now time.Time) time.Time {
	if now.Sub(e.statusChanged) < statusChangeWindow {
		return e.measured.Add(statusChangeWindow)
	}
	return e.measured
}

// notReady reports whether the latest information on the upstream is a recent report that its engine is not ready.
func (e *entry) notReady(now time.Time, cfg *Config) bool {
	return e.hasReport && e.report.UptimeMS == 0 && e.measured.After(e.answered) && e.alive(now, cfg)
}

// backingOff reports whether the backoff after a failure has not ended.
func (e *entry) backingOff(now time.Time) bool {
	return e.failure != chooser.Live && now.Before(e.eligible)
}

// alive reports whether the upstream answered or reported within LivenessTTL.
func (e *entry) alive(now time.Time, cfg *Config) bool {
	seen := e.lastSeen()
	return !seen.IsZero() && now.Sub(seen) <= cfg.LivenessTTL
}

// fail records a failure and starts its backoff. A failure during the backoff after an earlier one changes only the kind
// and time of the failure, because requests that were sent before the first failure may fail late.
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

// supersededBy reports whether r supersedes the current report. Copies of a report are forwarded for less than MaxBackoff,
// so after that time a lower incarnation means that the clock from which incarnations are taken was set back.
func (e *entry) supersededBy(r *encoder.LoadEntry, measured time.Time, cfg *Config) bool {
	if e.hasReport && measured.Sub(e.measured) > max(cfg.MaxBackoff, 2*cfg.LoadTTL) {
		return true
	}
	if !e.hasReport || r.Incarnation != e.report.Incarnation {
		return !e.hasReport || r.Incarnation > e.report.Incarnation
	}
	return r.Sequence > e.report.Sequence
}

// merge replaces the current report if r supersedes it, and reports whether it did.
func (e *entry) merge(r *encoder.LoadEntry, measured, now time.Time, cfg *Config) bool {
	if !e.supersededBy(r, measured, cfg) {
		// The age of a copy lacks the transit time of each hop, so the copy with the earliest time of measurement is the
		// most accurate.
		if e.hasReport && r.Incarnation == e.report.Incarnation && r.Sequence == e.report.Sequence && measured.Before(e.measured) {
			e.ready = e.ready.Add(measured.Sub(e.measured))
			e.measured = measured
		}
		return false
	}
	ready := measured.Add(-time.Duration(r.UptimeMS) * time.Millisecond)
	// Compares uptimes as reported, since ready times vary with the transit time of the reports.
	restarted := e.hasReport && (r.Incarnation != e.report.Incarnation || r.UptimeMS < e.report.UptimeMS)
	if restarted && !e.backingOff(now) && !e.failing() {
		// The failure is dated to the previous report, so that this report counts as one after the restart.
		e.fail(chooser.Down, e.measured, now, true, cfg)
	}
	if e.hasReport && ((r.UptimeMS == 0) != (e.report.UptimeMS == 0) || r.Leaving != e.report.Leaving) {
		e.statusChanged = now
	}
	version := r.Version
	if version == "" && e.hasReport && r.Incarnation == e.report.Incarnation {
		// Piggybacked reports omit the version.
		version = e.report.Version
	}
	e.hasReport = true
	e.report = *r
	e.report.Upstream, e.report.Hash, e.report.Version = e.host.Name, 0, version
	e.measured = measured
	e.ready = ready
	return true
}

// loadAge returns the age of the load report, and false if there is none or it has expired.
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
