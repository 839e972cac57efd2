package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"clementineramp/connector"
	"clementineramp/encoder"
	"clementineramp/judge"
)

// maxErrorBody limits what is read of the engine's error and status responses, in bytes.
const maxErrorBody = 64 << 10

// callTimeout limits the status, load and cancel calls to an engine. Generate has no such limit.
const callTimeout = 5 * time.Second

// Config holds the address of an engine and the settings of its Client.
type Config struct {
	// Address is the engine's IP address and port.
	Address string
	// Dial opens a connection; nil means net.Dialer with a timeout of one second.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// IdleTimeout is the time without an event after which a stream fails; zero means no limit.
	IdleTimeout time.Duration
}

// Client sends requests to one engine. It is safe for concurrent use.
type Client struct {
	cfg  Config
	http *http.Client
}

// New returns a client of an engine; it opens connections when they are needed.
func New(cfg Config) *Client {
	dial := cfg.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: time.Second}).DialContext
	}
	return &Client{cfg: cfg, http: &http.Client{Transport: &http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    32,
		IdleConnTimeout:        30 * time.Second,
		DisableCompression:     true,
		MaxResponseHeaderBytes: encoder.MaxHeadBytes,
	}}}
}

// Status is the state that an engine reports.
type Status struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	// Ready means that the model is loaded.
	Ready bool `json:"ready"`
	// Fence is the highest fencing number that the engine has accepted.
	Fence uint64 `json:"fence"`
	Slots int    `json:"slots"`
	// Running is the number of requests in the engine's batch.
	Running int `json:"running"`
	// Controller is the name of the process that sent the last load order.
	Controller string `json:"controller,omitempty"`
}

// LoadOrder is the order to load a version of a model. Fence is its fencing number, and Controller the name of the
// process that sends it.
type LoadOrder struct {
	Model      string `json:"model"`
	Version    string `json:"version"`
	Fence      uint64 `json:"fence"`
	Controller string `json:"controller"`
}

// Status returns the current state of the engine. After an error it is unknown whether the engine is running.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, &s)
	return s, err
}

// Load sends the engine an order to load a version. An engine that checks fencing numbers refuses an old one with an
// error.
func (c *Client) Load(ctx context.Context, o LoadOrder) error {
	return c.call(ctx, http.MethodPost, "/v1/load", o, nil)
}

// Cancel stops the generation for a request at the engine.
func (c *Client) Cancel(ctx context.Context, requestID string) error {
	body := struct {
		RequestID string `json:"request_id"`
	}{requestID}
	return c.call(ctx, http.MethodPost, "/v1/cancel", body, nil)
}

// call sends a short request with in as its JSON body, unless in is nil, and decodes the response into out, unless out
// is nil. A status of 400 or above is an error.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return trace.Wrap(err)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.cfg.Address+path, body)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return trace.Wrap(err, "engine %s", path)
	}
	defer resp.Body.Close()
	if err := connector.CheckHead(resp); err != nil {
		return trace.Wrap(err, "engine %s", path)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	if err != nil {
		return trace.Wrap(err, "engine %s", path)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return trace.Errorf("engine %s: status %d: %s", path, resp.StatusCode, bytes.TrimSpace(b))
	}
	if out == nil {
		return nil
	}
	return trace.Wrap(json.Unmarshal(b, out), "engine %s", path)
}

// Generate runs a chat request and calls f for each event. It returns nil only after the closing event. Each error is
// or wraps a *judge.Error, whose verdict reports whether the engine may have started the request.
func (c *Client) Generate(ctx context.Context, r encoder.ChatRequest, f func(encoder.Event) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	body, err := json.Marshal(r)
	if err != nil {
		return judge.Refuse(judge.ReasonInvalid, "encode request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.cfg.Address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return judge.Refuse(judge.ReasonInvalid, "engine address: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return sendError(err)
	}
	defer resp.Body.Close()
	if err := connector.CheckHead(resp); err != nil {
		return judge.Uncertain(judge.ReasonBroken, "engine: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return statusError(resp)
	}
	return c.readStream(ctx, cancel, resp.Body, f)
}

// errIdle is the cancellation cause of a stream in which no event arrived within the idle timeout.
var errIdle = errors.New("no event within the idle timeout")

// readStream calls f for each event of a response until the closing event, and cancels the request at the idle timeout.
func (c *Client) readStream(ctx context.Context, cancel context.CancelCauseFunc, body io.Reader, f func(encoder.Event) error) error {
	if c.cfg.IdleTimeout > 0 {
		idle := time.AfterFunc(c.cfg.IdleTimeout, func() { cancel(errIdle) })
		defer idle.Stop()
		inner := f
		f = func(ev encoder.Event) error {
			idle.Reset(c.cfg.IdleTimeout)
			return inner(ev)
		}
	}
	err := encoder.ReadEvents(body, f)
	if err == nil {
		return nil
	}
	if errors.Is(context.Cause(ctx), errIdle) {
		return judge.Uncertain(judge.ReasonTimeout, "engine: %w", errIdle)
	}
	var judged *judge.Error
	if errors.As(err, &judged) {
		return err
	}
	return judge.Uncertain(judge.ReasonEngineCrashed, "engine: %w", err)
}

// sendError classifies a transport error that occurred before the response.
func sendError(err error) error {
	if judge.Unsent(err) {
		return judge.Refuse(judge.ReasonUnreachable, "engine: %w", err)
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return judge.Uncertain(judge.ReasonTimeout, "engine: %w", err)
	}
	return judge.Uncertain(judge.ReasonEngineCrashed, "engine: %w", err)
}

// statusError classifies a response with an error status.
func statusError(resp *http.Response) error {
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	text := fmt.Sprintf("engine answered %d: %s", resp.StatusCode, bytes.TrimSpace(b))
	switch resp.StatusCode {
	case http.StatusConflict:
		return judge.Refuse(judge.ReasonWrongVersion, "%s", text)
	case http.StatusBadRequest, http.StatusNotFound, http.StatusUnprocessableEntity:
		return judge.Refuse(judge.ReasonInvalid, "%s", text)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return judge.Refuse(judge.ReasonNotReady, "%s", text)
	default:
		return judge.Uncertain(judge.ReasonInternal, "%s", text)
	}
}
