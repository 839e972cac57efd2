package gatekeeper_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/gatekeeper"
	"clementineramp/loader"
	"clementineramp/logger"
	"clementineramp/mapper"
	"clementineramp/platform"
	"clementineramp/platform/imitator"
)

// waitTimeout bounds the wait for an expected condition.
const waitTimeout = 30 * time.Second

// fleet is an imitation of the platform with one gateway.
type fleet struct {
	// service holds the properties of the service "s" in configurations.
	service  mapper.Service
	t        *testing.T
	store    *imitator.Store
	settings *loader.Gateway
	gateway  *gatekeeper.Gateway
	log      *imitator.Log
	stop     context.CancelFunc
	done     chan error
}

// listeners maps addresses to listeners that are open already. Choosing a free port without keeping it open would let
// another process bind it before the gateway does.
type listeners map[string]net.Listener

func (l listeners) open(t *testing.T) netip.AddrPort {
	t.Helper()
	opened, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = opened.Close() })
	l[opened.Addr().String()] = opened
	return netip.MustParseAddrPort(opened.Addr().String())
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	return newFleetWith(t, func(*loader.Gateway) {})
}

// newFleetWith returns a fleet whose gateway has the settings that adjust makes of the usual ones.
func newFleetWith(t *testing.T, adjust func(*loader.Gateway)) *fleet {
	t.Helper()
	return newFleetListening(t, adjust, func(l net.Listener) net.Listener { return l })
}

// newFleetListening is newFleetWith with a gateway that accepts connections from the results of wrap.
func newFleetListening(t *testing.T, adjust func(*loader.Gateway), wrap func(net.Listener) net.Listener) *fleet {
	t.Helper()
	f := &fleet{t: t, store: &imitator.Store{}, log: &imitator.Log{}, done: make(chan error, 1)}
	server := httptest.NewServer(f.store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	open := make(listeners)
	f.settings = &loader.Gateway{
		Name: "gateway-1", Region: "r", FailureDomain: "domain-1", Listen: open.open(t), ReadyListen: open.open(t),
		PeerListen: open.open(t), MetricsListen: open.open(t), Memory: 256e6, Connections: 100,
		Store: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), Propagation: 2 * time.Second, Grace: 3 * time.Second,
		Retries: loader.Retries{Ratio: 0.2, Window: 10 * time.Second, Extra: 20},
	}
	adjust(f.settings)
	f.gateway = gatekeeper.New(gatekeeper.Config{Settings: f.settings, Log: logger.New(logger.Config{Output: f.log}), Listen: func(_, address string) (net.Listener, error) {
		return wrap(open[address]), nil
	}})
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	go func() { f.done <- f.gateway.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-f.done
		if t.Failed() {
			t.Log(f.log.String())
		}
	})
	return f
}

func (f *fleet) configure(version int, paths ...string) {
	table := &mapper.Table{
		Version: uint64(version), Services: map[string]mapper.Service{"s": f.service},
		Organisations: map[string]*mapper.Organisation{"key": {Name: "o"}},
	}
	for _, p := range paths {
		table.Routes = append(table.Routes, mapper.Route{
			Name: p, Host: "h", Prefix: p, Kind: mapper.NonIdempotent, Timeout: 20 * time.Second, Attempts: 1,
			Shares: []mapper.Share{{Service: "s"}},
		})
	}
	f.store.Configure(table)
}

func (f *fleet) upstream(id string, handle http.HandlerFunc) *imitator.Upstream {
	u := &imitator.Upstream{ID: id, Service: "s", Handle: handle}
	u.Start()
	f.t.Cleanup(func() { f.closeUpstream(u) })
	f.store.PutJSON(u.Key(), u.Entry("ready"))
	return u
}

// closeUpstream closes an upstream, or fails if a handler is blocked, as after a check that ended the test before it let the handler
// go on: Close would wait for it until the tests time out.
func (f *fleet) closeUpstream(u *imitator.Upstream) {
	closed := make(chan struct{})
	go func() {
		u.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		f.t.Errorf("a handler of the upstream %s is blocked", u.ID)
	}
}

func (f *fleet) get(client *http.Client, address netip.AddrPort, path string) (int, string, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+address.String()+path, nil)
	require.NoError(f.t, err)
	req.Host = "h"
	req.Header.Set(imitator.HeaderKey, "key")
	req.Header.Set(imitator.HeaderAttempt, "attempt-1")
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

func (f *fleet) status(path string) int {
	status, _, err := f.get(http.DefaultClient, f.settings.Listen, path)
	if err != nil {
		return 0
	}
	return status
}

func (f *fleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	require.Eventually(f.t, ok, waitTimeout, 20*time.Millisecond, what)
}

