package relayer_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/netip"
	"net/rpc"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"clementineramp/appraiser"
	"clementineramp/blocker"
	"clementineramp/follower"
	"clementineramp/mapper"
	"clementineramp/placer"
	"clementineramp/platform"
	"clementineramp/platform/imitator"
	"clementineramp/registrar"
	"clementineramp/relayer"
)

// gateway is one gateway's state and its relayer.
type gateway struct {
	address  string
	registry *registrar.Registry
	follower *follower.Follower
	crashes  *blocker.Blocker
	placer   *placer.Placer
	relayer  *relayer.Relayer
	// reached is what the gateway reports about its connection to the store.
	reached bool
}

// newGateway starts a gateway with the given seeds.
func newGateway(t *testing.T, reached bool, seeds ...string) *gateway {
	t.Helper()
	return newGatewayWith(t, reached, func(*relayer.Config) {}, seeds...)
}

// newGatewayWith starts a gateway whose configuration adjust changes.
func newGatewayWith(t *testing.T, reached bool, adjust func(*relayer.Config), seeds ...string) *gateway {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := &gateway{address: l.Addr().String(), registry: registrar.New(registrar.Config{}), crashes: blocker.New(), reached: reached}
	g.follower = follower.New(follower.Config{
		Registry: g.registry, Log: hclog.NewNullLogger(),
		Decode: func(data []byte) (*mapper.Table, error) {
			return (&mapper.Table{Version: uint64(data[0])}).Build(), nil
		},
	})
	g.placer = placer.New(placer.Config{
		View: g.registry.View, Health: func(string, time.Time) appraiser.Health { return appraiser.Good },
	})
	cfg := relayer.Config{
		Address: g.address, Seeds: seeds, Readers: 2, Log: hclog.NewNullLogger(),
		State: relayer.State{
			Document: g.follower.Document, Confirmed: func() time.Time { return g.follower.Current().Confirmed },
			Reached: func() bool { return g.reached }, Adopt: g.follower.Adopt, Confirm: g.follower.Confirm,
			PeerReachedStore: g.follower.PeerReachedStore, Registry: g.registry, Crashes: g.crashes, Loads: g.placer.Reports, MergeLoads: g.placer.Merge, HighLoads: g.placer.HighReports,
			HotChats: g.placer.HotChats, MergeHotChats: g.placer.MergeHotChats,
			Health: appraiser.New(appraiser.Config{}),
		},
	}
	adjust(&cfg)
	g.relayer = relayer.New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { _ = g.relayer.Serve(l); done <- struct{}{} }()
	go func() { g.relayer.Run(ctx); done <- struct{}{} }()
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
		<-done
		<-done
	})
	return g
}

// waitTimeout bounds the wait for an expected condition; gateways exchange state about three times a second.
const waitTimeout = 20 * time.Second

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	require.Eventually(t, ok, waitTimeout, 10*time.Millisecond, what)
}

