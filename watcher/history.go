package watcher

import (
	"sync"
	"time"

	"clementineramp/configurer"
	"clementineramp/encoder"
)

// openingTime is the age of a fleet before which no agent runs an order under a caller's own key. An agent that started
// earlier than that has seen every such order of its own, so that it need not wait for the repeat horizon.
const openingTime = 15 * time.Second

// history is what a process knows of the past of its fleet. It spreads with gossip and with requests, and each started
// process inherits it, so that it outlives every process as long as they do not all stop at once.
type history struct {
	mu sync.Mutex
	// born is the earliest known start of a process of the fleet, on this process's clock.
	born time.Time
	// first is the smallest configuration that was in force in the fleet.
	first configurer.ID
	// heard holds the names of the processes that told of their history.
	heard map[string]struct{}
}

func newHistory(now time.Time) *history {
	return &history{born: now, heard: map[string]struct{}{}}
}

// learn takes what another process knows.
func (h *history) learn(f encoder.FleetHistory, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heard[f.Sender] = struct{}{}
	if born := now.Add(-f.Age()); born.Before(h.born) {
		h.born = born
	}
	if f.FirstVersion > 0 {
		h.take(configurer.ID{Version: f.FirstVersion, Digest: configurer.Digest(f.FirstDigest)})
	}
}

func (h *history) adopt(p configurer.ID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.take(p)
}

// take keeps the smaller configuration; the caller holds the lock.
func (h *history) take(p configurer.ID) {
	if h.first.Version == 0 || p.Compare(h.first) < 0 {
		h.first = p
	}
}

// tell returns what this process knows.
func (h *history) tell(name string, now time.Time) encoder.FleetHistory {
	h.mu.Lock()
	defer h.mu.Unlock()
	return encoder.FleetHistory{
		Sender: name, AgeMS: now.Sub(h.born).Milliseconds(),
		FirstVersion: h.first.Version, FirstDigest: string(h.first.Digest),
	}
}

// opened returns when the fleet was old enough for orders and its first configuration. The zero time means that too
// few of the other hosts were heard of to exclude an older fleet.
func (h *history) opened(others int) (time.Time, configurer.ID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if 2*len(h.heard) <= others {
		return time.Time{}, h.first
	}
	return h.born.Add(openingTime), h.first
}

// Fleet returns what this process knows of the past of its fleet.
func (w *Watcher) Fleet() encoder.FleetHistory {
	return w.history.tell(w.cfg.Self.Name, w.cfg.Now())
}

// LearnFleet takes what another process knows of the past of the fleet.
func (w *Watcher) LearnFleet(f encoder.FleetHistory) {
	if f.Sender != "" && f.Sender != w.cfg.Self.Name {
		w.history.learn(f, w.cfg.Now())
	}
}

// Opened returns since when the fleet has been old enough for orders, and its first configuration; the zero time means
// that an older fleet cannot be excluded.
func (w *Watcher) Opened() (time.Time, configurer.ID) {
	return w.history.opened(max(len(w.Hosts())-1, 0))
}
