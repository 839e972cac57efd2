package router

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// maxMarks bounds the crash marks that a router remembers.
const maxMarks = 4096

// markLifetime is how long a router remembers a mark, as long as the agents do.
const markLifetime = time.Minute

// markCache remembers the crash marks that agents handed over, so that a repeat starts with its mark.
type markCache struct {
	now   func() time.Time
	marks *lru.Cache[uint64, markEntry]
}

// markEntry is a mark with the time at which it was last raised.
type markEntry struct {
	mark int
	at   time.Time
}

func newMarkCache(now func() time.Time) *markCache {
	// A plain cache with times is used because the expirable one starts a goroutine that never ends.
	marks, _ := lru.New[uint64, markEntry](maxMarks)
	return &markCache{now: now, marks: marks}
}

// raise remembers the larger of the known mark and mark, and returns it.
func (m *markCache) raise(fingerprint uint64, mark int) int {
	now := m.now()
	known, _ := m.marks.Get(fingerprint)
	if now.Sub(known.at) >= markLifetime {
		known.mark = 0
	}
	if mark > known.mark {
		m.marks.Add(fingerprint, markEntry{mark, now})
		return mark
	}
	return known.mark
}
