package relayer_test

import (
	"bytes"
	"compress/gzip"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/platform"
	"clementineramp/registrar"
	"clementineramp/relayer"
)

// at returns a position in an era.
func at(era, revision uint64) registrar.Position {
	return registrar.Position{Era: era, Revision: revision}
}

func upstreamRecord(id string, revision uint64) registrar.Record {
	return registrar.Record{ID: id, Revision: revision, Upstream: registrar.Upstream{ID: id, Service: "s", Address: "10.0.0.1:1", Born: 1}}
}

// knowing returns the number of gateways whose list is at a position and that have the version in force.
func (f *fleet) knowing(p registrar.Position, version uint64) (n int) {
	for _, node := range f.nodes {
		if node.registry.Position() == p && node.follower.Document().Version == version {
			n++
		}
	}
	return n
}

// Guards against a fleet in which gateways that hold the list of the era before keep it, or pass it on, because its revisions
// are higher; against an older configuration that spreads with the list of the copy; and against one that takes longer than
// a change may to be known everywhere.
func TestRestoreIsKnownInLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 100, 5, 90)
		time.Sleep(10 * time.Second)
		reader := f.nodes[7]
		require.True(t, reader.follower.Adopt(platform.Document{Revision: 20, Data: []byte{13}}, time.Now(), "store"))
		reader.relayer.NotifyPeers()
		time.Sleep(2 * time.Second)
		require.Equal(t, 100, f.knowing(at(0, 1), 13))

		restored := append([]registrar.Record{upstreamRecord("new", 17)}, listed(reader)[1:]...)
		reader.registry.MergeList(restored, at(2, 17), time.Now())
		require.False(t, reader.follower.Adopt(platform.Document{Era: 2, Revision: 17, Data: []byte{6}}, time.Now(), "store"))
		reader.relayer.NotifyPeers()
		start := time.Now()
		for f.knowing(at(2, 17), 13) < len(f.nodes) {
			require.Less(t, time.Since(start), 2*time.Second, "%d of 100 gateways know", f.knowing(at(2, 17), 13))
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("all gateways know of the restore after %v", time.Since(start))
		for _, n := range f.nodes {
			require.Len(t, n.registry.View().ByService["s"], 91, "an upstream that the copy lacks stays in use")
		}

		reader.registry.MergeChanges([]registrar.Record{{ID: "new", Revision: 19, Removed: true}}, at(2, 17), at(2, 20), time.Now().Add(time.Minute))
		require.True(t, reader.follower.Adopt(platform.Document{Era: 2, Revision: 20, Data: []byte{16}}, time.Now(), "store"), "the revision is given out again")
		reader.relayer.NotifyPeers()
		time.Sleep(2 * time.Second)
		require.Equal(t, 100, f.knowing(at(2, 20), 16))
		for _, n := range f.nodes {
			n.registry.Refresh(time.Now().Add(time.Minute))
			require.Len(t, n.registry.View().ByService["s"], 89)
		}
	})
}

// listed returns the records of a gateway's list.
func listed(n *node) []registrar.Record {
	records, _, _ := n.registry.RecordsSince(registrar.Position{})
	return records
}

// Guards against a gateway that was cut off during a restore of the store and passes on the list of the era before.
func TestGatewayThatMissedTheRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6, 1, 3)
		time.Sleep(5 * time.Second)
		old := f.nodes[0]
		f.mu.Lock()
		f.cut = func(a, b string) bool { return a == old.address || b == old.address }
		for _, c := range f.conns {
			_ = c.Close()
		}
		f.mu.Unlock()
		old.registry.MergeChanges([]registrar.Record{upstreamRecord("lost", 90)}, at(0, 1), at(0, 90), time.Now())
		for _, n := range f.nodes[1:3] {
			n.registry.MergeList([]registrar.Record{upstreamRecord("i-0", 1)}, at(2, 5), time.Now())
		}
		time.Sleep(10 * time.Second)
		f.mu.Lock()
		f.cut = nil
		f.mu.Unlock()
		time.Sleep(15 * time.Second)
		for i, n := range f.nodes {
			require.Equal(t, at(2, 5), n.registry.Position(), i)
			n.registry.Refresh(time.Now())
			require.Len(t, n.registry.View().ByService["s"], 1, i)
		}
	})
}

