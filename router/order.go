package router

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"clementineramp/caller"
	"clementineramp/chooser"
	"clementineramp/configurer"
	"clementineramp/encoder"
	"clementineramp/forwarder"
	"clementineramp/judge"
	"clementineramp/ticketer"
)

// ticketDeadline is the maximum wait for a ticket from one agent.
const ticketDeadline = 2 * time.Second

// keyedRetries is the maximum number of retries of an order with a key at the agent that owns the key. A retry is safe
// there, because the agent keeps a record of the key and does not run the order twice.
const keyedRetries = 1

// ticket requests a ticket from an agent of the service.
func (r *Router) ticket(ctx context.Context, o configurer.Organisation, service string) (caller.Ticket, error) {
	end, err := r.begin()
	if err != nil {
		return caller.Ticket{}, err
	}
	defer end()
	if _, ok := r.cfg.Snapshot().Service(service); !ok {
		return caller.Ticket{}, judge.Refuse(judge.ReasonNotFound, "no service %q", service)
	}
	env := encoder.Envelope{
		RequestID: newRequestID(), Organisation: o.Name, Service: service,
		DeadlineMS: ticketDeadline.Milliseconds(),
	}
	var t caller.Ticket
	err = r.sendToLeastLoaded(service, env, true, func(address string) error {
		return r.agents.Ticket(ctx, address, env, &t)
	})
	return t, err
}

// sendToLeastLoaded calls send with the agents of a service, the least loaded first, until a call succeeds. It also stops
// when an agent refuses the request as invalid, and when the request may have run and is not idempotent.
func (r *Router) sendToLeastLoaded(service string, env encoder.Envelope, idempotent bool, send func(address string) error) error {
	var last error = judge.Refuse(judge.ReasonNoUpstream, "no upstream of service %s is known", service)
	tried := map[string]bool{}
	for range r.attempts {
		c, ok := r.leastLoaded(service, tried)
		if !ok {
			break
		}
		tried[c.Name] = true
		address, ok := r.cfg.Address(c.Name)
		if !ok {
			continue
		}
		r.cfg.Log.Info("route_order", "request", env.RequestID, "organisation", env.Organisation, "service", service,
			"chose", c.Name, "candidates", len(r.cfg.View(service)), "tried", len(tried)-1, "reason", "least_loaded")
		err := send(address)
		if err == nil {
			return nil
		}
		var f *forwarder.Failure
		if !errors.As(err, &f) {
			return err
		}
		r.observe(c.Name, f)
		last = f.Cause
		if f.Cause.Reason == judge.ReasonInvalid || (f.Cause.Verdict != judge.NotRun && !idempotent) {
			return last
		}
	}
	return last
}

// leastLoaded returns the upstream with the least known work among those that were not tried. Upstreams in the state down
// or leaving come last but are not excluded: an agent that was restarted stays in that state for a while, and one that is
// really leaving refuses the request itself.
func (r *Router) leastLoaded(service string, tried map[string]bool) (chooser.Upstream, bool) {
	view := r.cfg.View(service)
	// The workers of a plain service are usually all idle; without the shuffle, the first by name would issue every ticket.
	rand.Shuffle(len(view), func(i, j int) { view[i], view[j] = view[j], view[i] })
	var best chooser.Upstream
	found := false
	for _, u := range view {
		if tried[u.Name] {
			continue
		}
		if !found || cmp.Or(cmp.Compare(availabilityClass(u), availabilityClass(best)), cmp.Compare(u.Work, best.Work)) < 0 {
			best, found = u, true
		}
	}
	return best, found
}

// availabilityClass returns the class of an upstream by its state; upstreams of a lower class are tried first.
func availabilityClass(u chooser.Upstream) int {
	switch u.State {
	case chooser.Down:
		return 1
	case chooser.Leaving:
		return 2
	default:
		return 0
	}
}

// servicesPath is the path prefix of calls to plain services.
const servicesPath = "/v1/services/"

// guardKeyedCalls refuses calls with a key while the router cannot forward them. An earlier attempt with the key may have
// run through another router, or through this one before it was restarted, so the verdict is not "not run".
func (r *Router) guardKeyedCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		keyed := q.Header.Get(caller.KeyHeader) != "" && strings.HasPrefix(q.URL.Path, servicesPath)
		if err := r.canForward(); keyed && err != nil {
			encoder.NewRefusal(keyedRefusal(err)).Write(w)
			return
		}
		next.ServeHTTP(w, q)
	})
}

// canForward returns an error while the router refuses every call, because it is not ready or has no configuration.
func (r *Router) canForward() error {
	if err := r.ready(); err != nil {
		return err
	}
	if r.cfg.Snapshot() == nil {
		return judge.Refuse(judge.ReasonNotReady, "no configuration is in force yet")
	}
	return nil
}

