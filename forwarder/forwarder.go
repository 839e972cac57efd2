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

	"clementineramp/connector"
	"clementineramp/encoder"
	"clementineramp/judge"
)

// maxBodyBytes is the maximum size of the body that is read of an agent's response, other than a stream, in bytes.
const maxBodyBytes = 16 << 20

// maxTrailingBytes is the maximum number of bytes that are read after the closing event of an answer.
const maxTrailingBytes = 64 << 10

// defaultHeartbeatTimeout is several times the interval between the heartbeats of an agent.
const defaultHeartbeatTimeout = 3 * time.Second

// Config holds the settings and dependencies of a Client.
type Config struct {
	// SharedKey authenticates requests between processes of the fleet.
	SharedKey string
	// Dial opens a connection; nil means that of net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialTimeout is the timeout of the default Dial; zero means 1 s.
	DialTimeout time.Duration
	// HeartbeatTimeout is the longest wait for the next heartbeat before the first event of an answer; zero means 3 s.
	HeartbeatTimeout time.Duration
	// IdleTimeout is the maximum time between two events of a stream; zero means no limit.
	IdleTimeout time.Duration
	// OnReport receives each report that an agent sends with a heartbeat, response, refusal or trailer; it may be nil.
	OnReport func(encoder.Report)
	// CountControl receives the number of bytes of control traffic sent and received; it may be nil.
	CountControl func(sent, received int)
}

// Client sends requests to agents; it is safe for concurrent use.
type Client struct {
	cfg    Config
	pooled *http.Client
	// unpooled opens a connection for each order, so that the transport never resends an order on its own.
	unpooled *http.Client
}

// New returns a client; settings that are zero are set to their defaults.
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
			MaxResponseHeaderBytes: encoder.MaxHeadBytes,
		}},
		unpooled: &http.Client{CheckRedirect: encoder.NoRedirect, Transport: &http.Transport{
			DialContext: cfg.Dial, DisableKeepAlives: true, DisableCompression: true,
			MaxResponseHeaderBytes: encoder.MaxHeadBytes,
		}},
	}
}

