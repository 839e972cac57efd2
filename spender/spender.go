package spender

import (
	"cmp"
	"math"
	"slices"
	"time"

	"clementineramp/configurer"
)

const (
	// defaultMemory is the time over which the rate of demand is averaged.
	defaultMemory = 10 * time.Minute
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
	// Memory is the time over which the rate of demand is averaged; zero means 10 min.
	Memory time.Duration
	// Reserve is the time for which demand of greater worth is kept in the balance; zero means 5 min.
	Reserve time.Duration
}

// account is this agent's slice of an account.
type account struct {
	configurer.Account
	// price is the number of credits per token.
	price float64
	// rate is the number of credits per second that an agent alone would accrue.
	rate float64
	// opened is when this process first had the account.
	opened  time.Time
	accrued float64
	spent   history
}

func (a *account) balance() float64 { return math.Max(0, a.accrued-a.spent.sum) }

// Spender decides which account pays for a request.
type Spender struct {
	cfg Config
	// accounts are ordered by the time they lapse.
	accounts []*account
	demand   []*demand
	// started is when this process began to accrue, last the latest time it has seen.
	started, last time.Time
	// mostAgents is the largest number of agents since the start.
	mostAgents int
	decision   Decision
}

// New returns a Spender that accrues from now on.
func New(now time.Time, cfg Config) *Spender {
	if cfg.Memory <= 0 {
		cfg.Memory = defaultMemory
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
	s.advance(now)
	s.cfg.Agents = max(agents, 1)
	s.mostAgents = max(s.mostAgents, s.cfg.Agents)
}

// SetRanks adopts the ranks of a new configuration and keeps the measured demand.
func (s *Spender) SetRanks(ranks []configurer.Rank) {
	s.cfg.Ranks = ranks
	for _, r := range ranks {
		s.demandOf(r.Name).worth = r.Worth
	}
}

// Accounts adopts the accounts of a sheet. A changed account accrues from its AsOf, less what
// was spent since; an account that this process did not have accrues from now on.
func (s *Spender) Accounts(now time.Time, accounts []configurer.Account) {
	s.advance(now)
	next := make([]*account, 0, len(accounts))
	for _, given := range accounts {
		old := s.find(given.Name)
		switch {
		case old != nil && sameAccount(old.Account, given):
			next = append(next, old)
		case old != nil:
			next = append(next, s.open(given, old.opened, old.spent))
		default:
			next = append(next, s.open(given, s.last, history{}))
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

func (s *Spender) open(given configurer.Account, opened time.Time, spent history) *account {
	a := &account{Account: given, price: given.CreditsPerToken, opened: opened, spent: spent}
	if !(a.price > 0) {
		a.price = 1
	}
	if left := given.Lapses.Sub(given.AsOf).Seconds(); left > 0 && given.Amount > 0 {
		a.rate = given.Amount / left
	}
	a.spent.cut(given.AsOf)
	// The largest number of agents counts for the time that has passed, since each of them may have spent its slice.
	a.accrued = a.accrual(opened, s.last) / float64(s.mostAgents)
	return a
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

// advance accrues up to now. A clock that is set back accrues nothing until it has caught up.
func (s *Spender) advance(now time.Time) {
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
	s.advance(now)
	d := Decision{Rank: rank, Cost: cost, Reason: ReasonNoAccount}
	if !(cost >= 0) || math.IsInf(cost, 0) {
		d.Reason = ReasonInvalid
		s.decision = d
		return "", false
	}
	s.demandOf(rank).add(now, cost, s.cfg.Memory)
	// The demand of greater worth that no account so far has covered is what later accounts are kept for.
	var peak float64
	d.Reserved, peak = s.demandAbove(rank, now)
	covered := 0.0
	for _, a := range s.accounts {
		left := a.Lapses.Sub(s.last).Seconds()
		if left <= 0 {
			continue
		}
		o := s.assess(a, d.Reserved, peak, covered, left)
		covered += o.covered
		o.choose(cost, s.learned(now, left) || d.Reserved == 0 && !s.anyAbove(rank))
		d.take(o)
		if o.Reason != ReasonPays {
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

// learned reports whether the demand of other ranks has been measured for long enough to project it.
func (s *Spender) learned(now time.Time, left float64) bool {
	return now.Sub(s.started).Seconds() >= math.Min(s.cfg.Reserve.Seconds(), left)
}

// assess projects an account to the time it lapses.
func (s *Spender) assess(a *account, rate, peak, covered, left float64) option {
	balance := a.balance() / a.price
	supply := s.supply(a)
	unmet := math.Max(0, rate*left-covered)
	return option{
		Account: a.Name,
		Balance: balance,
		Surplus: supply - unmet,
		keep:    math.Min(unmet, rate*s.cfg.Reserve.Seconds()+peak),
		covered: math.Min(supply, unmet),
	}
}

// Balance returns the credits that this agent may spend from an account now.
func (s *Spender) Balance(now time.Time, name string) float64 {
	s.advance(now)
	a := s.find(name)
	if a == nil || !s.last.Before(a.Lapses) {
		return 0
	}
	return a.balance()
}

// Refund gives back credits that a request did not need, for work in tokens that Spend took at a time.
// A refund for a time before the sheet of the account is void, since the sheet's amount already holds it.
func (s *Spender) Refund(now, spentAt time.Time, name string, work float64) {
	s.advance(now)
	a := s.find(name)
	if a == nil || !(work > 0) || spentAt.Before(a.AsOf) {
		return
	}
	a.spent.refund(work * a.price)
}
