package blocker

import (
	"cmp"
	"fmt"
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
	// reportTTL is the time after a crash for which its reports are kept, and for which a request is blocked after its
	// last crash.
	reportTTL = 2 * time.Minute
	// maxSuspected is the maximum number of suspected requests that are kept. A crash makes all requests that the upstream
	// was running suspected, which are up to 64.
	maxSuspected = 4096
	// maxLogs bounds the routers whose reports are kept.
	maxLogs = 4096
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
}

// valid reports whether the columns of a batch have the same length, which is within the bound of a log.
func (b *Batch) valid() bool {
	n := len(b.Requests)
	return b.Origin != 0 && n <= maxSuspected && len(b.Upstreams) == n && len(b.AgesMS) == n
}

// Blocker keeps the crash reports of suspected requests; it is safe for concurrent use.
type Blocker struct {
	// origin identifies the reports that this Blocker records itself.
	origin uint64

	mu sync.Mutex
	// crashes maps each suspected request to the incarnations that crashed while running it, with the times of their last
	// such crashes.
	crashes map[Fingerprint]map[uint32]time.Time
	// logs holds the reports of each router, so that peers are sent only those that they lack.
	logs map[uint64]*crashLog
}

// crashLog holds the reports of one router in the order of their numbers.
type crashLog struct {
	reports []crashReport
	// last is the number of the last report that was received, which may have expired.
	last uint64
}

type crashReport struct {
	number   uint64
	request  Fingerprint
	upstream uint32
	at       time.Time
}

// New returns a Blocker without crash reports.
func New() *Blocker {
	return &Blocker{
		origin:  rand.Uint64() | 1, // Zero is no origin.
		crashes: make(map[Fingerprint]map[uint32]time.Time), logs: make(map[uint64]*crashLog),
	}
}

// RecordCrash records that a request was running at an upstream when its connection broke. It returns the number of
// crashes that the request is now suspected of.
func (t *Blocker) RecordCrash(f Fingerprint, upstream string, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := t.log(t.origin)
	own.last++
	t.add(own, crashReport{number: own.last, request: f, upstream: uint32(xxhash.Sum64String(upstream)), at: now})
	return len(t.crashes[f])
}

// log returns the log of a router, which is created on first use.
func (t *Blocker) log(origin uint64) *crashLog {
	l := t.logs[origin]
	if l == nil {
		l = &crashLog{}
		t.logs[origin] = l
	}
	return l
}

// add appends a report to a log and records its crash. There is no room for further requests until expire removes old
// ones.
func (t *Blocker) add(l *crashLog, r crashReport) {
	if len(l.reports) >= maxSuspected || len(t.crashes) >= maxSuspected && t.crashes[r.request] == nil {
		return
	}
	l.reports = append(l.reports, r)
	if t.crashes[r.request] == nil {
		t.crashes[r.request] = make(map[uint32]time.Time)
	}
	if r.at.After(t.crashes[r.request][r.upstream]) {
		t.crashes[r.request][r.upstream] = r.at
	}
}

// BlockedFor returns the time for which a request remains blocked; zero means that it is not blocked.
func (t *Blocker) BlockedFor(f Fingerprint, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	crashes := t.crashes[f]
	if len(crashes) < blockThreshold {
		return 0
	}
	var last time.Time
	for _, at := range crashes {
		if at.After(last) {
			last = at
		}
	}
	return max(reportTTL-now.Sub(last), 0)
}

// Known returns the number of the last report of each router, for a peer's ReportsSince. It removes expired reports.
func (t *Blocker) Known(now time.Time) map[uint64]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	known := make(map[uint64]uint64, len(t.logs))
	for origin, l := range t.logs {
		known[origin] = l.last
	}
	return known
}

// ReportsSince returns the reports that a peer lacks, which has those up to the given number of each router.
func (t *Blocker) ReportsSince(known map[uint64]uint64, now time.Time) []Batch {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var batches []Batch
	for origin, l := range t.logs {
		if l.last <= known[origin] {
			continue
		}
		b := Batch{Origin: origin, Last: l.last}
		first, _ := slices.BinarySearchFunc(l.reports, known[origin]+1, func(r crashReport, n uint64) int { return cmp.Compare(r.number, n) })
		for _, r := range l.reports[first:] {
			b.Requests = append(b.Requests, r.request)
			b.Upstreams = append(b.Upstreams, r.upstream)
			b.AgesMS = append(b.AgesMS, uint32(max(now.Sub(r.at), 0).Milliseconds()))
		}
		if len(b.Requests) > 0 {
			batches = append(batches, b)
		}
	}
	return batches
}

// Merge adds the reports of another router. It returns an error for malformed batches, which it leaves out.
func (t *Blocker) Merge(batches []Batch, now time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	malformed := 0
	for _, b := range batches {
		if !b.valid() {
			malformed++
			continue
		}
		if t.logs[b.Origin] == nil && len(t.logs) >= maxLogs {
			continue // There is room again once the logs of routers that are gone have expired.
		}
		l := t.log(b.Origin)
		first := b.Last - uint64(len(b.Requests)) // Number of the report before the first; exact if none was left out.
		known := l.last
		for i, f := range b.Requests {
			age := time.Duration(b.AgesMS[i]) * time.Millisecond
			if number := first + uint64(i) + 1; number > known && age < reportTTL {
				t.add(l, crashReport{number: number, request: f, upstream: b.Upstreams[i], at: now.Add(-age)})
			}
		}
		l.last = max(l.last, b.Last)
	}
	if malformed > 0 {
		return fmt.Errorf("%d of %d batches of crash reports are malformed", malformed, len(batches))
	}
	return nil
}

func (t *Blocker) expire(now time.Time) {
	for origin, l := range t.logs {
		expired := 0
		for expired < len(l.reports) && now.Sub(l.reports[expired].at) >= reportTTL {
			expired++
		}
		l.reports = l.reports[expired:]
		if len(l.reports) == 0 && origin != t.origin {
			delete(t.logs, origin)
		}
	}
	for f, crashes := range t.crashes {
		for upstream, at := range crashes {
			if now.Sub(at) >= reportTTL {
				delete(crashes, upstream)
			}
		}
		if len(crashes) == 0 {
			delete(t.crashes, f)
		}
	}
}
