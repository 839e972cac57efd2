package connector_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/connector"
)

// upstream is a listener that handles each connection with a function.
type upstream struct {
	net.Listener
	accepted chan struct{}
}

func serve(t *testing.T, handle func(n int, c net.Conn)) *upstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	u := &upstream{Listener: l, accepted: make(chan struct{}, 100)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.accepted <- struct{}{}
			go func() {
				defer c.Close()
				handle(n, c)
			}()
		}
	}()
	return u
}

func (u *upstream) target() connector.Target {
	return connector.Target{Upstream: "u", Address: u.Addr().String()}
}

// respondEach answers the requests on a connection with the given responses in turn; {id} stands for the request's Id.
func respondEach(responses ...string) func(int, net.Conn) {
	return func(_ int, c net.Conn) {
		br := bufio.NewReader(c)
		for _, a := range responses {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			if _, err := io.WriteString(c, strings.ReplaceAll(a, "{id}", req.Header.Get("Id"))); err != nil {
				return
			}
		}
		_, _ = io.Copy(io.Discard, br)
	}
}

func request(id string) connector.Request {
	return connector.Request{Method: "POST", Target: "/a?b=%2F", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("body")}
}

func matchID(id string) func(int, http.Header) bool {
	return func(_ int, h http.Header) bool { return h.Get("Id") == id }
}

const okResponse = "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 2\r\n\r\nok"

func exchange(t *testing.T, p *connector.Pool, target connector.Target, id string) (string, error) {
	t.Helper()
	e, err := p.Do(context.Background(), target, request(id), matchID(id))
	if err != nil {
		return "", err
	}
	defer e.Close()
	b, err := io.ReadAll(e)
	return string(b), err
}

func TestConnectionReuse(t *testing.T) {
	u := serve(t, respondEach(okResponse, okResponse, okResponse))
	p := connector.New(connector.Config{})
	for i := range 3 {
		body, err := exchange(t, p, u.target(), fmt.Sprint(i))
		require.NoError(t, err)
		require.Equal(t, "ok", body)
	}
	require.Len(t, u.accepted, 1)
}

func TestStaleResponseIsDiscarded(t *testing.T) {
	late := "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 5\r\n\r\nwrong"
	u := serve(t, respondEach(okResponse, late+okResponse, okResponse))
	p := connector.New(connector.Config{})
	for i := range 3 {
		body, err := exchange(t, p, u.target(), fmt.Sprint(i))
		require.NoError(t, err)
		require.Equal(t, "ok", body)
	}
	require.Len(t, u.accepted, 2, "a connection with a response to another request was reused")
}

func TestExtraResponseClosesConnection(t *testing.T) {
	u := serve(t, respondEach(okResponse+okResponse, okResponse))
	p := connector.New(connector.Config{})
	for i := range 2 {
		_, err := exchange(t, p, u.target(), fmt.Sprint(i))
		require.NoError(t, err)
		time.Sleep(20 * time.Millisecond) // for the extra bytes to arrive
	}
	require.Len(t, u.accepted, 2)
}

func TestBrokenResponses(t *testing.T) {
	for name, a := range map[string]string{
		"nothing":        "",
		"not HTTP":       "hello\r\n\r\n",
		"partial header": "HTTP/1.1 200 OK\r\nId: {id}\r\nConte",
		"short body":     "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 10\r\n\r\nok",
		"partial chunk":  "HTTP/1.1 200 OK\r\nId: {id}\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok",
		"no last chunk":  "HTTP/1.1 200 OK\r\nId: {id}\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"stale unframed": "HTTP/1.1 200 OK\r\nId: old\r\n\r\nwrong",
	} {
		t.Run(name, func(t *testing.T) {
			u := serve(t, func(n int, c net.Conn) {
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err == nil {
					_, _ = io.WriteString(c, strings.ReplaceAll(a, "{id}", req.Header.Get("Id")))
				}
			})
			p := connector.New(connector.Config{})
			_, err := exchange(t, p, u.target(), "1")
			require.Error(t, err)
			require.Len(t, u.accepted, 1, "the connector repeated a request")
			require.Zero(t, p.OpenConnections())
		})
	}
}

