package throttler

import (
	"math"
	"time"
)

const (
	// maxParts is the number of parts of the fleet that may not know of each other, because their gateways have all started
	// behind a partition.
	maxParts = 3
	// spareOwners is the number of gateways in the whole fleet that may take themselves for owners because they have not yet
	// heard of one that comes before them. With none spare, 3 owners and shares of 3, a model of gateways that start in three
	// parts exceeded the bound in 15 of 50 runs, by up to 4 of 29 requests; with two, none of them did.
	spareOwners = 2
	// maxOwners is the largest number of owners of a cold upstream in each part: the shares are small, so that one dead or
	// spare owner matters little.
	maxOwners = 4
	// maxAllowed bounds the result of Allowed, which is otherwise not defined for numbers that no int can hold.
	maxAllowed = math.MaxInt32
)

// Bound is the limit of requests to one cold upstream, summed over all gateways. The zero value means that no upstream is cold.
type Bound struct {
	// Rate is the number of requests a second that a cold upstream tolerates; zero means that no upstream is ever cold.
	Rate float64
	// Overshoot is a factor on Rate, and Tolerance a number of requests that are allowed in addition.
	Overshoot, Tolerance float64
	// Start is the time for which an upstream is cold after its start or the end of an evacuation.
	Start time.Duration
}

// Allowed returns the number of requests that one cold upstream may receive in any second.
func (b Bound) Allowed() int {
	allowed := b.Rate*b.Overshoot + b.Tolerance
	if !(allowed >= 1) { // Also if it is not a number.
		return 0
	}
	return int(min(allowed, maxAllowed))
}

// shares returns the number of owners of a cold upstream in each part of the fleet, and the requests that each of them may send
// in a window; the share is zero if nothing may be sent.
func (b Bound) shares() (owners, share int) {
	allowed := b.Allowed()
	if allowed == 0 {
		return 0, 0
	}
	owners, share = 1, 1 // With fewer than maxParts+spareOwners requests, there is no room for all parts and spare owners.
	for n := 1; n <= maxOwners; n++ {
		if each := allowed / (maxParts*n + spareOwners); n*each >= owners*share {
			owners, share = n, each
		}
	}
	return owners, share
}
