package relayer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/registrar"
	"clementineramp/throttler"
)

// cutFrom cuts gateways off from all others, and breaks the open connections.
func (f *fleet) cutFrom(away map[string]bool) {
	f.mu.Lock()
	f.cut = func(a, b string) bool { return away[a] != away[b] }
	f.mu.Unlock()
	f.closeConnections()
}

// Guards against a gateway that takes itself for an owner of cold upstreams too early after its start or without peers, that
// forgets gateways that were killed or cut off, or that forgets none; and against one that waits for ever.
func TestKnownGateways(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, 3, 0)
		last := f.nodes[11]
		known := func() (n int, settled bool) {
			all, settled := last.relayer.Known(time.Now())
			return len(all), settled
		}
		time.Sleep(2900 * time.Millisecond)
		_, settled := known()
		require.False(t, settled, "settled before 3 s")
		time.Sleep(7 * time.Second)
		n, settled := known()
		require.Equal(t, 12, n)
		require.True(t, settled)

		for i := range 5 {
			f.kill(i + 4)
		}
		f.kill(10)
		time.Sleep(time.Minute)
		n, settled = known()
		require.Equal(t, 12, n, "killed gateways were forgotten")
		require.True(t, settled)

		f.start(10, 0)
		time.Sleep(2900 * time.Millisecond)
		_, settled = f.nodes[10].relayer.Known(time.Now())
		require.False(t, settled, "settled before 3 s after the start")

		f.cutFrom(map[string]bool{last.address: true})
		time.Sleep(4 * time.Second)
		n, settled = known()
		require.Equal(t, 12, n)
		require.False(t, settled, "owns upstreams without a peer")
		f.cutFrom(nil)
		time.Sleep(4 * time.Second)
		_, settled = known()
		require.True(t, settled, "not settled after the cut")

		time.Sleep(10 * time.Minute)
		n, _ = known()
		require.Equal(t, 7, n, "gateways are not forgotten after 10 minutes")
	})
}

// Guards against a gateway that never owns anything because it is the only one.
func TestKnownOfTheOnlyGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1, 0)
		time.Sleep(3 * time.Second)
		all, settled := f.nodes[0].relayer.Known(time.Now())
		require.Equal(t, []string{f.nodes[0].address}, all)
		require.True(t, settled)
	})
}

// Guards against a bound that holds in the model of package throttler only: gateways that exchange lists as in production start in
// three parts that do not know of each other, each with a seed, and send to cold upstreams all that they may.
func TestBoundWithRealLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const gateways, upstreams = 60, 20
		bound := throttler.Bound{Rate: 16, Overshoot: 1.5, Tolerance: 5}
		f := newFleet(t, gateways, 3, 0)
		for i := range f.nodes {
			f.kill(i)
		}
		f.mu.Lock()
		f.cut = func(a, b string) bool { return f.domainOf(a) != f.domainOf(b) }
		f.mu.Unlock()
		v := &registrar.View{ByService: map[string][]registrar.Upstream{}, Times: map[string]registrar.Times{}}
		for i := range upstreams {
			u := registrar.Upstream{ID: fmt.Sprint("engine-", i), Service: "s"}
			v.ByService["s"] = append(v.ByService["s"], u)
			v.Times[u.ID] = registrar.Times{Entry: time.Now(), ColdUntil: time.Now().Add(time.Hour)}
		}
		var all []*throttler.Throttler
		for i, n := range f.nodes {
			f.start(i, 0)
			all = append(all, throttler.New(throttler.Config{
				Self: n.address, Members: n.relayer.Known, View: func() *registrar.View { return v },
				Bound: func(string) throttler.Bound { return bound },
			}))
		}
		sent := make([][]time.Time, upstreams)
		most, total := 0, 0
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			now := time.Now()
			for i, u := range v.ByService["s"] {
				for _, th := range all {
					for th.Send(u, now) {
						sent[i] = append(sent[i], now)
						total++
					}
				}
				for len(sent[i]) > 0 && now.Sub(sent[i][0]) >= time.Second {
					sent[i] = sent[i][1:]
				}
				most = max(most, len(sent[i]))
			}
		}
		t.Logf("at most %d requests in a second of %d, %.1f a second on average", most, bound.Allowed(), float64(total)/upstreams/10)
		require.LessOrEqual(t, most, bound.Allowed())
	})
}
