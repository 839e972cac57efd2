package agent

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"clementineramp/admitter"
	"clementineramp/encoder"
	"clementineramp/judge"
	"clementineramp/quarantiner"
	"clementineramp/recorder"
)

// maxBodyBytes limits the body of a request from a router, which has already enforced the limit for callers.
const maxBodyBytes = 64 << 20

// generation is one chat request at the engine, from its admission to the end of its answer.
type generation struct {
	agent       *Agent
	env         encoder.Envelope
	body        encoder.ChatRequest
	fingerprint quarantiner.Fingerprint
	// suspect means that the request was in flight at a crash, and currentRun is its current run at the engine.
	suspect    bool
	currentRun engineRun
	slot       *slot
	payment    payment
	stream     *recorder.Stream
	id         encoder.StreamID
	// offset is the number of events of the answer so far, including those that the router already had.
	offset int
	// tokens counts the events that this agent's engine emitted, and tokensBeforePause those up to the last pause.
	tokens, tokensBeforePause int
	// paused means that the request has been paused at least once; its prompt was counted as work at the first pause.
	paused bool
}

// serveChat starts the generation for a chat request and streams its events to the router.
func (a *Agent) serveChat(w http.ResponseWriter, r *http.Request) {
	env, err := a.readEnvelope(r)
	if err != nil {
		a.refuse(w, env, err)
		return
	}
	var body encoder.ChatRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&body); err != nil {
		a.refuse(w, env, judge.Refuse(judge.ReasonInvalid, "%w", err))
		return
	}
	beat := startHeartbeat(w)
	g, refusal, err := a.startGeneration(r.Context(), env, body)
	if err != nil {
		beat.stop()
		a.refuseWith(w, env, refusal, err)
		return
	}
	beat.report(a.Entry())
	a.follow(beat, r, g.id, g.stream, env, g.refusalOf)
}

// startGeneration admits a request, opens its stream and starts it at the engine in the background. With an error it
// returns the refusal to send.
func (a *Agent) startGeneration(ctx context.Context, env encoder.Envelope, body encoder.ChatRequest) (*generation, encoder.Refusal, error) {
	end, err := a.beginRequest()
	if err != nil {
		return nil, encoder.NewRefusal(err), err
	}
	g := &generation{agent: a, env: env, body: body, fingerprint: fingerprint(env, body), offset: env.Offset}
	if refusal, err := g.admit(ctx); err != nil {
		end()
		return nil, refusal, err
	}
	g.id = a.newStreamID()
	g.stream = a.recorder.Open(g.id, env.Organisation, env.Offset)
	go func() {
		defer end()
		g.run()
	}()
	return g, encoder.Refusal{}, nil
}

// admit waits until the request may run, or returns the refusal with what the router needs for its next attempt: the
// crash mark and, if known, the upstream to send the request to.
func (g *generation) admit(ctx context.Context) (encoder.Refusal, error) {
	a, env := g.agent, g.env
	suspect, err := a.suspects.admit(g.fingerprint, env.Mark)
	if err != nil {
		return g.refusalOf(err), err
	}
	if g.body.Version, err = a.engineState.servableVersion(g.body.Model, env.Version); err != nil {
		return g.refusalOf(err), err
	}
	cost := g.body.Cost()
	dest := a.chooseDestination(env, g.body)
	if dest.redirect != "" {
		err := judge.Refuse(judge.ReasonCachedElsewhere, "%s %s", dest.redirect, dest.reason)
		r := g.refusalOf(err)
		r.NextUpstream, r.Moved = dest.redirect, dest.newHolder
		return r, err
	}
	if g.payment, err = a.credit.pay(a.cfg.Now(), env.Rank, cost); err != nil {
		return g.refusalOf(err), err
	}
	g.slot, err = a.acquire(ctx, dest, admitter.Request{
		Rank: env.Rank, Organisation: env.Organisation, Weight: a.weightOf(env.Organisation),
		// A suspect request is queued instead of refused for load, since a refusal would change the order of the agents
		// that it is sent to.
		Cost: cost, Deadline: env.Deadline(), Last: env.LastAttempt || suspect, Suspect: suspect,
	})
	if err != nil {
		g.payment.settle(a.cfg.Now(), 0)
		r := g.refusalOf(err)
		r.NextUpstream, r.Moved = a.redirectOverLimit(env, cost, err), true
		return r, err
	}
	if g.currentRun, err = a.suspects.beginRun(g.fingerprint, suspect); err != nil {
		g.payment.settle(a.cfg.Now(), 0)
		g.slot.done(0)
		g.payment.settle(a.cfg.Now(), 0)
		return g.refusalOf(err), err
	}
	g.suspect = suspect
	a.locator.Record(env.ChatKey, a.cfg.Name, a.cfg.Now())
	return encoder.Refusal{}, nil
}

