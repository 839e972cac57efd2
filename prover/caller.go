package prover

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"clementineramp/demonstrator"
	"clementineramp/encoder"
	"clementineramp/judge"
	"clementineramp/standin"
)

const (
	// probeCaller is the endpoint of the probe: the caller whose request is at the step when the fault is injected.
	probeCaller = "probe"
	// probeRank is the rank of the probe; it is above that of the requests that fill the engines.
	probeRank = "urgent"
	// chatTokens is the length of an answer; fillTokens is that of an answer that occupies a slot for a long time.
	chatTokens = 12
	fillTokens = 150
	// attemptTimeout is the caller's timeout of one attempt; callerTimeout is that of all attempts together.
	attemptTimeout = 6 * time.Second
	callerTimeout  = time.Minute
	// retryDelay is how long a caller waits before it retries.
	retryDelay = 300 * time.Millisecond
	// crashAttempts is how often a caller sends the request that crashes its engine.
	crashAttempts = 3
)

// caller sends requests as a real client does: until it has its answer, it resumes or retries through another router.
type caller struct {
	run    *cellRun
	name   string
	client *standin.Caller
}

// newCaller returns a caller of an organisation, with its own endpoint on the network.
func (c *cellRun) newCaller(name string, o demonstrator.Organisation) *caller {
	e := c.network.Endpoint(name)
	// Connections are not reused, because http.Transport retries a request by itself when a reused connection breaks.
	transport := &http.Transport{DialContext: e.Dial, DisableKeepAlives: true, ExpectContinueTimeout: time.Second}
	var rt http.RoundTripper = transport
	if name == probeCaller {
		rt = expectContinue{transport}
	}
	return &caller{run: c, name: name, client: &standin.Caller{Key: o.Key, HTTP: &http.Client{Transport: rt}}}
}

// expectContinue makes the server confirm the header before the body is sent, so that the step between the two can be
// observed.
type expectContinue struct{ next http.RoundTripper }

// RoundTrip sends a request; one that has a body gets the header "Expect: 100-continue".
func (e expectContinue) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body != nil && r.ContentLength > 0 {
		r = r.Clone(r.Context())
		r.Header.Set("Expect", "100-continue")
	}
	return e.next.RoundTrip(r)
}

// routerAt returns the address and name of the router for an attempt; successive attempts use the routers in turn.
func (c *cellRun) routerAt(attempt int) (address, name string) {
	name = demonstrator.RouterName(attempt % routers)
	return c.routerAddress[name], name
}

// chat retries a chat until the caller has the complete answer or callerTimeout ends. The first attempt uses router
// first.
func (c *caller) chat(ctx context.Context, id, prompt string, tokens, first int) {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	result := Result{ID: id}
	for attempt := first; ctx.Err() == nil && !result.Complete; attempt++ {
		a := c.attemptChat(ctx, id, prompt, tokens, attempt)
		c.run.journal.addChat(a)
		result.Complete = a.Outcome == Complete
		if !result.Complete {
			sleep(ctx, retryDelay)
		}
	}
	c.run.journal.addResult(result)
}

// crash sends a request that crashes its engine, and retries it like any other failed request.
func (c *caller) crash(ctx context.Context, id string) {
	for attempt := range crashAttempts {
		a := c.attemptChat(ctx, id, standin.CrashText, chatTokens, attempt)
		c.run.journal.addChat(a)
		sleep(ctx, retryDelay)
	}
	c.run.journal.addResult(Result{ID: id, Crashes: true})
}

