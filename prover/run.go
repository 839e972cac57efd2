package prover

import (
	"cmp"
	"context"
	"fmt"
	"regexp"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"clementineramp/demonstrator"
	"clementineramp/loader"
	"clementineramp/standin"
)

// The size of the fleet of a cell.
const (
	routers = 2
	engines = 3
	workers = 2
	// slots is small, so that a few requests fill an engine.
	slots = 2
)

const (
	tokenInterval = 20 * time.Millisecond
	// modelLoadTime is longer than the interval at which an agent polls the status of its engine, so that at least one
	// poll returns that the model is being loaded.
	modelLoadTime = 1500 * time.Millisecond
	// orderDelay is the time that a service takes between running an order and responding to it.
	orderDelay = 50 * time.Millisecond
	// stepTimeout limits the wait for the step to be reached.
	stepTimeout = 30 * time.Second
	// stopTimeout limits the wait for a process to shut down gracefully.
	stopTimeout = 30 * time.Second
	// cellTimeout limits the virtual time of a cell, so that a wait without end fails one cell and names it.
	cellTimeout = 10 * time.Minute
	// loadFactor is the multiple of the mean load that no engine may exceed.
	loadFactor = 1.25
)

// settings shortens the timeouts of the processes, so that a cell takes only seconds of virtual time.
const settings = `"routing": {"first_byte_timeout": "2s"}, "limits": {"stream_idle_time": "2s"}`

// Options configures how cells are run; the zero value runs them with the defaults.
type Options struct {
	// Adjust changes the settings of each process, for example to disable a mechanism; nil changes nothing.
	Adjust func(*loader.Settings)
	// TokenInterval is the time between two tokens of an answer; zero means the default of 20 ms.
	TokenInterval time.Duration
	// Log receives each log line of the fleet; nil drops them.
	Log func(line []byte)
}

// Report is the result of one cell.
type Report struct {
	Cell       Cell
	Journal    *Journal
	Violations []Violation
	// Err says why the cell could not be run, for example because its step was not reached. If it is not nil, the
	// invariants were not checked.
	Err error
}

// Run runs one cell with its own fleet on an in-memory network. It waits only on timers, so that it takes virtual
// time inside a bubble of testing/synctest.
func Run(ctx context.Context, cell Cell, opts Options) Report {
	report := Report{Cell: cell}
	if cell.Skip != NotSkipped {
		report.Err = trace.BadParameter("%s", string(cell.Skip))
		return report
	}
	c := &cellRun{
		cell: cell, opts: opts, network: standin.NewNetwork(), journal: newJournal(),
		routerAddress: map[string]string{}, agents: map[string]bool{}, injected: make(chan struct{}),
		modelVersion: demonstrator.Version, adopted: make(chan struct{}, 1), stopDone: map[string]chan struct{}{},
	}
	ctx, cancel := context.WithTimeout(ctx, cellTimeout)
	defer cancel()
	c.ctx = ctx
	report.Err = c.run(ctx)
	if ctx.Err() != nil {
		report.Err = trace.LimitExceeded("the cell did not end within %v: %v", cellTimeout, report.Err)
	}
	report.Journal = c.journal
	if report.Err == nil {
		report.Violations = Check(c.journal)
	}
	return report
}

// cellRun is the state of one run of a cell.
type cellRun struct {
	cell Cell
	// ctx ends with the cell, for goroutines that events start.
	ctx     context.Context
	opts    Options
	network *standin.Network
	fleet   *demonstrator.Fleet
	journal *Journal
	seeds   atomic.Int64
	// router and agent are the processes on the path of the probe's request; the faults hit them.
	router, agent string
	ticket        string
	// modelVersion is the model version that the configurations of the cell place in the pool.
	modelVersion  string
	routerAddress map[string]string
	agents        map[string]bool
	// answerEvents counts the stream events of the probe's answer.
	answerEvents atomic.Int64
	// armed is true from the start of the probe until the step is reached; injected is closed when the step is reached.
	armed    atomic.Bool
	injected chan struct{}
	// adopted receives a value when a process applies a configuration.
	adopted chan struct{}

	mu sync.Mutex
	// stopDone holds a channel for each process that shuts down gracefully; it is closed when the process has
	// stopped.
	stopDone        map[string]chan struct{}
	samplingStarted bool
	// stopSampling ends the sampling of the configuration in use.
	stopSampling context.CancelFunc

	// callers waits for the running callers, injections for the faults being injected in the background, and samplers
	// for the goroutines that sample the configuration in use.
	callers, injections, samplers sync.WaitGroup
}

