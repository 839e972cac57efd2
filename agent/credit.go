package agent

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"clementineramp/chooser"
	"clementineramp/configurer"
	"clementineramp/judge"
	"clementineramp/spender"
)

const (
	// agentCountWindow is the shortest time for which the largest counted number of agents determines the shares. A host
	// list that lacks agents for a while, as in a network partition, must not enlarge the shares of the other agents.
	agentCountWindow = time.Hour
	// creditCheckInterval is the time between two checks of the account for alarms. Each check also updates the number of
	// agents that share the account, as each request that needs credit does.
	creditCheckInterval = 10 * time.Second
)

// credit pays for requests from the agent's share of the account that its pool names.
type credit struct {
	log  hclog.Logger
	view func(pool string) []chooser.Upstream
	// advance is the accrual time whose credits the agent may spend as soon as it has started.
	advance time.Duration

	mu sync.Mutex
	// account is the account of the agent's pool; if nil, requests need no credit.
	account *configurer.Account
	ranks   []configurer.Rank
	// pools are the pools that name the account; their agents share it.
	pools  []string
	agents windowMax
	// spender is nil until the host list names an agent, since the size of the share is not known before.
	spender *spender.Spender
	alarms  []string
}

// payment is what a request has paid, in tokens; the zero value is for a request that needs no credit.
type payment struct {
	credit  *credit
	account string
	at      time.Time
	cost    float64
}

// setSnapshot applies the account of the agent's pool and the ranks from a new configuration.
func (c *credit) setSnapshot(now time.Time, pool string, s *configurer.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	own, _ := s.Pool(pool)
	c.account, c.pools, c.ranks = nil, nil, s.Ranks
	for _, a := range s.Accounts {
		if own.Account != "" && a.Name == own.Account {
			c.account = &a
		}
	}
	for _, p := range s.Pools {
		if own.Account != "" && p.Account == own.Account {
			c.pools = append(c.pools, p.Name)
		}
	}
	c.updateAgentCount(now)
	if c.spender == nil {
		return
	}
	c.spender.SetRanks(s.Ranks)
	c.spender.SetAccounts(now, c.accounts())
}

// accounts returns the account as a list, which is empty without one.
func (c *credit) accounts() []configurer.Account {
	if c.account == nil {
		return nil
	}
	return []configurer.Account{*c.account}
}

// updateAgentCount counts the agents that share the account and sets the size of this agent's share; the caller holds
// mu.
func (c *credit) updateAgentCount(now time.Time) {
	n := 0
	for _, pool := range c.pools {
		n += len(c.view(pool))
	}
	n = c.agents.add(now, n)
	switch {
	case n == 0:
	case c.spender == nil:
		c.spender = spender.New(now, spender.Config{Agents: n, Ranks: c.ranks, Advance: c.advance})
		c.spender.SetAccounts(now, c.accounts())
	default:
		c.spender.SetAgents(now, n)
	}
}

// pay spends the credits for the estimated work of a request, in tokens, or refuses the request.
func (c *credit) pay(now time.Time, rank string, cost float64) (payment, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.account == nil {
		return payment{}, nil
	}
	c.updateAgentCount(now)
	if c.spender == nil {
		return payment{}, judge.Refuse(judge.ReasonNoCredit, "the number of agents that share account %s is not known yet", c.account.Name)
	}
	name, ok := c.spender.Spend(now, rank, cost)
	d := c.spender.LastDecision()
	c.log.Info("credit", d.Pairs()...)
	if !ok {
		err := judge.Refuse(judge.ReasonNoCredit, "account %s: %s, %.0f tokens available", c.account.Name, d.Reason, d.Balance)
		err.RetryAfter = c.spender.RetryAfter(now, c.account.Name, cost)
		return payment{}, err
	}
	return payment{credit: c, account: name, at: now, cost: cost}, nil
}

// settle refunds what the request paid for more than the work that was done, in tokens.
func (p payment) settle(now time.Time, done float64) {
	if p.credit == nil {
		return
	}
	p.credit.mu.Lock()
	defer p.credit.mu.Unlock()
	p.credit.spender.Refund(now, p.at, p.account, p.cost-done)
}

// checkAlarms returns the conditions of the account that need an operator. It logs each new one, and the end of all of
// them.
func (c *credit) checkAlarms(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateAgentCount(now)
	var alarms []string
	if c.spender != nil {
		for _, o := range c.spender.Projections(now) {
			if text := o.Alarm(); text != "" {
				alarms = append(alarms, text)
			}
		}
	}
	for _, text := range alarms {
		if !slices.Contains(c.alarms, text) {
			c.log.Warn("credit_alarm", "alarm", text)
		}
	}
	if len(alarms) == 0 && len(c.alarms) > 0 {
		c.log.Info("credit_alarm_over")
	}
	c.alarms = alarms
	return alarms
}

// windowMax holds the largest number added in the current window and in the previous one; a window lasts
// agentCountWindow.
type windowMax struct {
	since             time.Time
	previous, current int
}

// add adds a number and returns the largest of both windows.
func (l *windowMax) add(now time.Time, n int) int {
	if now.Sub(l.since) >= agentCountWindow {
		l.since, l.previous, l.current = now, l.current, 0
	}
	l.current = max(l.current, n)
	return max(l.previous, l.current)
}
