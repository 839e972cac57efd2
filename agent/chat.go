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

// maxBodyBytes bounds the body of a request from a router, which has checked the caller's own limit.
const maxBodyBytes = 64 << 20

// generation is one chat request at the engine.
type generation struct {
	agent       *Agent
	env         encoder.Envelope
	body        encoder.ChatRequest
	fingerprint quarantiner.Fingerprint
	slot        *slot
	payment     payment
	stream      *recorder.Stream
	id          encoder.StreamID
	// offset is the number of events of the answer so far, with those that the router had before.
	offset int
	// tokens counts the events that this agent's engine emitted, and before those of them before the last pause.
	tokens, before int
	// paused says that the request has been paused; its prompt was counted then.
	paused bool
}

// serveChat runs a chat request and follows its stream.
func (a *Agent) serveChat(w http.ResponseWriter, r *http.Request) {
	env, err := a.envelope(r)
	if err != nil {
		a.refuse(w, env, err)
		return
	}
	var body encoder.ChatRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&body); err != nil {
		a.refuse(w, env, judge.Refuse(judge.ReasonInvalid, "%w", err))
		return
	}
	g, refusal, err := a.startGeneration(r.Context(), env, body)
	if err != nil {
		a.refuseWith(w, env, refusal, err)
		return
	}
	a.follow(w, r, g.id, g.stream, env.Offset)
}

// startGeneration admits a request and starts it at the engine.
func (a *Agent) startGeneration(ctx context.Context, env encoder.Envelope, body encoder.ChatRequest) (*generation, encoder.Refusal, error) {
	end, err := a.begin()
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

// admit waits until the request may run, or returns the refusal with what the router should know for its next try.
func (g *generation) admit(ctx context.Context) (encoder.Refusal, error) {
	a, env := g.agent, g.env
	version, err := a.engineState.serving(g.body.Model, env.Version)
	if err != nil {
		r := encoder.NewRefusal(err)
		r.Mark = a.quarantine.Mark(a.cfg.Now(), g.fingerprint)
		return r, err
	}
	g.body.Version = version
	mark, err := a.quarantine.Admit(a.cfg.Now(), g.fingerprint, env.Mark)
	if err != nil {
		r := encoder.NewRefusal(err)
		r.Mark = mark
		return r, err
	}
	cost := g.body.Cost()
	if upstream, ok := a.redirect(env, cost); ok {
		a.quarantine.Leave(g.fingerprint)
		err := judge.Refuse(judge.ReasonElsewhere, "the prefix of the chat is cached at %s", upstream)
		r := encoder.NewRefusal(err)
		r.Try = upstream
		return r, err
	}
	if g.payment, err = a.credit.pay(a.cfg.Now(), env.Rank, cost); err != nil {
		a.quarantine.Leave(g.fingerprint)
		r := encoder.NewRefusal(err)
		r.Mark = mark
		return r, err
	}
	g.slot, err = a.gate.acquire(ctx, admitter.Request{
		Rank: env.Rank, Organisation: env.Organisation, Weight: a.weight(env.Organisation),
		Cost: cost, Deadline: env.Deadline(), Last: env.Last, Suspect: mark > 0,
	})
	if err != nil {
		g.payment.settle(a.cfg.Now(), 0)
		a.quarantine.Leave(g.fingerprint)
		r := encoder.NewRefusal(err)
		r.Mark, r.Try = mark, a.displace(env, cost, err)
		return r, err
	}
	if env.Home {
		a.locator.Return(env.ChatKey)
	}
	return encoder.Refusal{}, nil
}

func fingerprint(env encoder.Envelope, body encoder.ChatRequest) quarantiner.Fingerprint {
	return quarantiner.Fingerprint(body.Fingerprint(env.Organisation))
}

// run carries the generation through pauses to its end, whether or not a router still follows it.
func (g *generation) run() {
	a := g.agent
	ctx, cancel := context.WithCancelCause(a.lifetime)
	defer cancel(nil)
	stop := a.abandon.watch(g.stream, cancel)
	defer stop()
	var err error
	for {
		var paused bool
		paused, err = g.runOnce(ctx)
		if !paused {
			break
		}
		g.before, g.paused = g.tokens, true
		if err = g.slot.pause(ctx, g.workLeft()); err != nil {
			break
		}
	}
	if err != nil {
		err = g.fail(err)
	} else {
		a.quarantine.Finish(a.cfg.Now(), g.fingerprint)
	}
	g.slot.done(g.workDone())
	g.payment.settle(a.cfg.Now(), float64(g.body.PromptTokens()+g.tokens))
	g.stream.Close(err)
	a.cfg.Log.Info("generated", "request", g.env.RequestID, "organisation", g.env.Organisation, "rank", g.env.Rank,
		"stream", g.id.String(), "events", g.tokens, "offset", g.offset, "error", err)
}

// errPreempted is the cause of a stream that made room for a more urgent one.
var errPreempted = errors.New("paused for a more urgent request")

// runOnce runs the engine until the answer ends, fails or is paused.
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
	return false, err
}

// append records an event of the engine.
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

// workDone returns the work that the engine did since the request last started, in tokens.
func (g *generation) workDone() float64 {
	if g.paused {
		return float64(g.tokens - g.before)
	}
	return float64(g.body.PromptTokens() + g.tokens)
}

// workLeft returns the work that a paused request still needs, in tokens.
func (g *generation) workLeft() float64 {
	return max(float64(g.body.AnswerTokens()-g.offset), 1)
}

// fail learns from a failed generation and returns the error for those who follow it.
func (g *generation) fail(err error) error {
	a := g.agent
	if judge.ReasonOf(err) == judge.ReasonEngineCrashed && a.lifetime.Err() == nil {
		return a.crashed(g, err)
	}
	a.quarantine.Leave(g.fingerprint)
	return err
}

// follow writes the events of a stream after an offset until it ends or the router leaves.
func (a *Agent) follow(w http.ResponseWriter, r *http.Request, id encoder.StreamID, s *recorder.Stream, offset int) {
	a.abandon.join(s)
	defer a.abandon.leave(s)
	started := false
	err := s.ReadFrom(r.Context(), offset, func(ev encoder.Event) error {
		if !started {
			started = true
			a.writeStreamHeader(w, id)
		}
		if err := encoder.WriteEvent(w, ev); err != nil {
			return err
		}
		return http.NewResponseController(w).Flush()
	})
	switch {
	case err == nil:
		w.Header().Set(encoder.ReportHeader, encoder.EncodeHeader(a.report()))
	case r.Context().Err() != nil:
	case !started:
		refusal := encoder.NewRefusal(err)
		refusal.Mark = a.markOf(err)
		a.refuseWith(w, encoder.Envelope{}, refusal, err)
	default:
		_ = encoder.WriteErrorEvent(w, err)
	}
}

func (a *Agent) writeStreamHeader(w http.ResponseWriter, id encoder.StreamID) {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set(encoder.StreamHeader, id.String())
	h.Set(encoder.VersionHeader, a.engineState.version())
	h.Set(encoder.ReportHeader, encoder.EncodeHeader(a.report()))
	// The load is lower after the answer, so the report is sent again in the trailer.
	h.Set("Trailer", encoder.ReportHeader)
	w.WriteHeader(http.StatusOK)
}

// serveResume follows a stream that this agent holds.
func (a *Agent) serveResume(w http.ResponseWriter, r *http.Request) {
	env, err := a.envelope(r)
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
	a.follow(w, r, id, s, env.Offset)
}
