package registrar

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"clementineramp/notifier"
)

// ExpiryGrace is the time after an outage of the store during which removed upstreams stay in use. Entries that expired
// during the outage are written again within two seconds of its end; the remaining 0.3 s allow for one poll.
const ExpiryGrace = 2300 * time.Millisecond

// tombstoneTTL is the time for which the record of a removal is kept, so that a peer's older record cannot undo it.
const tombstoneTTL = 5 * time.Minute

// maxEntries is the number of entries from which on no removal of an upstream that was never listed is kept, so that the odd
// entries of another writer, which count as removals, take a bounded part of the memory.
const maxEntries = 50_000

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
	// Cold is how much longer the upstream stays cold, as its entry states.
	Cold time.Duration
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

// Position is a revision of the store in one of its eras. When the store is restored from an older copy, a new era
// begins, and revisions that had been given out are given out again.
type Position struct {
	Era, Revision uint64
}

// Record is the store's entry for one upstream or one evacuation, or its removal, at a revision of the era of the list.
type Record struct {
	// ID is that of the upstream, or the name of the failure domain that is evacuated.
	ID       string
	Revision uint64
	Removed  bool
	// Evacuation is set if the record is about an evacuation, which has no Upstream.
	Evacuation bool
	Upstream   Upstream
}

// entry is a record with the times, by the local clock, that determine how long it is used and kept.
type entry struct {
	Record
	// graceUntil is the end of the grace period of a removal that may be due to expiry; zero if there is none.
	graceUntil time.Time
	removedAt  time.Time
	// wasLeaving is set if the incarnation was leaving in an earlier era, whatever the store says since.
	wasLeaving bool
	// doubtedUntil is the time until which the store's entry is not believed, because it contradicts what was known in an
	// earlier era; zero if it does not. Until then the upstream is not used if unused is set. If listed is not nil, the entry
	// names that earlier incarnation, which replaces Upstream at that time.
	doubtedUntil time.Time
	unused       bool
	listed       *Upstream
	// times holds when this gateway heard of the upstream.
	times Times
}

// inUse reports whether the upstream is used unless it is leaving.
func (e *entry) inUse(now time.Time) bool {
	return (!e.Removed || now.Before(e.graceUntil)) && (!e.unused || !now.Before(e.doubtedUntil))
}

// doubt is how an entry of the list of another era contradicts what was known of the upstream; see entry.
type doubt struct {
	unused bool
	listed *Upstream
}

// Event is a change of an upstream's record.
type Event struct {
	Record Record
	// Era is the era of the record's revision, and Known the revision of that era up to which the registry had all records
	// before the merge; zero means none.
	Era, Known uint64
	// Change is joined, leaving, changed, removed or lapsed; lapsed means that the entry may have expired during an
	// outage of the store, and that the upstream stays in use for the grace period.
	Change string
	// MarkAge is the time since the upstream itself stated that it is leaving, and MarkSource says where; MarkAge is negative if
	// it did not.
	MarkAge    time.Duration
	MarkSource string
}

// OutdatedEvent describes records that were ignored because the list knew already that what they are about is gone.
type OutdatedEvent struct {
	// Records is the number of them, and First the first one.
	Records int
	First   Record
	// Era is the era of the list, and Known the revision up to which the registry had all records.
	Era, Known uint64
}

// Config sets up a Registry. Its functions are called in the order of the changes, after these have been made. No lock is held
// during a call.
type Config struct {
	// OnEvent is called for each change; it may be nil.
	OnEvent func(Event)
	// OnEvacuation is called when an evacuation begins or ends; it may be nil.
	OnEvacuation func(EvacuationEvent)
	// OnEra is called when a list of another era replaces that of the old one; it may be nil.
	OnEra func(old, new Position)
	// OnOutdated is called when a merge ignored outdated records; it may be nil.
	OnOutdated func(OutdatedEvent)
	// Expiry is the time after which the store has removed an entry that is no longer renewed. An upstream that had been
	// removed in an earlier era and is listed again is not used for this time unless its entry is written again.
	Expiry time.Duration
}

