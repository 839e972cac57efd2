package gatekeeper

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"clementineramp/appraiser"
	"clementineramp/arbiter"
	"clementineramp/blocker"
	"clementineramp/connector"
	"clementineramp/dispatcher"
	"clementineramp/estimator"
	"clementineramp/follower"
	"clementineramp/limiter"
	"clementineramp/loader"
	"clementineramp/logger"
	"clementineramp/placer"
	"clementineramp/platform"
	"clementineramp/proxier"
	"clementineramp/registrar"
	"clementineramp/relayer"
	"clementineramp/shedder"
	"clementineramp/throttler"
	"clementineramp/timekeeper"
)

const (
	// budgetMargin is the fraction of the fleet's retry budget that the gateways use. The rest is a reserve, because they
	// count in buckets of a tenth of the window, and because the fleet may have more gateways than a gateway has
	// discovered.
	budgetMargin = 0.75
	// minGateways is the least number of gateways among which the budget is divided, because a gateway that has just
	// started, or is disconnected from its peers, has not discovered the others.
	minGateways = 4
	// storeReaders is the number of gateways that read the store on behalf of all. If the store refuses connections from a
	// third of the hosts, all four readers are among these in about 1% of cases; other gateways then read it themselves.
	storeReaders = 4
	// bodyShare is the fraction of the memory that request bodies may occupy.
	bodyShare = 0.25
	// heldShare is the fraction of the memory that unfinished responses of upstreams may occupy.
	heldShare = 0.1
	// heapShare is the fraction of the memory that is set as the limit of the garbage collector; the rest is left for
	// stacks and kernel buffers, which also count as memory of the process.
	heapShare = 0.6
	// housekeepingInterval is the interval of periodic work, such as closing idle connections and updating gauges.
	housekeepingInterval = 250 * time.Millisecond
	// maxHeaderBytes bounds the header of a request; the configuration may set a lower limit.
	maxHeaderBytes = 64 << 10
	// headerTimeout bounds the time for reading a request header.
	headerTimeout = 10 * time.Second
	// idleFactor is the multiple of the configured idle time after which connections of callers are closed. It exceeds
	// one because a request may be in transit when the time ends, and because callers may measure the time differently.
	idleFactor = 1.5
	// statusIdleTimeout is the time after which an idle connection for readiness checks or metrics is closed.
	statusIdleTimeout = time.Minute
	// maxListAge is the time since the list of upstreams was confirmed up to which it counts as current.
	maxListAge = 1500 * time.Millisecond
	// expiryHeartbeats is the number of heartbeats after which the entry of an upstream that is gone expires, and a margin.
	expiryHeartbeats = 4
	// minWatchTime bounds the calls to the store on deployments where changes must take effect very soon.
	minWatchTime = 250 * time.Millisecond
	// acceptRetryInterval is the pause after a connection of a peer could not be accepted; exchanges are about 200 ms apart.
	acceptRetryInterval = 50 * time.Millisecond
	// metricsPath is the HTTP path that serves the metrics.
	metricsPath = "/metrics"
)

