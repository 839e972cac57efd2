package proxier_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/placer"
	"clementineramp/registrar"
	"clementineramp/throttler"
)

// bound gives the only router of a fixture a place for two requests to each cold upstream.
func (f *fixture) bound(cold ...string) {
	f.view.Times = map[string]registrar.Times{}
	for _, id := range cold {
		f.makeCold(id)
	}
	f.cold = throttler.New(throttler.Config{
		Self: "a", Members: func(time.Time) ([]string, bool) { return []string{"a"}, true },
		View:  func() *registrar.View { return &f.view },
		Bound: func(string) throttler.Bound { return throttler.Bound{Rate: 16, Overshoot: 1.5, Tolerance: 5} },
	})
	f.server.Close()
	f.serve()
}

func (f *fixture) makeCold(id string) {
	now := time.Now()
	f.view.Times[id] = registrar.Times{Entry: now, ColdUntil: now.Add(time.Hour)}
}

// Guards against a cold service that is refused altogether, and against callers that are not refused at once, that are told that
// their request may have run or that are sent back late.
func TestServiceWhoseUpstreamsAreCold(t *testing.T) {
	f := newFixture(t, nil, nil)
	f.bound("u0", "u1")
	for range 4 {
		require.Equal(t, 200, f.do("POST", "/order/", "body").status, f.log.String())
	}
	r := f.do("POST", "/order/", "body")
	require.Equal(t, 503, r.status)
	after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.InDelta(t, 0.375, after, 0.226)
	require.Equal(t, 4, f.runs())
	require.Contains(t, f.log.String(), "reason=upstreams_cold")
	require.Equal(t, int64(100), f.budget.Load())
}

// Guards against a request that has chosen an upstream, waits for its connection while it becomes known that the upstream is cold
// and that its share is used, and is sent all the same.
func TestUpstreamTurnsColdWhileConnecting(t *testing.T) {
	f := newFixture(t, nil, nil)
	f.bound()
	f.connected = func() {
		f.connected = nil
		f.makeCold("u0")
		for range 10 { // Its share is smaller.
			_ = f.placer.CheckAccepts(f.view.ByService["s"][0], time.Now())
		}
	}
	require.Equal(t, 200, f.do("POST", "/order/", "body").status, f.log.String())
	require.Empty(t, f.upstreams[0].Runs())
	require.Contains(t, f.log.String(), placer.ErrCold.Error())
	require.Equal(t, int64(100), f.budget.Load(), "a request that was not sent has cost a retry")
}

// Guards against places that are lost because a request could not be connected: the upstream would get no more requests.
func TestPlaceOfRequestThatIsNotSent(t *testing.T) {
	f := newFixture(t, nil)
	f.bound("u0")
	address := f.view.ByService["s"][0].Address
	f.view.ByService["s"][0].Address = "127.0.0.1:1"
	for range 5 {
		require.Equal(t, 503, f.do("POST", "/order/", "body").status)
	}
	f.view.ByService["s"][0].Address = address
	require.Equal(t, 200, f.do("POST", "/order/", "body").status, f.log.String())
}
