package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"clementineramp/encoder"
)

// Client asks one process on its operators' address.
type Client struct {
	address   netip.AddrPort
	sharedKey string
	http      *http.Client
}

// ClientConfig sets up a client.
type ClientConfig struct {
	// Address is the operators' address of the process.
	Address netip.AddrPort
	// SharedKey is needed for Drain only.
	SharedKey string
	// Timeout bounds each call; zero means DefaultTimeout.
	Timeout time.Duration
}

// DefaultTimeout bounds a call of a client; it is longer than the server's own limit, so that its answer arrives.
const DefaultTimeout = 10 * time.Second

// maxResponseBytes bounds an answer; the status of a router with 600 upstreams takes about 100 KB.
const maxResponseBytes = 4 << 20

// NewClient returns a client.
func NewClient(cfg ClientConfig) *Client {
	timeout := cfg.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	return &Client{
		address:   cfg.Address,
		sharedKey: cfg.SharedKey,
		http: &http.Client{
			Timeout: timeout,
			// Operators reach processes by IP number; a proxy of the environment would see the token.
			Transport: &http.Transport{DisableKeepAlives: true},
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
	}
}

// Status returns the status of the process.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, "/status", http.StatusOK)
}

// Drain begins the planned stop of the process; it returns when the process has accepted it, not when it has stopped.
func (c *Client) Drain(ctx context.Context) (DrainReply, error) {
	return call[DrainReply](ctx, c, http.MethodPost, "/drain", http.StatusAccepted)
}

// call sends a request and decodes the answer, which must have the wanted status.
func call[T any](ctx context.Context, c *Client, method, path string, want int) (T, error) {
	var v T
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address.String()+path, http.NoBody)
	if err != nil {
		return v, trace.Wrap(err)
	}
	if method == http.MethodPost {
		req.Header.Set("Authorization", "Bearer "+Token(c.sharedKey))
	}
	res, err := c.http.Do(req)
	if err != nil {
		return v, trace.ConnectionProblem(err, "%v", err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	if err != nil {
		return v, trace.ConnectionProblem(err, "read the answer of %s: %v", c.address, err)
	}
	if len(body) > maxResponseBytes {
		return v, trace.LimitExceeded("the answer of %s has more than %d bytes", c.address, maxResponseBytes)
	}
	if res.StatusCode != want {
		return v, responseError(c.address, res.StatusCode, body)
	}
	if err := json.Unmarshal(body, &v); err != nil {
		return v, trace.BadParameter("the answer of %s is not of this protocol: %v", c.address, err)
	}
	return v, nil
}

// responseError returns the error that an answer with an unwanted status stands for.
func responseError(address netip.AddrPort, status int, body []byte) error {
	var r encoder.Refusal
	if err := json.Unmarshal(body, &r); err != nil || r.Error.Message == "" {
		return trace.BadParameter("%s answered with status %d", address, status)
	}
	if status == http.StatusUnauthorized {
		return trace.AccessDenied("%s refused: %s", address, r.Error.Message)
	}
	return trace.BadParameter("%s refused with status %d: %s", address, status, r.Error.Message)
}