// Config holds the settings and dependencies of a Gateway.
type Config struct {
	Settings *loader.Gateway
	Log      hclog.Logger
	// Listen and Dial open listeners and connections; nil means the system's network.
	Listen func(network, address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

// Gateway is one gateway process, which forwards requests of callers to upstreams.
type Gateway struct {
	cfg      Config
	settings atomic.Pointer[loader.Gateway]
	log      hclog.Logger
	registry metrics.Registry

	upstreams *registrar.Registry
	health    *appraiser.Appraiser
	throttler *throttler.Throttler
	placer    *placer.Placer
	crashes   *blocker.Blocker
	pool      *connector.Pool
	follower  *follower.Follower
	relayer   *relayer.Relayer
	// arbiter admits requests to plain services, and fleetPlaces and ownPlaces hold the queues of all gateways and of this one;
	// nil if the settings do not enable it.
	arbiter                *arbiter.Arbiter
	fleetPlaces, ownPlaces *dispatcher.Dispatcher
	proxier                *proxier.Proxier
	callers                *CallerConns
	saturation             Saturation
	pulse                  timekeeper.Pulse
	// estimator and work are nil unless limits of plain services are learnt; loggedLimits belongs to the housekeeping.
	estimator    *estimator.Estimator
	work         *estimator.Meter
	loggedLimits map[string]loggedLimit

	mu      sync.Mutex
	budgets map[string]*limiter.RetryBudget

	stopping atomic.Bool
}

// New returns a gateway that is not running; call Run to start it.
func New(cfg Config) *Gateway {
	if cfg.Listen == nil {
		lc := &net.ListenConfig{KeepAliveConfig: connector.KeepAlive}
		cfg.Listen = func(network, address string) (net.Listener, error) {
			return lc.Listen(context.Background(), network, address)
		}
	}
	g := &Gateway{
		cfg: cfg, log: cfg.Log, registry: metrics.NewRegistry(), crashes: blocker.New(),
		budgets: make(map[string]*limiter.RetryBudget),
	}
	g.settings.Store(cfg.Settings)
	g.crashes.OnSuspicion = func() { g.relayer.NotifyCrash() }
	g.crashes.OnPart = g.logPart
	g.assemble()
	return g
}

// assemble creates the components of the gateway and connects them.
func (g *Gateway) assemble() {
	s := g.cfg.Settings
	g.upstreams = registrar.New(registrar.Config{
		OnEvent: g.logUpstream, OnEvacuation: g.logEvacuation, OnEra: g.logEra, OnOutdated: g.logOutdated, Expiry: expiryHeartbeats * s.Heartbeat,
	})
	g.health = appraiser.New(appraiser.Config{
		OnChange: g.logHealth, OnReport: func() { g.relayer.NotifyPeers() },
		Heard: func(upstream string) time.Time { return g.placer.Heard(upstream) },
	})
	g.throttler = throttler.New(throttler.Config{
		Self: s.PeerListen.String(), Members: func(now time.Time) ([]string, bool) { return g.relayer.Known(now) },
		Bound: g.coldBound, View: g.upstreams.View, OnChange: g.logCold,
		OnSend: func() { metrics.GetOrRegisterCounter("sent_to_cold_upstreams", g.registry).Inc(1) },
	})
	g.assembleLimits()
	placing := placer.Config{
		FailureDomain: s.FailureDomain, View: g.upstreams.View, Health: g.health.Health,
		Gateways: func() int { return g.relayer.Gateways() }, ListCurrent: g.listCurrent,
		OnHigh: func() { g.relayer.NotifyHighLoad() }, Cold: g.throttler,
	}
	if g.estimator != nil {
		placing.Slowdown = g.estimator.Slowdown
	}
	g.placer = placer.New(placing)
	g.pool = connector.New(connector.Config{Dial: g.cfg.Dial, OnDial: g.countDial})
	g.assembleFollower()
	var seeds []string
	for _, a := range s.Peers {
		seeds = append(seeds, a.String())
	}
	state := relayer.State{
		Document: g.follower.Document, Confirmed: func() time.Time { return g.follower.Current().Confirmed },
		Reached: g.follower.Reached, Adopt: g.follower.Adopt, Confirm: g.follower.Confirm,
		PeerReachedStore: g.follower.PeerReachedStore,
		Registry:         g.upstreams, Crashes: g.crashes, Loads: g.placer.Reports, HighLoads: g.placer.HighReports, MergeLoads: g.placer.Merge,
		Health: g.health, HotChats: g.placer.HotChats, MergeHotChats: g.placer.MergeHotChats,
	}
	if g.estimator != nil {
		state.Slowdowns, state.MergeSlowdowns, state.Work = g.estimator.Reports, g.estimator.Merge, g.work.Work
	}
	services := make(map[string]any)
	if g.assemblePlaces(); g.arbiter != nil {
		services[arbiter.ServiceName] = &arbiter.Places{Arbiter: g.arbiter}
	}
	g.relayer = relayer.New(relayer.Config{
		Address: s.PeerListen.String(), FailureDomain: s.FailureDomain, Seeds: seeds, Link: s.Link, Readers: storeReaders,
		Propagation: s.Propagation,
		CountBytes:  func(n int) { metrics.GetOrRegisterCounter("peer_bytes", g.registry).Inc(int64(n)) },
		Arrived:     g.pulse.Arrived,
		Dial:        g.cfg.Dial, Log: g.log.Named("relayer"),
		// One that is stopping owns no service, as one that lacks processor time.
		Saturated: func() bool { saturated, _ := g.saturation.Saturated(); return saturated || g.stopping.Load() },
		State:     state, Services: services,
	})
	proxying := proxier.Config{
		Codec: proxier.Codec{
			DecodeRequest: platform.DecodeRequest, ForwardHeaders: platform.ForwardHeaders,
			SetAttempt: platform.SetAttempt, DecodeReply: platform.DecodeReply, SetRequestID: platform.SetRequestID,
			IsEventField: platform.IsEventField,
		},
		Placer: g.placer, Health: g.health, Crashes: g.crashes,
		Shedder: &shedder.Shedder{OnChange: g.logOverload}, Pool: g.pool,
		CurrentTable: g.follower.Current, AwaitReady: g.follower.AwaitReady,
		AllowRetry:   func(service string) bool { return g.budget(service).AllowRetry(time.Now()) },
		CountRequest: func(service string) { g.budget(service).CountFirst(time.Now()) },
		Routers:      g.gateways, Closing: func() bool { return g.stopping.Load() || g.divertsCallers() },
		MarkLeaving:  func(u registrar.Upstream) bool { return g.upstreams.MarkLeaving(u, "response", time.Now()) },
		CallerLeft:   func(ctx context.Context) bool { return g.callers.Disconnected(ctx) },
		MaxBodyBytes: int64(bodyShare * float64(s.Memory)), MaxHeldBytes: int64(heldShare * float64(s.Memory)),
		StaleAfter: s.Propagation, Arrived: g.pulse.Arrived,
		Log: g.log.Named("proxier"), Metrics: g.registry,
	}
	if g.estimator != nil {
		proxying.Record, proxying.Work, proxying.Acquire = g.recordSample, g.work, g.arbiter.Acquire
	}
	g.proxier = proxier.New(proxying)
	g.callers = NewCallerConns(s.Connections)
}

// assembleFollower creates the follower of the store.
func (g *Gateway) assembleFollower() {
	s := g.cfg.Settings
	store := platform.NewStore(platform.StoreConfig{Address: s.Store.String(), Dial: g.cfg.Dial, OnCall: g.countCall})
	g.follower = follower.New(follower.Config{
		Store: follower.Store{ReadAll: store.ReadAll, Watch: store.Watch}, Wait: watchTime(s.Propagation),
		Propagation: s.Propagation, Heartbeat: s.Heartbeat,
		Reader: func() bool { return g.relayer.Reader() }, Gateways: func() int { return g.relayer.Gateways() },
		OnUpdate: func() { g.relayer.NotifyPeers() },
		Registry: g.upstreams, Decode: platform.DecodeConfiguration, Log: g.log.Named("follower"),
	})
}

// listCurrent reports whether the list of upstreams has been confirmed lately, and no entry is left of those that went away
// during an outage of the store.
func (g *Gateway) listCurrent(now time.Time) bool {
	if now.Sub(g.follower.Current().Confirmed) > maxListAge {
		return false
	}
	since := g.upstreams.TimeSinceOutage(now)
	return since < 0 || since > expiryHeartbeats*g.settings.Load().Heartbeat
}

// coldBound returns the limit of requests to a cold upstream of a service.
func (g *Gateway) coldBound(service string) throttler.Bound {
	table := g.follower.Current().Table
	if table == nil {
		return throttler.Bound{}
	}
	s, c := table.Services[service], g.settings.Load().Cold
	return throttler.Bound{Rate: s.ColdRate, Overshoot: c.Overshoot, Tolerance: c.Tolerance, Start: s.ColdStart}
}

// watchTime returns the duration of a watch of the store without changes: half of the time in which a change must take
// effect, because an unresponsive connection is noticed only at the end of its watch.
func watchTime(propagation time.Duration) time.Duration {
	return max(propagation/2, minWatchTime)
}

// gateways returns the number of gateways that share the capacity of upstreams and the retry budgets.
func (g *Gateway) gateways() int {
	return max(g.relayer.Gateways(), minGateways)
}

// budget returns the retry budget of a service, which is created on first use.
func (g *Gateway) budget(service string) *limiter.RetryBudget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		r := g.settings.Load().Retries
		var err error
		b, err = limiter.NewRetryBudget(limiter.RetryConfig{Ratio: budgetMargin * r.Ratio, Window: r.Window, Floor: -1})
		if err != nil {
			// The settings have been validated; with a ratio of zero, only the extra retries remain.
			b, _ = limiter.NewRetryBudget(limiter.RetryConfig{Floor: -1})
		}
		b.SetExtra(g.extraRetries())
		g.budgets[service] = b
	}
	return b
}

