package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"clementineramp/caller"
	"clementineramp/chooser"
	"clementineramp/encoder"
	"clementineramp/forwarder"
	"clementineramp/judge"
	"clementineramp/tracker"
)

// maxContinuations is the maximum number of times that another agent continues an answer, or begins it anew, after an
// attempt that may have run.
const maxContinuations = 4

// budgetPollInterval is the mean time between two checks of an exhausted retry budget.
const budgetPollInterval = 200 * time.Millisecond

// minDeadline is the shortest deadline that is sent to an agent. It lets another agent continue an answer after the
// deadline of the request has passed, since that deadline applies only to the first byte of the answer.
const minDeadline = 5 * time.Second

// maxFailures is the maximum number of agents that may fail one request without running it, so that requests to a pool
// that is down fail fast.
const maxFailures = 8

const (
	// notReadyWait is the time after which agents whose engine was not ready are tried again.
	notReadyWait = 200 * time.Millisecond
	// maxNotReadyRounds is the number of times that they are tried again.
	maxNotReadyRounds = 3
)

// chatRoute is the state of routing one chat request.
type chatRoute struct {
	router *Router
	chat   caller.Chat
	emit   caller.Emit
	pool   string
	rank   int
	key    uint64
	env    encoder.Envelope
	body   encoder.ChatRequest
	// text is the part of the answer that was sent to the caller.
	text strings.Builder
	// candidates holds those candidates of the last choice that were not tried yet.
	candidates []chooser.Candidate
	// failed holds the upstreams that failed this request, and refused those that refused it for a reason specific to
	// them, such as a lack of capacity.
	failed, refused []string
	// notReady holds the upstreams in failed whose engine was not ready, and notReadyRounds is the number of times that
	// such upstreams were tried again.
	notReady       []string
	notReadyRounds int
	// mayHaveRun is true once an attempt of this request may have run.
	mayHaveRun bool
	// mayHaveRunAt holds the upstreams in failed at which the request may have run.
	mayHaveRunAt []string
	// advised is the upstream that was last advised by the refusal of an agent and was not tried at that time.
	advised string
	// preferred is the preferred upstream of the chat if it refused the request, and preferredAdvice the upstream that it
	// advised. Its agent keeps a record of where the chat runs.
	preferred, preferredAdvice string
	// secondPreferred is the second upstream in the chat's preference order, which is tried first when the preferred one is
	// unavailable.
	secondPreferred string
	// moved is true if the chat moves with this request to the upstream that the preferred one advised.
	moved bool
	// last is the last refusal or failure, which the caller receives when no candidate is left.
	last error
	// continuations counts the failed attempts that may have run; the request fails when it exceeds maxContinuations.
	continuations int
}

// chat serves a chat request through the agents of its pool.
func (r *Router) chat(ctx context.Context, c caller.Chat, emit caller.Emit) error {
	end, err := r.begin()
	if err != nil {
		return err
	}
	defer end()
	snapshot := r.cfg.Snapshot()
	pool, ok := snapshot.PoolOfModel(c.Body.Model)
	if !ok {
		return judge.Refuse(judge.ReasonNotFound, "no pool carries model %q", c.Body.Model)
	}
	_, rank, _ := snapshot.Rank(c.Rank)
	t := &chatRoute{
		router: r, chat: c, emit: emit, pool: pool.Name, rank: rank, body: c.Body,
		key: c.Body.ChatKey(c.Organisation.Name, c.Chat),
	}
	t.body.Stream = true
	t.body.Priority = rank
	if t.body.Seed == nil {
		// A fixed seed lets another engine continue the same generation.
		seed := rand.Int64()
		t.body.Seed = &seed
	}
	t.env = encoder.Envelope{
		RequestID: newRequestID(), Organisation: c.Organisation.Name, Rank: c.Rank, ChatKey: t.key,
		Mark: r.marks.raise(c.Body.Fingerprint(c.Organisation.Name), 0),
	}
	err = t.overallVerdict(t.run(ctx))
	r.logResult(t, err)
	return err
}

// overallVerdict returns err with a verdict that holds for all attempts of the request. A refusal with the verdict
// "not run" holds only for the attempt at that agent, so it becomes "may have run" if an earlier attempt may have run.
func (t *chatRoute) overallVerdict(err error) error {
	var judged *judge.Error
	if !t.mayHaveRun || !errors.As(err, &judged) || judged.Verdict != judge.NotRun {
		return err
	}
	adjusted := *judged
	adjusted.Verdict = judge.MayHaveRun
	return &adjusted
}

