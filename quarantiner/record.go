package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

const (
	// sweepInterval bounds the searches for expired records while marks arrive at the bound;
	// a search at each of the 64 entries of an exchange took 42 ms.
	sweepInterval = time.Second
	// dropFraction is the part of the records that is dropped at a time, since each search sorts all of them.
	dropFraction = 16
)

// class orders records by how much is lost when one is dropped for room.
type class int

const (
	// classGossiped is a mark that another agent gave; it isolates the request.
	classGossiped class = iota
	// classLocal is a mark that this agent gave; it makes this agent refuse the request.
	classLocal
	classBlocked
)

// record is what is known of one request; each time is the end of a lifetime.
type record struct {
	mark int
	// localUntil is set for a mark that this agent gave.
	localUntil time.Time
	// gossipedUntil is set for a mark that came by gossip.
	gossipedUntil time.Time
	// carriedUntil is set for a mark that a router carriedUntil. It is not sent by gossip: the agent that gave
	// the mark sends it with the true lifetime.
	carriedUntil time.Time
	blockedUntil time.Time
}

func (r *record) raiseMark(mark int) {
	r.mark = max(r.mark, min(mark, maxMark))
}

// expiry returns when nothing is known of the request any more.
func (r *record) expiry() time.Time {
	return latest(r.localUntil, r.gossipedUntil, r.carriedUntil, r.blockedUntil)
}

func (r *record) class(now time.Time) class {
	switch {
	case now.Before(r.blockedUntil):
		return classBlocked
	case now.Before(r.localUntil):
		return classLocal
	default:
		return classGossiped
	}
}

// clear removes the marks; a conviction stays.
func (r *record) clear() {
	r.localUntil, r.gossipedUntil, r.carriedUntil = time.Time{}, time.Time{}, time.Time{}
}

// recordFor returns the record of a request, a new one if there is none.
// It returns nil if the bound is reached and nothing that is kept ranks below the new one.
func (q *Quarantine) recordFor(now time.Time, fp Fingerprint, c class) *record {
	if r := q.records[fp]; r != nil {
		if !now.Before(r.expiry()) {
			*r = record{}
		}
		return r
	}
	if len(q.records) >= q.cfg.MaxMarks && !q.makeRoom(now, c) {
		q.dropped++
		return nil
	}
	r := &record{}
	q.records[fp] = r
	return r
}

// makeRoom removes expired records or, for a mark of this agent or a conviction, some of those that rank lowest.
func (q *Quarantine) makeRoom(now time.Time, c class) bool {
	if c > classGossiped || now.Sub(q.expiredRemoved) >= sweepInterval {
		q.removeExpired(now)
	}
	if len(q.records) < q.cfg.MaxMarks {
		return true
	}
	// A mark that is heard does not displace another one: the router carries it anyway.
	return c > classGossiped && q.dropLowest(now, c)
}

// dropLowest removes a part of the records up to a class: lower classes first, then those that expire first.
func (q *Quarantine) dropLowest(now time.Time, c class) bool {
	type ranked struct {
		fp    Fingerprint
		class class
		until time.Time
	}
	var candidates []ranked
	for fp, r := range q.records {
		if rc := r.class(now); rc <= c {
			candidates = append(candidates, ranked{fp, rc, r.expiry()})
		}
	}
	slices.SortFunc(candidates, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.class, b.class), a.until.Compare(b.until), cmp.Compare(a.fp, b.fp))
	})
	n := min(len(candidates), max(1, q.cfg.MaxMarks/dropFraction))
	for _, r := range candidates[:n] {
		delete(q.records, r.fp)
	}
	q.dropped += n
	return n > 0
}

// removeExpired removes the records whose lifetimes are over.
func (q *Quarantine) removeExpired(now time.Time) {
	q.expiredRemoved = now
	for fp, r := range q.records {
		if !now.Before(r.expiry()) {
			delete(q.records, fp)
		}
	}
}

func latest(times ...time.Time) time.Time {
	var last time.Time
	for _, t := range times {
		if t.After(last) {
			last = t
		}
	}
	return last
}
