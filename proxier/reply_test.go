package proxier_test

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/platform/imitator"
	"clementineramp/registrar"
)

// scripted puts an upstream that responds with the given bytes before those of the fixture.
func (f *fixture) scripted(respond func(n int, r *http.Request) (string, imitator.End)) {
	s := &imitator.Scripted{Respond: respond}
	require.NoError(f.t, s.Start())
	f.t.Cleanup(s.Close)
	f.view.ByService["s"] = append([]registrar.Upstream{{ID: "scripted", Service: "s", Address: s.Address(), Slots: 8}},
		f.view.ByService["s"]...)
}

const (
	namedLine  = imitator.HeaderAttempt + ": {id}\r\n"
	signedLine = imitator.HeaderSignature + ": signed\r\n"
	notRunLine = imitator.HeaderNotExecuted + ": 1\r\n"
	wholeReply = "HTTP/1.1 200 OK\r\n" + namedLine + signedLine + "Content-Length: 2\r\n\r\nok"
)

// Guards against a refusal of an earlier request that an upstream in trouble sends once more on a kept connection: the
// caller of the next request, which the upstream runs, was told that it has not run, or another upstream ran it too.
func TestRefusalOfAnotherRequest(t *testing.T) {
	for _, status := range []int{400, 408, 421, 429, 503} {
		for _, c := range []struct {
			name, lines string
			status      int
		}{
			{"named", imitator.HeaderAttempt + ": old\r\n" + notRunLine, 200},
			{"not named", notRunLine, 502},
			{"not named, signed", signedLine + notRunLine, 502},
			{"without statement", signedLine, 502},
		} {
			for _, path := range []string{"/order/", "/stream/"} {
				t.Run(strconv.Itoa(status)+" "+c.name+path, func(t *testing.T) {
					f := newFixture(t)
					var runs atomic.Int64
					f.scripted(func(n int, _ *http.Request) (string, imitator.End) {
						runs.Add(1)
						if n == 0 {
							return wholeReply, imitator.KeepOpen
						}
						refusal := "HTTP/1.1 " + strconv.Itoa(status) + " Refused\r\n" + c.lines + "Content-Length: 4\r\n\r\nfull"
						return refusal + wholeReply, imitator.KeepOpen
					})
					require.Equal(t, 200, f.do("POST", "/order/", "first", imitator.HeaderAttempt, "old").status)
					sound := &imitator.Upstream{ID: "sound", Service: "s"}
					sound.Start()
					t.Cleanup(sound.Close)
					f.view.ByService["s"] = append(f.view.ByService["s"],
						registrar.Upstream{ID: "sound", Service: "s", Address: sound.Address(), Slots: 8})
					r := f.do("POST", path, "second", imitator.HeaderAttempt, "new")
					require.NoError(t, r.err)
					require.Equal(t, c.status, r.status, f.log.String())
					require.EqualValues(t, 2, runs.Load())
					require.Empty(t, sound.Runs())
				})
			}
		}
	}
}

// Guards against the load in a response that does not name the request, which may be an old one or that of another server.
func TestLoadOfAnotherResponse(t *testing.T) {
	for line, known := range map[string]bool{"": false, namedLine: true} {
		f := newFixture(t)
		f.scripted(func(int, *http.Request) (string, imitator.End) {
			return "HTTP/1.1 500 Error\r\n" + line + imitator.HeaderLoad + ": 8,0,8\r\nContent-Length: 0\r\n\r\n", imitator.CloseConnection
		})
		r := f.do("POST", "/order/", "body")
		require.NoError(t, r.err)
		require.GreaterOrEqual(t, r.status, 500)
		require.Equal(t, known, !f.placer.Heard("scripted").IsZero(), "%q", line)
	}
}

