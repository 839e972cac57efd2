package planner

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// OrderLifetime is the time for which a decided order may be sent; an agent that was paused for longer decides anew.
	OrderLifetime = time.Second
	// SettleTime is the time that an engine gets to show an order in its status.
	SettleTime = 2 * time.Second
	// ReadInterval is the time between reads of the engine's status.
	ReadInterval = time.Second
	// MaxReadAge is the age above which a read of the engine's status is no ground for an order.
	MaxReadAge = 3 * ReadInterval
	// DefaultLanes bounds the workers of a pool that load weights at the same time, for the sake of the weight store.
	DefaultLanes = 4
)

// Placement is a model and version in an engine.
type Placement struct {
	Model, Version string
}

// Order tells an engine to load a placement.
type Order struct {
	Placement
	// Fence is above every number that the engine is known to have seen.
	Fence uint64
	// Decided is the time of the decision on the agent's monotonic clock.
	Decided time.Duration
	Reason  string
}

// Valid reports whether the order may still be sent; after a pause it may not.
func (o Order) Valid(now time.Duration) bool {
	age := now - o.Decided
	return age >= 0 && age <= OrderLifetime
}

// Desired is what the sheet says of the pool.
type Desired struct {
	Placement
	// Floor is the fraction of the pool's engines that stays ready.
	Floor float64
	// Lanes bounds the engines that change at the same time; zero means DefaultLanes.
	Lanes int
}

// Observed is what the agent knows of its own engine.
type Observed struct {
	// Name is the name of the worker.
	Name string
	// ReadAt is the time of the last read of the engine's status; Read says whether there was one.
	Read   bool
	ReadAt time.Duration
	// Loaded is what the engine had ready at the read; the zero value means nothing.
	Loaded Placement
	// Loading says that the engine was loading something.
	Loading bool
	// Fence is the greatest fencing number that the engine reported.
	Fence uint64
	// Expected is what the agent last saw placed and names to requests; the zero value means nothing yet.
	Expected Placement
	// Last is the order that was sent last, at SentAt; the zero value means none.
	Last   Order
	SentAt time.Duration
}

// Peer is what the agent knows of another worker of the pool.
type Peer struct {
	Name string
	// Version is the model version that the worker has ready; empty means none.
	Version string
	// Down says that the worker is down or leaving.
	Down bool
}

// Plan returns the orders to give the engine now, at most one, and the reason for giving it or none.
func Plan(now time.Duration, desired Desired, observed Observed, peers []Peer) ([]Order, string) {
	if reason := reasonToWait(now, desired, observed); reason != "" {
		return nil, reason
	}
	reason := "correction: the engine has " + observed.Loaded.String() + " instead of " + observed.Expected.String()
	if !observed.mismatched() {
		var ok bool
		if reason, ok = mayChange(desired, observed, peers); !ok {
			return nil, reason
		}
	}
	return []Order{{
		Placement: desired.Placement, Fence: max(observed.Fence, observed.Last.Fence) + 1,
		Decided: now, Reason: reason,
	}}, reason
}

// String returns the placement in the form model@version.
func (p Placement) String() string {
	if p == (Placement{}) {
		return "nothing"
	}
	return p.Model + "@" + p.Version
}

// NextRead returns when the engine's status is to be read: after the settle time of an order, and each second.
func NextRead(observed Observed) time.Duration {
	if !observed.Read {
		return 0
	}
	next := observed.ReadAt + ReadInterval
	if observed.Last.Fence > 0 && observed.ReadAt < observed.SentAt+SettleTime {
		// A read before the settle time shows what the engine had before the order.
		next = max(next, observed.SentAt+SettleTime)
	}
	return next
}

// mismatched says that something else changed the engine; requests that name the expected version are refused by it,
// so its capacity is lost already and neither lane nor floor delays the correction.
func (o Observed) mismatched() bool {
	return o.Expected != (Placement{}) && o.Loaded != (Placement{}) && o.Loaded != o.Expected
}

