package throttler

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"clementineramp/notifier"
	"clementineramp/registrar"
)

const (
	// window is the time over which the requests of a gateway to a cold upstream are counted. It is longer than the second of
	// the bound, because the times between sending and arrival differ between requests.
	window = 1100 * time.Millisecond
	// maxDelay bounds the time by which a gateway takes an upstream for cold too long, so that the gateways do not all send it
	// their requests from the same moment on.
	maxDelay = 500 * time.Millisecond
	// bornMargin is the time by which the clocks of an upstream and of a gateway may differ when the gateway decides whether an
	// upstream that it had not heard of has just started.
	bornMargin = 2 * time.Second
	// membersTTL is the age up to which the list of members is used again: it is copied and sorted at each call.
	membersTTL = 100 * time.Millisecond
	// minKept is the least number of times of sending that are kept of each upstream, so that they are known if a new
	// configuration raises the share.
	minKept = 32
)

// Config sets up a Throttler. All fields but OnChange and OnSend are required.
type Config struct {
	// Self is the address of this gateway.
	Self string
	// Members returns the addresses of the known gateways, including this one, and whether this one may own upstreams. The
	// Throttler is locked while Members, Bound and View are called, so these must not call it.
	Members func(now time.Time) (addresses []string, settled bool)
	// Bound returns the limit of requests to a cold upstream of a service.
	Bound func(service string) Bound
	// View returns the upstreams in use.
	View func() *registrar.View
	// OnChange is called when an upstream has become cold or warm. It may be nil. No lock is held during the call.
	OnChange func(Event)
	// OnSend is called for each request to a cold upstream; it may be nil. No lock is held during the call.
	OnSend func()
}

// Event says that an upstream has become cold or warm, as this gateway sees it.
type Event struct {
	Upstream, Service string
	Cold              bool
	// Cause says why the upstream is or was cold: stated, started or evacuation_ended.
	Cause string
	// Duration is the time for which the upstream stays cold as far as is known or, if it has become warm, was cold.
	Duration time.Duration
	// Owner is set if this gateway may send to the cold upstream, at most Share requests in any 1.1 s.
	Owner bool
	Share int
}

// Throttler bounds the requests to cold upstreams; it is safe for concurrent use.
type Throttler struct {
	cfg Config

	mu sync.Mutex
	// calls holds the calls of OnChange and OnSend that are due.
	calls notifier.Notifier
	// states holds the state of upstreams of services with a bound, by ID.
	states map[string]*state
	// members holds the known gateways as of membersAt, in order, and version counts their changes.
	members   []string
	settled   bool
	membersAt time.Time
	version   int
}

// state is what a gateway knows of one upstream and has sent to it.
type state struct {
	// until is the end of the cold time without the delay of this gateway, and cause its cause. It is reset when the upstream
	// states that it is warm.
	until time.Time
	cause string
	cold  bool
	// since is the time at which the upstream has become cold.
	since time.Time
	// sent holds the times of the latest requests, the oldest first. They count for all incarnations of the ID.
	sent []time.Time
	// reserved is the number of requests that have a place and have not been sent.
	reserved int
	// owner reports whether this gateway is among the given number of owners by the members of version.
	owner   bool
	owners  int
	version int
}

// New returns a Throttler that has sent nothing.
func New(cfg Config) *Throttler {
	return &Throttler{cfg: cfg, states: make(map[string]*state)}
}

// Cold reports whether the upstream is cold.
func (t *Throttler) Cold(u registrar.Upstream, now time.Time) bool {
	b := t.cfg.Bound(u.Service)
	if b.Rate <= 0 {
		return false
	}
	t.mu.Lock()
	defer t.calls.Unlock(&t.mu)
	return t.update(u, b, now).cold
}

