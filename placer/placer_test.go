package placer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/appraiser"
	"clementineramp/placer"
	"clementineramp/registrar"
)

// start is the time of the first request of each test.
var start = time.Unix(1_700_000_000, 0)

// engines returns a view of a service with n upstreams that started an hour before start.
func engines(n int) *registrar.View {
	v := &registrar.View{ByService: map[string][]registrar.Upstream{}}
	for i := range n {
		v.ByService["pool"] = append(v.ByService["pool"], registrar.Upstream{
			ID: fmt.Sprintf("engine-%02d", i), Service: "pool", Slots: 48, Address: fmt.Sprintf("10.0.0.%d:1", i+1),
			FailureDomain: fmt.Sprintf("domain-%d", i%3), Born: start.Add(-time.Hour).UnixMilli(),
		})
	}
	return v
}

func good(string, time.Time) appraiser.Health { return appraiser.Good }

// newPlacer returns a placer with a fixed random source.
func newPlacer(v *registrar.View, health func(string, time.Time) appraiser.Health) *placer.Placer {
	r := rand.New(rand.NewPCG(1, 2))
	return placer.New(placer.Config{
		FailureDomain: "domain-1", View: func() *registrar.View { return v }, Health: health, Random: r.IntN,
	})
}

func TestChatReturnsToItsCache(t *testing.T) {
	v := engines(18)
	a, b := newPlacer(v, good), newPlacer(v, good)
	for i := range 200 {
		r := placer.Request{Service: "pool", Chat: fmt.Sprintf("chat-%d", i), ChatTokens: 500}
		first, ok := a.Choose(r, start)
		require.True(t, ok)
		a.Done(first.Upstream.ID)
		second, ok := b.Choose(r, start)
		require.True(t, ok)
		b.Done(second.Upstream.ID)
		require.Equal(t, first.Upstream.ID, second.Upstream.ID, "two gateways choose different upstreams for %s", r.Chat)
		require.Zero(t, first.Position)
		require.NotEqual(t, first.Upstream.ID, first.Source.ID)
	}
}

func TestHotChatSpreads(t *testing.T) {
	p := newPlacer(engines(18), good)
	most, total := 0.0, 0
	used := map[string]bool{}
	for i := range 300 {
		chat := "hot"
		if i%2 == 0 {
			chat = fmt.Sprintf("chat-%d", i)
		}
		c, ok := p.Choose(placer.Request{Service: "pool", Chat: chat, ChatTokens: 10000}, start)
		require.True(t, ok)
		total++
		if chat == "hot" {
			used[c.Upstream.ID] = true
		}
		mean := float64(total) / 18
		most = max(most, (c.Load+1)-(placer.DefaultLoadFactor*mean+placer.DefaultSlack))
	}
	require.Greater(t, len(used), 1, "all requests of a popular chat go to one engine")
	require.LessOrEqual(t, most, 1.0, "an engine is loaded beyond the limit")
}

func TestShortChatsLeaveALoadedEngineFirst(t *testing.T) {
	p := newPlacer(engines(4), good)
	long := placer.Request{Service: "pool", Chat: "long", ChatTokens: 20000}
	preferred, _ := p.Choose(long, start)
	p.RecordLoad(preferred.Upstream.ID, placer.Load{Running: 1, Slots: 48}, start)
	short := placer.Request{Service: "pool", Chat: "long", ChatTokens: 100}
	for {
		c, _ := p.Choose(short, start)
		if c.Upstream.ID != preferred.Upstream.ID {
			require.Equal(t, preferred.Upstream.ID, c.Source.ID, "the cache source of a moved chat is not its preferred upstream")
			break
		}
	}
	c, _ := p.Choose(long, start)
	require.Equal(t, preferred.Upstream.ID, c.Upstream.ID, "a long chat moves at the load at which short ones do")
}

