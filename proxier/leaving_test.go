package proxier_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/platform/imitator"
	"clementineramp/registrar"
)

// list lists the upstreams of the fixture in a registry, which replaces its view.
func (f *fixture) list() {
	f.registry = registrar.New(registrar.Config{})
	var records []registrar.Record
	for _, u := range f.view.ByService["s"] {
		records = append(records, registrar.Record{ID: u.ID, Revision: 1, Upstream: u})
	}
	f.registry.MergeList(records, registrar.Position{Revision: 1}, time.Now())
}

// marking returns a handler that marks its upstream as leaving with the given value, and otherwise calls next.
func marking(value string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(imitator.HeaderLeaving, value)
		next(w, r)
	}
}

// Guards against new requests to an upstream that has said in a response that it is leaving, which the store may say later
// or never, whatever kind of response it was; and against trust in a mark of which it is not certain whose it is.
func TestLeavingMarkOfResponse(t *testing.T) {
	fails, sheds, streams := imitator.Status(500), http.HandlerFunc(imitator.Shed), imitator.Events(3, 0)
	unnamed := func(h http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Del(imitator.HeaderAttempt)
			h(w, r)
		}
	}
	unsigned := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }
	wrong := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }
	for _, c := range []struct {
		name, path string
		handler    http.HandlerFunc
		marked     bool
	}{
		{"success", "/order/", marking("1", imitator.Plain("ok")), true},
		{"failure", "/order/", marking("1", fails), true},
		{"refusal", "/order/", marking("1", sheds), true},
		{"stream", "/resume/", marking("1", streams), true},
		{"another value", "/order/", marking("0", imitator.Plain("ok")), false},
		{"unsigned success", "/order/", marking("1", unsigned), false},
		{"response without the request's ID", "/order/", marking("1", unnamed(fails)), false},
		{"response of another upstream", "/order/", marking("1", wrong), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, c.handler, c.handler)
			f.list()
			f.do("POST", c.path, "body")
			n := len(f.upstreams[0].Runs())
			require.Equal(t, 1, n)
			for i := range 4 {
				f.do("POST", c.path, fmt.Sprint(i))
			}
			if c.marked {
				require.Len(t, f.upstreams[0].Runs(), 1, "the leaving upstream received another request")
				require.Contains(t, f.log.String(), "event=upstream_marked_leaving upstream=u0")
				return
			}
			require.Empty(t, f.registry.View().Leaving["s"])
		})
	}
}

// Guards against requests that are sent after DrainMs because no upstream of their service is left that is not leaving.
func TestServiceWhoseUpstreamsAllLeave(t *testing.T) {
	f := newFixture(t, marking("1", imitator.Plain("ok")), marking("1", imitator.Plain("ok")))
	f.list()
	for range 2 {
		require.Equal(t, 200, f.do("POST", "/order/", "body").status)
	}
	r := f.do("POST", "/order/", "body")
	require.Equal(t, 503, r.status)
	require.NotEmpty(t, r.header.Get("Retry-After"))
	require.Equal(t, 2, f.runs())
	require.Contains(t, r.body, "all upstreams of the service are leaving")
}

// Guards against a request that has chosen an upstream, waits for its connection while the upstream says that it is leaving,
// and is sent all the same.
func TestMarkLearntWhileConnecting(t *testing.T) {
	f := newFixture(t, nil, nil)
	f.list()
	f.connected = func() {
		u := f.registry.View().ByService["s"][0]
		require.Equal(t, "u0", u.ID)
		require.True(t, f.registry.MarkLeaving(u, "response", time.Now()))
		f.connected = nil
	}
	r := f.do("POST", "/order/", "body")
	require.Equal(t, 200, r.status, f.log.String())
	require.Empty(t, f.upstreams[0].Runs())
	require.Len(t, f.upstreams[1].Runs(), 1)
	require.Equal(t, int64(100), f.budget.Load(), "a request that was not sent has cost a retry")
}

// Guards against the end of a stream whose upstream comes to leave while it runs.
func TestStreamOfLeavingUpstreamEndsWhole(t *testing.T) {
	marked := make(chan struct{})
	release := sync.OnceFunc(func() { close(marked) })
	events := imitator.Events(4, 0)
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/resume/" {
			<-marked
			events(w, r)
			return
		}
		marking("1", imitator.Plain("ok"))(w, r)
	})
	f.list()
	t.Cleanup(release)
	ended := make(chan result, 1)
	go func() { ended <- f.do("POST", "/resume/", "body") }()
	require.Eventually(t, func() bool { return f.runs() == 1 }, time.Second, time.Millisecond)
	require.Equal(t, 200, f.do("POST", "/order/", "body").status)
	require.Equal(t, 503, f.do("POST", "/order/", "body").status)
	release()
	r := <-ended
	require.NoError(t, r.err)
	require.Contains(t, r.body, "token-4")
}
