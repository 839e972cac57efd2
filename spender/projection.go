package spender

import (
	"fmt"
	"math"
	"time"
)

const (
	// unusedFraction is the part of an account's slice that may lapse unused without an alarm.
	unusedFraction = 0.1
	// unmetFraction is the part of the demand that may find no credit without an alarm.
	unmetFraction = 0.1
	// maxRetryAfter bounds the advice when to ask again.
	maxRetryAfter = 10 * time.Minute
)

// Projection projects an account's slice to the time it lapses.
type Projection struct {
	Account string
	Lapses  time.Time
	// Supply is what the slice has and will accrue, and Demand what all ranks will ask of it, in tokens.
	Supply, Demand float64
}

// Alarm describes an account that will lapse unused or run out before its time; it is empty for any other.
func (p Projection) Alarm() string {
	at := p.Lapses.UTC().Format(time.RFC3339)
	switch {
	case p.Supply <= 0:
		return ""
	case p.Demand < p.Supply*(1-unusedFraction):
		return fmt.Sprintf("account %s will lapse unused at %s: demand for %s of what is left", p.Account, at, percent(p.Demand/p.Supply))
	case p.Demand*(1-unmetFraction) > p.Supply:
		return fmt.Sprintf("account %s runs out before %s: demand for %s of what is left", p.Account, at, percent(p.Demand/p.Supply))
	}
	return ""
}

// percent rounds to tens, so that an alarm does not change with each request.
func percent(fraction float64) string { return fmt.Sprintf("%.0f%%", math.Round(fraction*10)*10) }

// Projections projects the accounts that have not lapsed, the first to lapse first. It returns none until the demand has
// been measured for long enough.
func (s *Spender) Projections(now time.Time) []Projection {
	s.accrue(now)
	rate := 0.0
	for _, d := range s.demand {
		rate += d.rate(now, s.cfg.TimeConstant)
	}
	var list []Projection
	covered := 0.0
	for _, a := range s.accounts {
		remaining := a.Lapses.Sub(s.last).Seconds()
		if remaining <= 0 || !s.demandMeasured(now, remaining) {
			continue
		}
		p := Projection{Account: a.Name, Lapses: a.Lapses, Supply: s.supply(a), Demand: math.Max(0, rate*remaining-covered)}
		covered += math.Min(p.Supply, p.Demand)
		list = append(list, p)
	}
	return list
}

// supply returns what an account's slice has and will accrue, in tokens.
func (s *Spender) supply(a *account) float64 {
	return (a.balance() + a.accrual(s.last, a.Lapses)/float64(s.cfg.Agents)) / a.price
}

// RetryAfter returns the time until an account has accrued enough for work in tokens; it is zero if it never will.
func (s *Spender) RetryAfter(now time.Time, name string, work float64) time.Duration {
	s.accrue(now)
	a := s.find(name)
	if a == nil || a.rate == 0 || s.supply(a) < work {
		return 0
	}
	missing := math.Max(0, work*a.price-a.balance())
	return min(time.Duration(missing*float64(s.cfg.Agents)/a.rate*float64(time.Second)), maxRetryAfter)
}
