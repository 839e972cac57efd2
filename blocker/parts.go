package blocker

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxParts is the maximum number of parts in a report. A longer prompt takes several reports.
	maxParts = 16
	// maxReportedParts bounds the parts that a router reports for the crash of one incarnation, which are 8 KB. Beyond it each
	// request reports sampledParts of its parts.
	maxReportedParts = 2048
	sampledParts     = maxParts
	// maxContinuation is the largest difference between the times of two reports of the same request.
	maxContinuation = 100 * time.Millisecond
	// partTTL is the time for which reports with parts are kept. It is longer than the longest hold, so that a single
	// crash after a hold blocks the part again.
	partTTL = 10 * time.Minute
	// settleTime is the time from the first crash of a part to its block. Sound parts that were in the same crashes begin
	// meanwhile, and the reports of that reach all routers within a second.
	settleTime = 1500 * time.Millisecond
	// massSettleTime replaces settleTime after a crash of many upstreams at once: sound parts are then in the crashes of
	// several of them, and the upstreams that remain take longer to begin. It is less than the 3 s that a router may take to
	// block a part.
	massSettleTime = 2500 * time.Millisecond
	// fastSettleTime replaces both for a part with fastCrashes crashes over fastSpan or more: each moment without a crash of
	// all at once is one in which a sound part of so many requests would begin. Reports of begins take 0.7 s in a fleet of 100.
	fastSettleTime = 900 * time.Millisecond
	fastCrashes    = 5
	fastSpan       = 400 * time.Millisecond
	// massSpan is the time within which the first three crashes of a part count as a crash of many upstreams at once.
	massSpan = 200 * time.Millisecond
	// beginSlack is added to the time of a begin: times of other routers are inexact by the time that their reports take.
	beginSlack = time.Second
	// exactSlack replaces it for a part with fastCrashes crashes later than that after its last begin. If many requests hold
	// a part that becomes deadly, all upstreams may crash within beginSlack, and none is left to show that it does. A sound
	// part with so many crashes begins again at once, unless all upstreams are gone.
	exactSlack = 100 * time.Millisecond
	// beginMemory is the time for which all begins are remembered at least: for reports of crashes that arrive later, and to
	// know of a part in crashes whether it had begun before. Rare chats begin a few times a minute at one router.
	beginMemory = 30 * time.Second
	// maxBegins bounds the parts whose begins are remembered in each period of beginMemory.
	maxBegins = 65536
	// AnswerStart is the time from the first event of an answer in which a crash of the upstream takes back the begin and makes
	// the parts suspected: an upstream that crashes on a part may have written an event by then. The requests that began
	// at an upstream in the last 250 ms before its crash are about as many as those that wait there.
	AnswerStart = 250 * time.Millisecond
	// maxRecentBegins bounds the begins of a suspect that may be taken back.
	maxRecentBegins = 8
	// maxBeginDelay bounds the random time until a router reports a begin: routers that hear of another's report first need
	// no report of their own.
	maxBeginDelay = 400 * time.Millisecond
	// beginInterval is the minimum time between reports of begins of the same part.
	beginInterval = 500 * time.Millisecond
	// baseHold is the shortest time for which a part remains blocked after its last crash. The routers let the first request
	// pass one after the other within the same time again (see opening).
	baseHold = time.Minute
	// firstHold and firstHoldSpread replace baseHold until the first crash after a hold, for a part that had begun before its
	// crashes. If a whole service goes away at once, the parts that most prompts share are in its crashes, nothing is
	// left to begin and clear them, and baseHold would keep the service closed for 1 to 2 minutes after its return. With the
	// short hold the first router lets a request pass after 4 s, the last after 10 s, and its begin clears the part
	// everywhere. For a part that crashes upstreams after it had begun, as with a change of model, this costs the requests
	// that pass until the routers have heard of the crash; a part that has crashed upstreams from its first request on keeps
	// the long hold.
	firstHold       = 4 * time.Second
	firstHoldSpread = 6 * time.Second
	// trialInterval is the time for which a router lets no other request with a part pass after one that is a trial of it, if
	// the part neither begins nor crashes an upstream: the first event of most answers takes less.
	trialInterval = 2 * time.Second
	// openingDoublings is how many times the number of routers that have ended their holds doubles until all have. Those that
	// have ended them by the time that the report of the first trial arrives may each send a request: more doublings make
	// them more.
	openingDoublings = 3
	// openingTrials is the number of trials that the fleet makes in expectation within the time in which all routers end
	// their holds, at the rate at which these begin to.
	openingTrials = 1.2
	// rateSpan is the time from the first crash of a part in which reports show how many requests with it arrive.
	rateSpan = 2 * time.Second
	// maxPartReports bounds the reports that are kept to this end for each part.
	maxPartReports = 256
	// maxDoublings is how many times the hold doubles: once for each crash after a hold.
	maxDoublings = 2
	// holdGap is the time without crashes after which a crash counts as one after a hold.
	holdGap = 30 * time.Second
	// computeInterval is the minimum time between evaluations of new reports.
	computeInterval = 20 * time.Millisecond
	// suspicionInterval is the minimum time between calls of OnSuspicion. Each makes the router exchange state with a few
	// peers, which takes a kilobyte each in a large fleet.
	suspicionInterval = time.Second
	// maxSuspects and maxIncarnations bound the suspected parts and the crashes of each.
	maxSuspects     = 16384
	maxIncarnations = 64
)