// Guards against requests to upstreams that are gone for long: a gateway that hears late of a restore does not keep those that
// the list lacks for another grace period.
func TestGatewayThatHearsLateOfTheRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6, 1, 3)
		time.Sleep(5 * time.Second)
		late := f.nodes[0]
		f.mu.Lock()
		f.cut = func(a, b string) bool { return a == late.address || b == late.address }
		for _, c := range f.conns {
			_ = c.Close()
		}
		f.mu.Unlock()
		for _, n := range f.nodes[1:] {
			n.registry.MergeList([]registrar.Record{upstreamRecord("i-0", 1)}, at(2, 5), time.Now())
		}
		time.Sleep(10 * time.Second)
		require.Len(t, late.registry.View().ByService["s"], 3)
		f.mu.Lock()
		f.cut = nil
		f.mu.Unlock()
		for late.registry.Position() != at(2, 5) {
			time.Sleep(time.Millisecond)
		}
		require.Len(t, late.registry.View().ByService["s"], 1)
	})
}

// Guards against new requests to upstreams that were leaving before a restore by gateways that have started since and have read
// the copy, which has them as ready.
func TestGatewayThatStartsAfterTheRestoreKnowsWhoLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6, 1, 3)
		copied := listed(f.nodes[0])
		leaving := copied[0]
		leaving.Revision, leaving.Upstream.Leaving = 6, true
		for _, n := range f.nodes {
			n.registry.MergeList(copied, at(7, 5), time.Now())
			n.registry.MergeChanges([]registrar.Record{leaving}, at(7, 5), at(7, 6), time.Now())
			n.registry.MergeList(copied, at(0, 1), time.Now()) // The first list of all gateways of this test is in era 0.
			require.Len(t, n.registry.View().ByService["s"], 2)
		}
		f.kill(5)
		f.start(5, 3)
		time.Sleep(2 * time.Second)
		require.Len(t, f.nodes[5].registry.View().ByService["s"], 2)
	})
}

// Guards against a wrong era of the store that some gateways have believed and that spreads for ever, because it is higher than
// the right one: it counts only until the store has confirmed the right one later.
func TestWrongEraDoesNotSpreadForEver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6, 1, 3)
		for _, n := range f.nodes {
			n.follower.Adopt(platform.Document{Revision: 1, Data: []byte{1}}, time.Now(), "store")
		}
		time.Sleep(5 * time.Second)
		for _, n := range f.nodes {
			n.registry.MergeList([]registrar.Record{upstreamRecord("i-0", 1)}, at(1<<63, 5), time.Now())
		}
		time.Sleep(3 * time.Second)
		for range 20 { // The store names the right era again, and the gateways read it one after the other.
			for i, n := range f.nodes[:3] {
				n.registry.MergeList([]registrar.Record{upstreamRecord("i-1", 7)}, at(1, 8), time.Now())
				n.follower.Confirm(time.Now())
				time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			}
		}
		f.nodes[3].registry.MergeList([]registrar.Record{upstreamRecord("i-1", 7)}, at(1, 8), time.Now())
		f.nodes[3].follower.Confirm(time.Now())
		time.Sleep(5 * time.Second)
		for i, n := range f.nodes[:4] {
			require.Equal(t, at(1, 8), n.registry.Position(), i)
		}
	})
}

// requestWithoutEras and replyWithoutEras are the parts of the messages of the version that knew no eras that it uses for its
// configuration and list.
type requestWithoutEras struct {
	From                             string
	Configuration, Upstreams, Newest uint64
}

type replyWithoutEras struct {
	Configuration *struct {
		Revision uint64
		Data     []byte
	}
	Records  []registrar.Record
	Complete uint64
}

// Guards against a rollout in which gateways of the version that knew no eras and of this one do not pass on changes, or send
// everything with each exchange.
func TestPeerWithoutEras(t *testing.T) {
	a := newGateway(t, true)
	require.True(t, a.follower.Adopt(platform.Document{Era: 1, Revision: 10, Data: []byte{7}}, time.Now(), "store"))
	a.registry.MergeList([]registrar.Record{upstreamRecord("u", 9), upstreamRecord("v", 10)}, at(1, 10), time.Now())
	client, err := rpc.Dial("tcp", a.address)
	require.NoError(t, err)
	defer client.Close()
	for _, c := range []struct {
		req           requestWithoutEras
		configuration bool
		records       int
	}{
		{requestWithoutEras{}, true, 2},
		{requestWithoutEras{Configuration: 8, Upstreams: 9}, true, 1},
		{requestWithoutEras{Configuration: 10, Upstreams: 10}, false, 0},
	} {
		var reply replyWithoutEras
		require.NoError(t, client.Call("Gateways.Exchange", c.req, &reply))
		require.Equal(t, c.configuration, reply.Configuration != nil, c.req)
		require.Len(t, reply.Records, c.records, c.req)
		require.EqualValues(t, 10, reply.Complete)
	}
	var reply relayer.Reply
	require.NoError(t, client.Call("Gateways.Exchange", relayer.Request{HasEra: true, Era: 2, Upstreams: 3, Version: 7, Configuration: 3, ConfigurationEra: 2}, &reply))
	require.Empty(t, reply.Records, "a list of an earlier era is sent")
	require.Nil(t, reply.Configuration, "a configuration of an earlier era is sent")
	require.True(t, reply.HasEra)
	require.EqualValues(t, 1, reply.Era)
}

