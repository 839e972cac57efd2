package estimator_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/estimator"
	"clementineramp/registrar"
)

const (
	rest   = 60 * time.Millisecond
	target = 300 * time.Millisecond
)

// group feeds estimators of several gateways with responses whose times are log-normal with a spread of 0.5, of which one in
// a hundred takes five times as long, and exchanges their reports.
type group struct {
	t         *testing.T
	rng       *rand.Rand
	now       time.Time
	upstreams []registrar.Upstream
	gateways  []*estimator.Estimator
	// rate is the number of responses a second for each gateway and upstream, and slowdown that of an upstream at the moment.
	rate     float64
	slowdown func(upstream int) float64
	// lies replaces the reports of the first gateway.
	lies func([]estimator.Report) []estimator.Report
}

func newGroup(t *testing.T, gateways, upstreams int) *group {
	g := &group{
		t: t, rng: rand.New(rand.NewPCG(7, 11)), now: time.Unix(1000, 0), rate: 2,
		slowdown: func(int) float64 { return 1 },
	}
	view := &registrar.View{ByService: map[string][]registrar.Upstream{}}
	for i := range upstreams {
		u := registrar.Upstream{ID: fmt.Sprint("u", i), Service: "s", Address: "10.0.0.1:1", Slots: 6, Born: 1}
		g.upstreams = append(g.upstreams, u)
		view.ByService["s"] = append(view.ByService["s"], u)
	}
	for range gateways {
		g.gateways = append(g.gateways, estimator.New(estimator.Config{View: func() *registrar.View { return view }}))
	}
	return g
}

func (g *group) record(gateway, upstream int, route string, latency time.Duration) {
	s := estimator.Sample{Upstream: g.upstreams[upstream], Route: route, Target: target, Latency: latency}
	g.gateways[gateway].Record(s, g.now)
}

// run lets time pass in steps of 50 ms until done returns true, and returns the time that passed. In each step, a gateway
// receives the reports of others with the probability that it has in a fleet, 2.9 a second.
func (g *group) run(d time.Duration, done func() bool) time.Duration {
	const step = 50 * time.Millisecond
	for passed := time.Duration(0); ; passed += step {
		if passed >= d || done != nil && done() {
			return passed
		}
		g.now = g.now.Add(step)
		for i, e := range g.gateways {
			for j := range g.upstreams {
				if s := g.slowdown(j); s > 0 && g.rng.Float64() < g.rate*step.Seconds() {
					if latency := g.serviceTime(s); latency < time.Minute {
						g.record(i, j, "r", latency)
					}
				}
			}
			if from := g.rng.IntN(len(g.gateways)); from != i && g.rng.Float64() < 2.9*step.Seconds() {
				reports := g.gateways[from].Reports(g.now)
				if from == 0 && g.lies != nil {
					reports = g.lies(reports)
				}
				e.Merge(fmt.Sprint("g", from), reports, g.now)
			}
			for _, u := range g.upstreams {
				e.Estimate(u, g.now) // As housekeeping does.
			}
		}
	}
}

func (g *group) serviceTime(slowdown float64) time.Duration {
	if g.rng.IntN(100) == 0 {
		slowdown *= 5
	}
	return time.Duration(float64(rest) * slowdown * math.Exp(0.5*g.rng.NormFloat64()))
}

// each returns the share of gateways for which ok holds.
func (g *group) each(ok func(e *estimator.Estimator) bool) float64 {
	n := 0
	for _, e := range g.gateways {
		if ok(e) {
			n++
		}
	}
	return float64(n) / float64(len(g.gateways))
}

func (g *group) estimate(e *estimator.Estimator, upstream int) estimator.Estimate {
	return e.Estimate(g.upstreams[upstream], g.now)
}

// meanLimit returns the mean over the gateways of the limit of an upstream.
func (g *group) meanLimit(upstream int) (sum float64) {
	for _, e := range g.gateways {
		sum += g.estimate(e, upstream).Limit / float64(len(g.gateways))
	}
	return sum
}

// Fixed speeds: guards against noise that is taken for a slowdown and lowers limits while all is well.
func TestFixedSpeeds(t *testing.T) {
	g := newGroup(t, 26, 3)
	g.run(40*time.Second, nil)
	within := g.each(func(e *estimator.Estimator) bool {
		ok := true
		for i := range g.upstreams {
			est := g.estimate(e, i)
			ok = ok && est.Slowdown < 2.2 && est.Limit > 18
		}
		return ok
	})
	require.Greater(t, within, 0.9)
	require.InDelta(t, float64(rest), float64(g.gateways[3].Usual("s", "r")), 0.35*float64(rest))
	require.InDelta(t, 1.3*float64(rest), float64(g.gateways[3].Latency("s", "r", g.now)), 0.5*float64(rest))
	require.Greater(t, g.gateways[3].Limit("s", g.now), 3*18.0)
}