// Part is the hash of the ID of a part of prompts. A router sees up to a million different parts within partTTL: the
// chance that one of them has the hash of a part that crashes upstreams is 1 in 4,000.
type Part uint32

// PartOf returns the hash of the ID of a part.
func PartOf(id string) Part {
	return Part(xxhash.Sum64String(id))
}

// PartsOf returns the parts of a prompt that may be suspected of crashes: all but the last, which belongs to one request
// alone.
func PartsOf(ids []string) []Part {
	if len(ids) < 2 {
		return nil
	}
	parts := make([]Part, 0, len(ids)-1)
	seen := make(map[Part]struct{}, len(ids)-1)
	for _, id := range ids[:len(ids)-1] {
		p := PartOf(id)
		if _, ok := seen[p]; !ok {
			seen[p] = struct{}{}
			parts = append(parts, p)
		}
	}
	return parts
}

// PartEvent describes a part that becomes blocked or is no longer.
type PartEvent struct {
	Part    Part
	Blocked bool
	// Crashes is the number of upstreams whose crashes are explained by the part.
	Crashes int
	// Hold is the time for which it remains blocked unless it begins or crashes another upstream.
	Hold time.Duration
}

// suspect holds what is known of a part that was in crashes.
type suspect struct {
	// crashes maps the incarnations that crashed to the times of their crashes.
	crashes map[uint32]time.Time
	// origins maps them to the routers that reported them first.
	origins map[uint32]uint64
	// reports holds the reports that name the part, up to maxPartReports.
	reports []partReport
	// begun is the time of the last begin that was reported, and seen that of the last one at this router.
	begun, seen time.Time
	// publishAt is when this router reports the begin that it has seen; zero means that none is due.
	publishAt time.Time
	// nextTrial is when this router lets a request pass again that was blocked; blocked parts have theirs in trials.
	nextTrial time.Time
	// depth is the largest position that the part had in a prompt.
	depth int
	// recent holds the last begins at this router that have not been taken back, the newest last. retracted is set once one
	// has been.
	recent    []time.Time
	retracted bool
}

// retract takes back the begin at the given time.
func (s *suspect) retract(at time.Time) {
	s.retracted = true
	s.recent = slices.DeleteFunc(s.recent, at.Equal)
	if !s.seen.Equal(at) {
		return
	}
	s.seen, s.publishAt = time.Time{}, time.Time{}
	if n := len(s.recent); n > 0 {
		s.seen = s.recent[n-1]
	}
}

