package gatekeeper_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"clementineramp/loader"
	"clementineramp/platform/imitator"
)

// Guards against a setting without effect, and against requests that wait although the setting is off: a gateway that assumes
// three others sends 18 of 21 requests, three times its share of the limit, to an upstream of 8 slots.
func TestLearnLimits(t *testing.T) {
	const requests = 21
	for _, on := range []bool{true, false} {
		f := newFleetWith(t, func(s *loader.Gateway) { s.LearnLimits = on })
		f.configure(1, "/a/")
		gate := make(chan struct{})
		open := sync.OnceFunc(func() { close(gate) })
		u := f.upstream("u1", func(w http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "held") {
				<-gate
			}
			imitator.Plain("ok")(w, r)
		})
		f.eventually("no request is served", func() bool { return f.status("/a/1") == 200 })
		t.Cleanup(open) // It runs before that of the upstream, which waits for its requests if a check fails.
		before, ended := len(u.Runs()), make(chan int, requests)
		for range requests {
			go func() { ended <- f.status("/a/held") }()
		}
		running := map[bool]int{true: 18, false: requests}[on]
		f.eventually("the requests do not arrive", func() bool { return len(u.Runs())-before == running })
		if on {
			f.eventually("no gauges", func() bool {
				_, body, _ := f.get(http.DefaultClient, f.settings.MetricsListen, "/metrics")
				return strings.Contains(strings.Join(strings.Fields(body), " "), "gauge plain_waiting.s value: 3")
			})
		}
		require.Equal(t, running, len(u.Runs())-before)
		open()
		for range requests {
			require.Equal(t, 200, <-ended)
		}
		_, body, err := f.get(http.DefaultClient, f.settings.MetricsListen, "/metrics")
		require.NoError(t, err)
		require.Equal(t, on, strings.Contains(body, "plain_"))
	}
}