// Free reports whether the upstream is cold and this gateway may send one more request.
func (t *Throttler) Free(u registrar.Upstream, now time.Time) bool {
	b := t.cfg.Bound(u.Service)
	if b.Rate <= 0 {
		return false
	}
	t.mu.Lock()
	defer t.calls.Unlock(&t.mu)
	s := t.update(u, b, now)
	return s.cold && s.used(now)+s.reserved < t.share(u, s, b, now)
}

// Reserve reserves a place for a request that is about to be sent. It returns false if the upstream is cold and this gateway
// may send it no more requests. The place must be used by Send or returned by Release.
func (t *Throttler) Reserve(u registrar.Upstream, now time.Time) bool {
	b := t.cfg.Bound(u.Service)
	if b.Rate <= 0 {
		return true
	}
	t.mu.Lock()
	defer t.calls.Unlock(&t.mu)
	s := t.update(u, b, now)
	if s.cold && s.used(now)+s.reserved >= t.share(u, s, b, now) {
		return false
	}
	s.reserved++
	return true
}

// Send takes a place in the window for a request that is sent immediately after the call, whether it was reserved or not. It
// returns false if the upstream is cold and no place is left; a reservation then remains. Requests to a warm upstream are
// counted too, since it may become cold within the window.
func (t *Throttler) Send(u registrar.Upstream, now time.Time) bool {
	b := t.cfg.Bound(u.Service)
	if b.Rate <= 0 {
		return true
	}
	t.mu.Lock()
	defer t.calls.Unlock(&t.mu)
	s := t.update(u, b, now)
	if s.cold && s.used(now) >= t.share(u, s, b, now) {
		return false
	}
	s.reserved = max(s.reserved-1, 0)
	_, share := b.shares()
	s.record(now, max(share, minKept))
	if s.cold && t.cfg.OnSend != nil {
		t.calls.Add(t.cfg.OnSend)
	}
	return true
}

// Release returns a place that was reserved but not used for sending.
func (t *Throttler) Release(u registrar.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[u.ID]; s != nil {
		s.reserved = max(s.reserved-1, 0)
	}
}

// Refresh reports changes of upstreams that no request has asked for, and removes the state of upstreams that are gone. It
// returns the number of cold upstreams and of those that this gateway owns.
func (t *Throttler) Refresh(now time.Time) (cold, owned int) {
	view := t.cfg.View()
	t.mu.Lock()
	defer t.calls.Unlock(&t.mu)
	known := make(map[string]bool)
	for service, list := range view.ByService {
		b := t.cfg.Bound(service)
		if b.Rate <= 0 {
			continue
		}
		for _, u := range list {
			known[u.ID] = true
			s := t.update(u, b, now)
			if !s.cold {
				continue
			}
			cold++
			if t.share(u, s, b, now) > 0 {
				owned++
			}
		}
	}
	for id, s := range t.states {
		if !known[id] && s.reserved == 0 && s.used(now) == 0 {
			delete(t.states, id)
		}
	}
	return cold, owned
}

// update returns the state of an upstream, brought up to date. The caller holds t.mu.
func (t *Throttler) update(u registrar.Upstream, b Bound, now time.Time) *state {
	s := t.states[u.ID]
	if s == nil {
		s = &state{}
		t.states[u.ID] = s
	}
	until, cause, listed := coldUntil(t.cfg.View(), u, b)
	switch {
	case !listed: // A request that was to be sent to it may still wait for its connection.
	case until.After(now):
		s.until, s.cause = until, cause
	case s.until.After(now):
		s.until = now // It has stated that it is warm before the end that was known.
	case until.After(s.until):
		s.until, s.cause = until, cause
	}
	cold := !s.until.IsZero() && now.Before(s.until.Add(t.delay(u)))
	if cold == s.cold {
		return s
	}
	s.cold = cold
	event := Event{Upstream: u.ID, Service: u.Service, Cold: cold, Cause: s.cause, Duration: now.Sub(s.since)}
	if cold {
		s.since = now
		event.Duration = s.until.Add(t.delay(u)).Sub(now)
	}
	event.Share = t.share(u, s, b, now)
	event.Owner = event.Share > 0
	if t.cfg.OnChange != nil {
		t.calls.Add(func() { t.cfg.OnChange(event) })
	}
	return s
}

