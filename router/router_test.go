package router_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"clementineramp/configurer"
	"clementineramp/limiter"
	"clementineramp/router"
)

// Guards against a router that reports itself ready to the load balancer before it has a list of hosts.
func TestReadyNeedsHosts(t *testing.T) {
	known := false
	retries, err := limiter.NewRetryBudget(limiter.RetryConfig{Ratio: 0.1})
	require.NoError(t, err)
	r, err := router.New(router.Config{
		Name: "router-1", SharedKey: "a-shared-key-of-tests", Retries: retries, Log: hclog.NewNullLogger(),
		Snapshot:      func() *configurer.Snapshot { return configurer.NewSnapshot(1, "", nil) },
		HostsReceived: func() bool { return known },
	})
	require.NoError(t, err)
	ready := func() int {
		w := httptest.NewRecorder()
		r.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/ready", nil))
		return w.Code
	}
	require.Equal(t, http.StatusServiceUnavailable, ready())
	known = true
	require.Equal(t, http.StatusOK, ready())
}
