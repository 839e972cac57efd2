package appraiser_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/appraiser"
)

var start = time.Unix(1_700_000_000, 0)

// An upstream that fails only some of its requests becomes suspect.
func TestPartialFailuresMakeUpstreamSuspect(t *testing.T) {
	a := appraiser.New(appraiser.Config{})
	for _, o := range []appraiser.Outcome{appraiser.Served, appraiser.Failed, appraiser.Served, appraiser.Broken, appraiser.Served} {
		a.Record("u", o, start)
	}
	require.Equal(t, appraiser.Good, a.Health("u", start))
	a.Record("u", appraiser.Failed, start)
	require.Equal(t, appraiser.Suspect, a.Health("u", start))
}

func TestRareErrorsAreTolerated(t *testing.T) {
	a := appraiser.New(appraiser.Config{})
	for i := range 200 {
		o := appraiser.Served
		if i%7 == 0 {
			o = appraiser.Failed
		}
		a.Record("u", o, start)
		require.Equal(t, appraiser.Good, a.Health("u", start))
	}
}

func TestTrialsDecideRecovery(t *testing.T) {
	var changes []appraiser.Change
	a := appraiser.New(appraiser.Config{OnChange: func(c appraiser.Change) { changes = append(changes, c) }})
	for range 3 {
		a.Record("u", appraiser.Failed, start)
	}
	require.Equal(t, appraiser.Suspect, a.Health("u", start))
	now := start.Add(time.Second)
	require.Equal(t, appraiser.Trial, a.Health("u", now))
	a.Begin("u", now)
	require.Equal(t, appraiser.Suspect, a.Health("u", now), "a second trial is allowed while the first is in progress")
	a.Record("u", appraiser.Failed, now)
	require.Equal(t, appraiser.Suspect, a.Health("u", now.Add(600*time.Millisecond)), "the backoff did not grow after a failed trial")

	now = now.Add(2 * time.Second)
	for range 2 {
		require.Equal(t, appraiser.Trial, a.Health("u", now))
		a.Begin("u", now)
		a.Record("u", appraiser.Served, now)
	}
	require.Equal(t, appraiser.Good, a.Health("u", now))
	require.Len(t, changes, 2)
}

func TestTrialWithoutOutcomeTimesOut(t *testing.T) {
	a := appraiser.New(appraiser.Config{})
	for range 3 {
		a.Record("u", appraiser.Failed, start)
	}
	now := start.Add(time.Second)
	require.Equal(t, appraiser.Trial, a.Health("u", now))
	a.Begin("u", now)
	require.NotEqual(t, appraiser.Trial, a.Health("u", now.Add(time.Second)))
	require.Equal(t, appraiser.Trial, a.Health("u", now.Add(4*time.Second)))
}

// Guards against requests that wait for connections to upstreams that have gone dark: while a group of upstreams is dark,
// every trial of one of them would delay a request by the dial timeout.
func TestUnreachableUpstreamIsProbed(t *testing.T) {
	var changes []appraiser.Change
	a := appraiser.New(appraiser.Config{OnChange: func(c appraiser.Change) { changes = append(changes, c) }})
	a.Record("u", appraiser.Refused, start)
	require.Equal(t, appraiser.Unreachable, a.Health("u", start))
	require.Empty(t, a.DueProbes(start.Add(200*time.Millisecond)))
	probes := 0
	now := start
	for ; now.Before(start.Add(6 * time.Second)); now = now.Add(50 * time.Millisecond) {
		require.Equal(t, appraiser.Unreachable, a.Health("u", now), "a request is sent as a trial")
		for _, u := range a.DueProbes(now) {
			require.Equal(t, "u", u)
			require.Empty(t, a.DueProbes(now), "a second probe starts while the first is in progress")
			probes++
			a.RecordProbe("u", false, now.Add(30*time.Millisecond))
		}
	}
	require.Equal(t, 5, probes, "the backoff does not double from 250 ms to 2 s: 0.25, 0.5, 1, 2, 2 s")
	now = now.Add(2 * time.Second)
	require.Len(t, a.DueProbes(now), 1)
	require.Equal(t, []string{"u"}, a.DueProbes(now.Add(4*time.Second)), "a probe without a result does not time out")
	a.RecordProbe("u", true, now.Add(4*time.Second))
	require.Equal(t, appraiser.Good, a.Health("u", now.Add(4*time.Second)))
	require.Equal(t, appraiser.Connected, changes[len(changes)-1].Outcome)
	a.RecordProbe("u", false, now.Add(5*time.Second))
	require.Equal(t, appraiser.Good, a.Health("u", now.Add(5*time.Second)), "a late result of a probe counts")
}

