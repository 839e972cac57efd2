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

// The workload keeps about 20 requests in each engine, fewer than the 50 or so at the target size, because one machine
// runs the whole fleet. The interval between tokens is that of production, so that load reports become outdated as fast
// as there; pauses and answers are shorter.
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

// drainTime is the time for the last answers after the end of the workload. Requests that are unanswered then have
// failed.
const drainTime = 8 * time.Second

// looseBound is the load factor of the baselines. It is so high that the load limit never takes effect.
const looseBound = 4

// controlBudget is the control budget of each process, per second. Routers and agents receive about five times as many
// requests as in production, where the budget is 8 KB per second, so the budget per request is the same.
const controlBudget = "40KB"

// ampleBudget is a control budget that no process reaches, per second.
const ampleBudget = "1MB"

// maxErrors bounds the number of failures that are listed in the notes of a result.
const maxErrors = 5

// sendChat sends a turn of a chat and returns the reply.
type sendChat func(ctx context.Context, chat string, turn int, req encoder.ChatRequest) (standin.Reply, error)

// workload is a fleet and the chats that load it while engines join, leave and fail.
type workload struct {
	fleet *demonstrator.Fleet
	meter *meter
	seed  uint64
	send  sendChat

	mu sync.Mutex
	// recording is false while the load builds up and after the end of the workload.
	recording bool
	// reusable counts the tokens of earlier turns in the prompts, and reused those of them that came from a cache.
	reusable, reused int
	turns, failed    int
	errors           []string
	firstToken       []time.Duration
}

// newWorkload starts a fleet with a routing policy and a control budget per second. All policies but chooser.Rendezvous
// are baselines, for which the load limit never takes effect.
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
		// Each turn goes through a random router, as behind a load balancer.
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

// run sends the chats and causes the churn for workloadLength, and waits for the last answers.
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

// churn makes one engine join, one leave and return, and one flap, that is, go down and up repeatedly.
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

// runChats holds chats one after the other until the end of the workload.
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

// text returns text of about the given number of tokens that begins with start.
func text(rng *rand.Rand, start string, tokens int) string {
	var b strings.Builder
	b.WriteString(start)
	for range tokens {
		fmt.Fprintf(&b, " %03x", rng.IntN(1<<12))
	}
	return b.String()
}

// turn sends the next question of a chat and returns the history with the question and the answer, if there is one.
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

// reuse returns the fraction of the earlier turns in the prompts that came from a cache, by tokens.
func (w *workload) reuse() float64 {
	return float64(w.reused) / float64(w.reusable)
}

// attemptsPerRequest returns the mean number of agents to which a request was sent.
func (w *workload) attemptsPerRequest() float64 {
	refused := int64(0)
	for _, p := range w.fleet.Agents {
		for _, reason := range []judge.Reason{judge.ReasonLoadBound, judge.ReasonCachedElsewhere, judge.ReasonQueueFull, judge.ReasonDeadline} {
			refused += counter(p.Metrics(), "refused_"+string(reason))
		}
	}
	return 1 + float64(refused)/float64(w.turns)
}