// partReport is a report of a request with a part that was running at an incarnation that crashed.
type partReport struct {
	incarnation uint32
	origin      uint64
}

// newSuspect returns a suspect of nothing, with the time of its last begin at this router.
func newSuspect(seen time.Time) *suspect {
	return &suspect{crashes: make(map[uint32]time.Time), origins: make(map[uint32]uint64), seen: seen}
}

// addCrash records a crash. One beyond maxIncarnations replaces the oldest.
func (s *suspect) addCrash(incarnation uint32, at time.Time, origin uint64) {
	if len(s.reports) < maxPartReports {
		s.reports = append(s.reports, partReport{incarnation, origin})
	}
	known, ok := s.crashes[incarnation]
	if ok && !at.After(known) {
		return
	}
	if !ok && len(s.crashes) >= maxIncarnations {
		oldest := incarnation
		for other, otherAt := range s.crashes {
			if oldest == incarnation || cmp.Or(otherAt.Compare(s.crashes[oldest]), cmp.Compare(other, oldest)) < 0 {
				oldest = other
			}
		}
		delete(s.crashes, oldest)
		delete(s.origins, oldest)
	}
	s.crashes[incarnation] = at
	if !ok {
		s.origins[incarnation] = origin
	}
}

// uncleared returns the times of the crashes that begins have not cleared, by incarnation, but for those that are explained.
func (s *suspect) uncleared(begin time.Time, explained map[uint32]bool) map[uint32]time.Time {
	left := make(map[uint32]time.Time, len(s.crashes))
	for incarnation, at := range s.crashes {
		if !explained[incarnation] && (begin.IsZero() || at.After(begin.Add(exactSlack))) {
			left[incarnation] = at
		}
	}
	if begin.IsZero() || len(left) >= fastCrashes {
		return left
	}
	for incarnation, at := range left {
		if !at.After(begin.Add(beginSlack)) {
			delete(left, incarnation)
		}
	}
	return left
}

// expire removes the crashes that are older than ttl and reports whether there were any.
func (s *suspect) expire(now time.Time, ttl time.Duration) bool {
	before := len(s.crashes)
	maps.DeleteFunc(s.crashes, func(_ uint32, at time.Time) bool { return now.Sub(at) >= ttl })
	if len(s.crashes) == before {
		return false
	}
	known := func(incarnation uint32) bool {
		_, ok := s.crashes[incarnation]
		return ok
	}
	maps.DeleteFunc(s.origins, func(incarnation uint32, _ uint64) bool { return !known(incarnation) })
	s.reports = slices.DeleteFunc(s.reports, func(r partReport) bool { return !known(r.incarnation) })
	return true
}

// evict makes room for another suspect if there are as many as the given number, so that a flood of harmless ones doesn't keep
// out one that crashes upstreams: it removes a quarter, those in the fewest crashes that no begin has cleared first, and
// among these those whose last crash is the oldest.
func evict[K cmp.Ordered](suspects map[K]*suspect, most int) {
	if len(suspects) < most {
		return
	}
	type entry struct {
		key   K
		count int
		last  time.Time
	}
	entries := make([]entry, 0, len(suspects))
	for key, s := range suspects {
		e := entry{key: key}
		for _, at := range s.uncleared(s.lastBegin(), nil) {
			e.count++
			if at.After(e.last) {
				e.last = at
			}
		}
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.count, b.count), a.last.Compare(b.last), cmp.Compare(a.key, b.key))
	})
	for _, e := range entries[:(len(entries)+3)/4] {
		delete(suspects, e.key)
	}
}

// lastBegin returns the time of the last begin that is known here.
func (s *suspect) lastBegin() time.Time {
	if s.seen.After(s.begun) {
		return s.seen
	}
	return s.begun
}

// block is a part that is blamed for crashes.
type block struct {
	until   time.Time
	crashes int
}

