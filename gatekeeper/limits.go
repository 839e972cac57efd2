package gatekeeper

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"clementineramp/appraiser"
	"clementineramp/estimator"
	"clementineramp/registrar"
)

const (
	// A change of a limit to less than lowLogRatio or more than highLogRatio of the one that was logged last is logged.
	lowLogRatio  = 0.5
	highLogRatio = 1.5
	// minLimitLogInterval is the least time between two log lines on an upstream, as a limit may cross the ratios several times
	// a second while its upstream changes its speed.
	minLimitLogInterval = 2 * time.Second
)

// loggedLimit is the limit of an upstream that was logged last, or its first one.
type loggedLimit struct {
	incarnation registrar.Incarnation
	limit       float64
	at          time.Time
}

// assembleLimits creates the parts that learn the limits of plain services, if the settings ask for it.
func (g *Gateway) assembleLimits() {
	if !g.cfg.Settings.LearnLimits {
		return
	}
	g.work = &estimator.Meter{}
	g.estimator = estimator.New(estimator.Config{
		View: g.upstreams.View,
		Usable: func(u registrar.Upstream, now time.Time) bool {
			return g.health.Health(u.ID, now) == appraiser.Good && !g.placer.Paused(u, now)
		},
	})
	g.loggedLimits = make(map[string]loggedLimit)
}

// recordSample records the result of an attempt, unless this gateway is saturated, which then measures itself, or the upstream
// is cold, which passes.
func (g *Gateway) recordSample(s estimator.Sample, now time.Time) {
	if saturated, _ := g.saturation.Saturated(); saturated {
		return
	}
	if now.Before(g.upstreams.View().Times[s.Upstream.ID].ColdUntil) {
		return
	}
	g.estimator.Record(s, now)
}

// updateLimits removes the state of upstreams that are gone, updates the gauges of upstreams of plain services that report no
// load, and logs limits that have changed much. It is called by the housekeeping only.
func (g *Gateway) updateLimits(view *registrar.View, now time.Time) {
	if g.estimator == nil {
		return
	}
	incarnations, plain := make(map[registrar.Incarnation]bool), make(map[string]bool)
	for _, lists := range []map[string][]registrar.Upstream{view.ByService, view.Leaving, view.Evacuated} {
		for _, list := range lists {
			for _, u := range list {
				incarnations[u.Incarnation()] = true
			}
		}
	}
	g.estimator.Prune(func(i registrar.Incarnation) bool { return incarnations[i] }, now)
	table := g.follower.Current().Table
	for service, list := range view.ByService {
		if table == nil || table.Services[service].Engine {
			continue
		}
		for _, u := range list {
			if !g.placer.Heard(u.ID).IsZero() {
				continue
			}
			plain[u.ID] = true
			e := g.estimator.Estimate(u, now)
			metrics.GetOrRegisterGauge("upstream_limit."+u.ID, g.registry).Update(int64(e.Limit + 0.5))
			metrics.GetOrRegisterGauge("upstream_slowdown_percent."+u.ID, g.registry).Update(int64(100*e.Slowdown + 0.5))
			g.logLimit(u, e, now)
		}
	}
	for id := range g.loggedLimits {
		if !plain[id] {
			delete(g.loggedLimits, id)
			g.registry.Unregister("upstream_limit." + id)
			g.registry.Unregister("upstream_slowdown_percent." + id)
		}
	}
}

// logLimit logs the limit of an upstream if it has changed much since it was logged.
func (g *Gateway) logLimit(u registrar.Upstream, e estimator.Estimate, now time.Time) {
	last, known := g.loggedLimits[u.ID]
	if !known || last.incarnation != u.Incarnation() {
		g.loggedLimits[u.ID] = loggedLimit{incarnation: u.Incarnation(), limit: e.Limit}
		return
	}
	ratio := e.Limit / last.limit
	if ratio > lowLogRatio && ratio < highLogRatio || now.Sub(last.at) < minLimitLogInterval {
		return
	}
	g.loggedLimits[u.ID] = loggedLimit{incarnation: u.Incarnation(), limit: e.Limit, at: now}
	g.log.Info("upstream_limit", "upstream", u.ID, "service", u.Service, "from", last.limit, "to", e.Limit, "slots", u.Slots,
		"slowdown", e.Slowdown, "goal", e.Goal, "latency_ms", e.Latency.Milliseconds(), "samples", e.Samples,
		"age_ms", e.Age.Milliseconds(), "confidence", e.Confidence)
}