// keyedRefusal returns a router-generated refusal of a call with a key. Its verdict is "may have run", because only the
// agent that keeps the history of the key can rule out that an earlier attempt has run.
func keyedRefusal(err error) error {
	return &judge.Error{Verdict: judge.MayHaveRun, Reason: judge.ReasonOf(err), Err: err}
}

// orderRefusal returns a router-generated refusal of an order; for an order with a key its verdict is "may have run".
func orderRefusal(o caller.Order, err error) error {
	if o.Key == "" {
		return err
	}
	return keyedRefusal(err)
}

// order forwards a call to a plain service and logs the result.
func (r *Router) order(ctx context.Context, o caller.Order) (caller.Response, error) {
	end, err := r.begin()
	if err != nil {
		return caller.Response{}, orderRefusal(o, err)
	}
	defer end()
	service, ok := r.cfg.Snapshot().Service(o.Service)
	if !ok {
		return caller.Response{}, orderRefusal(o, judge.Refuse(judge.ReasonNotFound, "no service %q", o.Service))
	}
	env := encoder.Envelope{
		RequestID: newRequestID(), Organisation: o.Organisation.Name, Rank: o.Rank, Service: o.Service, Key: o.Key,
		DeadlineMS: o.Deadline.Milliseconds(), ConfigVersion: r.cfg.Snapshot().Version,
		Fleet: r.cfg.Fleet(),
	}
	var resp caller.Response
	switch {
	case idempotentMethod(o.Method) || o.Key == "":
		resp, err = r.sendKeyless(ctx, o, env)
	default:
		resp, err = r.sendKeyed(ctx, o, env, service)
	}
	r.logOrder(o, env, resp, err)
	return resp, err
}

func idempotentMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead
}

// sendKeyless sends a call to one agent. After a failure it tries another one only if the call did not run or its method
// is idempotent.
func (r *Router) sendKeyless(ctx context.Context, o caller.Order, env encoder.Envelope) (caller.Response, error) {
	env.Key = ""
	var resp caller.Response
	err := r.sendToLeastLoaded(o.Service, env, idempotentMethod(o.Method), func(address string) error {
		a, err := r.agents.Call(ctx, address, o.Method, o.Path, env, o.Header, o.Body)
		resp = caller.Response(a)
		return err
	})
	return resp, err
}

// sendKeyed sends an order to the one agent that may run orders with its key: the issuer of the ticket, or for a caller's
// own key the agent that owns it.
func (r *Router) sendKeyed(ctx context.Context, o caller.Order, env encoder.Envelope, service configurer.Service) (caller.Response, error) {
	owner, reason := ticketer.Owner(ticketer.Key{Organisation: o.Organisation.Name, Text: o.Key}, service.Workers), "owner_of_key"
	if t, err := ticketer.ParseTicket(o.Key); err == nil {
		owner, reason = t.Agent, "issuer_of_ticket"
	}
	r.cfg.Log.Info("route_order", "request", env.RequestID, "organisation", env.Organisation, "service", o.Service,
		"chose", owner, "candidates", len(service.Workers), "reason", reason)
	address, ok := r.cfg.Address(owner)
	if !ok {
		return caller.Response{}, judge.Uncertain(judge.ReasonUnreachable, "the agent %s that owns the key is not in the list of hosts", owner)
	}
	for retry := 0; ; retry++ {
		a, err := r.agents.Call(ctx, address, o.Method, o.Path, env, o.Header, o.Body)
		if err == nil {
			return caller.Response(a), nil
		}
		var f *forwarder.Failure
		if !errors.As(err, &f) {
			return caller.Response{}, err
		}
		r.observe(owner, f)
		if f.Answered {
			return caller.Response{}, &caller.OwnerError{Err: f.Cause}
		}
		if retry == keyedRetries || ctx.Err() != nil || f.Cause.Reason != judge.ReasonBroken {
			// An earlier attempt with the key may have run, and only the owner of the key can rule that out.
			return caller.Response{}, judge.Uncertain(f.Cause.Reason, "%w", f.Cause.Err)
		}
	}
}

func (r *Router) logOrder(o caller.Order, env encoder.Envelope, a caller.Response, err error) {
	elapsed := r.cfg.Now().Sub(o.Started).Milliseconds()
	if err == nil {
		r.count("orders_answered")
		r.cfg.Log.Info("order_answered", "request", env.RequestID, "organisation", env.Organisation,
			"service", o.Service, "method", o.Method, "keyed", env.Key != "", "status", a.Status, "elapsed_ms", elapsed)
		return
	}
	r.count("orders_failed")
	r.cfg.Log.Info("order_not_answered", "request", env.RequestID, "organisation", env.Organisation,
		"service", o.Service, "method", o.Method, "keyed", env.Key != "", "verdict", judge.VerdictOf(err),
		"reason", judge.ReasonOf(err), "elapsed_ms", elapsed, "error", err)
}
