package measurer

import (
	"context"
	"fmt"
	"time"

	"clementineramp/admitter"
	"clementineramp/demonstrator"
)

const (
	// fairnessGoal bounds the p95 times of the small organisations while the large one sends requests, as a multiple of
	// those without it.
	fairnessGoal   = 1.2
	fairnessLength = 5 * time.Second
	// Ten organisations have equal weights. Nine of them ask for half of their share, and one for 50 times its share.
	smallOrganisations = 9
	smallLoad          = 0.05
	largeLoad          = 50.0 / (smallOrganisations + 1)
)

// measureFairness measures the latency of small organisations of a rank, first by themselves and then while another
// organisation asks for 50 times its share.
func measureFairness(ctx context.Context, seed uint64) (Result, error) {
	figures, err := comparePolicies(func(p admitter.Policy) ([]Figure, error) { return fairnessFigures(ctx, p, seed) },
		admitter.WithoutFairness, admitter.FirstCome, admitter.WithoutPreemption)
	return Result{Name: "fairness", Seed: seed, Figures: figures}, err
}

func fairnessFigures(ctx context.Context, policy admitter.Policy, seed uint64) ([]Figure, error) {
	smallOnly := make([]class, smallOrganisations+1)
	for i := range smallOnly {
		name := fmt.Sprintf("organisation-%d", i)
		smallOnly[i] = class{demonstrator.Organisation{Name: name, Key: "key-of-" + name, Rank: "normal"}, smallLoad}
	}
	smallOnly[smallOrganisations].load = 0
	withLarge := append([]class{}, smallOnly...)
	withLarge[smallOrganisations].load = largeLoad
	lt, err := startLoadTest(ctx, policy, smallOnly)
	if err != nil {
		return nil, err
	}
	defer lt.close()
	before := lt.run(ctx, smallOnly, fairnessLength, seed)
	p := lt.start(ctx, withLarge, fairnessLength, seed)
	during := p.wait()
	small := func(s sample) bool { return s.class < smallOrganisations }
	subject := policy.String()
	var figures []Figure
	for _, f := range []struct {
		name  string
		value func(sample) time.Duration
	}{{"latency", latency}, {"first token", firstToken}} {
		a, b := quantile(before, 0.95, small, f.value), quantile(during, 0.95, small, f.value)
		figures = append(figures,
			Figure{Name: "small " + f.name + " p95, alone", Subject: subject, Value: a, Unit: "ms"},
			Figure{Name: "small " + f.name + " p95, beside over alone", Subject: subject, Value: b / a, Goal: AtMost(fairnessGoal)})
	}
	return append(figures,
		Figure{Name: "small answered, beside", Subject: subject, Value: answeredFraction(during, small), Goal: AtLeast(1)},
		lt.lagFigure(subject)), nil
}
