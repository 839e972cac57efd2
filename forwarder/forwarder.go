package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"time"

	"clementineramp/encoder"
	"clementineramp/judge"
)

// maxBodyBytes bounds the body of an agent's answer to an order, in bytes.
const maxBodyBytes = 16 << 20

// maxTrailingBytes bounds what is read after the closing event of an answer, in bytes.
const maxTrailingBytes = 64 << 10

// defaultHeartbeatTimeout is several heartbeats of an agent long.
const defaultHeartbeatTimeout = 3 * time.Second

// Config says how a router reaches agents.
type Config struct {
	// SharedKey authenticates requests between the fleet's own processes.
	SharedKey string
	// Dial opens a connection; nil means the network's own.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// HeartbeatTimeout is the longest wait for a sign of life before the first byte of an answer.
	HeartbeatTimeout time.Duration
	// IdleTimeout ends a stream in which nothing arrives for that long.
	IdleTimeout time.Duration
	// OnReport receives the report of each answer and refusal.
	OnReport func(encoder.Report)
	// CountControl receives the number of control bytes sent and received.
	CountControl func(sent, received int)
}

// Client sends requests to agents.
type Client struct {
	cfg    Config
	pooled *http.Client
	// unpooled opens a connection for each order, so that the transport never repeats one by itself.
	unpooled *http.Client
}

// New returns a client of agents.
func New(cfg Config) *Client {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = time.Second
	}
	if cfg.HeartbeatTimeout == 0 {
		cfg.HeartbeatTimeout = defaultHeartbeatTimeout
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: cfg.DialTimeout}).DialContext
	}
	if cfg.OnReport == nil {
		cfg.OnReport = func(encoder.Report) {}
	}
	if cfg.CountControl == nil {
		cfg.CountControl = func(int, int) {}
	}
	return &Client{
		cfg: cfg,
		pooled: &http.Client{CheckRedirect: encoder.NoRedirect, Transport: &http.Transport{
			DialContext: cfg.Dial, MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
		}},
		unpooled: &http.Client{CheckRedirect: encoder.NoRedirect, Transport: &http.Transport{
			DialContext: cfg.Dial, DisableKeepAlives: true, DisableCompression: true,
		}},
	}
}

// Failure is a failed request to an agent.
type Failure struct {
	Cause *judge.Error
	// Mark counts the engine crashes in which the request was in flight, as the agent knows it.
	Mark int
	// Try names the upstream that the agent advises to try next.
	Try string
	// Moved says that the chat moves to Try with this request.
	Moved bool
	// Answered says that the agent itself gave the refusal.
	Answered bool
}

// Error describes the failure in one line.
func (f *Failure) Error() string {
	return f.Cause.Error()
}

// Unwrap returns the error with its verdict.
func (f *Failure) Unwrap() error {
	return f.Cause
}

// Chat sends a chat request and calls begin with the response's header, then f for each event.
// It returns nil only after the closing event; other errors are of type *Failure, or what f returned.
func (c *Client) Chat(ctx context.Context, address string, env encoder.Envelope, body encoder.ChatRequest, begin func(http.Header), f func(encoder.Event) error) error {
	b, err := json.Marshal(body)
	if err != nil {
		return &Failure{Cause: judge.Refuse(judge.ReasonInvalid, "encode request: %w", err)}
	}
	return c.stream(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", env, b, begin, f)
}

// Resume asks for the events of a stream after env.Offset.
func (c *Client) Resume(ctx context.Context, address string, stream encoder.StreamID, env encoder.Envelope, f func(encoder.Event) error) error {
	return c.stream(ctx, http.MethodGet, "http://"+address+"/v1/streams/"+stream.String(), env, nil, func(http.Header) {}, f)
}

func (c *Client) stream(ctx context.Context, method, url string, env encoder.Envelope, body []byte, begin func(http.Header), f func(encoder.Event) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// A frozen agent accepts the connection and sends nothing, while one that queues the request sends heartbeats.
	timer := time.AfterFunc(c.cfg.HeartbeatTimeout, func() { cancel(errFirstByte) })
	defer timer.Stop()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
			c.handleReport(http.Header(h))
			timer.Reset(c.cfg.HeartbeatTimeout)
			return nil
		},
	})
	resp, err := c.send(ctx, c.pooled, method, url, env, http.Header{"Content-Type": {"application/json"}}, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusalFailure(resp)
	}
	timer.Reset(c.cfg.HeartbeatTimeout)
	begin(resp.Header)
	idle := c.cfg.IdleTimeout
	var emitErr error
	err = encoder.ReadEvents(resp.Body, func(ev encoder.Event) error {
		timer.Stop()
		if idle > 0 {
			timer = time.AfterFunc(idle, func() { cancel(errIdle) })
		}
		emitErr = f(ev)
		return emitErr
	})
	timer.Stop()
	if err == nil {
		c.readTrailer(resp)
	}
	return streamError(ctx, err, emitErr)
}

// readTrailer takes the report that an agent sends after an answer, when the load is lower than at its beginning.
func (c *Client) readTrailer(resp *http.Response) {
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxTrailingBytes)); err != nil {
		return
	}
	c.handleReport(resp.Trailer)
}

