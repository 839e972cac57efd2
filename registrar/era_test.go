package registrar_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"clementineramp/registrar"
)

// expiry is the time after which the store has removed an entry that is not renewed.
const expiry = 5 * time.Second

// at returns a position in an era.
func at(era, revision uint64) registrar.Position {
	return registrar.Position{Era: era, Revision: revision}
}

// instance returns the record of an incarnation of an upstream.
func instance(id string, born int64, revision uint64, leaving bool) registrar.Record {
	u := registrar.Upstream{ID: id, Service: "s", Address: "10.0.0.1:" + fmt.Sprint(born), Born: born, Leaving: leaving}
	return registrar.Record{ID: id, Revision: revision, Upstream: u}
}

// Guards against records of the store that are ignored after it was restored from an older copy, because their revisions are
// lower than those of the records before.
func TestRevisionsOfTwoErasAreNotCompared(t *testing.T) {
	var eras []registrar.Position
	r := registrar.New(registrar.Config{Expiry: expiry, OnEra: func(old, new registrar.Position) { eras = append(eras, old, new) }})
	r.MergeList([]registrar.Record{instance("a", 1, 50, false)}, at(1, 60), start)
	r.MergeList([]registrar.Record{instance("a", 1, 20, false)}, at(2, 30), start)
	require.Equal(t, []registrar.Position{at(1, 60), at(2, 30)}, eras)
	require.Equal(t, at(2, 30), r.Position())
	require.True(t, r.MergeChanges([]registrar.Record{instance("a", 1, 31, true), instance("b", 2, 32, false)}, at(2, 30), at(2, 32), start))
	require.Equal(t, []string{"b"}, ids(r))
	require.False(t, r.MergeChanges([]registrar.Record{instance("a", 1, 70, false)}, at(1, 60), at(1, 70), start), "changes of the era before")
	require.Equal(t, []string{"b"}, ids(r))
	require.Equal(t, at(2, 32), r.Position())
	records, complete, _ := r.RecordsSince(at(1, 60))
	require.Len(t, records, 2, "a position in another era has no changes after it")
	require.Equal(t, at(2, 32), complete)
	records, _, _ = r.RecordsSince(at(2, 31))
	require.Len(t, records, 1)
}

// Guards against upstreams that are lost because the copy from which the store was restored lacks them: those that have
// joined since stay in use until their entries are written again, or would have been.
func TestUpstreamThatTheCopyLacksStaysInUse(t *testing.T) {
	r := registrar.New(registrar.Config{Expiry: expiry})
	r.MergeList([]registrar.Record{instance("a", 1, 5, false), instance("b", 2, 50, false), instance("c", 3, 51, false), instance("d", 4, 52, true)}, at(1, 60), start)
	r.MergeList([]registrar.Record{instance("a", 1, 5, false)}, at(2, 30), start)
	require.Equal(t, []string{"a", "b", "c"}, ids(r))
	r.MergeChanges([]registrar.Record{instance("b", 2, 31, false)}, at(2, 30), at(2, 31), start.Add(time.Second))
	r.Refresh(start.Add(registrar.ExpiryGrace))
	require.Equal(t, []string{"a", "b"}, ids(r), "an upstream whose entry was not written again is gone")
}

