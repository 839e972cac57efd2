package dispatcher

import (
	"fmt"
	"time"
)

// Config holds the sources of the values that decisions depend on. All functions but Random and OnChange are required. They are
// called with a lock held, so they must not call the Dispatcher.
type Config struct {
	// Limit returns the sum of the limits of the upstreams in use: the number of requests in progress, over all gateways, at
	// which they still answer in time. Zero means that no upstream is in use; requests then pass at once, to be refused by
	// whoever finds no upstream for them.
	Limit func(service string, now time.Time) float64
	// Share returns this gateway's share of the limit.
	Share func(service string, now time.Time) float64
	// Latency returns the current latency of the service; zero means unknown.
	Latency func(service, route string, now time.Time) time.Duration
	// Usual returns the latency at rest; zero means unknown.
	Usual func(service, route string) time.Duration
	// ReturningLast lets first requests go before those of returning callers of their rank and organisation, which can no longer
	// meet their target; without it, returning callers go first.
	ReturningLast bool
	// Exact is set if all requests to the services are admitted here, so that the number in progress is known exactly: Share is
	// the whole, no gateway uses more than its share, and no request is refused by latency.
	Exact bool
	// Random returns a number of at least 0 and below 1; nil means rand.Float64.
	Random func() float64
	// OnChange is called when an overload begins or has ended; it may be nil.
	OnChange func(Event)
}

// Request holds the properties of a request that the decisions depend on.
type Request struct {
	Service, Route, Organisation string
	// Urgency is the position among the ranks; 0 is the most urgent.
	Urgency int
	// Target is the latency objective, from the arrival to the end of the response; zero means none.
	Target time.Duration
	// Elapsed is the time since the arrival of the request, and Remaining the time that its caller still waits.
	Elapsed, Remaining time.Duration
	// Stated is the remaining time that the caller stated when the request arrived; zero if it stated none.
	Stated time.Duration
}

// Place is the permission to send a request to a service.
type Place struct {
	// Upstream is the upstream to which the request should be sent; empty if any may be chosen.
	Upstream string
	// Release gives the place back once the request has ended; it may be called more than once.
	Release func()
}

// Cause says why a request was refused.
type Cause string

const (
	// CauseLatency means that the latency of the service is above its goal, and other requests have priority.
	CauseLatency Cause = "latency"
	// CauseQueue means that the queue is full of requests that have priority.
	CauseQueue Cause = "queue_full"
	// CauseTime means that the request could no longer be on time, or would not get a place soon enough.
	CauseTime Cause = "time"
)

// Refusal is the error for a request that has not run and will not run.
type Refusal struct {
	Cause Cause
	// RetryAfter is the delay after which the caller should retry.
	RetryAfter time.Duration
	// Latency is the current latency of the service, zero if unknown.
	Latency time.Duration
	// Status is that of the service when the request was refused.
	Status Status
}

// Error describes the refusal in one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("the service is overloaded (%s): %d in progress and %d waiting at this router, limit %.1f, latency %d ms; it has not run",
		r.Cause, r.Status.InProgress, r.Status.Waiting, r.Status.Limit, r.Latency.Milliseconds())
}

// Status is the state of a service at this gateway.
type Status struct {
	// InProgress and Waiting count the requests that hold a place and those that wait for one.
	InProgress, Waiting int
	// Limit is this gateway's share of the limit of the service; zero means that there is no limit.
	Limit float64
	// Rate is the number of requests a second that arrive, including those that are refused.
	Rate float64
}

// Event is the beginning or the end of a period in which requests for a service are refused.
type Event struct {
	Service string
	// Began is true at the beginning and false at the end.
	Began bool
	// Cause is that of the first refusal, and Refused the number of refusals; both are set at the end only, except for Cause.
	Cause   Cause
	Refused int
	// Latency is the current latency of the service.
	Latency time.Duration
	// Duration is the time from the beginning to the last refusal; zero in the event of the beginning.
	Duration time.Duration
}