func (c *cellRun) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer c.network.Close()
	defer cancel()
	if err := c.start(ctx); err != nil {
		return err
	}
	defer c.fleet.Close()
	defer c.samplers.Wait()
	defer cancel()
	if err := c.awaitKnownLoads(ctx); err != nil {
		return err
	}
	if err := c.findTargets(ctx); err != nil {
		return err
	}
	c.startProbe(ctx)
	select {
	case <-c.injected:
	case <-time.After(stepTimeout):
		return trace.NotFound("step %s was not reached", c.cell.Step)
	}
	c.startCallersDuringFaults(ctx)
	c.healFaults()
	c.injections.Wait()
	c.journal.mu.Lock()
	c.journal.Healed = time.Now()
	c.journal.mu.Unlock()
	c.startCallersAfterFaults(ctx)
	c.callers.Wait()
	c.awaitConvergence()
	c.collect()
	return nil
}

func (c *cellRun) start(ctx context.Context) error {
	cfg := demonstrator.FleetConfig{
		Routers: routers, Engines: engines, Workers: workers, InMemory: c.network, Log: logHook{c},
		Engine:   standin.EngineConfig{Slots: slots, TokenInterval: cmp.Or(c.opts.TokenInterval, tokenInterval), LoadTime: modelLoadTime},
		Settings: func(string, string) string { return settings }, Adjust: c.opts.Adjust,
	}
	var err error
	if c.fleet, err = demonstrator.StartFleet(ctx, cfg); err != nil {
		return trace.Wrap(err)
	}
	for _, p := range c.fleet.Routers {
		c.routerAddress[p.Name()] = p.Address()
	}
	for _, p := range c.fleet.Agents {
		c.agents[p.Name()] = true
	}
	for _, s := range c.fleet.Workers {
		s.SetDelay(orderDelay)
		s.SetOnRun(func(x standin.Execution) { c.observe(event{order: &x}) })
	}
	c.network.SetTap(func(t standin.Traffic) { c.observe(event{traffic: &t}) })
	return nil
}

// awaitKnownLoads waits until every agent has a report of the load of every engine, as in a fleet that has been
// running for a while.
func (c *cellRun) awaitKnownLoads(ctx context.Context) error {
	allKnown := func() bool {
		for _, p := range c.fleet.Agents {
			if p.Watcher().PoolLoad(demonstrator.Pool).Known < engines {
				return false
			}
		}
		return true
	}
	deadline := time.Now().Add(stepTimeout)
	for !allKnown() {
		if ctx.Err() != nil || time.Now().After(deadline) {
			return trace.LimitExceeded("not every agent received the load of all engines within %v", stepTimeout)
		}
		sleep(ctx, tokenInterval)
	}
	return nil
}

func (c *cellRun) isAgent(name string) bool { return c.agents[name] }

// probeChat is the chat of the probe. Its first turn determines the engine that serves its later turns.
const probeChat = "probe-chat"

// findTargets determines the router and the agent on the probe's path. For a chat it sends a first turn and finds the
// engine that ran it; for an order it requests the ticket, which names the agent.
func (c *cellRun) findTargets(ctx context.Context) error {
	c.router = demonstrator.RouterName(0)
	first := c.newCaller("first-turn", demonstrator.Organisations[0])
	if c.cell.Step.Flow == Order {
		ticket, err := first.ticket(ctx, 0)
		if err != nil {
			return trace.Wrap(err, "request a ticket")
		}
		c.ticket = ticket
		c.agent, err = agentOfTicket(ticket)
		return err
	}
	a := first.attemptChat(ctx, probeChat, "first turn", chatTokens, 0)
	if a.Outcome != Complete {
		return trace.Errorf("first turn of the probe's chat ended as %s: %s", a.Outcome, a.Reason)
	}
	for _, e := range c.fleet.Engines {
		for _, r := range e.Runs() {
			if r.Seed == a.Seed {
				c.agent = e.Name()
			}
		}
	}
	return nil
}

// observe receives every event of the fleet, and injects the faults when the step is reached.
func (c *cellRun) observe(ev event) {
	c.record(ev)
	if !c.armed.Load() || !c.cell.Step.reached(c, ev) || !c.armed.CompareAndSwap(true, false) {
		return
	}
	if c.cell.Step.Flow == Placement {
		c.agent = c.agentOf(ev)
	}
	for _, f := range c.cell.Faults {
		c.recordFault(f)
		f.injectNow(c)
		c.injections.Add(1)
		go func() {
			defer c.injections.Done()
			f.injectInBackground(c.ctx, c)
		}()
	}
	close(c.injected)
}

var (
	requestPattern = regexp.MustCompile(`"request_id":"([0-9a-f]+)"`)
	orderPattern   = regexp.MustCompile(`order-[0-9a-z-]+`)
)

