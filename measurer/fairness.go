package measurer

import (
	"context"
	"fmt"
	"time"

	"clementineramp/admitter"
	"clementineramp/demonstrator"
)

const (
	fairnessGoal   = 1.2
	fairnessLength = 5 * time.Second
	// Of ten organisations with equal weights nine ask for half of their share, and one for 50 times its share.
	smallOrganisations = 9
	smallLoad          = 0.05
	largeLoad          = 50.0 / (smallOrganisations + 1)
)

// fairness measures small organisations of a rank beside one that asks for far more than its share.
func fairness(ctx context.Context, seed uint64) (Result, error) {
	figures, err := compare(func(p admitter.Policy) ([]Figure, error) { return fairnessOf(ctx, p, seed) },
		admitter.WithoutFairness, admitter.FirstCome, admitter.WithoutPreemption)
	return Result{Name: "fairness", Seed: seed, Figures: figures}, err
}

func fairnessOf(ctx context.Context, policy admitter.Policy, seed uint64) ([]Figure, error) {
	alone := make([]class, smallOrganisations+1)
	for i := range alone {
		name := fmt.Sprintf("organisation-%d", i)
		alone[i] = class{demonstrator.Organisation{Name: name, Key: "key-of-" + name, Rank: "normal"}, smallLoad}
	}
	alone[smallOrganisations].load = 0
	beside := append([]class{}, alone...)
	beside[smallOrganisations].load = largeLoad
	r, err := startRig(ctx, policy, alone)
	if err != nil {
		return nil, err
	}
	defer r.close()
	before := r.run(ctx, alone, fairnessLength, seed)
	p := r.start(ctx, beside, fairnessLength, seed)
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
	return append(figures, Figure{Name: "small answered, beside", Subject: subject, Value: answered(during, small), Goal: AtLeast(1)}), nil
}
