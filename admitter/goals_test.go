package admitter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/admitter"
	"clementineramp/configurer"
)

func ranks(urgent, normal, batch float64) []configurer.Rank {
	return []configurer.Rank{
		{Name: "urgent", Share: urgent, Worth: 10, TargetMS: 440},
		{Name: "normal", Share: normal, Worth: 3, TargetMS: 2000},
		{Name: "batch", Share: batch, Worth: 1, TargetMS: 60000},
	}
}

func newAdmitter(rs []configurer.Rank) *admitter.Admitter {
	return withPolicy(admitter.Standard, rs)
}

func withPolicy(p admitter.Policy, rs []configurer.Rank) *admitter.Admitter {
	return withSlots(p, slots, false, rs)
}

func withSlots(p admitter.Policy, slots int, pauseWithinRank bool, rs []configurer.Rank) *admitter.Admitter {
	return admitter.New(admitter.Config{
		Policy: p, Slots: slots, Ranks: rs, MaxQueueWork: queueWork, MaxQueueTime: time.Minute, PauseWithinRank: pauseWithinRank,
		Jitter: func() float64 { return 0.5 },
	})
}

// rankJobs returns jobs of three ranks that would keep the given fractions of the slots busy.
func rankJobs(urgent, normal, batch float64) []*job {
	jobs := poisson(1, nil, admitter.Request{Rank: "urgent", Organisation: "a", Cost: 60}, urgent*slots)
	jobs = poisson(2, jobs, admitter.Request{Rank: "normal", Organisation: "b", Cost: 150}, normal*slots)
	return poisson(3, jobs, admitter.Request{Rank: "batch", Organisation: "c", Cost: 400}, batch*slots)
}

func ofRank(rank string) func(*job) bool {
	return func(j *job) bool { return j.started && j.req.Rank == rank && j.at > warmUp }
}

// Guards against urgent requests that wait behind a flood of the least urgent work.
func TestUrgentUnderBatchFlood(t *testing.T) {
	t.Parallel()
	const target = 1.1
	rs := ranks(0.5, 0.2, 0.1)
	for _, load := range []struct{ urgent, normal, batch float64 }{{0.4, 0.2, 0.2}, {0.2, 0.1, 0.2}, {0.5, 0.2, 0.25}} {
		run := func(name string, p func() policy) float64 {
			calm := rankJobs(load.urgent, load.normal, load.batch)
			flood := rankJobs(load.urgent, load.normal, 10*load.batch)
			runEngine(p(), calm, nil)
			runEngine(p(), flood, nil)
			before := quantile(calm, 0.95, ofRank("urgent"), (*job).ttft)
			during := quantile(flood, 0.95, ofRank("urgent"), (*job).ttft)
			t.Logf("load %v, %s: urgent p95 time to first token %v without the flood, %v with it, ratio %.3f",
				load, name, before, during, float64(during)/float64(before))
			return float64(during) / float64(before)
		}
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			t.Parallel()
			require.LessOrEqual(t, run("admitter", func() policy { return newAdmitter(rs) }), target)
			require.Greater(t, run("without preemption", func() policy { return withPolicy(admitter.WithoutPreemption, rs) }), target)
			require.Greater(t, run("first come first served", func() policy { return withPolicy(admitter.FirstCome, rs) }), target)
		})
	}
}

// fairness runs nine small organisations alone and then concurrently with one that requests 50 times its fair share of
// the slots. It returns the ratios of the second run to the first of the small organisations' latency and time to first
// token, each as p50 and p95, and the utilisation of the engine in the second run.
func fairness(slots int, p func() policy) (latency, firstToken [2]float64, largeWork float64) {
	const small, organisations = 0.05, 10
	load := func(large float64) []*job {
		var jobs []*job
		for i := range organisations - 1 {
			r := admitter.Request{Rank: "normal", Organisation: string(rune('a' + i)), Cost: 100}
			jobs = poisson(uint64(i), jobs, r, small*float64(slots))
		}
		if large > 0 {
			r := admitter.Request{Rank: "normal", Organisation: "large", Cost: 100}
			jobs = poisson(99, jobs, r, large*float64(slots))
		}
		return jobs
	}
	alone, concurrent := load(0), load(50.0/organisations)
	runEngine(p(), alone, nil)
	e := runEngine(p(), concurrent, nil)
	isSmall := func(j *job) bool { return j.done && j.req.Organisation != "large" && j.at > warmUp }
	for i, q := range []float64{0.5, 0.95} {
		ratio := func(f func(*job) time.Duration) float64 {
			return float64(quantile(concurrent, q, isSmall, f)) / float64(quantile(alone, q, isSmall, f))
		}
		latency[i], firstToken[i] = ratio((*job).latency), ratio((*job).ttft)
	}
	return latency, firstToken, e.servedWork["normal"] / (float64(slots) * slotRate * (simEnd - warmUp).Seconds())
}