// run tries agents in the chat's preference order until one finishes the answer.
func (t *chatRoute) run(ctx context.Context) error {
	for {
		left := t.chat.Deadline - t.router.cfg.Now().Sub(t.chat.Started)
		if left <= 0 && t.text.Len() == 0 {
			return t.exhausted(judge.ReasonDeadline)
		}
		next, ok := t.next(ctx)
		if !ok {
			return t.exhausted(judge.ReasonNoUpstream)
		}
		err := t.attempt(ctx, next, max(left, minDeadline))
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return judge.Uncertain(judge.ReasonBroken, "caller left: %w", context.Cause(ctx))
		}
		if retry, err := t.handleFailure(ctx, next, err); !retry {
			return err
		}
	}
}

// exhausted returns the error for a request that no agent accepted: the last failure, or a refusal with the given reason
// if no agent was tried.
func (t *chatRoute) exhausted(reason judge.Reason) error {
	if t.last != nil {
		return t.last
	}
	return judge.Refuse(reason, "no upstream of pool %s can take the request", t.pool)
}

// next returns the next candidate and fills in the fields of the envelope that depend on it. It chooses again when all
// candidates of the last choice have been tried.
func (t *chatRoute) next(ctx context.Context) (chooser.Candidate, bool) {
	if len(t.candidates) == 0 && !t.choose() && !t.chooseAgain() && !t.chooseNotReady(ctx) {
		return chooser.Candidate{}, false
	}
	c := t.candidates[0]
	t.candidates = t.candidates[1:]
	t.env.Attempt = len(t.failed) + len(t.refused)
	t.env.Preferred = t.env.Attempt == 0
	t.env.Advised = t.advised != "" && t.advised == c.Name
	t.env.LastAttempt = len(t.candidates) == 0
	return c, true
}

// choose asks the chooser for candidates among the upstreams that were not tried, and logs the decision. It reports
// whether there are any.
func (t *chatRoute) choose() bool {
	r := t.router
	untried := t.untried()
	choice := r.chooser.Choose(t.key, t.body.Cost(), untried)
	if len(choice.Order) == 0 {
		choice = r.chooser.Choose(t.key, t.body.Cost(), leavingAsDown(untried))
	}
	t.candidates = choice.Order
	r.cfg.Log.Info("route", append([]any{
		"request", t.env.RequestID, "organisation", t.chat.Organisation.Name, "rank", t.chat.Rank,
		"pool", t.pool, "failed", len(t.failed), "refused", len(t.refused), "mark", t.env.Mark,
	}, choice.KeyValues()...)...)
	return len(t.candidates) > 0
}

// leavingAsDown changes the state of leaving upstreams to down, so that they are chosen as a last resort. An agent listed
// as leaving may have been restarted since, and one that is really leaving refuses the request itself.
func leavingAsDown(ups []chooser.Upstream) []chooser.Upstream {
	for i := range ups {
		if ups[i].State == chooser.Leaving {
			ups[i].State = chooser.Down
		}
	}
	return ups
}

// chooseAgain makes the agents that refused the request candidates again, once others have failed.
func (t *chatRoute) chooseAgain() bool {
	if len(t.refused) == 0 || len(t.failed) == 0 {
		return false
	}
	t.refused = nil
	return t.choose()
}

