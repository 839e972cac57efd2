package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"clementineramp/encoder"
	"clementineramp/judge"
	"clementineramp/logger"
	"clementineramp/operator"
)

const sharedKey = "a key for the tests only"

// process is a fake process whose state the endpoints show.
type process struct {
	state  atomic.Value
	drains atomic.Int64
	log    bytes.Buffer
	cfg    operator.Config
}

var testStatus = operator.Status{
	Name: "router-1", Role: "router", Region: "svealand", FailureDomain: "malaren", Incarnation: 1 << 63,
	State: operator.StateReady, UptimeMS: 1500, Running: 2, Queued: 1,
	Configuration: operator.Configuration{Version: 7, Digest: "000102030405060708090a0b0c0d0e0f", ConfirmedMS: 40},
	Upstreams:     []operator.Upstream{{Name: "vavrad-1", Pool: "vavrad", FailureDomain: "malaren", State: "live", Work: 300}},
}

func newProcess() *process {
	p := &process{}
	p.state.Store(operator.StateReady)
	p.cfg = operator.Config{
		SharedKey: sharedKey,
		State:     func() operator.State { return p.state.Load().(operator.State) },
		Status: func() operator.Status {
			s := testStatus
			s.State = p.state.Load().(operator.State)
			return s
		},
		Drain: func() {
			p.drains.Add(1)
			p.state.Store(operator.StateLeaving)
		},
		Registry: metrics.NewRegistry(),
		Logger:   logger.New(logger.Config{Level: "info", Output: &p.log, Secrets: []string{sharedKey}}),
	}
	return p
}

func (p *process) do(method, path string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, http.NoBody)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	operator.Handler(p.cfg).ServeHTTP(w, r)
	return w
}

// serve runs a server from NewServer on a loopback port and returns its address.
func (p *process) serve(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := operator.NewServer(p.cfg)
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		require.NoError(t, s.Close())
		require.ErrorIs(t, <-done, http.ErrServerClosed)
	})
	return netip.MustParseAddrPort(l.Addr().String())
}

// Guards against a status field that is lost in encoding or decoding.
func TestStatus(t *testing.T) {
	p := newProcess()
	c := operator.NewClient(operator.ClientConfig{Address: p.serve(t)})
	got, err := c.Status(t.Context())
	require.NoError(t, err)
	require.Equal(t, testStatus, got)
}

// Guards against a health check that succeeds for a process that accepts no new requests or is about to shut down.
func TestHealth(t *testing.T) {
	p := newProcess()
	for state, want := range map[operator.State]int{
		operator.StateStarting: 503, operator.StateReady: 200, operator.StateLeaving: 503, operator.StateDraining: 503, "": 503,
	} {
		p.state.Store(state)
		w := p.do(http.MethodGet, "/healthz")
		require.Equal(t, want, w.Code, state)
		require.JSONEq(t, fmt.Sprintf(`{"state":%q}`, state), w.Body.String())
	}
}

func TestDrain(t *testing.T) {
	p := newProcess()
	c := operator.NewClient(operator.ClientConfig{Address: p.serve(t), SharedKey: sharedKey})
	for range 2 {
		reply, err := c.Drain(t.Context())
		require.NoError(t, err)
		require.Equal(t, operator.DrainReply{State: operator.StateLeaving}, reply)
	}
	require.EqualValues(t, 2, p.drains.Load())
	require.Contains(t, p.log.String(), "event=drain_requested from=127.0.0.1:")
}

// Guards against a shutdown by somebody who does not have the shared key, and against a key or token in the log.
func TestDrainNeedsTheToken(t *testing.T) {
	p := newProcess()
	for _, authorization := range []string{
		"", "Bearer", "Bearer ", "Bearer " + sharedKey, "Basic " + operator.Token(sharedKey), operator.Token(sharedKey),
		"Bearer " + operator.Token("another key of some length"), "Bearer " + operator.Token(sharedKey) + "0", "Bearer " + operator.Token(""),
	} {
		w := p.do(http.MethodPost, "/drain", "Authorization", authorization)
		require.Equal(t, http.StatusUnauthorized, w.Code, authorization)
		var r encoder.Refusal
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &r))
		require.Equal(t, judge.ReasonUnauthorised, r.Error.Code)
		require.Equal(t, judge.NotRun, r.Error.Verdict)
	}
	p.cfg.SharedKey = ""
	require.Equal(t, http.StatusUnauthorized, p.do(http.MethodPost, "/drain", "Authorization", "Bearer "+operator.Token("")).Code)
	require.Zero(t, p.drains.Load())
	require.NotContains(t, p.log.String(), sharedKey)
	require.NotContains(t, p.log.String(), operator.Token(sharedKey))
	require.NotContains(t, operator.Token(sharedKey), sharedKey)
}

