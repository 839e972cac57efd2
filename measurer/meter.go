package measurer

import (
	"math"
	"sync"
	"time"

	"clementineramp/chooser"
)

// engineState is the true state of an engine, as opposed to what routers know of it.
type engineState struct {
	// work is the running work in tokens.
	work      float64
	available bool
	// counted says that the engine is part of the mean. An engine that joins or returns is counted from its first
	// request on, because routers exclude it from the mean until then.
	counted bool
}

// meter checks the load limit at each admission. It uses the engines' own records, so the mean load is the true one at
// that time.
type meter struct {
	// bound is the load factor.
	bound float64

	mu         sync.Mutex
	engines    map[string]*engineState
	checked    int
	violations int
	worstRatio float64
	// ratioSeconds is the integral over recordedTime of the ratio of the largest load to the mean load.
	ratioSeconds float64
	recordedTime time.Duration
	lastUpdate   time.Time
	// recording is false while the load builds up and while it decreases at the end.
	recording bool
}

func newMeter(bound float64, names []string) *meter {
	m := &meter{bound: bound, engines: map[string]*engineState{}}
	for _, n := range names {
		m.engines[n] = &engineState{available: true, counted: true}
	}
	return m
}

// recordWork records a change of an engine's running work, in tokens. An increase is an admission and is checked.
func (m *meter) recordWork(engine string, delta float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.integrate(now)
	e := m.engines[engine]
	if delta <= 0 {
		e.work = max(0, e.work+delta)
		return
	}
	e.counted = e.counted || e.available
	total, n := m.total()
	if m.recording && e.available {
		m.check(e, total, n, delta)
	}
	e.work += delta
}

// check applies the load limit to an admission. Load consists of whole requests, so an engine that is idle, or not
// above the mean, may accept one request of any size.
func (m *meter) check(e *engineState, total float64, n int, cost float64) {
	m.checked++
	if e.work <= 0 || chooser.AtOrBelowMean(e.work, total, n) {
		return
	}
	ratio := (e.work + cost) * float64(n) / (total + cost)
	m.worstRatio = max(m.worstRatio, ratio)
	if !chooser.Admits(e.work, cost, chooser.Limit(m.bound, total, n, cost)) {
		m.violations++
	}
}

func (m *meter) total() (total float64, n int) {
	for _, e := range m.engines {
		if !e.available || !e.counted {
			continue
		}
		total += e.work
		n++
	}
	return total, n
}

func (m *meter) integrate(now time.Time) {
	if total, n := m.total(); m.recording && total > 0 {
		largest := 0.0
		for _, e := range m.engines {
			if e.available {
				largest = math.Max(largest, e.work)
			}
		}
		d := now.Sub(m.lastUpdate)
		m.ratioSeconds += largest * float64(n) / total * d.Seconds()
		m.recordedTime += d
	}
	m.lastUpdate = now
}

// setAvailable records whether an engine accepts work. An engine that becomes unavailable is no longer counted in the
// mean; one that becomes available is counted from its first request on.
func (m *meter) setAvailable(engine string, available bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.integrate(time.Now())
	e := m.engines[engine]
	e.available, e.counted = available, false
}

func (m *meter) setRecording(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.integrate(time.Now())
	m.recording = on
}

// loads returns the true load of each available engine, in tokens.
func (m *meter) loads() map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]float64{}
	for name, e := range m.engines {
		if e.available {
			out[name] = e.work
		}
	}
	return out
}

// skew returns the time average of the largest load as a multiple of the mean load.
func (m *meter) skew() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ratioSeconds / m.recordedTime.Seconds()
}
