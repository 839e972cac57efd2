package router

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"clementineramp/caller"
	"clementineramp/chooser"
	"clementineramp/configurer"
	"clementineramp/encoder"
	"clementineramp/forwarder"
	"clementineramp/judge"
	"clementineramp/limiter"
	"clementineramp/tracker"
)

// Config holds the settings and dependencies of a Router.
type Config struct {
	Name string
	// SharedKey authenticates requests to agents.
	SharedKey string
	Limits    caller.Limits
	Chooser   chooser.Config
	// FirstByte is the longest wait for the response or a heartbeat of one agent before the next is tried; zero means 3 s.
	FirstByte time.Duration
	// StreamIdle is the maximum time between two events of an answer, after which the attempt fails; zero means no limit.
	StreamIdle time.Duration
	// Snapshot returns the current configuration; it returns nil while there is none.
	Snapshot func() *configurer.Snapshot
	// View returns the latest known state of the upstreams of a pool or service.
	View func(pool string) []chooser.Upstream
	// HostsReceived reports whether a list of hosts has been received; a nil function counts as always true.
	HostsReceived func() bool
	// Address returns the address of the agent of an upstream, and false if the upstream is not in the list of hosts.
	Address func(upstream string) (string, bool)
	// Observe records the outcome of a request to an upstream.
	Observe func(tracker.Observation)
	// Merge adds the load entries of an agent's report to the load table.
	Merge func([]encoder.LoadEntry)
	// FreshestLoad returns the most recent load entries, to be forwarded to an agent.
	FreshestLoad func(agent string) []encoder.LoadEntry
	// Fleet returns the known history of the fleet, which is sent with orders.
	Fleet func() encoder.FleetHistory
	// CountControl counts the bytes of control traffic.
	CountControl func(sent, received int)
	Retries      *limiter.RetryBudget
	Forwarder    forwarder.Config
	Log          hclog.Logger
	Metrics      metrics.Registry
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Router forwards the requests of callers to agents; it is safe for concurrent use.
type Router struct {
	cfg     Config
	agents  *forwarder.Client
	chooser *chooser.Chooser
	edge    *caller.Edge
	// attempts is the maximum number of agents to which a call to a plain service is sent.
	attempts int

	mu             sync.Mutex
	leaveAnnounced bool
	leaving        bool
	requests       sync.WaitGroup
	running        atomic.Int64
	marks          *markCache
}

// New returns a router; nothing runs until its handler is served. It returns an error if the chooser's configuration is
// invalid.
func New(cfg Config) (*Router, error) {
	if cfg.FirstByte == 0 {
		cfg.FirstByte = 3 * time.Second
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.HostsReceived == nil {
		cfg.HostsReceived = func() bool { return true }
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	cfg.Forwarder.SharedKey = cfg.SharedKey
	cfg.Forwarder.HeartbeatTimeout = cfg.FirstByte
	cfg.Forwarder.IdleTimeout = cfg.StreamIdle
	cfg.Forwarder.CountControl = cfg.CountControl
	ch, err := chooser.New(cfg.Chooser)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r := &Router{cfg: cfg, chooser: ch, marks: newMarkCache(cfg.Now), attempts: cmp.Or(cfg.Chooser.Attempts, chooser.DefaultAttempts)}
	cfg.Forwarder.OnReport = r.onReport
	r.agents = forwarder.New(cfg.Forwarder)
	r.edge = caller.New(caller.Config{
		Limits: cfg.Limits, Snapshot: cfg.Snapshot, Ready: r.ready, Accepting: r.accepting,
		Chat: r.chat, Resume: r.resume, Ticket: r.ticket, Order: r.order,
	})
	return r, nil
}

// Handler returns the handler for the address at which callers connect.
func (r *Router) Handler() http.Handler {
	return r.guardKeyedCalls(r.edge.Handler())
}

// Server returns an HTTP server with this handler and the limits on callers; it does not listen yet.
func (r *Router) Server() *http.Server {
	s := r.edge.Server()
	s.Handler = r.Handler()
	return s
}

// Running returns the number of requests in progress.
func (r *Router) Running() int {
	return int(r.running.Load())
}

// AnnounceLeave makes the readiness check fail, so that the load balancer sends no more requests. The router still accepts
// requests.
func (r *Router) AnnounceLeave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaveAnnounced = true
}

// Leave makes the router refuse new requests; requests in progress continue.
func (r *Router) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// Drain refuses new requests and waits until none is in progress. It returns the error of ctx if that ends first.
func (r *Router) Drain(ctx context.Context) error {
	r.Leave()
	done := make(chan struct{})
	go func() {
		r.requests.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// accepting returns an error once new requests are refused.
func (r *Router) accepting() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving {
		return judge.Refuse(judge.ReasonLeaving, "router %s is leaving", r.cfg.Name)
	}
	return nil
}

// ready returns an error while the load balancer should send no requests: before the router has received a list of hosts,
// and after AnnounceLeave or Leave.
func (r *Router) ready() error {
	if !r.cfg.HostsReceived() {
		return judge.Refuse(judge.ReasonNotReady, "router %s knows no list of hosts yet", r.cfg.Name)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving || r.leaveAnnounced {
		return judge.Refuse(judge.ReasonLeaving, "router %s is leaving", r.cfg.Name)
	}
	return nil
}

// begin counts a request as running until end is called. It returns an error once the router is leaving.
func (r *Router) begin() (end func(), err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving {
		return nil, judge.Refuse(judge.ReasonLeaving, "router %s is leaving", r.cfg.Name)
	}
	r.requests.Add(1)
	r.running.Add(1)
	return func() {
		r.running.Add(-1)
		r.requests.Done()
	}, nil
}

func (r *Router) onReport(report encoder.Report) {
	r.cfg.Merge(append([]encoder.LoadEntry{report.Self}, report.Load...))
}

// newRequestID returns a random identifier that is unique in the fleet.
func newRequestID() string {
	return strconv.FormatUint(rand.Uint64(), 16) + strconv.FormatUint(rand.Uint64(), 16)
}

func (r *Router) count(name string) {
	metrics.GetOrRegisterCounter(name, r.cfg.Metrics).Inc(1)
}
