package admitter_test

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"clementineramp/admitter"
	"clementineramp/configurer"
	"clementineramp/judge"
)

func TestMain(m *testing.M) {
	// A fixed seed makes each run draw the same cases; flags on the command line override these values.
	// The counts are large enough for the sequences to reach evictions, expiries and pauses.
	for name, value := range map[string]string{"rapid.seed": "20260301", "rapid.checks": "300", "rapid.steps": "80"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func request(id uint64, rank, organisation string, cost float64) admitter.Request {
	return admitter.Request{ID: id, Rank: rank, Organisation: organisation, Cost: cost, Last: true}
}

func start(t *testing.T, a *admitter.Admitter, now time.Time, want uint64) {
	t.Helper()
	r, ok := a.Next(now)
	require.True(t, ok)
	require.Equal(t, want, r.ID)
}

// Guards against small organisations being refused because a large one has filled the queue.
func TestFullQueueRefusesLargestOrganisation(t *testing.T) {
	t.Parallel()
	type offer struct {
		organisation string
		cost         float64
	}
	tests := []struct {
		name    string
		offers  []offer
		refused bool
		evicted []uint64
	}{
		{"fits", []offer{{"large", 50}, {"small", 50}}, false, nil},
		{"newest of the largest organisation is evicted", []offer{{"large", 40}, {"large", 40}, {"small", 30}}, false, []uint64{2}},
		{"offering organisation is the largest", []offer{{"small", 30}, {"large", 40}, {"large", 40}}, true, nil},
		{"several requests are evicted", []offer{{"large", 30}, {"large", 30}, {"large", 30}, {"small", 45}}, false, []uint64{3, 2}},
		{"insufficient eviction is undone", []offer{{"large", 50}, {"b", 20}, {"c", 20}, {"small", 70}}, true, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := admitter.New(admitter.Config{Slots: 1, Ranks: ranks(0, 0, 0), MaxQueueWork: 100})
			require.NoError(t, a.Offer(at(0), request(99, "normal", "running", 1)))
			start(t, a, at(0), 99)
			var err error
			for i, o := range tt.offers {
				require.NoError(t, err)
				err = a.Offer(at(0), request(uint64(i+1), "normal", o.organisation, o.cost))
			}
			require.Equal(t, tt.refused, err != nil)
			if err != nil {
				require.Equal(t, judge.ReasonQueueFull, judge.ReasonOf(err))
				require.Equal(t, judge.NotRun, judge.VerdictOf(err))
			}
			var evicted []uint64
			for _, r := range a.Expire(at(0)) {
				require.Equal(t, judge.NotRun, r.Err.Verdict)
				evicted = append(evicted, r.Request.ID)
			}
			require.Equal(t, tt.evicted, evicted)
			require.Equal(t, len(tt.offers)-len(evicted)-map[bool]int{true: 1}[tt.refused], a.Waiting())
		})
	}
}

// Guards against requests that wait for the load limit although another agent could accept them.
func TestBoundAtOffer(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		limit  float64
		last   bool
		reason judge.Reason
	}{
		{"fits", 200, false, ""},
		{"beyond the bound", 150, false, judge.ReasonLoadBound},
		{"last attempt waits", 150, true, ""},
		{"waits for a slot within the bound", 1000, false, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := admitter.New(admitter.Config{Slots: 1, Ranks: ranks(0, 0, 0)})
			a.SetLimit(1)
			require.NoError(t, a.Offer(at(0), request(1, "urgent", "a", 100)), "an idle engine accepts any request")
			start(t, a, at(0), 1)
			a.SetLimit(tt.limit)
			r := request(2, "urgent", "a", 100)
			r.Last = tt.last
			err := a.Offer(at(1), r)
			if tt.reason == "" {
				require.NoError(t, err)
				return
			}
			require.Equal(t, tt.reason, judge.ReasonOf(err))
			require.Equal(t, judge.NotRun, judge.VerdictOf(err))
		})
	}
}

