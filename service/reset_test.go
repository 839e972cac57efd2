package service_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/judge"
	"clementineramp/service"
)

// resetConn is a connection on which the system reports a reset to a write that waits, and not to the next read.
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
		time.Sleep(20 * time.Millisecond) // The read may be served first.
	}
	return n, err
}

// Read reads from the connection, after the failure of a write once an answer has begun.
func (c *resetConn) Read(b []byte) (int, error) {
	if c.begun {
		<-c.failed
	}
	n, err := c.Conn.Read(b)
	c.begun = true
	return n, err
}

// Guards against a part of an answer without length that counts as a whole one, because the service crashed before it had
// read the body and the reset was reported to the write of that body alone.
func TestResetBeforeBodyIsReadIsNoWholeAnswer(t *testing.T) {
	for _, reset := range []bool{true, false} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			_ = c.(*net.TCPConn).SetReadBuffer(128 << 10)
			req, err := http.ReadRequest(bufio.NewReaderSize(c, 1<<10))
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
			time.Sleep(20 * time.Millisecond) // for the answer to arrive before the end of the connection
			if !reset {
				_, _ = io.Copy(io.Discard, req.Body)
			}
		}()
		client := service.New(service.Config{
			Address: l.Addr().String(),
			Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, address)
				if err != nil || !reset {
					return c, err
				}
				_ = c.(*net.TCPConn).SetWriteBuffer(16 << 10)
				return &resetConn{Conn: c, failed: make(chan struct{})}, nil
			},
		})
		resp, err := client.Call(t.Context(), service.Request{Method: http.MethodPost, Path: "/", Body: make([]byte, 16<<20)})
		if !reset {
			require.NoError(t, err)
			require.Equal(t, "part", string(resp.Body))
			continue
		}
		var judged *judge.Error
		require.ErrorAs(t, err, &judged, "a part of an answer counts as a whole one: %q", resp.Body)
		require.Equal(t, judge.MayHaveRun, judged.Verdict)
	}
}
