package follower_test

import (
	"errors"
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

// Guards against a refusal of routes and keys that the configuration in the store may allow: it could not be decoded, and an older
// one of a peer that was behind made that forgotten. Nor does one that a peer holds from an earlier era and that cannot be decoded
// make the current one count as replaced.
func TestConfigurationOfAPeerBehind(t *testing.T) {
	unreadable := func(era, revision, version uint64) platform.Document {
		return platform.Document{Era: era, Revision: revision, Version: version}
	}
	older := inEra(1, 60, 8)
	older.Version = 8
	f := newFollower(t)
	require.True(t, f.Adopt(inEra(2, 17, 9), time.Now(), "store"))
	require.False(t, f.Adopt(unreadable(1, 60, 8), time.Now(), "peer"))
	require.False(t, f.Current().Superseded, "an older one of a peer")
	require.False(t, f.Adopt(unreadable(2, 18, 0), time.Now(), "store"))
	require.True(t, f.Current().Superseded)
	require.False(t, f.Adopt(older, time.Now(), "peer"))
	require.True(t, f.Current().Superseded, "an older one of a peer")
	require.False(t, f.Adopt(inEra(3, 10, 8), time.Now(), "store"))
	require.False(t, f.Current().Superseded, "the store was restored from a copy with an older one")
	newer := inEra(3, 11, 10)
	newer.Version = 10
	require.True(t, f.Adopt(newer, time.Now(), "peer"))
	same := inEra(4, 9, 10)
	same.Version = 10
	require.True(t, f.Adopt(same, time.Now(), "peer"), "the same version, written again in a later era")
	require.False(t, f.Adopt(unreadable(4, 10, 11), time.Now(), "peer"))
	require.True(t, f.Current().Superseded, "a newer one of a peer that cannot be decoded here")
}

// Guards against a change that takes effect too late because the processes that read the store are gone, and against calls without
// end while the store is down.
func TestRenewalOfAConfirmation(t *testing.T) {
	s := &fakeStore{state: state{revision: 5, all: platform.Changes{Configuration: document(3, 1)}}}
	run(t, s, func() bool { return false }, func(f *follower.Follower, _ *registrar.Registry) {
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			f.Confirm(time.Now())
		}
		s.set(func(s *state) { s.next = []platform.Changes{{Revision: 9, Configuration: document(8, 2)}} })
		time.Sleep(follower.DefaultPropagation - 100*time.Millisecond)
		require.EqualValues(t, 2, f.Current().Table.Version, "the change has not taken effect in time")

		s.set(func(s *state) { s.err = errors.New("down") })
		time.Sleep(follower.DefaultPropagation)
		before := s.count()
		for range 100 {
			time.Sleep(100 * time.Millisecond)
		}
		require.LessOrEqual(t, s.count()-before, 60)
	})
}

// Guards against a process that never learns that it reaches the store again, and so takes the place of no reader: its last call
// failed, and peers have confirmed the configuration since.
func TestProcessWhoseLastCallFailedCallsAgain(t *testing.T) {
	s := &fakeStore{state: state{revision: 5, all: platform.Changes{Configuration: document(3, 1)}}}
	run(t, s, func() bool { return false }, func(f *follower.Follower, _ *registrar.Registry) {
		s.set(func(s *state) { s.err = errors.New("cut off") })
		time.Sleep(2 * time.Second)
		require.False(t, f.Reached())
		before := s.count()
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			f.Confirm(time.Now())
		}
		require.LessOrEqual(t, s.count()-before, 50)
		s.set(func(s *state) { s.err = nil })
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			f.Confirm(time.Now())
		}
		require.True(t, f.Reached())
		before = s.count()
		f.Confirm(time.Now())
		time.Sleep(time.Second)
		require.Equal(t, before, s.count())
	})
}
