package admitter

import (
	"math"
	"time"

	"clementineramp/judge"
)

// maxBypassTime is how long more urgent requests may start ahead of a request that the load
// limit prevents from starting. With no limit, a large request of a rank below its share would
// starve behind a flood of small ones; with a limit of zero, urgent requests would have to wait
// until enough running requests have ended.
const maxBypassTime = time.Second

// Next removes the next request to start from its queue and gives it a slot; it returns false if none can start.
func (a *Admitter) Next(now time.Time) (Request, bool) {
	a.advance(now)
	a.expireQueued(now)
	if len(a.running) >= a.cfg.Slots {
		return Request{}, false
	}
	e, below := a.choose(now)
	if e == nil {
		return Request{}, false
	}
	a.start(now, e)
	d := Decision{Action: ActionStart, Cause: "most_urgent", Deficit: a.deficit(e.rank, -1)}
	if below {
		d.Cause = "below_share"
	}
	if e.everStarted {
		d.Action = ActionResume
	}
	e.everStarted = true
	a.recordDecision(d, e)
	return e.req, true
}

// serviceOrder lists the ranks with waiting requests: first those below their guaranteed share, then
// the others, each group by urgency. It also returns how many are below their share.
func (a *Admitter) serviceOrder() (order []*rankQueue, below int) {
	a.rankOrder = a.rankOrder[:0]
	for _, q := range a.ranks {
		if q.waiting() > 0 && a.belowShare(q, 0) {
			a.rankOrder = append(a.rankOrder, q)
		}
	}
	below = len(a.rankOrder)
	for _, q := range a.ranks {
		if q.waiting() > 0 && !a.belowShare(q, 0) {
			a.rankOrder = append(a.rankOrder, q)
		}
	}
	return a.rankOrder, below
}

// choose returns the request to start, and whether its rank is below its guaranteed share. It refuses
// requests that the load limit does not admit and that can still be sent to another agent.
func (a *Admitter) choose(now time.Time) (*entry, bool) {
	order, below := a.serviceOrder()
	var blocked *entry
	for i, q := range order {
		if blocked != nil && q.position > blocked.rank.position {
			continue
		}
		e := q.candidate(a.runningSuspects > 0)
		for e != nil && !a.fits(e.req.Cost) && !e.req.Last && !e.everStarted {
			q.unlink(e)
			a.refuseQueued(e, ActionRefuse, a.refusal(judge.ReasonLoadBound, 0))
			e = q.candidate(a.runningSuspects > 0)
		}
		if e == nil {
			continue
		}
		if a.fits(e.req.Cost) {
			return e, i < below
		}
		if e.blockedSince.IsZero() {
			e.blockedSince = now
		}
		if now.Sub(e.blockedSince) >= maxBypassTime {
			return nil, false
		}
		blocked = e
	}
	return nil, false
}

// start assigns a slot to a queued or paused request.
func (a *Admitter) start(now time.Time, e *entry) {
	e.rank.acquireSlot(e)
	if e.state == Paused {
		e.rank.removePaused(e)
		e.rank.virtualTime = math.Max(e.rank.virtualTime, e.resumeTag)
	} else {
		a.expiries.remove(e)
		e.rank.dequeue(e)
	}
	a.serial++
	e.state, e.startSerial, e.startedAt, e.countedWork = Running, a.serial, now, 0
	e.blockedSince = time.Time{}
	e.runIndex = len(a.running)
	a.running = append(a.running, e)
	a.work += e.req.Cost
	if e.req.Suspect {
		a.runningSuspects++
	}
}

// Preempt returns the running request to pause so that a waiting one can start, and false if there is none. The waiting
// request is more urgent, or of the same rank with Config.PauseWithinRank. The running request keeps its slot until the
// agent calls Paused, or Done if it ends first.
func (a *Admitter) Preempt(now time.Time) (Request, bool) {
	a.advance(now)
	a.expireQueued(now)
	if a.cfg.Policy == WithoutPreemption {
		return Request{}, false
	}
	waiting := a.mostUrgent()
	if waiting == nil {
		return Request{}, false
	}
	v := a.victimBelow(waiting.rank.position)
	if v == nil || !a.needsPause(waiting, v) {
		waiting, v = a.preemptionWithinRank()
	}
	if v == nil {
		return Request{}, false
	}
	v.pausedWithinRank = v.rank == waiting.rank
	d := Decision{Action: ActionPreempt, PreemptedFor: waiting.req.ID, Deficit: a.deficit(v.rank, -1)}
	v.state = Pausing
	a.pausing++
	v.rank.pausing++
	a.recordDecision(d, v)
	return v.req, true
}

