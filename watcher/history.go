package watcher

import (
	"sync"
	"time"

	"clementineramp/configurer"
	"clementineramp/encoder"
)

// minFleetAge is the age of a fleet before which no agent runs an order with a caller's own key. An agent that started
// before the fleet reached this age has seen all such orders that it owns, so it need not wait for the retry horizon.
const minFleetAge = 15 * time.Second

// history is the fleet's history as known to this process. It spreads with gossip and with requests, and new processes
// receive it from running ones, so that it is kept as long as not all processes are stopped at the same time.
type history struct {
	mu sync.Mutex
	// earliestStart is the earliest known start time of a process of the fleet, on this process's clock.
	earliestStart time.Time
	// first is the lowest known configuration that has been the current one of a process of the fleet.
	first configurer.ID
	// reporters holds the names of the other processes whose history has been merged.
	reporters map[string]struct{}
}

func newHistory(now time.Time) *history {
	return &history{earliestStart: now, reporters: map[string]struct{}{}}
}

// merge adds the history as known to another process.
func (h *history) merge(f encoder.FleetHistory, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reporters[f.Sender] = struct{}{}
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

// lowerFirst sets first to id if id is lower; the caller holds the lock.
func (h *history) lowerFirst(id configurer.ID) {
	if h.first.Version == 0 || id.Compare(h.first) < 0 {
		h.first = id
	}
}

// report returns the history for other processes, under the name of this one.
func (h *history) report(name string, now time.Time) encoder.FleetHistory {
	h.mu.Lock()
	defer h.mu.Unlock()
	return encoder.FleetHistory{
		Sender: name, AgeMS: now.Sub(h.earliestStart).Milliseconds(),
		FirstVersion: h.first.Version, FirstDigest: string(h.first.Digest),
	}
}

// callerKeysFrom returns when the fleet reached minFleetAge, and its lowest configuration. The zero time means that at
// most half of the other hosts have reported their history, so that the fleet may be older than known.
func (h *history) callerKeysFrom(others int) (time.Time, configurer.ID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if 2*len(h.reporters) <= others {
		return time.Time{}, h.first
	}
	return h.earliestStart.Add(minFleetAge), h.first
}

// Fleet returns the history of the fleet as known to this process, for other processes.
func (w *Watcher) Fleet() encoder.FleetHistory {
	return w.history.report(w.cfg.Self.Name, w.cfg.Now())
}

// MergeFleet merges the history of the fleet as known to another process. It ignores reports without a name and those
// of this process.
func (w *Watcher) MergeFleet(f encoder.FleetHistory) {
	if f.Sender != "" && f.Sender != w.cfg.Self.Name {
		w.history.merge(f, w.cfg.Now())
	}
}

// CallerKeysFrom returns when the fleet became old enough (15 s) for orders with callers' own keys, and the lowest
// configuration that has been current in it. The zero time means that at most half of the other hosts have reported
// their history, so that the fleet may be older than known.
func (w *Watcher) CallerKeysFrom() (time.Time, configurer.ID) {
	return w.history.callerKeysFrom(max(len(w.Hosts())-1, 0))
}