// Guards against a request that is blocked as one that crashes upstreams because responses to it are not those of its upstream,
// while a connection that broke still counts.
func TestCrashesOfForeignResponses(t *testing.T) {
	const text = "Content-Length: 2\r\n\r\nok"
	for _, c := range []struct {
		name, id, response string
		status, crashes    int
	}{
		{"not named", "new", "HTTP/1.1 500 Error\r\n" + signedLine + text, 502, 0},
		{"not named, request without ID", "", "HTTP/1.1 404 Not Found\r\n" + text, 502, 0},
		{"no signature", "new", "HTTP/1.1 200 OK\r\n" + namedLine + text, 502, 0},
		{"malformed head", "new", strings.Replace(wholeReply, "200", "000", 1), 502, 0},
		{"cut", "new", strings.TrimSuffix(wholeReply, "k"), 502, 1},
		{"failure", "new", "HTTP/1.1 500 Error\r\n" + namedLine + signedLine + text, 500, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.scripted(func(int, *http.Request) (string, imitator.End) { return c.response, imitator.CloseConnection })
			r := f.do("POST", "/order/", "body", imitator.HeaderAttempt, c.id)
			require.NoError(t, r.err)
			require.Equal(t, c.status, r.status, f.log.String())
			require.Equal(t, c.crashes, f.crashCount())
		})
	}
}

// Guards against disbelief in a refusal that names its request, which may be sent to another upstream.
func TestRefusalOfThisRequest(t *testing.T) {
	for _, status := range []int{400, 408, 421, 429, 503} {
		for _, framing := range []string{"Content-Length: 4\r\n", "", "Content-Length: 10\r\n"} {
			t.Run(strconv.Itoa(status)+" "+framing, func(t *testing.T) {
				f := newFixture(t, nil)
				f.scripted(func(int, *http.Request) (string, imitator.End) {
					return "HTTP/1.1 " + strconv.Itoa(status) + " Refused\r\n" + namedLine + notRunLine + framing + "\r\nfull",
						imitator.CloseConnection
				})
				require.Equal(t, 200, f.do("POST", "/order/", "body").status)
				require.Equal(t, 1, f.runs())
			})
		}
	}
}

// event is a response part with one event.
func event(id string) string {
	return "id: " + id + "\ndata: token-" + id + "\n\n"
}

const (
	streamHead  = "HTTP/1.1 200 OK\r\n" + namedLine + signedLine + "Content-Type: text/event-stream\r\n"
	errorHeader = "HTTP/1.1 500 Internal Server Error\r\n" + namedLine + signedLine + "Content-Type: text/event-stream\r\n"
)

// chunked returns the text as one chunk and the end of the body.
func chunked(text string) string {
	return strconv.FormatInt(int64(len(text)), 16) + "\r\n" + text + "\r\n0\r\n\r\n"
}