// Guards against new requests to an upstream that is leaving because the copy from which the store was restored has it as
// ready, also if its removal had been seen; a later incarnation is used.
func TestUpstreamThatWasLeavingBeforeTheRestoreIsNotUsed(t *testing.T) {
	for _, removedBefore := range []bool{false, true} {
		t.Run(fmt.Sprint("removed ", removedBefore), func(t *testing.T) {
			r := registrar.New(registrar.Config{Expiry: expiry})
			r.MergeList([]registrar.Record{instance("a", 1, 5, false), instance("b", 2, 6, false)}, at(1, 7), start)
			r.MergeChanges([]registrar.Record{instance("a", 1, 8, true)}, at(1, 7), at(1, 8), start)
			if removedBefore {
				r.MergeChanges([]registrar.Record{removed("a", 9)}, at(1, 8), at(1, 9), start)
			}
			copied := []registrar.Record{instance("a", 1, 5, false), instance("b", 2, 6, false)}
			r.MergeList(copied, at(2, 7), start)
			require.Equal(t, []string{"b"}, ids(r))
			r.MergeList(copied, at(3, 7), start)
			require.Equal(t, []string{"b"}, ids(r), "after a second restore")
			r.MergeChanges([]registrar.Record{instance("a", 1, 8, false)}, at(3, 7), at(3, 8), start)
			require.Equal(t, []string{"b"}, ids(r), "an entry that is written again as it was before the upstream was leaving")
			r.Refresh(start.Add(time.Minute))
			require.Equal(t, []string{"b"}, ids(r))
			r.MergeChanges([]registrar.Record{instance("a", 3, 9, false)}, at(3, 8), at(3, 9), start.Add(time.Minute))
			require.Equal(t, []string{"a", "b"}, ids(r), "a later incarnation")
		})
	}
}

// Guards against requests to an upstream that is gone, whose address another service may have by now, because the copy from
// which the store was restored still has its entry.
func TestUpstreamThatWasRemovedBeforeTheRestoreIsNotUsed(t *testing.T) {
	restored := func() *registrar.Registry {
		r := registrar.New(registrar.Config{Expiry: expiry})
		r.MergeList([]registrar.Record{instance("a", 1, 5, false), instance("b", 2, 6, false)}, at(1, 7), start)
		r.MergeChanges([]registrar.Record{removed("a", 8)}, at(1, 7), at(1, 8), start)
		r.MergeList([]registrar.Record{instance("a", 1, 5, false), instance("b", 2, 6, false)}, at(2, 7), start)
		require.Equal(t, []string{"b"}, ids(r))
		return r
	}
	t.Run("expires", func(t *testing.T) {
		r := restored()
		r.MergeChanges([]registrar.Record{removed("a", 8)}, at(2, 7), at(2, 8), start.Add(time.Second))
		require.Equal(t, []string{"b"}, ids(r))
	})
	t.Run("a second restore", func(t *testing.T) {
		r := restored()
		r.MergeList([]registrar.Record{instance("a", 1, 5, false), instance("b", 2, 6, false)}, at(3, 7), start.Add(time.Second))
		require.Equal(t, []string{"b"}, ids(r))
		r.MergeList([]registrar.Record{instance("b", 2, 6, false)}, at(4, 6), start.Add(time.Second))
		require.Equal(t, []string{"b"}, ids(r))
	})
	t.Run("is written again", func(t *testing.T) {
		r := restored()
		r.MergeChanges([]registrar.Record{instance("a", 1, 8, false)}, at(2, 7), at(2, 8), start.Add(time.Second))
		require.Equal(t, []string{"a", "b"}, ids(r))
	})
	t.Run("is renewed without a change", func(t *testing.T) {
		r := restored()
		r.Refresh(start.Add(expiry - 1))
		require.Equal(t, []string{"b"}, ids(r))
		require.True(t, r.Refresh(start.Add(expiry)))
		require.Equal(t, []string{"a", "b"}, ids(r))
	})
	t.Run("another incarnation", func(t *testing.T) {
		r := registrar.New(registrar.Config{Expiry: expiry})
		r.MergeList([]registrar.Record{instance("a", 1, 5, false)}, at(1, 7), start)
		r.MergeChanges([]registrar.Record{removed("a", 8)}, at(1, 7), at(1, 8), start)
		r.MergeList([]registrar.Record{instance("a", 9, 5, false)}, at(2, 7), start)
		require.Equal(t, []string{"a"}, ids(r))
	})
}

// Guards against a leaving mark of an upstream that a restore of the store removes.
func TestMarkOutlivesRestore(t *testing.T) {
	r := registrar.New(registrar.Config{Expiry: expiry})
	a := instance("a", 1, 5, false)
	r.MergeList([]registrar.Record{a}, at(1, 7), start)
	require.True(t, r.MarkLeaving(a.Upstream, "response", start))
	r.MergeList([]registrar.Record{a}, at(2, 6), start)
	require.Empty(t, ids(r))
	r.MergeList(nil, at(3, 6), start)
	require.Empty(t, ids(r), "an upstream that leaves has no grace period")
}

