package proxier_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/appraiser"
	"clementineramp/platform/imitator"
)

// Guards against requests to an upstream that has refused one and wants none for a time, as first attempts and as retries,
// and against a pause that does not end.
func TestPauseOfUpstream(t *testing.T) {
	f := newFixture(t, imitator.ShedFor("0.5"), nil)
	started := time.Now()
	for i := range 5 {
		require.Equal(t, 200, f.do("POST", "/order/", fmt.Sprint(i)).status, f.log.String())
	}
	require.Less(t, time.Since(started), 400*time.Millisecond, "the machine is too slow for this test")
	require.Len(t, f.upstreams[0].Runs(), 1, "the upstream received a request during its pause")
	require.Contains(t, f.log.String(), "event=upstream_paused upstream=u0")
	time.Sleep(600*time.Millisecond - time.Since(started))
	require.Equal(t, 200, f.do("POST", "/order/", "body").status)
	require.Len(t, f.upstreams[0].Runs(), 2, "the upstream receives no requests after its pause")
}

// Guards against a pause that is taken from a response of which it is not certain whose it is, or that may have run.
func TestPauseThatIsNotBelieved(t *testing.T) {
	answer := func(status int, name string, notRun bool) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(imitator.HeaderAttempt, name)
			if name == "" {
				w.Header().Del(imitator.HeaderAttempt)
			}
			w.Header().Set(imitator.HeaderRetryAfter, "5")
			if notRun {
				w.Header().Set(imitator.HeaderNotExecuted, "1")
			}
			w.WriteHeader(status)
		}
	}
	for name, h := range map[string]http.HandlerFunc{
		"no ID": answer(503, "", true), "may have run": answer(503, "attempt-1", false),
		"too many requests": answer(429, "attempt-1", true), "another upstream": answer(421, "attempt-1", true),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, h)
			f.do("POST", "/order/", "body")
			require.Equal(t, 1, f.runs())
			require.NotContains(t, f.log.String(), "upstream_paused")
			require.Zero(t, f.placer.PausedFor("s", time.Now()))
		})
	}
}

// Guards against callers that are sent back too early, all at the same time or not at once, when all upstreams of a service
// want no requests for a time.
func TestServiceWhoseUpstreamsAllPause(t *testing.T) {
	f := newFixture(t, imitator.ShedFor("20"), imitator.ShedFor("3"))
	require.Equal(t, 503, f.do("POST", "/order/", "body").status)
	require.Equal(t, 2, f.runs())
	delays := map[string]bool{}
	for range 5 {
		r := f.do("POST", "/order/", "body", imitator.HeaderRemaining, "60000")
		require.Equal(t, 503, r.status)
		after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.Greater(t, after, 2.5)
		require.Less(t, after, 3.7)
		delays[r.header.Get("Retry-After")] = true
		r = f.do("POST", "/order/", "body", imitator.HeaderRemaining, "1200")
		after, err = strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.LessOrEqual(t, after, 0.4, "the delay exceeds a third of the caller's remaining time")
		require.Greater(t, after, 0.25)
		delays[r.header.Get("Retry-After")] = true
	}
	require.Greater(t, len(delays), 7, "callers return at the same time")
	require.Equal(t, 2, f.runs(), "a request was sent although all upstreams pause")
	require.Contains(t, f.log.String(), "reason=upstreams_paused")
}

// Guards against an upstream that is taken for unhealthy because it says when it takes requests again.
func TestPauseIsNoFailureOfHealth(t *testing.T) {
	f := newFixture(t, imitator.ShedFor("0.001"))
	for range 5 {
		require.Equal(t, 503, f.do("POST", "/order/", "body").status)
		time.Sleep(2 * time.Millisecond)
	}
	require.Equal(t, 5, f.runs())
	require.Equal(t, appraiser.Good, f.health.Health("u0", time.Now()))
}

// Guards against a request that has chosen an upstream, waits for its connection while the upstream asks for a pause, and is
// sent all the same.
func TestPauseLearntWhileConnecting(t *testing.T) {
	f := newFixture(t, nil, nil)
	f.connected = func() {
		f.connected = nil
		f.placer.Pause(f.view.ByService["s"][0], time.Now().Add(5*time.Second))
	}
	require.Equal(t, 200, f.do("POST", "/order/", "body").status, f.log.String())
	require.Empty(t, f.upstreams[0].Runs())
	require.Len(t, f.upstreams[1].Runs(), 1)
	require.Equal(t, int64(100), f.budget.Load(), "a request that was not sent has cost a retry")
}

// Guards against a pause that begins only when the body of the refusal has been read, which may take two seconds.
func TestPauseBeginsWithTheHeadOfARefusal(t *testing.T) {
	release := make(chan struct{})
	f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(imitator.HeaderNotExecuted, "1")
		w.Header().Set(imitator.HeaderRetryAfter, "5")
		w.Header().Set("Content-Length", "10")
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = http.NewResponseController(w).Flush()
		<-release
	}, nil)
	ended := make(chan result, 1)
	t.Cleanup(func() {
		close(release)
		<-ended
	})
	go func() { ended <- f.do("POST", "/order/", "first") }()
	require.Eventually(t, func() bool {
		return f.placer.CheckAccepts(f.view.ByService["s"][0], time.Now()) != nil
	}, 500*time.Millisecond, 5*time.Millisecond)
}
