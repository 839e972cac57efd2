package gatekeeper

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"clementineramp/dispatcher"
)

// initialLimitFactor is the multiple of the slots of an upstream that is its limit as long as nothing has been learnt: beyond
// it, a request waits for twice the run time of those before it, which is about half of the time up to usual targets.
const initialLimitFactor = 3

// plainSources returns the sources of limits, shares and latencies of plain services.
func (g *Gateway) plainSources() dispatcher.Config {
	return dispatcher.Config{
		Limit: func(service string, now time.Time) float64 {
			if g.placer.PausedFor(service, now) > 0 {
				return 0
			}
			slots := 0
			for _, u := range g.upstreams.View().ByService[service] {
				slots += max(u.Slots, 1)
			}
			return initialLimitFactor * float64(slots)
		},
		Share:   func(string, time.Time) float64 { return 1 / float64(g.gateways()) },
		Latency: func(string, string, time.Time) time.Duration { return 0 },
		Usual:   func(string, string) time.Duration { return 0 },
	}
}

// newDispatcher returns the dispatcher of plain services, or nil if the settings do not enable it.
func (g *Gateway) newDispatcher() *dispatcher.Dispatcher {
	if !g.cfg.Settings.LearnLimits {
		return nil
	}
	cfg := g.plainSources()
	cfg.OnChange = g.logPlainOverload
	return dispatcher.New(cfg)
}

func (g *Gateway) logPlainOverload(e dispatcher.Event) {
	event := "overload_ended"
	if e.Began {
		event = "overload_began"
	}
	g.log.Warn(event, "service", e.Service, "cause", string(e.Cause), "refused", e.Refused, "latency_ms", e.Latency.Milliseconds(),
		"lasted_ms", e.Duration.Milliseconds())
}

// updatePlainGauges sets the gauges of the services that the dispatcher admits requests to.
func (g *Gateway) updatePlainGauges(now time.Time) {
	if g.dispatcher == nil {
		return
	}
	for _, service := range g.dispatcher.Services() {
		s := g.dispatcher.Status(service, now)
		gauge := func(name string, n int) { metrics.GetOrRegisterGauge(name+"."+service, g.registry).Update(int64(n)) }
		gauge("plain_in_progress", s.InProgress)
		gauge("plain_waiting", s.Waiting)
		gauge("plain_limit", int(s.Limit))
	}
}