// extraRetries returns this gateway's share of the extra retries that the settings allow the whole fleet.
func (g *Gateway) extraRetries() float64 {
	return budgetMargin * g.settings.Load().Retries.Extra / float64(g.gateways())
}

// shareBudgets updates the share of extra retries in each budget, which depends on the number of gateways.
func (g *Gateway) shareBudgets() {
	share := g.extraRetries()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range g.budgets {
		b.SetExtra(share)
	}
}

// Run serves until ctx ends, then shuts down gracefully and returns nil. It returns an error if it cannot listen on an
// address or a server fails.
func (g *Gateway) Run(ctx context.Context) error {
	s := g.cfg.Settings
	started := time.Now()
	callerServer := &http.Server{
		Handler: g.callers.Handler(g.proxier), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: g.callers.OnConnState, ConnContext: g.callers.ConnContext, ErrorLog: g.log.Named("callers").StandardLogger(nil),
	}
	readyServer, metricsServer := newStatusServer(g.readinessHandler()), newStatusServer(g.metricsHandler())
	var listeners []net.Listener
	for _, address := range []string{s.Listen.String(), s.ReadyListen.String(), s.PeerListen.String(), s.MetricsListen.String()} {
		l, err := g.cfg.Listen("tcp", address)
		if err != nil {
			for _, earlier := range listeners {
				_ = earlier.Close()
			}
			return trace.Wrap(err, "listen on %s", address)
		}
		listeners = append(listeners, l)
	}
	g.log.Info("started", "name", s.Name, "failure_domain", s.FailureDomain, "listen", s.Listen.String(),
		"store", s.Store.String(), "peers", len(s.Peers))

	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, runCtx := errgroup.WithContext(runCtx)
	group.Go(func() error { return serve(callerServer, g.callers.Listen(listeners[0])) })
	group.Go(func() error { return serve(readyServer, listeners[1]) })
	group.Go(func() error { return g.relayer.Serve(&peerListener{Listener: listeners[2], log: g.log}) })
	group.Go(func() error { return serve(metricsServer, listeners[3]) })
	group.Go(func() error { g.follower.Run(runCtx); return nil })
	group.Go(func() error { g.relayer.Run(runCtx); return nil })
	group.Go(func() error { g.runHousekeeping(runCtx); return nil })
	group.Go(func() error { g.measureSaturation(runCtx); return nil })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			g.stop(runCtx, callerServer)
		case <-runCtx.Done():
		}
		cancel()
		_ = callerServer.Close()
		_ = readyServer.Close()
		_ = metricsServer.Close()
		_ = listeners[2].Close()
		return nil
	})
	err := group.Wait()
	g.log.Info("stopped", "after_ms", time.Since(started).Milliseconds())
	return trace.Wrap(err)
}

