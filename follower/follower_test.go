package follower_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"clementineramp/follower"
	"clementineramp/mapper"
	"clementineramp/platform"
	"clementineramp/registrar"
)

// fakeStore is a store whose answers come from a state that tests change between calls.
type fakeStore struct {
	mu sync.Mutex
	state
}

type state struct {
	err error
	// era is the era that the store states; eras holds those of the next responses, of which zero means none.
	era      uint64
	eras     []uint64
	revision uint64
	all      platform.Changes
	next     []platform.Changes
	calls    int
}

// set applies change to the state under the lock.
func (s *fakeStore) set(change func(*state)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.state)
}

// count returns the number of calls received so far.
func (s *fakeStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeStore) readAll(context.Context) (platform.Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.err != nil {
		return platform.Changes{}, s.err
	}
	c := s.all
	c.Revision = s.revision
	return s.stamp(c), nil
}

// stamp sets the era of a response.
func (s *state) stamp(c platform.Changes) platform.Changes {
	c.Era = s.era
	if len(s.eras) > 0 {
		c.Era, s.eras = s.eras[0], s.eras[1:]
	}
	c.HasEra = c.Era > 0
	if c.Configuration != nil {
		d := *c.Configuration
		d.Era = c.Era
		c.Configuration = &d
	}
	return c
}

// poll returns the next pending changes, with ok set, or none and the current revision.
func (s *fakeStore) poll(after uint64) (c platform.Changes, ok bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return c, false, s.err
	}
	if len(s.next) > 0 {
		c, s.next = s.next[0], s.next[1:]
		return s.stamp(c), true, nil
	}
	return s.stamp(platform.Changes{Revision: max(after, s.revision)}), false, nil
}

