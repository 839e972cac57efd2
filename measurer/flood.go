package measurer

import (
	"context"
	"fmt"
	"time"

	"clementineramp/admitter"
)

const (
	floodGoal = 1.1
	// retryGoal is one run per request and the retry budget of a tenth.
	retryGoal = 1.1
	// emptyGoal allows the engine with the longest queue as much more work than the mean as the load bound does.
	timeToEmptyGoal = 1.25
	calmLength      = 3 * time.Second
	floodLength     = 3 * time.Second
	// outageLength is short beside the time that an engine of this size of fleet stays down.
	outageLength = 3 * time.Second
	outageLoad   = 0.4
	// emptyLimit bounds the wait for the queues to empty after the flood.
	maxTimeToEmpty = 10 * time.Second
)

// flood measures the most urgent rank under a tenfold flood of the least urgent one.
func measureFlood(ctx context.Context, seed uint64) (Result, error) {
	figures, err := comparePolicies(func(p admitter.Policy) ([]Figure, error) { return floodFigures(ctx, p, seed) },
		admitter.WithoutFairness, admitter.FirstCome, admitter.WithoutPreemption)
	return Result{Name: "flood", Seed: seed, Figures: figures}, err
}

func floodFigures(ctx context.Context, policy admitter.Policy, seed uint64) ([]Figure, error) {
	calm, flooded := rankClasses(0.3, 0.15, 0.15), rankClasses(0.3, 0.15, 1.5)
	r, err := startLoadTest(ctx, policy, calm)
	if err != nil {
		return nil, err
	}
	defer r.close()
	before := r.run(ctx, calm, calmLength, seed)
	p := r.start(ctx, flooded, floodLength, seed)
	timeToEmpty := r.timeToEmpty()
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
	return append(append(figures, r.outageFigures(ctx, subject, seed)...), r.lagFigure(subject)), nil
}

// queueSeconds is the time in which the fleet works off full queues of one rank and the running requests.
func fullQueueSeconds() float64 {
	return queueWork*loadEngines/(capacity*(promptTokens+answerTokens)) + runTime.Seconds()
}

// timeToEmpty waits until no agent has a request.
func (r *loadTest) timeToEmpty() time.Duration {
	started := time.Now()
	for time.Since(started) < maxTimeToEmpty {
		running := 0
		for _, a := range r.fleet.Agents {
			running += a.Status().Running
		}
		if running == 0 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(started)
}

// outage kills a third of the engines under load and counts attempts.
func (r *loadTest) outageFigures(ctx context.Context, subject string, seed uint64) []Figure {
	classes := rankClasses(outageLoad/2, outageLoad/4, outageLoad/4)
	runsBefore, failedBefore := r.startedRuns(), r.attempts.failed.Load()
	const killAfter = outageLength / 4
	timer := time.AfterFunc(killAfter, func() {
		for _, e := range r.fleet.Engines[:loadEngines/3] {
			e.Kill()
		}
	})
	defer timer.Stop()
	samples := r.run(ctx, classes, outageLength, seed+1)
	requests := float64(len(samples))
	all := func(sample) bool { return true }
	return []Figure{
		{Name: "engine runs per request, a third of the engines down", Subject: subject, Value: float64(r.startedRuns()-runsBefore) / requests, Goal: AtMost(retryGoal)},
		{Name: "attempts per request, a third of the engines down", Subject: subject, Value: (requests + float64(r.attempts.failed.Load()-failedBefore)) / requests},
		{Name: fmt.Sprintf("answered of %d, a third of the engines down", len(samples)), Subject: subject, Value: answeredFraction(samples, all), Goal: AtLeast(1)},
	}
}
