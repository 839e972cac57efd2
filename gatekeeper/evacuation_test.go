package gatekeeper_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/platform/imitator"
)

// upstreamIn adds an upstream in a failure domain.
func (f *fleet) upstreamIn(domain, id string, handle http.HandlerFunc) *imitator.Upstream {
	u := &imitator.Upstream{ID: id, Service: "s", Handle: handle, FailureDomain: domain}
	u.Start()
	f.t.Cleanup(func() { f.closeUpstream(u) })
	f.store.PutJSON(u.Key(), u.Entry("ready"))
	return u
}

// metric waits until a line of the metrics holds the text.
func (f *fleet) metric(name, value string) {
	f.t.Helper()
	f.eventually(name+" is not "+value, func() bool {
		_, body, _ := f.get(http.DefaultClient, f.settings.MetricsListen, "/metrics")
		_, after, ok := strings.Cut(body, name+"\n")
		line, _, _ := strings.Cut(strings.TrimSpace(after), "\n")
		return ok && strings.HasSuffix(strings.TrimSpace(line), " "+value)
	})
}

// Guards against a gateway that does not follow an evacuation or its end, cuts what runs in the domain, keeps connections there,
// or leaves its operators without the lines and figures that say when the domain is empty.
func TestEvacuationEndToEnd(t *testing.T) {
	f := newFleet(t)
	release := make(chan struct{})
	unblock := sync.OnceFunc(func() { close(release) })
	f.configure(1, "/a/")
	held := f.upstreamIn("domain-2", "held", func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/slow") {
			<-release
		}
		imitator.Plain("ok")(w, r)
	})
	t.Cleanup(unblock)
	f.eventually("requests are not served", func() bool { return f.status("/a/") == 200 })
	ended := make(chan int, 1)
	go func() { ended <- f.status("/a/slow") }()

	f.eventually("the request does not run", func() bool { return slowRuns(held) == 1 })
	other := f.upstreamIn("domain-3", "other", nil)
	f.eventually("the other upstream is not known", func() bool { return f.logged("event=upstream_joined upstream=other") })

	f.store.Evacuate("domain-2")
	f.store.Evacuate("unknown")
	f.eventually("the evacuation is not logged", func() bool {
		return f.logged("event=evacuation_began failure_domain=domain-2") && f.logged("event=evacuation_began failure_domain=unknown")
	})
	require.Contains(t, f.log.String(), "upstreams=1 requests_running=1")
	runs := len(held.Runs())
	for range 10 {
		require.Equal(t, 200, f.status("/a/"))
	}
	require.Len(t, held.Runs(), runs, "an evacuated upstream receives requests")
	require.Len(t, other.Runs(), 10)
	f.metric("gauge evacuated_failure_domains", "2")
	f.metric("gauge evacuated_upstreams", "1")
	f.metric("gauge evacuated_requests_running", "1")
	f.store.PutJSON(held.Key(), held.Entry("draining"))
	f.eventually("the upstream does not leave", func() bool { return f.logged("event=upstream_leaving upstream=held") })
	f.metric("gauge evacuated_requests_running", "1")
	unblock()
	require.Equal(t, 200, <-ended)
	f.metric("gauge evacuated_requests_running", "0")
	f.store.PutJSON(held.Key(), held.Entry("ready"))

	f.store.Evacuate("domain-3")
	f.eventually("requests are not refused", func() bool { return f.status("/a/") == 503 })
	require.Contains(t, f.log.String(), "reason=evacuated")
	f.metric("gauge upstream_connections", "0")
	f.store.Withdraw("domain-3")
	f.store.Withdraw("domain-2")
	f.eventually("requests do not return", func() bool { return f.status("/a/") == 200 && len(held.Runs()) > runs })
	require.Contains(t, f.log.String(), "event=evacuation_ended failure_domain=domain-2")
	f.metric("gauge evacuated_failure_domains", "1")
}

// slowRuns returns the number of requests for /a/slow that an upstream has started to run.
func slowRuns(u *imitator.Upstream) (n int) {
	for _, r := range u.Runs() {
		if strings.HasSuffix(r.Target, "/slow") {
			n++
		}
	}
	return n
}

// Guards against connections that probes open to an evacuated upstream, and an upstream that stays unreachable after the end.
func TestEvacuatedUpstreamIsNotProbed(t *testing.T) {
	f := newFleet(t)
	f.configure(1, "/a/")
	gone := f.upstreamIn("domain-2", "gone", nil)
	f.eventually("requests are not served", func() bool { return f.status("/a/") == 200 })
	gone.Close()
	f.eventually("the upstream is not probed", func() bool { f.status("/a/"); return strings.Count(f.log.String(), "event=dial_failed") >= 3 })
	f.store.Evacuate("domain-2")
	f.eventually("the evacuation is not logged", func() bool { return f.logged("event=evacuation_began") })
	time.Sleep(300 * time.Millisecond) // One that has begun ends.
	probes := strings.Count(f.log.String(), "event=dial_failed")
	time.Sleep(2500 * time.Millisecond)
	require.Equal(t, probes, strings.Count(f.log.String(), "event=dial_failed"))
	f.store.Withdraw("domain-2")
	f.eventually("probes do not go on", func() bool { return strings.Count(f.log.String(), "event=dial_failed") > probes })
}

// Guards against a gateway that starts in an evacuation and sends requests before it knows it, or logs that no upstream is affected.
func TestGatewayThatStartsDuringAnEvacuation(t *testing.T) {
	f := newFleet(t)
	f.store.SetMode(imitator.Busy)
	f.store.Evacuate("domain-2")
	u := f.upstreamIn("domain-2", "evacuated", nil)
	f.configure(1, "/a/")
	f.store.SetMode(imitator.Up)
	f.eventually("requests are not refused", func() bool { return f.logged("reason=evacuated") || f.status("/a/") == 200 })
	require.Empty(t, u.Runs())
	require.Contains(t, f.log.String(), "upstreams=1 requests_running=0")
}
