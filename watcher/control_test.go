package watcher_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"clementineramp/encoder"
	"clementineramp/limiter"
	"clementineramp/standin"
	"clementineramp/subscriber"
	"clementineramp/watcher"
)

// Guards against a control budget that counts one direction only, has no metrics or does not limit piggybacked entries.
func TestControlBudget(t *testing.T) {
	now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	budget, err := limiter.NewControlBudget(limiter.ControlConfig{BytesPerSecond: 1000, Burst: time.Second})
	require.NoError(t, err)
	registry := metrics.NewRegistry()
	p := standin.NewPlatform()
	p.SetHosts([]subscriber.Host{{
		Name: "engine-1", Address: "127.0.0.1:1", Domain: "d", Role: subscriber.RoleAgent, Upstream: "pool", State: subscriber.StateLive,
	}})
	server, err := standin.Start("", p.Handler())
	require.NoError(t, err)
	defer server.Kill()
	w, err := watcher.New(watcher.Config{
		Self: subscriber.Host{Name: "router-1"}, SharedKey: "0123456789abcdef",
		Platform: subscriber.New(subscriber.Config{Addresses: []string{server.Address()}}),
		Budget:   budget, Metrics: registry, Log: hclog.NewNullLogger(), Now: func() time.Time { return now },
	})
	require.NoError(t, err)
	control, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- w.Run(ctx, control) }()
	require.Eventually(t, func() bool { return len(w.View("pool")) == 1 }, 10*time.Second, time.Millisecond)
	cancel()
	require.NoError(t, <-done)

	w.Merge([]encoder.LoadEntry{{Upstream: "engine-1", Incarnation: 1, Sequence: 1, Work: 10, UptimeMS: 5}})
	require.Len(t, w.Freshest(""), 1)
	w.CountControl(700, 300)
	require.Empty(t, w.Freshest(""), "the budget leaves no load entries")
	require.Equal(t, []int64{700, 300, 1}, []int64{
		gauge(registry, "control_bytes_sent"), gauge(registry, "control_bytes_received"), gauge(registry, "control_skipped"),
	})
	now = now.Add(time.Second)
	require.Len(t, w.Freshest(""), 1)
}

func gauge(r metrics.Registry, name string) int64 {
	return r.Get(name).(metrics.Gauge).Value()
}
