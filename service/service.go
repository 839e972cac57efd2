package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"clementineramp/connector"
	"clementineramp/encoder"
	"clementineramp/judge"
)

const (
	// defaultMaxBytes is the default limit on the body of a response, in bytes.
	defaultMaxBytes = 16 << 20
	// dialTimeout limits the time to connect; the service is on the same host.
	dialTimeout = time.Second
)

// Config holds the address of a service and the settings of its Client.
type Config struct {
	// Address is the service's IP address and port.
	Address string
	// Dial opens a connection; nil means net.Dialer with a timeout of one second.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxBytes is the limit on the body of a response, in bytes; zero means 16 MB.
	MaxBytes int64
}

// Request is a call to send to the service.
type Request struct {
	Method string
	// Path is the path with the query.
	Path   string
	Header http.Header
	Body   []byte
	// OnSent is called when the start of the request has been written to the connection; nil means no call.
	OnSent func()
}

// Idempotent reports whether the call is GET or HEAD and can therefore be sent again without a further effect.
func (r Request) Idempotent() bool {
	return r.Method == http.MethodGet || r.Method == http.MethodHead
}

// Response is a complete response of the service with any status. Header holds the end-to-end fields only.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client sends calls to one service. It is safe for concurrent use.
type Client struct {
	cfg Config
	// pooled reuses connections for idempotent calls, and single opens a new one for each other call. When a reused
	// connection breaks, http.Transport retries a request with an Idempotency-Key header without reporting it.
	pooled, single *http.Client
}

// New returns a client of a service; it opens connections when they are needed.
func New(cfg Config) *Client {
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = defaultMaxBytes
	}
	dial := cfg.Dial
	cfg.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &notifyingConn{Conn: conn}, nil
	}
	return &Client{
		cfg:    cfg,
		pooled: newHTTPClient(&http.Transport{DialContext: cfg.Dial, DisableCompression: true, IdleConnTimeout: 30 * time.Second}),
		single: newHTTPClient(&http.Transport{DialContext: cfg.Dial, DisableCompression: true, DisableKeepAlives: true}),
	}
}

// notifyingConn calls a function once after its next successful write. The trace hook WroteRequest of net/http does not
// serve: it is called before the buffer of the connection is flushed.
//
// Its reads return io.EOF only after the service has received what was written: the system reports a reset to one call only,
// and a read that comes after a failed write returns the same as after an orderly end of the answer.
type notifyingConn struct {
	net.Conn
	onWrite atomic.Pointer[func()]

	// mu is held during a write, of which writeErr is the last error.
	mu       sync.Mutex
	writeErr error

	// headMu guards head, which examines the head of the answer. It is not mu, which a long write holds while an answer begins.
	headMu sync.Mutex
	head   connector.HeadScanner
}

// begin prepares the connection for a request, of which onSent is Request.OnSent.
func (c *notifyingConn) begin(onSent func()) {
	if onSent != nil {
		c.onWrite.Store(&onSent)
	}
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.head = connector.HeadScanner{}
}

// checkHead returns a connector.ErrMalformedHead if the head of an answer that has arrived is malformed.
func (c *notifyingConn) checkHead(resp *http.Response) error {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	return c.head.Check(resp)
}

// Read reads from the connection.
func (c *notifyingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.headMu.Lock()
	_, _ = c.head.Write(b[:n])
	c.headMu.Unlock()
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	c.mu.Lock()
	cause := c.writeErr
	c.mu.Unlock()
	if cause == nil {
		cause = connector.AwaitReceipt(c.Conn)
	}
	if cause != nil {
		err = fmt.Errorf("the connection was not closed in order: %w", cause)
	}
	return n, err
}

// Write writes to the connection and then calls the function, if there is one.
func (c *notifyingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil {
		c.writeErr = err
	}
	if err == nil {
		if f := c.onWrite.Swap(nil); f != nil {
			(*f)()
		}
	}
	return n, err
}

// newHTTPClient returns an HTTP client that does not follow redirects.
func newHTTPClient(t *http.Transport) *http.Client {
	t.MaxResponseHeaderBytes = encoder.MaxHeadBytes
	return &http.Client{Transport: t, CheckRedirect: encoder.NoRedirect}
}

// Call sends a request once. An error is a *judge.Error, whose verdict reports whether the service may have run the
// request.
func (c *Client) Call(ctx context.Context, r Request) (Response, error) {
	var conn *notifyingConn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn = info.Conn.(*notifyingConn) // New sets the only Dial.
			conn.begin(r.OnSent)
		},
	})
	req, err := c.newRequest(ctx, r)
	if err != nil {
		return Response{}, judge.Refuse(judge.ReasonInvalid, "service: %w", err)
	}
	client := c.single
	if r.Idempotent() {
		client = c.pooled
	}
	resp, err := client.Do(req)
	if err != nil {
		return Response{}, sendError(err)
	}
	defer resp.Body.Close()
	if err := conn.checkHead(resp); err != nil {
		return Response{}, judge.Uncertain(judge.ReasonBroken, "service: %w", err)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.cfg.MaxBytes+1))
	if err != nil {
		return Response{}, judge.Uncertain(judge.ReasonBroken, "service: read answer: %w", err)
	}
	if int64(len(body)) > c.cfg.MaxBytes {
		return Response{}, &judge.Error{
			Verdict: judge.Ran, Reason: judge.ReasonInternal,
			Err: fmt.Errorf("service: the answer with status %d is larger than %d bytes", resp.StatusCode, c.cfg.MaxBytes),
		}
	}
	return Response{Status: resp.StatusCode, Header: encoder.EndToEnd(resp.Header), Body: body}, nil
}

// newRequest returns the HTTP request of a call, without the fields that concern one connection only.
func (c *Client) newRequest(ctx context.Context, r Request) (*http.Request, error) {
	// The struct hides the type of the reader, so that the request has no GetBody and the transport cannot resend it.
	var body io.Reader
	if len(r.Body) > 0 {
		body = struct{ io.Reader }{bytes.NewReader(r.Body)}
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+c.cfg.Address+r.Path, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(r.Body))
	req.Header = encoder.EndToEnd(r.Header)
	return req, nil
}

// sendError classifies an error that occurred before the response. Only if no connection was opened is it certain that
// the call did not run.
func sendError(err error) error {
	if judge.Unsent(err) {
		return judge.Refuse(judge.ReasonUnreachable, "service: %w", err)
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return judge.Uncertain(judge.ReasonTimeout, "service: %w", err)
	}
	return judge.Uncertain(judge.ReasonBroken, "service: %w", err)
}
