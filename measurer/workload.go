package measurer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"clementineramp/chooser"
	"clementineramp/demonstrator"
	"clementineramp/encoder"
	"clementineramp/judge"
	"clementineramp/standin"
	"clementineramp/subscriber"
)

// The workload keeps about 20 requests in each engine, fewer than the 50 or so at the target size, because the machine
// runs the whole fleet. The interval between tokens is that of service, so that reports age as they do there; pauses
// and answers are shorter.
const (
	fleetRouters    = 3
	fleetEngines    = 10
	chatEngineSlots = 48
	engineCache     = 60_000
	chatPrefill     = 100 * time.Microsecond
	chatInterval    = 35 * time.Millisecond
	chatAnswer      = 40
	chatSlots       = 256
	meanPause       = 400 * time.Millisecond
	minTurns        = 3
	maxTurns        = 9
	chatTime        = 5 * time.Second
	warmTime        = 1700 * time.Millisecond
)

// drainTime is the time for the last answers; what is not answered by then has failed.
const drainTime = 8 * time.Second

// unbounded is the bound of the baselines, which no batch reaches.
const unbounded = 4

// controlBudget is the control budget of each process. Requests come about five times as often at a router and an
// agent as in service, where the budget is 8 KB per second, so that a request has the same part of it.
const controlBudget = "40KB"

// wideBudget is a control budget that no process reaches.
const wideBudget = "1MB"

// maxErrors bounds the failures that a result names.
const maxErrors = 5

// sendChat sends a turn of a chat and returns the answer.
type sendChat func(ctx context.Context, chat string, turn int, req encoder.ChatRequest) (standin.Reply, error)

// arena is a fleet under the workload.
type arena struct {
	fleet *demonstrator.Fleet
	meter *meter
	seed  uint64
	send  sendChat

	mu       sync.Mutex
	watching bool
	// reusable counts the tokens of earlier turns in the prompts, and reused those that came from a cache.
	reusable, reused int
	turns, failed    int
	errors           []string
	firstToken       []time.Duration
}

// newArena starts a fleet with a routing policy; a baseline has no load bound.
func newArena(ctx context.Context, seed uint64, policy chooser.Policy, budget string) (*arena, error) {
	names := make([]string, fleetEngines)
	for i := range names {
		names[i] = demonstrator.EngineName(i)
	}
	a := &arena{seed: seed, meter: newMeter(chooser.DefaultBound, names)}
	var err error
	a.fleet, err = demonstrator.StartFleet(ctx, demonstrator.FleetConfig{
		Routers: fleetRouters, Engines: fleetEngines, Workers: 1, Policy: policy,
		Engine: standin.EngineConfig{
			Slots: chatEngineSlots, CacheTokens: engineCache, PrefillPerToken: chatPrefill, TokenInterval: chatInterval,
			OnWork: a.meter.change,
		},
		Settings: func(string, string) string {
			settings := fmt.Sprintf(`"budget": {"control_per_second": %q}`, budget)
			if policy == chooser.Rendezvous {
				return settings
			}
			return settings + fmt.Sprintf(`, "routing": {"bound": %d}`, unbounded)
		},
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	client := newHTTPClient()
	c := &standin.Caller{Key: demonstrator.Organisations[0].Key, HTTP: client}
	a.send = func(ctx context.Context, chat string, turn int, req encoder.ChatRequest) (standin.Reply, error) {
		// A turn comes through any router, as behind a load balancer.
		r := a.fleet.Routers[rand.New(rand.NewPCG(seed, hashOf(chat, turn))).IntN(fleetRouters)]
		return c.Chat(ctx, r.Address(), req, http.Header{"Clementine-Chat": {chat}})
	}
	return a, nil
}

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: chatSlots, DisableCompression: true}}
}

func hashOf(chat string, turn int) uint64 {
	return encoder.ChatRequest{}.ChatKey(fmt.Sprint(turn), chat)
}

// run drives the workload with churn for its time.
func (a *arena) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, chatTime+drainTime)
	defer cancel()
	end := time.Now().Add(chatTime)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return a.churn(ctx, time.Now()) })
	g.Go(func() error {
		time.Sleep(warmTime)
		a.watch(true)
		time.Sleep(time.Until(end))
		a.watch(false)
		return nil
	})
	for i := range chatSlots {
		g.Go(func() error {
			a.drive(ctx, i, end)
			return nil
		})
	}
	return g.Wait()
}

func (a *arena) watch(on bool) {
	a.mu.Lock()
	a.watching = on
	a.mu.Unlock()
	a.meter.watch(on)
}

