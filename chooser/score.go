package chooser

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultBound is the default limit on the work of an engine, as a multiple of the mean work of its pool.
	DefaultBound = 1.25
)

const (
	minWeight = 0.1
	// The weight rises in steps, so that routers whose values of an uptime differ by milliseconds compute the same
	// weight except at the edge of a step.
	rampSteps = 9
)

// Limit returns the maximum work of an engine, in tokens, including a new request of the given cost. The n engines whose
// load is known run totalWork together. If n is 0, no load is known, and the limit is infinite.
func Limit(bound, totalWork float64, n int, cost float64) float64 {
	if n <= 0 {
		return math.Inf(1)
	}
	return bound * (totalWork + cost) / float64(n)
}

// Admits reports whether an engine that runs the given work may accept a request; an idle engine always may.
func Admits(work, cost, limit float64) bool {
	return work <= 0 || work+cost <= limit
}

// AtOrBelowMean reports whether an engine that runs the given work is at or below the mean of the n engines whose load is
// known. It may then accept one more request even beyond the limit, since that keeps the work in the pool as even as
// whole requests allow. Without this exception, engines that run one request each would never start a second one, because
// two requests are above 1.25 times a mean of about one.
func AtOrBelowMean(work, totalWork float64, n int) bool {
	return n > 0 && work <= totalWork/float64(n)
}

// weight returns the weight of an upstream with the given uptime, from minWeight to 1 at the end of the ramp.
func weight(uptime, ramp time.Duration) float64 {
	if uptime >= ramp {
		return 1
	}
	if uptime <= 0 {
		return minWeight
	}
	step := math.Floor(rampSteps * float64(uptime) / float64(ramp))
	return minWeight + (1-minWeight)*step/rampSteps
}

// hash combines a chat's key with the name of an upstream.
func hash(key uint64, name string) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], key)
	binary.LittleEndian.PutUint64(buf[8:], xxhash.Sum64String(name))
	return xxhash.Sum64(buf[:])
}

// rendezvous returns the score -weight/ln(u), where u in (0, 1) comes from the upper 53 bits of the hash.
func rendezvous(h uint64, weight float64) float64 {
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}
