package proxier_test

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/platform/imitator"
	"clementineramp/registrar"
)

// hostile starts an upstream that sends bytes without end.
func hostile(t *testing.T, id, kind string) registrar.Upstream {
	h := &imitator.Hostile{Kind: kind}
	require.NoError(t, h.Start())
	t.Cleanup(h.Close)
	return registrar.Upstream{ID: id, Service: "s", Address: h.Address(), Slots: 8}
}

// discard sends a request with a deadline of a minute and discards the body of the response, so that it takes no memory.
// The error is that of reading the body.
func (f *fixture) discard(path, body string) (status int, err error) {
	req, err := http.NewRequest(http.MethodPost, f.server.URL+path, strings.NewReader(body))
	require.NoError(f.t, err)
	req.Host = "h"
	req.Header.Set(imitator.HeaderAttempt, "attempt-1")
	req.Header.Set(imitator.HeaderKey, "key")
	req.Header.Set(imitator.HeaderRemaining, "60000")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(f.t, err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// Guards against an upstream that sends bytes without end: the request gets its final response although its deadline is
// a minute away, and is sent on to the sound upstream if its route allows that.
func TestEndlessResponses(t *testing.T) {
	for _, kind := range imitator.HostileKinds {
		for _, c := range []struct {
			path   string
			sound  http.HandlerFunc
			status []int
		}{
			{"/order/", nil, []int{200, 502}},
			{"/read/", nil, []int{200}},
			{"/resume/", imitator.Events(3, 0), []int{200}},
		} {
			t.Run(kind+c.path, func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, c.sound)
				f.view.ByService["s"] = append([]registrar.Upstream{hostile(t, "hostile", kind)}, f.view.ByService["s"]...)
				status, err := f.discard(c.path, "body")
				if err != nil {
					// The first bytes of the endless body had been sent to the caller.
					require.Contains(t, []string{"body", "chunked body", "events without ID", "event without end", "blank lines"}, kind)
					return
				}
				require.Contains(t, c.status, status, f.log.String())
			})
		}
	}
}

// maxMemoryGrowth is the memory that upstreams in trouble may make a gateway use, whatever they send.
const maxMemoryGrowth = 16 << 20

// Guards against a gateway that runs out of memory when many upstreams send bytes without end at once, while it serves
// the requests that reach sound upstreams.
func TestMemoryWithTwentyEndlessUpstreams(t *testing.T) {
	f := newFixture(t, nil, nil, nil)
	sound := f.view.ByService["s"]
	for i := range 20 {
		kind := imitator.HostileKinds[i%len(imitator.HostileKinds)]
		f.view.ByService["s"] = append(f.view.ByService["s"], hostile(t, fmt.Sprint("hostile-", i), kind))
	}
	before := liveMemory()
	var peak atomic.Uint64
	done := make(chan struct{})
	var sampler sync.WaitGroup
	sampler.Go(func() {
		for {
			peak.Store(max(peak.Load(), liveMemory()))
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	})
	var callers sync.WaitGroup
	for i := range 60 {
		path := []string{"/order/", "/read/", "/resume/"}[i%3]
		callers.Go(func() {
			// The outcome depends on the upstream, and TestEndlessResponses checks it for each kind.
			_, _ = f.discard(path, fmt.Sprint("body ", i))
		})
	}
	callers.Wait()
	f.view.ByService["s"] = sound
	for i := range 10 {
		r := f.do("POST", "/order/", fmt.Sprint("sound ", i))
		require.Equal(t, 200, r.status, f.log.String())
	}
	close(done)
	sampler.Wait()
	require.Less(t, peak.Load(), before+maxMemoryGrowth)
}

// liveMemory returns the bytes of the heap that are in use after a collection.
func liveMemory() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against callers that send bodies of unknown length and never end them: the memory that they take counts while
// they arrive, not only afterwards.
func TestMemoryOfUnfinishedBodies(t *testing.T) {
	f := newFixture(t, nil)
	const size = 1 << 19 // Eight of them take all of the memory for bodies.
	var writers []*io.PipeWriter
	statuses := make(chan int, 12)
	for range cap(statuses) {
		r, w := io.Pipe()
		writers = append(writers, w)
		req, err := http.NewRequest(http.MethodPost, f.server.URL+"/order/", r)
		require.NoError(t, err)
		req.Host = "h"
		req.Header.Set(imitator.HeaderAttempt, "attempt-1")
		req.Header.Set(imitator.HeaderKey, "key")
		go func() {
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				statuses <- 0 // The connection was closed while the body was still being sent.
				return
			}
			_ = resp.Body.Close()
			statuses <- resp.StatusCode
		}()
		go func() { _, _ = w.Write(make([]byte, size)) }()
	}
	for range cap(statuses) - 8 {
		require.Contains(t, []int{0, 503}, <-statuses)
	}
	for _, w := range writers {
		_ = w.Close()
	}
	// When the memory ends while several bodies arrive at once, more than four may be refused.
	served := 0
	for range 8 {
		if <-statuses == 200 {
			served++
		}
	}
	require.Positive(t, served)
	require.Equal(t, 200, f.do("POST", "/order/", strings.Repeat("x", size)).status, "the memory is free again")
}
