package admitter

import (
	"math"
	"time"
)

const (
	// recentTime is the time over which the slots that an organisation held in the past fade. It is the window of the
	// guaranteed shares, so that both rules of fairness look back equally far.
	recentTime = defaultWindow
	// minRecent is the mean number of slots below which past use is forgotten.
	minRecent = 0.01
)

// holding is what an organisation holds of a rank, now and in the recent past.
type holding struct {
	weight float64
	// slots counts the running requests, and waiting the flows with waiting requests.
	slots, waiting int
	// used is the past use of slots on the scale of the rank's holdings.
	used float64
}

// active reports whether the organisation takes part in the division of the rank's slots.
func (h *holding) active() bool { return h.slots+h.waiting > 0 }

// holdings are the organisations of a rank. Past use fades exponentially. Instead of fading every value,
// the scale of new use grows, so that the order of organisations that hold no slot never changes.
type holdings struct {
	byName map[string]*holding
	// weight is the sum over the active organisations.
	weight float64
	// base is the time at which the scale is 1; last is the time up to which use is counted.
	base, last time.Time
	scale      float64
}

func (hs *holdings) of(organisation string) *holding {
	h := hs.byName[organisation]
	if h == nil {
		h = &holding{weight: 1}
		hs.byName[organisation] = h
	}
	return h
}

// change applies a change to an organisation and keeps the sum of weights.
func (hs *holdings) change(h *holding, f func(*holding)) {
	if h.active() {
		hs.weight -= h.weight
	}
	f(h)
	if h.active() {
		hs.weight += h.weight
	}
}

// advance moves the scale to a time and returns the use that each slot adds.
func (hs *holdings) advance(now time.Time) (use float64) {
	if hs.base.IsZero() {
		hs.base, hs.last, hs.scale = now, now, 1
		return 0
	}
	if !now.After(hs.last) {
		return 0
	}
	before := hs.scale
	hs.last = now
	hs.scale = math.Exp(now.Sub(hs.base).Seconds() / recentTime.Seconds())
	return recentTime.Seconds() * (hs.scale - before)
}

// rebase keeps the scale small and forgets organisations whose use has faded.
func (hs *holdings) rebase() {
	if hs.last.Sub(hs.base) <= recentTime {
		return
	}
	hs.weight = 0
	for name, h := range hs.byName {
		if !h.active() && hs.recent(h) < minRecent {
			delete(hs.byName, name)
			continue
		}
		h.used /= hs.scale
		if h.active() {
			hs.weight += h.weight
		}
	}
	hs.base, hs.scale = hs.last, 1
}

// recent returns the mean number of slots that an organisation held in the recent past.
func (hs *holdings) recent(h *holding) float64 {
	return h.used / hs.scale / recentTime.Seconds()
}
