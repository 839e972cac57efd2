package quarantiner_test

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"clementineramp/judge"
	"clementineramp/quarantiner"
)

const (
	fleetAgents      = 4
	fleetAttempts    = 3
	fleetSlots       = 3
	harmlessRequests = 5
	crashing         = quarantiner.Fingerprint(1000)
	markLifetime     = time.Minute
	blockLifetime    = 5 * time.Minute
	gossipMargin     = time.Second
	// gossipHops is the largest number of exchanges that an entry needs to reach every agent of the fleet.
	gossipHops = fleetAgents
)

// drawFunc draws a number in [0, n).
type drawFunc func(n int, label string) int

// job is one sending of a request by its caller; a router offers it to the agents in the preference order of its chat.
type job struct {
	fp        quarantiner.Fingerprint
	order     []int
	next      int
	mark      int
	suspect   bool
	run       quarantiner.Run
	startedAt time.Time
}

// simAgent is a simulated agent with its queue and engine.
type simAgent struct {
	q       *quarantiner.Quarantine
	queue   []*job
	running []*job
	// crashes holds the times at which the engine crashed.
	crashes []time.Time
	// markedAt is the time of the last crash of this engine that marked each request.
	markedAt map[quarantiner.Fingerprint]time.Time
	// blockedAt is the time at which this agent blocked the crashing request.
	blockedAt time.Time
}

// fleet simulates agents and routers that use quarantines, with a simulated clock and no network.
type fleet struct {
	draw drawFunc
	now  time.Time
	// blocked is the time at which each request was last blocked by any agent.
	blocked map[quarantiner.Fingerprint]time.Time
	agents  []*simAgent
	orders  map[quarantiner.Fingerprint][]int
	// forwardMarks makes routers forward marks from one agent to the next.
	forwardMarks bool
	// gossip makes all agents exchange entries after each crash.
	gossip bool
	// refuseLoad makes agents also refuse requests at random, as they do at the load limit.
	refuseLoad bool
	// noOverlap makes the caller send the crashing request again only after its last sending has ended.
	noOverlap bool
	// window is the period within which at most two engines may crash; zero means the whole run.
	window     time.Duration
	violations []string
}

func newFleet(draw drawFunc) *fleet {
	f := &fleet{draw: draw, now: time.Unix(0, 0), orders: map[quarantiner.Fingerprint][]int{}, forwardMarks: true, blocked: map[quarantiner.Fingerprint]time.Time{}}
	for range fleetAgents {
		f.agents = append(f.agents, &simAgent{
			q:        quarantiner.New(quarantiner.Config{MarkLifetime: markLifetime, BlockLifetime: blockLifetime, GossipMargin: gossipMargin}),
			markedAt: map[quarantiner.Fingerprint]time.Time{},
		})
	}
	f.orders[crashing] = f.permutation()
	for i := range harmlessRequests {
		f.orders[quarantiner.Fingerprint(i+1)] = f.permutation()
	}
	return f
}

func (f *fleet) permutation() []int {
	order := make([]int, fleetAgents)
	for i := range order {
		order[i] = i
	}
	for i := len(order) - 1; i > 0; i-- {
		j := f.draw(i+1, "order")
		order[i], order[j] = order[j], order[i]
	}
	return order
}

func (f *fleet) violation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf("at %v: ", f.now.Sub(time.Unix(0, 0)))+fmt.Sprintf(format, args...))
}

// crashedEngines returns the number of distinct engines that crashed after a time, and the number of their crashes.
func (f *fleet) crashedEngines(since time.Time) (engines, crashes int) {
	for _, m := range f.agents {
		n := 0
		for _, at := range m.crashes {
			if at.After(since) {
				n++
			}
		}
		crashes += n
		engines += min(n, 1)
	}
	return engines, crashes
}

// inProgress reports whether a copy of a request waits or runs somewhere.
func (f *fleet) inProgress(fp quarantiner.Fingerprint) bool {
	for _, m := range f.agents {
		for _, j := range slices.Concat(m.queue, m.running) {
			if j.fp == fp {
				return true
			}
		}
	}
	return false
}

