package proxier

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"clementineramp/appraiser"
	"clementineramp/blocker"
	"clementineramp/connector"
	"clementineramp/judge"
	"clementineramp/placer"
	"clementineramp/registrar"
)

const (
	// maxTurnedAway is the number of upstreams that may refuse to run a request before its caller has to retry later.
	maxTurnedAway = 3
	// firstResponseFactor is the multiple of the latency objective after which a repeatable request that got no response
	// is retried at another upstream.
	firstResponseFactor = 2
	// minFirstResponse is the lower bound of this time; a step of a loaded engine takes tens of milliseconds.
	minFirstResponse = 120 * time.Millisecond
	// gapFactor is the multiple of the longest pause that is normal for the route (Route.Gap) after which a resumable
	// stream is resumed at another upstream.
	gapFactor = 4
	// minGap is the lower bound of this time; callers abandon a stream after a pause of two seconds or more.
	minGap = 700 * time.Millisecond
	// retryInterval is the interval at which a replacement is looked for while none is to be had.
	retryInterval = 200 * time.Millisecond
	// maxResumePause is the pause of a stream up to which another upstream is looked for. The rest of the two seconds of the
	// callers is left for its first event.
	maxResumePause = 1500 * time.Millisecond
	// connectionShare is the share of an upstream's connection limit that all routers together may use.
	connectionShare = 0.9
	// maxUnrepeatableIdle is the longest idle time of a connection that is reused for a request that must not be
	// repeated: when the upstream closes the connection just as the request is sent, the request may or may not run.
	maxUnrepeatableIdle = 4 * time.Second
)

// errUnresponsive is the cause with which a responseTimer cancels an attempt.
var errUnresponsive = errors.New("upstream does not respond")

// verdict is the result of an attempt.
type verdict int

const (
	// done: the caller has received the final response.
	done verdict = iota
	// notSent: no upstream has read the request.
	notSent
	// turnedAway: the upstream responded that it has not run the request.
	turnedAway
	// mayHaveRun: the upstream may have run the request.
	mayHaveRun
	// failed: the upstream ran the request and responded with a server error, which is kept for the caller.
	failed
)

// run sends the request to one upstream after another until the caller has a final response.
func (j *job) run() {
	defer func() { j.replacement.release() }()
	turnedAwayCount := 0
	var buffered *bufferedResponse
	for !j.blockedSinceAdmission() {
		next, ok := j.next()
		if !ok {
			if j.awaitRetry(notSent) {
				continue
			}
			j.choice.Leaving, j.choice.Evacuated = next.choice.Leaving, next.choice.Evacuated
			j.choice.Paused, j.choice.Listed = next.choice.Paused, next.choice.Listed
			j.choice.Cold, j.onlyCold = next.choice.Cold, next.choice.Cold > 0
			break
		}
		j.choice = next.choice
		v, response, err := j.attempt(next)
		j.tried = append(j.tried, next.choice.Upstream.ID)
		if v == done {
			return
		}
		if response != nil {
			buffered = response
		}
		if v == turnedAway {
			turnedAwayCount++
		}
		if v == mayHaveRun || v == failed {
			j.mayHaveRunAt = append(j.mayHaveRunAt, next.choice.Upstream.ID)
		}
		retry := j.replaces() || j.mayRepeat(v, turnedAwayCount)
		j.logAttempt(next.choice, v, err, retry)
		if retry {
			continue
		}
		if !j.awaitRetry(v) {
			break
		}
		turnedAwayCount = maxTurnedAway - 1 // One refusal ends each further round.
	}
	j.finish(buffered)
}

// blockedSinceAdmission reports whether the request or a part of its prompt has become blocked during the last attempt, or while
// the request waited for a place.
func (j *job) blockedSinceAdmission() bool {
	if j.arrivals > 0 || len(j.tried) > 0 || j.queued > 0 {
		j.blocked = cmp.Or(j.refuseBlocked(j.p.cfg.Crashes.HeldFor), j.refuseBlockedPart(j.p.cfg.Crashes.HeldPart))
	}
	return j.blocked != nil
}

// next returns the replacement of the last attempt, or chooses an upstream; the result is false if none is left.
func (j *job) next() (*replacement, bool) {
	if r := j.replacement; r != nil {
		j.replacement = nil
		return r, true
	}
	choice, ok := j.p.cfg.Placer.Choose(j.placement(j.tried), time.Now())
	return &replacement{choice: choice}, ok
}

