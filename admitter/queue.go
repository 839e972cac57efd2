package admitter

import (
	"math"
	"slices"
	"time"
)

// entry is a request that the admitter holds.
type entry struct {
	req   Request
	rank  *rankQueue
	flow  *flow
	state State
	// resumed is set once the request has started; it may then have run, so it is never refused.
	resumed bool
	// due is when a waiting request is refused.
	due      time.Time
	dueIndex int
	// prev and next are the neighbours in the flow's queue.
	prev, next *entry
	// runIndex is the position among the running requests.
	runIndex int
	// serial orders running requests by their start.
	serial  uint64
	started time.Time
	// counted is the work of the current run that the rank's window holds.
	counted float64
	// charged is the work that fair queueing counted at the start, and before the work of earlier runs.
	charged, before float64
	// hold is what the organisation holds of the rank.
	hold *holding
	// within says that Preempt named the request for another one of its rank; tag is then
	// where it goes in the order of the rank once it is paused.
	within bool
	tag    float64
	// blocked is when the load bound first kept the request from starting.
	blocked time.Time
}

// flowKey names a flow. Suspect requests have a flow of their own, so that one
// that must wait for another suspect does not hold up its organisation.
type flowKey struct {
	organisation string
	suspect      bool
}

// flow is the queue of one organisation in a rank, with its start-time fair queueing tags.
type flow struct {
	key        flowKey
	head, tail *entry
	work       float64
	weight     float64
	// hold is what the organisation holds of the rank.
	hold *holding
	// tag is the start tag of the head; finish is the finish tag of the last request that started.
	tag, finish                                    float64
	orderIndex, recentIndex, largestIndex, idleIdx int
}

func (f *flow) load() float64 { return float64(f.hold.slots) / f.weight }

// rankQueue holds the waiting requests of one rank and what the rank was served.
type rankQueue struct {
	name     string
	share    float64
	position int
	flows    map[flowKey]*flow
	// order holds flows with waiting requests by start tag: unmarked, then suspect.
	order [2]indexHeap[*flow]
	// recent holds unmarked flows with waiting requests by the recent use of their organisation.
	recent indexHeap[*flow]
	// largest holds flows with waiting requests by work over weight.
	largest indexHeap[*flow]
	// idle holds flows without waiting requests until the virtual time passes their finish tag.
	idle    indexHeap[*flow]
	virtual float64
	// paused holds requests that started before.
	paused     []*entry
	pausedWork float64
	// n, marked and work count waiting requests without the paused ones.
	n, marked int
	work      float64
	// weight is the sum over flows with waiting requests.
	weight float64
	// running counts requests that hold a slot, and pausing those of them that are about to give it up.
	running, pausing int
	// bySlots orders organisations by the slots that they hold and held before the order of tags.
	bySlots  bool
	holdings holdings
	// use is what each running request adds to the use of its organisation.
	use float64
	// free returns the number of slots of the engine that no request holds.
	free   func() int
	window window
	// delta is work done that the window does not hold yet.
	delta float64
}

func newRankQueue(name string, bySlots bool, free func() int) *rankQueue {
	q := &rankQueue{
		name: name, bySlots: bySlots, free: free, flows: map[flowKey]*flow{},
		holdings: holdings{byName: map[string]*holding{}},
	}
	byTag := func(a, b *flow) bool {
		if q.bySlots && a.load() != b.load() {
			return a.load() < b.load()
		}
		return a.tag < b.tag
	}
	for i := range q.order {
		q.order[i] = indexHeap[*flow]{less: byTag, index: func(f *flow) *int { return &f.orderIndex }}
	}
	q.recent = indexHeap[*flow]{
		less: func(a, b *flow) bool {
			if ua, ub := a.hold.used/a.weight, b.hold.used/b.weight; ua != ub {
				return ua < ub
			}
			return byTag(a, b)
		},
		index: func(f *flow) *int { return &f.recentIndex },
	}
	q.largest = indexHeap[*flow]{
		less:  func(a, b *flow) bool { return a.work/a.weight > b.work/b.weight },
		index: func(f *flow) *int { return &f.largestIndex },
	}
	q.idle = indexHeap[*flow]{
		less:  func(a, b *flow) bool { return a.finish < b.finish },
		index: func(f *flow) *int { return &f.idleIdx },
	}
	return q
}

func (q *rankQueue) waiting() int { return q.n + len(q.paused) }

