package service_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"clementineramp/connector"
	"clementineramp/judge"
	"clementineramp/service"
)

// Guards against an answer whose head is malformed in a way that net/http hides, on new and on kept connections.
func TestHeadsThatNetHTTPHides(t *testing.T) {
	const (
		sound   = "HTTP/1.1 200 OK\r\nX-Fill: 1\r\nContent-Length: 2\r\n\r\nok"
		interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	)
	for name, c := range map[string]struct {
		answer string
		sound  bool
	}{
		"sound":                    {sound, true},
		"after an interim one":     {interim + interim + sound, true},
		"fields of a body":         {"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nHTTP/1.0 200 OK\r\nTransfer-Encoding: a\n b", true},
		"HTTP/1.0":                 {"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", true},
		"HTTP/1.0 without length":  {"HTTP/1.0 200 OK\r\n\r\nok", true},
		"blank before the length":  {"HTTP/1.1 200 OK\r\nX-Fill: 1\r\n Content-Length: 2\r\n\r\nok", false},
		"blank in an interim one":  {"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n X: 1\r\n\r\n" + sound, false},
		"blank after interim ones": {interim + interim + "HTTP/1.1 200 OK\r\nX-Fill: 1\r\n X: 1\r\nContent-Length: 2\r\n\r\nok", false},
		"encoding in HTTP/1.0":     {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false},
		"encoding and length":      {"HTTP/1.0 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false},
	} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(name+" "+method, func(t *testing.T) {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				t.Cleanup(func() { _ = l.Close() })
				go func() {
					for {
						conn, err := l.Accept()
						if err != nil {
							return
						}
						go respondTwice(conn, sound, c.answer)
					}
				}()
				client := service.New(service.Config{Address: l.Addr().String()})
				if method == http.MethodGet {
					_, err := client.Call(t.Context(), service.Request{Method: method, Path: "/first"})
					require.NoError(t, err)
				}
				resp, err := client.Call(t.Context(), service.Request{Method: method, Path: "/", OnSent: func() {}})
				if c.sound {
					require.NoError(t, err)
					require.Contains(t, []string{"ok", "HTTP/1.0 200 OK\r\nTransfer-Encoding: a\n b"}, string(resp.Body))
					return
				}
				require.ErrorIs(t, err, connector.ErrMalformedHead, "%q", resp.Body)
				require.Equal(t, judge.MayHaveRun, judge.VerdictOf(err))
			})
		}
	}
}

// respondTwice answers requests for /first with one response, and the first other one with another before it closes.
func respondTwice(c net.Conn, first, other string) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if r.URL.Path != "/first" {
			_, _ = io.WriteString(c, other)
			return
		}
		_, _ = io.WriteString(c, first)
	}
}
