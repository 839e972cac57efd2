package router

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// maxMarks is the maximum number of crash marks that a router keeps.
const maxMarks = 4096

// markLifetime is how long a router keeps a crash mark; agents keep theirs equally long.
const markLifetime = time.Minute

// markCache keeps the crash marks that agents returned, so that a retry of a request starts with its mark. The mark of a
// request is the number of engine crashes during which it was running.
type markCache struct {
	now   func() time.Time
	marks *lru.Cache[uint64, markEntry]
}

// markEntry is a crash mark and the time at which it was last raised.
type markEntry struct {
	mark int
	at   time.Time
}

func newMarkCache(now func() time.Time) *markCache {
	// Package expirable of the same module is not used because it starts a goroutine that never ends.
	marks, _ := lru.New[uint64, markEntry](maxMarks)
	return &markCache{now: now, marks: marks}
}

// raise raises the mark of a request to mark if the cached one is lower or has expired, and returns the resulting mark.
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