// placement returns the properties of the request that the choice of an upstream depends on.
func (j *job) placement(tried []string) placer.Request {
	return placer.Request{
		Service: j.service, Chat: j.Chat(), ChatTokens: j.ChatTokens(), Preferred: j.assigned,
		// Once an upstream has turned it away, an unrepeatable request may be sent to a suspect upstream too.
		Repeatable: j.route.Repeatable() || j.arrivals > 0, Tried: tried,
	}
}

// replaces reports whether the last attempt was given up for a replacement, for which the retry has been deducted.
func (j *job) replaces() bool {
	if j.replacement == nil || j.ctx.Err() != nil || j.abandoned {
		return false
	}
	j.p.instruments.retries.Inc(1)
	return true
}

// awaitRetry waits until a stream that has begun may be sent to another upstream, although none takes it at the moment or
// no retry is allowed. It returns false if the rest of the stream would come too late for its caller.
func (j *job) awaitRetry(v verdict) bool {
	if !j.stream.started || !j.route.Repeatable() || j.runs >= j.route.Attempts || j.abandoned {
		return false
	}
	for time.Since(j.stream.lastWrite) < maxResumePause && j.mayStart() {
		select {
		case <-j.ctx.Done():
			return false
		case <-time.After(retryInterval):
		}
		// Those that turned it away may take it now.
		j.tried = append(j.tried[:0], j.mayHaveRunAt...)
		if v == notSent || j.p.cfg.AllowRetry(j.service) {
			return true
		}
	}
	return false
}

// mayRepeat reports whether the request may be sent to another upstream, and deducts a retry from the budget unless the
// attempt ended before anything was sent.
func (j *job) mayRepeat(v verdict, turnedAwayCount int) bool {
	if j.ctx.Err() != nil || j.abandoned || !j.mayStart() {
		return false
	}
	switch v {
	case done:
		return false
	case notSent:
		return len(j.tried) < maxTurnedAway+j.route.Attempts
	case turnedAway:
		if turnedAwayCount >= maxTurnedAway {
			return false
		}
	case mayHaveRun, failed:
		if !j.route.Repeatable() || j.runs >= j.route.Attempts {
			return false
		}
	}
	if !j.p.cfg.AllowRetry(j.service) {
		j.p.instruments.budgetRefused.Inc(1)
		return false
	}
	j.p.instruments.retries.Inc(1)
	return true
}

// finish sends the final response after the last attempt.
func (j *job) finish(buffered *bufferedResponse) {
	if j.stream.started {
		j.abort(judge.ReasonStreamLost, "the stream could not be resumed")
	}
	if buffered != nil {
		j.writeBuffered(buffered)
		return
	}
	switch {
	case j.abandoned || j.r.Context().Err() != nil:
		j.recordOutcome(0, judge.ReasonBroken, "caller disconnected")
		panic(http.ErrAbortHandler)
	case j.blocked != nil && j.runs == 0:
		j.refuse(j.blocked)
	case j.runs == 0 && !j.mayStart():
		j.refuse(stoppingRefusal())
	case j.runs > 0 && j.endedByShutdown():
		j.refuse(newRefusal(http.StatusGatewayTimeout, judge.ReasonLeaving, "this router is stopping; the request may have run"))
	case j.runs > 0 && j.ctx.Err() != nil:
		j.refuse(newRefusal(http.StatusGatewayTimeout, judge.ReasonTimeout, "no answer in time"))
	case j.runs > 0:
		j.refuse(newRefusal(http.StatusBadGateway, judge.ReasonBroken, "the upstream broke off; the request may have run"))
	case j.ctx.Err() != nil:
		j.refuse(newRefusal(http.StatusServiceUnavailable, judge.ReasonDeadline, "no upstream took the request in time; it has not run"))
	default:
		j.refuse(j.noUpstream(time.Now()))
	}
}

