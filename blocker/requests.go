package blocker

import (
	"maps"
	"slices"
	"time"
)

const (
	// requestHold is the shortest time for which a request remains blocked after its last crash, if it was never served.
	requestHold = 2 * time.Minute
	// maxServed bounds the requests that are remembered as served in each period of beginMemory.
	maxServed = 16384
	// servedSettleTime is the time from the third crash of a request that was served before to its block. Reports that it was
	// served again since the first ones reach all routers within it.
	servedSettleTime = time.Second
)

// requestTracker computes from the reports which requests are blocked. Unlike a part, a request is cleared only once an answer
// to it was served whole: one that crashes upstreams may do so in the middle of its answer.
type requestTracker struct {
	suspects map[Fingerprint]*suspect
	// served holds the times at which this router has served requests.
	served  recent[Fingerprint]
	expired time.Time
}

// RecordServed records that an upstream has answered a request to the end, which clears the request of the crashes before.
func (t *Blocker) RecordServed(f Fingerprint, now time.Time) {
	t.mu.Lock()
	q := &t.requests
	q.served.add(f, now)
	if s := q.suspects[f]; s != nil {
		s.seen = now
		if len(s.uncleared(s.begun, nil)) >= blockThreshold {
			s.publishAt = now // Other routers refuse it.
			t.publishServed(now)
		}
	}
	t.unlockAndCall(now)
}

// BlockedFor returns the time for which a request must not be sent; zero means that it may be. Once its block has ended and
// until it is served, a request that may be sent is a trial, and others are refused until its outcome is known, or for 2 s.
func (t *Blocker) BlockedFor(f Fingerprint, now time.Time) time.Duration {
	return t.blockedFor(f, now, true)
}

// HeldFor returns the time for which a request remains blocked; zero means that it is not. It serves for a request that has
// been let pass, and may be a trial itself.
func (t *Blocker) HeldFor(f Fingerprint, now time.Time) time.Duration {
	return t.blockedFor(f, now, false)
}

func (t *Blocker) blockedFor(f Fingerprint, now time.Time, trial bool) time.Duration {
	t.mu.Lock()
	defer t.unlockAndCall(now)
	s := t.requests.suspects[f]
	if s == nil || len(s.crashes) < blockThreshold {
		return 0
	}
	p := &t.late
	t.update(now) // Crashes that a part explains do not count against the requests that ran beside it.
	times := s.uncleared(s.lastBegin(), p.explained)
	maps.DeleteFunc(times, func(_ uint32, at time.Time) bool { return now.Sub(at) >= partTTL })
	if len(times) < blockThreshold {
		return 0
	}
	sorted := values(times)
	slices.SortFunc(sorted, time.Time.Compare)
	if !s.lastBegin().IsZero() && now.Before(sorted[blockThreshold-1].Add(servedSettleTime)) {
		return 0
	}
	until := sorted[len(sorted)-1].Add(p.hold(candidate{part: Part(f), s: s, times: times}, requestHold))
	switch {
	case now.Before(until):
		return until.Sub(now)
	case !trial:
		return 0
	case now.Before(s.nextTrial):
		return s.nextTrial.Sub(now)
	}
	s.nextTrial = now.Add(trialInterval)
	return 0
}

// publish reports the begins and the served requests at this router of which other routers should know.
func (t *Blocker) publish(now time.Time) {
	t.publishPartBegins(&t.parts, now)
	t.publishPartBegins(&t.late, now)
	t.publishServed(now)
}

// publishServed reports the requests that were served at this router and that other routers may still suspect.
func (t *Blocker) publishServed(now time.Time) {
	var due []Fingerprint
	for f, s := range t.requests.suspects {
		if s.beginDue(now, shareOf(t.origin, Part(f))) {
			due = append(due, f)
		}
	}
	slices.Sort(due)
	for _, f := range due {
		t.appendOwn(crashReport{request: f, at: t.requests.suspects[f].seen})
	}
	if len(due) > 0 {
		t.parts.suspicion = true
	}
}

// add records the crash of a report, or that its request was served.
func (q *requestTracker) add(r crashReport, origin uint64) {
	if r.upstream == 0 && len(r.parts) > 0 || r.depth > 0 {
		return // These are begins of parts, or more parts of a crash.
	}
	s := q.suspects[r.request]
	if s == nil {
		evict(q.suspects, maxSuspected)
		s = newSuspect(q.served.last(r.request))
		q.suspects[r.request] = s
	}
	switch {
	case r.upstream != 0:
		s.addCrash(r.upstream, r.at, origin)
	case r.at.After(s.begun):
		s.begun = r.at
	}
}

// expire removes what no longer counts, at most once a second: each exchange with a peer calls it. Requests that are blocked
// are kept for longer, so that a single crash after the block blocks them again.
func (q *requestTracker) expire(now time.Time) {
	if now.Sub(q.expired) < time.Second {
		return
	}
	q.expired = now
	for f, s := range q.suspects {
		ttl := reportTTL
		if len(s.crashes) >= blockThreshold {
			ttl = partTTL
		}
		s.expire(now, ttl)
		if len(s.crashes) == 0 && now.Sub(s.lastBegin()) >= partTTL {
			delete(q.suspects, f)
		}
	}
}

// recent remembers the last time of what happened within beginMemory or longer, of up to most keys in each such period.
type recent[K comparable] struct {
	most              int
	current, previous map[K]time.Time
	rotated           time.Time
}

// add records that something happened.
func (r *recent[K]) add(key K, now time.Time) {
	if r.current == nil || len(r.current) >= r.most || now.Sub(r.rotated) >= beginMemory {
		r.current, r.previous, r.rotated = make(map[K]time.Time), r.current, now
	}
	r.current[key] = now
}

// last returns the time at which something happened last; zero means that it is not known.
func (r *recent[K]) last(key K) time.Time {
	if at, ok := r.current[key]; ok {
		return at
	}
	return r.previous[key]
}
