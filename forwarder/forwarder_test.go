package forwarder_test

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/encoder"
	"clementineramp/forwarder"
	"clementineramp/judge"
)

const sharedKey = "a-key-for-the-tests"

func serve(t *testing.T, h http.HandlerFunc) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func envelope() encoder.Envelope {
	return encoder.Envelope{RequestID: "r1", Organisation: "o", DeadlineMS: 5000}
}

func chat(t *testing.T, address string, cfg forwarder.Config, f func(encoder.Event) error) error {
	cfg.SharedKey = sharedKey
	c := forwarder.New(cfg)
	body := encoder.ChatRequest{Model: "m", Messages: []encoder.Message{{Role: "user", Content: "x"}}}
	return c.Chat(t.Context(), address, envelope(), body, func(http.Header) {}, f)
}

func discard(encoder.Event) error { return nil }

// Guards against a wrong verdict on a request that fails on its way to an agent or at the agent.
func TestChatVerdicts(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	refusing := l.Addr().String()
	require.NoError(t, l.Close())
	hold := make(chan struct{})
	defer close(hold)

	tests := []struct {
		name     string
		address  string
		verdict  judge.Verdict
		reason   judge.Reason
		answered bool
	}{
		{"connection refused", refusing, judge.NotRun, judge.ReasonUnreachable, false},
		{"connection closed without a response", serve(t, func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}), judge.MayHaveRun, judge.ReasonBroken, false},
		{"unresponsive", serve(t, func(_ http.ResponseWriter, r *http.Request) {
			select {
			case <-hold:
			case <-r.Context().Done():
			}
		}), judge.MayHaveRun, judge.ReasonTimeout, false},
		{"refused", serve(t, func(w http.ResponseWriter, _ *http.Request) {
			encoder.NewRefusal(judge.Refuse(judge.ReasonLoadBound, "full")).Write(w)
		}), judge.NotRun, judge.ReasonLoadBound, true},
		{"error without a verdict", serve(t, func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "oops", http.StatusInternalServerError)
		}), judge.MayHaveRun, judge.ReasonInternal, false},
		{"ended without the closing event", serve(t, func(w http.ResponseWriter, _ *http.Request) {
			_ = encoder.WriteEvent(w, encoder.Event{Data: `{"id":"x","choices":[]}`})
		}), judge.MayHaveRun, judge.ReasonBroken, false},
		{"error event", serve(t, func(w http.ResponseWriter, _ *http.Request) {
			_ = encoder.WriteErrorEvent(w, encoder.NewRefusal(judge.Uncertain(judge.ReasonEngineCrashed, "gone")))
		}), judge.MayHaveRun, judge.ReasonEngineCrashed, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := chat(t, tt.address, forwarder.Config{HeartbeatTimeout: 100 * time.Millisecond}, discard)
			var f *forwarder.Failure
			require.ErrorAs(t, err, &f)
			require.Equal(t, tt.verdict, f.Cause.Verdict)
			require.Equal(t, tt.reason, f.Cause.Reason)
			require.Equal(t, tt.answered, f.Answered)
		})
	}
}

// Guards against a time-out of a request that waits in an agent's queue while the agent sends heartbeats.
func TestHeartbeatResetsTimeout(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		for range 20 {
			time.Sleep(20 * time.Millisecond)
			w.WriteHeader(http.StatusProcessing)
		}
		_ = encoder.WriteEvent(w, encoder.DoneEvent(""))
	})
	require.NoError(t, chat(t, address, forwarder.Config{HeartbeatTimeout: 200 * time.Millisecond}, discard))
}

// Guards against an error of the caller's connection that is returned as a failure of the agent.
func TestEmitErrorIsReturned(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) { _ = encoder.WriteEvent(w, encoder.DoneEvent("")) })
	disconnected := errors.New("caller disconnected")
	err := chat(t, address, forwarder.Config{}, func(encoder.Event) error { return disconnected })
	require.ErrorIs(t, err, disconnected)
}

// Guards against a client that follows the redirect of a service and so sends an order twice.
func TestCallReturnsRedirect(t *testing.T) {
	calls := 0
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		calls++
		require.True(t, encoder.Verify(sharedKey, r.Header.Get(encoder.EnvelopeHeader), r.Header.Get(encoder.SignatureHeader)))
		w.Header().Set(encoder.AnswerHeader, "1")
		w.Header().Set("Location", "/v1/call/other")
		w.WriteHeader(http.StatusSeeOther)
	})
	c := forwarder.New(forwarder.Config{SharedKey: sharedKey})
	a, err := c.Call(t.Context(), address, http.MethodPost, "/orders", envelope(), http.Header{}, []byte("x"))
	require.NoError(t, err)
	require.Equal(t, http.StatusSeeOther, a.Status)
	require.Equal(t, "/v1/call/other", a.Header.Get("Location"))
	require.Empty(t, a.Header.Get(encoder.AnswerHeader))
	require.Equal(t, 1, calls)
}

// Guards against the report of an interim response with a malformed head being believed, and against its keeping a request
// waiting.
func TestMalformedInterimResponse(t *testing.T) {
	report := encoder.ReportHeader + ": " + encoder.EncodeHeader(encoder.Report{Self: encoder.LoadEntry{Upstream: "u"}}) + "\r\n"
	const answer = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: [DONE]\n\n"
	for fields, sound := range map[string]bool{report: true, report + "X Fill: 1\r\n": false, "X-Fill : 1\r\n" + report: false} {
		reports := 0
		cfg := forwarder.Config{OnReport: func(encoder.Report) { reports++ }}
		err := chat(t, respond(t, "HTTP/1.1 102 Processing\r\n"+fields+"\r\n"+answer, false), cfg, discard)
		if sound {
			require.NoError(t, err)
			require.Equal(t, 1, reports)
			continue
		}
		var f *forwarder.Failure
		require.ErrorAs(t, err, &f, "%q", fields)
		require.Equal(t, judge.MayHaveRun, f.Cause.Verdict)
		require.Equal(t, judge.ReasonBroken, f.Cause.Reason)
		require.Zero(t, reports)
	}
}
