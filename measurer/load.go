package measurer

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"clementineramp/admitter"
	"clementineramp/demonstrator"
	"clementineramp/encoder"
	"clementineramp/standin"
)

// The shape of the fleet and of each request of the admission measures. A request occupies a slot for the prefill
// of its prompt and the generation of its answer, long enough that the noise of a busy machine is a small part of it.
const (
	loadEngines     = 3
	loadRouters     = 2
	engineSlots     = 8
	promptTokens    = 100
	answerTokens    = 30
	prefillPerToken = time.Millisecond
	tokenInterval   = 10 * time.Millisecond
	runTime         = promptTokens*prefillPerToken + answerTokens*tokenInterval
	// queueWork bounds the queue of a rank at an agent, in tokens. It holds 1.5 s of the engine's work: each waiting
	// request holds four file descriptors of the measuring process.
	queueWork = 4000
)

// capacity is the number of requests per second that the whole fleet can finish.
var capacity = loadEngines * engineSlots / runTime.Seconds()

// class is a stream of like requests of one organisation.
type class struct {
	organisation demonstrator.Organisation
	// load is the rate of arrival as a part of the fleet's capacity.
	load float64
}

// sample is one request and what became of it.
type sample struct {
	class int
	// at is the time of arrival since the start of the phase.
	arrival      time.Duration
	first, total time.Duration
	err          error
}

// rig is a fleet under load.
type loadTest struct {
	fleet    *demonstrator.Fleet
	client   *http.Client
	attempts attemptCounter
	// lags are how late timers fired during the phases.
	lags []sample
}

// startRig starts a fleet that admits by a policy and serves the organisations of some classes.
func startLoadTest(ctx context.Context, policy admitter.Policy, classes []class) (*loadTest, error) {
	r := &loadTest{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}}
	organisations := make([]demonstrator.Organisation, len(classes))
	for i, c := range classes {
		organisations[i] = c.organisation
	}
	var err error
	r.fleet, err = demonstrator.StartFleet(ctx, demonstrator.FleetConfig{
		Routers: loadRouters, Engines: loadEngines, QueueWork: queueWork,
		Organisations: organisations, Admission: policy, Log: &r.attempts,
		Engine: standin.EngineConfig{
			// Without a prefix cache all requests take the same time.
			Slots: engineSlots, CacheTokens: 1, PrefillPerToken: prefillPerToken, TokenInterval: tokenInterval,
		},
	})
	return r, err
}

func (r *loadTest) close() {
	r.client.CloseIdleConnections()
	r.fleet.Close()
}

// phase is a run of load; its requests may go on after the last arrival.
type phase struct {
	cancel  context.CancelFunc
	done    sync.WaitGroup
	mu      sync.Mutex
	samples []sample
}

// start offers each class for a time and returns when the last request has arrived. A class with the same index,
// load and seed has the same arrivals and prompts in each phase.
func (r *loadTest) start(ctx context.Context, classes []class, length time.Duration, seed uint64) *phase {
	p := &phase{}
	ctx, p.cancel = context.WithCancel(ctx)
	var arrivals sync.WaitGroup
	for i, c := range classes {
		if c.load > 0 {
			arrivals.Go(func() { r.sendArrivals(ctx, p, i, c, length, rand.New(rand.NewPCG(seed, uint64(i)))) })
		}
	}
	stop := make(chan struct{})
	lags := make(chan []sample)
	go func() { lags <- timerLags(stop) }()
	arrivals.Wait()
	close(stop)
	r.lags = append(r.lags, <-lags...)
	return p
}

// timerLags samples how late a timer fires. On a busy machine this lag is part of each measured time.
func timerLags(stop chan struct{}) []sample {
	const interval = 5 * time.Millisecond
	var lags []sample
	for {
		started := time.Now()
		select {
		case <-stop:
			return lags
		case <-time.After(interval):
		}
		lags = append(lags, sample{total: time.Since(started) - interval})
	}
}

// lag returns the figure by which to judge whether the machine was quiet enough for the others.
func (r *loadTest) lagFigure(subject string) Figure {
	lag := quantile(r.lags, 0.95, func(sample) bool { return true }, latency)
	return Figure{Name: "lag of timers p95 on this machine", Subject: subject, Value: lag, Unit: "ms"}
}

// wait returns the samples of the phase when its last request has ended.
func (p *phase) wait() []sample {
	p.done.Wait()
	p.cancel()
	return p.samples
}

// stop abandons the requests that still run.
func (p *phase) stop() {
	p.cancel()
	p.done.Wait()
}

// run offers the classes for a time and waits for all answers.
func (r *loadTest) run(ctx context.Context, classes []class, length time.Duration, seed uint64) []sample {
	return r.start(ctx, classes, length, seed).wait()
}

