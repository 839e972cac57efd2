package registrar_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"clementineramp/registrar"
)

// evacuates and withdraws return records of an evacuation and of its end.
func evacuates(domain string, revision uint64) registrar.Record {
	return registrar.Record{ID: domain, Revision: revision, Evacuation: true}
}

func withdraws(domain string, revision uint64) registrar.Record {
	return registrar.Record{ID: domain, Revision: revision, Evacuation: true, Removed: true}
}

// in returns the record of an upstream in a failure domain.
func in(domain, id string, revision uint64) registrar.Record {
	rec := instance(id, 1, revision, false)
	rec.Upstream.FailureDomain = domain
	return rec
}

func evacuated(r *registrar.Registry) (ids []string) {
	for _, u := range r.View().Evacuated["s"] {
		ids = append(ids, u.ID)
	}
	slices.Sort(ids)
	return ids
}

// twoDomains returns a registry with an upstream in each of two failure domains.
func twoDomains(cfg registrar.Config) *registrar.Registry {
	cfg.Expiry = expiry
	r := registrar.New(cfg)
	r.MergeList([]registrar.Record{in("x", "a", 1), in("y", "b", 2)}, at(1, 5), start)
	return r
}

// Guards against requests to an evacuated domain, an evacuation that affects others, an end that is missed, and events and times
// that do not say when this gateway learnt of it.
func TestEvacuation(t *testing.T) {
	var events []registrar.EvacuationEvent
	r := twoDomains(registrar.Config{OnEvacuation: func(e registrar.EvacuationEvent) { events = append(events, e) }})
	require.True(t, r.MergeChanges([]registrar.Record{evacuates("x", 6)}, at(1, 5), at(1, 6), start))
	require.Equal(t, []string{"b"}, ids(r))
	require.Equal(t, []string{"a"}, evacuated(r))
	require.True(t, r.View().IsEvacuated(in("x", "a", 1).Upstream))
	require.False(t, r.View().IsEvacuated(in("y", "b", 1).Upstream))
	require.False(t, r.View().IsEvacuated(registrar.Upstream{}), "an upstream without a failure domain")
	require.EqualValues(t, 6, r.NewestRevision(), "peers are not told that this gateway knows more")
	require.True(t, r.MergeChanges([]registrar.Record{evacuates("y", 7)}, at(1, 6), at(1, 7), start.Add(time.Second)))
	require.Empty(t, ids(r))
	require.Equal(t, []string{"a", "b"}, evacuated(r))
	r.MergeChanges([]registrar.Record{in("x", "c", 8)}, at(1, 7), at(1, 8), start.Add(time.Second))
	require.Empty(t, ids(r), "an upstream that joins an evacuated domain is used")
	require.True(t, r.MergeChanges([]registrar.Record{withdraws("x", 9)}, at(1, 8), at(1, 9), start.Add(3*time.Second)))
	require.Equal(t, []string{"a", "c"}, ids(r))
	require.Equal(t, map[string]time.Time{"y": start.Add(time.Second)}, r.View().Evacuations)
	require.Equal(t, map[string]time.Time{"x": start.Add(3 * time.Second)}, r.View().EvacuationsEnded)
	require.Equal(t, []registrar.EvacuationEvent{
		{FailureDomain: "x", Began: true, Revision: 6, Era: 1, Upstreams: 1},
		{FailureDomain: "y", Began: true, Revision: 7, Era: 1, Upstreams: 1},
		{FailureDomain: "x", Revision: 9, Era: 1, Upstreams: 2, Lasted: 3 * time.Second},
	}, events)
}

// Guards against an evacuation that is taken back and set again at once and ends with the older of the two changes, and against
// one that a late record of a peer brings back.
func TestEvacuationsAreOrderedByRevision(t *testing.T) {
	for _, order := range [][]registrar.Record{
		{evacuates("x", 6), withdraws("x", 7), evacuates("x", 8)}, {evacuates("x", 8), withdraws("x", 7)}, {withdraws("x", 7), evacuates("x", 8)},
	} {
		r := twoDomains(registrar.Config{})
		r.Merge(order, start)
		require.Equal(t, []string{"b"}, ids(r), order)
		require.Empty(t, r.View().EvacuationsEnded)
	}
	r := twoDomains(registrar.Config{})
	r.Merge([]registrar.Record{evacuates("x", 6), withdraws("x", 7)}, start)
	require.False(t, r.Merge([]registrar.Record{evacuates("x", 6)}, start))
	require.Equal(t, []string{"a", "b"}, ids(r))
	r.Refresh(start.Add(time.Hour))
	records, _, whole := r.RecordsSince(at(1, 6))
	require.True(t, whole, "a peer before the forgotten end asks for changes only")
	require.Len(t, records, 2)
}

// Guards against an end that is unknown to those who must treat the upstreams as cold: a gateway that missed the evacuation, too.
func TestEndOfAnEvacuationThatWasNotKnown(t *testing.T) {
	r := twoDomains(registrar.Config{})
	require.True(t, r.MergeChanges([]registrar.Record{withdraws("x", 7)}, at(1, 5), at(1, 7), start.Add(time.Second)))
	require.Equal(t, start.Add(time.Second), r.View().EvacuationsEnded["x"])
	require.False(t, r.Merge([]registrar.Record{withdraws("x", 7)}, start.Add(time.Minute)))
}

