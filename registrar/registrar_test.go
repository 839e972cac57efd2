package registrar_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"clementineramp/registrar"
)

var start = time.Unix(1_700_000_000, 0)

func record(id string, revision uint64) registrar.Record {
	return registrar.Record{ID: id, Revision: revision, Upstream: registrar.Upstream{ID: id, Service: "s", Address: "10.0.0.1:1"}}
}

func removed(id string, revision uint64) registrar.Record {
	return registrar.Record{ID: id, Revision: revision, Removed: true}
}

func ids(r *registrar.Registry) []string {
	var all []string
	for _, u := range r.View().ByService["s"] {
		all = append(all, u.ID)
	}
	return all
}

func TestOlderRecordsAreIgnored(t *testing.T) {
	r := registrar.New(registrar.Config{})
	r.Merge([]registrar.Record{record("a", 5)}, start)
	r.Merge([]registrar.Record{removed("a", 7)}, start)
	require.Empty(t, ids(r))
	require.False(t, r.Merge([]registrar.Record{record("a", 6)}, start), "a peer's older record restores a removed upstream")
	require.Empty(t, ids(r))
	r.Merge([]registrar.Record{record("a", 8)}, start)
	require.Equal(t, []string{"a"}, ids(r))
}

func TestLeavingUpstreamsAreNotUsed(t *testing.T) {
	var changes []string
	r := registrar.New(registrar.Config{OnEvent: func(e registrar.Event) { changes = append(changes, e.Change) }})
	r.Merge([]registrar.Record{record("a", 1)}, start)
	leaving := record("a", 2)
	leaving.Upstream.Leaving = true
	r.Merge([]registrar.Record{leaving}, start)
	require.Empty(t, ids(r))
	require.Equal(t, []string{"joined", "leaving"}, changes)
}

func TestMergeListRemovesUnlistedUpstreams(t *testing.T) {
	r := registrar.New(registrar.Config{})
	r.MergeList([]registrar.Record{record("a", 1), record("b", 2)}, registrar.Position{Revision: 10}, start)
	r.Merge([]registrar.Record{record("c", 12)}, start)
	r.MergeList([]registrar.Record{record("b", 2)}, registrar.Position{Revision: 11}, start)
	require.Equal(t, []string{"b", "c"}, ids(r), "c was added after the list was read")
}

func TestExpiryDuringOutage(t *testing.T) {
	r := registrar.New(registrar.Config{})
	r.MergeList([]registrar.Record{record("a", 1), record("b", 1)}, registrar.Position{Revision: 5}, start)
	r.OutageEnded(start)
	r.MergeList(nil, registrar.Position{Revision: 20}, start)
	require.Equal(t, []string{"a", "b"}, ids(r), "entries that expired during the outage are removed at once")
	r.Merge([]registrar.Record{record("a", 22)}, start.Add(time.Second))
	r.Refresh(start.Add(registrar.ExpiryGrace))
	require.Equal(t, []string{"a"}, ids(r), "an entry that was not written again is still used after the grace period")
}

func TestRemovalAfterGracePeriodIsImmediate(t *testing.T) {
	r := registrar.New(registrar.Config{})
	r.MergeList([]registrar.Record{record("a", 1)}, registrar.Position{Revision: 5}, start)
	r.OutageEnded(start)
	r.Merge([]registrar.Record{removed("a", 9)}, start.Add(registrar.ExpiryGrace))
	require.Empty(t, ids(r))
}

func TestLeavingUpstreamHasNoGracePeriod(t *testing.T) {
	r := registrar.New(registrar.Config{})
	leaving := record("a", 1)
	leaving.Upstream.Leaving = true
	r.MergeList([]registrar.Record{leaving}, registrar.Position{Revision: 5}, start)
	r.OutageEnded(start)
	r.MergeList(nil, registrar.Position{Revision: 20}, start)
	require.Empty(t, ids(r))
}

