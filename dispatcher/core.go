package dispatcher

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"clementineramp/admitter"
	"clementineramp/configurer"
	"clementineramp/judge"
	"clementineramp/shedder"
)

const (
	// maxWaiting is the number of requests of a rank that wait for one service: several times what a gateway can serve
	// within a target, so that the time bound refuses first.
	maxWaiting = 64
	// placeSlots exceeds the requests that a gateway can have in progress, so that only the load limit counts.
	placeSlots = 1 << 20
	// maxRanks bounds the ranks that the queue of a service keeps while no request of theirs waits.
	maxRanks = 256
	// returningShare is the fraction of the longest remaining time of a route below which a caller has waited elsewhere. The
	// rest allows for the time that first requests spend on their way.
	returningShare = 0.9
	// statedWindow is the least time for which the longest remaining time of a route is kept.
	statedWindow = 30 * time.Second
	// maxReturningWait, and maxRemainingShare of the remaining time, bound the wait of a request without a target to meet.
	maxReturningWait  = time.Second
	maxRemainingShare = 1.0 / 3
	// minRetryAfter and maxRetryAfter bound the random delay after which refused callers retry. The delay is also at most
	// maxRemainingShare of the remaining time; where that is shorter than minRetryAfter, it is spread over its upper quarter.
	minRetryAfter   = 300 * time.Millisecond
	maxRetryAfter   = 2 * time.Second
	leastRetryShare = 0.75
	// overloadGap is the time without refusals after which an overload has ended.
	overloadGap = 2 * time.Second
	// overcommitment is the multiple of its share that a gateway may have in progress: few gateways use their whole share at the
	// same time, and a request that waits for a place while an upstream has free slots is late for nothing.
	overcommitment = 3
	// latencyMargin is the multiple of the current latency that is allowed for the rest of a request when its wait is bounded.
	// The current latency is a median; five in six requests take less than 1.6 times that.
	latencyMargin = 1.6
	// lateWaitShare is the fraction of the target for which a returning caller waits where first requests go before it.
	lateWaitShare = 0.1
	// checkInterval is the longest time between two checks of the queue, in which limits and latencies may have changed.
	checkInterval = 20 * time.Millisecond
	// rateTime is the time over which the rate of arrivals is averaged.
	rateTime = 2 * time.Second
)

// Core decides which requests start, wait or are refused. It is not safe for concurrent use.
type Core struct {
	cfg      Config
	shedder  *shedder.Shedder
	services map[string]*queue
	serial   uint64
	// stated and earlier hold the longest remaining time that callers of a route stated since rotatedAt, and before.
	stated, earlier map[routeKey]time.Duration
	rotatedAt       time.Time
}

type routeKey struct{ service, route string }

// queue is the state of one service.
type queue struct {
	name     string
	admitter *admitter.Admitter
	limit    float64
	// urgencies are those of the ranks of the admitter, the most urgent first.
	urgencies []int
	// waiting holds the requests that wait for a place, in the order of their arrival.
	waiting []*waiter
	// rate is the decaying rate of arrivals at ratedAt.
	rate    float64
	ratedAt time.Time
	// overload is the event of the current overload, which began at since; refusedAt is the time of its last refusal.
	overload         Event
	since, refusedAt time.Time
}

// waiter is a request that waits since a time.
type waiter struct {
	id        uint64
	request   Request
	since     time.Time
	returning bool
	// last is set if first requests go before it.
	last bool
}

// Refused is a request that waited and is refused.
type Refused struct {
	ID      uint64
	Refusal *Refusal
}

// NewCore returns a Core without requests.
func NewCore(cfg Config) *Core {
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	return &Core{
		cfg: cfg, shedder: &shedder.Shedder{Random: cfg.Random}, services: make(map[string]*queue),
		stated: make(map[routeKey]time.Duration),
	}
}

func (c *Core) queueOf(service string) *queue {
	q := c.services[service]
	if q == nil {
		q = &queue{name: service, admitter: admitter.New(admitter.Config{
			Slots: placeSlots, MaxQueueWork: maxWaiting, Jitter: c.cfg.Random,
		})}
		c.services[service] = q
	}
	return q
}

// Offer refuses a request or lets it wait, in which case the next call to Advance may start it at once.
func (c *Core) Offer(r Request, now time.Time) (id uint64, refusal *Refusal) {
	q := c.queueOf(r.Service)
	q.countArrival(now)
	c.endOverload(q, now)
	c.serial++
	w := &waiter{id: c.serial, request: r, since: now, returning: c.isReturning(r, now)}
	w.last = w.returning && c.cfg.ReturningLast
	d := c.shedder.Decide(shedder.Request{
		Service: r.Service, Organisation: r.Organisation, Urgency: r.Urgency, Remaining: r.Remaining,
		Returning: c.goesFirst(w),
	}, c.load(r, now), now)
	if d.Refused {
		return 0, c.refuse(q, w, CauseLatency, now)
	}
	q.addRank(r.Urgency)
	c.updateLimit(q, now)
	request := admitter.Request{
		ID: w.id, Rank: strconv.Itoa(r.Urgency), Organisation: r.Organisation, Cost: 1, Last: true, Pinned: true,
		Front: c.goesFirst(w),
		// With a deadline, the admitter refuses a request at once that would wait too long by its prediction. If none is left,
		// the request may only start at once, which Advance checks.
		Deadline: max(w.left(c.latency(r, now), now), 0),
	}
	if err := q.admitter.Offer(now, request); err != nil {
		return 0, c.refuse(q, w, causeOf(err), now)
	}
	q.waiting = append(q.waiting, w)
	return w.id, nil
}

