package encoder_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/encoder"
	"clementineramp/engine"
	"clementineramp/forwarder"
	"clementineramp/judge"
	"clementineramp/operator"
	"clementineramp/platform"
	"clementineramp/service"
	"clementineramp/subscriber"
)

// client is a client of the fleet, or of the platform, that reads responses.
type client struct {
	// sound is a response that the client accepts.
	sound string
	call  func(ctx context.Context, address string) error
}

// clients returns all clients that read responses through net/http, by name.
func clients() map[string]client {
	const (
		stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" +
			"id: s:1\ndata: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\nid: s:1\ndata: [DONE]\n\n"
		object = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	)
	envelope := encoder.Envelope{RequestID: "r", Organisation: "o", DeadlineMS: 60_000}
	discard := func(encoder.Event) error { return nil }
	agent := func() *forwarder.Client { return forwarder.New(forwarder.Config{HeartbeatTimeout: time.Minute}) }
	return map[string]client{
		"engine": {stream, func(ctx context.Context, address string) error {
			return engine.New(engine.Config{Address: address}).Generate(ctx, encoder.ChatRequest{}, discard)
		}},
		"engine state": {object, func(ctx context.Context, address string) error {
			_, err := engine.New(engine.Config{Address: address}).Status(ctx)
			return err
		}},
		"load order": {object, func(ctx context.Context, address string) error {
			return engine.New(engine.Config{Address: address}).Load(ctx, engine.LoadOrder{})
		}},
		"service": {object, func(ctx context.Context, address string) error {
			_, err := service.New(service.Config{Address: address}).Call(ctx, service.Request{Method: http.MethodPost, Path: "/"})
			return err
		}},
		"query of a service": {object, func(ctx context.Context, address string) error {
			_, err := service.New(service.Config{Address: address}).Call(ctx, service.Request{Method: http.MethodGet, Path: "/"})
			return err
		}},
		"agent": {stream, func(ctx context.Context, address string) error {
			return agent().Chat(ctx, address, envelope, encoder.ChatRequest{}, func(http.Header) {}, discard)
		}},
		"stream of an agent": {stream, func(ctx context.Context, address string) error {
			return agent().Resume(ctx, address, encoder.StreamID{}, envelope, discard)
		}},
		"order at an agent": {strings.Replace(object, "\r\n", "\r\n"+encoder.AnswerHeader+": 1\r\n", 1), func(ctx context.Context, address string) error {
			_, err := agent().Call(ctx, address, http.MethodPost, "/", envelope, http.Header{}, nil)
			return err
		}},
		"ticket": {strings.Replace(object, "200 OK", "201 Created", 1), func(ctx context.Context, address string) error {
			return agent().Ticket(ctx, address, envelope, &struct{}{})
		}},
		"placement": {"HTTP/1.1 204 No Content\r\n\r\n", func(ctx context.Context, address string) error {
			return agent().NotifyPlacement(ctx, address, envelope)
		}},
		"platform": {strings.Replace(object, "\r\n", "\r\n"+subscriber.RevisionHeader+": 7\r\n", 1), func(ctx context.Context, address string) error {
			_, err := subscriber.New(subscriber.Config{Addresses: []string{address}, Timeout: time.Minute}).Value(ctx, "k")
			return err
		}},
		"store": {"HTTP/1.1 200 OK\r\nContent-Length: 31\r\n\r\n" + `{"At":7,"Entries":[],"Next":""}`, func(ctx context.Context, address string) error {
			_, err := platform.NewStore(platform.StoreConfig{Address: address}).ReadAll(ctx)
			return err
		}},
		"watch of the store": {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n" + `{"At":7,"events":[]}`, func(ctx context.Context, address string) error {
			_, err := platform.NewStore(platform.StoreConfig{Address: address}).Watch(ctx, 1, time.Minute)
			return err
		}},
		"operator": {object, func(ctx context.Context, address string) error {
			_, err := operator.NewClient(operator.ClientConfig{Address: netip.MustParseAddrPort(address), Timeout: time.Minute}).Status(ctx)
			return err
		}},
	}
}

// respond returns the address of a server that answers the first bytes on each connection with respond.
func respond(t *testing.T, respond func(c net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := c.Read(make([]byte, 64<<10)); err == nil {
					respond(c)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a process that keeps a head without end: each client of the fleet gives up after a bounded part of it, long
// before its time is over. With the bound of net/http, 64 requests to an engine in trouble took 640 MB.
func TestClientsBoundHeads(t *testing.T) {
	address := respond(t, func(c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Fill: ")
		_, _ = c.Write(bytes.Repeat([]byte("x"), 4*encoder.MaxHeadBytes))
		_, _ = io.Copy(io.Discard, c) // The connection stays open until the client closes it.
	})
	for name, c := range clients() {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			require.Error(t, c.call(ctx, address))
			require.NoError(t, ctx.Err(), "the head was read until the time was over")
		})
	}
}

// Guards against a client that takes a response with a malformed head for an answer, or believes what it states.
func TestClientsRefuseMalformedHeads(t *testing.T) {
	const refusal = "HTTP/1.1 503 Full\r\nContent-Length: 65\r\n\r\n" +
		`{"error":{"message":"m","code":"queue_full","verdict":"not_run"}}`
	withStatus := func(status string) func(string) string {
		return func(response string) string {
			return response[:len("HTTP/1.1 ")] + status + response[len("HTTP/1.1 200"):]
		}
	}
	for name, malform := range map[string]func(response string) string{
		"status 000": withStatus("000"),
		"status 099": withStatus("099"),
		"status -00": withStatus("-00"),
		"status 101": withStatus("101"),
		"blank in a name": func(response string) string {
			return strings.Replace(response, "\r\n", "\r\nX Fill: 1\r\n", 1)
		},
		"blank after the length": func(response string) string {
			return strings.Replace(response, "\r\n\r\n", "\r\nContent-Length : 1\r\n\r\n", 1)
		},
		"NUL in a name": func(response string) string {
			return strings.Replace(response, "\r\n", "\r\nX\x00Fill: 1\r\n", 1)
		},
	} {
		for client, c := range clients() {
			for answer, response := range map[string]string{"success": c.sound, "refusal": refusal} {
				t.Run(name+" "+client+" "+answer, func(t *testing.T) {
					if answer == "success" {
						sound := respond(t, func(c net.Conn) { _, _ = io.WriteString(c, response) })
						require.NoError(t, c.call(t.Context(), sound), "the response without the fault is not accepted")
					}
					malformed := respond(t, func(c net.Conn) { _, _ = io.WriteString(c, malform(response)) })
					err := c.call(t.Context(), malformed)
					require.Error(t, err)
					require.Equal(t, judge.MayHaveRun, judge.VerdictOf(err))
				})
			}
		}
	}
}
