package placer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/placer"
	"clementineramp/registrar"
)

// Guards against spreading chats that had to move once, and against reports that go on among the gateways after their
// cause has ended.
func TestReportsOfHotChats(t *testing.T) {
	v := engines(12)
	a, b := newPlacer(v, good), newPlacer(v, good)
	hot := placer.Request{Service: "pool", Chat: "hot", ChatTokens: 20000}
	// find makes a find the chat hot: both of its first engines are at their limits.
	find := func(now time.Time) {
		for _, u := range v.ByService["pool"] {
			a.RecordLoad(u.ID, placer.Load{Slots: 48}, now)
		}
		for range 2 {
			c, ok := a.Choose(placer.Request{Service: "pool", Chat: "hot", ChatTokens: 20000}, now)
			require.True(t, ok)
			a.Done(c.Upstream.ID)
			a.RecordLoad(c.Upstream.ID, placer.Load{Running: 40, Slots: 48}, now)
		}
		c, ok := a.Choose(hot, now)
		require.True(t, ok)
		a.Done(c.Upstream.ID)
	}
	find(start)
	require.Empty(t, a.HotChats(start), "hot once")
	find(start.Add(time.Second))
	reports := a.HotChats(start.Add(3 * time.Second))
	require.Len(t, reports, 1)
	require.Equal(t, 2*time.Second, reports[0].Age)

	b.MergeHotChats(reports, start.Add(3*time.Second))
	b.MergeHotChats([]placer.HotChat{{Chat: 1, Age: -time.Second}, {Chat: 2, Age: time.Hour}}, start.Add(3*time.Second))
	forwarded := b.HotChats(start.Add(5 * time.Second))
	require.Len(t, forwarded, 1, "reports from the future and old ones do not count")
	require.Equal(t, 4*time.Second, forwarded[0].Age)
	a.MergeHotChats(forwarded, start.Add(5*time.Second))
	require.Empty(t, a.HotChats(start.Add(11*time.Second)))
	require.Empty(t, b.HotChats(start.Add(11*time.Second)))
}

// Guards against memory and messages that grow with the number of chats that peers report.
func TestHotChatsAreBounded(t *testing.T) {
	p := newPlacer(engines(4), good)
	for i := range uint32(5000) {
		p.MergeHotChats([]placer.HotChat{{Chat: i, Age: time.Second}}, start)
	}
	require.LessOrEqual(t, len(p.HotChats(start)), 16)
	later := start.Add(time.Minute)
	p.MergeHotChats([]placer.HotChat{{Chat: 7000}}, later)
	require.Equal(t, []placer.HotChat{{Chat: 7000}}, p.HotChats(later))
}

// Guards against gateways that all use up what is left of an engine near its limit, because they have the same old report:
// the nearer the limit, the fewer of a hundred gateways may take it. A lone gateway, which knows the load, does, and so do
// all while most engines are busy, as each chat that moves has its prompt processed again.
func TestEnginesNearTheirLimits(t *testing.T) {
	v := engines(20)
	random := rand.New(rand.NewPCG(5, 6))
	for _, c := range []struct {
		gateways, others, load int
		atLeast, atMost        int
	}{
		{1, 8, 15, 100, 100}, {100, 8, 5, 100, 100}, {100, 8, 13, 30, 60}, {100, 8, 15, 5, 30}, {100, 24, 40, 100, 100},
	} {
		t.Run(fmt.Sprintf("%d gateways, load %d, others %d", c.gateways, c.load, c.others), func(t *testing.T) {
			taken := 0
			for i := range 100 {
				p := placer.New(placer.Config{
					View: func() *registrar.View { return v }, Health: good, Gateways: func() int { return c.gateways }, Random: random.IntN,
				})
				chat := placer.Request{Service: "pool", Chat: fmt.Sprint("chat-", i), ChatTokens: 20000}
				preferred, _ := newPlacer(v, good).Choose(chat, start)
				for _, u := range v.ByService["pool"] {
					p.RecordLoad(u.ID, placer.Load{Running: c.others, Slots: 48}, start)
				}
				p.RecordLoad(preferred.Upstream.ID, placer.Load{Running: c.load, Slots: 48}, start)
				if choice, _ := p.Choose(chat, start); choice.Upstream.ID == preferred.Upstream.ID {
					taken++
				}
			}
			require.GreaterOrEqual(t, taken, c.atLeast)
			require.LessOrEqual(t, taken, c.atMost)
		})
	}
}
