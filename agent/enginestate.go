package agent

import (
	"context"
	"sync"
	"time"

	"clementineramp/engine"
	"clementineramp/judge"
	"clementineramp/planner"
)

// pollInterval is the time between two reads of the engine's status, and the timeout of a read.
const pollInterval = time.Second

// pollRetryInterval is the time between reads while the engine does not respond, so that it is soon used again once it
// does.
const pollRetryInterval = 200 * time.Millisecond

// maxFailedReads is the number of consecutive failed status reads after which the engine counts as unresponsive.
const maxFailedReads = 3

var (
	// errEngineUnresponsive is the cancellation cause of a generation whose engine keeps its connection open but sends
	// nothing.
	errEngineUnresponsive = judge.Uncertain(judge.ReasonTimeout, "the engine does not answer")
	// errVersionChange is the cancellation cause of a generation that did not end before a change of the model version.
	errVersionChange = judge.Uncertain(judge.ReasonTimeout, "the engine changes its model version")
)

// engineState is the last known state of the engine.
type engineState struct {
	mu     sync.Mutex
	status engine.Status
	alive  bool
	// failedReads is the number of consecutive failed status reads.
	failedReads int
	// readAt is when the last successful status read ended.
	readAt time.Time
	// changing means that the engine is being drained for a change of version, or is changing it.
	changing bool
	// expected is the desired placement that was last observed to be loaded; the zero value means that none is known.
	expected planner.Placement
	// readySince is when the engine came up or last changed its readiness, model or version.
	readySince time.Time
}

// servableVersion returns the loaded version if the engine can serve a request for a model and version; an empty
// version means any. Otherwise it returns the refusal.
func (s *engineState) servableVersion(model, version string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.alive:
		return "", judge.Refuse(judge.ReasonNotReady, "the engine does not answer")
	case !s.status.Ready || s.status.Model != model:
		return "", judge.Refuse(judge.ReasonNotReady, "the engine does not serve model %q", model)
	case s.changing:
		return "", judge.Refuse(judge.ReasonNotReady, "the engine is about to change its model version")
	case s.expected.Version != "" && s.expected.Version != s.status.Version:
		return "", judge.Refuse(judge.ReasonWrongVersion, "the engine serves version %q, which was not ordered", s.status.Version)
	case version != "" && s.status.Version != version:
		return "", judge.Refuse(judge.ReasonWrongVersion, "the engine serves version %q, want %q", s.status.Version, version)
	}
	return s.status.Version, nil
}

// update stores a status and reports whether the engine came up or changed its readiness, model or version.
func (s *engineState) update(status engine.Status, now time.Time) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed = !s.alive || status.Version != s.status.Version || status.Ready != s.status.Ready || status.Model != s.status.Model
	s.status = status
	s.alive = true
	s.failedReads = 0
	s.readAt = now
	if changed {
		s.readySince = now
	}
	return changed
}

// recordFailure records a failed status read. It reports whether the engine responded before, and whether it has just
// become unresponsive by maxFailedReads.
func (s *engineState) recordFailure() (changed, unresponsive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed = s.alive
	s.alive = false
	s.failedReads++
	return changed, s.failedReads == maxFailedReads
}

// lastRead returns the last status and when it was read; the time is zero before the first.
func (s *engineState) lastRead() (status engine.Status, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status, s.readAt
}

func (s *engineState) setExpected(p planner.Placement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expected = p
}

func (s *engineState) setChanging(changing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changing = changing
}

// current returns the last status, whether the engine responded to the last read, and since when it has had that state.
func (s *engineState) current() (status engine.Status, alive bool, readySince time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status, s.alive, s.readySince
}

func (s *engineState) version() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status.Version
}

func (s *engineState) isChanging() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changing
}

// pollEngine reads the engine's status until ctx is cancelled.
func (a *Agent) pollEngine(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := pollInterval
		if !a.readEngine(ctx) {
			wait = pollRetryInterval
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
	return nil
}

// readEngine reads the engine's status once and reports whether the engine responded.
func (a *Agent) readEngine(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, pollInterval)
	defer cancel()
	status, err := a.engine.Status(ctx)
	if err != nil {
		a.engineFailed(err)
		return false
	}
	if a.engineState.update(status, a.cfg.Now()) {
		a.cfg.Log.Info("engine", "model", status.Model, "version", status.Version, "ready", status.Ready, "slots", status.Slots)
	}
	return true
}

// engineFailed records that the engine did not respond. Generations at an unresponsive engine are cancelled, so that
// routers continue them elsewhere.
func (a *Agent) engineFailed(err error) {
	changed, unresponsive := a.engineState.recordFailure()
	if changed {
		a.cfg.Log.Warn("engine_down", "address", a.cfg.Upstream, "error", err)
	}
	if unresponsive {
		a.cfg.Log.Warn("engine_frozen", "address", a.cfg.Upstream, "running", a.Running())
		a.followers.cancelAll(errEngineUnresponsive)
	}
}