// noUpstream returns the refusal of a request that has not run because no upstream is left for it.
func (j *job) noUpstream(now time.Time) error {
	if pause := j.p.cfg.Placer.PausedFor(j.service, now); pause > 0 {
		j.p.instruments.pausedRefusals.Inc(1)
		wait := pause + minRetryAfter + rand.N(maxRetryAfter-minRetryAfter)
		if most := max(j.deadline.Sub(now)/3, 0); wait > most {
			// Callers wait no longer than a third of their remaining time; those with the same deadline are spread below it.
			wait = max(most-rand.N(most/4+1), time.Millisecond)
		}
		return &localResponse{
			status: http.StatusServiceUnavailable, reason: judge.ReasonPaused, retryAfter: wait,
			text: fmt.Sprintf("all %d upstreams of the service want no requests for %.3f s or more; it has not run",
				j.choice.Paused, pause.Seconds()),
		}
	}
	switch {
	case j.onlyCold:
		j.p.instruments.coldRefusals.Inc(1)
		return newRefusal(http.StatusServiceUnavailable, judge.ReasonCold, fmt.Sprintf(
			"%d upstreams of the service are cold, this router may send them no requests now, and no other is left; it has not run", j.choice.Cold))
	case j.choice.Listed > 0:
	case j.choice.Evacuated > 0:
		j.p.instruments.evacuatedRefusals.Inc(1)
		return newRefusal(http.StatusServiceUnavailable, judge.ReasonEvacuated,
			"the failure domains of all upstreams of the service are evacuated, or the upstreams are leaving; it has not run")
	case j.choice.Leaving > 0:
		return newRefusal(http.StatusServiceUnavailable, judge.ReasonNoUpstream, "all upstreams of the service are leaving; it has not run")
	}
	return newRefusal(http.StatusServiceUnavailable, judge.ReasonNoUpstream, "no upstream takes the request now; it has not run")
}

// target returns the address and the connection limits for an upstream.
func (j *job) target(u registrar.Upstream) connector.Target {
	t := connector.Target{Upstream: Incarnation(u), Address: u.Address}
	if s, ok := j.current.Table.Services[j.service]; ok && s.Connections > 0 {
		t.MaxConnections = max(2, int(connectionShare*float64(s.Connections))/max(j.p.cfg.Routers(), 1))
	}
	if !j.route.Repeatable() {
		t.MaxIdleTime = maxUnrepeatableIdle
	}
	return t
}

// attempt sends the request to one upstream and relays its response.
func (j *job) attempt(next *replacement) (verdict, *bufferedResponse, error) {
	choice := next.choice
	u := choice.Upstream
	now := time.Now()
	j.sentAt.Store(0)
	defer j.beginWork()()
	j.begunAt, j.outlived = time.Time{}, false
	j.p.cfg.Health.Begin(u.ID, now)
	accepted := false
	defer func() {
		if accepted {
			j.p.cfg.Placer.Done(u.ID)
		} else {
			j.p.cfg.Placer.Withdraw(choice)
		}
	}()

	header := j.header.Clone()
	a := Attempt{
		Upstream: u.ID, Urgency: j.urgency, HasRemaining: j.HasRemaining || j.route.Timeout > 0,
		Remaining: time.Until(j.deadline), LastEvent: j.stream.lastEvent,
	}
	if service := j.current.Table.Services[j.service]; service.Engine && j.stream.lastEvent == "" {
		a.CacheSource = choice.Source.Address
	}
	if j.owner != nil {
		a.Organisation = j.owner.Name
	}
	j.p.cfg.Codec.SetAttempt(header, a)

	ctx, cancel := context.WithCancelCause(j.ctx)
	defer cancel(nil)
	timer := j.startResponseTimer(ctx, u, cancel)
	defer func() { j.replacement = timer.end() }()
	var withdrawn error
	exchange, err := j.p.cfg.Pool.Do(ctx, j.target(u), connector.Request{
		Method: j.r.Method, Target: j.r.RequestURI, Host: j.r.Host, Header: header, Body: j.body,
		Abandoned: func() bool {
			// What other requests learnt while this one waited for its connection counts for it, too.
			if j.p.cfg.CallerLeft(j.r.Context()) {
				return true
			}
			if withdrawn = j.p.cfg.Placer.CheckAccepts(u, time.Now()); withdrawn != nil {
				return true
			}
			accepted = true
			j.sentAt.Store(time.Now().UnixNano())
			timer.markSent()
			return false
		},
		Reservation: next.connection,
	}, func(status int, h http.Header) bool { return j.matchesRequest(status, h) })
	if withdrawn != nil {
		return notSent, nil, withdrawn
	}
	if err != nil {
		return j.handleNoResponse(ctx, u, err)
	}
	defer exchange.Close()
	j.arrivals++
	return j.relay(ctx, u, exchange, timer)
}

// matchesRequest reports whether a response belongs to this request: it has the ID of the request, or it has no ID and is
// not a success, in which case relay classifies it.
func (j *job) matchesRequest(status int, h http.Header) bool {
	id := j.p.cfg.Codec.DecodeReply(status, h).RequestID
	return id == j.ID || id == "" && status >= http.StatusMultipleChoices
}

