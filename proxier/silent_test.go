package proxier_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/appraiser"
	"clementineramp/platform/imitator"
)

// silence is longer than the time after which a replacement is looked for, and shorter than callers wait.
const silence = 1200 * time.Millisecond

// eventsWithPause streams nine events, and is silent for d after the fourth.
func eventsWithPause(d time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		rest := imitator.Events(9, 0)
		if r.Header.Get(imitator.HeaderLastEvent) != "" {
			rest(w, r)
			return
		}
		imitator.Events(4, 0)(w, r)
		select {
		case <-r.Context().Done():
			return
		case <-time.After(d):
		}
		r.Header.Set(imitator.HeaderLastEvent, "4")
		rest(w, r)
	}
}

func events(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token-%d\n\n", i, i)
	}
	return b.String()
}

// Guards against giving up an attempt at an upstream that is sound and silent for a second, although no other one can be
// sent the request: its caller then got half a stream, or a failure.
func TestSilentUpstreamIsAwaitedWithoutReplacement(t *testing.T) {
	late := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(silence / 2)
		imitator.Plain("late")(w, r)
	}
	for name, prepare := range map[string]func(f *fixture){
		"no other upstream":          func(f *fixture) { f.view.ByService["s"] = f.view.ByService["s"][:1] },
		"other upstream unreachable": func(f *fixture) { f.upstreams[1].Close() },
		"no retry allowed":           func(f *fixture) { f.budget.Store(0) },
	} {
		t.Run("stream, "+name, func(t *testing.T) {
			f := newFixture(t, eventsWithPause(silence), imitator.Events(9, 0))
			prepare(f)
			r := f.do("POST", "/live/", "")
			require.NoError(t, r.err, f.log.String())
			require.Equal(t, events(9), r.body)
			require.Equal(t, 1, f.runs())
		})
		t.Run("read, "+name, func(t *testing.T) {
			f := newFixture(t, late, nil)
			prepare(f)
			r := f.do("GET", "/quick/", "")
			require.NoError(t, r.err)
			require.Equal(t, 200, r.status, f.log.String())
			require.Equal(t, "late", r.body)
			require.Equal(t, 1, f.runs())
		})
	}
}

// Guards against waiting for a silent upstream although another one takes the request, and against two upstreams working
// on one stream.
func TestSilentUpstreamIsReplaced(t *testing.T) {
	var left atomic.Int64
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		eventsWithPause(time.Minute)(w, r)
		left.Store(time.Now().UnixMilli())
	}, imitator.Events(9, 0))
	r := f.do("POST", "/live/", "")
	require.NoError(t, r.err)
	require.Equal(t, events(9), r.body)
	resumed := f.upstreams[1].Runs()[0]
	require.Equal(t, "4", resumed.Header.Get(imitator.HeaderLastEvent))
	require.Eventually(t, func() bool { return left.Load() > 0 }, time.Second, time.Millisecond)
	require.Less(t, left.Load()-resumed.Start.UnixMilli(), int64(400), "both upstreams work on the stream")
	require.EqualValues(t, 99, f.budget.Load(), "one retry costs one")
}

// Guards against ending a stream that has begun when the upstreams turn it away, as long as its caller still waits.
func TestBegunStreamIsResumedAfterRefusals(t *testing.T) {
	f := newFixture(t, eventsWithPause(time.Minute), imitator.Events(9, 0))
	var refusals atomic.Int64
	f.upstreams[1].ShouldShed = func(*http.Request) bool { return refusals.Add(1) <= 2 }
	r := f.do("POST", "/live/", "")
	require.NoError(t, r.err, f.log.String())
	require.Equal(t, events(9), r.body)
	require.EqualValues(t, 3, refusals.Load())
	require.EqualValues(t, 97, f.budget.Load(), "each arrival at another upstream costs a retry")
}

// Guards against holding on to a begun stream that no upstream resumes before its caller leaves, and against using up the
// retry budget for it.
func TestBegunStreamEndsIfNoUpstreamResumesIt(t *testing.T) {
	f := newFixture(t, eventsWithPause(time.Minute), nil, nil, nil)
	for _, u := range f.upstreams[1:] {
		u.ShouldShed = func(*http.Request) bool { return true }
	}
	r := f.do("POST", "/live/", "") // The first upstream would go on after a minute.
	require.Error(t, r.err)
	require.Equal(t, events(4), r.body)
	require.GreaterOrEqual(t, f.budget.Load(), int64(90))
}