func TestGatewayEndToEnd(t *testing.T) {
	f := newFleet(t)
	f.eventually("the gateway does not listen", func() bool { return f.status("/a/") == 503 })
	ready := func() int {
		status, _, _ := f.get(http.DefaultClient, f.settings.ReadyListen, platform.ReadyPath)
		return status
	}
	require.Equal(t, 503, ready(), "ready without a configuration")

	f.configure(1, "/a/")
	u := f.upstream("u1", nil)
	f.eventually("the gateway does not become ready", func() bool { return ready() == 200 })
	f.eventually("no request is served", func() bool { return f.status("/a/1") == 200 })
	require.Equal(t, 404, f.status("/b/1"))

	f.configure(2, "/b/")
	f.eventually("a new route does not take effect", func() bool { return f.status("/b/1") == 200 })
	require.Equal(t, 404, f.status("/a/1"))

	f.upstream("u2", nil)
	f.store.PutJSON(u.Key(), u.Entry("draining"))
	f.eventually("the gateway does not notice a leaving upstream", func() bool { return strings.Contains(f.log.String(), "upstream_leaving") })
	before := len(u.Runs())
	for range 10 {
		require.Equal(t, 200, f.status("/b/1"))
	}
	require.Len(t, u.Runs(), before, "a leaving upstream receives requests")

	f.store.SetMode(imitator.Unresponsive)
	for range 10 {
		require.Equal(t, 200, f.status("/b/1"), "a request fails while the store is unresponsive")
	}
	_, body, err := f.get(http.DefaultClient, f.settings.MetricsListen, "/metrics")
	require.NoError(t, err)
	require.Contains(t, body, "requests.non_idempotent.served")
}

// Guards against a stream that is taken as broken at an event with which the weights of its upstream change.
func TestStreamOfChangedWeights(t *testing.T) {
	const events = "id: 1\ndata: a\n\nweight-versions: 7\nid: 2\ndata: b\n\n"
	f := newFleet(t)
	f.store.Configure(&mapper.Table{
		Version: 1, Services: map[string]mapper.Service{"s": f.service}, Organisations: map[string]*mapper.Organisation{"key": {Name: "o"}},
		Routes: []mapper.Route{{
			Name: "a", Host: "h", Prefix: "/a/", Kind: mapper.Stream, Timeout: 20 * time.Second, Attempts: 1,
			Shares: []mapper.Share{{Service: "s"}},
		}},
	})
	u := f.upstream("u1", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(imitator.HeaderSignature, "signed")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, events)
	})
	f.eventually("no request is sent to the upstream", func() bool {
		f.status("/a/1")
		return len(u.Runs()) > 0
	})
	status, body, err := f.get(http.DefaultClient, f.settings.Listen, "/a/1")
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Equal(t, events, body)
}

func TestGracefulShutdownCompletesRequests(t *testing.T) {
	f := newFleet(t)
	release := make(chan struct{})
	f.configure(1, "/a/")
	u := f.upstream("u1", func(w http.ResponseWriter, r *http.Request) {
		<-release
		imitator.Plain("late")(w, r)
	})
	f.eventually("the gateway does not become ready", func() bool {
		status, _, _ := f.get(http.DefaultClient, f.settings.ReadyListen, platform.ReadyPath)
		return status == 200
	})
	answered := make(chan int, 1)
	go func() { answered <- f.status("/a/1") }()
	f.eventually("the upstream does not receive the request", func() bool { return len(u.Runs()) == 1 })
	f.stop()
	f.eventually("the gateway remains ready while stopping", func() bool {
		status, _, _ := f.get(http.DefaultClient, f.settings.ReadyListen, platform.ReadyPath)
		return status == 503
	})
	close(release)
	require.Equal(t, 200, <-answered)
	f.eventually("the gateway does not stop", func() bool { return strings.Contains(f.log.String(), "event=stopped") })
}

// TestLogExplainsFailedRequest checks that the log alone leads from the id of a failed request to its cause, for three
// kinds of failure.
func TestLogExplainsFailedRequest(t *testing.T) {
	for name, c := range map[string]struct {
		handle http.HandlerFunc
		want   []string
	}{
		"refused": {imitator.Shed, []string{"event=attempt_failed request=attempt-1 upstream=u1", "verdict=turned_away", "outcome=refused", "status=503", "reason=no_upstream"}},
		"failed":  {imitator.Status(500), []string{"event=request_ended request=attempt-1", "outcome=failed", "status=500", "upstream=u1"}},
		"cut":     {imitator.ResetConnection, []string{"event=attempt_failed request=attempt-1 upstream=u1", "verdict=may_have_run", "status=502", "reason=connection_broken"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.configure(1, "/a/")
			f.upstream("u1", c.handle)
			f.eventually("the request gets no final response", func() bool {
				s := f.status("/a/1")
				return s != 0 && s != 503 || strings.Contains(f.log.String(), "event=attempt_failed")
			})
			for _, w := range c.want {
				f.eventually(fmt.Sprintf("no %q in %s", w, f.log.String()), func() bool { return strings.Contains(f.log.String(), w) })
			}
		})
	}
}

func TestBusyAddressIsReported(t *testing.T) {
	f := newFleet(t)
	f.eventually("the gateway does not listen", func() bool { return f.status("/a/") == 503 })
	other := gatekeeper.New(gatekeeper.Config{Settings: f.settings, Log: logger.New(logger.Config{Output: io.Discard})})
	require.ErrorContains(t, other.Run(context.Background()), f.settings.Listen.String())
}
