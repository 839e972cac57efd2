package spender

import (
	"math"
	"time"
)

const (
	// bucketSize is the resolution with which spending is remembered.
	bucketSize = time.Minute
	// maxBuckets bounds the memory; older spending counts as if it were as old as the oldest step,
	// which holds back credits and never overspends.
	maxBuckets = 24 * 60
)

// history remembers when credits were spent, so that a new sheet can count what was spent
// after the provider read the amount.
type history struct {
	buckets []bucket
	sum     float64
}

type bucket struct {
	// end is the end of the time in which the credits were spent.
	end    time.Time
	amount float64
}

func (h *history) add(now time.Time, amount float64) {
	h.sum += amount
	end := now.Truncate(bucketSize).Add(bucketSize)
	if n := len(h.buckets); n > 0 && !h.buckets[n-1].end.Before(end) {
		h.buckets[n-1].amount += amount
		return
	}
	if len(h.buckets) == maxBuckets {
		h.buckets[1].amount += h.buckets[0].amount
		h.buckets = append(h.buckets[:0], h.buckets[1:]...)
	}
	h.buckets = append(h.buckets, bucket{end, amount})
}

// prune forgets what was spent before a time.
func (h *history) prune(before time.Time) {
	kept := h.buckets[:0]
	h.sum = 0
	for _, b := range h.buckets {
		if b.end.After(before) {
			kept = append(kept, b)
			h.sum += b.amount
		}
	}
	h.buckets = kept
}

func (h *history) refund(amount float64) {
	for i := len(h.buckets) - 1; i >= 0 && amount > 0; i-- {
		refunded := math.Min(amount, h.buckets[i].amount)
		h.buckets[i].amount -= refunded
		h.sum -= refunded
		amount -= refunded
	}
}
