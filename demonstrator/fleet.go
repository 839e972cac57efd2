package demonstrator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"clementineramp/admitter"
	"clementineramp/chooser"
	"clementineramp/compiler"
	"clementineramp/launcher"
	"clementineramp/loader"
	"clementineramp/logger"
	"clementineramp/operator"
	"clementineramp/standin"
	"clementineramp/subscriber"
)

// The pool, service, model and first version of a fleet, and the shared key of its processes.
const (
	Pool      = "clementine-pool"
	Service   = "storefront-api"
	Model     = "clementine-8b"
	Version   = "v1"
	sharedKey = "demonstration-shared-key"
)

var failureDomains = []string{"north", "middle", "south"}

// Organisation is a customer of a fleet: its name, the key of its callers and its rank.
type Organisation struct {
	Name string
	Key  string
	Rank string
}

// Organisations are the customers of a fleet whose FleetConfig names none.
var Organisations = []Organisation{
	{"bookkeepers", "demo-key-bookkeepers", "urgent"},
	{"shops", "demo-key-shops", "normal"},
	{"archive", "demo-key-archive", "batch"},
}

// FleetConfig holds the size and the settings of a fleet.
type FleetConfig struct {
	Routers int
	Engines int
	Workers int
	// Engine is the template of the stand-in engines; name, model, version and listen function are set per engine.
	Engine standin.EngineConfig
	// Organisations lists the customers; nil means the package's Organisations.
	Organisations []Organisation
	// QueueWork limits the waiting work of a rank at an agent, in tokens; zero means the default.
	QueueWork int
	// Admission is the policy by which agents admit requests.
	Admission admitter.Policy
	// Policy is the routing policy of the routers; the zero value is the production policy.
	Policy chooser.Policy
	// Log receives the log lines of all processes.
	Log io.Writer
	// Settings returns additional settings of a process as JSON fields without braces; nil means none.
	Settings func(role, name string) string
	// Adjust changes the settings of a process after they were validated, also to values that the validation rejects, so
	// that tests can switch mechanisms off; nil changes nothing.
	Adjust func(*loader.Settings)
	// Network returns the network of a process; nil means InMemory, or the system's network if InMemory is nil too.
	Network func(name string) launcher.Network
	// InMemory carries all traffic of the fleet and its stand-ins; nil means loopback.
	InMemory *standin.Network
}

// Fleet is a platform, engines, a plain service, agents and routers on loopback or on an in-memory network.
type Fleet struct {
	Platform       *standin.Platform
	PlatformServer *standin.Server
	Engines        []*standin.Engine
	Workers        []*standin.Service
	Agents         []*launcher.Process
	Routers        []*launcher.Process

	cfg     FleetConfig
	hosts   []subscriber.Host
	specs   map[string]*processSpec
	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup
	// mu guards the elements of Agents and Routers after StartFleet, when processes may be restarted.
	mu sync.Mutex
}

// StartFleet starts a fleet and waits, for at most 10 s, until every process has its configuration and lists all
// engines. The fleet runs until Close is called or ctx ends.
func StartFleet(ctx context.Context, cfg FleetConfig) (*Fleet, error) {
	f := &Fleet{cfg: cfg, Platform: standin.NewPlatform(), specs: map[string]*processSpec{}}
	f.ctx, f.stop = context.WithCancel(ctx)
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	var err error
	if f.PlatformServer, err = standin.StartOn(f.listenFunc(PlatformEndpoint), "", f.Platform.Handler()); err != nil {
		return trace.Wrap(err)
	}
	if err := f.Publish(1, Version); err != nil {
		return err
	}
	for i := range f.cfg.Engines {
		if err := f.startEngine(i); err != nil {
			return err
		}
	}
	for i := range f.cfg.Workers {
		if err := f.startWorker(i); err != nil {
			return err
		}
	}
	for i := range f.cfg.Routers {
		name := RouterName(i)
		p, err := f.startProcess("router", name, i, "")
		if err != nil {
			return err
		}
		f.Routers = append(f.Routers, p)
	}
	f.Platform.SetHosts(f.hosts)
	return f.waitReady()
}

