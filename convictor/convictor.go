package convictor

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crashesToConvict is the number of crashes after which a request is refused: fewer would convict innocent
	// requests that ran beside a guilty one twice.
	crashesToConvict = 3
	// chargeTime is the time for which a charge is remembered after the last crash.
	chargeTime = 2 * time.Minute
	// maxCharges bounds the charges that are kept; a crash charges the up to 64 requests that the upstream ran.
	maxCharges = 4096
)

// Fingerprint identifies a request by what its sender repeats.
type Fingerprint uint64

// Of returns the fingerprint of a request.
func Of(method, target, key string, body []byte) Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(method + "\x00" + target + "\x00" + key + "\x00")
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// Crash is one crash that a request is charged with.
type Crash struct {
	Request  Fingerprint
	Upstream string
	// Age is the time since the crash.
	Age time.Duration
}

// Convictor is safe for concurrent use.
type Convictor struct {
	mu      sync.Mutex
	charges map[Fingerprint]map[string]time.Time
}

// New returns a convictor without charges.
func New() *Convictor {
	return &Convictor{charges: make(map[Fingerprint]map[string]time.Time)}
}

// Charge notes that a request was running at an upstream when its connection broke; it returns the number of crashes.
func (c *Convictor) Charge(f Fingerprint, upstream string, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.charge(f, upstream, now)
	return len(c.charges[f])
}

func (c *Convictor) charge(f Fingerprint, upstream string, at time.Time) {
	if len(c.charges) >= maxCharges && c.charges[f] == nil {
		return // Crashes makes room as charges expire.
	}
	if c.charges[f] == nil {
		c.charges[f] = make(map[string]time.Time)
	}
	if at.After(c.charges[f][upstream]) {
		c.charges[f][upstream] = at
	}
}

// Convicted returns the time for which a request is still refused; zero means that it is not.
func (c *Convictor) Convicted(f Fingerprint, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	crashes := c.charges[f]
	if len(crashes) < crashesToConvict {
		return 0
	}
	var last time.Time
	for _, at := range crashes {
		if at.After(last) {
			last = at
		}
	}
	return max(chargeTime-now.Sub(last), 0)
}

// Crashes returns all charges, for the other routers.
func (c *Convictor) Crashes(now time.Time) []Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	var all []Crash
	for f, crashes := range c.charges {
		for upstream, at := range crashes {
			all = append(all, Crash{Request: f, Upstream: upstream, Age: now.Sub(at)})
		}
	}
	return all
}

// Merge takes the charges of another router.
func (c *Convictor) Merge(crashes []Crash, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range crashes {
		if k.Age < chargeTime {
			c.charge(k.Request, k.Upstream, now.Add(-k.Age))
		}
	}
}

func (c *Convictor) expire(now time.Time) {
	for f, crashes := range c.charges {
		for upstream, at := range crashes {
			if now.Sub(at) >= chargeTime {
				delete(crashes, upstream)
			}
		}
		if len(crashes) == 0 {
			delete(c.charges, f)
		}
	}
}
