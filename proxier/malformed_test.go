package proxier_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/appraiser"
	"clementineramp/platform/imitator"
)

// malformedHeads lists heads, each without its closing empty line, that are no HTTP.
var malformedHeads = []struct{ name, head string }{
	{"status 000", "HTTP/1.1 000 OK\r\n" + namedLine + signedLine + "Content-Length: 2\r\n"},
	{"status 000 without length", "HTTP/1.1 000 OK\r\n" + namedLine + signedLine},
	{"status 000 of a stream", strings.Replace(streamHead, "200", "000", 1)},
	{"status 099", "HTTP/1.1 099 OK\r\n" + namedLine + signedLine + "Content-Length: 2\r\n"},
	{"status -00", "HTTP/1.1 -00 OK\r\n" + namedLine + signedLine + "Content-Length: 2\r\n"},
	{"status +99", "HTTP/1.1 +99 OK\r\n" + namedLine + signedLine + "Content-Length: 2\r\n"},
	{"status 101", "HTTP/1.1 101 Switching Protocols\r\n" + namedLine + signedLine + "Upgrade: x\r\nConnection: Upgrade\r\n"},
	{"unsigned status 000", "HTTP/1.1 000 Full\r\n" + namedLine + notRunLine + "Content-Length: 2\r\n"},
	{"blank in a name", "HTTP/1.1 200 OK\r\n" + namedLine + signedLine + "X Fill: 1\r\nContent-Length: 2\r\n"},
	{"blank after a name", "HTTP/1.1 200 OK\r\n" + namedLine + signedLine + "X-Fill : 1\r\nContent-Length: 2\r\n"},
	{"blank after the length", "HTTP/1.1 200 OK\r\n" + namedLine + signedLine + "Content-Length : 2\r\n"},
	{"blank after the encoding", "HTTP/1.1 200 OK\r\n" + namedLine + signedLine + "Transfer-Encoding : chunked\r\n"},
	{"blank before a name", "HTTP/1.1 200 OK\r\n" + namedLine + signedLine + " X-Fill: 1\r\nContent-Length: 2\r\n"},
	{"blank before the length", "HTTP/1.1 200 OK\r\n" + namedLine + signedLine + " Content-Length: 2\r\n"},
	{"tab before the length", "HTTP/1.1 200 OK\r\n" + namedLine + signedLine + "\tContent-Length: 2\r\n"},
	{"blank before the first name", "HTTP/1.1 200 OK\r\n X-Fill: 1\r\n" + namedLine + signedLine + "Content-Length: 2\r\n"},
	{"tab in a name", "HTTP/1.1 200 OK\r\n" + namedLine + signedLine + "X\tFill: 1\r\nContent-Length: 2\r\n"},
	{"NUL in a name", "HTTP/1.1 200 OK\r\n" + namedLine + signedLine + "X\x00Fill: 1\r\nContent-Length: 2\r\n"},
	{"carriage return in a name", "HTTP/1.1 200 OK\r\n" + namedLine + signedLine + "X\rFill: 1\r\nContent-Length: 2\r\n"},
	{"DEL after the length", "HTTP/1.1 200 OK\r\n" + namedLine + signedLine + "Content-Length\x7f: 2\r\n"},
	{"control byte in the encoding", "HTTP/1.1 200 OK\r\n" + namedLine + signedLine + "Transfer-\x1fEncoding: chunked\r\n"},
	{"empty name", "HTTP/1.1 200 OK\r\n" + namedLine + signedLine + ": 1\r\nContent-Length: 2\r\n"},
	{"encoding in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + namedLine + signedLine + "Transfer-Encoding: chunked\r\n"},
	{"encoding and length in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + namedLine + signedLine + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n"},
	{"blank in a name of a stream", streamHead + "X Fill: 1\r\n"},
	{"blank in a name of a refusal", "HTTP/1.1 503 Full\r\n" + namedLine + notRunLine + "X Fill: 1\r\nContent-Length: 2\r\n"},
	{"blank in a name of a failure", "HTTP/1.1 404 Not Found\r\n" + namedLine + signedLine + "X Fill: 1\r\nContent-Length: 2\r\n"},
}

// Guards against a response with a malformed head that reaches the caller as an answer, or as a statement that the request has
// not run.
func TestMalformedHeads(t *testing.T) {
	for _, c := range malformedHeads {
		for _, route := range []struct {
			path   string
			status int
		}{{"/order/", 502}, {"/stream/", 502}, {"/read/", 200}, {"/resume/", 200}} {
			t.Run(c.name+route.path, func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, imitator.Events(3, 0))
				var runs atomic.Int64
				f.scripted(func(int, *http.Request) (string, imitator.End) {
					runs.Add(1)
					return c.head + "\r\n" + event("1"), imitator.CloseConnection
				})
				r := f.do("POST", route.path, "body")
				require.NoError(t, r.err, f.log.String())
				require.Equal(t, route.status, r.status, f.log.String())
				require.EqualValues(t, 1, runs.Load())
				if r.status != 200 {
					require.Empty(t, r.header.Get(imitator.HeaderSignature))
					require.Zero(t, f.runs(), "a request that may have run was repeated")
					return
				}
				require.Equal(t, "signed", r.header.Get(imitator.HeaderSignature))
				require.Equal(t, event("1")+event("2")+event("3"), r.body)
			})
		}
	}
}

