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
	fleetAgents    = 4
	fleetAttempts  = 3
	fleetSlots     = 3
	innocents      = 5
	guilty         = quarantiner.Fingerprint(1000)
	markLife       = time.Minute
	convictionLife = 5 * time.Minute
	gossipMargin   = time.Second
	// gossipHops bounds the exchanges by which an entry reaches every agent of the fleet.
	gossipHops = fleetAgents
)

// source draws a number in [0, n).
type source func(n int, label string) int

// job is one sending of a request; it goes through the order of its chat.
type job struct {
	fp     quarantiner.Fingerprint
	order  []int
	next   int
	mark   int
	marked bool
	run    quarantiner.Run
	began  time.Time
}

type member struct {
	q       *quarantiner.Quarantine
	queue   []*job
	running []*job
	// crashes holds the times at which the engine crashed.
	crashes []time.Time
	// inFlight is when each request last ran here during a crash.
	inFlight map[quarantiner.Fingerprint]time.Time
	// convictedAt is when this agent convicted the guilty request.
	convictedAt time.Time
}

// fleet plays agents and routers around the quarantines, without a clock or network of its own.
type fleet struct {
	draw source
	now  time.Time
	// convicted is when each request was last convicted anywhere.
	convicted map[quarantiner.Fingerprint]time.Time
	members   []*member
	orders    map[quarantiner.Fingerprint][]int
	// handOn says that routers carry marks from one agent to the next.
	handOn bool
	// gossip says that each crash is followed by exchanges between all agents.
	gossip bool
	// refuseLoad says that agents also refuse requests at random, as for the load bound.
	refuseLoad bool
	// oneCopy says that the caller repeats the guilty request only after its last sending has ended.
	oneCopy bool
	// window is the time within which a third engine must not crash; zero means ever.
	window time.Duration
	faults []string
}

