package relayer

import (
	"sync"

	"clementineramp/registrar"
)

const (
	// maxLoggedID bounds the part of an ID in a log line; the store allows 200 bytes for a key.
	maxLoggedID = 200
	// maxLoggedRecords bounds the odd records that are remembered as logged.
	maxLoggedRecords = 4096
)

// oddRecords remembers which odd records were logged, by ID and revision: several peers may send one at the same time.
type oddRecords struct {
	mu     sync.Mutex
	logged map[string]uint64
}

// add returns the number of odd records that were not logged before, and the first of them.
func (o *oddRecords) add(records []registrar.Record) (n int, first registrar.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.logged == nil || len(o.logged) > maxLoggedRecords {
		o.logged = make(map[string]uint64)
	}
	for _, rec := range records {
		id := rec.ID[:min(len(rec.ID), maxLoggedID)]
		if revision, ok := o.logged[id]; ok && revision == rec.Revision {
			continue
		}
		o.logged[id] = rec.Revision
		if n++; n == 1 {
			first = rec
		}
	}
	return n, first
}

// usableRecords returns the records of a peer that can be merged. A peer of an older version may pass on an odd entry of
// the store: its record becomes a removal, as if this gateway had read the entry itself, or is left out if no upstream can
// have its ID. A message has one log line for those that were not logged before.
func (r *Relayer) usableRecords(peer string, records []registrar.Record) []registrar.Record {
	usable := make([]registrar.Record, 0, len(records))
	var odd []registrar.Record
	for _, rec := range records {
		if rec.Validate() != nil {
			odd = append(odd, rec)
			rec.Removed = true
		}
		if registrar.ValidateID(rec.ID) != nil {
			continue
		}
		if rec.Removed || rec.Evacuation {
			rec.Upstream = registrar.Upstream{}
		}
		usable = append(usable, rec)
	}
	if len(odd) == 0 {
		return usable
	}
	if n, first := r.odd.add(odd); n > 0 {
		r.cfg.Log.Warn("peer_records_odd", "peer", peer, "records", n, "first", first.ID[:min(len(first.ID), maxLoggedID)], "error", first.Validate().Error())
	}
	return usable
}
