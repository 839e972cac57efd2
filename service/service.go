package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"clementineramp/encoder"
	"clementineramp/judge"
)

const (
	// defaultMaxBytes bounds the body of an answer.
	defaultMaxBytes = 16 << 20
	// dialTimeout bounds the opening of a connection to a service on the same host.
	dialTimeout = time.Second
)

// Config says where a service is.
type Config struct {
	// Address is the service's IP number and port.
	Address string
	// Dial opens a connection; nil means the network's own.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxBytes bounds the body of an answer; zero means 16 MB.
	MaxBytes int64
}

// Request is one call of the service.
type Request struct {
	Method string
	// Path is the path with its query.
	Path   string
	Header http.Header
	Body   []byte
}

// Idempotent reports whether the call may be sent again without harm.
func (r Request) Idempotent() bool {
	return r.Method == http.MethodGet || r.Method == http.MethodHead
}

// Response is the answer of the service, whatever its status.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client calls one service.
type Client struct {
	cfg Config
	// pooled keeps connections for idempotent calls, and single opens one for each other call. On a reused
	// connection that breaks, http.Transport sends a request with an Idempotency-Key header again by itself.
	pooled, single *http.Client
}

// New returns a client of a service.
func New(cfg Config) *Client {
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = defaultMaxBytes
	}
	return &Client{
		cfg:    cfg,
		pooled: newHTTP(&http.Transport{DialContext: cfg.Dial, DisableCompression: true, IdleConnTimeout: 30 * time.Second}),
		single: newHTTP(&http.Transport{DialContext: cfg.Dial, DisableCompression: true, DisableKeepAlives: true}),
	}
}

func newHTTP(t *http.Transport) *http.Client {
	return &http.Client{Transport: t, CheckRedirect: encoder.NoRedirect}
}

// Call sends a request once; the verdict of an error says whether the service may have run it.
func (c *Client) Call(ctx context.Context, r Request) (Response, error) {
	req, err := c.request(ctx, r)
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.cfg.MaxBytes+1))
	if err != nil {
		return Response{}, judge.Doubt(judge.ReasonBroken, "service: read answer: %w", err)
	}
	if int64(len(body)) > c.cfg.MaxBytes {
		return Response{}, &judge.Error{
			Verdict: judge.Ran, Reason: judge.ReasonInternal,
			Err: fmt.Errorf("service: the answer with status %d is larger than %d bytes", resp.StatusCode, c.cfg.MaxBytes),
		}
	}
	return Response{Status: resp.StatusCode, Header: encoder.EndToEnd(resp.Header), Body: body}, nil
}

func (c *Client) request(ctx context.Context, r Request) (*http.Request, error) {
	// A plain reader hides the body's type, so that the request has no GetBody and cannot be sent again.
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

// sendError classifies a failure before the answer: only one before a connection was open excludes that the call ran.
func sendError(err error) error {
	if judge.Unsent(err) {
		return judge.Refuse(judge.ReasonUnreachable, "service: %w", err)
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return judge.Doubt(judge.ReasonTimeout, "service: %w", err)
	}
	return judge.Doubt(judge.ReasonBroken, "service: %w", err)
}
