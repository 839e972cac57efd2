package dispatcher

import (
	"context"
	"sync"
	"time"

	"clementineramp/notifier"
)

// Dispatcher lets requests to plain services wait for their places; it is safe for concurrent use.
type Dispatcher struct {
	mu sync.Mutex
	// calls holds the calls of OnChange that are due.
	calls notifier.Notifier
	core  *Core
	// results holds a channel for each request that waits: it receives nil for a place, or the refusal.
	results map[uint64]chan error
	// timers holds a timer for each service, which is set while requests wait.
	timers map[string]*time.Timer
}

// New returns a Dispatcher without requests. No lock is held while OnChange is called.
func New(cfg Config) *Dispatcher {
	d := &Dispatcher{results: make(map[uint64]chan error), timers: make(map[string]*time.Timer)}
	if onChange := cfg.OnChange; onChange != nil {
		cfg.OnChange = func(e Event) { d.calls.Add(func() { onChange(e) }) }
	}
	d.core = NewCore(cfg)
	return d
}

// Ticket is a request that waits or holds a place.
type Ticket struct {
	// Result receives nil when the request gets its place, or the *Refusal. It stays empty if the ticket is released before.
	Result <-chan error
	// Released is closed when the ticket is released.
	Released <-chan struct{}
	release  func()
}

// Release gives back the place, or removes the request from the queue; further calls do nothing.
func (t *Ticket) Release() { t.release() }

// Begin offers a request without waiting. It returns a ticket, which must be released, or the refusal.
func (d *Dispatcher) Begin(r Request) (*Ticket, *Refusal) {
	result, released := make(chan error, 1), make(chan struct{})
	id, refusal := d.offer(r, result, time.Now())
	if refusal != nil {
		return nil, refusal
	}
	var once sync.Once
	return &Ticket{Result: result, Released: released, release: func() {
		once.Do(func() {
			d.remove(r.Service, id)
			close(released)
		})
	}}, nil
}

// Acquire waits for a place at the service of a request. It returns a function that releases the place, which may be called more
// than once, and the time for which the request waited; or a *Refusal, or the error of ctx if it ended first.
func (d *Dispatcher) Acquire(ctx context.Context, r Request) (release func(), wait time.Duration, err error) {
	if err := ctx.Err(); err != nil {
		return nil, 0, err
	}
	began := time.Now()
	ticket, refusal := d.Begin(r)
	if refusal != nil {
		return nil, 0, refusal
	}
	// A result that is there at once may have come after a wait, in which this goroutine did not run.
	select {
	case err := <-ticket.Result:
		return outcome(ticket, time.Since(began), err)
	case <-ctx.Done():
		ticket.Release()
		return nil, time.Since(began), ctx.Err()
	}
}

func outcome(t *Ticket, wait time.Duration, err error) (func(), time.Duration, error) {
	if err != nil {
		return nil, wait, err
	}
	return t.Release, wait, nil
}

// AcquirePlace is Acquire with the result as a Place.
func (d *Dispatcher) AcquirePlace(ctx context.Context, r Request) (Place, time.Duration, error) {
	release, wait, err := d.Acquire(ctx, r)
	return Place{Release: release}, wait, err
}

func (d *Dispatcher) offer(r Request, result chan error, now time.Time) (uint64, *Refusal) {
	d.mu.Lock()
	defer d.calls.Unlock(&d.mu)
	id, refusal := d.core.Offer(r, now)
	if refusal == nil {
		d.results[id] = result
	}
	d.advance(r.Service, now)
	return id, refusal
}

// remove removes a request that waits or holds a place, and starts those that wait for it.
func (d *Dispatcher) remove(service string, id uint64) {
	d.mu.Lock()
	defer d.calls.Unlock(&d.mu)
	now := time.Now()
	delete(d.results, id)
	d.core.Remove(service, id, now)
	d.advance(service, now)
}

func (d *Dispatcher) check(service string) {
	d.mu.Lock()
	defer d.calls.Unlock(&d.mu)
	d.advance(service, time.Now())
}

// advance tells the requests that the core starts or refuses, and sets the timer for the next check.
func (d *Dispatcher) advance(service string, now time.Time) {
	started, refused := d.core.Advance(service, now)
	for _, id := range started {
		d.deliver(id, nil)
	}
	for _, r := range refused {
		d.deliver(r.ID, r.Refusal)
	}
	next, waits := d.core.NextCheck(service, now)
	t := d.timers[service]
	switch {
	case t != nil && waits:
		t.Reset(next)
	case t != nil:
		t.Stop()
	case waits:
		d.timers[service] = time.AfterFunc(next, func() { d.check(service) })
	}
}

func (d *Dispatcher) deliver(id uint64, err error) {
	if result := d.results[id]; result != nil {
		result <- err
		delete(d.results, id)
	}
}

// Status returns the state of a service.
func (d *Dispatcher) Status(service string, now time.Time) Status {
	d.mu.Lock()
	defer d.calls.Unlock(&d.mu)
	return d.core.Status(service, now)
}

// Services returns the names of the services with requests so far, sorted.
func (d *Dispatcher) Services() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Services()
}
