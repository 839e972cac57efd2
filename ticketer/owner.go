package ticketer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"clementineramp/configurer"
)

// Owner returns the worker that owns a caller's own key by rendezvous hashing, or "" if there are no workers.
func Owner(key Key, workers []string) string {
	owner := ""
	best := uint64(0)
	for _, w := range workers {
		score := ownerScore(key, w)
		if owner == "" || score > best || score == best && w < owner {
			owner = w
			best = score
		}
	}
	return owner
}

func ownerScore(key Key, worker string) uint64 {
	d := xxhash.New()
	for _, s := range [...]string{key.Organisation, key.Text, worker} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// Freshness is what the agent knows of the configuration of its service.
type Freshness struct {
	// Workers are the workers that the configuration lists for the service.
	Workers []string
	// Confirmed is the time at which the agent sent the latest read that the platform answered with this configuration.
	// The time of the answer would be too late, since the configuration may change while the answer travels.
	Confirmed time.Time
	// Configuration identifies the configuration that lists the workers; the zero pair means that it is not told.
	Configuration configurer.ID
	// Opened is the time before which no agent of the fleet ran an order with a caller's own key; zero means unknown.
	Opened time.Time
	// First is the first configuration that was in force in the fleet.
	First configurer.ID
}

// maxWindows bounds the remembered worker sets; forgetting an older one only shortens the time that an ownership counts as held.
const maxWindows = 16

// window is a worker set and the active time at which it began.
type window struct {
	workers []string
	from    time.Duration
}

// tenure records for how long the agent has held the ownership of keys.
type tenure struct {
	agent string
	// pauseGap is the longest time between two observations that counts as active.
	pauseGap time.Duration
	// staleness is the age above which a confirmation no longer counts.
	staleness time.Duration
	// maxGap is the time between two confirmations above which the agent may have missed another owner's tenure.
	maxGap time.Duration
	last   time.Time
	// active is the time since the start without paused time.
	active    time.Duration
	confirmed time.Time
	windows   []window
	// first is the configuration that was observed first, at firstAt; whole says that no window was dropped since.
	first   configurer.ID
	firstAt time.Time
	whole   bool
}

// observe counts active time and notes the worker set.
func (t *tenure) observe(now time.Time, fresh Freshness) {
	t.advance(now)
	t.confirm(now, fresh.Confirmed)
	if len(fresh.Workers) == 0 && fresh.Configuration.Version == 0 {
		// The agent has no configuration yet.
		return
	}
	if t.firstAt.IsZero() && fresh.Configuration.Version > 0 {
		t.first, t.firstAt, t.whole = fresh.Configuration, now, len(t.windows) == 0
	}
	workers := slices.Compact(slices.Sorted(slices.Values(fresh.Workers)))
	if n := len(t.windows); n > 0 && slices.Equal(t.windows[n-1].workers, workers) {
		return
	}
	if len(t.windows) == maxWindows {
		t.windows = slices.Delete(t.windows, 0, 1)
		t.whole = false
	}
	t.windows = append(t.windows, window{workers: workers, from: t.active})
}

// confirm notes a confirmation of the configuration.
func (t *tenure) confirm(now, confirmed time.Time) {
	if confirmed.After(now) {
		confirmed = now
	}
	if !confirmed.After(t.confirmed) {
		return
	}
	// Between two distant confirmations the worker set may have changed to another one and back,
	// with enough time for another owner to run keys.
	if !t.confirmed.IsZero() && confirmed.Sub(t.confirmed) > t.maxGap {
		t.windows = nil
		t.whole = false
	}
	t.confirmed = confirmed
}

func (t *tenure) advance(now time.Time) {
	gap := now.Sub(t.last)
	if gap <= 0 {
		return
	}
	if gap <= t.pauseGap {
		t.active += gap
	}
	t.last = now
}

// confirmedAt reports whether the configuration is confirmed closely enough before now.
func (t *tenure) confirmedAt(now time.Time) bool {
	return !t.confirmed.IsZero() && now.Sub(t.confirmed) <= t.staleness
}

// coversHistory reports whether the agent has owned the key since before any order with a caller's own key ran in the
// fleet. It then remembers each order with the key that ran, however young it is.
func (t *tenure) coversHistory(now time.Time, key Key, fresh Freshness) bool {
	if !t.whole || fresh.Opened.IsZero() || t.first != fresh.First {
		return false
	}
	if !t.firstAt.Before(fresh.Opened) || now.Before(fresh.Opened) {
		return false
	}
	return !slices.ContainsFunc(t.windows, func(w window) bool { return Owner(key, w.workers) != t.agent })
}

// held returns whether the agent owns the key now and for how much active time without a break it has owned it.
func (t *tenure) held(key Key) (since time.Duration, owner bool) {
	for _, w := range slices.Backward(t.windows) {
		if Owner(key, w.workers) != t.agent {
			break
		}
		owner = true
		since = t.active - w.from
	}
	return since, owner
}
