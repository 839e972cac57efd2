package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

// Entry is what one agent tells another about a request.
type Entry struct {
	Fingerprint Fingerprint `json:"fingerprint,string"`
	Mark        int         `json:"mark"`
	Convicted   bool        `json:"convicted,omitempty"`
	// Remaining is the time until the mark or conviction expires, less the time that the exchange may take.
	Remaining time.Duration `json:"remaining_ns"`
}

// Marks returns up to n entries for a peer: convictions first, then the marks that live longest.
func (q *Quarantine) Marks(n int, now time.Time) []Entry {
	q.sweep(now)
	entries := make([]Entry, 0, len(q.records))
	for fp, r := range q.records {
		e := Entry{Fingerprint: fp, Mark: r.mark, Convicted: now.Before(r.convicted)}
		until := latest(r.own, r.heard)
		if e.Convicted {
			until = r.convicted
		}
		e.Remaining = until.Add(-q.cfg.GossipMargin).Sub(now)
		if e.Remaining > 0 {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		if a.Convicted != b.Convicted {
			if a.Convicted {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.Remaining, a.Remaining), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return entries[:max(0, min(n, len(entries)))]
}

// Merge adopts the entries of a peer and returns the number of those that this agent did not know as marked or convicted.
// An entry that is expired or malformed is ignored, and a lifetime above the configured one is cut.
func (q *Quarantine) Merge(now time.Time, entries []Entry) int {
	added, dropped := 0, q.dropped
	for _, e := range entries {
		if e.Remaining <= 0 || e.Mark < 1 {
			continue
		}
		known := q.mark(now, e.Fingerprint) > 0
		if e.Convicted {
			r := q.records[e.Fingerprint]
			known = r != nil && now.Before(r.convicted)
		}
		if q.adopt(now, e) && !known {
			added++
		}
	}
	if added > 0 || q.dropped > dropped {
		q.decide(now, Decision{Action: ActionMerge, Given: added})
	}
	return added
}

func (q *Quarantine) adopt(now time.Time, e Entry) bool {
	c, lifetime := classHeard, q.cfg.MarkLifetime
	if e.Convicted {
		c, lifetime = classConvicted, q.cfg.ConvictionLifetime
	}
	until := now.Add(min(e.Remaining, lifetime))
	r := q.store(now, e.Fingerprint, c)
	if r == nil {
		return false
	}
	if e.Convicted {
		r.convicted = latest(r.convicted, until)
	} else {
		r.heard = latest(r.heard, until)
	}
	r.raise(e.Mark)
	return true
}
