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

// probeTimeout bounds the question whether an engine that broke a connection is still alive.
const probeTimeout = 500 * time.Millisecond

// maxGossipMarks bounds the marks in one exchange with a peer.
const maxGossipMarks = 32

// suspects carries out the decisions of a quarantine for the generations at one engine.
type suspects struct {
	log hclog.Logger
	now func() time.Time

	mu         sync.Mutex
	quarantine *quarantiner.Quarantine
	running    int
	// epoch counts the crashes of the engine, and outcomes holds what the last one meant for the requests in flight.
	epoch    int
	outcomes []quarantiner.Outcome
}

func newSuspects(log hclog.Logger, now func() time.Time) *suspects {
	return &suspects{log: log, now: now, quarantine: quarantiner.New(quarantiner.Config{})}
}

// trial is one run of a request at the engine.
type trial struct {
	run   quarantiner.Run
	epoch int
}

// admit judges a request that arrives and reports whether it must run apart from other marked ones.
func (s *suspects) admit(fp quarantiner.Fingerprint, mark int) (marked bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.explain()
	return s.quarantine.Admit(s.now(), fp, mark)
}

// mark returns the mark that the router should carry on.
func (s *suspects) mark(fp quarantiner.Fingerprint) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.Mark(s.now(), fp)
}

func (s *suspects) begin(fp quarantiner.Fingerprint, marked bool) (trial, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run, err := s.quarantine.Begin(s.now(), fp, marked)
	if err == nil {
		s.running++
	}
	return trial{run, s.epoch}, err
}

// end says that a run ended without a crash.
func (s *suspects) end(t trial, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.epoch != s.epoch {
		return
	}
	s.running--
	if whole {
		s.quarantine.Finish(s.now(), t.run)
	} else {
		s.quarantine.Abort(s.now(), t.run)
	}
}

// others returns the number of further runs that were at the engine together with one.
func (s *suspects) others(t trial) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.epoch != s.epoch {
		return 0
	}
	return s.running - 1
}

// crash says that a run ended with a crash of the engine, and reports whether its request was convicted.
func (s *suspects) crash(fp quarantiner.Fingerprint, t trial) (convicted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.epoch == s.epoch {
		s.outcomes = s.quarantine.Crash(s.now())
		s.epoch++
		s.running = 0
		s.explain()
	}
	if t.epoch != s.epoch-1 {
		return false
	}
	for _, o := range s.outcomes {
		if o.Fingerprint == fp {
			return o.Blocked
		}
	}
	return false
}

// explain logs the latest decision; the caller holds the lock.
func (s *suspects) explain() {
	d := s.quarantine.Explain()
	if d.Action == quarantiner.ActionCrash || d.Marked {
		s.log.Info("quarantine", d.Pairs()...)
	}
}

// Marks returns the crash marks to pass on to peers.
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

// MergeMarks takes crash marks of a peer.
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

// broke decides what a broken connection to the engine means and returns the error for those who follow the answer.
func (g *generation) broke(err error) error {
	a := g.agent
	if a.lifetime.Err() != nil || a.engineLives(g) {
		a.suspects.end(g.trial, false)
		return err
	}
	convicted := a.suspects.crash(g.fingerprint, g.trial)
	a.cfg.OnCrash()
	if convicted {
		return &judge.Error{Verdict: judge.Ran, Reason: judge.ReasonCrashesUpstream, Err: err}
	}
	return err
}

// engineLives reports whether the engine still runs other requests, so that one broken connection is no crash.
// An engine without other requests may have restarted already, which looks the same as one that lives.
func (a *Agent) engineLives(g *generation) bool {
	others := a.suspects.others(g.trial)
	ctx, cancel := context.WithTimeout(a.lifetime, probeTimeout)
	defer cancel()
	status, err := a.engine.Status(ctx)
	if err != nil {
		a.engineFailed(err)
		return false
	}
	return others > 0 && status.Running > 0
}

// refusalOf returns the refusal for a generation with the request's crash mark.
func (g *generation) refusalOf(err error) encoder.Refusal {
	r := encoder.NewRefusal(err)
	r.Mark = g.agent.suspects.mark(g.fingerprint)
	return r
}