// submit simulates one sending by a caller.
func (f *fleet) submit(fp quarantiner.Fingerprint) {
	f.route(&job{fp: fp, order: f.orders[fp]})
}

// route simulates a router: it offers the job to the next agents in its preference order.
func (f *fleet) route(j *job) {
	for ; j.next < fleetAttempts; j.next++ {
		m := f.agents[j.order[j.next]]
		suspect, err := m.q.Admit(f.now, j.fp, j.mark)
		j.suspect = suspect
		if err == nil && f.refuseLoad && f.draw(4, "load") == 0 {
			err = judge.Refuse(judge.ReasonLoadBound, "load limit")
		}
		if err == nil {
			m.queue = append(m.queue, j)
			return
		}
		if !f.handleRefusal(m, j, err) {
			return
		}
	}
}

// handleRefusal checks a refusal, reads the mark that came with it, and reports whether the router may try the next agent.
func (f *fleet) handleRefusal(m *simAgent, j *job, err error) bool {
	if judge.VerdictOf(err) != judge.NotRun {
		f.violation("a refusal has verdict %v", judge.VerdictOf(err))
	}
	reason := judge.ReasonOf(err)
	last, suspect := m.markedAt[j.fp]
	if j.fp != crashing && reason == judge.ReasonCrashesUpstream {
		f.checkHarmlessBlocked(j.fp)
	}
	if j.fp != crashing && reason == judge.ReasonSuspect && (!suspect || f.now.Sub(last) >= markLifetime) {
		f.violation("harmless request %v is refused %v after the crash that marked it", j.fp, f.now.Sub(last))
	}
	if f.forwardMarks {
		j.mark = max(j.mark, m.q.Mark(f.now, j.fp))
	}
	return reason != judge.ReasonCrashesUpstream
}

// checkHarmlessBlocked checks that a harmless request is refused as blocked only where agents also refuse for load, and
// only while its block lasts. There it can be blocked: it ran as the only suspect request alongside the crashing one, which
// had no mark because an agent had refused it for load.
func (f *fleet) checkHarmlessBlocked(fp quarantiner.Fingerprint) {
	at, ok := f.blocked[fp]
	if !f.refuseLoad || !ok || f.now.Sub(at) >= blockLifetime {
		f.violation("harmless request %v is refused as blocked %v after it was blocked", fp, f.now.Sub(at))
	}
}

// startRuns simulates the queue of an agent, which runs at most one suspect request at a time.
func (f *fleet) startRuns(m *simAgent) {
	waiting := m.queue
	m.queue = nil
	for _, j := range waiting {
		if len(m.running) == fleetSlots || j.suspect && m.hasSuspectRun() {
			m.queue = append(m.queue, j)
			continue
		}
		run, err := m.q.Begin(f.now, j.fp, j.suspect)
		switch {
		case err == nil:
			j.run, j.startedAt = run, f.now
			m.running = append(m.running, j)
		case errors.Is(err, quarantiner.ErrSuspectRunning):
			m.queue = append(m.queue, j)
		case f.handleRefusal(m, j, err):
			j.next++
			f.route(j)
		}
	}
}

func (m *simAgent) hasSuspectRun() bool {
	for _, j := range m.running {
		if j.suspect {
			return true
		}
	}
	return false
}

// endRun ends the i-th running job: a harmless request finishes or is aborted, the crashing one crashes the engine.
func (f *fleet) endRun(m *simAgent, i int) {
	j := m.running[i]
	if j.fp == crashing {
		f.crash(m, j)
		return
	}
	m.running = append(m.running[:i:i], m.running[i+1:]...)
	if f.draw(3, "leave") == 0 {
		m.q.Abort(f.now, j.run)
		return
	}
	m.q.Finish(f.now, j.run)
	if m.q.Mark(f.now, j.fp) != 0 {
		f.violation("harmless request %v has a mark after it finished", j.fp)
	}
}

