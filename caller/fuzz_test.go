package caller_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/caller"
	"clementineramp/configurer"
	"clementineramp/encoder"
	"clementineramp/judge"
)

const (
	fuzzKey      = "key-of-kvarnby"
	fuzzDeadline = 30 * time.Second
)

func fuzzSnapshot() *configurer.Snapshot {
	sum := sha256.Sum256([]byte(fuzzKey))
	return configurer.NewSnapshot(1, configurer.DigestOf(nil), []configurer.Part{{
		Ranks: []configurer.Rank{{Name: "urgent", TargetMS: 440, Worth: 100}, {Name: "batch", TargetMS: 60_000, Worth: 1}, {Name: "closed", TargetMS: 1, Worth: 1}},
		Organisations: []configurer.Organisation{{
			Name: "Kvarnby", KeyHash: hex.EncodeToString(sum[:]), Rank: "urgent", Ranks: []string{"batch"}, Weight: 1,
		}},
	}})
}

// received holds the requests that the edge forwarded.
type received struct {
	chat   *caller.Chat
	order  *caller.Order
	resume *caller.Resume
}

func fuzzEdge(got *received) http.Handler {
	snapshot := fuzzSnapshot()
	return caller.New(caller.Config{
		Limits:   caller.Limits{Deadline: fuzzDeadline, BodyBytes: 1 << 16},
		Snapshot: func() *configurer.Snapshot { return snapshot },
		Chat: func(_ context.Context, c caller.Chat, emit caller.Emit) error {
			got.chat = &c
			return emit(encoder.DoneEvent("a.1.1:1"))
		},
		Resume: func(_ context.Context, r caller.Resume, _ caller.Emit) error {
			got.resume = &r
			return judge.Refuse(judge.ReasonStreamLost, "lost")
		},
		Order: func(_ context.Context, o caller.Order) (caller.Response, error) {
			got.order = &o
			return caller.Response{Status: http.StatusCreated, Header: http.Header{}}, nil
		},
	}).Handler()
}

// Guards against a request header that makes the edge panic, evades its limits, sets a rank or deadline that is not
// permitted, or leaks a secret to a service.
func FuzzHeaders(f *testing.F) {
	bearer := "Bearer " + fuzzKey
	body := `{"model":"m","messages":[{"role":"user","content":"a"}],"priority":-9,"x":1}`
	f.Add(bearer, "batch", "mat-17", "440", "K1", "vavrad-03.9f2c.1a:12", "close, x-a", []byte(body))
	f.Add(bearer, "closed", "", "9223372036854775807", "", "a.1.2:-1", "", []byte(body))
	f.Add(bearer, "", "", "9223372036855", "", "", "", []byte(`{"stream":true,"model":"m","messages":[{}]}`))
	f.Add("bearer x", "urgent", "å", "0", "k\x00", ":", "upgrade", []byte("{"))
	f.Fuzz(func(t *testing.T, authorization, rank, chat, deadline, key, last, connection string, body []byte) {
		header := http.Header{}
		for name, value := range map[string]string{
			"Authorization": authorization, caller.RankHeader: rank, caller.ChatHeader: chat, caller.DeadlineHeader: deadline,
			caller.KeyHeader: key, "Last-Event-Id": last, "Connection": connection, "Cookie": "secret",
		} {
			header.Set(name, value)
		}
		got := &received{}
		edge := fuzzEdge(got)
		for _, target := range []struct{ method, path string }{
			{http.MethodPost, "/v1/chat/completions"},
			{http.MethodGet, "/v1/streams/vavrad-03.9f2c.1a"},
			{http.MethodPost, "/v1/services/bestall/call/orders?a=1"},
		} {
			r := httptest.NewRequest(target.method, target.path, bytes.NewReader(body))
			r.Header = header.Clone()
			w := httptest.NewRecorder()
			edge.ServeHTTP(w, r)
			if w.Code >= http.StatusBadRequest {
				requireRefusal(t, w)
			}
		}
		if authorization != bearer {
			require.Equal(t, &received{}, got, "a request without the key was forwarded")
		}
		requireForwarded(t, got)
	})
}

func requireRefusal(t *testing.T, w *httptest.ResponseRecorder) {
	t.Helper()
	var r encoder.Refusal
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &r), "%s", w.Body)
	require.Equal(t, r.Status(), w.Code)
	require.NotEqual(t, judge.ReasonInternal, r.Error.Code, "%s", w.Body)
}

func requireForwarded(t *testing.T, got *received) {
	t.Helper()
	if c := got.chat; c != nil {
		require.Contains(t, []string{"urgent", "batch"}, c.Rank)
		require.Positive(t, c.Deadline)
		require.LessOrEqual(t, c.Deadline, 2*time.Minute)
		require.LessOrEqual(t, len(c.Chat), 256)
		data, err := json.Marshal(c.Body)
		require.NoError(t, err)
		var engine struct {
			Priority int    `json:"priority"`
			Prefix   string `json:"answer_prefix"`
			Version  string `json:"model_version"`
		}
		require.NoError(t, json.Unmarshal(data, &engine))
		require.Zero(t, engine, "the caller set a field that is reserved for processes of the fleet")
	}
	if o := got.order; o != nil {
		require.Positive(t, o.Deadline)
		require.LessOrEqual(t, len(o.Key), 256)
		require.Equal(t, "/orders?a=1", o.Path)
		for _, name := range []string{"Authorization", "Cookie", "Connection", caller.RankHeader} {
			require.Empty(t, o.Header.Get(name), name)
		}
	}
	if r := got.resume; r != nil {
		require.GreaterOrEqual(t, r.Offset, 0)
	}
}
