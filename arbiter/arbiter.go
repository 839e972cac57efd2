package arbiter

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"clementineramp/dispatcher"
)

const (
	// ServiceName is the name of the RPC service of an owner, as which Places is to be registered.
	ServiceName = "Places"
	// askTimeout bounds the wait for the first reply of an owner, which takes about a millisecond within a region. It is short
	// compared to targets, as the request waits meanwhile.
	askTimeout = 60 * time.Millisecond
	// releaseTimeout bounds the call that gives back a place; the owner ends its lease otherwise.
	releaseTimeout = time.Second
	// lostTime is the time for which an owner that did not reply is not asked again, and goneTime that after a second time in
	// succession. The gateways hear up to 8 s late that an owner has lost power; meanwhile the next one takes its place.
	lostTime = 500 * time.Millisecond
	goneTime = 2 * time.Second
	// awaitMargin is the time after the longest wait of a request up to which the decision of the owner is awaited.
	awaitMargin = 50 * time.Millisecond
	// maxWait is the longest wait of a request without a target. One with a target waits no longer than that.
	maxWait = time.Second
)

// errUnknownRequest means that the owner does not know a request, because it has started since or its lease has ended.
var errUnknownRequest = errors.New("no request waits under this ID")

// errUnknownService means that the owner knows no upstream of a service.
var errUnknownService = errors.New("the owner knows no upstream of the service")

// Candidate is an upstream that an owner may name.
type Candidate struct {
	ID string
	// Slots is the number of requests that it runs concurrently, Limit the number that may be in progress there, and Slowdown
	// its latency as a multiple of the usual one.
	Slots, Limit, Slowdown float64
}

// Config holds the dependencies of an Arbiter; OnLost may be nil, the other fields are required.
type Config struct {
	// Self is the address of this gateway.
	Self string
	// Owner returns the address of the owner of a service, which is none of the excepted ones; it is empty if none can be told.
	Owner func(service string, now time.Time, except ...string) string
	// Fleet admits the requests of all gateways while this one is the owner, and Local those of this gateway by its share while
	// the owner is not reached.
	Fleet, Local *dispatcher.Dispatcher
	// Candidates returns the upstreams of a service that are in use.
	Candidates func(service string, now time.Time) []Candidate
	// Call calls a method of another gateway.
	Call func(ctx context.Context, peer, method string, args, reply any) error
	// OnLost is called when an owner did not reply.
	OnLost func(service, owner string, err error)
}

// Arbiter acquires places for the requests of this gateway, and grants places while it is an owner. It is safe for concurrent use.
type Arbiter struct {
	cfg    Config
	serial atomic.Uint64

	mu sync.Mutex
	// lost holds the owners that did not reply, until they do.
	lost map[string]loss
	// inProgress counts the places that are granted, by service and upstream.
	inProgress map[string]map[string]int
	// granted holds the requests of other gateways that wait or hold a place here.
	granted map[key]*lease
	// held counts them by gateway.
	held map[string]int
	// early and earlier hold the releases without a request that arrived since rotatedAt, and before.
	early, earlier map[key]struct{}
	rotatedAt      time.Time
	// localUses counts the requests that were admitted by the own share.
	localUses atomic.Int64
}

// loss says that an owner is not asked until a time. It is gone if it did not reply twice in succession.
type loss struct {
	until time.Time
	gone  bool
}

// New returns an Arbiter that has granted nothing.
func New(cfg Config) *Arbiter {
	a := &Arbiter{
		cfg: cfg, lost: make(map[string]loss), inProgress: make(map[string]map[string]int), granted: make(map[key]*lease),
		held: make(map[string]int), early: make(map[key]struct{}), rotatedAt: time.Now(),
	}
	// An owner may still hold leases of the process that had this address before.
	a.serial.Store(rand.Uint64())
	return a
}

// Acquire waits for a place at the service of a request. The place must be released. The error is a *dispatcher.Refusal, or that
// of ctx if it ended first.
func (a *Arbiter) Acquire(ctx context.Context, r dispatcher.Request) (dispatcher.Place, time.Duration, error) {
	r.Route, r.Organisation = shortName(r.Route), shortName(r.Organisation)
	began := time.Now()
	owner := a.cfg.Owner(r.Service, began, a.gone(began)...)
	var place dispatcher.Place
	var err error
	switch {
	case owner == a.cfg.Self:
		place, err = a.acquireHere(ctx, r)
	case owner == "" || len(r.Service) > maxNameBytes || a.isLost(owner, began):
		place, err = a.acquireLocal(ctx, r)
	default:
		place, err = a.acquireFrom(ctx, owner, r)
		if ctx.Err() == nil && err != nil && !errors.As(err, new(*dispatcher.Refusal)) {
			if !errors.Is(err, errUnknownService) {
				a.recordLost(r.Service, owner, err)
			}
			waited := time.Since(began)
			r.Elapsed, r.Remaining = r.Elapsed+waited, r.Remaining-waited
			place, err = a.acquireLocal(ctx, r)
		}
	}
	return place, time.Since(began), err
}

