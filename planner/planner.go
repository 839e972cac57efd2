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
	// OrderLifetime is the time after its decision for which an order may be sent. An agent that was paused for longer
	// has to decide again.
	OrderLifetime = time.Second
	// SettleTime is the time after which an engine's status is expected to show an order that was sent.
	SettleTime = 2 * time.Second
	// ReadInterval is the time between two reads of the engine's status.
	ReadInterval = time.Second
	// MaxReadAge is the age above which the engine's status is too old to base an order on.
	MaxReadAge = 3 * ReadInterval
	// DefaultLanes is the default limit on the workers of a pool that load weights at the same time. It limits the load
	// of the weight store.
	DefaultLanes = 4
)

// Placement is a model and version that an engine loads; the zero value means none.
type Placement struct {
	Model, Version string
}

// Order tells an engine to load a placement.
type Order struct {
	Placement
	// Fence is the fencing number. It is higher than every number that the engine is known to have received.
	Fence uint64
	// Decided is the time of the decision on the agent's monotonic clock.
	Decided time.Duration
	// Reason is the reason for the order, for the log.
	Reason string
}

// Valid reports whether the order may still be sent, at most OrderLifetime after its decision. It prevents an agent that
// was paused from sending an outdated order.
func (o Order) Valid(now time.Duration) bool {
	age := now - o.Decided
	return age >= 0 && age <= OrderLifetime
}

// Desired is the placement that the sheet specifies for the pool, and the limits on changing to it.
type Desired struct {
	Placement
	// Floor is the fraction of the pool's engines that must stay ready.
	Floor float64
	// Lanes is the largest number of engines that change at the same time; zero means DefaultLanes.
	Lanes int
}

// Observed is the agent's information about its own engine. Its times are on the agent's monotonic clock.
type Observed struct {
	// Name is the name of the worker.
	Name string
	// Read is true once the engine's status has been read, and ReadAt is the time of the last read.
	Read   bool
	ReadAt time.Duration
	// Loaded is the placement that the engine had ready at the last read.
	Loaded Placement
	// Loading is true if the engine was loading a model at the last read.
	Loading bool
	// Fence is the greatest fencing number that the engine has reported.
	Fence uint64
	// Expected is the desired placement that the agent last found loaded, and whose version it sends with requests; the
	// zero value means none yet.
	Expected Placement
	// Last is the last order sent, and SentAt the time it was sent; the zero value means none.
	Last   Order
	SentAt time.Duration
}

// Peer is the agent's information about another worker of the pool, which may be out of date.
type Peer struct {
	Name string
	// Version is the model version that the worker has ready; empty means none.
	Version string
	// Down is true if the worker is down or leaving.
	Down bool
}

// Plan returns the orders to send to the engine now, at most one, and the reason for sending or not sending it.
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

// String returns the placement in the form model@version, or "nothing" for the zero value.
func (p Placement) String() string {
	if p == (Placement{}) {
		return "nothing"
	}
	return p.Model + "@" + p.Version
}

// NextRead returns the time of the next read of the engine's status: ReadInterval after the last one, but not before
// SettleTime has passed since an order was sent. It is zero, which means at once, if there was no read yet.
func NextRead(observed Observed) time.Duration {
	if !observed.Read {
		return 0
	}
	next := observed.ReadAt + ReadInterval
	if observed.Last.Fence > 0 && observed.ReadAt < observed.SentAt+SettleTime {
		// A read before the end of the settle time may show what the engine had loaded before the order.
		next = max(next, observed.SentAt+SettleTime)
	}
	return next
}

// mismatched reports whether something other than this agent changed what the engine has loaded. The engine then refuses
// requests for the expected version. Its capacity is lost already, so that neither lane nor floor delays the correction.
func (o Observed) mismatched() bool {
	return o.Expected != (Placement{}) && o.Loaded != (Placement{}) && o.Loaded != o.Expected
}

// reasonToWait returns why no order may or need be sent, regardless of the other workers; empty if there is no such
// reason.
func reasonToWait(now time.Duration, desired Desired, observed Observed) string {
	switch {
	case desired.Model == "" || desired.Version == "":
		return "no model or version is configured"
	case !observed.Read:
		return "the engine's status has not been read"
	case now-observed.ReadAt > MaxReadAge:
		return fmt.Sprintf("the engine's status was read %v ago", (now - observed.ReadAt).Round(time.Millisecond))
	case observed.Loaded == desired.Placement && !observed.Loading:
		return "placed"
	case observed.Loading:
		return "the engine is loading"
	case observed.Last.Fence > 0 && observed.ReadAt < observed.SentAt+SettleTime:
		return "the last order may not show in the engine's status yet"
	}
	return ""
}

// mayChange reports whether lane and floor allow the worker to change now, and the reason.
func mayChange(desired Desired, observed Observed, peers []Peer) (string, bool) {
	workers := len(peers) + 1
	lanes := laneCount(desired, workers)
	if lanes == 0 {
		return fmt.Sprintf("floor %v of %d workers allows no worker to change", desired.Floor, workers), false
	}
	order := changeOrder(desired.Version, observed.Name, peers)
	self := slices.IndexFunc(order, func(p Peer) bool { return p.Name == observed.Name })
	lane := self % lanes
	first := firstPending(desired.Version, order[:self], lanes)
	if first[lane].Name != "" {
		return fmt.Sprintf("lane %d of %d: waiting for %s", lane+1, lanes, first[lane].Name), false
	}
	if observed.Loaded == (Placement{}) {
		return fmt.Sprintf("lane %d of %d: the engine is empty and may load", lane+1, lanes), true
	}
	ready, required := readyCount(peers), minReady(desired.Floor, workers)
	// The first pending workers of other lanes may be changing right now. Those before this worker in the change order
	// are counted as not ready; those after it count this worker as not ready. Otherwise two lanes could both use the
	// same margin above the floor.
	ready -= readyCount(first)
	if ready < required {
		return fmt.Sprintf("floor: %d of %d workers would stay ready, want %d", ready, workers, required), false
	}
	return fmt.Sprintf("lane %d of %d: may change, %d of %d workers stay ready", lane+1, lanes, ready, workers), true
}

// readyCount returns the number of peers that have a version ready and are not down.
func readyCount(peers []Peer) int {
	n := 0
	for _, p := range peers {
		if p.Version != "" && !p.Down {
			n++
		}
	}
	return n
}

// firstPending returns, for each lane, the first worker that still has to change; the zero value means none.
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
	// The subtraction prevents a floating-point error in a product such as 0.7 * 10, which rounds up, from requiring one
	// more worker.
	const rounding = 1e-9
	return int(math.Ceil(floor*float64(workers) - rounding))
}

// laneCount returns the number of workers that may change at the same time.
func laneCount(desired Desired, workers int) int {
	n := desired.Lanes
	if n <= 0 {
		n = DefaultLanes
	}
	return min(n, workers-minReady(desired.Floor, workers))
}

// changeOrder returns the worker called name and its peers in the order in which they change to a version: sorted by the
// rendezvous hash of version and worker name. The hash depends on the version, so that different workers come first each
// time.
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