// Guards against a request that waits for an engine on which it may preempt no running request, although it could
// preempt one on another engine.
func TestOfferWithoutRequestToPause(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name    string
		waiting admitter.Request
		offered admitter.Request
		last    bool
		reason  judge.Reason
	}{
		{"less urgent request waits", request(3, "batch", "c", 100), request(4, "urgent", "b", 100), false, judge.ReasonLoadBound},
		{"last attempt waits", request(3, "batch", "c", 100), request(4, "urgent", "b", 100), true, ""},
		{"organisation with more recent use waits", request(3, "urgent", "a", 100), request(4, "urgent", "b", 100), false, judge.ReasonLoadBound},
		{"offering organisation has the most recent use", request(3, "urgent", "a", 100), request(4, "urgent", "a", 100), false, ""},
		{"queue is empty", admitter.Request{}, request(4, "urgent", "b", 100), false, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := admitter.New(admitter.Config{Slots: 2, Ranks: ranks(0, 0, 0), PauseWithinRank: true})
			for id := uint64(1); id <= 2; id++ {
				r := request(id, "urgent", "a", 100)
				r.Pinned = true
				require.NoError(t, a.Offer(at(0), r))
				start(t, a, at(0), id)
			}
			if tt.waiting.ID != 0 {
				require.NoError(t, a.Offer(at(1000), tt.waiting))
			}
			tt.offered.Last = tt.last
			require.Equal(t, tt.reason, reasonOf(a.Offer(at(1000), tt.offered)))
		})
	}
}

func reasonOf(err error) judge.Reason {
	if err == nil {
		return ""
	}
	return judge.ReasonOf(err)
}

// Guards against a queued request that gets its turn and then waits for the load limit although another agent could
// accept it.
func TestBoundAtNext(t *testing.T) {
	t.Parallel()
	a := admitter.New(admitter.Config{Slots: 2, Ranks: ranks(0, 0, 0)})
	for id := uint64(1); id <= 3; id++ {
		r := request(id, "urgent", "a", 100)
		r.Last = id != 3
		require.NoError(t, a.Offer(at(0), r))
	}
	start(t, a, at(0), 1)
	start(t, a, at(0), 2)
	require.True(t, a.Done(at(1000), 1, 100))
	a.SetLimit(150)
	_, ok := a.Next(at(1000))
	require.False(t, ok)
	refused := a.Expire(at(1000))
	require.Len(t, refused, 1)
	require.Equal(t, judge.ReasonLoadBound, refused[0].Err.Reason)
	require.Equal(t, judge.NotRun, refused[0].Err.Verdict)
}

// Guards against a large request that starves behind small urgent ones because of the load limit, and against urgent
// requests that wait for it before maxBypassTime has passed.
func TestBlockedRequestDoesNotStarve(t *testing.T) {
	t.Parallel()
	a := admitter.New(admitter.Config{Slots: 8, Ranks: ranks(0, 0, 0.5)})
	a.SetLimit(100)
	id := uint64(0)
	offer := func(ms int, rank string, cost float64) {
		id++
		require.NoError(t, a.Offer(at(ms), request(id, rank, rank, cost)))
	}
	offer(0, "urgent", 40)
	start(t, a, at(0), 1)
	a.Done(at(1000), 1, 40)
	offer(1000, "urgent", 40)
	offer(1000, "urgent", 40)
	start(t, a, at(1000), 2)
	start(t, a, at(1000), 3)
	offer(1000, "batch", 100)
	offer(1100, "urgent", 20)
	start(t, a, at(1100), 5)
	offer(2200, "urgent", 40)
	a.Done(at(2200), 2, 40)
	_, ok := a.Next(at(2200))
	require.False(t, ok, "after maxBypassTime no urgent request may start ahead of the large one")
	a.Done(at(2200), 3, 40)
	a.Done(at(2200), 5, 20)
	start(t, a, at(2200), 4)
}

