package proxier

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"clementineramp/judge"
	"clementineramp/placer"
)

// successSample is the sampling rate of successes at the first attempt: one in this many is logged. Refusals, failures
// and requests with retries are always logged.
const successSample = 16

// histogramSize and histogramAlpha are the customary values for an exponentially decaying sample.
const (
	histogramSize  = 1028
	histogramAlpha = 0.015
)

// instruments are the counters and histograms of a Proxier.
type instruments struct {
	registry       metrics.Registry
	retries        metrics.Counter
	budgetRefused  metrics.Counter
	upstreamBroken metrics.Counter
	writeErrors    metrics.Counter
	leavingMarks   metrics.Counter
	pauses         metrics.Counter
	pausedRefusals metrics.Counter
	// evacuatedRefusals counts the requests that were refused because the failure domains of all upstreams are evacuated.
	evacuatedRefusals metrics.Counter
	// coldRefusals counts those that were refused because only cold upstreams were left.
	coldRefusals metrics.Counter
	latency      map[string]metrics.Histogram
	// plainWaits holds the waits for places at plain services; nil without a dispatcher.
	plainWaits metrics.Histogram
}

func newInstruments(r metrics.Registry) *instruments {
	m := &instruments{
		registry:       r,
		retries:        metrics.GetOrRegisterCounter("second_tries", r),
		budgetRefused:  metrics.GetOrRegisterCounter("second_tries_refused_by_budget", r),
		upstreamBroken: metrics.GetOrRegisterCounter("upstream_answers_broken", r),
		writeErrors:    metrics.GetOrRegisterCounter("caller_write_errors", r),
		leavingMarks:   metrics.GetOrRegisterCounter("leaving_marks", r),
		pauses:         metrics.GetOrRegisterCounter("upstream_pauses", r),
		pausedRefusals: metrics.GetOrRegisterCounter("refused_while_upstreams_pause", r),

		evacuatedRefusals: metrics.GetOrRegisterCounter("refused_while_evacuated", r),
		coldRefusals:      metrics.GetOrRegisterCounter("refused_while_cold", r),
		latency:           make(map[string]metrics.Histogram),
	}
	for _, kind := range []string{"stream", "idempotent", "non_idempotent"} {
		m.latency[kind] = metrics.GetOrRegisterHistogram("first_byte_ms."+kind, r,
			metrics.NewExpDecaySample(histogramSize, histogramAlpha))
	}
	return m
}

// addWaits registers the histogram of the waits for places at plain services.
func (m *instruments) addWaits() {
	m.plainWaits = metrics.GetOrRegisterHistogram("plain_wait_ms", m.registry, metrics.NewExpDecaySample(histogramSize, histogramAlpha))
}

// recordOutcome counts and logs the final response; status 0 means that the connection was closed instead.
func (j *job) recordOutcome(status int, reason judge.Reason, text string) {
	took := time.Since(j.started)
	kind, route := "none", ""
	if j.route != nil {
		kind, route = j.route.Kind.String(), j.route.Name
	}
	outcome := "served"
	switch {
	case status == 0:
		outcome = "cut"
	case reason != "" && impliesNotRun(status):
		outcome = "refused"
	case status >= 400:
		outcome = "failed"
	}
	m := j.p.instruments
	metrics.GetOrRegisterCounter("requests."+kind+"."+outcome, m.registry).Inc(1)
	if reason != "" {
		metrics.GetOrRegisterCounter("reasons."+string(reason), m.registry).Inc(1)
	}
	if h := m.latency[kind]; h != nil && outcome == "served" {
		h.Update(j.firstByte.Milliseconds())
	}
	if outcome == "served" && len(j.tried) == 0 && j.p.successes.Add(1)%successSample != 0 {
		return
	}
	// A request is cut for a caller that has left only if its connection is closed; the context of a request that
	// http.Server has cancelled for another reason does not tell.
	callerClosed := outcome == "cut" && j.p.cfg.CallerLeft(j.r.Context())
	var version uint64
	if j.current.Table != nil {
		version = j.current.Table.Version
	}
	j.p.cfg.Log.Info("request_ended",
		"request", j.ID, "route", route, "kind", kind, "urgency", j.urgency, "service", j.service,
		"outcome", outcome, "status", status, "reason", string(reason), "text", text, "caller_closed", callerClosed,
		"upstream", j.choice.Upstream.ID, "grade", j.choice.Health.String(), "load", j.choice.Load, "mean_load", j.choice.Mean,
		"report_age_ms", j.choice.ReportAge.Milliseconds(), "place", j.choice.Position, "candidates", j.choice.Candidates,
		"leaving", j.choice.Leaving, "evacuated", j.choice.Evacuated, "paused", j.choice.Paused, "cold", j.choice.Cold,
		"occupancy", j.occupancy, "excess", j.refusedShare, "queued_ms", j.queued.Milliseconds(), "arrivals", j.arrivals, "runs", j.runs,
		"events", j.stream.events, "last_event", j.stream.lastEvent,
		"configuration", version, "configuration_age_ms", time.Since(j.current.Confirmed).Milliseconds(),
		"first_byte_ms", j.firstByte.Milliseconds(), "took_ms", took.Milliseconds(),
		"deadline_ms", j.deadline.Sub(j.started).Milliseconds())
}

// logAttempt logs an attempt after which the caller has no final response, and whether a retry follows.
func (j *job) logAttempt(c placer.Choice, v verdict, err error, retry bool) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	j.p.cfg.Log.Info("attempt_failed",
		"request", j.ID, "upstream", c.Upstream.ID, "address", c.Upstream.Address, "grade", c.Health.String(),
		"load", c.Load, "mean_load", c.Mean, "report_age_ms", c.ReportAge.Milliseconds(), "place", c.Position,
		"verdict", verdictNames[v], "error", text, "arrivals", j.arrivals, "runs", j.runs, "again", retry,
		"after_ms", time.Since(j.started).Milliseconds())
}

var verdictNames = [...]string{
	done: "done", notSent: "not_sent", turnedAway: "turned_away", mayHaveRun: "may_have_run", failed: "failed",
}
