package throttler_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/registrar"
	"clementineramp/throttler"
)

// start is the time at which each test begins.
var start = time.Unix(1_700_000_000, 0)

// bound is that of the first customer: 29 requests a second, 4 owners with a share of 2.
var bound = throttler.Bound{Rate: 16, Overshoot: 1.5, Tolerance: 5, Start: 20 * time.Second}

const (
	window   = 1100 * time.Millisecond
	maxDelay = 500 * time.Millisecond
	owners   = 4
	share    = 2
)

var upstream = registrar.Upstream{ID: "u", Service: "s", FailureDomain: "d", Born: start.UnixMilli()}

// viewOf returns a view of one upstream.
func viewOf(times registrar.Times) *registrar.View {
	return &registrar.View{
		ByService: map[string][]registrar.Upstream{"s": {upstream}}, Times: map[string]registrar.Times{"u": times},
		EvacuationsEnded: map[string]time.Time{},
	}
}

// alone returns the throttler of the only gateway of a fleet, and its events.
func alone(v *registrar.View) (t *throttler.Throttler, events *[]throttler.Event) {
	events = new([]throttler.Event)
	return throttler.New(throttler.Config{
		Self: "10.0.0.1:1", View: func() *registrar.View { return v }, Bound: func(string) throttler.Bound { return bound },
		Members:  func(time.Time) ([]string, bool) { return []string{"10.0.0.1:1"}, true },
		OnChange: func(e throttler.Event) { *events = append(*events, e) },
	}), events
}

// statedCold is what is known of an upstream that states a long cold time.
var statedCold = registrar.Times{Entry: start, ColdUntil: start.Add(time.Hour)}

// Guards against a bound that is rounded up, or overflows with numbers that the settings allow.
func TestAllowed(t *testing.T) {
	for want, b := range map[int]throttler.Bound{
		29: bound, 0: {}, 3: {Rate: 2.5, Overshoot: 1.2, Tolerance: 0.9}, math.MaxInt32: {Rate: 1e9, Overshoot: 1000, Tolerance: 1e6},
	} {
		require.Equal(t, want, b.Allowed(), "%+v", b)
	}
	require.Zero(t, throttler.Bound{Rate: math.NaN()}.Allowed())
}

// Guards against an upstream that counts as warm too early, or cold for ever, for each reason to be cold.
func TestDefinitionOfCold(t *testing.T) {
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	older := upstream
	older.Born = start.Add(-23 * time.Second).UnixMilli()
	unknown := upstream
	unknown.Born = 0
	ended := map[string]time.Time{"d": start}
	for name, c := range map[string]struct {
		upstream registrar.Upstream
		times    registrar.Times
		ended    map[string]time.Time
		until    float64
	}{
		"warm entry":                     {upstream: upstream, times: registrar.Times{Entry: at(0), ColdUntil: at(0)}},
		"stated":                         {upstream: upstream, times: registrar.Times{Entry: at(0), ColdUntil: at(7)}, until: 7},
		"new incarnation":                {upstream: upstream, times: registrar.Times{Joined: at(0), Entry: at(0), ColdUntil: at(0)}, until: 20},
		"new incarnation, longer stated": {upstream: upstream, times: registrar.Times{Joined: at(0), Entry: at(0), ColdUntil: at(30)}, until: 30},
		"started long before it joined":  {upstream: older, times: registrar.Times{Joined: at(0), Entry: at(0), ColdUntil: at(0)}},
		"unknown start":                  {upstream: unknown, times: registrar.Times{Joined: at(0), Entry: at(0), ColdUntil: at(0)}, until: 20},
		"evacuation ended":               {upstream: older, times: registrar.Times{Entry: at(-9), ColdUntil: at(-9)}, ended: ended, until: 20},
		"warm entry at the same time":    {upstream: older, times: registrar.Times{Entry: at(0), ColdUntil: at(0)}, ended: ended, until: 20},
		"warm entry after it":            {upstream: older, times: registrar.Times{Entry: at(0.1), ColdUntil: at(0.1)}, ended: ended},
		"cold entry after it":            {upstream: older, times: registrar.Times{Entry: at(1), ColdUntil: at(6)}, ended: ended, until: 20},
		"other failure domain":           {upstream: older, times: registrar.Times{Entry: at(-9), ColdUntil: at(-9)}, ended: map[string]time.Time{"e": start}},
	} {
		t.Run(name, func(t *testing.T) {
			v := viewOf(c.times)
			v.EvacuationsEnded = c.ended
			th, _ := alone(v)
			if c.until == 0 {
				require.False(t, th.Cold(c.upstream, at(0.2)))
				return
			}
			require.True(t, th.Cold(c.upstream, at(0.2)))
			require.True(t, th.Cold(c.upstream, at(c.until).Add(-time.Millisecond)))
			require.False(t, th.Cold(c.upstream, at(c.until).Add(maxDelay)))
		})
	}
}

