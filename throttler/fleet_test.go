package throttler_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/registrar"
	"clementineramp/throttler"
)

const (
	step = 50 * time.Millisecond
	// jitter bounds the time from sending to arrival, which differs between requests.
	jitter = 90 * time.Millisecond
	// listed is the least number of peers in a list; see relayer.
	listed  = 8
	peerTTL = 8 * time.Second
)

// gateway is a gateway of the model: what it has heard of the others, by the rules of relayer.Known.
type gateway struct {
	address                    string
	part                       int
	started, learnt, contacted time.Time
	// heard holds when the others were last heard of, and live those that exchanges are tried with.
	heard, live map[string]time.Time
	throttler   *throttler.Throttler
}

// fleet is a model of gateways that hear of each other with delays.
type fleet struct {
	random *rand.Rand
	// delays is a source of its own, so that a seed gives the same views whatever is sent.
	delays   *rand.Rand
	bound    throttler.Bound
	now      time.Time
	view     *registrar.View
	gateways map[string]*gateway
	started  int
	arrivals map[string][]time.Time
}

// seedCount is the number of gateways that all others know from the start.
const seedCount = 3

func (f *fleet) start(address string, part int) {
	g := &gateway{
		address: address, part: part, started: f.now, heard: map[string]time.Time{}, live: map[string]time.Time{},
	}
	g.throttler = throttler.New(throttler.Config{
		Self: address, Bound: func(string) throttler.Bound { return f.bound }, View: func() *registrar.View { return f.view },
		Members: g.known,
	})
	f.gateways[address] = g
}

func (f *fleet) startNew(part int) {
	f.start(fmt.Sprintf("10.0.0.%d:1", f.started), part)
	f.started++
}

func seedAddress(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

func (g *gateway) known(now time.Time) (addresses []string, settled bool) {
	addresses = []string{g.address}
	for i := range seedCount {
		if a := seedAddress(i); a != g.address {
			addresses = append(addresses, a)
		}
	}
	for a := range g.heard {
		if !slices.Contains(addresses[:seedCount], a) {
			addresses = append(addresses, a)
		}
	}
	return addresses, now.Sub(g.started) >= 3*time.Second && now.Sub(g.learnt) >= time.Second && now.Sub(g.contacted) < 3*time.Second
}

func (g *gateway) hear(address string, at, now time.Time) {
	if address == g.address {
		return
	}
	old, known := g.heard[address]
	if !known {
		g.learnt = now
	}
	if at.After(old) {
		g.heard[address] = at
		g.live[address] = at
	}
}

// exchange lets a gateway exchange lists with a random live one, or a seed.
func (f *fleet) exchange(g *gateway) {
	var peers []string
	for a, at := range g.live {
		if f.now.Sub(at) < peerTTL {
			peers = append(peers, a)
		}
	}
	slices.Sort(peers)
	to := seedAddress(f.random.IntN(seedCount))
	if len(peers) > 0 && f.random.IntN(32) > 0 {
		to = peers[f.random.IntN(len(peers))]
	}
	p := f.gateways[to]
	if p == nil || p.part != g.part {
		delete(g.live, to)
		return
	}
	if p == g {
		return
	}
	a, b := f.list(g), f.list(p)
	for _, side := range []struct {
		to, from *gateway
		list     []string
	}{{p, g, a}, {g, p, b}} {
		side.to.contacted = f.now
		side.to.hear(side.from.address, f.now, f.now)
		for _, address := range side.list {
			side.to.hear(address, side.from.live[address], f.now)
		}
	}
}

// list returns a part of the live peers of a gateway: half of them random, half of them the latest.
func (f *fleet) list(g *gateway) []string {
	var peers []string
	for a, at := range g.live {
		if f.now.Sub(at) < peerTTL {
			peers = append(peers, a)
		}
	}
	slices.Sort(peers)
	f.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	n := min(len(peers), max(listed, len(peers)/10))
	slices.SortFunc(peers[n/2:], func(a, b string) int { return g.live[b].Compare(g.live[a]) })
	return peers[:n]
}

// order returns the gateways in a fixed order, so that a seed gives the same run again.
func (f *fleet) order() []*gateway {
	all := make([]*gateway, 0, len(f.gateways))
	for _, g := range f.gateways {
		all = append(all, g)
	}
	slices.SortFunc(all, func(a, b *gateway) int { return cmp.Compare(a.address, b.address) })
	return all
}

// run lets time pass. Each gateway exchanges lists about three times a second, and has more requests for each upstream at any
// time than it may send; those that are refused come back at another gateway, which has as many already.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		all := f.order()
		for _, g := range all {
			if f.random.Float64() < 3*step.Seconds() {
				f.exchange(g)
			}
		}
		for _, i := range f.random.Perm(len(all)) {
			for _, u := range f.view.ByService["s"] {
				for all[i].throttler.Send(u, f.now) {
					f.arrivals[u.ID] = append(f.arrivals[u.ID], f.now.Add(time.Duration(f.delays.Int64N(int64(jitter)))))
				}
			}
		}
	}
}