func TestCompleteRevisionNeedsAllChanges(t *testing.T) {
	r := registrar.New(registrar.Config{})
	require.False(t, r.Synced())
	r.MergeChanges([]registrar.Record{record("a", 8)}, registrar.Position{Revision: 7}, registrar.Position{Revision: 9}, start)
	require.Zero(t, r.Position().Revision, "changes after a gap advance the complete revision")
	r.MergeList(nil, registrar.Position{Revision: 7}, start)
	r.MergeChanges(nil, registrar.Position{Revision: 7}, registrar.Position{Revision: 9}, start)
	require.EqualValues(t, 9, r.Position().Revision)
	records, complete, _ := r.RecordsSince(registrar.Position{Revision: 7})
	require.Len(t, records, 1)
	require.EqualValues(t, 9, complete.Revision)
}

// Guards against an odd entry that is written again and again: each time it is one more removal of an upstream that is not
// in use, which filled the log and was announced to peers without delay.
func TestRepeatedRemovalIsNoChange(t *testing.T) {
	var changes []string
	r := registrar.New(registrar.Config{OnEvent: func(e registrar.Event) { changes = append(changes, e.Change) }})
	r.Merge([]registrar.Record{record("b", 1)}, start)
	require.False(t, r.Merge([]registrar.Record{removed("a", 2)}, start))
	require.False(t, r.Merge([]registrar.Record{removed("a", 3)}, start))
	require.True(t, r.Merge([]registrar.Record{removed("b", 4)}, start))
	require.False(t, r.Merge([]registrar.Record{removed("b", 5)}, start))
	require.Equal(t, []string{"joined", "removed"}, changes)
	require.False(t, r.Merge([]registrar.Record{record("a", 2)}, start), "the latest removal is forgotten")
	records, _, _ := r.RecordsSince(registrar.Position{Revision: 4})
	require.Len(t, records, 1, "the latest removal does not reach peers")
}

// TestMergeOrder checks that the order in which records arrive does not matter.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []registrar.Record
		for revision := range uint64(12) {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			rec := record(id, revision+1)
			if rapid.Bool().Draw(t, "removed") {
				rec = removed(id, revision+1)
			}
			records = append(records, rec)
		}
		inOrder := registrar.New(registrar.Config{})
		inOrder.Merge(records, start)
		shuffled := slices.Clone(records)
		for i := range shuffled {
			j := rapid.IntRange(0, i).Draw(t, "swap")
			shuffled[i], shuffled[j] = shuffled[j], shuffled[i]
		}
		other := registrar.New(registrar.Config{})
		for _, rec := range shuffled {
			other.Merge([]registrar.Record{rec}, start)
		}
		if !slices.Equal(ids(inOrder), ids(other)) {
			t.Fatalf("%v in order, %v shuffled", ids(inOrder), ids(other))
		}
	})
}