// Guards against anything but the rest of a stream after its first events: the text of an error, events that the caller
// has, or an end that is none.
func TestRestOfABrokenStream(t *testing.T) {
	chunkedHead := streamHead + "Transfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name, second string
		body         string
		complete     bool
	}{
		{"rest", chunkedHead + chunked(event("3")+event("4")), event("3") + event("4"), true},
		{"nothing left", chunkedHead + "0\r\n\r\n", "", true},
		{"unframed rest", streamHead + "\r\n" + event("3") + event("4"), event("3") + event("4"), true},
		{"unframed, inside an event", streamHead + "\r\n" + event("3") + "id: 4\nda", event("3"), false},
		{"unframed, no event", streamHead + "\r\n", "", false},
		{"error with events as its text", errorHeader + "Content-Length: 40\r\n\r\n" + event("3") + event("4"), "", false},
		{"error of unknown length", errorHeader + "\r\n" + event("3"), "", false},
		{"refusal", "HTTP/1.1 503 Full\r\n" + namedLine + notRunLine + "Content-Length: 6\r\n\r\nfull\n\n", "", false},
		{"unsigned stream", strings.Replace(chunkedHead, signedLine, "", 1) + chunked(event("3")), "", false},
		{"stream of another request", strings.Replace(chunkedHead, namedLine, "", 1) + chunked(event("3")), "", false},
		{"plain success", "HTTP/1.1 200 OK\r\n" + namedLine + signedLine + "Content-Length: 6\r\n\r\nfull\n\n", "", false},
		{"part", strings.Replace(chunkedHead, "200 OK", "206 Partial Content", 1) + chunked(event("3")), "", false},
		{"from the start", chunkedHead + chunked(event("1")+event("2")+event("3")), "", false},
		{"last event again", chunkedHead + chunked(event("2")+event("3")), "", false},
		{"an event twice", chunkedHead + chunked(event("3")+event("3")), event("3"), false},
		{"other fields", chunkedHead + chunked(otherEvents), otherEvents, true},
		{"head after the events", streamHead + "\r\n" + event("3") + errorHeader + "\r\nfull\n\n", event("3"), false},
		{"text after the events", chunkedHead + chunked(event("3")+"overloaded\n\nerror: internal\n\n"), event("3"), false},
		{"error after the events", chunkedHead + chunked(event("3")+"error: internal\n\n"), event("3"), false},
		{"text in place of events", streamHead + "\r\n" + "overloaded\n\n", "", false},
		{"header in lower case", chunkedHead + chunked("content-length: 7\n\n"+event("3")), "", false},
		{"head in a value", streamHead + "\r\n" + "id: 3\ndata: tok" + errorHeader + "\r\nfull\n\n", "", false},
		{"head in an ID", streamHead + "\r\n" + "id: 3" + "HTTP/1.1 503 Full\r\n\r\nfull\n\n", "", false},
		{"head inside a chunk", chunkedHead + "200\r\nid: 3\nda" + errorHeader + "\r\nfull\n\n", "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.scripted(func(int, *http.Request) (string, imitator.End) { return c.second, imitator.CloseConnection })
			f.scripted(func(int, *http.Request) (string, imitator.End) {
				return chunkedHead + "100\r\n" + event("1") + event("2") + "id: 3\nda", imitator.CloseConnection
			})
			f.view.ByService["s"][0].ID = "first"
			r := f.do("POST", "/resume/", "body")
			require.Equal(t, 200, r.status)
			require.Equal(t, event("1")+event("2")+c.body, r.body, f.log.String())
			require.Equal(t, c.complete, r.err == nil, "%v", r.err)
		})
	}
}

// otherEvents has all fields and line ends that the events of a stream may have.
const otherEvents = ": comment\n\nweight-versions: 7\nevent: x\nretry: 5\nid: 3\ndata: HTTP/1.1 500 Error\ndata\n\n" +
	"id: 5\r\ndata: a\r\n\r\nid: 6\rdata: b\r\r\n\nid:7\ndata: c\n\n"

// Guards against events that are changed, held back or taken as broken when they arrive in pieces.
func TestEventsInPieces(t *testing.T) {
	for _, size := range []int{1, 2, 3, 7} {
		f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(imitator.HeaderSignature, "signed")
			w.Header().Set("Content-Type", "text/event-stream")
			for piece := range slices.Chunk([]byte(otherEvents), size) {
				_, _ = w.Write(piece)
				_ = http.NewResponseController(w).Flush()
			}
		})
		r := f.do("POST", "/stream/", "body")
		require.NoError(t, r.err, f.log.String())
		require.Equal(t, otherEvents, r.body)
	}
}

// Guards against the answer of an attempt before the stream began being sent after the first events of it.
func TestFailureBeforeABrokenStream(t *testing.T) {
	f := newFixture(t, imitator.Status(500), imitator.Events(9, 4))
	r := f.do("POST", "/resume/", "body")
	require.Error(t, r.err)
	require.Equal(t, event("1")+event("2")+event("3")+event("4"), r.body)
	require.Equal(t, 2, f.runs())
}