// Guards against a large organisation that slows down the small ones of its rank.
func TestSmallOrganisations(t *testing.T) {
	t.Parallel()
	const target = 1.2
	rs := ranks(0.5, 0.2, 0.1)
	const (
		within = iota
		beyond
		logged // not checked: without pauses within the rank, the target cannot be met with four slots
	)
	for _, tt := range []struct {
		name                string
		slots               int
		p                   func(slots int) policy
		latency, firstToken int
	}{
		{"admitter", 16, func(n int) policy { return withSlots(admitter.Standard, n, false, rs) }, within, beyond},
		{"admitter", 4, func(n int) policy { return withSlots(admitter.Standard, n, false, rs) }, logged, logged},
		{"pauses within rank", 16, func(n int) policy { return withSlots(admitter.Standard, n, true, rs) }, within, within},
		{"pauses within rank", 8, func(n int) policy { return withSlots(admitter.Standard, n, true, rs) }, within, within},
		{"pauses within rank", 4, func(n int) policy { return withSlots(admitter.Standard, n, true, rs) }, within, within},
		{"without fairness", 16, func(n int) policy { return withSlots(admitter.WithoutFairness, n, true, rs) }, beyond, beyond},
		{"first come first served", 16, func(n int) policy { return withSlots(admitter.FirstCome, n, false, rs) }, beyond, beyond},
	} {
		t.Run(fmt.Sprint(tt.name, tt.slots), func(t *testing.T) {
			t.Parallel()
			latency, firstToken, used := fairness(tt.slots, func() policy { return tt.p(tt.slots) })
			t.Logf("%s, %d slots: ratio of latency p50 %.3f, p95 %.3f; of time to first token p50 %.3f, p95 %.3f; engine utilisation %.3f",
				tt.name, tt.slots, latency[0], latency[1], firstToken[0], firstToken[1], used)
			for _, c := range []struct {
				want int
				got  [2]float64
			}{{tt.latency, latency}, {tt.firstToken, firstToken}} {
				switch c.want {
				case within:
					require.LessOrEqual(t, max(c.got[0], c.got[1]), target, tt.name)
				case beyond:
					require.Greater(t, max(c.got[0], c.got[1]), target, tt.name)
				}
			}
		})
	}
}

// Guards against a flood of the urgent rank that takes the guaranteed shares of the other ranks.
func TestSharesUnderUrgentFlood(t *testing.T) {
	t.Parallel()
	const tolerance = 0.05
	shares := map[string]float64{"normal": 0.3, "batch": 0.1}
	run := func(name string, p policy) map[string]float64 {
		jobs := rankJobs(10, 1, 1)
		e := runEngine(p, jobs, nil)
		total := e.servedWork["urgent"] + e.servedWork["normal"] + e.servedWork["batch"]
		got := map[string]float64{}
		for rank, work := range e.servedWork {
			got[rank] = work / total
		}
		t.Logf("%s: urgent %.4f, normal %.4f (share 0.3), batch %.4f (share 0.1)",
			name, got["urgent"], got["normal"], got["batch"])
		return got
	}
	got := run("admitter", newAdmitter(ranks(0.5, 0.3, 0.1)))
	for rank, share := range shares {
		require.InEpsilon(t, share, got[rank], tolerance, rank)
	}
	got = run("without preemption", withPolicy(admitter.WithoutPreemption, ranks(0.5, 0.3, 0.1)))
	for rank, share := range shares {
		require.GreaterOrEqual(t, got[rank], share*(1-tolerance), rank)
	}
	for name, p := range map[string]policy{
		"without shares":          withPolicy(admitter.WithoutShares, ranks(0.5, 0.3, 0.1)),
		"first come first served": withPolicy(admitter.FirstCome, ranks(0.5, 0.3, 0.1)),
	} {
		got = run(name, p)
		require.Less(t, got["normal"], shares["normal"]*(1-tolerance), name)
	}
}

