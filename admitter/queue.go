package admitter

import (
	"math"
	"slices"
	"time"
)

// entry is a queued, running or paused request.
type entry struct {
	req   Request
	rank  *rankQueue
	flow  *flow
	state State
	// everStarted is set when the request first starts; it may have run from then on, so it is never refused as NotRun.
	everStarted bool
	// expiry is when a queued request is refused; expiryIndex is its position in Admitter.expiries.
	expiry      time.Time
	expiryIndex int
	// prev and next link the entries of a flow in order of arrival.
	prev, next *entry
	// runIndex is the index in Admitter.running.
	runIndex int
	// startSerial orders running requests by their start.
	startSerial uint64
	startedAt   time.Time
	// countedWork is the work of the current run that is already counted in the rank's window.
	countedWork float64
	// chargedWork is the work that fair queueing charged at the first start; earlierWork is the work done before pauses.
	chargedWork, earlierWork float64
	// slotUse is the slot use of the request's organisation in the rank.
	slotUse *slotUse
	// pausedWithinRank is set when Preempt chose the request for another one of its rank; resumeTag is the
	// start tag that orders a paused request within the rank.
	pausedWithinRank bool
	resumeTag        float64
	// blockedSince is when the load limit first kept the request from starting.
	blockedSince time.Time
}

// flowKey identifies a flow. Suspect requests have their own flow, so that one
// that must wait for another suspect request does not block its organisation's other requests.
type flowKey struct {
	organisation string
	suspect      bool
}

// flow is the queue of one organisation in a rank, with its tags for start-time fair queueing.
type flow struct {
	key        flowKey
	head, tail *entry
	work       float64
	// frontWork is the part of work that belongs to requests with the mark Front.
	frontWork float64
	weight    float64
	// slotUse is the slot use of the organisation in the rank.
	slotUse *slotUse
	// startTag belongs to the head of the queue; finishTag belongs to the last request that started.
	startTag, finishTag                                       float64
	startTagIndex, recentUseIndex, queuedWorkIndex, idleIndex int
}

func (f *flow) slotsPerWeight() float64 { return float64(f.slotUse.slots) / f.weight }

// rankQueue holds the waiting requests of one rank and the service that the rank received.
type rankQueue struct {
	name     string
	share    float64
	position int
	flows    map[flowKey]*flow
	// byStartTag holds the flows with queued requests by start tag: ordinary flows at index 0, suspect flows at index 1.
	byStartTag [2]indexHeap[*flow]
	// byRecentUse holds the ordinary flows with queued requests by the recent slot use of their organisation.
	byRecentUse indexHeap[*flow]
	// byQueuedWork holds the flows with queued requests by queued work per weight, the largest first.
	byQueuedWork indexHeap[*flow]
	// idle holds the flows without queued requests until the virtual time passes their finish tag.
	idle        indexHeap[*flow]
	virtualTime float64
	// paused holds the requests that were started and preempted, the latest first.
	paused     []*entry
	pausedWork float64
	// queued and queuedSuspects count the queued requests and the suspect ones among them; work is the sum of their costs.
	// Paused requests are not included.
	queued, queuedSuspects int
	work                   float64
	// weight is the sum of the weights of the flows with queued requests.
	weight float64
	// running counts the requests that hold a slot, and pausing those of them that are being paused.
	running, pausing int
	// bySlots orders organisations first by their present and recent slot use, then by start tag.
	bySlots  bool
	slotUses slotUses
	// usePerSlot is the scaled slot use that each running request adds in the current call to advance.
	usePerSlot float64
	// freeSlots returns the number of free slots of the engine.
	freeSlots func() int
	window    window
	// unrecorded is the work done that has not yet been added to the window.
	unrecorded float64
}

