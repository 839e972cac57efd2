package proxier

import (
	"context"
	"errors"
	"net/http"
	"time"

	"clementineramp/appraiser"
	"clementineramp/connector"
	"clementineramp/judge"
	"clementineramp/mapper"
	"clementineramp/placer"
	"clementineramp/registrar"
)

const (
	// maxTurnedAway bounds the upstreams that may turn a request away before its caller is told to come back.
	maxTurnedAway = 3
	// silenceFactor is the multiple of the latency objective after which a repeatable request without any answer
	// goes to a second upstream.
	silenceFactor = 2
	// minSilence is the least such time; a step of a loaded engine takes some ten milliseconds.
	minSilence = 120 * time.Millisecond
	// gapFactor is the multiple of the longest good pause after which a resumable stream goes on elsewhere.
	gapFactor = 4
	// minGap is the least such time; callers abandon a stream after a pause of two seconds or more.
	minGap = 700 * time.Millisecond
	// connectionShare is the share of an upstream's connections that the routers together may use.
	connectionShare = 0.9
	// freshConnection bounds the unused time of a connection that carries a request which must not be repeated:
	// what is sent just as the upstream closes the connection may or may not have run.
	freshConnection = 4 * time.Second
)

// errSilent ends an attempt at an upstream that shows no sign of life.
var errSilent = errors.New("the upstream is silent")

// verdict is what an attempt says about the request.
type verdict int

const (
	// done: the caller has the final answer.
	done verdict = iota
	// notSent: no upstream has read the request.
	notSent
	// turnedAway: the upstream said that it has not run the request.
	turnedAway
	// inDoubt: the upstream may have run the request.
	inDoubt
	// failed: the upstream ran the request and answered with a failure, which is kept for the caller.
	failed
)

// run sends the request to upstreams until the caller has a final answer.
func (j *job) run() {
	turned := 0
	var kept *keptAnswer
	for {
		choice, ok := j.p.cfg.Placer.Choose(placer.Request{
			Service: j.service, Chat: j.Chat(), ChatTokens: j.ChatTokens(), Repeatable: j.route.Repeatable() || j.arrivals > 0, Tried: j.tried,
		}, time.Now())
		if !ok {
			break
		}
		j.choice = choice
		v, answer, err := j.attempt(choice)
		j.tried = append(j.tried, choice.Upstream.ID)
		if v == done {
			return
		}
		if answer != nil {
			kept = answer
		}
		if v == turnedAway {
			turned++
		}
		again := j.mayRepeat(v, turned)
		j.logAttempt(choice, v, err, again)
		if !again {
			break
		}
	}
	j.giveUp(kept)
}

// mayRepeat reports whether the request may go to another upstream, and pays for it.
func (j *job) mayRepeat(v verdict, turned int) bool {
	if j.ctx.Err() != nil {
		return false
	}
	switch v {
	case done:
		return false
	case notSent:
		return len(j.tried) < maxTurnedAway+j.route.Attempts
	case turnedAway:
		if turned >= maxTurnedAway {
			return false
		}
	case inDoubt, failed:
		if !j.route.Repeatable() || j.runs >= j.route.Attempts {
			return false
		}
	}
	if !j.p.cfg.Retry(j.service) {
		j.p.meters.budgetRefused.Inc(1)
		return false
	}
	j.p.meters.retries.Inc(1)
	return true
}

// giveUp gives the final answer after the last attempt.
func (j *job) giveUp(kept *keptAnswer) {
	if j.stream.started {
		j.breakOff(judge.ReasonStreamLost, "the stream could not go on")
	}
	if kept != nil {
		j.deliver(kept)
		return
	}
	switch {
	case j.r.Context().Err() != nil:
		j.ended(0, judge.ReasonBroken, "the caller left")
		panic(http.ErrAbortHandler)
	case j.runs > 0 && j.ctx.Err() != nil:
		j.refuse(refusal(http.StatusGatewayTimeout, judge.ReasonTimeout, "no answer in time"))
	case j.runs > 0:
		j.refuse(refusal(http.StatusBadGateway, judge.ReasonBroken, "the upstream broke off; the request may have run"))
	case j.ctx.Err() != nil:
		j.refuse(refusal(http.StatusServiceUnavailable, judge.ReasonDeadline, "no upstream took the request in time; it has not run"))
	default:
		j.refuse(refusal(http.StatusServiceUnavailable, judge.ReasonNoUpstream, "no upstream takes the request now; it has not run"))
	}
}

