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

// ConfigurationState is the agent's current configuration of the service and its confirmation.
type ConfigurationState struct {
	// Workers are the names of the agents that the configuration lists for the service, in any order.
	Workers []string
	// Confirmed is the time at which the agent sent its latest read that returned this configuration. The time of the
	// response would be too late, since the configuration may change while the response is in transit.
	Confirmed time.Time
	// Configuration identifies the configuration that lists the workers; the zero pair means that it is unknown.
	Configuration configurer.ID
	// CallerKeysFrom is the time before which no agent of the fleet ran an order with a caller's own key; zero means
	// unknown.
	CallerKeysFrom time.Time
	// First identifies the first configuration that the fleet used.
	First configurer.ID
}

// maxWorkerSets bounds the recorded worker sets; dropping the oldest one can only shorten the computed duration of an
// ownership.
const maxWorkerSets = 16

// workerSet is a sorted set of workers and the active time from which it was in use.
type workerSet struct {
	workers []string
	from    time.Duration
}

// ownership records since when the agent has owned keys. Its durations count active time, which excludes pauses of the
// process.
type ownership struct {
	agent string
	// pauseGap is the longest time between two observations that counts as active; a longer one is taken for a pause.
	pauseGap time.Duration
	// staleness is the age above which a confirmation no longer counts.
	staleness time.Duration
	// maxGap is the time between two confirmations above which the agent may have missed that another agent owned its keys.
	maxGap       time.Duration
	lastObserved time.Time
	// active is the time since the start, less paused time.
	active     time.Duration
	confirmed  time.Time
	workerSets []workerSet
	// firstConfiguration is the configuration that was observed first, at firstObserved. complete reports whether
	// workerSets holds all sets since then.
	firstConfiguration configurer.ID
	firstObserved      time.Time
	complete           bool
}

// observe adds to the active time and records the worker set.
func (o *ownership) observe(now time.Time, state ConfigurationState) {
	o.advance(now)
	o.confirm(now, state.Confirmed)
	if len(state.Workers) == 0 && state.Configuration.Version == 0 {
		// The agent has not received a configuration yet.
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

// confirm records the time of a confirmation; one in the future is taken as now, since it would never become stale.
func (o *ownership) confirm(now, confirmed time.Time) {
	if confirmed.After(now) {
		confirmed = now
	}
	if !confirmed.After(o.confirmed) {
		return
	}
	// Between two confirmations that are far apart, the worker set may have changed to another one and back,
	// long enough for another owner to run orders.
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

// confirmedAt reports whether the latest confirmation is not stale at the time now.
func (o *ownership) confirmedAt(now time.Time) bool {
	return !o.confirmed.IsZero() && now.Sub(o.confirmed) <= o.staleness
}

// coversKeyHistory reports whether the agent has owned the key since before any order with a caller's own key ran in the
// fleet. It then has a record of every order with the key that ran, even if it started recently.
func (o *ownership) coversKeyHistory(now time.Time, key Key, state ConfigurationState) bool {
	if !o.complete || state.CallerKeysFrom.IsZero() || o.firstConfiguration != state.First {
		return false
	}
	if !o.firstObserved.Before(state.CallerKeysFrom) || now.Before(state.CallerKeysFrom) {
		return false
	}
	return !slices.ContainsFunc(o.workerSets, func(w workerSet) bool { return Owner(key, w.workers) != o.agent })
}

// owned reports whether the agent owns the key now, and for how much active time it has owned it without interruption.
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
