package connector_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/connector"
)

// observedConn is a connection with a send buffer of a given size, whose failed writes are sent to a channel.
type observedConn struct {
	*net.TCPConn
	failed chan error
}

// Write writes to the connection.
func (c observedConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if err != nil {
		c.failed <- err
	}
	return n, err
}

// observedPool returns a pool whose connections have the given send buffer, and the errors of their writes.
func observedPool(sendBuffer int) (*connector.Pool, <-chan error) {
	failed := make(chan error, 1)
	return connector.New(connector.Config{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		tcp := c.(*net.TCPConn)
		return observedConn{tcp, failed}, tcp.SetWriteBuffer(sendBuffer)
	}}), failed
}

// respondEarly returns a handler that starts a response, with the given framing fields, before it reads the body of the
// request, and calls end with the rest of the connection.
func respondEarly(framing, body string, end func(c *net.TCPConn, rest io.Reader)) func(int, net.Conn) {
	return func(_ int, c net.Conn) {
		tcp := c.(*net.TCPConn)
		_ = tcp.SetReadBuffer(128 << 10)
		br := bufio.NewReaderSize(c, 1<<10)
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%s\r\n%s", req.Header.Get("Id"), framing, body)
		end(tcp, req.Body)
	}
}

// Guards against a part of a response that counts as a whole one because the reset of its connection was reported to the
// write of the request's body, so that the read sees the same as after an orderly end.
func TestResetDuringBodyIsNotEndOfResponse(t *testing.T) {
	for name, framing := range map[string]string{
		"no length": "", "length": "Content-Length: 12\r\n", "chunks": "Transfer-Encoding: chunked\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			kill := make(chan struct{})
			u := serve(t, respondEarly(framing, "", func(c *net.TCPConn, _ io.Reader) {
				_, _ = io.WriteString(c, map[bool]string{true: "5\r\nwhole\r\n", false: "whole"}[name == "chunks"])
				<-kill
			}))
			p, failed := observedPool(16 << 10)
			req := request("1")
			req.Body = make([]byte, 16<<20)
			e, err := p.Do(t.Context(), u.target(), req, matchID("1"))
			require.NoError(t, err)
			defer e.Close()
			_, err = io.ReadFull(e, make([]byte, 5))
			require.NoError(t, err)
			close(kill) // Bytes of the body are unread, so that the system resets the connection.
			require.Error(t, <-failed)
			for range 2 { // The error stays.
				n, err := e.Read(make([]byte, 100))
				require.Zero(t, n)
				require.NotErrorIs(t, err, io.EOF, "the reset looks like the end of the response")
				require.True(t, errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE), "%v", err)
			}
			e.Close()
			require.Zero(t, p.OpenConnections())
		})
	}
}

// Guards against a failure of which the cause is lost to the write of the body: whether the upstream crashed or its host went
// away decides about what is suspected of it.
func TestErrorOfBodyIsKept(t *testing.T) {
	kill := make(chan struct{})
	u := serve(t, func(_ int, c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReaderSize(c, 1<<10))
		<-kill
	})
	p := connector.New(connector.Config{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return lostConn{c, make(chan struct{})}, err
	}})
	time.AfterFunc(20*time.Millisecond, func() { close(kill) })
	req := request("1")
	req.Body = make([]byte, 1<<20)
	_, err := p.Do(t.Context(), u.target(), req, matchID("1"))
	require.ErrorIs(t, err, syscall.ETIMEDOUT)
	require.Zero(t, p.OpenConnections())
}

// lostConn is a connection whose long writes fail as if its peer's host had gone away; reads then return io.EOF.
type lostConn struct {
	net.Conn
	lost chan struct{}
}

// Write writes to the connection, or fails if b is long.
func (c lostConn) Write(b []byte) (int, error) {
	if len(b) < 1<<20 {
		return c.Conn.Write(b)
	}
	close(c.lost)
	return 0, syscall.ETIMEDOUT
}

