package measurer

import (
	"context"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"clementineramp/chooser"
)

// ownSubject is the subject of the fleet's own figures.
const ownSubject = "clementineramp"

// reuseGoal is the part of the reference's reuse that the fleet must reach.
const reuseGoal = 0.95

// trial is one run of the workload under one policy.
type trial struct {
	subject           string
	reuse, skew, most float64
	over, checked     int
	attempts          float64
	p50, p95          time.Duration
}

// runTrial runs the workload once; a reference bypasses routers and agents.
func runTrial(ctx context.Context, seed uint64, policy chooser.Policy, complete bool) (trial, error) {
	a, err := newArena(ctx, seed, policy)
	if err != nil {
		return trial{}, err
	}
	defer a.fleet.Close()
	t := trial{subject: policy.String()}
	switch {
	case complete:
		t.subject = "complete_knowledge"
		a.send = newReference(a).send
	case policy == chooser.Rendezvous:
		t.subject = ownSubject
	}
	if err := a.run(ctx); err != nil {
		return t, err
	}
	t.reuse, t.skew, t.attempts = a.reuse(), a.meter.skew(), a.attempts()
	t.most, t.over, t.checked = a.meter.worst, a.meter.over, a.meter.checked
	t.p50, t.p95 = quantile(a.firstToken, 0.5), quantile(a.firstToken, 0.95)
	return t, nil
}

// runTrials runs the fleet and the reference one after the other, and then the baselines side by side: these are far
// from the fleet's figures, so that what they take from each other does not matter.
func runTrials(ctx context.Context, seed uint64) (own, complete trial, baselines []trial, err error) {
	if own, err = runTrial(ctx, seed, chooser.Rendezvous, false); err != nil {
		return own, complete, nil, err
	}
	if complete, err = runTrial(ctx, seed, chooser.Rendezvous, true); err != nil {
		return own, complete, nil, err
	}
	policies := chooser.Policies()[1:]
	baselines = make([]trial, len(policies))
	var g errgroup.Group
	for i, p := range policies {
		g.Go(func() (err error) {
			baselines[i], err = runTrial(ctx, seed, p, false)
			return err
		})
	}
	return own, complete, baselines, g.Wait()
}

func measureReuse(ctx context.Context, seed uint64) (Result, error) {
	own, complete, baselines, err := runTrials(ctx, seed)
	if err != nil {
		return Result{}, err
	}
	r := Result{Name: "reuse", Seed: seed, Figures: []Figure{
		{Name: "reuse of the reference's", Subject: ownSubject, Value: own.reuse / complete.reuse, Goal: AtLeast(reuseGoal)},
		{Name: "admissions over the bound", Subject: ownSubject, Value: float64(own.over), Goal: AtMost(0)},
	}}
	for _, t := range append([]trial{own, complete}, baselines...) {
		r.Figures = append(r.Figures,
			Figure{Name: "reuse", Subject: t.subject, Value: t.reuse},
			Figure{Name: "attempts per request", Subject: t.subject, Value: t.attempts},
			Figure{Name: "first token p50", Subject: t.subject, Value: milliseconds(t.p50), Unit: "ms"},
			Figure{Name: "first token p95", Subject: t.subject, Value: milliseconds(t.p95), Unit: "ms"},
		)
	}
	r.Notes = []string{
		"pauses and answers are shorter than in service; one engine joins, one leaves and returns, one flaps",
		"the reference knows all caches and loads at once, sends straight to the engines and never defers a request",
	}
	return r, nil
}

// quantile returns the value below which a part of the durations lies.
func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	d = slices.Sorted(slices.Values(d))
	return d[min(len(d)-1, int(q*float64(len(d))))]
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

// counter returns the value of a counter of a process.
func counter(r metrics.Registry, name string) int64 {
	if c, ok := r.Get(name).(metrics.Counter); ok {
		return c.Count()
	}
	return 0
}
