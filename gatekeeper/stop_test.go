package gatekeeper_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/loader"
	"clementineramp/mapper"
	"clementineramp/platform"
	"clementineramp/platform/imitator"
)

// answer is what a caller receives.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// newStoppableFleet returns a fleet with a ready gateway of the given grace period and the routes /order/ (not repeatable),
// /read/ (idempotent) and /draft/ (a stream that cannot be resumed), each with the given timeout.
func newStoppableFleet(t *testing.T, grace, timeout time.Duration, handle http.HandlerFunc) (*fleet, *imitator.Upstream) {
	t.Helper()
	f := newFleetWith(t, func(s *loader.Gateway) { s.Grace = grace })
	table := &mapper.Table{
		Version: 1, Services: map[string]mapper.Service{"s": {}},
		Organisations: map[string]*mapper.Organisation{"key": {Name: "o"}},
	}
	for path, kind := range map[string]mapper.Kind{"/order/": mapper.NonIdempotent, "/read/": mapper.Idempotent, "/draft/": mapper.Stream} {
		table.Routes = append(table.Routes, mapper.Route{
			Name: path, Host: "h", Prefix: path, Kind: kind, Timeout: timeout, Attempts: 1, Target: time.Minute,
			Shares: []mapper.Share{{Service: "s"}},
		})
	}
	f.store.Configure(table)
	u := f.upstream("u1", handle)
	f.eventually("the gateway does not become ready", func() bool {
		status, _, _ := f.get(http.DefaultClient, f.settings.ReadyListen, platform.ReadyPath)
		return status == 200
	})
	// The gateway may be ready with the list from before the upstream's entry was written.
	f.eventually("the gateway does not know the upstream", func() bool { return f.logged("event=upstream_joined") })
	return f, u
}

// do sends a request on a connection of its own.
func (f *fleet) do(path string, body io.Reader) answer {
	req, err := http.NewRequest(http.MethodPost, "http://"+f.settings.Listen.String()+path, body)
	if err != nil {
		return answer{err: err}
	}
	req.Host = "h"
	req.Header.Set(imitator.HeaderKey, "key")
	req.Header.Set(imitator.HeaderAttempt, "attempt-1")
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(b), err}
}

// send sends a request in the background.
func (f *fleet) send(path string, body io.Reader) chan answer {
	c := make(chan answer, 1)
	go func() { c <- f.do(path, body) }()
	return c
}

// stopAndWait begins the shutdown and waits until the gateway has noticed it.
func (f *fleet) stopAndWait() {
	f.t.Helper()
	f.stop()
	f.eventually("the gateway does not begin to stop", func() bool { return strings.Contains(f.log.String(), "event=stopping") })
}

