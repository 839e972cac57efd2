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
	"sync"
	"time"

	"clementineramp/timekeeper"
)

const (
	// maxInlineBody is the size up to which a body is written before the response is read; larger ones are written
	// concurrently with it, because an upstream may respond before it has read a long body.
	maxInlineBody = 4 << 10
	// maxHeadBytes bounds the heads received in one exchange, those of interim responses and of responses to earlier
	// requests included.
	maxHeadBytes = 64 << 10
	// maxDrainBytes bounds the body of a response that is read only to reuse the connection.
	maxDrainBytes = 64 << 10
	// maxInterimResponses bounds the interim responses (1xx) in one exchange.
	maxInterimResponses = 8
	// maxStaleResponses bounds the responses to earlier requests that are discarded before the exchange fails.
	maxStaleResponses = 3
	// readBuffer is the size of the read buffer, which holds the header of a response and a few events.
	readBuffer = 4 << 10
)

// ErrAbandoned means that a request was not sent because Request.Abandoned returned true.
var ErrAbandoned = errors.New("the request is not to be sent any more")

var (
	errHeadTooLong   = errors.New("the head of the response is too long")
	errTooManyHeads  = errors.New("too many interim responses")
	errStale         = errors.New("connection carries responses to other requests")
	errDrainTooLong  = errors.New("the rest of the response is too long to be discarded")
	errUnframedDrain = errors.New("the end of the response is unknown")
)

// Request is one request to an upstream.
type Request struct {
	Method string
	// Target is the request target: path and query, as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Abandoned reports whether the request is not to be sent any more, because nobody waits for the response or because of
	// what the upstream has stated since it was chosen. It is called when the connection is there, right before the request
	// is sent; nil means never.
	Abandoned func() bool
	// Reservation, if not nil, is a connection to the target that is used instead of another one.
	Reservation *Reservation
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
	// Ending, if not nil, is called when the upstream has closed its side of a connection that ends the response, before Read
	// waits until the upstream has received the request.
	Ending func()

	pool     *Pool
	conn     *conn
	stop     func() bool
	complete bool
	broken   bool
	// end is the error of the Read that ended the body.
	end error
}

// conn is one connection to an upstream.
type conn struct {
	upstream string
	nc       net.Conn
	br       *bufio.Reader
	// headBytes is the number of bytes that may still be read as part of a head; it is negative while a body is read,
	// whose readers have their own bounds.
	headBytes int
	// head examines the head that is being read.
	head HeadScanner
	// headTimeout bounds the time from the first byte of a head to its last, and that to discard a body.
	headTimeout time.Duration
	reused      bool
	// receivedStale means that a response to another request was received; the connection is then not reused.
	receivedStale bool
	idleTimeout   time.Duration
	idleSince     time.Time
	idleUntil     time.Time
	// body is the write of a body that goes on concurrently with the response; it is nil if the body was sent before.
	body *bodyWrite
}

// bodyWrite is a write that ends when done is closed, with the error err.
type bodyWrite struct {
	done chan struct{}
	err  error
}

func newConn(upstream string, nc net.Conn, headTimeout time.Duration) *conn {
	c := &conn{upstream: upstream, nc: nc, headTimeout: headTimeout}
	c.br = bufio.NewReaderSize((*connReader)(c), readBuffer)
	return c
}

// connReader reads from the connection of a conn within its bound for heads.
type connReader conn

// Read reads from the connection, or fails if the bytes left for a head have been used up.
func (r *connReader) Read(b []byte) (int, error) {
	if r.headBytes < 0 {
		return r.nc.Read(b)
	}
	if r.headBytes == 0 {
		return 0, errHeadTooLong
	}
	n, err := r.nc.Read(b[:min(len(b), r.headBytes)])
	r.headBytes -= n
	_, _ = r.head.Write(b[:n])
	return n, err
}

// Do sends a request and returns the first response for which match is true; responses to earlier requests are
// discarded. The connection is closed when ctx ends, even while the body of the response is read. A non-nil error is
// an *Error.
func (p *Pool) Do(ctx context.Context, t Target, req Request, match func(status int, h http.Header) bool) (*Exchange, error) {
	c, err := p.reservedOr(ctx, t, req.Reservation)
	if err != nil {
		return nil, &Error{SendStatus: NotSent, Err: err}
	}
	if ctx.Err() != nil { // The connection was opened too late.
		(&Reservation{pool: p, conn: c}).Release()
		return nil, &Error{SendStatus: NotSent, Reused: c.reused, Err: ctx.Err()}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.nc.Close() })
	fail := func(status SendStatus, err error) error {
		stop()
		p.release(c, false)
		return &Error{SendStatus: status, Reused: c.reused, Err: c.withWriteError(err)}
	}
	if req.Abandoned != nil && req.Abandoned() {
		// The idle time of a reused connection has gone on at the upstream, so only a new one is kept.
		p.release(c, stop() && !c.reused)
		return nil, &Error{SendStatus: NotSent, Reused: c.reused, Err: ErrAbandoned}
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
	c.body = nil
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
	body := &bodyWrite{done: make(chan struct{})}
	c.body = body
	go func() {
		// An error here does not end the exchange: the upstream may have responded early.
		_, body.err = c.nc.Write(req.Body)
		close(body.done)
	}()
	return nil
}