func TestUnframedResponse(t *testing.T) {
	for _, reset := range []bool{false, true} {
		u := serve(t, func(_ int, c net.Conn) {
			req, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nok", req.Header.Get("Id"))
			if reset {
				time.Sleep(20 * time.Millisecond) // for the response to arrive before the reset
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		})
		p := connector.New(connector.Config{})
		body, err := exchange(t, p, u.target(), "1")
		if reset {
			require.Error(t, err, "a response cut by a reset looks complete")
			continue
		}
		require.NoError(t, err)
		require.Equal(t, "ok", body)
	}
}

func TestRefusedConnectionReportsNotSent(t *testing.T) {
	u := serve(t, respondEach())
	_ = u.Close()
	_, err := exchange(t, connector.New(connector.Config{}), u.target(), "1")
	var failure *connector.Error
	require.ErrorAs(t, err, &failure)
	require.Equal(t, connector.NotSent, failure.SendStatus)
}

func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	u := serve(t, func(_ int, c net.Conn) { respondEach(okResponse)(0, &closeAfterWrite{Conn: c}) })
	p := connector.New(connector.Config{})
	for i := range 2 {
		body, err := exchange(t, p, u.target(), fmt.Sprint(i))
		require.NoError(t, err)
		require.Equal(t, "ok", body)
		time.Sleep(20 * time.Millisecond) // for the close to arrive
	}
}

// closeAfterWrite closes its connection right after the first response.
type closeAfterWrite struct{ net.Conn }

func (c *closeAfterWrite) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	_ = c.Close()
	return n, err
}

func TestConnectedConnectionIsReused(t *testing.T) {
	u := serve(t, respondEach(okResponse))
	p := connector.New(connector.Config{})
	target := u.target()
	target.MaxConnections = 1
	require.NoError(t, p.Connect(t.Context(), target))
	require.ErrorIs(t, p.Connect(t.Context(), target), connector.ErrTooManyConnections)
	body, err := exchange(t, p, target, "1")
	require.NoError(t, err)
	require.Equal(t, "ok", body)
	require.Len(t, u.accepted, 1)
	_ = u.Close()
	require.Error(t, p.Connect(t.Context(), u.target()))
	require.Equal(t, 1, p.OpenConnections(), "a failed connection counts as open")
}

func TestConnectionLimit(t *testing.T) {
	release := make(chan struct{})
	u := serve(t, func(_ int, c net.Conn) {
		<-release
		respondEach(okResponse)(0, c)
	})
	p := connector.New(connector.Config{})
	target := u.target()
	target.MaxConnections = 1
	done := make(chan error, 1)
	go func() {
		_, err := exchange(t, p, target, "1")
		done <- err
	}()
	<-u.accepted
	_, err := exchange(t, p, target, "2")
	require.ErrorIs(t, err, connector.ErrTooManyConnections)
	close(release)
	require.NoError(t, <-done)
}