// Guards against a request that may not be repeated and is accepted although its upstream may take longer than the rest of
// the grace period: it was cut at the end.
func TestStopRefusesWhatCannotEndInTime(t *testing.T) {
	f, u := newStoppableFleet(t, 2*time.Second, 3*time.Second, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	f.stopAndWait()
	for _, path := range []string{"/order/", "/draft/"} {
		a := f.do(path, strings.NewReader("body"))
		require.NoError(t, a.err, "the connection was closed without an answer")
		require.Equal(t, 503, a.status)
		after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.LessOrEqual(t, after, 0.6, "the caller goes to another gateway and need not wait long")
	}
	require.Empty(t, u.Runs())
}

// Guards against refusing requests that end within the grace period.
func TestStopAcceptsWhatEndsInTime(t *testing.T) {
	f, _ := newStoppableFleet(t, 30*time.Second, 2*time.Second, imitator.Plain("ok"))
	f.stopAndWait()
	for _, path := range []string{"/order/", "/read/"} {
		a := f.do(path, strings.NewReader("body"))
		require.NoError(t, a.err)
		require.Equal(t, 200, a.status)
	}
}

// Guards against requests that are cut without an answer at the end of the grace period, because their upstream is still at
// work on them or silent.
func TestStopAnswersRunningRequests(t *testing.T) {
	for _, path := range []string{"/order/", "/read/", "/draft/"} {
		t.Run(path, func(t *testing.T) {
			f, u := newStoppableFleet(t, time.Second, time.Minute, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
			got := f.send(path, strings.NewReader("body"))
			f.eventually("the upstream does not receive the request", func() bool { return len(u.Runs()) == 1 })
			f.stop()
			a := <-got
			require.NoError(t, a.err, "the connection was closed without an answer")
			require.Equal(t, 504, a.status, "it may have run")
		})
	}
}

// sendPart sends a request to /order/ without the last byte of its body, and waits until the gateway reads the body.
func (f *fleet) sendPart() net.Conn {
	f.t.Helper()
	c, err := net.Dial("tcp", f.settings.Listen.String())
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = c.Close() })
	require.NoError(f.t, c.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = fmt.Fprintf(c, "POST /order/ HTTP/1.1\r\nHost: h\r\n%s: key\r\n%s: attempt-1\r\nContent-Length: 4\r\n\r\nbod",
		imitator.HeaderKey, imitator.HeaderAttempt)
	require.NoError(f.t, err)
	f.eventually("the request does not arrive", func() bool {
		_, metrics, err := f.get(http.DefaultClient, f.settings.MetricsListen, "/metrics")
		return err == nil && strings.Contains(strings.ReplaceAll(metrics, " ", ""), "requests_running\nvalue:1")
	})
	return c
}

// Guards against a request whose body arrives during the shutdown and that is then sent to an upstream although it may take
// longer than the rest of the grace period.
func TestStopRefusesLateBody(t *testing.T) {
	f, u := newStoppableFleet(t, 2*time.Second, 3*time.Second, imitator.Plain("ok"))
	c := f.sendPart()
	f.stopAndWait()
	_, err := io.WriteString(c, "y")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, 503, resp.StatusCode, "it has not run")
	require.Empty(t, u.Runs())
}

// Guards against a request that gets no answer because its body has not arrived when the grace period ends.
func TestStopAnswersIncompleteRequest(t *testing.T) {
	f, u := newStoppableFleet(t, time.Second, time.Minute, imitator.Plain("ok"))
	c := f.sendPart()
	f.stop()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err, "the connection was closed without an answer")
	defer resp.Body.Close()
	require.Equal(t, 503, resp.StatusCode, "it has not run")
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Empty(t, u.Runs())
}

// Guards against a long stream that is cut although it ends before the end of the grace period.
func TestStopCompletesLongStream(t *testing.T) {
	release := make(chan struct{})
	f, u := newStoppableFleet(t, 30*time.Second, time.Minute, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(imitator.HeaderSignature, "signed")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
		_ = http.NewResponseController(w).Flush()
		<-release
		_, _ = io.WriteString(w, "id: 2\ndata: b\n\n")
	})
	got := f.send("/draft/", strings.NewReader("body"))
	f.eventually("the upstream does not receive the request", func() bool { return len(u.Runs()) == 1 })
	f.stopAndWait()
	close(release)
	a := <-got
	require.NoError(t, a.err)
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", a.body)
}

// Guards against a shutdown that never ends or fails because no configuration has been received yet, and against callers that
// are told to wait for one.
func TestStopWithoutConfiguration(t *testing.T) {
	f := newFleetWith(t, func(s *loader.Gateway) { s.Grace = time.Second })
	f.eventually("the gateway does not listen", func() bool { return f.status("/a/") == 503 })
	f.stopAndWait()
	a := f.do("/order/", strings.NewReader("body"))
	require.NoError(t, a.err)
	require.Equal(t, 503, a.status)
	after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.LessOrEqual(t, after, 0.6, "the caller goes to another gateway and need not wait long")
	f.eventually("the gateway does not stop", func() bool { return strings.Contains(f.log.String(), "event=stopped") })
}

// Guards against a process that has no grace period and waits in its shutdown.
func TestStopWithoutGrace(t *testing.T) {
	f, u := newStoppableFleet(t, 0, time.Minute, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	got := f.send("/order/", strings.NewReader("body"))
	f.eventually("the upstream does not receive the request", func() bool { return len(u.Runs()) == 1 })
	f.stop()
	<-got
	f.eventually("the gateway does not stop", func() bool { return strings.Contains(f.log.String(), "event=stopped") })
}
