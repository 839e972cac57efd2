package relayer_test

import (
	"bytes"
	"encoding/gob"
	"io"
	"math"
	"net"
	"net/netip"
	"net/rpc"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/registrar"
	"clementineramp/relayer"
)

// FuzzMessage checks that a message of any form to a gateway neither ends it nor keeps it from serving the next peer.
func FuzzMessage(f *testing.F) {
	var b bytes.Buffer
	enc := gob.NewEncoder(&b)
	require.NoError(f, enc.Encode(rpc.Request{ServiceMethod: "Gateways.Exchange", Seq: 1}))
	require.NoError(f, enc.Encode(relayer.Request{
		From: "10.0.0.9:1", FailureDomain: "d", KnownCrashes: map[uint64]uint64{1: 2}, WithLoads: true,
		LoadColumns: relayer.Loads{Upstreams: []uint32{1}, Counts: []byte{1}, Ages: []byte{1}},
		OtherPeers: relayer.PeerList{
			Addresses: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.8:1")}, Domains: []byte{0}, DomainNames: []string{"d"},
			AgesMS: []uint32{1}, Links: []float64{1}, Saturated: []bool{true},
		},
	}))
	f.Add(b.Bytes())
	f.Add(b.Bytes()[:b.Len()/2])
	var odd bytes.Buffer
	enc = gob.NewEncoder(&odd)
	require.NoError(f, enc.Encode(rpc.Request{ServiceMethod: "Gateways.Exchange", Seq: 1}))
	require.NoError(f, enc.Encode(relayer.Request{
		From: "224.0.0.1:0", Link: math.NaN(), Configuration: math.MaxUint64, Upstreams: math.MaxUint64, Newest: math.MaxUint64,
		OtherPeers: relayer.PeerList{
			Addresses: []netip.AddrPort{netip.MustParseAddrPort("0.0.0.0:0")}, Domains: []byte{0}, DomainNames: []string{"d\r\n"},
			AgesMS: []uint32{math.MaxUint32}, Links: []float64{math.Inf(1)}, Saturated: []bool{true},
		},
	}))
	f.Add(odd.Bytes())
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte{0xf8, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, message []byte) {
		n := newFleet(t, 1, 1, 1)
		c, err := n.dial(t.Context(), n.nodes[0], n.nodes[0].address)
		require.NoError(t, err)
		go func() {
			_, _ = c.Write(message)
			time.Sleep(time.Millisecond)
			_ = c.Close()
		}()
		next, err := n.dial(t.Context(), n.nodes[0], n.nodes[0].address)
		require.NoError(t, err)
		client := rpc.NewClient(next)
		defer client.Close()
		var reply relayer.Reply
		require.NoError(t, client.Call("Gateways.Exchange", relayer.Request{}, &reply))
		require.Len(t, reply.Records, 1)
		require.Equal(t, registrar.Record{ID: "i-0", Revision: 1, Upstream: registrar.Upstream{ID: "i-0", Service: "s", Address: "10.1.0.1:1", Slots: 16}}, reply.Records[0])
	})
}

// FuzzReply checks that a reply of a peer of any form neither ends the gateway nor makes it use an upstream with values out
// of bounds, and that its own upstream holds.
func FuzzReply(f *testing.F) {
	reply := func(seq uint64, reply relayer.Reply) []byte {
		var b bytes.Buffer
		enc := gob.NewEncoder(&b)
		require.NoError(f, enc.Encode(rpc.Response{ServiceMethod: "Gateways.Exchange", Seq: seq}))
		require.NoError(f, enc.Encode(reply))
		return b.Bytes()
	}
	var odd []registrar.Record
	for i, change := range []func(*registrar.Record){
		func(r *registrar.Record) { r.Upstream.Slots = math.MaxInt },
		func(r *registrar.Record) { r.Upstream.Slots = math.MinInt },
		func(r *registrar.Record) { r.Upstream.Born = math.MinInt64 },
		func(r *registrar.Record) { r.Upstream.Address = "[fe80::1%a\r\n]:1" },
		func(r *registrar.Record) { r.Upstream.Address = "224.0.0.1:0" },
		func(r *registrar.Record) { r.Upstream.Service = "" },
		func(r *registrar.Record) { r.ID = "" },
		func(r *registrar.Record) { r.ID, r.Upstream.ID = "a\r\nb", "a\r\nb" },
		func(r *registrar.Record) { r.Removed, r.Upstream.Slots = true, math.MaxInt },
	} {
		r := upstreamRecord("odd-"+string(rune('a'+i)), uint64(2+i))
		change(&r)
		odd = append(odd, r)
		f.Add(reply(0, relayer.Reply{Records: []registrar.Record{r, upstreamRecord("b", 20)}, Complete: 20}))
	}
	f.Add(reply(0, relayer.Reply{Records: odd, Complete: math.MaxUint64, ConfirmedAge: math.MinInt64, OutageAge: math.MaxInt64, Link: math.NaN()}))
	f.Add(reply(0, relayer.Reply{Configuration: &relayer.CompressedDocument{Revision: math.MaxUint64, Data: []byte{1}}, Reached: true}))
	f.Add(reply(7, relayer.Reply{})[:40])
	f.Fuzz(func(t *testing.T, message []byte) {
		synctest.Test(t, func(t *testing.T) {
			const peer = "10.9.9.9:1"
			n := newFleet(t, 1, 1, 1)
			l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
			n.mu.Lock()
			n.listeners[peer] = l
			n.mu.Unlock()
			defer l.Close()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go func() { _, _ = io.Copy(io.Discard, c) }()
					_, _ = c.Write(message)
				}
			}()
			conn, err := n.dial(t.Context(), n.nodes[0], n.nodes[0].address)
			require.NoError(t, err)
			client := rpc.NewClient(conn)
			defer client.Close()
			// The request makes the gateway call the peer without delay.
			require.NoError(t, client.Call("Gateways.Exchange", relayer.Request{From: peer, Newest: math.MaxUint64}, &relayer.Reply{}))
			time.Sleep(2 * time.Second)
			for _, list := range n.nodes[0].registry.View().ByService {
				for _, u := range list {
					require.NoError(t, u.Validate())
				}
			}
			require.NoError(t, client.Call("Gateways.Exchange", relayer.Request{}, &relayer.Reply{}))
		})
	})
}
