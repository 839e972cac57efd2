package registrar

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// ExpiryGrace is the time after an outage of the store during which removed upstreams stay in use. Entries that expired
// during the outage are written again within two seconds of its end; the remaining 0.3 s allow for one poll.
const ExpiryGrace = 2300 * time.Millisecond

// tombstoneTTL is the time for which the record of a removal is kept, so that a peer's older record cannot undo it.
const tombstoneTTL = 5 * time.Minute

// Upstream is one instance of a service.
type Upstream struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Slots is the number of requests that it runs concurrently; zero means unknown.
	Slots int
	// Leaving upstreams accept no new requests.
	Leaving bool
	// Born is the start time in Unix milliseconds, zero if unknown. It distinguishes incarnations with the same ID.
	Born int64
}

// Incarnation identifies one lifetime of an upstream: a later one may have the same ID or address.
type Incarnation struct {
	ID, Address string
	Born        int64
}

// Incarnation returns the incarnation of the upstream.
func (u *Upstream) Incarnation() Incarnation {
	return Incarnation{ID: u.ID, Address: u.Address, Born: u.Born}
}

// mark says that an upstream itself stated that it is leaving.
type mark struct {
	incarnation Incarnation
	// source says where the statement came from, and at when it was received.
	source string
	at     time.Time
}

// Record is the store's entry for one upstream, or its removal, at a revision.
type Record struct {
	ID       string
	Revision uint64
	Removed  bool
	Upstream Upstream
}

// entry is a record with the times, by the local clock, that determine how long it is used and kept.
type entry struct {
	Record
	// graceUntil is the end of the grace period of a removal that may be due to expiry; zero if there is none.
	graceUntil time.Time
	removedAt  time.Time
}

// Event is a change of an upstream's record.
type Event struct {
	Record Record
	// Change is joined, leaving, changed, removed or lapsed; lapsed means that the entry may have expired during an
	// outage of the store, and that the upstream stays in use for the grace period.
	Change string
	// MarkAge is the time since the upstream itself stated that it is leaving, and MarkSource says where; MarkAge is negative if
	// it did not.
	MarkAge    time.Duration
	MarkSource string
}

// Config sets up a Registry.
type Config struct {
	// OnEvent is called for each change; it may be nil. The registry is locked during the call.
	OnEvent func(Event)
}

// Registry is the list of upstreams; it is safe for concurrent use.
type Registry struct {
	cfg Config

	mu      sync.Mutex
	entries map[string]*entry
	// marks holds the statements of upstreams that they are leaving, by ID. The store may say so later or never, and a mark
	// stays until the incarnation is gone from entries.
	marks map[string]mark
	// outageEnd is the end of the latest outage of the store, zero if there was none.
	outageEnd time.Time
	// completeRevision is the revision up to which the registry has all records.
	completeRevision uint64
	view             atomic.Pointer[View]
}

// View is an immutable list of the upstreams in use.
type View struct {
	// ByService holds the upstreams of each service, ordered by ID.
	ByService map[string][]Upstream
	// Leaving holds, by service, the upstreams that are leaving: they accept no requests, but still have their caches.
	Leaving map[string][]Upstream
	// Revision is that of the newest record.
	Revision uint64
}

// IsLeaving reports whether this incarnation of the upstream is listed as leaving.
func (v *View) IsLeaving(u Upstream) bool {
	for _, l := range v.Leaving[u.Service] {
		if l.Incarnation() == u.Incarnation() {
			return true
		}
	}
	return false
}

// New returns an empty registry.
func New(cfg Config) *Registry {
	r := &Registry{cfg: cfg, entries: make(map[string]*entry), marks: make(map[string]mark)}
	r.view.Store(&View{ByService: map[string][]Upstream{}})
	return r
}

// View returns the upstreams in use as of the last Refresh or merge.
func (r *Registry) View() *View {
	return r.view.Load()
}

// Synced reports whether a complete list has been merged since the start.
func (r *Registry) Synced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.completeRevision > 0
}

// OutageEnded records the time at which an outage of the store ended, during which entries may have expired.
func (r *Registry) OutageEnded(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.outageEnd) {
		r.outageEnd = at
	}
}

