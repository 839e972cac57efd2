package placer

import (
	"errors"
	"slices"
	"time"

	"clementineramp/appraiser"
	"clementineramp/registrar"
)

// ErrCold means that an upstream is cold and this gateway may send it no request now.
var ErrCold = errors.New("the upstream is cold")

// warm returns the upstreams that are not cold, and the others. The caller holds p.mu.
func (p *Placer) warm(listed []registrar.Upstream, now time.Time) (warm, cold []registrar.Upstream) {
	if p.cfg.Cold == nil {
		return listed, nil
	}
	for i, u := range listed {
		switch {
		case p.cfg.Cold.Cold(u, now):
			if len(cold) == 0 {
				warm = slices.Clone(listed[:i])
			}
			cold = append(cold, u)
		case len(cold) > 0:
			warm = append(warm, u)
		}
	}
	if len(cold) == 0 {
		return listed, nil
	}
	return warm, cold
}

// open returns the upstreams to which this gateway may send the request, and the number of the others, which are cold. A cold
// upstream is slow: it gets no long chat as long as a warm one can be reached. The caller holds p.mu.
func (p *Placer) open(listed []registrar.Upstream, r Request, now time.Time) (open []registrar.Upstream, excluded int) {
	warm, cold := p.warm(listed, now)
	if len(cold) == 0 {
		return warm, 0
	}
	open = warm
	avoid := r.ChatTokens >= longChatTokens && slices.ContainsFunc(warm, func(u registrar.Upstream) bool {
		return !contains(r.Tried, u.ID) && p.cfg.Health(u.ID, now) != appraiser.Unreachable
	})
	for _, u := range cold {
		switch {
		case !avoid && p.cfg.Cold.Free(u, now):
			open = append(open, u)
		case !contains(r.Tried, u.ID):
			excluded++
		}
	}
	return open, excluded
}

// reserve reserves a place at a chosen upstream, and reports whether it has to be returned. It may fail if another request has
// been sent since the upstream was found to be free; CheckAccepts then decides. The caller holds p.mu.
func (p *Placer) reserve(u registrar.Upstream, now time.Time) bool {
	return p.cfg.Cold != nil && p.cfg.Cold.Cold(u, now) && p.cfg.Cold.Reserve(u, now)
}

// Withdraw removes a request to which CheckAccepts has not agreed, so that nothing is sent, from the load of its upstream.
func (p *Placer) Withdraw(c Choice) {
	if c.reserved {
		p.cfg.Cold.Release(c.Upstream)
	}
	p.Done(c.Upstream.ID)
}
