package relayer

import (
	"errors"
	"net"
	"sync/atomic"
)

const (
	// maxRequestBytes bounds a request: the loads of 1,000 upstreams, 500 listed peers and the numbers of the crash
	// reports of 1,000 gateways take less than half of it.
	maxRequestBytes = 256 << 10
	// maxReplyBytes bounds a reply, which may hold a configuration.
	maxReplyBytes = 4 << 20
	// maxPeerConnections bounds the connections of peers; each gateway opens one to each other.
	maxPeerConnections = 2048
)

var errMessageTooLong = errors.New("the message of the peer is too long")

// boundedConn is a connection to a peer whose reads fail once the peer has sent more than one message may have since the
// last write. The messages of both ends alternate.
type boundedConn struct {
	net.Conn
	limit int64
	// count is called with the number of bytes of each read and write.
	count func(n int)
	left  atomic.Int64
}

func newBoundedConn(c net.Conn, limit int64, count func(n int)) *boundedConn {
	b := &boundedConn{Conn: c, limit: limit, count: count}
	b.left.Store(limit)
	return b
}

// Read reads from the peer, or fails if its message is too long.
func (c *boundedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(n)
	if c.left.Add(-int64(n)) < 0 {
		return 0, errMessageTooLong
	}
	return n, err
}

// Write writes to the peer, which may then send the next message.
func (c *boundedConn) Write(b []byte) (int, error) {
	c.left.Store(c.limit)
	n, err := c.Conn.Write(b)
	c.count(n)
	return n, err
}
