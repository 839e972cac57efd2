package agent

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"clementineramp/admitter"
	"clementineramp/encoder"
	"clementineramp/judge"
	"clementineramp/service"
	"clementineramp/ticketer"
)

// callCost is the work counted for a call of a plain service, whose real work is unknown.
const callCost = 1

// callTimeout limits a call of a plain service, which continues after its router has disconnected.
const callTimeout = time.Minute

// callPath is the path prefix under which routers send calls.
const callPath = "/v1/call"

// ticketResponse is the response body with a ticket.
type ticketResponse struct {
	Ticket      string `json:"ticket"`
	ExpiresInMS int64  `json:"expires_in_ms"`
}

// serveTicket issues a ticket for one order.
func (a *Agent) serveTicket(w http.ResponseWriter, r *http.Request) {
	env, err := a.readEnvelope(r)
	if err == nil {
		err = a.checkService(env)
	}
	if err != nil {
		a.refuse(w, env, err)
		return
	}
	end, err := a.beginRequest()
	if err != nil {
		a.refuse(w, env, err)
		return
	}
	defer end()
	a.recordOrderTime()
	t, err := a.ledger.Issue(a.cfg.Now())
	if err != nil {
		a.refuse(w, env, err)
		return
	}
	a.cfg.Log.Info("ticket_issued", "request", env.RequestID, "organisation", env.Organisation, "serial", t.Serial)
	w.Header().Set("Content-Type", "application/json")
	a.setReport(w.Header(), a.report(env))
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(ticketResponse{t.String(), a.cfg.TicketLifetime.Milliseconds()})
}

// recordOrderTime records the arrival of an order or a ticket request, after which the caller may retry an order.
func (a *Agent) recordOrderTime() {
	now := a.cfg.Now()
	a.lastOrderAt.Store(&now)
}

// checkService refuses a request for another service than that of the upstream.
func (a *Agent) checkService(env encoder.Envelope) error {
	if a.cfg.Kind != KindService || env.Service != a.cfg.Pool {
		return judge.Refuse(judge.ReasonNotFound, "upstream %s is not a worker of service %q", a.cfg.Name, env.Service)
	}
	return nil
}

// call is one call of the plain service; its key is empty if the caller sent none.
type call struct {
	env    encoder.Envelope
	key    ticketer.Key
	digest ticketer.Digest
	method string
	path   string
	header http.Header
	body   []byte
}

// serveCall serves a call of the plain service, which runs at most once for each key.
func (a *Agent) serveCall(w http.ResponseWriter, r *http.Request) {
	env, err := a.readEnvelope(r)
	if err == nil {
		err = a.checkService(env)
	}
	var c call
	if err == nil {
		c, err = readCall(r, env)
	}
	if err != nil {
		// Earlier attempts with the key have not been looked up, or only another agent has a record of them.
		if r.Header.Get("Idempotency-Key") != "" {
			err = ticketer.WithoutHistory(err)
		}
		a.refuse(w, env, err)
		return
	}
	response, err := a.resolveCall(r.Context(), c)
	if err != nil {
		a.refuse(w, env, err)
		return
	}
	h := w.Header()
	for name, values := range response.Header {
		h[name] = values
	}
	h.Del("Content-Length")
	h.Set(encoder.AnswerHeader, "1")
	a.setReport(h, a.report(env))
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}

// readCall reads a call from a request of a router.
func readCall(r *http.Request, env encoder.Envelope) (call, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return call{}, judge.Refuse(judge.ReasonInvalid, "read body: %w", err)
	}
	path := strings.TrimPrefix(r.URL.RequestURI(), callPath)
	return call{
		env: env, key: ticketer.Key{Organisation: env.Organisation, Text: env.Key},
		digest: ticketer.DigestOf([]byte(r.Method), []byte(path), body),
		method: r.Method, path: path, header: encoder.EndToEnd(r.Header), body: body,
	}, nil
}

