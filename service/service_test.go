package service_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/judge"
	"clementineramp/service"
)

// breakingServer responds to the first request on each connection and closes the connection at the second. It counts
// the POST requests as orders.
type breakingServer struct {
	listener net.Listener
	orders   atomic.Int64
}

func startBreakingServer(t *testing.T) *breakingServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &breakingServer{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *breakingServer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if req.Method == http.MethodPost {
			s.orders.Add(1)
		}
		if n > 0 {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func (s *breakingServer) address() string { return s.listener.Addr().String() }

// Shows the fault that the client avoids: the default transport resends an order with an Idempotency-Key when the
// reused connection breaks, although the service has run it.
func TestDefaultTransportResends(t *testing.T) {
	s := startBreakingServer(t)
	client := &http.Client{Transport: &http.Transport{}}
	send := func(method string) {
		req, err := http.NewRequest(method, "http://"+s.address()+"/orders", strings.NewReader("x"))
		require.NoError(t, err)
		req.Header.Set("Idempotency-Key", "k")
		resp, err := client.Do(req)
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	send(http.MethodGet)
	send(http.MethodPost)
	require.EqualValues(t, 2, s.orders.Load(), "the transport is expected to resend the order by itself")
}

// Guards against an order that the transport sends twice.
func TestCallIsSentOnce(t *testing.T) {
	s := startBreakingServer(t)
	c := service.New(service.Config{Address: s.address()})
	order := service.Request{Method: http.MethodPost, Path: "/orders", Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte("x")}
	for range 3 {
		_, err := c.Call(t.Context(), service.Request{Method: http.MethodGet, Path: "/"})
		require.NoError(t, err)
		a, err := c.Call(t.Context(), order)
		require.NoError(t, err)
		require.Equal(t, "ok", string(a.Body))
	}
	require.EqualValues(t, 3, s.orders.Load())
}

// Guards against a verdict "not run" for a call that may have run, and "may have run" for one that certainly did not.
func TestVerdicts(t *testing.T) {
	refused, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := refused.Addr().String()
	require.NoError(t, refused.Close())
	abort := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer abort.Close()
	large := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 100))
	}))
	defer large.Close()
	release := make(chan struct{})
	slow := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer slow.Close()
	defer close(release)

	tests := []struct {
		name    string
		address string
		timeout time.Duration
		verdict judge.Verdict
		reason  judge.Reason
	}{
		{"connection refused", address, 0, judge.NotRun, judge.ReasonUnreachable},
		{"connection broken after the request", abort.Listener.Addr().String(), 0, judge.MayHaveRun, judge.ReasonBroken},
		{"no response in time", slow.Listener.Addr().String(), 50 * time.Millisecond, judge.MayHaveRun, judge.ReasonTimeout},
		{"response too large", large.Listener.Addr().String(), 0, judge.Ran, judge.ReasonInternal},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx := t.Context()
			if tt.timeout > 0 {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, tt.timeout)
				defer cancel()
			}
			c := service.New(service.Config{Address: tt.address, MaxBytes: 10})
			_, err := c.Call(ctx, service.Request{Method: http.MethodPost, Path: "/orders", Body: []byte("x")})
			require.Error(t, err)
			require.Equal(t, tt.verdict, judge.VerdictOf(err))
			require.Equal(t, tt.reason, judge.ReasonOf(err))
		})
	}
}

// Guards against forwarding header fields that concern one connection only, and against following a redirect, which
// would send a call again.
func TestHeadersAndRedirect(t *testing.T) {
	var got http.Header
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		w.Header().Set("Keep-Alive", "timeout=5")
		w.Header().Set("Location", "/elsewhere")
		w.Header().Set("X-Order", "1")
		w.WriteHeader(http.StatusTemporaryRedirect)
	}))
	defer s.Close()
	c := service.New(service.Config{Address: s.Listener.Addr().String()})
	a, err := c.Call(t.Context(), service.Request{
		Method: http.MethodPost, Path: "/orders?x=1", Body: []byte("x"),
		Header: http.Header{"Upgrade": {"h2c"}, "X-Caller": {"a"}, "Idempotency-Key": {"k"}},
	})
	require.NoError(t, err)
	require.Equal(t, http.StatusTemporaryRedirect, a.Status)
	require.Equal(t, "1", a.Header.Get("X-Order"))
	require.Empty(t, a.Header.Get("Keep-Alive"))
	require.Empty(t, got.Get("Upgrade"))
	require.Equal(t, "a", got.Get("X-Caller"))
	require.Equal(t, "k", got.Get("Idempotency-Key"))
}