// Guards against new requests to an upstream that has itself said that it is leaving, and against a mark that another
// incarnation with the same ID or address inherits.
func TestMarkOfLeavingUpstream(t *testing.T) {
	var events []registrar.Event
	r := registrar.New(registrar.Config{OnEvent: func(e registrar.Event) { events = append(events, e) }})
	rec := func(id, address string, born int64, revision uint64, leaving bool) registrar.Record {
		u := registrar.Upstream{ID: id, Service: "s", Address: address, Born: born, Leaving: leaving}
		return registrar.Record{ID: id, Revision: revision, Upstream: u}
	}
	first := rec("a", "10.0.0.1:1", 1, 1, false)
	r.MergeList([]registrar.Record{first, rec("b", "10.0.0.2:1", 1, 1, false)}, registrar.Position{Revision: 1}, start)
	other := first.Upstream
	other.Born = 2
	require.False(t, r.MarkLeaving(other, "response", start), "a response of another incarnation")
	require.False(t, r.MarkLeaving(registrar.Upstream{ID: "none"}, "response", start), "an upstream that is not listed")
	require.True(t, r.MarkLeaving(first.Upstream, "response", start))
	require.False(t, r.MarkLeaving(first.Upstream, "response", start), "the mark is not new")
	require.Equal(t, []string{"b"}, ids(r))
	require.Len(t, r.View().Leaving["s"], 1)
	require.True(t, r.View().IsLeaving(first.Upstream))
	require.False(t, r.View().IsLeaving(other))
	records, _, _ := r.RecordsSince(registrar.Position{Revision: 0})
	for _, forwarded := range records {
		require.False(t, forwarded.Upstream.Leaving, "peers receive what the store says")
	}

	r.Merge([]registrar.Record{rec("a", "10.0.0.1:1", 1, 2, false)}, start.Add(time.Second))
	require.Equal(t, []string{"b"}, ids(r), "the store says otherwise, and the mark is forgotten")
	r.Merge([]registrar.Record{rec("a", "10.0.0.1:1", 1, 3, true)}, start.Add(2*time.Second))
	last := events[len(events)-1]
	require.Equal(t, "leaving", last.Change)
	require.Equal(t, 2*time.Second, last.MarkAge)
	require.Equal(t, "response", last.MarkSource)
	r.OutageEnded(start.Add(3 * time.Second))
	r.Merge([]registrar.Record{removed("a", 4)}, start.Add(3*time.Second))
	require.Equal(t, "removed", events[len(events)-1].Change, "an upstream that leaves stays in use as if its entry had expired")
	r.Merge([]registrar.Record{rec("a", "10.0.0.1:1", 1, 5, false)}, start.Add(4*time.Second))
	require.Equal(t, []string{"b"}, ids(r), "the entry is back, and the mark is forgotten")
	r.Merge([]registrar.Record{removed("a", 6)}, start.Add(4*time.Second))
	require.Equal(t, "removed", events[len(events)-1].Change, "a removal of an upstream that only its mark makes leave")

	r.Merge([]registrar.Record{rec("c", "10.0.0.1:1", 2, 6, false)}, start.Add(5*time.Second))
	require.Equal(t, []string{"b", "c"}, ids(r), "another upstream at the address inherits the mark")
	r.Merge([]registrar.Record{rec("a", "10.0.0.1:1", 3, 7, false)}, start.Add(5*time.Second))
	require.Equal(t, []string{"a", "b", "c"}, ids(r), "a later incarnation inherits the mark")
	require.False(t, r.MarkLeaving(first.Upstream, "response", start.Add(6*time.Second)), "a late response of the one before")
	require.Equal(t, []string{"a", "b", "c"}, ids(r))
}

// Guards against an upstream in the grace period after an outage of the store that is used although it has said that it is
// leaving.
func TestMarkDuringGracePeriod(t *testing.T) {
	r := registrar.New(registrar.Config{})
	r.MergeList([]registrar.Record{record("a", 1)}, registrar.Position{Revision: 1}, start)
	r.OutageEnded(start)
	r.MergeList(nil, registrar.Position{Revision: 5}, start)
	require.Equal(t, []string{"a"}, ids(r))
	require.True(t, r.MarkLeaving(record("a", 1).Upstream, "response", start))
	require.Empty(t, ids(r))
}

// Guards against a cold time that ends too early because the entry states the same remaining time again, and against an upstream
// that stays cold although its entry was written again after the evacuation of its failure domain.
func TestTimesOfEqualEntries(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for name, cold := range map[string]time.Duration{"cold": 5 * time.Second, "warm": 0} {
		t.Run(name, func(t *testing.T) {
			r := registrar.New(registrar.Config{})
			u := registrar.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:1", FailureDomain: "d", Cold: cold}
			r.MergeList([]registrar.Record{
				{ID: "u", Revision: 1, Upstream: u}, {ID: "d", Revision: 2, Evacuation: true},
			}, registrar.Position{Revision: 2}, now)
			r.Merge([]registrar.Record{{ID: "d", Revision: 3, Evacuation: true, Removed: true}}, now.Add(time.Second))
			later := now.Add(2 * time.Second)
			r.Merge([]registrar.Record{{ID: "u", Revision: 4, Upstream: u}}, later)
			require.Equal(t, registrar.Times{Entry: later, ColdUntil: later.Add(cold)}, r.View().Times["u"])
		})
	}
}

