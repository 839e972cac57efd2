package soaker

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"clementineramp/mapper"
	"clementineramp/platform/imitator"
)

// Documented guarantees of the platform that a soak checks. The settings files of the gateways contain those that are
// also settings.
//
// maxLeaveDelay is the time after which an upstream that has announced that it is leaving receives no more requests.
// reconnectTime is the time after a fault during which a gateway may still be disconnected. recoveryTime is the time
// after the last fault within which the fleet serves normally again. In each retryWindow, a service may run retryRatio
// retries per request, and retryExtra more.
const (
	maxLeaveDelay = 2 * time.Second
	reconnectTime = 3 * time.Second
	grace         = 3 * time.Second
	retryRatio    = 0.2
	retryWindow   = 10 * time.Second
	retryExtra    = 40
	recoveryTime  = 12 * time.Second
)

const (
	host          = "fleet.example"
	key           = "key-of-the-organisation"
	organisation  = "weavers"
	plainService  = "orders"
	engineService = "engines"
	// maxAttempts is the maximum number of upstreams that may run an idempotent request or a resumable stream.
	maxAttempts = 2
	// routeTarget is the latency objective of all routes, and the longest gap between events that counts as on time.
	routeTarget = 100 * time.Millisecond
	// readinessInterval is the time between two readiness probes of the gateways.
	readinessInterval = 300 * time.Millisecond
	// startTimeout bounds the start of the fleet, and settleTimeout the wait until all gateways are ready after the faults.
	startTimeout  = 30 * time.Second
	settleTimeout = 30 * time.Second
	// configurationTimeout bounds the wait until a gateway knows the newest configuration after the faults. It is five times
	// the time that the platform allows, as the machine may be overloaded.
	configurationTimeout = 10 * time.Second
	// finalPhase is the time for which callers continue to send requests after the recovery.
	finalPhase = 2 * time.Second
)

// Config holds the settings of a soak. Zero values of Gateways, Upstreams, Callers, Duration and Faults select defaults.
type Config struct {
	// Seed determines the faults and the requests.
	Seed uint64
	// Command starts a gateway; --settings and a file name are appended. Env is added to the environment.
	Command []string
	Env     []string
	// Dir is the directory for settings and, after a violation, logs. It must exist.
	Dir string
	// Gateways, Upstreams and Callers are the size of the fleet; Upstreams counts those of each of the two services.
	Gateways, Upstreams, Callers int
	// Duration is the time during which faults start, and Faults their number.
	Duration time.Duration
	Faults   int
	// AllFaults also draws the kinds of faults that were added later.
	AllFaults bool
	// Evacuations is the number of evacuations of failure domains beside the faults.
	Evacuations int
	// Timed also checks guarantees with a time bound. These hold only on a machine that is not overloaded.
	Timed bool
}

// Report is the result of a soak: counts of requests by outcome, the runs of requests at upstreams (Repeated counts the
// second and later runs of a request), the faults that were injected, and the guarantees that were violated.
type Report struct {
	Seed                                 uint64
	Faults                               []string
	Requests, Served, Refused            int
	Failed, Disconnected, Runs, Repeated int
	Violations                           []string
}

// String returns a summary line, followed by an indented line for each violation.
func (r *Report) String() string {
	line := fmt.Sprintf("seed %d: %d requests, %d served, %d refused, %d failed, %d left, %d runs, %d repeated, %d faults, %d violations",
		r.Seed, r.Requests, r.Served, r.Refused, r.Failed, r.Disconnected, r.Runs, r.Repeated, len(r.Faults), len(r.Violations))
	return strings.Join(append([]string{line}, r.Violations...), "\n  ")
}

// faultWindow is a period in which a fault affects a gateway or upstream; target is empty for the whole fleet.
type faultWindow struct {
	target     string
	start, end time.Time
}

// soak is the state of a run.
type soak struct {
	cfg          Config
	store        *imitator.Store
	server       *httptest.Server
	storeAddress string
	gateways     []*gateway
	startedAt    time.Time
	// firstRevision is that of the store when the gateways were started; it is never restored from an earlier copy.
	firstRevision uint64
	// restoring is held while the store is restored, until what it has lost is written again.
	restoring sync.Mutex

	mu            sync.Mutex
	upstreams     []*upstream
	allUpstreams  []*upstream
	upstreamCount int
	version       int
	extraPath     string
	attempts      []*attempt
	faultWindows  []faultWindow
	shutdowns     []faultWindow
	faultLog      []string
	evacuations   []evacuation
	violations    []string
}