// Guards against a pause that loses a request, refuses it after it has run, or queues it behind later ones.
func TestPauseAndResume(t *testing.T) {
	t.Parallel()
	a := admitter.New(admitter.Config{Slots: 1, Ranks: ranks(0, 0, 0), MaxQueueTime: time.Second})
	require.NoError(t, a.Offer(at(0), request(1, "batch", "a", 100)))
	start(t, a, at(0), 1)
	require.NoError(t, a.Offer(at(1), request(2, "batch", "b", 100)))
	_, ok := a.Preempt(at(1))
	require.False(t, ok, "a request does not preempt one of its own rank")
	require.NoError(t, a.Offer(at(500), request(3, "urgent", "c", 10)))
	r, ok := a.Preempt(at(500))
	require.True(t, ok)
	require.Equal(t, uint64(1), r.ID)
	require.Contains(t, a.LastDecision().String(), `action="preempt" id=1 rank="batch"`)
	_, ok = a.Preempt(at(500))
	require.False(t, ok, "one pause frees enough slots")
	_, ok = a.Next(at(500))
	require.False(t, ok, "the slot is held until the engine has paused the request")
	require.True(t, a.Paused(at(510), 1, 60))
	require.Equal(t, 170.0, a.QueuedWork())
	start(t, a, at(510), 3)
	refused := a.Expire(at(5000))
	require.Len(t, refused, 1, "only the request that never started expires")
	require.Equal(t, uint64(2), refused[0].Request.ID)
	require.NoError(t, a.Offer(at(5000), request(4, "batch", "b", 100)))
	require.True(t, a.Done(at(5000), 3, 10))
	r, ok = a.Next(at(5000))
	require.True(t, ok)
	require.Equal(t, uint64(1), r.ID)
	require.Equal(t, 60.0, r.Cost)
	require.Equal(t, 60.0, a.RunningWork())
}

// Guards against mishandling a stream that ends while it is being paused, and against pausing calls to plain services.
func TestPauseExceptions(t *testing.T) {
	t.Parallel()
	a := admitter.New(admitter.Config{Slots: 1, Ranks: ranks(0, 0, 0)})
	pinned := request(1, "batch", "a", 100)
	pinned.Pinned = true
	require.NoError(t, a.Offer(at(0), pinned))
	start(t, a, at(0), 1)
	require.NoError(t, a.Offer(at(0), request(2, "normal", "b", 100)))
	_, ok := a.Preempt(at(0))
	require.False(t, ok)
	a.Done(at(10), 1, 100)
	start(t, a, at(10), 2)
	require.NoError(t, a.Offer(at(20), request(3, "urgent", "c", 100)))
	_, ok = a.Preempt(at(20))
	require.True(t, ok)
	require.True(t, a.Done(at(25), 2, 100))
	require.False(t, a.Paused(at(30), 2, 0))
	start(t, a, at(30), 3)
	require.Zero(t, a.QueuedWork())
}

// Guards against running two requests at once that are suspected of crashing the engine.
func TestOneSuspectAtATime(t *testing.T) {
	t.Parallel()
	a := admitter.New(admitter.Config{Slots: 4, Ranks: ranks(0, 0, 0)})
	for id := uint64(1); id <= 4; id++ {
		r := request(id, "urgent", "a", 10)
		r.Suspect = id <= 2
		require.NoError(t, a.Offer(at(0), r))
	}
	started := map[uint64]bool{}
	for r, ok := a.Next(at(0)); ok; r, ok = a.Next(at(0)) {
		started[r.ID] = true
	}
	require.Len(t, started, 3, "ordinary requests start ahead of the second suspect request")
	require.True(t, started[1] && !started[2])
	a.Done(at(100), 1, 10)
	start(t, a, at(100), 2)
}

// Guards against requests that are lost or starve when a new configuration changes the ranks.
func TestSetRanks(t *testing.T) {
	t.Parallel()
	a := admitter.New(admitter.Config{Slots: 1, Ranks: ranks(0, 0, 0)})
	require.NoError(t, a.Offer(at(0), request(1, "batch", "a", 10)))
	require.NoError(t, a.Offer(at(0), request(2, "normal", "a", 10)))
	require.NoError(t, a.Offer(at(0), request(3, "unknown", "a", 10)))
	start(t, a, at(0), 2)
	a.SetRanks([]configurer.Rank{{Name: "batch"}, {Name: "new"}, {Name: "new"}})
	require.NoError(t, a.Offer(at(1), request(4, "new", "a", 10)))
	require.NoError(t, a.Offer(at(1), request(5, "normal", "a", 10)))
	for _, id := range []uint64{2, 1, 4, 5, 3} {
		if id != 2 {
			start(t, a, at(2), id)
		}
		require.True(t, a.Done(at(3), id, 10))
	}
	require.Zero(t, a.Waiting())
}

