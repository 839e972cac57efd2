package caller_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"clementineramp/caller"
	"clementineramp/configurer"
	"clementineramp/encoder"
	"clementineramp/judge"
)

const apiKey = "a-key-of-the-tests"

func snapshot() *configurer.Snapshot {
	sum := sha256.Sum256([]byte(apiKey))
	return configurer.NewSnapshot(1, "", []configurer.Part{{
		Ranks:         []configurer.Rank{{Name: "urgent", TargetMS: 440}},
		Organisations: []configurer.Organisation{{Name: "o", KeyHash: hex.EncodeToString(sum[:]), Rank: "urgent"}},
	}})
}

func refusal(t *testing.T, w *httptest.ResponseRecorder) encoder.RefusalError {
	var r encoder.Refusal
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &r), w.Body.String())
	return r.Error
}

// Guards against a router that refuses the retry of an order with the verdict "not run" although the order has run. Only
// the agent that owns the key keeps its history.
func TestOnlyOwnerReportsKeyedOrderNotRun(t *testing.T) {
	refuse := judge.Refuse(judge.ReasonNotReady, "no configuration")
	tests := []struct {
		name     string
		key      string
		snapshot *configurer.Snapshot
		bearer   string
		order    error
		want     judge.Verdict
	}{
		{"router without a configuration, keyed", "k", nil, apiKey, nil, judge.MayHaveRun},
		{"router without a configuration, no key", "", nil, apiKey, nil, judge.NotRun},
		{"unknown caller, keyed", "k", snapshot(), "x", nil, judge.MayHaveRun},
		{"router refuses, keyed", "k", snapshot(), apiKey, refuse, judge.MayHaveRun},
		{"router refuses, no key", "", snapshot(), apiKey, refuse, judge.NotRun},
		{"owner refuses, keyed", "k", snapshot(), apiKey, &caller.OwnerError{Err: refuse}, judge.NotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := caller.New(caller.Config{
				Snapshot: func() *configurer.Snapshot { return tt.snapshot },
				Order: func(context.Context, caller.Order) (caller.Response, error) {
					return caller.Response{Status: http.StatusCreated}, tt.order
				},
			})
			r := httptest.NewRequest(http.MethodPost, "/v1/services/s/call/orders", strings.NewReader("x"))
			r.Header.Set("Authorization", "Bearer "+tt.bearer)
			if tt.key != "" {
				r.Header.Set(caller.KeyHeader, tt.key)
			}
			w := httptest.NewRecorder()
			e.Handler().ServeHTTP(w, r)
			require.Equal(t, tt.want, refusal(t, w).Verdict)
		})
	}
}

// Guards against a path or header that is changed on its way from the caller to the service, apart from the headers that
// must not reach the service.
func TestOrderIsForwardedUnchanged(t *testing.T) {
	var got caller.Order
	e := caller.New(caller.Config{
		Snapshot: snapshot,
		Order: func(_ context.Context, o caller.Order) (caller.Response, error) {
			got = o
			return caller.Response{Status: http.StatusTeapot, Header: http.Header{"X-Order": {"7"}}, Body: []byte("body")}, nil
		},
	})
	r := httptest.NewRequest(http.MethodPut, "/v1/services/s/call/a%2Fb/call/c?x=1&y=%20", strings.NewReader("x"))
	r.Header.Set("Authorization", "Bearer "+apiKey)
	r.Header.Set("X-Caller", "c")
	r.Header.Set("Clementine-Rank", "urgent")
	w := httptest.NewRecorder()
	e.Handler().ServeHTTP(w, r)
	require.Equal(t, http.StatusTeapot, w.Code)
	require.Equal(t, "7", w.Header().Get("X-Order"))
	require.Equal(t, "body", w.Body.String())
	require.Equal(t, "/a%2Fb/call/c?x=1&y=%20", got.Path)
	require.Equal(t, "c", got.Header.Get("X-Caller"))
	require.Empty(t, got.Header.Get("Authorization"), "the organisation's key must not reach the service")
	require.Empty(t, got.Header.Get("Clementine-Rank"))
}
