package dispatcher_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/dispatcher"
)

// checkCalls checks that each caller got one outcome, and that no request was refused after it had been sent.
func checkCalls(t *testing.T, m *model) {
	t.Helper()
	require.Equal(t, m.arrived, sum(m.onTime)+sum(m.late)+sum(m.refused))
	require.Zero(t, m.refusedAfterStart)
}

// Guards against a service that answers nearly everything late during a burst of five times what it handles, behind 26
// gateways: with limits for two requests of each gateway, and with so few slots that a gateway's share is below one request. With
// 3 slots, one request of each gateway takes 520 ms, so that only refusals by latency help; 0.39 of the capacity are on time. With one
// gateway that admits the requests of all, the slots make no difference.
func TestBurst(t *testing.T) {
	for slots, least := range map[int]float64{18: 0.9, 6: 0.8, 3: 0.25} {
		t.Run(fmt.Sprint(slots, " slots"), func(t *testing.T) {
			capacity := float64(slots) / usual.Seconds() * 5
			burst := load{"a", 5 * float64(slots) / usual.Seconds(), 0, 5 * time.Second}
			without := model{slots: slots, gateways: 26}
			without.run(burst)
			with, exact := model{slots: slots, gateways: 26, admit: true}, model{slots: slots, gateways: 26, admit: true, exact: true}
			with.run(burst)
			exact.run(burst)
			checkCalls(t, &with)
			checkCalls(t, &exact)
			t.Logf("on time %d without admission, %d with shares, %d at an owner; the service could have run %.0f",
				sum(without.onTime), sum(with.onTime), sum(exact.onTime), capacity)
			require.GreaterOrEqual(t, float64(sum(with.onTime)), least*capacity)
			require.GreaterOrEqual(t, float64(sum(exact.onTime)), 0.9*capacity)
			require.Less(t, float64(sum(without.onTime)), 0.1*capacity)
		})
	}
}

// Guards against a service that is left idle or serves only late requests during the same burst if all refused callers retry
// once. With returning callers first, the answers are whole but late: those who return fill the service.
func TestBurstWithRetries(t *testing.T) {
	for _, last := range []bool{false, true} {
		t.Run(fmt.Sprint("returning last ", last), func(t *testing.T) {
			capacity := 18 / usual.Seconds() * 5
			m := model{slots: 18, gateways: 26, admit: true, retry: true, returningLast: last}
			m.run(load{"a", 5 * 18 / usual.Seconds(), 0, 5 * time.Second})
			checkCalls(t, &m)
			t.Logf("on time %d, late %d; the service could have run %.0f", sum(m.onTime), sum(m.late), capacity)
			require.GreaterOrEqual(t, float64(sum(m.onTime)+sum(m.late)), 0.9*capacity)
			if last {
				require.GreaterOrEqual(t, float64(sum(m.onTime)), 0.6*capacity)
			}
		})
	}
}

// Guards against an organisation with ten times its usual requests that takes the places of the others at a gateway.
func TestOneOrganisationAtTenTimesItsUsual(t *testing.T) {
	loads := []load{{"large", 250, 2 * time.Second, 8 * time.Second}}
	for i := range 8 {
		loads = append(loads, load{fmt.Sprint("small ", i), 25, 0, 10 * time.Second})
	}
	m := model{slots: 18, gateways: 1, admit: true, retry: true}
	m.run(loads...)
	checkCalls(t, &m)
	for _, l := range loads[1:] {
		name := l.organisation
		all := m.onTime[name] + m.late[name] + m.refused[name]
		require.GreaterOrEqual(t, float64(m.onTime[name]), 0.95*float64(all), "%s: %d late, %d refused", name, m.late[name], m.refused[name])
	}
	require.Positive(t, m.refused["large"]+m.late["large"])
}

// Guards against an organisation whose callers retry every 20 ms and get more answers, while the service is overloaded, than another
// one of the same size whose callers retry as they are told.
func TestRetriesAtOnceGainNothing(t *testing.T) {
	m := model{slots: 6, gateways: 4, admit: true, retry: true, atOnce: "impatient"}
	m.run(load{"patient", 150, 0, 5 * time.Second}, load{"impatient", 150, 0, 5 * time.Second})
	checkCalls(t, &m)
	t.Logf("answers during the overload %v, on time %v, late %v, refused %v", m.within, m.onTime, m.late, m.refused)
	// They get equal parts, but for chance: 248 and 246 answers with this seed.
	require.LessOrEqual(t, m.onTime["impatient"], m.onTime["patient"])
	require.InEpsilon(t, m.within["patient"], m.within["impatient"], 0.03)
}

