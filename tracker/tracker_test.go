package tracker_test

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"clementineramp/chooser"
	"clementineramp/encoder"
	"clementineramp/tracker"
)

const second = time.Second

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func hosts(n int) []tracker.Host {
	list := make([]tracker.Host, n)
	for i := range list {
		list[i] = tracker.Host{Name: name(i), Pool: "p", Domain: fmt.Sprint("d", i%3)}
	}
	return list
}

func name(i int) string { return fmt.Sprintf("e%03d", i) }

// report returns a report of e000 with 10 s of uptime at sequence 1.
func report(incarnation, sequence uint64) encoder.LoadEntry {
	return encoder.LoadEntry{
		Upstream: name(0), Incarnation: incarnation, Sequence: sequence,
		Work: 100, UptimeMS: 9000 + int64(sequence)*1000,
	}
}

func leaving(r encoder.LoadEntry) encoder.LoadEntry {
	r.Leaving = true
	return r
}

func notReady(r encoder.LoadEntry) encoder.LoadEntry {
	r.UptimeMS = 0
	return r
}

// step is an operation on a tracker of four hosts, at a time after start.
type step struct {
	at time.Duration
	do func(t *tracker.Tracker, now time.Time)
}

func observe(at time.Duration, o tracker.Outcome) step {
	return step{at, func(t *tracker.Tracker, now time.Time) {
		t.Observe(tracker.Observation{Upstream: name(0), Outcome: o}, now)
	}}
}

func merge(at time.Duration, r encoder.LoadEntry) step {
	return step{at, func(t *tracker.Tracker, now time.Time) { t.Merge([]encoder.LoadEntry{r}, now) }}
}

func list(at time.Duration, l []tracker.Host) step {
	return step{at, func(t *tracker.Tracker, now time.Time) { t.UpdateHosts(l, now) }}
}

