package gatekeeper_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"clementineramp/platform/imitator"
)

const (
	firstConfiguration = `{"Version":1,"Services":[{"Name":"s"}],"Tenants":[{"Name":"o","ApiKeys":["key","old"]}],
 "Routes":[{"Name":"a","Host":"h","PathPrefix":"/a/","Kind":"non_idempotent","TimeoutMs":20000,"Service":"s"}]}`
	// A version that takes away a key, adds a route and sets numbers of another one to the largest integers.
	largeNumbers = `{"Version":1796601600000000000,"Services":[{"Name":"s","ConnectionLimit":2147483647}],"Tenants":[{"Name":"o","ApiKeys":["key"]}],
 "Routes":[{"Name":"a","Host":"h","PathPrefix":"/a/","Kind":"non_idempotent","TimeoutMs":2147483647,"MaxAttempts":2147483647,"Service":"s"},
  {"Name":"b","Host":"h","PathPrefix":"/b/","Kind":"non_idempotent","TimeoutMs":20000.0,"TrafficSplit":[{"Service":"s","Weight":9e18}]}]}`
	unknownKind = `{"Version":1796601600000000001,"Routes":[{"Name":"a","Host":"h","PathPrefix":"/c/","Kind":"unknown","Service":"s"}]}`
)

// Guards against a version that never comes into force because a number in it is larger than any use, so that a key that it takes
// away is accepted and a route that it adds is refused for good.
func TestConfigurationWithLargeNumbers(t *testing.T) {
	f := newFleet(t)
	with := func(key, path string) int {
		req, err := http.NewRequest(http.MethodGet, "http://"+f.settings.Listen.String()+path, nil)
		require.NoError(t, err)
		req.Host = "h"
		req.Header.Set(imitator.HeaderKey, key)
		req.Header.Set(imitator.HeaderAttempt, "attempt-1")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	f.store.Put("op/config", []byte(firstConfiguration))
	f.upstream("u", nil)
	f.eventually("the old key is not served", func() bool { return with("old", "/a/") == 200 })

	f.store.Put("op/config", []byte(largeNumbers))
	f.eventually("the added route is not served", func() bool { return with("key", "/b/") == 200 })
	require.Equal(t, 200, with("key", "/a/"))
	f.eventually("the key that was taken away is not refused", func() bool { return with("old", "/a/") == 401 })

	// The next version cannot be used: what it may allow is refused for a time only.
	f.store.Put("op/config", []byte(unknownKind))
	f.eventually("the version is not refused", func() bool { return f.logged("event=configuration_refused") })
	require.Equal(t, 503, with("key", "/c/"))
	require.Equal(t, 503, with("new", "/a/"))
	require.Equal(t, 200, with("key", "/a/"))
	f.metric("gauge configuration_superseded", "1")
}