var (
	errFirstByte = errors.New("no sign of life within the silence limit")
	errIdle      = errors.New("no event within the idle timeout")
)

func streamError(ctx context.Context, err, emitErr error) error {
	if err == nil {
		return nil
	}
	if emitErr != nil {
		return emitErr
	}
	if cause := context.Cause(ctx); errors.Is(cause, errIdle) || errors.Is(cause, errFirstByte) {
		return &Failure{Cause: judge.Doubt(judge.ReasonTimeout, "agent: %w", cause)}
	}
	var event *encoder.EventError
	if errors.As(err, &event) {
		return &Failure{Cause: event.Refusal.Judged(), Mark: event.Refusal.Mark, Answered: true}
	}
	return &Failure{Cause: judge.Doubt(judge.ReasonBroken, "agent: %w", err)}
}

// NotifyPlacement tells an agent which engine runs a chat; the loss of the message only costs reuse.
func (c *Client) NotifyPlacement(ctx context.Context, address string, env encoder.Envelope) error {
	resp, err := c.send(ctx, c.pooled, http.MethodPost, "http://"+address+"/v1/chats", env, http.Header{}, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return refusalFailure(resp)
	}
	return nil
}

// Response is the answer of an agent to a call of a plain service.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call sends a call of a plain service; a call that may not be repeated goes over a connection of its own.
func (c *Client) Call(ctx context.Context, address, method, path string, env encoder.Envelope, header http.Header, body []byte) (Response, error) {
	client := c.unpooled
	if method == http.MethodGet || method == http.MethodHead {
		client = c.pooled
	}
	ctx, cancel := context.WithTimeout(ctx, env.Deadline())
	defer cancel()
	resp, err := c.send(ctx, client, method, "http://"+address+"/v1/call"+path, env, header, body)
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	if resp.Header.Get(encoder.AnswerHeader) == "" {
		return Response{}, refusalFailure(resp)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		return Response{}, &Failure{Cause: judge.Doubt(judge.ReasonBroken, "agent: %w", err)}
	}
	return Response{Status: resp.StatusCode, Header: encoder.EndToEnd(resp.Header), Body: b}, nil
}

// Ticket asks an agent for a ticket and decodes it into out.
func (c *Client) Ticket(ctx context.Context, address string, env encoder.Envelope, out any) error {
	ctx, cancel := context.WithTimeout(ctx, env.Deadline())
	defer cancel()
	resp, err := c.send(ctx, c.pooled, http.MethodPost, "http://"+address+"/v1/tickets", env, http.Header{}, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusCreated {
		return refusalFailure(resp)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(out); err != nil {
		return &Failure{Cause: judge.Refuse(judge.ReasonInternal, "ticket: %w", err)}
	}
	return nil
}

func (c *Client) send(ctx context.Context, client *http.Client, method, url string, env encoder.Envelope, header http.Header, body []byte) (*http.Response, error) {
	// A plain reader hides the type of the body, so that the transport has no GetBody and cannot send it again.
	var reader io.Reader
	if len(body) > 0 {
		reader = struct{ io.Reader }{bytes.NewReader(body)}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return nil, &Failure{Cause: judge.Refuse(judge.ReasonInvalid, "agent: %w", err)}
	}
	req.ContentLength = int64(len(body))
	for name, values := range header {
		req.Header[name] = values
	}
	envelope := encoder.EncodeHeader(env)
	req.Header.Set(encoder.EnvelopeHeader, envelope)
	req.Header.Set(encoder.SignatureHeader, encoder.Sign(c.cfg.SharedKey, envelope))
	resp, err := client.Do(req)
	if err != nil {
		return nil, sendFailure(ctx, err)
	}
	c.cfg.CountControl(encoder.LoadBytes(env.Load), 0)
	c.handleReport(resp.Header)
	return resp, nil
}

// handleReport counts and passes on the report in a header or trailer.
func (c *Client) handleReport(h http.Header) {
	c.cfg.CountControl(0, encoder.ReportBytes(h))
	if report, err := encoder.DecodeHeader[encoder.Report](h, encoder.ReportHeader); err == nil {
		c.cfg.OnReport(report)
	}
}

func sendFailure(ctx context.Context, err error) *Failure {
	if judge.Unsent(err) {
		return &Failure{Cause: judge.Refuse(judge.ReasonUnreachable, "agent: %w", err)}
	}
	if cause := context.Cause(ctx); cause != nil {
		return &Failure{Cause: judge.Doubt(judge.ReasonTimeout, "agent: %w", cause)}
	}
	return &Failure{Cause: judge.Doubt(judge.ReasonBroken, "agent: %w", err)}
}

func refusalFailure(resp *http.Response) *Failure {
	var r encoder.Refusal
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(b, &r)
	}
	if err != nil || r.Error.Code == "" {
		return &Failure{Cause: judge.Doubt(judge.ReasonInternal, "agent answered %s without a verdict", strconv.Itoa(resp.StatusCode))}
	}
	judged := r.Judged()
	judged.Err = fmt.Errorf("%w", judged.Err)
	return &Failure{Cause: judged, Mark: r.Mark, Try: r.Try, Moved: r.Moved, Answered: true}
}
