package dispatcher

import (
	"context"
	"sync"
	"time"
)

// Dispatcher lets requests to plain services wait for their places; it is safe for concurrent use.
type Dispatcher struct {
	mu   sync.Mutex
	core *Core
	// results holds a channel for each request that waits: it receives nil for a place, or the refusal.
	results map[uint64]chan error
	// timers holds a timer for each service, which is set while requests wait.
	timers map[string]*time.Timer
}

// New returns a Dispatcher without requests.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{core: NewCore(cfg), results: make(map[uint64]chan error), timers: make(map[string]*time.Timer)}
}

// Acquire waits for a place at the service of a request. It returns a function that releases the place, which may be called more
// than once, and the time for which the request waited; or a *Refusal, or the error of ctx if it ended first.
func (d *Dispatcher) Acquire(ctx context.Context, r Request) (release func(), wait time.Duration, err error) {
	if err := ctx.Err(); err != nil {
		return nil, 0, err
	}
	result := make(chan error, 1)
	began := time.Now()
	id, refusal := d.offer(r, result, began)
	if refusal != nil {
		return nil, 0, refusal
	}
	var once sync.Once
	release = func() { once.Do(func() { d.remove(r.Service, id) }) }
	select {
	case err := <-result: // Without a wait.
		return d.outcome(release, 0, err)
	default:
	}
	select {
	case err := <-result:
		return d.outcome(release, time.Since(began), err)
	case <-ctx.Done():
		release()
		return nil, time.Since(began), ctx.Err()
	}
}

func (d *Dispatcher) outcome(release func(), wait time.Duration, err error) (func(), time.Duration, error) {
	if err != nil {
		return nil, wait, err
	}
	return release, wait, nil
}

func (d *Dispatcher) offer(r Request, result chan error, now time.Time) (uint64, *Refusal) {
	d.mu.Lock()
	defer d.mu.Unlock()
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
	defer d.mu.Unlock()
	now := time.Now()
	delete(d.results, id)
	d.core.Remove(service, id, now)
	d.advance(service, now)
}

func (d *Dispatcher) check(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
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
	defer d.mu.Unlock()
	return d.core.Status(service, now)
}

// Services returns the names of the services with requests so far, sorted.
func (d *Dispatcher) Services() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Services()
}
