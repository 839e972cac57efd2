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

// The model counts time in ticks; the caller's retries arrive within horizonTicks of the first sending.
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
	errBroken  = judge.Uncertain(judge.ReasonBroken, "broken")
	errQueue   = judge.Refuse(judge.ReasonQueueFull, "full")
)

// execution is the progress of a run at an agent.
type execution int8

const (
	idle execution = iota
	// begun means that the agent decided to run the order and has not sent it to the service yet.
	begun
	sent
	// executed means that the service ran the order and its response is on the way.
	executed
)

// explorer searches all interleavings of one order, its retries and a bounded number of faults.
type explorer struct {
	// byTicket makes the key of the order a ticket instead of a caller's own key.
	byTicket bool
	// lastTick, sends and changes are the largest numbers of ticks, sendings of the order and changes of the
	// configuration.
	lastTick int8
	sends    int8
	changes  int8
	// faults bounds the number of restarts, pauses, disconnections and reconnections of both agents together.
	faults int8
	// disconnectOnly allows only one kind of fault: agent a loses or regains its connection to the platform.
	disconnectOnly bool
	// sameSecret makes each incarnation of an agent reuse the secret, number and start time of the first one.
	sameSecret bool
	// alwaysConfirmed makes agents report a confirmation that they do not have.
	alwaysConfirmed bool
	minOwned        time.Duration
	maxGap          time.Duration
	key             ticketer.Key
}

// agentModel is the state of an agent apart from its ledger.
type agentModel struct {
	Incarnation          int8
	Paused, Disconnected bool
	View, Confirmed      int8
	Execution            execution
}

// comparableState is the comparable part of a systemState, apart from the ledgers.
type comparableState struct {
	Tick, Config, Sends, FirstSend int8
	Faults                         int8
	Agents                         [2]agentModel
	// InFlight counts the messages on the way to each agent, Orphans the calls to the service whose agent no longer waits
	// for them.
	InFlight       [2]int8
	Orphans, Runs  int8
	ReportedNotRun bool
}

type systemState struct {
	comparableState
	ledgers [2]*ticketer.Ledger
	// states holds the state of each ledger that this systemState shares with its predecessor.
	states [2]ticketer.State
	shared [2]bool
}

type stateKey struct {
	state   comparableState
	ledgers [2]ticketer.State
}

