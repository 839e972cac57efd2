package proxier

import (
	"context"
	"errors"
	"net/http"
	"time"

	"clementineramp/judge"
	"clementineramp/mapper"
)

const (
	// maxAnswerMargin is the time before the end of the grace period at which the requests that run get their final answer.
	// It allows for the signal that the process has noticed late, and for the writing of the answers.
	maxAnswerMargin = 200 * time.Millisecond
	// maxExitMargin is the time before the end of the grace period at which the connections are closed; until then, responses
	// that have begun go on.
	maxExitMargin = 80 * time.Millisecond
	// answerShare and exitShare bound these margins to a fraction of short grace periods.
	answerShare, exitShare = 8, 20
	// arrivalTime is the time from the signal during which the load balancer, which checks readiness each second and requires
	// two failures, still sends callers here. It then accepts requests that usually end in time, even if their route allows
	// more: a refusal delays all of them, while few last so long.
	arrivalTime = 2800 * time.Millisecond
	// usualTime is the time within which 99 in 100 streams of a calm day ended (669 streams: half within 0.7 s, the longest
	// took 5.6 s). maxUsualTime is the bound for streams that cannot be resumed, which are lost if they are cut.
	usualTime    = 4 * time.Second
	maxUsualTime = 5 * time.Second
	// minResumeTime is the least time for which a stream that has begun is resumed at another upstream; without that it is cut
	// in any case.
	minResumeTime = 300 * time.Millisecond
)

// Shutdown is the schedule of a graceful shutdown.
type Shutdown struct {
	// Started is when the process was asked to stop; it is killed Grace later.
	Started time.Time
	Grace   time.Duration
}

// AnswerAt returns the time at which the requests that still run get their final answer, except for responses that have
// begun.
func (s Shutdown) AnswerAt() time.Time {
	return s.Started.Add(s.Grace - min(maxAnswerMargin, s.Grace/answerShare))
}

// ExitAt returns the time at which the process closes its connections.
func (s Shutdown) ExitAt() time.Time {
	return s.Started.Add(s.Grace - min(maxExitMargin, s.Grace/exitShare))
}

// Demand is what the decision about a request during a shutdown depends on.
type Demand struct {
	// Deadline is when the timeout of the caller or the route ends, whichever is earlier.
	Deadline   time.Time
	Kind       mapper.Kind
	Repeatable bool
	// Begun means that the caller has a part of the response.
	Begun bool
}

// Accepts reports whether a request may be sent to an upstream at the given time: if it can run until its deadline, or if it
// arrived while callers are still sent here and will almost certainly end in time. Requests that are not streams and may
// not be repeated must be able to run until their deadline.
func (s Shutdown) Accepts(d Demand, now time.Time) bool {
	left := s.AnswerAt().Sub(now)
	switch {
	case left <= 0:
		return false
	case d.Begun:
		return left >= minResumeTime
	case !d.Deadline.After(s.AnswerAt()):
		return true
	case now.Sub(s.Started) >= arrivalTime:
		return false
	case d.Repeatable:
		return left >= usualTime
	case d.Kind == mapper.Stream:
		return left >= maxUsualTime
	}
	return false
}

// errStopping is the cause with which requests are cancelled at the end of a shutdown.
var errStopping = errors.New("this router is stopping")

// BeginShutdown makes the Proxier refuse requests that cannot end in time, including those that wait for a place.
func (p *Proxier) BeginShutdown(s Shutdown) {
	p.shutdown.Store(&s)
	p.beginStop()
}

// RefuseAll makes the Proxier refuse all further requests.
func (p *Proxier) RefuseAll() {
	p.refusesAll.Store(true)
	p.beginStop()
}

// EndRequests refuses all further requests and ends those in progress with a final answer, except for responses that have
// begun.
func (p *Proxier) EndRequests() {
	p.RefuseAll()
	p.endRequests(errStopping)
}

// stopping reports whether a shutdown has begun.
func (p *Proxier) stopping() bool {
	return p.shutdown.Load() != nil || p.refusesAll.Load()
}

// mayStart reports whether the request may be sent to an upstream; only a shutdown prevents that.
func (j *job) mayStart() bool {
	begun := j.phase.Load() == responds
	if j.p.refusesAll.Load() && !begun {
		return false
	}
	s := j.p.shutdown.Load()
	if s == nil {
		return true
	}
	d := Demand{Deadline: j.deadline, Kind: j.route.Kind, Repeatable: j.route.Repeatable(), Begun: begun}
	return s.Accepts(d, time.Now())
}

// stoppingRefusal returns the refusal of a request that a stopping process does not accept. A shorter "retry after" delay than
// the usual one was tried: where several gateways stop together, callers were refused again more often.
func stoppingRefusal() error {
	return newRefusal(http.StatusServiceUnavailable, judge.ReasonLeaving, "this router is stopping; the request has not run")
}

// States of a request that decide whether EndRequests may still end it.
const (
	awaitsResponse int32 = iota
	responds
	ended
)

// beginResponse is called before a response of which only a part is known is sent. It returns false if the request was ended
// before that, and its caller gets a final answer instead.
func (j *job) beginResponse() bool {
	return j.phase.CompareAndSwap(awaitsResponse, responds)
}

// watchShutdown makes EndRequests cancel the request unless its response has begun; calling the result ends that.
func (j *job) watchShutdown(cancel context.CancelCauseFunc) (stop func() bool) {
	return context.AfterFunc(j.p.requests, func() {
		if j.phase.CompareAndSwap(awaitsResponse, ended) {
			cancel(errStopping)
		}
	})
}

// endedByShutdown reports whether EndRequests ended the request.
func (j *job) endedByShutdown() bool {
	return j.phase.Load() == ended
}
