package launcher

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"clementineramp/admitter"
	"clementineramp/agent"
	"clementineramp/chooser"
	"clementineramp/configurer"
	"clementineramp/encoder"
	"clementineramp/gossiper"
	"clementineramp/limiter"
	"clementineramp/loader"
	"clementineramp/operator"
	"clementineramp/router"
	"clementineramp/subscriber"
	"clementineramp/watcher"
)

// shutdownTimeout bounds the time for closing idle connections after the last request has ended.
const shutdownTimeout = 5 * time.Second

// Network opens the listeners and connections of a process; nil fields mean the system's network.
type Network struct {
	Listen func(network, address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

// dialTimeout bounds the time for opening a connection to another process.
const dialTimeout = time.Second

func (n *Network) setDefaults() {
	if n.Listen == nil {
		n.Listen = net.Listen
	}
	if n.Dial == nil {
		n.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
}

// role holds the parts of a process that differ between routers and agents.
type role struct {
	handler http.Handler
	server  *http.Server
	// run does the background work of the role until ctx ends; nil means that there is none.
	run func(ctx context.Context) error
	// announceLeave announces to load balancers or routers that the process is about to leave; requests are still
	// accepted.
	announceLeave func()
	// refuseRequests makes the role refuse new requests.
	refuseRequests func()
	// drain waits until no request is in progress, or returns an error when ctx ends.
	drain func(ctx context.Context) error
	// running returns the number of requests in progress.
	running func() int
	// close ends all remaining work at once.
	close func()
	// ready reports whether the upstream of the process can accept requests; nil means that it has no upstream.
	ready func() bool
	// alarms returns the active alarms, conditions that an operator must resolve; nil means that the role has none.
	alarms func() []string
}

// Process is one daemon, a router or an agent.
type Process struct {
	cfg         *loader.Settings
	network     Network
	admission   admitter.Policy
	routing     chooser.Policy
	log         hclog.Logger
	registry    metrics.Registry
	watcher     *watcher.Watcher
	role        role
	started     time.Time
	incarnation uint64

	listener         net.Listener
	controlListener  net.Listener
	operatorListener net.Listener
	budget           *limiter.ControlBudget

	mu      sync.Mutex
	state   operator.State
	drained chan struct{}
	drain   sync.Once
}

// Options are the parts of a process that tests and measurements replace; zero fields mean the standard ones.
type Options struct {
	Network Network
	// Admission is the policy by which an agent admits requests.
	Admission admitter.Policy
	// Routing is the policy by which a router chooses agents. Agents redirect chats to other engines only under
	// the standard policy.
	Routing chooser.Policy
}

// New creates a daemon and starts listening on its addresses; call Run to serve them.
func New(cfg *loader.Settings, log hclog.Logger, options Options) (*Process, error) {
	network := options.Network
	network.setDefaults()
	p := &Process{
		admission: options.Admission, routing: options.Routing,
		cfg: cfg, network: network, log: log, registry: metrics.NewRegistry(), started: time.Now(),
		state: operator.StateStarting, drained: make(chan struct{}),
	}
	if err := p.listen(); err != nil {
		return nil, err
	}
	if err := p.assemble(); err != nil {
		p.closeListeners()
		return nil, err
	}
	return p, nil
}

func (p *Process) listen() error {
	var err error
	if p.listener, err = p.network.Listen("tcp", p.cfg.Listen.String()); err != nil {
		return trace.Wrap(err, "listen")
	}
	if p.controlListener, err = p.network.Listen("tcp", p.cfg.ControlListen.String()); err != nil {
		p.closeListeners()
		return trace.Wrap(err, "control_listen")
	}
	if p.operatorListener, err = p.network.Listen("tcp", p.cfg.OperatorListen.String()); err != nil {
		p.closeListeners()
		return trace.Wrap(err, "operator_listen")
	}
	return nil
}

// Name returns the name of the process from its settings.
func (p *Process) Name() string {
	return p.cfg.Name
}

// Address returns the address on which the process serves requests, with the actual port if the settings have port 0.
func (p *Process) Address() string {
	return p.listener.Addr().String()
}

// ControlAddress returns the address on which the process serves peers.
func (p *Process) ControlAddress() string {
	return p.controlListener.Addr().String()
}

// OperatorAddress returns the address on which the process serves operators.
func (p *Process) OperatorAddress() string {
	return p.operatorListener.Addr().String()
}

func (p *Process) closeListeners() {
	for _, l := range []net.Listener{p.listener, p.controlListener, p.operatorListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// assemble creates the watcher and the role of the process.
func (p *Process) assemble() error {
	var err error
	p.budget, err = limiter.NewControlBudget(limiter.ControlConfig{BytesPerSecond: int(p.cfg.Budget.ControlPerSecond)})
	if err != nil {
		return trace.Wrap(err)
	}
	wcfg := watcher.Config{
		Self: subscriber.Host{
			Name: p.cfg.Name, Address: p.Address(), Control: p.ControlAddress(),
			Domain: p.cfg.FailureDomain, Role: string(p.cfg.Role), State: subscriber.StateLive,
		},
		Platform: subscriber.New(subscriber.Config{
			Addresses: addressStrings(p.cfg.Platform), HTTP: &http.Client{Transport: &http.Transport{DialContext: p.network.Dial, MaxResponseHeaderBytes: encoder.MaxHeadBytes}},
			Count: func(sent, received int) { p.watcher.CountControl(sent, received) },
		}),
		Peers: addressStrings(p.cfg.Peers), SharedKey: p.cfg.SharedKey.Reveal(), Budget: p.budget, Dial: p.network.Dial,
		Log: p.log, Metrics: p.registry,
	}
	switch p.cfg.Role {
	case loader.RoleRouter:
		return p.assembleRouter(wcfg)
	case loader.RoleAgent:
		return p.assembleAgent(wcfg)
	}
	return trace.BadParameter("unknown role %q", p.cfg.Role)
}

func addressStrings(addresses []netip.AddrPort) []string {
	list := make([]string, len(addresses))
	for i, a := range addresses {
		list[i] = a.String()
	}
	return list
}

func (p *Process) assembleRouter(wcfg watcher.Config) error {
	var err error
	if p.watcher, err = watcher.New(wcfg); err != nil {
		return trace.Wrap(err)
	}
	r, err := router.New(p.routerConfig())
	if err != nil {
		return trace.Wrap(err)
	}
	p.role = role{handler: r.Handler(), server: r.Server(), announceLeave: r.AnnounceLeave, refuseRequests: r.Leave, drain: r.Drain, running: r.Running, close: func() {}}
	return nil
}

func (p *Process) assembleAgent(wcfg watcher.Config) error {
	wcfg.Self.Upstream = p.cfg.Upstream.Name
	var a *agent.Agent
	wcfg.OnSnapshot = func(s *configurer.Snapshot) { a.SetSnapshot(s) }
	wcfg.OnLeaving = func(leaving bool) {
		if leaving {
			a.Leave()
		} else if p.State() == operator.StateReady || p.State() == operator.StateStarting {
			a.CancelLeave()
		}
	}
	wcfg.Marks = func() []gossiper.Mark { return a.Marks() }
	wcfg.MergeMarks = func(m []gossiper.Mark) { a.MergeMarks(m) }
	wcfg.OnTick = func(now time.Time) {
		a.ObserveKeyOwnership(now)
		p.watcher.Merge([]encoder.LoadEntry{a.Entry()})
	}
	var err error
	if p.watcher, err = watcher.New(wcfg); err != nil {
		return trace.Wrap(err)
	}
	if a, err = agent.New(p.agentConfig()); err != nil {
		return trace.Wrap(err)
	}
	p.incarnation = a.Incarnation()
	p.role = role{
		handler: a.Handler(), run: a.Run, announceLeave: a.AnnounceLeave, refuseRequests: a.Leave, drain: a.Drain, running: a.Running, close: a.Close, ready: a.Ready,
		alarms: a.Alarms,
		server: &http.Server{Handler: a.Handler(), ReadHeaderTimeout: p.cfg.Limits.HeaderTime, IdleTimeout: p.cfg.Limits.IdleTime},
	}
	return nil
}

// Run serves until ctx ends or Drain is called, and returns when the process is drained. The error is the first one of a
// server or of the background work.
func (p *Process) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	operatorServer := operator.NewServer(operator.Config{
		SharedKey: p.cfg.SharedKey.Reveal(), State: p.State, Status: p.Status, Drain: p.Drain,
		Registry: p.registry, Logger: p.log,
	})
	g := &errgroup.Group{}
	g.Go(func() error { return p.watcher.Run(runCtx, p.controlListener) })
	if p.role.run != nil {
		g.Go(func() error { return p.role.run(runCtx) })
	}
	g.Go(func() error { return serve(p.role.server, p.listener) })
	g.Go(func() error { return serve(operatorServer, p.operatorListener) })
	p.log.Info("started", "role", string(p.cfg.Role), "name", p.cfg.Name, "listen", p.cfg.Listen.String(),
		"operator_listen", p.cfg.OperatorListen.String())
	select {
	case <-ctx.Done():
		p.Drain()
		<-p.drained
	case <-p.drained:
	}
	p.stopAccepting()
	p.shutdown(p.role.server)
	p.shutdown(operatorServer)
	p.role.close()
	cancel()
	err := g.Wait()
	p.log.Info("stopped", "name", p.cfg.Name)
	return trace.Wrap(err)
}

// Kill closes all connections at once, as a crash of the process would. It is for tests.
func (p *Process) Kill() {
	p.closeListeners()
	_ = p.role.server.Close()
	p.role.close()
	p.drain.Do(func() { close(p.drained) })
}

func serve(s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return trace.Wrap(err)
}

// lastResponseWait is the time between the end of accepting connections and the shutdown of the server, in which requests
// on the most recently accepted connections are refused with a response. http.Server closes a connection without a
// response if it reads the request after the shutdown has begun.
const lastResponseWait = 200 * time.Millisecond

// stopAccepting stops accepting connections, and waits for the responses on the most recently accepted ones.
func (p *Process) stopAccepting() {
	_ = p.listener.Close()
	time.Sleep(lastResponseWait)
}

// shutdown closes a server once its requests have ended, or at once when shutdownTimeout has passed.
func (p *Process) shutdown(s *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		_ = s.Close()
	}
}

// Drain starts the graceful shutdown and returns at once; further calls do nothing.
func (p *Process) Drain() {
	p.drain.Do(func() {
		p.setState(operator.StateLeaving)
		p.role.announceLeave()
		go p.runDrain()
	})
}

func (p *Process) runDrain() {
	defer close(p.drained)
	p.log.Info("leaving", "grace_ms", p.cfg.Drain.Grace.Milliseconds(), "running", p.role.running())
	// During the grace period, the load balancer and the routers detect that the process is leaving.
	time.Sleep(p.cfg.Drain.Grace)
	p.setState(operator.StateDraining)
	p.role.refuseRequests()
	ctx, cancel := context.WithTimeout(context.Background(), p.cfg.Drain.Limit)
	defer cancel()
	if err := p.role.drain(ctx); err != nil {
		p.log.Error("drain_cut", "running", p.role.running(), "error", err)
		return
	}
	p.log.Info("drained")
}

func (p *Process) setState(s operator.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = s
}

// State returns the state of the process in its lifecycle. A router is ready only once it has received the list of
// hosts, because it cannot serve requests before.
func (p *Process) State() operator.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == operator.StateStarting && (p.cfg.Role != loader.RoleRouter || p.watcher.HostsReceived()) {
		select {
		case <-p.watcher.Ready():
			p.state = operator.StateReady
		default:
		}
	}
	return p.state
}

// UpstreamReady reports whether the upstream of an agent can accept requests; it is true for a router.
func (p *Process) UpstreamReady() bool {
	return p.role.ready == nil || p.role.ready()
}

// Watcher returns the watcher, which holds the process's view of the fleet.
func (p *Process) Watcher() *watcher.Watcher {
	return p.watcher
}

// Metrics returns the registry of the process's metrics.
func (p *Process) Metrics() metrics.Registry {
	return p.registry
}