// reasonToWait returns why no order may or need be given, whatever the other workers do.
func reasonToWait(now time.Duration, desired Desired, observed Observed) string {
	switch {
	case desired.Model == "" || desired.Version == "":
		return "the configuration places nothing"
	case !observed.Read:
		return "the engine's status has not been read"
	case now-observed.ReadAt > MaxReadAge:
		return fmt.Sprintf("the engine's status was read %v ago", (now - observed.ReadAt).Round(time.Millisecond))
	case observed.Loaded == desired.Placement && !observed.Loading:
		return "placed"
	case observed.Loading:
		return "the engine is loading"
	case observed.Last.Fence > 0 && observed.ReadAt < observed.SentAt+SettleTime:
		return "the last order is settling"
	}
	return ""
}

// mayChange says whether lane and floor let the worker change now.
func mayChange(desired Desired, observed Observed, peers []Peer) (string, bool) {
	workers := len(peers) + 1
	lanes := laneCount(desired, workers)
	if lanes == 0 {
		return fmt.Sprintf("floor %v of %d workers leaves none to change", desired.Floor, workers), false
	}
	order := changeOrder(desired.Version, observed.Name, peers)
	self := slices.IndexFunc(order, func(p Peer) bool { return p.Name == observed.Name })
	lane := self % lanes
	first := firstPending(desired.Version, order[:self], lanes)
	if first[lane].Name != "" {
		return fmt.Sprintf("lane %d of %d: %s comes first", lane+1, lanes, first[lane].Name), false
	}
	if observed.Loaded == (Placement{}) {
		return fmt.Sprintf("lane %d of %d: turn of an empty engine", lane+1, lanes), true
	}
	ready, required := readyCount(peers), minReady(desired.Floor, workers)
	// The first workers of other lanes may change at this moment. Those that come before this one in the order
	// are taken as not ready; those after it take this one so. Otherwise two lanes could use the same margin.
	ready -= readyCount(first)
	if ready < required {
		return fmt.Sprintf("floor: %d of %d workers would stay ready, want %d", ready, workers, required), false
	}
	return fmt.Sprintf("lane %d of %d: turn, %d of %d workers stay ready", lane+1, lanes, ready, workers), true
}

func readyCount(peers []Peer) int {
	n := 0
	for _, p := range peers {
		if p.Version != "" && !p.Down {
			n++
		}
	}
	return n
}

// firstPending returns for each lane the first of the workers that still has to change; the zero value means none.
func firstPending(version string, order []Peer, lanes int) []Peer {
	first := make([]Peer, lanes)
	for i, p := range order {
		if first[i%lanes].Name == "" && p.Version != version && !p.Down {
			first[i%lanes] = p
		}
	}
	return first
}

// minReady returns the number of workers that must stay ready.
func minReady(floor float64, workers int) int {
	// The subtraction keeps a product such as 0.7 * 10, which floating point rounds up, from asking for one more.
	const rounding = 1e-9
	return int(math.Ceil(floor*float64(workers) - rounding))
}

func laneCount(desired Desired, workers int) int {
	n := desired.Lanes
	if n <= 0 {
		n = DefaultLanes
	}
	return min(n, workers-minReady(desired.Floor, workers))
}

// changeOrder sorts the workers of the pool, name included, by the rendezvous rank of the version.
// The rank depends on the version, so that not the same workers go first each time.
func changeOrder(version, name string, peers []Peer) []Peer {
	type ranked struct {
		Peer
		rank uint64
	}
	all := make([]ranked, 0, len(peers)+1)
	for _, p := range append([]Peer{{Name: name}}, peers...) {
		all = append(all, ranked{p, xxhash.Sum64String(version + "\x00" + p.Name)})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.Name, b.Name))
	})
	order := make([]Peer, len(all))
	for i, r := range all {
		order[i] = r.Peer
	}
	return order
}