// gatewayWithoutEras answers as a gateway of the version that knew no eras.
type gatewayWithoutEras struct {
	reply relayer.Reply // Without the fields that state the era.
	calls atomic.Int64
}

// Exchange replies with the whole state.
func (g *gatewayWithoutEras) Exchange(_ relayer.Request, reply *relayer.Reply) error {
	*reply = g.reply
	g.calls.Add(1)
	return nil
}

// Guards against a configuration that is decoded from a part, because it grows beyond all bounds when it is uncompressed.
func TestConfigurationThatGrowsWithoutEnd(t *testing.T) {
	for name, c := range map[string]struct {
		size    int
		adopted bool
	}{"largest": {4 << 20, true}, "too long": {4<<20 + 1, false}, "without end": {64 << 20, false}} {
		t.Run(name, func(t *testing.T) {
			document := make([]byte, c.size)
			document[0] = 8
			g := &gatewayWithoutEras{reply: relayer.Reply{Complete: 60, Reached: true}}
			g.reply.Configuration = &relayer.CompressedDocument{Revision: 60, Data: compress(t, document)}
			address := g.serve(t)
			a := newGateway(t, true)
			require.True(t, a.follower.Adopt(platform.Document{Revision: 10, Data: []byte{7}}, time.Now().Add(-time.Hour), "store"))
			g.meet(t, a.address, address)
			require.EqualValues(t, map[bool]int{true: 8, false: 7}[c.adopted], a.follower.Document().Version)
		})
	}
}

// compress returns a document as a peer sends it.
func compress(t *testing.T, document []byte) []byte {
	var data bytes.Buffer
	z := gzip.NewWriter(&data)
	_, err := z.Write(document)
	require.NoError(t, err)
	require.NoError(t, z.Close())
	return data.Bytes()
}

// serve answers peers on a free loopback port, which it returns.
func (g *gatewayWithoutEras) serve(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := rpc.NewServer()
	require.NoError(t, s.RegisterName("Gateways", g))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.ServeConn(c)
		}
	}()
	return l.Addr().String()
}

// meet makes the gateway at an address learn of this one, which has its own, and waits until it has asked it several times.
func (g *gatewayWithoutEras) meet(t *testing.T, gateway, own string) {
	client, err := rpc.Dial("tcp", gateway)
	require.NoError(t, err)
	var reply replyWithoutEras
	require.NoError(t, client.Call("Gateways.Exchange", requestWithoutEras{From: own, Newest: 60}, &reply))
	require.NoError(t, client.Close())
	before := g.calls.Load()
	eventually(t, "the peer is not asked", func() bool { return g.calls.Load() >= before+4 })
}

// Guards against records and a configuration of the era before that count as those of the present one, because a peer of the
// version that knew no eras passes them on after a restore: its revisions are higher than those that the store gives out again.
func TestPeerWithoutErasAfterARestore(t *testing.T) {
	g := &gatewayWithoutEras{reply: relayer.Reply{Records: []registrar.Record{upstreamRecord("u", 50)}, Complete: 60, Reached: true}}
	g.reply.Configuration = &relayer.CompressedDocument{Revision: 60, Data: compress(t, []byte{8})}
	address := g.serve(t)
	for _, restored := range []bool{false, true} {
		a := newGateway(t, true)
		require.True(t, a.follower.Adopt(platform.Document{Era: 1, Revision: 10, Data: []byte{7}}, time.Now().Add(-time.Hour), "store"))
		a.registry.MergeList([]registrar.Record{upstreamRecord("u", 9)}, at(1, 10), time.Now())
		want := at(1, 60)
		if restored {
			a.registry.MergeList([]registrar.Record{upstreamRecord("u", 9)}, at(2, 10), time.Now())
			require.True(t, a.follower.Adopt(platform.Document{Era: 2, Revision: 10, Data: []byte{7}}, time.Now().Add(-time.Hour), "store"))
			want = at(2, 10)
		}
		g.meet(t, a.address, address)
		require.Equal(t, want, a.registry.Position())
		require.EqualValues(t, 8, a.follower.Document().Version)
		if restored {
			require.True(t, a.follower.Adopt(platform.Document{Era: 2, Revision: 31, Data: []byte{9}}, time.Now(), "store"), "the revision of a configuration without an era")
		}
	}
}
