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

// Caller is a stand-in for a caller of the fleet.
type Caller struct {
	// Key is the organisation's key.
	Key string
	// HTTP is the client; nil means http.DefaultClient.
	HTTP *http.Client
	// Header holds header fields of each request.
	Header http.Header
	// OnEvent is told each event of an answer as it arrives; nil means that nobody is told.
	OnEvent func(encoder.Event)
}

// Reply is what a caller got for a chat request.
type Reply struct {
	Text      string
	Usage     encoder.Usage
	LastEvent string
	Events    int
	// FirstToken is the time to the first event.
	FirstToken time.Duration
}

// Chat sends a streamed chat request and reads the whole answer; header holds further header fields.
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

// errEnough ends a caller's reading on purpose.
var errEnough = trace.Errorf("the caller has read enough")

// ChatUntil reads a number of events of an answer and then breaks the connection; it returns the text and the last event's identifier.
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
			return errEnough
		}
		return nil
	})
	if errors.Is(err, errEnough) {
		err = nil
	}
	return text, lastEvent, err
}

// Resume reads the rest of a streamed answer after the event with an identifier.
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

// Ticket gets a ticket for an order.
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

// Order places an order and returns the body of the answer.
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

// do sends a request; an error answer becomes an error with the verdict that it carries.
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
		return nil, trace.Errorf("status %d without a refusal", resp.StatusCode)
	}
	return nil, r.JudgeError()
}