// Uneven speeds: guards against upstreams of permanently different speed that are all taken for average ones.
func TestUnevenSpeeds(t *testing.T) {
	g := newGroup(t, 26, 3)
	g.slowdown = func(u int) float64 { return []float64{1, 1.5, 2.5}[u] }
	g.run(40*time.Second, nil)
	ordered := g.each(func(e *estimator.Estimator) bool {
		a, b, c := g.estimate(e, 0).Slowdown, g.estimate(e, 1).Slowdown, g.estimate(e, 2).Slowdown
		return a < b && b < c
	})
	require.Greater(t, ordered, 0.75)
	for u, times := range []float64{1, 1.5, 2.5} {
		sum := 0.0
		for _, e := range g.gateways {
			sum += math.Log(g.estimate(e, u).Slowdown / g.estimate(e, 0).Slowdown / times)
		}
		require.InDelta(t, 1, math.Exp(sum/26), 0.3, "upstream %d relative to the fastest", u)
	}
}

// Slowdown of one upstream by four and recovery, while requests go there as before and while they avoid it: guards against
// estimates that take more than 2 s to follow the slowdown and more than 5 s to follow the recovery.
func TestSlowdownAndRecovery(t *testing.T) {
	for _, avoided := range []bool{false, true} {
		g := newGroup(t, 26, 3)
		g.run(40*time.Second, nil)
		before := g.meanLimit(2)
		g.slowdown = func(u int) float64 { return []float64{1, 1, 4}[u] }
		slow := func(e *estimator.Estimator) bool { return g.estimate(e, 2).Slowdown > 3 }
		took := g.run(10*time.Second, func() bool { return g.each(slow) > 0.9 })
		t.Logf("limit from %.1f to %.1f", before, g.meanLimit(2))
		require.LessOrEqual(t, took, 2*time.Second, "until the slowdown is known")
		require.LessOrEqual(t, g.meanLimit(2), 0.6*before, "limit after %v", took)
		g.run(4*time.Second, nil)
		require.LessOrEqual(t, g.meanLimit(2), 0.3*before, "limit 4 s later")
		if avoided {
			g.slowdown = func(u int) float64 { return []float64{1, 1, 0}[u] }
		} else {
			g.slowdown = func(int) float64 { return 1 }
		}
		recovered := func(e *estimator.Estimator) bool {
			est := g.estimate(e, 2)
			return est.Slowdown < 1.9 && est.Limit >= 18
		}
		took2 := g.run(10*time.Second, func() bool { return g.each(recovered) > 0.9 })
		t.Logf("avoided %v: slowdown after %v, recovery after %v", avoided, took, took2)
		require.LessOrEqual(t, took2, 5*time.Second, "until the recovery is known")
	}
}

// Slow when half full: guards against a limit that stays above the load at which an upstream slows down, or falls far below it.
func TestSlowWhenHalfFull(t *testing.T) {
	g := newGroup(t, 26, 1)
	g.run(40*time.Second, nil)
	// All gateways keep the upstream as full as the limit allows. From 3 requests on it takes twice as long for each further one.
	g.slowdown = func(int) float64 { return min(max(1, math.Exp2(g.meanLimit(0)-3)), 30) }
	g.run(10*time.Second, nil)
	low, high := math.Inf(1), 0.0
	for range 40 {
		g.run(250*time.Millisecond, nil)
		low, high = min(low, g.meanLimit(0)), max(high, g.meanLimit(0))
	}
	t.Logf("limit between %.1f and %.1f", low, high)
	require.Greater(t, low, 1.5)
	require.Less(t, high, 6.5)
}

// Flapping: guards against an upstream that changes its speed each second and is taken out of use, and against limits at their
// upper bound although half of the responses are late.
func TestFlapping(t *testing.T) {
	g := newGroup(t, 26, 3)
	g.run(40*time.Second, nil)
	start := g.now
	g.slowdown = func(u int) float64 {
		if u == 2 && int(g.now.Sub(start)/time.Second)%2 == 0 {
			return 4
		}
		return 1
	}
	sum, n := 0.0, 0
	defer func() { t.Logf("mean limit %.1f", sum/float64(n)) }()
	for range 80 {
		g.run(250*time.Millisecond, nil)
		limit := g.estimate(g.gateways[5], 2).Limit
		require.GreaterOrEqual(t, limit, 1.5)
		sum, n = sum+limit, n+1
	}
	require.Less(t, sum/float64(n), 22.0)
	require.Greater(t, g.each(func(e *estimator.Estimator) bool { return g.estimate(e, 0).Limit > 15 }), 0.9, "the others")
}