// Registry is the list of upstreams; it is safe for concurrent use.
type Registry struct {
	cfg Config

	mu sync.Mutex
	// calls holds the calls of the functions of cfg that are due.
	calls   notifier.Notifier
	entries map[string]*entry
	// evacuations holds the evacuations and their removals by the name of the failure domain.
	evacuations map[string]*evacuation
	// lacksEvacuations is set if the list came from a peer that knows no evacuations.
	lacksEvacuations bool
	// renewed is set if the view lacks the times of entries that were written again without a change.
	renewed bool
	// marks holds the statements of upstreams that they are leaving, by ID. The store may say so later or never, and a mark
	// stays until the incarnation is gone from entries.
	marks map[string]mark
	// outageEnd is the end of the latest outage of the store, zero if there was none.
	outageEnd time.Time
	// complete is the position up to which the registry has all records; its revision is zero before the first list.
	complete Position
	// removalsFrom is the revision after which the registry has all removals. It lacks earlier ones: a list names no upstream
	// that came and went before it, and old removals are deleted.
	removalsFrom uint64
	// known is the revision of the era of the list up to which the registry had all records of upstreams before the merge in
	// progress, and knownEvacuations that for evacuations; zero means none. decides is set if the merge is of a list of the store that is not older, and outdated holds the records that it
	// ignored.
	known, knownEvacuations uint64
	decides                 bool
	outdated                []Record
	// restored is set if the era of the list has changed.
	restored bool
	view     atomic.Pointer[View]
}

// View is an immutable list of the upstreams in use.
type View struct {
	// ByService holds the upstreams of each service, ordered by ID.
	ByService map[string][]Upstream
	// Leaving holds, by service, the upstreams that are leaving: they accept no requests, but still have their caches.
	Leaving map[string][]Upstream
	// Evacuations holds the evacuated failure domains, and EvacuationsEnded those whose evacuation has ended, with the time at
	// which this gateway learnt it.
	Evacuations, EvacuationsEnded map[string]time.Time
	// Evacuated holds, by service, the upstreams in evacuated failure domains that are not leaving: they accept no requests, but
	// still have their caches.
	Evacuated map[string][]Upstream
	// Times holds, by ID, when this gateway heard of the upstreams.
	Times map[string]Times
	// Revision is that of the newest record.
	Revision uint64
}

// Times holds when a gateway heard of an upstream, by its own clock.
type Times struct {
	// Joined is the time at which it first heard of the incarnation; zero if that was with its first list.
	Joined time.Time
	// Entry is the time at which it received the latest entry, and ColdUntil the time until which the upstream is cold by that
	// entry; it is equal to Entry for an upstream that is warm.
	Entry, ColdUntil time.Time
}

