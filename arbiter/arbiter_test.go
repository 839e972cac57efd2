package arbiter_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/arbiter"
	"clementineramp/dispatcher"
)

const (
	ms     = time.Millisecond
	target = 300 * ms
	usual  = 60 * ms
)

// fleet is a group of gateways that call each other in memory.
type fleet struct {
	nodes map[string]*arbiter.Arbiter
	fleet map[string]*dispatcher.Dispatcher
	// limit is that of the whole service, candidates its upstreams.
	limit      float64
	candidates []arbiter.Candidate
	latency    atomic.Int64
	asked      atomic.Int64
	lost       atomic.Int64

	mu sync.Mutex
	// owner names the owner that a gateway sees; "" as the key stands for all others.
	owner map[string]string
	// next is the owner while another one is excepted.
	next string
	// before runs before each call; an error fails it.
	before func(ctx context.Context, from, to, method string) error
}

func newFleet(gateways int, slots float64) *fleet {
	f := &fleet{
		nodes: map[string]*arbiter.Arbiter{}, fleet: map[string]*dispatcher.Dispatcher{}, limit: 2 * slots,
		owner: map[string]string{"": "g0"}, candidates: []arbiter.Candidate{{ID: "u", Slots: slots, Slowdown: 1}},
	}
	f.latency.Store(int64(usual))
	for i := range gateways {
		f.start(fmt.Sprint("g", i), gateways)
	}
	return f
}

func (f *fleet) start(self string, gateways int) {
	cfg := dispatcher.Config{
		Limit:   func(string, time.Time) float64 { return f.limit },
		Share:   func(string, time.Time) float64 { return 1 / float64(gateways) },
		Latency: func(string, string, time.Time) time.Duration { return time.Duration(f.latency.Load()) },
		Usual:   func(string, string) time.Duration { return usual }, ReturningLast: true,
		Random: rand.New(rand.NewPCG(1, 2)).Float64,
	}
	local := dispatcher.New(cfg)
	cfg.Exact, cfg.Share, cfg.Random = true, nil, rand.New(rand.NewPCG(3, 4)).Float64
	f.fleet[self] = dispatcher.New(cfg)
	f.nodes[self] = arbiter.New(arbiter.Config{
		Self: self, Fleet: f.fleet[self], Local: local,
		Owner: func(_ string, _ time.Time, except ...string) string {
			f.mu.Lock()
			defer f.mu.Unlock()
			if len(except) > 0 {
				return f.next
			}
			if o, ok := f.owner[self]; ok {
				return o
			}
			return f.owner[""]
		},
		Candidates: func(service string, _ time.Time) []arbiter.Candidate {
			if service != "s" {
				return nil
			}
			return f.candidates
		},
		Call: func(ctx context.Context, peer, method string, args, reply any) error {
			return f.call(ctx, self, peer, method, args, reply)
		},
		OnLost: func(string, string, error) { f.lost.Add(1) },
	})
}

func (f *fleet) call(ctx context.Context, from, to, method string, args, reply any) error {
	method = strings.TrimPrefix(method, arbiter.ServiceName+".")
	f.mu.Lock()
	before := f.before
	f.mu.Unlock()
	if method == "Acquire" {
		f.asked.Add(1)
	}
	if before != nil {
		if err := before(ctx, from, to, method); err != nil {
			return err
		}
	}
	places, done := arbiter.Places{Arbiter: f.nodes[to]}, make(chan error, 1)
	var r arbiter.Reply
	go func() {
		switch a := args.(type) {
		case arbiter.AcquireRequest:
			done <- places.Acquire(a, &r)
		case arbiter.AwaitRequest:
			done <- places.Await(a, &r)
		case arbiter.ReleaseRequest:
			done <- places.Release(a, &struct{}{})
		}
	}()
	select {
	case err := <-done:
		if p, ok := reply.(*arbiter.Reply); ok {
			*p = r
		}
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *fleet) fail(before func(ctx context.Context, from, to, method string) error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.before = before
}

func (f *fleet) running(node string) int { return f.fleet[node].Status("s", time.Now()).InProgress }

func (f *fleet) waiting() int { return f.fleet["g0"].Status("s", time.Now()).Waiting }

func request(urgency int) dispatcher.Request {
	return dispatcher.Request{
		Service: "s", Route: "r", Organisation: "o", Urgency: urgency, Target: target, Remaining: 4 * time.Second, Stated: 4 * time.Second,
	}
}

// inBubble runs a test in virtual time, and lets calls and leases that it leaves end.
func inBubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(10 * time.Second)
		test(t)
	})
}

