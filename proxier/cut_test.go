package proxier_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"clementineramp/platform/imitator"
)

// TestCutResponses cuts responses after each of their bytes, on new and on kept connections that are then closed or reset.
// It guards against a part of a response that reaches the caller as a complete success, and against a refusal that the
// upstream did not state.
func TestCutResponses(t *testing.T) {
	const plainHead = "HTTP/1.1 200 OK\r\n" + namedLine + signedLine
	events := event("1") + event("2") + event("3")
	for _, c := range []struct {
		name, path, response string
		// body is the whole body; a prefix of it is complete if the connection is closed after it and unframed is true.
		body     string
		unframed bool
		// refused is the status if the head of the response is a refusal.
		refused int
	}{
		{"length", "/order/", plainHead + "Content-Length: 12\r\n\r\nwhole answer", "whole answer", false, 0},
		{"length at the start", "/order/", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + signedLine + namedLine + "\r\nwhole", "whole", false, 0},
		{"chunks", "/order/", plainHead + "Transfer-Encoding: chunked\r\n\r\n5;x=y\r\nwhole\r\n" + chunked(" answer"), "whole answer", false, 0},
		{"trailer", "/order/", plainHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-Sum: 1\r\n\r\n", "whole", false, 0},
		{"no length", "/order/", plainHead + "\r\nwhole answer", "whole answer", true, 0},
		{"interim", "/order/", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + plainHead + "Content-Length: 2\r\n\r\nok", "ok", false, 0},
		{"no content", "/order/", "HTTP/1.1 204 No Content\r\n" + namedLine + signedLine + "\r\n", "", false, 0},
		{"HEAD", "/order/head", plainHead + "Content-Length: 12\r\n\r\n", "", false, 0},
		{"refusal", "/order/", "HTTP/1.1 503 Full\r\n" + namedLine + notRunLine + "Content-Length: 4\r\n\r\nfull", "", false, 503},
		{"refusal of an interim", "/order/", "HTTP/1.1 103 Early Hints\r\n" + namedLine + notRunLine + "\r\n" + plainHead + "Content-Length: 2\r\n\r\nok", "ok", false, 0},
		{"wrong upstream", "/stream/", "HTTP/1.1 421 Misdirected\r\n" + namedLine + "Content-Length: 0\r\n\r\n", "", false, 503},
		{"chunked stream", "/stream/", streamHead + "Transfer-Encoding: chunked\r\n\r\n" + chunked(events), events, false, 0},
		{"stream of known length", "/stream/", streamHead + "Content-Length: " + strconv.Itoa(len(events)) + "\r\n\r\n" + events, events, false, 0},
		{"stream without length", "/stream/", streamHead + "\r\n" + events, events, true, 0},
	} {
		for _, kept := range []bool{false, true} {
			for end, name := range map[imitator.End]string{imitator.CloseConnection: "closed", imitator.ResetAfterResponse: "reset"} {
				t.Run(fmt.Sprintf("%s, kept %v, %s", c.name, kept, name), func(t *testing.T) {
					t.Parallel()
					f := newFixture(t)
					var cut, onKept atomic.Int64
					whole := strings.ReplaceAll(c.response, "{id}", "attempt-1")
					f.scripted(func(n int, r *http.Request) (string, imitator.End) {
						if strings.HasSuffix(r.URL.Path, "first") {
							return wholeReply, imitator.KeepOpen
						}
						if n > 0 {
							onKept.Add(1)
						}
						return whole[:cut.Load()], end
					})
					head := strings.LastIndex(whole, "\r\n\r\n"+c.body) + 4
					if !c.unframed {
						// Only the last byte completes the body, and a refusal is complete with its head.
						head = strings.Index(whole, "\r\n\r\n") + 4
					}
					for n := range len(whole) + 1 {
						cut.Store(int64(n))
						if kept {
							require.Equal(t, 200, f.do("POST", "/order/first", strconv.Itoa(n)).status)
						}
						method := http.MethodPost
						if c.name == http.MethodHead {
							method = http.MethodHead
						}
						r := f.do(method, c.path, fmt.Sprint("second ", n))
						complete := n == len(whole) || c.unframed && end == imitator.CloseConnection && n > head
						if n == len(whole) && end == imitator.CloseConnection && c.refused == 0 {
							require.NoError(t, r.err)
							require.Equal(t, c.body, r.body)
							require.Less(t, r.status, 300)
						}
						requireCut(t, r, c.body, c.refused, whole[:n], n >= head, complete, c.path == "/stream/")
					}
					if kept {
						require.EqualValues(t, len(whole)+1, onKept.Load())
					} else {
						require.Zero(t, onKept.Load())
					}
				})
			}
		}
	}
}

// requireCut requires the answer to a request whose response was cut: all of it if the part is complete, no success
// otherwise, and a refusal only if the upstream's head, which is then whole, states it.
func requireCut(t *testing.T, r result, body string, refused int, part string, headWhole, complete, stream bool) {
	t.Helper()
	switch {
	case refused != 0 && headWhole:
		require.NoError(t, r.err, "%q", part)
		require.Equal(t, refused, r.status, "%q", part)
	case r.status < 300 && r.err == nil:
		require.True(t, complete, "a complete success after %q: %q", part, r.body)
		require.True(t, strings.HasSuffix(part, r.body) || r.body == body, "%q after %q", r.body, part)
		require.True(t, strings.HasPrefix(body, r.body), "%q after %q", r.body, part)
		if stream {
			require.True(t, strings.HasSuffix(r.body, "\n\n"), "%q after %q", r.body, part)
		}
	case r.err != nil:
		require.True(t, stream, "%v after %q", r.err, part)
		require.True(t, strings.HasPrefix(body, r.body), "%q after %q", r.body, part)
	default:
		require.Equal(t, 502, r.status, "after %q", part)
		require.Empty(t, r.header.Get(imitator.HeaderSignature))
	}
}
