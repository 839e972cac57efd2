package blocker

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockThreshold is the number of crashes after which a request is blocked. With two, a harmless request that twice
	// ran concurrently with the one that causes the crashes would be blocked too.
	blockThreshold = 3
	// reportTTL is the time after a crash for which its reports are kept.
	reportTTL = 2 * time.Minute
	// maxSuspected is the maximum number of suspected requests that are kept. A crash makes all requests that the upstream
	// was running suspected, which are up to 64.
	maxSuspected = 4096
	// maxLogs bounds the routers whose reports are kept.
	maxLogs = 4096
	// maxReports bounds the reports of all routers together. A router that starts receives all of them in one exchange: with
	// maxParts parts each they have 1.6 MB.
	maxReports = 4 * maxSuspected
)

// Fingerprint identifies a request by the parts that stay the same when its caller retries it.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of the request with a method, target, caller's key and body.
func FingerprintOf(method, target, key string, body []byte) Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(method + "\x00" + target + "\x00" + key + "\x00")
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// Batch holds consecutive crash reports of one router, in columns: the element i of each list belongs to one crash. Reports
// that have expired are left out.
type Batch struct {
	// Origin identifies the run of the router that recorded the crashes, and Last is the number of the last report.
	Origin, Last uint64
	Requests     []Fingerprint
	// Upstreams holds hashes of the incarnations that crashed.
	Upstreams []uint32
	// AgesMS holds the times since the crashes in milliseconds.
	AgesMS []uint32
	// PartCounts holds the numbers of suspected parts of the requests, and Parts the parts of all requests one after the
	// other. Both are empty if no request has any. A report whose upstream is zero is no crash: its parts have begun, or, if it
	// has none, its request was served.
	PartCounts []uint8
	Parts      []Part
	// Late holds the parts that are suspected of crashes in the middle of answers, or, if the upstream is zero, that were in an
	// answer that outlived LateSpan, as encodeLate writes them. No report has parts of both kinds. It is one string of bytes
	// because gob describes each list to each new connection, also if it is empty.
	Late []byte
}

// valid reports whether the columns of a batch fit together and are within the bound of a log.
func (b *Batch) valid() bool {
	n := len(b.Requests)
	if b.Origin == 0 || n > maxSuspected || len(b.Upstreams) != n || len(b.AgesMS) != n {
		return false
	}
	if _, err := decodeLate(b.Late, n); err != nil {
		return false
	}
	if len(b.PartCounts) == 0 {
		return len(b.Parts) == 0
	}
	parts := 0
	for _, c := range b.PartCounts {
		if c > maxParts {
			return false
		}
		parts += int(c)
	}
	return len(b.PartCounts) == n && len(b.Parts) == parts
}

// Blocker keeps the crash reports of suspected requests and parts of prompts; it is safe for concurrent use.
type Blocker struct {
	// OnSuspicion is called when peers should hear of a report without delay; nil means no call. OnPart is called when a
	// part becomes blocked or is no longer. Both must be set before the first use.
	OnSuspicion func()
	OnPart      func(PartEvent)

	// origin identifies the reports that this Blocker records itself.
	origin uint64

	mu sync.Mutex
	// logs holds the reports of each router, so that peers are sent only those that they lack.
	logs map[uint64]*crashLog
	// reports is the number of reports in all logs.
	reports int
	// parts judges crashes before an answer and at its start, and late those in the middle of one.
	parts, late partTracker
	requests    requestTracker
}

// crashLog holds the reports of one router in the order of their numbers.
type crashLog struct {
	origin  uint64
	reports []crashReport
	// last is the number of the last report that was received, which may have expired.
	last uint64
}

type crashReport struct {
	number   uint64
	request  Fingerprint
	upstream uint32
	at       time.Time
	parts    []Part
	// late is set if the parts are suspected of a crash in the middle of an answer, or have outlived LateSpan.
	late bool
	// depth is the place of the first part in the prompt, if an earlier report holds the parts before it.
	depth int
}

// continues reports whether r holds the parts of a request that follow those of another report.
func (r *crashReport) continues(previous *crashReport) bool {
	return len(previous.parts) == maxParts && r.number == previous.number+1 && r.request == previous.request &&
		r.upstream == previous.upstream && r.late == previous.late && r.at.Sub(previous.at).Abs() <= maxContinuation
}