// black is a call that gets no reply.
func black(ctx context.Context, _, _, _ string) error {
	<-ctx.Done()
	return ctx.Err()
}

// Guards against an owner that grants more places than there are, does not start the most urgent request first, lets requests
// wait that cannot be on time, or loses places that are given back, twice or at once.
func TestOwnerGrantsQueuesAndRefuses(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(3, 1)
		var places []dispatcher.Place
		for i := range 2 {
			p, _, err := f.nodes[fmt.Sprint("g", i)].Acquire(t.Context(), request(0))
			require.NoError(t, err)
			require.Equal(t, "u", p.Upstream)
			places = append(places, p)
		}
		order := make(chan int, 2)
		for _, urgency := range []int{5, 1} {
			go func() {
				p, _, err := f.nodes["g2"].Acquire(t.Context(), request(urgency))
				if err == nil {
					order <- urgency
					time.Sleep(10 * ms)
					p.Release()
				}
			}()
			synctest.Wait()
		}
		require.Equal(t, 2, f.waiting())
		require.Equal(t, 2, f.nodes["g0"].InProgress("s"))
		places[1].Release()
		places[1].Release()
		require.Equal(t, 1, <-order)
		require.Equal(t, 5, <-order)
		_, _, err := f.nodes["g1"].Acquire(t.Context(), request(0))
		require.NoError(t, err)
		_, wait, err := f.nodes["g2"].Acquire(t.Context(), request(0))
		var refusal *dispatcher.Refusal
		require.ErrorAs(t, err, &refusal)
		require.Equal(t, dispatcher.CauseTime, refusal.Cause)
		require.Equal(t, target-usual*16/10, wait)
		places[0].Release()
		time.Sleep(10 * time.Second) // The lease of the place that was not given back has ended.
		require.Zero(t, f.running("g0"))
		require.Zero(t, f.nodes["g0"].InProgress("s"))
		require.Zero(t, f.nodes["g1"].LocalUses()+f.nodes["g2"].LocalUses())
	})
}

// Guards against places that a gateway that died keeps: those it holds, and the one that a request of it gets that waits.
func TestLeaseOfDeadGatewayEnds(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(2, 1)
		places := arbiter.Places{Arbiter: f.nodes["g0"]}
		for i := range 3 {
			var reply arbiter.Reply
			require.NoError(t, places.Acquire(arbiter.AcquireRequest{From: "dead", Serial: uint64(i), Request: request(0)}, &reply))
			require.Equal(t, i == 2, reply.Waits)
		}
		time.Sleep(4400 * ms)
		require.Equal(t, 2, f.running("g0"))
		time.Sleep(200 * ms)
		require.Zero(t, f.running("g0"))
		require.Zero(t, f.waiting())
	})
}

