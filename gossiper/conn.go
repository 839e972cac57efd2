package gossiper

import (
	"net"
	"time"
)

// meteredConn counts the bytes of a connection and, after bound was called, sets a deadline for each read and write.
type meteredConn struct {
	net.Conn
	count func(sent, received int)
	// idle bounds the wait for the peer's next bytes; zero leaves deadlines to the handshake, which has one for all of it.
	idle time.Duration
	// write bounds one write, so that a frozen peer cannot hold the writer.
	write time.Duration
}

// bound sets the limits of each read and write; it is called before the connection is shared.
func (c *meteredConn) bound(idle, write time.Duration) *meteredConn {
	c.idle, c.write = idle, write
	return c
}

func (c *meteredConn) Read(b []byte) (int, error) {
	if c.idle > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
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
	if c.write > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(c.write)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.count(n, 0)
	}
	return n, err
}
