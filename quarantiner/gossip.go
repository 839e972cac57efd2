package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

// Entry is the gossip message about one request that is suspect or blocked.
type Entry struct {
	Fingerprint Fingerprint `json:"fingerprint,string"`
	Mark        int         `json:"mark"`
	Blocked     bool        `json:"convicted,omitempty"`
	// Remaining is the time until the mark or block expires, less Config.GossipMargin for the duration of the exchange.
	Remaining time.Duration `json:"remaining_ns"`
}

// Marks returns up to n entries to send to a peer: blocked requests first, then suspect ones, each by descending remaining
// lifetime. It leaves out marks that only a router sent.
func (q *Quarantine) Marks(n int, now time.Time) []Entry {
	q.removeExpired(now)
	entries := make([]Entry, 0, len(q.records))
	for fp, r := range q.records {
		e := Entry{Fingerprint: fp, Mark: r.mark, Blocked: now.Before(r.blockedUntil)}
		until := latest(r.localUntil, r.gossipedUntil)
		if e.Blocked {
			until = r.blockedUntil
		}
		e.Remaining = until.Add(-q.cfg.GossipMargin).Sub(now)
		if e.Remaining > 0 {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		if a.Blocked != b.Blocked {
			if a.Blocked {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.Remaining, a.Remaining), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return entries[:max(0, min(n, len(entries)))]
}

// Merge stores the entries of a peer and returns the number of requests that were not suspect or blocked here before.
// It ignores entries that are expired or malformed, and limits each lifetime to the configured one.
func (q *Quarantine) Merge(now time.Time, entries []Entry) int {
	added, dropped := 0, q.dropped
	for _, e := range entries {
		if e.Remaining <= 0 || e.Mark < 1 {
			continue
		}
		known := q.mark(now, e.Fingerprint) > 0
		if e.Blocked {
			r := q.records[e.Fingerprint]
			known = r != nil && now.Before(r.blockedUntil)
		}
		if q.mergeEntry(now, e) && !known {
			added++
		}
	}
	if added > 0 || q.dropped > dropped {
		q.setDecision(now, Decision{Action: ActionMerge, MarksAdded: added})
	}
	return added
}

func (q *Quarantine) mergeEntry(now time.Time, e Entry) bool {
	c, lifetime := classRemote, q.cfg.MarkLifetime
	if e.Blocked {
		c, lifetime = classBlocked, q.cfg.BlockLifetime
	}
	until := now.Add(min(e.Remaining, lifetime))
	r := q.recordFor(now, e.Fingerprint, c)
	if r == nil {
		return false
	}
	if e.Blocked {
		r.blockedUntil = latest(r.blockedUntil, until)
	} else {
		r.gossipedUntil = latest(r.gossipedUntil, until)
	}
	r.raiseMark(e.Mark)
	return true
}