// Guards against an upstream that sends malformed heads and keeps its share of the requests.
func TestMalformedHeadsCountAgainstUpstream(t *testing.T) {
	for _, c := range malformedHeads {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.scripted(func(int, *http.Request) (string, imitator.End) {
				return c.head + "\r\n" + event("1"), imitator.CloseConnection
			})
			for range 10 {
				require.Equal(t, 200, f.do("POST", "/read/", "body").status, f.log.String())
			}
			require.NotEqual(t, appraiser.Good, f.health.Health("scripted", time.Now()))
		})
	}
}

// Guards against a malformed head of the second run being taken as the rest of a stream.
func TestMalformedHeadOfTheRestOfAStream(t *testing.T) {
	for _, c := range malformedHeads {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.scripted(func(int, *http.Request) (string, imitator.End) {
				return c.head + "\r\n" + event("2"), imitator.CloseConnection
			})
			f.scripted(func(int, *http.Request) (string, imitator.End) {
				return streamHead + "Transfer-Encoding: chunked\r\n\r\n100\r\n" + event("1"), imitator.CloseConnection
			})
			f.view.ByService["s"][0].ID = "first"
			r := f.do("POST", "/resume/", "body")
			require.Equal(t, 200, r.status)
			require.Equal(t, event("1"), r.body, f.log.String())
			require.Error(t, r.err)
		})
	}
}

// Guards against sound heads being refused: what the fields of an answer may hold is theirs, and reaches the caller.
func TestUnusualHeads(t *testing.T) {
	for name, head := range map[string]string{
		"no reason":          "HTTP/1.1 200\r\n" + namedLine + signedLine + "Content-Length: 2\r\n",
		"all token bytes":    "HTTP/1.1 200 OK\r\n" + namedLine + signedLine + "X-!#$%&'*+.^_`|~9: 1\r\nContent-Length: 2\r\n",
		"blanks in values":   "HTTP/1.1 200 OK\r\n" + namedLine + signedLine + "X-Fill:\t a b\tc \r\nContent-Length:2\r\n",
		"colons in values":   "HTTP/1.1 200 OK\r\n" + namedLine + signedLine + "X-Fill: a : b: c\r\nContent-Length: 2\r\n",
		"empty value":        "HTTP/1.1 200 OK\r\n" + namedLine + signedLine + "X-Fill:\r\nContent-Length: 2\r\n",
		"names in lowercase": "HTTP/1.1 200 OK\r\n" + strings.ToLower(namedLine+signedLine) + "content-length: 2\r\n",
		"line feeds only":    strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+namedLine+signedLine+"Content-Length: 2\r\n", "\r", ""),
		"HTTP/1.0":           "HTTP/1.0 200 OK\r\n" + namedLine + signedLine + "X-Transfer-Encoding: a\r\nTransfer-Encodings: b\r\nVia: Transfer-Encoding: c\r\nContent-Length: 2\r\n",
		"status 299":         "HTTP/1.1 299 OK\r\n" + namedLine + signedLine + "Content-Length: 2\r\n",
		"interim response":   "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" + namedLine + signedLine + "Content-Length: 2\r\n",
		"long head":          "HTTP/1.1 200 OK\r\n" + namedLine + signedLine + strings.Repeat("X-Fill: "+strings.Repeat("x", 3000)+"\r\n", 10) + "Content-Length: 2\r\n",
	} {
		for _, path := range []string{"/order/", "/stream/"} {
			t.Run(name+path, func(t *testing.T) {
				f := newFixture(t)
				f.scripted(func(int, *http.Request) (string, imitator.End) { return head + "\r\nok", imitator.KeepOpen })
				for range 2 { // The second request is on the same connection.
					r := f.do("POST", path, "body")
					require.NoError(t, r.err, f.log.String())
					require.Equal(t, map[bool]int{true: 299, false: 200}[name == "status 299"], r.status, f.log.String())
					require.Equal(t, "ok", r.body)
					require.Equal(t, "signed", r.header.Get(imitator.HeaderSignature))
				}
			})
		}
	}
}
