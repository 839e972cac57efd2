package throttler

import (
	"math"
	"time"
)

const (
	// maxParts is the number of parts of the fleet that may not know of each other, because their gateways have all started
	// behind a partition. The shares of the owners of each part add up to this fraction of the bound.
	maxParts = 3
	// maxOwners is the number of owners of a cold upstream in each part: with more, the shares would be too small, and with
	// fewer, one dead owner would leave too little.
	maxOwners = 3
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
	perView := max(allowed/maxParts, 1)
	owners = min(maxOwners, perView)
	return owners, perView / owners
}
