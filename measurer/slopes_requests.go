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

const (
	// requestConcurrency is the number of concurrent requests.
	requestConcurrency = 8
	// openTokenInterval is the time between the tokens of an open stream. After openSettleTime all streams are open.
	openTokenInterval, openSettleTime = 100 * time.Millisecond, 2 * time.Second
	// openAnswerTokens is the length of an answer, in tokens; such an answer takes longer than the measurement.
	openAnswerTokens = 600
)

var (
	requestSizes = []int{200, 400, 800}
	openSizes    = []int{100, 200, 400}
	// idleSizes lists the numbers of routers; each fleet has two agents per router.
	idleSizes = []int{4, 8, 16}
)

// idleSlopes measures the memory of all processes of a fleet without load, and the processor time per process.
func idleSlopes(ctx context.Context) ([]series, error) {
	memory := series{name: "memory of processes without load", dimension: "processes", unit: "B"}
	processor := series{name: "processor time of a process without load", dimension: "processes", unit: "% of a core"}
	for _, routers := range idleSizes {
		before := memoryInUse()
		f, err := demonstrator.StartFleet(ctx, demonstrator.FleetConfig{
			Routers: routers, Engines: 2*routers - 1, Workers: 1, Engine: standin.EngineConfig{Slots: 8, CacheTokens: 1000},
		})
		if err != nil {
			return nil, trace.Wrap(err)
		}
		n := float64(3 * routers)
		memory.points = append(memory.points, point{n, memoryInUse() - before})
		began := processorTime()
		sleepFor(ctx, time.Second)
		used := processorTime() - began
		f.Close()
		processor.points = append(processor.points, point{n, 100 * used.Seconds() / n})
	}
	return []series{memory, processor}, nil
}

func slopeFleet(ctx context.Context, token time.Duration) (*demonstrator.Fleet, error) {
	f, err := demonstrator.StartFleet(ctx, demonstrator.FleetConfig{
		Routers: 1, Engines: 4, Workers: 1,
		Engine: standin.EngineConfig{Slots: 512, CacheTokens: 100_000, TokenInterval: token},
	})
	return f, trace.Wrap(err)
}

func slopeRequest(seed uint64, i, tokens int) encoder.ChatRequest {
	s := int64(seed)*1_000_000 + int64(i)
	return encoder.ChatRequest{
		Model: demonstrator.Model, MaxTokens: tokens, Seed: &s,
		Messages: []encoder.Message{{Role: "user", Content: fmt.Sprintf("Chat %d: which form is due this month?", s)}},
	}
}

// requestSlopes measures processor time as a function of the number of requests, for answers of 1 and of 64 tokens.
func requestSlopes(ctx context.Context, seed uint64) ([]series, error) {
	f, err := slopeFleet(ctx, 0)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var list []series
	for _, tokens := range []int{1, 64} {
		s := series{name: fmt.Sprintf("processor time of requests with %d tokens", tokens), dimension: "requests", unit: "ms"}
		for _, n := range requestSizes {
			before := processorTime()
			if err := sendRequests(ctx, f, seed, n, tokens); err != nil {
				return nil, err
			}
			s.points = append(s.points, point{float64(n), float64((processorTime() - before).Microseconds()) / 1000})
		}
		list = append(list, s)
	}
	return list, nil
}

func sendRequests(ctx context.Context, f *demonstrator.Fleet, seed uint64, n, tokens int) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: requestConcurrency}}
	defer client.CloseIdleConnections()
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(requestConcurrency)
	for i := range n {
		g.Go(func() error {
			c := &standin.Caller{Key: demonstrator.Organisations[0].Key, HTTP: client}
			_, err := c.Chat(ctx, f.Routers[0].Address(), slopeRequest(seed, i, tokens), nil)
			return err
		})
	}
	return trace.Wrap(g.Wait())
}

// streamSlopes measures memory and processor time as functions of the number of open streams of 10 tokens per second.
func streamSlopes(ctx context.Context, seed uint64) ([]series, error) {
	memory := series{name: "memory of open streams", dimension: "streams", unit: "B"}
	processor := series{name: "processor time of open streams of 10 tokens/s", dimension: "streams", unit: "ms/s"}
	for _, n := range openSizes {
		f, err := slopeFleet(ctx, openTokenInterval)
		if err != nil {
			return nil, err
		}
		size, used := openStreams(ctx, f, seed, n)
		f.Close()
		memory.points = append(memory.points, point{float64(n), size})
		processor.points = append(processor.points, point{float64(n), used})
	}
	return []series{memory, processor}, nil
}

// openStreams opens n streams. It returns the memory that they use, in bytes, and the processor time that they take
// in a second, in milliseconds.
func openStreams(ctx context.Context, f *demonstrator.Fleet, seed uint64, n int) (size, used float64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	before := memoryInUse()
	var g errgroup.Group
	for i := range n {
		g.Go(func() error {
			c := &standin.Caller{Key: demonstrator.Organisations[0].Key, HTTP: client}
			_, _ = c.Chat(ctx, f.Routers[0].Address(), slopeRequest(seed, i, openAnswerTokens), nil)
			return nil
		})
	}
	sleepFor(ctx, openSettleTime)
	began := processorTime()
	sleepFor(ctx, time.Second)
	used = float64((processorTime() - began).Microseconds()) / 1000
	size = memoryInUse() - before
	cancel()
	_ = g.Wait()
	return size, used
}
