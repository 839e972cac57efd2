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

// The fleet and the requests of the measurements of admission. A request occupies a slot for the prefill of its prompt
// and the generation of its answer, long enough that the timing noise of a busy machine is a small part of it.
const (
	loadEngines     = 3
	loadRouters     = 2
	engineSlots     = 8
	promptTokens    = 100
	answerTokens    = 30
	prefillPerToken = time.Millisecond
	tokenInterval   = 10 * time.Millisecond
	runTime         = promptTokens*prefillPerToken + answerTokens*tokenInterval
	// queueWork bounds the queue of a rank at an agent, in tokens. It is 1.5 s of the engine's work and not more, because
	// each waiting request holds four file descriptors of the measuring process.
	queueWork = 4000
)

// capacity is the number of requests per second that the whole fleet can complete.
var capacity = loadEngines * engineSlots / runTime.Seconds()

// class is a traffic class: requests of one organisation that are equal in size.
type class struct {
	organisation demonstrator.Organisation
	// load is the arrival rate as a fraction of the fleet's capacity.
	load float64
}

// sample is one request and its outcome.
type sample struct {
	// class is the index of the request's class.
	class int
	// arrival is the time of arrival since the start of the phase.
	arrival time.Duration
	// first is the time to the first token, and total the time to the end of the response.
	first, total time.Duration
	err          error
}

// loadTest is a fleet and the client that sends requests to it at given arrival rates.
type loadTest struct {
	fleet    *demonstrator.Fleet
	client   *http.Client
	attempts attemptCounter
	// lags holds samples of how late timers fired during the phases, in total.
	lags []sample
}

// startLoadTest starts a fleet whose agents admit requests by a policy, with the organisations of the given classes.
func startLoadTest(ctx context.Context, policy admitter.Policy, classes []class) (*loadTest, error) {
	lt := &loadTest{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}}
	organisations := make([]demonstrator.Organisation, len(classes))
	for i, c := range classes {
		organisations[i] = c.organisation
	}
	var err error
	lt.fleet, err = demonstrator.StartFleet(ctx, demonstrator.FleetConfig{
		Routers: loadRouters, Engines: loadEngines, QueueWork: queueWork,
		Organisations: organisations, Admission: policy, Log: &lt.attempts,
		Engine: standin.EngineConfig{
			// Without a prefix cache all requests take the same time.
			Slots: engineSlots, CacheTokens: 1, PrefillPerToken: prefillPerToken, TokenInterval: tokenInterval,
		},
	})
	return lt, err
}

func (lt *loadTest) close() {
	lt.client.CloseIdleConnections()
	lt.fleet.Close()
}

// phase is a period of load; its requests may go on after the last arrival.
type phase struct {
	cancel  context.CancelFunc
	done    sync.WaitGroup
	mu      sync.Mutex
	samples []sample
}

// start sends the requests of each class for the given length and returns after the last arrival. A class with the same
// index, load and seed has the same arrivals and prompts in each phase.
func (lt *loadTest) start(ctx context.Context, classes []class, length time.Duration, seed uint64) *phase {
	p := &phase{}
	ctx, p.cancel = context.WithCancel(ctx)
	var arrivals sync.WaitGroup
	for i, c := range classes {
		if c.load > 0 {
			arrivals.Go(func() { lt.sendArrivals(ctx, p, i, c, length, rand.New(rand.NewPCG(seed, uint64(i)))) })
		}
	}
	stop := make(chan struct{})
	lags := make(chan []sample)
	go func() { lags <- timerLags(stop) }()
	arrivals.Wait()
	close(stop)
	lt.lags = append(lt.lags, <-lags...)
	return p
}

// timerLags samples how late timers fire until stop is closed. On a busy machine this lag is part of each measured
// time.
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

// lagFigure returns the lag of timers, which shows whether the machine was idle enough for the other figures to be
// valid.
func (lt *loadTest) lagFigure(subject string) Figure {
	lag := quantile(lt.lags, 0.95, func(sample) bool { return true }, latency)
	return Figure{Name: "lag of timers p95 on this machine", Subject: subject, Value: lag, Unit: "ms"}
}