func newRankQueue(name string, bySlots bool, free func() int) *rankQueue {
	q := &rankQueue{
		name: name, bySlots: bySlots, freeSlots: free, flows: map[flowKey]*flow{},
		slotUses: slotUses{byName: map[string]*slotUse{}},
	}
	byTag := func(a, b *flow) bool {
		if q.bySlots && a.slotsPerWeight() != b.slotsPerWeight() {
			return a.slotsPerWeight() < b.slotsPerWeight()
		}
		return a.startTag < b.startTag
	}
	for i := range q.byStartTag {
		q.byStartTag[i] = indexHeap[*flow]{less: byTag, index: func(f *flow) *int { return &f.startTagIndex }}
	}
	q.byRecentUse = indexHeap[*flow]{
		less: func(a, b *flow) bool {
			if ua, ub := a.slotUse.scaledUse/a.weight, b.slotUse.scaledUse/b.weight; ua != ub {
				return ua < ub
			}
			return byTag(a, b)
		},
		index: func(f *flow) *int { return &f.recentUseIndex },
	}
	q.byQueuedWork = indexHeap[*flow]{
		less:  func(a, b *flow) bool { return a.work/a.weight > b.work/b.weight },
		index: func(f *flow) *int { return &f.queuedWorkIndex },
	}
	q.idle = indexHeap[*flow]{
		less:  func(a, b *flow) bool { return a.finishTag < b.finishTag },
		index: func(f *flow) *int { return &f.idleIndex },
	}
	return q
}

func (q *rankQueue) waiting() int { return q.queued + len(q.paused) }

// startable counts the waiting requests that could start if there were enough slots: of suspect ones, at most one.
func (q *rankQueue) startable(suspectRuns bool) int {
	n := q.queued - q.queuedSuspects
	suspects := q.queuedSuspects
	for _, e := range q.paused {
		if e.req.Suspect {
			suspects++
		} else {
			n++
		}
	}
	if suspects > 0 && !suspectRuns {
		n++
	}
	return n
}

// candidate returns the request that the rank serves next, or nil.
func (q *rankQueue) candidate(suspectRuns bool) *entry {
	var best *entry
	for _, e := range q.paused {
		if (!e.req.Suspect || !suspectRuns) && (best == nil || q.less(e, best)) {
			best = e
		}
	}
	f, ok := q.byStartTag[0].first()
	if ok && q.bySlots && !q.belowFairSlots(f.slotUse) {
		f, _ = q.byRecentUse.first()
	}
	if ok && (best == nil || q.less(f.head, best)) {
		best = f.head
	}
	if s, found := q.byStartTag[1].first(); found && !suspectRuns && (best == nil || q.less(s.head, best)) {
		best = s.head
	}
	return best
}

// fairSlots returns an organisation's fair share, by weight, of the slots that the rank holds or that are free.
func (q *rankQueue) fairSlots(u *slotUse) float64 {
	return float64(q.running+q.freeSlots()) * u.weight / math.Max(q.slotUses.weight, u.weight)
}

// belowFairSlots reports whether an organisation could hold one more slot within its fair share.
func (q *rankQueue) belowFairSlots(u *slotUse) bool { return float64(u.slots+1) <= q.fairSlots(u) }

// less reports whether a goes before b. With bySlots, requests of organisations below their fair share of the slots go
// first, the fewest slots per weight first; then the others, the lowest recent use per weight first.
func (q *rankQueue) less(a, b *entry) bool {
	ka, kb := q.sortKey(a), q.sortKey(b)
	for i := range ka {
		if ka[i] != kb[i] {
			return ka[i] < kb[i]
		}
	}
	return false
}

// sortKey returns the group of a waiting request, its order within the group, and its start tag. A request that
// was preempted for a more urgent rank has the tag -Inf and goes before all others.
func (q *rankQueue) sortKey(e *entry) [3]float64 {
	tag := e.resumeTag
	if e.flow != nil {
		tag = e.flow.startTag
	}
	u := e.slotUse
	switch {
	case math.IsInf(tag, -1) || !q.bySlots:
		return [3]float64{0, 0, tag}
	case q.belowFairSlots(u):
		return [3]float64{1, float64(u.slots) / u.weight, tag}
	}
	return [3]float64{2, u.scaledUse / u.weight, tag}
}