// Guards against an upstream that goes dark while connections to it are open: a request on one of them only shows silence,
// and it takes three to make the upstream suspect, each of which delays a request.
func TestSilentUpstreamIsProbed(t *testing.T) {
	a := appraiser.New(appraiser.Config{})
	a.Record("dark", appraiser.Silent, start)
	a.Record("slow", appraiser.Silent, start)
	a.Record("answers", appraiser.Silent, start)
	a.Record("answers", appraiser.Served, start)
	require.ElementsMatch(t, []string{"dark", "slow"}, a.DueProbes(start))
	a.RecordProbe("dark", false, start)
	a.RecordProbe("slow", true, start)
	require.Equal(t, appraiser.Unreachable, a.Health("dark", start))
	require.Equal(t, appraiser.Good, a.Health("slow", start))
	a.Record("slow", appraiser.Silent, start.Add(100*time.Millisecond))
	require.Empty(t, a.DueProbes(start.Add(200*time.Millisecond)), "a slow upstream is probed with each silent request")
	a.MergeReports([]appraiser.Report{{Upstream: "slow", Age: 500 * time.Millisecond}}, start.Add(300*time.Millisecond))
	require.Contains(t, a.DueProbes(start.Add(time.Second)), "slow", "a report from before the last probe ends the doubt")
}

// Guards against each gateway of a large fleet finding out by itself, with a delayed request, that a group of upstreams has
// gone dark. A report alone must not take an upstream out of use: the gateway that sent it may be cut off.
func TestReportedUpstreamsAreProbed(t *testing.T) {
	news := 0
	heard := map[string]time.Time{"reports": start.Add(time.Second)}
	a := appraiser.New(appraiser.Config{
		OnReport: func() { news++ }, Heard: func(u string) time.Time { return heard[u] },
	})
	b := appraiser.New(appraiser.Config{})
	for _, u := range []string{"dark", "cut off from b", "reports"} {
		b.Record(u, appraiser.Refused, start)
	}
	now := start.Add(100 * time.Millisecond)
	reports := b.Reports(now)
	require.Len(t, reports, 3)
	a.MergeReports(reports, now)
	a.MergeReports(b.Reports(now.Add(time.Second)), now.Add(time.Second))
	require.Equal(t, 3, news, "a report is news only once")
	require.Equal(t, appraiser.Good, a.Health("dark", now))
	due := a.DueProbes(now)
	require.ElementsMatch(t, []string{"dark", "cut off from b"}, due)
	a.RecordProbe("dark", false, now)
	a.RecordProbe("cut off from b", true, now)
	require.Equal(t, appraiser.Unreachable, a.Health("dark", now))
	require.Equal(t, appraiser.Good, a.Health("cut off from b", now))
	a.MergeReports(reports, now)
	require.Empty(t, a.DueProbes(now.Add(200*time.Millisecond)), "an old report starts another probe")
	require.Len(t, a.Reports(now.Add(2450*time.Millisecond)), 1, "reports expire, unless a probe has renewed them")
	require.Empty(t, a.Reports(now.Add(3*time.Second)))
	a.MergeReports([]appraiser.Report{{Upstream: "x", Age: -time.Hour}, {Upstream: "y", Age: time.Hour}}, now)
	require.Equal(t, []string{"dark"}, a.DueProbes(now.Add(time.Hour)), "a report from the future or the past counts")
}

func TestRefusedConnectionsSuspend(t *testing.T) {
	a := appraiser.New(appraiser.Config{})
	a.Record("u", appraiser.Refused, start)
	require.Equal(t, appraiser.Unreachable, a.Health("u", start))
	a.Record("u", appraiser.Served, start.Add(310*time.Millisecond))
	require.Equal(t, appraiser.Good, a.Health("u", start.Add(310*time.Millisecond)), "a request that was sent before shows that it serves")
}

func TestPrune(t *testing.T) {
	a := appraiser.New(appraiser.Config{})
	a.Record("u", appraiser.Refused, start)
	a.Prune(func(string) bool { return false })
	require.Equal(t, appraiser.Good, a.Health("u", start))
}