// Overload of all: guards against a queue at all upstreams that becomes the usual latency, so that limits do not fall.
func TestOverloadOfAllUpstreams(t *testing.T) {
	g := newGroup(t, 26, 3)
	g.run(40*time.Second, nil)
	before := g.gateways[4].Usual("s", "r")
	g.slowdown = func(int) float64 { return 8 }
	g.run(60*time.Second, nil)
	after := g.gateways[4].Usual("s", "r")
	require.Less(t, float64(after), 1.2*float64(before), "usual latency after a minute of overload")
	require.Greater(t, g.each(func(e *estimator.Estimator) bool { return e.Limit("s", g.now) <= 3*3 }), 0.9)
	require.Greater(t, g.gateways[4].Latency("s", "r", g.now), target)
	require.GreaterOrEqual(t, g.gateways[4].Limit("s", g.now), 3*1.5, "never out of use")
}

// One lying gateway among 26: guards against reports of wrong measurements, high and low, that mislead the others.
func TestLyingGateway(t *testing.T) {
	for _, factor := range []float64{0.01, 100, math.NaN(), math.Inf(1)} {
		g := newGroup(t, 26, 3)
		g.lies = func(reports []estimator.Report) []estimator.Report {
			for i := range reports {
				reports[i].Slowdown *= factor
				reports[i].Samples, reports[i].Age = 255, 0
			}
			return reports
		}
		g.slowdown = func(u int) float64 { return []float64{1, 1, 4}[u] }
		g.run(40*time.Second, nil)
		right := g.each(func(e *estimator.Estimator) bool {
			return g.estimate(e, 0).Slowdown < 2.2 && g.estimate(e, 2).Slowdown > 2.5
		})
		require.Greater(t, right, 0.9, "factor %v", factor)
	}
}

// Few samples: guards against a single slow response or rejection of a gateway without peers that counts as a slowdown.
func TestFewSamples(t *testing.T) {
	g := newGroup(t, 1, 1)
	for range 20 {
		g.now = g.now.Add(time.Second)
		g.record(0, 0, "r", rest)
	}
	require.Equal(t, estimator.Estimate{}.Age, g.estimate(g.gateways[0], 0).Age)
	g.now = g.now.Add(3 * time.Second)
	g.record(0, 0, "r", 5*rest)
	require.LessOrEqual(t, g.estimate(g.gateways[0], 0).Slowdown, 1.01)
	g.now = g.now.Add(time.Second)
	g.record(0, 0, "r", 5*rest)
	require.Greater(t, g.estimate(g.gateways[0], 0).Slowdown, 4.0, "a second one counts")
	g.now = g.now.Add(3 * time.Second)
	require.Equal(t, 1.0, g.estimate(g.gateways[0], 0).Slowdown, "without samples")
	require.Zero(t, g.estimate(g.gateways[0], 0).Confidence)
}

// Noisy hosts: guards against limits that fall because work takes 2.5 times as long for 15% of the time in pieces of 0.6 s.
func TestNoisyHosts(t *testing.T) {
	g := newGroup(t, 13, 3)
	slow := make([]float64, 3)
	var until time.Time
	g.slowdown = func(u int) float64 {
		if !g.now.Before(until) {
			until = g.now.Add(600 * time.Millisecond)
			for i := range slow {
				slow[i] = 1
				if g.rng.Float64() < 0.15 {
					slow[i] = 2.5
				}
			}
		}
		return slow[u]
	}
	g.run(40*time.Second, nil)
	for range 40 {
		g.run(500*time.Millisecond, nil)
		require.Greater(t, g.gateways[0].Limit("s", g.now), 36.0)
	}
}

// Long routes beside short ones: guards against an upstream that seems slow because it received the long requests.
func TestLongRoutesBesideShortOnes(t *testing.T) {
	g := newGroup(t, 1, 2)
	for range 100 {
		g.now = g.now.Add(200 * time.Millisecond)
		g.record(0, 0, "short", rest)
		g.record(0, 1, "long", 5*rest)
	}
	require.InDelta(t, 1, g.estimate(g.gateways[0], 0).Slowdown, 0.05)
	require.InDelta(t, 1, g.estimate(g.gateways[0], 1).Slowdown, 0.05)
	require.InDelta(t, float64(5*rest), float64(g.gateways[0].Latency("s", "long", g.now)), float64(rest)/2)
	require.Zero(t, g.gateways[0].Latency("s", "unknown", g.now))
}

