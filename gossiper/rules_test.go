package gossiper_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/gossiper"
	"clementineramp/subscriber"
)

func fleet(n, domains int) []subscriber.Host {
	var out []subscriber.Host
	for i := range n {
		out = append(out, subscriber.Host{
			Name: fmt.Sprintf("host-%04d", i), Control: "127.0.0.1:1", Domain: fmt.Sprintf("d%d", i%domains),
			Role: subscriber.RoleAgent, State: subscriber.StateLive,
		})
	}
	return out
}

func TestWatchers(t *testing.T) {
	hosts := fleet(1020, 10)
	first := gossiper.Watchers(hosts, "d3")
	require.Len(t, first, 3)
	require.Empty(t, gossiper.Watchers(hosts, "elsewhere"))
	require.Len(t, gossiper.Watchers(fleet(2, 1), "d0"), 2)

	// When one watcher leaves, the others stay, so that the platform does not receive a burst of new watches.
	for i := range hosts {
		if hosts[i].Name == first[0] {
			hosts[i].State = subscriber.StateLeaving
		}
	}
	next := gossiper.Watchers(hosts, "d3")
	require.Equal(t, first[1:], next[:2])
	require.NotContains(t, next, first[0])
}

func TestFallbackInterval(t *testing.T) {
	require.Equal(t, 15*time.Second, gossiper.FallbackInterval(20, 0))
	require.Equal(t, 12*time.Second, gossiper.FallbackInterval(20, 1))
	require.Equal(t, 61200*time.Millisecond, gossiper.FallbackInterval(1020, 0))
}

// Guards against a burst of reads after an outage that exceeds the platform's read limit and recurs because of the
// refusals.
func TestReconnectRate(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, n := range []int{20, 1020, 4000} {
		perSecond := map[int]int{}
		worst, last := 0, time.Duration(0)
		for range n {
			d := gossiper.RetryDelay(n, 1, random.Float64())
			second := int(d / time.Second)
			perSecond[second]++
			worst, last = max(worst, perSecond[second]), max(last, d)
		}
		t.Logf("%d processes that reconnect at the same time: at most %d reads in a second, the last after %v", n, worst, last)
		require.Less(t, worst, 2000)
	}
}
