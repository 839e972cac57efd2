package shedder_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/shedder"
)

// flow is a sequence of requests of one organisation, with random intervals.
type flow struct {
	organisation string
	urgency      int
	perSecond    float64
	// from and to are the times, in seconds of the simulation, between which the requests arrive.
	from, to float64
	// duration is the time for which a request occupies a slot.
	duration time.Duration
}

// maxQueueTime is the longest wait for a slot with which a request is in time.
const maxQueueTime = 400 * time.Millisecond

// slots is the number of requests that the upstreams run concurrently.
const slots = 200

// result counts the requests of one flow.
type result struct {
	arrived, refused, inTime, late int
	retryAfters                    []time.Duration
}

// inTimeShare returns the fraction of the arrived requests that were in time.
func (r result) inTimeShare() float64 {
	return float64(r.inTime) / float64(r.arrived)
}

// queuedRequest is an accepted request that waits for a slot.
type queuedRequest struct {
	flow, urgency int
	at            time.Time
}

// queue orders requests as an engine does: the more urgent first, then the older.
type queue []queuedRequest

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].urgency != q[j].urgency {
		return q[i].urgency < q[j].urgency
	}
	return q[i].at.Before(q[j].at)
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(queuedRequest)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulate runs flows for a number of seconds against slots that behave like one large engine. The load is known with a
// delay, except for the requests that this router, one of four, has sent since then.
func simulate(seconds float64, shed bool, flows []flow) []result {
	const step = time.Millisecond
	const delay = 150 // steps
	const routers = 4
	random := rand.New(rand.NewPCG(1, 2))
	s := &shedder.Shedder{Random: random.Float64}
	start := time.Unix(0, 0)
	results := make([]result, len(flows))
	var q queue
	var ends []time.Time
	history := make([]float64, delay)
	accepted := make([]int, delay)
	sent := 0
	for n := range int(seconds / step.Seconds()) {
		now := start.Add(time.Duration(n) * step)
		running := ends[:0]
		for _, end := range ends {
			if end.After(now) {
				running = append(running, end)
			}
		}
		ends = running
		sent -= accepted[n%delay]
		accepted[n%delay] = 0
		load := history[n%delay] + float64(sent)/float64(routers*slots)
		history[n%delay] = float64(len(ends)+q.Len()) / float64(slots)
		for i, f := range flows {
			at := float64(n) * step.Seconds()
			if at < f.from || at >= f.to || random.Float64() >= f.perSecond*step.Seconds() {
				continue
			}
			results[i].arrived++
			r := shedder.Request{Service: "s", Organisation: f.organisation, Urgency: f.urgency, Remaining: 12 * time.Second}
			if d := s.Decide(r, load, now); shed && d.Refused {
				results[i].refused++
				results[i].retryAfters = append(results[i].retryAfters, d.RetryAfter)
				continue
			}
			sent++
			accepted[n%delay]++
			heap.Push(&q, queuedRequest{flow: i, urgency: f.urgency, at: now})
		}
		for len(ends) < slots && q.Len() > 0 {
			w := heap.Pop(&q).(queuedRequest)
			ends = append(ends, now.Add(flows[w.flow].duration))
			if now.Sub(w.at) <= maxQueueTime {
				results[w.flow].inTime++
			} else {
				results[w.flow].late++
			}
		}
	}
	return results
}

// TestOverloadOfLeastUrgentRequests checks that urgent requests are served as if there were no overload, and that the
// least urgent ones use the remaining slots.
func TestOverloadOfLeastUrgentRequests(t *testing.T) {
	flows := []flow{
		{organisation: "a", urgency: 0, perSecond: 60, to: 20, duration: time.Second},
		{organisation: "b", urgency: 5, perSecond: 400, from: 5, to: 15, duration: time.Second},
	}
	r := simulate(25, true, flows)
	require.GreaterOrEqual(t, r[0].inTimeShare(), 0.98)
	accepted := r[1].inTime + r[1].late
	require.GreaterOrEqual(t, float64(accepted), 0.7*10*(slots-60), "the least urgent requests leave free slots unused")
	require.GreaterOrEqual(t, float64(r[1].inTime), 0.95*float64(accepted), "accepted requests wait too long for a slot")
}