// receive reads responses up to the one for which match is true.
func (c *conn) receive(method string, match func(status int, h http.Header) bool) (*http.Response, error) {
	c.headBytes = maxHeadBytes
	left := c.headBytes
	for interim, stale := 0, 0; ; {
		c.headBytes = left
		resp, err := c.readHead(method)
		if err != nil {
			return nil, err
		}
		left, c.headBytes = c.headBytes, -1
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			if interim++; interim > maxInterimResponses {
				return nil, errTooManyHeads
			}
			continue
		}
		if match(resp.StatusCode, resp.Header) {
			return resp, nil
		}
		c.receivedStale = true
		if stale++; stale > maxStaleResponses {
			return nil, errStale
		}
		if err := c.drain(resp, resp.Body); err != nil {
			return nil, fmt.Errorf("discarding a response to another request: %w", err)
		}
	}
}

// readHead reads the head of a response. It waits for the first byte as long as the connection is open, and then for at
// most headTimeout.
func (c *conn) readHead(method string) (*http.Response, error) {
	if _, err := c.br.Peek(1); err != nil {
		return nil, err
	}
	c.head = HeadScanner{}
	buffered, _ := c.br.Peek(c.br.Buffered()) // This reads nothing, so that it does not fail.
	_, _ = c.head.Write(buffered)
	var resp *http.Response
	err := c.withinHeadTimeout(func() (err error) {
		resp, err = http.ReadResponse(c.br, &http.Request{Method: method}) //nolint:bodyclose // Exchange.Close ends the connection
		return err
	})
	if err != nil {
		return nil, err
	}
	return resp, c.head.Check(resp)
}

// withinHeadTimeout calls read, whose reads from the connection fail once headTimeout has passed. A read deadline that is set
// before would also pass during a pause of this process, and fail the read of what has arrived meanwhile.
func (c *conn) withinHeadTimeout(read func() error) error {
	var mu sync.Mutex
	ended, expired := false, false
	timer := timekeeper.Start(timekeeper.Config{Expired: func() {
		mu.Lock()
		defer mu.Unlock()
		if !ended {
			expired = true
			_ = c.nc.SetReadDeadline(time.Unix(1, 0)) // This fails only if the connection is closed already.
		}
	}}, c.headTimeout)
	err := read()
	timer.Stop()
	mu.Lock()
	defer mu.Unlock()
	ended = true
	if err != nil || !expired {
		return err
	}
	return c.nc.SetReadDeadline(time.Time{})
}

// drain discards a body of at most maxDrainBytes within headTimeout.
func (c *conn) drain(resp *http.Response, body io.Reader) error {
	if !Framed(resp) {
		return errUnframedDrain
	}
	if resp.ContentLength > maxDrainBytes {
		return errDrainTooLong
	}
	return c.withinHeadTimeout(func() error {
		n, err := io.Copy(io.Discard, io.LimitReader(body, maxDrainBytes+1))
		if err == nil && n > maxDrainBytes {
			err = errDrainTooLong
		}
		return err
	})
}

// withWriteError closes a connection whose read failed with err and returns err, with the error of the write of the body if
// that had failed before: the system reports the error of a connection to one call only.
func (c *conn) withWriteError(err error) error {
	_ = c.nc.Close()
	if c.body == nil {
		return err
	}
	<-c.body.done
	if c.body.err == nil || errors.Is(c.body.err, net.ErrClosed) || errors.Is(err, c.body.err) {
		return err
	}
	return fmt.Errorf("%w; sending the body: %w", err, c.body.err)
}

// confirmEnd waits until the upstream, which has closed its side of the connection, has received the whole request. It fails
// if the connection is reset instead, which means that the upstream died or did not end its response in order. The end of
// the request's context ends the wait.
func (c *conn) confirmEnd() error {
	if c.body != nil {
		<-c.body.done
		if c.body.err != nil {
			return fmt.Errorf("sending the body: %w", c.body.err)
		}
	}
	return AwaitReceipt(c.nc)
}

// Read reads the body; io.EOF means that the response is complete, or, if Framed is false, that the upstream closed the
// connection in order.
func (e *Exchange) Read(b []byte) (int, error) {
	if e.end != nil {
		return 0, e.end
	}
	if e.conn == nil {
		return 0, net.ErrClosed
	}
	n, err := e.Body.Read(b)
	if errors.Is(err, io.EOF) && !e.Framed() && e.Body != http.NoBody {
		if e.Ending != nil {
			e.Ending()
		}
		if cause := e.conn.confirmEnd(); cause != nil {
			err = fmt.Errorf("the connection that ends the response was not closed in order: %w", cause)
		}
	}
	switch {
	case errors.Is(err, io.EOF):
		e.complete = true
	case err != nil:
		e.broken = true
		err = e.conn.withWriteError(err)
	}
	e.end = err
	return n, err
}

// Framed reports whether the response has a content length or chunked encoding, rather than ending with its connection.
func (e *Exchange) Framed() bool {
	return Framed(e.Response)
}

// Drain discards a short body so that the connection can be reused, and fails if the body is long or late.
func (e *Exchange) Drain() error {
	err := e.conn.drain(e.Response, readerFunc(e.Read))
	if err != nil {
		e.broken = true
	}
	return err
}

// readerFunc is an io.Reader that calls a function.
type readerFunc func([]byte) (int, error)

// Read calls the function.
func (f readerFunc) Read(b []byte) (int, error) { return f(b) }

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
	if keep && c.body != nil {
		select {
		case <-c.body.done:
			keep = c.body.err == nil
		default:
			keep = false
		}
	}
	e.pool.release(c, keep)
}