// Advance starts the requests for which there are places, and refuses those that have waited for too long or were evicted from
// a full queue.
func (c *Core) Advance(service string, now time.Time) (started []uint64, refused []Refused) {
	q := c.services[service]
	if q == nil {
		return nil, nil
	}
	c.updateLimit(q, now)
	latencies := make(map[string]time.Duration)
	left := func(w *waiter) time.Duration {
		latency, known := latencies[w.request.Route]
		if !known {
			latency = c.latency(w.request, now)
			latencies[w.request.Route] = latency
		}
		return w.left(latency, now)
	}
	refuse := func(w *waiter, cause Cause) { refused = append(refused, Refused{w.id, c.refuse(q, w, cause, now)}) }
	for _, e := range q.admitter.Expire(now) {
		if w := q.remove(e.Request.ID); w != nil {
			refuse(w, causeOf(e.Err))
		}
	}
	// Requests past their time bound are removed before others start, but one that has just arrived may start without a wait.
	for _, w := range q.overdue(func(w *waiter) bool { return now.After(w.since) && left(w) <= 0 }) {
		q.admitter.Cancel(now, w.id)
		refuse(w, CauseTime)
	}
	for {
		r, ok := q.admitter.Next(now)
		if !ok {
			break
		}
		q.remove(r.ID)
		started = append(started, r.ID)
	}
	for _, w := range q.overdue(func(w *waiter) bool { return left(w) <= 0 }) {
		q.admitter.Cancel(now, w.id)
		refuse(w, CauseTime)
	}
	return started, refused
}

// Remove removes a request that waits or holds a place.
func (c *Core) Remove(service string, id uint64, now time.Time) {
	q := c.services[service]
	if q == nil {
		return
	}
	if q.remove(id) != nil {
		q.admitter.Cancel(now, id)
		return
	}
	q.admitter.Done(now, id, 1)
}

// NextCheck returns the time until Advance must be called for a service although nothing happens, and false if no request waits.
func (c *Core) NextCheck(service string, now time.Time) (time.Duration, bool) {
	q := c.services[service]
	if q == nil || len(q.waiting) == 0 {
		return 0, false
	}
	next := checkInterval
	for _, w := range q.waiting {
		next = min(next, w.left(c.latency(w.request, now), now))
	}
	return max(next, 0), true
}

