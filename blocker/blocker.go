package blocker

import (
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

// CrashReport is one crash of an upstream of which a request is suspected.
type CrashReport struct {
	Request  Fingerprint
	Upstream string
	// Age is the time since the crash.
	Age time.Duration
}

// Blocker keeps the crash reports of suspected requests; it is safe for concurrent use.
type Blocker struct {
	mu sync.Mutex
	// crashes maps each suspected request to the upstreams that crashed while running it, with the times of their last
	// such crashes.
	crashes map[Fingerprint]map[string]time.Time
}

// New returns a Blocker without crash reports.
func New() *Blocker {
	return &Blocker{crashes: make(map[Fingerprint]map[string]time.Time)}
}

// RecordCrash records that a request was running at an upstream when its connection broke. It returns the number of
// crashes that the request is now suspected of.
func (t *Blocker) RecordCrash(f Fingerprint, upstream string, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(f, upstream, now)
	return len(t.crashes[f])
}

func (t *Blocker) record(f Fingerprint, upstream string, at time.Time) {
	if len(t.crashes) >= maxSuspected && t.crashes[f] == nil {
		return // There is no room until Reports removes expired crashes.
	}
	if t.crashes[f] == nil {
		t.crashes[f] = make(map[string]time.Time)
	}
	if at.After(t.crashes[f][upstream]) {
		t.crashes[f][upstream] = at
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

// Reports returns all crash reports, to be sent to the other routers, and removes those that have expired.
func (t *Blocker) Reports(now time.Time) []CrashReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var all []CrashReport
	for f, crashes := range t.crashes {
		for upstream, at := range crashes {
			all = append(all, CrashReport{Request: f, Upstream: upstream, Age: now.Sub(at)})
		}
	}
	return all
}

// Merge adds the crash reports of another router.
func (t *Blocker) Merge(reports []CrashReport, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, report := range reports {
		if report.Age < reportTTL {
			t.record(report.Request, report.Upstream, now.Add(-report.Age))
		}
	}
}

func (t *Blocker) expire(now time.Time) {
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
