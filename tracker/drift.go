package tracker

import "time"

// driftWindow is the number of reports that the estimate of the drift follows. Fewer make the estimate jump, more make
// it slow to follow a surge.
const driftWindow = 200

// drift estimates the variance that the load of an upstream gains in time. Between two reports load changes by the
// requests that start and end, so its variance grows with the time between them.
type drift struct {
	changeSum  float64
	squareSum  float64
	secondsSum float64
}

// add takes the change of a load between two reports of one upstream.
func (d *drift) add(change float64, span time.Duration) {
	if span <= 0 {
		return
	}
	const decay = 1 - 1.0/driftWindow
	d.changeSum = decay*d.changeSum + change
	d.squareSum = decay*d.squareSum + change*change
	d.secondsSum = decay*d.secondsSum + span.Seconds()
}

// varianceRate returns the variance per second, in tokens squared.
func (d *drift) varianceRate() float64 {
	if d.secondsSum == 0 {
		return 0
	}
	return d.squareSum / d.secondsSum
}

// trend returns the mean change per second, in tokens.
func (d *drift) trend() float64 {
	if d.secondsSum == 0 {
		return 0
	}
	return d.changeSum / d.secondsSum
}