// attemptChat sends a chat once. If the connection breaks or times out, it resumes the answer through the other
// routers.
func (c *caller) attemptChat(ctx context.Context, id, prompt string, tokens, attempt int) Attempt {
	seed := c.run.seeds.Add(1)
	req := encoder.ChatRequest{
		Model: demonstrator.Model, MaxTokens: tokens, Seed: &seed,
		Messages: []encoder.Message{{Role: "user", Content: prompt}},
	}
	address, router := c.run.routerAt(attempt)
	a := Attempt{
		ID: id, Router: router, Seed: seed, Started: time.Now(), Cost: req.Cost(), Want: expectedAnswers(req),
	}
	attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	reply, err := c.client.Chat(attemptCtx, address, req, http.Header{"Clementine-Chat": {id}})
	cancel()
	a.Text = reply.Text
	a.setOutcome(err)
	a.Accepted = c.run.journal.acceptedSince(c.name, router, a.Started)
	for resume := 1; resume <= routers && reply.LastEvent != "" && (a.Outcome == Broken || a.Outcome == TimedOut); resume++ {
		address, _ = c.run.routerAt(attempt + resume)
		attemptCtx, cancel = context.WithTimeout(ctx, attemptTimeout)
		var rest standin.Reply
		rest, err = c.client.Resume(attemptCtx, address, reply.LastEvent)
		cancel()
		a.Text += rest.Text
		if rest.LastEvent != "" {
			reply.LastEvent = rest.LastEvent
		}
		if err == nil {
			a.Outcome = Complete
		}
	}
	a.Ended = time.Now()
	return a
}

// setOutcome sets the outcome of an attempt from the error that the caller received.
func (a *Attempt) setOutcome(err error) {
	var refusal *judge.Error
	var op *net.OpError
	switch {
	case err == nil:
		a.Outcome = Complete
	case errors.As(err, &refusal):
		a.Outcome, a.Verdict, a.Reason = Refused, refusal.Verdict, refusal.Reason
	case errors.Is(err, syscall.ECONNREFUSED), errors.As(err, &op) && op.Op == "dial":
		a.Outcome = Unreachable
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		a.Outcome = TimedOut
	default:
		a.Outcome = Broken
	}
}

// ticket requests a ticket, through one router after the other until one succeeds or ctx ends.
func (c *caller) ticket(ctx context.Context, first int) (string, error) {
	for attempt := first; ; attempt++ {
		address, _ := c.run.routerAt(attempt)
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		t, err := c.client.Ticket(attemptCtx, address, demonstrator.Service)
		cancel()
		if err == nil || ctx.Err() != nil {
			return t, err
		}
		sleep(ctx, retryDelay)
	}
}

// order places an order with a ticket, and retries it with the same ticket; it requests a new ticket only after the
// verdict "not run".
func (c *caller) order(ctx context.Context, id, ticket string, first int) {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	result := Result{ID: id}
	for attempt := first; ctx.Err() == nil && !result.Complete; attempt++ {
		var err error
		if ticket == "" {
			if ticket, err = c.ticket(ctx, attempt); err != nil {
				break
			}
		}
		a := c.attemptOrder(ctx, id, ticket, attempt)
		c.run.journal.addOrder(a)
		result.Complete = a.Outcome == Complete
		if a.Outcome == Refused && a.Verdict == judge.NotRun {
			ticket = ""
		}
		if a.Outcome == Refused && (a.Reason == judge.ReasonOtherIncarnation || a.Reason == judge.ReasonTicketExpired) {
			// The outcome of the earlier attempt can no longer be determined. A retry with a new ticket could run the
			// order twice.
			break
		}
		sleep(ctx, retryDelay)
	}
	c.run.journal.addResult(result)
}

// orderWithoutKey places an order without a key. It never retries, because a retry without a key could run the order
// twice.
func (c *caller) orderWithoutKey(ctx context.Context, id string, first int) {
	c.run.journal.addOrder(c.attemptOrder(ctx, id, "", first))
}

func (c *caller) attemptOrder(ctx context.Context, id, key string, attempt int) Attempt {
	address, router := c.run.routerAt(attempt)
	a := Attempt{ID: id, Router: router, Key: key, Started: time.Now()}
	attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	body := fmt.Sprintf(`{"order": %q}`, id)
	text, err := c.client.Order(attemptCtx, address, demonstrator.Service, "/purchases", key, []byte(body))
	a.Text = text
	a.setOutcome(err)
	a.Accepted = c.run.journal.acceptedSince(c.name, router, a.Started)
	a.Ended = time.Now()
	return a
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
