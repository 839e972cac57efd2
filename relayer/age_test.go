package relayer_test

import (
	"net"
	"net/rpc"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/placer"
	"clementineramp/registrar"
	"clementineramp/relayer"
)

// merges holds the times by which what peers sent counts.
type merges struct {
	mu    sync.Mutex
	times []time.Time
}

func (m *merges) add(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.times = append(m.times, at)
}

// earliest returns the earliest of the times; zero if there is none.
func (m *merges) earliest() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.times) == 0 {
		return time.Time{}
	}
	return slices.MinFunc(m.times, time.Time.Compare)
}

// newDatedGateway starts a gateway that records by which times it merges what peers send.
func newDatedGateway(t *testing.T, arrived func(time.Time) time.Time, seeds ...string) (*gateway, *merges) {
	m := &merges{}
	g := newGatewayWith(t, true, func(cfg *relayer.Config) {
		cfg.Arrived = arrived
		cfg.State.MergeLoads = func(_ []placer.LoadReport, now time.Time) { m.add(now) }
		cfg.State.MergeHotChats = func(_ []placer.HotChat, now time.Time) { m.add(now) }
		cfg.State.PeerReachedStore = func(_, outageEnd time.Time) { m.add(outageEnd) }
	}, seeds...)
	return g, m
}

// lateGateways replies a while after it has written down the ages of what it knows.
type lateGateways struct {
	mu sync.Mutex
	// written is the time of the first reply.
	written time.Time
}

func (g *lateGateways) Exchange(_ relayer.Request, reply *relayer.Reply) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	*reply = relayer.Reply{Reached: true, HasEra: true, HasEvacuations: true}
	if g.written.IsZero() {
		g.written = time.Now()
	}
	time.Sleep(300 * time.Millisecond)
	return nil
}

// Guards against what a peer knew a while ago and that counts as new because the reply took long or was read late, and so
// replaces what other gateways know better.
func TestAgesInALateReply(t *testing.T) {
	peer := &lateGateways{}
	server := rpc.NewServer()
	require.NoError(t, server.RegisterName("Gateways", peer))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go server.ServeConn(c)
		}
	}()
	g, m := newDatedGateway(t, nil, l.Addr().String())
	g.registry.MergeList(nil, registrar.Position{Revision: 1}, time.Now())
	eventually(t, "no reply is merged", func() bool { return !m.earliest().IsZero() })
	earliest := m.earliest()
	peer.mu.Lock()
	defer peer.mu.Unlock()
	require.False(t, earliest.After(peer.written), "the ages count from %v after the reply was written", earliest.Sub(peer.written))
}

// Guards against what a peer knew before a pause of this process and that counts as new because the request waited.
func TestAgesInARequestThatWaited(t *testing.T) {
	before := time.Now().Add(-5 * time.Second)
	g, m := newDatedGateway(t, func(time.Time) time.Time { return before })
	client, err := rpc.Dial("tcp", g.address)
	require.NoError(t, err)
	defer client.Close()
	require.NoError(t, client.Call("Gateways.Exchange", relayer.Request{From: "127.0.0.1:1", WithLoads: true, HasEra: true}, &relayer.Reply{}))
	require.Equal(t, before, m.earliest())
}
