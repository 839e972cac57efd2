package watcher

import (
	"sync"
	"time"

	"clementineramp/configurer"
	"clementineramp/encoder"
)

// minFleetAge is the age of a fleet before which no agent runs an order under a caller's own key. An agent that started
// earlier than that has seen every such order of its own, so that it need not wait for the repeat horizon.
const minFleetAge = 15 * time.Second

// history is what a process knows of the past of its fleet. It spreads with gossip and with requests, and each started
// process inherits it, so that it outlives every process as long as they do not all stop at once.
type history struct {
	mu sync.Mutex
	// earliestStart is the earliest known start of a process of the fleet, on this process's clock.
	earliestStart time.Time
	// first is the smallest configuration that was in force in the fleet.
	first configurer.ID
	// reporters holds the names of the processes that told of their history.
	reporters map[string]struct{}
}

func newHistory(now time.Time) *history {
	return &history{earliestStart: now, reporters: map[string]struct{}{}}
}

// merge takes what another process knows.
func (h *history) merge(f encoder.Fleet, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reporters[f.Teller] = struct{}{}
	if start := now.Add(-f.Age()); start.Before(h.earliestStart) {
		h.earliestStart = start
	}
	if f.FirstVersion > 0 {
		h.lowerFirst(configurer.ID{Version: f.FirstVersion, Digest: configurer.Digest(f.FirstDigest)})
	}
}

func (h *history) recordAdoption(id configurer.ID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lowerFirst(id)
}

// lowerFirst keeps the smaller configuration; the caller holds the lock.
func (h *history) lowerFirst(id configurer.ID) {
	if h.first.Version == 0 || id.Compare(h.first) < 0 {
		h.first = id
	}
}

// report returns what this process knows.
func (h *history) report(name string, now time.Time) encoder.Fleet {
	h.mu.Lock()
	defer h.mu.Unlock()
	return encoder.Fleet{
		Teller: name, AgeMS: now.Sub(h.earliestStart).Milliseconds(),
		FirstVersion: h.first.Version, FirstDigest: string(h.first.Digest),
	}
}

// opened returns when the fleet was old enough for orders and its first configuration. The zero time means that too
// few of the other hosts were heard of to exclude an older fleet.
func (h *history) opened(others int) (time.Time, configurer.ID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if 2*len(h.reporters) <= others {
		return time.Time{}, h.first
	}
	return h.earliestStart.Add(minFleetAge), h.first
}

// Fleet returns what this process knows of the past of its fleet.
func (w *Watcher) Fleet() encoder.Fleet {
	return w.history.report(w.cfg.Self.Name, w.cfg.Now())
}

// MergeFleet takes what another process knows of the past of the fleet.
func (w *Watcher) MergeFleet(f encoder.Fleet) {
	if f.Teller != "" && f.Teller != w.cfg.Self.Name {
		w.history.merge(f, w.cfg.Now())
	}
}

// Opened returns since when the fleet has been old enough for orders, and its first configuration; the zero time means
// that an older fleet cannot be excluded.
func (w *Watcher) Opened() (time.Time, configurer.ID) {
	return w.history.opened(max(len(w.Hosts())-1, 0))
}
