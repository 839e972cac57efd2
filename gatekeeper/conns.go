package gatekeeper

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"clementineramp/connector"
)

// CallerConns tracks the connections of callers, to close those that are idle for too long. It is safe for concurrent
// use.
//
// The idle timeout of http.Server is not used: it is read without a lock, so it cannot change with the configuration,
// and it may close a connection on which the next request has just been read.
type CallerConns struct {
	limit int

	mu  sync.Mutex
	all map[*callerConn]struct{}
}

// NewCallerConns returns a tracker that closes the longest idle connection when more than limit would be open.
func NewCallerConns(limit int) *CallerConns {
	return &CallerConns{limit: limit, all: make(map[*callerConn]struct{})}
}

// Listen returns a listener whose connections are tracked. The server that accepts them must call OnConnState.
func (c *CallerConns) Listen(l net.Listener) net.Listener {
	return &callerListener{Listener: l, conns: c}
}

type callerListener struct {
	net.Listener
	conns *CallerConns
}

// Accept waits for the next connection.
func (l *callerListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: nc, idleSince: time.Now()}
	l.conns.add(c)
	return c, nil
}

// callerConn is a connection that can be closed while idle without losing a request that has just arrived.
type callerConn struct {
	net.Conn

	mu sync.Mutex
	// busy is set from the first byte of a request, or from its handler on, until the end of its response.
	busy bool
	// closing makes Read return io.EOF, so that http.Server closes the connection, unless a request has arrived.
	closing bool
	// ended is set once Read has returned io.EOF because of closing.
	ended bool
	// idleSince is the time at which the connection was accepted or the last response ended.
	idleSince time.Time
}

// Read reads from the caller. If the connection is to be closed, it returns io.EOF unless part of a request has
// arrived, which is then read and served.
func (c *callerConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if retry, err := c.afterRead(n, err); !retry {
			return n, err
		}
	}
}

// afterRead handles the result of a read of n bytes, and reports whether to retry it because closing was cancelled.
func (c *callerConn) afterRead(n int, err error) (retry bool, _ error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.busy = true
	}
	if !c.closing || n == 0 && !errors.Is(err, os.ErrDeadlineExceeded) {
		return false, err
	}
	if n == 0 && connector.Reusable(c.Conn) {
		c.ended = true
		return false, io.EOF
	}
	c.closing = false
	return n == 0, c.Conn.SetReadDeadline(time.Time{})
}

// markBusy records that a request is served, and cancels closing. It returns false if that is too late, so that http.Server
// cancels the request although its caller still waits.
func (c *callerConn) markBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
	if c.closing {
		c.closing = false
		_ = c.Conn.SetReadDeadline(time.Time{}) // This fails only if the connection is closed already.
	}
	return !c.ended
}

// markIdle records the end of a response.
func (c *callerConn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.idleSince = false, time.Now()
}

// closeIfIdle interrupts the pending read, which then closes the connection unless a request has arrived.
func (c *callerConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy {
		return
	}
	c.closing = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // This fails only if the connection is closed already.
}

// SetReadDeadline sets the read deadline unless the connection is to be closed: http.Server sets one at the end of each
// response, which would override the one set by closeIfIdle.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// idle returns the time since the last response ended, or since the connection was accepted; zero while a request is
// served.
func (c *callerConn) idle(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy {
		return 0
	}
	return now.Sub(c.idleSince)
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// ConnContext adds the connection of a caller to the context of its requests, for Disconnected. It is the ConnContext
// callback of the http.Server that serves the connections.
func (c *CallerConns) ConnContext(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// Handler returns a handler that marks the connection of a request busy, and then calls next. A request that was read
// together with the one before it has not been noticed by a read of its own.
func (c *CallerConns) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(*callerConn); ok && !conn.markBusy() {
			w.Header().Set("Connection", "close")
			r = r.WithContext(context.WithoutCancel(r.Context()))
		}
		next.ServeHTTP(w, r)
	})
}

// Disconnected reports whether the caller of a request has closed its connection. It asks the operating system, because
// http.Server learns of it late while the process gets too little processor time. ctx is the context of the request.
func (c *CallerConns) Disconnected(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(*callerConn)
	return ok && connector.ClosedByPeer(conn.Conn)
}

// OnConnState is the ConnState callback of the http.Server that serves the connections.
func (c *CallerConns) OnConnState(nc net.Conn, state http.ConnState) {
	conn, ok := nc.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew, http.StateActive: // Read marks the connection busy at the first byte of a request.
	case http.StateIdle:
		conn.markIdle()
	case http.StateClosed, http.StateHijacked:
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.all, conn)
	}
}

// add tracks a new connection. At the limit, it closes the one that has been idle for longest.
func (c *CallerConns) add(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.all) >= c.limit {
		c.closeLongestIdle()
	}
	c.all[conn] = struct{}{}
}

func (c *CallerConns) closeLongestIdle() {
	var oldest *callerConn
	var longest time.Duration
	now := time.Now()
	for conn := range c.all {
		if d := conn.idle(now); d > longest {
			oldest, longest = conn, d
		}
	}
	if oldest != nil {
		oldest.closeIfIdle()
	}
}

// CloseIdle closes the connections that have been idle for longer than limit. They close asynchronously, and stay open
// if a request arrives first.
func (c *CallerConns) CloseIdle(now time.Time, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.all {
		if conn.idle(now) > limit {
			conn.closeIfIdle()
		}
	}
}

// Busy returns the number of connections with a request in progress.
func (c *CallerConns) Busy() int {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for conn := range c.all {
		if conn.idle(now) == 0 {
			n++
		}
	}
	return n
}

// Open returns the number of open connections, idle ones included.
func (c *CallerConns) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.all)
}
