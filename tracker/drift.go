package tracker

import "time"

// driftWindow is the number of reports over which the drift estimate is averaged exponentially. Fewer reports make the
// estimate noisy; more make it slow to follow a surge.
const driftWindow = 200

// drift estimates how fast the load of an upstream departs from its last report. Between two reports, requests start and
// end at random, so the variance of the change grows linearly with the time between them.
type drift struct {
	changeSum  float64
	squareSum  float64
	secondsSum float64
}

// add adds the change in load, in tokens, between two reports of one upstream that were taken span apart.
func (d *drift) add(change float64, span time.Duration) {
	if span <= 0 {
		return
	}
	const decay = 1 - 1.0/driftWindow
	d.changeSum = decay*d.changeSum + change
	d.squareSum = decay*d.squareSum + change*change
	d.secondsSum = decay*d.secondsSum + span.Seconds()
}

// varianceRate returns the increase of the variance per second, in tokens squared.
func (d *drift) varianceRate() float64 {
	if d.secondsSum == 0 {
		return 0
	}
	return d.squareSum / d.secondsSum
}

// trend returns the mean change in load per second, in tokens.
func (d *drift) trend() float64 {
	if d.secondsSum == 0 {
		return 0
	}
	return d.changeSum / d.secondsSum
}