func TestNewEngineTakesFewChatsAtFirst(t *testing.T) {
	v := engines(18)
	fresh := registrar.Upstream{ID: "fresh", Service: "pool", Slots: 48, Address: "10.0.1.1:1", Born: start.UnixMilli()}
	v.ByService["pool"] = append(v.ByService["pool"], fresh)
	share := func(now time.Time) int {
		p := newPlacer(v, good)
		n := 0
		for i := range 2000 {
			c, ok := p.Choose(placer.Request{Service: "pool", Chat: fmt.Sprintf("chat-%d", i)}, now)
			require.True(t, ok)
			p.Done(c.Upstream.ID)
			if c.Upstream.ID == fresh.ID {
				n++
			}
		}
		return n
	}
	fair := 2000 / 19
	require.Less(t, share(start.Add(time.Second)), fair/5)
	require.InDelta(t, fair, share(start.Add(2*time.Minute)), float64(fair)/2)
}

// Guards against an upstream whose start is stated far ahead of this host's clock, so that it counts as just started for
// hours or forever and gets no chats. Clocks that differ by seconds must not matter.
func TestStartInTheFuture(t *testing.T) {
	for ahead, few := range map[time.Duration]bool{
		5 * time.Second: true, 30 * time.Second: true, 2 * time.Minute: false, time.Hour: false, 70 * 365 * 24 * time.Hour: false,
	} {
		v := engines(18)
		odd := &v.ByService["pool"][4]
		odd.Born = start.Add(ahead).UnixMilli()
		p := newPlacer(v, good)
		n := 0
		for i := range 2000 {
			c, ok := p.Choose(placer.Request{Service: "pool", Chat: fmt.Sprintf("chat-%d", i)}, start)
			require.True(t, ok)
			p.Done(c.Upstream.ID)
			if c.Upstream.ID == odd.ID {
				n++
			}
		}
		if fair := 2000 / 18; few {
			require.Less(t, n, fair/5, ahead)
		} else {
			require.InDelta(t, fair, n, float64(fair)/2, ahead)
		}
	}
}

// TestReportedLoadDecays guards against an estimate that falls in a step. Many gateways see the same stale loads, and
// would all treat the upstream as idle at the same moment.
func TestReportedLoadDecays(t *testing.T) {
	v := engines(1)
	p := newPlacer(v, good)
	id := v.ByService["pool"][0].ID
	p.RecordLoad(id, placer.Load{Running: 20}, start)
	load := func(after time.Duration) float64 {
		c, _ := p.Choose(placer.Request{Service: "pool"}, start.Add(after))
		p.Done(id)
		return c.Load
	}
	require.InDelta(t, 20, load(0), 0.1)
	previous := 20.0
	for after := 100 * time.Millisecond; after < 4*time.Second; after += 100 * time.Millisecond {
		now := load(after)
		require.Less(t, now, previous)
		require.Less(t, previous-now, 2.0, "the estimate drops by 2 or more in 100 ms, after %v", after)
		previous = now
	}
	require.Less(t, previous, 2.0)
}

// Guards against a pile of requests at an upstream with a long queue: it sends no responses, and so no reports, while
// requests wait there, and must not seem to be idle for that.
func TestLoadOfSilentUpstreamStays(t *testing.T) {
	v := engines(1)
	p := newPlacer(v, good)
	id := v.ByService["pool"][0].ID
	p.RecordLoad(id, placer.Load{Running: 48}, start)
	load := func(after time.Duration) float64 {
		share, ok := p.Occupancy("pool", start.Add(after))
		require.True(t, ok)
		return 48 * share
	}
	_, ok := p.Choose(placer.Request{Service: "pool"}, start)
	require.True(t, ok)
	require.Greater(t, load(time.Second), 36.0, "three quarters of the load after a second")
	require.Greater(t, load(2*time.Second), 28.0)
	p.Done(id)
	require.Less(t, load(2*time.Second), 14.0, "no request of this process waits at the upstream")
}

// Guards against the load in a response that waited during a pause of this process and that replaces what other gateways have
// heard since, here and then everywhere.
func TestLoadReportThatWaited(t *testing.T) {
	v := engines(1)
	p := newPlacer(v, good)
	id := v.ByService["pool"][0].ID
	p.Merge([]placer.LoadReport{{Upstream: id, Load: 40, Age: time.Second}}, start)
	p.RecordLoad(id, placer.Load{Running: 1}, start.Add(-2*time.Second))
	reports := p.Reports(start)
	require.Len(t, reports, 1)
	require.Equal(t, 40, reports[0].Load)
	p.RecordLoad(id, placer.Load{Running: 2}, start)
	require.Equal(t, 2, p.Reports(start)[0].Load)
}

