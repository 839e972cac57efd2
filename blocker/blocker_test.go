package blocker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/blocker"
)

var start = time.Unix(1_700_000_000, 0)

func TestThreeCrashesBlockAtAllRouters(t *testing.T) {
	a, b := blocker.New(), blocker.New()
	crashing := blocker.FingerprintOf("POST", "/a", "key", []byte("body"))
	harmless := blocker.FingerprintOf("POST", "/a", "key", []byte("other"))
	a.RecordCrash(crashing, "u1", start)
	a.RecordCrash(harmless, "u1", start)
	a.RecordCrash(crashing, "u2", start)
	require.Zero(t, a.BlockedFor(crashing, start))
	b.RecordCrash(crashing, "u3", start)
	pull(t, b, a, start, start.Add(time.Second))
	require.Positive(t, b.BlockedFor(crashing, start.Add(time.Second)))
	require.Zero(t, b.BlockedFor(harmless, start.Add(time.Second)))
}

// Guards against crash reports that are counted again each time that routers exchange them.
func TestOneCrashCountsOnce(t *testing.T) {
	a, b := blocker.New(), blocker.New()
	f := blocker.FingerprintOf("GET", "/", "", nil)
	a.RecordCrash(f, "u1", start)
	for range 5 {
		pull(t, b, a, start, start)
		pull(t, a, b, start, start)
	}
	require.Zero(t, a.BlockedFor(f, start))
}

func TestBlockExpires(t *testing.T) {
	c := blocker.New()
	f := blocker.FingerprintOf("GET", "/", "", nil)
	for _, u := range []string{"u1", "u2", "u3"} {
		c.RecordCrash(f, u, start)
	}
	require.Positive(t, c.BlockedFor(f, start.Add(time.Minute)))
	require.Zero(t, c.BlockedFor(f, start.Add(10*time.Minute)))
	require.Zero(t, count(c.ReportsSince(nil, start.Add(10*time.Minute))))
}

func TestReportsAreBounded(t *testing.T) {
	c := blocker.New()
	for i := range 10000 {
		c.RecordCrash(blocker.Fingerprint(i), "u", start)
	}
	require.LessOrEqual(t, count(c.ReportsSince(nil, start)), 4096)
}

// pull gives to the reports that it lacks of from, and returns their number.
func pull(t *testing.T, to, from *blocker.Blocker, sent, received time.Time) int {
	t.Helper()
	batches := from.ReportsSince(to.Known(sent), sent)
	require.NoError(t, to.Merge(batches, received))
	return count(batches)
}

func count(batches []blocker.Batch) int {
	n := 0
	for _, b := range batches {
		n += len(b.Requests)
	}
	return n
}

// Guards against the traffic of many upstreams that stop at the same moment: each router must receive each report once,
// whichever peers it exchanges state with, and those that expired in between must not make it ask again.
func TestEachReportIsReceivedOnce(t *testing.T) {
	const routers, crashes = 20, 50
	all := make([]*blocker.Blocker, routers)
	for i := range all {
		all[i] = blocker.New()
		for n := range crashes {
			all[i].RecordCrash(blocker.Fingerprint(i*crashes+n), "u", start)
		}
	}
	received := 0
	for round := range 40 {
		for i, to := range all {
			received += pull(t, to, all[(i+1+round*7)%routers], start, start)
		}
	}
	require.Equal(t, routers*(routers-1)*crashes, received)
	all[0].RecordCrash(1, "late", start.Add(time.Minute))
	now := start.Add(2*time.Minute + time.Second)
	require.Equal(t, 1, pull(t, all[1], all[0], now, now))
	require.Zero(t, pull(t, all[1], all[0], now, now))
}

// Guards against reports in the order of a map: a router that is told of a crash by two others attributes it to the first
// one, so that runs of a model with the same seed had 1 to 3 late requests.
func TestBatchesAreInOrderOfOrigins(t *testing.T) {
	c := blocker.NewWithOrigin(1000)
	for origin := uint64(40); origin > 0; origin-- {
		b := blocker.NewWithOrigin(origin)
		b.RecordCrash(7, "u", start)
		pull(t, c, b, start, start)
	}
	var origins []uint64
	for _, b := range c.ReportsSince(nil, start) {
		origins = append(origins, b.Origin)
	}
	require.Len(t, origins, 40)
	require.IsIncreasing(t, origins)
}

func TestMalformedBatches(t *testing.T) {
	ages := []uint32{0, 0, 0}
	for name, b := range map[string]blocker.Batch{
		"no origin":         {Last: 1, Requests: []blocker.Fingerprint{1}, Upstreams: []uint32{1}, AgesMS: ages[:1]},
		"missing upstreams": {Origin: 1, Last: 3, Requests: []blocker.Fingerprint{1, 1, 1}, AgesMS: ages},
		"missing ages":      {Origin: 1, Last: 3, Requests: []blocker.Fingerprint{1, 1, 1}, Upstreams: []uint32{1, 2, 3}},
		"too long":          {Origin: 1, Requests: make([]blocker.Fingerprint, 1e6), Upstreams: make([]uint32, 1e6), AgesMS: make([]uint32, 1e6)},
	} {
		t.Run(name, func(t *testing.T) {
			good := blocker.Batch{Origin: 2, Last: 3, Requests: []blocker.Fingerprint{7, 7, 7}, Upstreams: []uint32{1, 2, 3}, AgesMS: ages}
			c := blocker.New()
			require.Error(t, c.Merge([]blocker.Batch{b, good}, start))
			require.Zero(t, c.BlockedFor(1, start))
			require.Positive(t, c.BlockedFor(7, start), "a malformed batch must not lose the others")
		})
	}
}
