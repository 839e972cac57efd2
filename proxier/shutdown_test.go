package proxier_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/mapper"
	"clementineramp/platform/imitator"
	"clementineramp/proxier"
)

var (
	order  = proxier.Demand{Kind: mapper.NonIdempotent}
	read   = proxier.Demand{Kind: mapper.Idempotent, Repeatable: true}
	draft  = proxier.Demand{Kind: mapper.Stream}
	resume = proxier.Demand{Kind: mapper.Stream, Repeatable: true}
)

// TestShutdownAccepts lists what a stopping process accepts, for several grace periods. It guards against the refusal of
// what ends in time, and against accepting what may be cut.
func TestShutdownAccepts(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		grace, after, timeout time.Duration
		demand                proxier.Demand
		want                  bool
	}{
		{0, 0, 300 * ms, order, false},
		{0, 0, 300 * ms, read, false},
		{500 * ms, 0, 300 * ms, order, true},
		{500 * ms, 100 * ms, 300 * ms, order, true},
		{500 * ms, 200 * ms, 300 * ms, order, false},
		{500 * ms, 0, 600 * ms, read, false},
		{500 * ms, 0, 12 * time.Second, resume, false},
		{2 * time.Second, 0, 600 * ms, order, true},
		{2 * time.Second, 1200 * ms, 600 * ms, order, true},
		{2 * time.Second, 1300 * ms, 600 * ms, order, false},
		{2 * time.Second, 0, 2500 * ms, order, false},
		{2 * time.Second, 0, 2500 * ms, read, false},
		{2 * time.Second, 0, 12 * time.Second, resume, false},
		{2 * time.Second, 0, 12 * time.Second, draft, false},
		{8 * time.Second, 0, 2500 * ms, order, true},
		{8 * time.Second, 5300 * ms, 2500 * ms, order, true},
		{8 * time.Second, 5400 * ms, 2500 * ms, order, false},
		{8 * time.Second, 7500 * ms, 300 * ms, order, true},
		{8 * time.Second, 7600 * ms, 300 * ms, order, false},
		{8 * time.Second, 7900 * ms, 1 * ms, read, false},
		{8 * time.Second, 0, 30 * time.Second, order, false},
		{8 * time.Second, 0, 12 * time.Second, draft, true},
		{8 * time.Second, 2700 * ms, 12 * time.Second, draft, true},
		{8 * time.Second, 2800 * ms, 12 * time.Second, draft, false},
		{8 * time.Second, 2700 * ms, 12 * time.Second, resume, true},
		{8 * time.Second, 2800 * ms, 12 * time.Second, resume, false},
		{8 * time.Second, 5 * time.Second, 2 * time.Second, draft, true},
		{5 * time.Second, 700 * ms, 12 * time.Second, resume, true},
		{5 * time.Second, 900 * ms, 12 * time.Second, resume, false},
		{5 * time.Second, 0, 12 * time.Second, draft, false},
		{8 * time.Second, 0, time.Minute, read, true},
		{30 * time.Second, 17 * time.Second, 12 * time.Second, draft, true},
		{30 * time.Second, 18 * time.Second, 12 * time.Second, resume, false},
		{30 * time.Second, 0, time.Minute, order, false},
		{30 * time.Second, 2 * time.Second, time.Minute, read, true},
		{30 * time.Second, 3 * time.Second, time.Minute, read, false},
	} {
		t.Run(fmt.Sprintf("%v after %v of %v, timeout %v, repeatable %v", c.demand.Kind, c.after, c.grace, c.timeout, c.demand.Repeatable), func(t *testing.T) {
			started := time.Now()
			now := started.Add(c.after)
			c.demand.Deadline = now.Add(c.timeout)
			require.Equal(t, c.want, proxier.Shutdown{Started: started, Grace: c.grace}.Accepts(c.demand, now))
		})
	}
}

// TestShutdownNeverCutsOrders goes through all times of arrival: what is accepted and may not be repeated can run until its
// deadline, and every other request can run for four seconds, and arrived while callers are still sent to the process.
func TestShutdownNeverCutsOrders(t *testing.T) {
	started := time.Now()
	for _, grace := range []time.Duration{0, 500 * time.Millisecond, time.Second, 2 * time.Second, 8 * time.Second, 30 * time.Second} {
		s := proxier.Shutdown{Started: started, Grace: grace}
		require.False(t, s.ExitAt().Before(s.AnswerAt()))
		require.False(t, s.AnswerAt().Before(started))
		require.LessOrEqual(t, started.Add(grace).Sub(s.AnswerAt()), grace/6+1, "an upstream is interrupted before the last sixth of the grace period")
		for after := time.Duration(0); after <= grace+time.Second; after += 20 * time.Millisecond {
			now := started.Add(after)
			for _, timeout := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, 2500 * time.Millisecond, 12 * time.Second, time.Minute} {
				for _, d := range []proxier.Demand{order, read, draft, resume} {
					d.Deadline = now.Add(timeout)
					ends := !d.Deadline.After(s.AnswerAt())
					accepted := s.Accepts(d, now)
					require.True(t, accepted || !ends, "%v %v: refused at %v, although it ends in time", grace, d, after)
					if !accepted || ends {
						continue
					}
					require.NotEqual(t, mapper.NonIdempotent, d.Kind, "%v: accepted at %v, with timeout %v", grace, after, timeout)
					require.Less(t, after, 3*time.Second)
					require.GreaterOrEqual(t, s.AnswerAt().Sub(now), 4*time.Second)
				}
			}
		}
	}
}

