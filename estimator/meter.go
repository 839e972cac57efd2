package estimator

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// meterTime is the time constant of the means of a Meter: long enough for a service with one request a second, and short
	// beside the time after which peers no longer count as live.
	meterTime = 2 * time.Second
	// MaxWork is the number of services whose work is stated to other gateways.
	MaxWork = 4
	// minRate is the rate in requests a second below which a service has no work.
	minRate = 0.01
)

// Work is the work of a gateway for a plain service.
type Work struct {
	Service string
	// Rate is the number of requests a second that arrive, and InProgress the mean number at upstreams.
	Rate, InProgress float64
}

// Meter measures the work of this gateway for each service. Its zero value is ready for use; it is safe for concurrent use.
type Meter struct {
	mu       sync.Mutex
	services map[string]*flow
}

// flow is the work for one service.
type flow struct {
	at               time.Time
	current          int
	rate, inProgress float64
}

// CountRequest counts a request that has arrived for a service.
func (m *Meter) CountRequest(service string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.flow(service, now).rate += 1 / meterTime.Seconds()
}

// Begin counts a request as in progress at an upstream of a service, until End.
func (m *Meter) Begin(service string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.flow(service, now).current++
}

// End ends a request that Begin counted.
func (m *Meter) End(service string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.flow(service, now).current--
}

// flow returns the work for a service with its means advanced to now. The caller holds m.mu.
func (m *Meter) flow(service string, now time.Time) *flow {
	f := m.services[service]
	if f == nil {
		if m.services == nil {
			m.services = make(map[string]*flow)
		}
		f = &flow{at: now}
		m.services[service] = f
	}
	if dt := now.Sub(f.at); dt > 0 {
		keep := math.Exp(-dt.Seconds() / meterTime.Seconds())
		f.rate *= keep
		f.inProgress = f.inProgress*keep + float64(f.current)*(1-keep)
		f.at = now
	}
	return f
}

// Work returns the work for the services with the most requests, at most MaxWork, and forgets those without any.
func (m *Meter) Work(now time.Time) []Work {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []Work
	for service := range m.services {
		f := m.flow(service, now)
		if f.rate < minRate && f.current <= 0 {
			delete(m.services, service)
			continue
		}
		all = append(all, Work{Service: service, Rate: f.rate, InProgress: f.inProgress})
	}
	slices.SortFunc(all, func(a, b Work) int { return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Service, b.Service)) })
	return all[:min(len(all), MaxWork)]
}