// Guards against a rank that loses its guaranteed share to a later flood because it used idle capacity before.
func TestShareAfterIdleCapacity(t *testing.T) {
	t.Parallel()
	const tolerance, share = 0.05, 0.1
	jobs := poisson(3, nil, admitter.Request{Rank: "batch", Organisation: "c", Cost: 100}, 2*slots)
	for _, j := range poisson(1, nil, admitter.Request{Rank: "urgent", Organisation: "a", Cost: 60}, 4*slots) {
		j.at += warmUp
		jobs = append(jobs, j)
	}
	runEngine(newAdmitter(ranks(0.5, 0.3, share)), jobs, nil)
	served := map[string]float64{}
	for _, j := range jobs {
		// Skips the first two seconds, in which the requests that were running when the flood began end.
		if j.done && j.end > warmUp+2*time.Second && j.end < warmUp+8*time.Second {
			served[j.req.Rank] += j.req.Cost
		}
	}
	got := served["batch"] / (served["urgent"] + served["batch"])
	t.Logf("batch %.4f (share %.1f) in the first seconds of the flood", got, share)
	require.GreaterOrEqual(t, got, share*(1-tolerance))
}

// reserved keeps slots free for ranks without requests, like an admitter with a fixed partition of the slots.
type reserved struct {
	*admitter.Admitter
	slots int
}

func (p reserved) Next(now time.Time) (r admitter.Request, ok bool) {
	if p.Running() >= p.slots {
		return r, false
	}
	return p.Admitter.Next(now)
}

// Guards against slots that are kept free for ranks without requests.
func TestIdleCapacityIsUsed(t *testing.T) {
	t.Parallel()
	run := func(name string, p policy) float64 {
		jobs := rankJobs(0.001, 0.001, 3)
		e := runEngine(p, jobs, nil)
		// Each run also takes its prefill time, so the engine serves fewer tokens than slots times slotRate.
		best := 1.0 * slots * slotRate * (simEnd - warmUp).Seconds() * 400 / (400 + prefill.Seconds()*slotRate)
		used := e.servedWork["batch"] / best
		t.Logf("%s: batch alone has an engine utilisation of %.3f", name, used)
		return used
	}
	rs := ranks(0.5, 0.3, 0.1)
	require.Greater(t, run("admitter", newAdmitter(rs)), 0.98)
	require.Less(t, run("fixed partition", reserved{newAdmitter(rs), slots / 10}), 0.5)
}

// Guards against starting a request that takes the work of the engine beyond the load limit.
func TestLoadBound(t *testing.T) {
	t.Parallel()
	const limit = 1500.0
	run := func(name string, p policy) (most float64) {
		runEngine(p, rankJobs(1, 0.5, 0.5), func(e *engine, j *job) {
			if e.running > 0 {
				most = max(most, e.runningWork+j.remaining)
			}
		})
		t.Logf("%s: most work with more than one request running %.0f of %.0f tokens", name, most, limit)
		return most
	}
	a := newAdmitter(ranks(0.5, 0.3, 0.1))
	a.SetLimit(limit)
	require.LessOrEqual(t, run("admitter", a), limit)
	require.Greater(t, run("without a limit", newAdmitter(ranks(0.5, 0.3, 0.1))), limit)
}

// withoutPrediction hides deadlines from the admitter, which disables the refusal by predicted wait.
type withoutPrediction struct{ *admitter.Admitter }

func (p withoutPrediction) Offer(now time.Time, r admitter.Request) error {
	r.Deadline = 0
	return p.Admitter.Offer(now, r)
}

// Guards against callers that wait for their whole deadline in the queue before they are refused.
func TestRefusalByPrediction(t *testing.T) {
	t.Parallel()
	const deadline = 5 * time.Second
	run := func(name string, p policy) (late float64) {
		jobs := rankJobs(0.5, 2, 0.001)
		for _, j := range jobs {
			j.req.Deadline = deadline
		}
		e := runEngine(p, jobs, nil)
		accepted, missed := 0, 0
		for _, j := range jobs {
			if j.req.Rank != "normal" || j.at < warmUp || j.at > simEnd-time.Minute || !j.accepted {
				continue
			}
			accepted++
			if !j.started || j.first-prefill-j.at > deadline {
				missed++
			}
		}
		late = float64(missed) / float64(accepted)
		t.Logf("%s: %d accepted, %.3f of them miss the deadline; normal work served %.0f tokens/s",
			name, accepted, late, e.servedWork["normal"]/(simEnd-warmUp).Seconds())
		return late
	}
	rs := ranks(0.5, 0.2, 0.1)
	require.Less(t, run("admitter", newAdmitter(rs)), 0.15)
	require.Greater(t, run("without prediction", withoutPrediction{newAdmitter(rs)}), 0.5)
}