// Guards against taking a pause of this process for the silence of an upstream.
func TestPauseOfThisProcessIsNoSilence(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const n = 10
	f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: attempt-1\r\n%s: signed\r\nContent-Type: text/event-stream\r\n",
			imitator.HeaderAttempt, imitator.HeaderSignature)
		_, _ = io.WriteString(c, "Transfer-Encoding: chunked\r\n\r\n")
		var chunks [][]byte
		for i := range n + 1 {
			event := fmt.Sprintf("id: %d\ndata: token-%d\n\n", i+1, i+1)
			chunks = append(chunks, fmt.Appendf(nil, "%x\r\n%s\r\n", len(event), event))
		}
		_, _ = c.Write(chunks[0])
		time.Sleep(50 * time.Millisecond)
		raw, err := c.(*net.TCPConn).SyscallConn()
		if err != nil {
			return
		}
		var socket uintptr
		_ = raw.Control(func(fd uintptr) { socket = fd })
		imitator.Pause(n, 100*time.Millisecond, socket, chunks[1:])
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}, imitator.Events(1, 0))
	r := f.do("POST", "/live/", "")
	require.NoError(t, r.err)
	require.Equal(t, n+1, strings.Count(r.body, "data: "), f.log.String())
	require.Equal(t, 1, f.runs(), "the stream was resumed at another upstream")
}

// Guards against logging that a stream could not be resumed when its caller had left.
func TestStreamOfCallerThatLeftIsLoggedSo(t *testing.T) {
	f := newFixture(t, nil, imitator.Events(9, 0))
	f.upstreams[0].Handle = func(w http.ResponseWriter, r *http.Request) {
		f.callerLeft.Store(true)
		eventsWithPause(time.Minute)(w, r)
	}
	require.Error(t, f.do("POST", "/live/", "").err)
	require.Zero(t, len(f.upstreams[1].Runs()))
	require.Contains(t, f.log.String(), `text="caller disconnected" caller_closed=true`)
	require.NotContains(t, f.log.String(), "could not be resumed")
}

// Guards against a timer that is not started again: data that arrived while a slow connection to a replacement was opened
// left the stream without one, so that its caller waited until it left.
func TestSilenceAfterASearchIsNoticed(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		imitator.Events(2, 0)(&pausingWriter{ResponseWriter: w, pause: 800 * time.Millisecond}, r)
		select {
		case <-r.Context().Done():
		case <-time.After(10 * time.Second):
		}
	}, imitator.Events(9, 0))
	f.dialDelay = func(address string) time.Duration {
		if address == f.upstreams[1].Address() {
			return 900 * time.Millisecond
		}
		return 0
	}
	r := f.do("POST", "/live/", "")
	require.NoError(t, r.err)
	require.Equal(t, events(9), r.body, f.log.String())
}

// pausingWriter pauses before each event but the first.
type pausingWriter struct {
	http.ResponseWriter
	pause  time.Duration
	writes int
}

// Unwrap returns the writer of the server, for http.ResponseController.
func (w *pausingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write writes an event.
func (w *pausingWriter) Write(b []byte) (int, error) {
	if w.writes++; w.writes > 1 {
		time.Sleep(w.pause)
	}
	return w.ResponseWriter.Write(b)
}

// Guards against giving up a sound upstream because the caller reads slowly.
func TestSlowCallerIsNoSilentUpstream(t *testing.T) {
	const n, size = 3000, 8 << 10 // more than the buffers of the connections hold
	f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(imitator.HeaderSignature, "signed")
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= n; i++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", size)); err != nil {
				return
			}
		}
	}, imitator.Events(9, 0))
	c, err := net.Dial("tcp", strings.TrimPrefix(f.server.URL, "http://"))
	require.NoError(t, err)
	defer c.Close()
	fmt.Fprintf(c, "POST /live/ HTTP/1.1\r\nHost: h\r\n%s: attempt-1\r\n%s: key\r\nContent-Length: 0\r\n\r\n", imitator.HeaderAttempt, imitator.HeaderKey)
	time.Sleep(3 * time.Second)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, n, strings.Count(string(body), "id: "), f.log.String())
	require.Empty(t, f.upstreams[1].Runs())
	require.EqualValues(t, 100, f.budget.Load())
}

// Guards against taking an upstream for unreachable because a request was given to another one while the connection was being
// opened, and against a retry that is deducted although nothing was sent.
func TestSlowDialIsNoRefusal(t *testing.T) {
	f := newFixture(t, nil, nil)
	f.dialDelay = func(address string) time.Duration {
		if address == f.upstreams[0].Address() {
			return 200 * time.Millisecond
		}
		return 0
	}
	r := f.do("GET", "/quick/", "")
	require.Equal(t, 200, r.status, f.log.String())
	require.Equal(t, appraiser.Good, f.health.Health("u0", time.Now()))
	require.EqualValues(t, 100, f.budget.Load())
	require.Len(t, f.upstreams[1].Runs(), 1)
}