// most returns the largest number of requests that an upstream received in any second.
func (f *fleet) most() int {
	most := 0
	for _, list := range f.arrivals {
		slices.SortFunc(list, time.Time.Compare)
		first := 0
		for i, at := range list {
			for at.Sub(list[first]) >= time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most
}

// newFleet starts gateways in the given number of parts, in front of cold upstreams.
func newFleet(seed uint64, gateways, parts, upstreams int) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 0)), delays: rand.New(rand.NewPCG(seed, 1)), bound: bound, now: start, gateways: map[string]*gateway{}, arrivals: map[string][]time.Time{},
		view: &registrar.View{ByService: map[string][]registrar.Upstream{}, Times: map[string]registrar.Times{}},
	}
	for i := range upstreams {
		u := registrar.Upstream{ID: fmt.Sprint("engine-", i), Service: "s"}
		f.view.ByService["s"] = append(f.view.ByService["s"], u)
		f.view.Times[u.ID] = statedCold
	}
	for i := range gateways {
		part := f.random.IntN(parts)
		if i < seedCount {
			part = i % parts // Gateways that reach no seed do not find each other.
		}
		f.startNew(part)
	}
	return f
}

// trouble kills, starts, cuts and reconnects gateways at random.
func (f *fleet) trouble() {
	all := f.order()
	switch f.random.IntN(4) {
	case 0: // A part of the fleet is killed; some of it starts again at the same addresses.
		for _, g := range all {
			if f.random.IntN(3) == 0 {
				delete(f.gateways, g.address)
				if f.random.IntN(2) == 0 {
					f.start(g.address, g.part)
				}
			}
		}
	case 1: // Gateways start in the parts that there are.
		for range f.random.IntN(20) {
			f.startNew(all[f.random.IntN(len(all))].part)
		}
	case 2: // The network is cut anew.
		parts := 1 + f.random.IntN(3)
		for _, g := range all {
			g.part = f.random.IntN(parts)
		}
	case 3: // It is whole again.
		for _, g := range all {
			g.part = 0
		}
	}
}

// Guards against more requests to a cold upstream than are allowed, in a fleet whose gateways are killed, start, are cut in up to
// three parts and meet again at random, so that their views of each other differ.
func TestBoundInTroubledFleet(t *testing.T) {
	for seed := range uint64(8) {
		f := newFleet(seed, 5+int(seed)*13, 1+int(seed)%3, 20)
		f.bound.Rate = []float64{16, 0.1, 5, 60}[seed%4]
		for range 8 {
			f.run(time.Duration(f.random.Int64N(int64(6 * time.Second))))
			f.trouble()
		}
		f.run(2 * time.Second)
		t.Logf("seed %d: at most %d requests in a second of %d", seed, f.most(), f.bound.Allowed())
		require.LessOrEqual(t, f.most(), f.bound.Allowed(), "seed %d", seed)
	}
}

// Guards against more requests than are allowed from fleets that have started behind a partition, and against owners that use less
// than their shares when the views agree.
func TestPartsThatStartApart(t *testing.T) {
	// With 5, 56 and 74, gateways settle before they have heard of all owners of their part: without spare owners, 30, 30 and
	// 33 requests were sent in a second.
	for _, seed := range []uint64{0, 1, 2, 5, 56, 74} {
		parts, gateways := 1+int(seed)%3, 26+74*int(seed%2)
		f := newFleet(seed, gateways, parts, 20)
		f.run(15 * time.Second)
		most := f.most()
		f.arrivals = map[string][]time.Time{}
		f.run(11 * time.Second)
		total := 0
		for _, list := range f.arrivals {
			total += len(list)
		}
		t.Logf("seed %d: at most %d requests in a second of %d, %.1f a second on average", seed, most, bound.Allowed(), float64(total)/20/11)
		require.LessOrEqual(t, max(most, f.most()), bound.Allowed(), "seed %d", seed)
		// Seeds in other parts are known but not there, so that their shares are unused.
		present := float64(gateways) / float64(gateways+parts*(parts-1))
		require.GreaterOrEqual(t, float64(total), 0.8*present*float64(20*10*owners*share*parts), "seed %d", seed)
	}
}