// core is a Core with settings that a test changes, and a time that it advances.
type core struct {
	*dispatcher.Core
	limit   float64
	latency time.Duration
	now     time.Time
	events  []dispatcher.Event
}

func newCore(limit float64) *core {
	c := &core{limit: limit, now: time.Unix(1000, 0)}
	c.Core = dispatcher.NewCore(dispatcher.Config{
		Limit:    func(string, time.Time) float64 { return c.limit },
		Share:    func(string, time.Time) float64 { return 1.0 / overcommitment },
		Latency:  func(string, string, time.Time) time.Duration { return c.latency },
		Usual:    func(string, string) time.Duration { return usual },
		Random:   rand.New(rand.NewPCG(1, 2)).Float64,
		OnChange: func(e dispatcher.Event) { c.events = append(c.events, e) },
	})
	return c
}

func request(organisation string, urgency int, stated time.Duration) dispatcher.Request {
	return dispatcher.Request{
		Service: "s", Route: "r", Organisation: organisation, Urgency: urgency, Target: target, Remaining: stated, Stated: stated,
	}
}

// offer offers a request and returns its ID, and the refusal that it gets at once.
func (c *core) offer(r dispatcher.Request) (uint64, *dispatcher.Refusal) { return c.Offer(r, c.now) }

// started returns the requests that start now.
func (c *core) started() []uint64 {
	ids, _ := c.Advance("s", c.now)
	return ids
}

// Guards against less urgent requests that start before more urgent ones, with urgencies in any order of arrival, and against
// returning callers that start after others of their organisation.
func TestOrderOfStarts(t *testing.T) {
	c := newCore(1)
	running, _ := c.offer(request("a", 0, deadline))
	require.Equal(t, []uint64{running}, c.started())
	var ids []uint64
	for _, r := range []dispatcher.Request{
		request("a", 7, deadline), request("a", 2, deadline), request("a", 2, deadline/2), request("a", 11, deadline/2), request("a", 0, deadline),
	} {
		id, refusal := c.offer(r)
		require.Nil(t, refusal)
		require.Empty(t, c.started())
		ids = append(ids, id)
	}
	for _, i := range []int{4, 2, 1, 0, 3} {
		c.now = c.now.Add(ms)
		c.Remove("s", running, c.now)
		require.Equal(t, []uint64{ids[i]}, c.started())
		running = ids[i]
	}
}

// Guards against a returning caller that is refused in a full queue or by latency while requests of its rank and organisation that
// come first are accepted.
func TestReturningCallersArePreferred(t *testing.T) {
	c := newCore(1)
	var ids []uint64
	for range 65 {
		id, refusal := c.offer(request("a", 0, deadline))
		require.Nil(t, refusal)
		c.started()
		ids = append(ids, id)
	}
	_, refusal := c.offer(request("a", 0, deadline))
	require.Equal(t, dispatcher.CauseQueue, refusal.Cause)
	_, refusal = c.offer(request("a", 0, deadline/2))
	require.Nil(t, refusal)
	_, refused := c.Advance("s", c.now)
	require.Len(t, refused, 1)
	require.Equal(t, ids[64], refused[0].ID, "it does not take the place of the newest")

	c = newCore(0)
	c.latency = target * 2 / 3
	returning, first := 0, 0
	for range 200 {
		c.now = c.now.Add(ms)
		if _, refusal := c.offer(request("a", 0, deadline)); refusal != nil {
			require.Equal(t, dispatcher.CauseLatency, refusal.Cause)
			first++
		}
		if _, refusal := c.offer(request("a", 0, deadline/2)); refusal != nil {
			returning++
		}
		c.started()
	}
	require.Zero(t, returning)
	require.Positive(t, first)
}

