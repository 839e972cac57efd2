package timekeeper

import (
	"sync"
	"time"
)

const (
	// minPause is the lateness of a beat from which it counts as the end of a pause of this process.
	minPause = 200 * time.Millisecond
	// readTime is the time after a pause in which what arrived during it may still be read.
	readTime = 500 * time.Millisecond
)

// Pulse tells when a message that is read now may have arrived: messages wait while this process is paused, and what they state
// as their age does not count that. It is safe for concurrent use.
type Pulse struct {
	mu sync.Mutex
	// last is the time of the last beat, and next that for which the one after it is due.
	last, next time.Time
	// pausedAt is the time of the last beat before the latest pause, and resumedAt that of the first one after it.
	pausedAt, resumedAt time.Time
}

// Beat records that this process runs now and will call Beat again at the time next.
func (p *Pulse) Beat(now, next time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isLate(now) {
		p.pausedAt, p.resumedAt = p.last, now
	}
	p.last, p.next = now, next
}

// Arrived returns the earliest time at which a message that is read now may have arrived.
func (p *Pulse) Arrived(now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.isLate(now): // Beat has not been called since.
		return p.last
	case !p.resumedAt.IsZero() && now.Sub(p.resumedAt) < readTime:
		return p.pausedAt
	}
	return now
}

// isLate reports whether the next beat is late by a pause. The caller holds p.mu.
func (p *Pulse) isLate(now time.Time) bool {
	return !p.next.IsZero() && now.Sub(p.next) >= minPause
}