func TestContextCancellationClosesConnection(t *testing.T) {
	read, closed := make(chan struct{}), make(chan error, 1)
	u := serve(t, func(_ int, c net.Conn) {
		br := bufio.NewReader(c)
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		close(read)
		_, err := io.Copy(io.Discard, br)
		closed <- err
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-read
		cancel()
	}()
	_, err := connector.New(connector.Config{}).Do(ctx, u.target(), request("1"), matchID("1"))
	require.Error(t, err)
	<-closed
}

func TestEarlyResponseToLongBody(t *testing.T) {
	readRest := make(chan struct{})
	u := serve(t, func(n int, c net.Conn) {
		br := bufio.NewReader(c)
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Id"))
		if n == 0 {
			<-readRest
			_, _ = io.Copy(io.Discard, br)
		}
	})
	p := connector.New(connector.Config{})
	req := request("1")
	req.Body = make([]byte, 16<<20)
	e, err := p.Do(context.Background(), u.target(), req, matchID("1"))
	require.NoError(t, err)
	_, err = io.ReadAll(e)
	require.NoError(t, err)
	e.Close()
	close(readRest)
	_, err = exchange(t, p, u.target(), "2")
	require.NoError(t, err)
	require.Len(t, u.accepted, 2, "a connection with an incompletely sent body was reused")
}

func TestRequestIsSentUnchanged(t *testing.T) {
	seen := make(chan *http.Request, 1)
	u := serve(t, func(_ int, c net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		seen <- req
		_, _ = io.WriteString(c, strings.ReplaceAll(okResponse, "{id}", "1"))
	})
	_, err := exchange(t, connector.New(connector.Config{}), u.target(), "1")
	require.NoError(t, err)
	req := <-seen
	require.Equal(t, "/a?b=%2F", req.RequestURI)
	require.Equal(t, "h", req.Host)
	require.EqualValues(t, 4, req.ContentLength)
}

func TestErrorWrapsCause(t *testing.T) {
	err := &connector.Error{SendStatus: connector.MayHaveBeenSent, Err: io.ErrUnexpectedEOF}
	require.True(t, errors.Is(err, io.ErrUnexpectedEOF))
	require.Contains(t, err.Error(), "may have been sent")
}

// Guards against requests that are sent although their callers have left while the connection was being opened.
func TestAbandonedRequestIsNotSent(t *testing.T) {
	received := make(chan struct{}, 1)
	u := serve(t, func(_ int, c net.Conn) {
		if n, _ := c.Read(make([]byte, 1)); n > 0 {
			received <- struct{}{}
		}
	})
	p := connector.New(connector.Config{})
	req := request("1")
	req.Abandoned = func() bool { return true }
	_, err := p.Do(t.Context(), u.target(), req, matchID("1"))
	require.ErrorIs(t, err, connector.ErrAbandoned)
	var failure *connector.Error
	require.ErrorAs(t, err, &failure)
	require.Equal(t, connector.NotSent, failure.SendStatus)
	require.Equal(t, 1, p.OpenConnections(), "a new connection is kept for later requests")
	p.Sweep(func(string) bool { return false })
	require.Zero(t, p.OpenConnections())
	require.Empty(t, received)
}

// Guards against a request that counts as sent although its time ended while it waited for its connection: a caller that
// could have repeated it was told that it may have run.
func TestRequestIsNotSentAfterItsTime(t *testing.T) {
	received := make(chan struct{}, 1)
	u := serve(t, func(_ int, c net.Conn) {
		if n, _ := c.Read(make([]byte, 1)); n > 0 {
			received <- struct{}{}
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	p := connector.New(connector.Config{Dial: func(_ context.Context, network, address string) (net.Conn, error) {
		c, err := net.Dial(network, address)
		cancel()
		return c, err
	}})
	_, err := p.Do(ctx, u.target(), request("1"), matchID("1"))
	require.ErrorIs(t, err, context.Canceled)
	var failure *connector.Error
	require.ErrorAs(t, err, &failure)
	require.Equal(t, connector.NotSent, failure.SendStatus)
	require.Equal(t, 1, p.OpenConnections(), "a connection that was not used is kept")
	require.Empty(t, received)
}

// Guards against taking unread bytes for an end, and an end for silence.
func TestClosedByPeer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	for name, c := range map[string]struct {
		peer   func(c *net.TCPConn)
		closed bool
	}{
		"open":   {func(*net.TCPConn) {}, false},
		"unread": {func(c *net.TCPConn) { _, _ = c.Write([]byte("x")) }, false},
		"closed": {func(c *net.TCPConn) { _ = c.Close() }, true},
		"reset":  {func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			peer, err := net.Dial("tcp", l.Addr().String())
			require.NoError(t, err)
			defer peer.Close()
			conn, err := l.Accept()
			require.NoError(t, err)
			defer conn.Close()
			c.peer(peer.(*net.TCPConn))
			if c.closed {
				require.Eventually(t, func() bool { return connector.ClosedByPeer(conn) }, 10*time.Second, time.Millisecond)
			} else {
				require.False(t, connector.ClosedByPeer(conn))
			}
		})
	}
	own, other := net.Pipe()
	require.NoError(t, other.Close())
	require.False(t, connector.ClosedByPeer(own), "a connection that cannot be checked")
	require.NoError(t, own.Close())
}

// Guards against sending a request whose caller no longer waits: its deadline may have passed before a connection was there.
func TestRequestIsNotSentAfterItsDeadline(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	p := connector.New(connector.Config{})
	target := connector.Target{Upstream: "u", Address: l.Addr().String()}
	require.NoError(t, p.Connect(t.Context(), target))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = p.Do(ctx, target, connector.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}},
		func(int, http.Header) bool { return true })
	var failure *connector.Error
	require.ErrorAs(t, err, &failure)
	require.Equal(t, connector.NotSent, failure.SendStatus)
	require.ErrorIs(t, err, context.Canceled)
	require.Equal(t, 1, p.OpenConnections(), "a connection that was not used is kept")
}
