package proxier_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/blocker"
	"clementineramp/platform/imitator"
)

// suspectRequest records crashes for which the request with the given path, which do sends, is suspected.
func (f *fixture) suspectRequest(path, body string, crashes int) {
	print := blocker.FingerprintOf(http.MethodPost, path, "key", []byte(body))
	for i := range crashes {
		f.crashes.RecordCrash(print, fmt.Sprint("earlier-", i), time.Now().Add(-10*time.Second+time.Duration(i)*time.Second))
	}
}

// Guards against a sound request that is refused after the third crash of upstreams that ran it beside another request,
// although it was served whole in between. One that crashes upstreams in the middle of its answers is refused.
func TestRequestServedBetweenCrashesIsNotRefused(t *testing.T) {
	for _, path := range []string{"/order/1", "/stream/1", "/read/1"} {
		for _, c := range []struct {
			name   string
			serves bool
			last   int
		}{{"served", true, 200}, {"never served", false, 503}} {
			t.Run(path+" "+c.name, func(t *testing.T) {
				var crash atomic.Bool
				f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
					if crash.Load() {
						crashAfterEvent(w, r)
					}
					imitator.Events(3, 0)(w, r)
				})
				f.suspectRequest(path, "body", 2)
				if c.serves {
					require.Equal(t, 200, f.do("POST", path, "body").status)
				}
				crash.Store(true)
				require.Equal(t, path == "/stream/1", f.do("POST", path, "body").err != nil)
				crash.Store(false)
				require.Equal(t, c.last, f.do("POST", path, "body").status, f.log.String())
			})
		}
	}
}

// Guards against a request that is sent to one upstream more because its third crash came in the middle of its attempts.
func TestBlockedRequestIsNotRepeated(t *testing.T) {
	for _, path := range []string{"/resume/1", "/read/1"} {
		for crashes, want := range map[int]int{2: 502, 1: 200} {
			t.Run(fmt.Sprint(path, " ", crashes), func(t *testing.T) {
				f := newFixture(t, imitator.ResetConnection, imitator.Events(3, 0))
				f.suspectRequest(path, "body", crashes)
				require.Equal(t, want, f.do("POST", path, "body").status, f.log.String())
				require.Equal(t, map[int]int{502: 1, 200: 2}[want], f.runs())
			})
		}
	}
}

// Guards against a request that is refused because the hosts that ran it lost their power or network, in which nothing crashes.
func TestRequestOfLostHostIsNotSuspected(t *testing.T) {
	for err, want := range map[error]int{syscall.ECONNRESET: 503, syscall.ETIMEDOUT: 502} {
		f := newFixture(t, imitator.ResetConnection)
		f.readErr = err
		f.suspectRequest("/order/1", "body", 2)
		require.Equal(t, 502, f.do("POST", "/order/1", "body").status)
		require.Equal(t, want, f.do("POST", "/order/1", "body").status, "%v", err)
	}
}