// ttl returns the time for which a report is kept. That a request was served is kept for as long as any of its crashes.
func (r *crashReport) ttl() time.Duration {
	if len(r.parts) > 0 || r.upstream == 0 {
		return partTTL
	}
	return reportTTL
}

// New returns a Blocker without crash reports.
func New() *Blocker {
	return NewWithOrigin(rand.Uint64() | 1) // Zero is no origin.
}

// NewWithOrigin returns a Blocker whose own reports have the given origin, which must not be zero. Its random delays follow
// from the origin, so that runs of a model with the same origins are the same.
func NewWithOrigin(origin uint64) *Blocker {
	return &Blocker{
		origin: origin, logs: make(map[uint64]*crashLog),
		parts: newPartTracker(origin, false), late: newPartTracker(origin, true), requests: requestTracker{suspects: make(map[Fingerprint]*suspect), served: recent[Fingerprint]{most: maxServed}},
	}
}

// RecordCrash records that a request was running at an upstream when its connection broke. The parts are those of its
// prompt that are suspected of the crash, as PartsOf returns them; there are none if the upstream had begun to write the
// answer, but for RetractBegin and RecordLateCrash. It returns the number of crashes that the request is now suspected of.
func (t *Blocker) RecordCrash(f Fingerprint, upstream string, now time.Time, parts ...Part) int {
	return t.recordCrash(crashReport{request: f, upstream: incarnationHash(upstream), at: now, parts: parts})
}

func (t *Blocker) recordCrash(r crashReport) int {
	t.mu.Lock()
	defer t.unlockAndCall(r.at)
	t.appendCrash(r)
	// The request may be about to be repeated, which must not reach another upstream.
	t.parts.computed, t.late.computed = time.Time{}, time.Time{}
	if s := t.requests.suspects[r.request]; s != nil {
		return len(s.crashes)
	}
	return 0
}

// tracker returns what judges the parts of a report.
func (t *Blocker) tracker(r crashReport) *partTracker {
	if r.late {
		return &t.late
	}
	return &t.parts
}

// incarnationHash returns the hash of an incarnation, which is never zero.
func incarnationHash(upstream string) uint32 {
	return max(uint32(xxhash.Sum64String(upstream)), 1)
}

// appendOwn adds a report to the log of this router.
func (t *Blocker) appendOwn(r crashReport) {
	own := t.log(t.origin)
	own.last++
	r.number = own.last
	t.add(own, r)
}

// appendCrash adds the reports of a crash to the log of this router: one, or several for a request with many parts.
func (t *Blocker) appendCrash(r crashReport) {
	p := t.tracker(r)
	parts := p.reportable(r)
	if len(parts) > 0 {
		p.reported[r.upstream] += len(parts)
	}
	for {
		r.parts = parts[:min(len(parts), maxParts)]
		t.appendOwn(r)
		parts = parts[len(r.parts):]
		if len(parts) == 0 {
			return
		}
		r.depth += len(r.parts)
	}
}

// log returns the log of a router, which is created on first use.
func (t *Blocker) log(origin uint64) *crashLog {
	l := t.logs[origin]
	if l == nil {
		l = &crashLog{origin: origin}
		t.logs[origin] = l
	}
	return l
}

// add appends a report to a log and records its crash. A full log loses its oldest report, so that a flood of harmless
// reports doesn't keep out those of a part that crashes upstreams.
func (t *Blocker) add(l *crashLog, r crashReport) {
	if t.reports >= maxReports && len(l.reports) == 0 {
		return
	}
	if len(l.reports) >= maxSuspected || t.reports >= maxReports {
		l.reports = l.reports[1:]
		t.reports--
	}
	l.reports = append(l.reports, r)
	t.reports++
	t.tracker(r).add(r, l.origin)
	t.requests.add(r, l.origin)
}

// Known returns the number of the last report of each router, for a peer's ReportsSince. It removes expired reports.
func (t *Blocker) Known(now time.Time) map[uint64]uint64 {
	t.mu.Lock()
	defer t.unlockAndCall(now)
	t.expire(now)
	t.publish(now)
	known := make(map[uint64]uint64, len(t.logs))
	for origin, l := range t.logs {
		known[origin] = l.last
	}
	return known
}