func TestLoadReportedByPeer(t *testing.T) {
	v := engines(2)
	a, b := newPlacer(v, good), newPlacer(v, good)
	id := v.ByService["pool"][0].ID
	a.RecordLoad(id, placer.Load{Running: 9, Waiting: 3}, start)
	b.Merge(a.Reports(start.Add(100*time.Millisecond)), start.Add(200*time.Millisecond))
	c, ok := b.Choose(placer.Request{Service: "pool"}, start.Add(200*time.Millisecond))
	require.True(t, ok)
	require.NotEqual(t, id, c.Upstream.ID)
	require.Greater(t, c.Mean, 5.0)
}

func TestTrialsGoToRepeatableRequestsOnly(t *testing.T) {
	v := engines(4)
	trial := v.ByService["pool"][2].ID
	health := func(id string, _ time.Time) appraiser.Health {
		if id == trial {
			return appraiser.Trial
		}
		return appraiser.Good
	}
	p := newPlacer(v, health)
	for range 50 {
		c, ok := p.Choose(placer.Request{Service: "pool"}, start)
		require.True(t, ok)
		require.NotEqual(t, trial, c.Upstream.ID, "a request that is not repeatable is sent to a suspect upstream as a trial")
	}
	c, ok := p.Choose(placer.Request{Service: "pool", Repeatable: true}, start)
	require.True(t, ok)
	require.Equal(t, trial, c.Upstream.ID)
	loaded, ok := p.Choose(placer.Request{Service: "pool", Repeatable: true}, start)
	require.True(t, ok)
	_ = loaded
	p.RecordLoad(trial, placer.Load{Running: 200}, start)
	c, ok = p.Choose(placer.Request{Service: "pool", Repeatable: true}, start)
	require.True(t, ok)
	require.NotEqual(t, trial, c.Upstream.ID, "a trial is sent to an upstream above the mean load")
}

func TestUnhealthyUpstreams(t *testing.T) {
	v := engines(6)
	unhealthy := func(n int, h appraiser.Health) func(string, time.Time) appraiser.Health {
		return func(id string, _ time.Time) appraiser.Health {
			for i := range n {
				if id == v.ByService["pool"][i].ID {
					return h
				}
			}
			return appraiser.Good
		}
	}
	used := func(p *placer.Placer) map[string]bool {
		m := map[string]bool{}
		for range 200 {
			c, ok := p.Choose(placer.Request{Service: "pool"}, start)
			require.True(t, ok)
			m[c.Upstream.ID] = true
		}
		return m
	}
	require.Len(t, used(newPlacer(v, unhealthy(3, appraiser.Suspect))), 3)
	require.Len(t, used(newPlacer(v, unhealthy(6, appraiser.Suspect))), 6, "with all upstreams suspect, not all are used")
	require.Len(t, used(newPlacer(v, unhealthy(5, appraiser.Unreachable))), 1, "an unreachable upstream is used although another is reachable")
	require.Len(t, used(newPlacer(v, unhealthy(6, appraiser.Unreachable))), 6)
}

func TestNoUpstream(t *testing.T) {
	p := newPlacer(engines(1), good)
	_, ok := p.Choose(placer.Request{Service: "other"}, start)
	require.False(t, ok)
	_, ok = p.Choose(placer.Request{Service: "pool", Tried: []string{"engine-00"}}, start)
	require.False(t, ok)
}

func BenchmarkChoose(b *testing.B) {
	p := newPlacer(engines(48), good)
	for i := range b.N {
		c, _ := p.Choose(placer.Request{Service: "pool", Chat: "chat", ChatTokens: i}, start)
		p.Done(c.Upstream.ID)
	}
}

// TestOverloadLeavesFreeSlots guards against chats that stay at engines without a free slot during an overload, because
// the limit derived from the mean load is above the number of slots.
func TestOverloadLeavesFreeSlots(t *testing.T) {
	view := engines(4)
	p := placer.New(placer.Config{
		View: func() *registrar.View { return view }, Health: func(string, time.Time) appraiser.Health { return appraiser.Good },
		Random: func(int) int { return 0 },
	})
	now := start
	_, reported := p.Occupancy("pool", now)
	require.False(t, reported, "the utilisation is known before any upstream has reported its load")
	placed := map[string]int{}
	for range 150 {
		c, ok := p.Choose(placer.Request{Service: "pool", Chat: "hot", ChatTokens: 8000}, now)
		require.True(t, ok)
		placed[c.Upstream.ID]++
	}
	for id, n := range placed {
		require.LessOrEqual(t, n, 44, id)
	}
	p.RecordLoad("engine-00", placer.Load{Running: 48, Waiting: 6, Slots: 48}, now)
	utilisation, reported := p.Occupancy("pool", now)
	require.True(t, reported)
	require.Greater(t, utilisation, 0.75)
}