// Guards against requests that fail or wait for long when the owner is not reached, and against a request to it for each of
// them; and against an owner that is not asked again, or whose loss is logged for each request.
func TestOwnerThatIsNotReached(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(4, 6)
		f.fail(black)
		for i := range 4 {
			p, wait, err := f.nodes["g1"].Acquire(t.Context(), request(0))
			require.NoError(t, err)
			require.Empty(t, p.Upstream)
			require.LessOrEqual(t, wait, 60*ms)
			require.Equal(t, i == 0, wait > 0)
			p.Release()
		}
		require.Equal(t, int64(1), f.asked.Load())
		require.Equal(t, int64(1), f.lost.Load())
		require.Equal(t, int64(4), f.nodes["g1"].LocalUses())
		f.fail(nil)
		time.Sleep(500 * ms)
		p, _, err := f.nodes["g1"].Acquire(t.Context(), request(0))
		require.NoError(t, err)
		require.Equal(t, "u", p.Upstream)
		p.Release()
		f.owner[""] = "" // The fleet is not known.
		_, _, err = f.nodes["g1"].Acquire(t.Context(), request(0))
		require.NoError(t, err)
		require.Equal(t, int64(5), f.nodes["g1"].LocalUses())
	})
}

// Guards against gateways that use their shares, or lose the time of a call with each request, for as long as they are told that
// an owner lives that has lost power; and against ones that stay with the next owner after it has returned.
func TestNextOwner(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(4, 6)
		f.next = "g3"
		f.fail(func(ctx context.Context, from, to, method string) error {
			if to == "g0" {
				return black(ctx, from, to, method)
			}
			return nil
		})
		waits := 0
		for range 500 { // 5 s
			p, wait, err := f.nodes["g1"].Acquire(t.Context(), request(0))
			require.NoError(t, err)
			if wait > 0 {
				waits++
			}
			time.Sleep(10 * ms)
			p.Release()
		}
		require.LessOrEqual(t, waits, 4)
		require.LessOrEqual(t, f.nodes["g1"].LocalUses(), int64(60), "requests of the first 0.5 s, and one at each trial")
		f.fail(nil)
		time.Sleep(2 * time.Second)
		p, _, err := f.nodes["g1"].Acquire(t.Context(), request(0))
		require.NoError(t, err)
		require.Equal(t, 1, f.running("g0"))
		require.Zero(t, f.running("g3"))
		p.Release()
	})
}

// Guards against requests that are lost when the owner stops while they wait, and against ones that wait beyond their target
// for an owner that has lost power.
func TestOwnerThatStopsWhileRequestsWait(t *testing.T) {
	for _, answers := range []bool{true, false} {
		inBubble(t, func(t *testing.T) {
			f := newFleet(3, 1)
			for range 2 {
				_, _, err := f.nodes["g0"].Acquire(t.Context(), request(0))
				require.NoError(t, err)
			}
			f.fail(func(ctx context.Context, _, _, method string) error {
				if method != "Await" {
					return nil
				}
				if answers {
					time.Sleep(20 * ms)
					return errors.New("connection is shut down")
				}
				return black(ctx, "", "", "")
			})
			began := time.Now()
			p, _, err := f.nodes["g1"].Acquire(t.Context(), request(0))
			if answers {
				require.NoError(t, err)
				require.Equal(t, 20*ms, time.Since(began))
				p.Release()
			}
			require.LessOrEqual(t, time.Since(began), target+50*ms)
			require.Equal(t, int64(1), f.nodes["g1"].LocalUses())
			synctest.Wait()
			require.Equal(t, 2, f.running("g0"), "the request that gave up holds a place")
			require.Zero(t, f.waiting())
		})
	}
}

// Guards against two gateways that both count as the owner for a while and together grant more than twice the limit.
func TestTwoOwners(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(6, 3)
		f.owner["g1"], f.owner["g3"], f.owner["g5"] = "g1", "g1", "g1"
		var granted sync.WaitGroup
		var n, most atomic.Int64
		for i := range 60 {
			granted.Go(func() {
				p, _, err := f.nodes[fmt.Sprint("g", i%6)].Acquire(t.Context(), request(0))
				if err != nil {
					return
				}
				if now := n.Add(1); now > most.Load() {
					most.Store(now)
				}
				time.Sleep(usual)
				n.Add(-1)
				p.Release()
			})
		}
		granted.Wait()
		require.Equal(t, int64(12), most.Load())
		synctest.Wait()
		require.Zero(t, f.running("g0")+f.running("g1"))
	})
}

