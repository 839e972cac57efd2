package spender

import (
	"fmt"
	"math"
	"time"
)

const (
	// unusedPart is the part of an account's slice that may lapse unused without an alarm.
	unusedPart = 0.1
	// beyondPart is the part of the demand that may find no credit without an alarm.
	beyondPart = 0.1
	// maxWait bounds the advice when to ask again.
	maxWait = 10 * time.Minute
)

// Outlook projects an account's slice to the time it lapses.
type Outlook struct {
	Account string
	Lapses  time.Time
	// Supply is what the slice has and will accrue, and Demand what all ranks will ask of it, in tokens.
	Supply, Demand float64
}

// Alarm describes an account that will lapse unused or run out before its time; it is empty for any other.
func (o Outlook) Alarm() string {
	at := o.Lapses.UTC().Format(time.RFC3339)
	switch {
	case o.Supply <= 0:
		return ""
	case o.Demand < o.Supply*(1-unusedPart):
		return fmt.Sprintf("account %s will lapse unused at %s: demand for %s of what is left", o.Account, at, percent(o.Demand/o.Supply))
	case o.Demand*(1-beyondPart) > o.Supply:
		return fmt.Sprintf("account %s runs out before %s: demand for %s of what is left", o.Account, at, percent(o.Demand/o.Supply))
	}
	return ""
}

// percent rounds to tens, so that an alarm does not change with each request.
func percent(part float64) string { return fmt.Sprintf("%.0f%%", math.Round(part*10)*10) }

// Outlooks projects the accounts that have not lapsed, the first to lapse first. It returns none until the demand has
// been measured for long enough.
func (s *Spender) Outlooks(now time.Time) []Outlook {
	s.advance(now)
	rate := 0.0
	for _, d := range s.demand {
		rate += d.rate(now, s.cfg.Memory)
	}
	var list []Outlook
	covered := 0.0
	for _, a := range s.accounts {
		left := a.Lapses.Sub(s.last).Seconds()
		if left <= 0 || !s.learned(now, left) {
			continue
		}
		o := Outlook{Account: a.Name, Lapses: a.Lapses, Supply: s.supply(a), Demand: math.Max(0, rate*left-covered)}
		covered += math.Min(o.Supply, o.Demand)
		list = append(list, o)
	}
	return list
}

// supply returns what an account's slice has and will accrue, in tokens.
func (s *Spender) supply(a *account) float64 {
	return (a.balance() + a.accrual(s.last, a.Lapses)/float64(s.cfg.Agents)) / a.price
}

// Wait returns the time until an account has accrued enough for work in tokens; it is zero if it never will.
func (s *Spender) Wait(now time.Time, name string, work float64) time.Duration {
	s.advance(now)
	a := s.find(name)
	if a == nil || a.rate == 0 || s.supply(a) < work {
		return 0
	}
	missing := math.Max(0, work*a.price-a.balance())
	return min(time.Duration(missing*float64(s.cfg.Agents)/a.rate*float64(time.Second)), maxWait)
}
