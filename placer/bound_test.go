package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/placer"
	"clementineramp/registrar"
)

// Guards against engines that carry over twice the mean load of their service and 3 while a third of the engines is cold or
// evacuated: the load limit of the others must not follow from their own mean alone, which is half as high again. A hot chat
// presses on the limit of its engines.
func TestLoadLimitCountsUpstreamsThatGetNoRequests(t *testing.T) {
	v := engines(12)
	all := v.ByService["pool"]
	v.ByService["pool"] = all[:8]
	v.Evacuated = map[string][]registrar.Upstream{"pool": all[8:]}
	v.Evacuations = map[string]time.Time{"elsewhere": start}
	p := newPlacer(v, good)
	loads, total := map[string]int{}, 0
	for i := range 160 {
		chat := fmt.Sprint("chat-", i)
		if i%2 == 0 {
			chat = "hot"
		}
		c, ok := p.Choose(placer.Request{Service: "pool", Chat: chat, ChatTokens: 10000}, start)
		require.True(t, ok)
		loads[c.Upstream.ID]++
		total++
		mean := float64(total) / float64(len(all))
		require.LessOrEqual(t, float64(loads[c.Upstream.ID]), 2*mean+3, "after %d requests", total)
	}
}