// partTracker computes from the reports which parts are blocked. The mutex of its Blocker guards it.
type partTracker struct {
	// origin identifies the reports of this router.
	origin uint64
	// late is set if the crashes came in the middle of answers. What counts as the begin of a part is then the begin of an
	// answer that outlived LateSpan, and other holds the incarnations whose crashes are explained by parts in crashes of the
	// other kind.
	late     bool
	other    map[uint32]bool
	suspects map[Part]*suspect
	// crashed holds the times of the last crashes of all incarnations, and reported the numbers of parts that this router has
	// reported for each.
	crashed  map[uint32]time.Time
	reported map[uint32]int
	// begins holds the times of the begins at this router.
	begins recent[Part]

	blocked map[Part]block
	// explained holds the incarnations whose crashes parts are blamed for.
	explained map[uint32]bool
	// trials maps the parts whose blocks have ended without a begin to the times from which this router lets the next
	// request with them pass.
	trials map[Part]time.Time
	// changed is set if reports or begins have been added since the last evaluation.
	changed  bool
	computed time.Time
	expired  time.Time
	// next is when the passing of time changes the result of the last evaluation; zero means never.
	next time.Time

	suspicion     bool
	suspicionTime time.Time
	events        []PartEvent
}

// shareOf returns a number in [0, 1) that differs between routers and parts.
func shareOf(origin uint64, part Part) float64 {
	var b [12]byte
	binary.LittleEndian.PutUint64(b[:], origin)
	binary.LittleEndian.PutUint32(b[8:], uint32(part))
	return float64(xxhash.Sum64(b[:])>>11) / (1 << 53)
}

func newPartTracker(origin uint64, late bool) partTracker {
	return partTracker{
		origin: origin, late: late,
		suspects: make(map[Part]*suspect), crashed: make(map[uint32]time.Time), reported: make(map[uint32]int),
		begins:  recent[Part]{most: maxBegins},
		blocked: make(map[Part]block),
	}
}

// RecordBegin records that an upstream has sent the first event of the answer to a request with the given parts.
func (t *Blocker) RecordBegin(parts []Part, now time.Time) {
	if len(parts) == 0 {
		return
	}
	t.mu.Lock()
	p := &t.parts
	published := false
	for _, part := range parts {
		p.begins.add(part, now)
		s := p.suspects[part]
		if s == nil {
			continue
		}
		if len(s.recent) >= maxRecentBegins {
			s.recent = s.recent[1:]
		}
		s.recent = append(s.recent, now)
		s.seen = now
		p.changed = p.changed || len(s.crashes) >= blockThreshold
		_, blocked := p.blocked[part]
		_, onTrial := p.trials[part]
		switch {
		case !blocked && !onTrial:
		case s.retracted:
			s.publishAt = now.Add(AnswerStart)
		default:
			s.publishAt, published = now, true
		}
	}
	if published {
		t.publishPartBegins(p, now)
	}
	t.unlockAndCall(now)
}

// RetractBegin takes back the begin that was recorded at the given time, because the upstream crashed within AnswerStart. Call
// RecordCrash with the parts afterwards. From then on this router reports begins of the parts only once AnswerStart has
// passed; until then it reports them at once, so that sound parts are cleared everywhere without delay.
func (t *Blocker) RetractBegin(parts []Part, at, now time.Time) {
	t.mu.Lock()
	defer t.unlockAndCall(now)
	p := &t.parts
	for _, part := range parts {
		s := p.suspects[part]
		if s == nil {
			evict(p.suspects, maxSuspects)
			s = newSuspect(p.begins.last(part))
			p.suspects[part] = s
		}
		s.retract(at)
		p.changed = true
	}
}

// BlockedPart returns the part among the given ones for which a request must not be sent and the time for which that
// remains so, or false. Once the block of a part has ended and until the part begins, a request that may be sent is a trial,
// and others are refused until its outcome is known, or for 2 s.
func (t *Blocker) BlockedPart(parts []Part, now time.Time) (Part, time.Duration, bool) {
	return t.blockedPart(parts, now, true)
}