// Guards against a state that hides a failure, one that persists after the upstream has recovered, and one that sends work
// to a leaving upstream.
func TestStates(t *testing.T) {
	leavingList := hosts(4)
	leavingList[0].Leaving = true
	tests := []struct {
		name  string
		steps []step
		at    time.Duration
		want  chooser.State
	}{
		{"on the list only", nil, 0, chooser.Joining},
		{"answered", []step{observe(0, tracker.Answered)}, second, chooser.Live},
		{"reported", []step{merge(0, report(1, 1))}, second, chooser.Live},
		{"no report for long, as after a pause", []step{merge(0, report(1, 1))}, 60 * second, chooser.Joining},
		{"connection refused", []step{observe(0, tracker.Answered), observe(1, tracker.ConnectionRefused)}, second, chooser.Down},
		{"timed out", []step{observe(0, tracker.TimedOut)}, second, chooser.Suspect},
		{"not ready", []step{observe(0, tracker.NotReady)}, second, chooser.Down},
		{"answer clears suspect state", []step{observe(0, tracker.TimedOut), observe(1, tracker.Answered)}, second, chooser.Live},
		{"may be tried again after the backoff", []step{observe(0, tracker.ConnectionRefused)}, 2 * second, chooser.Joining},
		{"report during the backoff", []step{observe(0, tracker.TimedOut), merge(second, report(1, 1))}, second, chooser.Suspect},
		{"report after the failure", []step{observe(0, tracker.TimedOut), merge(second, report(1, 1))}, 2 * second, chooser.Live},
		{"old report after the failure", []step{
			observe(second, tracker.TimedOut),
			merge(2*second, encoder.LoadEntry{Upstream: name(0), Sequence: 1, AgeMS: 1500, UptimeMS: 9000}),
		}, 4 * second, chooser.Joining},
		{"second flap doubles the backoff", []step{
			observe(0, tracker.ConnectionRefused),
			observe(2*second, tracker.ConnectionRefused),
		}, 5 * second, chooser.Down},
		{"flap after the window", []step{
			observe(0, tracker.ConnectionRefused),
			observe(301*second, tracker.ConnectionRefused),
		}, 303 * second, chooser.Joining},
		{"failures during the backoff are no flaps", []step{
			observe(0, tracker.ConnectionRefused),
			observe(1*second, tracker.ConnectionRefused),
		}, 2 * second, chooser.Joining},
		{"restart of the agent", []step{merge(0, report(1, 5)), merge(second, report(2, 1))}, 2 * second, chooser.Down},
		{"restart of the engine", []step{
			merge(0, report(1, 5)),
			merge(second, encoder.LoadEntry{Upstream: name(0), Incarnation: 1, Sequence: 6, UptimeMS: 10}),
		}, 2 * second, chooser.Down},
		{"restart after its failure is one flap", []step{
			merge(0, report(1, 5)), observe(second, tracker.ConnectionRefused), merge(4*second, report(2, 1)),
		}, 4 * second, chooser.Live},
		{"flaps are counted on while the list lacks the upstream", []step{
			observe(0, tracker.ConnectionRefused), list(second, hosts(4)[1:]), list(2*second, hosts(4)),
			observe(3*second, tracker.ConnectionRefused),
		}, 6 * second, chooser.Down},
		{"lower incarnation is accepted after the maximum backoff", []step{
			merge(0, report(9, 5)), merge(65*second, report(1, 5)), merge(68*second, report(1, 6)),
		}, 68 * second, chooser.Live},
		{"list says leaving", []step{list(0, leavingList), merge(second, report(1, 1))}, second, chooser.Leaving},
		{"report says leaving", []step{merge(0, leaving(report(1, 1)))}, second, chooser.Leaving},
		{"older report does not override leaving", []step{merge(0, leaving(report(1, 2))), merge(1, report(1, 1))}, second, chooser.Leaving},
		{"refusal says leaving", []step{merge(0, report(1, 1)), observe(1, tracker.Leaving)}, second, chooser.Leaving},
		{"new incarnation overrides leaving", []step{
			observe(0, tracker.Leaving), merge(1, leaving(report(1, 1))), merge(5*second, report(2, 1)),
		}, 7 * second, chooser.Live},
		{"report says not ready", []step{merge(0, notReady(report(1, 1)))}, second, chooser.Down},
		{"answer overrides an older report of not ready", []step{
			merge(0, notReady(report(1, 1))), observe(1, tracker.Answered),
		}, second, chooser.Live},
		{"ready again", []step{merge(0, notReady(report(1, 1))), merge(1, report(1, 2))}, second, chooser.Live},
		{"list no longer says leaving", []step{
			list(0, leavingList), merge(1, leaving(report(1, 1))), list(second, hosts(4)),
		}, 2 * second, chooser.Joining},
		{"leaving expires unless it is renewed", []step{observe(0, tracker.Leaving)}, 65 * second, chooser.Joining},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := tracker.New(tracker.Config{})
			tr.UpdateHosts(hosts(4), start)
			for _, s := range tt.steps {
				s.do(tr, start.Add(s.at))
			}
			require.Equal(t, tt.want.String(), tr.View("p", start.Add(tt.at))[0].State.String())
		})
	}
}

// Guards against a backoff that grows without bound, or not at all, while an upstream flaps.
func TestFlapDamping(t *testing.T) {
	tr := tracker.New(tracker.Config{})
	tr.UpdateHosts(hosts(1), start)
	now := start
	for _, backoff := range []time.Duration{2, 4, 8, 16, 32, 64, 64} {
		tr.Observe(tracker.Observation{Upstream: name(0), Outcome: tracker.ConnectionRefused}, now)
		now = now.Add(backoff*second - 1)
		require.Equal(t, chooser.Down, tr.View("p", now)[0].State)
		now = now.Add(1)
		require.Equal(t, chooser.Joining, tr.View("p", now)[0].State)
	}
}

// Guards against a faulty host list that removes most of the fleet, and against a correct one that stays pending for ever.
func TestPendingHostList(t *testing.T) {
	tr := tracker.New(tracker.Config{})
	require.True(t, tr.UpdateHosts(hosts(20), start).Applied)
	require.True(t, tr.UpdateHosts(hosts(10), start).Applied, "a list that lacks exactly half must be applied")
	change := tr.UpdateHosts(hosts(4), start)
	require.False(t, change.Applied)
	require.Equal(t, "host list lacks 6 of 10 live upstreams", change.Warning)
	require.Len(t, tr.View("p", start), 10)
	_, ok := tr.RetryPending(start)
	require.False(t, ok)
	for i := 6; i < 10; i++ {
		tr.Observe(tracker.Observation{Upstream: name(i), Outcome: tracker.ConnectionRefused}, start)
	}
	change, ok = tr.RetryPending(start)
	require.True(t, ok)
	require.Len(t, change.Removed, 6)
	require.Len(t, tr.View("p", start), 4)
	require.False(t, tr.UpdateHosts(nil, start).Applied)
	require.True(t, tr.UpdateHosts(hosts(3), start).Applied)
}

