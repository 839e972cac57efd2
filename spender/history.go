package spender

import (
	"math"
	"time"
)

const (
	// spendStep is the resolution with which spending is remembered.
	spendStep = time.Minute
	// maxSteps bounds the memory; older spending counts as if it were as old as the oldest step,
	// which holds back credits and never overspends.
	maxSteps = 24 * 60
)

// history remembers when credits were spent, so that a new sheet can count what was spent
// after the provider read the amount.
type history struct {
	steps []step
	sum   float64
}

type step struct {
	// until is the end of the time in which the credits were spent.
	until  time.Time
	amount float64
}

func (h *history) add(now time.Time, amount float64) {
	h.sum += amount
	until := now.Truncate(spendStep).Add(spendStep)
	if n := len(h.steps); n > 0 && !h.steps[n-1].until.Before(until) {
		h.steps[n-1].amount += amount
		return
	}
	if len(h.steps) == maxSteps {
		h.steps[1].amount += h.steps[0].amount
		h.steps = append(h.steps[:0], h.steps[1:]...)
	}
	h.steps = append(h.steps, step{until, amount})
}

// cut forgets what was spent before a time.
func (h *history) cut(before time.Time) {
	kept := h.steps[:0]
	h.sum = 0
	for _, st := range h.steps {
		if st.until.After(before) {
			kept = append(kept, st)
			h.sum += st.amount
		}
	}
	h.steps = kept
}

func (h *history) refund(amount float64) {
	for i := len(h.steps) - 1; i >= 0 && amount > 0; i-- {
		part := math.Min(amount, h.steps[i].amount)
		h.steps[i].amount -= part
		h.sum -= part
		amount -= part
	}
}