// Guards against a place that is lost when a caller leaves: while its request waits, at the moment of the grant, and when its
// release overtakes the request.
func TestCallerThatLeaves(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(2, 1)
		for round := range 50 {
			var held []dispatcher.Place
			for range 2 {
				p, _, err := f.nodes["g0"].Acquire(t.Context(), request(0))
				require.NoError(t, err)
				held = append(held, p)
			}
			ctx, leave := context.WithCancel(t.Context())
			left := make(chan struct{})
			go func() {
				if p, _, err := f.nodes["g1"].Acquire(ctx, request(0)); err == nil {
					p.Release()
				}
				close(left)
			}()
			synctest.Wait()
			require.Equal(t, 1, f.waiting())
			if round%2 == 0 {
				go leave()
			}
			held[0].Release()
			leave()
			<-left
			held[1].Release()
			synctest.Wait()
			require.Zero(t, f.running("g0")+f.waiting()+f.nodes["g0"].InProgress("s"))
		}
		require.Zero(t, f.nodes["g1"].LocalUses())
		f.fail(func(_ context.Context, _, _, method string) error {
			if method == "Acquire" {
				time.Sleep(100 * ms) // It reaches the owner after the caller has given up.
			}
			return nil
		})
		ctx, leave := context.WithTimeout(t.Context(), 10*ms)
		defer leave()
		_, _, err := f.nodes["g1"].Acquire(ctx, request(0))
		require.Error(t, err)
		time.Sleep(200 * ms)
		require.Zero(t, f.running("g0"), "the release came before the request")
	})
}

// Guards against requests of faulty peers that end an owner's process, keep places for ever, or make it keep state without bound:
// times that are negative or overflow, serials that are used twice, services without upstreams, and any number of senders.
func TestRequestsOfFaultyPeers(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(1, 1)
		f.limit = 1e6
		places := arbiter.Places{Arbiter: f.nodes["g0"]}
		ask := func(from string, serial uint64, r dispatcher.Request) (reply arbiter.Reply, err error) {
			err = places.Acquire(arbiter.AcquireRequest{From: from, Serial: serial, Request: r}, &reply)
			return reply, err
		}
		for i, d := range []time.Duration{math.MinInt64, -1, 0, math.MaxInt64} {
			r := request(math.MaxInt * (i%2*2 - 1))
			r.Target, r.Elapsed, r.Remaining, r.Stated = d, d, d, d
			_, err := ask("odd", uint64(i), r)
			require.NoError(t, err)
		}
		_, err := ask("odd", 9, request(0))
		require.NoError(t, err)
		reply, err := ask("odd", 9, request(0))
		require.NoError(t, err)
		require.NotNil(t, reply.Refusal, "a serial is used twice")
		for i := range 1000 {
			r := request(0)
			r.Service = fmt.Sprint("none-", i)
			reply, err := ask("odd", uint64(100+i), r)
			require.NoError(t, err)
			require.True(t, reply.Unknown)
		}
		require.Equal(t, []string{"s"}, f.fleet["g0"].Services())
		long := request(0)
		long.Route = strings.Repeat("x", 300)
		_, err = ask("odd", 10, long)
		require.Error(t, err)
		require.Error(t, places.Await(arbiter.AwaitRequest{From: "odd", Serial: 1e6}, &reply))
		for i := range 6000 {
			require.NoError(t, places.Release(arbiter.ReleaseRequest{From: "early", Serial: uint64(i)}, &struct{}{}))
			_, err := ask(fmt.Sprint("flood-", i), 1, request(0))
			require.NoError(t, err)
		}
		require.LessOrEqual(t, f.running("g0"), 4096)
		time.Sleep(6 * time.Second)
		require.Zero(t, f.running("g0")+f.waiting()+f.nodes["g0"].InProgress("s"))
	})
}

