package spender

import (
	"cmp"
	"math"
	"slices"
	"time"

	"clementineramp/configurer"
)

const (
	// defaultTimeConstant is the time over which the rate of demand is averaged.
	defaultTimeConstant = 10 * time.Minute
	// defaultReserve is the time for which demand of greater worth is kept in the balance.
	// With 20 agents at 3 tokens/s each, 1 min paid 97.5% of the most urgent work and 5 min more than 99%.
	defaultReserve = 5 * time.Minute
)

// Config holds the parameters of a Spender.
type Config struct {
	// Agents is the number of agents that share the accounts, from the configuration and
	// not from the live list: agents that see different lists must not take larger slices.
	Agents int
	// Ranks gives the worth of each rank; a rank that is not listed has the least.
	Ranks []configurer.Rank
	// TimeConstant is the time over which the rate of demand is averaged; zero means 10 min.
	TimeConstant time.Duration
	// Reserve is the time for which demand of greater worth is kept in the balance; zero means 5 min.
	Reserve time.Duration
	// Advance is the time of accrual that a process may spend as soon as it has an account; what it then accrues first
	// covers the advance. A restart overspends by at most this; zero means that a process starts with nothing.
	Advance time.Duration
}

// account is this agent's slice of an account.
type account struct {
	configurer.Account
	// price is the number of credits per token.
	price float64
	// rate is the number of credits per second that an agent alone would accrue.
	rate float64
	// addedAt is when this process first had the account.
	addedAt time.Time
	accrued float64
	// advance is what may be spent before as much has accrued, in credits.
	advance float64
	spent   history
}

func (a *account) balance() float64 {
	return math.Max(0, math.Max(a.accrued, a.advance)-a.spent.sum)
}

// Spender decides which account pays for a request.
type Spender struct {
	cfg Config
	// accounts are ordered by the time they lapse.
	accounts []*account
	demand   []*demand
	// started is when this process began to accrue, last the latest time it has seen.
	started, last time.Time
	// maxAgents is the largest number of agents since the start.
	maxAgents int
	decision  Decision
}

// New returns a Spender that accrues from now on.
func New(now time.Time, cfg Config) *Spender {
	if cfg.TimeConstant <= 0 {
		cfg.TimeConstant = defaultTimeConstant
	}
	if cfg.Reserve <= 0 {
		cfg.Reserve = defaultReserve
	}
	s := &Spender{cfg: cfg, started: now, last: now}
	s.SetAgents(now, cfg.Agents)
	s.SetRanks(cfg.Ranks)
	return s
}

// SetAgents adopts the number of agents of a new configuration; the slice is smaller or larger from now on.
func (s *Spender) SetAgents(now time.Time, agents int) {
	s.accrue(now)
	s.cfg.Agents = max(agents, 1)
	s.maxAgents = max(s.maxAgents, s.cfg.Agents)
}

// SetRanks adopts the ranks of a new configuration and keeps the measured demand.
func (s *Spender) SetRanks(ranks []configurer.Rank) {
	s.cfg.Ranks = ranks
	for _, r := range ranks {
		s.demandOf(r.Name).worth = r.Worth
	}
}

// SetAccounts adopts the accounts of a sheet. A changed account accrues from its AsOf, less what
// was spent since; an account that this process did not have accrues from now on.
func (s *Spender) SetAccounts(now time.Time, accounts []configurer.Account) {
	s.accrue(now)
	next := make([]*account, 0, len(accounts))
	for _, listed := range accounts {
		old := s.find(listed.Name)
		switch {
		case old != nil && sameAccount(old.Account, listed):
			next = append(next, old)
		case old != nil:
			next = append(next, s.newAccount(listed, old.addedAt, old.spent))
		default:
			next = append(next, s.newAccount(listed, s.last, history{}))
		}
	}
	slices.SortStableFunc(next, func(a, b *account) int {
		return cmp.Or(a.Lapses.Compare(b.Lapses), cmp.Compare(a.Name, b.Name))
	})
	s.accounts = next
}

func sameAccount(a, b configurer.Account) bool {
	return a.Amount == b.Amount && a.CreditsPerToken == b.CreditsPerToken && a.AsOf.Equal(b.AsOf) && a.Lapses.Equal(b.Lapses)
}

func (s *Spender) find(name string) *account {
	for _, a := range s.accounts {
		if a.Name == name {
			return a
		}
	}
	return nil
}