// shortName returns a name that is short enough for an owner. Of a longer one, its hash tells it from others.
func shortName(s string) string {
	if len(s) <= maxNameBytes {
		return s
	}
	return s[:maxNameBytes/2] + strconv.FormatUint(xxhash.Sum64String(s), 16)
}

// LocalUses returns the number of requests that were admitted by the own share, as the owner was not known or not reached.
func (a *Arbiter) LocalUses() int64 { return a.localUses.Load() }

func (a *Arbiter) acquireLocal(ctx context.Context, r dispatcher.Request) (dispatcher.Place, error) {
	a.localUses.Add(1)
	release, _, err := a.cfg.Local.Acquire(ctx, r)
	return dispatcher.Place{Release: release}, err
}

// acquireHere acquires a place at this gateway as the owner.
func (a *Arbiter) acquireHere(ctx context.Context, r dispatcher.Request) (dispatcher.Place, error) {
	release, _, err := a.cfg.Fleet.Acquire(ctx, r)
	if err != nil {
		return dispatcher.Place{}, err
	}
	upstream := a.assign(r.Service, time.Now())
	return dispatcher.Place{Upstream: upstream, Release: sync.OnceFunc(func() {
		a.unassign(r.Service, upstream)
		release()
	})}, nil
}

// acquireFrom acquires a place from the owner. The error is that of a refusal, or says that the owner was not reached.
func (a *Arbiter) acquireFrom(ctx context.Context, owner string, r dispatcher.Request) (dispatcher.Place, error) {
	k := key{From: a.cfg.Self, Serial: a.serial.Add(1)}
	release := sync.OnceFunc(func() { go a.giveBack(owner, k) })
	var reply Reply
	askCtx, cancel := context.WithTimeout(ctx, askTimeout)
	err := a.cfg.Call(askCtx, owner, ServiceName+".Acquire", AcquireRequest{From: k.From, Serial: k.Serial, Request: r}, &reply)
	cancel()
	if err == nil {
		a.recordReply(owner)
	}
	if err == nil && reply.Waits {
		longest := cmp.Or(max(r.Target, 0), maxWait)
		awaitCtx, cancel := context.WithTimeout(ctx, min(r.Remaining, longest)+awaitMargin)
		reply = Reply{}
		err = a.cfg.Call(awaitCtx, owner, ServiceName+".Await", AwaitRequest(k), &reply)
		cancel()
	}
	if err != nil {
		release()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return dispatcher.Place{}, err
	}
	if reply.Unknown {
		return dispatcher.Place{}, errUnknownService
	}
	if reply.Refusal != nil {
		return dispatcher.Place{}, reply.Refusal
	}
	return dispatcher.Place{Upstream: reply.Upstream, Release: release}, nil
}

// giveBack tells the owner that a request needs no place any more.
func (a *Arbiter) giveBack(owner string, k key) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	// The owner ends the lease by itself if the call fails.
	_ = a.cfg.Call(ctx, owner, ServiceName+".Release", ReleaseRequest(k), &struct{}{})
}

func (a *Arbiter) isLost(owner string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Before(a.lost[owner].until)
}

// gone returns the owners whose places the next ones take.
func (a *Arbiter) gone(now time.Time) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var owners []string
	for owner, l := range a.lost {
		if l.gone && now.Before(l.until) {
			owners = append(owners, owner)
		}
	}
	return owners
}

func (a *Arbiter) recordReply(owner string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.lost, owner)
}

func (a *Arbiter) recordLost(service, owner string, err error) {
	now := time.Now()
	a.mu.Lock()
	maps.DeleteFunc(a.lost, func(_ string, l loss) bool { return now.Sub(l.until) >= goneTime })
	old, again := a.lost[owner]
	known := now.Before(old.until)
	switch { // Further requests that were under way when the owner was lost change nothing.
	case again && !known:
		a.lost[owner] = loss{until: now.Add(goneTime), gone: true}
	case !again:
		a.lost[owner] = loss{until: now.Add(lostTime)}
	}
	a.mu.Unlock()
	if !known && a.cfg.OnLost != nil {
		a.cfg.OnLost(service, owner, err)
	}
}
