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

	"clementineramp/encoder"
	"clementineramp/judge"
)

// maxErrorBody bounds what is read of an engine's error answer, in bytes.
const maxErrorBody = 64 << 10

// callTimeout bounds the short calls to an engine: status, load and cancel.
const callTimeout = 5 * time.Second

// Config says where an engine is and how to reach it.
type Config struct {
	// Address is the engine's IP number and port.
	Address string
	// Dial opens a connection; nil means the network's own.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// IdleTimeout ends a stream in which nothing arrives for that long; zero means no limit.
	IdleTimeout time.Duration
}

// Client talks to one engine.
type Client struct {
	cfg  Config
	http *http.Client
}

// New returns a client of an engine.
func New(cfg Config) *Client {
	dial := cfg.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: time.Second}).DialContext
	}
	return &Client{cfg: cfg, http: &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: 32,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}}}
}

// Status is what an engine says of itself.
type Status struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	// Ready says that the model is loaded.
	Ready bool `json:"ready"`
	// Fence is the greatest fencing number that the engine has accepted.
	Fence uint64 `json:"fence"`
	Slots int    `json:"slots"`
	// Running is the number of requests in the engine's batch.
	Running int `json:"running"`
	// Controller names the process that gave the last load order.
	Controller string `json:"controller,omitempty"`
}

// LoadOrder tells an engine to load a version of a model.
type LoadOrder struct {
	Model      string `json:"model"`
	Version    string `json:"version"`
	Fence      uint64 `json:"fence"`
	Controller string `json:"controller"`
}

// Status asks the engine for its state.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, &s)
	return s, err
}

// Load gives the engine an order to load a version; an engine that checks fencing numbers refuses an old one.
func (c *Client) Load(ctx context.Context, o LoadOrder) error {
	return c.call(ctx, http.MethodPost, "/v1/load", o, nil)
}

// Cancel ends a generation at the engine.
func (c *Client) Cancel(ctx context.Context, requestID string) error {
	body := struct {
		RequestID string `json:"request_id"`
	}{requestID}
	return c.call(ctx, http.MethodPost, "/v1/cancel", body, nil)
}

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

// Generate runs a chat request and calls f for each event; it returns nil only after the closing event.
// The verdict of an error tells whether the engine may have begun.
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
	if resp.StatusCode != http.StatusOK {
		return statusError(resp)
	}
	return c.read(ctx, cancel, resp.Body, f)
}

// errIdle is the cause of a stream that was ended because nothing arrived.
var errIdle = errors.New("no event within the idle timeout")

func (c *Client) read(ctx context.Context, cancel context.CancelCauseFunc, body io.Reader, f func(encoder.Event) error) error {
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
		return judge.Doubt(judge.ReasonTimeout, "engine: %w", errIdle)
	}
	var judged *judge.Error
	if errors.As(err, &judged) {
		return err
	}
	return judge.Doubt(judge.ReasonEngineCrashed, "engine: %w", err)
}

// sendError classifies an error of the transport before any answer.
func sendError(err error) error {
	if judge.Unsent(err) {
		return judge.Refuse(judge.ReasonUnreachable, "engine: %w", err)
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return judge.Doubt(judge.ReasonTimeout, "engine: %w", err)
	}
	return judge.Doubt(judge.ReasonEngineCrashed, "engine: %w", err)
}

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
		return judge.Doubt(judge.ReasonInternal, "%s", text)
	}
}
