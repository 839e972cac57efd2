package placer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/appraiser"
	"clementineramp/placer"
	"clementineramp/registrar"
)

// evacuating returns engines in three failure domains, listed in a registry, and a function that evacuates one of the domains.
func evacuating(n int) (r *registrar.Registry, evacuate func(domain string)) {
	r = registrar.New(registrar.Config{})
	var records []registrar.Record
	for _, u := range engines(n).ByService["pool"] {
		records = append(records, registrar.Record{ID: u.ID, Revision: 1, Upstream: u})
	}
	r.MergeList(records, registrar.Position{Revision: 1}, start)
	return r, func(domain string) {
		rec := registrar.Record{ID: domain, Revision: r.NewestRevision() + 1, Evacuation: true}
		r.Merge([]registrar.Record{rec}, start)
	}
}

// Guards against a choice of an evacuated upstream, whatever the health of the others, and a request that is sent to one although
// it was chosen before; and against caches that are not fetched although their upstreams are still there.
func TestEvacuatedUpstreamsAreNoCandidates(t *testing.T) {
	for name, health := range map[string]appraiser.Health{"good": appraiser.Good, "trial": appraiser.Trial, "unreachable": appraiser.Unreachable} {
		t.Run(name, func(t *testing.T) {
			r, evacuate := evacuating(9)
			others := appraiser.Good
			p := placer.New(placer.Config{
				View: r.View, ListCurrent: func(time.Time) bool { return true },
				Health: func(id string, _ time.Time) appraiser.Health {
					if slices.ContainsFunc(r.View().ByService["pool"], func(u registrar.Upstream) bool { return u.ID == id }) {
						return others
					}
					return appraiser.Good
				},
			})
			holders := map[string]registrar.Upstream{}
			for i := range 60 {
				chat := fmt.Sprint("chat-", i)
				c, _ := p.Choose(placer.Request{Service: "pool", Chat: chat, ChatTokens: 5000}, start)
				p.Done(c.Upstream.ID)
				p.RecordLoad(c.Upstream.ID, placer.Load{Slots: 48}, start)
				holders[chat] = c.Upstream
			}
			evacuate("domain-0")
			others = health
			fetched := 0
			for chat, holder := range holders {
				c, ok := p.Choose(placer.Request{Service: "pool", Chat: chat, ChatTokens: 5000, Repeatable: true}, start.Add(time.Second))
				require.True(t, ok)
				require.NotEqual(t, "domain-0", c.Upstream.FailureDomain)
				require.Equal(t, 3, c.Evacuated)
				require.Equal(t, 6, c.Listed)
				if holder.FailureDomain == "domain-0" {
					require.ErrorIs(t, p.CheckAccepts(holder, start), placer.ErrEvacuated)
					require.Equal(t, holder.ID, c.Source.ID)
					fetched++
				}
				p.Done(c.Upstream.ID)
			}
			require.Positive(t, fetched)
			evacuate("domain-1")
			evacuate("domain-2")
			c, ok := p.Choose(placer.Request{Service: "pool"}, start)
			require.False(t, ok)
			require.Equal(t, placer.Choice{Evacuated: 9}, c)
		})
	}
}

// Guards against an occupancy and load limits that count the idle slots or the requests of evacuated upstreams: the others would
// seem to have room, or to be full.
func TestEvacuatedUpstreamsDoNotCountInLoads(t *testing.T) {
	r, evacuate := evacuating(9)
	p := placer.New(placer.Config{View: r.View, Health: good})
	for _, u := range r.View().ByService["pool"] {
		running := map[string]int{"domain-0": 0, "domain-1": 24, "domain-2": 24}[u.FailureDomain]
		p.RecordLoad(u.ID, placer.Load{Running: running, Slots: 48}, start)
	}
	evacuate("domain-0")
	occupancy, reported := p.Occupancy("pool", start)
	require.True(t, reported)
	require.InDelta(t, 0.5, occupancy, 1e-9)
	c, ok := p.Choose(placer.Request{Service: "pool", Chat: "c", ChatTokens: 5000}, start)
	require.True(t, ok)
	require.InDelta(t, 24, c.Mean, 1e-9)
	require.Equal(t, 1, p.InProgress(c.Upstream.ID))
	require.Zero(t, p.InProgress("none"))
}
