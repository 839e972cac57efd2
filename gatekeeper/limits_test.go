package gatekeeper_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/loader"
	"clementineramp/mapper"
	"clementineramp/platform/imitator"
)

// Guards against limits that are not learnt from requests, shown or logged, against gauges of upstreams that are gone, and
// against any of it while the setting is off.
func TestLimitsOfPlainServices(t *testing.T) {
	for _, learns := range []bool{true, false} {
		f := newFleetWith(t, func(s *loader.Gateway) { s.LearnLimits = learns })
		f.store.Configure(&mapper.Table{
			Version: 1, Services: map[string]mapper.Service{"s": {}}, Organisations: map[string]*mapper.Organisation{"key": {Name: "o"}},
			Routes: []mapper.Route{{
				Name: "/a/", Host: "h", Prefix: "/a/", Kind: mapper.NonIdempotent, Timeout: 20 * time.Second, Attempts: 1,
				Target: 200 * time.Millisecond, Shares: []mapper.Share{{Service: "s"}},
			}},
		})
		var slow atomic.Bool
		u := f.upstream("u1", func(w http.ResponseWriter, r *http.Request) {
			// The usual latency is far above the noise of the machine, so that the slow one is above the goal by far.
			time.Sleep(20 * time.Millisecond)
			if slow.Load() {
				time.Sleep(280 * time.Millisecond)
			}
			imitator.Plain("ok")(w, r)
		})
		f.eventually("no request is served", func() bool { return f.status("/a/1") == 200 })
		for range 20 {
			require.Equal(t, 200, f.status("/a/1"))
		}
		slow.Store(true)
		metrics := func() string {
			_, body, err := f.get(http.DefaultClient, f.settings.MetricsListen, "/metrics")
			require.NoError(t, err)
			return body
		}
		if !learns {
			for range 20 {
				require.Equal(t, 200, f.status("/a/1"))
			}
			require.NotContains(t, metrics(), "upstream_limit")
			require.NotContains(t, f.log.String(), "upstream_limit")
			continue
		}
		f.eventually("no change of the limit is logged", func() bool {
			// Above its target the service is overloaded, so that some requests are refused.
			require.Contains(t, []int{200, 503}, f.status("/a/1"))
			return strings.Contains(f.log.String(), "event=upstream_limit upstream=u1")
		})
		require.Contains(t, metrics(), "upstream_limit.u1")
		require.Contains(t, metrics(), "upstream_slowdown_percent.u1")
		f.store.Delete(u.Key())
		f.eventually("the gauges of an upstream that is gone remain", func() bool {
			return !strings.Contains(metrics(), "upstream_limit.u1")
		})
	}
}