// HeldPart returns the first part among the given ones whose block has not ended and the time until it does, or false. It
// serves for a request that has been let pass, and may be a trial itself.
func (t *Blocker) HeldPart(parts []Part, now time.Time) (Part, time.Duration, bool) {
	return t.blockedPart(parts, now, false)
}

func (t *Blocker) blockedPart(parts []Part, now time.Time, trial bool) (Part, time.Duration, bool) {
	if len(parts) == 0 {
		return 0, 0, false
	}
	t.mu.Lock()
	defer t.unlockAndCall(now)
	t.update(now)
	both := [...]*partTracker{&t.parts, &t.late}
	for _, p := range both {
		if part, left, ok := p.find(parts, now, trial); ok {
			return part, left, true
		}
	}
	if trial {
		for _, p := range both {
			p.startTrials(parts, now)
		}
	}
	return 0, 0, false
}

// find returns the first of the given parts that is blocked, or else of which a trial is under way if trial is set, and the
// time for which that remains so.
func (p *partTracker) find(parts []Part, now time.Time, trial bool) (Part, time.Duration, bool) {
	if len(p.blocked) > 0 {
		for _, part := range parts {
			if b, ok := p.blocked[part]; ok {
				return part, b.until.Sub(now), true
			}
		}
	}
	if trial && len(p.trials) > 0 {
		for _, part := range parts {
			if next, ok := p.trials[part]; ok && now.Before(next) {
				return part, next.Sub(now), true
			}
		}
	}
	return 0, 0, false
}

// startTrials records that a request with the given parts is let pass, which is a trial of those whose blocks have ended.
func (p *partTracker) startTrials(parts []Part, now time.Time) {
	if len(p.trials) == 0 {
		return
	}
	for _, part := range parts {
		if _, ok := p.trials[part]; ok {
			p.trials[part] = now.Add(trialInterval)
		}
	}
}

// BlockedParts returns the number of parts that are blocked.
func (t *Blocker) BlockedParts(now time.Time) int {
	t.mu.Lock()
	defer t.unlockAndCall(now)
	t.update(now)
	n := len(t.parts.blocked)
	for part := range t.late.blocked {
		if _, both := t.parts.blocked[part]; !both {
			n++
		}
	}
	return n
}

// update evaluates the reports again if the result may have changed.
func (t *Blocker) update(now time.Time) {
	if t.parts.update(now) {
		t.late.other, t.late.changed, t.late.computed = t.parts.explained, true, time.Time{}
	}
	t.late.update(now)
}

// unlockAndCall unlocks t.mu and calls the functions of what has happened since it was locked.
func (t *Blocker) unlockAndCall(now time.Time) {
	p := &t.parts
	suspicion := (p.suspicion || t.late.suspicion) && now.Sub(p.suspicionTime) >= suspicionInterval
	if suspicion {
		p.suspicion, t.late.suspicion, p.suspicionTime = false, false, now
	}
	events := slices.Concat(p.events, t.late.events)
	p.events, t.late.events = nil, nil
	t.mu.Unlock()
	if suspicion && t.OnSuspicion != nil {
		t.OnSuspicion()
	}
	if t.OnPart != nil {
		for _, e := range events {
			t.OnPart(e)
		}
	}
}

// add records the crash or the begin of a report.
func (p *partTracker) add(r crashReport, origin uint64) {
	if len(r.parts) == 0 {
		return
	}
	p.changed = true
	if r.upstream != 0 && r.at.After(p.crashed[r.upstream]) {
		p.crashed[r.upstream] = r.at
	}
	for i, part := range r.parts {
		s := p.suspects[part]
		if s == nil {
			evict(p.suspects, maxSuspects)
			s = newSuspect(p.begins.last(part))
			p.suspects[part] = s
		}
		if r.upstream == 0 {
			if r.at.After(s.begun) {
				s.begun = r.at
			}
			continue
		}
		s.depth = max(s.depth, r.depth+i)
		s.addCrash(r.upstream, r.at, origin)
		if len(s.crashes) >= blockThreshold-1 && p.count(p.uncleared(s, nil)) >= blockThreshold-1 {
			p.suspicion = true
		}
	}
}

