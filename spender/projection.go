package spender

import (
	"fmt"
	"math"
	"time"
)

const (
	// unusedFraction is the fraction of the supply that may expire unused without an alarm.
	unusedFraction = 0.1
	// unmetFraction is the fraction of the demand that may exceed the supply without an alarm.
	unmetFraction = 0.1
	// maxRetryAfter bounds the delay that RetryAfter returns.
	maxRetryAfter = 10 * time.Minute
)

// Projection compares the supply of this agent's share of an account with the demand until the account expires.
type Projection struct {
	Account string
	// Lapses is the time the account expires.
	Lapses time.Time
	// Supply is the balance of the share and what it will still accrue. Demand is the projected demand of all ranks
	// that accounts expiring earlier do not cover. Both are in tokens.
	Supply, Demand float64
}

// Alarm returns a message for the operator if the account is projected to expire partly unused or to run out before it
// expires, and the empty string otherwise.
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

// percent rounds to multiples of 10%, so that the text of an alarm does not change with each request.
func percent(fraction float64) string { return fmt.Sprintf("%.0f%%", math.Round(fraction*10)*10) }

// Projections returns the projections of the accounts that have not expired, ordered by the time they expire. It omits an
// account until demand has been measured for the reserve time or for the account's remaining time, if that is shorter.
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

// supply returns the balance of this agent's share of an account and what it will still accrue, in tokens.
func (s *Spender) supply(a *account) float64 {
	return (a.balance() + a.accrual(s.last, a.Lapses)/float64(s.cfg.Agents)) / a.price
}

// RetryAfter returns the time until an account has accrued enough for work, in tokens, up to 10 min. It is zero if the
// account has enough now, will never have enough or is unknown.
func (s *Spender) RetryAfter(now time.Time, name string, work float64) time.Duration {
	s.accrue(now)
	a := s.find(name)
	if a == nil || a.rate == 0 || s.supply(a) < work {
		return 0
	}
	missing := math.Max(0, work*a.price-a.balance())
	return min(time.Duration(missing*float64(s.cfg.Agents)/a.rate*float64(time.Second)), maxRetryAfter)
}