// Guards against prompts that are processed again during a release, in which the upstreams are replaced one after the
// other: the chats of an upstream that is leaving must be fetched from it at their next upstreams, which are new or are
// the next in the preference order.
func TestChatsAreFetchedFromLeavingUpstreams(t *testing.T) {
	v := engines(9)
	p := newPlacer(v, good)
	holders := map[string]string{}
	request := func(chat string) placer.Request {
		return placer.Request{Service: "pool", Chat: chat, ChatTokens: 10000}
	}
	for i := range 100 {
		chat := fmt.Sprint("chat-", i)
		c, ok := p.Choose(request(chat), start)
		require.True(t, ok)
		p.Done(c.Upstream.ID)
		p.RecordLoad(c.Upstream.ID, placer.Load{Running: 0, Slots: 48}, start)
		holders[chat] = c.Upstream.ID
	}
	now := start
	for i := range 4 {
		now = now.Add(time.Second)
		all := v.ByService["pool"]
		leaving := all[0]
		v.Leaving = map[string][]registrar.Upstream{"pool": {leaving}}
		v.ByService["pool"] = append(all[1:len(all):len(all)], registrar.Upstream{
			ID: fmt.Sprint("new-", i), Service: "pool", Slots: 48, Address: fmt.Sprintf("10.0.1.%d:1", i+1), Born: now.UnixMilli(),
		})
		for chat, holder := range holders {
			c, ok := p.Choose(request(chat), now)
			require.True(t, ok)
			p.Done(c.Upstream.ID)
			if c.Upstream.ID != holder {
				require.Equal(t, holder, c.Source.ID, "%s moved to %s", chat, c.Upstream.ID)
			}
			p.RecordLoad(c.Upstream.ID, placer.Load{Running: 0, Slots: 48}, now)
			holders[chat] = c.Upstream.ID
		}
	}
}

// Guards against first tokens that wait for a fetch from an upstream that is gone, and against prompts that are processed
// again because an upstream that leaves has fallen silent. Groups of upstreams stop at the same moment, or are replaced while
// the store is away, and their entries stay listed: then no request may name one of them as the source of its prompt once it
// has been silent. While the list is current, upstreams are named for longer.
func TestChatsAreNotFetchedFromSilentUpstreams(t *testing.T) {
	v := engines(12)
	all := v.ByService["pool"]
	v.ByService["pool"] = all[:10]
	v.Leaving = map[string][]registrar.Upstream{"pool": all[10:]}
	silent := map[string]bool{all[0].ID: true, all[1].ID: true, all[2].ID: true, all[10].ID: true, all[11].ID: true}
	current := false
	p := placer.New(placer.Config{
		View: func() *registrar.View { return v }, Health: good, ListCurrent: func(time.Time) bool { return current },
	})
	named := func(now time.Time) map[string]int {
		names := map[string]int{}
		for i := range 500 {
			c, ok := p.Choose(placer.Request{Service: "pool", Chat: fmt.Sprint("chat-", i), ChatTokens: 10000}, now)
			require.True(t, ok)
			p.Done(c.Upstream.ID)
			names[c.Source.ID]++
		}
		delete(names, "")
		return names
	}
	for _, c := range []struct {
		seconds int
		current bool
		sources int
	}{
		{1, false, 12}, {3, false, 7}, {9, false, 7}, {3, true, 12}, {9, true, 12}, {11, true, 7},
	} {
		now := start.Add(time.Duration(c.seconds) * time.Second)
		for _, u := range all {
			at := now
			if silent[u.ID] {
				at = start
			}
			p.RecordLoad(u.ID, placer.Load{Slots: 48}, at)
		}
		current = c.current
		require.Len(t, named(now), c.sources, "sources after %d s, list current: %v", c.seconds, c.current)
	}
}
