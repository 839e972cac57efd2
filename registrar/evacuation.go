package registrar

import "time"

// evacuation is the record of an evacuation, or of its end.
type evacuation struct {
	Record
	// began and ended are the times at which this gateway learnt of the begin and the end; zero if it did not.
	began, ended time.Time
	removedAt    time.Time
}

// EvacuationEvent is the begin or the end of the evacuation of a failure domain.
type EvacuationEvent struct {
	FailureDomain string
	// Began is true at the begin and false at the end.
	Began         bool
	Revision, Era uint64
	// Upstreams is the number of upstreams in the failure domain.
	Upstreams int
	// Lasted is the time since this gateway learnt of the begin; zero in the event of the begin.
	Lasted time.Duration
}

// mergeEvacuation adds the record of an evacuation, and reports whether a failure domain has come to be evacuated or not. Of
// two records with the same revision, the removal counts: it is that of a list that lacks the evacuation.
//
// The end of an evacuation of which this gateway did not know counts as one, as the upstreams may have become cold.
func (r *Registry) mergeEvacuation(rec Record, now time.Time) bool {
	old := r.evacuations[rec.ID]
	if old != nil && (rec.Revision < old.Revision || rec.Revision == old.Revision && (old.Removed || !rec.Removed)) {
		return false
	}
	if r.ignoreOutdated(rec, old != nil && !old.Removed) {
		return false
	}
	rec.Upstream = Upstream{}
	e := &evacuation{Record: rec}
	wasActive := old != nil && !old.Removed
	if old != nil {
		e.began, e.ended = old.began, old.ended
	}
	r.evacuations[rec.ID] = e
	switch {
	case rec.Removed && wasActive:
		e.ended, e.removedAt = now, now
	case rec.Removed:
		e.removedAt = now
		if r.complete.Revision > 0 {
			e.ended = now
		}
		return r.complete.Revision > 0
	case wasActive:
		return false
	default:
		e.began = now
	}
	r.notifyEvacuation(e, now)
	return true
}

// endUnlisted ends the evacuations that a complete list at the given position lacks. It reports whether there were any.
func (r *Registry) endUnlisted(listed map[string]bool, at Position, now time.Time) bool {
	changed := false
	for name, e := range r.evacuations {
		if !e.Removed && !listed[name] && e.Revision <= at.Revision {
			end := Record{ID: name, Evacuation: true, Removed: true, Revision: at.Revision}
			changed = r.mergeEvacuation(end, now) || changed
		}
	}
	return changed
}

// forgetEvacuations deletes the records of evacuations that ended long ago, and reports whether there were any.
func (r *Registry) forgetEvacuations(now time.Time) bool {
	changed := false
	for name, e := range r.evacuations {
		if e.Removed && now.Sub(e.removedAt) > tombstoneTTL {
			delete(r.evacuations, name)
			r.removalsFrom = max(r.removalsFrom, e.Revision)
			changed = true
		}
	}
	return changed
}

// MergePeerUpstreams is MergePeerList for the records of a peer that knows no evacuations, which may be a list or changes. The
// known evacuations remain. The position does not advance within an era, as there may be evacuations before it; a first list,
// or one of another era, counts, and LacksEvacuations is true from then on.
func (r *Registry) MergePeerUpstreams(records []Record, since uint64, at Position, restored, now time.Time) bool {
	r.mu.Lock()
	defer r.calls.Unlock(&r.mu)
	if at.Revision == 0 || r.complete.Era != since && r.complete.Era != at.Era {
		return false
	}
	if r.complete.Revision > 0 && r.complete.Era == at.Era {
		return r.mergeAll(records, now)
	}
	return r.mergeList(records, at, false, restored, now)
}

// LacksEvacuations reports whether there may be evacuations before the position of the list that this gateway does not know.
func (r *Registry) LacksEvacuations() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lacksEvacuations
}

func (r *Registry) notifyEvacuation(e *evacuation, now time.Time) {
	if r.cfg.OnEvacuation == nil {
		return
	}
	event := EvacuationEvent{FailureDomain: e.ID, Began: !e.Removed, Revision: e.Revision, Era: r.complete.Era}
	for _, entry := range r.entries {
		if entry.Upstream.FailureDomain == e.ID && entry.inUse(now) {
			event.Upstreams++
		}
	}
	if e.Removed {
		event.Lasted = now.Sub(e.began)
	}
	r.calls.Add(func() { r.cfg.OnEvacuation(event) })
}

// addEvacuations sets the evacuations of a view.
func (r *Registry) addEvacuations(v *View) {
	v.Evacuations, v.EvacuationsEnded = make(map[string]time.Time), make(map[string]time.Time)
	for name, e := range r.evacuations {
		v.Revision = max(v.Revision, e.Revision)
		if !e.Removed {
			v.Evacuations[name] = e.began
		} else if !e.ended.IsZero() {
			v.EvacuationsEnded[name] = e.ended
		}
	}
}

// timesOf returns the times of an upstream whose record replaces old, which may be nil.
func (r *Registry) timesOf(rec Record, old *entry, now time.Time) Times {
	if rec.Removed {
		if old == nil {
			return Times{}
		}
		return old.times
	}
	t := Times{Entry: now, ColdUntil: now.Add(rec.Upstream.Cold)}
	known := old != nil && old.Upstream.Incarnation() == rec.Upstream.Incarnation()
	switch {
	case known:
		t.Joined = old.times.Joined
	case r.complete.Revision > 0:
		t.Joined = now
	}
	return t
}
