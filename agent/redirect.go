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

// destination is what an agent decides on a chat request before it asks for a slot.
type destination struct {
	// redirect names the upstream that should run the request instead, and is empty if this one should.
	redirect string
	// reason says why it is elsewhere.
	reason string
	// newPlace says that the chat has not run there before.
	newPlace bool
	// hasPrefix says that this engine hasPrefix the chat's prefix.
	hasPrefix bool
}

// chooseDestination decides where a chat request should run, and logs the decision.
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

// destinationOf decides where a chat request should run: where its prefix is if there may be room, and otherwise where the
// load is at or below the mean, so that the room above the mean is left to chats that return.
func (a *Agent) destinationOf(env encoder.Envelope, body encoder.ChatRequest, own float64, pool poolLoad) destination {
	at, known := a.findPrefix(env.ChatKey)
	if known && at == a.cfg.Name {
		return destination{hasPrefix: true}
	}
	if env.Last || !env.Home && (!env.Advised || !known) {
		return destination{}
	}
	view, cost := a.cfg.View(a.cfg.Pool), body.Cost()
	if !known && body.Returning() {
		at, known = a.standbyAgent(env.ChatKey, cost, view)
	}
	if known && a.mayHaveRoom(view, at, cost, pool) {
		return a.redirectTo(env, at, "holds the prefix of the chat")
	}
	if !env.Home || chooser.AtOrBelowMean(own, pool.work, pool.n) {
		return destination{}
	}
	if light := a.lightlyLoaded(env.ChatKey, cost, pool, view); light != "" {
		p := a.redirectTo(env, light, "carries less than the mean")
		p.newPlace = true
		return p
	}
	return destination{}
}

// findPrefix returns where a chat's prefix is. What this agent knew before its engine last became ready, or before it took
// back its leaving, has passed to the next agent in the chat's order.
func (a *Agent) findPrefix(chat uint64) (upstream string, ok bool) {
	upstream, since, ok := a.locator.Find(chat, a.cfg.Now())
	if since.Before(a.servingSince()) {
		return "", false
	}
	return upstream, ok
}

// servingSince returns since when routers ask this agent first for its chats.
func (a *Agent) servingSince() time.Time {
	_, _, ready := a.engineState.current()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaveCancelledAt.After(ready) {
		return a.leaveCancelledAt
	}
	return ready
}

// standbyAgent returns the agent that came first in a chat's order while this one took no work. It knows where the chat ran.
func (a *Agent) standbyAgent(chat uint64, cost float64, view []chooser.Upstream) (upstream string, ok bool) {
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

// redirectTo names another engine for a chat and remembers it.
func (a *Agent) redirectTo(env encoder.Envelope, upstream, reason string) destination {
	a.locator.Record(env.ChatKey, upstream, a.cfg.Now())
	return destination{redirect: upstream, reason: reason}
}

// holderLoadMargin is the multiple of the limit up to which a holder of a prefix is asked, since it may have room by then or
// within the time for which it defers the request.
const holderLoadMargin = 1.1

// mayHaveRoom reports whether another engine may take a request soon, as far as this agent knows.
func (a *Agent) mayHaveRoom(view []chooser.Upstream, name string, cost float64, pool poolLoad) bool {
	limit := chooser.Limit(a.cfg.Bound, pool.work, pool.n, cost)
	for _, u := range view {
		if u.Name == name {
			return usable(u) && (!u.Known || u.Work+cost <= holderLoadMargin*limit)
		}
	}
	return false
}

func usable(u chooser.Upstream) bool {
	return u.State == chooser.Live || u.State == chooser.Joining
}

// lightlyLoaded returns the first other engine in the chat's order that carries no more than the mean with the request, or
// else the least loaded one. The chats' orders differ, so that agents do not all choose the same engine at a time.
func (a *Agent) lightlyLoaded(key uint64, cost float64, pool poolLoad, view []chooser.Upstream) string {
	mean := pool.work / float64(pool.n)
	var others, even []chooser.Upstream
	for _, u := range view {
		if u.Name == a.cfg.Name || !usable(u) || !u.Known {
			continue
		}
		others = append(others, u)
		if u.Work+u.Queued+cost <= mean {
			even = append(even, u)
		}
	}
	if order := a.chooser.Choose(key, cost, even).Order; len(order) > 0 {
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

// redirectOverLimit picks another engine for a chat that this one cannot take within its load bound, and remembers it.
func (a *Agent) redirectOverLimit(env encoder.Envelope, cost float64, err error) (upstream string) {
	if !env.Home && !env.Advised || judge.ReasonOf(err) != judge.ReasonLoadBound || a.cfg.Routing != chooser.Rendezvous {
		return ""
	}
	own := a.gate.work()
	upstream = a.lightlyLoaded(env.ChatKey, cost, a.estimatePoolLoad(own), a.cfg.View(a.cfg.Pool))
	if upstream != "" && env.Home {
		a.locator.Record(env.ChatKey, upstream, a.cfg.Now())
	}
	return upstream
}

// servePlace takes from a router which engine runs a chat that this agent sent away.
func (a *Agent) servePlace(w http.ResponseWriter, r *http.Request) {
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
