package connector_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/connector"
)

// FuzzResponse checks that whatever an upstream sends, an exchange ends, returns only a response to its request, and
// leaves no connection that is still in use.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nok\r\n0\r\nT: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\nId: 1\r\n\r\nrest",
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
		"HTTP/9.9 999\r\n\r\n", "\x00", "",
		"HTTP/1.1 000 OK\r\nId: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nId: 1\r\nX Fill: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\n X: 1\r\n\r\n", "HTTP/1.0 200 OK\nId: 1\ntransfer-encoding: chunked\n\n0\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, response []byte) {
		p := connector.New(connector.Config{
			HeadTimeout: time.Second,
			Dial: func(context.Context, string, string) (net.Conn, error) {
				client, server := net.Pipe()
				go func() {
					defer server.Close()
					if _, err := http.ReadRequest(bufio.NewReader(server)); err == nil {
						_, _ = server.Write(response)
					}
				}()
				return client, nil
			},
		})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		e, err := p.Do(ctx, connector.Target{Upstream: "u", Address: "a"}, connector.Request{Method: "GET", Target: "/", Host: "h"}, matchID("1"))
		if err == nil {
			require.Equal(t, "1", e.Header.Get("Id"))
			require.NoError(t, connector.CheckHead(e.Response))
			require.GreaterOrEqual(t, e.StatusCode, 200)
			n, _ := io.Copy(io.Discard, e)
			require.LessOrEqual(t, n, int64(len(response)))
			e.Close()
		}
		require.NoError(t, ctx.Err())
		p.Sweep(func(string) bool { return false })
		require.Zero(t, p.OpenConnections())
	})
}
