package connector

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	// maxInlineBody is the size up to which a body is written before the answer is read; larger ones are written beside
	// it, because an upstream may answer before it has read a long body.
	maxInlineBody = 4 << 10
	// maxStaleBytes bounds an answer to an earlier request that is read past.
	maxStaleBytes = 256 << 10
	// maxStaleResponses bounds the answers to earlier requests that are read past.
	maxStaleResponses = 3
	// readBuffer holds the header of an answer and a few events.
	readBuffer = 4 << 10
)

// Request is one request to an upstream.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// SendStatus says how far a failed exchange came.
type SendStatus int

const (
	// MayHaveBeenSent means that the upstream may have read the request; it is the zero value.
	MayHaveBeenSent SendStatus = iota
	// NotSent means that no byte of the request was sent.
	NotSent
)

// Error is a failed exchange.
type Error struct {
	SendStatus SendStatus
	// Reused says that the exchange used a connection that had carried others.
	Reused bool
	Err    error
}

// Error describes the failure.
func (e *Error) Error() string {
	if e.SendStatus == NotSent {
		return "not sent: " + e.Err.Error()
	}
	return "may be sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Exchange is an answer whose body is to be read; it must be closed.
type Exchange struct {
	*http.Response
	pool     *Pool
	conn     *conn
	stop     func() bool
	complete bool
	broken   bool
}

// conn is one connection to an upstream.
type conn struct {
	upstream string
	nc       net.Conn
	br       *bufio.Reader
	reused   bool
	// tainted connections had an answer that belongs to no request of theirs, and are not used again.
	tainted     bool
	idleTimeout time.Duration
	idleSince   time.Time
	idleUntil   time.Time
	// bodyWritten is closed when a body that is bodyWritten beside the answer is out; it is nil for others.
	bodyWritten chan struct{}
}

func newConn(upstream string, nc net.Conn) *conn {
	return &conn{upstream: upstream, nc: nc, br: bufio.NewReaderSize(nc, readBuffer)}
}

// Do sends a request and returns the answer for which own is true; answers to earlier requests are read past.
// The exchange ends when ctx does: the connection is closed, also while the body of the answer is read.
func (p *Pool) Do(ctx context.Context, t Target, req Request, match func(status int, h http.Header) bool) (*Exchange, error) {
	c, err := p.get(ctx, t)
	if err != nil {
		return nil, &Error{SendStatus: NotSent, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.nc.Close() })
	fail := func(status SendStatus, err error) error {
		stop()
		p.release(c, false)
		return &Error{SendStatus: status, Reused: c.reused, Err: err}
	}
	if err := c.send(req); err != nil {
		return nil, fail(MayHaveBeenSent, err)
	}
	resp, err := c.receive(req.Method, match) //nolint:bodyclose // Exchange.Close ends the connection
	if err != nil {
		return nil, fail(MayHaveBeenSent, err)
	}
	return &Exchange{Response: resp, pool: p, conn: c, stop: stop}, nil
}

// send writes a request, the end of a long body beside the caller.
func (c *conn) send(req Request) error {
	c.bodyWritten = nil
	var b bytes.Buffer
	b.Grow(512 + min(len(req.Body), maxInlineBody))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.Target, req.Host)
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	if err := req.Header.Write(&b); err != nil {
		return err
	}
	b.WriteString("\r\n")
	if len(req.Body) <= maxInlineBody {
		b.Write(req.Body)
		_, err := c.nc.Write(b.Bytes())
		return err
	}
	if _, err := c.nc.Write(b.Bytes()); err != nil {
		return err
	}
	c.bodyWritten = make(chan struct{})
	go func(done chan struct{}) {
		// A failure shows in the answer, or in its absence; the connection is then not used again.
		if _, err := c.nc.Write(req.Body); err == nil {
			close(done)
		}
	}(c.bodyWritten)
	return nil
}

// receive reads answers up to the one for which own is true.
func (c *conn) receive(method string, match func(status int, h http.Header) bool) (*http.Response, error) {
	for stale := 0; ; {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if match(resp.StatusCode, resp.Header) {
			return resp, nil
		}
		c.tainted = true
		stale++
		if stale > maxStaleResponses || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, errors.New("the connection carries answers to other requests")
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStaleBytes))
		if err != nil || n == maxStaleBytes {
			return nil, errors.New("the connection carries an unreadable answer to another request")
		}
	}
}

// Read reads the body; io.EOF means that the answer is complete.
func (e *Exchange) Read(b []byte) (int, error) {
	n, err := e.Body.Read(b)
	switch {
	case err == io.EOF:
		e.complete = true
	case err != nil:
		e.broken = true
	}
	return n, err
}

// Framed reports whether the answer has a length or chunks, rather than ending with its connection.
func (e *Exchange) Framed() bool {
	return e.ContentLength >= 0 || len(e.TransferEncoding) > 0
}

// SetIdleTimeout says after which time the upstream closes the connection when it is unused.
func (e *Exchange) SetIdleTimeout(d time.Duration) {
	e.conn.idleTimeout = d
}

// Close ends the exchange; the connection is used again only after a complete answer with nothing behind it.
func (e *Exchange) Close() {
	if e.conn == nil {
		return
	}
	c := e.conn
	e.conn = nil
	live := e.stop()
	keep := live && e.complete && !e.broken && !c.tainted && e.Framed() && !e.Response.Close && c.br.Buffered() == 0
	if keep && c.bodyWritten != nil {
		select {
		case <-c.bodyWritten:
		default:
			keep = false
		}
	}
	e.pool.release(c, keep)
}