// Guards against refused callers that all retry at the same moment, or at a time unrelated to the predicted wait.
func TestRetryAfterHasJitter(t *testing.T) {
	t.Parallel()
	jitter := 0.0
	a := admitter.New(admitter.Config{Slots: 1, Ranks: ranks(0, 0, 0), Jitter: func() float64 { return jitter }})
	require.NoError(t, a.Offer(at(0), request(1, "urgent", "a", 100)))
	start(t, a, at(0), 1)
	a.Done(at(1000), 1, 100) // 100 tokens per second
	require.NoError(t, a.Offer(at(1000), request(2, "urgent", "a", 100)))
	start(t, a, at(1000), 2)
	require.NoError(t, a.Offer(at(1000), request(3, "urgent", "a", 500)))
	late := request(4, "urgent", "a", 100)
	late.Deadline = time.Second
	for _, jitter = range []float64{0, 0.5} {
		var refused *judge.Error
		require.ErrorAs(t, a.Offer(at(1000), late), &refused)
		require.Equal(t, judge.ReasonDeadline, refused.Reason)
		require.Equal(t, time.Duration((1+jitter)*4*float64(time.Second)), refused.RetryAfter)
	}
	a.Cancel(at(1001), 2)
	a.Cancel(at(1001), 3)
	require.NoError(t, a.Offer(at(1001), late), "no refusal by predicted wait while a slot is free and the queue is empty")
	due, ok := a.NextExpiry()
	require.True(t, ok)
	require.Equal(t, at(2001), due)
	refused := a.Expire(due)
	require.Len(t, refused, 1)
	require.Equal(t, judge.ReasonDeadline, refused[0].Err.Reason)
}

// Guards against log fields injected through a caller's text, and against invalid costs such as NaN that would corrupt
// the sums of work.
func TestInvalid(t *testing.T) {
	t.Parallel()
	a := admitter.New(admitter.Config{Slots: 1, Ranks: ranks(0, 0, 0)})
	for _, cost := range []float64{math.NaN(), math.Inf(1), 0, -1} {
		require.Equal(t, judge.ReasonInvalid, judge.ReasonOf(a.Offer(at(0), request(1, "urgent", "a", cost))))
	}
	require.NoError(t, a.Offer(at(0), request(1, "urgent", "a action=start", 1)))
	require.Contains(t, a.LastDecision().String(), `organisation="a action=start"`)
	require.Equal(t, judge.ReasonInvalid, judge.ReasonOf(a.Offer(at(0), request(1, "urgent", "a", 1))))
	require.False(t, a.Done(at(0), 1, 1), "Done rejects a request that never started")
	require.False(t, a.Cancel(at(0), 2))
}

// model tracks the expected state of every offered request, as reported by the admitter.
type model struct {
	*rapid.T
	a        *admitter.Admitter
	now      time.Time
	limit    float64
	slots    int
	next     uint64
	requests map[uint64]admitter.Request
	state    map[uint64]string
}

func (m *model) transition(id uint64, to string, from ...string) {
	for _, f := range from {
		if m.state[id] == f {
			m.state[id] = to
			return
		}
	}
	m.Fatalf("request %d: invalid transition from %q to %q", id, m.state[id], to)
}

func (m *model) pick(states ...string) (uint64, bool) {
	var ids []uint64
	for id := uint64(1); id <= m.next; id++ {
		for _, s := range states {
			if m.state[id] == s {
				ids = append(ids, id)
			}
		}
	}
	if len(ids) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(ids).Draw(m.T, "id"), true
}

