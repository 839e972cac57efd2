package connector_test

import (
	"context"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/connector"
	"clementineramp/platform/imitator"
)

// Guards against taking a pause of this process for an upstream that accepts no connections.
func TestPauseOfThisProcessFailsNoDial(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	p := connector.New(connector.Config{
		DialTimeout: 100 * time.Millisecond,
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			imitator.Pause(1, 200*time.Millisecond, 0, nil)
			return (&net.Dialer{}).DialContext(ctx, network, address)
		},
	})
	require.NoError(t, p.Connect(t.Context(), connector.Target{Upstream: "u", Address: l.Addr().String()}))
}

func TestDialTimeout(t *testing.T) {
	p := connector.New(connector.Config{
		DialTimeout: 50 * time.Millisecond,
		Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		},
	})
	start := time.Now()
	require.ErrorContains(t, p.Connect(t.Context(), connector.Target{Upstream: "u", Address: "a:1"}), "dial timeout")
	require.Less(t, time.Since(start), time.Second)
}
