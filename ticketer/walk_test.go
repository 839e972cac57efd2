package ticketer_test

import (
	"errors"
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/judge"
	"clementineramp/ticketer"
)

// The model counts time in ticks; the callers' repeats arrive within horizonTicks of the first sending.
const (
	tick         = time.Minute
	horizonTicks = 2
	warmTicks    = 5
	agentA       = 0
	agentB       = 1
)

var (
	epoch      = time.Unix(1_000_000, 0)
	agentNames = [2]string{"a", "b"}
	// Each change of the configuration moves the key to the other agent.
	workerSets = [3][]string{{"a"}, {"b"}, {"a"}}
	errBroken  = judge.Doubt(judge.ReasonBroken, "broken")
	errQueue   = judge.Refuse(judge.ReasonQueueFull, "full")
)

// execution is the progress of a run at an agent.
type execution int8

const (
	idle execution = iota
	// begun follows a decision to run and precedes the sending to the service.
	begun
	sent
	// executed means that the service ran the order and its answer is on the way.
	executed
)

// walk is a search over all interleavings of one order and its repeats.
type walk struct {
	byTicket bool
	lastTick int8
	sends    int8
	changes  int8
	// faults bounds the restarts, pauses and link changes of both agents together.
	faults int8
	// linkOnly leaves only the link of agent a to fail.
	linkOnly   bool
	sameSecret bool
	// alwaysFresh lets agents claim a confirmation that they do not have.
	alwaysFresh bool
	hold        time.Duration
	maxGap      time.Duration
	key         ticketer.Key
}

// agentModel is the part of an agent that is not in its ledger.
type agentModel struct {
	Incarnation      int8
	Paused, Unlinked bool
	View, Confirmed  int8
	Execution        execution
}

// facts is the comparable part of a world.
type facts struct {
	Tick, Config, Sends, FirstSend int8
	Faults                         int8
	Agents                         [2]agentModel
	// InFlight counts the messages on the way to each agent, Orphans the calls whose agent restarted.
	InFlight      [2]int8
	Orphans, Runs int8
	SaidNotRun    bool
}

type world struct {
	facts
	ledgers [2]*ticketer.Ledger
	// states holds the state of each ledger that this world shares with its predecessor.
	states [2]ticketer.State
	shared [2]bool
}

type worldKey struct {
	facts   facts
	ledgers [2]ticketer.State
}

func (w *walk) newLedger(agent int, incarnation int8, started time.Time) *ticketer.Ledger {
	secret := []byte("0123456789abcdef")
	if !w.sameSecret {
		secret[0] = byte(agent)
		secret[1] = byte(incarnation)
	} else {
		incarnation = 0
		started = at(-warmTicks)
	}
	l, err := ticketer.New(ticketer.Config{
		Service: "s", Agent: agentNames[agent], Incarnation: uint64(incarnation), Secret: secret, Started: started,
		Lifetime: horizonTicks * tick, Horizon: horizonTicks * tick, PauseGap: tick,
	})
	if err != nil {
		panic(err)
	}
	if w.hold != 0 {
		l.SetHold(w.hold)
	}
	if w.maxGap != 0 {
		l.SetMaxGap(w.maxGap)
	}
	return l
}

func at(n int8) time.Time {
	return epoch.Add(time.Duration(n) * tick)
}

// first returns the world at tick 0, in which agent a has held the key for long and has issued the ticket.
func (w *walk) first() *world {
	s := &world{}
	s.FirstSend = -1
	for x := range s.ledgers {
		s.ledgers[x] = w.newLedger(x, 0, at(-warmTicks))
		for n := int8(-warmTicks); n <= 0; n++ {
			s.Agents[x].Confirmed = n
			s.ledgers[x].Observe(at(n), w.fresh(s, x))
		}
	}
	w.key = ticketer.Key{Organisation: "o", Text: "k"}
	if w.byTicket {
		w.key.Text = w.issue(s.ledgers[agentA], 0)
	}
	return s
}

func (w *walk) issue(l *ticketer.Ledger, n int8) string {
	t, err := l.Issue(at(n))
	if err != nil {
		panic(err)
	}
	return t.String()
}

func (w *walk) fresh(s *world, x int) ticketer.Freshness {
	a := s.Agents[x]
	f := ticketer.Freshness{Workers: workerSets[a.View], Confirmed: at(a.Confirmed)}
	if w.alwaysFresh {
		f.Confirmed = at(s.Tick)
	}
	return f
}

// branch returns a copy that shares the ledgers until they change.
func (s *world) branch() *world {
	c := *s
	c.shared = [2]bool{true, true}
	return &c
}

