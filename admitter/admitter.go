package admitter

import (
	"math"
	"math/rand/v2"
	"time"

	"clementineramp/configurer"
	"clementineramp/judge"
)

const (
	// defaultWindow is the length of the sliding window over which guaranteed shares are enforced.
	defaultWindow = 10 * time.Second
	// minRetryAfter keeps refused callers from retrying before the load can have changed.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter bounds the retry delay, since predictions of long waits are rarely accurate.
	maxRetryAfter = 30 * time.Second
)

// Request describes a request that needs a slot of the engine.
type Request struct {
	ID                 uint64
	Rank, Organisation string
	// Cost is the estimated work, in tokens; for a paused request it is the remaining work.
	Cost float64
	// Weight is the organisation's weight in fair queueing with the others of the rank; zero means 1.
	Weight float64
	// Deadline is the time left until the first byte is due; zero means none.
	Deadline time.Duration
	// Last marks the last attempt: no other agent will be tried, so the request may wait until the load limit admits it.
	Last bool
	// Suspect marks a request that is suspected of having crashed an engine; only one such request runs at a time.
	Suspect bool
	// Pinned marks a request that cannot be paused, such as a call to a plain service.
	Pinned bool
	// Front puts the request before those of its rank and organisation that lack this mark, of which it replaces the newest
	// if the queue is full. It is meant for callers that return after a refusal.
	Front bool
}

func (r Request) weight() float64 {
	if r.Weight > 0 {
		return r.Weight
	}
	return 1
}

// Refusal is a queued request that will not run, with the error to return to its caller.
type Refusal struct {
	Request Request
	Err     *judge.Error
}

// State is the scheduling state of a request.
type State int

const (
	// Unknown is the state of a request that was never accepted, or that has ended, been cancelled or been refused.
	Unknown State = iota
	// Queued is the state of a request that waits and has not started.
	Queued
	// Running is the state of a request that holds a slot.
	Running
	// Pausing is the state of a request that holds a slot until Paused is called.
	Pausing
	// Paused is the state of a request that was started and preempted, and waits for a slot to resume.
	Paused
)

// Policy is a scheduling policy; all but Standard are baselines for comparison in measurements and tests.
type Policy int

const (
	// Standard applies shares, fair queueing and preemption.
	Standard Policy = iota
	// FirstCome serves requests in the order of their arrival, whatever their rank and organisation.
	FirstCome
	// WithoutFairness serves the requests of a rank as if they came from one organisation.
	WithoutFairness
	// WithoutPreemption never pauses a running request.
	WithoutPreemption
	// WithoutShares serves the most urgent rank first and guarantees nothing to the others.
	WithoutShares
)

var policyNames = [...]string{"clementineramp", "first come first served", "without fairness", "without preemption", "without shares"}

// String returns the name under which measurements report the policy.
func (p Policy) String() string { return policyNames[p] }

// apply clears the fields of a request that the policy ignores.
func (p Policy) apply(r Request) Request {
	switch p {
	case FirstCome:
		r.Rank, r.Organisation, r.Weight = "", "", 0
	case WithoutFairness:
		r.Organisation, r.Weight = "", 0
	case Standard, WithoutPreemption, WithoutShares:
	}
	return r
}

// Config configures an Admitter; the zero value of each field is valid.
type Config struct {
	// Policy is the scheduling policy; zero means Standard.
	Policy Policy
	// Slots is the number of requests that the engine runs in one batch; values below 1 mean 1.
	Slots int
	// Ranks are listed from the most to the least urgent.
	Ranks []configurer.Rank
	// MaxQueueWork limits the queued work of each rank, in tokens; zero means no limit.
	MaxQueueWork float64
	// MaxQueueTime limits the wait of a request that has not started; zero means no limit.
	MaxQueueTime time.Duration
	// Window is the length of the sliding window over which guaranteed shares are enforced; zero means 10 s.
	Window time.Duration
	// PauseWithinRank also lets a request preempt one of the same rank if its organisation is below its fair share
	// of the slots or has used fewer slots recently, and serves such organisations first. Without it, a small
	// organisation waits for a free slot: on average a run time divided by the number of slots.
	PauseWithinRank bool
	// Jitter returns a number in [0, 1) that spreads retry delays; nil means math/rand/v2.Float64.
	Jitter func() float64
}

