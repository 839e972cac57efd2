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

// mergeEvacuation adds the record of an evacuation, and reports whether a failure domain has come to be evacuated or not.
func (r *Registry) mergeEvacuation(rec Record, now time.Time) bool {
	old := r.evacuations[rec.ID]
	if old != nil && rec.Revision <= old.Revision {
		return false
	}
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
		return false
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
			// A revision of zero is that of an era before.
			end := Record{ID: name, Evacuation: true, Removed: true, Revision: max(at.Revision, e.Revision+1)}
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

// EvacuationRecords returns the records of the evacuations and of those that ended lately.
func (r *Registry) EvacuationRecords() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	records := make([]Record, 0, len(r.evacuations))
	for _, e := range r.evacuations {
		records = append(records, e.Record)
	}
	return records
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
	r.cfg.OnEvacuation(event)
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