// Guards against an upstream that stays cold after it has stated that it is warm, that returns everywhere at that moment, that is
// not cold again, or that becomes warm because it is no longer listed while a request waits for its connection.
func TestStatementsChange(t *testing.T) {
	v := viewOf(registrar.Times{Entry: start, ColdUntil: start.Add(10 * time.Second)})
	th, events := alone(v)
	require.True(t, th.Cold(upstream, start))
	at := start.Add(2 * time.Second)
	v.Times["u"] = registrar.Times{Entry: at, ColdUntil: at}
	require.True(t, th.Cold(upstream, at), "no delay")
	require.False(t, th.Cold(upstream, at.Add(maxDelay)))
	at = at.Add(time.Second)
	v.Times["u"] = registrar.Times{Entry: at, ColdUntil: at.Add(5 * time.Second)}
	require.True(t, th.Cold(upstream, at), "not cold again")
	delete(v.Times, "u")
	require.True(t, th.Cold(upstream, at.Add(4*time.Second)), "warm because it is not listed")
	require.Len(t, *events, 3)
	require.Equal(t, throttler.Event{
		Upstream: "u", Service: "s", Cold: true, Cause: "stated", Duration: (*events)[0].Duration, Owner: true, Share: share,
	}, (*events)[0])
	require.False(t, (*events)[1].Cold)
}

// Guards against a window that counts the time of the choice: requests that waited for their connections would arrive together.
func TestWindowBySendingTime(t *testing.T) {
	th, _ := alone(viewOf(statedCold))
	for range share {
		require.True(t, th.Reserve(upstream, start))
	}
	require.False(t, th.Free(upstream, start))
	require.False(t, th.Reserve(upstream, start))
	sent := start.Add(2 * time.Second)
	require.False(t, th.Free(upstream, sent), "a reservation was forgotten")
	for range share {
		require.True(t, th.Send(upstream, sent))
	}
	require.False(t, th.Send(upstream, sent), "more requests than the share")
	last := sent.Add(window - time.Millisecond)
	require.False(t, th.Free(upstream, last))
	require.False(t, th.Send(upstream, last))
	require.True(t, th.Free(upstream, sent.Add(window)))
	require.True(t, th.Reserve(upstream, sent.Add(window)))
	th.Release(upstream)
	th.Release(upstream) // One that was reserved by nobody must not give a place to others.
	for range share {
		require.True(t, th.Reserve(upstream, sent.Add(window)))
	}
	require.False(t, th.Reserve(upstream, sent.Add(window)))
}

// Guards against a full share right after many requests to an upstream that has just turned cold.
func TestRequestsBeforeItTurnedCold(t *testing.T) {
	v := viewOf(registrar.Times{Entry: start, ColdUntil: start})
	th, _ := alone(v)
	for range 100 {
		require.True(t, th.Send(upstream, start))
	}
	v.Times["u"] = statedCold
	require.False(t, th.Send(upstream, start.Add(time.Second)))
	require.True(t, th.Send(upstream, start.Add(window)))
}

// Guards against requests by a gateway that does not know the others yet, or with a bound of zero, and against a service without
// a bound whose upstreams count as cold.
func TestNothingIsSent(t *testing.T) {
	settled, b := false, bound
	th := throttler.New(throttler.Config{
		Self: "a", View: func() *registrar.View { return viewOf(statedCold) }, Bound: func(string) throttler.Bound { return b },
		Members: func(time.Time) ([]string, bool) { return []string{"a"}, settled },
	})
	require.False(t, th.Free(upstream, start))
	require.False(t, th.Send(upstream, start))
	settled = true
	require.True(t, th.Free(upstream, start.Add(time.Second)))
	b = throttler.Bound{Rate: 0.9, Overshoot: 1}
	require.True(t, th.Cold(upstream, start.Add(time.Second)))
	require.False(t, th.Send(upstream, start.Add(time.Second)))
	b = throttler.Bound{Tolerance: 5}
	require.False(t, th.Cold(upstream, start.Add(time.Second)))
	require.True(t, th.Send(upstream, start.Add(time.Second)))
}

// Guards against owners that all gateways but a few never are, and against more owners than intended by one list.
func TestOwnersAreSpread(t *testing.T) {
	var members []string
	for i := range 26 {
		members = append(members, fmt.Sprintf("10.0.0.%d:1", i))
	}
	owned := make(map[string]int)
	for i := range 48 {
		u := registrar.Upstream{ID: fmt.Sprint("engine-", i), Service: "s"}
		found := 0
		for _, self := range members {
			th := throttler.New(throttler.Config{
				Self: self, Bound: func(string) throttler.Bound { return bound },
				Members: func(time.Time) ([]string, bool) { return members, true },
				View:    func() *registrar.View { return &registrar.View{Times: map[string]registrar.Times{u.ID: statedCold}} },
			})
			if th.Free(u, start) {
				found++
				owned[self]++
			}
		}
		require.Equal(t, owners, found)
	}
	require.GreaterOrEqual(t, len(owned), 24)
}
