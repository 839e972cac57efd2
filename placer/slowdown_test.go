package placer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/appraiser"
	"clementineramp/placer"
	"clementineramp/registrar"
)

// Guards against requests to plain services that go to a slow upstream because it has as few requests as the others, against
// gateways that all prefer the upstream that seems the fastest by a little, and against a change where slowdowns are unknown or
// loads are reported.
func TestSlowUpstreamsGetFewerRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	view := &registrar.View{ByService: map[string][]registrar.Upstream{"s": {
		{ID: "near", Service: "s", Slots: 6, FailureDomain: "here"},
		{ID: "far", Service: "s", Slots: 6, FailureDomain: "there"},
		{ID: "slow", Service: "s", Slots: 6, FailureDomain: "here"},
		{ID: "small", Service: "s", Slots: 2, FailureDomain: "here"},
	}}}
	slowdowns := map[string]float64{"near": 1.3, "far": 1, "slow": 4, "small": 1}
	cfg := placer.Config{
		View: func() *registrar.View { return view }, FailureDomain: "here", Random: func(int) int { return 0 },
		Health:   func(string, time.Time) appraiser.Health { return appraiser.Good },
		Slowdown: func(u registrar.Upstream, _ time.Time) float64 { return slowdowns[u.ID] },
	}
	choose := func(p *placer.Placer, n int) (chosen []string) {
		for range n {
			c, ok := p.Choose(placer.Request{Service: "s"}, now)
			require.True(t, ok)
			chosen = append(chosen, c.Upstream.ID)
		}
		return chosen
	}
	require.Equal(t, []string{"near", "far", "near", "far", "near", "small", "far", "near", "slow"}, choose(placer.New(cfg), 9),
		"(requests + 1) x slowdown / slots")
	loaded := placer.New(cfg)
	loaded.RecordLoad("slow", placer.Load{Running: 0, Slots: 6}, now)
	require.Equal(t, []string{"near", "slow", "small", "far"}, choose(loaded, 4), "with load reports")
	cfg.Slowdown = nil
	require.Equal(t, []string{"near", "slow", "small", "far"}, choose(placer.New(cfg), 4), "without slowdowns")
	cfg.Slowdown = func(registrar.Upstream, time.Time) float64 { return 1 }
	view.ByService["s"][1].Slots = 0
	require.Equal(t, []string{"near", "slow", "small", "far"}, choose(placer.New(cfg), 4), "slots that are unknown")
}