// Guards against requests that wait although they cannot be on time any more, because their time has passed, because the latency
// has risen, or because they were slow to arrive; and against late ones that do not start although there is a place.
func TestNoWaitWithoutATimelyEnd(t *testing.T) {
	late := func(c *core, after time.Duration) int {
		c.now = c.now.Add(after)
		_, refused := c.Advance("s", c.now)
		for _, r := range refused {
			require.Equal(t, dispatcher.CauseTime, r.Refusal.Cause)
			require.GreaterOrEqual(t, r.Refusal.RetryAfter, 300*ms)
			require.LessOrEqual(t, r.Refusal.RetryAfter, deadline/3)
		}
		return len(refused)
	}
	c := newCore(1)
	c.latency = usual
	var running uint64
	for range 3 {
		id, refusal := c.offer(request("a", 0, deadline))
		require.Nil(t, refusal)
		running = cmp.Or(running, id)
		c.started()
	}
	slow := request("b", 0, deadline)
	slow.Elapsed = target - usual
	_, _ = c.offer(slow)
	require.Equal(t, 1, late(c, 0), "one without time waits")
	require.Zero(t, late(c, target-margin-ms))
	require.Equal(t, 2, late(c, ms))

	first, _ := c.offer(request("a", 0, deadline))
	c.Remove("s", running, c.now)
	require.Equal(t, []uint64{first}, c.started())
	_, _ = c.offer(request("a", 0, deadline))
	require.Zero(t, late(c, ms))
	c.latency = target - ms
	c.Remove("s", first, c.now)
	require.Equal(t, 1, late(c, 0), "it starts too late")

	c.latency = usual
	_, _ = c.offer(request("a", 0, deadline))
	c.started()
	_, _ = c.offer(request("a", 0, deadline*8/10))
	require.Zero(t, late(c, 999*ms), "a returning caller does not wait for a second")
	require.Equal(t, 1, late(c, ms))

	c = newCore(1)
	_, _ = c.offer(slow)
	require.Len(t, c.started(), 1)
}

// Guards against a wait or a refusal at a gateway that alone sends two requests a second to an idle service of 18 slots, where it
// assumes four gateways.
func TestAloneAtAnIdleService(t *testing.T) {
	c := newCore(3 * 18 / 4.0)
	c.latency = usual
	random := rand.New(rand.NewPCG(3, 4))
	ends := map[uint64]time.Time{}
	for range 2000 {
		c.now = c.now.Add(time.Duration(random.ExpFloat64() * 500 * float64(ms)))
		for id, end := range ends {
			if !end.After(c.now) {
				c.Remove("s", id, end)
				delete(ends, id)
			}
		}
		id, refusal := c.offer(request("a", 0, deadline))
		require.Nil(t, refusal)
		require.Equal(t, []uint64{id}, c.started())
		ends[id] = c.now.Add(usual)
	}
	require.InDelta(t, 2, c.Status("s", c.now).Rate, 2)
}

// Guards against requests that wait or are refused although nothing is known that limits them: without upstreams they pass, to
// be refused by the caller of the package, and without a latency nothing is refused by it.
func TestUnknownValues(t *testing.T) {
	c := newCore(1)
	for range 5 {
		_, refusal := c.offer(request("a", 0, deadline))
		require.Nil(t, refusal)
		c.started()
	}
	c.limit = 0
	require.Len(t, c.started(), 4)
	require.Equal(t, dispatcher.Status{InProgress: 5, Rate: 2.5}, c.Status("s", c.now))
	c.limit = math.NaN()
	require.Zero(t, c.Status("s", c.now).Limit)
	require.Empty(t, c.events)
}

// Guards against an overload that is logged for each refusal, or that never ends.
func TestOverloadEvents(t *testing.T) {
	c := newCore(10)
	c.latency = target
	for range 20 {
		c.now = c.now.Add(10 * ms)
		_, _ = c.offer(request("a", 0, deadline))
	}
	require.Len(t, c.events, 1)
	c.now = c.now.Add(3 * time.Second)
	c.Status("s", c.now)
	require.Len(t, c.events, 2)
	require.Equal(t, dispatcher.Event{
		Service: "s", Cause: dispatcher.CauseLatency, Refused: 20, Latency: target, Duration: 190 * ms,
	}, c.events[1])
}