func (q *rankQueue) flowOf(r Request) *flow {
	key := flowKey{r.Organisation, r.Suspect}
	f := q.flows[key]
	if f == nil {
		f = &flow{key: key, weight: 1, startTagIndex: -1, recentUseIndex: -1, queuedWorkIndex: -1, idleIndex: -1}
		q.flows[key] = f
	}
	f.slotUse = q.slotUses.get(r.Organisation)
	return f
}

// flowWork returns the queued work of the request's flow, and the part of it that goes before the request.
func (q *rankQueue) flowWork(r Request) (all, before float64) {
	f := q.flows[flowKey{r.Organisation, r.Suspect}]
	switch {
	case f == nil:
		return 0, 0
	case r.Front:
		return f.work, f.frontWork
	}
	return f.work, f.work
}

func (q *rankQueue) heapOf(f *flow) *indexHeap[*flow] {
	if f.key.suspect {
		return &q.byStartTag[1]
	}
	return &q.byStartTag[0]
}

// push appends a request to the queue of its organisation, or to the requests at its front that have the mark Front, too.
func (q *rankQueue) push(e *entry) {
	f := q.flowOf(e.req)
	e.slotUse = f.slotUse
	weight := e.req.weight()
	first := f.head == nil
	q.slotUses.update(f.slotUse, func(u *slotUse) {
		u.weight = weight
		if first {
			u.waiting++
		}
	})
	if first {
		q.idle.remove(f)
		f.weight = weight
		q.link(f, e)
		f.startTag = math.Max(q.virtualTime, f.finishTag)
		q.weight += weight
		q.addFlow(f)
		return
	}
	q.weight += weight - f.weight
	f.weight = weight
	q.link(f, e)
	q.byQueuedWork.fix(f)
	q.fixFlow(f)
}

// addFlow adds a flow with a queued request to the heaps.
func (q *rankQueue) addFlow(f *flow) {
	q.heapOf(f).add(f)
	q.byQueuedWork.add(f)
	if q.bySlots && !f.key.suspect {
		q.byRecentUse.add(f)
	}
}

// fixFlow restores the heap order after a change of a flow's tag, slots or recent use.
func (q *rankQueue) fixFlow(f *flow) {
	q.heapOf(f).fix(f)
	q.byRecentUse.fix(f)
}

func (q *rankQueue) link(f *flow, e *entry) {
	e.flow = f
	e.prev, e.next = f.tail, nil
	if e.req.Front {
		for e.prev != nil && !e.prev.req.Front {
			e.prev, e.next = e.prev.prev, e.prev
		}
	}
	if e.prev == nil {
		f.head = e
	} else {
		e.prev.next = e
	}
	if e.next == nil {
		f.tail = e
	} else {
		e.next.prev = e
	}
	f.work += e.req.Cost
	if e.req.Front {
		f.frontWork += e.req.Cost
	}
	q.count(e, 1)
}

func (q *rankQueue) count(e *entry, sign int) {
	q.queued += sign
	if e.req.Suspect {
		q.queuedSuspects += sign
	}
	q.work += float64(sign) * e.req.Cost
	if q.queued == 0 {
		// Removes accumulated rounding error: the sum is exactly zero when the queue is empty.
		q.work = 0
	}
}

