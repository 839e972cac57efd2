package connector_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/connector"
)

// endless returns a handler that reads a request, writes the start of a response and then a text without end, and counts
// the bytes that the connection took.
func endless(start, text string, sent *atomic.Int64) func(int, net.Conn) {
	return func(_ int, c net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if _, err := io.WriteString(c, strings.ReplaceAll(start, "{id}", req.Header.Get("Id"))); err != nil {
			return
		}
		block := []byte(strings.Repeat(text, 1+(16<<10)/len(text)))
		for {
			n, err := c.Write(block)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}
}

// maxSocketBytes is more than the buffers of a loopback connection hold, which a sender can fill before it sees that
// the other end has closed.
const maxSocketBytes = 16 << 20

// Guards against an upstream in trouble that sends bytes without end until the gateway closes: the exchange must end by
// itself, long before the deadline of its caller, and hold no more than a small amount of what came.
func TestEndlessResponses(t *testing.T) {
	for name, c := range map[string]struct{ start, text string }{
		"status line":            {"HTTP/1.1 200 ", "x"},
		"no HTTP at all":         {"", "\x00"},
		"one header line":        {"HTTP/1.1 200 OK\r\nId: {id}\r\nX-Fill: ", "x"},
		"many header lines":      {"HTTP/1.1 200 OK\r\nId: {id}\r\n", "X-Fill: x\r\n"},
		"continued header lines": {"HTTP/1.1 200 OK\r\nId: {id}\r\nX-Fill: x\r\n", " x\r\n"},
		"interim responses":      {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		"empty interim heads":    {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"stale responses":        {"", "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 0\r\n\r\n"},
		"stale body":             {"HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 1000000000\r\n\r\n", "x"},
		"chunk size":             {"HTTP/1.1 200 OK\r\nId: old\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension":        {"HTTP/1.1 200 OK\r\nId: old\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		"trailers":               {"HTTP/1.1 200 OK\r\nId: old\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Fill: x\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			u := serve(t, endless(c.start, c.text, &sent))
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			p := connector.New(connector.Config{})
			_, err := p.Do(ctx, u.target(), request("1"), matchID("1"))
			require.Error(t, err)
			require.NoError(t, ctx.Err(), "only the deadline of the caller ended the exchange")
			require.Zero(t, p.OpenConnections())
			require.Less(t, sent.Load(), int64(maxSocketBytes))
		})
	}
}

// Guards against an upstream that starts a response and then sends too little to ever complete its head, or nothing:
// the wait is bounded from the first byte on, but not before, because an upstream may take its time to respond.
func TestSlowHead(t *testing.T) {
	for name, start := range map[string]string{
		"head":         "HTTP/1.1 200 OK\r\nX",
		"interim head": "HTTP/1.1 103 Early Hints\r\nLink",
		"stale body":   "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 10\r\n\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			u := serve(t, func(_ int, c net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, start)
					_, _ = io.Copy(io.Discard, c)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			p := connector.New(connector.Config{HeadTimeout: 20 * time.Millisecond})
			_, err := p.Do(ctx, u.target(), request("1"), matchID("1"))
			require.Error(t, err)
			require.NoError(t, ctx.Err())
		})
	}
	t.Run("late but complete", func(t *testing.T) {
		u := serve(t, func(n int, c net.Conn) {
			time.Sleep(60 * time.Millisecond)
			respondEach("HTTP/1.1 103 Early Hints\r\n\r\n"+okResponse, okResponse)(n, c)
		})
		p := connector.New(connector.Config{HeadTimeout: 20 * time.Millisecond})
		for range 2 {
			body, err := exchange(t, p, u.target(), "1")
			require.NoError(t, err)
			require.Equal(t, "ok", body)
		}
		require.Len(t, u.accepted, 1, "a connection was not reused")
	})
}

// Guards against a request that waits for the rest of a body that nobody needs.
func TestDrain(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		reused   bool
	}{
		"complete":   {"HTTP/1.1 503 Full\r\nId: {id}\r\nContent-Length: 4\r\n\r\nfull", true},
		"too long":   {"HTTP/1.1 503 Full\r\nId: {id}\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("x", 100_000), false},
		"incomplete": {"HTTP/1.1 503 Full\r\nId: {id}\r\nContent-Length: 4\r\n\r\nf", false},
		"endless":    {"HTTP/1.1 503 Full\r\nId: {id}\r\n\r\n" + strings.Repeat("x", 100_000), false},
	} {
		t.Run(name, func(t *testing.T) {
			u := serve(t, respondEach(c.response))
			p := connector.New(connector.Config{HeadTimeout: 20 * time.Millisecond})
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			e, err := p.Do(ctx, u.target(), request("1"), matchID("1"))
			require.NoError(t, err)
			require.Equal(t, c.reused, e.Drain() == nil)
			e.Close()
			require.NoError(t, ctx.Err())
			require.Equal(t, c.reused, p.OpenConnections() == 1)
		})
	}
}
