package follower_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"clementineramp/follower"
	"clementineramp/platform"
	"clementineramp/registrar"
)

// inEra returns a document that was read in an era.
func inEra(era, revision uint64, version byte) platform.Document {
	return platform.Document{Era: era, Revision: revision, Data: []byte{version}}
}

// changes returns the changes of a store that has one upstream, with a configuration unless version is zero.
func changes(revision uint64, version byte) platform.Changes {
	c := platform.Changes{Revision: revision, Upstreams: []registrar.Record{record(fmt.Sprint("u", revision), revision)}}
	if version > 0 {
		c.Configuration = document(revision, version)
	}
	return c
}

// Guards against a configuration that is not adopted because the store was restored from an older copy and has given out its
// revision before, and against one of the copy that replaces a newer one.
func TestConfigurationAfterRestore(t *testing.T) {
	s := &fakeStore{state: state{era: 1, revision: 20, all: platform.Changes{Configuration: document(20, 13)}}}
	run(t, s, nil, func(f *follower.Follower, r *registrar.Registry) {
		require.EqualValues(t, 13, f.Current().Table.Version)
		s.set(func(s *state) {
			s.era, s.revision, s.all = 2, 17, platform.Changes{Configuration: document(17, 6)}
		})
		time.Sleep(3 * time.Second)
		require.EqualValues(t, 13, f.Current().Table.Version, "the copy has an older version")
		require.Equal(t, registrar.Position{Era: 2, Revision: 17}, r.Position())
		s.set(func(s *state) { s.next = []platform.Changes{changes(18, 10), changes(19, 13), changes(20, 16)} })
		time.Sleep(5 * time.Second)
		require.EqualValues(t, 16, f.Current().Table.Version)
		require.Len(t, r.View().ByService["s"], 3)
		require.Equal(t, platform.Document{Era: 2, Revision: 20, Version: 16, Data: []byte{16}}, f.Document())
	})
}

// Guards against an era that a single response states by mistake, or does not state, and against a wrong one that locks out
// all later ones: changes are applied in any case.
func TestWrongEra(t *testing.T) {
	for name, eras := range map[string][]uint64{
		"missing": {0}, "missing twice": {0, 0}, "lower": {1}, "lower twice": {1, 1}, "higher": {9}, "higher twice": {9, 9},
		"huge": {1 << 63}, "huge three times": {1 << 63, 1<<64 - 1, 1<<64 - 1}, "different": {9, 1, 4, 8, 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := &fakeStore{state: state{era: 3, revision: 20, all: platform.Changes{Configuration: document(20, 13)}}}
			run(t, s, nil, func(f *follower.Follower, r *registrar.Registry) {
				s.set(func(s *state) { s.eras, s.calls = eras, 0 })
				time.Sleep(4 * time.Second)
				s.set(func(s *state) { require.Less(t, s.calls, 20, "the store is read without a pause") })
				s.set(func(s *state) {
					c := changes(21, 16)
					s.revision, s.all, s.next = 21, c, []platform.Changes{c}
				})
				time.Sleep(3 * time.Second)
				require.EqualValues(t, 16, f.Current().Table.Version)
				require.Equal(t, registrar.Position{Era: 3, Revision: 21}, r.Position())
				require.Len(t, r.View().ByService["s"], 1)
			})
		})
	}
	t.Run("at the start", func(t *testing.T) {
		s := &fakeStore{state: state{era: 3, eras: []uint64{1 << 63}, revision: 20, all: platform.Changes{Configuration: document(20, 13)}}}
		run(t, s, nil, func(f *follower.Follower, r *registrar.Registry) {
			require.EqualValues(t, 13, f.Current().Table.Version)
			time.Sleep(4 * time.Second)
			require.Equal(t, registrar.Position{Era: 3, Revision: 20}, r.Position())
		})
	})
}

// Guards against changes that are missed when the store is restored twice in a row, and is read only in between or after it.
func TestTwoRestoresInARow(t *testing.T) {
	s := &fakeStore{state: state{era: 1, revision: 20, all: platform.Changes{Configuration: document(20, 13)}}}
	run(t, s, nil, func(f *follower.Follower, r *registrar.Registry) {
		s.set(func(s *state) {
			s.era, s.eras, s.revision, s.all = 3, []uint64{2}, 15, changes(15, 6)
		})
		time.Sleep(4 * time.Second)
		require.Equal(t, registrar.Position{Era: 3, Revision: 15}, r.Position())
		require.EqualValues(t, 13, f.Current().Table.Version)
	})
}

// Guards against a version that was lost and is written again with other contents, but is taken for the one known; against a
// process that started before it was written again and stays at the older version of the copy although a peer has the newer
// one; and against any way back.
func TestVersionsOfTwoEras(t *testing.T) {
	f := newFollower(t)
	require.True(t, f.Adopt(inEra(2, 17, 6), time.Now(), "store"), "the copy")
	require.True(t, f.Adopt(inEra(1, 60, 13), time.Now(), "peer"), "a newer version that the store lost")
	require.False(t, f.Adopt(inEra(2, 18, 10), time.Now(), "store"), "an older version that is written again")
	require.False(t, f.Adopt(inEra(1, 59, 12), time.Now(), "peer"), "an older version of the era before")
	require.True(t, f.Adopt(inEra(2, 19, 13), time.Now(), "store"), "the same version, written again")
	require.False(t, f.Adopt(inEra(1, 60, 13), time.Now(), "peer"), "the same version of the era before")
	require.False(t, f.Adopt(inEra(2, 20, 13), time.Now(), "store"), "the same version in the same era")
	require.True(t, f.Adopt(inEra(2, 21, 14), time.Now(), "store"))
	require.True(t, f.Adopt(inEra(1, 61, 15), time.Now(), "peer"))
	require.EqualValues(t, 15, f.Current().Table.Version)
	require.EqualValues(t, 15, f.Document().Version)
}

// Guards against changes that are skipped because a watch that began in one era is answered in the next one, after a peer has
// passed on the list of the next one: the revision that was watched from stands for another change by then.
func TestWatchThatAnEraChangeOvertakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{state: state{era: 1, revision: 20, all: platform.Changes{Configuration: document(20, 13)}}}
		watch := func(ctx context.Context, after uint64, wait time.Duration) (platform.Changes, error) {
			c, err := s.watch(ctx, after, wait)
			if c.Era == 2 && after < 18 {
				c.Configuration = document(18, 16)
			}
			return c, err
		}
		r := registrar.New(registrar.Config{})
		f := follower.New(follower.Config{Store: follower.Store{ReadAll: s.readAll, Watch: watch}, Registry: r, Decode: decode, Log: hclog.NewNullLogger()})
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(500 * time.Millisecond)
		s.set(func(s *state) { s.era, s.revision = 2, 22 })
		r.MergeList(nil, registrar.Position{Era: 2, Revision: 15}, time.Now())
		time.Sleep(3 * time.Second)
		require.Equal(t, registrar.Position{Era: 2, Revision: 22}, r.Position())
		require.EqualValues(t, 16, f.Current().Table.Version)
		cancel()
		synctest.Wait()
	})
}
