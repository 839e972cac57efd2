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
	// held is the number of slots that the organisation holds if that decides the order, else 0.
	held int
	// tag is the start tag of the head; finish is the finish tag of the last request that started.
	tag, finish                       float64
	orderIndex, largestIndex, idleIdx int
}

func (f *flow) load() float64 { return float64(f.held) / f.weight }

// rankQueue holds the waiting requests of one rank and what the rank was served.
type rankQueue struct {
	name     string
	share    float64
	position int
	flows    map[flowKey]*flow
	// order holds flows with waiting requests by start tag: unmarked, then suspect.
	order [2]indexHeap[*flow]
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
	// fewestFirst puts the organisations that hold the fewest slots for their weight before the order of tags.
	fewestFirst bool
	// held counts the slots that each organisation holds.
	held   map[string]int
	window window
	// delta is work done that the window does not hold yet.
	delta float64
}

func newRankQueue(name string, fewestFirst bool) *rankQueue {
	q := &rankQueue{name: name, fewestFirst: fewestFirst, flows: map[flowKey]*flow{}, held: map[string]int{}}
	byTag := func(a, b *flow) bool {
		if a.load() != b.load() {
			return a.load() < b.load()
		}
		return a.tag < b.tag
	}
	for i := range q.order {
		q.order[i] = indexHeap[*flow]{less: byTag, index: func(f *flow) *int { return &f.orderIndex }}
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
	var paused *entry
	for _, e := range q.paused {
		if (!e.req.Suspect || !suspectRuns) && (paused == nil || q.before(e, paused)) {
			paused = e
		}
	}
	f, ok := q.order[0].first()
	if m, marked := q.order[1].first(); marked && !suspectRuns && (!ok || m.tag < f.tag) {
		f, ok = m, true
	}
	if !ok || paused != nil && !q.before(f.head, paused) {
		return paused
	}
	return f.head
}

// before reports whether one waiting request goes before another.
func (q *rankQueue) before(a, b *entry) bool {
	la, ta := q.key(a)
	lb, tb := q.key(b)
	if la != lb {
		return la < lb
	}
	return ta < tb
}

func (q *rankQueue) key(e *entry) (load, tag float64) {
	switch {
	case e.flow != nil:
		return e.flow.load(), e.flow.tag
	case math.IsInf(e.tag, -1):
		return e.tag, e.tag
	}
	if !q.fewestFirst {
		return 0, e.tag
	}
	return float64(q.held[e.req.Organisation]) / e.req.weight(), e.tag
}

func (q *rankQueue) flowOf(r Request) *flow {
	key := flowKey{r.Organisation, r.Suspect}
	f := q.flows[key]
	if f == nil {
		f = &flow{key: key, weight: 1, orderIndex: -1, largestIndex: -1, idleIdx: -1}
		if q.fewestFirst {
			f.held = q.held[key.organisation]
		}
		q.flows[key] = f
	}
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
	weight := e.req.weight()
	if f.head == nil {
		q.idle.remove(f)
		f.weight = weight
		q.link(f, e)
		f.tag = math.Max(q.virtual, f.finish)
		q.weight += weight
		q.heapOf(f).add(f)
		q.largest.add(f)
		return
	}
	q.weight += weight - f.weight
	f.weight = weight
	q.link(f, e)
	q.largest.fix(f)
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
	q.largest.remove(f)
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
		q.heapOf(f).fix(f)
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
	q.heapOf(f).fix(f)
}

// hold counts a slot that an organisation takes.
func (q *rankQueue) hold(organisation string) {
	q.running++
	q.held[organisation]++
	q.reorder(organisation)
}

func (q *rankQueue) reorder(organisation string) {
	for _, suspect := range [...]bool{false, true} {
		if f := q.flows[flowKey{organisation, suspect}]; f != nil && q.fewestFirst {
			f.held = q.held[organisation]
			q.heapOf(f).fix(f)
		}
	}
}

// release counts a slot that an organisation gives up.
func (q *rankQueue) release(organisation string) {
	q.running--
	q.held[organisation]--
	q.reorder(organisation)
	if q.held[organisation] == 0 {
		delete(q.held, organisation)
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
	q.pausedWork += e.req.Cost
}

func (q *rankQueue) removePaused(e *entry) {
	i := slices.Index(q.paused, e)
	if i < 0 {
		return
	}
	q.paused = slices.Delete(q.paused, i, i+1)
	q.pausedWork -= e.req.Cost
	if len(q.paused) == 0 {
		q.pausedWork = 0
	}
}
