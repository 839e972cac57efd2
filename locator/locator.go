package locator

import (
	"fmt"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Defaults of Config.
const (
	// DefaultCapacity holds every chat of an agent at the target size, displaced or not.
	DefaultCapacity = 1 << 15
	// DefaultLifetime is the time for which a prefix is likely to stay in a cache after its last use.
	DefaultLifetime = 30 * time.Minute
)

// Config configures a Locator; a zero field takes its default.
type Config struct {
	// Capacity bounds the number of remembered chats.
	Capacity int
	// Lifetime is the time after which an entry is not used any more.
	Lifetime time.Duration
}

// Locator is the table of the chats of one agent; it is safe for concurrent use.
type Locator struct {
	lifetime time.Duration

	mu    sync.Mutex
	chats *lru.Cache[uint64, location]
}

// location is where the latest turn of a chat ran or was sent.
type location struct {
	upstream string
	recorded time.Time
}

// New returns an empty Locator, or an error if the configuration is out of range.
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

// Record remembers the upstream that runs or was named for a chat's turn, and will hold its prefix.
func (l *Locator) Record(chat uint64, upstream string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.chats.Add(chat, location{upstream, now})
}

// Find returns the upstream that holds a chat's prefix, as far as this agent knows, and since when.
func (l *Locator) Find(chat uint64, now time.Time) (upstream string, since time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.chats.Get(chat)
	if ok && now.Sub(p.recorded) > l.lifetime {
		l.chats.Remove(chat)
		return "", time.Time{}, false
	}
	return p.upstream, p.recorded, ok
}

// Len returns the number of remembered chats.
func (l *Locator) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.chats.Len()
}
