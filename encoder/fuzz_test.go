package encoder_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/encoder"
	"clementineramp/judge"
)

// knownFields are the fields that ChatRequest decodes; all other fields of a caller must be preserved.
var knownFields = []string{
	"model", "messages", "stream", "max_tokens", "seed", "priority", "request_id", "model_version", "answer_prefix",
}

func isKnownField(name string) bool {
	for _, known := range knownFields {
		if strings.EqualFold(known, name) {
			return true
		}
	}
	return false
}

// Guards against a request that changes when it is decoded and encoded again, against the loss of a caller's unknown
// field, and against a known field that keeps the caller's value after the router has cleared it.
func FuzzChatRequest(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","messages":[{"role":"user","content":"hi"}]}`,
		`{"model":"m","messages":[{"role":"user","content":"hi","name":"x"}],"stream":true,"max_tokens":4,"seed":0,"temperature":0.5}`,
		`{"model":"m","messages":[{"role":"user","content":"hi"}],"priority":-5,"answer_prefix":"a","request_id":"r","model_version":"v"}`,
		`{"Model":"m","MESSAGES":[{"role":"user","content":"hi"}],"Priority":-5,"Temperature":1e2}`,
		`{"model":"m","messages":[{"role":"a"}],"messages":[{"content":"b"}],"Messages":[{"role":"c"}]}`,
		`{"model":"m","messages":[{"content":"\ud800"}],"tools":[{"type":"function","n":1e400}],"max_tokens":-1}`,
		`{"model":"m","messages":[{"content":"a"}],"\u017feed":3}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var r encoder.ChatRequest
		if json.Unmarshal(data, &r) != nil {
			return
		}
		first, err := json.Marshal(r)
		require.NoError(t, err)
		var again encoder.ChatRequest
		require.NoError(t, json.Unmarshal(first, &again), "%s", first)
		require.Equal(t, r.Fingerprint("o"), again.Fingerprint("o"))
		second, err := json.Marshal(again)
		require.NoError(t, err)
		require.Equal(t, string(first), string(second))

		var sent, kept map[string]any
		decodeNumbers(t, data, &sent)
		decodeNumbers(t, first, &kept)
		for name, value := range sent {
			if !isKnownField(name) {
				require.Equal(t, value, kept[name], "field %q", name)
			}
		}
		requireCleared(t, r)
	})
}

// requireCleared checks that the fields that the router clears are absent from the encoded request.
func requireCleared(t *testing.T, r encoder.ChatRequest) {
	t.Helper()
	r.Prefix, r.RequestID, r.Version, r.Priority = "", "", "", 0
	data, err := json.Marshal(r)
	require.NoError(t, err)
	var cleared encoder.ChatRequest
	require.NoError(t, json.Unmarshal(data, &cleared))
	require.Empty(t, cleared.Prefix+cleared.RequestID+cleared.Version)
	require.Zero(t, cleared.Priority)
}

// decodeNumbers decodes JSON and keeps numbers as text, so that they are compared without rounding.
func decodeNumbers(t *testing.T, data []byte, out any) {
	t.Helper()
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	require.NoError(t, d.Decode(out))
}

// Guards against an answer that decodes differently after it was recorded and written again.
func FuzzEventStream(f *testing.F) {
	for _, seed := range []string{
		"id: a.1.2:1\ndata: {\"choices\":[{\"delta\":{\"role\":\"assistant\",\"content\":\"hi\"}}]}\n\ndata: [DONE]\n\n",
		"data: {}\n\nevent: error\ndata: {\"error\":{\"message\":\"m\",\"code\":\"timeout\",\"verdict\":\"may_have_run\"}}\n\n",
		": ping\n\ndata: {\ndata: }\r\n\r\nid\ndata: null\n\ndata:[DONE]",
		"id: a\x00b\ndata: {}\n\nretry: 5\ndata: {}\n\n",
		"event: error\ndata: x\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		events, err := readAll(data)
		if len(data) > 1<<16 {
			return
		}
		first := writeAll(t, events, err)
		again, againErr := readAll(first)
		require.Equal(t, events, again)
		require.Equal(t, err == nil, againErr == nil)
		require.Equal(t, string(first), string(writeAll(t, again, againErr)))
	})
}

func readAll(data []byte) (events []encoder.Event, err error) {
	err = encoder.ReadEvents(bytes.NewReader(data), func(ev encoder.Event) error {
		events = append(events, ev)
		return nil
	})
	return events, err
}

func writeAll(t *testing.T, events []encoder.Event, err error) []byte {
	t.Helper()
	var b bytes.Buffer
	for _, ev := range events {
		require.NoError(t, encoder.WriteEvent(&b, ev))
	}
	var eventErr *encoder.EventError
	if errors.As(err, &eventErr) {
		require.NoError(t, encoder.WriteErrorEvent(&b, eventErr.Refusal))
	}
	return b.Bytes()
}

func FuzzStreamID(f *testing.F) {
	for _, seed := range []string{"vavrad-03.9f2c.1a", "a.b.0.ffffffffffffffff", "..1.2", "a.1", "a.0001.0A", "a.-1.2", ":.1.2"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, s string) {
		id, err := encoder.ParseStreamID(s)
		if err != nil {
			return
		}
		again, err := encoder.ParseStreamID(id.String())
		require.NoError(t, err)
		require.Equal(t, id, again)
	})
}

func FuzzEventID(f *testing.F) {
	for _, seed := range []string{"vavrad-03.9f2c.1a:12", "a.1.2:-1", "a.1.2:+7", "a:b.1.2:0", "a.1.2", "a.1.2:99999999999999999999"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, s string) {
		id, offset, err := encoder.ParseEventID(s)
		if err != nil {
			return
		}
		require.GreaterOrEqual(t, offset, 0)
		again, offsetAgain, err := encoder.ParseEventID(encoder.EventID(id.String(), offset))
		require.NoError(t, err)
		require.Equal(t, id, again)
		require.Equal(t, offset, offsetAgain)
	})
}

// Guards against a header that the HTTP library refuses to send, or that the next process decodes differently.
func FuzzEnvelope(f *testing.F) {
	for _, seed := range []string{
		`{"request_id":"r","organisation":"Kvarnby å","rank":"urgent","chat_key":"18446744073709551615","deadline_ms":1,"attempt":0}`,
		`{"request_id":"r\u007f\u2028\ud83d\ude00","chat_key":"0","load":[{"u":"x","i":"1","q":1,"w":1.5,"a":0,"t":0}]}`,
		`{"request_id":"r","offset":-1}`, `{"request_id":"r","key":"<&>\\\"\n","load":[{"u":"","i":"0"}]}`,
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		fuzzHeader(t, text, encoder.DecodeHeader[encoder.Envelope], encoder.EncodeHeader[encoder.Envelope])
	})
}

func FuzzReport(f *testing.F) {
	for _, seed := range []string{
		`{"self":{"u":"vavrad-01","i":"4611686018427387904","q":7,"w":5120,"b":640,"a":3,"t":86400000,"v":"2026-12-01"}}`,
		`{"self":{"u":"a","i":"1","q":1,"w":0,"a":0,"t":0,"l":true},"load":[{"u":"b\u007f","i":"2","q":1,"w":1e300,"a":1,"t":1}]}`,
		`{"self":{"u":"a","w":-1}}`, `{}`,
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		fuzzHeader(t, text, encoder.DecodeHeader[encoder.Report], encoder.EncodeHeader[encoder.Report])
	})
}

// maxFuzzHeader keeps an encoded header below the limit of DecodeHeader even if every byte is escaped.
const maxFuzzHeader = 2 << 10

func fuzzHeader[T any](t *testing.T, text string, decode func(http.Header, string) (T, error), encode func(T) string) {
	t.Helper()
	if len(text) > maxFuzzHeader {
		return
	}
	const name = "X"
	v, err := decode(http.Header{name: {text}}, name)
	if err != nil {
		return
	}
	first := encode(v)
	for _, c := range []byte(first) {
		require.True(t, c >= ' ' && c <= '~', "byte %#x in header %q", c, first)
	}
	again, err := decode(http.Header{name: {first}}, name)
	require.NoError(t, err)
	// Encoding leaves out an empty list of entries, so values are compared only after one round trip.
	second := encode(again)
	require.Equal(t, first, second)
	third, err := decode(http.Header{name: {second}}, name)
	require.NoError(t, err)
	require.Equal(t, again, third)
}

func FuzzRefusal(f *testing.F) {
	for _, seed := range []string{
		`{"error":{"message":"m","type":"t","code":"load_bound","verdict":"not_run","retry_after_ms":250},"mark":1,"try":"vavrad-02"}`,
		`{"error":{"verdict":"maybe"}}`, `{}`, `{"error":{"code":"\ud800","retry_after_ms":9223372036854775807}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var r encoder.Refusal
		if json.Unmarshal(data, &r) != nil {
			return
		}
		first, err := json.Marshal(r)
		require.NoError(t, err)
		var again encoder.Refusal
		require.NoError(t, json.Unmarshal(first, &again))
		require.Equal(t, r, again)
		require.GreaterOrEqual(t, r.Status(), 400)
		if !bytes.Contains(data, []byte("not_run")) {
			require.NotEqual(t, judge.NotRun, r.JudgeError().Verdict, "a missing verdict must not claim that nothing ran")
		}
		require.GreaterOrEqual(t, r.JudgeError().RetryAfter, time.Duration(0))
	})
}
