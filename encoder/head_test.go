package encoder_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/encoder"
	"clementineramp/engine"
	"clementineramp/forwarder"
	"clementineramp/operator"
	"clementineramp/service"
	"clementineramp/subscriber"
)

// Guards against a process that keeps a head without end: each client of the fleet gives up after a bounded part of it, long
// before its time is over. With the bound of net/http, 64 requests to an engine in trouble took 640 MB.
func TestClientsBoundHeads(t *testing.T) {
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
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Fill: ")
				_, _ = c.Write(bytes.Repeat([]byte("x"), 4*encoder.MaxHeadBytes))
				_, _ = io.Copy(io.Discard, c) // The connection stays open until the client closes it.
			}()
		}
	}()
	address := l.Addr().String()
	envelope := encoder.Envelope{RequestID: "r", Organisation: "o", DeadlineMS: 60_000}
	discard := func(encoder.Event) error { return nil }
	for name, call := range map[string]func(ctx context.Context) error{
		"engine": func(ctx context.Context) error {
			return engine.New(engine.Config{Address: address}).Generate(ctx, encoder.ChatRequest{}, discard)
		},
		"engine state": func(ctx context.Context) error {
			_, err := engine.New(engine.Config{Address: address}).Status(ctx)
			return err
		},
		"service": func(ctx context.Context) error {
			_, err := service.New(service.Config{Address: address}).Call(ctx, service.Request{Method: http.MethodPost, Path: "/"})
			return err
		},
		"agent": func(ctx context.Context) error {
			return forwarder.New(forwarder.Config{HeartbeatTimeout: time.Minute}).Chat(ctx, address, envelope, encoder.ChatRequest{}, func(http.Header) {}, discard)
		},
		"order at an agent": func(ctx context.Context) error {
			_, err := forwarder.New(forwarder.Config{}).Call(ctx, address, http.MethodPost, "/", envelope, http.Header{}, nil)
			return err
		},
		"platform": func(ctx context.Context) error {
			_, err := subscriber.New(subscriber.Config{Addresses: []string{address}, Timeout: time.Minute}).Value(ctx, "k")
			return err
		},
		"operator": func(ctx context.Context) error {
			_, err := operator.NewClient(operator.ClientConfig{Address: netip.MustParseAddrPort(address), Timeout: time.Minute}).Status(ctx)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			require.Error(t, call(ctx))
			require.NoError(t, ctx.Err(), "the head was read until the time was over")
		})
	}
}