// coldUntil returns the time until which an upstream is cold by what the gateway has heard of it, and why; zero if it was
// never cold. The result listed is false if the upstream is not in use any more.
func coldUntil(v *registrar.View, u registrar.Upstream, b Bound) (until time.Time, cause string, listed bool) {
	times, listed := v.Times[u.ID]
	if !listed {
		return time.Time{}, "", false
	}
	statesCold := times.ColdUntil.After(times.Entry)
	if statesCold {
		until, cause = times.ColdUntil, "stated"
	}
	if !times.Joined.IsZero() && hasJustStarted(u, times.Joined, b) {
		if end := times.Joined.Add(b.Start); end.After(until) {
			until, cause = end, "started"
		}
	}
	if ended, ok := v.EvacuationsEnded[u.FailureDomain]; ok && (statesCold || !times.Entry.After(ended)) {
		if end := ended.Add(b.Start); end.After(until) {
			until, cause = end, "evacuation_ended"
		}
	}
	return until, cause, true
}

// hasJustStarted reports whether an upstream had started lately, or at an unknown time, when the gateway first heard of it. The
// age is not examined again later: a clock that is set would make a cold upstream warm.
func hasJustStarted(u registrar.Upstream, joined time.Time, b Bound) bool {
	return u.Born == 0 || joined.Sub(time.UnixMilli(u.Born)) <= b.Start+bornMargin
}

// delay returns the time by which this gateway takes the upstream for cold too long.
func (t *Throttler) delay(u registrar.Upstream) time.Duration {
	return time.Duration(hash(t.cfg.Self, u.ID) % uint64(maxDelay))
}

// record adds a time of sending and removes those that have left the window, and those beyond the number to keep.
func (s *state) record(now time.Time, keep int) {
	s.sent = append(s.sent, now)
	drop := max(len(s.sent)-keep, 0)
	for now.Sub(s.sent[drop]) >= window {
		drop++
	}
	s.sent = slices.Delete(s.sent, 0, drop)
}

// used returns the number of requests in the window.
func (s *state) used(now time.Time) int {
	n := 0
	for _, at := range s.sent {
		if now.Sub(at) < window {
			n++
		}
	}
	return n
}

// share returns the number of requests that this gateway may send to a cold upstream in a window. The caller holds t.mu.
func (t *Throttler) share(u registrar.Upstream, s *state, b Bound, now time.Time) int {
	owners, share := b.shares()
	t.refreshMembers(now)
	if s.version != t.version || s.owners != owners {
		s.version, s.owners = t.version, owners
		s.owner = isOwner(t.members, t.cfg.Self, u.ID, owners)
	}
	if !s.owner || !t.settled {
		return 0
	}
	return share
}

// refreshMembers reads the list of members unless that has been done just before. The caller holds t.mu.
func (t *Throttler) refreshMembers(now time.Time) {
	if age := now.Sub(t.membersAt); t.version > 0 && age >= 0 && age < membersTTL {
		return
	}
	members, settled := t.cfg.Members(now)
	slices.Sort(members)
	t.membersAt, t.settled = now, settled
	if t.version == 0 || !slices.Equal(members, t.members) {
		t.members = members
		t.version++
	}
}

// isOwner reports whether self is one of the owners of an upstream among all members.
func isOwner(members []string, self, upstream string, owners int) bool {
	own := hash(self, upstream)
	before := 0
	for _, m := range members {
		h := hash(m, upstream)
		if m != self && (h > own || h == own && cmp.Less(m, self)) {
			before++
		}
	}
	return before < owners
}

// hash returns the rendezvous hash of a gateway for an upstream.
func hash(gateway, upstream string) uint64 {
	return xxhash.Sum64String(gateway + "\x00" + upstream)
}
