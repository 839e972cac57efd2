package relayer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/registrar"
)

// Guards against a notice of the store that upstreams are leaving which spreads so slowly that gateways would need to tell each
// other what upstreams say of themselves: a reader of the store has it, and all of 100 gateways know it within a second.
func TestLeavingNoticeReachesLargeFleet(t *testing.T) {
	const leave = 9
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 100, 5, 90)
		time.Sleep(10 * time.Second)
		reader := f.nodes[7]
		var records []registrar.Record
		for i, u := range reader.registry.View().ByService["s"][:leave] {
			u.Leaving = true
			records = append(records, registrar.Record{ID: u.ID, Revision: uint64(2 + i), Upstream: u})
		}
		reader.registry.MergeChanges(records, registrar.Position{Revision: 1}, registrar.Position{Revision: 1 + leave}, time.Now())
		reader.relayer.NotifyPeers()
		start := time.Now()
		informed := func() (n int) {
			for _, node := range f.nodes {
				if len(node.registry.View().Leaving["s"]) == leave {
					n++
				}
			}
			return n
		}
		half := time.Duration(0)
		for informed() < len(f.nodes) {
			require.Less(t, time.Since(start), time.Second, "%d of 100 gateways know", informed())
			if half == 0 && informed() >= 50 {
				half = time.Since(start)
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("half of the gateways know after %v, all after %v", half, time.Since(start))
	})
}
