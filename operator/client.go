package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"clementineramp/connector"
	"clementineramp/encoder"
)

// Client sends requests to the operators' address of one process.
type Client struct {
	address   netip.AddrPort
	sharedKey string
	http      *http.Client
}

// ClientConfig holds the settings of a Client.
type ClientConfig struct {
	// Address is the operators' address of the process.
	Address netip.AddrPort
	// SharedKey is the key from which the token for Drain is derived; other calls do not need it.
	SharedKey string
	// Timeout is the time limit of each call; zero means DefaultTimeout.
	Timeout time.Duration
}

// DefaultTimeout is the default time limit of a call. It is longer than that of the server, so that the client receives
// the server's response when a request times out there.
const DefaultTimeout = 10 * time.Second

// maxResponseBytes is the maximum size of a response; the status of a router with 600 upstreams takes about 100 KB.
const maxResponseBytes = 4 << 20

// NewClient returns a client that opens a new connection for each call.
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
			// No proxy: processes are reached by IP address, and a proxy from the environment would see the token.
			Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: encoder.MaxHeadBytes},
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
	}
}

// Status returns the status of the process. Errors are those of package trace: ConnectionProblem if the process did not
// respond, and LimitExceeded or BadParameter if its response is not valid.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, "/status", http.StatusOK)
}

// Drain begins the graceful shutdown of the process. It returns when the process has accepted the request, not when it
// has stopped. The errors are those of Status, and AccessDenied if the token is wrong.
func (c *Client) Drain(ctx context.Context) (DrainReply, error) {
	return call[DrainReply](ctx, c, http.MethodPost, "/drain", http.StatusAccepted)
}

// call sends a request and decodes the response; a status code other than want is an error.
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
	if err := connector.CheckHead(res); err != nil {
		return v, trace.ConnectionProblem(err, "response of %s: %v", c.address, err)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	if err != nil {
		return v, trace.ConnectionProblem(err, "read response of %s: %v", c.address, err)
	}
	if len(body) > maxResponseBytes {
		return v, trace.LimitExceeded("response of %s has more than %d bytes", c.address, maxResponseBytes)
	}
	if res.StatusCode != want {
		return v, responseError(c.address, res.StatusCode, body)
	}
	if err := json.Unmarshal(body, &v); err != nil {
		return v, trace.BadParameter("decode response of %s: %v", c.address, err)
	}
	return v, nil
}

// responseError returns the error for a response with an unexpected status code.
func responseError(address netip.AddrPort, status int, body []byte) error {
	var r encoder.Refusal
	if err := json.Unmarshal(body, &r); err != nil || r.Error.Message == "" {
		return trace.BadParameter("%s responded with status %d", address, status)
	}
	if status == http.StatusUnauthorized {
		return trace.AccessDenied("%s refused: %s", address, r.Error.Message)
	}
	return trace.BadParameter("%s refused with status %d: %s", address, status, r.Error.Message)
}
