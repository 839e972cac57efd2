package relayer_test

import (
	"fmt"
	"net/rpc"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/relayer"
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

// Guards against gateways that name a saturated owner for longer than 5 s, because the lists of peers that they exchange leave
// out for too long that it has become saturated.
func TestListsHoldPeersThatHaveBecomeSaturated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const gateways = 26
		f := newFleet(t, 1, 1, 0)
		synctest.Wait()
		conn, err := f.dial(t.Context(), f.nodes[0], f.nodes[0].address)
		require.NoError(t, err)
		client := rpc.NewClient(conn)
		defer client.Close()
		exchange := func(i int, saturated bool) (listed map[string]bool) {
			var reply relayer.Reply
			require.NoError(t, client.Call("Gateways.Exchange", relayer.Request{
				From: fmt.Sprintf("10.0.1.%d:1", i), HasEra: true, Saturated: saturated,
			}, &reply))
			listed = map[string]bool{}
			for k, a := range reply.OtherPeers.Addresses {
				listed[a.String()] = reply.OtherPeers.Saturated[k]
			}
			return listed
		}
		all := func(saturated bool) {
			time.Sleep(time.Millisecond)
			exchange(0, saturated)
			time.Sleep(time.Millisecond)
			for i := 1; i < gateways; i++ {
				exchange(i, false)
			}
		}
		for _, saturated := range []bool{false, true, false} {
			all(saturated)
		}
		for i := 1; i < gateways; i++ {
			listed := exchange(i, false)
			require.LessOrEqual(t, len(listed), gateways/2)
			require.Contains(t, listed, "10.0.1.0:1")
		}
	})
}