// EngineName returns the name of the engine with an index, counted from 0, and of its agent.
func EngineName(i int) string {
	return fmt.Sprintf("engine-%d", i+1)
}

// WorkerName returns the name of the worker of the plain service with an index, counted from 0, and of its agent.
func WorkerName(i int) string {
	return fmt.Sprintf("worker-%d", i+1)
}

// RouterName returns the name of the router with an index, counted from 0.
func RouterName(i int) string {
	return fmt.Sprintf("router-%d", i+1)
}

func (f *Fleet) startEngine(i int) error {
	cfg := f.cfg.Engine
	cfg.Name, cfg.Model, cfg.Version = EngineName(i), Model, Version
	cfg.Listen = f.listenFunc(UpstreamEndpoint(cfg.Name))
	e, err := standin.StartEngine(cfg)
	if err != nil {
		return trace.Wrap(err)
	}
	f.Engines = append(f.Engines, e)
	slots, queueWork := max(cfg.Slots, 1), ""
	if f.cfg.QueueWork > 0 {
		queueWork = fmt.Sprintf(`, "queue_work": %d`, f.cfg.QueueWork)
	}
	upstream := fmt.Sprintf(`"upstream": {"kind": "engine", "name": %q, "address": %q, "slots": %d%s}`, Pool, e.Address(), slots, queueWork)
	p, err := f.startProcess("agent", cfg.Name, i, upstream)
	f.Agents = append(f.Agents, p)
	return err
}

func (f *Fleet) startWorker(i int) error {
	s, err := standin.StartServiceOn(f.listenFunc(UpstreamEndpoint(WorkerName(i))), WorkerName(i), "")
	if err != nil {
		return trace.Wrap(err)
	}
	f.Workers = append(f.Workers, s)
	upstream := fmt.Sprintf(`"upstream": {"kind": "service", "name": %q, "address": %q, "slots": 16}`, Service, s.Address())
	p, err := f.startProcess("agent", s.Name(), i, upstream)
	f.Agents = append(f.Agents, p)
	return err
}

// anyPort lets the system choose a port. It replaces the ports in the settings, where 0 is not allowed.
var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// processSpec holds what is needed to start a process of the fleet, also repeatedly.
type processSpec struct {
	name     string
	settings string
	// listen, control and operator are the addresses assigned at the first start and reused by each later one.
	listen, control, operator netip.AddrPort
}

func (f *Fleet) startProcess(role, name string, i int, upstream string) (*launcher.Process, error) {
	fields := []string{
		fmt.Sprintf(`"role": %q, "name": %q, "region": "demo", "failure_domain": %q`, role, name, failureDomains[i%len(failureDomains)]),
		`"listen": "127.0.0.1:1", "control_listen": "127.0.0.1:2", "operator_listen": "127.0.0.1:3"`,
		fmt.Sprintf(`"platform": [%q], "shared_key": %q`, f.PlatformServer.Address(), sharedKey),
	}
	if upstream != "" {
		fields = append(fields, upstream)
	}
	if f.cfg.Settings != nil {
		if more := f.cfg.Settings(role, name); more != "" {
			fields = append(fields, more)
		}
	}
	spec := &processSpec{name: name, settings: "{" + strings.Join(fields, ",\n") + "}", listen: anyPort, control: anyPort, operator: anyPort}
	p, cfg, err := f.launch(spec)
	if err != nil {
		return nil, err
	}
	f.specs[name] = spec
	host := subscriber.Host{
		Name: name, Address: p.Address(), Control: p.ControlAddress(), Domain: cfg.FailureDomain, Role: role, State: subscriber.StateLive,
	}
	if cfg.Upstream != nil {
		host.Upstream = cfg.Upstream.Name
	}
	f.hosts = append(f.hosts, host)
	return p, nil
}

