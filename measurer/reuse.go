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

const (
	// wideSubject is the fleet with a control budget that it does not reach.
	wideSubject = "without_control_budget"
	// completeSubject is the reference that knows everything.
	completeSubject = "complete_knowledge"
)

// reuseGoal is the part of the reference's reuse that the fleet must reach.
const reuseGoal = 0.95

// trial is one run of the workload under one policy.
type trial struct {
	subject           string
	reuse, skew, most float64
	over, checked     int
	failed            int
	errors            []string
	attempts          float64
	p50, p95          time.Duration
}

// runTrial runs the workload once; a reference bypasses routers and agents.
func runTrial(ctx context.Context, seed uint64, policy chooser.Policy, subject string) (trial, error) {
	budget := controlBudget
	if subject == wideSubject {
		budget = wideBudget
	}
	a, err := newArena(ctx, seed, policy, budget)
	if err != nil {
		return trial{}, err
	}
	defer a.fleet.Close()
	t := trial{subject: subject}
	if subject == completeSubject {
		a.send = newReference(a).send
	}
	if err := a.run(ctx); err != nil {
		return t, err
	}
	t.reuse, t.skew, t.attempts = a.reuse(), a.meter.skew(), a.attempts()
	t.failed, t.errors = a.failed, a.errors
	t.most, t.over, t.checked = a.meter.worst, a.meter.over, a.meter.checked
	t.p50, t.p95 = timeQuantile(a.firstToken, 0.5), timeQuantile(a.firstToken, 0.95)
	return t, nil
}

// trials holds a run of the fleet and those that it is compared with.
type trials struct {
	own, wide, complete trial
	baselines           []trial
}

// runTrials runs the fleet with and without its control budget one after the other, and then the reference and the
// baselines side by side to save time: none of them acts on knowledge that a busy machine delays.
func runTrials(ctx context.Context, seed uint64) (t trials, err error) {
	if t.own, err = runTrial(ctx, seed, chooser.Rendezvous, ownSubject); err != nil {
		return t, err
	}
	if t.wide, err = runTrial(ctx, seed, chooser.Rendezvous, wideSubject); err != nil {
		return t, err
	}
	policies := chooser.Policies()[1:]
	t.baselines = make([]trial, len(policies))
	var g errgroup.Group
	g.Go(func() (err error) {
		t.complete, err = runTrial(ctx, seed, chooser.Rendezvous, completeSubject)
		return err
	})
	for i, p := range policies {
		g.Go(func() (err error) {
			t.baselines[i], err = runTrial(ctx, seed, p, p.String())
			return err
		})
	}
	err = g.Wait()
	return t, err
}

// all lists the trials, the fleet's own first.
func (t trials) all() []trial {
	return append([]trial{t.own, t.wide, t.complete}, t.baselines...)
}

func measureReuse(ctx context.Context, seed uint64) (Result, error) {
	t, err := runTrials(ctx, seed)
	if err != nil {
		return Result{}, err
	}
	r := Result{Name: "reuse", Seed: seed, Figures: []Figure{
		{Name: "reuse of the reference's", Subject: ownSubject, Value: t.own.reuse / t.complete.reuse, Goal: AtLeast(reuseGoal)},
		{Name: "reuse of the reference's", Subject: wideSubject, Value: t.wide.reuse / t.complete.reuse},
		{Name: "admissions over the bound", Subject: ownSubject, Value: float64(t.own.over), Goal: AtMost(0)},
		{Name: "turns without an answer", Subject: ownSubject, Value: float64(t.own.failed), Goal: AtMost(0)},
	}}
	for _, t := range t.all() {
		r.Figures = append(r.Figures,
			Figure{Name: "reuse", Subject: t.subject, Value: t.reuse},
			Figure{Name: "turns without an answer", Subject: t.subject, Value: float64(t.failed)},
			Figure{Name: "attempts per request", Subject: t.subject, Value: t.attempts},
			Figure{Name: "first token p50", Subject: t.subject, Value: milliseconds(t.p50), Unit: "ms"},
			Figure{Name: "first token p95", Subject: t.subject, Value: milliseconds(t.p95), Unit: "ms"},
		)
	}
	r.Notes = []string{
		"pauses and answers are shorter than in service; one engine joins, one leaves and returns, one flaps",
		"the reference knows all caches and loads at once, sends straight to the engines and never defers a request",
	}
	r.Notes = append(r.Notes, t.own.errors...)
	return r, nil
}

// timeQuantile returns the value below which a part of the durations lies.
func timeQuantile(d []time.Duration, q float64) time.Duration {
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