// target returns where the connector finds an upstream.
func (j *job) target(u registrar.Upstream) connector.Target {
	t := connector.Target{Upstream: Incarnation(u), Address: u.Address}
	if s, ok := j.belief.Table.Services[j.service]; ok && s.Connections > 0 {
		t.MaxConnections = max(2, int(connectionShare*float64(s.Connections))/max(j.p.cfg.Routers(), 1))
	}
	if !j.route.Repeatable() {
		t.FreshFor = freshConnection
	}
	return t
}

// attempt sends the request to one upstream and relays its answer.
func (j *job) attempt(choice placer.Choice) (verdict, *keptAnswer, error) {
	u := choice.Upstream
	now := time.Now()
	j.p.cfg.Health.Begin(u.ID, now)
	defer j.p.cfg.Placer.Done(u.ID)

	header := j.header.Clone()
	a := Attempt{
		Upstream: u.ID, Urgency: j.urgency, HasRemaining: j.HasRemaining || j.route.Timeout > 0,
		Remaining: time.Until(j.deadline), LastEvent: j.stream.lastEvent,
	}
	if service := j.belief.Table.Services[j.service]; service.Engine && j.stream.lastEvent == "" {
		a.CacheSource = choice.Source.Address
	}
	if j.owner != nil {
		a.Organisation = j.owner.Name
	}
	j.p.cfg.Codec.SetAttempt(header, a)

	ctx, cancel := context.WithCancelCause(j.ctx)
	defer cancel(nil)
	watch := j.watchSilence(cancel)
	defer watch.stop()
	exchange, err := j.p.cfg.Pool.Do(ctx, j.target(u), connector.Request{
		Method: j.r.Method, Target: j.r.RequestURI, Host: j.r.Host, Header: header, Body: j.body,
	}, func(status int, h http.Header) bool { return j.owns(status, h) })
	if err != nil {
		return j.noAnswer(ctx, u, err)
	}
	defer exchange.Close()
	j.arrivals++
	return j.relay(ctx, u, exchange, watch)
}

// owns reports whether an answer belongs to this request.
func (j *job) owns(status int, h http.Header) bool {
	id := j.p.cfg.Codec.DecodeReply(status, h).RequestID
	return id == j.ID || id == "" && status >= http.StatusMultipleChoices
}

// noAnswer judges an attempt without an answer.
func (j *job) noAnswer(ctx context.Context, u registrar.Upstream, err error) (verdict, *keptAnswer, error) {
	now := time.Now()
	var failure *connector.Error
	if errors.As(err, &failure) && failure.Fate == connector.NotSent {
		if !errors.Is(err, connector.ErrCrowded) && j.ctx.Err() == nil {
			j.p.cfg.Health.Record(u.ID, appraiser.Refused, now)
		}
		return notSent, nil, err
	}
	j.arrivals++
	j.runs++
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		j.p.cfg.Health.Record(u.ID, appraiser.Silent, now)
		return inDoubt, nil, errSilent
	case j.ctx.Err() != nil:
		if j.r.Context().Err() == nil {
			j.p.cfg.Health.Record(u.ID, appraiser.Silent, now)
		}
		return inDoubt, nil, j.ctx.Err()
	}
	j.broke(u, now)
	return inDoubt, nil, err
}

// broke notes that a connection broke while the upstream may have been running the request.
func (j *job) broke(u registrar.Upstream, now time.Time) {
	j.p.cfg.Health.Record(u.ID, appraiser.Broken, now)
	j.p.cfg.Crashes.RecordCrash(j.print, Incarnation(u), now)
}

// Incarnation names one life of an upstream: its identifier and address may come again.
func Incarnation(u registrar.Upstream) string {
	return u.ID + "/" + u.Address + "/" + time.UnixMilli(u.Born).UTC().Format("150405.000")
}

// silence ends an attempt at an upstream that shows no sign of life, if the request may go to another one.
type silence struct {
	timer *time.Timer
	limit time.Duration
}

func (j *job) watchSilence(cancel context.CancelCauseFunc) *silence {
	if !j.route.Repeatable() || j.runs+1 >= j.route.Attempts {
		return &silence{}
	}
	s := &silence{limit: max(gapFactor*j.route.Gap, minGap)}
	first := max(silenceFactor*j.route.Target, minSilence)
	if j.route.Kind == mapper.Stream {
		first = max(first, minGap)
	}
	s.timer = time.AfterFunc(first, func() { cancel(errSilent) })
	return s
}

// seen notes a sign of life in a stream.
func (s *silence) seen() {
	if s.timer != nil {
		s.timer.Reset(s.limit)
	}
}

func (s *silence) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}
