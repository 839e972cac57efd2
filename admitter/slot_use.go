package admitter

import (
	"math"
	"time"
)

const (
	// decayTime is the time over which the slots that an organisation held in the past fade. It is the window of the
	// guaranteed shares, so that both rules of fairness look back equally far.
	decayTime = defaultWindow
	// minRecentSlots is the mean number of slots below which past use is forgotten.
	minRecentSlots = 0.01
)

// slotUse is what an organisation holds of a rank, now and in the recent past.
type slotUse struct {
	weight float64
	// slots counts the running requests, and waiting the flows with waiting requests.
	slots, waiting int
	// scaledUse is the past use of slots on the scale of the rank's holdings.
	scaledUse float64
}

// active reports whether the organisation takes part in the division of the rank's slots.
func (u *slotUse) active() bool { return u.slots+u.waiting > 0 }

// slotUses are the organisations of a rank. Past use fades exponentially. Instead of fading every value,
// the scale of new use grows, so that the order of organisations that hold no slot never changes.
type slotUses struct {
	byName map[string]*slotUse
	// weight is the sum over the active organisations.
	weight float64
	// base is the time at which the scale is 1; last is the time up to which use is counted.
	base, last time.Time
	scale      float64
}

func (us *slotUses) get(organisation string) *slotUse {
	u := us.byName[organisation]
	if u == nil {
		u = &slotUse{weight: 1}
		us.byName[organisation] = u
	}
	return u
}

// update applies a change to an organisation and keeps the sum of weights.
func (us *slotUses) update(u *slotUse, f func(*slotUse)) {
	if u.active() {
		us.weight -= u.weight
	}
	f(u)
	if u.active() {
		us.weight += u.weight
	}
}

// advance moves the scale to a time and returns the use that each slot adds.
func (us *slotUses) advance(now time.Time) (usePerSlot float64) {
	if us.base.IsZero() {
		us.base, us.last, us.scale = now, now, 1
		return 0
	}
	if !now.After(us.last) {
		return 0
	}
	before := us.scale
	us.last = now
	us.scale = math.Exp(now.Sub(us.base).Seconds() / decayTime.Seconds())
	return decayTime.Seconds() * (us.scale - before)
}

// rebase keeps the scale small and forgets organisations whose use has faded.
func (us *slotUses) rebase() {
	if us.last.Sub(us.base) <= decayTime {
		return
	}
	us.weight = 0
	for name, u := range us.byName {
		if !u.active() && us.recentSlots(u) < minRecentSlots {
			delete(us.byName, name)
			continue
		}
		u.scaledUse /= us.scale
		if u.active() {
			us.weight += u.weight
		}
	}
	us.base, us.scale = us.last, 1
}

// recentSlots returns the mean number of slots that an organisation held in the recent past.
func (us *slotUses) recentSlots(u *slotUse) float64 {
	return u.scaledUse / us.scale / decayTime.Seconds()
}
