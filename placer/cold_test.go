package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/appraiser"
	"clementineramp/placer"
	"clementineramp/registrar"
	"clementineramp/throttler"
)

// coldShare is the number of requests that the only gateway of these tests may send to a cold upstream in 1.1 s.
const coldShare = 2

// newColdPlacer returns the placer of the only gateway in front of engines of which the first ones are cold.
func newColdPlacer(n, cold int, health func(string, time.Time) appraiser.Health) (*placer.Placer, *registrar.View) {
	v := engines(n)
	v.Times = map[string]registrar.Times{}
	for i, u := range v.ByService["pool"] {
		v.Times[u.ID] = registrar.Times{Entry: start, ColdUntil: start}
		if i < cold {
			v.Times[u.ID] = registrar.Times{Entry: start, ColdUntil: start.Add(time.Hour)}
		}
	}
	view := func() *registrar.View { return v }
	return placer.New(placer.Config{View: view, Health: health, Cold: throttler.New(throttler.Config{
		Self: "a", Members: func(time.Time) ([]string, bool) { return []string{"a"}, true }, View: view,
		Bound: func(string) throttler.Bound { return throttler.Bound{Rate: 16, Overshoot: 1.5, Tolerance: 5} },
	})}), v
}

// Guards against cold upstreams that receive more than their share from short chats or plain requests, or any long chat while a
// warm one can be reached.
func TestColdUpstreamsGetShortChats(t *testing.T) {
	for name, c := range map[string]struct {
		tokens, most, least int
		warmHealth          appraiser.Health
	}{
		"short":                       {tokens: 500, most: 2 * coldShare, least: 2 * coldShare},
		"long":                        {tokens: 4000},
		"long, no warm one reachable": {tokens: 4000, most: 2 * coldShare, least: 1, warmHealth: appraiser.Unreachable},
	} {
		t.Run(name, func(t *testing.T) {
			p, _ := newColdPlacer(6, 2, func(id string, _ time.Time) appraiser.Health {
				if id > "engine-01" {
					return c.warmHealth
				}
				return appraiser.Good
			})
			cold := 0
			for i := range 200 {
				choice, ok := p.Choose(placer.Request{Service: "pool", Chat: fmt.Sprint("chat-", i), ChatTokens: c.tokens}, start)
				require.True(t, ok)
				require.NoError(t, p.CheckAccepts(choice.Upstream, start))
				p.Done(choice.Upstream.ID)
				if choice.Upstream.ID <= "engine-01" {
					cold++
				}
			}
			require.LessOrEqual(t, cold, c.most)
			require.GreaterOrEqual(t, cold, c.least)
		})
	}
}

// Guards against a service that is refused although its cold upstreams have places, and against requests beyond these.
func TestServiceThatIsCold(t *testing.T) {
	p, v := newColdPlacer(3, 3, good)
	_, reported := p.Occupancy("pool", start)
	require.False(t, reported)
	r := placer.Request{Service: "pool", Chat: "chat", ChatTokens: 9000}
	var chosen []placer.Choice
	for range 3 * coldShare {
		c, ok := p.Choose(r, start)
		require.True(t, ok)
		chosen = append(chosen, c)
	}
	c, ok := p.Choose(r, start)
	require.False(t, ok)
	require.Equal(t, 3, c.Cold)
	p.Withdraw(chosen[0])
	again, ok := p.Choose(r, start)
	require.True(t, ok, "the place of a request that was not sent is lost")
	require.Equal(t, chosen[0].Upstream.ID, again.Upstream.ID)

	late := start.Add(3 * time.Second)
	for _, c := range append(chosen[1:], again) {
		require.NoError(t, p.CheckAccepts(c.Upstream, late), "a reserved place is lost")
		p.Done(c.Upstream.ID)
	}
	require.ErrorIs(t, p.CheckAccepts(v.ByService["pool"][0], late), placer.ErrCold)
	_, ok = p.Choose(r, late.Add(time.Second))
	require.False(t, ok, "the end of a request has given back its place in the window")
	_, ok = p.Choose(r, late.Add(1100*time.Millisecond))
	require.True(t, ok)
}

// Guards against cold upstreams that count as free slots of their service, so that the warm ones are overloaded.
func TestOccupancyOfWarmUpstreams(t *testing.T) {
	p, v := newColdPlacer(4, 3, good)
	p.RecordLoad(v.ByService["pool"][3].ID, placer.Load{Running: 48, Slots: 48}, start)
	occupancy, reported := p.Occupancy("pool", start)
	require.True(t, reported)
	require.InDelta(t, 1, occupancy, 0.01)
}