// peerListener is a listener that accepts again after an error that passes, as http.Server does: if the listener for peers
// failed, the whole gateway would end, with all requests that it serves.
type peerListener struct {
	net.Listener
	log hclog.Logger
}

// Accept waits for the next connection.
func (l *peerListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if !isTemporary(err) {
			return c, err
		}
		l.log.Warn("peer_accept_failed", "error", err.Error())
		time.Sleep(acceptRetryInterval)
	}
}

// isTemporary reports whether err is an error of accept that passes: the process or the host lacks resources, or the
// connection has ended before it was accepted.
func isTemporary(err error) bool {
	for _, temporary := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, temporary) {
			return true
		}
	}
	return false
}

// newStatusServer returns a server for requests without a body.
func newStatusServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: http.MaxBytesHandler(h, 0), ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout,
		IdleTimeout: statusIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}

// runHousekeeping calls housekeep at each housekeepingInterval until ctx ends.
func (g *Gateway) runHousekeeping(ctx context.Context) {
	t := time.NewTicker(housekeepingInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			g.housekeep(now)
			g.probeUnreachable(ctx, now)
		}
	}
}

// probeUnreachable opens connections to the unreachable upstreams whose probes are due, so that no request waits for one
// that is still gone.
func (g *Gateway) probeUnreachable(ctx context.Context, now time.Time) {
	due := g.health.DueProbes(now)
	if len(due) == 0 {
		return
	}
	for _, list := range g.upstreams.View().ByService {
		for _, u := range list {
			if !slices.Contains(due, u.ID) {
				continue
			}
			go func() {
				err := g.pool.Connect(ctx, connector.Target{Upstream: proxier.Incarnation(u), Address: u.Address})
				if ctx.Err() == nil {
					g.health.RecordProbe(u.ID, err == nil, time.Now())
				}
			}()
		}
	}
}

