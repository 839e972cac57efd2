package relayer_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/follower"
	"clementineramp/platform"
	"clementineramp/registrar"
)

// eraStore is a store in memory that can be restored from an older copy.
type eraStore struct {
	mu sync.Mutex
	// at is the present position, and all holds the changes up to it.
	at  registrar.Position
	all []platform.Changes
	// down is set while no call succeeds; the calls of the gateway refused never do.
	down    bool
	refused string
	// lists counts the full reads, and calls all calls.
	lists, calls int
	// silent holds the gateways whose calls get no response.
	silent map[string]bool
}

var errAway = errors.New("the store is away")

// client returns the store's functions for a gateway; those of a nil store are not called.
func (s *eraStore) client(address string) follower.Store {
	return s.silence(address, follower.Store{
		ReadAll: func(context.Context) (platform.Changes, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.lists++
			return s.since(0, address)
		},
		Watch: func(ctx context.Context, after uint64, wait time.Duration) (platform.Changes, error) {
			return s.watch(ctx, address, after, wait)
		},
	})
}

func (s *eraStore) watch(ctx context.Context, address string, after uint64, wait time.Duration) (platform.Changes, error) {
	const step = 10 * time.Millisecond
	for ; ; wait -= step {
		s.mu.Lock()
		c, err := s.since(after, address)
		s.mu.Unlock()
		if err != nil || wait <= 0 || c.Revision > after || ctx.Err() != nil {
			return c, err
		}
		time.Sleep(step)
	}
}

// since returns the changes after a revision. The caller holds s.mu.
func (s *eraStore) since(after uint64, address string) (platform.Changes, error) {
	switch {
	case s.down || address == s.refused:
		return platform.Changes{}, errAway
	case after > s.at.Revision:
		return platform.Changes{}, platform.ErrCompacted
	}
	all := platform.Changes{Era: s.at.Era, HasEra: true, Revision: s.at.Revision}
	last := make(map[string]registrar.Record)
	for _, c := range s.all[after:] {
		if c.Configuration != nil {
			d := *c.Configuration
			d.Era = s.at.Era
			all.Configuration = &d
		}
		for _, rec := range c.Upstreams {
			last[rec.ID] = rec
		}
	}
	for _, rec := range last {
		if after > 0 || !rec.Removed {
			all.Upstreams = append(all.Upstreams, rec)
		}
	}
	return all, nil
}

// configure writes a configuration, and put an upstream.
func (s *eraStore) configure(version byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at.Revision++
	s.all = append(s.all, platform.Changes{Configuration: &platform.Document{Revision: s.at.Revision, Data: []byte{version}}})
}

func (s *eraStore) put(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at.Revision++
	s.all = append(s.all, platform.Changes{Upstreams: []registrar.Record{upstreamRecord(id, s.at.Revision)}})
}

// evacuate writes the evacuation of a failure domain, or its end.
func (s *eraStore) evacuate(domain string, end bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at.Revision++
	rec := registrar.Record{ID: domain, Revision: s.at.Revision, Evacuation: true, Removed: end}
	s.all = append(s.all, platform.Changes{Upstreams: []registrar.Record{rec}})
}

// countLists returns the number of full reads.
func (s *eraStore) countLists() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists
}

// restore brings the store back from a copy of an earlier revision, after a time in which it is away.
func (s *eraStore) restore(revision uint64, away time.Duration) {
	s.mu.Lock()
	s.down = true
	s.mu.Unlock()
	time.Sleep(away)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at = registrar.Position{Era: s.at.Era + 1, Revision: revision}
	s.all, s.down = s.all[:revision], false
}

// Guards against a fleet that does not follow a restored store in time, with gateways that the store refuses, others that are
// killed and start again, and a second restore; against a way back; and against a load of calls on the store, or of bytes
// between gateways, that grows with the fleet.
func TestFleetFollowsARestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const gateways, upstreams = 100, 180
		s := &eraStore{at: registrar.Position{Era: 1}}
		for i := range upstreams {
			s.put(fmt.Sprint("i-", i))
		}
		s.configure(4)
		copied := s.at.Revision
		f := newFleetWithStore(t, gateways, 5, upstreams, s)
		time.Sleep(20 * time.Second)
		s.put("new")
		s.configure(13)
		for i := range 5 {
			s.put(fmt.Sprint("later-", i))
		}
		time.Sleep(4 * time.Second)
		require.Equal(t, gateways, f.knowing(s.at, 13))
		s.mu.Lock()
		s.refused = f.nodes[3].address
		s.mu.Unlock()

		for round, wait := range []time.Duration{propagation / 2, 10 * time.Second} {
			lists, bytes := s.countLists(), f.bytes.Load()
			s.restore(copied, 2*time.Second)
			for i := 10; i < 40; i++ {
				f.kill(i)
				f.start(i, upstreams)
			}
			time.Sleep(500 * time.Millisecond)
			s.configure(13)
			s.put("new")
			s.configure(byte(16 + round))
			time.Sleep(wait)
			lists, bytes = s.countLists()-lists, (f.bytes.Load()-bytes)/gateways
			t.Logf("%v after the changes: %d gateways know them, %d full reads since the restore, %d bytes for each gateway", wait, f.knowing(s.at, uint64(16+round)), lists, bytes)
			require.Equal(t, gateways, f.knowing(s.at, uint64(16+round)))
			require.Less(t, lists, gateways)
		}
		for _, n := range f.nodes {
			n.registry.Refresh(time.Now())
			require.Len(t, n.registry.View().ByService["s"], upstreams+1, n.address)
		}
	})
}
