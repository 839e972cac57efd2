package relayer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/platform"
	"clementineramp/registrar"
)

// remove removes the entry of an upstream.
func (s *eraStore) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at.Revision++
	s.all = append(s.all, platform.Changes{Upstreams: []registrar.Record{{ID: id, Revision: s.at.Revision, Removed: true}}})
}

// refuse makes the store refuse the calls of a gateway, or of none.
func (s *eraStore) refuse(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = address
}

// startBeside lets a gateway fall behind: the store refuses it and the others are killed, after which they start again beside it.
// Meanwhile the store is changed. It calls check for each gateway that has started, often until a while after the one behind
// reaches the store again.
func startBeside(t *testing.T, store *eraStore, change func(), check func(n *node)) {
	t.Helper()
	f := newFleetWithStore(t, 4, 2, 0, store)
	time.Sleep(5 * time.Second)
	behind := f.nodes[0]
	store.refuse(behind.address)
	time.Sleep(time.Second)
	for i := 1; i < 4; i++ {
		f.kill(i)
	}
	change()
	for i := 1; i < 4; i++ {
		time.Sleep(300 * time.Millisecond)
		f.start(i, 0)
	}
	for step := range 500 {
		time.Sleep(10 * time.Millisecond)
		for _, n := range f.nodes[1:] {
			if n.registry.Position() == store.at {
				check(n)
			}
		}
		if step == 300 {
			store.refuse("")
		}
	}
	time.Sleep(registrar.ExpiryGrace) // For the gateway behind, its time without the store was an outage.
	for _, n := range f.nodes {
		n.registry.Refresh(time.Now())
		require.Equal(t, store.at, n.registry.Position())
		check(n)
	}
}

func newEraStore(ids ...string) *eraStore {
	s := &eraStore{at: registrar.Position{Era: 1}}
	s.configure(1)
	for _, id := range ids {
		s.put(id)
	}
	return s
}

func inUse(n *node) (ids []string) {
	for _, u := range n.registry.View().ByService["s"] {
		ids = append(ids, u.ID)
	}
	return ids
}

// Guards against requests to upstreams that are gone: gateways that had started and read the store took them back from the list of
// a peer that was cut off from the store, and kept them.
func TestUpstreamsStayGoneBesideAGatewayBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newEraStore("gone", "kept")
		startBeside(t, store, func() { store.remove("gone"); store.put("new") }, func(n *node) {
			require.Equal(t, []string{"kept", "new"}, inUse(n), n.address)
		})
	})
}

// Guards against a failure domain that no request goes to any more: gateways that had started and read the store took the
// evacuation that had ended from the list of a peer that was cut off from the store, and kept it.
func TestEvacuationStaysEndedBesideAGatewayBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newEraStore("a")
		store.evacuate("ended", false)
		change := func() { store.evacuate("ended", true); store.evacuate("begun", false) }
		startBeside(t, store, change, func(n *node) {
			evacuations := n.registry.View().Evacuations
			require.Len(t, evacuations, 1, n.address)
			require.Contains(t, evacuations, "begun")
		})
	})
}
