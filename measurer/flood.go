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
	emptyGoal   = 1.25
	calmLength  = 3 * time.Second
	floodLength = 3 * time.Second
	// outageLength is short beside the time that an engine of this size of fleet stays down.
	outageLength = 3 * time.Second
	outageLoad   = 0.4
	// emptyLimit bounds the wait for the queues to empty after the flood.
	emptyLimit = 10 * time.Second
)

// flood measures the most urgent rank under a tenfold flood of the least urgent one.
func flood(ctx context.Context, seed uint64) (Result, error) {
	figures, err := compare(func(p admitter.Policy) ([]Figure, error) { return floodOf(ctx, p, seed) },
		admitter.WithoutFairness, admitter.FirstCome, admitter.WithoutPreemption)
	return Result{Name: "flood", Seed: seed, Figures: figures}, err
}

func floodOf(ctx context.Context, policy admitter.Policy, seed uint64) ([]Figure, error) {
	calm, flooded := rankClasses(0.3, 0.15, 0.15), rankClasses(0.3, 0.15, 1.5)
	r, err := startRig(ctx, policy, calm)
	if err != nil {
		return nil, err
	}
	defer r.close()
	before := r.run(ctx, calm, calmLength, seed)
	p := r.start(ctx, flooded, floodLength, seed)
	empty := r.timeToEmpty()
	during := p.wait()
	urgent := func(s sample) bool { return s.class == 0 }
	normal := func(s sample) bool { return s.class == 1 }
	first := func(samples []sample) float64 { return quantile(samples, 0.95, urgent, firstToken) }
	subject := policy.String()
	figures := []Figure{
		{Name: "urgent first token p95, calm", Subject: subject, Value: first(before), Unit: "ms"},
		{Name: "urgent first token p95, flood", Subject: subject, Value: first(during), Unit: "ms"},
		{Name: "urgent first token p95, flood over calm", Subject: subject, Value: first(during) / first(before), Goal: AtMost(floodGoal)},
		{Name: "urgent answered, flood", Subject: subject, Value: answered(during, urgent), Goal: AtLeast(1)},
		{Name: "normal answered, flood", Subject: subject, Value: answered(during, normal), Goal: AtLeast(1)},
		{Name: "time until the queues are empty after the flood", Subject: subject, Value: empty.Seconds(), Unit: "s", Goal: AtMost(emptyGoal * queueSeconds())},
	}
	return append(figures, r.outage(ctx, subject, seed)...), nil
}

// queueSeconds is the time in which the fleet works off full queues of one rank and the running requests.
func queueSeconds() float64 {
	return queueWork*loadEngines/(capacity*(promptTokens+answerTokens)) + runTime.Seconds()
}

// timeToEmpty waits until no agent has a request.
func (r *rig) timeToEmpty() time.Duration {
	started := time.Now()
	for time.Since(started) < emptyLimit {
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
func (r *rig) outage(ctx context.Context, subject string, seed uint64) []Figure {
	classes := rankClasses(outageLoad/2, outageLoad/4, outageLoad/4)
	taken, failed := r.taken(), r.attempts.failed.Load()
	const killAfter = outageLength / 4
	timer := time.AfterFunc(killAfter, func() {
		for _, e := range r.fleet.Engines[:loadEngines/3] {
			e.Kill()
		}
	})
	defer timer.Stop()
	samples := r.run(ctx, classes, outageLength, seed+1)
	n := float64(len(samples))
	all := func(sample) bool { return true }
	return []Figure{
		{Name: "engine runs per request, a third of the engines down", Subject: subject, Value: float64(r.taken()-taken) / n, Goal: AtMost(retryGoal)},
		{Name: "attempts per request, a third of the engines down", Subject: subject, Value: (n + float64(r.attempts.failed.Load()-failed)) / n},
		{Name: fmt.Sprintf("answered of %d, a third of the engines down", len(samples)), Subject: subject, Value: answered(samples, all), Goal: AtLeast(1)},
	}
}
