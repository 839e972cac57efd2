package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

const (
	// sweepInterval is the minimum time between searches for expired records to make room for marks of peers or routers
	// while MaxMarks is reached. Searching once for each of the 64 entries of an exchange took 42 ms.
	sweepInterval = time.Second
	// dropDivisor is the divisor of MaxMarks that gives the number of records per eviction; evicting several at a time
	// makes the search, which sorts all candidates, rarer.
	dropDivisor = 16
)

// class ranks records for eviction; lower classes are evicted first, as less is lost with them.
type class int

const (
	// classRemote is a mark that another agent set, received from a peer or a router; the request runs only in isolation.
	classRemote class = iota
	// classLocal is a mark that this agent set; this agent refuses the request.
	classLocal
	// classBlocked is a blocked request.
	classBlocked
)

// record holds the mark of one request; each time is the end of a lifetime, zero if unset.
type record struct {
	mark int
	// localUntil is set for a mark that this agent set at a crash of its engine.
	localUntil time.Time
	// gossipedUntil is set for a mark that a peer sent by gossip.
	gossipedUntil time.Time
	// fromRouterUntil is set for a mark that a router sent with the request. It is not gossiped: the agent that set the
	// mark gossips it with the true lifetime.
	fromRouterUntil time.Time
	// blockedUntil is set for a blocked request.
	blockedUntil time.Time
}

func (r *record) raiseMark(mark int) {
	r.mark = max(r.mark, min(mark, maxMark))
}

// expiry returns the time at which the record no longer has any effect.
func (r *record) expiry() time.Time {
	return latest(r.localUntil, r.gossipedUntil, r.fromRouterUntil, r.blockedUntil)
}

func (r *record) class(now time.Time) class {
	switch {
	case now.Before(r.blockedUntil):
		return classBlocked
	case now.Before(r.localUntil):
		return classLocal
	default:
		return classRemote
	}
}

// clear removes the marks; a block stays.
func (r *record) clear() {
	r.localUntil, r.gossipedUntil, r.fromRouterUntil = time.Time{}, time.Time{}, time.Time{}
}

// recordFor returns the record of a request, and creates it if there is none.
// It returns nil if MaxMarks is reached and no stored record may be evicted for one of class c.
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

// makeRoom removes expired records or, for a local mark or a block, some records of the lowest classes.
// It reports whether there is room for one more.
func (q *Quarantine) makeRoom(now time.Time, c class) bool {
	if c > classRemote || now.Sub(q.expiredRemoved) >= sweepInterval {
		q.removeExpired(now)
	}
	if len(q.records) < q.cfg.MaxMarks {
		return true
	}
	// A mark of a peer or router does not displace another one, since the router sends it with the request anyway.
	return c > classRemote && q.dropLowest(now, c)
}

// dropLowest evicts up to MaxMarks/dropDivisor records, none above class c: lower classes first, and within a class those
// that expire first. It reports whether it evicted any.
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
	n := min(len(candidates), max(1, q.cfg.MaxMarks/dropDivisor))
	for _, r := range candidates[:n] {
		delete(q.records, r.fp)
	}
	q.dropped += n
	return n > 0
}

// removeExpired removes the records whose lifetimes have all ended.
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
