package admitter

import (
	"math"
	"time"

	"clementineramp/judge"
)

// maxCost limits the cost of one request, in tokens, so that sums of work in float64 stay accurate enough.
const maxCost = 1e12

// predictionMargin is the fraction of the deadline that the predicted wait may use. Actual waits vary with
// later, more urgent arrivals: of the accepted requests of a rank at twice its capacity in
// TestRefusalByPrediction, 19.0% missed their deadline with 1.0, 11.6% with 0.8 and 8.5% with 0.7.
const predictionMargin = 0.8

// Offer queues a request, or returns a *judge.Error with the verdict NotRun; unless the request is invalid, the error
// has a jittered retry delay. If the queue of the rank is full, Offer may evict other requests, which Expire returns.
func (a *Admitter) Offer(now time.Time, r Request) error {
	a.advance(now)
	a.expireQueued(now)
	r = a.cfg.Policy.apply(r)
	q := a.rankOf(r.Rank)
	if err := a.checkRequest(q, r); err != nil {
		return a.refuseOffer(q, r, err)
	}
	if !r.Last && a.cannotPreempt(q, r) {
		return a.refuseOffer(q, r, a.refusal(judge.ReasonLoadBound, 0))
	}
	if !a.startsAtOnce(r) {
		wait := a.predictWait(q, r)
		if r.Deadline > 0 && wait.Seconds() > predictionMargin*r.Deadline.Seconds() {
			return a.refuseOffer(q, r, a.refusal(judge.ReasonDeadline, wait-r.Deadline))
		}
		if !a.makeRoom(q, r) {
			return a.refuseOffer(q, r, a.refusal(judge.ReasonQueueFull, wait))
		}
	}
	e := &entry{req: r, rank: q, state: Queued, expiryIndex: -1}
	a.entries[r.ID] = e
	q.push(e)
	if expiry, ok := a.expiryTime(now, r); ok {
		e.expiry = expiry
		a.expiries.add(e)
	}
	a.recordDecision(Decision{Action: ActionQueue}, e)
	return nil
}

// checkRequest refuses invalid requests and those that cannot run here regardless of the queue.
func (a *Admitter) checkRequest(q *rankQueue, r Request) *judge.Error {
	if a.entries[r.ID] != nil {
		return judge.Refuse(judge.ReasonInvalid, "request id %d is in use", r.ID)
	}
	if !(r.Cost > 0 && r.Cost <= maxCost) {
		return judge.Refuse(judge.ReasonInvalid, "cost %v is out of range", r.Cost)
	}
	if r.Deadline < 0 {
		return a.refusal(judge.ReasonDeadline, a.predictWait(q, r))
	}
	if !r.Last && !a.fits(r.Cost) {
		return a.refusal(judge.ReasonLoadBound, 0)
	}
	return nil
}

// cannotPreempt reports whether all slots run requests that the offered one may not preempt, while requests that it
// could preempt wait in the queue. It is then better sent to another agent, whose engine may be running requests like the
// waiting ones, so that it can preempt one of them and start at once.
func (a *Admitter) cannotPreempt(q *rankQueue, r Request) bool {
	if !a.cfg.PauseWithinRank || r.Suspect || len(a.running)-a.pausing < a.cfg.Slots || a.victimBelow(q.position) != nil {
		return false
	}
	for _, u := range a.ranks[q.position+1:] {
		if u.waiting() > 0 {
			return true
		}
	}
	f, ok := q.byQueuedWork.first()
	if !ok {
		return false
	}
	u := q.slotUses.get(r.Organisation)
	return f.slotUse.scaledUse/f.slotUse.weight > u.scaledUse/u.weight && a.victimWithinRank(q, &entry{req: r, slotUse: u}) == nil
}

// startsAtOnce reports whether a request would start immediately, or as soon as the load limit allows.
func (a *Admitter) startsAtOnce(r Request) bool {
	return len(a.running) < a.cfg.Slots && a.Waiting() == 0 && (a.runningSuspects == 0 || !r.Suspect)
}

func (a *Admitter) expiryTime(now time.Time, r Request) (time.Time, bool) {
	switch d := a.cfg.MaxQueueTime; {
	case r.Deadline > 0 && (d <= 0 || r.Deadline < d):
		return now.Add(r.Deadline), true
	case d > 0:
		return now.Add(d), true
	}
	return time.Time{}, false
}

