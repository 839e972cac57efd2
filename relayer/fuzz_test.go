package relayer_test

import (
	"bytes"
	"encoding/gob"
	"net/netip"
	"net/rpc"
	"testing"
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
