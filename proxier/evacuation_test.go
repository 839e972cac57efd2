package proxier_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"clementineramp/appraiser"
	"clementineramp/platform/imitator"
	"clementineramp/registrar"
)

// newEvacuationFixture is newFixture with a registry, in which the upstream n is in the failure domain "d" and n.
func newEvacuationFixture(t *testing.T, handlers ...http.HandlerFunc) *fixture {
	f := newFixture(t, handlers...)
	for i := range f.view.ByService["s"] {
		f.view.ByService["s"][i].FailureDomain = fmt.Sprint("d", i)
	}
	f.list()
	return f
}

// evacuate evacuates the failure domains of upstreams.
func (f *fixture) evacuate(upstreams ...int) {
	for _, n := range upstreams {
		rec := registrar.Record{ID: fmt.Sprint("d", n), Revision: f.registry.NewestRevision() + 1, Evacuation: true}
		f.registry.Merge([]registrar.Record{rec}, time.Now())
	}
}

// Guards against requests that reach an evacuated upstream as a first attempt, a retry, the rest of a stream or in place of a
// silent upstream.
func TestEvacuatedUpstreamsReceiveNothing(t *testing.T) {
	for _, c := range []struct {
		name, path string
		first      http.HandlerFunc
	}{
		{"retry after a refusal", "/order/", imitator.Shed},
		{"retry after a failure", "/read/", imitator.Status(500)},
		{"rest of a stream", "/resume/", imitator.Events(9, 4)},
		{"replacement", "/live/", eventsWithPause(time.Minute)},
	} {
		t.Run(c.name, func(t *testing.T) {
			next := map[bool]http.HandlerFunc{true: imitator.Events(9, 0), false: nil}[c.path == "/resume/" || c.path == "/live/"]
			var f *fixture
			f = newEvacuationFixture(t, func(w http.ResponseWriter, r *http.Request) {
				f.evacuate(1)
				c.first(w, r)
			}, next, next)
			r := f.do("POST", c.path, "")
			require.NoError(t, r.err, f.log.String())
			require.Equal(t, 200, r.status)
			require.Len(t, f.upstreams[0].Runs(), 1)
			require.Empty(t, f.upstreams[1].Runs())
			require.Len(t, f.upstreams[2].Runs(), 1)
		})
	}
	t.Run("first attempt", func(t *testing.T) {
		f := newEvacuationFixture(t, nil, nil)
		f.evacuate(0)
		for i := range 5 {
			require.Equal(t, 200, f.do("POST", "/order/", fmt.Sprint(i)).status)
		}
		require.Empty(t, f.upstreams[0].Runs())
	})
	t.Run("trial", func(t *testing.T) {
		f := newEvacuationFixture(t, nil, nil)
		for range 4 {
			f.health.Record("u0", appraiser.Failed, time.Now().Add(-time.Minute))
		}
		f.evacuate(0)
		for range 3 {
			require.Equal(t, 200, f.do("GET", "/read/", "").status)
		}
		require.Empty(t, f.upstreams[0].Runs())
	})
}

// Guards against a request that has chosen an upstream, waits for its connection while the failure domain is evacuated, and is
// sent all the same, costs a retry, or is refused with another reason when no upstream is left.
func TestEvacuationLearntWhileConnecting(t *testing.T) {
	for _, all := range []bool{false, true} {
		f := newEvacuationFixture(t, nil, nil)
		f.connected = func() {
			f.connected = nil
			f.evacuate(0)
			if all {
				f.evacuate(1)
			}
		}
		r := f.do("POST", "/order/", "body")
		require.Empty(t, f.upstreams[0].Runs())
		require.EqualValues(t, 100, f.budget.Load())
		if all {
			require.Equal(t, 503, r.status)
			require.Contains(t, f.log.String(), "reason=evacuated")
			continue
		}
		require.Equal(t, 200, r.status, f.log.String())
		require.Len(t, f.upstreams[1].Runs(), 1)
	}
}

// Guards against a request that waits, or gets a reason or a time that misleads, when every failure domain is evacuated; against
// one that has run and is refused; and against the end of what runs there.
func TestServiceWhoseDomainsAreAllEvacuated(t *testing.T) {
	release := make(chan struct{})
	unblock := sync.OnceFunc(func() { close(release) })
	t.Cleanup(unblock)
	events := imitator.Events(4, 0)
	f := newEvacuationFixture(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		events(w, r)
	}, nil, nil)
	ended := make(chan result, 1)
	go func() { ended <- f.do("POST", "/resume/", "body") }()
	require.Eventually(t, func() bool { return f.runs() == 1 }, 5*time.Second, time.Millisecond)
	f.evacuate(0, 1)
	require.True(t, f.registry.MarkLeaving(f.registry.View().ByService["s"][0], "response", time.Now()))
	for _, path := range []string{"/order/", "/read/", "/resume/"} {
		r := f.do("POST", path, "body")
		require.Equal(t, 503, r.status)
		require.NotEmpty(t, r.header.Get("Retry-After"))
		require.Contains(t, r.body, "it has not run")
	}
	require.Equal(t, 1, f.runs(), "a request was sent although all upstreams are evacuated or leaving")
	require.Contains(t, f.log.String(), "reason=evacuated")
	require.EqualValues(t, 3, metrics.GetOrRegisterCounter("refused_while_evacuated", f.metrics).Count())
	unblock()
	r := <-ended
	require.NoError(t, r.err)
	require.Contains(t, r.body, "token-4")

	rec := registrar.Record{ID: "d0", Revision: f.registry.NewestRevision() + 1, Evacuation: true, Removed: true}
	f.registry.Merge([]registrar.Record{rec}, time.Now())
	require.Equal(t, 200, f.do("POST", "/resume/", "body").status)
}

// Guards against a response that says that a request has not run although an upstream may have run it before the others were
// evacuated.
func TestEvacuationAfterARunIsNoRefusal(t *testing.T) {
	var f *fixture
	f = newEvacuationFixture(t, func(w http.ResponseWriter, r *http.Request) {
		f.evacuate(0, 1)
		imitator.ResetConnection(w, r)
	}, nil)
	require.Equal(t, 502, f.do("POST", "/read/", "body").status)
	require.Equal(t, 1, f.runs())
}