// record stores in the journal what the checks need of an event.
func (c *cellRun) record(ev event) {
	if ev.traffic != nil && ev.traffic.Kind == standin.Accepted {
		c.journal.addAccepted(ev.traffic.From, ev.traffic.To)
	}
	if from, to, data := ev.sent(); data != nil && c.agents[to] && !c.agents[from] {
		if m := requestPattern.FindSubmatch(data); m != nil {
			c.journal.addSent(to, string(m[1]))
		}
		if m := orderPattern.Find(data); m != nil {
			c.journal.addSent(to, string(m))
		}
	}
	if ev.logged("", " event=configuration_in_force ") {
		select {
		case c.adopted <- struct{}{}:
		default:
		}
	}
	if ev.logged("", " event=stopped ") {
		c.recordStopped(ev)
	}
}

func (c *cellRun) recordStopped(ev event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, done := range c.stopDone {
		if done != nil && ev.logged(name) {
			c.journal.close(&c.journal.Stops, name)
			close(done)
			c.stopDone[name] = nil
		}
	}
}

// recordFault records which processes a fault hits.
func (c *cellRun) recordFault(f Fault) {
	if t := f.target(c); t != "" && f != UpstreamLeaving {
		c.journal.open(&c.journal.Faults, t, f)
	}
	if a, b, _, _ := f.link(c); a != "" {
		c.journal.open(&c.journal.Faults, a, f)
		c.journal.open(&c.journal.Faults, b, f)
	}
	if f == CrashingRequest {
		for _, e := range c.fleet.Engines {
			c.journal.open(&c.journal.Faults, demonstrator.UpstreamEndpoint(e.Name()), f)
		}
	}
}

// startProbe starts the flow that the step of the cell belongs to.
func (c *cellRun) startProbe(ctx context.Context) {
	probe := c.newCaller(probeCaller, demonstrator.Organisations[0])
	switch c.cell.Step.Flow {
	case Chat:
		if c.cell.Step.Name == "queue" {
			c.fillSlots(ctx)
		}
		c.armed.Store(true)
		c.goCaller(func() { probe.chat(ctx, probeChat, "next turn", chatTokens, 0) })
	case Order:
		c.armed.Store(true)
		c.goCaller(func() { probe.order(ctx, "order-probe", c.ticket, 0) })
	case Configuration:
		c.armed.Store(true)
		c.publish(ctx, updatedVersion, updateOrg)
	case StopAgent, StopRouter:
		c.stopUnderLoad(ctx, probe)
	case Placement:
		c.modelVersion = nextModelVersion
		c.armed.Store(true)
		c.publish(ctx, updatedVersion, updateOrg)
	}
}

// goCaller runs f in a goroutine that the cell waits for.
func (c *cellRun) goCaller(f func()) {
	c.callers.Add(1)
	go func() {
		defer c.callers.Done()
		f()
	}()
}

// fillSlots starts callers that occupy every slot of the pool, and waits until all slots are occupied, at most for
// the duration of 2*fillTokens tokens.
func (c *cellRun) fillSlots(ctx context.Context) {
	for i := range engines * slots * 2 {
		name := fmt.Sprintf("fill-%d", i)
		filler := c.newCaller(name, demonstrator.Organisations[2])
		c.goCaller(func() { filler.chat(ctx, name, name, fillTokens, i) })
	}
	busy := func() bool {
		for _, e := range c.fleet.Engines {
			if e.Running() < slots {
				return false
			}
		}
		return true
	}
	for range 2 * fillTokens {
		if busy() {
			return
		}
		sleep(ctx, tokenInterval)
	}
}

// stopUnderLoad shuts down the probe's router or agent gracefully while requests are running on it and further ones
// arrive.
func (c *cellRun) stopUnderLoad(ctx context.Context, probe *caller) {
	c.goCaller(func() { probe.chat(ctx, probeChat, "long turn", fillTokens, 0) })
	for range fillTokens / 2 {
		if busy := c.busyEngine(); busy != "" {
			c.agent = busy
			break
		}
		sleep(ctx, tokenInterval)
	}
	c.goCaller(func() {
		for i := range 12 {
			id := fmt.Sprintf("during-stop-%d", i)
			during := c.newCaller(id, demonstrator.Organisations[0])
			c.goCaller(func() { during.chat(ctx, probeChat, id, chatTokens, 0) })
			sleep(ctx, faultDuration/10)
		}
	})
	c.armed.Store(true)
	if c.cell.Step.Flow == StopRouter {
		c.stop(c.router)
	} else {
		c.stop(c.agent)
	}
}

// busyEngine returns the name of the engine that runs the probe's request, the only request at that time, or an empty
// string if none runs it.
func (c *cellRun) busyEngine() string {
	for _, e := range c.fleet.Engines {
		if e.Running() > 0 {
			return e.Name()
		}
	}
	return ""
}