// Run runs a soak until its end. It returns an error if the fleet could not be started or ctx ended; violations are only
// in the report.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	s := &soak{cfg: cfg, store: &imitator.Store{}}
	s.setDefaults()
	defer s.shutDown()
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	callerCtx, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	for n := range s.cfg.Callers {
		c := &caller{s: s, n: n, random: rand.New(rand.NewPCG(cfg.Seed, uint64(n)+1))}
		group.Go(func() { c.run(callerCtx) })
	}
	var evacuations sync.WaitGroup
	evacuations.Go(func() { s.evacuate(ctx) })
	s.injectFaults(ctx)
	evacuations.Wait()
	err := s.settle(ctx)
	if err == nil && s.cfg.Timed {
		pause(ctx, recoveryTime)
	}
	finalStart := time.Now()
	if err == nil {
		pause(ctx, finalPhase)
	}
	stop()
	group.Wait()
	if err != nil {
		s.addViolation("%v", err)
	}
	r := s.check(finalStart)
	if len(r.Violations) > 0 {
		s.saveLogs()
	}
	return r, ctx.Err()
}

func (s *soak) setDefaults() {
	c := &s.cfg
	for _, d := range []struct {
		field *int
		value int
	}{{&c.Gateways, 4}, {&c.Upstreams, 3}, {&c.Callers, 16}, {&c.Faults, 20}} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	if c.Duration == 0 {
		c.Duration = 12 * time.Second
	}
}

// start starts the store, upstreams and gateways, and waits until all gateways are ready.
func (s *soak) start(ctx context.Context) error {
	s.server = httptest.NewServer(s.store)
	s.storeAddress = strings.TrimPrefix(s.server.URL, "http://")
	for range s.cfg.Upstreams {
		for _, service := range []string{plainService, engineService} {
			s.addUpstream(service)
		}
	}
	s.publishConfiguration()
	s.firstRevision = s.store.Revision()
	var seeds []string
	for n := range s.cfg.Gateways {
		g := s.newGateway(n)
		s.gateways = append(s.gateways, g)
		if n < 3 {
			seeds = append(seeds, g.peerAddress)
		}
	}
	for _, g := range s.gateways {
		if err := errors.Join(g.writeSettings(seeds, retryExtra), g.process.Start()); err != nil {
			return err
		}
	}
	s.startedAt = time.Now()
	go s.pollReadiness(ctx)
	return s.awaitReady(ctx, startTimeout)
}

// pollReadiness probes the readiness of the gateways, as the load balancer does, until ctx ends.
func (s *soak) pollReadiness(ctx context.Context) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		for _, g := range s.gateways {
			go g.probeReadiness(client)
		}
		pause(ctx, readinessInterval)
	}
}

func (s *soak) awaitReady(ctx context.Context, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); pause(ctx, readinessInterval) {
		ready := 0
		for _, g := range s.gateways {
			if g.isReady() {
				ready++
			}
		}
		if ready == len(s.gateways) {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return fmt.Errorf("not all gateways are ready within %v", limit)
}

// pickGateway returns a random ready gateway for a new connection, or any gateway if none is ready.
func (s *soak) pickGateway(random *rand.Rand) (*gateway, bool) {
	var ready []*gateway
	for _, g := range s.gateways {
		if g.receivesCallers() {
			ready = append(ready, g)
		}
	}
	if len(ready) == 0 {
		ready = s.gateways
	}
	return ready[random.IntN(len(ready))], true
}

// addUpstream starts an upstream of a service and registers it in the store.
func (s *soak) addUpstream(service string) *upstream {
	s.mu.Lock()
	s.upstreamCount++
	id, domain := fmt.Sprintf("%s-%d", service, s.upstreamCount), s.failureDomainOf(s.upstreamCount)
	s.mu.Unlock()
	u := newUpstream(id, service)
	u.FailureDomain = domain
	s.mu.Lock()
	s.upstreams, s.allUpstreams = append(s.upstreams, u), append(s.allUpstreams, u)
	s.mu.Unlock()
	s.store.PutJSON(u.Key(), u.Entry("ready"))
	return u
}

// detachUpstream removes a random upstream from those that later faults may affect. It returns false if the upstream is
// the last one of its service.
func (s *soak) detachUpstream(random *rand.Rand) (*upstream, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := random.IntN(len(s.upstreams))
	u := s.upstreams[at]
	for i, other := range s.upstreams {
		if i != at && other.Service == u.Service {
			s.upstreams = append(s.upstreams[:at:at], s.upstreams[at+1:]...)
			return u, true
		}
	}
	return nil, false
}

// any returns a random upstream of those that faults may affect.
func (s *soak) any(random *rand.Rand) *upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.upstreams[random.IntN(len(s.upstreams))]
}