// chooseNotReady makes the agents whose engine was not ready candidates again after a short wait, if the request may have
// run elsewhere: an engine that changes its model version may be ready soon, and the caller could not tell what happened.
func (t *chatRoute) chooseNotReady(ctx context.Context) bool {
	if !t.mayHaveRun || len(t.notReady) == 0 || t.notReadyRounds == maxNotReadyRounds {
		return false
	}
	t.notReadyRounds++
	timer := time.NewTimer(notReadyWait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	t.failed = slices.DeleteFunc(t.failed, func(u string) bool { return slices.Contains(t.notReady, u) })
	t.notReady = nil
	return t.choose()
}

func (t *chatRoute) untried() []chooser.Upstream {
	return slices.DeleteFunc(t.router.cfg.View(t.pool), func(u chooser.Upstream) bool {
		return t.wasTried(u.Name)
	})
}

func (t *chatRoute) wasTried(upstream string) bool {
	return slices.Contains(t.failed, upstream) || slices.Contains(t.refused, upstream)
}

// attempt sends the request to one agent and forwards the events to the caller.
func (t *chatRoute) attempt(ctx context.Context, c chooser.Candidate, left time.Duration) error {
	r := t.router
	address, ok := r.cfg.Address(c.Name)
	if !ok {
		return &forwarder.Failure{Cause: judge.Refuse(judge.ReasonUnreachable, "no address of %s is known", c.Name)}
	}
	if t.env.Attempt == 0 {
		r.cfg.Retries.CountFirst(r.cfg.Now())
	}
	t.env.DeadlineMS = left.Milliseconds()
	t.env.Load = r.cfg.FreshestLoad(c.Name)
	t.body.RequestID = t.env.RequestID
	t.body.Prefix = t.text.String()
	begin := func(h http.Header) {
		t.env.Version = h.Get(encoder.VersionHeader)
		r.cfg.Observe(tracker.Observation{Upstream: c.Name, Outcome: tracker.Answered})
		t.notifyPlacement(ctx, c.Name)
	}
	return r.agents.Chat(ctx, address, t.env, t.body, begin, func(ev encoder.Event) error {
		if err := t.emit(ev); err != nil {
			return &emitError{err}
		}
		if !ev.Done {
			t.env.Offset++
			t.text.WriteString(ev.Text)
		}
		return nil
	})
}

// placementTimeout limits the time to send the message that reports which engine runs a chat; the answer does not wait
// for this message.
const placementTimeout = time.Second

// notifyPlacement reports which engine runs the chat to the agents that are tried first for the chat's next turn, unless
// they have that information already.
func (t *chatRoute) notifyPlacement(ctx context.Context, holder string) {
	if t.preferred == "" || holder == t.preferred {
		return
	}
	unexpected := holder != t.preferredAdvice
	if unexpected {
		t.sendPlacement(ctx, t.preferred, holder)
	}
	if (unexpected || t.moved) && t.secondPreferred != "" && t.secondPreferred != holder {
		t.sendPlacement(ctx, t.secondPreferred, holder)
	}
}

func (t *chatRoute) sendPlacement(ctx context.Context, agent, holder string) {
	r := t.router
	address, ok := r.cfg.Address(agent)
	if !ok {
		return
	}
	env := encoder.Envelope{RequestID: t.env.RequestID, Organisation: t.env.Organisation, ChatKey: t.key, Holder: holder}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), placementTimeout)
	go func() {
		defer cancel()
		if err := r.agents.NotifyPlacement(ctx, address, env); err != nil {
			r.cfg.Log.Debug("place_failed", "request", env.RequestID, "agent", agent, "error", err)
		}
	}()
}

// emitError is the error of an event that could not be sent to the caller.
type emitError struct{ err error }

func (e *emitError) Error() string { return "caller is gone: " + e.err.Error() }

func (e *emitError) Unwrap() error { return e.err }

// handleFailure records a failed attempt. It reports whether the next agent is to be tried, and if not, returns the error
// for the caller.
func (t *chatRoute) handleFailure(ctx context.Context, c chooser.Candidate, err error) (retry bool, result error) {
	r := t.router
	var emitErr *emitError
	if errors.As(err, &emitErr) {
		return false, judge.Uncertain(judge.ReasonBroken, "%w", err)
	}
	var f *forwarder.Failure
	if !errors.As(err, &f) {
		return false, err
	}
	r.observe(c.Name, f)
	t.mayHaveRun = t.mayHaveRun || f.Cause.Verdict != judge.NotRun
	t.env.Mark = r.marks.raise(t.chat.Body.Fingerprint(t.chat.Organisation.Name), max(f.Mark, t.env.Mark))
	t.last = f.Cause
	r.cfg.Log.Info("attempt_failed", "request", t.env.RequestID, "upstream", c.Name, "reason", f.Cause.Reason,
		"verdict", f.Cause.Verdict, "mark", t.env.Mark, "offset", t.env.Offset, "error", f.Cause.Err)
	if isFinal(f.Cause.Reason) {
		return false, f.Cause
	}
	if isAgentSpecific(f.Cause.Reason) {
		t.refused = append(t.refused, c.Name)
		if t.env.Preferred {
			t.preferred, t.preferredAdvice, t.moved = c.Name, f.NextUpstream, f.Moved
			if len(t.candidates) > 0 {
				t.secondPreferred = t.candidates[0].Name
			}
		}
		t.advise(f.NextUpstream)
		return !t.env.LastAttempt, f.Cause
	}
	t.failed = append(t.failed, c.Name)
	if f.Cause.Verdict == judge.NotRun {
		if f.Cause.Reason == judge.ReasonNotReady {
			t.notReady = append(t.notReady, c.Name)
		}
		return len(t.failed) <= maxFailures, f.Cause
	}
	t.mayHaveRunAt = append(t.mayHaveRunAt, c.Name)
	// A chat request is idempotent, so it may be retried within the retry budget even if it may have run.
	t.continuations++
	if t.continuations > maxContinuations {
		return false, f.Cause
	}
	if t.env.Offset > 0 {
		// An answer that has begun is continued without regard to the retry budget: the retry costs no more than the part of
		// the answer that was lost.
		r.count("continuations")
		// Refusals from before the answer began may be long outdated.
		t.failed, t.refused, t.candidates = slices.Clone(t.mayHaveRunAt), nil, nil
		return true, nil
	}
	return t.waitForBudget(ctx, f.Cause)
}