// TestOverloadOfMostUrgentRequests checks that with more urgent requests than slots the accepted ones are in time.
// Without refusals nearly all are late.
func TestOverloadOfMostUrgentRequests(t *testing.T) {
	flows := []flow{
		{organisation: "a", urgency: 0, perSecond: 400, from: 1, to: 11, duration: time.Second},
		{organisation: "b", urgency: 3, perSecond: 40, to: 12, duration: time.Second},
	}
	without, with := simulate(30, false, flows), simulate(30, true, flows)
	require.Less(t, without[0].inTimeShare(), 0.3)
	require.GreaterOrEqual(t, float64(with[0].inTime), 0.75*10*slots)
	require.LessOrEqual(t, float64(with[0].late), 0.1*float64(with[0].inTime))
}

// TestOneOrganisationAtTenTimesItsShare checks that among equally urgent requests those of the organisation that causes
// the overload are the first to be refused.
func TestOneOrganisationAtTenTimesItsShare(t *testing.T) {
	flows := []flow{{organisation: "large", perSecond: 400, from: 2, to: 12, duration: time.Second}}
	for i := range 8 {
		flows = append(flows, flow{organisation: fmt.Sprint("small ", i), perSecond: 10, to: 14, duration: time.Second})
	}
	r := simulate(20, true, flows)
	for i := 1; i < len(r); i++ {
		require.GreaterOrEqual(t, r[i].inTimeShare(), 0.9, "small organisation %d: %+v", i, r[i].refused)
	}
	require.GreaterOrEqual(t, float64(r[0].inTime+r[0].late), 0.5*10*(slots-80), "too few requests of the large organisation are accepted")
}

// TestHalfOfTheUpstreamsFailAndRecover checks that the load of the remaining upstreams decides, and that refusals end
// once the others have recovered.
func TestHalfOfTheUpstreamsFailAndRecover(t *testing.T) {
	s := shedder.Shedder{Random: func() float64 { return 0.5 }}
	now := time.Unix(0, 0)
	refused := func(load float64, urgency int) bool {
		now = now.Add(10 * time.Millisecond)
		return s.Decide(shedder.Request{Service: "s", Urgency: urgency}, load, now).Refused
	}
	for range 100 {
		require.False(t, refused(0.5, 0))
		require.False(t, refused(0.5, 1))
	}
	var changes []shedder.OverloadEvent
	s.OnChange = func(o shedder.OverloadEvent) { changes = append(changes, o) }
	require.False(t, refused(0.95, 0))
	require.True(t, refused(1, 1))
	require.True(t, refused(1, 1))
	require.False(t, refused(0.5, 1))
	now = now.Add(3 * time.Second)
	require.False(t, refused(0.5, 1))
	require.Equal(t, []shedder.OverloadEvent{
		{Service: "s", Began: true, Load: 1}, {Service: "s", Load: 0.5, Duration: 10 * time.Millisecond},
	}, changes)
}

// TestNoRefusalsWhileSlotsAreFree checks that no request is refused up to a load of three quarters of the slots,
// whatever its organisation and urgency.
func TestNoRefusalsWhileSlotsAreFree(t *testing.T) {
	var s shedder.Shedder
	now := time.Unix(0, 0)
	for i := range 2000 {
		now = now.Add(time.Millisecond)
		r := shedder.Request{Service: "s", Organisation: fmt.Sprint(i % 3), Urgency: i % 7}
		require.False(t, s.Decide(r, 0.75, now).Refused)
	}
}

// TestRetryDelaysAreSpread checks that the retry delays of refused callers neither end at the same time nor after the
// remaining time of the request has passed.
func TestRetryDelaysAreSpread(t *testing.T) {
	s := shedder.Shedder{Random: rand.New(rand.NewPCG(3, 4)).Float64}
	now := time.Unix(0, 0)
	var first, last []time.Duration
	for i := range 400 {
		now = now.Add(10 * time.Millisecond)
		d := s.Decide(shedder.Request{Service: "s", Remaining: 15 * time.Second}, 1.5, now)
		require.True(t, d.Refused)
		require.LessOrEqual(t, d.RetryAfter, 5*time.Second)
		if i < 20 {
			first = append(first, d.RetryAfter)
		} else if i >= 380 {
			last = append(last, d.RetryAfter)
		}
	}
	require.Greater(t, spread(first), 100*time.Millisecond)
	require.Greater(t, spread(last), time.Second)
	require.Greater(t, last[0], first[0], "the retry delay does not grow with the duration of the overload")
	short := s.Decide(shedder.Request{Service: "s", Remaining: 900 * time.Millisecond}, 1.5, now)
	require.LessOrEqual(t, short.RetryAfter, 300*time.Millisecond)
}

// spread returns the difference between the longest and the shortest duration.
func spread(list []time.Duration) time.Duration {
	low, high := list[0], list[0]
	for _, d := range list {
		low, high = min(low, d), max(high, d)
	}
	return high - low
}
