package agent

import (
	"clementineramp/chooser"
	"clementineramp/encoder"
	"clementineramp/judge"
)

// redirect returns where a chat's cached prefix is, if that is another engine that can take the request now.
func (a *Agent) redirect(env encoder.Envelope, cost float64) (upstream string, ok bool) {
	if !env.Home || env.Last {
		return "", false
	}
	upstream, ok = a.locator.Find(env.ChatKey, a.cfg.Now())
	if !ok || upstream == a.cfg.Name {
		return "", false
	}
	own, _, _ := a.gate.load()
	pool := a.pool(own)
	limit := chooser.Limit(a.cfg.Bound, pool.work, pool.n, cost)
	for _, u := range a.cfg.View(a.cfg.Pool) {
		if u.Name != upstream {
			continue
		}
		usable := u.State == chooser.Live || u.State == chooser.Joining
		return upstream, usable && (!u.Known || chooser.Admits(u.Work, cost, limit))
	}
	return "", false
}

// displace picks another engine for a chat that this one cannot take within its load bound, and remembers it.
func (a *Agent) displace(env encoder.Envelope, cost float64, err error) (upstream string) {
	if !env.Home || judge.ReasonOf(err) != judge.ReasonBound {
		return ""
	}
	choice := a.chooser.Choose(env.ChatKey, cost, a.cfg.View(a.cfg.Pool))
	for _, c := range choice.Order {
		if c.Name != a.cfg.Name {
			a.locator.Displace(env.ChatKey, c.Name, a.cfg.Now())
			return c.Name
		}
	}
	return ""
}