// Guards against a shutdown by a GET request, as from a link or a prefetch, and against errors that are not refusals.
func TestInvalidRoutes(t *testing.T) {
	p := newProcess()
	token := "Bearer " + operator.Token(sharedKey)
	for _, tt := range []struct {
		method, path string
		want         int
	}{
		{http.MethodGet, "/drain", 405},
		{http.MethodHead, "/drain", 405},
		{http.MethodPost, "/status", 405},
		{http.MethodGet, "/", 404},
		{http.MethodPost, "/drain/", 404},
		{http.MethodGet, "/debug/none", 404},
	} {
		w := p.do(tt.method, tt.path, "Authorization", token)
		require.Equal(t, tt.want, w.Code, tt.path)
		var r encoder.Refusal
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &r), tt.path)
		require.Equal(t, judge.NotRun, r.Error.Verdict)
	}
	require.Zero(t, p.drains.Load())
}

// Guards against a gauge without a value (NaN) that makes the encoding of all metrics fail.
func TestMetrics(t *testing.T) {
	p := newProcess()
	metrics.GetOrRegisterCounter("router.requests", p.cfg.Registry).Inc(3)
	metrics.GetOrRegisterGaugeFloat64("router.skew", p.cfg.Registry).Update(math.NaN())
	metrics.GetOrRegisterHistogram("router.wait", p.cfg.Registry, metrics.NewUniformSample(16)).Update(4)

	w := p.do(http.MethodGet, "/metrics")
	require.Equal(t, 200, w.Code)
	var got map[string]map[string]any
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &got))
	require.Equal(t, map[string]any{"count": 3.0}, got["router.requests"])
	require.Equal(t, map[string]any{"value": nil}, got["router.skew"])
	require.Equal(t, 1.0, got["router.wait"]["count"])

	w = p.do(http.MethodGet, "/metrics", "Accept", "text/plain")
	require.Equal(t, "text/plain; charset=utf-8", w.Header().Get("Content-Type"))
	require.Contains(t, w.Body.String(), "counter router.requests\n  count:               3\n")
}

func TestDebug(t *testing.T) {
	p := newProcess()
	for path, want := range map[string]string{
		"/debug/vars": `"memstats"`, "/debug/pprof/": "goroutine", "/debug/pprof/goroutine?debug=1": "goroutine profile", "/debug/pprof/cmdline": "test",
	} {
		w := p.do(http.MethodGet, path)
		require.Equal(t, 200, w.Code, path)
		require.Contains(t, w.Body.String(), want, path)
	}
}

// Guards against a blocked process that keeps the connections of operators open without a response.
func TestBlockedStatusTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newProcess()
		release := make(chan struct{})
		p.cfg.Status = func() operator.Status {
			<-release
			return testStatus
		}
		began := time.Now()
		w := p.do(http.MethodGet, "/status")
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
		require.Equal(t, 5*time.Second, time.Since(began))
		close(release)
		synctest.Wait()
	})
}

// Guards against a server without a time-out or a limit on the header size.
func TestServerLimits(t *testing.T) {
	s := operator.NewServer(operator.Config{Logger: hclog.NewNullLogger()})
	for name, d := range map[string]time.Duration{
		"header": s.ReadHeaderTimeout, "read": s.ReadTimeout, "write": s.WriteTimeout, "idle": s.IdleTimeout,
	} {
		require.Positive(t, d, name)
		require.LessOrEqual(t, d, time.Minute, name)
	}
	require.Positive(t, s.MaxHeaderBytes)
}

// Guards against a client that accepts invalid responses or waits without limit for a response.
func TestClientErrors(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		want    string
		is      func(error) bool
	}{
		{"unknown state", respond(200, `{"state":"asleep"}`), `unknown state "asleep"`, trace.IsBadParameter},
		{"no JSON", respond(200, `<html>`), "decode response of", trace.IsBadParameter},
		{"other status", respond(502, `bad gateway`), "responded with status 502", trace.IsBadParameter},
		{"refusal", respond(400, `{"error":{"message":"no","verdict":"not_run"}}`), "refused with status 400: no", trace.IsBadParameter},
		{"unauthorised", respond(401, `{"error":{"message":"no","verdict":"not_run"}}`), "refused: no", trace.IsAccessDenied},
		{"redirect", func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "http://127.0.0.1:1/", http.StatusFound)
		}, "responded with status 302", trace.IsBadParameter},
		{"endless response", func(w http.ResponseWriter, _ *http.Request) {
			for {
				if _, err := io.WriteString(w, strings.Repeat(" ", 1<<20)); err != nil {
					return
				}
			}
		}, "has more than 4194304 bytes", trace.IsLimitExceeded},
		{"no response", func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
		}, "deadline exceeded", trace.IsConnectionProblem},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := httptest.NewServer(tt.handler)
			defer s.Close()
			c := operator.NewClient(operator.ClientConfig{
				Address: netip.MustParseAddrPort(s.Listener.Addr().String()), Timeout: time.Second,
			})
			_, err := c.Status(context.Background())
			require.ErrorContains(t, err, tt.want)
			require.True(t, tt.is(err), "%v", err)
		})
	}
}

func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}