// Services returns the names of the services with requests so far, sorted.
func (c *Core) Services() []string {
	names := make([]string, 0, len(c.services))
	for name := range c.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Status returns the state of a service.
func (c *Core) Status(service string, now time.Time) Status {
	q := c.services[service]
	if q == nil {
		return Status{}
	}
	c.updateLimit(q, now)
	c.endOverload(q, now)
	return q.status(now)
}

func (q *queue) status(now time.Time) Status {
	s := Status{InProgress: q.admitter.Running(), Waiting: len(q.waiting), Rate: q.rate * decay(now.Sub(q.ratedAt))}
	if !math.IsInf(q.limit, 1) {
		s.Limit = q.limit
	}
	return s
}

func (c *Core) latency(r Request, now time.Time) time.Duration {
	return c.cfg.Latency(r.Service, r.Route, now)
}

// load returns the load by which the shedder decides: that up to which nothing is refused as long as the latency is at or below
// the goal, and that from which everything is refused once it has reached the target.
func (c *Core) load(r Request, now time.Time) float64 {
	if c.cfg.Exact {
		return 0
	}
	latency, usual := c.latency(r, now), c.cfg.Usual(r.Service, r.Route)
	if latency <= 0 || usual <= 0 || usual >= r.Target { // A target below the latency at rest cannot be met by refusals.
		return 0
	}
	goal := usual + (r.Target-usual)/2
	if latency <= goal {
		return shedder.StartLoad
	}
	excess := min(float64(latency-goal)/float64(r.Target-goal), 1)
	return shedder.StartLoad + excess*(shedder.FullLoad-shedder.StartLoad)
}

// updateLimit sets this gateway's share of the limit of the service, which is at least one request.
func (c *Core) updateLimit(q *queue, now time.Time) {
	q.limit = math.Inf(1)
	if total := c.cfg.Limit(q.name, now); total > 0 {
		q.limit = total
		if !c.cfg.Exact {
			q.limit = max(overcommitment*total*c.cfg.Share(q.name, now), 1)
		}
	}
	q.admitter.SetLimit(q.limit)
}

// isReturning reports whether the caller of a request has waited elsewhere, and counts its remaining time among those stated.
func (c *Core) isReturning(r Request, now time.Time) bool {
	if now.Sub(c.rotatedAt) >= statedWindow {
		c.stated, c.earlier, c.rotatedAt = make(map[routeKey]time.Duration), c.stated, now
	}
	key := routeKey{r.Service, r.Route}
	longest := max(c.stated[key], c.earlier[key])
	if r.Stated > c.stated[key] {
		c.stated[key] = r.Stated
	}
	return r.Stated > 0 && float64(r.Stated) < returningShare*float64(longest)
}

// goesFirst reports whether a request goes before the others of its rank and organisation.
func (c *Core) goesFirst(w *waiter) bool { return w.returning != c.cfg.ReturningLast }

// left returns how much longer a request may wait for its place.
func (w *waiter) left(latency time.Duration, now time.Time) time.Duration {
	r, waited := w.request, now.Sub(w.since)
	latency = time.Duration(latencyMargin * float64(latency))
	left := r.Remaining - latency
	switch {
	case w.last && r.Target > 0:
		left = min(left, time.Duration(lateWaitShare*float64(r.Target)))
	case w.returning || r.Target <= 0:
		left = min(left, time.Duration(maxRemainingShare*float64(r.Remaining)), maxReturningWait)
	default:
		left = min(left, r.Target-r.Elapsed-latency)
	}
	return left - waited
}

// remove returns a request that waits and removes it from the list; nil if there is none with this ID.
func (q *queue) remove(id uint64) *waiter {
	i := slices.IndexFunc(q.waiting, func(w *waiter) bool { return w.id == id })
	if i < 0 {
		return nil
	}
	w := q.waiting[i]
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return w
}

// overdue removes the requests for which late returns true from the list, and returns them.
func (q *queue) overdue(late func(*waiter) bool) []*waiter {
	var list []*waiter
	q.waiting = slices.DeleteFunc(q.waiting, func(w *waiter) bool {
		if !late(w) {
			return false
		}
		list = append(list, w)
		return true
	})
	return list
}

// addRank adds the rank of an urgency to the admitter. If there are many, those of which no request waits are removed.
func (q *queue) addRank(urgency int) {
	i, found := slices.BinarySearch(q.urgencies, urgency)
	if found {
		return
	}
	q.urgencies = slices.Insert(q.urgencies, i, urgency)
	if len(q.urgencies) > maxRanks {
		q.urgencies = append(q.urgencies[:0], urgency)
		for _, w := range q.waiting {
			q.urgencies = append(q.urgencies, w.request.Urgency)
		}
		slices.Sort(q.urgencies)
		q.urgencies = slices.Compact(q.urgencies)
	}
	ranks := make([]configurer.Rank, len(q.urgencies))
	for i, u := range q.urgencies {
		ranks[i].Name = strconv.Itoa(u)
	}
	q.admitter.SetRanks(ranks)
}

func decay(d time.Duration) float64 { return math.Exp(-max(d.Seconds(), 0) / rateTime.Seconds()) }

func (q *queue) countArrival(now time.Time) {
	q.rate = q.rate*decay(now.Sub(q.ratedAt)) + 1/rateTime.Seconds()
	q.ratedAt = now
}

func causeOf(err error) Cause {
	if judge.ReasonOf(err) == judge.ReasonQueueFull {
		return CauseQueue
	}
	return CauseTime
}

// refuse returns the refusal of a request and counts it to the overload.
func (c *Core) refuse(q *queue, w *waiter, cause Cause, now time.Time) *Refusal {
	latency := c.latency(w.request, now)
	if q.since.IsZero() {
		q.since, q.overload = now, Event{Service: q.name, Began: true, Cause: cause, Latency: latency}
		c.notify(q.overload)
	}
	q.overload.Refused++
	q.refusedAt = now
	remaining := w.request.Remaining - now.Sub(w.since)
	return &Refusal{Cause: cause, RetryAfter: c.retryAfter(remaining), Latency: latency, Status: q.status(now)}
}

// retryAfter returns a random delay after which a caller with the given remaining time should retry.
func (c *Core) retryAfter(remaining time.Duration) time.Duration {
	most := max(min(maxRetryAfter, time.Duration(maxRemainingShare*float64(remaining))), time.Millisecond)
	least := minRetryAfter
	if most <= least {
		least = time.Duration(leastRetryShare * float64(most))
	}
	return least + time.Duration(c.cfg.Random()*float64(most-least))
}

func (c *Core) endOverload(q *queue, now time.Time) {
	if q.since.IsZero() || now.Sub(q.refusedAt) <= overloadGap {
		return
	}
	e := q.overload
	e.Began, e.Duration = false, q.refusedAt.Sub(q.since)
	q.since = time.Time{}
	c.notify(e)
}

func (c *Core) notify(e Event) {
	if c.cfg.OnChange != nil {
		c.cfg.OnChange(e)
	}
}
