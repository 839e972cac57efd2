package gossiper

import (
	"net"
	"time"
)

// meteredConn counts the bytes of a connection and, once setTimeouts has been called, sets a deadline for each read and
// write.
type meteredConn struct {
	net.Conn
	count func(sent, received int)
	// readTimeout limits the wait for the peer's next bytes. Zero sets no deadline, since the handshake sets one for all
	// of its reads and writes.
	readTimeout time.Duration
	// writeTimeout limits one write, so that an unresponsive peer cannot block the writer.
	writeTimeout time.Duration
}

// setTimeouts sets the timeouts of each read and write; it must be called before the connection is shared.
func (c *meteredConn) setTimeouts(readTimeout, writeTimeout time.Duration) *meteredConn {
	c.readTimeout, c.writeTimeout = readTimeout, writeTimeout
	return c
}

func (c *meteredConn) Read(b []byte) (int, error) {
	if c.readTimeout > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.count(0, n)
	}
	return n, err
}

func (c *meteredConn) Write(b []byte) (int, error) {
	if c.writeTimeout > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.count(n, 0)
	}
	return n, err
}