// resolveCall runs a call, waits for an earlier attempt with its key that is still running, or returns the recorded
// response.
func (a *Agent) resolveCall(ctx context.Context, c call) (ticketer.Response, error) {
	if c.method == http.MethodGet || c.method == http.MethodHead {
		return a.callService(ctx, c)
	}
	a.recordOrderTime()
	decision, err := a.ledger.Begin(a.cfg.Now(), c.key, c.digest, a.configurationState(c.env.Service))
	if err != nil {
		return ticketer.Response{}, err
	}
	a.cfg.Log.Info("order", "request", c.env.RequestID, "organisation", c.env.Organisation, "keyed", c.key.Text != "",
		"action", decision.Action)
	switch decision.Action {
	case ticketer.Replay:
		return decision.Response, nil
	case ticketer.Wait:
		return awaitPending(ctx, decision.Pending)
	case ticketer.Run:
	}
	return a.runOrder(ctx, c)
}

// configurationState returns the state of the configuration by which the ledger decides whether to accept a caller's
// own key.
func (a *Agent) configurationState(name string) ticketer.ConfigurationState {
	s := a.cfg.Snapshot()
	if s == nil {
		return ticketer.ConfigurationState{}
	}
	svc, _ := s.Service(name)
	keysFrom, first := a.cfg.CallerKeysFrom()
	return ticketer.ConfigurationState{
		Workers: svc.Workers, Confirmed: a.cfg.Confirmed(),
		Configuration: s.ID(), CallerKeysFrom: keysFrom, First: first,
	}
}

// awaitPending returns the outcome of a running order; if ctx is cancelled first, the order may still have run.
func awaitPending(ctx context.Context, p *ticketer.Pending) (ticketer.Response, error) {
	select {
	case <-p.Done():
		return p.Result()
	case <-ctx.Done():
		return ticketer.Response{}, judge.Uncertain(judge.ReasonTimeout, "the first try with the key still runs: %w", context.Cause(ctx))
	}
}

// outcome is the result of an order, which runs independently of the request that started it.
type outcome struct {
	response ticketer.Response
	err      error
}

// runOrder runs an order to its end, even if the router disconnects, so that a retry finds the recorded response.
func (a *Agent) runOrder(ctx context.Context, c call) (ticketer.Response, error) {
	end, err := a.beginRequest()
	if err != nil {
		_ = a.ledger.Abort(a.cfg.Now(), c.key, err)
		return ticketer.Response{}, err
	}
	done := make(chan outcome, 1)
	go func() {
		defer end()
		// The context is that of the request, so that an order does not run if the caller disconnects while it is queued.
		response, err := a.callService(ctx, c)
		if err != nil {
			_ = a.ledger.Abort(a.cfg.Now(), c.key, err)
		} else {
			_ = a.ledger.Finish(a.cfg.Now(), c.key, response)
		}
		done <- outcome{response, err}
	}()
	select {
	case o := <-done:
		return o.response, o.err
	case <-ctx.Done():
		return ticketer.Response{}, judge.Uncertain(judge.ReasonTimeout, "the order still runs: %w", context.Cause(ctx))
	}
}

// callService waits for a slot and sends the call to the service once.
func (a *Agent) callService(ctx context.Context, c call) (ticketer.Response, error) {
	s, err := a.gate.acquire(ctx, admitter.Request{
		Rank: c.env.Rank, Organisation: c.env.Organisation, Weight: a.weightOf(c.env.Organisation),
		Cost: callCost, Deadline: c.env.Deadline(), Last: true, Pinned: true,
	})
	if err != nil {
		return ticketer.Response{}, err
	}
	defer s.done(callCost)
	// Once sent, the call continues after the router has disconnected, so that its outcome is known for a retry.
	ctx, cancel := context.WithTimeout(a.lifetime, callTimeout)
	defer cancel()
	response, err := a.service.Call(ctx, service.Request{
		Method: c.method, Path: c.path, Header: c.header, Body: c.body,
		OnSent: func() { a.cfg.Log.Info("call_sent", "request", c.env.RequestID) },
	})
	if err != nil {
		var judged *judge.Error
		if errors.As(err, &judged) {
			a.cfg.Log.Warn("call_failed", "request", c.env.RequestID, "verdict", judged.Verdict, "reason", judged.Reason, "error", err)
		}
		return ticketer.Response{}, err
	}
	return toLedgerResponse(response), nil
}

func toLedgerResponse(a service.Response) ticketer.Response {
	return ticketer.Response{Status: a.Status, Header: a.Header, Body: a.Body}
}