// mostUrgent returns the next waiting request of the most urgent rank that has one, or nil.
func (a *Admitter) mostUrgent() *entry {
	for _, q := range a.ranks {
		if e := q.candidate(a.runningSuspects > 0); e != nil {
			return e
		}
	}
	return nil
}

// victimBelow returns the running request to pause for a rank at the given position, or nil. It comes
// from the least urgent rank after that position that keeps its guaranteed share without the request. Of
// that rank's requests it is the one started last, which has the least state to rebuild when it resumes.
func (a *Admitter) victimBelow(position int) *entry {
	var victim *entry
	for _, e := range a.running {
		if e.state != Running || e.req.Pinned || e.rank.position <= position {
			continue
		}
		if victim != nil && (e.rank.position < victim.rank.position ||
			e.rank == victim.rank && e.startSerial < victim.startSerial) {
			continue
		}
		if !a.belowShare(e.rank, -1-e.rank.pausing) {
			victim = e
		}
	}
	return victim
}

// preemptionWithinRank returns a waiting request and a running one of the same rank whose organisation
// has used more slots, or nil for both. Only one request is preempted at a time: the next one is chosen
// once it is known which request got the freed slot.
func (a *Admitter) preemptionWithinRank() (waiting, victim *entry) {
	if !a.cfg.PauseWithinRank || a.pausing > 0 || len(a.running) < a.cfg.Slots {
		return nil, nil
	}
	moreUrgentWaits := false
	for _, q := range a.ranks {
		e := q.candidate(a.runningSuspects > 0)
		if e == nil {
			continue
		}
		if e.state == Queued && (!moreUrgentWaits || a.belowShare(q, -1)) {
			if v := a.victimWithinRank(q, e); v != nil {
				return e, v
			}
		}
		moreUrgentWaits = true
	}
	return nil, nil
}

// victimWithinRank returns the running request to pause for a waiting one of the same rank, or nil. It is the request
// started last of the organisation with the highest recent slot use that keeps its fair share of the slots without the
// request. If the waiting request's organisation is not below its own fair share, the other one must also have used more
// slots recently. Any excess suffices: requiring an excess of one slot raised the p95 time to first token in
// TestSmallOrganisations with four slots from 222 ms to 801 ms.
func (a *Admitter) victimWithinRank(q *rankQueue, waiting *entry) *entry {
	var victim *entry
	most, least := 0.0, -1.0
	if !q.belowFairSlots(waiting.slotUse) {
		least = q.slotUses.recentSlots(waiting.slotUse) / waiting.slotUse.weight
	}
	for _, e := range a.running {
		u := e.slotUse
		if e.rank != q || e.req.Pinned || u == waiting.slotUse || float64(u.slots-1) < math.Floor(q.fairSlots(u)) {
			continue
		}
		recent := q.slotUses.recentSlots(u) / u.weight
		if recent <= least {
			continue
		}
		if victim == nil || recent > most || recent == most && e.startSerial > victim.startSerial {
			victim, most = e, recent
		}
	}
	return victim
}

// needsPause reports whether v must be paused for a waiting request because the pauses in progress do not free enough
// slots or work.
func (a *Admitter) needsPause(waiting, v *entry) bool {
	startable := 0
	for _, q := range a.ranks[:v.rank.position] {
		startable += q.startable(a.runningSuspects > 0)
	}
	remaining := len(a.running) - a.pausing
	if len(a.running) >= a.cfg.Slots && a.cfg.Slots-remaining < startable {
		return true
	}
	work := 0.0
	for _, e := range a.running {
		if e.state != Pausing {
			work += e.req.Cost
		}
	}
	cost := waiting.req.Cost
	return (waiting.req.Last || waiting.everStarted) && cost <= a.limit && remaining > 0 && work+cost > a.limit
}
