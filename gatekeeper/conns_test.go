package gatekeeper_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/gatekeeper"
)

// TestIdleConnectionIsNotClosedDuringRequest guards against closing an idle connection on which the next request has
// just been read.
func TestIdleConnectionIsNotClosedDuringRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	conns := gatekeeper.NewCallerConns(10)
	entered, release := make(chan struct{}), make(chan struct{})
	server := &http.Server{ConnState: conns.OnConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		entered <- struct{}{}
		<-release
		w.WriteHeader(http.StatusNoContent)
	})}
	go func() { _ = server.Serve(conns.Listen(l)) }()
	t.Cleanup(func() { _ = server.Close() })

	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	br := bufio.NewReader(c)
	for range 3 {
		_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		require.NoError(t, err)
		<-entered
		require.Equal(t, 1, conns.Busy())
		conns.CloseIdle(time.Now().Add(time.Hour), 0)
		release <- struct{}{}
		resp, err := http.ReadResponse(br, nil)
		require.NoError(t, err, "the connection was closed during a request")
		require.Equal(t, http.StatusNoContent, resp.StatusCode)
	}
	require.Eventually(t, func() bool { return conns.Busy() == 0 }, waitTimeout, time.Millisecond)
	conns.CloseIdle(time.Now().Add(time.Hour), 0)
	_, err = br.ReadByte()
	require.Error(t, err)
}

// heldConn is a connection whose reads return only after they are released.
type heldConn struct {
	net.Conn
	read, release chan struct{}
}

func (h *heldConn) Read(b []byte) (int, error) {
	n, err := h.Conn.Read(b)
	if n > 0 {
		h.read <- struct{}{}
		<-h.release
	}
	return n, err
}

type heldListener struct {
	net.Listener
	read, release chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &heldConn{Conn: c, read: l.read, release: l.release}, err
}

// TestRequestThatWasReadIsServed guards against dropping a request that is read at the moment when its idle connection
// is closed. The run "vassmattan-drift-grown quiet-1 --seed 779441093030" lost a request in this way.
func TestRequestThatWasReadIsServed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	conns := gatekeeper.NewCallerConns(10)
	server := &http.Server{ConnState: conns.OnConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})}
	slow := &heldListener{Listener: l, read: make(chan struct{}), release: make(chan struct{})}
	go func() { _ = server.Serve(conns.Listen(slow)) }()
	t.Cleanup(func() { _ = server.Close() })
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	br := bufio.NewReader(c)
	for range 2 {
		_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		require.NoError(t, err)
		<-slow.read
		conns.CloseIdle(time.Now().Add(time.Hour), 0)
		slow.release <- struct{}{}
		resp, err := http.ReadResponse(br, nil)
		require.NoError(t, err, "a request that was read got no response")
		require.Equal(t, http.StatusNoContent, resp.StatusCode)
		require.Eventually(t, func() bool { return conns.Busy() == 0 }, waitTimeout, time.Millisecond)
	}
}

func TestLongestIdleConnectionIsClosedAtLimit(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	conns := gatekeeper.NewCallerConns(2)
	server := &http.Server{ConnState: conns.OnConnState, Handler: http.NotFoundHandler()}
	go func() { _ = server.Serve(conns.Listen(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	for range 5 {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		defer c.Close()
		_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		require.NoError(t, err)
		_, err = http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Eventually(t, func() bool { return conns.Busy() == 0 }, waitTimeout, time.Millisecond)
		require.Eventually(t, func() bool { return conns.Open() <= 2 }, waitTimeout, time.Millisecond, "the longest idle connection stays open")
	}
}

// Guards against requests whose callers left before the server noticed: a handler must be able to learn it from the
// connection, also while http.Server has not read the end of it.
func TestDisconnectedCaller(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	conns := gatekeeper.NewCallerConns(10)
	left := make(chan bool)
	server := &http.Server{
		ConnState: conns.OnConnState, ConnContext: conns.ConnContext,
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			left <- conns.Disconnected(r.Context())
			// The body is not read, so that the server does not look for the end of the connection.
			for !conns.Disconnected(r.Context()) {
				time.Sleep(time.Millisecond)
			}
			left <- r.Context().Err() == nil
		}),
	}
	go func() { _ = server.Serve(conns.Listen(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	_, err = c.Write([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"))
	require.NoError(t, err)
	require.False(t, <-left, "the caller is still there")
	require.NoError(t, c.Close())
	require.True(t, <-left, "the context of the request has not ended")
	require.False(t, conns.Disconnected(t.Context()), "a context without a connection")
}

// Guards against closing the connection of a caller that sends requests without waiting for the responses: the second one
// is read together with the first, so no read marks the connection busy.
func TestPipelinedRequestIsServed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	conns := gatekeeper.NewCallerConns(10)
	entered, release, cancelled := make(chan struct{}), make(chan struct{}), make(chan struct{})
	server := &http.Server{
		ConnState: conns.OnConnState, ConnContext: conns.ConnContext,
		Handler: conns.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			entered <- struct{}{}
			select {
			case <-release:
				w.WriteHeader(http.StatusNoContent)
			case <-r.Context().Done():
				close(cancelled)
			}
		})),
	}
	go func() { _ = server.Serve(conns.Listen(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	br := bufio.NewReader(c)
	_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	require.NoError(t, err)
	for n := range 2 {
		<-entered
		conns.CloseIdle(time.Now().Add(time.Hour), 0)
		select {
		case <-cancelled:
			require.Fail(t, "the request was cancelled", "request %d", n)
		case <-time.After(100 * time.Millisecond):
			release <- struct{}{}
		}
		resp, err := http.ReadResponse(br, nil)
		require.NoError(t, err, "request %d", n)
		require.Equal(t, http.StatusNoContent, resp.StatusCode)
	}
	require.Eventually(t, func() bool { return conns.Busy() == 0 }, waitTimeout, time.Millisecond)
}

// Guards against a request that gets no answer because its connection is closed as idle between the end of the response before
// it and its own handler: it has been read already, together with the request before it.
func TestRequestThatWasReadBeforeTheCloseIsServed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	conns := gatekeeper.NewCallerConns(10)
	h := conns.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(20 * time.Millisecond):
			w.WriteHeader(http.StatusNoContent)
		case <-r.Context().Done():
			w.WriteHeader(http.StatusBadGateway)
		}
	}))
	server := &http.Server{
		ConnContext: conns.ConnContext,
		ConnState: func(nc net.Conn, state http.ConnState) {
			conns.OnConnState(nc, state)
			if state == http.StateIdle {
				conns.CloseIdle(time.Now().Add(time.Hour), 0)
			}
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(20 * time.Millisecond) // The handler gets no processor time at first.
			h.ServeHTTP(w, r)
		}),
	}
	go func() { _ = server.Serve(conns.Listen(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	require.NoError(t, err)
	br := bufio.NewReader(c)
	for n := range 2 {
		resp, err := http.ReadResponse(br, nil)
		require.NoError(t, err, "request %d", n)
		require.Equal(t, http.StatusNoContent, resp.StatusCode, "request %d was cancelled", n)
	}
	_, err = br.ReadByte()
	require.ErrorIs(t, err, io.EOF, "the connection stays open")
}