// ReportsSince returns the reports that a peer lacks, which has those up to the given number of each router.
func (t *Blocker) ReportsSince(known map[uint64]uint64, now time.Time) []Batch {
	t.mu.Lock()
	defer t.unlockAndCall(now)
	t.expire(now)
	t.publish(now)
	var batches []Batch
	// The order decides which report of a crash a peer hears of first; that of the map would make runs of a model differ.
	for _, origin := range slices.Sorted(maps.Keys(t.logs)) {
		l := t.logs[origin]
		if l.last <= known[origin] {
			continue
		}
		b := Batch{Origin: origin, Last: l.last}
		first, _ := slices.BinarySearchFunc(l.reports, known[origin]+1, func(r crashReport, n uint64) int { return cmp.Compare(r.number, n) })
		for _, r := range l.reports[first:] {
			b.Requests = append(b.Requests, r.request)
			b.Upstreams = append(b.Upstreams, r.upstream)
			b.AgesMS = append(b.AgesMS, uint32(max(now.Sub(r.at), 0).Milliseconds()))
			var early []Part
			if !r.late {
				early = r.parts
			}
			b.PartCounts, b.Parts = append(b.PartCounts, uint8(len(early))), append(b.Parts, early...)
		}
		if len(b.Parts) == 0 {
			b.PartCounts = nil
		}
		b.Late = encodeLate(l.reports[first:])
		if len(b.Requests) > 0 {
			batches = append(batches, b)
		}
	}
	return batches
}

// Merge adds the reports of another router. It returns an error for malformed batches, which it leaves out.
func (t *Blocker) Merge(batches []Batch, now time.Time) error {
	t.mu.Lock()
	defer t.unlockAndCall(now)
	malformed := 0
	for _, b := range batches {
		if !b.valid() {
			malformed++
			continue
		}
		if t.logs[b.Origin] == nil && len(t.logs) >= maxLogs {
			continue // There is room again once the logs of routers that are gone have expired.
		}
		t.merge(&b, now)
	}
	if malformed > 0 {
		return fmt.Errorf("%d of %d batches of crash reports are malformed", malformed, len(batches))
	}
	return nil
}

// merge adds the reports of a valid batch that are not known yet.
func (t *Blocker) merge(b *Batch, now time.Time) {
	l := t.log(b.Origin)
	first := b.Last - uint64(len(b.Requests)) // Number of the report before the first; exact if none was left out.
	known := l.last
	parts := b.Parts
	late, _ := decodeLate(b.Late, len(b.Requests)) // The batch is valid.
	for i, f := range b.Requests {
		age := time.Duration(b.AgesMS[i]) * time.Millisecond
		r := crashReport{number: first + uint64(i) + 1, request: f, upstream: b.Upstreams[i], at: now.Add(-age)}
		r.parts, r.late = late[i], len(late[i]) > 0
		if len(b.PartCounts) > 0 && b.PartCounts[i] > 0 {
			n := int(b.PartCounts[i])
			r.parts, r.late, parts = parts[:n:n], false, parts[n:]
		}
		if n := len(l.reports); n > 0 && r.continues(&l.reports[n-1]) {
			r.depth = l.reports[n-1].depth + maxParts
		}
		if r.number > known && age < r.ttl() {
			t.add(l, r)
		}
	}
	l.last = max(l.last, b.Last)
}

// Lacks reports whether a peer that knows the given numbers has reports that are missing here.
func (t *Blocker) Lacks(known map[uint64]uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for origin, n := range known {
		if l := t.logs[origin]; l == nil || n > l.last {
			return true
		}
	}
	return false
}

func (t *Blocker) expire(now time.Time) {
	t.parts.expire(now)
	t.late.expire(now)
	t.requests.expire(now)
	for origin, l := range t.logs {
		expired := 0
		for expired < len(l.reports) && now.Sub(l.reports[expired].at) >= l.reports[expired].ttl() {
			expired++
		}
		l.reports = l.reports[expired:]
		t.reports -= expired
		if len(l.reports) == 0 && origin != t.origin {
			delete(t.logs, origin)
		}
	}
}
