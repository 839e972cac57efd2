package gatekeeper

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"clementineramp/appraiser"
	"clementineramp/arbiter"
	"clementineramp/dispatcher"
	"clementineramp/registrar"
)

// maxFleetFactor is the multiple of an upstream's slots that the owner of a service lets be in progress there. The slots stay in
// use while responses and grants are under way, and the other requests wait at the owner, where the most urgent goes first.
const maxFleetFactor = 2

// assemblePlaces creates the parts that admit requests to plain services, if the settings ask for it.
func (g *Gateway) assemblePlaces() {
	if g.estimator == nil {
		return
	}
	own := dispatcher.Config{
		Limit: g.estimator.Limit, Share: func(service string, now time.Time) float64 { return g.relayer.Share(service, now) },
		Latency: g.estimator.Latency, Usual: g.estimator.Usual, OnChange: g.logPlainOverload, ReturningLast: true,
	}
	fleet := own
	fleet.Exact, fleet.Limit, fleet.Share = true, g.fleetLimit, nil
	g.ownPlaces, g.fleetPlaces = dispatcher.New(own), dispatcher.New(fleet)
	g.arbiter = arbiter.New(arbiter.Config{
		Self: g.cfg.Settings.PeerListen.String(), Local: g.ownPlaces, Fleet: g.fleetPlaces, Candidates: g.plainCandidates,
		Owner: func(service string, now time.Time, except ...string) string {
			return g.relayer.Owner(service, now, except...)
		},
		Call: func(ctx context.Context, peer, method string, args, reply any) error {
			return g.relayer.Call(ctx, peer, method, args, reply)
		},
		OnLost: func(service, owner string, err error) {
			g.log.Warn("places_owner_lost", "service", service, "owner", owner, "error", err.Error())
		},
	})
}

// plainUpstreams returns the upstreams of a plain service that are in use: the good ones, or all reachable ones if those are
// fewer than half, as the placer does; all if none is reachable.
func (g *Gateway) plainUpstreams(service string, now time.Time) []registrar.Upstream {
	all := g.upstreams.View().ByService[service]
	var good, reachable []registrar.Upstream
	for _, u := range all {
		if g.placer.Paused(u, now) {
			continue
		}
		switch g.health.Health(u.ID, now) {
		case appraiser.Good:
			good = append(good, u)
		case appraiser.Unreachable:
			continue
		case appraiser.Trial, appraiser.Suspect:
		}
		reachable = append(reachable, u)
	}
	switch {
	case 2*len(good) >= len(all) && len(good) > 0:
		return good
	case len(reachable) > 0:
		return reachable
	}
	return all
}

// fleetLimit returns the number of requests of all gateways that may be in progress at a plain service.
func (g *Gateway) fleetLimit(service string, now time.Time) float64 {
	sum := 0.0
	for _, c := range g.plainCandidates(service, now) {
		sum += c.Limit
	}
	return sum
}

func (g *Gateway) plainCandidates(service string, now time.Time) []arbiter.Candidate {
	var list []arbiter.Candidate
	for _, u := range g.plainUpstreams(service, now) {
		e, slots := g.estimator.Estimate(u, now), float64(max(u.Slots, 1))
		list = append(list, arbiter.Candidate{ID: u.ID, Slots: slots, Limit: min(e.Limit, maxFleetFactor*slots), Slowdown: e.Slowdown})
	}
	return list
}

func (g *Gateway) logPlainOverload(e dispatcher.Event) {
	event := "overload_ended"
	if e.Began {
		event = "overload_began"
	}
	g.log.Warn(event, "service", e.Service, "cause", string(e.Cause), "refused", e.Refused, "latency_ms", e.Latency.Milliseconds(),
		"lasted_ms", e.Duration.Milliseconds())
}

// updatePlainGauges sets the gauges of the services to which requests are admitted: those of this gateway that were admitted by
// its own share, and those of all gateways that it has admitted as the owner of the service.
func (g *Gateway) updatePlainGauges(now time.Time) {
	if g.arbiter == nil {
		return
	}
	metrics.GetOrRegisterGauge("plain_admitted_by_share", g.registry).Update(g.arbiter.LocalUses())
	for prefix, d := range map[string]*dispatcher.Dispatcher{"plain": g.ownPlaces, "plain_fleet": g.fleetPlaces} {
		for _, service := range d.Services() {
			s := d.Status(service, now)
			gauge := func(name string, n int) {
				metrics.GetOrRegisterGauge(prefix+"_"+name+"."+service, g.registry).Update(int64(n))
			}
			gauge("in_progress", s.InProgress)
			gauge("waiting", s.Waiting)
			gauge("limit", int(s.Limit))
		}
	}
}