// ledger returns a ledger that may be changed.
func (s *world) ledger(x int) *ticketer.Ledger {
	if s.shared[x] {
		s.ledgers[x] = s.ledgers[x].Clone()
		s.shared[x] = false
	}
	return s.ledgers[x]
}

func (w *walk) keyOf(s *world) worldKey {
	for x, l := range s.ledgers {
		if !s.shared[x] {
			s.states[x] = l.StateOf(w.key, tick)
		}
	}
	return worldKey{facts: s.facts, ledgers: s.states}
}

// run visits every reachable world and returns their number and the first violation.
func (w *walk) run() (states int, violation error) {
	start := w.first()
	seen := map[worldKey]struct{}{w.keyOf(start): {}}
	queue := []*world{start}
	for len(queue) > 0 {
		s := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		for _, next := range w.successors(s) {
			if err := next.check(); err != nil {
				return len(seen), err
			}
			k := w.keyOf(next)
			if _, ok := seen[k]; ok {
				continue
			}
			seen[k] = struct{}{}
			queue = append(queue, next)
		}
	}
	return len(seen), nil
}

func (s *world) check() error {
	if s.Runs > 1 {
		return errors.New("the order ran twice")
	}
	if s.Runs > 0 && s.SaidNotRun {
		return errors.New("the order ran and the caller was told that it did not")
	}
	return nil
}

func (w *walk) successors(s *world) []*world {
	var out []*world
	branch := func(f func(*world)) {
		c := s.branch()
		f(c)
		out = append(out, c)
	}
	if s.Orphans > 0 {
		branch(func(c *world) { c.Orphans--; c.Runs++ })
	}
	for x := range s.Agents {
		if !s.Agents[x].Paused {
			w.act(s, x, branch)
		}
		if s.Agents[x].Execution == sent {
			branch(func(c *world) { c.Agents[x].Execution = executed; c.Runs++ })
		}
	}
	if !w.maySend(s) && s.InFlight == [2]int8{} {
		// No message can arrive any more, so only runs that have begun can change the outcome.
		return out
	}
	if s.Tick < w.lastTick {
		branch(w.tick)
	}
	if s.Config < w.changes {
		branch(func(c *world) { c.Config++ })
	}
	w.send(s, branch)
	for x := range s.Agents {
		w.disturb(s, x, branch)
	}
	return out
}

// maySend reports whether the caller may still send.
func (w *walk) maySend(s *world) bool {
	late := !w.byTicket && s.FirstSend >= 0 && s.Tick > s.FirstSend+horizonTicks
	return s.Sends < w.sends && !late
}

func (w *walk) tick(c *world) {
	c.Tick++
	if !w.byTicket && c.FirstSend >= 0 && c.Tick > c.FirstSend+horizonTicks {
		// The horizon includes the delivery; later messages are out of their deadline.
		c.InFlight = [2]int8{}
	}
	for x := range c.Agents {
		a := &c.Agents[x]
		if a.Paused {
			continue
		}
		if !a.Unlinked {
			a.View = c.Config
			a.Confirmed = c.Tick
		}
		c.ledger(x).Observe(at(c.Tick), w.fresh(c, x))
	}
}

// send lets the caller send the order or a repeat through either router.
func (w *walk) send(s *world, branch func(func(*world))) {
	if !w.maySend(s) {
		return
	}
	// One router knows the configuration, and the other holds any earlier one; all other cases are part of this one.
	targets := map[int]bool{}
	for view := range s.Config + 1 {
		targets[int(view%2)] = true
	}
	if w.byTicket {
		// A correct router knows the agent from the ticket; a faulty one may send it elsewhere.
		targets = map[int]bool{agentA: true, agentB: true}
	}
	for x := range targets {
		branch(func(c *world) {
			c.Sends++
			c.InFlight[x]++
			if c.FirstSend < 0 {
				c.FirstSend = c.Tick
			}
		})
	}
}

// disturb restarts, pauses, wakes, and cuts an agent off from the platform.
func (w *walk) disturb(s *world, x int, branch func(func(*world))) {
	a := s.Agents[x]
	if a.Paused {
		branch(func(c *world) { c.Agents[x].Paused = false })
	}
	if s.Faults == w.faults || w.linkOnly && x == agentB {
		return
	}
	fault := func(f func(*world)) {
		branch(func(c *world) { c.Faults++; f(c) })
	}
	if !w.linkOnly {
		fault(func(c *world) { w.restart(c, x) })
	}
	if !w.linkOnly && !a.Paused {
		fault(func(c *world) { c.Agents[x].Paused = true })
	}
	if !w.byTicket {
		fault(func(c *world) { c.Agents[x].Unlinked = !a.Unlinked })
	}
}