// Read waits until a write has failed.
func (c lostConn) Read([]byte) (int, error) {
	<-c.lost
	return 0, io.EOF
}

// Guards against a part of a response that counts as a whole one because its upstream died when it had read all that had
// arrived: its system closes the connection in order first and resets it once the rest of the request arrives.
func TestResetAfterCloseIsNotEndOfResponse(t *testing.T) {
	u := serve(t, respondEarly("", "part", func(c *net.TCPConn, _ io.Reader) {
		_ = c.CloseWrite()
		time.Sleep(50 * time.Millisecond)
	}))
	// The body is in the buffers of both sides when the upstream closes.
	p, _ := observedPool(4 << 20)
	req := request("1")
	req.Body = make([]byte, 1<<20)
	e, err := p.Do(t.Context(), u.target(), req, matchID("1"))
	require.NoError(t, err)
	defer e.Close()
	b, err := io.ReadAll(e)
	require.Equal(t, "part", string(b))
	require.Error(t, err, "the reset looks like the end of the response")
}

// Guards against a whole response that counts as broken, or whose upstream gets a part of the request only, because the
// upstream ends its response by closing its side before it reads the rest of the body.
func TestClosedSideBeforeBodyIsReadIsEndOfResponse(t *testing.T) {
	for name, sendBuffer := range map[string]int{"body being written": 16 << 10, "body in the send buffer": 4 << 20} {
		t.Run(name, func(t *testing.T) {
			received := make(chan int64, 1)
			u := serve(t, respondEarly("", "whole", func(c *net.TCPConn, rest io.Reader) {
				_ = c.CloseWrite()
				time.Sleep(50 * time.Millisecond)
				n, _ := io.Copy(io.Discard, rest)
				received <- n
			}))
			p, _ := observedPool(sendBuffer)
			req := request("1")
			req.Body = make([]byte, 1<<20)
			e, err := p.Do(t.Context(), u.target(), req, matchID("1"))
			require.NoError(t, err)
			endings := 0
			e.Ending = func() { endings++ }
			b, err := io.ReadAll(e)
			require.NoError(t, err)
			require.Equal(t, "whole", string(b))
			require.Equal(t, 1, endings)
			e.Close()
			require.EqualValues(t, len(req.Body), <-received)
			require.Zero(t, p.OpenConnections())
		})
	}
}

// Guards against an exchange that outlives its context because the upstream has ended its response and reads nothing.
func TestContextEndsWaitForReceipt(t *testing.T) {
	for name, sendBuffer := range map[string]int{"body being written": 16 << 10, "body in the send buffer": 4 << 20} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			u := serve(t, respondEarly("", "whole", func(c *net.TCPConn, _ io.Reader) {
				_ = c.CloseWrite()
				time.AfterFunc(20*time.Millisecond, cancel)
				<-t.Context().Done()
			}))
			p, _ := observedPool(sendBuffer)
			req := request("1")
			req.Body = make([]byte, 1<<20)
			e, err := p.Do(ctx, u.target(), req, matchID("1"))
			require.NoError(t, err)
			defer e.Close()
			_, err = io.ReadAll(e)
			require.ErrorIs(t, err, net.ErrClosed)
		})
	}
}

// Guards against a wait for the body after a response that has none by definition, whose end says nothing of the connection.
func TestResponseToHeadDoesNotWaitForBody(t *testing.T) {
	u := serve(t, respondEarly("", "", func(*net.TCPConn, io.Reader) { <-t.Context().Done() }))
	p, _ := observedPool(16 << 10)
	req := request("1")
	req.Method, req.Body = http.MethodHead, make([]byte, 1<<20)
	e, err := p.Do(t.Context(), u.target(), req, matchID("1"))
	require.NoError(t, err)
	defer e.Close()
	_, err = io.ReadAll(e)
	require.NoError(t, err)
}
