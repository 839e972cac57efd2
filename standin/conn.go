package standin

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// segment is a piece of data in flight; it can be read from its arrival time on.
type segment struct {
	data    []byte
	arrival time.Time
}

// pipe is one direction of a connection; Network.mu guards it.
type pipe struct {
	cond     *sync.Cond
	segments []segment
	size     int
	// eof is set when the writer has closed, and readerClosed when the reader has.
	eof, readerClosed bool
	// lost is set when bytes or the end of the stream were dropped by a cut link.
	lost bool
}

func newPipe(mu *sync.Mutex) *pipe {
	return &pipe{cond: sync.NewCond(mu)}
}

// receive copies data that has arrived into b; wait is the time until the next segment arrives, or zero.
func (p *pipe) receive(b []byte, now time.Time) (n int, wait time.Duration) {
	for len(p.segments) > 0 && n < len(b) {
		s := &p.segments[0]
		if s.arrival.After(now) {
			return n, s.arrival.Sub(now)
		}
		k := copy(b[n:], s.data)
		n += k
		p.size -= k
		s.data = s.data[k:]
		if len(s.data) == 0 {
			p.segments = p.segments[1:]
		}
	}
	return n, 0
}

// deadline is the read or write deadline of a connection; its timer wakes blocked operations.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (d *deadline) set(t time.Time, mu *sync.Mutex, wake *sync.Cond) {
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	d.at = t
	if t.IsZero() {
		return
	}
	if left := time.Until(t); left > 0 {
		d.timer = time.AfterFunc(left, func() {
			mu.Lock()
			defer mu.Unlock()
			wake.Broadcast()
		})
	}
}

func (d *deadline) expired(now time.Time) bool {
	return !d.at.IsZero() && !now.Before(d.at)
}

// memConn is one end of an in-memory connection.
type memConn struct {
	endpoint      *Endpoint
	peer          *memConn
	in, out       *pipe
	local, remote net.Addr
	read, write   deadline
	closed        bool
	// err is set when the connection was reset.
	err error
}

func (c *memConn) network() *Network { return c.endpoint.network }

// Read blocks until data has arrived, as net.Conn specifies; it also blocks while either process is frozen.
func (c *memConn) Read(b []byte) (int, error) {
	n := c.network()
	n.mu.Lock()
	defer n.mu.Unlock()
	for {
		now := time.Now()
		switch {
		case c.closed:
			return 0, c.opError("read", net.ErrClosed)
		case c.read.expired(now):
			return 0, c.opError("read", os.ErrDeadlineExceeded)
		case n.frozenEither(c.endpoint.process, c.peer.endpoint.process):
			c.in.cond.Wait()
			continue
		case c.err != nil:
			return 0, c.opError("read", c.err)
		}
		k, wait := c.in.receive(b, now)
		if k > 0 || len(b) == 0 {
			c.in.cond.Broadcast()
			return k, nil
		}
		if wait == 0 && c.in.eof {
			return 0, io.EOF
		}
		c.waitFor(wait)
	}
}

// waitFor waits until the incoming pipe changes, for at most d; zero means no time limit.
func (c *memConn) waitFor(d time.Duration) {
	if d > 0 {
		mu, cond := &c.network().mu, c.in.cond
		t := time.AfterFunc(d, func() {
			mu.Lock()
			defer mu.Unlock()
			cond.Broadcast()
		})
		defer t.Stop()
	}
	c.in.cond.Wait()
}

// Write sends data and blocks while the buffer of its direction is full; a cut link drops the data without an error.
func (c *memConn) Write(b []byte) (int, error) {
	n := c.network()
	n.observe(Traffic{Kind: Sent, From: c.endpoint.process, To: c.peer.endpoint.process, Data: b})
	n.mu.Lock()
	defer n.mu.Unlock()
	sent := 0
	for {
		switch {
		case c.closed:
			return sent, c.opError("write", net.ErrClosed)
		case c.write.expired(time.Now()):
			return sent, c.opError("write", os.ErrDeadlineExceeded)
		case c.err != nil:
			return sent, c.opError("write", c.err)
		case c.out.readerClosed:
			return sent, c.opError("write", syscall.EPIPE)
		}
		l := n.links[linkKey{c.endpoint.process, c.peer.endpoint.process}]
		if l.cut || c.out.lost {
			c.out.lost = true
			return len(b), nil
		}
		if room := pipeBytes - c.out.size; room > 0 && sent < len(b) {
			k := min(room, len(b)-sent)
			c.out.segments = append(c.out.segments, segment{append([]byte(nil), b[sent:sent+k]...), time.Now().Add(l.delay)})
			c.out.size += k
			sent += k
			c.out.cond.Broadcast()
		}
		if sent == len(b) {
			return sent, nil
		}
		c.out.cond.Wait()
	}
}

// Close closes the connection; the peer reads the data already sent and then EOF, unless the link is cut.
func (c *memConn) Close() error {
	n := c.network()
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	c.read.set(time.Time{}, &n.mu, c.in.cond)
	c.write.set(time.Time{}, &n.mu, c.out.cond)
	if n.isCut(c.endpoint.process, c.peer.endpoint.process) || c.out.lost {
		c.out.lost = true
	} else {
		c.out.eof = true
		c.in.readerClosed = true
		if c.peer.closed {
			delete(n.conns, c)
			delete(n.conns, c.peer)
		}
	}
	c.in.cond.Broadcast()
	c.out.cond.Broadcast()
	return nil
}

// reset resets both directions at once; the caller must hold the lock.
func (c *memConn) reset() {
	n := c.network()
	c.err = syscall.ECONNRESET
	// The peer of a process killed behind a cut link does not receive the reset until the link is healed.
	if n.isCut(c.endpoint.process, c.peer.endpoint.process) && !n.closed {
		c.out.lost = true
	} else {
		c.peer.err = syscall.ECONNRESET
		delete(n.conns, c)
		delete(n.conns, c.peer)
	}
	c.in.cond.Broadcast()
	c.out.cond.Broadcast()
}

func (c *memConn) opError(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Source: c.local, Addr: c.remote, Err: err}
}

// LocalAddr returns the address of this end.
func (c *memConn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the address of the other end.
func (c *memConn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline sets the read and write deadlines, as net.Conn specifies.
func (c *memConn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// SetReadDeadline sets the time at which reads fail with os.ErrDeadlineExceeded; zero means never.
func (c *memConn) SetReadDeadline(t time.Time) error {
	mu := &c.network().mu
	mu.Lock()
	defer mu.Unlock()
	c.read.set(t, mu, c.in.cond)
	c.in.cond.Broadcast()
	return nil
}

// SetWriteDeadline sets the time at which writes fail with os.ErrDeadlineExceeded; zero means never.
func (c *memConn) SetWriteDeadline(t time.Time) error {
	mu := &c.network().mu
	mu.Lock()
	defer mu.Unlock()
	c.write.set(t, mu, c.out.cond)
	c.out.cond.Broadcast()
	return nil
}