// Guards against losing an upstream that an outdated host list lacks although it answers, and against keeping it for ever.
func TestMissingEntry(t *testing.T) {
	tr := tracker.New(tracker.Config{})
	tr.UpdateHosts(hosts(3), start)
	tr.Observe(tracker.Observation{Upstream: name(2), Outcome: tracker.Answered}, start)
	change := tr.UpdateHosts(hosts(2), start)
	require.Equal(t, []string{name(2)}, change.Removed)
	require.Len(t, tr.View("p", start.Add(10*second)), 3)
	_, ok := tr.Lookup(name(2), start.Add(10*second))
	require.True(t, ok)
	require.Len(t, tr.View("p", start.Add(11*second)), 2)
	_, ok = tr.Lookup(name(2), start.Add(11*second))
	require.False(t, ok)
}

// Guards against loads that are used after they have expired, and against relayed copies of a report that look younger than
// they are.
func TestLoadExpiry(t *testing.T) {
	tr := tracker.New(tracker.Config{})
	tr.UpdateHosts(hosts(2), start)
	r := report(1, 1)
	require.Equal(t, 1, tr.Merge([]encoder.LoadEntry{r}, start))
	r.AgeMS = 3000
	require.Equal(t, 0, tr.Merge([]encoder.LoadEntry{r}, start.Add(second)))
	u := tr.View("p", start.Add(second))[0]
	require.True(t, u.Known)
	require.Equal(t, 3*second, u.WorkAge)
	require.Equal(t, 13*second, u.Uptime)
	require.Equal(t, tracker.Load{Work: 100, Known: 1, Members: 2}, tr.PoolLoad("p", start.Add(second)))
	require.Equal(t, int64(3001), tr.Freshest(8, "", start.Add(second+time.Microsecond))[0].AgeMS)
	require.False(t, tr.View("p", start.Add(9*second))[0].Known)
	require.Empty(t, tr.Freshest(8, "", start.Add(9*second)))
	require.Equal(t, tracker.Load{Members: 2}, tr.PoolLoad("p", start.Add(9*second)))
}

// Guards against reports that waited in a socket during a pause of the process and count as fresh afterwards.
func TestResume(t *testing.T) {
	tr := tracker.New(tracker.Config{})
	tr.UpdateHosts(hosts(1), start)
	tr.Resume(30*second, start)
	tr.Merge([]encoder.LoadEntry{report(1, 1)}, start.Add(second/2))
	require.False(t, tr.View("p", start.Add(second/2))[0].Known)
	tr.Merge([]encoder.LoadEntry{report(1, 2)}, start.Add(2*second))
	u := tr.View("p", start.Add(2*second))[0]
	require.True(t, u.Known)
	require.Equal(t, chooser.Live, u.State, "a delayed report must not look like a restart")
}

// Guards against invalid loads, such as NaN or negative ones, that corrupt the mean of the pool.
func TestMergeIgnoresBadReports(t *testing.T) {
	tr := tracker.New(tracker.Config{})
	tr.UpdateHosts(hosts(1), start)
	for _, r := range []encoder.LoadEntry{
		{Upstream: "unknown", Sequence: 1},
		{Upstream: name(0), Sequence: 1, Work: math.NaN()},
		{Upstream: name(0), Sequence: 1, Work: -1},
		{Upstream: name(0), Sequence: 1, Queued: math.Inf(1)},
		{Upstream: name(0), Sequence: 1, UptimeMS: -1},
	} {
		require.Zero(t, tr.Merge([]encoder.LoadEntry{r}, start), "%+v", r)
	}
	tr.Merge([]encoder.LoadEntry{{Upstream: name(0), Sequence: 1, AgeMS: math.MaxInt64}}, start)
	require.Zero(t, tr.PoolLoad("p", start).Known)
}

