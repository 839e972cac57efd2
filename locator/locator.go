package locator

import (
	"fmt"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Defaults of Config.
const (
	// DefaultCapacity is enough for all chats of an agent at the target size of about 22,000, whether the load bound moved
	// them to other engines or not.
	DefaultCapacity = 1 << 15
	// DefaultLifetime is the time for which a prefix is likely to remain in an engine's cache after its last use.
	DefaultLifetime = 30 * time.Minute
)

// Config configures a Locator; a zero field takes its default.
type Config struct {
	// Capacity is the maximum number of chats; beyond it, the least recently used one is evicted.
	Capacity int
	// Lifetime is the time after which an entry expires.
	Lifetime time.Duration
}

// Locator is an agent's table of the engines that have the prefixes of its chats. It is safe for concurrent use.
type Locator struct {
	lifetime time.Duration

	mu    sync.Mutex
	chats *lru.Cache[uint64, location]
}

// location is the upstream that ran the latest turn of a chat, or to which the turn was sent, and the time of the record.
type location struct {
	upstream string
	recorded time.Time
}

// New returns an empty Locator, or an error if the capacity or the lifetime is negative.
func New(cfg Config) (*Locator, error) {
	if cfg.Capacity == 0 {
		cfg.Capacity = DefaultCapacity
	}
	if cfg.Lifetime == 0 {
		cfg.Lifetime = DefaultLifetime
	}
	if cfg.Lifetime < 0 {
		return nil, fmt.Errorf("locator: lifetime %v is negative", cfg.Lifetime)
	}
	chats, err := lru.New[uint64, location](cfg.Capacity)
	if err != nil {
		return nil, fmt.Errorf("locator: capacity %d: %w", cfg.Capacity, err)
	}
	return &Locator{lifetime: cfg.Lifetime, chats: chats}, nil
}

// Record records the upstream that runs the latest turn of a chat, or to which the turn was sent, so that it will have the
// chat's prefix in its cache.
func (l *Locator) Record(chat uint64, upstream string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.chats.Add(chat, location{upstream, now})
}

// Find returns the upstream last recorded for a chat and the time of the record. It returns false if there is none, or if
// it has expired or was evicted.
func (l *Locator) Find(chat uint64, now time.Time) (upstream string, recorded time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.chats.Get(chat)
	if ok && now.Sub(p.recorded) > l.lifetime {
		l.chats.Remove(chat)
		return "", time.Time{}, false
	}
	return p.upstream, p.recorded, ok
}

// Len returns the number of chats in the table, including expired entries that have not been looked up since.
func (l *Locator) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.chats.Len()
}
