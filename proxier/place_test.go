package proxier_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"clementineramp/blocker"
	"clementineramp/dispatcher"
	"clementineramp/mapper"
	"clementineramp/placer"
	"clementineramp/platform/imitator"
	"clementineramp/proxier"
)

// placeFixture is a Proxier whose dispatcher admits one request at a time, and an upstream that answers when gate gets a value.
type placeFixture struct {
	*fixture
	gate chan struct{}
	// latency is that of the service, and ended receives the results of start.
	latency time.Duration
	ended   chan result
}

func newPlaceFixture(t *testing.T) *placeFixture {
	p := &placeFixture{gate: make(chan struct{}, 100), ended: make(chan result, 100)}
	p.fixture = newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		<-p.gate
		imitator.Plain("ok")(w, r)
	})
	p.upstreams[0].ShouldShed = func(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, "/refused") }
	p.dispatcher = dispatcher.New(dispatcher.Config{
		Limit: func(service string, now time.Time) float64 {
			if p.placer.PausedFor(service, now) > 0 {
				return 0
			}
			return 1
		},
		Share:   func(string, time.Time) float64 { return 1.0 / 3 },
		Latency: func(string, string, time.Time) time.Duration { return p.latency },
		Usual:   func(string, string) time.Duration { return time.Millisecond },
	})
	p.serve()
	t.Cleanup(func() { close(p.gate) })
	return p
}

// start sends a request, and returns when it holds a place or waits for one.
func (p *placeFixture) start(path, body string, header ...string) {
	p.t.Helper()
	before := p.status()
	go func() { p.ended <- p.do("POST", path, body, header...) }()
	require.Eventually(p.t, func() bool {
		s := p.status()
		return s.InProgress+s.Waiting > before.InProgress+before.Waiting
	}, 5*time.Second, time.Millisecond, p.log.String())
}

func (p *placeFixture) status() dispatcher.Status { return p.dispatcher.Status("s", time.Now()) }

// awaitRuns waits until the upstream has begun to run n requests in all.
func (p *placeFixture) awaitRuns(n int) {
	p.t.Helper()
	require.Eventually(p.t, func() bool { return p.runs() == n }, 5*time.Second, time.Millisecond, p.log.String())
}

// requireIdle checks that all places are free in the end.
func (p *placeFixture) requireIdle() {
	p.t.Helper()
	require.Eventually(p.t, func() bool {
		s := p.status()
		return s.InProgress == 0 && s.Waiting == 0 && p.proxier.Running() == 0
	}, 5*time.Second, time.Millisecond)
}

// Guards against a request that is sent while another has the only place, one whose wait is neither counted nor logged, one whose
// body is not accounted for meanwhile, and against refused requests that take a place although they cannot run.
func TestRequestWaitsForItsPlace(t *testing.T) {
	p := newPlaceFixture(t)
	body := strings.Repeat("x", 1<<20)
	for range 4 {
		p.start("/order/", body)
	}
	require.Equal(t, dispatcher.Status{InProgress: 1, Waiting: 3, Limit: 1}, func() dispatcher.Status { s := p.status(); s.Rate = 0; return s }())
	require.Equal(t, 4, p.proxier.Running())
	require.Equal(t, 503, p.do("POST", "/order/", body).status)
	require.Contains(t, p.log.String(), "reason=queue_full", "bodies that wait are not accounted for")
	require.Equal(t, 401, p.do("POST", "/order/", "", imitator.HeaderKey, "unknown").status)
	require.Equal(t, 404, p.do("POST", "/unknown/", "").status)
	for range 4 {
		p.gate <- struct{}{}
		require.Equal(t, 200, (<-p.ended).status, p.log.String())
	}
	require.Equal(t, 4, p.runs())
	p.requireIdle()
	p.start("/order/", "")
	p.start("/order/refused", "")
	time.Sleep(5 * time.Millisecond)
	p.gate <- struct{}{}
	require.ElementsMatch(t, []int{200, 503}, []int{(<-p.ended).status, (<-p.ended).status})
	require.Regexp(t, `queued_ms=[1-9]`, p.log.String())
}

// Guards against a request that waits although it cannot be on time, against a refusal without a useful delay, and against one
// that has run.
func TestRefusalBeforeThePlace(t *testing.T) {
	p := newPlaceFixture(t)
	p.start("/order/", "first")
	for _, c := range []struct {
		path, remaining string
		most            float64
	}{
		{"/quick/", "4000", 4.0 / 3}, // Its target is 1 ms.
		{"/order/", "100", 0.1 / 3},
		{"/order/", "3000", 1},
	} {
		r := p.do("POST", c.path, "body", imitator.HeaderRemaining, c.remaining)
		require.Equal(t, 503, r.status)
		after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.LessOrEqual(t, after, c.most)
		require.Positive(t, after)
	}
	require.Contains(t, p.log.String(), "reason=overload")
	require.EqualValues(t, 3, metrics.GetOrRegisterCounter("plain_refused.s", p.metrics).Count())
	p.latency = time.Minute // All routes but those with a target of a minute are beyond theirs.
	require.Equal(t, 503, p.do("POST", "/quick/", "body").status)
	p.gate <- struct{}{}
	require.Equal(t, 200, (<-p.ended).status)
	require.Equal(t, 1, p.runs(), "a refused request has run")
	p.requireIdle()
}

