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
	fleetRouters        = 3
	fleetEngines        = 10
	chatEngineSlots     = 48
	chatCacheTokens     = 60_000
	chatPrefillPerToken = 100 * time.Microsecond
	chatTokenInterval   = 35 * time.Millisecond
	chatAnswerTokens    = 40
	concurrentChats     = 256
	meanPause           = 400 * time.Millisecond
	minTurns            = 3
	maxTurns            = 9
	workloadLength      = 5 * time.Second
	warmUpTime          = 1700 * time.Millisecond
)

// drainTime is the time for the last answers; what is not answered by then has failed.
const drainTime = 8 * time.Second

// unbounded is the bound of the baselines, which no batch reaches.
const looseBound = 4

// controlBudget is the control budget of each process. Requests come about five times as often at a router and an
// agent as in service, where the budget is 8 KB per second, so that a request has the same part of it.
const controlBudget = "40KB"

// wideBudget is a control budget that no process reaches.
const ampleBudget = "1MB"

// maxErrors bounds the failures that a result names.
const maxErrors = 5

// sendChat sends a turn of a chat and returns the answer.
type sendChat func(ctx context.Context, chat string, turn int, req encoder.ChatRequest) (standin.Reply, error)

// arena is a fleet under the workload.
type workload struct {
	fleet *demonstrator.Fleet
	meter *meter
	seed  uint64
	send  sendChat

	mu        sync.Mutex
	recording bool
	// reusable counts the tokens of earlier turns in the prompts, and reused those that came from a cache.
	reusable, reused int
	turns, failed    int
	errors           []string
	firstToken       []time.Duration
}

// newArena starts a fleet with a routing policy; a baseline has no load bound.
func newWorkload(ctx context.Context, seed uint64, policy chooser.Policy, budget string) (*workload, error) {
	names := make([]string, fleetEngines)
	for i := range names {
		names[i] = demonstrator.EngineName(i)
	}
	w := &workload{seed: seed, meter: newMeter(chooser.DefaultBound, names)}
	var err error
	w.fleet, err = demonstrator.StartFleet(ctx, demonstrator.FleetConfig{
		Routers: fleetRouters, Engines: fleetEngines, Workers: 1, Policy: policy,
		Engine: standin.EngineConfig{
			Slots: chatEngineSlots, CacheTokens: chatCacheTokens, PrefillPerToken: chatPrefillPerToken, TokenInterval: chatTokenInterval,
			OnWork: w.meter.recordWork,
		},
		Settings: func(string, string) string {
			settings := fmt.Sprintf(`"budget": {"control_per_second": %q}`, budget)
			if policy == chooser.Rendezvous {
				return settings
			}
			return settings + fmt.Sprintf(`, "routing": {"bound": %d}`, looseBound)
		},
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	client := newHTTPClient()
	c := &standin.Caller{Key: demonstrator.Organisations[0].Key, HTTP: client}
	w.send = func(ctx context.Context, chat string, turn int, req encoder.ChatRequest) (standin.Reply, error) {
		// A turn comes through any router, as behind a load balancer.
		r := w.fleet.Routers[rand.New(rand.NewPCG(seed, turnHash(chat, turn))).IntN(fleetRouters)]
		return c.Chat(ctx, r.Address(), req, http.Header{"Clementine-Chat": {chat}})
	}
	return w, nil
}

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: concurrentChats, DisableCompression: true}}
}

func turnHash(chat string, turn int) uint64 {
	return encoder.ChatRequest{}.ChatKey(fmt.Sprint(turn), chat)
}

// run drives the workload with churn for its time.
func (w *workload) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, workloadLength+drainTime)
	defer cancel()
	end := time.Now().Add(workloadLength)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return w.churn(ctx, time.Now()) })
	g.Go(func() error {
		time.Sleep(warmUpTime)
		w.setRecording(true)
		time.Sleep(time.Until(end))
		w.setRecording(false)
		return nil
	})
	for i := range concurrentChats {
		g.Go(func() error {
			w.runChats(ctx, i, end)
			return nil
		})
	}
	return g.Wait()
}

