package arbiter

import (
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
	// maxHeld bounds the requests of one other gateway that wait or hold a place.
	maxHeld = 1024
)

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
	expiry   *time.Timer
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
	if !a.mayHold(k) {
		*reply = Reply{Refusal: &dispatcher.Refusal{Cause: dispatcher.CauseQueue, RetryAfter: time.Second}}
		return nil
	}
	ticket, refusal := a.cfg.Fleet.Begin(req.Request)
	if refusal != nil {
		reply.Refusal = refusal
		return nil
	}
	l := &lease{service: req.Request.Service, ticket: ticket}
	a.add(k, l, min(max(req.Request.Remaining, 0)+leaseMargin, maxLease))
	select {
	case err := <-ticket.Result:
		a.decide(k, l, err, reply)
	default:
		reply.Waits = true
	}
	return nil
}

// Await returns the decision on a request that waits.
func (p *Places) Await(req AwaitRequest, reply *Reply) error {
	a := p.Arbiter
	k := key{From: req.From, Serial: req.Serial}
	a.mu.Lock()
	l := a.granted[k]
	a.mu.Unlock()
	if l == nil {
		return errUnknownRequest
	}
	select {
	case err := <-l.ticket.Result:
		a.decide(k, l, err, reply)
		return nil
	case <-l.ticket.Released:
		return errUnknownRequest
	}
}

// Release gives back the place of a request.
func (p *Places) Release(req ReleaseRequest, _ *struct{}) error {
	p.Arbiter.remove(key{From: req.From, Serial: req.Serial})
	return nil
}

// decide fills in the reply on a request whose ticket has got its result.
func (a *Arbiter) decide(k key, l *lease, result error, reply *Reply) {
	if result != nil {
		a.remove(k)
		if r, ok := result.(*dispatcher.Refusal); ok { //nolint:errorlint // Tickets return refusals as they are.
			reply.Refusal = r
		}
		return
	}
	upstream := a.assign(l.service, time.Now())
	a.mu.Lock()
	known := a.granted[k] == l
	l.upstream, l.granted = upstream, true
	a.mu.Unlock()
	if !known { // The lease has ended meanwhile.
		a.unassign(l.service, upstream)
	}
	reply.Upstream = upstream
}

// mayHold reports whether a gateway may have one more request here.
func (a *Arbiter) mayHold(k key) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.granted[k] == nil && a.held[k.From] < maxHeld
}

func (a *Arbiter) add(k key, l *lease, lasts time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.granted[k] = l
	a.held[k.From]++
	l.expiry = time.AfterFunc(lasts, func() { a.remove(k) })
}

// remove ends the lease of a request, if it is known.
func (a *Arbiter) remove(k key) {
	a.mu.Lock()
	l := a.granted[k]
	if l == nil {
		a.mu.Unlock()
		return
	}
	delete(a.granted, k)
	if a.held[k.From]--; a.held[k.From] <= 0 {
		delete(a.held, k.From)
	}
	l.expiry.Stop()
	granted, upstream := l.granted, l.upstream
	a.mu.Unlock()
	if granted {
		a.unassign(l.service, upstream)
	}
	l.ticket.Release()
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
