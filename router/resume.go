package router

import (
	"context"
	"errors"

	"clementineramp/caller"
	"clementineramp/encoder"
	"clementineramp/forwarder"
	"clementineramp/judge"
)

// resume forwards the rest of an answer from the agent that holds its stream.
func (r *Router) resume(ctx context.Context, q caller.Resume, emit caller.Emit) error {
	end, err := r.begin()
	if err != nil {
		return err
	}
	defer end()
	address, ok := r.cfg.Address(q.Stream.Agent)
	if !ok {
		return judge.Uncertain(judge.ReasonStreamLost, "the agent %s of the stream is not in the list of hosts", q.Stream.Agent)
	}
	env := encoder.Envelope{
		RequestID: newRequestID(), Organisation: q.Organisation.Name, Offset: q.Offset,
		DeadlineMS: r.cfg.FirstByte.Milliseconds(),
	}
	r.cfg.Log.Info("resume", "request", env.RequestID, "organisation", env.Organisation,
		"stream", q.Stream.String(), "chose", q.Stream.Agent, "offset", q.Offset, "reason", "holder_of_stream")
	err = r.agents.Resume(ctx, address, q.Stream, env, emit)
	var f *forwarder.Failure
	if errors.As(err, &f) {
		r.observe(q.Stream.Agent, f)
		return f.Cause
	}
	return err
}