func newFleet(draw source) *fleet {
	f := &fleet{draw: draw, now: time.Unix(0, 0), orders: map[quarantiner.Fingerprint][]int{}, handOn: true, convicted: map[quarantiner.Fingerprint]time.Time{}}
	for range fleetAgents {
		f.members = append(f.members, &member{
			q:        quarantiner.New(quarantiner.Config{MarkLifetime: markLife, ConvictionLifetime: convictionLife, GossipMargin: gossipMargin}),
			inFlight: map[quarantiner.Fingerprint]time.Time{},
		})
	}
	f.orders[guilty] = f.permutation()
	for i := range innocents {
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

func (f *fleet) fault(format string, args ...any) {
	f.faults = append(f.faults, fmt.Sprintf("at %v: ", f.now.Sub(time.Unix(0, 0)))+fmt.Sprintf(format, args...))
}

// crashedEngines returns the number of distinct engines that crashed after a time, and the number of their crashes.
func (f *fleet) crashedEngines(since time.Time) (engines, crashes int) {
	for _, m := range f.members {
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

// busyWith reports whether a copy of a request waits or runs somewhere.
func (f *fleet) busyWith(fp quarantiner.Fingerprint) bool {
	for _, m := range f.members {
		for _, j := range slices.Concat(m.queue, m.running) {
			if j.fp == fp {
				return true
			}
		}
	}
	return false
}

// send plays one sending by a caller.
func (f *fleet) send(fp quarantiner.Fingerprint) {
	f.route(&job{fp: fp, order: f.orders[fp]})
}

// route plays the router: it offers the job to the next agents of its order.
func (f *fleet) route(j *job) {
	for ; j.next < fleetAttempts; j.next++ {
		m := f.members[j.order[j.next]]
		marked, err := m.q.Admit(f.now, j.fp, j.mark)
		j.marked = marked
		if err == nil && f.refuseLoad && f.draw(4, "load") == 0 {
			err = judge.Refuse(judge.ReasonLoadBound, "load bound")
		}
		if err == nil {
			m.queue = append(m.queue, j)
			return
		}
		if !f.refused(m, j, err) {
			return
		}
	}
}

// refused checks a refusal, takes over the mark, and reports whether the router may try the next agent.
func (f *fleet) refused(m *member, j *job, err error) bool {
	if judge.VerdictOf(err) != judge.NotRun {
		f.fault("a refusal has verdict %v", judge.VerdictOf(err))
	}
	reason := judge.ReasonOf(err)
	last, marked := m.inFlight[j.fp]
	if j.fp != guilty && reason == judge.ReasonCrashesUpstream {
		f.checkInnocentConvicted(j.fp)
	}
	if j.fp != guilty && reason == judge.ReasonSuspect && (!marked || f.now.Sub(last) >= markLife) {
		f.fault("innocent %v is refused %v after its crash", j.fp, f.now.Sub(last))
	}
	if f.handOn {
		j.mark = max(j.mark, m.q.Mark(f.now, j.fp))
	}
	return reason != judge.ReasonCrashesUpstream
}

// checkInnocentConvicted checks the one case in which the rule of the crash hits an innocent request: it ran as
// the marked one beside the guilty request, which was unmarked because an agent had refused it for load.
func (f *fleet) checkInnocentConvicted(fp quarantiner.Fingerprint) {
	at, ok := f.convicted[fp]
	if !f.refuseLoad || !ok || f.now.Sub(at) >= convictionLife {
		f.fault("innocent %v is refused as convicted %v after its conviction", fp, f.now.Sub(at))
	}
}

// start plays the queue of an agent, which lets one marked request run at a time.
func (f *fleet) start(m *member) {
	waiting := m.queue
	m.queue = nil
	for _, j := range waiting {
		if len(m.running) == fleetSlots || j.marked && m.runsMarked() {
			m.queue = append(m.queue, j)
			continue
		}
		run, err := m.q.Begin(f.now, j.fp, j.marked)
		switch {
		case err == nil:
			j.run, j.began = run, f.now
			m.running = append(m.running, j)
		case errors.Is(err, quarantiner.ErrMarkedRuns):
			m.queue = append(m.queue, j)
		case f.refused(m, j, err):
			j.next++
			f.route(j)
		}
	}
}

func (m *member) runsMarked() bool {
	for _, j := range m.running {
		if j.marked {
			return true
		}
	}
	return false
}

// end takes the i-th running job out: it finishes or leaves if it is innocent, and crashes the engine if it is guilty.
func (f *fleet) end(m *member, i int) {
	j := m.running[i]
	if j.fp == guilty {
		f.crash(m, j)
		return
	}
	m.running = append(m.running[:i:i], m.running[i+1:]...)
	if f.draw(3, "leave") == 0 {
		m.q.Leave(f.now, j.run)
		return
	}
	m.q.Finish(f.now, j.run)
	if m.q.Mark(f.now, j.fp) != 0 {
		f.fault("innocent %v has a mark after it finished", j.fp)
	}
}

func (f *fleet) crash(m *member, culprit *job) {
	broken := m.running
	m.running = nil
	f.checkCrash(m, culprit)
	outcomes := map[quarantiner.Fingerprint]quarantiner.Outcome{}
	for _, o := range m.q.Crash(f.now) {
		outcomes[o.Fingerprint] = o
		if o.Convicted {
			f.convicted[o.Fingerprint] = f.now
		}
		if o.Convicted && o.Fingerprint == guilty {
			m.convictedAt = f.now
		}
		if o.Mark == 0 && o.Fingerprint == guilty && !f.refuseLoad {
			f.fault("the guilty request got no mark")
		}
		if o.Mark > 0 && !o.Convicted {
			m.inFlight[o.Fingerprint] = f.now
		}
	}
	if f.gossip {
		f.gossipAll()
	}
	for _, j := range broken {
		// The end of a run comes after the crash and must not change anything.
		m.q.Finish(f.now, j.run)
		o := outcomes[j.fp]
		if o.Convicted || f.draw(2, "router retries") == 0 {
			continue
		}
		if f.handOn {
			j.mark = max(j.mark, m.q.Mark(f.now, j.fp))
		}
		j.next++
		f.route(j)
	}
}

// checkCrash checks that no crash comes before the lifetimes of what is known have run out.
// A copy that ran before the conviction was known can still crash its engine.
func (f *fleet) checkCrash(m *member, culprit *job) {
	if last, ok := m.inFlight[guilty]; ok && f.now.Sub(last) < markLife {
		f.fault("the engine crashed again %v after the mark", f.now.Sub(last))
	}
	m.crashes = append(m.crashes, f.now)
	for _, other := range f.members {
		// Without gossip only the agent that convicted the request knows of it.
		knows := other == m || f.gossip
		least := convictionLife
		if other != m {
			least -= gossipHops * gossipMargin
		}
		after := culprit.began.Sub(other.convictedAt)
		if knows && !other.convictedAt.IsZero() && after >= 0 && after < least {
			f.fault("a request began %v after its conviction and crashed an engine", after)
		}
	}
	since := time.Time{}
	if f.window > 0 {
		since = f.now.Add(-f.window)
	}
	if engines, _ := f.crashedEngines(since); engines > 2 {
		f.fault("%d engines crashed", engines)
	}
}

// gossipAll lets every agent learn what any other knows, with exchanges that take up to the margin in total.
func (f *fleet) gossipAll() {
	for _, from := range f.members {
		entries := from.q.Marks(64, f.now)
		f.now = f.now.Add(time.Duration(f.draw(int(gossipMargin/time.Millisecond)/gossipHops, "delay")) * time.Millisecond)
		for _, to := range f.members {
			if to != from {
				to.q.Merge(f.now, entries)
			}
		}
	}
}

// step plays one event.
func (f *fleet) step() {
	f.now = f.now.Add(time.Millisecond)
	switch f.draw(8, "event") {
	case 0:
		if !f.oneCopy || !f.busyWith(guilty) {
			f.send(guilty)
		}
	case 1, 2, 3:
		f.send(quarantiner.Fingerprint(f.draw(innocents, "innocent") + 1))
	case 4:
		f.now = f.now.Add(time.Duration(f.draw(30_000, "ms")) * time.Millisecond)
	case 5:
		if f.gossip {
			f.gossipAll()
		}
	default:
		m := f.members[f.draw(fleetAgents, "agent")]
		f.start(m)
		if len(m.running) > 0 {
			f.end(m, f.draw(len(m.running), "job"))
		}
	}
}

// settle ends everything, lets the lifetimes run out and checks that every innocent request is served as an unmarked one.
func (f *fleet) settle() {
	for _, m := range f.members {
		m.queue, m.running = nil, nil
	}
	f.now = f.now.Add(2 * markLife)
	if len(f.convicted) > 0 && f.refuseLoad {
		f.now = f.now.Add(convictionLife)
	}
	for fp, order := range f.orders {
		if fp == guilty {
			continue
		}
		if marked, err := f.members[order[0]].q.Admit(f.now, fp, 0); err != nil || marked {
			f.fault("innocent %v after all lifetimes: marked %v, %v", fp, marked, err)
		}
	}
}
