package registrar_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"clementineramp/registrar"
)

// eraStore is a store in memory that can be restored from an older copy.
type eraStore struct {
	at       registrar.Position
	changes  []registrar.Record // By revision, from one on.
	copiedAt uint64
	// left holds the incarnations that have ever been leaving.
	left map[registrar.Incarnation]bool
}

func (s *eraStore) write(rec registrar.Record) {
	s.at.Revision++
	rec.Revision = s.at.Revision
	if !rec.Removed && s.left[rec.Upstream.Incarnation()] {
		rec.Upstream.Leaving = true // An upstream that is leaving does not come back.
	}
	if rec.Upstream.Leaving {
		s.left[rec.Upstream.Incarnation()] = true
	}
	s.changes = append(s.changes, rec)
}

func (s *eraStore) restore() {
	s.at = registrar.Position{Era: s.at.Era + 1, Revision: s.copiedAt}
	s.changes = s.changes[:s.copiedAt]
}

// list returns the entries by ID.
func (s *eraStore) list() map[string]registrar.Record {
	all := make(map[string]registrar.Record)
	for _, rec := range s.changes {
		if all[rec.ID] = rec; rec.Removed {
			delete(all, rec.ID)
		}
	}
	return all
}

// read merges the whole list into a registry.
func (s *eraStore) read(r *registrar.Registry, now time.Time) {
	var list []registrar.Record
	for _, rec := range s.list() {
		list = append(list, rec)
	}
	r.MergeList(list, s.at, now)
}

// watch merges the changes since the position of a registry, if it is in the era of the store.
func (s *eraStore) watch(r *registrar.Registry, now time.Time) {
	if since := r.Position(); since.Era == s.at.Era && since.Revision > 0 {
		r.MergeChanges(s.changes[since.Revision:], since, s.at, now)
	}
}

// exchange merges what a peer has into a registry, as package relayer does.
func exchange(r, peer *registrar.Registry, now time.Time) {
	since := r.Position()
	if since.Era > peer.Position().Era {
		return
	}
	if records, to, whole := peer.RecordsSince(since); !whole {
		r.MergeChanges(records, since, to, now)
	} else {
		r.MergePeerList(records, since.Era, to, now.Add(-max(peer.TimeSinceOutage(now), 0)), now)
	}
}

// TestGatewaysAgreeAfterAnyHistory checks that after any series of changes, restores, reads, exchanges and restarts each
// gateway that has read the store or heard of all its changes uses what the store lists as ready, but for upstreams that were
// leaving before.
func TestGatewaysAgreeAfterAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &eraStore{at: registrar.Position{Era: 1}, left: make(map[registrar.Incarnation]bool)}
		now := start
		s.write(instance("a", 1, 0, false))
		s.copiedAt = 1
		fresh := func() *registrar.Registry { return registrar.New(registrar.Config{Expiry: expiry}) }
		fleet := []*registrar.Registry{fresh(), fresh(), fresh()}
		one := func() int { return rapid.IntRange(0, len(fleet)-1).Draw(t, "gateway") }
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id")
			switch rapid.SampledFrom([]string{"write", "remove", "copy", "restore", "read", "watch", "exchange", "restart"}).Draw(t, "step") {
			case "write":
				s.write(instance(id, int64(rapid.IntRange(1, 2).Draw(t, "born")), 0, rapid.Bool().Draw(t, "leaving")))
			case "remove":
				s.write(removed(id, 0))
			case "copy":
				s.copiedAt = s.at.Revision
			case "restore":
				s.restore()
			case "read":
				s.read(fleet[one()], now)
			case "watch":
				s.watch(fleet[one()], now)
			case "exchange":
				exchange(fleet[one()], fleet[one()], now)
			case "restart":
				fleet[one()] = fresh()
			}
			for _, r := range fleet {
				r.Refresh(now)
			}
		}
		reader := one()
		s.read(fleet[reader], now)
		for _, r := range fleet {
			exchange(r, fleet[reader], now)
		}
		for i, r := range fleet {
			r.Refresh(now.Add(time.Minute))
			if r.Position() != s.at {
				t.Fatalf("gateway %d is at %v, the store at %v", i, r.Position(), s.at)
			}
			checkUse(t, r, s)
		}
	})
}

// checkUse checks that a registry uses what the store lists as ready, except for incarnations that have been leaving.
func checkUse(t *rapid.T, r *registrar.Registry, s *eraStore) {
	used := make(map[string]registrar.Incarnation)
	for _, u := range r.View().ByService["s"] {
		used[u.ID] = u.Incarnation()
	}
	list := s.list()
	for id, u := range used {
		if rec, ok := list[id]; !ok || rec.Upstream.Incarnation() != u || rec.Upstream.Leaving {
			t.Fatalf("%v is in use, the store has %v", u, rec)
		}
	}
	for id, rec := range list {
		if _, ok := used[id]; !ok && !s.left[rec.Upstream.Incarnation()] {
			t.Fatalf("%v is in the store and not in use", rec)
		}
	}
}

// Guards against an upstream that stays in use for ever because a peer, which has started after its removal and never knew it,
// passes on its position without that removal; and because a peer has dropped the record of the removal.
func TestRemovalThatThePeerDoesNotKnow(t *testing.T) {
	s := &eraStore{at: registrar.Position{Era: 1}, left: make(map[registrar.Incarnation]bool)}
	s.write(instance("a", 1, 0, false))
	s.write(instance("b", 2, 0, false))
	var fleet [3]*registrar.Registry
	for i := range fleet {
		fleet[i] = registrar.New(registrar.Config{Expiry: expiry})
		s.read(fleet[i], start)
	}
	s.write(removed("a", 0))
	s.watch(fleet[1], start)
	fleet[1].Refresh(start.Add(time.Hour))
	started := registrar.New(registrar.Config{Expiry: expiry})
	s.read(started, start)
	for i, peer := range []*registrar.Registry{started, fleet[1]} {
		r := fleet[2*i]
		exchange(r, peer, start)
		if r.Position() != s.at || len(ids(r)) != 1 {
			t.Errorf("%v are in use at %v", ids(r), r.Position())
		}
	}
}