// Guards against the resumption of a stream that has no time left, and against giving up one that has.
func TestShutdownResumesStreams(t *testing.T) {
	s := proxier.Shutdown{Started: time.Now(), Grace: 8 * time.Second}
	d := resume
	d.Begun, d.Deadline = true, s.Started.Add(12*time.Second)
	require.True(t, s.Accepts(d, s.Started.Add(7*time.Second)))
	require.False(t, s.Accepts(d, s.Started.Add(7600*time.Millisecond)))
}

// TestStoppingRouterRefuses checks that the decision is applied to requests as they arrive.
func TestStoppingRouterRefuses(t *testing.T) {
	f := newFixture(t, imitator.Events(2, 0))
	f.proxier.BeginShutdown(proxier.Shutdown{Started: time.Now().Add(-3 * time.Second), Grace: 30 * time.Second})
	require.Equal(t, 503, f.do("POST", "/stream/", "").status)
	require.Equal(t, 503, f.do("POST", "/order/", "").status)
	require.Zero(t, f.runs())
	require.Equal(t, 200, f.do("POST", "/stream/", "", imitator.HeaderRemaining, "5000").status)
	f.upstreams[0].Handle = nil
	require.Equal(t, 200, f.do("POST", "/order/", "", imitator.HeaderRemaining, "5000").status)
	f.proxier.RefuseAll()
	require.Equal(t, 503, f.do("POST", "/order/", "", imitator.HeaderRemaining, "5000").status)
}

// Guards against a request that an upstream has turned away during the shutdown and that is then sent to another one
// although it may take longer than the rest of the grace period.
func TestStoppingRouterStartsNoFurtherAttempt(t *testing.T) {
	var f *fixture
	begin := func(w http.ResponseWriter, r *http.Request) {
		f.proxier.BeginShutdown(proxier.Shutdown{Started: time.Now(), Grace: 2 * time.Second})
		imitator.Shed(w, r)
	}
	for _, path := range []string{"/order/", "/read/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			f = newFixture(t, begin, begin, begin)
			r := f.do("POST", path, "body")
			require.Equal(t, 503, r.status, "it has not run")
			require.Equal(t, 1, f.runs())
		})
	}
}

// Guards against a process that ends while a request waits for a connection to an upstream: it was closed without an
// answer.
func TestEndRequestsAnswersWhatWaitsForAConnection(t *testing.T) {
	f := newFixture(t, nil)
	dialling, release := make(chan struct{}, 10), make(chan struct{})
	f.dialDelay = func(string) time.Duration {
		dialling <- struct{}{}
		<-release
		return 0
	}
	got := make(chan result, 1)
	go func() { got <- f.do("POST", "/order/", "body") }()
	<-dialling
	f.proxier.EndRequests()
	close(release)
	r := <-got
	require.NoError(t, r.err)
	require.Equal(t, 503, r.status, "it has not run")
	require.Zero(t, f.runs())
}

// Guards against a stream that EndRequests interrupts although its first event has been sent: it may still end before the
// connections are closed.
func TestEndRequestsLetsResponsesEnd(t *testing.T) {
	release := make(chan struct{})
	f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(imitator.HeaderSignature, "signed")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprint(w, "id: 1\ndata: a\n\n")
		_ = http.NewResponseController(w).Flush()
		<-release
		_, _ = fmt.Fprint(w, "id: 2\ndata: b\n\n")
	})
	req, err := http.NewRequest(http.MethodPost, f.server.URL+"/stream/", nil)
	require.NoError(t, err)
	req.Host = "h"
	req.Header.Set(imitator.HeaderAttempt, "attempt-1")
	req.Header.Set(imitator.HeaderKey, "key")
	resp, err := http.DefaultClient.Do(req) // It returns when the caller has the header, which is sent with the first event.
	require.NoError(t, err)
	defer resp.Body.Close()
	f.proxier.EndRequests()
	close(release)
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", string(b))
}
