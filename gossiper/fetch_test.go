package gossiper_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/configurer"
	"clementineramp/gossiper"
	"clementineramp/standin"
	"clementineramp/subscriber"
)

// Guards against two fetches that wait for each other on a lock: a bubble of virtual time never advances while a
// goroutine waits for a mutex, so that the first fetch, which waits for a frozen peer, would never end.
func TestFetchesOfAFrozenPeerEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const router, peer = "router", "peer"
		n := standin.NewNetwork()
		t.Cleanup(n.Close)
		l, err := n.Endpoint(peer).Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		var wg sync.WaitGroup
		newGossiper := func(name string) *gossiper.Gossiper {
			e := n.Endpoint(name)
			g, err := gossiper.New(gossiper.Config{
				Name: name, Key: key,
				Dial: func(ctx context.Context, address string) (net.Conn, error) { return e.Dial(ctx, "tcp", address) },
			})
			require.NoError(t, err)
			return g
		}
		server := newGossiper(peer)
		wg.Go(func() { _ = server.Serve(l) })

		d := gossiper.NewDistributor(gossiper.DistributorConfig{
			Name: router, Domain: "d0", Holder: configurer.NewHolder(), Gossip: newGossiper(router), Seed: 1,
			Platform: subscriber.New(subscriber.Config{Addresses: nil, Timeout: time.Second}),
			Hosts: func() []subscriber.Host {
				return []subscriber.Host{{Name: peer, Control: l.Addr().String(), Domain: "d0", State: subscriber.StateLive}}
			},
		})
		n.Freeze(peer, true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		// The first query of the start ends after the timeout of 2 s, and then fetches too.
		wg.Go(func() {
			time.Sleep(time.Second)
			d.Observe(l.Addr().String(), configuration(1, 1).id())
		})
		require.NoError(t, d.Run(ctx))
		_ = l.Close()
		server.Close()
		wg.Wait()
	})
}
