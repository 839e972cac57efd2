package encoder_test

import (
	"encoding/json"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/encoder"
	"clementineramp/judge"
)

func TestChatRequestRoundTrip(t *testing.T) {
	seed := int64(7)
	tests := []struct {
		name, in, want string
		change         func(*encoder.ChatRequest)
	}{
		{
			"unknown fields are preserved", `{"model":"m","messages":[{"role":"user","content":"a","name":"n"}],"temperature":0.50,"x":{"y":[1e2]}}`,
			`{"messages":[{"role":"user","content":"a","name":"n"}],"model":"m","stream":false,"temperature":0.50,"x":{"y":[1e2]}}`, nil,
		},
		{
			"fields that the router sets are encoded", `{"model":"m","messages":[{"role":"user","content":"a"}]}`,
			`{"messages":[{"role":"user","content":"a"}],"model":"m","model_version":"v1","priority":3,"request_id":"r","seed":7,"stream":true}`,
			func(r *encoder.ChatRequest) {
				r.Stream, r.Seed, r.Priority, r.RequestID, r.Version = true, &seed, 3, "r", "v1"
			},
		},
		{
			"fields that the router clears do not reappear from the caller's request",
			`{"model":"m","messages":[{"role":"user","content":"a"}],"PRIORITY":-9,"answer_prefix":"x","request_id":"y","model_version":"z"}`,
			`{"messages":[{"role":"user","content":"a"}],"model":"m","stream":false}`,
			func(r *encoder.ChatRequest) { r.Priority, r.Prefix, r.RequestID, r.Version = 0, "", "", "" },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var r encoder.ChatRequest
			require.NoError(t, json.Unmarshal([]byte(tt.in), &r))
			if tt.change != nil {
				tt.change(&r)
			}
			data, err := json.Marshal(r)
			require.NoError(t, err)
			require.Equal(t, tt.want, string(data))
		})
	}
}

func TestChatRequestRefused(t *testing.T) {
	for in, want := range map[string]string{
		`{"messages":[{"content":"a"}]}`:                                        "field model is missing",
		`{"model":"m","messages":[]}`:                                           "field messages is empty",
		`{"model":"m","messages":[{"content":"a"}],"max_tokens":-1}`:            "field max_tokens is -1",
		`{"model":"m","messages":[{"content":"a"}],"Model":"n"}`:                "field model stands twice",
		`{"model":"m","messages":[{"content":"a"}],"seed":9223372036854775808}`: "cannot unmarshal number",
	} {
		var r encoder.ChatRequest
		require.ErrorContains(t, json.Unmarshal([]byte(in), &r), want, in)
	}
}

func TestHeaderRoundTrip(t *testing.T) {
	load := []encoder.LoadEntry{{
		Upstream: "vavrad-01", Incarnation: math.MaxUint64, Sequence: 9, Work: 5120.5, Queued: 1, AgeMS: 3, UptimeMS: 4, Leaving: true, Version: "å\u007f😀",
	}}
	e := encoder.Envelope{
		RequestID: "r", Organisation: "Kvarnby \"<&>\"", Rank: "urgent", ChatKey: math.MaxUint64, DeadlineMS: 440, Attempt: 2, LastAttempt: true, Preferred: true,
		Mark: 1, Offset: 12, Version: "v1", Service: "bestall", Key: "k\n", ConfigVersion: 412, Load: load,
	}
	got, err := encoder.DecodeHeader[encoder.Envelope](http.Header{"X": {encoder.EncodeHeader(e)}}, "X")
	require.NoError(t, err)
	require.Equal(t, e, got)
	r := encoder.Report{Self: load[0], Load: load}
	report, err := encoder.DecodeHeader[encoder.Report](http.Header{"X": {encoder.EncodeHeader(r)}}, "X")
	require.NoError(t, err)
	require.Equal(t, r, report)
}

// Guards against accepting values from a header that would overflow or would distort the load table.
func TestHeaderRefused(t *testing.T) {
	for in, want := range map[string]string{
		"":                                    "is missing",
		"{":                                   "unexpected end",
		`{"chat_key":"0"}`:                    "field request_id",
		`{"request_id":"r","attempt":-1}`:     "field attempt",
		`{"request_id":"r","offset":-1}`:      "field offset",
		`{"request_id":"r","mark":-1}`:        "field mark",
		`{"request_id":"r","load":[{"w":1}]}`: "out of range",
		`{"request_id":"r","deadline_ms":9223372036854775807}`:          "field deadline_ms",
		`{"request_id":"r","load":[{"u":"x","a":9223372036854775807}]}`: "out of range",
		`{"request_id":"` + strings.Repeat("r", 16<<10) + `"}`:          "want at most 16384",
	} {
		_, err := encoder.DecodeHeader[encoder.Envelope](http.Header{"X": {in}}, "X")
		require.ErrorContains(t, err, want, in)
	}
}

func TestRefusalRoundTrip(t *testing.T) {
	for _, err := range []error{
		judge.Refuse(judge.ReasonLoadBound, "load %d", 1),
		judge.Uncertain(judge.ReasonTimeout, "no answer"),
		&judge.Error{Verdict: judge.Ran, Reason: judge.ReasonInternal, RetryAfter: 250 * time.Millisecond},
	} {
		r := encoder.NewRefusal(err)
		r.Mark, r.NextUpstream = 1, "vavrad-02"
		data, encodeErr := json.Marshal(r)
		require.NoError(t, encodeErr)
		var got encoder.Refusal
		require.NoError(t, json.Unmarshal(data, &got))
		require.Equal(t, r, got)
		require.Equal(t, judge.VerdictOf(err), got.JudgeError().Verdict)
		require.Equal(t, r.Error.RetryAfterMS, got.JudgeError().RetryAfter.Milliseconds())
	}
}

// Guards against forwarding a field that the Connection header names in a list or in a different case.
func TestEndToEnd(t *testing.T) {
	h := http.Header{
		"Connection": {"close, x-first", "X-Second"}, "X-First": {"1"}, "X-Second": {"2"}, "X-Third": {"3"},
		"Te": {"trailers"}, "Clementine-Rank": {"urgent"},
	}
	require.Equal(t, http.Header{"X-Third": {"3"}}, encoder.EndToEnd(h))
}
