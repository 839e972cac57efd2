package measurer

import (
	"context"
	"fmt"
	"time"

	"clementineramp/admitter"
)

const (
	// floodGoal bounds the p95 time to first token of urgent requests during the flood, as a multiple of that before it.
	floodGoal = 1.1
	// retryGoal is one engine run per request plus the retry budget of a tenth.
	retryGoal = 1.1
	// timeToEmptyGoal is relative to the time for full queues. It lets the engine with the longest queue have as much
	// more work than the mean as the load factor does.
	timeToEmptyGoal = 1.25
	calmLength      = 3 * time.Second
	floodLength     = 3 * time.Second
	// outageLength is short compared with the time that an engine stays down in a fleet of this size.
	outageLength = 3 * time.Second
	outageLoad   = 0.4
	// maxTimeToEmpty bounds the wait for empty queues after the flood.
	maxTimeToEmpty = 10 * time.Second
)

// measureFlood measures the most urgent rank while the least urgent one sends ten times its normal load.
func measureFlood(ctx context.Context, seed uint64) (Result, error) {
	figures, err := comparePolicies(func(p admitter.Policy) ([]Figure, error) { return floodFigures(ctx, p, seed) },
		admitter.WithoutFairness, admitter.FirstCome, admitter.WithoutPreemption)
	return Result{Name: "flood", Seed: seed, Figures: figures}, err
}

func floodFigures(ctx context.Context, policy admitter.Policy, seed uint64) ([]Figure, error) {
	calm, flooded := rankClasses(0.3, 0.15, 0.15), rankClasses(0.3, 0.15, 1.5)
	lt, err := startLoadTest(ctx, policy, calm)
	if err != nil {
		return nil, err
	}
	defer lt.close()
	before := lt.run(ctx, calm, calmLength, seed)
	p := lt.start(ctx, flooded, floodLength, seed)
	timeToEmpty := lt.timeToEmpty()
	during := p.wait()
	urgent := func(s sample) bool { return s.class == 0 }
	normal := func(s sample) bool { return s.class == 1 }
	firstTokenP95 := func(samples []sample) float64 { return quantile(samples, 0.95, urgent, firstToken) }
	subject := policy.String()
	figures := []Figure{
		{Name: "urgent first token p95, calm", Subject: subject, Value: firstTokenP95(before), Unit: "ms"},
		{Name: "urgent first token p95, flood", Subject: subject, Value: firstTokenP95(during), Unit: "ms"},
		{Name: "urgent first token p95, flood over calm", Subject: subject, Value: firstTokenP95(during) / firstTokenP95(before), Goal: AtMost(floodGoal)},
		{Name: "urgent answered, flood", Subject: subject, Value: answeredFraction(during, urgent), Goal: AtLeast(1)},
		{Name: "normal answered, flood", Subject: subject, Value: answeredFraction(during, normal), Goal: AtLeast(1)},
		{Name: "time until the queues are empty after the flood", Subject: subject, Value: timeToEmpty.Seconds(), Unit: "s", Goal: AtMost(timeToEmptyGoal * fullQueueSeconds())},
	}
	return append(append(figures, lt.outageFigures(ctx, subject, seed)...), lt.lagFigure(subject)), nil
}

// fullQueueSeconds returns the time in which the fleet completes the running requests and full queues of one rank.
func fullQueueSeconds() float64 {
	return queueWork*loadEngines/(capacity*(promptTokens+answerTokens)) + runTime.Seconds()
}

// timeToEmpty waits until no agent has a request, for maxTimeToEmpty at most, and returns the time waited.
func (lt *loadTest) timeToEmpty() time.Duration {
	started := time.Now()
	for time.Since(started) < maxTimeToEmpty {
		running := 0
		for _, a := range lt.fleet.Agents {
			running += a.Status().Running
		}
		if running == 0 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(started)
}

// outageFigures kills a third of the engines under load and counts engine runs and attempts per request.
func (lt *loadTest) outageFigures(ctx context.Context, subject string, seed uint64) []Figure {
	classes := rankClasses(outageLoad/2, outageLoad/4, outageLoad/4)
	runsBefore, failedBefore := lt.startedRuns(), lt.attempts.failed.Load()
	const killAfter = outageLength / 4
	timer := time.AfterFunc(killAfter, func() {
		for _, e := range lt.fleet.Engines[:loadEngines/3] {
			e.Kill()
		}
	})
	defer timer.Stop()
	samples := lt.run(ctx, classes, outageLength, seed+1)
	requests := float64(len(samples))
	all := func(sample) bool { return true }
	return []Figure{
		{Name: "engine runs per request, a third of the engines down", Subject: subject, Value: float64(lt.startedRuns()-runsBefore) / requests, Goal: AtMost(retryGoal)},
		{Name: "attempts per request, a third of the engines down", Subject: subject, Value: (requests + float64(lt.attempts.failed.Load()-failedBefore)) / requests},
		{Name: fmt.Sprintf("answered of %d, a third of the engines down", len(samples)), Subject: subject, Value: answeredFraction(samples, all), Goal: AtLeast(1)},
	}
}