// startable counts the waiting requests that could start if there were slots enough.
func (q *rankQueue) startable(suspectRuns bool) int {
	n := q.n - q.marked
	marked := q.marked
	for _, e := range q.paused {
		if e.req.Suspect {
			marked++
		} else {
			n++
		}
	}
	if marked > 0 && !suspectRuns {
		n++
	}
	return n
}

// candidate returns the request that the rank serves next.
func (q *rankQueue) candidate(suspectRuns bool) *entry {
	var best *entry
	for _, e := range q.paused {
		if (!e.req.Suspect || !suspectRuns) && (best == nil || q.before(e, best)) {
			best = e
		}
	}
	f, ok := q.order[0].first()
	if ok && q.bySlots && !q.belowFair(f.hold) {
		f, _ = q.recent.first()
	}
	if ok && (best == nil || q.before(f.head, best)) {
		best = f.head
	}
	if m, marked := q.order[1].first(); marked && !suspectRuns && (best == nil || q.before(m.head, best)) {
		best = m.head
	}
	return best
}

// fairSlots returns the part of the rank's slots that an organisation has by its weight.
func (q *rankQueue) fairSlots(h *holding) float64 {
	return float64(q.running+q.free()) * h.weight / math.Max(q.holdings.weight, h.weight)
}

// belowFair reports whether an organisation may hold one more slot and not exceed its part.
func (q *rankQueue) belowFair(h *holding) bool { return float64(h.slots+1) <= q.fairSlots(h) }

// before reports whether one waiting request goes before another: first those of organisations below their part of
// the slots, the fewest slots first; then the others, the least recent use first.
func (q *rankQueue) before(a, b *entry) bool {
	ka, kb := q.key(a), q.key(b)
	for i := range ka {
		if ka[i] != kb[i] {
			return ka[i] < kb[i]
		}
	}
	return false
}

// key returns the group, the place within it, and the tag of a waiting request.
func (q *rankQueue) key(e *entry) [3]float64 {
	tag := e.tag
	if e.flow != nil {
		tag = e.flow.tag
	}
	h := e.hold
	switch {
	case math.IsInf(tag, -1) || !q.bySlots:
		return [3]float64{0, 0, tag}
	case q.belowFair(h):
		return [3]float64{1, float64(h.slots) / h.weight, tag}
	}
	return [3]float64{2, h.used / h.weight, tag}
}

func (q *rankQueue) flowOf(r Request) *flow {
	key := flowKey{r.Organisation, r.Suspect}
	f := q.flows[key]
	if f == nil {
		f = &flow{key: key, weight: 1, orderIndex: -1, recentIndex: -1, largestIndex: -1, idleIdx: -1}
		q.flows[key] = f
	}
	f.hold = q.holdings.of(r.Organisation)
	return f
}

// flowWork returns the waiting work of the request's flow.
func (q *rankQueue) flowWork(r Request) float64 {
	if f := q.flows[flowKey{r.Organisation, r.Suspect}]; f != nil {
		return f.work
	}
	return 0
}

func (q *rankQueue) heapOf(f *flow) *indexHeap[*flow] {
	if f.key.suspect {
		return &q.order[1]
	}
	return &q.order[0]
}

// push appends a request to the queue of its organisation.
func (q *rankQueue) push(e *entry) {
	f := q.flowOf(e.req)
	e.hold = f.hold
	weight := e.req.weight()
	first := f.head == nil
	q.holdings.change(f.hold, func(h *holding) {
		h.weight = weight
		if first {
			h.waiting++
		}
	})
	if first {
		q.idle.remove(f)
		f.weight = weight
		q.link(f, e)
		f.tag = math.Max(q.virtual, f.finish)
		q.weight += weight
		q.enter(f)
		return
	}
	q.weight += weight - f.weight
	f.weight = weight
	q.link(f, e)
	q.largest.fix(f)
	q.fix(f)
}

// enter puts a flow that has a waiting request into the orders.
func (q *rankQueue) enter(f *flow) {
	q.heapOf(f).add(f)
	q.largest.add(f)
	if q.bySlots && !f.key.suspect {
		q.recent.add(f)
	}
}

// fix restores the place of a flow whose tag, slots or recent use have changed.
func (q *rankQueue) fix(f *flow) {
	q.heapOf(f).fix(f)
	q.recent.fix(f)
}