func (s *Spender) newAccount(listed configurer.Account, addedAt time.Time, spent history) *account {
	a := &account{Account: listed, price: listed.CreditsPerToken, addedAt: addedAt, spent: spent}
	if !(a.price > 0) {
		a.price = 1
	}
	if remaining := listed.Lapses.Sub(listed.AsOf).Seconds(); remaining > 0 && listed.Amount > 0 {
		a.rate = listed.Amount / remaining
	}
	a.spent.prune(listed.AsOf)
	// The largest number of agents counts for the time that has passed, since each of them may have spent its slice.
	a.accrued = a.accrual(addedAt, s.last) / float64(s.maxAgents)
	a.advance = a.accrual(addedAt, addedAt.Add(s.cfg.Advance)) / float64(s.maxAgents)
	return a
}

// hasAdvance reports whether a good part of the advance is left, so that all ranks may use it before the demand of the
// ranks of greater worth is known.
func (a *account) hasAdvance() bool {
	return a.advance > 0 && a.balance() > a.advance/2
}

// accrual returns the credits that an agent alone would accrue between two times.
func (a *account) accrual(from, to time.Time) float64 {
	if from.Before(a.AsOf) {
		from = a.AsOf
	}
	if to.After(a.Lapses) {
		to = a.Lapses
	}
	return a.rate * math.Max(0, to.Sub(from).Seconds())
}

// accrue accrues up to now. A clock that is set back accrues nothing until it has caught up.
func (s *Spender) accrue(now time.Time) {
	if !now.After(s.last) {
		return
	}
	for _, a := range s.accounts {
		a.accrued += a.accrual(s.last, now) / float64(s.cfg.Agents)
	}
	s.last = now
}

// Spend names the account that pays for work of a rank, in tokens, and takes the credits from it.
// It reports false if no account may pay for the request now.
func (s *Spender) Spend(now time.Time, rank string, cost float64) (name string, ok bool) {
	s.accrue(now)
	d := Decision{Rank: rank, Cost: cost, Reason: ReasonNoAccount}
	if !(cost >= 0) || math.IsInf(cost, 0) {
		d.Reason = ReasonInvalid
		s.decision = d
		return "", false
	}
	s.demandOf(rank).add(now, cost, s.cfg.TimeConstant)
	// The demand of greater worth that no account so far has covered is what later accounts are kept for.
	var peak float64
	d.ReservedRate, peak = s.demandAbove(rank, now)
	covered := 0.0
	for _, a := range s.accounts {
		remaining := a.Lapses.Sub(s.last).Seconds()
		if remaining <= 0 {
			continue
		}
		c := s.project(a, d.ReservedRate, peak, covered, remaining)
		covered += c.covered
		c.decide(cost, s.demandMeasured(now, remaining) || a.hasAdvance() || d.ReservedRate == 0 && !s.hasRankAbove(rank))
		d.setCandidate(c)
		if c.Reason != ReasonPays {
			continue
		}
		a.spent.add(s.last, cost*a.price)
		d.Account = a.Name
		s.decision = d
		return a.Name, true
	}
	s.decision = d
	return "", false
}

// demandMeasured reports whether the demand of other ranks has been measured for long enough to project it.
func (s *Spender) demandMeasured(now time.Time, remaining float64) bool {
	return now.Sub(s.started).Seconds() >= math.Min(s.cfg.Reserve.Seconds(), remaining)
}

// project projects an account to the time it lapses.
func (s *Spender) project(a *account, rate, peak, covered, remaining float64) candidate {
	balance := a.balance() / a.price
	supply := s.supply(a)
	unmet := math.Max(0, rate*remaining-covered)
	return candidate{
		Account: a.Name,
		Balance: balance,
		Surplus: supply - unmet,
		reserve: math.Min(unmet, rate*s.cfg.Reserve.Seconds()+peak),
		covered: math.Min(supply, unmet),
	}
}

// Balance returns the credits that this agent may spend from an account now.
func (s *Spender) Balance(now time.Time, name string) float64 {
	s.accrue(now)
	a := s.find(name)
	if a == nil || !s.last.Before(a.Lapses) {
		return 0
	}
	return a.balance()
}

// Refund gives back credits that a request did not need, for work in tokens that Spend took at a time.
// A refund for a time before the sheet of the account is void, since the sheet's amount already holds it.
func (s *Spender) Refund(now, spentAt time.Time, name string, work float64) {
	s.accrue(now)
	a := s.find(name)
	if a == nil || !(work > 0) || spentAt.Before(a.AsOf) {
		return
	}
	a.spent.refund(work * a.price)
}