// fingerprint identifies a request in the quarantine; equal requests of an organisation have the same one.
func fingerprint(env encoder.Envelope, body encoder.ChatRequest) quarantiner.Fingerprint {
	return quarantiner.Fingerprint(body.Fingerprint(env.Organisation))
}

// run runs the generation to its end, with pauses, whether or not a router still follows it.
func (g *generation) run() {
	a := g.agent
	ctx, cancel := context.WithCancelCause(a.lifetime)
	defer cancel(nil)
	stop := a.followers.watch(g.stream, cancel)
	defer stop()
	var err error
	ran := false
	for {
		var paused bool
		paused, err = g.runOnce(ctx)
		if !paused {
			break
		}
		ran = true
		if err = g.resume(ctx); err != nil {
			break
		}
	}
	err = g.finishRun(errorAfterRun(ran, err))
	g.slot.done(g.workDone())
	g.payment.settle(a.cfg.Now(), float64(g.body.PromptTokens()+g.tokens))
	g.stream.Close(err)
	a.cfg.Log.Info("generated", "request", g.env.RequestID, "organisation", g.env.Organisation, "rank", g.env.Rank,
		"stream", g.id.String(), "events", g.tokens, "offset", g.offset, "error", err)
}

// resume waits for a slot after a pause and registers a new run at the engine.
func (g *generation) resume(ctx context.Context) error {
	g.tokensBeforePause, g.paused = g.tokens, true
	g.agent.suspects.endRun(g.currentRun, false)
	if err := g.slot.pause(ctx, g.workLeft()); err != nil {
		return err
	}
	var err error
	g.currentRun, err = g.agent.suspects.beginRun(g.fingerprint, g.suspect)
	return err
}

// errorAfterRun returns the error for a generation; ran means that the generation ran before it was paused. After a
// pause, the verdict "not run" of an error holds only for the continuation, so it becomes "may have run".
func errorAfterRun(ran bool, err error) error {
	var judged *judge.Error
	if !ran || !errors.As(err, &judged) || judged.Verdict != judge.NotRun {
		return err
	}
	adjusted := *judged
	adjusted.Verdict = judge.MayHaveRun
	return &adjusted
}

// errPreempted is the cancellation cause of an engine run that was preempted.
var errPreempted = errors.New("paused for a more urgent request")

// runOnce runs the request at the engine until the answer ends, fails or is paused.
func (g *generation) runOnce(ctx context.Context) (paused bool, err error) {
	a := g.agent
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	finished := make(chan struct{})
	defer close(finished)
	go func() {
		select {
		case <-g.slot.preempted:
			cancel(errPreempted)
		case <-finished:
		}
	}()
	err = a.engine.Generate(ctx, g.body, g.append)
	if err != nil && errors.Is(context.Cause(ctx), errPreempted) {
		_ = a.engine.Cancel(a.lifetime, g.body.RequestID)
		return true, nil
	}
	if cause := context.Cause(ctx); err != nil && (errors.Is(cause, errEngineUnresponsive) || errors.Is(cause, errVersionChange)) {
		return false, cause
	}
	return false, err
}

