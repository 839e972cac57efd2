package agent

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"clementineramp/admitter"
	"clementineramp/configurer"
	"clementineramp/judge"
)

// gate connects an admitter with the handlers that wait for its decisions.
type gate struct {
	log hclog.Logger
	now func() time.Time
	// limit returns the maximum work of the engine, in tokens, including a new request of the given cost.
	limit func(work, cost float64) float64

	mu       sync.Mutex
	admitter *admitter.Admitter
	waiters  map[uint64]*slot
	serial   uint64
	expiry   *time.Timer
}

func newGate(cfg admitter.Config, log hclog.Logger, now func() time.Time, limit func(work, cost float64) float64) *gate {
	return &gate{
		log: log, now: now, limit: limit,
		admitter: admitter.New(cfg), waiters: map[uint64]*slot{},
	}
}

// slot is a request's entry in the queue and then its slot in the batch.
type slot struct {
	gate *gate
	id   uint64
	cost float64
	// outcome receives nil when the request starts, or the refusal when it is removed from the queue.
	outcome chan error
	// preempted receives a value when the request must pause for a more urgent one.
	preempted chan struct{}
}

// acquire waits until the request may run; the caller must then call done on the slot.
func (g *gate) acquire(ctx context.Context, r admitter.Request) (*slot, error) {
	g.mu.Lock()
	g.serial++
	r.ID = g.serial
	s := &slot{
		gate: g, id: r.ID, cost: r.Cost,
		outcome: make(chan error, 1), preempted: make(chan struct{}, 1),
	}
	g.admitter.SetLimit(g.limit(g.admitter.RunningWork(), r.Cost))
	err := g.admitter.Offer(g.now(), r)
	g.logDecision()
	if err != nil {
		g.dispatch()
		g.mu.Unlock()
		return nil, err
	}
	g.waiters[r.ID] = s
	g.dispatch()
	g.mu.Unlock()
	return s, s.wait(ctx)
}

// wait blocks until the request starts or is removed from the queue, which it is when ctx is cancelled.
func (s *slot) wait(ctx context.Context) error {
	select {
	case err := <-s.outcome:
		return err
	case <-ctx.Done():
	}
	g := s.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiters, s.id)
	g.admitter.Cancel(g.now(), s.id)
	g.dispatch()
	return judge.Refuse(judge.ReasonBroken, "caller left while the request was queued: %w", context.Cause(ctx))
}

// done frees the slot and reports the work that the engine did, in tokens.
func (s *slot) done(work float64) {
	g := s.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiters, s.id)
	g.admitter.Done(g.now(), s.id, work)
	g.logDecision()
	g.dispatch()
}

// pause releases the slot of a request with the given remaining work, in tokens, and waits for another slot.
func (s *slot) pause(ctx context.Context, left float64) error {
	g := s.gate
	g.mu.Lock()
	g.admitter.Paused(g.now(), s.id, left)
	g.logDecision()
	g.dispatch()
	g.mu.Unlock()
	return s.wait(ctx)
}

// dispatch starts, refuses and preempts requests as the admitter decides; the caller holds mu.
func (g *gate) dispatch() {
	now := g.now()
	for {
		g.admitter.SetLimit(g.limit(g.admitter.RunningWork(), 0))
		r, ok := g.admitter.Next(now)
		if !ok {
			break
		}
		g.logDecision()
		if s := g.waiters[r.ID]; s != nil {
			s.outcome <- nil
		}
	}
	for _, refusal := range g.admitter.Expire(now) {
		if s := g.waiters[refusal.Request.ID]; s != nil {
			delete(g.waiters, refusal.Request.ID)
			s.outcome <- refusal.Err
		}
	}
	for {
		r, ok := g.admitter.Preempt(now)
		if !ok {
			break
		}
		g.logDecision()
		if s := g.waiters[r.ID]; s != nil {
			s.preempted <- struct{}{}
		}
	}
	g.scheduleExpiry(now)
}

// scheduleExpiry sets a timer that calls dispatch when the next queued request expires; the caller holds mu.
func (g *gate) scheduleExpiry(now time.Time) {
	if g.expiry != nil {
		g.expiry.Stop()
		g.expiry = nil
	}
	at, ok := g.admitter.NextExpiry()
	if !ok {
		return
	}
	g.expiry = time.AfterFunc(max(at.Sub(now), time.Millisecond), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.dispatch()
	})
}

func (g *gate) setRanks(ranks []configurer.Rank) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admitter.SetRanks(ranks)
	g.dispatch()
}

// load returns the running and the queued work, in tokens, and the number of running and queued requests.
func (g *gate) load() (work, queued float64, requests int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admitter.RunningWork(), g.admitter.QueuedWork(), g.admitter.Running() + g.admitter.Waiting()
}

// logDecision logs the latest decision of the admitter; the caller holds mu.
func (g *gate) logDecision() {
	g.log.Info("admit", g.admitter.LastDecision().Pairs()...)
}
