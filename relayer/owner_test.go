package relayer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// owners counts the gateways that are up and not excepted by the owner of a service that they name.
func (f *fleet) owners(service string, except ...string) map[string]int {
	counts := map[string]int{}
	for _, n := range f.nodes {
		if n.stop != nil && (len(except) == 0 || n.address != except[0]) {
			counts[n.relayer.Owner(service, time.Now())]++
		}
	}
	return counts
}

// Guards against gateways of one fleet that name different owners of a service, name one before they know the fleet, or give all
// services to the same one; and against an owner that is saturated, was killed, or cannot be reached.
func TestOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const gateways = 26
		f := newFleet(t, gateways, 3, 0)
		only := func(counts map[string]int, of int) string {
			require.Len(t, counts, 1)
			for owner, n := range counts {
				require.Equal(t, of, n)
				return owner
			}
			return ""
		}
		require.Empty(t, only(f.owners("s"), gateways), "nobody knows the fleet")
		time.Sleep(10 * time.Second)
		distinct := map[string]bool{}
		for i := range 20 {
			distinct[only(f.owners(fmt.Sprint("s-", i)), gateways)] = true
		}
		require.Greater(t, len(distinct), 5)

		nodeOf := func(address string) int {
			for i, n := range f.nodes {
				if n.address == address {
					return i
				}
			}
			require.Fail(t, "no such gateway", address)
			return 0
		}
		first := only(f.owners("s"), gateways)
		for _, n := range f.nodes {
			require.NotEqual(t, first, n.relayer.Owner("s", time.Now(), first))
		}
		f.nodes[nodeOf(first)].saturated.Store(true)
		time.Sleep(5 * time.Second)
		second := only(f.owners("s"), gateways)
		require.NotEqual(t, first, second)

		f.kill(nodeOf(second))
		f.closeConnections()
		time.Sleep(10 * time.Second)
		third := only(f.owners("s"), gateways-1)
		require.NotContains(t, []string{first, second}, third)

		f.mu.Lock()
		f.cut = func(a, b string) bool { return a == third || b == third }
		f.mu.Unlock()
		f.closeConnections()
		time.Sleep(10 * time.Second)
		fourth := only(f.owners("s", third), gateways-2)
		require.NotContains(t, []string{first, second, third, ""}, fourth)
		require.Empty(t, f.nodes[nodeOf(third)].relayer.Owner("s", time.Now()), "it reaches no other gateway")
	})
}
