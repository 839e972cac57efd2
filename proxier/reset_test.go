package proxier_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/mapper"
	"clementineramp/platform/imitator"
	"clementineramp/registrar"
)

// resetConn is a connection on which the system reports a reset to a write that waits, and not to the next read: reads wait
// for the failure of a write once a response has begun.
type resetConn struct {
	net.Conn
	begun  bool
	failed chan struct{}
}

// Write writes to the connection.
func (c *resetConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		close(c.failed)
	}
	return n, err
}

// Read reads from the connection.
func (c *resetConn) Read(b []byte) (int, error) {
	if c.begun {
		<-c.failed
	}
	c.begun = true
	return c.Conn.Read(b)
}

// earlyUpstream serves connections with a function, which gets the request before its body has been read.
func (f *fixture) earlyUpstream(serve func(c *net.TCPConn, r *http.Request)) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				tcp := c.(*net.TCPConn)
				_ = tcp.SetReadBuffer(128 << 10)
				if r, err := http.ReadRequest(bufio.NewReaderSize(c, 1<<10)); err == nil {
					serve(tcp, r)
				}
			}()
		}
	}()
	f.view.ByService["s"] = append([]registrar.Upstream{{ID: "early", Service: "s", Address: l.Addr().String(), Slots: 8}},
		f.view.ByService["s"]...)
}

// Guards against a part of a response without length that reaches the caller as a complete success, because its upstream
// crashed before it had read the body and the reset was reported to the write of that body alone.
func TestResetBeforeBodyIsReadIsNoCompleteResponse(t *testing.T) {
	for _, c := range []struct {
		name, path, response string
		check                func(t *testing.T, f *fixture, r result)
	}{
		{"plain", "/order/", "HTTP/1.1 200 OK\r\n" + namedLine + signedLine + "\r\npart", func(t *testing.T, f *fixture, r result) {
			require.NoError(t, r.err)
			require.Equal(t, 502, r.status, f.log.String())
		}},
		{"plain and long", "/order/", "HTTP/1.1 200 OK\r\n" + namedLine + signedLine + "\r\n" + strings.Repeat("part", 20<<10), func(t *testing.T, f *fixture, r result) {
			require.Error(t, r.err, f.log.String())
		}},
		{"failure", "/order/", "HTTP/1.1 404 Not Found\r\n" + namedLine + signedLine + "\r\npart", func(t *testing.T, f *fixture, r result) {
			require.NoError(t, r.err)
			require.Equal(t, 502, r.status, f.log.String())
			require.Empty(t, r.header.Get(imitator.HeaderSignature))
		}},
		{"head only", "/order/", "HTTP/1.1 404 Not Found\r\n" + namedLine + signedLine + "\r\n", func(t *testing.T, f *fixture, r result) {
			require.NoError(t, r.err)
			require.Equal(t, 502, r.status, f.log.String())
		}},
		{"repeatable", "/read/", "HTTP/1.1 200 OK\r\n" + namedLine + signedLine + "\r\npart", func(t *testing.T, f *fixture, r result) {
			require.NoError(t, r.err)
			require.Equal(t, 200, r.status, f.log.String())
			require.Equal(t, "id: 1\ndata: token-1\n\nid: 2\ndata: token-2\n\nid: 3\ndata: token-3\n\n", r.body)
		}},
		{"stream", "/stream/", streamHead + "\r\n" + event("1"), func(t *testing.T, f *fixture, r result) {
			require.Error(t, r.err, f.log.String())
			require.Equal(t, event("1"), r.body)
		}},
		{"resumable stream", "/resume/", streamHead + "\r\n" + event("1"), func(t *testing.T, f *fixture, r result) {
			require.NoError(t, r.err, f.log.String())
			require.Equal(t, event("1")+event("2")+event("3"), r.body)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, imitator.Events(3, 0))
			f.wrap = func(c net.Conn) net.Conn {
				if c.RemoteAddr().String() != f.view.ByService["s"][0].Address {
					return c
				}
				_ = c.(*net.TCPConn).SetWriteBuffer(16 << 10)
				return &resetConn{Conn: c, failed: make(chan struct{})}
			}
			f.earlyUpstream(func(conn *net.TCPConn, r *http.Request) {
				_, _ = io.WriteString(conn, strings.ReplaceAll(c.response, "{id}", r.Header.Get(imitator.HeaderAttempt)))
				time.Sleep(20 * time.Millisecond) // for the response to arrive before the reset
			})
			c.check(t, f, f.do("POST", c.path, strings.Repeat("b", 1<<20)))
		})
	}
}