func (f *fleet) crash(m *simAgent, trigger *job) {
	interrupted := m.running
	m.running = nil
	f.checkCrash(m, trigger)
	outcomes := map[quarantiner.Fingerprint]quarantiner.Outcome{}
	for _, o := range m.q.Crash(f.now) {
		outcomes[o.Fingerprint] = o
		if o.Blocked {
			f.blocked[o.Fingerprint] = f.now
		}
		if o.Blocked && o.Fingerprint == crashing {
			m.blockedAt = f.now
		}
		if o.Mark == 0 && o.Fingerprint == crashing && !f.refuseLoad {
			f.violation("the crashing request got no mark")
		}
		if o.Mark > 0 && !o.Blocked {
			m.markedAt[o.Fingerprint] = f.now
		}
	}
	if f.gossip {
		f.gossipAll()
	}
	for _, j := range interrupted {
		// An interrupted run ends after the crash, which must have no effect.
		m.q.Finish(f.now, j.run)
		o := outcomes[j.fp]
		if o.Blocked || f.draw(2, "router retries") == 0 {
			continue
		}
		if f.forwardMarks {
			j.mark = max(j.mark, m.q.Mark(f.now, j.fp))
		}
		j.next++
		f.route(j)
	}
}

// checkCrash checks that the crashing request crashes no engine whose agent has a live mark or block for it.
// A copy that began before the block reached its agent can still crash the engine.
func (f *fleet) checkCrash(m *simAgent, trigger *job) {
	if last, ok := m.markedAt[crashing]; ok && f.now.Sub(last) < markLifetime {
		f.violation("the engine crashed again %v after the mark", f.now.Sub(last))
	}
	m.crashes = append(m.crashes, f.now)
	for _, other := range f.agents {
		// Without gossip only the agent that blocked the request refuses it.
		aware := other == m || f.gossip
		minimum := blockLifetime
		if other != m {
			minimum -= gossipHops * gossipMargin
		}
		after := trigger.startedAt.Sub(other.blockedAt)
		if aware && !other.blockedAt.IsZero() && after >= 0 && after < minimum {
			f.violation("a run began %v after its request was blocked, and crashed an engine", after)
		}
	}
	since := time.Time{}
	if f.window > 0 {
		since = f.now.Add(-f.window)
	}
	if engines, _ := f.crashedEngines(since); engines > 2 {
		f.violation("%d engines crashed", engines)
	}
}

// gossipAll sends the entries of each agent to all others; the exchanges take up to the gossip margin in total.
func (f *fleet) gossipAll() {
	for _, from := range f.agents {
		entries := from.q.Marks(64, f.now)
		f.now = f.now.Add(time.Duration(f.draw(int(gossipMargin/time.Millisecond)/gossipHops, "delay")) * time.Millisecond)
		for _, to := range f.agents {
			if to != from {
				to.q.Merge(f.now, entries)
			}
		}
	}
}

// step simulates one random event.
func (f *fleet) step() {
	f.now = f.now.Add(time.Millisecond)
	switch f.draw(8, "event") {
	case 0:
		if !f.noOverlap || !f.inProgress(crashing) {
			f.submit(crashing)
		}
	case 1, 2, 3:
		f.submit(quarantiner.Fingerprint(f.draw(harmlessRequests, "harmless") + 1))
	case 4:
		f.now = f.now.Add(time.Duration(f.draw(30_000, "ms")) * time.Millisecond)
	case 5:
		if f.gossip {
			f.gossipAll()
		}
	default:
		m := f.agents[f.draw(fleetAgents, "agent")]
		f.startRuns(m)
		if len(m.running) > 0 {
			f.endRun(m, f.draw(len(m.running), "job"))
		}
	}
}

// checkAfterExpiry ends all jobs, lets all marks and blocks expire, and checks that every harmless request is admitted as
// an ordinary one.
func (f *fleet) checkAfterExpiry() {
	for _, m := range f.agents {
		m.queue, m.running = nil, nil
	}
	f.now = f.now.Add(2 * markLifetime)
	if len(f.blocked) > 0 && f.refuseLoad {
		f.now = f.now.Add(blockLifetime)
	}
	for fp, order := range f.orders {
		if fp == crashing {
			continue
		}
		if suspect, err := f.agents[order[0]].q.Admit(f.now, fp, 0); err != nil || suspect {
			f.violation("harmless request %v after all lifetimes: suspect %v, %v", fp, suspect, err)
		}
	}
}