// wait waits for the last request of the phase and returns all samples.
func (p *phase) wait() []sample {
	p.done.Wait()
	p.cancel()
	return p.samples
}

// stop cancels the requests that still run.
func (p *phase) stop() {
	p.cancel()
	p.done.Wait()
}

// run sends the requests of the classes for the given length and waits for all responses.
func (lt *loadTest) run(ctx context.Context, classes []class, length time.Duration, seed uint64) []sample {
	return lt.start(ctx, classes, length, seed).wait()
}

// sendArrivals sends the requests of a class at exponentially distributed intervals, to the routers in turn.
func (lt *loadTest) sendArrivals(ctx context.Context, p *phase, index int, c class, length time.Duration, rng *rand.Rand) {
	started := time.Now()
	arrival := time.Duration(0)
	for n := 0; ; n++ {
		arrival += time.Duration(rng.ExpFloat64() / (c.load * capacity) * float64(time.Second))
		if arrival > length || ctx.Err() != nil {
			return
		}
		time.Sleep(arrival - time.Since(started))
		router := lt.fleet.Routers[n%len(lt.fleet.Routers)].Address()
		p.done.Go(func() { p.add(lt.send(ctx, router, sample{class: index, arrival: arrival}, c, n)) })
	}
}

func (p *phase) add(s sample) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.samples = append(p.samples, s)
}

func (lt *loadTest) send(ctx context.Context, router string, s sample, c class, n int) sample {
	caller := standin.Caller{Key: c.organisation.Key, HTTP: lt.client}
	text := fmt.Sprintf("%s %d ", c.organisation.Name, n)
	// A prompt token is 4 bytes, and each message counts as one token more.
	text += strings.Repeat("x", (promptTokens-1)*4-len(text))
	started := time.Now()
	reply, err := caller.Chat(ctx, router, encoder.ChatRequest{
		Model: demonstrator.Model, Messages: []encoder.Message{{Role: "user", Content: text}}, MaxTokens: answerTokens,
	}, nil)
	s.first, s.total, s.err = reply.FirstToken, time.Since(started), err
	return s
}

// generatedTokens returns the tokens that the engines generated for each rank, the most urgent first.
func (lt *loadTest) generatedTokens() [3]float64 {
	var sum [3]float64
	for _, e := range lt.fleet.Engines {
		for _, run := range e.Runs() {
			sum[run.Priority] += float64(run.Emitted)
		}
	}
	return sum
}

// startedRuns returns the number of pairs of a request and an engine that started it. A request that an engine resumes
// after a pause counts once.
func (lt *loadTest) startedRuns() int {
	type pair struct{ engine, request string }
	pairs := map[pair]bool{}
	for _, e := range lt.fleet.Engines {
		for _, run := range e.Runs() {
			pairs[pair{run.Engine, run.RequestID}] = true
		}
	}
	return len(pairs)
}

// slotUtilisation returns the mean fraction of the slots in use, sampled for the given length.
func (lt *loadTest) slotUtilisation(length time.Duration) float64 {
	const interval = 5 * time.Millisecond
	sum, n := 0, 0
	for started := time.Now(); time.Since(started) < length; time.Sleep(interval) {
		for _, e := range lt.fleet.Engines {
			sum += min(e.Running(), engineSlots)
		}
		n += loadEngines * engineSlots
	}
	return float64(sum) / float64(n)
}

// attemptCounter is a log writer that counts the failed attempts of a fleet.
type attemptCounter struct{ failed atomic.Int64 }

// Write counts the failed attempts that the log lines in b report.
func (c *attemptCounter) Write(b []byte) (int, error) {
	c.failed.Add(int64(bytes.Count(b, []byte("attempt_failed"))))
	return len(b), nil
}

// quantile returns the q quantile, in milliseconds, of the selected samples without an error. It is not a number
// (NaN) if there are none.
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

// answeredFraction returns the fraction of the selected samples that received their complete answer.
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

// comparePolicies measures the standard policy by itself, so that nothing else uses the machine, and then the baselines
// concurrently. The figures of the baselines get no goals.
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
