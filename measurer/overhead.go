package measurer

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"clementineramp/demonstrator"
	"clementineramp/encoder"
	"clementineramp/standin"
)

// The two paths of the overhead measurement alternate in short rounds, so that other load of the machine slows both
// equally.
const (
	overheadRounds   = 10
	overheadCallers  = 8
	overheadRequests = 10 // per caller and round
	overheadTokens   = 8
)

// callPath is a path to the engine, direct or through router and agent, with the measurements on it.
type callPath struct {
	send          sendChat
	firstToken    []time.Duration
	processorTime time.Duration
	requests      int
}

func measureOverhead(ctx context.Context, seed uint64) (Result, error) {
	f, err := demonstrator.StartFleet(ctx, demonstrator.FleetConfig{
		Routers: 1, Engines: 1, Workers: 1,
		Engine: standin.EngineConfig{Slots: 2 * overheadCallers, TokenInterval: 5 * time.Millisecond},
	})
	if err != nil {
		return Result{}, trace.Wrap(err)
	}
	defer f.Close()
	c := &standin.Caller{Key: demonstrator.Organisations[0].Key, HTTP: newHTTPClient()}
	routed, direct := &callPath{}, &callPath{}
	routed.send = func(ctx context.Context, chat string, _ int, req encoder.ChatRequest) (standin.Reply, error) {
		return c.Chat(ctx, f.Routers[0].Address(), req, http.Header{"Clementine-Chat": {chat}})
	}
	direct.send = func(ctx context.Context, chat string, turn int, req encoder.ChatRequest) (standin.Reply, error) {
		req.RequestID = chat + "-" + fmt.Sprint(turn)
		return c.Chat(ctx, f.Engines[0].Address(), req, nil)
	}
	// The first round only opens the connections and is not measured.
	for round := range overheadRounds + 1 {
		for _, p := range []*callPath{direct, routed} {
			if err := p.round(ctx, seed, round); err != nil {
				return Result{}, err
			}
			if round == 0 {
				*p = callPath{send: p.send}
			}
		}
	}
	return overheadResult(seed, routed, direct), nil
}

// round sends the requests of one round, with all callers concurrently.
func (p *callPath) round(ctx context.Context, seed uint64, round int) error {
	before := processorTime()
	replies := make([][]time.Duration, overheadCallers)
	g, ctx := errgroup.WithContext(ctx)
	for i := range overheadCallers {
		g.Go(func() error {
			for n := range overheadRequests {
				s := int64(seed) + int64(n)
				reply, err := p.send(ctx, fmt.Sprintf("chat-%d", i), round*overheadRequests+n, encoder.ChatRequest{
					Model: demonstrator.Model, MaxTokens: overheadTokens, Seed: &s,
					Messages: []encoder.Message{{Role: "user", Content: fmt.Sprintf("Question %d of chat %d?", n, i)}},
				})
				if err != nil {
					return trace.Wrap(err)
				}
				replies[i] = append(replies[i], reply.FirstToken)
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	p.processorTime += processorTime() - before
	for _, r := range replies {
		p.firstToken = append(p.firstToken, r...)
		p.requests += len(r)
	}
	return nil
}

// perRequest returns the mean processor time of a request in milliseconds.
func (p *callPath) perRequest() float64 {
	return milliseconds(p.processorTime / time.Duration(p.requests))
}

func overheadResult(seed uint64, routed, direct *callPath) Result {
	r := Result{Name: "overhead", Seed: seed}
	for _, q := range []struct {
		name string
		q    float64
	}{{"first token p50", 0.5}, {"first token p95", 0.95}} {
		t, d := milliseconds(timeQuantile(routed.firstToken, q.q)), milliseconds(timeQuantile(direct.firstToken, q.q))
		r.Figures = append(r.Figures,
			Figure{Name: "added to " + q.name, Subject: fleetSubject, Value: t - d, Unit: "ms"},
			Figure{Name: q.name, Subject: fleetSubject, Value: t, Unit: "ms"},
			Figure{Name: q.name, Subject: "direct_call", Value: d, Unit: "ms"},
		)
	}
	t, d := routed.perRequest(), direct.perRequest()
	r.Figures = append(r.Figures,
		Figure{Name: "processor time of router and agent", Subject: fleetSubject, Value: t - d, Unit: "ms per request"},
		Figure{Name: "processor time of the whole path", Subject: fleetSubject, Value: t, Unit: "ms per request"},
		Figure{Name: "processor time of the whole path", Subject: "direct_call", Value: d, Unit: "ms per request"},
	)
	r.Notes = []string{
		fmt.Sprintf("%d requests of %d tokens on each path, %d at a time; caller and engine run in the same process", routed.requests, overheadTokens, overheadCallers),
		"the processor time of router and agent is the difference between the two paths",
	}
	return r
}
