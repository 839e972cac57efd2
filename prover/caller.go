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
	// probeCaller is the endpoint of the caller whose request is at the step when the fault strikes.
	probeCaller = "probe"
	// probeRank is the rank of the probe, which is above that of the requests that fill the engines.
	probeRank = "urgent"
	// chatTokens is the length of an answer, and fillTokens that of one that occupies a slot for long.
	chatTokens = 12
	fillTokens = 150
	// attemptTime is a caller's own limit for one attempt, and callerTime the one for all attempts.
	attemptTime = 6 * time.Second
	callerTime  = time.Minute
	// repeatWait is the wait of a caller before it repeats a request.
	repeatWait = 300 * time.Millisecond
	// crashRepeats is how often the caller of a request that crashes its engine sends it.
	crashRepeats = 3
)

// caller sends requests as a real caller does: it resumes and repeats through another router until it has its answer.
type caller struct {
	run    *cellRun
	name   string
	client *standin.Caller
}

// newCaller returns a caller of an organisation with an endpoint of its own.
func (c *cellRun) newCaller(name string, o demonstrator.Organisation) *caller {
	e := c.network.Endpoint(name)
	// Connections are not reused, because a transport repeats a request by itself when a reused one breaks.
	transport := &http.Transport{DialContext: e.Dial, DisableKeepAlives: true, ExpectContinueTimeout: time.Second}
	var rt http.RoundTripper = transport
	if name == probeCaller {
		rt = expecting{transport}
	}
	return &caller{run: c, name: name, client: &standin.Caller{Key: o.Key, HTTP: &http.Client{Transport: rt}}}
}

// expecting asks the server to confirm the header before the body is sent, which makes the step between them visible.
type expecting struct{ next http.RoundTripper }

// RoundTrip sends a request.
func (e expecting) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body != nil && r.ContentLength > 0 {
		r = r.Clone(r.Context())
		r.Header.Set("Expect", "100-continue")
	}
	return e.next.RoundTrip(r)
}

// routerAt returns the address and name of the router for the attempt with the given number.
func (c *cellRun) routerAt(attempt int) (address, name string) {
	name = demonstrator.RouterName(attempt % routers)
	return c.routerAddress[name], name
}

// chat sends a chat until its caller has the complete answer; first is the router of the first attempt.
func (c *caller) chat(ctx context.Context, id, prompt string, tokens, first int) {
	ctx, cancel := context.WithTimeout(ctx, callerTime)
	defer cancel()
	result := Result{ID: id}
	for attempt := first; ctx.Err() == nil && !result.Whole; attempt++ {
		a := c.attemptChat(ctx, id, prompt, tokens, attempt)
		c.run.journal.addChat(a)
		result.Whole = a.Outcome == Whole
		if !result.Whole {
			pause(ctx, repeatWait)
		}
	}
	c.run.journal.addResult(result)
}

// crash sends a request that crashes its engine; its caller repeats it as any other.
func (c *caller) crash(ctx context.Context, id string) {
	for attempt := range crashRepeats {
		a := c.attemptChat(ctx, id, standin.CrashText, chatTokens, attempt)
		c.run.journal.addChat(a)
		pause(ctx, repeatWait)
	}
	c.run.journal.addResult(Result{ID: id, Crashes: true})
}

