package blocker

import (
	"encoding/binary"
	"errors"
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

var errLateParts = errors.New("the parts of late crashes do not fit the reports")

// encodeLate returns the parts of the late reports among the given ones: for each report their number in one byte, and four bytes
// for each part. It returns nothing if no report is late.
func encodeLate(reports []crashReport) []byte {
	if !slices.ContainsFunc(reports, func(r crashReport) bool { return r.late }) {
		return nil
	}
	var b []byte
	for _, r := range reports {
		if !r.late {
			b = append(b, 0)
			continue
		}
		b = append(b, uint8(len(r.parts)))
		for _, part := range r.parts {
			b = binary.LittleEndian.AppendUint32(b, uint32(part))
		}
	}
	return b
}

// decodeLate returns the parts of each of n reports, which are none for reports that are not late, or an error if the bytes do
// not hold them.
func decodeLate(b []byte, n int) ([][]Part, error) {
	all := make([][]Part, n)
	if len(b) == 0 {
		return all, nil
	}
	for i := range all {
		if len(b) == 0 || b[0] > maxParts || len(b) < 1+4*int(b[0]) {
			return nil, errLateParts
		}
		count := int(b[0])
		b = b[1:]
		for range count {
			all[i] = append(all[i], Part(binary.LittleEndian.Uint32(b)))
			b = b[4:]
		}
	}
	if len(b) > 0 {
		return nil, errLateParts
	}
	return all, nil
}
