package spender

import (
	"cmp"
	"math"
	"slices"
	"time"

	"clementineramp/configurer"
)

const (
	// defaultTimeConstant is the default of Config.TimeConstant.
	defaultTimeConstant = 10 * time.Minute
	// defaultReserve is the default of Config.Reserve. With 20 agents that each serve a demand of 3 tokens/s of the
	// highest rank, a reserve of 1 min paid 97.5% of its work and one of 5 min more than 99%.
	defaultReserve = 5 * time.Minute
)

// Config holds the settings of a Spender.
type Config struct {
	// Agents is the number of agents that share the accounts. It must not shrink when agents are missing from the
	// current list, since agents with different lists would then take shares that are too large.
	Agents int
	// Ranks gives the worth of each rank; a rank that is not listed has worth 0, the least.
	Ranks []configurer.Rank
	// TimeConstant is the time constant of the exponentially weighted average of the demand; zero means 10 min.
	TimeConstant time.Duration
	// Reserve is the time for which the demand of ranks of greater worth is kept available in the balance; zero means
	// 5 min.
	Reserve time.Duration
	// Advance is the duration whose accrual a process may spend as soon as it receives an account. The actual accrual
	// during that time then repays the advance. A restart overspends by at most the advance; zero means that a process
	// starts with nothing.
	Advance time.Duration
}

// account is this agent's share of an account.
type account struct {
	configurer.Account
	// price is the number of credits per token; it is always positive.
	price float64
	// rate is the number of credits per second that accrue to all agents together.
	rate float64
	// addedAt is the time at which this process first received the account.
	addedAt time.Time
	// accrued is the number of credits accrued to this agent so far, whether spent or not.
	accrued float64
	// advance is the number of credits that may be spent before they have accrued.
	advance float64
	spent   history
}

// balance returns the credits that may be spent now, including an advance that has not been spent.
func (a *account) balance() float64 {
	return math.Max(0, math.Max(a.accrued, a.advance)-a.spent.sum)
}

// Spender decides which account pays for a request, and tracks the balances. It is not safe for concurrent use.
type Spender struct {
	cfg Config
	// accounts are ordered by the time they expire.
	accounts []*account
	demand   []*demand
	// started is the time of New, and last the latest time passed to a method that accrues.
	started, last time.Time
	// maxAgents is the largest number of agents since New.
	maxAgents int
	decision  Decision
}

// New returns a Spender without accounts; SetAccounts adds them.
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

// SetAgents sets the number of agents that share the accounts, at least 1. It changes the size of the share for what
// accrues from now on.
func (s *Spender) SetAgents(now time.Time, agents int) {
	s.accrue(now)
	s.cfg.Agents = max(agents, 1)
	s.maxAgents = max(s.maxAgents, s.cfg.Agents)
}

// SetRanks sets the worth of the ranks and keeps their measured demand.
func (s *Spender) SetRanks(ranks []configurer.Rank) {
	s.cfg.Ranks = ranks
	for _, r := range ranks {
		s.demandOf(r.Name).worth = r.Worth
	}
}

// SetAccounts replaces the accounts by those of a new sheet. The balance of a changed account is recomputed as the accrual
// since AsOf, or since this process first received the account if that is later, less what was spent since AsOf. An
// account that this process did not have accrues from now on.
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

// find returns the account of a name; nil if there is none.
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
	// The time that has passed is divided among the largest number of agents, since each of them may have spent its
	// share.
	a.accrued = a.accrual(addedAt, s.last) / float64(s.maxAgents)
	a.advance = a.accrual(addedAt, addedAt.Add(s.cfg.Advance)) / float64(s.maxAgents)
	return a
}

// hasAdvance reports whether the balance exceeds half of the advance. As long as it does, all ranks may spend it before
// the demand of the ranks of greater worth is known.
func (a *account) hasAdvance() bool {
	return a.advance > 0 && a.balance() > a.advance/2
}

// accrual returns the credits that accrue to all agents together between two times.
func (a *account) accrual(from, to time.Time) float64 {
	if from.Before(a.AsOf) {
		from = a.AsOf
	}
	if to.After(a.Lapses) {
		to = a.Lapses
	}
	return a.rate * math.Max(0, to.Sub(from).Seconds())
}

// accrue adds the credits that accrued up to now. If the clock is set back, nothing accrues until it has passed the
// latest time seen before, so that no interval accrues twice.
func (s *Spender) accrue(now time.Time) {
	if !now.After(s.last) {
		return
	}
	for _, a := range s.accounts {
		a.accrued += a.accrual(s.last, now) / float64(s.cfg.Agents)
	}
	s.last = now
}

// Spend chooses the account that pays for a request of a rank, subtracts the cost, in tokens, from it and returns its
// name. It returns false if no account may pay for the request now; LastDecision gives the reason.
func (s *Spender) Spend(now time.Time, rank string, cost float64) (name string, ok bool) {
	s.accrue(now)
	d := Decision{Rank: rank, Cost: cost, Reason: ReasonNoAccount}
	if !(cost >= 0) || math.IsInf(cost, 0) {
		d.Reason = ReasonInvalid
		s.decision = d
		return "", false
	}
	s.demandOf(rank).add(now, cost, s.cfg.TimeConstant)
	// Each account is reserved for the part of the demand of ranks of greater worth that the accounts expiring earlier do
	// not cover.
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

// demandMeasured reports whether demand has been measured for long enough to project it: for the reserve time or for the
// remaining time of the account, in seconds, whichever is shorter.
func (s *Spender) demandMeasured(now time.Time, remaining float64) bool {
	return now.Sub(s.started).Seconds() >= math.Min(s.cfg.Reserve.Seconds(), remaining)
}

// project compares an account with the demand of the ranks of greater worth until it expires. The demand is given by its
// rate and its largest request, peak; covered is the part of it that earlier accounts cover, and remaining the time until
// expiry, in seconds.
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

// Balance returns the credits that this agent may spend from an account now; zero if the account has expired or is
// unknown.
func (s *Spender) Balance(now time.Time, name string) float64 {
	s.accrue(now)
	a := s.find(name)
	if a == nil || !s.last.Before(a.Lapses) {
		return 0
	}
	return a.balance()
}

// Refund returns credits to an account for work, in tokens, that was paid for at spentAt but not done. It has no effect
// if spentAt is before the AsOf of the account, since the amount of the sheet already includes the refund.
func (s *Spender) Refund(now, spentAt time.Time, name string, work float64) {
	s.accrue(now)
	a := s.find(name)
	if a == nil || !(work > 0) || spentAt.Before(a.AsOf) {
		return
	}
	a.spent.refund(work * a.price)
}
