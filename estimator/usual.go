package estimator

import (
	"math"
	"time"
)

const (
	// usualBlocks blocks of usualBlock make up the window of the usual latency, about 30 s.
	usualBlocks = 10
	usualBlock  = 3 * time.Second
	// usualQuantile is the quantile that counts as the latency at rest. It is below the median because up to half of the
	// responses may come from slow upstreams.
	usualQuantile = 0.3
	// minUsualSamples is the number of responses from which the usual latency is known.
	minUsualSamples = 5
	// minSamplesToFall is the number of responses in the window from which the usual latency falls at once. With fewer the
	// quantile is so noisy that its lowest values would remain.
	minSamplesToFall = 30
	// usualRisePerSecond bounds the rise of the usual latency, so that an overload of all upstreams that lasts a minute
	// raises it by 16% only; a service whose work doubles for good is followed within five minutes.
	usualRisePerSecond = 0.0025
	// bucketsPerOctave gives buckets that are 4.4% wide; shortestLatency is the first one's.
	bucketsPerOctave = 16
	shortestLatency  = 100 * time.Microsecond
	// latencyBuckets reach up to 100 s.
	latencyBuckets = 20 * bucketsPerOctave
)

// usual is the usual latency of a route of a service.
type usual struct {
	blocks [usualBlocks][latencyBuckets]uint16
	// first is the time of the first sample, block the number of the current block since then, and last the time of the last.
	first, last time.Time
	block       int
	// latency is zero while it is unknown; updated is the time at which it was computed.
	latency time.Duration
	updated time.Time
	// target is the latency objective at the last sample.
	target time.Duration
}

// add adds the latency of a response.
func (s *usual) add(latency time.Duration, now time.Time) {
	if s.first.IsZero() {
		s.first = now
	}
	s.last = now
	for block := max(int(now.Sub(s.first)/usualBlock), s.block); s.block < block; {
		s.block++
		s.blocks[s.block%usualBlocks] = [latencyBuckets]uint16{}
		if block-s.block > usualBlocks { // All blocks are out of date.
			s.block = block - usualBlocks
		}
	}
	i := int(bucketsPerOctave * math.Log2(float64(max(latency, shortestLatency))/float64(shortestLatency)))
	if n := &s.blocks[s.block%usualBlocks][min(i, latencyBuckets-1)]; *n < math.MaxUint16 {
		*n++
	}
	s.update(now)
}

// update computes the latency from the samples in the window.
func (s *usual) update(now time.Time) {
	var counts [latencyBuckets]int
	total := 0
	for b := range s.blocks {
		for i, n := range s.blocks[b] {
			counts[i] += int(n)
			total += int(n)
		}
	}
	if total < minUsualSamples {
		return
	}
	left := usualQuantile * float64(total)
	i := 0
	for ; left >= float64(counts[i]) && i < latencyBuckets-1; i++ {
		left -= float64(counts[i])
	}
	within := left / float64(max(counts[i], 1)) // The position within the bucket.
	latency := time.Duration(float64(shortestLatency) * math.Exp2((float64(i)+within)/bucketsPerOctave))
	if s.latency > 0 && now.Sub(s.first) > usualBlocks*usualBlock {
		rise := 1 + usualRisePerSecond*max(now.Sub(s.updated).Seconds(), 0)
		latency = min(latency, time.Duration(float64(s.latency)*rise))
		if total < minSamplesToFall {
			latency = max(latency, time.Duration(float64(s.latency)/rise))
		}
	}
	s.latency, s.updated = latency, now
}