// publishConfiguration publishes the next version of the configuration, with one route that no other version has.
func (s *soak) publishConfiguration() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 1 + s.version%3
	s.extraPath = fmt.Sprintf("/extra-%d/", s.version)
	table := &mapper.Table{
		Version:       uint64(s.version),
		Services:      map[string]mapper.Service{plainService: {}, engineService: {Engine: true}},
		Organisations: map[string]*mapper.Organisation{key: {Name: organisation}},
	}
	for _, k := range append(kinds, kind{path: s.extraPath, service: plainService, once: true}) {
		r := mapper.Route{
			Name: k.path, Host: host, Prefix: k.path, Kind: mapper.Idempotent, Timeout: callerTimeout, Attempts: maxAttempts,
			Target: routeTarget, Gap: routeTarget, Shares: []mapper.Share{{Service: k.service}},
		}
		switch {
		case k.events > 0:
			r.Kind, r.Resumable, r.Chat = mapper.Stream, !k.once, true
		case k.once:
			r.Kind = mapper.NonIdempotent
		}
		table.Routes = append(table.Routes, r)
	}
	s.store.Configure(table)
}

// record stores an attempt of a caller for the check at the end.
func (s *soak) record(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts = append(s.attempts, a)
}

func (s *soak) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// settle ends faults of the store that may remain, and waits until all gateways are ready.
func (s *soak) settle(ctx context.Context) error {
	s.store.SetMode(imitator.Up)
	s.addFaultWindow("", time.Now(), time.Now())
	if err := s.awaitReady(ctx, settleTimeout); err != nil {
		return err
	}
	s.awaitConfigurations(ctx)
	if s.cfg.AllFaults {
		s.restoreBesideConfigurations(ctx)
	}
	return nil
}

// restoreBesideConfigurations restores the store from a copy that lacks the last configurations, of which only the newest is
// published again, and publishes the next one with a revision that the store has given out before.
func (s *soak) restoreBesideConfigurations(ctx context.Context) {
	const lost = 3
	for range lost {
		s.publishConfiguration()
	}
	s.awaitConfigurations(ctx)
	s.restore(ctx, lost, 0, 0)
	s.publishConfiguration()
	s.awaitConfigurations(ctx)
}

// awaitConfigurations waits until all gateways know the newest configuration.
func (s *soak) awaitConfigurations(ctx context.Context) {
	var group sync.WaitGroup
	for _, g := range s.gateways {
		group.Go(func() {
			if !s.awaitConfiguration(ctx, g) {
				s.addViolation("stale: %s does not know the newest configuration after %v", g.process.Name, configurationTimeout)
			}
		})
	}
	group.Wait()
}

// awaitConfiguration waits until a gateway knows the route that only the newest configuration has. A request without a key
// tells, and runs nowhere: it gets 401 if the route is known.
func (s *soak) awaitConfiguration(ctx context.Context, g *gateway) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(configurationTimeout); time.Now().Before(end) && ctx.Err() == nil; pause(ctx, readinessInterval) {
		s.mu.Lock()
		path := s.extraPath
		s.mu.Unlock()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.listenAddress+path, http.NoBody)
		if err != nil {
			return false
		}
		req.Host = host
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusUnauthorized {
			return true
		}
	}
	return ctx.Err() != nil
}

// shutDown stops all processes and stand-ins.
func (s *soak) shutDown() {
	for _, g := range s.gateways {
		if g.process.Running() {
			_ = g.process.Signal(syscall.SIGCONT) // A fault may have stopped it.
			g.process.Kill()
		}
		g.callerLink.close()
		g.storeLink.close()
	}
	for _, u := range s.allUpstreams {
		u.stop()
	}
	if s.server != nil {
		s.store.SetMode(imitator.Busy) // Ends the open watches.
		s.server.CloseClientConnections()
		s.server.Close()
	}
}

// saveLogs writes the logs of the gateways and the list of faults to the directory of the settings.
func (s *soak) saveLogs() {
	for _, g := range s.gateways {
		_ = os.WriteFile(filepath.Join(s.cfg.Dir, g.process.Name+".log"), []byte(g.process.Log.String()), 0o600)
	}
	_ = os.WriteFile(filepath.Join(s.cfg.Dir, "faults.txt"), []byte(strings.Join(s.faultLog, "\n")+"\n"), 0o600)
}
