package arbiter

import (
	"errors"
	"time"

	"clementineramp/dispatcher"
)

const (
	// leaseMargin is the time after the remaining time of a request at which its place is taken back, if the gateway that holds
	// it has not given it back: it has ended, or its messages are lost.
	leaseMargin = 500 * time.Millisecond
	// maxLease bounds a lease, so that places of gateways that have ended are free again soon; plain services answer within
	// a fraction of it.
	maxLease = 5 * time.Second
	// maxHeld bounds the requests of one other gateway that wait or hold a place, and maxLeases those of all other gateways, as
	// a faulty peer could state any number of addresses.
	maxHeld   = 1024
	maxLeases = 4096
	// earlyTime is the time for which a release is kept that arrives before its request; calls overtake each other by
	// milliseconds. At most maxEarly releases are kept for each such time.
	earlyTime = 2 * time.Second
	maxEarly  = 4096
	// maxTime bounds the times that a request states; route timeouts are shorter.
	maxTime = time.Hour
	// maxNameBytes bounds the names that a request states, and maxUrgency its urgency, as queues keep them.
	maxNameBytes = 256
	maxUrgency   = 255
)

// errMalformed means that a request of a peer states names that are too long.
var errMalformed = errors.New("the names of the request are too long")

// key identifies a request of another gateway.
type key struct {
	From   string
	Serial uint64
}

// lease is a request of another gateway that waits or holds a place.
type lease struct {
	service string
	ticket  *dispatcher.Ticket
	// upstream is set once the place is granted.
	upstream string
	granted  bool
	// expiry is set once the request has its ticket.
	expiry *time.Timer
}

// AcquireRequest asks for a place. Serial is the number of the request at the gateway at the address From.
type AcquireRequest struct {
	From    string
	Serial  uint64
	Request dispatcher.Request
}

// AwaitRequest asks for the decision on a request that waits.
type AwaitRequest struct {
	From   string
	Serial uint64
}

// ReleaseRequest gives back a place, or removes a request that waits.
type ReleaseRequest struct {
	From   string
	Serial uint64
}

// Reply is the decision on a request.
type Reply struct {
	// Waits is set if the request waits; Await returns the decision.
	Waits bool
	// Unknown is set if the owner knows no upstream of the service.
	Unknown bool
	// Upstream is the upstream at which the request has its place; it may be empty.
	Upstream string
	// Refusal is set if the request is refused.
	Refusal *dispatcher.Refusal
}

// Places is the RPC service of an owner.
type Places struct {
	Arbiter *Arbiter
}

// Acquire grants or refuses a place, or lets the request wait. It never blocks.
func (p *Places) Acquire(req AcquireRequest, reply *Reply) error {
	a := p.Arbiter
	k := key{From: req.From, Serial: req.Serial}
	r := req.Request
	if max(len(k.From), len(r.Service), len(r.Route), len(r.Organisation)) > maxNameBytes {
		return errMalformed
	}
	// A queue is kept for each service, so that there is none for a service that is not known.
	if len(a.cfg.Candidates(r.Service, time.Now())) == 0 {
		reply.Unknown = true
		return nil
	}
	r.Urgency = min(max(r.Urgency, 0), maxUrgency)
	for _, d := range []*time.Duration{&r.Target, &r.Elapsed, &r.Remaining, &r.Stated} {
		*d = min(max(*d, 0), maxTime)
	}
	l := &lease{service: r.Service}
	if !a.reserve(k, l, time.Now()) {
		reply.Refusal = &dispatcher.Refusal{Cause: dispatcher.CauseQueue, RetryAfter: time.Second}
		return nil
	}
	ticket, refusal := a.cfg.Fleet.Begin(r)
	if refusal != nil {
		a.remove(k)
		reply.Refusal = refusal
		return nil
	}
	if !a.setTicket(k, l, ticket, min(r.Remaining+leaseMargin, maxLease)) {
		return errUnknownRequest
	}
	select {
	case err := <-ticket.Result:
		return a.decide(k, l, err, reply)
	default:
		reply.Waits = true
		return nil
	}
}

// Await returns the decision on a request that waits.
func (p *Places) Await(req AwaitRequest, reply *Reply) error {
	a := p.Arbiter
	k := key(req)
	a.mu.Lock()
	l := a.granted[k]
	var ticket *dispatcher.Ticket
	if l != nil {
		ticket = l.ticket
	}
	a.mu.Unlock()
	if ticket == nil {
		return errUnknownRequest
	}
	select {
	case err := <-ticket.Result:
		return a.decide(k, l, err, reply)
	case <-ticket.Released:
		return errUnknownRequest
	}
}

