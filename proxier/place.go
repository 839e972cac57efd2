package proxier

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"clementineramp/dispatcher"
	"clementineramp/judge"
)

// acquire waits for a place at a plain service whose upstreams report no load; the result releases it. An error is the refusal
// of the request, which has not run. It panics with http.ErrAbortHandler if the caller has left.
func (j *job) acquire() (release func(), err error) {
	if j.p.cfg.Acquire == nil || j.reportsLoad || j.service == "" || j.current.Table.Services[j.service].Engine {
		return func() {}, nil
	}
	ctx, cancel := context.WithCancel(j.ctx)
	defer cancel()
	stop := context.AfterFunc(j.p.stops, func() {
		if !j.mayStart() {
			cancel()
		}
	})
	defer stop()
	place, queued, err := j.p.cfg.Acquire(ctx, j.demand(time.Now()))
	release, j.queued, j.assigned = place.Release, queued, place.Upstream
	if err == nil && !j.callerGone() && j.mayStart() {
		j.p.instruments.plainWaits.Update(j.queued.Milliseconds())
		return release, nil
	}
	if err == nil {
		release()
	}
	if j.callerGone() {
		j.recordOutcome(0, judge.ReasonBroken, "caller disconnected")
		panic(http.ErrAbortHandler)
	}
	if !j.mayStart() {
		return nil, stoppingRefusal()
	}
	metrics.GetOrRegisterCounter("plain_refused."+j.service, j.p.instruments.registry).Inc(1)
	var refusal *dispatcher.Refusal
	if errors.As(err, &refusal) {
		return nil, &localResponse{
			status: http.StatusServiceUnavailable, reason: judge.ReasonOverload, retryAfter: refusal.RetryAfter, text: refusal.Error(),
		}
	}
	return nil, newRefusal(http.StatusServiceUnavailable, judge.ReasonDeadline, "the service had no place in time; the request has not run")
}

// callerGone reports whether the caller has closed its connection.
func (j *job) callerGone() bool {
	return j.r.Context().Err() != nil || j.p.cfg.CallerLeft(j.r.Context())
}

// demand returns the properties of the request that its admission depends on.
func (j *job) demand(now time.Time) dispatcher.Request {
	r := dispatcher.Request{
		Service: j.service, Route: j.route.Name, Urgency: j.urgency, Target: j.route.Target,
		Elapsed: now.Sub(j.started), Remaining: j.deadline.Sub(now),
	}
	if j.owner != nil {
		r.Organisation = j.owner.Name
	}
	if j.HasRemaining {
		r.Stated = j.Remaining
	}
	return r
}