// stop starts the graceful shutdown of a process; it does nothing if one has been started before.
func (c *cellRun) stop(name string) {
	p, err := c.fleet.Process(name)
	if err != nil {
		return
	}
	c.mu.Lock()
	if _, started := c.stopDone[name]; started {
		c.mu.Unlock()
		return
	}
	c.stopDone[name] = make(chan struct{})
	c.mu.Unlock()
	if c.agents[name] {
		c.journal.open(&c.journal.Leaving, name, "")
	}
	c.journal.open(&c.journal.Stops, name, "")
	p.Drain()
}

// restartAfterStop restarts a process after its graceful shutdown. A process that is still running after stopTimeout
// is killed.
func (c *cellRun) restartAfterStop(name string) {
	c.mu.Lock()
	done := c.stopDone[name]
	c.mu.Unlock()
	if done != nil {
		select {
		case <-done:
		case <-time.After(stopTimeout):
			_ = c.fleet.KillProcess(name)
		}
	}
	c.restart(name)
}

// restart restarts a process that has ended.
func (c *cellRun) restart(name string) {
	if err := c.fleet.RestartProcess(name); err == nil {
		c.journal.close(&c.journal.Leaving, name)
	}
}

// startCallersDuringFaults starts callers whose requests are in progress while the faults last.
func (c *cellRun) startCallersDuringFaults(ctx context.Context) {
	c.startCallers(ctx, "during", 2)
}

// startCallersAfterFaults starts callers once the faults are healed.
func (c *cellRun) startCallersAfterFaults(ctx context.Context) {
	c.startCallers(ctx, "after", 2)
}

func (c *cellRun) startCallers(ctx context.Context, name string, n int) {
	for i := range n {
		id := fmt.Sprintf("%s-%d", name, i)
		chats := c.newCaller("chat-"+id, demonstrator.Organisations[i%len(demonstrator.Organisations)])
		c.goCaller(func() { chats.chat(ctx, id, "question "+id, chatTokens, i) })
		orders := c.newCaller("order-"+id, demonstrator.Organisations[i%len(demonstrator.Organisations)])
		c.goCaller(func() { orders.order(ctx, "order-"+id, "", i) })
	}
	single := c.newCaller("keyless-"+name, demonstrator.Organisations[0])
	c.goCaller(func() { single.orderWithoutKey(ctx, "order-keyless-"+name, 0) })
}

// healFaults heals each fault after its duration, and waits until all are healed.
func (c *cellRun) healFaults() {
	var g sync.WaitGroup
	for _, f := range c.cell.Faults {
		g.Add(1)
		go func() {
			defer g.Done()
			time.Sleep(f.duration())
			f.heal(c)
			c.endFault(f)
		}()
	}
	g.Wait()
}

func (c *cellRun) endFault(f Fault) {
	c.journal.mu.Lock()
	defer c.journal.mu.Unlock()
	for i := range c.journal.Faults {
		if c.journal.Faults[i].Fault == f {
			c.journal.Faults[i].To = time.Now()
		}
	}
}

func (c *cellRun) flood(ctx context.Context) {
	for i := range floodChats {
		name := fmt.Sprintf("flood-%d", i)
		flood := c.newCaller(name, demonstrator.Organisations[2])
		c.goCaller(func() { flood.chat(ctx, name, name, chatTokens, i) })
	}
}

// crash sends a request that crashes its engine, and restarts crashed engines meanwhile, as supervisors do.
func (c *cellRun) crash(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.newCaller("crasher", demonstrator.Organisations[1]).crash(ctx, "crasher")
	}()
	for {
		select {
		case <-done:
			c.restartUpstreams()
			return
		case <-time.After(supervisorInterval):
			c.restartUpstreams()
		}
	}
}

// collect copies the names of the processes and the records of the stand-ins into the journal.
func (c *cellRun) collect() {
	j := c.journal
	j.mu.Lock()
	defer j.mu.Unlock()
	j.Engines, j.LoadFactor = engines, loadFactor
	for _, h := range c.fleet.Hosts() {
		j.Processes = append(j.Processes, h.Name)
	}
	for _, e := range c.fleet.Engines {
		j.Runs = append(j.Runs, e.Runs()...)
		for _, l := range e.Loads() {
			j.Loading = append(j.Loading, Interval{Process: e.Name(), From: l.From, To: l.To})
		}
	}
	for _, s := range c.fleet.Workers {
		j.Executions = append(j.Executions, s.Executions()...)
	}
}

// logHook passes each log line of the fleet to the cell while the process is still inside the write.
type logHook struct{ cell *cellRun }

// Write receives one log line; it never fails.
func (h logHook) Write(line []byte) (int, error) {
	if h.cell.opts.Log != nil {
		h.cell.opts.Log(line)
	}
	h.cell.observe(event{line: line})
	return len(line), nil
}
