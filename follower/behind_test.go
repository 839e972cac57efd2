package follower_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/follower"
	"clementineramp/platform"
	"clementineramp/registrar"
)

// Guards against calls to the store without a pause while its list is behind one without evacuations that a peer has passed on.
func TestReadsWhileTheStoreIsBehind(t *testing.T) {
	s := &fakeStore{state: state{era: 1, revision: 5, all: platform.Changes{Configuration: document(2, 1)}}}
	run(t, s, nil, func(_ *follower.Follower, r *registrar.Registry) {
		s.set(func(s *state) { s.era = 2 })
		require.True(t, r.MergePeerUpstreams(nil, 1, registrar.Position{Era: 2, Revision: 9}, time.Now(), time.Now()))
		before := s.count()
		time.Sleep(3 * time.Second)
		require.True(t, r.LacksEvacuations())
		require.Less(t, s.count()-before, 20)
		s.set(func(s *state) { s.revision = 9 })
		time.Sleep(time.Second)
		require.False(t, r.LacksEvacuations())
	})
}
