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
	// maxInlineBody is the size up to which a body is written before the response is read; larger ones are written
	// concurrently with it, because an upstream may respond before it has read a long body.
	maxInlineBody = 4 << 10
	// maxStaleBytes bounds the body of a response to an earlier request that is discarded.
	maxStaleBytes = 256 << 10
	// maxStaleResponses bounds the responses to earlier requests that are discarded before the exchange fails.
	maxStaleResponses = 3
	// readBuffer is the size of the read buffer, which holds the header of a response and a few events.
	readBuffer = 4 << 10
)

// Request is one request to an upstream.
type Request struct {
	Method string
	// Target is the request target: path and query, as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// SendStatus says whether a failed exchange may have sent the request.
type SendStatus int

const (
	// MayHaveBeenSent means that the upstream may have read the request; it is the zero value.
	MayHaveBeenSent SendStatus = iota
	// NotSent means that no byte of the request was sent.
	NotSent
)

// Error is the error of a failed exchange; it records whether the request may have been sent.
type Error struct {
	SendStatus SendStatus
	// Reused means that the connection had been used for an earlier exchange.
	Reused bool
	Err    error
}

// Error returns the cause after a prefix that says whether the request may have been sent.
func (e *Error) Error() string {
	if e.SendStatus == NotSent {
		return "not sent: " + e.Err.Error()
	}
	return "may have been sent: " + e.Err.Error()
}

// Unwrap returns the cause, which Do always sets.
func (e *Error) Unwrap() error {
	return e.Err
}

// Exchange is a response whose body has not been read yet. Read the body with Exchange.Read, not with Response.Body,
// and call Close.
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
	// receivedStale means that a response to another request was received; the connection is then not reused.
	receivedStale bool
	idleTimeout   time.Duration
	idleSince     time.Time
	idleUntil     time.Time
	// bodyWritten is closed when a body that is written concurrently with the response has been sent; it is nil if the
	// body was sent before.
	bodyWritten chan struct{}
}

func newConn(upstream string, nc net.Conn) *conn {
	return &conn{upstream: upstream, nc: nc, br: bufio.NewReaderSize(nc, readBuffer)}
}

// Do sends a request and returns the first response for which match is true; responses to earlier requests are
// discarded. The connection is closed when ctx ends, even while the body of the response is read. A non-nil error is
// an *Error.
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

// send writes a request; it writes a body that is longer than maxInlineBody in the background.
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
		// The error is not returned: the exchange then fails with a read error or returns an early response of the
		// upstream. Since bodyWritten stays open, the connection is not reused.
		if _, err := c.nc.Write(req.Body); err == nil {
			close(done)
		}
	}(c.bodyWritten)
	return nil
}

// receive reads responses up to the one for which match is true.
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
		c.receivedStale = true
		stale++
		if stale > maxStaleResponses || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, errors.New("connection carries responses to other requests")
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStaleBytes))
		if err != nil || n == maxStaleBytes {
			return nil, errors.New("connection carries an unreadable response to another request")
		}
	}
}

// Read reads the body; io.EOF means that the response is complete, or, if Framed is false, that the connection was closed.
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

// Framed reports whether the response has a content length or chunked encoding, rather than ending with its connection.
func (e *Exchange) Framed() bool {
	return e.ContentLength >= 0 || len(e.TransferEncoding) > 0
}

// SetIdleTimeout sets the time after which the upstream closes the connection if it is idle; zero means unknown, and
// the idle timeout of the pool applies.
func (e *Exchange) SetIdleTimeout(d time.Duration) {
	e.conn.idleTimeout = d
}

// Close ends the exchange; further calls do nothing. The connection is reused only after a complete response without
// any bytes after it.
func (e *Exchange) Close() {
	if e.conn == nil {
		return
	}
	c := e.conn
	e.conn = nil
	connOpen := e.stop()
	keep := connOpen && e.complete && !e.broken && !c.receivedStale && e.Framed() && !e.Response.Close && c.br.Buffered() == 0
	if keep && c.bodyWritten != nil {
		select {
		case <-c.bodyWritten:
		default:
			keep = false
		}
	}
	e.pool.release(c, keep)
}
