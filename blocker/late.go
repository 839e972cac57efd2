package blocker

import (
	"maps"
	"slices"
	"time"
)

const (
	// LateSpan is the time from the first event of an answer up to which a crash of the upstream makes the parts suspected. An
	// answer that goes on for longer, or is served whole, shows that its parts do not crash upstreams in that time.
	LateSpan = time.Second
	// lateSettleTime replaces settleTime for crashes in the middle of an answer: sound parts are cleared LateSpan later. It is
	// less than the 3 s that a router may take to block a part.
	lateSettleTime = 2500 * time.Millisecond
)

// RecordLateCrash is RecordCrash for a crash in the middle of an answer, not later than LateSpan after its begin, which is not
// taken back. The parts are suspected of it together with those of all other answers that the upstream was writing.
func (t *Blocker) RecordLateCrash(f Fingerprint, upstream string, now time.Time, parts []Part) int {
	return t.recordCrash(crashReport{request: f, upstream: incarnationHash(upstream), at: now, parts: parts, late: len(parts) > 0})
}

// RecordOutlived records that an answer to a request with the given parts was served whole, or has gone on for LateSpan. It
// began at the given time, and clears its parts of the crashes in the middle of answers before that.
func (t *Blocker) RecordOutlived(parts []Part, begun, now time.Time) {
	if len(parts) == 0 {
		return
	}
	t.mu.Lock()
	defer t.unlockAndCall(now)
	p := &t.late
	var cleared []*suspect
	refused := false
	for _, part := range parts {
		if begun.After(p.begins.last(part)) {
			p.begins.add(part, begun)
		}
		s := p.suspects[part]
		if s == nil || !begun.After(s.seen) {
			continue
		}
		s.seen = begun
		p.changed = p.changed || len(s.crashes) >= blockThreshold
		cleared = append(cleared, s)
		_, blocked := p.blocked[part]
		_, onTrial := p.trials[part]
		refused = refused || blocked || onTrial
	}
	if !refused {
		return
	}
	// All of them at once: a part that is reported later would be blamed meanwhile.
	for _, s := range cleared {
		s.publishAt = now
	}
	t.publishPartBegins(p, now)
}

// uncleared returns the times of the crashes of a suspect that its begins have not cleared, by incarnation, but for those that
// are explained.
func (p *partTracker) uncleared(s *suspect, explained map[uint32]bool) map[uint32]time.Time {
	left := s.uncleared(s.lastBegin(), explained)
	if p.late && !s.lastBegin().IsZero() {
		// An answer begins LateSpan before it is known to clear its parts, so that exactSlack doesn't leave time for it.
		maps.DeleteFunc(left, func(_ uint32, at time.Time) bool { return !at.After(s.lastBegin().Add(beginSlack)) })
	}
	return left
}

// count returns the number of crashes at the given times that count against a part. Of crashes in the middle of answers, those
// within massSpan count as one: upstreams that are stopped together end all answers that they were writing.
func (p *partTracker) count(times map[uint32]time.Time) int {
	if !p.late {
		return len(times)
	}
	sorted := values(times)
	slices.SortFunc(sorted, time.Time.Compare)
	n := 0
	var last time.Time
	for _, at := range sorted {
		if n == 0 || at.Sub(last) >= massSpan {
			n, last = n+1, at
		}
	}
	return n
}