// Release gives back the place of a request.
func (p *Places) Release(req ReleaseRequest, _ *struct{}) error {
	if len(req.From) > maxNameBytes {
		return errMalformed
	}
	a, k := p.Arbiter, key(req)
	if !a.remove(k) {
		a.recordEarly(k, time.Now())
	}
	return nil
}

// decide fills in the reply on a request whose ticket has got its result.
func (a *Arbiter) decide(k key, l *lease, result error, reply *Reply) error {
	if result != nil {
		a.remove(k)
		if r, ok := result.(*dispatcher.Refusal); ok { //nolint:errorlint // Tickets return refusals as they are.
			reply.Refusal = r
		}
		return nil
	}
	upstream := a.assign(l.service, time.Now())
	a.mu.Lock()
	known := a.granted[k] == l
	l.upstream, l.granted = upstream, true
	a.mu.Unlock()
	if !known { // The lease has ended meanwhile.
		a.unassign(l.service, upstream)
		return errUnknownRequest
	}
	reply.Upstream = upstream
	return nil
}

// reserve adds a lease without a ticket, unless the gateway has too many, the request is known, or it has been released already.
func (a *Arbiter) reserve(k key, l *lease, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rotateEarly(now)
	_, early := a.early[k]
	_, earlier := a.earlier[k]
	if early || earlier || a.granted[k] != nil || a.held[k.From] >= maxHeld || len(a.granted) >= maxLeases {
		return false
	}
	a.granted[k] = l
	a.held[k.From]++
	return true
}

// setTicket sets the ticket of a lease, or releases it and returns false if the request was released meanwhile.
func (a *Arbiter) setTicket(k key, l *lease, ticket *dispatcher.Ticket, lasts time.Duration) bool {
	a.mu.Lock()
	known := a.granted[k] == l
	if known {
		l.ticket = ticket
		l.expiry = time.AfterFunc(lasts, func() { a.remove(k) })
	}
	a.mu.Unlock()
	if !known {
		ticket.Release()
	}
	return known
}

// recordEarly keeps a release whose request is not known: it may arrive later, and would hold its place until its lease ends.
func (a *Arbiter) recordEarly(k key, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rotateEarly(now)
	if len(a.early) < maxEarly {
		a.early[k] = struct{}{}
	}
}

// rotateEarly forgets the releases that were kept for long enough. The caller holds a.mu.
func (a *Arbiter) rotateEarly(now time.Time) {
	switch age := now.Sub(a.rotatedAt); {
	case age >= 2*earlyTime:
		a.early, a.earlier, a.rotatedAt = make(map[key]struct{}), nil, now
	case age >= earlyTime:
		a.early, a.earlier, a.rotatedAt = make(map[key]struct{}), a.early, now
	}
}

// remove ends the lease of a request, and reports whether there is one.
func (a *Arbiter) remove(k key) bool {
	a.mu.Lock()
	l := a.granted[k]
	if l == nil {
		a.mu.Unlock()
		return false
	}
	delete(a.granted, k)
	if a.held[k.From]--; a.held[k.From] <= 0 {
		delete(a.held, k.From)
	}
	if l.expiry != nil {
		l.expiry.Stop()
	}
	granted, upstream, ticket := l.granted, l.upstream, l.ticket
	a.mu.Unlock()
	if granted {
		a.unassign(l.service, upstream)
	}
	if ticket != nil {
		ticket.Release()
	}
	return true
}

// assign returns the upstream at which a request finds the shortest wait, and counts the request there. It is empty if no
// upstream is in use. Upstreams at their limits come last: one that has gone silent keeps its requests, and would otherwise
// take the places of the others.
func (a *Arbiter) assign(service string, now time.Time) string {
	candidates := a.cfg.Candidates(service, now)
	a.mu.Lock()
	defer a.mu.Unlock()
	counts := a.inProgress[service]
	if counts == nil {
		counts = make(map[string]int)
		a.inProgress[service] = counts
	}
	best, least, full := "", 0.0, false
	for _, c := range candidates {
		isFull := float64(counts[c.ID]) >= c.Limit
		wait := float64(counts[c.ID]+1) * c.Slowdown / max(c.Slots, 1)
		if best == "" || full && !isFull || full == isFull && wait < least {
			best, least, full = c.ID, wait, isFull
		}
	}
	if best != "" {
		counts[best]++
	}
	return best
}

func (a *Arbiter) unassign(service, upstream string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	counts := a.inProgress[service]
	if counts[upstream]--; counts[upstream] <= 0 {
		delete(counts, upstream)
	}
}

// InProgress returns the number of places that this gateway has granted at the upstreams of a service.
func (a *Arbiter) InProgress(service string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, count := range a.inProgress[service] {
		n += count
	}
	return n
}
