package spender

import (
	"math"
	"time"
)

const (
	// bucketSize is the time resolution of the history.
	bucketSize = time.Minute
	// maxBuckets bounds the number of buckets. The oldest bucket is merged into the next one, so that its spending
	// counts as more recent than it was; this can withhold credits but never overspends them.
	maxBuckets = 24 * 60
)

// history records when credits were spent. A new sheet gives the amount of an account at the time when the provider read
// it, from which spending after that time has to be subtracted.
type history struct {
	buckets []bucket
	sum     float64
}

type bucket struct {
	// end is the end of the interval in which the credits were spent.
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

// prune removes the buckets that end at or before a time.
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

// refund subtracts an amount from the spending, the latest first.
func (h *history) refund(amount float64) {
	for i := len(h.buckets) - 1; i >= 0 && amount > 0; i-- {
		refunded := math.Min(amount, h.buckets[i].amount)
		h.buckets[i].amount -= refunded
		h.sum -= refunded
		amount -= refunded
	}
}
