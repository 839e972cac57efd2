package tracker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/encoder"
	"clementineramp/tracker"
)

// trackerWithReports returns a tracker with a report from each of four hosts every 100 ms for 2 s, and the time of the
// last ones. The function work gives the load of a host at a step.
func trackerWithReports(work func(host, step int) float64) (t *tracker.Tracker, end time.Time) {
	t = tracker.New(tracker.Config{})
	t.UpdateHosts(hosts(4), start)
	for step := range 20 {
		end = start.Add(time.Duration(step) * 100 * time.Millisecond)
		for h := range 4 {
			t.Merge([]encoder.LoadEntry{{Upstream: name(h), Incarnation: 1, Sequence: uint64(step), Work: work(h, step), UptimeMS: int64(1 + 100*step)}}, end)
		}
	}
	return t, end
}

// Guards against a margin that does not reflect the age of the load table and how fast loads change.
func TestLowerEstimate(t *testing.T) {
	steady, end := trackerWithReports(func(int, int) float64 { return 1000 })
	l := steady.PoolLoadExcept("p", name(0), end.Add(second))
	require.Equal(t, tracker.Load{Work: 3000, Known: 3, Members: 3}, l, "the load of the named upstream must be left out")
	require.InDelta(t, 3000, l.LowerEstimate(), 1e-9, "steady loads need no margin")

	swinging, end := trackerWithReports(func(h, step int) float64 { return 1000 + 20*float64((h+step)%2) })
	young, old := swinging.PoolLoad("p", end.Add(10*time.Millisecond)), swinging.PoolLoad("p", end.Add(second))
	require.Greater(t, young.Deviation, 0.0)
	require.InDelta(t, 10*young.Deviation, old.Deviation, 1e-6, "the deviation must grow with the square root of the age")
	require.Less(t, old.LowerEstimate(), young.LowerEstimate())

	falling, end := trackerWithReports(func(_, step int) float64 { return 1000 - 10*float64(step) })
	l = falling.PoolLoad("p", end.Add(100*time.Millisecond))
	require.InDelta(t, -40, l.Trend, 1e-6, "each of the four loads must have fallen by 10 since its report")
	require.Less(t, l.LowerEstimate(), l.Work-40)

	l = tracker.Load{Work: 1000, Deviation: 1e6}
	require.InDelta(t, 800, l.LowerEstimate(), 1e-9, "an unlimited margin would keep engines empty")
}

// Guards against a few queued requests raising the bound, and against a backlog that does not count, so that engines
// never fill their batches.
func TestBacklog(t *testing.T) {
	require.Zero(t, tracker.Load{Work: 1000, Queued: 200}.Backlog())
	require.InDelta(t, 300, tracker.Load{Work: 1000, Queued: 500}.Backlog(), 1e-9)
	require.InDelta(t, 500, tracker.Load{Queued: 500}.Backlog(), 1e-9)
}

// Guards against a report that an engine is no longer ready being crowded out by the younger reports of busy engines,
// and against using one of the few entries for the report of the recipient itself.
func TestFreshestPrefersStatusChanges(t *testing.T) {
	tr, end := trackerWithReports(func(int, int) float64 { return 1000 })
	at := end.Add(time.Millisecond)
	tr.Merge([]encoder.LoadEntry{{Upstream: name(3), Incarnation: 1, Sequence: 50}}, at)
	at = at.Add(second)
	tr.Merge([]encoder.LoadEntry{{Upstream: name(0), Incarnation: 1, Sequence: 50, UptimeMS: 9000}}, at)
	tr.Merge([]encoder.LoadEntry{{Upstream: name(1), Incarnation: 1, Sequence: 50, UptimeMS: 9000}}, at)
	got := tr.Freshest(2, name(0), at)
	require.Equal(t, name(3), got[0].Upstream)
	require.Zero(t, got[0].UptimeMS)
	require.Equal(t, name(1), got[1].Upstream)
	at = at.Add(4 * second)
	tr.Merge([]encoder.LoadEntry{{Upstream: name(1), Incarnation: 1, Sequence: 51, UptimeMS: 9000}}, at)
	require.Equal(t, name(1), tr.Freshest(1, "", at)[0].Upstream, "a status change must lose its priority after a few seconds")
}

// Guards against a mean without an engine that is in its backoff after a restart but already runs work.
func TestRestartedUpstreamWithWorkCountsInMean(t *testing.T) {
	tr, end := trackerWithReports(func(int, int) float64 { return 1000 })
	at := end.Add(second)
	tr.Merge([]encoder.LoadEntry{{Upstream: name(1), Incarnation: 2, Sequence: 1, UptimeMS: 1}}, at)
	require.Equal(t, 3, tr.PoolLoad("p", at).Known)
	tr.Merge([]encoder.LoadEntry{{Upstream: name(1), Incarnation: 2, Sequence: 2, Work: 10, UptimeMS: 2}}, at)
	require.Equal(t, 4, tr.PoolLoad("p", at).Known)
}