func TestStateReachesGatewaysRefusedByTheStore(t *testing.T) {
	a := newGateway(t, true)
	b := newGateway(t, false, a.address)
	c := newGateway(t, false, b.address, "127.0.0.1:1")

	data := append([]byte{7}, bytes.Repeat([]byte("route "), 100_000)...)
	a.follower.Adopt(platform.Document{Revision: 10, Data: data}, time.Now(), "store")
	a.registry.MergeList([]registrar.Record{{ID: "u", Revision: 9, Upstream: registrar.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:1"}}}, registrar.Position{Revision: 10}, time.Now())
	for _, g := range []*gateway{b, c} {
		eventually(t, "a gateway is not ready", func() bool { return g.follower.Ready() })
		require.Equal(t, data, g.follower.Document().Data)
		require.Len(t, g.registry.View().ByService["s"], 1)
	}
	a.registry.MergeChanges([]registrar.Record{{ID: "u", Revision: 11, Removed: true}}, registrar.Position{Revision: 10}, registrar.Position{Revision: 11}, time.Now())
	a.relayer.NotifyPeers()
	for _, g := range []*gateway{b, c} {
		eventually(t, "a gateway still lists the removed upstream", func() bool { return len(g.registry.View().ByService["s"]) == 0 })
	}
	for _, g := range []*gateway{a, b, c} {
		eventually(t, "a gateway does not count all three gateways", func() bool { return g.relayer.Gateways() == 3 })
	}
	eventually(t, "the gateways do not agree on who reads the store", func() bool {
		readers := 0
		for _, g := range []*gateway{a, b, c} {
			if g.relayer.Reader() {
				readers++
			}
		}
		return readers == 2
	})
}

func TestCrashesAndLoadsAreExchanged(t *testing.T) {
	a := newGateway(t, true)
	b := newGateway(t, true, a.address)
	f := blocker.FingerprintOf("POST", "/", "", nil)
	a.crashes.RecordCrash(f, "u1", time.Now())
	a.crashes.RecordCrash(f, "u2", time.Now())
	b.crashes.RecordCrash(f, "u3", time.Now())
	for _, g := range []*gateway{a, b} {
		eventually(t, "a gateway did not receive the crash reports", func() bool { return g.crashes.BlockedFor(f, time.Now()) > 0 })
	}
	upstreams := []registrar.Record{{ID: "u1", Revision: 1, Upstream: registrar.Upstream{ID: "u1", Service: "s", Address: "10.0.0.1:1"}}}
	a.registry.MergeList(upstreams, registrar.Position{Revision: 1}, time.Now())
	eventually(t, "the load did not reach the other gateway", func() bool {
		a.placer.RecordLoad("u1", placer.Load{Running: 5}, time.Now())
		return len(b.placer.Reports(time.Now())) == 1
	})
}

func TestReadersHaveFastestLinks(t *testing.T) {
	peer := func(address string, link float64) relayer.Peer { return relayer.Peer{Address: address, Link: link} }
	for _, c := range []struct {
		name    string
		members []relayer.Peer
		want    []string
	}{
		{"single gateway", []relayer.Peer{peer("a", 10)}, []string{"a"}},
		{"fast links first", []relayer.Peer{peer("a", 10), peer("b", 200), peer("c", 10), peer("d", 200)}, []string{"b", "d"}},
		{"spread over failure domains", []relayer.Peer{
			{Address: "a", Link: 200, FailureDomain: "x"}, {Address: "b", Link: 150, FailureDomain: "x"}, {Address: "c", Link: 100, FailureDomain: "y"},
		}, []string{"a", "c"}},
		{"slow links of another failure domain", []relayer.Peer{
			{Address: "a", Link: 200, FailureDomain: "x"}, {Address: "b", Link: 200, FailureDomain: "x"}, {Address: "c", Link: 20, FailureDomain: "y"},
		}, []string{"a", "b"}},
		{"one fast link", []relayer.Peer{peer("a", 10), peer("b", 0), peer("c", 200)}, []string{"c", "a"}},
	} {
		require.ElementsMatch(t, c.want, relayer.Readers(c.members, 2), c.name)
	}
	equal := []relayer.Peer{peer("a", 10), peer("b", 10), peer("c", 10)}
	rotated := []relayer.Peer{equal[2], equal[0], equal[1]}
	require.Equal(t, relayer.Readers(equal, 2), relayer.Readers(rotated, 2), "the readers depend on the order of the members")
}

// Guards against an address among the seeds that belongs to somebody else by now, and against peers that send nonsense:
// the exchange with sound peers goes on, and connections with nonsense are closed.
func TestStrangersAmongPeers(t *testing.T) {
	var seeds []string
	for _, kind := range []string{"head", "no HTTP", "body"} {
		h := &imitator.Hostile{Kind: kind}
		require.NoError(t, h.Start())
		t.Cleanup(h.Close)
		seeds = append(seeds, h.Address())
	}
	a := newGateway(t, true)
	b := newGateway(t, false, append(seeds, a.address)...)
	for _, text := range []string{"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "\xff\xff\xff\xff\xff\xff\xff\xff", "\x07\xff\x82\x01\x01", strings.Repeat("\x00", 100)} {
		c, err := net.Dial("tcp", a.address)
		require.NoError(t, err)
		_, err = io.WriteString(c, text)
		require.NoError(t, err)
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, c) // It ends when the gateway has closed the connection.
		_ = c.Close()
	}
	a.follower.Adopt(platform.Document{Revision: 10, Data: []byte{1}}, time.Now(), "store")
	a.registry.MergeList(nil, registrar.Position{Revision: 10}, time.Now())
	eventually(t, "the configuration did not reach the gateway", func() bool { return b.follower.Ready() })
}

// Guards against a message that announces or has more bytes than an exchange can need.
func TestMessageWithoutEnd(t *testing.T) {
	a := newGateway(t, true)
	c, err := net.Dial("tcp", a.address)
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Write([]byte{0xfc, 0x3f, 0xff, 0xff, 0xff}) // A message of 1 GB follows.
	require.NoError(t, err)
	sent := 0
	block := make([]byte, 64<<10)
	for err == nil && sent < 64<<20 {
		var n int
		n, err = c.Write(block)
		sent += n
	}
	require.Error(t, err, "the gateway reads a message of %d bytes", sent)
}

// Guards against malformed columns in a message of a peer of another version, or in trouble.
func TestMalformedColumns(t *testing.T) {
	a := newGateway(t, true)
	a.registry.MergeList([]registrar.Record{{ID: "u1", Revision: 1, Upstream: registrar.Upstream{ID: "u1", Service: "s", Address: "10.0.0.1:1"}}}, registrar.Position{Revision: 1}, time.Now())
	client, err := rpc.Dial("tcp", a.address)
	require.NoError(t, err)
	defer client.Close()
	address := netip.MustParseAddrPort("10.0.0.9:1")
	for name, req := range map[string]relayer.Request{
		"loads":            {WithLoads: true, LoadColumns: relayer.Loads{Upstreams: []uint32{1, 2}, Counts: []byte{1}}},
		"hot chats":        {HotChats: relayer.HotChats{Chats: []uint32{1, 2}, Ages: []byte{1}}},
		"peers":            {OtherPeers: relayer.PeerList{Addresses: []netip.AddrPort{address}}},
		"domain of a peer": {OtherPeers: relayer.PeerList{Addresses: []netip.AddrPort{address}, Domains: []byte{3}, AgesMS: []uint32{1}, Links: []float64{1}, Saturated: []bool{false}}},
		"address":          {From: "nonsense"},
	} {
		var reply relayer.Reply
		require.NoError(t, client.Call("Gateways.Exchange", req, &reply), name)
	}
	require.Equal(t, 1, a.relayer.Gateways())
	require.Empty(t, a.placer.Reports(time.Now()))
	require.Empty(t, a.placer.HotChats(time.Now()))
}