// Guards against state that depends on the order in which reports and their copies arrive.
func TestMergeOrderIsIrrelevant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) encoder.LoadEntry {
			r := report(rapid.Uint64Range(1, 3).Draw(t, "incarnation"), rapid.Uint64Range(1, 4).Draw(t, "sequence"))
			r.Work = float64(r.Incarnation*10 + r.Sequence)
			r.AgeMS = rapid.Int64Range(0, 8000).Draw(t, "age")
			return r
		}), 1, 12).Draw(t, "reports")
		a, b := tracker.New(tracker.Config{}), tracker.New(tracker.Config{})
		a.UpdateHosts(hosts(1), start)
		b.UpdateHosts(hosts(1), start)
		a.Merge(reports, start)
		for _, r := range rapid.Permutation(reports).Draw(t, "permuted") {
			b.Merge([]encoder.LoadEntry{r}, start)
		}
		require.Equal(t, a.Freshest(1, "", start), b.Freshest(1, "", start))
	})
}

// Guards against forwarding load reports that are not the youngest ones.
func TestFreshest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ages := rapid.SliceOfN(rapid.Int64Range(0, 20000), 1, 30).Draw(t, "ages")
		n := rapid.IntRange(0, 10).Draw(t, "n")
		tr := tracker.New(tracker.Config{})
		tr.UpdateHosts(hosts(len(ages)), start)
		fresh := 0
		for i, age := range ages {
			tr.Merge([]encoder.LoadEntry{{Upstream: name(i), Sequence: 1, AgeMS: age}}, start)
			if age <= 10000 {
				fresh++
			}
		}
		got := tr.Freshest(n, "", start)
		require.Len(t, got, min(n, fresh))
		for i, r := range got {
			younger := 0
			for _, age := range ages {
				if age < r.AgeMS {
					younger++
				}
			}
			require.LessOrEqual(t, younger, i)
		}
	})
}

// Guards against a router that, after its start, treats the whole fleet as cold, or a new upstream as warm.
func TestUptime(t *testing.T) {
	tr := tracker.New(tracker.Config{})
	tr.UpdateHosts(hosts(1), start)
	tr.UpdateHosts(hosts(2), start.Add(second))
	tr.Merge([]encoder.LoadEntry{report(1, 1)}, start.Add(second))
	ups := tr.View("p", start.Add(3*second))
	require.Equal(t, 12*second, ups[0].Uptime)
	require.Equal(t, 2*second, ups[1].Uptime)
	other := tracker.New(tracker.Config{})
	other.UpdateHosts(hosts(1), start)
	require.GreaterOrEqual(t, other.View("p", start)[0].Uptime, chooser.DefaultRamp)
}

// largeTracker returns a tracker of 600 upstreams with a load report from each.
func largeTracker() *tracker.Tracker {
	tr := tracker.New(tracker.Config{})
	tr.UpdateHosts(hosts(600), start)
	for i := range 600 {
		tr.Merge([]encoder.LoadEntry{{Upstream: name(i), Sequence: 1, Work: 1, UptimeMS: 1, AgeMS: int64(i % 97)}}, start)
	}
	return tr
}

func BenchmarkView(b *testing.B) {
	tr := largeTracker()
	var buf []chooser.Upstream
	b.ReportAllocs()
	for b.Loop() {
		buf = tr.AppendView(buf[:0], "p", start)
	}
}

func BenchmarkFreshest(b *testing.B) {
	tr := largeTracker()
	b.ReportAllocs()
	for b.Loop() {
		tr.Freshest(8, "", start)
	}
}

func BenchmarkMean(b *testing.B) {
	tr := largeTracker()
	b.ReportAllocs()
	for b.Loop() {
		tr.PoolLoad("p", start)
	}
}

func BenchmarkMerge(b *testing.B) {
	tr := largeTracker()
	reports := tr.Freshest(9, "", start)
	b.ReportAllocs()
	for b.Loop() {
		for i := range reports {
			reports[i].Sequence++
		}
		tr.Merge(reports, start)
	}
}