// Guards against a failure that is too long to be buffered and whose status tells the caller of a request which ran that it
// has not, or which is not retried although the route allows it.
func TestLongFailure(t *testing.T) {
	text := strings.Repeat("x", 70_000)
	for framing, body := range map[string]string{
		"Content-Length: 70000\r\n": text, "Transfer-Encoding: chunked\r\n": chunked(text), "": text,
	} {
		for _, c := range []struct {
			path                    string
			upstream, status, sound int
		}{
			{"/order/", 408, 502, 0},
			{"/order/", 429, 502, 0},
			{"/order/", 500, 502, 0},
			{"/order/", 503, 502, 0},
			{"/order/", 404, 404, 0},
			{"/stream/", 429, 502, 0},
			{"/stream/", 503, 502, 0},
			{"/read/", 500, 200, 1},
			{"/read/", 503, 200, 1},
			{"/read/", 429, 429, 0},
			{"/resume/", 503, 200, 1},
		} {
			t.Run(strconv.Itoa(c.upstream)+c.path+framing, func(t *testing.T) {
				f := newFixture(t, nil)
				f.scripted(func(int, *http.Request) (string, imitator.End) {
					return "HTTP/1.1 " + strconv.Itoa(c.upstream) + " Error\r\n" + namedLine + signedLine + framing + "\r\n" + body,
						imitator.CloseConnection
				})
				r := f.do("POST", c.path, "body")
				require.NoError(t, r.err)
				require.Equal(t, c.status, r.status, f.log.String())
				require.Equal(t, c.sound, f.runs())
				if c.status == c.upstream {
					require.Equal(t, text, r.body)
				}
			})
		}
	}
}

// Guards against a response that has no body by its method or status, and so need not have a length, being taken as broken.
func TestSuccessWithoutBody(t *testing.T) {
	for _, path := range []string{"/order/", "/read/", "/stream/"} {
		for _, c := range []struct {
			method, status, framing string
			code                    int
		}{
			{http.MethodHead, "200 OK", "", 200},
			{http.MethodHead, "200 OK", "Content-Length: 12\r\n", 200},
			{http.MethodHead, "200 OK", "Transfer-Encoding: chunked\r\n", 200},
			{http.MethodHead, "200 OK", "Content-Type: text/event-stream\r\n", 200},
			{http.MethodPost, "204 No Content", "", 204},
		} {
			t.Run(c.method+path+c.status+c.framing, func(t *testing.T) {
				f := newFixture(t, nil)
				f.scripted(func(int, *http.Request) (string, imitator.End) {
					return "HTTP/1.1 " + c.status + "\r\n" + namedLine + signedLine + c.framing + "\r\n", imitator.CloseConnection
				})
				r := f.do(c.method, path, "body")
				require.NoError(t, r.err)
				require.Equal(t, c.code, r.status, f.log.String())
				require.Zero(t, f.runs(), "it was retried")
				require.Zero(t, f.crashCount())
			})
		}
	}
}

// Guards against the order of event IDs being checked from the caller's Last-Event-Id where streams cannot be resumed, so that
// upstreams ignore it and start from the first event.
func TestLastEventIDOfCaller(t *testing.T) {
	for _, c := range []struct {
		path, first string
		complete    bool
	}{
		{"/stream/", "1", true},
		{"/stream/", "8", true},
		{"/resume/", "8", true},
		{"/resume/", "1", false},
	} {
		t.Run(c.path+c.first, func(t *testing.T) {
			f := newFixture(t)
			f.scripted(func(int, *http.Request) (string, imitator.End) {
				return streamHead + "Transfer-Encoding: chunked\r\n\r\n" + chunked(event(c.first)+event("9")), imitator.CloseConnection
			})
			r := f.do("POST", c.path, "body", imitator.HeaderLastEvent, "7")
			require.NoError(t, r.err)
			if !c.complete {
				require.Equal(t, 502, r.status)
				return
			}
			require.Equal(t, 200, r.status, f.log.String())
			require.Equal(t, event(c.first)+event("9"), r.body)
			require.Zero(t, f.crashCount())
		})
	}
}

// crashCount returns the number of crash reports.
func (f *fixture) crashCount() (n int) {
	for _, b := range f.crashes.ReportsSince(nil, time.Now()) {
		n += len(b.Requests)
	}
	return n
}