// TestAnyHistoryOfRestoresEndsWithTheStoresList checks that after any series of changes and restores the upstreams in use are
// those that the store has as ready once all times have passed, but for those that were leaving.
func TestAnyHistoryOfRestoresEndsWithTheStoresList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := registrar.New(registrar.Config{Expiry: expiry})
		now, era, revision := start, uint64(1), uint64(1)
		store := map[string]registrar.Record{}
		left := map[registrar.Incarnation]bool{}
		list := func() (all []registrar.Record) {
			for _, rec := range store {
				all = append(all, rec)
			}
			return all
		}
		r.MergeList(nil, at(era, revision), now)
		copied, copiedAt := map[string]registrar.Record{}, revision
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			born := int64(rapid.IntRange(1, 2).Draw(t, "born"))
			switch rapid.SampledFrom([]string{"ready", "leaving", "removed", "copy", "restore"}).Draw(t, "step") {
			case "ready", "leaving":
				revision++
				rec := instance(id, born, revision, rapid.Bool().Draw(t, "leaving"))
				if left[rec.Upstream.Incarnation()] {
					rec.Upstream.Leaving = true // An upstream that is leaving does not come back.
				}
				left[rec.Upstream.Incarnation()] = rec.Upstream.Leaving
				store[id] = rec
				r.MergeChanges([]registrar.Record{rec}, at(era, revision-1), at(era, revision), now)
			case "removed":
				revision++
				delete(store, id)
				r.MergeChanges([]registrar.Record{removed(id, revision)}, at(era, revision-1), at(era, revision), now)
			case "copy":
				copied, copiedAt = map[string]registrar.Record{}, revision
				for id, rec := range store {
					copied[id] = rec
				}
			case "restore":
				era++
				revision, store = copiedAt, map[string]registrar.Record{}
				for id, rec := range copied {
					store[id] = rec
				}
				r.MergeList(list(), at(era, revision), now)
			}
		}
		now = now.Add(time.Minute)
		r.Refresh(now)
		inUse := map[string]bool{}
		for _, id := range ids(r) {
			inUse[id] = true
			if _, ok := store[id]; !ok {
				t.Fatalf("%s is in use, and not in the store", id)
			}
		}
		for id, rec := range store {
			if !inUse[id] && !left[rec.Upstream.Incarnation()] {
				t.Fatalf("%s is ready in the store, and not in use", id)
			}
			if inUse[id] && rec.Upstream.Leaving {
				t.Fatalf("%s is leaving, and in use", id)
			}
		}
	})
}

