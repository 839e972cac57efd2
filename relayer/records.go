package relayer

import "clementineramp/registrar"

// usableRecords returns the records of a peer that can be merged. A peer of an older version may pass on an odd entry of
// the store: its record becomes a removal, as if this gateway had read the entry itself, or is left out if no upstream can
// have its ID. There is one log line for each message.
func (r *Relayer) usableRecords(peer string, records []registrar.Record) []registrar.Record {
	usable := make([]registrar.Record, 0, len(records))
	odd := 0
	var first error
	var firstID string
	for _, rec := range records {
		if err := rec.Validate(); err != nil {
			if odd++; odd == 1 {
				first, firstID = err, rec.ID
			}
			rec.Removed = true
		}
		if registrar.ValidateID(rec.ID) != nil {
			continue
		}
		if rec.Removed {
			rec.Upstream = registrar.Upstream{}
		}
		usable = append(usable, rec)
	}
	if odd > 0 {
		r.cfg.Log.Warn("peer_records_odd", "peer", peer, "records", odd, "first", firstID[:min(len(firstID), maxLoggedID)], "error", first.Error())
	}
	return usable
}

// maxLoggedID bounds the part of an ID in a log line; the store allows 200 bytes for a key.
const maxLoggedID = 200