// Admitter schedules the requests of one engine. It is not safe for concurrent use.
type Admitter struct {
	cfg Config
	// limit is the load limit, in tokens.
	limit float64
	// ranks are ordered by urgency: configured ranks, then removed ranks that still have requests, then fallback.
	ranks []*rankQueue
	// fallback queues requests of ranks that are not in the configuration; it is served last.
	fallback *rankQueue
	byName   map[string]*rankQueue

	entries map[uint64]*entry
	running []*entry
	// work is the estimated work of the running requests, in tokens; pausing and runningSuspects count those of them that
	// are being paused and those that are suspect.
	work            float64
	pausing         int
	runningSuspects int
	// serial is the number of starts so far.
	serial uint64
	// expiries holds the queued requests that have an expiry, the earliest first.
	expiries indexHeap[*entry]
	// refused holds the refusals that the next call to Expire returns.
	refused []Refusal

	rates                  rates
	startTime, lastAdvance time.Time
	bucketIndex            int64
	rankOrder              []*rankQueue
	lastDecision           Decision
}

// New returns an Admitter without a load limit.
func New(cfg Config) *Admitter {
	if cfg.Window <= 0 {
		cfg.Window = defaultWindow
	}
	if cfg.Jitter == nil {
		cfg.Jitter = rand.Float64
	}
	cfg.Slots = max(cfg.Slots, 1)
	a := &Admitter{
		cfg: cfg, limit: math.Inf(1),
		byName:  map[string]*rankQueue{},
		entries: map[uint64]*entry{},
		expiries: indexHeap[*entry]{
			less:  func(a, b *entry) bool { return a.expiry.Before(b.expiry) },
			index: func(e *entry) *int { return &e.expiryIndex },
		},
	}
	a.fallback = newRankQueue("", cfg.PauseWithinRank, a.freeSlots)
	a.SetRanks(cfg.Ranks)
	return a
}

// SetRanks replaces the ranks by those of a new configuration; requests of removed ranks are served after the others.
func (a *Admitter) SetRanks(ranks []configurer.Rank) {
	old := a.byName
	a.byName = make(map[string]*rankQueue, len(ranks))
	next := make([]*rankQueue, 0, len(ranks)+1)
	for _, r := range ranks {
		if a.byName[r.Name] != nil {
			continue
		}
		q := old[r.Name]
		if q == nil {
			q = newRankQueue(r.Name, a.cfg.PauseWithinRank, a.freeSlots)
		}
		q.share = math.Max(r.Share, 0)
		if a.cfg.Policy == WithoutShares {
			q.share = 0
		}
		a.byName[r.Name] = q
		next = append(next, q)
	}
	for _, q := range a.ranks {
		if a.byName[q.name] == nil && q != a.fallback && q.waiting()+q.running > 0 {
			q.share = 0
			a.byName[q.name] = q
			next = append(next, q)
		}
	}
	next = append(next, a.fallback)
	a.ranks = next
	for i, q := range a.ranks {
		q.position = i
	}
}

// SetLimit sets the current load limit: the work that the engine may carry, in tokens. An idle engine always accepts
// one request, whatever its cost.
func (a *Admitter) SetLimit(work float64) {
	a.limit = work
}

// RunningWork returns the estimated work of the requests that hold a slot, in tokens.
func (a *Admitter) RunningWork() float64 { return a.work }

// QueuedWork returns the estimated work of the waiting requests, paused ones included, in tokens.
func (a *Admitter) QueuedWork() float64 {
	sum := 0.0
	for _, q := range a.ranks {
		sum += q.work + q.pausedWork
	}
	return sum
}

// Waiting returns the number of waiting requests, paused ones included.
func (a *Admitter) Waiting() int {
	n := 0
	for _, q := range a.ranks {
		n += q.waiting()
	}
	return n
}

func (a *Admitter) freeSlots() int { return a.cfg.Slots - len(a.running) }

// Running returns the number of requests that hold a slot, including those that are being paused.
func (a *Admitter) Running() int { return len(a.running) }

// State returns the state of a request, Unknown if the admitter has no such request.
func (a *Admitter) State(id uint64) State {
	if e := a.entries[id]; e != nil {
		return e.state
	}
	return Unknown
}

func (a *Admitter) rankOf(name string) *rankQueue {
	if q := a.byName[name]; q != nil {
		return q
	}
	return a.fallback
}

// fits reports whether the load limit allows a request of the given cost to start.
func (a *Admitter) fits(cost float64) bool {
	return len(a.running) == 0 || a.work+cost <= a.limit
}

// Started reports that the engine has accepted the request, whose run time is measured from now on; without this call,
// it is measured from the call to Next.
func (a *Admitter) Started(now time.Time, id uint64) {
	if e := a.entries[id]; e != nil && e.state == Running {
		e.startedAt = now
	}
}

