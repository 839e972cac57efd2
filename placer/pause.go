package placer

import (
	"errors"
	"time"

	"clementineramp/registrar"
)

// ErrPaused means that an upstream has asked for no requests for a time since it was chosen.
var ErrPaused = errors.New("the upstream wants no requests for a time")

// Pause records that an upstream refused a request and wants no further ones until the given time. An earlier end does not
// replace a later one. A pause belongs to the incarnation and to this gateway: others have their own share of the upstream's
// capacity, and one that is told wrongly would keep them all away.
func (p *Placer) Pause(u registrar.Upstream, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if key := u.Incarnation(); until.After(p.pauses[key]) {
		p.pauses[key] = until
	}
}

// CheckAccepts returns an error if a chosen upstream accepts no new requests any more. It must be called once, immediately
// before the request is sent, because it counts the requests to cold upstreams.
func (p *Placer) CheckAccepts(u registrar.Upstream, now time.Time) error {
	switch view := p.cfg.View(); {
	case view.IsLeaving(u):
		return ErrLeaving
	case view.IsEvacuated(u):
		return ErrEvacuated
	}
	p.mu.Lock()
	paused := p.pausedFor(u, now) > 0
	p.mu.Unlock()
	switch {
	case paused:
		return ErrPaused
	case p.cfg.Cold != nil && !p.cfg.Cold.Send(u, now):
		return ErrCold
	}
	return nil
}

// Paused reports whether an upstream has asked for a pause that has not ended.
func (p *Placer) Paused(u registrar.Upstream, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pausedFor(u, now) > 0
}

// PausedFor returns the shortest time until an upstream of the service accepts requests again, or zero if there is one that
// has not asked for a pause.
func (p *Placer) PausedFor(service string, now time.Time) time.Duration {
	listed := p.cfg.View().ByService[service]
	p.mu.Lock()
	defer p.mu.Unlock()
	shortest := time.Duration(0)
	for i, u := range listed {
		left := p.pausedFor(u, now)
		if left == 0 {
			return 0
		}
		if i == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}

// pausedFor returns the rest of an upstream's pause. The caller holds p.mu.
func (p *Placer) pausedFor(u registrar.Upstream, now time.Time) time.Duration {
	return max(p.pauses[u.Incarnation()].Sub(now), 0)
}

// unpaused returns the upstreams without a pause and the number of the others. The caller holds p.mu.
func (p *Placer) unpaused(listed []registrar.Upstream, now time.Time) (accepting []registrar.Upstream, paused int) {
	if len(p.pauses) == 0 {
		return listed, 0
	}
	for _, u := range listed {
		if p.pausedFor(u, now) > 0 {
			paused++
			continue
		}
		accepting = append(accepting, u)
	}
	return accepting, paused
}