// Guards against a list that does not end what it lacks or ends what is newer, and against an end that a list implies and that
// hides the next evacuation.
func TestListsAndEvacuations(t *testing.T) {
	upstreams := []registrar.Record{in("x", "a", 1), in("y", "b", 2)}
	r := twoDomains(registrar.Config{})
	r.Merge([]registrar.Record{evacuates("x", 6), evacuates("y", 12)}, start)
	r.MergeList(upstreams, at(1, 6), start)
	require.Equal(t, []string{"a"}, ids(r), "the list is older than one of the evacuations")
	r.MergeChanges([]registrar.Record{evacuates("x", 7)}, at(1, 6), at(1, 7), start)
	require.Equal(t, []string{"a", "b"}, evacuated(r))
	peer := twoDomains(registrar.Config{})
	records, to, whole := r.RecordsSince(at(1, 1))
	require.True(t, whole)
	require.True(t, peer.MergePeerList(records, 1, to, start, start))
	require.Equal(t, []string{"a", "b"}, evacuated(peer), "a whole list from a peer")
}

// Guards against an evacuation that outlives a restore from a copy without it, or that the copy has and that is doubted as an
// upstream would be, and against revisions of the era before that hide changes of this one.
func TestEvacuationsAfterARestore(t *testing.T) {
	upstreams := []registrar.Record{in("x", "a", 1), in("y", "b", 2)}
	r := twoDomains(registrar.Config{})
	r.Merge([]registrar.Record{evacuates("x", 50)}, start)
	r.MergeList(append(upstreams, evacuates("y", 3)), at(2, 4), start)
	require.Equal(t, []string{"a"}, ids(r))
	require.Equal(t, []string{"b"}, evacuated(r))
	r.MergeChanges([]registrar.Record{withdraws("y", 5), evacuates("x", 6)}, at(2, 4), at(2, 6), start)
	require.Equal(t, []string{"b"}, ids(r))
	r.MergeList(append(upstreams, evacuates("y", 3)), at(3, 4), start)
	require.Equal(t, []string{"b"}, evacuated(r), "the copy has an evacuation that had been taken back")
}

// Guards against a peer of the previous version that ends evacuations with its list, or hides them behind its position, and
// against a gateway that passes on such a list as one with evacuations.
func TestPeerThatKnowsNoEvacuations(t *testing.T) {
	upstreams := []registrar.Record{in("x", "a", 1), in("y", "b", 20)}
	r := twoDomains(registrar.Config{})
	r.Merge([]registrar.Record{evacuates("x", 6)}, start)
	r.MergePeerUpstreams(upstreams, 1, at(1, 30), start, start)
	require.Equal(t, []string{"a"}, evacuated(r))
	require.Equal(t, at(1, 5), r.Position(), "evacuations up to 30 are never asked for")
	require.False(t, r.LacksEvacuations())

	require.True(t, r.MergePeerUpstreams(upstreams, 1, at(2, 4), start, start))
	require.Equal(t, []string{"a"}, evacuated(r), "a list of another era")
	require.True(t, r.LacksEvacuations())
	r.MergeList(append(upstreams, evacuates("x", 3)), at(2, 4), start)
	require.False(t, r.LacksEvacuations())
	r.MergeChanges([]registrar.Record{withdraws("x", 5)}, at(2, 4), at(2, 5), start)
	require.Empty(t, evacuated(r), "the revision of the era before hides the end")

	started := registrar.New(registrar.Config{})
	require.True(t, started.MergePeerUpstreams(upstreams, 0, at(1, 30), start, start))
	require.True(t, started.Synced())
	require.True(t, started.LacksEvacuations())
}

// Guards against an upstream that its mark, its entry or a grace period brings back while its domain is evacuated, and against
// log lines about each renewed entry of a cold upstream.
func TestUpstreamsOfAnEvacuatedDomain(t *testing.T) {
	changes := 0
	r := twoDomains(registrar.Config{OnEvent: func(registrar.Event) { changes++ }})
	r.Merge([]registrar.Record{evacuates("x", 6)}, start)
	require.True(t, r.MarkLeaving(in("x", "a", 1).Upstream, "response", start))
	require.Empty(t, evacuated(r))
	require.Len(t, r.View().Leaving["s"], 1)
	r.Merge([]registrar.Record{in("x", "c", 7)}, start)
	r.OutageEnded(start)
	r.Merge([]registrar.Record{removed("c", 8)}, start)
	require.Equal(t, []string{"c"}, evacuated(r), "in the grace period")
	require.Equal(t, []string{"b"}, ids(r))

	before, cold, later := changes, in("y", "b", 9), start.Add(time.Second)
	cold.Upstream.Cold = 5 * time.Second
	require.True(t, r.Merge([]registrar.Record{cold}, later))
	require.Equal(t, registrar.Times{Entry: later, ColdUntil: later.Add(5 * time.Second)}, r.View().Times["b"])
	cold.Revision++
	r.Merge([]registrar.Record{cold}, later.Add(time.Second))
	require.Equal(t, later.Add(6*time.Second), r.View().Times["b"].ColdUntil, "an entry that is renewed unchanged")
	require.Equal(t, before, changes)
}

// Guards against gateways that differ in what is evacuated after the same changes in any order.
func TestEvacuationsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []registrar.Record
		want := map[string]bool{}
		for revision := range uint64(10) {
			domain := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "domain")
			rec := evacuates(domain, revision+6)
			rec.Removed = rapid.Bool().Draw(t, "removed")
			want[domain] = !rec.Removed
			records = append(records, rec)
		}
		r := twoDomains(registrar.Config{})
		for _, rec := range rapid.Permutation(records).Draw(t, "order") {
			r.Merge([]registrar.Record{rec}, start)
		}
		for domain, active := range want {
			if _, ok := r.View().Evacuations[domain]; ok != active {
				t.Fatalf("%s evacuated: %v, expected %v", domain, ok, active)
			}
		}
	})
}
