package convictor

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockThreshold is the number of crashes after which a request is refused: fewer would convict innocent
	// requests that ran beside a guilty one twice.
	blockThreshold = 3
	// reportTTL is the time for which a charge is remembered after the last crash.
	reportTTL = 2 * time.Minute
	// maxSuspected bounds the charges that are kept; a crash charges the up to 64 requests that the upstream ran.
	maxSuspected = 4096
)

// Fingerprint identifies a request by what its sender repeats.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(method, target, key string, body []byte) Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(method + "\x00" + target + "\x00" + key + "\x00")
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// CrashReport is one crash that a request is charged with.
type CrashReport struct {
	Request  Fingerprint
	Upstream string
	// Age is the time since the crash.
	Age time.Duration
}

// Tracker is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	crashes map[Fingerprint]map[string]time.Time
}

// New returns a convictor without charges.
func New() *Tracker {
	return &Tracker{crashes: make(map[Fingerprint]map[string]time.Time)}
}

// RecordCrash notes that a request was running at an upstream when its connection broke; it returns the number of crashes.
func (c *Tracker) RecordCrash(f Fingerprint, upstream string, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record(f, upstream, now)
	return len(c.crashes[f])
}

func (c *Tracker) record(f Fingerprint, upstream string, at time.Time) {
	if len(c.crashes) >= maxSuspected && c.crashes[f] == nil {
		return // Crashes makes room as charges expire.
	}
	if c.crashes[f] == nil {
		c.crashes[f] = make(map[string]time.Time)
	}
	if at.After(c.crashes[f][upstream]) {
		c.crashes[f][upstream] = at
	}
}

// BlockedFor returns the time for which a request is still refused; zero means that it is not.
func (c *Tracker) BlockedFor(f Fingerprint, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	crashes := c.crashes[f]
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

// Reports returns all charges, for the other routers.
func (c *Tracker) Reports(now time.Time) []CrashReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	var all []CrashReport
	for f, crashes := range c.crashes {
		for upstream, at := range crashes {
			all = append(all, CrashReport{Request: f, Upstream: upstream, Age: now.Sub(at)})
		}
	}
	return all
}

// Merge takes the charges of another router.
func (c *Tracker) Merge(crashes []CrashReport, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range crashes {
		if k.Age < reportTTL {
			c.record(k.Request, k.Upstream, now.Add(-k.Age))
		}
	}
}

func (c *Tracker) expire(now time.Time) {
	for f, crashes := range c.crashes {
		for upstream, at := range crashes {
			if now.Sub(at) >= reportTTL {
				delete(crashes, upstream)
			}
		}
		if len(crashes) == 0 {
			delete(c.crashes, f)
		}
	}
}
