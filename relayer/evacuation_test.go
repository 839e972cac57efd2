package relayer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/platform"
	"clementineramp/registrar"
	"clementineramp/relayer"
)

// evacuating returns the number of gateways that know that a failure domain is evacuated.
func (f *fleet) evacuating(domain string) (n int) {
	for _, node := range f.nodes {
		if _, ok := node.registry.View().Evacuations[domain]; ok {
			n++
		}
	}
	return n
}

// Guards against a large fleet in which gateways learn of an evacuation or of its end late.
func TestEvacuationIsKnownInLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 100, 5, 90)
		time.Sleep(10 * time.Second)
		reader, revision := f.nodes[7], uint64(1)
		for _, end := range []bool{false, true} {
			rec := registrar.Record{ID: "domain-3", Revision: revision + 1, Evacuation: true, Removed: end}
			require.True(t, reader.registry.MergeChanges([]registrar.Record{rec}, at(0, revision), at(0, revision+1), time.Now()))
			reader.relayer.NotifyPeers()
			revision++
			start, want := time.Now(), map[bool]int{false: 100, true: 0}[end]
			for f.evacuating("domain-3") != want {
				require.Less(t, time.Since(start), time.Second, "%d of 100 gateways have it as evacuated", f.evacuating("domain-3"))
				time.Sleep(10 * time.Millisecond)
			}
			t.Logf("end %v: known to all gateways after %v", end, time.Since(start))
			time.Sleep(2 * time.Second)
		}
	})
}

// Guards against evacuations that a gateway does not learn because it does not reach the store, started while the store is down,
// or was cut off from its peers while they were set; and against one that an outage ends.
func TestEvacuationReachesGatewaysWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &eraStore{at: registrar.Position{Era: 1}}
		s.put("i-0")
		s.configure(4)
		f := newFleetWithStore(t, 12, 3, 1, s)
		time.Sleep(10 * time.Second)
		s.mu.Lock()
		s.refused = f.nodes[5].address
		s.mu.Unlock()
		lone := f.nodes[6]
		f.mu.Lock()
		f.cut = func(a, b string) bool { return a == lone.address || b == lone.address }
		for _, c := range f.conns {
			_ = c.Close()
		}
		f.mu.Unlock()
		s.evacuate("domain-1", false)
		time.Sleep(2 * time.Second)
		require.GreaterOrEqual(t, f.evacuating("domain-1"), 11)
		time.Sleep(4 * time.Second)
		require.Equal(t, 12, f.evacuating("domain-1"), "the gateway that is cut off from its peers reads the store itself")

		f.mu.Lock()
		f.cut = nil
		f.mu.Unlock()
		s.mu.Lock()
		s.down = true
		s.mu.Unlock()
		for i := 6; i < 12; i++ {
			f.kill(i)
			f.start(i, 1)
		}
		time.Sleep(5 * time.Second)
		require.Equal(t, 12, f.evacuating("domain-1"), "gateways that start while the store is down")
		s.mu.Lock()
		s.down = false
		s.mu.Unlock()
		s.evacuate("domain-1", true)
		s.evacuate("domain-1", false)
		s.evacuate("domain-2", false)
		s.evacuate("domain-2", true)
		time.Sleep(5 * time.Second)
		require.Equal(t, 12, f.evacuating("domain-1"))
		require.Zero(t, f.evacuating("domain-2"))
	})
}

// Guards against a peer of the previous version whose whole list ends evacuations, or whose position hides those that it does
// not know; the gateway learns them later from the store or a peer of this version.
func TestPeerOfThePreviousVersionEndsNoEvacuation(t *testing.T) {
	for _, whole := range []bool{false, true} {
		g := &gatewayWithoutEras{reply: relayer.Reply{
			Records: []registrar.Record{upstreamRecord("u", 50)}, Whole: whole, Complete: 60, Era: 1, HasEra: true, Reached: true,
		}}
		address := g.serve(t)
		a := newGateway(t, true)
		require.True(t, a.follower.Adopt(platform.Document{Era: 1, Revision: 10, Data: []byte{7}}, time.Now(), "store"))
		evacuation := registrar.Record{ID: "z", Revision: 8, Evacuation: true}
		a.registry.MergeList([]registrar.Record{upstreamRecord("u", 9), evacuation}, at(1, 10), time.Now())
		g.meet(t, a.address, address)
		require.Contains(t, a.registry.View().Evacuations, "z")
		require.EqualValues(t, 50, a.registry.NewestRevision(), "the peer's records are not used")
		require.Equal(t, at(1, 10), a.registry.Position(), "evacuations between 10 and 60 are never asked for")
	}
}

// Guards against a gateway whose first list is that of a peer of the previous version: it must not say that it knows all
// evacuations, and must learn them once the store or a peer that knows them is reached.
func TestFirstListWithoutEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &eraStore{at: registrar.Position{Era: 1}}
		s.put("i-0")
		s.configure(4)
		s.evacuate("z", false)
		s.down = true
		f := newFleetWithStore(t, 6, 1, 1, s)
		for _, n := range f.nodes {
			n.registry.MergePeerUpstreams([]registrar.Record{upstreamRecord("i-0", 1)}, 0, at(1, 3), time.Now(), time.Now())
		}
		time.Sleep(3 * time.Second)
		require.Zero(t, f.evacuating("z"))
		for _, n := range f.nodes {
			require.True(t, n.registry.LacksEvacuations(), "a list without evacuations counts as one with them")
		}
		f.nodes[2].registry.MergeList([]registrar.Record{upstreamRecord("i-0", 1), {ID: "z", Revision: 3, Evacuation: true}}, at(1, 3), time.Now())
		time.Sleep(5 * time.Second)
		require.Equal(t, 6, f.evacuating("z"), "learnt from peers")
		for _, n := range f.nodes {
			require.False(t, n.registry.LacksEvacuations())
		}
	})
}

// Guards against a store that is not read by gateways which lack the evacuations before their position.
func TestEvacuationsAreReadOnceTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &eraStore{at: registrar.Position{Era: 1}}
		s.put("i-0")
		s.configure(4)
		s.evacuate("z", false)
		s.down = true
		f := newFleetWithStore(t, 6, 1, 1, s)
		for _, n := range f.nodes {
			n.registry.MergePeerUpstreams([]registrar.Record{upstreamRecord("i-0", 1)}, 0, at(1, 3), time.Now(), time.Now())
		}
		time.Sleep(3 * time.Second)
		s.mu.Lock()
		s.down = false
		s.mu.Unlock()
		time.Sleep(2 * time.Second)
		require.Equal(t, 6, f.evacuating("z"))
		lists := s.countLists()
		time.Sleep(5 * time.Second)
		require.LessOrEqual(t, s.countLists(), lists+1, "the store is read on and on")
	})
}