// TimeSinceOutage returns the time since the end of the latest outage; it is negative if there was none.
func (r *Registry) TimeSinceOutage(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outageEnd.IsZero() {
		return -1
	}
	return max(now.Sub(r.outageEnd), 0)
}

// MarkLeaving records that an upstream itself stated that it is leaving, so that it accepts no new requests whatever the
// store says. It returns false if that incarnation is not listed, or had stated so before.
func (r *Registry) MarkLeaving(u Upstream, source string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[u.ID]
	if e == nil || e.Upstream.Incarnation() != u.Incarnation() || r.isMarked(&e.Upstream) {
		return false
	}
	r.marks[u.ID] = mark{incarnation: u.Incarnation(), source: source, at: now}
	r.rebuild(now)
	return true
}

// isMarked reports whether this incarnation of the upstream has stated that it is leaving.
func (r *Registry) isMarked(u *Upstream) bool {
	m, ok := r.marks[u.ID]
	return ok && m.incarnation == u.Incarnation()
}

// Merge adds records from any source and reports whether the upstreams in use changed.
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

// MergeList adds the records of a complete list that was read at a revision, and removes upstreams that are not listed.
// It reports whether the upstreams in use changed.
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

// MergeChanges adds records, which must be all those after the revision since up to the given one. It reports whether
// the upstreams in use changed. CompleteRevision does not advance if it is below since, as records between are missing.
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
		if until := r.graceEnd(); now.Before(until) && !old.Upstream.Leaving && !r.isMarked(&old.Upstream) {
			change = "lapsed"
			e.graceUntil = until
		}
	case old == nil || old.Removed:
		change = "joined"
	case rec.Upstream.Leaving && !old.Upstream.Leaving:
		change = "leaving"
	}
	r.entries[rec.ID] = e
	marked := r.isMarked(&e.Upstream)
	if !marked {
		delete(r.marks, rec.ID)
	}
	if old != nil && !old.Removed && !rec.Removed && old.Upstream == rec.Upstream {
		return false
	}
	if rec.Removed && (old == nil || old.Removed) {
		return false // An odd entry that is written again and again is a new removal each time.
	}
	if r.cfg.OnEvent != nil {
		event := Event{Record: e.Record, Change: change, MarkAge: -time.Millisecond}
		if marked {
			event.MarkAge, event.MarkSource = now.Sub(r.marks[rec.ID].at), r.marks[rec.ID].source
		}
		r.cfg.OnEvent(event)
	}
	return true
}

// graceEnd returns the end of the grace period after the latest outage; zero if there was none. Before it, a removal may
// mean only that the entry expired because it could not be renewed during the outage.
func (r *Registry) graceEnd() time.Time {
	if r.outageEnd.IsZero() {
		return time.Time{}
	}
	return r.outageEnd.Add(ExpiryGrace)
}

// Refresh ends the grace periods that have passed and deletes old removals. It reports whether the upstreams in use
// changed.
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
			delete(r.marks, id)
		}
	}
	if changed {
		r.rebuild(now)
	}
	return changed
}

// CompleteRevision returns the revision up to which the registry has all records.
func (r *Registry) CompleteRevision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.completeRevision
}

// NewestRevision returns the revision of the newest record as of the last Refresh or merge that changed the upstreams
// in use.
func (r *Registry) NewestRevision() uint64 {
	return r.View().Revision
}

// RecordsSince returns the records after a revision, including removals, and the revision up to which they are complete.
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
	v := &View{ByService: make(map[string][]Upstream), Leaving: make(map[string][]Upstream)}
	for _, e := range r.entries {
		v.Revision = max(v.Revision, e.Revision)
		inGrace := e.Removed && now.Before(e.graceUntil)
		u := e.Upstream
		u.Leaving = u.Leaving || r.isMarked(&u)
		if u.Leaving && !e.Removed {
			v.Leaving[u.Service] = append(v.Leaving[u.Service], u)
		}
		if e.Removed && !inGrace || u.Leaving {
			continue
		}
		v.ByService[u.Service] = append(v.ByService[u.Service], u)
	}
	for _, list := range v.ByService {
		slices.SortFunc(list, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	r.view.Store(v)
}