// Guards against requests to the address of an earlier incarnation, which is gone, because the copy from which the store was
// restored lists it: the known one stays in use until its entry is written again, or its state is kept if it is not used. The
// listed one is used once its entry would have expired.
func TestCopyListsAnEarlierIncarnation(t *testing.T) {
	address := func(r *registrar.Registry) (all []string) {
		for _, u := range r.View().ByService["s"] {
			all = append(all, u.Address)
		}
		return all
	}
	const earlier, later = "10.0.0.1:1", "10.0.0.1:2"
	for _, c := range []struct {
		name           string
		before         registrar.Record
		marked         bool
		restored, last []string
	}{
		{"in use", instance("a", 2, 7, false), false, []string{later}, []string{earlier}},
		{"leaving", instance("a", 2, 7, true), false, nil, []string{earlier}},
		{"marked", instance("a", 2, 7, false), true, nil, []string{earlier}},
		{"removed", removed("a", 7), false, nil, []string{earlier}},
	} {
		restored := func(t *testing.T) *registrar.Registry {
			t.Helper()
			r := registrar.New(registrar.Config{Expiry: expiry})
			r.MergeList([]registrar.Record{instance("a", 1, 5, false)}, at(1, 5), start)
			r.MergeChanges([]registrar.Record{instance("a", 2, 6, false)}, at(1, 5), at(1, 6), start)
			r.MergeChanges([]registrar.Record{c.before}, at(1, 6), at(1, 7), start)
			if c.marked {
				r.MarkLeaving(c.before.Upstream, "response", start)
			}
			r.MergeList([]registrar.Record{instance("a", 1, 5, false)}, at(2, 5), start)
			require.Equal(t, c.restored, address(r))
			return r
		}
		t.Run(c.name, func(t *testing.T) {
			r := restored(t)
			r.Refresh(start.Add(expiry - 1))
			require.Equal(t, c.restored, address(r))
			r.Refresh(start.Add(expiry))
			require.Equal(t, c.last, address(r))
		})
		t.Run(c.name+", expires", func(t *testing.T) {
			r := restored(t)
			r.MergeChanges([]registrar.Record{removed("a", 6)}, at(2, 5), at(2, 6), start.Add(registrar.ExpiryGrace))
			require.Empty(t, ids(r))
			r.Refresh(start.Add(expiry))
			require.Empty(t, ids(r))
		})
		t.Run(c.name+", written again", func(t *testing.T) {
			r := restored(t)
			again := instance("a", 2, 6, c.before.Upstream.Leaving)
			r.MergeChanges([]registrar.Record{again}, at(2, 5), at(2, 6), start.Add(time.Second))
			r.Refresh(start.Add(expiry))
			if c.before.Upstream.Leaving || c.marked {
				require.Empty(t, ids(r))
			} else {
				require.Equal(t, []string{later}, address(r))
			}
		})
		t.Run(c.name+", a second restore", func(t *testing.T) {
			r := restored(t)
			r.MergeList([]registrar.Record{instance("a", 1, 5, false)}, at(3, 5), start)
			require.Equal(t, c.restored, address(r))
		})
	}
}

// Guards against a way back to the list of an earlier era by the reply of a peer that was asked before the change of the era.
func TestReplyThatAnEraChangeOvertakes(t *testing.T) {
	r := registrar.New(registrar.Config{Expiry: expiry})
	r.MergeList([]registrar.Record{instance("a", 1, 5, false)}, at(1, 7), start)
	r.MergeList([]registrar.Record{instance("b", 2, 5, false)}, at(3, 6), start.Add(-time.Minute))
	r.Refresh(start)
	require.False(t, r.MergePeerList([]registrar.Record{instance("a", 1, 5, false)}, 1, at(2, 9), start, start))
	require.Equal(t, at(3, 6), r.Position())
	require.Equal(t, []string{"b"}, ids(r))
	require.False(t, r.MergePeerList([]registrar.Record{instance("a", 1, 5, false)}, 3, at(4, 0), start, start), "no list")
	require.True(t, r.MergePeerList([]registrar.Record{instance("b", 2, 5, false), instance("c", 1, 7, false)}, 1, at(3, 8), start, start), "of the same era")
	require.Equal(t, []string{"b", "c"}, ids(r))
	require.Equal(t, at(3, 8), r.Position())
	require.False(t, r.MergePeerList([]registrar.Record{instance("b", 2, 5, false)}, 1, at(3, 6), start, start), "older than the list")
	require.Equal(t, []string{"b", "c"}, ids(r))
	require.Equal(t, at(3, 8), r.Position())
}

// Guards against upstreams that are lost in a second restore while they still wait for their entries to be written again.
func TestSecondRestoreInGracePeriod(t *testing.T) {
	r := registrar.New(registrar.Config{Expiry: expiry})
	r.MergeList([]registrar.Record{instance("a", 1, 5, false), instance("b", 2, 6, false)}, at(1, 7), start)
	r.MergeList([]registrar.Record{instance("a", 1, 5, false)}, at(2, 5), start)
	second := start.Add(2 * time.Second)
	r.MergeList([]registrar.Record{instance("a", 1, 5, false)}, at(3, 5), second)
	r.Refresh(second.Add(registrar.ExpiryGrace - 1))
	require.Equal(t, []string{"a", "b"}, ids(r))
	r.Refresh(second.Add(registrar.ExpiryGrace))
	require.Equal(t, []string{"a"}, ids(r))
}
