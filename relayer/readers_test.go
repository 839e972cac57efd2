package relayer_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/follower"
	"clementineramp/platform"
)

// storeTimeout is the time after which a call to the store without a response fails, beyond the duration of a watch.
const storeTimeout = 500 * time.Millisecond

// setSilent cuts the gateways with the given addresses off from the store, so that their calls get no response, also those that
// have begun.
func (s *eraStore) setSilent(addresses ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = make(map[string]bool)
	for _, a := range addresses {
		s.silent[a] = true
	}
}

func (s *eraStore) isSilent(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent[address]
}

// countCalls returns the number of calls.
func (s *eraStore) countCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// silence makes the calls of a gateway fail late while it is cut off from the store.
func (s *eraStore) silence(address string, client follower.Store) follower.Store {
	count := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.calls++
	}
	return follower.Store{
		ReadAll: func(ctx context.Context) (platform.Changes, error) {
			count()
			if s.isSilent(address) {
				time.Sleep(storeTimeout)
				return platform.Changes{}, errAway
			}
			return client.ReadAll(ctx)
		},
		Watch: func(ctx context.Context, after uint64, wait time.Duration) (platform.Changes, error) {
			count()
			end := time.Now().Add(wait + storeTimeout)
			c, err := client.Watch(ctx, after, wait)
			if s.isSilent(address) {
				time.Sleep(time.Until(end))
				return platform.Changes{}, errAway
			}
			return c, err
		},
	}
}

// Guards against requests to upstreams that have left, and with keys that were taken away, longer than a change may take: those
// gateways that read the store for all are cut off from it, or lose power, or both, at any time before the change. No gateway may
// depend on when it hears of that. Guards against calls to the store that grow with the fleet, too.
func TestChangeIsKnownInTimeWithoutReaders(t *testing.T) {
	const propagation = 2 * time.Second
	for _, c := range []struct {
		gateways, rounds int
		dark             bool
	}{
		{gateways: 5, rounds: 8},
		{gateways: 7, rounds: 8},
		{gateways: 30, rounds: 8},
		{gateways: 300, rounds: 1},
		{gateways: 5, rounds: 8, dark: true},
		{gateways: 7, rounds: 8, dark: true},
		{gateways: 30, rounds: 8, dark: true},
		{gateways: 100, rounds: 1, dark: true},
	} {
		t.Run(fmt.Sprintf("%d gateways, without power: %v", c.gateways, c.dark), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				store := newEraStore("a")
				f := newFleetWithStore(t, c.gateways, 3, 0, store)
				time.Sleep(8 * time.Second)
				before := store.countCalls()
				time.Sleep(5 * time.Second)
				require.LessOrEqual(t, store.countCalls()-before, 30, "calls in 5 s, of which four readers make 20")
				version := byte(1)
				for round := range c.rounds {
					readers, lost := f.readers(), map[string]bool{}
					for _, a := range readers {
						lost[a] = true
					}
					before = store.countCalls()
					store.setSilent(readers...)
					if c.dark {
						f.cutFrom(lost)
					}
					time.Sleep(time.Duration(c.rounds-1-round) * 130 * time.Millisecond)
					version++
					store.configure(version)
					changed := time.Now()
					for _, n := range f.nodes {
						for !lost[n.address] && n.follower.Current().Table.Version != uint64(version) {
							require.Less(t, time.Since(changed), propagation, "round %d, %s", round, n.address)
							time.Sleep(10 * time.Millisecond)
						}
					}
					if round == c.rounds-1 {
						break
					}
					time.Sleep(3 * time.Second)
					require.Less(t, store.countCalls()-before, 2*c.gateways+60, "calls around the loss of the readers")
					store.setSilent()
					f.cutFrom(nil)
					time.Sleep(12 * time.Second)
				}
			})
		})
	}
}

// readers returns the addresses of the gateways that read the store.
func (f *fleet) readers() (readers []string) {
	for _, n := range f.nodes {
		if n.relayer.Reader() {
			readers = append(readers, n.address)
		}
	}
	return readers
}

// Guards against a fleet whose readers are cut off from the store and stay its readers, and against ever more gateways that take
// the place of others while the store is down.
func TestReadersThatDoNotReachTheStoreAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newEraStore("a")
		f := newFleetWithStore(t, 30, 3, 0, store)
		time.Sleep(10 * time.Second)
		set := f.readers()
		require.Len(t, set, 4)
		store.setSilent(set...)
		time.Sleep(5 * time.Second)
		for _, a := range f.readers() {
			require.NotContains(t, set, a)
		}
		require.NotEmpty(t, f.readers())
		store.setSilent()
		time.Sleep(30 * time.Second)
		require.ElementsMatch(t, set, f.readers(), "the readers after the cut")

		before := store.countCalls()
		store.setDown(true)
		time.Sleep(20 * time.Second)
		require.LessOrEqual(t, len(f.readers()), 8)
		require.Less(t, store.countCalls()-before, 600, "calls in 20 s without the store")
		store.setDown(false)
		time.Sleep(30 * time.Second)
		require.ElementsMatch(t, set, f.readers(), "the readers after the outage")
	})
}

// setDown makes all calls fail, or none.
func (s *eraStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}