// unlink removes a request from its flow without changing the flow's tags.
func (q *rankQueue) unlink(e *entry) {
	f := e.flow
	if e.prev == nil {
		f.head = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		f.tail = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.prev, e.next, e.flow = nil, nil, nil
	f.work -= e.req.Cost
	if e.req.Front {
		f.frontWork -= e.req.Cost
	}
	q.count(e, -1)
	if f.head != nil {
		q.byQueuedWork.fix(f)
		return
	}
	f.work, f.frontWork = 0, 0
	q.heapOf(f).remove(f)
	q.byRecentUse.remove(f)
	q.byQueuedWork.remove(f)
	q.slotUses.update(f.slotUse, func(u *slotUse) { u.waiting-- })
	q.weight -= f.weight
	if len(q.byQueuedWork.items) == 0 {
		q.weight = 0
	}
	q.idle.add(f)
}

// dequeue removes a request that starts from the head of its flow, charges its cost to the flow and advances the
// virtual time.
func (q *rankQueue) dequeue(e *entry) {
	f := e.flow
	start := f.startTag
	q.unlink(e)
	q.virtualTime = math.Max(q.virtualTime, start)
	e.chargedWork = e.req.Cost
	f.finishTag = start + e.req.Cost/f.weight
	if f.head != nil {
		f.startTag = f.finishTag
		q.fixFlow(f)
	} else {
		q.idle.fix(f)
	}
	q.removeIdleFlows()
}

// removeIdleFlows deletes the idle flows whose finish tag the virtual time has reached: a new flow would get the same
// start tag. If the rank is idle, it deletes all of them and resets the virtual time.
func (q *rankQueue) removeIdleFlows() {
	if q.waiting() == 0 && q.running == 0 {
		q.virtualTime = math.Inf(1)
	}
	for f, ok := q.idle.first(); ok && f.finishTag <= q.virtualTime; f, ok = q.idle.first() {
		q.idle.remove(f)
		delete(q.flows, f.key)
	}
	if math.IsInf(q.virtualTime, 1) {
		q.virtualTime = 0
	}
}

// correctTags corrects the tags of the request's flow by the difference between charged and actual work.
func (q *rankQueue) correctTags(e *entry, actual float64) {
	f := q.flows[flowKey{e.req.Organisation, e.req.Suspect}]
	if f == nil {
		return
	}
	correction := (actual - e.chargedWork) / f.weight
	f.finishTag += correction
	if f.head == nil {
		q.idle.fix(f)
		return
	}
	f.startTag += correction
	q.fixFlow(f)
}

// acquireSlot counts the slot that a request gets.
func (q *rankQueue) acquireSlot(e *entry) {
	q.running++
	q.slotUses.update(e.slotUse, func(u *slotUse) { u.slots++ })
	q.reorder(e.req.Organisation)
}

// releaseSlot uncounts the slot of a request that has ended or been paused.
func (q *rankQueue) releaseSlot(e *entry) {
	q.running--
	q.slotUses.update(e.slotUse, func(u *slotUse) { u.slots-- })
	q.reorder(e.req.Organisation)
}

func (q *rankQueue) reorder(organisation string) {
	if !q.bySlots {
		return
	}
	for _, suspect := range [...]bool{false, true} {
		if f := q.flows[flowKey{organisation, suspect}]; f != nil {
			q.fixFlow(f)
		}
	}
}

// tagForResume returns the start tag of a request that was preempted for another organisation of its rank.
func (q *rankQueue) tagForResume(e *entry) float64 {
	if f := q.flows[flowKey{e.req.Organisation, e.req.Suspect}]; f != nil {
		return math.Max(q.virtualTime, f.finishTag)
	}
	return q.virtualTime
}

// pushPaused adds a paused request at the head of the rank, or at the head of its organisation's
// requests if it was preempted for another organisation of the rank. Its work was charged when it
// started, so the tags of its flow do not change.
func (q *rankQueue) pushPaused(e *entry) {
	e.resumeTag = math.Inf(-1)
	if e.pausedWithinRank {
		e.resumeTag = q.tagForResume(e)
	}
	q.paused = slices.Insert(q.paused, 0, e)
	q.slotUses.update(e.slotUse, func(u *slotUse) { u.waiting++ })
	q.pausedWork += e.req.Cost
}

func (q *rankQueue) removePaused(e *entry) {
	i := slices.Index(q.paused, e)
	if i < 0 {
		return
	}
	q.paused = slices.Delete(q.paused, i, i+1)
	q.slotUses.update(e.slotUse, func(u *slotUse) { u.waiting-- })
	q.pausedWork -= e.req.Cost
	if len(q.paused) == 0 {
		q.pausedWork = 0
	}
}