// eviction is a request removed from a full queue, with the start tag of its flow so that it can be restored.
type eviction struct {
	e        *entry
	startTag float64
}

// makeRoom evicts the newest requests of the organisations with the most queued work per weight
// until the request fits into its queue. It evicts none and returns false if the request's
// own organisation would then have the most, unless it has one that the request replaces.
func (a *Admitter) makeRoom(q *rankQueue, r Request) bool {
	limit := a.cfg.MaxQueueWork
	if limit <= 0 || q.work+r.Cost <= limit {
		return true
	}
	queued, _ := q.flowWork(r)
	own := (queued + r.Cost) / r.weight()
	var evictions []eviction
	for q.work+r.Cost > limit {
		f, ok := q.byQueuedWork.first()
		if !ok || f.work/f.weight <= own {
			if f = q.flows[flowKey{r.Organisation, r.Suspect}]; !r.Front || f == nil || f.tail == nil || f.tail.req.Front {
				q.restore(evictions)
				return false
			}
		}
		evictions = append(evictions, eviction{f.tail, f.startTag})
		q.unlink(f.tail)
	}
	for _, v := range evictions {
		a.refuseQueued(v.e, ActionEvict, a.refusal(judge.ReasonQueueFull, a.predictWait(q, v.e.req)))
	}
	return true
}

// restore undoes evictions in reverse order, so that the newest request of each flow is last again.
func (q *rankQueue) restore(evictions []eviction) {
	for i := len(evictions) - 1; i >= 0; i-- {
		q.push(evictions[i].e)
		f := evictions[i].e.flow
		f.startTag = evictions[i].startTag
		q.heapOf(f).fix(f)
	}
}

// predictWait estimates how long a request would wait in its queue, from the measured service rate.
func (a *Admitter) predictWait(q *rankQueue, r Request) time.Duration {
	perSlot := a.rates.estimatedPerSlot()
	if perSlot == 0 {
		return 0
	}
	slots := a.cfg.Slots
	if n := len(a.running); n < slots && n > 0 {
		// If requests wait while slots are free, the load limit limits the batch to the running ones.
		slots = n
	}
	capacity := perSlot * float64(slots)
	ahead := q.workAhead(r)
	urgentWaiting, urgentRate := a.moreUrgentWork(q)
	available := math.Max(capacity-urgentRate, q.share*capacity)
	wait := urgentWaiting / capacity
	if ahead > 0 {
		wait += ahead / available
	}
	if q.share > 0 {
		wait = math.Min(wait, ahead/(q.share*capacity))
	}
	if ahead+urgentWaiting == 0 && a.victimBelow(q.position) == nil {
		return a.rates.meanRunTime() / time.Duration(slots)
	}
	return seconds(wait)
}

// workAhead returns the work of the rank that fair queueing serves before a new request of the organisation.
func (q *rankQueue) workAhead(r Request) float64 {
	_, before := q.flowWork(r)
	rounds := before / r.weight()
	return q.pausedWork + math.Min(q.work, rounds*math.Max(q.weight, r.weight()))
}

// moreUrgentWork returns the waiting work of the more urgent ranks, in tokens, and the rate at which they were
// served over the window, in tokens per second.
func (a *Admitter) moreUrgentWork(q *rankQueue) (waiting, rate float64) {
	for _, u := range a.ranks[:q.position] {
		waiting += u.work + u.pausedWork
		rate += u.window.servedSum
	}
	elapsed := math.Min(a.lastAdvance.Sub(a.startTime).Seconds(), a.cfg.Window.Seconds())
	if elapsed <= 0 {
		return waiting, 0
	}
	return waiting, rate / elapsed
}

// refusal returns an error for a request that did not run, with a retry delay of one to two times wait, which is
// first clamped to minRetryAfter and maxRetryAfter.
func (a *Admitter) refusal(reason judge.Reason, wait time.Duration) *judge.Error {
	err := judge.Refuse(reason, "running %d of %d, work %.0f of %.0f", len(a.running), a.cfg.Slots, a.work, a.limit)
	base := min(max(wait, minRetryAfter), maxRetryAfter)
	err.RetryAfter = base + time.Duration(a.cfg.Jitter()*float64(base))
	return err
}

func (a *Admitter) refuseOffer(q *rankQueue, r Request, err *judge.Error) error {
	a.recordDecision(Decision{Action: ActionRefuse, Reason: err.Reason, RetryAfter: err.RetryAfter}, &entry{req: r, rank: q})
	return err
}
