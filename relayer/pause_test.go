package relayer_test

import (
	"context"
	"net"
	"net/rpc"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/logger"
	"clementineramp/platform/imitator"
	"clementineramp/relayer"
)

// pausingGateways is a peer in whose first exchange the process pauses.
type pausingGateways struct {
	once  sync.Once
	pause time.Duration
}

// Exchange replies with an empty state.
func (g *pausingGateways) Exchange(_ relayer.Request, _ *relayer.Reply) error {
	g.once.Do(func() { imitator.Pause(1, g.pause, 0, nil) })
	return nil
}

// Guards against taking the loss of a kept connection for the loss of the peer: the connections of 20 gateways were reset on
// one day, and gateways found peers lost 304 times.
func TestBrokenConnectionIsNoLostPeer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	s := rpc.NewServer()
	require.NoError(t, s.RegisterName("Gateways", &pausingGateways{}))
	var accepted atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go s.ServeConn(c)
			if accepted.Load() <= 2 {
				time.AfterFunc(time.Second, func() { _ = c.Close() })
			}
		}
	}()
	var log imitator.Log
	newGatewayWith(t, true, func(cfg *relayer.Config) { cfg.Log = logger.New(logger.Config{Output: &log}) }, l.Addr().String())
	eventually(t, "the gateway does not connect again", func() bool { return accepted.Load() >= 3 })
	require.NotContains(t, log.String(), "peer_lost")
}

// servePeer serves a peer and returns its address.
func servePeer(t *testing.T, g *pausingGateways) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := rpc.NewServer()
	require.NoError(t, s.RegisterName("Gateways", g))
	go s.Accept(l)
	return l.Addr().String()
}

// Guards against taking a pause of this process for the loss of a peer: what has arrived is read first.
func TestPauseOfThisProcessLosesNoPeer(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for name, c := range map[string]struct{ exchange, dial time.Duration }{
		"in an exchange": {exchange: 1200 * time.Millisecond}, "in a dial": {dial: 450 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			var log imitator.Log
			var once sync.Once
			g := newGatewayWith(t, true, func(cfg *relayer.Config) {
				cfg.Log = logger.New(logger.Config{Output: &log})
				cfg.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
					once.Do(func() { imitator.Pause(1, c.dial, 0, nil) })
					return (&net.Dialer{}).DialContext(ctx, network, address)
				}
			}, servePeer(t, &pausingGateways{pause: c.exchange}))
			eventually(t, "the peer is not found", func() bool { return g.relayer.Gateways() == 2 })
			require.NotContains(t, log.String(), "peer_lost")
		})
	}
}

// Guards against a peer that does not reply and is awaited without a bound.
func TestSilentPeerIsLost(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // It accepts connections and replies nothing.
	require.NoError(t, err)
	defer l.Close()
	var log imitator.Log
	newGatewayWith(t, true, func(cfg *relayer.Config) { cfg.Log = logger.New(logger.Config{Output: &log}) }, l.Addr().String())
	eventually(t, "the silent peer is not lost", func() bool { return len(log.String()) > 0 })
	require.Contains(t, log.String(), "event=peer_lost")
}
