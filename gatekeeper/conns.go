package gatekeeper

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConns follows the connections of callers, to close those that are idle for too long.
//
// http.Server has an idle timeout of its own, but reads it without a lock, so that it cannot follow the configuration.
type callerConns struct {
	most int

	mu  sync.Mutex
	all map[net.Conn]connState
}

type connState struct {
	state http.ConnState
	since time.Time
}

func newCallerConns(most int) *callerConns {
	return &callerConns{most: most, all: make(map[net.Conn]connState)}
}

// note takes a change of a connection's state.
func (c *callerConns) note(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.all, conn)
		return
	case http.StateNew:
		if len(c.all) >= c.most {
			c.closeOldest()
		}
	}
	c.all[conn] = connState{state: state, since: time.Now()}
}

// closeOldest closes the connection that was idle for longest, to make room for a new one.
func (c *callerConns) closeOldest() {
	var oldest net.Conn
	for conn, s := range c.all {
		if s.state == http.StateIdle && (oldest == nil || s.since.Before(c.all[oldest].since)) {
			oldest = conn
		}
	}
	if oldest != nil {
		_ = oldest.Close()
		delete(c.all, oldest)
	}
}

// closeIdle closes the connections that were idle for longer than limit.
func (c *callerConns) closeIdle(now time.Time, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.all {
		if s.state == http.StateIdle && now.Sub(s.since) > limit {
			_ = conn.Close()
			delete(c.all, conn)
		}
	}
}

// fresh returns the number of connections that have not sent a whole header yet or are being served.
func (c *callerConns) fresh() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, s := range c.all {
		if s.state == http.StateActive {
			n++
		}
	}
	return n
}

func (c *callerConns) open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.all)
}
