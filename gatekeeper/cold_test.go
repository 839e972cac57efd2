package gatekeeper_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/loader"
	"clementineramp/mapper"
	"clementineramp/platform/imitator"
)

// Guards against a gateway that does not connect what the store and the settings say of cold upstreams with its choices, its log
// and its metrics: a cold upstream would get any number of requests, or none after it has become warm.
func TestColdUpstream(t *testing.T) {
	f := newFleetWith(t, func(s *loader.Gateway) { s.Cold = loader.Cold{Overshoot: 1.5, Tolerance: 5} })
	f.service = mapper.Service{ColdStart: 20 * time.Second, ColdRate: 16}
	u := f.upstream("u", imitator.Plain("answer"))
	u.Cold = time.Minute
	f.store.PutJSON(u.Key(), u.Entry("ready"))
	f.configure(1, "/a/")
	f.eventually("the upstream is not known to be cold", func() bool { return f.logged("event=upstream_cold upstream=u service=s cause=stated") })
	f.eventually("no request is served", func() bool { return f.status("/a/") == 200 })
	served := 0
	for range 50 {
		if f.status("/a/") == 200 {
			served++
		}
	}
	require.LessOrEqual(t, served, 29)
	require.True(t, f.logged("reason=upstreams_cold"))
	for _, line := range []string{"cold_upstreams\nvalue:1\n", "cold_upstreams_owned\nvalue:1\n", "refused_while_cold\n", "sent_to_cold_upstreams\n"} {
		f.eventually("no metric "+line, func() bool {
			_, body, err := f.get(http.DefaultClient, f.settings.MetricsListen, "/metrics")
			return err == nil && strings.Contains(strings.ReplaceAll(body, " ", ""), line)
		})
	}
	u.Cold = 0
	f.store.PutJSON(u.Key(), u.Entry("ready"))
	f.eventually("the upstream is not known to be warm", func() bool { return f.logged("event=upstream_warm upstream=u") })
	for range 20 {
		require.Equal(t, 200, f.status("/a/"))
	}
}
