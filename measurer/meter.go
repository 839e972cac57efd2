package measurer

import (
	"math"
	"sync"
	"time"

	"clementineramp/chooser"
)

// member is an engine as it really is.
type engineState struct {
	work      float64
	available bool
	// counts says that the engine is part of the mean: one that joins or returns is from its first request on, since
	// routers hold it back until then.
	counted bool
}

// meter checks the load bound against the engines' own records, with the true mean at the moment of admission.
type meter struct {
	bound float64

	mu         sync.Mutex
	engines    map[string]*engineState
	checked    int
	violations int
	worstRatio float64
	// sum and span integrate the ratio of the largest load to the mean over time.
	ratioSeconds float64
	recordedTime time.Duration
	lastUpdate   time.Time
	// watching is false while the load builds up and drains.
	recording bool
}

func newMeter(bound float64, names []string) *meter {
	m := &meter{bound: bound, engines: map[string]*engineState{}}
	for _, n := range names {
		m.engines[n] = &engineState{available: true, counted: true}
	}
	return m
}

// change takes a change of an engine's running work; an increase is an admission and is checked.
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

// check applies the bound to an admission. Loads come in whole requests, so an engine that is idle, or not above the
// mean, may take one request whatever its size.
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

// setUp says that an engine takes work or takes none; one that leaves counts no more.
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

// loads returns the true load of each engine that takes work.
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

// skew returns the mean over time of the largest load as a multiple of the mean load.
func (m *meter) skew() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ratioSeconds / m.recordedTime.Seconds()
}
