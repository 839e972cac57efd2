package admitter_test

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"clementineramp/admitter"
)

// policy is the interface between the simulated engine and an admitter or a baseline.
type policy interface {
	Offer(now time.Time, r admitter.Request) error
	Next(now time.Time) (admitter.Request, bool)
	Done(now time.Time, id uint64, work float64) bool
	Preempt(now time.Time) (admitter.Request, bool)
	Paused(now time.Time, id uint64, left float64) bool
	Expire(now time.Time) []admitter.Refusal
}

const (
	prefill   = 200 * time.Millisecond
	pauseTime = 10 * time.Millisecond
	// slotRate is the number of tokens that a simulated slot generates per second.
	slotRate = 50.0
	slots    = 16
	// queueWork is the limit on the queued work of a rank, in tokens.
	queueWork = 20 * slots * slotRate
)

const (
	warmUp = 30 * time.Second
	simEnd = 330 * time.Second
)

var epoch = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// job is a simulated request and its progress.
type job struct {
	req                     admitter.Request
	at, first, end          time.Duration
	runWork, remaining      float64
	run                     int
	resumedAt               time.Duration
	accepted, started, done bool
}

func (j *job) latency() time.Duration { return j.end - j.at }
func (j *job) ttft() time.Duration    { return j.first - j.at }

type event struct {
	at   time.Duration
	j    *job
	run  int
	kind int // 0 arrival, 1 completion, 2 end of a pause
}

type events []event

func (h events) Len() int           { return len(h) }
func (h events) Less(i, j int) bool { return h[i].at < h[j].at }
func (h events) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)        { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

// engine simulates an engine with slots; a run takes the prefill time plus the remaining work over slotRate.
type engine struct {
	p    policy
	jobs map[uint64]*job
	heap events
	// servedWork is the work done after warm-up, by rank; runningWork is the work of the running requests.
	servedWork  map[string]float64
	runningWork float64
	running     int
	// onStart is called before each start of a request; nil means no call.
	onStart func(e *engine, j *job)
}

func runEngine(p policy, jobs []*job, onStart func(*engine, *job)) *engine {
	e := &engine{p: p, jobs: map[uint64]*job{}, servedWork: map[string]float64{}, onStart: onStart}
	for i, j := range jobs {
		j.req.ID = uint64(i + 1)
		j.remaining = j.req.Cost
		e.jobs[j.req.ID] = j
		e.heap = append(e.heap, event{at: j.at, j: j})
	}
	heap.Init(&e.heap)
	for len(e.heap) > 0 {
		ev := heap.Pop(&e.heap).(event)
		if ev.at > simEnd {
			break
		}
		e.step(ev)
	}
	return e
}

func (e *engine) step(ev event) {
	now, j := epoch.Add(ev.at), ev.j
	switch {
	case ev.kind == 0:
		if e.p.Offer(now, j.req) != nil {
			return
		}
		j.accepted = true
	case ev.run != j.run || j.done:
		return
	case ev.kind == 1:
		e.stop(ev.at, j, j.remaining)
		j.done, j.end = true, ev.at
		e.p.Done(now, j.req.ID, j.runWork)
	case ev.kind == 2:
		work := min(max(0, (ev.at-j.resumedAt-prefill).Seconds()*slotRate), j.remaining)
		e.stop(ev.at, j, work)
		j.remaining -= work
		j.run++
		e.p.Paused(now, j.req.ID, j.remaining)
	}
	e.p.Expire(now)
	for r, ok := e.p.Next(now); ok; r, ok = e.p.Next(now) {
		e.start(ev.at, e.jobs[r.ID])
	}
	for r, ok := e.p.Preempt(now); ok; r, ok = e.p.Preempt(now) {
		v := e.jobs[r.ID]
		heap.Push(&e.heap, event{ev.at + pauseTime, v, v.run, 2})
	}
}

func (e *engine) start(at time.Duration, j *job) {
	if e.onStart != nil {
		e.onStart(e, j)
	}
	if !j.started {
		j.started, j.first = true, at+prefill
	}
	j.resumedAt, j.runWork = at, j.remaining
	e.runningWork += j.remaining
	e.running++
	heap.Push(&e.heap, event{at + prefill + time.Duration(j.remaining/slotRate*float64(time.Second)), j, j.run, 1})
}

func (e *engine) stop(at time.Duration, j *job, work float64) {
	e.runningWork -= j.runWork
	e.running--
	if at > warmUp {
		e.servedWork[j.req.Rank] += work
	}
}

// poisson appends Poisson arrivals of requests like r that keep load slots busy on average.
func poisson(seed uint64, jobs []*job, r admitter.Request, load float64) []*job {
	rng := rand.New(rand.NewPCG(seed, seed))
	r.Last = true
	mean := time.Duration((r.Cost + prefill.Seconds()*slotRate) / (load * slotRate) * float64(time.Second))
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() * float64(mean))
		if at > simEnd {
			return jobs
		}
		req := r
		req.Cost *= 0.5 + rng.Float64()
		jobs = append(jobs, &job{req: req, at: at})
	}
}

// quantile returns the q-quantile of f over the selected jobs, 0 if there are none.
func quantile(jobs []*job, q float64, selected func(*job) bool, f func(*job) time.Duration) time.Duration {
	var values []time.Duration
	for _, j := range jobs {
		if selected(j) {
			values = append(values, f(j))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.SortFunc(values, cmp.Compare[time.Duration])
	return values[int(q*float64(len(values)-1))]
}
