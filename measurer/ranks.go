package measurer

import (
	"context"
	"time"

	"clementineramp/admitter"
	"clementineramp/demonstrator"
)

// shares holds the guaranteed shares in the sheet of the demonstration fleet, the most urgent rank first.
var shares = [3]float64{0.5, 0.2, 0.1}

const (
	// shareTolerance is the fraction of a guaranteed share that may be missing.
	shareTolerance = 0.05
	// utilisationGoal allows for the time between the end of a request and the start of the next one in the same slot.
	utilisationGoal = 0.95
	// The shares are guaranteed over a sliding window of 10 s, so warm-up and measurement together cover most of one.
	sharesWarmUp      = 2 * time.Second
	sharesLength      = 7 * time.Second
	utilisationWarmUp = time.Second
	utilisationLength = 2 * time.Second
)

// rankClasses returns one class for each rank, with the given loads as fractions of the fleet's capacity.
func rankClasses(urgent, normal, batch float64) []class {
	loads := []float64{urgent, normal, batch}
	classes := make([]class, len(loads))
	for i, o := range demonstrator.Organisations {
		classes[i] = class{organisation: o, load: loads[i]}
	}
	return classes
}

// measureRanks measures the guaranteed shares under a flood of the most urgent rank, and the slots in use while only
// the least urgent rank sends requests.
func measureRanks(ctx context.Context, seed uint64) (Result, error) {
	figures, err := comparePolicies(func(p admitter.Policy) ([]Figure, error) { return rankFigures(ctx, p, seed) },
		admitter.WithoutShares, admitter.FirstCome, admitter.WithoutPreemption)
	return Result{Name: "ranks", Seed: seed, Figures: figures}, err
}

func rankFigures(ctx context.Context, policy admitter.Policy, seed uint64) ([]Figure, error) {
	batchOnly, flooded := rankClasses(0, 0, 3), rankClasses(4, 1, 1)
	lt, err := startLoadTest(ctx, policy, flooded)
	if err != nil {
		return nil, err
	}
	defer lt.close()
	stop := lt.runInBackground(ctx, batchOnly, utilisationWarmUp+utilisationLength, seed)
	time.Sleep(utilisationWarmUp)
	utilisation := lt.slotUtilisation(utilisationLength)
	stop()
	stop = lt.runInBackground(ctx, flooded, sharesWarmUp+sharesLength, seed)
	defer stop()
	time.Sleep(sharesWarmUp)
	before := lt.generatedTokens()
	time.Sleep(sharesLength)
	after := lt.generatedTokens()
	total := 0.0
	for i := range after {
		total += after[i] - before[i]
	}
	figures := []Figure{{Name: "slots in use, batch alone", Subject: policy.String(), Value: utilisation, Goal: AtLeast(utilisationGoal)}}
	for i, o := range demonstrator.Organisations {
		figures = append(figures, Figure{
			Name: o.Rank + " work of its share, urgent flood", Subject: policy.String(),
			Value: (after[i] - before[i]) / total / shares[i], Goal: AtLeast(1 - shareTolerance),
		})
	}
	return figures, nil
}

// runInBackground sends requests while its caller measures. The returned function cancels them and waits for their end.
func (lt *loadTest) runInBackground(ctx context.Context, classes []class, length time.Duration, seed uint64) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		lt.start(ctx, classes, length, seed).stop()
	}()
	return func() {
		cancel()
		<-done
	}
}