// handleNoResponse classifies an attempt that got no response.
func (j *job) handleNoResponse(ctx context.Context, u registrar.Upstream, err error) (verdict, *bufferedResponse, error) {
	now := time.Now()
	var failure *connector.Error
	if errors.As(err, &failure) && failure.SendStatus == connector.NotSent {
		if errors.Is(err, connector.ErrAbandoned) {
			j.abandoned = true
			return notSent, nil, err
		}
		if !errors.Is(err, connector.ErrTooManyConnections) && ctx.Err() == nil {
			j.p.cfg.Health.Record(u.ID, appraiser.Refused, now)
		}
		return notSent, nil, err
	}
	j.arrivals++
	j.runs++
	switch {
	case errors.Is(context.Cause(ctx), errUnresponsive):
		j.record(u, unsuccessful)
		return mayHaveRun, nil, errUnresponsive
	case j.ctx.Err() != nil:
		j.record(u, unsuccessful)
		if j.r.Context().Err() == nil && !j.endedByShutdown() {
			j.p.cfg.Health.Record(u.ID, appraiser.Silent, now)
		}
		return mayHaveRun, nil, j.ctx.Err()
	case errors.Is(err, connector.ErrMalformedHead):
		j.p.cfg.Health.Record(u.ID, appraiser.Broken, now) // No connection broke, so that it is no crash.
		return mayHaveRun, nil, err
	}
	j.recordBroken(u, now, err, j.parts...)
	return mayHaveRun, nil, err
}

// recordBroken records that a connection broke with err while the upstream may have been running the request, which counts as
// a crash of the upstream for which the request is suspected, and so are the given parts of its prompt.
func (j *job) recordBroken(u registrar.Upstream, now time.Time, err error, parts ...blocker.Part) {
	j.p.cfg.Health.Record(u.ID, appraiser.Broken, now)
	if !hostLost(err) {
		j.p.cfg.Crashes.RecordCrash(j.print, Incarnation(u), now, parts...)
	}
}

// recordBrokenAnswer is recordBroken for an answer that had begun at the given time. An upstream may also crash on a part in the
// middle of its answer.
func (j *job) recordBrokenAnswer(u registrar.Upstream, begun, now time.Time, err error) {
	if hostLost(err) || now.Sub(begun) > blocker.LateSpan {
		j.recordBroken(u, now, err)
		return
	}
	j.p.cfg.Health.Record(u.ID, appraiser.Broken, now)
	j.p.cfg.Crashes.RecordLateCrash(j.print, Incarnation(u), now, j.parts)
}

// hostLost reports whether a connection that ended with err belongs to a host that has lost its power or network. The
// connections of a process that crashes are closed or reset: one that times out or cannot be reached says nothing of what
// ran there, and if all hosts of a service were lost, what most requests share would be blocked.
func hostLost(err error) bool {
	for _, lost := range []error{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH} {
		if errors.Is(err, lost) {
			return true
		}
	}
	return false
}

// recordBegin records, once an attempt, that the upstream has begun to answer.
func (j *job) recordBegin() {
	if j.begunAt.IsZero() {
		j.begunAt = time.Now()
		j.p.cfg.Crashes.RecordBegin(j.parts, j.begunAt)
	}
}

// recordProgress records that the upstream has sent an event of the answer.
func (j *job) recordProgress() {
	j.recordBegin()
	if now := time.Now(); now.Sub(j.begunAt) > blocker.LateSpan {
		j.recordOutlived(now)
	}
}

// recordOutlived records, once an attempt, that the answer is whole or has gone on for longer than blocker.LateSpan.
func (j *job) recordOutlived(now time.Time) {
	if !j.outlived && !j.begunAt.IsZero() {
		j.outlived = true
		j.p.cfg.Crashes.RecordOutlived(j.parts, j.begunAt, now)
	}
}

// recordServed records that the upstream has answered the request to the end.
func (j *job) recordServed() {
	j.p.cfg.Crashes.RecordServed(j.print, time.Now())
}

// Incarnation returns a name for one lifetime of an upstream, which includes its start time: a later process may have
// the same ID and address.
func Incarnation(u registrar.Upstream) string {
	return u.ID + "/" + u.Address + "/" + time.UnixMilli(u.Born).UTC().Format("150405.000")
}