// Done reports that a started request has ended, with the work done since it was last started or resumed, in tokens.
// It returns false for a request that is unknown or has not started.
func (a *Admitter) Done(now time.Time, id uint64, actualWork float64) bool {
	a.advance(now)
	e := a.entries[id]
	if e == nil || e.state == Queued {
		return false
	}
	if e.state == Paused {
		// The engine finished the stream before the pause command took effect.
		e.rank.removePaused(e)
		e.rank.unrecorded += actualWork
		a.recordWork()
	} else {
		a.rates.add(e.req.Cost, actualWork, now.Sub(e.startedAt))
		a.correctWork(e, actualWork)
		a.removeRunning(e)
	}
	e.rank.correctTags(e, e.earlierWork+actualWork)
	a.removeEntry(e)
	a.recordDecision(Decision{Action: ActionDone, Work: actualWork}, e)
	return true
}

// Cancel removes a request whose caller has disconnected, and returns false for an unknown request.
// The agent itself cancels the stream of a running request; the work done so far is estimated.
func (a *Admitter) Cancel(now time.Time, id uint64) bool {
	a.advance(now)
	e := a.entries[id]
	if e == nil {
		return false
	}
	switch e.state {
	case Unknown:
		return false
	case Queued:
		e.rank.unlink(e)
	case Paused:
		e.rank.removePaused(e)
		e.rank.correctTags(e, e.earlierWork)
	case Running, Pausing:
		a.removeRunning(e)
		e.rank.correctTags(e, e.earlierWork+e.countedWork)
	}
	a.removeEntry(e)
	a.recordDecision(Decision{Action: ActionCancel}, e)
	return true
}

// Paused reports that the engine has paused a request that Preempt returned; work is its remaining work, in tokens.
// The request goes to the head of its rank, or to the head of its organisation's requests if it was preempted for
// another request of the rank. Paused returns false for a request that holds no slot.
func (a *Admitter) Paused(now time.Time, id uint64, work float64) bool {
	a.advance(now)
	e := a.entries[id]
	if e == nil || (e.state != Running && e.state != Pausing) {
		return false
	}
	work = math.Max(0, math.Min(work, e.req.Cost))
	done := e.req.Cost - work
	a.rates.add(done, done, now.Sub(e.startedAt))
	a.correctWork(e, done)
	a.removeRunning(e)
	e.earlierWork += done
	e.req.Cost = work
	e.state = Paused
	e.rank.pushPaused(e)
	e.pausedWithinRank = false
	a.recordDecision(Decision{Action: ActionPaused, Work: work}, e)
	return true
}

// removeRunning frees the slot of a running request.
func (a *Admitter) removeRunning(e *entry) {
	last := len(a.running) - 1
	a.running[e.runIndex] = a.running[last]
	a.running[e.runIndex].runIndex = e.runIndex
	a.running[last] = nil
	a.running = a.running[:last]
	if e.state == Pausing {
		a.pausing--
		e.rank.pausing--
	}
	if e.req.Suspect {
		a.runningSuspects--
	}
	e.rank.releaseSlot(e)
	a.work -= e.req.Cost
	if last == 0 {
		// Removes accumulated rounding error: the sum is exactly zero when the engine is idle.
		a.work = 0
	}
}

// removeEntry deletes a request that no longer waits or runs.
func (a *Admitter) removeEntry(e *entry) {
	a.expiries.remove(e)
	delete(a.entries, e.req.ID)
	e.state = Unknown
	e.rank.removeIdleFlows()
}

// Expire returns the queued requests refused since the last call: those whose queue time or deadline
// has passed, those evicted from a full queue, and those that the load limit did not admit.
func (a *Admitter) Expire(now time.Time) []Refusal {
	a.advance(now)
	a.expireQueued(now)
	out := a.refused
	a.refused = nil
	return out
}

// NextExpiry returns when the next queued request expires, and false if none will.
func (a *Admitter) NextExpiry() (time.Time, bool) {
	if e, ok := a.expiries.first(); ok {
		return e.expiry, true
	}
	return time.Time{}, false
}

func (a *Admitter) expireQueued(now time.Time) {
	for {
		e, ok := a.expiries.first()
		if !ok || now.Before(e.expiry) {
			return
		}
		e.rank.unlink(e)
		a.refuseQueued(e, ActionExpire, a.refusal(judge.ReasonDeadline, a.predictWait(e.rank, e.req)))
	}
}

// refuseQueued removes a request that was taken out of its queue; the next call to Expire returns its refusal.
func (a *Admitter) refuseQueued(e *entry, action Action, err *judge.Error) {
	a.removeEntry(e)
	a.refused = append(a.refused, Refusal{e.req, err})
	a.recordDecision(Decision{Action: action, Reason: err.Reason, RetryAfter: err.RetryAfter}, e)
}