// Guards against a place that is lost when a caller leaves while its request waits, or when the response is broken off.
func TestPlaceOfBrokenRequest(t *testing.T) {
	p := newPlaceFixture(t)
	p.start("/order/", "first")
	ctx, leave := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.server.URL+"/order/", strings.NewReader("second"))
	require.NoError(t, err)
	req.Host = "h"
	req.Header.Set(imitator.HeaderAttempt, "attempt-2")
	req.Header.Set(imitator.HeaderKey, "key")
	left := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(req)
		left <- err
	}()
	require.Eventually(t, func() bool { return p.status().Waiting == 1 }, 5*time.Second, time.Millisecond)
	leave()
	require.Error(t, <-left)
	require.Eventually(t, func() bool { return p.status().Waiting == 0 }, 500*time.Millisecond, time.Millisecond)
	p.gate <- struct{}{}
	require.Equal(t, 200, (<-p.ended).status)

	p.upstreams[0].Handle = func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(imitator.HeaderSignature, "signed")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write([]byte("id: 1\ndata: a\n\n"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	require.Error(t, p.do("POST", "/stream/", "body").err)
	require.Equal(t, 2, p.runs())
	p.requireIdle()
}

// Guards against requests that wait for a place of a process that stops before they can end, and against a stop that does not wait
// for those that can.
func TestStopRefusesWhatWaits(t *testing.T) {
	p := newPlaceFixture(t)
	p.start("/order/", "runs")
	p.start("/order/", "cannot end")
	p.start("/order/", "can end", imitator.HeaderRemaining, "3000")
	p.proxier.BeginShutdown(proxier.Shutdown{Started: time.Now(), Grace: 8 * time.Second})
	r := <-p.ended
	require.Equal(t, 503, r.status)
	require.Contains(t, p.log.String(), "reason=leaving")
	require.Equal(t, 2, p.proxier.Running())
	p.gate <- struct{}{}
	p.gate <- struct{}{}
	require.Equal(t, 200, (<-p.ended).status)
	require.Equal(t, 200, (<-p.ended).status)
	p.start("/order/", "runs", imitator.HeaderRemaining, "3000")
	p.start("/order/", "waits", imitator.HeaderRemaining, "3000")
	p.proxier.EndRequests()
	require.ElementsMatch(t, []int{503, 504}, []int{(<-p.ended).status, (<-p.ended).status})
	require.Equal(t, 3, p.runs())
	p.requireIdle()
}

// Guards against requests to engines, or to services that report their load, that wait for a place.
func TestServicesWithoutPlaces(t *testing.T) {
	for name, set := range map[string]func(*placeFixture){
		"engine":       func(p *placeFixture) { p.table.Services = map[string]mapper.Service{"s": {Name: "s", Engine: true}} },
		"load reports": func(p *placeFixture) { p.placer.RecordLoad("u0", placer.Load{Slots: 8}, time.Now()) },
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlaceFixture(t)
			set(p)
			for range 3 {
				go func() { p.ended <- p.do("POST", "/order/", "body") }()
			}
			require.Eventually(t, func() bool { return p.runs() == 3 }, 5*time.Second, time.Millisecond)
			require.Zero(t, p.status())
			for range 3 {
				p.gate <- struct{}{}
				require.Equal(t, 200, (<-p.ended).status)
			}
		})
	}
}

// Guards against a request that is sent although it has become known, while it waited, that it crashes upstreams, and against one
// that waits although no upstream is left for it.
func TestWhatIsLearntDuringTheWait(t *testing.T) {
	p := newPlaceFixture(t)
	p.start("/order/", "first")
	p.start("/order/", "crashes")
	print := blocker.FingerprintOf("POST", "/order/", "key", []byte("crashes"))
	for i := range 3 {
		p.crashes.RecordCrash(print, fmt.Sprint("other ", i), time.Now())
	}
	p.gate <- struct{}{}
	require.ElementsMatch(t, []int{200, 503}, []int{(<-p.ended).status, (<-p.ended).status}, p.log.String())
	require.Contains(t, p.log.String(), "reason=crashes_upstream")
	require.Equal(t, 503, p.do("POST", "/order/", "crashes").status)
	require.Equal(t, 1, p.runs())

	p.start("/order/", "first")
	p.awaitRuns(2) // A request that holds a place is not sent either once the upstream is known to want none.
	p.start("/order/", "waits")
	p.placer.Pause(p.view.ByService["s"][0], time.Now().Add(time.Minute))
	require.Equal(t, 503, (<-p.ended).status)
	require.Contains(t, p.log.String(), "reason=upstreams_paused")
	p.gate <- struct{}{}
	require.Equal(t, 200, (<-p.ended).status, p.log.String())
	p.requireIdle()
}
