package proxier_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/mapper"
	"clementineramp/platform/imitator"
)

// stallingBody pauses when its end has been read, as a process does that gets no processor time then.
type stallingBody struct {
	io.ReadCloser
	d time.Duration
}

// Read reads from the body.
func (b *stallingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 || err != nil {
		time.Sleep(b.d)
	}
	return n, err
}

// Guards against a request that was read whole, whose deadline then passes before it is sent, and that ends without an answer
// or is sent all the same: http.Server watches the connection from the end of the body on, and must not take the time for the
// body that passes then for a caller that has left.
func TestRequestReadWholeIsAnswered(t *testing.T) {
	f := newFixture(t, nil)
	h := f.server.Config.Handler
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = &stallingBody{ReadCloser: r.Body, d: 300 * time.Millisecond}
		h.ServeHTTP(w, r)
	}))
	defer server.Close()
	for name, body := range map[string]string{
		"with length": "Content-Length: 4\r\n\r\nbody", "in chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
			require.NoError(t, err)
			defer c.Close()
			_, err = fmt.Fprintf(c, "POST /order/ HTTP/1.1\r\nHost: h\r\n%s: attempt-1\r\n%s: key\r\n%s: 100\r\n%s",
				imitator.HeaderAttempt, imitator.HeaderKey, imitator.HeaderRemaining, body)
			require.NoError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err, f.log.String())
			defer resp.Body.Close()
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, f.log.String())
			require.Zero(t, f.runs())
		})
	}
}

// changingBody calls change before it is first read.
type changingBody struct {
	io.ReadCloser
	once   sync.Once
	change func()
}

// Read reads from the body.
func (b *changingBody) Read(p []byte) (int, error) {
	b.once.Do(b.change)
	return b.ReadCloser.Read(p)
}

// Guards against a request that gets no answer because a configuration without its route, service and key and with smaller
// limits arrives while its body is read, or between two attempts: it is served under the one that admitted it.
func TestRequestIsServedUnderTheConfigurationThatAdmittedIt(t *testing.T) {
	small := (&mapper.Table{Version: 2, Limits: mapper.Limits{BodyBytes: 1, HeaderBytes: 1, IdleTime: 1}, Organisations: map[string]*mapper.Organisation{}}).Build()
	for _, when := range []string{"while the body is read", "between two attempts"} {
		t.Run(when, func(t *testing.T) {
			f := newFixture(t, imitator.Shed, nil)
			first := f.table
			if when == "between two attempts" {
				f.connected = func() { f.table = small }
			}
			h := f.server.Config.Handler
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if when != "between two attempts" {
					r.Body = &changingBody{ReadCloser: r.Body, change: func() { f.table = small }}
				}
				h.ServeHTTP(w, r)
			}))
			t.Cleanup(server.Close)
			f.server = server
			r := f.do("POST", "/order/", "body")
			require.Equal(t, 200, r.status, f.log.String())
			require.Equal(t, 2, f.runs())
			require.NotSame(t, first, f.table)
		})
	}
}