func (r *loadTest) sendArrivals(ctx context.Context, p *phase, index int, c class, length time.Duration, rng *rand.Rand) {
	started := time.Now()
	arrival := time.Duration(0)
	for n := 0; ; n++ {
		arrival += time.Duration(rng.ExpFloat64() / (c.load * capacity) * float64(time.Second))
		if arrival > length || ctx.Err() != nil {
			return
		}
		time.Sleep(arrival - time.Since(started))
		router := r.fleet.Routers[n%len(r.fleet.Routers)].Address()
		p.done.Go(func() { p.add(r.send(ctx, router, sample{class: index, arrival: arrival}, c, n)) })
	}
}

func (p *phase) add(s sample) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.samples = append(p.samples, s)
}

func (r *loadTest) send(ctx context.Context, router string, s sample, c class, n int) sample {
	caller := standin.Caller{Key: c.organisation.Key, HTTP: r.client}
	text := fmt.Sprintf("%s %d ", c.organisation.Name, n)
	// A token of a prompt is 4 bytes, and each message counts one more.
	text += strings.Repeat("x", (promptTokens-1)*4-len(text))
	started := time.Now()
	reply, err := caller.Chat(ctx, router, encoder.ChatRequest{
		Model: demonstrator.Model, Messages: []encoder.Message{{Role: "user", Content: text}}, MaxTokens: answerTokens,
	}, nil)
	s.first, s.total, s.err = reply.FirstToken, time.Since(started), err
	return s
}

// emitted returns the tokens that the engines generated for each rank, the most urgent first.
func (r *loadTest) generatedTokens() [3]float64 {
	var sum [3]float64
	for _, e := range r.fleet.Engines {
		for _, run := range e.Runs() {
			sum[run.Priority] += float64(run.Emitted)
		}
	}
	return sum
}

// taken counts for each request the engines that began to run it. A request that goes on after a pause counts once.
func (r *loadTest) startedRuns() int {
	type pair struct{ engine, request string }
	pairs := map[pair]bool{}
	for _, e := range r.fleet.Engines {
		for _, run := range e.Runs() {
			pairs[pair{run.Engine, run.RequestID}] = true
		}
	}
	return len(pairs)
}

// busy samples the fraction of the slots in use for a time.
func (r *loadTest) slotUtilisation(length time.Duration) float64 {
	const interval = 5 * time.Millisecond
	sum, n := 0, 0
	for started := time.Now(); time.Since(started) < length; time.Sleep(interval) {
		for _, e := range r.fleet.Engines {
			sum += min(e.Running(), engineSlots)
		}
		n += loadEngines * engineSlots
	}
	return float64(sum) / float64(n)
}

// attemptCounter counts the failed attempts in the log lines of a fleet.
type attemptCounter struct{ failed atomic.Int64 }

// Write takes log lines.
func (c *attemptCounter) Write(b []byte) (int, error) {
	c.failed.Add(int64(bytes.Count(b, []byte("attempt_failed"))))
	return len(b), nil
}

// quantile returns a quantile of the selected samples that were answered; it is not a number if there are none.
func quantile(samples []sample, q float64, keep func(sample) bool, value func(sample) time.Duration) float64 {
	var values []time.Duration
	for _, s := range samples {
		if s.err == nil && keep(s) {
			values = append(values, value(s))
		}
	}
	if len(values) == 0 {
		return math.NaN()
	}
	slices.SortFunc(values, cmp.Compare[time.Duration])
	return values[int(q*float64(len(values)-1))].Seconds() * 1000
}

func firstToken(s sample) time.Duration { return s.first }
func latency(s sample) time.Duration    { return s.total }

// answered returns the fraction of the selected samples that got their whole answer.
func answeredFraction(samples []sample, keep func(sample) bool) float64 {
	n, ok := 0, 0
	for _, s := range samples {
		if keep(s) {
			n++
			if s.err == nil {
				ok++
			}
		}
	}
	return float64(ok) / float64(n)
}

// compare measures the standard policy by itself, so that nothing disturbs it, and then the baselines side by side.
func comparePolicies(measure func(admitter.Policy) ([]Figure, error), baselines ...admitter.Policy) ([]Figure, error) {
	figures, err := measure(admitter.Standard)
	if err != nil {
		return nil, err
	}
	results := make([][]Figure, len(baselines))
	var g errgroup.Group
	for i, policy := range baselines {
		g.Go(func() error {
			list, err := measure(policy)
			for j := range list {
				list[j].Goal = nil
			}
			results[i] = list
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	return slices.Concat(append([][]Figure{figures}, results...)...), nil
}