// waitForBudget waits until the retry budget allows a retry, at most until the deadline of the request.
func (t *chatRoute) waitForBudget(ctx context.Context, cause *judge.Error) (retry bool, result error) {
	r := t.router
	for !r.cfg.Retries.AllowRetry(r.cfg.Now()) {
		if r.cfg.Now().Sub(t.chat.Started) >= t.chat.Deadline {
			r.count("retries_refused")
			return false, &judge.Error{Verdict: cause.Verdict, Reason: judge.ReasonRetryBudget, Err: cause, RetryAfter: time.Second}
		}
		timer := time.NewTimer(budgetPollInterval/2 + rand.N(budgetPollInterval))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return false, judge.Uncertain(judge.ReasonBroken, "caller left: %w", context.Cause(ctx))
		}
	}
	r.count("retries")
	return true, nil
}

// isFinal reports whether every other agent would refuse for the same reason.
func isFinal(r judge.Reason) bool {
	return r == judge.ReasonCrashesUpstream || r == judge.ReasonInvalid || r == judge.ReasonDeadline
}

// isAgentSpecific reports whether a refusal depends on the state of the agent, so that another agent of the pool may accept
// the request.
func isAgentSpecific(r judge.Reason) bool {
	return r == judge.ReasonLoadBound || r == judge.ReasonQueueFull || r == judge.ReasonCachedElsewhere || r == judge.ReasonNoCredit
}

// advise makes the upstream that an agent advised the next candidate.
func (t *chatRoute) advise(upstream string) {
	if upstream == "" || t.wasTried(upstream) {
		return
	}
	t.advised = upstream
	t.candidates = slices.DeleteFunc(t.candidates, func(c chooser.Candidate) bool { return c.Name == upstream })
	t.candidates = slices.Insert(t.candidates, 0, chooser.Candidate{Upstream: chooser.Upstream{Name: upstream}})
}

// observe records what a failure shows about the state of an upstream.
func (r *Router) observe(upstream string, f *forwarder.Failure) {
	o := tracker.Observation{Upstream: upstream, Outcome: tracker.Answered}
	switch f.Cause.Reason {
	case judge.ReasonLeaving:
		o.Outcome = tracker.Leaving
	case judge.ReasonNotReady, judge.ReasonEngineCrashed:
		o.Outcome = tracker.NotReady
	case judge.ReasonUnreachable, judge.ReasonBroken:
		if !f.Answered {
			o.Outcome = tracker.ConnectionRefused
		}
	case judge.ReasonTimeout:
		if !f.Answered {
			o.Outcome = tracker.TimedOut
		}
	default:
	}
	r.cfg.Observe(o)
}

func (r *Router) logResult(t *chatRoute, err error) {
	elapsed := r.cfg.Now().Sub(t.chat.Started).Milliseconds()
	if err == nil {
		r.count("chats_answered")
		r.cfg.Log.Info("answered", "request", t.env.RequestID, "organisation", t.chat.Organisation.Name,
			"rank", t.chat.Rank, "events", t.env.Offset, "continuations", t.continuations, "elapsed_ms", elapsed)
		return
	}
	r.count("chats_failed")
	r.cfg.Log.Info("not_answered", "request", t.env.RequestID, "organisation", t.chat.Organisation.Name,
		"rank", t.chat.Rank, "verdict", judge.VerdictOf(err), "reason", judge.ReasonOf(err), "events", t.env.Offset,
		"elapsed_ms", elapsed, "error", err)
}
