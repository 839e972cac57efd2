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
	a.Record("u", appraiser.Refused, start)
	now := start.Add(time.Second)
	require.Equal(t, appraiser.Trial, a.Health("u", now))
	a.Begin("u", now)
	require.NotEqual(t, appraiser.Trial, a.Health("u", now.Add(time.Second)))
	require.Equal(t, appraiser.Trial, a.Health("u", now.Add(4*time.Second)))
}

func TestRefusedConnectionsSuspend(t *testing.T) {
	a := appraiser.New(appraiser.Config{})
	a.Record("u", appraiser.Refused, start)
	require.Equal(t, appraiser.Unreachable, a.Health("u", start))
	require.Equal(t, appraiser.Trial, a.Health("u", start.Add(300*time.Millisecond)))
	a.Begin("u", start.Add(300*time.Millisecond))
	a.Record("u", appraiser.Served, start.Add(310*time.Millisecond))
	require.Equal(t, appraiser.Good, a.Health("u", start.Add(310*time.Millisecond)))
}

func TestPrune(t *testing.T) {
	a := appraiser.New(appraiser.Config{})
	a.Record("u", appraiser.Refused, start)
	a.Prune(func(string) bool { return false })
	require.Equal(t, appraiser.Good, a.Health("u", start))
}