func (m *model) offer() {
	m.next++
	r := admitter.Request{
		ID:           m.next,
		Rank:         rapid.SampledFrom([]string{"urgent", "normal", "batch", "other"}).Draw(m.T, "rank"),
		Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.T, "organisation"),
		Cost:         float64(rapid.IntRange(1, 100).Draw(m.T, "cost")),
		Weight:       float64(rapid.IntRange(0, 3).Draw(m.T, "weight")),
		Deadline:     time.Duration(rapid.IntRange(0, 3000).Draw(m.T, "deadline")) * time.Millisecond,
		Last:         rapid.Bool().Draw(m.T, "last"),
		Suspect:      rapid.IntRange(0, 4).Draw(m.T, "suspect") == 0,
		Pinned:       rapid.IntRange(0, 4).Draw(m.T, "pinned") == 0,
		Front:        rapid.IntRange(0, 2).Draw(m.T, "front") == 0,
	}
	m.requests[r.ID] = r
	m.state[r.ID] = "queued"
	if err := m.a.Offer(m.now, r); err != nil {
		if judge.VerdictOf(err) != judge.NotRun {
			m.Fatalf("refusal without the verdict NotRun: %v", err)
		}
		m.transition(r.ID, "refused", "queued")
	}
}

func (m *model) start() {
	work, running := m.a.RunningWork(), m.a.Running()
	r, ok := m.a.Next(m.now)
	m.expire()
	if !ok {
		m.checkNoIdleSlot()
		return
	}
	m.transition(r.ID, "running", "queued", "paused")
	m.requests[r.ID] = r
	if running > 0 && work+r.Cost > m.limit {
		m.Fatalf("work %v + %v exceeds the load limit %v", work, r.Cost, m.limit)
	}
}

// checkNoIdleSlot checks that no request waits while a slot is free, unless the load limit or another suspect request
// may be the cause.
func (m *model) checkNoIdleSlot() {
	for id, s := range m.state {
		if (s == "queued" || s == "paused") && !m.requests[id].Suspect && m.a.Running() < m.slots && math.IsInf(m.limit, 1) {
			m.Fatalf("request %d waits although a slot is free", id)
		}
	}
}

func (m *model) expire() {
	for _, r := range m.a.Expire(m.now) {
		if r.Err.Verdict != judge.NotRun {
			m.Fatalf("refusal without the verdict NotRun: %v", r.Err)
		}
		m.transition(r.Request.ID, "expired", "queued")
	}
}

func (m *model) check() {
	m.expire()
	sums := map[admitter.State]float64{}
	suspects, running := 0, 0
	known := map[string][]admitter.State{
		"queued": {admitter.Queued}, "paused": {admitter.Paused}, "running": {admitter.Running, admitter.Pausing},
	}
	for id, s := range m.state {
		got := m.a.State(id)
		want, held := known[s]
		if held && got != want[0] && got != want[len(want)-1] || !held && got != admitter.Unknown {
			m.Fatalf("request %d is %q, the admitter reports state %v", id, s, got)
		}
		sums[got] += m.requests[id].Cost
		if s == "running" {
			running++
			if m.requests[id].Suspect {
				suspects++
			}
		}
	}
	if suspects > 1 || running > m.slots || running != m.a.Running() {
		m.Fatalf("%d suspect requests run, %d run in total, the admitter reports %d", suspects, running, m.a.Running())
	}
	if d := m.a.RunningWork() - sums[admitter.Running] - sums[admitter.Pausing]; math.Abs(d) > 1e-6 {
		m.Fatalf("running work differs by %v", d)
	}
	if d := m.a.QueuedWork() - sums[admitter.Queued] - sums[admitter.Paused]; math.Abs(d) > 1e-6 {
		m.Fatalf("queued work differs by %v", d)
	}
}

