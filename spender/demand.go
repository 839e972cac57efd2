package spender

import (
	"math"
	"time"
)

// demand measures the rate of work that a rank requests, whether or not an account paid for it.
type demand struct {
	rank  string
	worth float64
	// weighted is the sum of the requested work, in tokens, each request weighted down exponentially with its age.
	weighted float64
	// peak is the largest request, in tokens, decayed like weighted. It is part of the reserve, so that a request of
	// this size finds enough credits even if such requests are rare.
	peak        float64
	start, last time.Time
}

func (d *demand) decay(now time.Time, timeConstant time.Duration) {
	if d.start.IsZero() {
		d.start, d.last = now, now
	}
	if now.After(d.last) {
		factor := math.Exp(-now.Sub(d.last).Seconds() / timeConstant.Seconds())
		d.weighted *= factor
		d.peak *= factor
		d.last = now
	}
}

func (d *demand) add(now time.Time, work float64, timeConstant time.Duration) {
	d.decay(now, timeConstant)
	d.weighted += work
	d.peak = math.Max(d.peak, work)
}

// minObserved is the shortest observation time that rate divides by. It prevents the first request of a rank from being
// projected as a high rate.
const minObserved = 10 * time.Second

// rate returns the requested work in tokens per second. It corrects for an observation time that is still short compared
// with the time constant and would otherwise bias the rate downwards.
func (d *demand) rate(now time.Time, timeConstant time.Duration) float64 {
	if d.start.IsZero() {
		return 0
	}
	d.decay(now, timeConstant)
	observed := max(now.Sub(d.start), minObserved).Seconds() / timeConstant.Seconds()
	return d.weighted / (timeConstant.Seconds() * (1 - math.Exp(-observed)))
}

// demandOf returns the demand of a rank, and adds one of zero worth if the rank is unknown.
func (s *Spender) demandOf(rank string) *demand {
	for _, d := range s.demand {
		if d.rank == rank {
			return d
		}
	}
	d := &demand{rank: rank}
	s.demand = append(s.demand, d)
	return d
}

// demandAbove returns the total demand of the ranks of greater worth than rank, in tokens per second, and their largest
// recent request, in tokens.
func (s *Spender) demandAbove(rank string, now time.Time) (rate, peak float64) {
	worth := s.demandOf(rank).worth
	for _, d := range s.demand {
		if d.worth > worth {
			rate += d.rate(now, s.cfg.TimeConstant)
			peak = math.Max(peak, d.peak)
		}
	}
	return rate, peak
}

func (s *Spender) hasRankAbove(rank string) bool {
	worth := s.demandOf(rank).worth
	for _, d := range s.demand {
		if d.worth > worth {
			return true
		}
	}
	return false
}