// launch starts a process and stores the addresses that it was assigned in spec.
func (f *Fleet) launch(spec *processSpec) (*launcher.Process, *loader.Settings, error) {
	cfg, err := loader.Parse(spec.name, []byte(spec.settings), nil)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	if f.cfg.Adjust != nil {
		f.cfg.Adjust(cfg)
	}
	cfg.Listen, cfg.ControlListen, cfg.OperatorListen = spec.listen, spec.control, spec.operator
	out := f.cfg.Log
	if out == nil {
		out = io.Discard
	}
	log := logger.New(logger.Config{Level: cfg.LogLevel, Output: out, Secrets: []string{sharedKey}}).Named(spec.name)
	p, err := launcher.New(cfg, log, launcher.Options{Admission: f.cfg.Admission, Routing: f.cfg.Policy, Network: f.networkFor(spec.name)})
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	spec.listen, spec.control = netip.MustParseAddrPort(p.Address()), netip.MustParseAddrPort(p.ControlAddress())
	spec.operator = netip.MustParseAddrPort(p.OperatorAddress())
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		_ = p.Run(f.ctx)
	}()
	return p, cfg, nil
}

// SetState publishes the list of hosts with a new state of one host.
func (f *Fleet) SetState(name, state string) {
	for i := range f.hosts {
		if f.hosts[i].Name == name {
			f.hosts[i].State = state
		}
	}
	f.Platform.SetHosts(f.hosts)
}

// sheet returns the fleet's sheet with a configuration version, the model version of the pool and additional
// organisations.
func (f *Fleet) sheet(version uint64, modelVersion string, extra []Organisation) string {
	var b strings.Builder
	fmt.Fprintf(&b, "version,number\nversion,%d\n", version)
	b.WriteString("rank,name,target,worth,share\nrank,urgent,440ms,100,0.5\nrank,normal,2s,10,0.2\nrank,batch,1m,1,0.1\n")
	fmt.Fprintf(&b, "pool,name,model,version,floor,account\npool,%s,%s,%s,0.5,\n", Pool, Model, modelVersion)
	workers := make([]string, f.cfg.Workers)
	for i := range workers {
		workers[i] = WorkerName(i)
	}
	if len(workers) > 0 {
		fmt.Fprintf(&b, "service,name,workers,horizon\nservice,%s,%s,10m\n", Service, strings.Join(workers, " "))
	}
	b.WriteString("organisation,name,key_hash,rank,ranks,weight\n")
	organisations := f.cfg.Organisations
	if organisations == nil {
		organisations = Organisations
	}
	for _, o := range append(slices.Clone(organisations), extra...) {
		sum := sha256.Sum256([]byte(o.Key))
		fmt.Fprintf(&b, "organisation,%s,%s,%s,,1\n", o.Name, hex.EncodeToString(sum[:]), o.Rank)
	}
	return b.String()
}

// Publish compiles a version of the configuration and publishes it at the platform, with the model version that the pool
// should serve and additional organisations.
func (f *Fleet) Publish(version uint64, modelVersion string, extra ...Organisation) error {
	s, err := compiler.Compile(compiler.Source{Name: "demo.csv", Data: []byte(f.sheet(version, modelVersion, extra))})
	if err != nil {
		return trace.Wrap(err)
	}
	for _, p := range s.Parts {
		f.Platform.SetValue("config/part/"+string(p.Digest), p.Data)
	}
	f.Platform.SetValue("config/manifest", s.Manifest)
	return nil
}

// readyTimeout is the maximum time that a fleet may take to become ready.
const readyTimeout = time.Minute

func (f *Fleet) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, p := range append(append([]*launcher.Process{}, f.Routers...), f.Agents...) {
		for p.State() != operator.StateReady || len(p.Watcher().View(Pool)) < f.cfg.Engines || !p.UpstreamReady() {
			if time.Now().After(deadline) {
				return trace.LimitExceeded("the fleet did not become ready within %v", readyTimeout)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return nil
}

// Close kills every process of the fleet, waits until they have ended and kills the stand-ins.
func (f *Fleet) Close() {
	for _, p := range append(append([]*launcher.Process{}, f.Routers...), f.Agents...) {
		if p != nil {
			p.Kill()
		}
	}
	f.stop()
	f.running.Wait()
	for _, e := range f.Engines {
		e.Kill()
	}
	for _, s := range f.Workers {
		s.Kill()
	}
	if f.PlatformServer != nil {
		f.PlatformServer.Kill()
	}
}
