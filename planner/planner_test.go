package planner_test

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"clementineramp/planner"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		// A fixed seed makes each run draw the same cases, unless the command line sets another one.
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

var (
	oldVersion = planner.Placement{Model: "clementine-8b", Version: "1"}
	newVersion = planner.Placement{Model: "clementine-8b", Version: "2"}
)

func readyPeers(n int, version string) []planner.Peer {
	var out []planner.Peer
	for i := range n {
		out = append(out, planner.Peer{Name: fmt.Sprint("peer-", i), Version: version})
	}
	return out
}

func TestPlan(t *testing.T) {
	const now = time.Minute
	desired := planner.Desired{Placement: newVersion, Floor: 0.5}
	self := planner.Observed{Name: "self", Read: true, ReadAt: now, Loaded: oldVersion, Expected: oldVersion, Fence: 41}
	updated := readyPeers(3, "2")
	with := func(f func(*planner.Observed)) planner.Observed {
		o := self
		f(&o)
		return o
	}
	tests := []struct {
		name     string
		desired  planner.Desired
		observed planner.Observed
		peers    []planner.Peer
		want     bool
		reason   string
	}{
		{"may change", desired, self, updated, true, "may change"},
		{"no placement desired", planner.Desired{}, self, updated, false, "no model or version is configured"},
		{"not read", desired, with(func(o *planner.Observed) { o.Read = false }), updated, false, "not been read"},
		{"read before a pause", desired, with(func(o *planner.Observed) { o.ReadAt = now - 10*time.Second }), updated, false, "10s ago"},
		{"placed", desired, with(func(o *planner.Observed) { o.Loaded = newVersion }), updated, false, "placed"},
		{"loading", desired, with(func(o *planner.Observed) { o.Loading = true }), updated, false, "loading"},
		{"last order may not show yet", desired, with(func(o *planner.Observed) { o.Last.Fence = 42; o.SentAt = now - time.Second }), updated, false, "last order may not show"},
		{"order was ignored", desired, with(func(o *planner.Observed) { o.Last.Fence = 42; o.SentAt = now - 2*time.Second }), updated, true, "may change"},
		{"another order was carried out", desired, with(func(o *planner.Observed) {
			o.Loaded = planner.Placement{Model: "other", Version: "9"}
		}), readyPeers(3, "1"), true, "correction: the engine has other@9 instead of clementine-8b@1"},
		{"correction back to the desired version", planner.Desired{Placement: oldVersion, Floor: 0.5}, with(func(o *planner.Observed) { o.Loaded = newVersion }), readyPeers(3, "1"), true, "correction"},
		{"floor", desired, self, []planner.Peer{{Name: "a", Version: "2"}, {Name: "b", Down: true, Version: "1"}, {Name: "c", Down: true}}, false, "floor: 1 of 4 workers would stay ready, want 2"},
		{"empty engine needs no floor", desired, with(func(o *planner.Observed) { o.Loaded = planner.Placement{} }), []planner.Peer{{Name: "b", Down: true}, {Name: "c", Down: true}}, true, "the engine is empty"},
		{"floor allows no change", planner.Desired{Placement: newVersion, Floor: 0.9}, self, updated, false, "allows no worker to change"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			orders, reason := planner.Plan(now, tt.desired, tt.observed, tt.peers)
			require.Contains(t, reason, tt.reason)
			if !tt.want {
				require.Empty(t, orders)
				return
			}
			require.Len(t, orders, 1)
			require.Equal(t, tt.desired.Placement, orders[0].Placement)
			require.Greater(t, orders[0].Fence, tt.observed.Fence)
			require.Greater(t, orders[0].Fence, tt.observed.Last.Fence)
		})
	}
}

// Guards against an order that is decided before a pause of the agent and reaches the engine after newer orders.
func TestOrderAfterPause(t *testing.T) {
	o := planner.Order{Decided: time.Minute}
	require.True(t, o.Valid(time.Minute))
	require.True(t, o.Valid(time.Minute+planner.OrderLifetime))
	require.False(t, o.Valid(time.Minute+planner.OrderLifetime+1))
	require.False(t, o.Valid(time.Minute-1), "decided on the clock of another incarnation")
}

func TestNextRead(t *testing.T) {
	require.Zero(t, planner.NextRead(planner.Observed{}))
	o := planner.Observed{Read: true, ReadAt: 10 * time.Second}
	require.Equal(t, 11*time.Second, planner.NextRead(o))
	o.Last.Fence, o.SentAt = 1, 10*time.Second
	require.Equal(t, 12*time.Second, planner.NextRead(o), "a read before the end of the settle time may show the state before the order")
	o.ReadAt = 12 * time.Second
	require.Equal(t, 13*time.Second, planner.NextRead(o))
}

