package agent

import (
	"net/http"
	"slices"
	"time"

	"clementineramp/chooser"
	"clementineramp/encoder"
	"clementineramp/judge"
	"clementineramp/locator"
)

// destination is the decision where to run a chat request.
type destination struct {
	// redirect is the upstream that should run the request instead; empty if this one should.
	redirect string
	// reason is the reason for the redirect.
	reason string
	// newHolder means that the chat has not run at that upstream before.
	newHolder bool
	// hasPrefix means that this engine has the chat's prefix in its cache.
	hasPrefix bool
}

// chooseDestination decides where a chat request should run, and logs the decision. Only under the policy
// chooser.Rendezvous does it redirect requests.
func (a *Agent) chooseDestination(env encoder.Envelope, body encoder.ChatRequest) destination {
	if a.cfg.Routing != chooser.Rendezvous {
		return destination{}
	}
	own := a.gate.work()
	pool := a.estimatePoolLoad(own)
	p := a.destinationOf(env, body, own, pool)
	a.cfg.Log.Info("direct", "request", env.RequestID, "chat", env.ChatKey, "attempt", env.Attempt, "advised", env.Advised,
		"holds", p.hasPrefix, "try", p.redirect, "reason", p.reason, "work", own, "cost", body.Cost(), "mean", pool.work/float64(pool.n))
	return p
}

// destinationOf decides where a chat request should run: at the engine that has its prefix if there may be room, and
// otherwise at one whose load is at or below the mean, so that the capacity above the mean is left to further turns of
// chats that an engine has in its cache.
func (a *Agent) destinationOf(env encoder.Envelope, body encoder.ChatRequest, own float64, pool poolLoad) destination {
	at, known := a.findPrefix(env.ChatKey)
	if known && at == a.cfg.Name {
		return destination{hasPrefix: true}
	}
	if env.LastAttempt || !env.Preferred && (!env.Advised || !known) {
		return destination{}
	}
	view, cost := a.cfg.View(a.cfg.Pool), body.Cost()
	if !known && body.HasEarlierAnswer() {
		at, known = a.interimAgent(env.ChatKey, cost, view)
	}
	if known && a.mayHaveRoom(view, at, cost, pool) {
		return a.redirectTo(env, at, "holds the prefix of the chat")
	}
	if !env.Preferred || chooser.AtOrBelowMean(own, pool.work, pool.n) {
		return destination{}
	}
	if light := a.lightlyLoaded(env.ChatKey, cost, pool, view); light != "" {
		p := a.redirectTo(env, light, "carries less than the mean")
		p.newHolder = true
		return p
	}
	return destination{}
}

// findPrefix returns the upstream that has a chat's prefix. Entries from before this engine last became ready, or
// before the agent's leave was last cancelled, do not count: in the meantime the next agent in the chat's preference
// order was responsible for the chat.
func (a *Agent) findPrefix(chat uint64) (upstream string, ok bool) {
	upstream, since, ok := a.locator.Find(chat, a.cfg.Now())
	if since.Before(a.servingSince()) {
		return "", false
	}
	return upstream, ok
}

// servingSince returns the time from which routers have sent the chats that prefer this agent to it.
func (a *Agent) servingSince() time.Time {
	_, _, ready := a.engineState.current()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaveCancelledAt.After(ready) {
		return a.leaveCancelledAt
	}
	return ready
}

// interimAgent returns the agent that was first in a chat's preference order while this one accepted no requests. It
// has a record of where the chat ran. The result is false once this agent has served for longer than records are kept.
func (a *Agent) interimAgent(chat uint64, cost float64, view []chooser.Upstream) (upstream string, ok bool) {
	if a.cfg.Now().Sub(a.servingSince()) > locator.DefaultLifetime {
		return "", false
	}
	others := slices.DeleteFunc(slices.Clone(view), func(u chooser.Upstream) bool { return u.Name == a.cfg.Name })
	order := a.chooser.Choose(chat, cost, others).Order
	if len(order) == 0 {
		return "", false
	}
	return order[0].Name, true
}

// redirectTo returns a redirect of a chat to another engine and records it.
func (a *Agent) redirectTo(env encoder.Envelope, upstream, reason string) destination {
	a.locator.Record(env.ChatKey, upstream, a.cfg.Now())
	return destination{redirect: upstream, reason: reason}
}

// holderLoadMargin is the multiple of its load limit up to which the engine with the prefix still gets the request. It
// may have room by the time of the request, or within the time for which its agent defers it.
const holderLoadMargin = 1.1

// mayHaveRoom reports whether another engine is usable and, by its last known load, may soon accept a request. An
// engine without a known load may.
func (a *Agent) mayHaveRoom(view []chooser.Upstream, name string, cost float64, pool poolLoad) bool {
	limit := chooser.Limit(a.cfg.Bound, pool.work, pool.n, cost)
	for _, u := range view {
		if u.Name == name {
			return usable(u) && (!u.Known || u.Work+cost <= holderLoadMargin*limit)
		}
	}
	return false
}

// usable reports whether an upstream accepts requests.
func usable(u chooser.Upstream) bool {
	return u.State == chooser.Live || u.State == chooser.Joining
}

// lightlyLoaded returns the first other engine in the chat's preference order whose load including the request is at
// most the mean, or else the least loaded one below the mean, or else "". Preference orders differ between chats, so
// that agents do not all choose the same engine at the same time.
func (a *Agent) lightlyLoaded(key uint64, cost float64, pool poolLoad, view []chooser.Upstream) string {
	mean := pool.work / float64(pool.n)
	var others, belowMean []chooser.Upstream
	for _, u := range view {
		if u.Name == a.cfg.Name || !usable(u) || !u.Known {
			continue
		}
		others = append(others, u)
		if u.Work+u.Queued+cost <= mean {
			belowMean = append(belowMean, u)
		}
	}
	if order := a.chooser.Choose(key, cost, belowMean).Order; len(order) > 0 {
		return order[0].Name
	}
	least := ""
	work := mean
	for _, u := range others {
		if u.Work+u.Queued < work {
			least, work = u.Name, u.Work+u.Queued
		}
	}
	return least
}

// redirectOverLimit returns another engine for a chat that exceeds the load limit of this one, or "" if there is none.
// The chat's preferred agent records it.
func (a *Agent) redirectOverLimit(env encoder.Envelope, cost float64, err error) (upstream string) {
	if !env.Preferred && !env.Advised || judge.ReasonOf(err) != judge.ReasonLoadBound || a.cfg.Routing != chooser.Rendezvous {
		return ""
	}
	own := a.gate.work()
	upstream = a.lightlyLoaded(env.ChatKey, cost, a.estimatePoolLoad(own), a.cfg.View(a.cfg.Pool))
	if upstream != "" && env.Preferred {
		a.locator.Record(env.ChatKey, upstream, a.cfg.Now())
	}
	return upstream
}

// serveChatPlacement records which engine runs a chat that this agent redirected, as reported by a router.
func (a *Agent) serveChatPlacement(w http.ResponseWriter, r *http.Request) {
	env, err := a.readEnvelope(r)
	if err != nil {
		a.refuse(w, env, err)
		return
	}
	if env.Holder == "" {
		a.refuse(w, env, judge.Refuse(judge.ReasonInvalid, "field holder is missing"))
		return
	}
	a.locator.Record(env.ChatKey, env.Holder, a.cfg.Now())
	w.WriteHeader(http.StatusNoContent)
}