// reportable returns the parts of a request to report for the crash of an incarnation, in their order. Of a long prompt it
// leaves out those that begin all the time and that this router has already reported for that crash. Where too many are left
// it prefers parts that have not begun, and chooses among equals by a hash that differs between crashes and requests: no part
// is left out of all reports because of its place.
func (p *partTracker) reportable(r crashReport) []Part {
	if len(r.parts) <= maxParts {
		return r.parts
	}
	type choice struct {
		place int
		begun bool
		rank  uint64
	}
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], uint64(r.request))
	binary.LittleEndian.PutUint32(b[8:], r.upstream)
	choices := make([]choice, 0, len(r.parts))
	for place, part := range r.parts {
		begun := r.at.Sub(p.begins.last(part)) < beginMemory
		if s := p.suspects[part]; begun && s != nil && s.origins[r.upstream] == p.origin {
			continue
		}
		binary.LittleEndian.PutUint32(b[12:], uint32(part))
		choices = append(choices, choice{place, begun, xxhash.Sum64(b[:])})
	}
	if most := max(maxReportedParts-p.reported[r.upstream], sampledParts); len(choices) > most {
		slices.SortFunc(choices, func(a, b choice) int {
			switch {
			case a.begun != b.begun && b.begun:
				return -1
			case a.begun != b.begun:
				return 1
			}
			return cmp.Compare(a.rank, b.rank)
		})
		choices = choices[:most]
		slices.SortFunc(choices, func(a, b choice) int { return cmp.Compare(a.place, b.place) })
	}
	parts := make([]Part, len(choices))
	for i, c := range choices {
		parts[i] = r.parts[c.place]
	}
	return parts
}

// beginDue reports whether the begin that this router has seen is to be reported now, because it clears crashes of which
// other routers may still suspect s. Delay is the share of maxBeginDelay for which this router waits.
func (s *suspect) beginDue(now time.Time, delay float64) bool {
	if !s.seen.After(s.begun) || len(s.crashes) < blockThreshold-1 {
		s.publishAt = time.Time{}
		return false
	}
	left := len(s.uncleared(s.begun, nil))
	if left < blockThreshold-1 || left == len(s.uncleared(s.seen, nil)) {
		s.publishAt = time.Time{}
		return false
	}
	if s.publishAt.IsZero() {
		s.publishAt = now.Add(time.Duration(delay * float64(maxBeginDelay)))
		if next := s.begun.Add(beginInterval); next.After(s.publishAt) {
			s.publishAt = next
		}
		if next := s.seen.Add(AnswerStart); s.retracted && next.After(s.publishAt) {
			s.publishAt = next
		}
	}
	if now.Before(s.publishAt) {
		return false
	}
	s.publishAt = time.Time{}
	return true
}

// publishPartBegins reports the begins at this router that clear parts of which other routers may still suspect.
func (t *Blocker) publishPartBegins(p *partTracker, now time.Time) {
	var due []Part
	var oldest time.Time
	for part, s := range p.suspects {
		if !s.beginDue(now, shareOf(p.origin, part)) {
			continue
		}
		due = append(due, part)
		if oldest.IsZero() || s.seen.Before(oldest) {
			oldest = s.seen
		}
	}
	slices.Sort(due)
	for parts := range slices.Chunk(due, maxParts) {
		// An upstream of zero makes a router that does not know parts count a request that does not exist.
		t.appendOwn(crashReport{request: Fingerprint(parts[0]), at: oldest, parts: parts, late: p.late})
	}
	if len(due) > 0 {
		p.suspicion = true
	}
}

// candidate is a part that may be blamed.
type candidate struct {
	part  Part
	s     *suspect
	times map[uint32]time.Time
}

