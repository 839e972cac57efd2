package connector_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/connector"
	"clementineramp/platform/imitator"
)

// Guards against taking a pause of this process for an upstream that accepts no connections.
func TestPauseOfThisProcessFailsNoDial(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	p := connector.New(connector.Config{
		DialTimeout: 100 * time.Millisecond,
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			imitator.Pause(1, 200*time.Millisecond, 0, nil)
			return (&net.Dialer{}).DialContext(ctx, network, address)
		},
	})
	require.NoError(t, p.Connect(t.Context(), connector.Target{Upstream: "u", Address: l.Addr().String()}))
}

func TestDialTimeout(t *testing.T) {
	p := connector.New(connector.Config{
		DialTimeout: 50 * time.Millisecond,
		Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		},
	})
	start := time.Now()
	require.ErrorContains(t, p.Connect(t.Context(), connector.Target{Upstream: "u", Address: "a:1"}), "dial timeout")
	require.Less(t, time.Since(start), time.Second)
}

// Guards against taking a pause of this process for an upstream that does not end the head of its response, or the body of a
// response that is discarded.
func TestPauseOfThisProcessBreaksNoResponse(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const stale = "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 2\r\n\r\nx"
	for name, c := range map[string]struct{ first, rest string }{
		"in the head":                {"HTTP/1.1 200 OK\r\nId:", " a\r\nContent-Length: 0\r\n\r\n"},
		"in the body of another one": {stale, "xHTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			go func() {
				nc, err := l.Accept()
				if err != nil {
					return
				}
				defer nc.Close()
				if _, err := http.ReadRequest(bufio.NewReader(nc)); err != nil {
					return
				}
				_, _ = io.WriteString(nc, c.first)
				time.Sleep(50 * time.Millisecond) // The gateway reads the first part.
				imitator.Pause(1, 500*time.Millisecond, 0, nil)
				_, _ = io.WriteString(nc, c.rest)
				_, _ = io.Copy(io.Discard, nc)
			}()
			p := connector.New(connector.Config{HeadTimeout: 300 * time.Millisecond})
			e, err := p.Do(t.Context(), connector.Target{Upstream: "u", Address: l.Addr().String()},
				connector.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}},
				func(_ int, h http.Header) bool { return h.Get("Id") == "a" })
			require.NoError(t, err)
			defer e.Close()
			_, err = io.Copy(io.Discard, e.Body)
			require.NoError(t, err)
		})
	}
}