func (s *fakeStore) watch(ctx context.Context, after uint64, wait time.Duration) (platform.Changes, error) {
	s.set(func(s *state) { s.calls++ })
	if c, ok, err := s.poll(after); ok || err != nil {
		return c, err
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	c, _, err := s.poll(after)
	return c, err
}

func decode(data []byte) (*mapper.Table, error) {
	if len(data) != 1 {
		return nil, errors.New("bad")
	}
	return (&mapper.Table{Version: uint64(data[0])}).Build(), nil
}

func document(revision uint64, version byte) *platform.Document {
	return &platform.Document{Revision: revision, Data: []byte{version}}
}

func record(id string, revision uint64) registrar.Record {
	return registrar.Record{ID: id, Revision: revision, Upstream: registrar.Upstream{ID: id, Service: "s"}}
}

// run calls test while a follower runs in a synctest bubble.
func run(t *testing.T, s *fakeStore, reader func() bool, test func(f *follower.Follower, r *registrar.Registry)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := registrar.New(registrar.Config{})
		f := follower.New(follower.Config{
			Store: follower.Store{ReadAll: s.readAll, Watch: s.watch}, Registry: r, Decode: decode, Reader: reader,
			Log: hclog.NewNullLogger(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		synctest.Wait()
		test(f, r)
		cancel()
		synctest.Wait()
	})
}

// newFollower returns a follower that does not run.
func newFollower(t *testing.T) *follower.Follower {
	t.Helper()
	return follower.New(follower.Config{Registry: registrar.New(registrar.Config{}), Decode: decode, Log: hclog.NewNullLogger()})
}

func TestChangesAreApplied(t *testing.T) {
	s := &fakeStore{state: state{revision: 5, all: platform.Changes{Configuration: document(3, 1), Upstreams: []registrar.Record{record("a", 4)}}}}
	run(t, s, nil, func(f *follower.Follower, r *registrar.Registry) {
		require.True(t, f.Ready())
		require.EqualValues(t, 1, f.Current().Table.Version)
		s.set(func(s *state) {
			s.next = []platform.Changes{{Revision: 9, Configuration: document(8, 2), Upstreams: []registrar.Record{{ID: "a", Revision: 9, Removed: true}}}}
		})
		time.Sleep(1100 * time.Millisecond)
		require.EqualValues(t, 2, f.Current().Table.Version)
		require.Empty(t, r.View().ByService["s"])
	})
}

func TestOlderConfigurationIsRejected(t *testing.T) {
	s := &fakeStore{state: state{revision: 5, all: platform.Changes{Configuration: document(5, 4)}}}
	run(t, s, nil, func(f *follower.Follower, _ *registrar.Registry) {
		require.False(t, f.Adopt(*document(4, 9), time.Now(), "peer"), "an older revision")
		require.False(t, f.Adopt(*document(6, 4), time.Now(), "peer"), "the same version")
		require.False(t, f.Adopt(platform.Document{Revision: 7, Data: []byte("xx")}, time.Now(), "peer"), "unreadable")
		require.EqualValues(t, 4, f.Current().Table.Version)
		require.True(t, f.Adopt(*document(8, 5), time.Now(), "peer"))
	})
}

func TestCompactionCausesFullRead(t *testing.T) {
	s := &fakeStore{state: state{revision: 5, all: platform.Changes{Configuration: document(3, 1)}}}
	run(t, s, nil, func(f *follower.Follower, _ *registrar.Registry) {
		s.set(func(s *state) { s.err = platform.ErrCompacted })
		time.Sleep(1050 * time.Millisecond)
		s.set(func(s *state) { s.err = nil })
		s.set(func(s *state) { s.revision, s.all = 30, platform.Changes{Configuration: document(29, 7)} })
		time.Sleep(1100 * time.Millisecond)
		require.EqualValues(t, 7, f.Current().Table.Version)
	})
}

func TestRecoversWhenStoreReturns(t *testing.T) {
	s := &fakeStore{state: state{err: errors.New("down")}}
	run(t, s, nil, func(f *follower.Follower, _ *registrar.Registry) {
		require.False(t, f.Ready())
		time.Sleep(10 * time.Second)
		calls := s.count()
		require.Less(t, calls, 60, "the store is called too often during an outage")
		s.set(func(s *state) { s.err = nil })
		s.set(func(s *state) { s.revision, s.all = 5, platform.Changes{Configuration: document(3, 1)} })
		time.Sleep(800 * time.Millisecond)
		require.True(t, f.Ready())
	})
}

func TestEntriesExpiredDuringOutageStayInUse(t *testing.T) {
	s := &fakeStore{state: state{revision: 5, all: platform.Changes{Configuration: document(3, 1), Upstreams: []registrar.Record{record("a", 4), record("b", 4)}}}}
	run(t, s, nil, func(_ *follower.Follower, r *registrar.Registry) {
		s.set(func(s *state) { s.err = errors.New("down") })
		time.Sleep(6 * time.Second)
		s.set(func(s *state) { s.err = nil })
		s.set(func(s *state) { s.revision, s.all.Upstreams = 20, nil })
		time.Sleep(time.Second)
		require.Len(t, r.View().ByService["s"], 2)
		s.set(func(s *state) {
			s.next = []platform.Changes{{Revision: 25, Upstreams: []registrar.Record{record("a", 24)}}}
		})
		time.Sleep(3 * time.Second)
		r.Refresh(time.Now())
		require.Len(t, r.View().ByService["s"], 1)
	})
}

// TestFailedCallIsNoOutage guards against taking refused calls of one process for an outage, which made the removal of a
// leaving upstream look like an expired entry.
func TestFailedCallIsNoOutage(t *testing.T) {
	s := &fakeStore{state: state{revision: 5, all: platform.Changes{Configuration: document(3, 1), Upstreams: []registrar.Record{record("a", 4)}}}}
	run(t, s, nil, func(f *follower.Follower, r *registrar.Registry) {
		s.set(func(s *state) { s.err = platform.ErrRefused })
		for range 50 { // Meanwhile, peers that reach the store confirm the configuration.
			time.Sleep(100 * time.Millisecond)
			f.PeerReachedStore(time.Now(), time.Time{})
			f.Confirm(time.Now())
		}
		r.MergeChanges([]registrar.Record{{ID: "a", Revision: 9, Removed: true}}, registrar.Position{Revision: 5}, registrar.Position{Revision: 9}, time.Now())
		require.Empty(t, r.View().ByService["s"])
	})
}

// TestUnresponsivePeersAreNoOutage guards against taking 2.2 s without a message from a reader for an outage, which made
// the removal of a leaving upstream look like an expired entry.
func TestUnresponsivePeersAreNoOutage(t *testing.T) {
	s := &fakeStore{state: state{revision: 5, all: platform.Changes{Configuration: document(3, 1), Upstreams: []registrar.Record{record("a", 4)}}}}
	run(t, s, nil, func(f *follower.Follower, r *registrar.Registry) {
		s.set(func(s *state) { s.err = platform.ErrRefused })
		time.Sleep(4 * time.Second)
		f.PeerReachedStore(time.Now(), time.Time{})
		f.Confirm(time.Now())
		r.MergeChanges([]registrar.Record{{ID: "a", Revision: 9, Removed: true}}, registrar.Position{Revision: 5}, registrar.Position{Revision: 9}, time.Now())
		require.Empty(t, r.View().ByService["s"])
	})
}

func TestOutageReportedByPeerCounts(t *testing.T) {
	s := &fakeStore{state: state{revision: 5, all: platform.Changes{Configuration: document(3, 1), Upstreams: []registrar.Record{record("a", 4)}}}}
	run(t, s, nil, func(f *follower.Follower, r *registrar.Registry) {
		s.set(func(s *state) { s.err = errors.New("down") })
		time.Sleep(4 * time.Second)
		f.PeerReachedStore(time.Now(), time.Now().Add(-100*time.Millisecond))
		f.Confirm(time.Now())
		r.MergeChanges([]registrar.Record{{ID: "a", Revision: 9, Removed: true}}, registrar.Position{Revision: 5}, registrar.Position{Revision: 9}, time.Now())
		require.Len(t, r.View().ByService["s"], 1)
	})
}

// Guards against times of outages that fit one deployment only: where upstreams renew their entries every 0.4 s, all entries
// expire in an outage of 1.5 s, and where they do so every 3 s, none does in one of 4 s.
func TestOutageDependsOnHeartbeat(t *testing.T) {
	for _, c := range []struct {
		heartbeat, outage time.Duration
		inUse             int
	}{
		{400 * time.Millisecond, 1500 * time.Millisecond, 1},
		{400 * time.Millisecond, 300 * time.Millisecond, 0},
		{3 * time.Second, 4 * time.Second, 0},
		{3 * time.Second, 7 * time.Second, 1},
	} {
		t.Run(fmt.Sprint(c.heartbeat, " ", c.outage), func(t *testing.T) {
			s := &fakeStore{state: state{revision: 5, all: platform.Changes{Configuration: document(3, 1), Upstreams: []registrar.Record{record("a", 4)}}}}
			synctest.Test(t, func(t *testing.T) {
				r := registrar.New(registrar.Config{})
				f := follower.New(follower.Config{
					Store: follower.Store{ReadAll: s.readAll, Watch: s.watch}, Registry: r, Decode: decode, Heartbeat: c.heartbeat,
					Wait: 100 * time.Millisecond, Log: hclog.NewNullLogger(),
				})
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { defer close(done); f.Run(ctx) }()
				time.Sleep(time.Second)
				s.set(func(s *state) { s.err = errors.New("down") })
				time.Sleep(c.outage)
				s.set(func(s *state) {
					s.err = nil
					s.all, s.revision = platform.Changes{Configuration: document(3, 1), Revision: 9}, 9
					s.next = []platform.Changes{{Upstreams: []registrar.Record{{ID: "a", Revision: 9, Removed: true}}, Revision: 9}}
				})
				time.Sleep(time.Second)
				require.Len(t, r.View().ByService["s"], c.inUse)
				cancel()
				<-done
			})
		})
	}
}

func TestNonReaderReadsOnlyWithoutConfirmation(t *testing.T) {
	s := &fakeStore{state: state{revision: 5, all: platform.Changes{Configuration: document(3, 1)}}}
	run(t, s, func() bool { return false }, func(f *follower.Follower, _ *registrar.Registry) {
		require.True(t, f.Ready(), "a process without a configuration does not read the store")
		before := s.count()
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			f.Confirm(time.Now())
		}
		require.LessOrEqual(t, s.count(), before+5, "the store is read although a peer confirms the configuration")
		before = s.count()
		time.Sleep(4 * time.Second)
		require.Greater(t, s.count(), before, "the store is not read although no peer confirms the configuration")
	})
}

// Guards against a call to the store for each of many upstreams that start one after the other.
func TestChangesInQuickSuccessionTakeFewCalls(t *testing.T) {
	s := &fakeStore{state: state{revision: 5, all: platform.Changes{Configuration: document(3, 1), Revision: 5}}}
	run(t, s, nil, func(_ *follower.Follower, r *registrar.Registry) {
		s.set(func(s *state) {
			s.calls = 0
			for i := range uint64(20) {
				s.next = append(s.next, platform.Changes{Revision: 6 + i, Upstreams: []registrar.Record{record(fmt.Sprint("u", i), 6+i)}})
			}
		})
		time.Sleep(2 * time.Second)
		s.set(func(s *state) { require.LessOrEqual(t, s.calls, 8) })
		time.Sleep(4 * time.Second) // This store returns one change for each call.
		require.Len(t, r.View().ByService["s"], 20)
	})
}

// Guards against processes that read the store themselves because confirmations reach them with the age of a whole watch.
func TestEmptyWatchConfirmsItsEnd(t *testing.T) {
	s := &fakeStore{state: state{revision: 5, all: platform.Changes{Configuration: document(3, 1), Revision: 5}}}
	run(t, s, nil, func(f *follower.Follower, _ *registrar.Registry) {
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			require.LessOrEqual(t, time.Since(f.Current().Confirmed), follower.DefaultWait+300*time.Millisecond)
		}
		time.Sleep(follower.DefaultWait)
		synctest.Wait()
		require.Less(t, time.Since(f.Current().Confirmed), follower.DefaultWait)
	})
}