// update evaluates the reports again if the result may have changed, and reports whether it did.
func (p *partTracker) update(now time.Time) bool {
	due := !p.next.IsZero() && !now.Before(p.next)
	if !due && (!p.changed || now.Sub(p.computed) < computeInterval) {
		return false
	}
	p.changed, p.computed, p.next = false, now, time.Time{}
	blocked, trials := make(map[Part]block), make(map[Part]time.Time)
	var blamed []candidate
	blamed, p.explained = p.blamed(now)
	for _, c := range blamed {
		last := slices.MaxFunc(values(c.times), time.Time.Compare)
		b := block{until: last.Add(p.hold(c, baseHold)), crashes: len(c.times)}
		if now.Before(b.until) {
			blocked[c.part] = b
			p.wake(b.until)
		} else {
			trials[c.part] = p.trials[c.part]
		}
	}
	for part, b := range blocked {
		if _, ok := p.blocked[part]; !ok {
			p.events = append(p.events, PartEvent{Part: part, Blocked: true, Crashes: b.crashes, Hold: b.until.Sub(now)})
		}
	}
	for part, b := range p.blocked {
		if _, ok := blocked[part]; !ok {
			p.events = append(p.events, PartEvent{Part: part, Crashes: b.crashes})
		}
	}
	slices.SortFunc(p.events, func(a, b PartEvent) int { return cmp.Compare(a.Part, b.Part) })
	p.blocked, p.trials = blocked, trials
	return true
}

// wake makes update evaluate the reports again at the given time.
func (p *partTracker) wake(at time.Time) {
	if p.next.IsZero() || at.Before(p.next) {
		p.next = at
	}
}

// compareBegun compares two suspects by whether it is known that they have begun: the one that has not comes last.
func compareBegun(a, b *suspect) int {
	switch neverA, neverB := a.lastBegin().IsZero(), b.lastBegin().IsZero(); {
	case neverA == neverB:
		return 0
	case neverB:
		return -1
	}
	return 1
}

// blamed returns the parts that explain the crashes, with those that each explains, and the incarnations of all of them. The
// part with the most crashes comes first, and among several one that has never begun, or else the one that is latest in the
// prompt: parts before it occur in other prompts too. Crashes that are explained no longer count against other parts, neither
// against those of the same request nor against those of other requests that ran at the upstream.
func (p *partTracker) blamed(now time.Time) (blamed []candidate, explained map[uint32]bool) {
	var candidates []candidate
	for part, s := range p.suspects {
		if len(s.crashes) < blockThreshold {
			continue
		}
		c := candidate{part: part, s: s, times: p.uncleared(s, p.other)}
		if p.count(c.times) < blockThreshold || p.hearsay(c) {
			continue
		}
		if settled := p.settled(c.times); now.Before(settled) {
			p.wake(settled)
			continue
		}
		candidates = append(candidates, c)
	}
	explained = make(map[uint32]bool)
	maps.Copy(explained, p.other)
	for len(candidates) > 0 {
		best := slices.MaxFunc(candidates, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(len(a.times), len(b.times)), compareBegun(a.s, b.s), cmp.Compare(a.s.depth, b.s.depth), cmp.Compare(a.part, b.part))
		})
		blamed = append(blamed, best)
		for incarnation := range best.times {
			explained[incarnation] = true
		}
		left := candidates[:0]
		for _, c := range candidates {
			c.times = p.uncleared(c.s, explained)
			if p.count(c.times) >= blockThreshold {
				left = append(left, c)
			}
		}
		candidates = left
	}
	return blamed, explained
}

// hearsay reports whether all crashes of a part were reported by one other router, whose own connections may be what
// breaks. That router blocks the part itself, and the others as soon as another has seen a crash.
func (p *partTracker) hearsay(c candidate) bool {
	var only uint64
	for incarnation := range c.times {
		origin := c.s.origins[incarnation]
		if origin == p.origin || only != 0 && origin != only {
			return false
		}
		only = origin
	}
	return true
}