// Guards against too many agents that change at the same time because their peer lists are in different orders.
func TestOneChangePerLane(t *testing.T) {
	const n = 20
	desired := planner.Desired{Placement: newVersion, Floor: 0.75}
	changes := 0
	for self := range n {
		var peers []planner.Peer
		for i := range n {
			if j := (i*7 + self) % n; j != self {
				peers = append(peers, planner.Peer{Name: fmt.Sprint("w", j), Version: "1"})
			}
		}
		orders, _ := planner.Plan(0, desired, planner.Observed{Name: fmt.Sprint("w", self), Read: true, Loaded: oldVersion, Expected: oldVersion}, peers)
		changes += len(orders)
	}
	require.Equal(t, planner.DefaultLanes, changes)
}

// worker is an engine and its agent in TestRollingChange.
type worker struct {
	loaded    planner.Placement
	expected  planner.Placement
	fence     uint64
	loadsLeft int
	last      planner.Order
	sentAt    time.Duration
	down      bool
}

// Guards against a rolling change that violates the floor, uses more lanes than allowed or never ends, while agents have
// stale information about each other and some workers are down.
func TestRollingChange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(rt, "workers")
		lag := rapid.IntRange(0, 4).Draw(rt, "lag")
		maxLanes := rapid.IntRange(1, 6).Draw(rt, "lanes")
		floor := rapid.SampledFrom([]float64{0, 0.25, 0.5, 0.7, 0.75}).Draw(rt, "floor")
		desired := planner.Desired{Placement: newVersion, Floor: floor, Lanes: maxLanes}
		workers := make([]worker, n)
		down := 0
		for i := range workers {
			workers[i] = worker{loaded: oldVersion, expected: oldVersion}
			if rapid.IntRange(0, 9).Draw(rt, "down") == 0 {
				workers[i].down = true
				down++
			}
		}
		// No worker may change if fewer than this number would stay ready.
		minReady := int(math.Ceil(floor*float64(n) - 1e-9))
		canChange := n-down-1 >= minReady
		history := [][]worker{append([]worker(nil), workers...)}
		for step := range 150 {
			now := time.Duration(step) * time.Second
			seen := history[max(0, len(history)-1-lag)]
			for i := range workers {
				tick(&workers[i], now, desired, fmt.Sprint("w", i), peersOf(seen, i))
			}
			history = append(history, append([]worker(nil), workers...))
			loading, ready := 0, 0
			for _, w := range workers {
				if w.loadsLeft > 0 {
					loading++
				} else if !w.down {
					ready++
				}
			}
			if loading > maxLanes {
				rt.Fatalf("step %d: %d workers are loading, want at most %d", step, loading, maxLanes)
			}
			if loading > 0 && ready < minReady {
				rt.Fatalf("step %d: %d of %d ready, want %d", step, ready, n, minReady)
			}
		}
		for i, w := range workers {
			if canChange && !w.down && w.loaded != newVersion {
				rt.Fatalf("worker %d still has %v loaded", i, w.loaded)
			}
		}
	})
}

// peersOf returns the peers of the worker with the index self.
func peersOf(workers []worker, self int) []planner.Peer {
	var peers []planner.Peer
	for j, w := range workers {
		if j != self {
			peers = append(peers, planner.Peer{Name: fmt.Sprint("w", j), Version: w.loaded.Version, Down: w.down})
		}
	}
	return peers
}

// tick runs a worker for one step: it continues loading, or plans and begins to load what the plan orders.
func tick(w *worker, now time.Duration, desired planner.Desired, name string, peers []planner.Peer) {
	const loadTime = 3
	if w.down {
		return
	}
	if w.loadsLeft > 0 {
		w.loadsLeft--
		if w.loadsLeft == 0 {
			w.loaded, w.expected = w.last.Placement, w.last.Placement
		}
		return
	}
	o := planner.Observed{
		Name: name, Read: true, ReadAt: now, Loaded: w.loaded, Expected: w.expected,
		Fence: w.fence, Last: w.last, SentAt: w.sentAt,
	}
	orders, _ := planner.Plan(now, desired, o, peers)
	for _, order := range orders {
		w.last, w.sentAt, w.fence = order, now, order.Fence
		w.loaded, w.loadsLeft = planner.Placement{}, loadTime
	}
}
