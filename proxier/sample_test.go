package proxier_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/estimator"
	"clementineramp/mapper"
	"clementineramp/platform/imitator"
)

// Guards against attempts that count wrongly for the speed of upstreams: those of engines, streams, upstreams that report their
// load, other servers, and attempts whose caller has left say nothing; rejections and failures are marked as such.
func TestSamplesOfAttempts(t *testing.T) {
	const delay = 20 * time.Millisecond
	slow := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(delay)
		imitator.Plain("ok")(w, r)
	}
	loaded := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(imitator.HeaderLoad, "1,0,8")
		imitator.Plain("ok")(w, r)
	}
	leaves := func(f *fixture) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			f.callerLeft.Store(true)
			imitator.Plain("ok")(w, r)
		}
	}
	for _, c := range []struct {
		name, path string
		handler    http.HandlerFunc
		engine     bool
		samples    []estimator.Sample
	}{
		{"response", "/order/", slow, false, []estimator.Sample{{Route: "order"}}},
		{"rejection", "/order/", imitator.Shed, false, []estimator.Sample{{Route: "order", Rejected: true}}},
		{"failure", "/order/", imitator.Status(500), false, []estimator.Sample{{Route: "order", Failed: true}}},
		{"given up at the deadline", "/short/", imitator.Hang, false, []estimator.Sample{{Route: "short", Failed: true}}},
		{"broken connection", "/order/", imitator.ResetConnection, false, nil},
		{"invalid request", "/order/", imitator.Status(400), false, nil},
		{"wrong upstream", "/order/", imitator.Status(421), false, nil},
		{"stream", "/stream/", imitator.Events(3, 0), false, nil},
		{"engine", "/order/", slow, true, nil},
		{"upstream that reports its load", "/order/", loaded, false, nil},
		{"caller that has left", "/order/", nil, false, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, c.handler)
			f.server.Close()
			var mu sync.Mutex
			var samples []estimator.Sample
			f.record = func(s estimator.Sample, _ time.Time) {
				mu.Lock()
				defer mu.Unlock()
				samples = append(samples, s)
			}
			if c.name == "caller that has left" {
				f.upstreams[0].Handle = leaves(f)
			}
			f.table.Services = map[string]mapper.Service{"s": {Name: "s", Engine: c.engine}}
			f.serve()
			f.do("POST", c.path, "")
			mu.Lock()
			defer mu.Unlock()
			require.Len(t, samples, len(c.samples))
			for i, want := range c.samples {
				got := samples[i]
				require.Equal(t, "u0", got.Upstream.ID)
				require.Positive(t, got.Latency)
				require.True(t, c.name != "response" || got.Latency >= delay)
				got.Upstream, got.Latency, got.Target = want.Upstream, 0, 0
				require.Equal(t, want, got)
			}
			work := f.work.Work(time.Now())
			require.Equal(t, c.engine || c.path == "/stream/", len(work) == 0, "requests for plain services are counted")
		})
	}
}
