package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"clementineramp/encoder"
)

// Caller is an HTTP client that sends requests to the fleet as an organisation's caller does.
type Caller struct {
	// Key is the organisation's key, sent as a bearer token.
	Key string
	// HTTP is the client that sends the requests; nil means http.DefaultClient.
	HTTP *http.Client
	// Header holds header fields that are set on each request.
	Header http.Header
	// OnEvent, if not nil, is called with each event of a streamed answer as it arrives.
	OnEvent func(encoder.Event)
}

// Reply is the answer that a caller received to a chat request.
type Reply struct {
	Text      string
	Usage     encoder.Usage
	LastEvent string
	Events    int
	// FirstToken is the time from sending the request to the first event.
	FirstToken time.Duration
}

// Chat sends a streamed chat request and reads the complete answer; header holds additional header fields.
// After an error in the stream, Reply holds what was received before it.
func (c *Caller) Chat(ctx context.Context, address string, r encoder.ChatRequest, header http.Header) (Reply, error) {
	r.Stream = true
	body, err := json.Marshal(r)
	if err != nil {
		return Reply{}, trace.Wrap(err)
	}
	started := time.Now()
	resp, err := c.do(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", header, body)
	if err != nil {
		return Reply{}, err
	}
	defer resp.Body.Close()
	return c.readReply(resp.Body, started)
}

// errStopReading stops ReadEvents after the requested number of events.
var errStopReading = trace.Errorf("caller stopped reading on purpose")

// ChatUntil sends a streamed chat request, reads the given number of events and then closes the connection.
// It returns the text received and the ID of the last event.
func (c *Caller) ChatUntil(ctx context.Context, address string, r encoder.ChatRequest, events int) (text, lastEvent string, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.Stream = true
	body, err := json.Marshal(r)
	if err != nil {
		return "", "", trace.Wrap(err)
	}
	resp, err := c.do(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", nil, body)
	if err != nil {
		return "", "", err
	}
	defer resp.Body.Close()
	n := 0
	err = encoder.ReadEvents(resp.Body, func(ev encoder.Event) error {
		text += ev.Text
		lastEvent = ev.ID
		if n++; n == events {
			return errStopReading
		}
		return nil
	})
	if errors.Is(err, errStopReading) {
		err = nil
	}
	return text, lastEvent, err
}

// Resume reads the rest of a streamed answer, starting after the event with the ID lastEvent.
func (c *Caller) Resume(ctx context.Context, address, lastEvent string) (Reply, error) {
	stream, _, _ := strings.Cut(lastEvent, ":")
	started := time.Now()
	resp, err := c.do(ctx, http.MethodGet, "http://"+address+"/v1/streams/"+stream, http.Header{"Last-Event-Id": {lastEvent}}, nil)
	if err != nil {
		return Reply{}, err
	}
	defer resp.Body.Close()
	return c.readReply(resp.Body, started)
}

func (c *Caller) readReply(body io.Reader, started time.Time) (Reply, error) {
	var reply Reply
	var text strings.Builder
	err := encoder.ReadEvents(body, func(ev encoder.Event) error {
		if reply.Events == 0 {
			reply.FirstToken = time.Since(started)
		}
		reply.LastEvent = ev.ID
		if c.OnEvent != nil {
			c.OnEvent(ev)
		}
		if ev.Done {
			return nil
		}
		reply.Events++
		text.WriteString(ev.Text)
		var chunk encoder.Chunk
		if json.Unmarshal([]byte(ev.Data), &chunk) == nil && chunk.Usage != nil {
			reply.Usage = *chunk.Usage
		}
		return nil
	})
	reply.Text = text.String()
	return reply, err
}

// Ticket requests a ticket, which Order accepts as the key of an order.
func (c *Caller) Ticket(ctx context.Context, address, service string) (string, error) {
	resp, err := c.do(ctx, http.MethodPost, "http://"+address+"/v1/services/"+service+"/tickets", nil, nil)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	var t struct {
		Ticket string `json:"ticket"`
	}
	err = json.NewDecoder(resp.Body).Decode(&t)
	return t.Ticket, trace.Wrap(err)
}

// Order places an order and returns the body of the response; an empty key sends no Idempotency-Key.
func (c *Caller) Order(ctx context.Context, address, service, path, key string, body []byte) (string, error) {
	header := http.Header{}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	resp, err := c.do(ctx, http.MethodPost, "http://"+address+"/v1/services/"+service+"/call"+path, header, body)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), trace.Wrap(err)
}

// do sends a request. A refusal in the response is returned as the error that it encodes, with its verdict.
func (c *Caller) do(ctx context.Context, method, url string, header http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for _, fields := range []http.Header{c.Header, header} {
		for name, values := range fields {
			req.Header[name] = values
		}
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if resp.StatusCode < http.StatusBadRequest {
		return resp, nil
	}
	defer resp.Body.Close()
	var r encoder.Refusal
	if err := json.NewDecoder(resp.Body).Decode(&r); err != nil {
		return nil, trace.Errorf("status %d without a refusal in the body", resp.StatusCode)
	}
	return nil, r.JudgeError()
}