func (q *rankQueue) link(f *flow, e *entry) {
	e.flow = f
	e.prev, e.next = f.tail, nil
	if f.tail == nil {
		f.head = e
	} else {
		f.tail.next = e
	}
	f.tail = e
	f.work += e.req.Cost
	q.count(e, 1)
}

func (q *rankQueue) count(e *entry, sign int) {
	q.n += sign
	if e.req.Suspect {
		q.marked += sign
	}
	q.work += float64(sign) * e.req.Cost
	if q.n == 0 {
		// Sums of floats drift; an empty queue is the point where the exact value is known.
		q.work = 0
	}
}

// unlink takes a request out of its flow without a change of tags.
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
	q.count(e, -1)
	if f.head != nil {
		q.largest.fix(f)
		return
	}
	f.work = 0
	q.heapOf(f).remove(f)
	q.recent.remove(f)
	q.largest.remove(f)
	q.holdings.change(f.hold, func(h *holding) { h.waiting-- })
	q.weight -= f.weight
	if len(q.largest.items) == 0 {
		q.weight = 0
	}
	q.idle.add(f)
}

// take removes the head of its flow because it starts, and advances the virtual time.
func (q *rankQueue) take(e *entry) {
	f := e.flow
	start := f.tag
	q.unlink(e)
	q.virtual = math.Max(q.virtual, start)
	e.charged = e.req.Cost
	f.finish = start + e.req.Cost/f.weight
	if f.head != nil {
		f.tag = f.finish
		q.fix(f)
	} else {
		q.idle.fix(f)
	}
	q.forget()
}

// forget drops the flows that have no claim left that differs from a new flow's.
func (q *rankQueue) forget() {
	if q.waiting() == 0 && q.running == 0 {
		q.virtual = math.Inf(1)
	}
	for f, ok := q.idle.first(); ok && f.finish <= q.virtual; f, ok = q.idle.first() {
		q.idle.remove(f)
		delete(q.flows, f.key)
	}
	if math.IsInf(q.virtual, 1) {
		q.virtual = 0
	}
}

// settle corrects the tags of an organisation by the difference between charged and actual work.
func (q *rankQueue) settle(e *entry, actual float64) {
	f := q.flows[flowKey{e.req.Organisation, e.req.Suspect}]
	if f == nil {
		return
	}
	correction := (actual - e.charged) / f.weight
	f.finish += correction
	if f.head == nil {
		q.idle.fix(f)
		return
	}
	f.tag += correction
	q.fix(f)
}

// hold counts a slot that a request takes.
func (q *rankQueue) hold(e *entry) {
	q.running++
	q.holdings.change(e.hold, func(h *holding) { h.slots++ })
	q.reorder(e.req.Organisation)
}

// release counts a slot that a request gives up.
func (q *rankQueue) release(e *entry) {
	q.running--
	q.holdings.change(e.hold, func(h *holding) { h.slots-- })
	q.reorder(e.req.Organisation)
}

func (q *rankQueue) reorder(organisation string) {
	if !q.bySlots {
		return
	}
	for _, suspect := range [...]bool{false, true} {
		if f := q.flows[flowKey{organisation, suspect}]; f != nil {
			q.fix(f)
		}
	}
}

// resumeTag returns the start tag of a request that is paused for another organisation of its rank.
func (q *rankQueue) resumeTag(e *entry) float64 {
	if f := q.flows[flowKey{e.req.Organisation, e.req.Suspect}]; f != nil {
		return math.Max(q.virtual, f.finish)
	}
	return q.virtual
}

// pushPaused puts a request at the head of the rank, or at the head of its organisation's
// queue if it was paused for another organisation of the rank. Its work was charged when it
// started, so that it needs no new tag.
func (q *rankQueue) pushPaused(e *entry) {
	e.tag = math.Inf(-1)
	if e.within {
		e.tag = q.resumeTag(e)
	}
	q.paused = slices.Insert(q.paused, 0, e)
	q.holdings.change(e.hold, func(h *holding) { h.waiting++ })
	q.pausedWork += e.req.Cost
}

func (q *rankQueue) removePaused(e *entry) {
	i := slices.Index(q.paused, e)
	if i < 0 {
		return
	}
	q.paused = slices.Delete(q.paused, i, i+1)
	q.holdings.change(e.hold, func(h *holding) { h.waiting-- })
	q.pausedWork -= e.req.Cost
	if len(q.paused) == 0 {
		q.pausedWork = 0
	}
}