// Failure is a failed request to an agent.
type Failure struct {
	Cause *judge.Error
	// Mark is the number of engine crashes during which the request was running, as reported by the agent.
	Mark int
	// NextUpstream names the upstream that the agent advises to try next; empty means that it names none.
	NextUpstream string
	// Moved is true if the chat moves to NextUpstream with this request, and false if it ran there before.
	Moved bool
	// Answered is true if the refusal came from the agent, and false if the client created it after a network failure, a
	// timeout or an invalid response.
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

// Chat sends a chat request and calls begin with the header of the response, then f for each event.
// It returns nil only after the closing event. Otherwise it returns a *Failure or the error of f.
func (c *Client) Chat(ctx context.Context, address string, env encoder.Envelope, body encoder.ChatRequest, begin func(http.Header), f func(encoder.Event) error) error {
	b, err := json.Marshal(body)
	if err != nil {
		return &Failure{Cause: judge.Refuse(judge.ReasonInvalid, "encode request: %w", err)}
	}
	return c.stream(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", env, b, begin, f)
}

// Resume requests the events of a stream after env.Offset and calls f for each. Its errors are those of Chat.
func (c *Client) Resume(ctx context.Context, address string, stream encoder.StreamID, env encoder.Envelope, f func(encoder.Event) error) error {
	return c.stream(ctx, http.MethodGet, "http://"+address+"/v1/streams/"+stream.String(), env, nil, func(http.Header) {}, f)
}

func (c *Client) stream(ctx context.Context, method, url string, env encoder.Envelope, body []byte, begin func(http.Header), f func(encoder.Event) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// An unresponsive agent accepts the connection and sends nothing, while one that queues the request sends heartbeats.
	timer := time.AfterFunc(c.cfg.HeartbeatTimeout, func() { cancel(errNoHeartbeat) })
	defer timer.Stop()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(status int, h textproto.MIMEHeader) error {
			if err := connector.CheckHead(&http.Response{StatusCode: status, Header: http.Header(h)}); err != nil {
				return err
			}
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

// readTrailer handles the report that an agent sends after an answer, when its load is lower than at the beginning.
func (c *Client) readTrailer(resp *http.Response) {
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxTrailingBytes)); err != nil {
		return
	}
	c.handleReport(resp.Trailer)
}

var (
	errNoHeartbeat = errors.New("no sign of life within the silence limit")
	errIdle        = errors.New("no event within the idle timeout")
)

func streamError(ctx context.Context, err, emitErr error) error {
	if err == nil {
		return nil
	}
	if emitErr != nil {
		return emitErr
	}
	if cause := context.Cause(ctx); errors.Is(cause, errIdle) || errors.Is(cause, errNoHeartbeat) {
		return &Failure{Cause: judge.Uncertain(judge.ReasonTimeout, "agent: %w", cause)}
	}
	var event *encoder.EventError
	if errors.As(err, &event) {
		return &Failure{Cause: event.Refusal.JudgeError(), Mark: event.Refusal.Mark, Answered: true}
	}
	return &Failure{Cause: judge.Uncertain(judge.ReasonBroken, "agent: %w", err)}
}

// NotifyPlacement notifies an agent which engine runs a chat. If the message is lost, the next turn may be sent to another
// engine; that only loses the reuse of the cached prefix.
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

// Response is the response of a plain service, as returned by its agent.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call sends a call to a plain service; env.Deadline limits its time. A call that must not be sent twice, which is one with
// a method other than GET and HEAD, uses a new connection. Errors are of type *Failure.
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
	if method != http.MethodHead && !connector.Framed(resp) { // Agents declare the end of each answer.
		return Response{}, &Failure{Cause: judge.Uncertain(judge.ReasonBroken, "agent: the answer has neither a length nor chunks")}
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes+1))
	if err != nil {
		return Response{}, &Failure{Cause: judge.Uncertain(judge.ReasonBroken, "agent: %w", err)}
	}
	if len(b) > maxBodyBytes {
		return Response{}, &Failure{Cause: &judge.Error{
			Verdict: judge.Ran, Reason: judge.ReasonInternal,
			Err: fmt.Errorf("agent: the answer with status %d is larger than %d bytes", resp.StatusCode, maxBodyBytes),
		}}
	}
	return Response{Status: resp.StatusCode, Header: encoder.EndToEnd(resp.Header), Body: b}, nil
}

// Ticket requests a ticket from an agent and decodes it into out; env.Deadline limits its time. Errors are of type
// *Failure.
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
	// The struct hides the type of the reader, so that the request has no GetBody and the transport cannot resend the body.
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
	if err := connector.CheckHead(resp); err != nil {
		_ = resp.Body.Close()
		return nil, &Failure{Cause: judge.Uncertain(judge.ReasonBroken, "agent: %w", err)}
	}
	c.cfg.CountControl(encoder.LoadBytes(env.Load), 0)
	c.handleReport(resp.Header)
	return resp, nil
}

// handleReport counts the bytes of the report in a header or trailer and calls OnReport with it.
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
		return &Failure{Cause: judge.Uncertain(judge.ReasonTimeout, "agent: %w", cause)}
	}
	return &Failure{Cause: judge.Uncertain(judge.ReasonBroken, "agent: %w", err)}
}

func refusalFailure(resp *http.Response) *Failure {
	var r encoder.Refusal
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(b, &r)
	}
	if err != nil || r.Error.Code == "" {
		return &Failure{Cause: judge.Uncertain(judge.ReasonInternal, "agent answered %s without a verdict", strconv.Itoa(resp.StatusCode))}
	}
	judged := r.JudgeError()
	judged.Err = fmt.Errorf("%w", judged.Err)
	return &Failure{Cause: judged, Mark: r.Mark, NextUpstream: r.NextUpstream, Moved: r.Moved, Answered: true}
}