// Guards against a fleet in which each process watches the store until the first configuration is published.
func TestProcessThatIsNoReaderWaitsForFirstConfiguration(t *testing.T) {
	s := &fakeStore{state: state{revision: 5, all: platform.Changes{Revision: 5}}}
	run(t, s, func() bool { return false }, func(f *follower.Follower, _ *registrar.Registry) {
		s.set(func(s *state) { s.calls = 0 })
		time.Sleep(100 * time.Millisecond)
		s.set(func(s *state) { require.Zero(t, s.calls) })
		require.True(t, f.Adopt(*document(6, 1), time.Now(), "peer"))
		require.True(t, f.Ready())
	})
}

// Guards against a refusal of unknown routes and keys that is final although the store holds a newer configuration, which this
// process cannot decode.
func TestRefusedConfigurationSupersedes(t *testing.T) {
	f := follower.New(follower.Config{Registry: registrar.New(registrar.Config{}), Decode: decode, Log: hclog.NewNullLogger()})
	odd := func(revision uint64) platform.Document {
		return platform.Document{Revision: revision, Data: []byte("xx")}
	}
	require.False(t, f.Adopt(odd(1), time.Now(), "store"))
	require.True(t, f.Adopt(*document(2, 1), time.Now(), "store"))
	require.False(t, f.Current().Superseded)
	require.False(t, f.Adopt(odd(3), time.Now(), "store"))
	require.True(t, f.Current().Superseded)
	require.EqualValues(t, 1, f.Current().Table.Version)
	require.True(t, f.Adopt(*document(4, 2), time.Now(), "store"))
	require.False(t, f.Current().Superseded)
	require.False(t, f.Adopt(odd(5), time.Now(), "store"))
	require.False(t, f.Adopt(*document(6, 2), time.Now(), "store"), "the version in force is written again")
	require.False(t, f.Current().Superseded)
	require.False(t, f.Adopt(odd(1), time.Now(), "store"), "an older revision")
	require.False(t, f.Current().Superseded)
}
