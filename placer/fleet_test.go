package placer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/placer"
	"clementineramp/registrar"
)

// simulated is a request in progress in a simulated fleet.
type simulated struct {
	end              time.Duration
	gateway, service int
}

// traffic is a phase of the traffic of a simulated fleet.
type traffic struct {
	lasts     time.Duration
	perSecond int
	// hotShare is the fraction of the requests that belong to the chat hot.
	hotShare float64
	hot      string
	// counted is set if the requests of the phase count.
	counted bool
}

// simulateFleet lets 100 gateways, which hear of loads 0.5 s late, choose among 90 engines. It returns the number of counted
// requests, and of those that reached an engine with more than twice the mean load and 3, over two runs.
func simulateFleet(t *testing.T, phases ...traffic) (requests, over int) {
	for _, seed := range []uint64{4, 0} {
		r, o := simulateRun(t, seed, phases)
		requests, over = requests+r, over+o
	}
	return requests, over
}

func simulateRun(t *testing.T, seed uint64, phases []traffic) (requests, over int) {
	const (
		gateways, size = 100, 90
		duration       = 1500 * time.Millisecond
		answer, delay  = 100 * time.Millisecond, 500 * time.Millisecond // of a report, and of its way to the others
	)
	v := engines(size)
	for i := range v.ByService["pool"] {
		v.ByService["pool"][i].Slots = 16
	}
	random := rand.New(rand.NewPCG(3, seed))
	var all []*placer.Placer
	for range gateways {
		all = append(all, placer.New(placer.Config{
			View: func() *registrar.View { return v }, Health: good, Gateways: func() int { return gateways }, Random: random.IntN,
		}))
	}
	index := map[string]int{}
	for i, u := range v.ByService["pool"] {
		index[u.ID] = i
	}
	loads, total := make([]int, size), 0
	type report struct {
		at       time.Duration
		from     int
		upstream string
		load     int
	}
	var running []simulated
	var answers, reports []report
	send := func(now time.Duration, phase traffic) {
		at := start.Add(now)
		for len(running) > 0 && running[0].end <= now {
			r := running[0]
			running = running[1:]
			loads[r.service]--
			total--
			all[r.gateway].Done(v.ByService["pool"][r.service].ID)
		}
		for len(answers) > 0 && answers[0].at <= now {
			a := answers[0]
			answers = answers[1:]
			a.load = loads[index[a.upstream]]
			all[a.from].RecordLoad(a.upstream, placer.Load{Running: a.load, Slots: 16}, at)
			a.at = now + delay
			reports = append(reports, a)
		}
		for len(reports) > 0 && reports[0].at <= now {
			for i, p := range all {
				if i != reports[0].from {
					p.Merge([]placer.LoadReport{{Upstream: reports[0].upstream, Load: reports[0].load, Age: delay}}, at)
				}
			}
			reports = reports[1:]
		}
		chat := fmt.Sprint("chat-", random.IntN(2000))
		if random.Float64() < phase.hotShare {
			chat = phase.hot
		}
		g := random.IntN(gateways)
		c, ok := all[g].Choose(placer.Request{Service: "pool", Chat: chat, ChatTokens: 10000}, at)
		require.True(t, ok)
		u := index[c.Upstream.ID]
		if phase.counted {
			requests++
			if float64(loads[u]) > 2*float64(total)/size+3 {
				over++
			}
		}
		loads[u]++
		total++
		running = append(running, simulated{end: now + duration, gateway: g, service: u})
		answers = append(answers, report{at: now + answer, from: g, upstream: c.Upstream.ID})
	}
	now, shared := time.Duration(0), time.Duration(0)
	for _, phase := range phases {
		for end := now + phase.lasts; now < end; now += time.Second / time.Duration(phase.perSecond) {
			for ; shared < now; shared += 20 * time.Millisecond { // Each gateway exchanges hot chats once a second.
				from, to, at := all[random.IntN(gateways)], all[random.IntN(gateways)], start.Add(now)
				to.MergeHotChats(from.HotChats(at), at)
				from.MergeHotChats(to.HotChats(at), at)
			}
			send(now, phase)
		}
	}
	return requests, over
}

// Guards against a hot chat that all gateways of a large fleet send to the same engine, because they choose by reports that
// are half a second old: in a second its load grows by more than the limit allows.
func TestHotChatAmongManyGateways(t *testing.T) {
	requests, over := simulateFleet(t,
		traffic{lasts: 5 * time.Second, perSecond: 300, hotShare: 0.2, hot: "hot"},
		traffic{lasts: 15 * time.Second, perSecond: 300, hotShare: 0.2, hot: "hot", counted: true})
	t.Logf("%d of %d requests reached an engine that held over twice the mean and 3", over, requests)
	require.Less(t, over*100, requests*3)
}

// Guards against the same right after a flood: the load limit falls with the mean load, and the hot chat is new to each
// gateway, which receives a request of it every few seconds. The first engines of the chat are near their limits, and all
// gateways would use up the little that is left of them at the same time.
func TestNewHotChatAfterAFlood(t *testing.T) {
	requests, over := simulateFleet(t,
		traffic{lasts: 5 * time.Second, perSecond: 500},
		traffic{lasts: 4 * time.Second, perSecond: 1000, hotShare: 0.3, hot: "first"},
		traffic{lasts: 5 * time.Second, perSecond: 200, hotShare: 0.2, hot: "second", counted: true})
	t.Logf("%d of %d requests reached an engine that held over twice the mean and 3", over, requests)
	require.Less(t, over*100, requests*3)
}