func (w *walk) restart(c *world, x int) {
	a := &c.Agents[x]
	if a.Execution == sent {
		c.Orphans++
	}
	// A starting process reads the platform; one that is cut off learns the configuration from a peer and confirms nothing.
	*a = agentModel{
		Incarnation: a.Incarnation + 1, Unlinked: a.Unlinked, View: c.Config, Confirmed: a.Confirmed,
	}
	if !a.Unlinked {
		a.Confirmed = c.Tick
	}
	c.ledgers[x] = w.newLedger(x, a.Incarnation, at(c.Tick))
	c.shared[x] = false
	c.ledgers[x].Observe(at(c.Tick), w.fresh(c, x))
	if w.byTicket {
		// The new incarnation issues a ticket of the same serial to another caller.
		w.issue(c.ledgers[x], c.Tick)
	}
}

// act lets an agent that is awake receive a message or go on with its run.
func (w *walk) act(s *world, x int, branch func(func(*world))) {
	if s.InFlight[x] > 0 {
		branch(func(c *world) { w.deliver(c, x) })
	}
	switch s.Agents[x].Execution {
	case idle:
	case begun:
		branch(func(c *world) { c.Agents[x].Execution = sent })
		branch(func(c *world) { w.abort(c, x, errQueue) })
	case sent:
		branch(func(c *world) { c.Orphans++; w.abort(c, x, errBroken) })
	case executed:
		branch(func(c *world) { w.abort(c, x, errBroken) })
		branch(func(c *world) {
			c.Agents[x].Execution = idle
			must(c.ledger(x).Finish(at(c.Tick), w.key, ticketer.Answer{Status: 200}))
		})
	}
}

func (w *walk) deliver(c *world, x int) {
	c.InFlight[x]--
	d, err := c.ledger(x).Begin(at(c.Tick), w.key, ticketer.Digest{}, w.fresh(c, x))
	if err != nil {
		c.SaidNotRun = c.SaidNotRun || judge.VerdictOf(err) == judge.NotRun
		return
	}
	if d.Action == ticketer.Run {
		if c.Agents[x].Execution != idle {
			panic("two runs of one key at one agent")
		}
		c.Agents[x].Execution = begun
	}
}

func (w *walk) abort(c *world, x int, cause error) {
	c.Agents[x].Execution = idle
	must(c.ledger(x).Abort(at(c.Tick), w.key, cause))
	c.SaidNotRun = c.SaidNotRun || judge.VerdictOf(cause) == judge.NotRun
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// moreFaults widens the walks beyond what is quick enough for each run of the tests.
var moreFaults = flag.Int("morefaults", 0, "faults that TestWalk adds to each walk")

func ticketWalk() walk {
	return walk{byTicket: true, lastTick: 5, sends: 3, faults: 1}
}

func keyWalk() walk {
	return walk{lastTick: 4, sends: 2, changes: 1, faults: 2}
}

// returnWalk moves the key away and back while links fail and recover.
func returnWalk() walk {
	return walk{lastTick: 7, sends: 2, changes: 2, faults: 2, linkOnly: true}
}

// Guards against an interleaving in which an order runs twice or a "not run" becomes false.
func TestWalk(t *testing.T) {
	for name, w := range map[string]walk{"ticket": ticketWalk(), "own key": keyWalk(), "own key returns": returnWalk()} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w.faults += int8(*moreFaults)
			states, err := w.run()
			require.NoError(t, err)
			t.Logf("%d states visited", states)
		})
	}
}

// Guards against a walk that is too weak to notice a missing mechanism.
func TestWalkFindsViolation(t *testing.T) {
	tests := []struct {
		name string
		base walk
		off  func(*walk)
	}{
		{"ticket outlives the incarnation", ticketWalk(), func(w *walk) { w.sameSecret = true }},
		{"stale configuration counts", keyWalk(), func(w *walk) { w.alwaysFresh = true }},
		{"no holding time", keyWalk(), func(w *walk) { w.hold = time.Nanosecond }},
		{"holding time of one horizon", keyWalk(), func(w *walk) { w.hold = horizonTicks * tick }},
		{"holding time reached exactly", keyWalk(), func(w *walk) { w.hold = (horizonTicks+1)*tick - 1 }},
		{"confirmation gap ignored", returnWalk(), func(w *walk) { w.maxGap = time.Hour }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := tt.base
			tt.off(&w)
			states, err := w.run()
			require.Error(t, err)
			t.Logf("found after %d states: %v", states, err)
		})
	}
}