// Guards against a request that is refused or marks the owner as lost, because the owner has not heard of the service yet.
func TestOwnerWithoutTheService(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(2, 1)
		r := request(0)
		r.Service = "new"
		for range 2 {
			_, _, err := f.nodes["g1"].Acquire(t.Context(), r)
			require.NoError(t, err)
		}
		require.Equal(t, int64(2), f.asked.Load())
		require.Zero(t, f.lost.Load())
	})
}

// Guards against requests that are sent to an upstream with a longer wait than another one has.
func TestAssignment(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(2, 6)
		f.limit = 60
		f.candidates = []arbiter.Candidate{{ID: "a", Slots: 6, Slowdown: 1}, {ID: "b", Slots: 6, Slowdown: 2}, {ID: "c", Slots: 3, Slowdown: 1}}
		counts := map[string]int{}
		for range 24 {
			p, _, err := f.nodes["g1"].Acquire(t.Context(), request(0))
			require.NoError(t, err)
			counts[p.Upstream]++
		}
		require.Equal(t, map[string]int{"a": 12, "b": 6, "c": 6}, counts)
	})
}

// Guards against slots that stay idle and answers that are late during a burst of five times what a service handles, with
// few slots behind 26 gateways: it answers in time at least 0.8 of what it can run. Calls take a millisecond each way.
func TestBurst(t *testing.T) {
	for _, slots := range []int{18, 6} {
		t.Run(fmt.Sprint(slots, " slots"), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				const lasts = 5 * time.Second
				f := newFleet(26, float64(slots))
				f.fail(func(context.Context, string, string, string) error {
					time.Sleep(2 * ms)
					return nil
				})
				random := rand.New(rand.NewPCG(1, 2))
				service := make(chan struct{}, slots)
				capacity := float64(slots) * lasts.Seconds() / usual.Seconds()
				var onTime, late, refused atomic.Int64
				var callers sync.WaitGroup
				for began := time.Now(); time.Since(began) < lasts; {
					g, runs := f.nodes[fmt.Sprint("g", random.IntN(26))], 40*ms+time.Duration(random.Int64N(int64(40*ms)))
					callers.Go(func() {
						arrived := time.Now()
						p, _, err := g.Acquire(t.Context(), request(0))
						if err != nil {
							refused.Add(1)
							return
						}
						defer p.Release()
						sent := time.Now()
						service <- struct{}{}
						time.Sleep(runs)
						<-service
						f.latency.Add((int64(time.Since(sent)) - f.latency.Load()) / 30) // A mean of about 30 responses.
						if time.Since(arrived) <= target {
							onTime.Add(1)
						} else {
							late.Add(1)
						}
					})
					time.Sleep(time.Duration(random.ExpFloat64() * float64(lasts) / (5 * capacity)))
				}
				callers.Wait()
				t.Logf("on time %d, late %d, refused %d; the service could have run %.0f", onTime.Load(), late.Load(), refused.Load(), capacity)
				require.GreaterOrEqual(t, float64(onTime.Load()), 0.8*capacity)
				time.Sleep(5 * ms) // The last releases are under way; leases last longer by far.
				require.Zero(t, f.running("g0"))
			})
		})
	}
}

// Guards against an owner that counts as lost, for all services, because a name of a route or an organisation is long.
func TestLongNames(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(2, 4)
		r := request(0)
		r.Route, r.Organisation = strings.Repeat("r", 5000), strings.Repeat("o", 5000)
		place, _, err := f.nodes["g1"].Acquire(t.Context(), r)
		require.NoError(t, err)
		require.Equal(t, "u", place.Upstream, "the owner has not admitted the request")
		place.Release()
		r.Service = strings.Repeat("s", 5000)
		place, _, err = f.nodes["g1"].Acquire(t.Context(), r)
		require.NoError(t, err)
		place.Release()
		require.Zero(t, f.lost.Load())
	})
}
