package spender

import (
	"math"
	"time"
)

// demand measures the rate of work that a rank asks for, whether an account paid or not.
type demand struct {
	rank  string
	worth float64
	// weighted is the work asked for, in tokens, with less weight the older it is.
	weighted float64
	// peak is the largest recent request, so that one of its size finds its credits even if it is rare.
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

// minObserved keeps the first request of a rank from being projected as a high rate.
const minObserved = 10 * time.Second

// rate returns the work per second. It is not biased while the timeConstant fills.
func (d *demand) rate(now time.Time, timeConstant time.Duration) float64 {
	if d.start.IsZero() {
		return 0
	}
	d.decay(now, timeConstant)
	observed := max(now.Sub(d.start), minObserved).Seconds() / timeConstant.Seconds()
	return d.weighted / (timeConstant.Seconds() * (1 - math.Exp(-observed)))
}

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

// demandAbove returns the rate of demand of the ranks of greater worth, in tokens per second,
// and their largest recent request, in tokens.
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
