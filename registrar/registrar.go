package registrar

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// ExpiryGrace is the time after an outage of the store in which removed upstreams stay in use.
// Entries that lapsed during the outage are written again within two seconds of its end; the rest is one poll.
const ExpiryGrace = 2300 * time.Millisecond

// tombstoneTTL is the time for which a removal is remembered, so that a peer's older record cannot undo it.
const tombstoneTTL = 5 * time.Minute

// Upstream is one worker of a service.
type Upstream struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Slots is the number of requests that it runs at a time; zero means unknown.
	Slots int
	// Leaving upstreams take no new requests.
	Leaving bool
	// Born tells incarnations with the same ID apart; it is the start in Unix milliseconds, zero if unknown.
	Born int64
}

// Record is what the store said of one upstream at a revision.
type Record struct {
	ID       string
	Revision uint64
	Removed  bool
	Upstream Upstream
}

// entry is a record with the local times that bear on its use.
type entry struct {
	Record
	// graceUntil is the end of the grace of a removal that may be a lapse.
	graceUntil time.Time
	removedAt  time.Time
}

// Event tells of an upstream that joined, changed or left.
type Event struct {
	Record Record
	// Change is joined, leaving, changed, removed or lapsed.
	Change string
}

// Config sets up a Registry.
type Config struct {
	// OnEvent is told each change while the registry is locked; nil means no one is.
	OnEvent func(Event)
}

// Registry is safe for concurrent use.
type Registry struct {
	cfg Config

	mu      sync.Mutex
	entries map[string]*entry
	// outageEnd is the time at which the store last came back.
	outageEnd time.Time
	// completeRevision is the revision up to which all records are known.
	completeRevision uint64
	view             atomic.Pointer[View]
}

// View is an immutable list of the upstreams in use by service.
type View struct {
	ByService map[string][]Upstream
	Revision  uint64
}

// New returns an empty registry.
func New(cfg Config) *Registry {
	r := &Registry{cfg: cfg, entries: make(map[string]*entry)}
	r.view.Store(&View{ByService: map[string][]Upstream{}})
	return r
}

// View returns the upstreams in use at the last Refresh or merge.
func (r *Registry) View() *View {
	return r.view.Load()
}

// Synced reports whether a complete list was ever merged.
func (r *Registry) Synced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.completeRevision > 0
}

// OutageEnded notes that an outage of the store, in which entries may have lapsed, ended at a time.
func (r *Registry) OutageEnded(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.outageEnd) {
		r.outageEnd = at
	}
}

// TimeSinceOutage returns the time since the end of the last outage; it is negative if none is known.
func (r *Registry) TimeSinceOutage(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outageEnd.IsZero() {
		return -1
	}
	return max(now.Sub(r.outageEnd), 0)
}

// Merge takes records from any source and reports whether the upstreams in use changed.
func (r *Registry) Merge(records []Record, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for _, rec := range records {
		changed = r.merge(rec, now) || changed
	}
	if changed {
		r.rebuild(now)
	}
	return changed
}

// MergeList takes a complete list, read at a revision: upstreams that it lacks were removed by then.
func (r *Registry) MergeList(records []Record, revision uint64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	listed := make(map[string]bool, len(records))
	for _, rec := range records {
		listed[rec.ID] = true
		changed = r.merge(rec, now) || changed
	}
	for id, e := range r.entries {
		if !listed[id] && !e.Removed && e.Revision <= revision {
			changed = r.merge(Record{ID: id, Revision: revision, Removed: true}, now) || changed
		}
	}
	r.completeRevision = max(r.completeRevision, revision)
	if changed {
		r.rebuild(now)
	}
	return changed
}

// MergeChanges takes all records between a revision that is known completely and a later one.
func (r *Registry) MergeChanges(records []Record, since, revision uint64, now time.Time) bool {
	changed := r.Merge(records, now)
	r.mu.Lock()
	defer r.mu.Unlock()
	if since <= r.completeRevision {
		r.completeRevision = max(r.completeRevision, revision)
	}
	return changed
}

func (r *Registry) merge(rec Record, now time.Time) bool {
	old := r.entries[rec.ID]
	if old != nil && (rec.Revision < old.Revision || rec.Revision == old.Revision && rec.Removed == old.Removed) {
		return false
	}
	e := &entry{Record: rec}
	change := "changed"
	switch {
	case rec.Removed:
		change = "removed"
		e.removedAt = now
		if old == nil {
			break
		}
		e.Upstream = old.Upstream
		if old.Removed {
			e.graceUntil = old.graceUntil
			break
		}
		if until := r.graceEnd(); now.Before(until) && !old.Upstream.Leaving {
			change = "lapsed"
			e.graceUntil = until
		}
	case old == nil || old.Removed:
		change = "joined"
	case rec.Upstream.Leaving && !old.Upstream.Leaving:
		change = "leaving"
	}
	r.entries[rec.ID] = e
	if old != nil && !old.Removed && !rec.Removed && old.Upstream == rec.Upstream {
		return false
	}
	if r.cfg.OnEvent != nil && (old != nil || !rec.Removed) {
		r.cfg.OnEvent(Event{Record: e.Record, Change: change})
	}
	return true
}

// graceEnd returns the time until which a removal may be the lapse of an entry that could not be renewed.
func (r *Registry) graceEnd() time.Time {
	if r.outageEnd.IsZero() {
		return time.Time{}
	}
	return r.outageEnd.Add(ExpiryGrace)
}

// Refresh ends graces that have passed and forgets old removals; it reports whether the upstreams in use changed.
func (r *Registry) Refresh(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for id, e := range r.entries {
		if !e.Removed {
			continue
		}
		if !e.graceUntil.IsZero() && !now.Before(e.graceUntil) {
			e.graceUntil = time.Time{}
			changed = true
		}
		if now.Sub(e.removedAt) > tombstoneTTL {
			delete(r.entries, id)
		}
	}
	if changed {
		r.rebuild(now)
	}
	return changed
}

// CompleteRevision returns the revision up to which all records are known.
func (r *Registry) CompleteRevision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.completeRevision
}

// NewestRevision returns the revision of the newest change of an upstream.
func (r *Registry) NewestRevision() uint64 {
	return r.View().Revision
}

// RecordsSince returns the records after a revision, removals included, and the revision up to which they are complete.
func (r *Registry) RecordsSince(revision uint64) (records []Record, complete uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		if e.Revision > revision {
			records = append(records, e.Record)
		}
	}
	return records, r.completeRevision
}

func (r *Registry) rebuild(now time.Time) {
	v := &View{ByService: make(map[string][]Upstream)}
	for _, e := range r.entries {
		v.Revision = max(v.Revision, e.Revision)
		lapsed := e.Removed && now.Before(e.graceUntil)
		if e.Removed && !lapsed || e.Upstream.Leaving {
			continue
		}
		v.ByService[e.Upstream.Service] = append(v.ByService[e.Upstream.Service], e.Upstream)
	}
	for _, list := range v.ByService {
		slices.SortFunc(list, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	r.view.Store(v)
}