// IsEvacuated reports whether the failure domain of the upstream is evacuated.
func (v *View) IsEvacuated(u Upstream) bool {
	_, ok := v.Evacuations[u.FailureDomain]
	return ok
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
	r := &Registry{
		cfg: cfg, entries: make(map[string]*entry), evacuations: make(map[string]*evacuation), marks: make(map[string]mark),
	}
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
	return r.complete.Revision > 0
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

// Merge adds records of the era of the list from any source, and reports whether the upstreams in use changed.
func (r *Registry) Merge(records []Record, now time.Time) bool {
	r.mu.Lock()
	defer r.calls.Unlock(&r.mu)
	return r.mergeAll(records, now)
}

func (r *Registry) mergeAll(records []Record, now time.Time) bool {
	r.beginMerge()
	changed := false
	for _, rec := range records {
		changed = r.merge(rec, now) || changed
	}
	r.endMerge(changed, now)
	return changed
}

// beginMerge sets what is known before a merge.
func (r *Registry) beginMerge() {
	r.known, r.knownEvacuations = r.complete.Revision, r.complete.Revision
	if r.lacksEvacuations {
		r.knownEvacuations = 0
	}
}

// endMerge makes the changes of a merge visible, and reports the records that it ignored.
func (r *Registry) endMerge(changed bool, now time.Time) {
	if changed || r.renewed {
		r.rebuild(now)
	}
	if n := len(r.outdated); n > 0 && r.cfg.OnOutdated != nil {
		event := OutdatedEvent{Records: n, First: r.outdated[0], Era: r.complete.Era, Known: r.known}
		r.calls.Add(func() { r.cfg.OnOutdated(event) })
	}
	r.decides, r.outdated = false, nil
}

// ignoreOutdated reports whether a record is about something that the registry knows to be gone, and notes it if so. The registry
// has all records up to known, so that what is not listed was removed by then, even if no record of the removal is left. Only a
// later record can say otherwise.
func (r *Registry) ignoreOutdated(rec Record, listed bool) bool {
	known := r.known
	if rec.Evacuation {
		known = r.knownEvacuations
	}
	if listed || rec.Removed || rec.Revision > known || r.decides {
		return false
	}
	r.outdated = append(r.outdated, rec)
	return true
}

// MergeList adds the records of a complete list that was read from the store at a position, and removes upstreams that are not
// listed. A list of another era replaces all records. It reports whether the upstreams in use changed.
func (r *Registry) MergeList(records []Record, at Position, now time.Time) bool {
	r.mu.Lock()
	defer r.calls.Unlock(&r.mu)
	// It may list what peers of another version could not decode.
	r.decides = at.Revision >= r.complete.Revision
	return r.mergeList(records, at, true, now, now)
}

// MergePeerList is MergeList for the complete list of a peer, which replaces one of the era since only: the list may have
// changed since the peer was asked. The store was restored at the given time, as far as the peer knows.
func (r *Registry) MergePeerList(records []Record, since uint64, at Position, restored, now time.Time) bool {
	r.mu.Lock()
	defer r.calls.Unlock(&r.mu)
	if at.Revision == 0 || r.complete.Era != since && r.complete.Era != at.Era {
		return false
	}
	return r.mergeList(records, at, true, restored, now)
}

// mergeList merges a complete list, which holds the evacuations, too, if hasEvacuations is set.
func (r *Registry) mergeList(records []Record, at Position, hasEvacuations bool, restored, now time.Time) bool {
	r.beginMerge()
	changed := false
	var doubts map[string]doubt
	if r.complete.Revision > 0 && at.Era != r.complete.Era {
		if restored.After(r.outageEnd) {
			r.outageEnd = restored
		}
		records, doubts = r.beginEra(records, at, now)
		r.known, r.knownEvacuations = 0, 0
		changed = true
	}
	r.complete.Era = at.Era
	// What a list lacks is gone, unless the list is behind this registry.
	ends := at.Revision >= r.known
	listed, evacuated := make(map[string]bool, len(records)), make(map[string]bool)
	for _, rec := range records {
		if !rec.Evacuation {
			listed[rec.ID] = !rec.Removed
			changed = r.merge(rec, now) || changed
		}
	}
	for _, rec := range records { // After the upstreams, which are counted for the log.
		if rec.Evacuation {
			evacuated[rec.ID] = !rec.Removed
			changed = r.merge(rec, now) || changed
		}
	}
	if hasEvacuations && at.Revision >= r.knownEvacuations {
		changed = r.endUnlisted(evacuated, at, now) || changed
	}
	// After a list without evacuations, one that is behind it may still lack some.
	r.lacksEvacuations = !hasEvacuations || r.lacksEvacuations && at.Revision < r.known
	for id, e := range r.entries {
		if ends && !listed[id] && !e.Removed && e.Revision <= at.Revision {
			changed = r.merge(Record{ID: id, Revision: at.Revision, Removed: true}, now) || changed
		}
	}
	r.complete.Revision = max(r.complete.Revision, at.Revision)
	r.removalsFrom = max(r.removalsFrom, at.Revision)
	for id, d := range doubts {
		e := r.entries[id]
		e.doubtedUntil, e.unused, e.listed = now.Add(r.cfg.Expiry), d.unused, d.listed
	}
	r.endMerge(changed, now)
	return changed
}

// beginEra prepares the entries for the list of another era. It returns the records to merge, and the doubts about them by ID.
//
// The copy from which the store was restored may lack upstreams that have joined since, so that unlisted ones stay in use as
// after an outage. It may have upstreams as ready that have left since: those that were leaving do so whatever the store
// says, and those that had been removed are not used until their entries are written again or would have expired. For as long,
// an incarnation that the copy lists does not replace a later one of the same upstream.
func (r *Registry) beginEra(list []Record, at Position, now time.Time) (records []Record, doubts map[string]doubt) {
	if r.cfg.OnEra != nil {
		old := r.complete
		r.calls.Add(func() { r.cfg.OnEra(old, at) })
	}
	r.complete, r.restored, r.removalsFrom = at, true, 0
	for _, e := range r.entries {
		e.wasLeaving = e.wasLeaving || e.Upstream.Leaving
		if end := r.graceEnd(); e.Removed && now.Before(e.graceUntil) && end.After(e.graceUntil) {
			e.graceUntil = end // The entry may not have been written again before this restore.
		}
		e.Revision = 0 // It says nothing about the order of changes in this era.
	}
	for _, e := range r.evacuations {
		e.Revision = 0
	}
	doubts = make(map[string]doubt)
	for _, rec := range list {
		if rec.Removed {
			continue
		}
		if rec.Evacuation {
			records = append(records, rec)
			continue
		}
		e := r.entries[rec.ID]
		switch {
		case e == nil:
		case rec.Upstream.Born < e.Upstream.Born:
			listed := rec.Upstream
			doubts[rec.ID] = doubt{unused: !e.inUse(now), listed: &listed}
			rec.Upstream = e.Upstream
		case !e.inUse(now) && e.Upstream.Incarnation() == rec.Upstream.Incarnation():
			doubts[rec.ID] = doubt{unused: true}
		}
		records = append(records, rec)
	}
	return records, doubts
}

// MergeChanges adds records, which must be all those after the position since up to the given one. It reports whether the
// upstreams in use changed. Records of another era than that of the list are ignored. Position does not advance if it is
// before since, as records between are missing.
func (r *Registry) MergeChanges(records []Record, since, to Position, now time.Time) bool {
	r.mu.Lock()
	defer r.calls.Unlock(&r.mu)
	if since.Era != to.Era || r.complete.Revision > 0 && to.Era != r.complete.Era {
		return false
	}
	changed := r.mergeAll(records, now)
	if since.Revision <= r.complete.Revision {
		r.complete = Position{Era: to.Era, Revision: max(r.complete.Revision, to.Revision)}
	}
	return changed
}

// isNews reports whether a record says anything new about an upstream whose entry is old, which may be nil.
func (r *Registry) isNews(rec Record, old *entry) bool {
	if old != nil && isKnown(rec, old) {
		return false
	}
	return !r.ignoreOutdated(rec, old != nil && !old.Removed)
}

// isKnown reports whether a record says nothing new.
func isKnown(rec Record, old *entry) bool {
	if rec.Revision != old.Revision {
		return rec.Revision < old.Revision
	}
	return rec.Removed == old.Removed && !saysLeaving(rec, old)
}

// saysLeaving reports whether a record that a peer passes on differs from that of the store at the same revision, because the
// peer knows from an earlier era that the incarnation is leaving.
func saysLeaving(rec Record, old *entry) bool {
	return rec.Upstream.Leaving && !old.Upstream.Leaving && !rec.Removed && rec.Upstream.Incarnation() == old.Upstream.Incarnation()
}

func (r *Registry) merge(rec Record, now time.Time) bool {
	if rec.Evacuation {
		return r.mergeEvacuation(rec, now)
	}
	old := r.entries[rec.ID]
	if !r.isNews(rec, old) {
		return false
	}
	if old != nil && old.Upstream.Born > 0 && rec.Upstream.Born == 0 {
		// An upstream states its start in all its entries, so that this one comes from another writer.
		rec = Record{ID: rec.ID, Revision: rec.Revision, Removed: true}
	}
	if old != nil && old.wasLeaving && !rec.Removed && old.Upstream.Incarnation() == rec.Upstream.Incarnation() {
		rec.Upstream.Leaving = true
	}
	e := &entry{Record: rec, wasLeaving: rec.Upstream.Leaving && old != nil && (old.wasLeaving || rec.Revision == old.Revision && !old.Removed)}
	e.times = r.timesOf(rec, old, now)
	change := "changed"
	switch {
	case rec.Removed:
		change = "removed"
		e.removedAt = now
		if old == nil {
			break
		}
		e.Upstream, e.wasLeaving = old.Upstream, old.wasLeaving
		if old.Removed {
			e.graceUntil = old.graceUntil
			break
		}
		if until := r.graceEnd(); now.Before(until) && old.inUse(now) && !old.Upstream.Leaving && !r.isMarked(&old.Upstream) {
			change = "lapsed"
			e.graceUntil = until
		}
	case old == nil || old.Removed || old.unused:
		change = "joined"
	case rec.Upstream.Leaving && !old.Upstream.Leaving:
		change = "leaving"
	}
	r.keep(e, old != nil)
	if change == "changed" && onlyColdDiffers(old.Upstream, rec.Upstream) {
		r.renewed = true // The entry of a cold upstream is written again with each heartbeat, which would fill the log.
		return old.Upstream != rec.Upstream
	}
	if rec.Removed && (old == nil || old.Removed) {
		return false // An odd entry that is written again and again is a new removal each time.
	}
	r.notify(e, change, now)
	return true
}

// keep stores an entry, and forgets the mark of an earlier incarnation. The removal of an upstream that is not listed is stored
// only while there is room.
func (r *Registry) keep(e *entry, listed bool) {
	if listed || !e.Removed || len(r.entries) < maxEntries {
		r.entries[e.ID] = e
	}
	if !r.isMarked(&e.Upstream) {
		delete(r.marks, e.ID)
	}
}

// onlyColdDiffers reports whether two upstreams are equal but for the remaining cold time.
func onlyColdDiffers(a, b Upstream) bool {
	a.Cold = b.Cold
	return a == b
}

// notify calls OnEvent for a change of an entry.
func (r *Registry) notify(e *entry, change string, now time.Time) {
	if r.cfg.OnEvent == nil {
		return
	}
	event := Event{Record: e.Record, Era: r.complete.Era, Known: r.known, Change: change, MarkAge: -time.Millisecond}
	if r.isMarked(&e.Upstream) {
		m := r.marks[e.ID]
		event.MarkAge, event.MarkSource = now.Sub(m.at), m.source
	}
	r.calls.Add(func() { r.cfg.OnEvent(event) })
}

// graceEnd returns the end of the grace period after the latest outage; zero if there was none. Before it, a removal may
// mean only that the entry expired because it could not be renewed during the outage.
func (r *Registry) graceEnd() time.Time {
	if r.outageEnd.IsZero() {
		return time.Time{}
	}
	return r.outageEnd.Add(ExpiryGrace)
}

// Refresh ends the grace periods, and those in which entries are doubted, that have passed, and deletes old removals. It
// reports whether the upstreams in use changed.
func (r *Registry) Refresh(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for id, e := range r.entries {
		if !e.doubtedUntil.IsZero() && !now.Before(e.doubtedUntil) {
			if e.listed != nil {
				e.Upstream, e.wasLeaving = *e.listed, false
			}
			e.doubtedUntil, e.unused, e.listed = time.Time{}, false, nil
			changed = true
		}
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
			r.removalsFrom = max(r.removalsFrom, e.Revision)
		}
	}
	changed = r.forgetEvacuations(now) || changed
	if changed {
		r.rebuild(now)
	}
	return changed
}