func (e *explorer) newLedger(agent int, incarnation int8, started time.Time) *ticketer.Ledger {
	secret := []byte("0123456789abcdef")
	if !e.sameSecret {
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
	if e.minOwned != 0 {
		l.SetMinOwned(e.minOwned)
	}
	if e.maxGap != 0 {
		l.SetMaxGap(e.maxGap)
	}
	return l
}

func at(n int8) time.Time {
	return epoch.Add(time.Duration(n) * tick)
}

// initial returns the state at tick 0, in which agent a has owned the key for a long time and has issued the ticket.
func (e *explorer) initial() *systemState {
	s := &systemState{}
	s.FirstSend = -1
	for x := range s.ledgers {
		s.ledgers[x] = e.newLedger(x, 0, at(-warmTicks))
		for n := int8(-warmTicks); n <= 0; n++ {
			s.Agents[x].Confirmed = n
			s.ledgers[x].Observe(at(n), e.configurationState(s, x))
		}
	}
	e.key = ticketer.Key{Organisation: "o", Text: "k"}
	if e.byTicket {
		e.key.Text = e.issue(s.ledgers[agentA], 0)
	}
	return s
}

func (e *explorer) issue(l *ticketer.Ledger, n int8) string {
	t, err := l.Issue(at(n))
	if err != nil {
		panic(err)
	}
	return t.String()
}

func (e *explorer) configurationState(s *systemState, x int) ticketer.ConfigurationState {
	a := s.Agents[x]
	f := ticketer.ConfigurationState{Workers: workerSets[a.View], Confirmed: at(a.Confirmed)}
	if e.alwaysConfirmed {
		f.Confirmed = at(s.Tick)
	}
	return f
}

// branch returns a copy that shares the ledgers until one of them is modified.
func (s *systemState) branch() *systemState {
	c := *s
	c.shared = [2]bool{true, true}
	return &c
}

// ledger returns the ledger of agent x for modification, after cloning it if it is shared.
func (s *systemState) ledger(x int) *ticketer.Ledger {
	if s.shared[x] {
		s.ledgers[x] = s.ledgers[x].Clone()
		s.shared[x] = false
	}
	return s.ledgers[x]
}

func (e *explorer) keyOf(s *systemState) stateKey {
	for x, l := range s.ledgers {
		if !s.shared[x] {
			s.states[x] = l.StateOf(e.key, tick)
		}
	}
	return stateKey{state: s.comparableState, ledgers: s.states}
}

// run visits every reachable state, and returns the number of states and the first violation.
func (e *explorer) run() (states int, violation error) {
	start := e.initial()
	seen := map[stateKey]struct{}{e.keyOf(start): {}}
	queue := []*systemState{start}
	for len(queue) > 0 {
		s := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		for _, next := range e.successors(s) {
			if err := next.check(); err != nil {
				return len(seen), err
			}
			k := e.keyOf(next)
			if _, ok := seen[k]; ok {
				continue
			}
			seen[k] = struct{}{}
			queue = append(queue, next)
		}
	}
	return len(seen), nil
}

func (s *systemState) check() error {
	if s.Runs > 1 {
		return errors.New("the order ran twice")
	}
	if s.Runs > 0 && s.ReportedNotRun {
		return errors.New("the order ran although the caller got the verdict \"not run\"")
	}
	return nil
}

func (e *explorer) successors(s *systemState) []*systemState {
	var out []*systemState
	branch := func(f func(*systemState)) {
		c := s.branch()
		f(c)
		out = append(out, c)
	}
	if s.Orphans > 0 {
		branch(func(c *systemState) { c.Orphans--; c.Runs++ })
	}
	for x := range s.Agents {
		if !s.Agents[x].Paused {
			e.agentSteps(s, x, branch)
		}
		if s.Agents[x].Execution == sent {
			branch(func(c *systemState) { c.Agents[x].Execution = executed; c.Runs++ })
		}
	}
	if !e.maySend(s) && s.InFlight == [2]int8{} {
		// No further message can arrive, so only runs that have begun can change the outcome.
		return out
	}
	if s.Tick < e.lastTick {
		branch(e.tick)
	}
	if s.Config < e.changes {
		branch(func(c *systemState) { c.Config++ })
	}
	e.sendSteps(s, branch)
	for x := range s.Agents {
		e.faultSteps(s, x, branch)
	}
	return out
}

// maySend reports whether the caller may still send.
func (e *explorer) maySend(s *systemState) bool {
	late := !e.byTicket && s.FirstSend >= 0 && s.Tick > s.FirstSend+horizonTicks
	return s.Sends < e.sends && !late
}

func (e *explorer) tick(c *systemState) {
	c.Tick++
	if !e.byTicket && c.FirstSend >= 0 && c.Tick > c.FirstSend+horizonTicks {
		// The horizon includes the delivery: later messages are past their deadline.
		c.InFlight = [2]int8{}
	}
	for x := range c.Agents {
		a := &c.Agents[x]
		if a.Paused {
			continue
		}
		if !a.Disconnected {
			a.View = c.Config
			a.Confirmed = c.Tick
		}
		c.ledger(x).Observe(at(c.Tick), e.configurationState(c, x))
	}
}

// sendSteps lets the caller send the order or a retry through either of two routers.
func (e *explorer) sendSteps(s *systemState, branch func(func(*systemState))) {
	if !e.maySend(s) {
		return
	}
	// One router has the current configuration and the other has any earlier one; this covers all other cases.
	targets := map[int]bool{}
	for view := range s.Config + 1 {
		targets[int(view%2)] = true
	}
	if e.byTicket {
		// A correct router reads the agent from the ticket; a faulty one may choose another agent.
		targets = map[int]bool{agentA: true, agentB: true}
	}
	for x := range targets {
		branch(func(c *systemState) {
			c.Sends++
			c.InFlight[x]++
			if c.FirstSend < 0 {
				c.FirstSend = c.Tick
			}
		})
	}
}

// faultSteps restarts, pauses or resumes an agent, or changes whether it is connected to the platform.
func (e *explorer) faultSteps(s *systemState, x int, branch func(func(*systemState))) {
	a := s.Agents[x]
	if a.Paused {
		branch(func(c *systemState) { c.Agents[x].Paused = false })
	}
	if s.Faults == e.faults || e.disconnectOnly && x == agentB {
		return
	}
	fault := func(f func(*systemState)) {
		branch(func(c *systemState) { c.Faults++; f(c) })
	}
	if !e.disconnectOnly {
		fault(func(c *systemState) { e.restart(c, x) })
	}
	if !e.disconnectOnly && !a.Paused {
		fault(func(c *systemState) { c.Agents[x].Paused = true })
	}
	if !e.byTicket {
		fault(func(c *systemState) { c.Agents[x].Disconnected = !a.Disconnected })
	}
}

func (e *explorer) restart(c *systemState, x int) {
	a := &c.Agents[x]
	if a.Execution == sent {
		c.Orphans++
	}
	// A starting process reads the configuration from the platform; a disconnected one gets it from a peer, which is no
	// confirmation.
	*a = agentModel{
		Incarnation: a.Incarnation + 1, Disconnected: a.Disconnected, View: c.Config, Confirmed: a.Confirmed,
	}
	if !a.Disconnected {
		a.Confirmed = c.Tick
	}
	c.ledgers[x] = e.newLedger(x, a.Incarnation, at(c.Tick))
	c.shared[x] = false
	c.ledgers[x].Observe(at(c.Tick), e.configurationState(c, x))
	if e.byTicket {
		// The new incarnation issues a ticket of the same serial to another caller.
		e.issue(c.ledgers[x], c.Tick)
	}
}

// agentSteps lets an agent that is not paused receive a message or continue its run.
func (e *explorer) agentSteps(s *systemState, x int, branch func(func(*systemState))) {
	if s.InFlight[x] > 0 {
		branch(func(c *systemState) { e.deliver(c, x) })
	}
	switch s.Agents[x].Execution {
	case idle:
	case begun:
		branch(func(c *systemState) { c.Agents[x].Execution = sent })
		branch(func(c *systemState) { e.abort(c, x, errQueue) })
	case sent:
		branch(func(c *systemState) { c.Orphans++; e.abort(c, x, errBroken) })
	case executed:
		branch(func(c *systemState) { e.abort(c, x, errBroken) })
		branch(func(c *systemState) {
			c.Agents[x].Execution = idle
			must(c.ledger(x).Finish(at(c.Tick), e.key, ticketer.Response{Status: 200}))
		})
	}
}

func (e *explorer) deliver(c *systemState, x int) {
	c.InFlight[x]--
	d, err := c.ledger(x).Begin(at(c.Tick), e.key, ticketer.Digest{}, e.configurationState(c, x))
	if err != nil {
		c.ReportedNotRun = c.ReportedNotRun || judge.VerdictOf(err) == judge.NotRun
		return
	}
	if d.Action == ticketer.Run {
		if c.Agents[x].Execution != idle {
			panic("two runs of one key at one agent")
		}
		c.Agents[x].Execution = begun
	}
}

func (e *explorer) abort(c *systemState, x int, cause error) {
	c.Agents[x].Execution = idle
	must(c.ledger(x).Abort(at(c.Tick), e.key, cause))
	c.ReportedNotRun = c.ReportedNotRun || judge.VerdictOf(cause) == judge.NotRun
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// moreFaults extends the searches beyond what is fast enough for every run of the tests.
var moreFaults = flag.Int("morefaults", 0, "faults that TestInterleavings adds to each search")

func ticketExplorer() explorer {
	return explorer{byTicket: true, lastTick: 5, sends: 3, faults: 1}
}

func callerKeyExplorer() explorer {
	return explorer{lastTick: 4, sends: 2, changes: 1, faults: 2}
}

// returningKeyExplorer moves the key to the other agent and back while connections fail and recover.
func returningKeyExplorer() explorer {
	return explorer{lastTick: 7, sends: 2, changes: 2, faults: 2, disconnectOnly: true}
}

// Guards against an interleaving in which an order runs twice, or runs although the caller got the verdict "not run".
func TestInterleavings(t *testing.T) {
	for name, e := range map[string]explorer{"ticket": ticketExplorer(), "own key": callerKeyExplorer(), "own key moves to the other agent and back": returningKeyExplorer()} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e.faults += int8(*moreFaults)
			states, err := e.run()
			require.NoError(t, err)
			t.Logf("%d states visited", states)
		})
	}
}

// Guards against a search that is too weak to detect a missing mechanism.
func TestExplorerFindsViolations(t *testing.T) {
	tests := []struct {
		name    string
		base    explorer
		disable func(*explorer)
	}{
		{"ticket valid after a restart", ticketExplorer(), func(e *explorer) { e.sameSecret = true }},
		{"stale configuration accepted", callerKeyExplorer(), func(e *explorer) { e.alwaysConfirmed = true }},
		{"no required time of ownership", callerKeyExplorer(), func(e *explorer) { e.minOwned = time.Nanosecond }},
		{"required time of one horizon", callerKeyExplorer(), func(e *explorer) { e.minOwned = horizonTicks * tick }},
		{"exactly the required time suffices", callerKeyExplorer(), func(e *explorer) { e.minOwned = (horizonTicks+1)*tick - 1 }},
		{"confirmation gap ignored", returningKeyExplorer(), func(e *explorer) { e.maxGap = time.Hour }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			e := tt.base
			tt.disable(&e)
			states, err := e.run()
			require.Error(t, err)
			t.Logf("found after %d states: %v", states, err)
		})
	}
}