// settled returns the time from which a part with crashes at the given times may be blamed.
func (p *partTracker) settled(times map[uint32]time.Time) time.Time {
	sorted := values(times)
	slices.SortFunc(sorted, time.Time.Compare)
	first := sorted[0]
	if p.late {
		return first.Add(lateSettleTime)
	}
	fast := len(sorted) >= fastCrashes && sorted[len(sorted)-1].Sub(first) >= fastSpan
	if !fast && sorted[blockThreshold-1].Sub(first) < massSpan {
		return first.Add(massSettleTime)
	}
	within := func(at time.Time) bool { return !at.Before(first.Add(-massSpan)) && at.Before(first.Add(settleTime)) }
	all, own := 0, 0
	for _, at := range p.crashed {
		if within(at) {
			all++
		}
	}
	for _, at := range sorted {
		if within(at) {
			own++
		}
	}
	if 2*own < all {
		return first.Add(massSettleTime)
	}
	if fast {
		return first.Add(fastSettleTime)
	}
	return first.Add(settleTime)
}

// hold returns the time for which a suspect remains blocked after the last of its crashes, which is base or more unless it has
// begun. If it has, that was before the crashes, because begins clear the crashes before them.
func (p *partTracker) hold(c candidate, base time.Duration) time.Duration {
	sorted := values(c.times)
	slices.SortFunc(sorted, time.Time.Compare)
	begun := !c.s.lastBegin().IsZero()
	doublings := 0
	for i := blockThreshold; i < len(sorted); i++ {
		gap := sorted[i].Sub(sorted[i-1])
		if gap >= holdGap {
			doublings++
		}
		if gap >= firstHold-beginSlack {
			begun = false
		}
	}
	hold, spread := base<<min(doublings, maxDoublings), base<<min(doublings, maxDoublings)
	if begun {
		hold, spread = firstHold, firstHoldSpread
	}
	return hold + time.Duration(p.opening(c, sorted[0], spread)*float64(spread))
}

// opening returns when this router ends its hold of a part, as a share of the time within which all routers do. All of them
// would send a request before they heard of the crash of the first. The reports of the crashes, which all routers have, name
// some that receive requests with the part, and those end their holds one after the other in the order of their shares.
// Reports also show how many requests with the part arrive: if they are few, as many routers end their holds as together
// receive the first of them soon, whichever these are.
func (p *partTracker) opening(c candidate, first time.Time, spread time.Duration) float64 {
	own := shareOf(p.origin, c.part)
	reporters := make(map[uint64]bool)
	requests := 0
	for _, r := range c.s.reports {
		at, ok := c.times[r.incarnation]
		if !ok {
			continue
		}
		reporters[r.origin] = true
		if at.Sub(first) < rateSpan {
			requests++
		}
	}
	rate := float64(requests) / rateSpan.Seconds()
	order := own * rate * spread.Seconds() / openingTrials
	if reporters[p.origin] {
		rank := 1
		for origin := range reporters {
			if shareOf(origin, c.part) < own {
				rank++
			}
		}
		order = min(order, float64(rank))
	}
	return min(math.Log2(max(order, 1))/openingDoublings, 1)
}

// expire removes what is older than partTTL, at most once a second.
func (p *partTracker) expire(now time.Time) {
	if now.Sub(p.expired) < time.Second {
		return
	}
	p.expired = now
	for part, s := range p.suspects {
		if s.expire(now, partTTL) {
			p.changed = true
		}
		if len(s.crashes) == 0 && now.Sub(s.lastBegin()) >= partTTL {
			delete(p.suspects, part)
		}
	}
	for incarnation, at := range p.crashed {
		if now.Sub(at) >= partTTL {
			delete(p.crashed, incarnation)
			delete(p.reported, incarnation)
		}
	}
}

func values(m map[uint32]time.Time) []time.Time {
	l := make([]time.Time, 0, len(m))
	for _, v := range m {
		l = append(l, v)
	}
	return l
}
