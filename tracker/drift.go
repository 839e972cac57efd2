package tracker

import "time"

// driftMemory is the number of reports that the estimate of the drift follows. Fewer make the estimate jump, more make
// it slow to follow a surge.
const driftMemory = 200

// drift estimates the variance that the load of an upstream gains in time. Between two reports load changes by the
// requests that start and end, so its variance grows with the time between them.
type drift struct {
	changes float64
	squares float64
	seconds float64
}

// add takes the change of a load between two reports of one upstream.
func (d *drift) add(change float64, span time.Duration) {
	if span <= 0 {
		return
	}
	const keep = 1 - 1.0/driftMemory
	d.changes = keep*d.changes + change
	d.squares = keep*d.squares + change*change
	d.seconds = keep*d.seconds + span.Seconds()
}

// rate returns the variance per second, in tokens squared.
func (d *drift) rate() float64 {
	if d.seconds == 0 {
		return 0
	}
	return d.squares / d.seconds
}

// trend returns the mean change per second, in tokens.
func (d *drift) trend() float64 {
	if d.seconds == 0 {
		return 0
	}
	return d.changes / d.seconds
}