// Rejections, failures and a new incarnation: guards against rejections and failures that count as fast responses, and against
// an upstream that starts anew with the history of its predecessor.
func TestRejectionsFailuresAndNewIncarnation(t *testing.T) {
	g := newGroup(t, 1, 1)
	e, u := g.gateways[0], g.upstreams[0]
	for range 50 {
		g.now = g.now.Add(200 * time.Millisecond)
		g.record(0, 0, "r", rest)
	}
	for range 20 {
		g.now = g.now.Add(200 * time.Millisecond)
		e.Record(estimator.Sample{Upstream: u, Route: "r", Target: target, Latency: time.Millisecond, Rejected: true}, g.now)
	}
	require.InDelta(t, 4, e.Slowdown(u, g.now), 0.1)
	require.Less(t, e.Limit("s", g.now), 18.0)
	for range 20 {
		e.Record(estimator.Sample{Upstream: u, Route: "r", Target: target, Latency: time.Millisecond, Failed: true}, g.now)
	}
	require.InDelta(t, 4, e.Slowdown(u, g.now), 0.1, "fast failures")
	require.InDelta(t, float64(rest), float64(e.Usual("s", "r")), 0.05*float64(rest))

	next := u
	next.Born++
	require.Equal(t, 1.0, e.Slowdown(next, g.now))
	require.Equal(t, 18.0, e.Estimate(next, g.now).Limit)
	e.Prune(func(i registrar.Incarnation) bool { return i != u.Incarnation() }, g.now)
	require.Equal(t, 18.0, e.Estimate(u, g.now).Limit, "state of an upstream that is gone")
}

// Guards against a limit or a latency that counts upstreams to which no requests are sent.
func TestUpstreamsInUse(t *testing.T) {
	list := []registrar.Upstream{{ID: "a", Service: "s", Slots: 6}, {ID: "b", Service: "s", Slots: 6}}
	view := &registrar.View{ByService: map[string][]registrar.Upstream{"s": list}}
	usable := map[string]bool{"a": true}
	e := estimator.New(estimator.Config{
		View: func() *registrar.View { return view }, Usable: func(u registrar.Upstream, _ time.Time) bool { return usable[u.ID] },
	})
	now := time.Unix(1000, 0)
	require.Equal(t, 18.0, e.Limit("s", now))
	usable["a"] = false
	require.Equal(t, 36.0, e.Limit("s", now), "all if none is usable")
	require.Zero(t, e.Limit("other", now))
}

// Guards against wrong rates and numbers in progress, from which gateways derive their shares.
func TestMeter(t *testing.T) {
	var m estimator.Meter
	now := time.Unix(1000, 0)
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		m.CountRequest("s", now)
		m.Begin("s", now)
		m.End("s", now.Add(25*time.Millisecond))
	}
	work := m.Work(now)
	require.Len(t, work, 1)
	require.InDelta(t, 20, work[0].Rate, 2)
	require.InDelta(t, 0.5, work[0].InProgress, 0.1)
	require.Empty(t, m.Work(now.Add(time.Minute)), "a service without requests")
	for i := range 6 {
		m.CountRequest(fmt.Sprint(i), now)
	}
	require.Len(t, m.Work(now), estimator.MaxWork)
}

// Guards against data races between requests, exchanges and housekeeping; it fails under the race detector.
func TestConcurrentUse(t *testing.T) {
	g := newGroup(t, 1, 2)
	e, u := g.gateways[0], g.upstreams[0]
	var m estimator.Meter
	var running sync.WaitGroup
	for i := range 4 {
		running.Go(func() {
			for n := range 200 {
				now := g.now.Add(time.Duration(n) * 20 * time.Millisecond)
				e.Record(estimator.Sample{Upstream: u, Route: "r", Target: target, Latency: rest}, now)
				e.Merge(fmt.Sprint("g", i), e.Reports(now), now)
				e.Slowdown(u, now)
				e.Limit("s", now)
				e.Latency("s", "r", now)
				e.Prune(func(registrar.Incarnation) bool { return n%50 > 0 }, now)
				m.CountRequest("s", now)
				m.Work(now)
			}
		})
	}
	running.Wait()
	require.InDelta(t, float64(rest), float64(e.Usual("s", "r")), 0.05*float64(rest))
}