// housekeep removes unused state, closes idle connections of callers and updates the gauges.
func (g *Gateway) housekeep(now time.Time) {
	g.upstreams.Refresh(now)
	g.shareBudgets()
	live, incarnations := make(map[string]bool), make(map[string]bool)
	view := g.upstreams.View()
	for _, list := range view.ByService {
		for _, u := range list {
			live[u.ID] = true
			incarnations[proxier.Incarnation(u)] = true
		}
	}
	known := maps.Clone(live)
	for _, lists := range []map[string][]registrar.Upstream{view.Leaving, view.Evacuated} {
		for _, list := range lists {
			for _, u := range list {
				known[u.ID] = true // Prompts are fetched from it as long as it is known to be there.
			}
		}
	}
	g.pool.Sweep(func(name string) bool { return incarnations[name] })
	g.health.Prune(func(id string) bool { return known[id] })
	g.placer.Prune(func(id string) bool { return known[id] }, now)
	if table := g.follower.Current().Table; table != nil && table.Limits.IdleTime > 0 {
		g.callers.CloseIdle(now, time.Duration(idleFactor*float64(table.Limits.IdleTime)))
	}
	gauge := func(name string, n int) { metrics.GetOrRegisterGauge(name, g.registry).Update(int64(n)) }
	gauge("requests_running", g.proxier.Running())
	gauge("upstream_connections", g.pool.OpenConnections())
	gauge("caller_connections", g.callers.Open())
	gauge("gateways", g.relayer.Gateways())
	gauge("upstreams", len(live))
	evacuated, running := g.countUpstreams(view, view.IsEvacuated)
	gauge("evacuated_failure_domains", len(view.Evacuations))
	gauge("evacuated_upstreams", evacuated)
	gauge("evacuated_requests_running", running)
	cold, owned := g.throttler.Refresh(now)
	gauge("cold_upstreams", cold)
	gauge("cold_upstreams_owned", owned)
	g.updateLimits(view, now)
	g.mu.Lock()
	for service, b := range g.budgets {
		gauge("second_tries_left."+service, b.Remaining(now))
	}
	g.mu.Unlock()
	g.updatePlainGauges(now)
	_, lag := g.saturation.Saturated()
	gauge("wake_up_lag_ms", int(lag.Milliseconds()))
	current := g.follower.Current()
	gauge("configuration_age_ms", int(now.Sub(current.Confirmed).Milliseconds()))
	superseded := 0
	if current.Superseded {
		superseded = 1
	}
	gauge("configuration_superseded", superseded)
}