// Position returns the position up to which the registry has all records; its revision is zero before the first list.
func (r *Registry) Position() Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.complete
}

// Restored reports whether the era of the list has changed since the start, so that a revision alone does not say what it
// stands for.
func (r *Registry) Restored() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.restored
}

// NewestRevision returns the revision of the newest record as of the last Refresh or merge that changed the upstreams
// in use.
func (r *Registry) NewestRevision() uint64 {
	return r.View().Revision
}

// RecordsSince returns the records after a position, including removals, and the position up to which they are complete. These
// are all records, with whole set, after a position in another era, or before one from which removals are known.
//
// The removal of an upstream of which this process never knew is left out: a peer that knows it has a position before the first
// list of this process, and gets all records.
func (r *Registry) RecordsSince(since Position) (records []Record, complete Position, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	whole = since.Era != r.complete.Era || since.Revision < r.removalsFrom
	for _, e := range r.entries {
		if !whole && e.Revision <= since.Revision || e.Removed && e.Upstream.ID == "" {
			continue
		}
		rec := e.Record
		if e.listed != nil {
			rec.Upstream = *e.listed // A peer decides by what it knew itself.
		}
		records = append(records, rec)
	}
	for _, e := range r.evacuations {
		if whole || e.Revision > since.Revision {
			records = append(records, e.Record)
		}
	}
	return records, r.complete, whole
}

func (r *Registry) rebuild(now time.Time) {
	r.renewed = false
	v := &View{
		ByService: make(map[string][]Upstream), Leaving: make(map[string][]Upstream), Evacuated: make(map[string][]Upstream),
		Times: make(map[string]Times, len(r.entries)),
	}
	r.addEvacuations(v)
	for _, e := range r.entries {
		v.Revision = max(v.Revision, e.Revision)
		u := e.Upstream
		u.Leaving = u.Leaving || r.isMarked(&u)
		if u.Leaving && !e.Removed {
			v.Leaving[u.Service] = append(v.Leaving[u.Service], u)
		}
		if !e.inUse(now) || u.Leaving {
			continue
		}
		v.Times[u.ID] = e.times
		if v.IsEvacuated(u) {
			v.Evacuated[u.Service] = append(v.Evacuated[u.Service], u)
			continue
		}
		v.ByService[u.Service] = append(v.ByService[u.Service], u)
	}
	for _, list := range v.ByService {
		slices.SortFunc(list, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	r.view.Store(v)
}
