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

// ConfigurationState is what the agent knows of the configuration of its service.
type ConfigurationState struct {
	// Workers are the workers that the configuration lists for the service.
	Workers []string
	// Confirmed is the time at which the agent sent the latest read that the platform answered with this configuration.
	// The time of the answer would be too late, since the configuration may change while the answer travels.
	Confirmed time.Time
	// Configuration identifies the configuration that lists the workers; the zero pair means that it is not told.
	Configuration configurer.Pair
	// Opened is the time before which no agent of the fleet ran an order with a caller's own key; zero means unknown.
	Opened time.Time
	// First is the first configuration that was in force in the fleet.
	First configurer.Pair
}

// maxWorkerSets bounds the remembered worker sets; forgetting an older one only shortens the time that an ownership counts as held.
const maxWorkerSets = 16

// workerSet is a worker set and the active time at which it began.
type workerSet struct {
	workers []string
	from    time.Duration
}

// ownership records for how long the agent has held the ownership of keys.
type ownership struct {
	agent string
	// pauseGap is the longest time between two observations that counts as active.
	pauseGap time.Duration
	// staleness is the age above which a confirmation no longer counts.
	staleness time.Duration
	// maxGap is the time between two confirmations above which the agent may have missed another owner's tenure.
	maxGap       time.Duration
	lastObserved time.Time
	// active is the time since the start without paused time.
	active     time.Duration
	confirmed  time.Time
	workerSets []workerSet
	// firstConfiguration is the configuration that was observed first, at firstObserved; complete says that no window was dropped since.
	firstConfiguration configurer.Pair
	firstObserved      time.Time
	complete           bool
}

// observe counts active time and notes the worker set.
func (o *ownership) observe(now time.Time, state ConfigurationState) {
	o.advance(now)
	o.confirm(now, state.Confirmed)
	if len(state.Workers) == 0 && state.Configuration.Version == 0 {
		// The agent has no configuration yet.
		return
	}
	if o.firstObserved.IsZero() && state.Configuration.Version > 0 {
		o.firstConfiguration, o.firstObserved, o.complete = state.Configuration, now, len(o.workerSets) == 0
	}
	workers := slices.Compact(slices.Sorted(slices.Values(state.Workers)))
	if n := len(o.workerSets); n > 0 && slices.Equal(o.workerSets[n-1].workers, workers) {
		return
	}
	if len(o.workerSets) == maxWorkerSets {
		o.workerSets = slices.Delete(o.workerSets, 0, 1)
		o.complete = false
	}
	o.workerSets = append(o.workerSets, workerSet{workers: workers, from: o.active})
}

// confirm notes a confirmation of the configuration.
func (o *ownership) confirm(now, confirmed time.Time) {
	if confirmed.After(now) {
		confirmed = now
	}
	if !confirmed.After(o.confirmed) {
		return
	}
	// Between two distant confirmations the worker set may have changed to another one and back,
	// with enough time for another owner to run keys.
	if !o.confirmed.IsZero() && confirmed.Sub(o.confirmed) > o.maxGap {
		o.workerSets = nil
		o.complete = false
	}
	o.confirmed = confirmed
}

func (o *ownership) advance(now time.Time) {
	gap := now.Sub(o.lastObserved)
	if gap <= 0 {
		return
	}
	if gap <= o.pauseGap {
		o.active += gap
	}
	o.lastObserved = now
}

// confirmedAt reports whether the configuration is confirmed closely enough before now.
func (o *ownership) confirmedAt(now time.Time) bool {
	return !o.confirmed.IsZero() && now.Sub(o.confirmed) <= o.staleness
}

// coversKeyHistory reports whether the agent has owned the key since before any order with a caller's own key ran in the
// fleet. It then remembers each order with the key that ran, however young it is.
func (o *ownership) coversKeyHistory(now time.Time, key Key, state ConfigurationState) bool {
	if !o.complete || state.Opened.IsZero() || o.firstConfiguration != state.First {
		return false
	}
	if !o.firstObserved.Before(state.Opened) || now.Before(state.Opened) {
		return false
	}
	return !slices.ContainsFunc(o.workerSets, func(w workerSet) bool { return Owner(key, w.workers) != o.agent })
}

// owned returns whether the agent owns the key now and for how much active time without a break it has owned it.
func (o *ownership) owned(key Key) (duration time.Duration, owner bool) {
	for _, w := range slices.Backward(o.workerSets) {
		if Owner(key, w.workers) != o.agent {
			break
		}
		owner = true
		duration = o.active - w.from
	}
	return duration, owner
}