func (w *workload) setRecording(on bool) {
	w.mu.Lock()
	w.recording = on
	w.mu.Unlock()
	w.meter.setRecording(on)
}

// churn lets one engine join, one leave and return, and one flap.
func (w *workload) churn(ctx context.Context, start time.Time) error {
	joins, leaves, flaps := w.fleet.Engines[fleetEngines-1], w.fleet.Engines[fleetEngines-2], w.fleet.Engines[0]
	down := func(e *standin.Engine) error {
		w.meter.setAvailable(e.Name(), false)
		e.Kill()
		return nil
	}
	up := func(e *standin.Engine) error {
		err := e.Restart()
		w.meter.setAvailable(e.Name(), err == nil)
		return trace.Wrap(err)
	}
	setState := func(state string) func(e *standin.Engine) error {
		return func(e *standin.Engine) error {
			w.meter.setAvailable(e.Name(), state == subscriber.StateLive)
			w.fleet.SetState(e.Name(), state)
			return nil
		}
	}
	for _, step := range []struct {
		at     time.Duration
		engine *standin.Engine
		do     func(e *standin.Engine) error
	}{
		{0, joins, down},
		{1800 * time.Millisecond, leaves, setState(subscriber.StateLeaving)},
		{2400 * time.Millisecond, joins, up},
		{3000 * time.Millisecond, flaps, down},
		{3200 * time.Millisecond, flaps, up},
		{3900 * time.Millisecond, leaves, setState(subscriber.StateLive)},
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
func (w *workload) runChats(ctx context.Context, slot int, end time.Time) {
	rng := rand.New(rand.NewPCG(w.seed, uint64(slot)))
	time.Sleep(time.Duration(rng.Float64() * float64(warmUpTime)))
	for n := 0; ; n++ {
		chat := fmt.Sprintf("chat-%d-%d", slot, n)
		history := []encoder.Message{{Role: "system", Content: text(rng, chat, 100+rng.IntN(500))}}
		for turn := range minTurns + rng.IntN(maxTurns-minTurns+1) {
			if !time.Now().Before(end) || ctx.Err() != nil {
				return
			}
			history = w.turn(ctx, rng, chat, turn, history)
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

func (w *workload) turn(ctx context.Context, rng *rand.Rand, chat string, turn int, history []encoder.Message) []encoder.Message {
	earlierTokens := encoder.ChatRequest{Messages: history}.PromptTokens()
	history = append(slices.Clone(history), encoder.Message{Role: "user", Content: text(rng, "question", 20+rng.IntN(80))})
	seed := rng.Int64()
	req := encoder.ChatRequest{Model: demonstrator.Model, Messages: history, MaxTokens: chatAnswerTokens, Seed: &seed}
	reply, err := w.send(ctx, chat, turn, req)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turns++
	if err != nil {
		w.failed++
		if len(w.errors) < maxErrors {
			w.errors = append(w.errors, fmt.Sprintf("turn without an answer: %s: %v", chat, err))
		}
		return history
	}
	if w.recording {
		w.firstToken = append(w.firstToken, reply.FirstToken)
		if turn > 0 {
			w.reusable += earlierTokens
			w.reused += cachedTokens(reply)
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
func (w *workload) reuse() float64 {
	return float64(w.reused) / float64(w.reusable)
}

// attempts returns the mean number of agents that a request asked.
func (w *workload) attemptsPerRequest() float64 {
	refused := int64(0)
	for _, p := range w.fleet.Agents {
		for _, reason := range []judge.Reason{judge.ReasonLoadBound, judge.ReasonCachedElsewhere, judge.ReasonQueueFull, judge.ReasonDeadline} {
			refused += counter(p.Metrics(), "refused_"+string(reason))
		}
	}
	return 1 + float64(refused)/float64(w.turns)
}
