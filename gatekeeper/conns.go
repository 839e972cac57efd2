package gatekeeper

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"clementineramp/connector"
)

// CallerConns follows the connections of callers, to close those that are idle for too long.
//
// http.Server has an idle timeout of its own, but reads it without a lock, so that it cannot follow the configuration,
// and it may close a connection of which it has just read the next request.
type CallerConns struct {
	limit int

	mu  sync.Mutex
	all map[*callerConn]struct{}
}

// NewCallerConns returns the follower of at most that many connections.
func NewCallerConns(limit int) *CallerConns {
	return &CallerConns{limit: limit, all: make(map[*callerConn]struct{})}
}

// Listen returns a listener whose connections are followed.
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

// callerConn is a connection that is closed while it is idle only if nothing of a next request has arrived.
type callerConn struct {
	net.Conn

	mu sync.Mutex
	// busy means that a request was read, at least in part, and its answer has not ended.
	busy bool
	// closing means that the reader is to give up the connection unless a request has arrived.
	closing   bool
	idleSince time.Time
}

// Read reads from the caller. It decides whether a connection that was to be retired ends: what has arrived by then is
// read and served.
func (c *callerConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if retry, err := c.afterRead(n, err); !retry {
			return n, err
		}
	}
}

func (c *callerConn) afterRead(n int, err error) (retry bool, _ error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.busy = true
	}
	if !c.closing || n == 0 && !errors.Is(err, os.ErrDeadlineExceeded) {
		return false, err
	}
	if n == 0 && connector.Quiet(c.Conn) {
		return false, io.EOF
	}
	c.closing = false
	return n == 0, c.Conn.SetReadDeadline(time.Time{})
}

// release notes that the answer has ended.
func (c *callerConn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.idleSince = false, time.Now()
}

// closeIfIdle makes the reader close the connection unless a request has arrived.
func (c *callerConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy {
		return
	}
	c.closing = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // Only a connection that is closed already refuses it.
}

// SetReadDeadline sets the deadline of the server, unless the connection is to be retired: the server sets one when an
// answer has ended, which would undo that of closeIfIdle.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// idle returns the time since the last answer ended, or since the start; it is zero while a request is served.
func (c *callerConn) idle(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy {
		return 0
	}
	return now.Sub(c.idleSince)
}

// OnConnState takes a change of a connection's state.
func (c *CallerConns) OnConnState(nc net.Conn, state http.ConnState) {
	conn, ok := nc.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew, http.StateActive: // Read sees the first byte of a request.
	case http.StateIdle:
		conn.markIdle()
	case http.StateClosed, http.StateHijacked:
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.all, conn)
	}
}

// add follows a new connection; beyond the limit the one that was idle for longest makes room.
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

// CloseIdle closes the connections that were idle for longer than limit.
func (c *CallerConns) CloseIdle(now time.Time, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.all {
		if conn.idle(now) > limit {
			conn.closeIfIdle()
		}
	}
}

// Busy returns the number of connections of which a request was read that is not answered yet.
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

// Open returns the number of connections.
func (c *CallerConns) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.all)
}
