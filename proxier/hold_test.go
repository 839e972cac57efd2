package proxier_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"clementineramp/platform/imitator"
)

// ownMemory is more than a request takes in this process, with its caller and its upstream, besides what is held back.
const ownMemory = 80 << 10

var stalled = bytes.Repeat([]byte("x"), 60_000)

// stall answers with a start and 60 KB that complete nothing, and then sends nothing more.
func stall(t *testing.T, start string) func(c *net.TCPConn, r *http.Request) {
	return func(c *net.TCPConn, r *http.Request) {
		_, _ = io.WriteString(c, strings.ReplaceAll(start, "{id}", r.Header.Get(imitator.HeaderAttempt)))
		_, _ = c.Write(stalled)
		<-t.Context().Done()
	}
}

// Guards against a gateway that runs out of memory because an upstream in trouble sends bytes that are no answer, short of each
// bound of a single response, to hundreds of requests, and against the failure of requests to sound upstreams meanwhile.
func TestMemoryOfManyUnfinishedResponses(t *testing.T) {
	const requests = 400
	long := strings.Repeat("a long answer ", 4000)
	for path, start := range map[string]string{
		"/order/":  "HTTP/1.1 200 OK\r\n" + namedLine + signedLine + "\r\n",
		"/read/":   "HTTP/1.1 200 OK\r\n" + namedLine + signedLine + "Content-Length: 1000000000000\r\n\r\n",
		"/stream/": streamHead + "\r\n: ",
	} {
		t.Run(path, func(t *testing.T) {
			f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				if strings.HasSuffix(r.URL.Path, "long") {
					imitator.Plain(long)(w, r)
					return
				}
				imitator.Events(3, 0)(w, r)
			})
			f.maxHeld = 2 << 20
			f.serve()
			sound := f.view.ByService["s"]
			f.earlyUpstream(stall(t, start))
			f.view.ByService["s"] = f.view.ByService["s"][:1]
			before := liveMemory()
			var callers sync.WaitGroup
			for i := range requests {
				callers.Go(func() {
					// Streams past the bound are cut; the others wait for the rest, and for the end of the test.
					req, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, f.server.URL+path, strings.NewReader(fmt.Sprint(i)))
					req.Host = "h"
					req.Header.Set(imitator.HeaderAttempt, "attempt-1")
					req.Header.Set(imitator.HeaderKey, "key")
					if resp, err := http.DefaultClient.Do(req); err == nil {
						_, _ = io.Copy(io.Discard, resp.Body)
						_ = resp.Body.Close()
					}
				})
			}
			held := f.metrics.Get("held_response_bytes").(metrics.Gauge)
			peak, peakHeld := before, int64(0)
			for range 20 {
				time.Sleep(50 * time.Millisecond)
				peak, peakHeld = max(peak, liveMemory()), max(peakHeld, held.Value())
			}
			t.Logf("%d requests take %d KB, %d KB of them for responses", requests, (peak-before)>>10, peakHeld>>10)
			require.Positive(t, peakHeld)
			require.LessOrEqual(t, peakHeld, f.maxHeld)
			require.Less(t, peak, before+uint64(f.maxHeld)+requests*ownMemory)

			f.view.ByService["s"] = sound
			require.Equal(t, events(3), f.do("POST", "/stream/sound", "sound").body, f.log.String())
			require.Equal(t, events(3), f.do("POST", "/order/sound", "sound").body, f.log.String())
			require.Equal(t, long, f.do("POST", "/order/long", "sound").body, f.log.String())
			f.server.CloseClientConnections()
			callers.Wait()
			require.Eventually(t, func() bool { return held.Value() == 0 }, 5*time.Second, 10*time.Millisecond)
		})
	}
}

// Guards against requests that are refused because the length that another caller states, which is refused itself, counts for a
// moment as memory in use.
func TestRefusedBodyTakesNoMemory(t *testing.T) {
	const refused, sound, goroutines = 5000, 200, 4
	f := newFixture(t, imitator.Plain("ok"))
	f.table.Limits.BodyBytes = 1 << 50
	request := func(length int64) int {
		req := httptest.NewRequest(http.MethodPost, "/read/1", strings.NewReader("body"))
		req.Host, req.ContentLength = "h", length
		req.Header.Set(imitator.HeaderAttempt, "attempt-1")
		req.Header.Set(imitator.HeaderKey, "key")
		w := httptest.NewRecorder()
		f.proxier.ServeHTTP(w, req)
		return w.Code
	}
	var all sync.WaitGroup
	for range goroutines {
		all.Go(func() {
			for range refused {
				if status := request(1 << 50); status != http.StatusServiceUnavailable {
					t.Errorf("a body beyond all memory gets status %d", status)
					return
				}
			}
		})
		all.Go(func() {
			for range sound {
				if status := request(4); status != http.StatusOK {
					t.Errorf("a body of 4 bytes gets status %d", status)
					return
				}
			}
		})
	}
	all.Wait()
}