// Guards against replies to peers and memory that grow with the odd entries of another writer, which count as removals of
// upstreams that were never there.
func TestRemovalsOfUnknownUpstreams(t *testing.T) {
	r := registrar.New(registrar.Config{})
	now := time.Unix(1000, 0)
	known := registrar.Record{ID: "known", Revision: 1, Upstream: registrar.Upstream{ID: "known", Service: "s", Address: "127.0.0.1:1"}}
	r.MergeList([]registrar.Record{known}, registrar.Position{Revision: 1}, now)
	removals := []registrar.Record{{ID: "known", Revision: 2, Removed: true}}
	for i := range 60_000 {
		removals = append(removals, registrar.Record{ID: fmt.Sprint("odd-", i), Revision: uint64(3 + i), Removed: true})
	}
	at := registrar.Position{Revision: 60_002}
	require.True(t, r.MergeChanges(removals, registrar.Position{Revision: 1}, at, now))
	records, complete, whole := r.RecordsSince(registrar.Position{Revision: 1})
	require.False(t, whole)
	require.Equal(t, at, complete)
	require.Equal(t, 1, len(records))
	require.Equal(t, "known", records[0].ID)

	// The entry of an upstream that joins among so many removals is kept, and so is its removal.
	late := registrar.Record{ID: "late", Revision: 60_003, Upstream: registrar.Upstream{ID: "late", Service: "s", Address: "127.0.0.1:2"}}
	r.Merge([]registrar.Record{late}, now)
	require.Len(t, r.View().ByService["s"], 1)
	r.Merge([]registrar.Record{{ID: "late", Revision: 60_004, Removed: true}}, now)
	r.Merge([]registrar.Record{late}, now)
	require.Empty(t, r.View().ByService["s"])
}

// Guards against an entry without a start that replaces that of an incarnation which states one: it comes from another writer, and
// ended what was known of the incarnation, such as that it is leaving.
func TestEntryWithoutStart(t *testing.T) {
	r := registrar.New(registrar.Config{})
	now := time.Unix(1000, 0)
	u := registrar.Upstream{ID: "u", Service: "s", Address: "127.0.0.1:1", Born: 5}
	r.MergeList([]registrar.Record{{ID: "u", Revision: 1, Upstream: u}}, registrar.Position{Revision: 1}, now)
	require.True(t, r.MarkLeaving(u, "response", now))
	odd := u
	odd.Born = 0
	r.Merge([]registrar.Record{{ID: "u", Revision: 2, Upstream: odd}}, now)
	require.Empty(t, r.View().ByService["s"])
	require.Empty(t, r.View().Leaving["s"])
	r.Merge([]registrar.Record{{ID: "u", Revision: 3, Upstream: u}}, now)
	require.Empty(t, r.View().ByService["s"], "the mark of the incarnation is gone")
	require.Len(t, r.View().Leaving["s"], 1)
	reborn := u
	reborn.Born = 6
	r.Merge([]registrar.Record{{ID: "u", Revision: 4, Upstream: reborn}}, now)
	require.Len(t, r.View().ByService["s"], 1)

	// Upstreams that never state a start are used as before.
	old := registrar.Upstream{ID: "old", Service: "s", Address: "127.0.0.1:2"}
	r.Merge([]registrar.Record{{ID: "old", Revision: 5, Upstream: old}}, now)
	r.Merge([]registrar.Record{{ID: "old", Revision: 6, Upstream: old}}, now)
	require.Len(t, r.View().ByService["s"], 2)
}
