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

// Guards against requests to an upstream during its pause: as the preferred upstream of a chat, as a trial, as the least
// loaded one, or because fewer than half of the others are good; and against a pause that another incarnation inherits or
// that a shorter one ends.
func TestPause(t *testing.T) {
	for name, health := range map[string]appraiser.Health{
		"good": appraiser.Good, "trial": appraiser.Trial, "suspect": appraiser.Suspect, "unreachable": appraiser.Unreachable,
	} {
		t.Run(name, func(t *testing.T) {
			v := engines(3)
			paused := v.ByService["pool"][0]
			p := newPlacer(v, func(id string, _ time.Time) appraiser.Health {
				if id == paused.ID {
					return health
				}
				return appraiser.Suspect
			})
			chosen := func(now time.Time) bool {
				found := false
				for i := range 60 {
					chat := fmt.Sprint("chat-", i)
					if i%2 == 0 {
						chat = ""
					}
					c, ok := p.Choose(placer.Request{Service: "pool", Chat: chat, Repeatable: true}, now)
					require.True(t, ok)
					p.Done(c.Upstream.ID)
					found = found || c.Upstream.ID == paused.ID
				}
				return found
			}
			p.Pause(paused, start.Add(2*time.Second))
			p.Pause(paused, start.Add(time.Second))
			require.False(t, chosen(start.Add(1999*time.Millisecond)))
			require.ErrorIs(t, p.CheckAccepts(paused, start.Add(time.Second)), placer.ErrPaused)
			require.NoError(t, p.CheckAccepts(paused, start.Add(2*time.Second)))
			if health != appraiser.Unreachable {
				require.True(t, chosen(start.Add(2*time.Second)))
				v.ByService["pool"][0].Born++
				require.True(t, chosen(start.Add(time.Second)), "a later incarnation inherits the pause")
			}
		})
	}
}

func TestPausedFor(t *testing.T) {
	v := engines(2)
	p := newPlacer(v, good)
	require.Zero(t, p.PausedFor("none", start))
	p.Pause(v.ByService["pool"][0], start.Add(3*time.Second))
	require.Zero(t, p.PausedFor("pool", start))
	p.Pause(v.ByService["pool"][1], start.Add(5*time.Second))
	require.Equal(t, 3*time.Second, p.PausedFor("pool", start))
	c, ok := p.Choose(placer.Request{Service: "pool"}, start)
	require.False(t, ok)
	require.Equal(t, 2, c.Paused)
	p.Prune(func(string) bool { return true }, start.Add(4*time.Second))
	require.Zero(t, p.PausedFor("pool", start.Add(4*time.Second)))
	require.Error(t, p.CheckAccepts(v.ByService["pool"][1], start.Add(4*time.Second)))
}

// Guards against gateways that send more than two requests to an upstream between half a second after its refusal and the end
// of its pause, in a model of 200 gateways under pressure, 12 of whose 30 engines refuse every request for two seconds.
func TestPausesAmongManyGateways(t *testing.T) {
	const (
		gateways, size, refusing = 200, 30, 12
		perSecond                = 4000
		answer, pause            = 40 * time.Millisecond, 2 * time.Second
	)
	v := engines(size)
	random := rand.New(rand.NewPCG(5, 6))
	var all []*placer.Placer
	for range gateways {
		all = append(all, placer.New(placer.Config{
			View: func() *registrar.View { return v }, Health: good, Gateways: func() int { return gateways }, Random: random.IntN,
		}))
	}
	type reply struct {
		at       time.Time
		gateway  int
		upstream registrar.Upstream
	}
	refuses := map[string]bool{}
	for _, u := range v.ByService["pool"][:refusing] {
		refuses[u.ID] = true
	}
	var replies []reply
	refusedAt := map[string][]time.Time{}
	refused, most := 0, 0
	for now := start; now.Before(start.Add(6 * time.Second)); now = now.Add(time.Second / perSecond) {
		for len(replies) > 0 && !replies[0].at.After(now) {
			r := replies[0]
			replies = replies[1:]
			all[r.gateway].Done(r.upstream.ID)
			if refuses[r.upstream.ID] {
				all[r.gateway].Pause(r.upstream, now.Add(pause))
			}
		}
		g := random.IntN(gateways)
		c, ok := all[g].Choose(placer.Request{Service: "pool", Chat: fmt.Sprint(random.IntN(500)), ChatTokens: 5000}, now)
		require.True(t, ok)
		replies = append(replies, reply{at: now.Add(answer), gateway: g, upstream: c.Upstream})
		if !refuses[c.Upstream.ID] {
			continue
		}
		refused++
		key := fmt.Sprint(g, "/", c.Upstream.ID)
		inPause := 0
		for _, at := range refusedAt[key] {
			if since := now.Sub(at); since > 500*time.Millisecond && since < pause {
				inPause++
			}
		}
		most = max(most, inPause)
		refusedAt[key] = append(refusedAt[key], now.Add(answer))
	}
	t.Logf("%d requests were refused", refused)
	require.Zero(t, most, "a request reached an upstream during a pause that it had asked this gateway for")
}