// Reload applies new settings. Only those that can change at run time take effect; the others, such as addresses to
// listen on, need a restart.
func (g *Gateway) Reload(s *loader.Gateway) {
	old := g.settings.Swap(s)
	if s.Retries != old.Retries { // New budgets are created, so retries spent so far no longer count.
		g.mu.Lock()
		clear(g.budgets)
		g.mu.Unlock()
	}
	g.log.Info("reloaded", "propagation_ms", s.Propagation.Milliseconds(), "retry_ratio", s.Retries.Ratio,
		"retry_extra", s.Retries.Extra, "grace_ms", s.Grace.Milliseconds(), "cold_overshoot", s.Cold.Overshoot,
		"cold_tolerance", s.Cold.Tolerance)
}

// readinessHandler answers readiness checks with 200, or with 503 if callers should not use this gateway.
func (g *Gateway) readinessHandler() http.Handler {
	e := echo.New()
	e.GET(platform.ReadyPath, func(c echo.Context) error {
		if !g.follower.Ready() || g.stopping.Load() || g.divertsCallers() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	return e
}

func (g *Gateway) metricsHandler() http.Handler {
	e := echo.New()
	e.GET(metricsPath, func(c echo.Context) error {
		c.Response().Header().Set("Content-Type", "text/plain; charset=utf-8")
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory) // This briefly stops all goroutines, so it is done only on request.
		metrics.GetOrRegisterGauge("memory_bytes", g.registry).Update(int64(memory.Sys - memory.HeapReleased))
		metrics.WriteOnce(g.registry, c.Response())
		return nil
	})
	return e
}

func (g *Gateway) countCall(call string, took time.Duration, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	metrics.GetOrRegisterCounter("store_calls."+call+"."+outcome, g.registry).Inc(1)
	if err != nil {
		g.log.Debug("store_call_failed", "call", call, "took_ms", took.Milliseconds(), "error", err.Error())
	}
}

func (g *Gateway) countDial(upstream string, took time.Duration, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	metrics.GetOrRegisterCounter("dials."+outcome, g.registry).Inc(1)
	if err != nil {
		g.log.Info("dial_failed", "upstream", upstream, "took_ms", took.Milliseconds(), "error", err.Error())
	}
}

func (g *Gateway) logUpstream(e registrar.Event) {
	u := e.Record.Upstream
	g.log.Info("upstream_"+e.Change, "upstream", e.Record.ID, "service", u.Service, "address", u.Address,
		"revision", e.Record.Revision, "era", e.Era, "known_revision", e.Known, "leaving", u.Leaving, "slots", u.Slots, "born", u.Born,
		"mark_age_ms", e.MarkAge.Milliseconds(), "mark_source", e.MarkSource)
}

// countUpstreams returns the number of the upstreams in the failure domains that in selects, leaving ones included, and that of
// the requests of this gateway that run there.
func (g *Gateway) countUpstreams(view *registrar.View, in func(registrar.Upstream) bool) (upstreams, running int) {
	for _, lists := range []map[string][]registrar.Upstream{view.ByService, view.Leaving, view.Evacuated} {
		for _, list := range lists {
			for _, u := range list {
				if in(u) {
					upstreams++
					running += g.placer.InProgress(u.ID)
				}
			}
		}
	}
	return upstreams, running
}

func (g *Gateway) logEvacuation(e registrar.EvacuationEvent) {
	if !e.Began {
		g.log.Warn("evacuation_ended", "failure_domain", e.FailureDomain, "revision", e.Revision, "era", e.Era,
			"upstreams", e.Upstreams, "lasted_ms", e.Lasted.Milliseconds())
		return
	}
	_, running := g.countUpstreams(g.upstreams.View(), func(u registrar.Upstream) bool { return u.FailureDomain == e.FailureDomain })
	g.log.Warn("evacuation_began", "failure_domain", e.FailureDomain, "revision", e.Revision, "era", e.Era,
		"upstreams", e.Upstreams, "requests_running", running)
}

func (g *Gateway) logCold(e throttler.Event) {
	event := "upstream_warm"
	if e.Cold {
		event = "upstream_cold"
	}
	g.log.Info(event, "upstream", e.Upstream, "service", e.Service, "cause", e.Cause, "cold_ms", e.Duration.Milliseconds(),
		"owner", e.Owner, "share", e.Share)
}

func (g *Gateway) logOutdated(e registrar.OutdatedEvent) {
	metrics.GetOrRegisterCounter("outdated_records", g.registry).Inc(int64(e.Records))
	g.log.Info("records_outdated", "records", e.Records, "first", e.First.ID, "revision", e.First.Revision, "era", e.Era,
		"known_revision", e.Known)
}

func (g *Gateway) logEra(old, new registrar.Position) {
	metrics.GetOrRegisterCounter("store_eras", g.registry).Inc(1)
	g.log.Warn("store_era_changed", "old_era", old.Era, "old_revision", old.Revision, "era", new.Era, "revision", new.Revision)
}

func (g *Gateway) logOverload(o shedder.OverloadEvent) {
	event := "overload_ended"
	if o.Began {
		event = "overload_began"
	}
	g.log.Warn(event, "service", o.Service, "occupancy", o.Load, "lasted_ms", o.Duration.Milliseconds())
}

func (g *Gateway) logHealth(c appraiser.Change) {
	g.log.Info("upstream_grade", "upstream", c.Upstream, "from", c.From.String(), "to", c.To.String(),
		"outcome", c.Outcome.String(), "failures", c.Failures, "rest_ms", c.Backoff.Milliseconds())
}

func (g *Gateway) logPart(e blocker.PartEvent) {
	event := "part_unblocked"
	if e.Blocked {
		event = "part_blocked"
	}
	metrics.GetOrRegisterCounter(event, g.registry).Inc(1)
	g.log.Warn(event, "part", fmt.Sprintf("%08x", uint32(e.Part)), "crashes", e.Crashes, "hold_ms", e.Hold.Milliseconds())
}

// RunFile runs the gateway of a settings file until ctx ends, and logs to out. It reloads the file at each value
// received from reload.
func RunFile(ctx context.Context, file string, reload <-chan os.Signal, out io.Writer) error {
	settings, adjustments, err := loader.LoadGateway(file)
	if err != nil {
		return trace.Wrap(err)
	}
	limitMemory(settings)
	writer := logger.NewAsync(out)
	defer writer.Close()
	log := logger.New(logger.Config{Level: settings.LogLevel, Output: writer})
	logAdjustments(log, adjustments)
	g := New(Config{Settings: settings, Log: log})
	go g.watchFile(ctx, file, reload)
	return g.Run(ctx)
}

func logAdjustments(log hclog.Logger, adjustments []loader.Adjustment) {
	for _, a := range adjustments {
		log.Warn("setting_adjusted", "problem", a.Problem.String(), "used", a.Used)
	}
}