// Guards against requests that are lost or counted twice by a refusal, a preemption or a change of configuration.
func TestNoRequestIsLost(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		m := &model{
			T: rt, now: epoch, limit: math.Inf(1), slots: rapid.IntRange(1, 4).Draw(rt, "slots"),
			requests: map[uint64]admitter.Request{}, state: map[uint64]string{},
		}
		m.a = admitter.New(admitter.Config{
			Slots: m.slots, Ranks: ranks(0.5, 0.2, 0.1), MaxQueueWork: 200, MaxQueueTime: 2 * time.Second,
			PauseWithinRank: rapid.Bool().Draw(rt, "within"), Jitter: func() float64 { return 0 },
		})
		act := func(f func(id uint64), states ...string) func(*rapid.T) {
			return func(*rapid.T) {
				if id, ok := m.pick(states...); ok {
					f(id)
				}
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"":      func(*rapid.T) { m.check() },
			"offer": func(*rapid.T) { m.offer() },
			"burst": func(*rapid.T) {
				for range 4 {
					m.offer()
					m.expire()
				}
			},
			"next": func(*rapid.T) { m.start() },
			"wait": func(*rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * time.Millisecond)
			},
			"limit": func(*rapid.T) {
				m.limit = rapid.SampledFrom([]float64{50, 150, math.Inf(1)}).Draw(rt, "limit")
				m.a.SetLimit(m.limit)
			},
			"ranks": func(*rapid.T) {
				m.a.SetRanks(ranks(0.5, 0.2, 0.1)[rapid.IntRange(0, 2).Draw(rt, "first"):])
			},
			"preempt": func(*rapid.T) {
				if r, ok := m.a.Preempt(m.now); ok && (m.state[r.ID] != "running" || m.requests[r.ID].Pinned) {
					m.Fatalf("request %d cannot be paused", r.ID)
				}
				m.expire()
			},
			"done": act(func(id uint64) {
				if !m.a.Done(m.now, id, m.requests[id].Cost/2) {
					m.Fatalf("Done rejected the started request %d", id)
				}
				m.transition(id, "done", "running", "paused")
			}, "running", "paused"),
			"paused": act(func(id uint64) {
				r := m.requests[id]
				r.Cost = math.Floor(r.Cost / 2)
				m.requests[id] = r
				m.a.Paused(m.now, id, r.Cost)
				m.transition(id, "paused", "running")
			}, "running"),
			"cancel": act(func(id uint64) {
				known := m.a.State(id) != admitter.Unknown
				if m.a.Cancel(m.now, id) != known {
					m.Fatalf("Cancel of request %d: wrong result", id)
				}
				m.transition(id, "cancelled", "queued", "paused", "running")
			}, "queued", "paused", "running"),
		})
		// Without a load limit, all accepted requests must finish.
		m.a.SetLimit(math.Inf(1))
		for range 10 * (m.next + 1) {
			for r, ok := m.a.Next(m.now); ok; r, ok = m.a.Next(m.now) {
				m.transition(r.ID, "running", "queued", "paused")
			}
			m.expire()
			if id, ok := m.pick("running"); ok {
				m.a.Done(m.now, id, 1)
				m.transition(id, "done", "running")
			}
		}
		if m.a.Waiting()+m.a.Running() > 0 {
			m.Fatalf("%d requests still wait and %d still run", m.a.Waiting(), m.a.Running())
		}
	})
}

// organisations is the number of organisations that the system is designed for.
const organisations = 14000

func BenchmarkOfferNextDone(b *testing.B) {
	for _, depth := range []int{0, organisations} {
		b.Run(fmt.Sprintf("queued=%d", depth), func(b *testing.B) {
			names := make([]string, organisations)
			for i := range names {
				names[i] = fmt.Sprintf("org-%05d", i)
			}
			a := admitter.New(admitter.Config{Slots: 64, Ranks: ranks(0.5, 0.3, 0.1), MaxQueueTime: time.Hour})
			now, id := epoch, uint64(0)
			offer := func() {
				id++
				_ = a.Offer(now, request(id, "normal", names[id%organisations], 100))
			}
			for range depth + 64 {
				offer()
			}
			running := make([]uint64, 0, 64)
			for r, ok := a.Next(now); ok; r, ok = a.Next(now) {
				running = append(running, r.ID)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Millisecond)
				offer()
				a.Done(now, running[i%64], 80)
				if r, ok := a.Next(now); ok {
					running[i%64] = r.ID
				}
			}
		})
	}
}

// BenchmarkEvict measures an offer to a full queue with requests of 14,000 organisations.
func BenchmarkEvict(b *testing.B) {
	a := admitter.New(admitter.Config{Slots: 1, Ranks: ranks(0, 0, 0), MaxQueueWork: 2 * organisations * 100})
	names := make([]string, organisations)
	for i := range names {
		names[i] = fmt.Sprintf("org-%05d", i)
	}
	for i := range 2*organisations + 1 {
		_ = a.Offer(epoch, request(uint64(i+1), "normal", names[i%organisations], 100))
		a.Next(epoch)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		_ = a.Offer(epoch, request(uint64(3*organisations+i), "normal", names[i%7], 10))
		a.Expire(epoch)
	}
}
