package tracker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/encoder"
	"clementineramp/tracker"
)

// trackerWithReports merges a report of each of four hosts every 100 ms for 2 s, with a load by host and step.
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

// Guards against a margin that does not follow what it stands for: the age of the table and how fast loads change.
func TestLowerEstimate(t *testing.T) {
	steady, end := trackerWithReports(func(int, int) float64 { return 1000 })
	l := steady.PoolLoadExcept("p", name(0), end.Add(second))
	require.Equal(t, tracker.Load{Work: 3000, Known: 3, Members: 3}, l, "the own load is left out")
	require.InDelta(t, 3000, l.LowerEstimate(), 1e-9, "steady loads need no margin")

	swinging, end := trackerWithReports(func(h, step int) float64 { return 1000 + 20*float64((h+step)%2) })
	young, old := swinging.PoolLoad("p", end.Add(10*time.Millisecond)), swinging.PoolLoad("p", end.Add(second))
	require.Greater(t, young.Deviation, 0.0)
	require.InDelta(t, 10*young.Deviation, old.Deviation, 1e-6, "the deviation grows with the root of the age")
	require.Less(t, old.LowerEstimate(), young.LowerEstimate())

	falling, end := trackerWithReports(func(_, step int) float64 { return 1000 - 10*float64(step) })
	l = falling.PoolLoad("p", end.Add(100*time.Millisecond))
	require.InDelta(t, -40, l.Trend, 1e-6, "each of four loads has fallen by 10 since")
	require.Less(t, l.LowerEstimate(), l.Work-40)

	l = tracker.Load{Work: 1000, Deviation: 1e6}
	require.InDelta(t, 800, l.LowerEstimate(), 1e-9, "a margin without end would keep engines empty")
}

// Guards against a few queued requests that raise the bound, and against a backlog that does not fill the batches.
func TestBacklog(t *testing.T) {
	require.Zero(t, tracker.Load{Work: 1000, Queued: 200}.Backlog())
	require.InDelta(t, 300, tracker.Load{Work: 1000, Queued: 500}.Backlog(), 1e-9)
	require.InDelta(t, 500, tracker.Load{Queued: 500}.Backlog(), 1e-9)
}

// Guards against the loss of the news that an engine is out of use behind the younger reports of busy ones, and against
// a share of the few entries that an agent knows anyway.
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
	require.Equal(t, name(1), tr.Freshest(1, "", at)[0].Upstream, "news grow old")
}

// Guards against an engine that is held back after a restart but already carries work and is missing in the mean.
func TestRestartedUpstreamWithWorkCountsInMean(t *testing.T) {
	tr, end := trackerWithReports(func(int, int) float64 { return 1000 })
	at := end.Add(second)
	tr.Merge([]encoder.LoadEntry{{Upstream: name(1), Incarnation: 2, Sequence: 1, UptimeMS: 1}}, at)
	require.Equal(t, 3, tr.PoolLoad("p", at).Known)
	tr.Merge([]encoder.LoadEntry{{Upstream: name(1), Incarnation: 2, Sequence: 2, Work: 10, UptimeMS: 2}}, at)
	require.Equal(t, 4, tr.PoolLoad("p", at).Known)
}
