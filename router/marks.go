package router

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/expirable"
)

// maxMarks bounds the crash marks that a router remembers.
const maxMarks = 4096

// markLifetime is how long a router remembers a mark, as long as the agents do.
const markLifetime = time.Minute

// markMemory remembers the crash marks that agents handed over, so that a repeat starts with its mark.
type markMemory struct {
	marks *expirable.LRU[uint64, int]
}

func newMarkMemory() *markMemory {
	return &markMemory{marks: expirable.NewLRU[uint64, int](maxMarks, nil, markLifetime)}
}

// raise remembers the larger of the known mark and mark, and returns it.
func (m *markMemory) raise(fingerprint uint64, mark int) int {
	known, _ := m.marks.Get(fingerprint)
	if mark > known {
		m.marks.Add(fingerprint, mark)
		return mark
	}
	return known
}