// churn lets one engine join, one leave and return, and one flap.
func (a *arena) churn(ctx context.Context, start time.Time) error {
	joins, leaves, flaps := a.fleet.Engines[fleetEngines-1], a.fleet.Engines[fleetEngines-2], a.fleet.Engines[0]
	down := func(e *standin.Engine) error {
		a.meter.setUp(e.Name(), false)
		e.Kill()
		return nil
	}
	up := func(e *standin.Engine) error {
		err := e.Restart()
		a.meter.setUp(e.Name(), err == nil)
		return trace.Wrap(err)
	}
	list := func(state string) func(e *standin.Engine) error {
		return func(e *standin.Engine) error {
			a.meter.setUp(e.Name(), state == subscriber.StateLive)
			a.fleet.SetState(e.Name(), state)
			return nil
		}
	}
	for _, step := range []struct {
		at     time.Duration
		engine *standin.Engine
		do     func(e *standin.Engine) error
	}{
		{0, joins, down},
		{1800 * time.Millisecond, leaves, list(subscriber.StateLeaving)},
		{2400 * time.Millisecond, joins, up},
		{3000 * time.Millisecond, flaps, down},
		{3200 * time.Millisecond, flaps, up},
		{3900 * time.Millisecond, leaves, list(subscriber.StateLive)},
		{4500 * time.Millisecond, flaps, down},
		{4700 * time.Millisecond, flaps, up},
	} {
		select {
		case <-time.After(time.Until(start.Add(step.at))):
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
		if err := step.do(step.engine); err != nil {
			return err
		}
	}
	return nil
}

// drive holds chats one after the other until the end.
func (a *arena) drive(ctx context.Context, slot int, end time.Time) {
	rng := rand.New(rand.NewPCG(a.seed, uint64(slot)))
	time.Sleep(time.Duration(rng.Float64() * float64(warmTime)))
	for n := 0; ; n++ {
		chat := fmt.Sprintf("chat-%d-%d", slot, n)
		history := []encoder.Message{{Role: "system", Content: text(rng, chat, 100+rng.IntN(500))}}
		for turn := range minTurns + rng.IntN(maxTurns-minTurns+1) {
			if !time.Now().Before(end) || ctx.Err() != nil {
				return
			}
			history = a.turn(ctx, rng, chat, turn, history)
			pause := time.Duration(rng.ExpFloat64() * float64(meanPause))
			time.Sleep(min(pause, time.Until(end)))
		}
	}
}

// text returns words of about a number of tokens.
func text(rng *rand.Rand, start string, tokens int) string {
	var b strings.Builder
	b.WriteString(start)
	for range tokens {
		fmt.Fprintf(&b, " %03x", rng.IntN(1<<12))
	}
	return b.String()
}

func (a *arena) turn(ctx context.Context, rng *rand.Rand, chat string, turn int, history []encoder.Message) []encoder.Message {
	known := encoder.ChatRequest{Messages: history}.PromptTokens()
	history = append(slices.Clone(history), encoder.Message{Role: "user", Content: text(rng, "question", 20+rng.IntN(80))})
	seed := rng.Int64()
	req := encoder.ChatRequest{Model: demonstrator.Model, Messages: history, MaxTokens: chatAnswer, Seed: &seed}
	reply, err := a.send(ctx, chat, turn, req)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.turns++
	if err != nil {
		a.failed++
		if len(a.errors) < maxErrors {
			a.errors = append(a.errors, fmt.Sprintf("turn without an answer: %s: %v", chat, err))
		}
		return history
	}
	if a.watching {
		a.firstToken = append(a.firstToken, reply.FirstToken)
		if turn > 0 {
			a.reusable += known
			a.reused += cachedTokens(reply)
		}
	}
	return append(history, encoder.Message{Role: "assistant", Content: reply.Text})
}

func cachedTokens(r standin.Reply) int {
	if r.Usage.PromptDetails == nil {
		return 0
	}
	return r.Usage.PromptDetails.CachedTokens
}

// reuse returns the part of the earlier turns in the prompts that came from a cache.
func (a *arena) reuse() float64 {
	return float64(a.reused) / float64(a.reusable)
}

// attempts returns the mean number of agents that a request asked.
func (a *arena) attempts() float64 {
	refused := int64(0)
	for _, p := range a.fleet.Agents {
		for _, reason := range []judge.Reason{judge.ReasonLoadBound, judge.ReasonCachedElsewhere, judge.ReasonQueueFull, judge.ReasonDeadline} {
			refused += counter(p.Metrics(), "refused_"+string(reason))
		}
	}
	return 1 + float64(refused)/float64(a.turns)
}
