package registrar_test

import (
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
	r.MergeList([]registrar.Record{record("a", 1), record("b", 2)}, 10, start)
	r.Merge([]registrar.Record{record("c", 12)}, start)
	r.MergeList([]registrar.Record{record("b", 2)}, 11, start)
	require.Equal(t, []string{"b", "c"}, ids(r), "c was added after the list was read")
}

func TestExpiryDuringOutage(t *testing.T) {
	r := registrar.New(registrar.Config{})
	r.MergeList([]registrar.Record{record("a", 1), record("b", 1)}, 5, start)
	r.OutageEnded(start)
	r.MergeList(nil, 20, start)
	require.Equal(t, []string{"a", "b"}, ids(r), "entries that expired during the outage are removed at once")
	r.Merge([]registrar.Record{record("a", 22)}, start.Add(time.Second))
	r.Refresh(start.Add(registrar.ExpiryGrace))
	require.Equal(t, []string{"a"}, ids(r), "an entry that was not written again is still used after the grace period")
}

func TestRemovalAfterGracePeriodIsImmediate(t *testing.T) {
	r := registrar.New(registrar.Config{})
	r.MergeList([]registrar.Record{record("a", 1)}, 5, start)
	r.OutageEnded(start)
	r.Merge([]registrar.Record{removed("a", 9)}, start.Add(registrar.ExpiryGrace))
	require.Empty(t, ids(r))
}

func TestLeavingUpstreamHasNoGracePeriod(t *testing.T) {
	r := registrar.New(registrar.Config{})
	leaving := record("a", 1)
	leaving.Upstream.Leaving = true
	r.MergeList([]registrar.Record{leaving}, 5, start)
	r.OutageEnded(start)
	r.MergeList(nil, 20, start)
	require.Empty(t, ids(r))
}

func TestCompleteRevisionNeedsAllChanges(t *testing.T) {
	r := registrar.New(registrar.Config{})
	require.False(t, r.Synced())
	r.MergeChanges([]registrar.Record{record("a", 8)}, 7, 9, start)
	require.Zero(t, r.CompleteRevision(), "changes after a gap advance the complete revision")
	r.MergeList(nil, 7, start)
	r.MergeChanges(nil, 7, 9, start)
	require.EqualValues(t, 9, r.CompleteRevision())
	records, complete := r.RecordsSince(7)
	require.Len(t, records, 1)
	require.EqualValues(t, 9, complete)
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
