package agent

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"clementineramp/encoder"
	"clementineramp/gossiper"
	"clementineramp/judge"
	"clementineramp/quarantiner"
)

// probeTimeout limits the status read that checks whether an engine that broke a connection is still running.
const probeTimeout = 500 * time.Millisecond

// maxGossipMarks is the maximum number of crash marks in one exchange with a peer.
const maxGossipMarks = 32

// suspectTracker applies a quarantine to the generations at one engine.
type suspectTracker struct {
	log hclog.Logger
	now func() time.Time

	mu         sync.Mutex
	quarantine *quarantiner.Quarantine
	running    int
	// epoch counts the crashes of the engine, and outcomes holds the results of the last one for the requests in flight.
	epoch    int
	outcomes []quarantiner.Outcome
}

func newSuspectTracker(log hclog.Logger, now func() time.Time) *suspectTracker {
	return &suspectTracker{log: log, now: now, quarantine: quarantiner.New(quarantiner.Config{})}
}

// engineRun is one run of a request at the engine, with the number of engine crashes before it.
type engineRun struct {
	run   quarantiner.Run
	epoch int
}

// admit decides on a request that arrives with the given crash mark. It reports whether the request is a suspect, which
// must not run together with another suspect, or returns the refusal.
func (s *suspectTracker) admit(fp quarantiner.Fingerprint, mark int) (suspect bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.logDecision()
	return s.quarantine.Admit(s.now(), fp, mark)
}

// mark returns the crash mark of a request, for the router to send with its next attempt.
func (s *suspectTracker) mark(fp quarantiner.Fingerprint) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.Mark(s.now(), fp)
}

// beginRun registers a run. It fails if the quarantine refuses the request, or if another suspect is running.
func (s *suspectTracker) beginRun(fp quarantiner.Fingerprint, suspect bool) (engineRun, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run, err := s.quarantine.Begin(s.now(), fp, suspect)
	if err == nil {
		s.running++
	}
	return engineRun{run, s.epoch}, err
}

// endRun records the end of a run without a crash; completed means that the answer was completed.
func (s *suspectTracker) endRun(r engineRun, completed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.epoch != s.epoch {
		return
	}
	s.running--
	if completed {
		s.quarantine.Finish(s.now(), r.run)
	} else {
		s.quarantine.Abort(s.now(), r.run)
	}
}

// concurrentRuns returns the number of other runs at the engine at the same time as a run, or 0 if the engine has
// crashed since.
func (s *suspectTracker) concurrentRuns(r engineRun) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.epoch != s.epoch {
		return 0
	}
	return s.running - 1
}

// recordCrash records that a run ended with a crash of the engine, and reports whether its request is blocked from now
// on. Each crash is recorded once, by the first run that reports it.
func (s *suspectTracker) recordCrash(fp quarantiner.Fingerprint, r engineRun) (blocked bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.epoch == s.epoch {
		s.outcomes = s.quarantine.Crash(s.now())
		s.epoch++
		s.running = 0
		s.logDecision()
	}
	if r.epoch != s.epoch-1 {
		return false
	}
	for _, o := range s.outcomes {
		if o.Fingerprint == fp {
			return o.Blocked
		}
	}
	return false
}

// logDecision logs the latest decision if it was on a crash or on a suspect request; the caller holds mu.
func (s *suspectTracker) logDecision() {
	d := s.quarantine.LastDecision()
	if d.Action == quarantiner.ActionCrash || d.Suspect {
		s.log.Info("quarantine", d.Pairs()...)
	}
}

// Marks returns the crash marks to send to peers.
func (a *Agent) Marks() []gossiper.Mark {
	s := a.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := s.quarantine.Marks(maxGossipMarks, s.now())
	marks := make([]gossiper.Mark, len(entries))
	for i, e := range entries {
		marks[i] = gossiper.Mark{
			Fingerprint: uint64(e.Fingerprint), Count: e.Mark, Blocked: e.Blocked, RemainingMS: e.Remaining.Milliseconds(),
		}
	}
	return marks
}

// MergeMarks merges the crash marks of a peer into the quarantine.
func (a *Agent) MergeMarks(marks []gossiper.Mark) {
	entries := make([]quarantiner.Entry, len(marks))
	for i, m := range marks {
		entries[i] = quarantiner.Entry{
			Fingerprint: quarantiner.Fingerprint(m.Fingerprint), Mark: m.Count, Blocked: m.Blocked,
			Remaining: time.Duration(m.RemainingMS) * time.Millisecond,
		}
	}
	s := a.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.Merge(s.now(), entries)
}

// connectionBroke decides whether a broken connection to the engine was a crash, and returns the error for the
// followers of the answer.
func (g *generation) connectionBroke(err error) error {
	a := g.agent
	if a.lifetime.Err() != nil || a.engineStillRuns(g) {
		a.suspects.endRun(g.currentRun, false)
		return err
	}
	blocked := a.suspects.recordCrash(g.fingerprint, g.currentRun)
	a.cfg.OnCrash()
	if blocked {
		return &judge.Error{Verdict: judge.Ran, Reason: judge.ReasonCrashesUpstream, Err: err}
	}
	return err
}

// engineStillRuns reports whether the engine still runs other requests, in which case the broken connection was no
// crash. The status of an engine that had no other requests proves nothing, since it may have restarted already.
func (a *Agent) engineStillRuns(g *generation) bool {
	others := a.suspects.concurrentRuns(g.currentRun)
	ctx, cancel := context.WithTimeout(a.lifetime, probeTimeout)
	defer cancel()
	status, err := a.engine.Status(ctx)
	if err != nil {
		a.engineFailed(err)
		return false
	}
	return others > 0 && status.Running > 0
}

// refusalOf returns the refusal for an error, with the request's crash mark.
func (g *generation) refusalOf(err error) encoder.Refusal {
	r := encoder.NewRefusal(err)
	r.Mark = g.agent.suspects.mark(g.fingerprint)
	return r
}
