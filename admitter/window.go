package admitter

import (
	"math"
	"time"
)

// windowBuckets is the number of buckets of the sliding window; more buckets make it slide more smoothly and use more
// memory per rank.
const windowBuckets = 32

// horizonFraction is the fraction of the window for which the expected work of running
// requests is counted in advance. Without it, a rank below its share would get every free
// slot until the first work of its requests is counted, and would overshoot its share.
const horizonFraction = 0.1

// rateAveragingRuns is the number of runs over which the service rate is averaged, with exponentially decaying weights.
const rateAveragingRuns = 64

// window sums, over a sliding time window, the work done for a rank and the work that its guaranteed share entitled it
// to, in tokens.
type window struct {
	served, entitled       [windowBuckets]float64
	servedSum, entitledSum float64
}

func (w *window) clear(bucket int) {
	w.served[bucket], w.entitled[bucket] = 0, 0
	w.servedSum, w.entitledSum = 0, 0
	for i := range windowBuckets {
		w.servedSum += w.served[i]
		w.entitledSum += w.entitled[i]
	}
}

func (w *window) add(bucket int, served, entitled float64) {
	w.served[bucket] += served
	w.entitled[bucket] += entitled
	w.servedSum += served
	w.entitledSum += entitled
}

// rates holds decaying sums over recent runs: estimated and actual work in tokens, run time, and the number of runs.
type rates struct {
	estimatedWork, actualWork, seconds, runs float64
}

func (m *rates) add(cost, actual float64, d time.Duration) {
	if d <= 0 {
		return
	}
	const decay = 1 - 1.0/rateAveragingRuns
	m.estimatedWork = m.estimatedWork*decay + cost
	m.actualWork = m.actualWork*decay + actual
	m.seconds = m.seconds*decay + d.Seconds()
	m.runs = m.runs*decay + 1
}

// estimatedPerSlot returns the work that a slot finishes per second, by the estimated cost of the requests; 0 before the
// first measurement.
func (m *rates) estimatedPerSlot() float64 {
	if m.seconds == 0 {
		return 0
	}
	return m.estimatedWork / m.seconds
}

// actualPerSlot returns the actual work that a slot does per second; 0 before the first measurement.
func (m *rates) actualPerSlot() float64 {
	if m.seconds == 0 {
		return 0
	}
	return m.actualWork / m.seconds
}

// meanRunTime returns the mean duration of a run; 0 before the first measurement.
func (m *rates) meanRunTime() time.Duration {
	if m.runs == 0 {
		return 0
	}
	return seconds(m.seconds / m.runs)
}

// maxSeconds keeps a predicted time within the range of time.Duration.
const maxSeconds = 1e6

func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, maxSeconds) * float64(time.Second))
}

// advance counts the estimated work that running requests did since the last call, and the time that they held their
// slots.
func (a *Admitter) advance(now time.Time) {
	if a.startTime.IsZero() {
		a.startTime, a.lastAdvance = now, now
		a.bucketIndex = a.bucketOf(now)
	}
	if now.Before(a.lastAdvance) {
		return
	}
	a.lastAdvance = now
	a.slideWindows(now)
	a.countSlotUse(now)
	rate := a.rates.actualPerSlot()
	if rate == 0 {
		return
	}
	for _, e := range a.running {
		done := math.Min(rate*now.Sub(e.startedAt).Seconds(), e.req.Cost)
		if done > e.countedWork {
			e.rank.unrecorded += done - e.countedWork
			e.countedWork = done
		}
	}
	a.recordWork()
}

// countSlotUse adds the time that running requests held their slots to the use of their organisations.
func (a *Admitter) countSlotUse(now time.Time) {
	if !a.cfg.PauseWithinRank {
		return
	}
	for _, q := range a.ranks {
		q.usePerSlot = q.slotUses.advance(now)
	}
	for _, e := range a.running {
		if e.rank.usePerSlot > 0 {
			e.slotUse.scaledUse += e.rank.usePerSlot
			e.rank.reorder(e.req.Organisation)
		}
	}
	for _, q := range a.ranks {
		q.slotUses.rebase()
	}
}

func (a *Admitter) bucketOf(now time.Time) int64 {
	return now.UnixNano() / (a.cfg.Window.Nanoseconds() / windowBuckets)
}

func (a *Admitter) slideWindows(now time.Time) {
	target := a.bucketOf(now)
	if target-a.bucketIndex > windowBuckets {
		a.bucketIndex = target - windowBuckets
	}
	for a.bucketIndex < target {
		a.bucketIndex++
		for _, q := range a.ranks {
			q.window.clear(int(a.bucketIndex % windowBuckets))
		}
	}
}

// recordWork moves the unrecorded work of each rank into its window. A rank with waiting
// requests is entitled to its share of all work done; a rank without any is entitled to no
// more than it used, so that idle time does not accumulate a claim to later work. While no
// other rank is waiting, a rank is entitled to all that it uses, since that is idle capacity:
// if it counted against the rank, the rank would lose its share in a later flood of others.
func (a *Admitter) recordWork() {
	total, waiting := 0.0, 0
	for _, q := range a.ranks {
		total += q.unrecorded
		if q.waiting() > 0 {
			waiting++
		}
	}
	bucket := int(a.bucketIndex % windowBuckets)
	for _, q := range a.ranks {
		entitled, others := q.share*total, waiting
		if q.waiting() == 0 {
			entitled = nearerZero(entitled, q.unrecorded)
		} else {
			others--
		}
		if others == 0 && q.unrecorded > entitled {
			entitled = q.unrecorded
		}
		q.window.add(bucket, q.unrecorded, entitled)
		q.unrecorded = 0
	}
}

func nearerZero(a, b float64) float64 {
	if math.Abs(a) < math.Abs(b) {
		return a
	}
	return b
}

// correctWork replaces the estimated work of the current run in the rank's window by the actual work.
func (a *Admitter) correctWork(e *entry, actual float64) {
	e.rank.unrecorded += actual - e.countedWork
	e.countedWork = actual
	a.recordWork()
}

// deficit returns the work, in tokens, by which a rank would be below its guaranteed share if the number of its running
// requests changed by change.
func (a *Admitter) deficit(q *rankQueue, change int) float64 {
	ahead := a.rates.actualPerSlot() * a.cfg.Window.Seconds() * horizonFraction
	running := float64(q.running + change)
	return q.window.entitledSum - q.window.servedSum + ahead*(q.share*float64(len(a.running))-running)
}

// minDeficit is the smallest work, in tokens, that counts as a deficit; smaller values are rounding errors of the sums.
const minDeficit = 1e-6

// belowShare reports whether a rank with a guaranteed share would have a deficit if the number of its running requests
// changed by change.
func (a *Admitter) belowShare(q *rankQueue, change int) bool {
	return q.share > 0 && a.deficit(q, change) > minDeficit
}
