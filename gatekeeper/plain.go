package gatekeeper

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"clementineramp/dispatcher"
)

// plainSources returns the sources of limits, shares and latencies of plain services.
func (g *Gateway) plainSources() dispatcher.Config {
	return dispatcher.Config{
		Limit: g.estimator.Limit, Share: g.relayer.Share, Latency: g.estimator.Latency, Usual: g.estimator.Usual,
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