// attemptChat sends a chat once, and resumes its answer through the other routers when the connection breaks.
func (c *caller) attemptChat(ctx context.Context, id, prompt string, tokens, attempt int) Attempt {
	seed := c.run.seeds.Add(1)
	req := encoder.ChatRequest{
		Model: demonstrator.Model, MaxTokens: tokens, Seed: &seed,
		Messages: []encoder.Message{{Role: "user", Content: prompt}},
	}
	address, router := c.run.routerAt(attempt)
	a := Attempt{
		ID: id, Router: router, Seed: seed, Started: time.Now(), Cost: req.Cost(), Want: answers(req),
	}
	attemptCtx, cancel := context.WithTimeout(ctx, attemptTime)
	reply, err := c.client.Chat(attemptCtx, address, req, http.Header{"Clementine-Chat": {id}})
	cancel()
	a.Text = reply.Text
	a.judge(err)
	a.Accepted = c.run.journal.acceptedSince(c.name, router, a.Started)
	for resume := 1; resume <= routers && reply.LastEvent != "" && (a.Outcome == Broken || a.Outcome == GaveUp); resume++ {
		address, _ = c.run.routerAt(attempt + resume)
		attemptCtx, cancel = context.WithTimeout(ctx, attemptTime)
		var rest standin.Reply
		rest, err = c.client.Resume(attemptCtx, address, reply.LastEvent)
		cancel()
		a.Text += rest.Text
		if rest.LastEvent != "" {
			reply.LastEvent = rest.LastEvent
		}
		if err == nil {
			a.Outcome = Whole
		}
	}
	a.Ended = time.Now()
	return a
}

// judge fills in the outcome of an attempt from the error that the caller saw.
func (a *Attempt) judge(err error) {
	var refusal *judge.Error
	var op *net.OpError
	switch {
	case err == nil:
		a.Outcome = Whole
	case errors.As(err, &refusal):
		a.Outcome, a.Verdict, a.Reason = Refused, refusal.Verdict, refusal.Reason
	case errors.Is(err, syscall.ECONNREFUSED), errors.As(err, &op) && op.Op == "dial":
		a.Outcome = Unreachable
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		a.Outcome = GaveUp
	default:
		a.Outcome = Broken
	}
}

// ticket gets a ticket, if need be through several routers.
func (c *caller) ticket(ctx context.Context, first int) (string, error) {
	for attempt := first; ; attempt++ {
		address, _ := c.run.routerAt(attempt)
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTime)
		t, err := c.client.Ticket(attemptCtx, address, demonstrator.Service)
		cancel()
		if err == nil || ctx.Err() != nil {
			return t, err
		}
		pause(ctx, repeatWait)
	}
}

// order places an order with a ticket; a new ticket is used only after the answer "not run".
func (c *caller) order(ctx context.Context, id, ticket string, first int) {
	ctx, cancel := context.WithTimeout(ctx, callerTime)
	defer cancel()
	result := Result{ID: id}
	for attempt := first; ctx.Err() == nil && !result.Whole; attempt++ {
		var err error
		if ticket == "" {
			if ticket, err = c.ticket(ctx, attempt); err != nil {
				break
			}
		}
		a := c.attemptOrder(ctx, id, ticket, attempt)
		c.run.journal.addOrder(a)
		result.Whole = a.Outcome == Whole
		if a.Outcome == Refused && a.Verdict == judge.NotRun {
			ticket = ""
		}
		if a.Outcome == Refused && (a.Reason == judge.ReasonOtherIncarnation || a.Reason == judge.ReasonTicketExpired) {
			// The outcome of the first attempt cannot be known any more; a careful caller stops here.
			break
		}
		pause(ctx, repeatWait)
	}
	c.run.journal.addResult(result)
}

// keyless places an order without a key; it is never repeated.
func (c *caller) keyless(ctx context.Context, id string, first int) {
	c.run.journal.addOrder(c.attemptOrder(ctx, id, "", first))
}

func (c *caller) attemptOrder(ctx context.Context, id, key string, attempt int) Attempt {
	address, router := c.run.routerAt(attempt)
	a := Attempt{ID: id, Router: router, Key: key, Started: time.Now()}
	attemptCtx, cancel := context.WithTimeout(ctx, attemptTime)
	defer cancel()
	body := fmt.Sprintf(`{"order": %q}`, id)
	text, err := c.client.Order(attemptCtx, address, demonstrator.Service, "/purchases", key, []byte(body))
	a.Text = text
	a.judge(err)
	a.Accepted = c.run.journal.acceptedSince(c.name, router, a.Started)
	a.Ended = time.Now()
	return a
}

// pause waits for a time or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
