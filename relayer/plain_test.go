package relayer_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"net/netip"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"clementineramp/estimator"
	"clementineramp/registrar"
	"clementineramp/relayer"
)

// workOf returns the work for the service "s" of gateways with the given rates, as versions to come must write it, too. Each
// has a tenth of its rate in progress.
func workOf(rates ...float64) []byte {
	b := binary.BigEndian.AppendUint32([]byte{1}, uint32(xxhash.Sum64String("s")))
	for _, r := range rates {
		for _, x := range []float64{r, r / 10} {
			b = append(b, byte(1+math.Round(12*math.Log2(x/0.01))))
		}
	}
	return b
}

// plainGateway is a gateway that states the given slowdowns and work, and keeps the reports that it receives.
type plainGateway struct {
	*gateway
	client *rpc.Client

	mu sync.Mutex
	// received holds the reports by their senders.
	received map[string][]estimator.Report
}

func newPlainGateway(t *testing.T, slowdowns []estimator.Report, rate float64) *plainGateway {
	g := &plainGateway{received: map[string][]estimator.Report{}}
	g.gateway = newGatewayWith(t, true, func(c *relayer.Config) {
		c.State.Slowdowns = func(time.Time) []estimator.Report { return slowdowns }
		c.State.Work = func(time.Time) []estimator.Work {
			return []estimator.Work{{Service: "s", Rate: rate, InProgress: rate / 10}}
		}
		c.State.MergeSlowdowns = func(from string, reports []estimator.Report, _ time.Time) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.received[from] = reports
		}
	})
	var err error
	g.client, err = rpc.Dial("tcp", g.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = g.client.Close() })
	return g
}

func (g *plainGateway) exchange(t *testing.T, req relayer.Request) (reply relayer.Reply) {
	t.Helper()
	require.NoError(t, g.client.Call("Gateways.Exchange", req, &reply))
	return reply
}

// Guards against slowdowns that are lost or distorted on their way, that apply to another incarnation, or that fill a message.
func TestSlowdownsAreExchanged(t *testing.T) {
	upstream := registrar.Upstream{ID: "u", Service: "s", Address: "10.1.0.1:1", Born: 5}
	earlier := registrar.Incarnation{ID: "v", Address: "10.1.0.2:1", Born: 5}
	var reports []estimator.Report
	for i := range 40 {
		reports = append(reports, estimator.Report{Upstream: registrar.Incarnation{ID: fmt.Sprint(i)}, Slowdown: 1, Samples: 1})
	}
	reports[3] = estimator.Report{Upstream: upstream.Incarnation(), Slowdown: 3.9, Samples: 2.2, Age: 250 * time.Millisecond}
	reports[4] = estimator.Report{Upstream: earlier, Slowdown: 9, Samples: 3}
	a, b := newPlainGateway(t, reports, 1), newPlainGateway(t, nil, 1)
	b.registry.MergeList([]registrar.Record{
		{ID: "u", Revision: 1, Upstream: upstream},
		{ID: "v", Revision: 1, Upstream: registrar.Upstream{ID: "v", Service: "s", Address: "10.1.0.2:1", Born: 6}},
	}, registrar.Position{Revision: 1}, time.Now())
	rows := a.exchange(t, relayer.Request{From: "10.0.0.1:1"}).Slowdowns
	require.Len(t, rows, 24*7, "bound of the reports in a message")

	b.exchange(t, relayer.Request{From: "10.0.0.2:1", Slowdowns: rows})
	b.exchange(t, relayer.Request{From: "10.0.0.3:1", Slowdowns: rows[:len(rows)-1]})
	b.exchange(t, relayer.Request{From: "10.0.0.4:1", Slowdowns: bytes.Repeat([]byte{7}, 7*5000)})
	b.exchange(t, relayer.Request{From: "nonsense", Slowdowns: rows})
	b.mu.Lock()
	defer b.mu.Unlock()
	require.Len(t, b.received, 1, "malformed rows and unknown upstreams are ignored")
	require.Len(t, b.received["10.0.0.2:1"], 1, "a report on an earlier incarnation is ignored")
	r := b.received["10.0.0.2:1"][0]
	require.Equal(t, upstream.Incarnation(), r.Upstream)
	require.InDelta(t, 3.9, r.Slowdown, 0.1)
	require.Equal(t, 3.0, r.Samples)
	require.Equal(t, 260*time.Millisecond, r.Age)
}

// Guards against a share that does not follow the demand, that leaves its bounds, or that trusts a single peer.
func TestShareOfDemand(t *testing.T) {
	g := newPlainGateway(t, nil, 30)
	share := func() float64 { return g.relayer.Share("s", time.Now()) }
	require.Equal(t, 0.25, share(), "equal share of at least four gateways while nothing is known")
	for i := range 9 {
		g.exchange(t, relayer.Request{From: fmt.Sprintf("10.0.0.%d:1", i+1)})
	}
	require.Equal(t, 0.1, share(), "equal share")
	state := func(rates ...float64) {
		for i, rate := range rates {
			g.exchange(t, relayer.Request{From: fmt.Sprintf("10.0.0.%d:1", i+1), Work: workOf(rate)})
		}
	}
	state(10, 10)
	require.Equal(t, 0.1, share(), "equal share as long as few state their work")
	state(10, 10, 10, 10, 10, 10, 10, 10, 10)
	require.InDelta(t, 0.25, share(), 0.02, "30 of 120 requests")
	d := g.relayer.Demand("s", time.Now())
	require.Equal(t, 9, d.Stated)
	require.InDelta(t, 12, d.InProgress, 1)
	state(1, 1, 1, 1, 1, 1, 1, 1, 1)
	require.InDelta(t, 0.4, share(), 1e-9, "at most four times the equal share")
	state(500, 500, 500, 500, 500, 500, 500, 500, 500)
	require.InDelta(t, 0.05, share(), 1e-9, "at least half of the equal share")
	require.Equal(t, 0.1, g.relayer.Share("other", time.Now()))
}

// Guards against work that malformed messages change, and that lists of gateways of the version before remove.
func TestWorkOfPeers(t *testing.T) {
	g := newPlainGateway(t, nil, 10)
	rate := func() float64 { return g.relayer.Demand("s", time.Now()).Rate }
	peer := "10.0.0.1:1"
	list := func(work []byte) relayer.PeerList {
		return relayer.PeerList{
			Addresses: []netip.AddrPort{netip.MustParseAddrPort(peer)}, Domains: []byte{0}, DomainNames: []string{"d"},
			AgesMS: []uint32{0}, Links: []float64{0}, Saturated: []bool{false}, Work: work,
		}
	}
	g.exchange(t, relayer.Request{From: "10.0.0.2:1", OtherPeers: list(workOf(20))})
	require.InDelta(t, 30, rate(), 2, "work in a list of peers")
	for _, work := range [][]byte{nil, {0}, {1}, {255}, workOf(5)[:6], workOf(5, 5), append(workOf(5), 1)} {
		g.exchange(t, relayer.Request{From: "10.0.0.2:1", OtherPeers: list(work)})
		g.exchange(t, relayer.Request{From: peer, Work: work})
		require.InDelta(t, 30, rate(), 2, "work %v", work)
	}
	var reply replyWithoutEras
	require.NoError(t, g.client.Call("Gateways.Exchange", requestWithoutEras{From: peer}, &reply), "a gateway of an earlier version")
	require.InDelta(t, 30, rate(), 2)
	listed := g.exchange(t, relayer.Request{From: "10.0.0.3:1"}).OtherPeers
	require.Empty(t, listed.Work, "work that is older than the rest is passed on")
}