// append records an event of the engine in the stream and extends the prefix with which a paused request continues.
func (g *generation) append(ev encoder.Event) error {
	if ev.Done {
		ev.ID = encoder.EventID(g.id.String(), g.offset)
		return g.stream.Append(ev)
	}
	g.offset++
	g.tokens++
	g.body.Prefix += ev.Text
	ev.ID = encoder.EventID(g.id.String(), g.offset)
	return g.stream.Append(ev)
}

// workDone returns the work of the engine since the request last started, in tokens. The prompt counts in the first run
// only.
func (g *generation) workDone() float64 {
	if g.paused {
		return float64(g.tokens - g.tokensBeforePause)
	}
	return float64(g.body.PromptTokens() + g.tokens)
}

// workLeft returns the remaining work of a paused request, in tokens, which is at least 1.
func (g *generation) workLeft() float64 {
	return max(float64(g.body.AnswerTokenLimit()-g.offset), 1)
}

// finishRun ends the current run in the quarantine and returns the error for the followers of the answer.
func (g *generation) finishRun(err error) error {
	if judge.ReasonOf(err) == judge.ReasonEngineCrashed {
		return g.connectionBroke(err)
	}
	g.agent.suspects.endRun(g.currentRun, err == nil)
	return err
}

// follow writes the events of a stream after the offset of the envelope until the stream ends or the router
// disconnects.
func (a *Agent) follow(beat *heartbeat, r *http.Request, id encoder.StreamID, s *recorder.Stream, env encoder.Envelope, refusal func(error) encoder.Refusal) {
	a.followers.add(s)
	defer a.followers.remove(s)
	defer beat.stop()
	w := beat.w
	started := false
	err := s.ReadFrom(r.Context(), env.Offset, func(ev encoder.Event) error {
		if !started {
			started = true
			beat.stop()
			a.writeStreamHeader(w, id, env)
		}
		if err := encoder.WriteEvent(w, ev); err != nil {
			return err
		}
		return http.NewResponseController(w).Flush()
	})
	beat.stop()
	switch {
	case err == nil:
		// The entries of other agents were sent with the header; only the agent's own load has changed.
		a.setReport(w.Header(), encoder.Report{Self: a.Entry()})
	case r.Context().Err() != nil:
	case !started:
		a.refuseWith(w, env, refusal(err), err)
	default:
		_ = encoder.WriteErrorEvent(w, refusal(err))
	}
}

// writeStreamHeader writes the response header of a stream.
func (a *Agent) writeStreamHeader(w http.ResponseWriter, id encoder.StreamID, env encoder.Envelope) {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set(encoder.StreamHeader, id.String())
	h.Set(encoder.VersionHeader, a.engineState.version())
	a.setReport(h, a.report(env))
	// The load is lower after the answer, so another report is sent in the trailer.
	h.Set("Trailer", encoder.ReportHeader)
	w.WriteHeader(http.StatusOK)
}

// serveResume streams the rest of an answer that this agent has recorded, to the organisation that owns it.
func (a *Agent) serveResume(w http.ResponseWriter, r *http.Request) {
	env, err := a.readEnvelope(r)
	if err != nil {
		a.refuse(w, env, err)
		return
	}
	id, err := encoder.ParseStreamID(r.PathValue("id"))
	if err != nil {
		a.refuse(w, env, judge.Refuse(judge.ReasonInvalid, "%w", err))
		return
	}
	s, err := a.recorder.Find(id)
	if err != nil {
		a.refuse(w, env, err)
		return
	}
	if s.Owner() != env.Organisation {
		a.refuse(w, env, judge.Refuse(judge.ReasonNotFound, "no stream %s of organisation %s", id, env.Organisation))
		return
	}
	a.follow(startHeartbeat(w), r, id, s, env, encoder.NewRefusal)
}