// Guards against a part of a response without length that reaches the caller as a complete one, because its upstream resets the
// connection while the body is being written, whichever call the system reports the reset to.
func TestResetDuringUpload(t *testing.T) {
	for _, path := range []string{"/order/", "/stream/", "/read/", "/resume/"} {
		for _, read := range []int64{0, 5000, 100_000} {
			for _, size := range []int{150_000, 1 << 20} {
				t.Run(fmt.Sprint(path, read, " of ", size), func(t *testing.T) {
					t.Parallel()
					f := newFixture(t, imitator.Events(3, 0))
					f.wrap = func(c net.Conn) net.Conn {
						_ = c.(*net.TCPConn).SetWriteBuffer(16 << 10) // The write goes on when the reset arrives.
						return c
					}
					f.earlyUpstream(func(conn *net.TCPConn, r *http.Request) {
						_, _ = io.CopyN(io.Discard, r.Body, read)
						_, _ = io.WriteString(conn, strings.ReplaceAll(streamHead+"\r\n"+event("1"), "{id}", r.Header.Get(imitator.HeaderAttempt)))
						time.Sleep(5 * time.Millisecond) // for the response to arrive before the reset
						_ = conn.SetLinger(0)
					})
					r := f.do("POST", path, strings.Repeat("b", size))
					switch path {
					case "/order/":
						require.NoError(t, r.err)
						require.Equal(t, 502, r.status, f.log.String())
					case "/stream/":
						require.Error(t, r.err, f.log.String())
						require.Equal(t, event("1"), r.body)
					default:
						require.NoError(t, r.err, f.log.String())
						require.Equal(t, event("1")+event("2")+event("3"), r.body)
					}
				})
			}
		}
	}
}

// Guards against a second run of a request, or a cut, after a whole response whose upstream closes its side and reads the rest
// of the body for longer than a stream may pause.
func TestBodyReadAfterResponseIsNoSilence(t *testing.T) {
	for _, path := range []string{"/order/", "/read/", "/stream/", "/live/"} {
		t.Run(path, func(t *testing.T) {
			f := newFixture(t, imitator.Events(3, 0))
			f.wrap = func(c net.Conn) net.Conn {
				_ = c.(*net.TCPConn).SetWriteBuffer(8 << 10)
				return c
			}
			body := strings.Repeat("b", 1<<20)
			received := make(chan int, 1)
			f.earlyUpstream(func(conn *net.TCPConn, r *http.Request) {
				_, _ = io.WriteString(conn, strings.ReplaceAll(streamHead+"\r\n"+event("1"), "{id}", r.Header.Get(imitator.HeaderAttempt)))
				_ = conn.CloseWrite()
				time.Sleep(time.Second)
				b, _ := io.ReadAll(r.Body)
				received <- len(b)
			})
			r := f.do("POST", path, body)
			require.NoError(t, r.err, f.log.String())
			require.Equal(t, 200, r.status, f.log.String())
			require.Equal(t, event("1"), r.body)
			require.Zero(t, f.runs())
			require.Equal(t, len(body), <-received)
		})
	}
}

// Guards against a caller that is told of a broken upstream when it is the time of the request that has ended: the wait for
// an upstream that reads nothing after its response lasts no longer.
func TestWaitForBodyEndsAtDeadline(t *testing.T) {
	f := newFixture(t)
	f.earlyUpstream(func(conn *net.TCPConn, r *http.Request) {
		_, _ = io.WriteString(conn, strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+namedLine+signedLine+"\r\nwhole", "{id}", r.Header.Get(imitator.HeaderAttempt)))
		_ = conn.CloseWrite()
		<-t.Context().Done()
	})
	f.table.Routes = append(f.table.Routes, mapper.Route{
		Name: "brief", Host: "h", Prefix: "/brief/", Kind: mapper.NonIdempotent, Attempts: 1, Timeout: 100 * time.Millisecond,
		Shares: []mapper.Share{{Service: "s", Weight: 1}},
	})
	f.table.Build()
	f.wrap = func(c net.Conn) net.Conn {
		_ = c.(*net.TCPConn).SetWriteBuffer(8 << 10)
		return c
	}
	r := f.do("POST", "/brief/", strings.Repeat("b", 1<<20))
	require.NoError(t, r.err)
	require.Equal(t, http.StatusGatewayTimeout, r.status, f.log.String())
}
