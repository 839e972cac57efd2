package admitter

import (
	"math"
	"time"
)

const (
	// decayTime is the time constant with which past slot use decays exponentially. It equals the default window of
	// the guaranteed shares, so that both fairness rules look back over the same time.
	decayTime = defaultWindow
	// minRecentSlots is the mean number of slots below which past use is discarded.
	minRecentSlots = 0.01
)

// slotUse is an organisation's use of slots in a rank, at present and in the recent past.
type slotUse struct {
	weight float64
	// slots counts the requests that hold a slot; waiting counts the flows with queued requests and the paused requests.
	slots, waiting int
	// scaledUse is the decayed slot use in slot-seconds, multiplied by slotUses.scale.
	scaledUse float64
}

// active reports whether the organisation has running or waiting requests and so counts for the fair shares of slots.
func (u *slotUse) active() bool { return u.slots+u.waiting > 0 }

// slotUses holds the slot use of the organisations of a rank. Past use decays exponentially. Instead of decaying every
// value, the scale of new use grows, so that the heap order of organisations that hold no slot does not change.
type slotUses struct {
	byName map[string]*slotUse
	// weight is the sum of the weights of the active organisations.
	weight float64
	// base is the time at which scale is 1; last is the time up to which use has been counted.
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

// update applies f to the use of an organisation and updates the sum of weights.
func (us *slotUses) update(u *slotUse, f func(*slotUse)) {
	if u.active() {
		us.weight -= u.weight
	}
	f(u)
	if u.active() {
		us.weight += u.weight
	}
}

// advance advances the scale to now and returns the scaled use that each held slot adds since the last call.
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

// rebase resets the scale to 1 once it covers more than decayTime, which keeps it small, and removes inactive
// organisations whose use has decayed below minRecentSlots.
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
