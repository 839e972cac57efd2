package agent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"clementineramp/admitter"
	"clementineramp/chooser"
	"clementineramp/configurer"
	"clementineramp/encoder"
	"clementineramp/engine"
	"clementineramp/judge"
	"clementineramp/locator"
	"clementineramp/recorder"
	"clementineramp/service"
	"clementineramp/ticketer"
	"clementineramp/tracker"
)

// Kind is the kind of upstream that an agent serves.
type Kind string

// The kinds of upstream: a model engine, or a plain service that takes orders.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Config holds the settings and dependencies of an Agent. A zero field from Slots to TicketLifetime means its default.
type Config struct {
	// Name is the name of the upstream and of its agent.
	Name string
	// Pool is the name of the pool or service that the upstream belongs to.
	Pool string
	Kind Kind
	// Upstream is the IP address and port of the engine or service.
	Upstream string
	// SharedKey is the fleet's key, with which routers sign their requests.
	SharedKey string
	// Slots is the number of requests that the upstream runs at a time.
	Slots int
	// Bound is the load factor: the engine may run this multiple of the mean load of its pool.
	Bound float64
	// MaxQueueWork limits the queued work of a rank, in tokens, and MaxQueueTime the time that a request is queued.
	MaxQueueWork float64
	MaxQueueTime time.Duration
	// AnswerRetention is how long the recording of an answer is kept after its end, for routers that resume it.
	AnswerRetention time.Duration
	// ResumeGrace is how long a generation continues without a router that follows it.
	ResumeGrace time.Duration
	// StreamIdle is the idle timeout of the engine's event stream; when it expires, the generation fails.
	StreamIdle time.Duration
	// Horizon is the time within which callers may retry an order with their own idempotency key.
	Horizon time.Duration
	// TicketLifetime is the time after its issue in which a ticket can be used.
	TicketLifetime time.Duration
	// Admission is the admission policy; the zero value is the standard one, and the others are baselines for
	// measurements.
	Admission admitter.Policy
	// ChecksFencing means that the engine refuses load orders with an old fencing number.
	ChecksFencing bool

	// Snapshot returns the current configuration, or nil before the first.
	Snapshot func() *configurer.Snapshot
	// Confirmed returns when the platform last confirmed the current configuration.
	Confirmed func() time.Time
	// CallerKeysFrom returns the time from which the fleet is old enough to accept orders with callers' own keys, and the
	// first configuration of the fleet.
	CallerKeysFrom func() (time.Time, configurer.ID)
	// MergeFleet merges what a router reports about the history of the fleet; nil means that it is ignored.
	MergeFleet func(encoder.FleetHistory)
	// Routing is the policy of the routers. Only under chooser.Rendezvous do agents redirect chats to other engines.
	Routing chooser.Policy
	// PeerLoad returns the known load of a pool without the upstream named self.
	PeerLoad func(pool, self string) tracker.Load
	// View returns the current state of the upstreams of a pool.
	View func(pool string) []chooser.Upstream
	// MergeLoad merges the load entries of a router's envelope into the load table of this process.
	MergeLoad func([]encoder.LoadEntry)
	// FreshestLoad returns the most recent load entries, to forward to routers.
	FreshestLoad func() []encoder.LoadEntry
	// CountControl counts bytes of control traffic; nil means no counting.
	CountControl func(sent, received int)
	// OnCrash is called when a request may have crashed the engine, so that peers receive the crash marks soon. It must
	// not block; nil means no call.
	OnCrash func()
	// CreditAdvance is the accrual time of the pool's account whose credits a newly started agent may spend at once.
	CreditAdvance time.Duration
	// DialUpstream opens connections to the upstream; nil means net.Dialer.
	DialUpstream func(ctx context.Context, network, address string) (net.Conn, error)
	Log          hclog.Logger
	Metrics      metrics.Registry
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Agent serves the requests of routers for one upstream.
type Agent struct {
	cfg         Config
	incarnation uint64
	started     time.Time
	engine      *engine.Client
	engineState *engineState
	gate        *gate
	credit      *credit
	recorder    *recorder.Recorder
	suspects    *suspectTracker
	ledger      *ticketer.Ledger
	service     *service.Client
	followers   *followerTracker
	locator     *locator.Locator
	chooser     *chooser.Chooser
	lastStream  atomic.Uint64
	lastReport  atomic.Uint64

	// lifetime is cancelled by Close; it is the parent context of work that outlives the router's request.
	lifetime context.Context
	cancel   context.CancelFunc

	mu             sync.Mutex
	leaveAnnounced bool
	leaving        bool
	// leaveCancelledAt is when CancelLeave last ended a leave.
	leaveCancelledAt time.Time
	requests         sync.WaitGroup
	running          atomic.Int64
	// lastOrderAt is the arrival time of the latest ticket request or order; nil before the first.
	lastOrderAt atomic.Pointer[time.Time]
	// listedSince is when settling first saw a host list; nil before.
	listedSince atomic.Pointer[time.Time]
}

// New returns an agent, or an error if a part of it cannot be set up. Run must be called for it to become ready, and
// its handler served to routers.
func New(cfg Config) (*Agent, error) {
	setDefaults(&cfg)
	a := &Agent{
		cfg: cfg, incarnation: newIncarnation(cfg.Now()), started: cfg.Now(),
		engineState: &engineState{}, followers: newFollowerTracker(cfg.ResumeGrace),
	}
	a.lifetime, a.cancel = context.WithCancel(context.Background())
	a.engine = engine.New(engine.Config{Address: cfg.Upstream, Dial: cfg.DialUpstream, IdleTimeout: cfg.StreamIdle})
	a.gate = newGate(admitter.Config{
		Policy: cfg.Admission, Slots: cfg.Slots, MaxQueueWork: cfg.MaxQueueWork, MaxQueueTime: cfg.MaxQueueTime, PauseWithinRank: true,
	}, cfg.Log, cfg.Now, a.loadLimit)
	a.credit = &credit{log: cfg.Log, view: cfg.View, advance: cfg.CreditAdvance}
	return a, a.initState()
}

// incarnationRandomBits is the number of random low bits of an incarnation, which distinguish two starts within the
// same millisecond.
const incarnationRandomBits = 16

// newIncarnation returns a number that increases from start to start, because processes ignore reports of any but the
// highest incarnation. If it were random, it would be lower after about half of the restarts, and the reports of these
// agents would be ignored for a while.
func newIncarnation(now time.Time) uint64 {
	return uint64(now.UnixMilli())<<incarnationRandomBits | uint64(rand.N(1<<incarnationRandomBits))
}

func setDefaults(cfg *Config) {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.MergeFleet == nil {
		cfg.MergeFleet = func(encoder.FleetHistory) {}
	}
	if cfg.CallerKeysFrom == nil {
		cfg.CallerKeysFrom = func() (time.Time, configurer.ID) { return time.Time{}, configurer.ID{} }
	}
	if cfg.OnCrash == nil {
		cfg.OnCrash = func() {}
	}
	if cfg.MergeFleet == nil {
		cfg.MergeFleet = func(encoder.FleetHistory) {}
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	setDefault(&cfg.Slots, 16)
	setDefault(&cfg.Bound, chooser.DefaultBound)
	setDefault(&cfg.MaxQueueWork, 200_000)
	setDefault(&cfg.MaxQueueTime, 30*time.Second)
	setDefault(&cfg.AnswerRetention, time.Minute)
	setDefault(&cfg.ResumeGrace, 10*time.Second)
	setDefault(&cfg.StreamIdle, 30*time.Second)
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Run polls the engine, maintains its model placement and checks the pool's account until ctx is cancelled. An agent of
// a plain service has none of these tasks.
func (a *Agent) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	if a.cfg.Kind == KindEngine {
		g.Go(func() error { return a.pollEngine(ctx) })
		g.Go(func() error { return a.maintainPlacement(ctx) })
		g.Go(func() error { return a.watchCredit(ctx) })
	}
	return g.Wait()
}

// Handler returns the HTTP handler for requests of routers.
func (a *Agent) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", a.serveChat)
	mux.HandleFunc("POST /v1/chats", a.serveChatPlacement)
	mux.HandleFunc("GET /v1/streams/{id}", a.serveResume)
	mux.HandleFunc("POST /v1/tickets", a.serveTicket)
	mux.HandleFunc("/v1/call/", a.serveCall)
	return mux
}

// Incarnation returns the number that identifies this start of the agent; it increases with each restart.
func (a *Agent) Incarnation() uint64 {
	return a.incarnation
}

// SetSnapshot applies a new configuration to the queue and the account; the agent reads the rest through
// Config.Snapshot.
func (a *Agent) SetSnapshot(s *configurer.Snapshot) {
	a.gate.setRanks(s.Ranks)
	a.credit.setSnapshot(a.cfg.Now(), a.cfg.Pool, s)
}

// AnnounceLeave reports the upstream as leaving in the load entries, while the agent still accepts requests that are on
// their way.
func (a *Agent) AnnounceLeave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaveAnnounced = true
}

// ObserveKeyOwnership updates the time for which the agent has owned the idempotency keys of its service. It must be
// called several times a second; for an engine it does nothing.
func (a *Agent) ObserveKeyOwnership(now time.Time) {
	if a.cfg.Kind == KindService {
		a.ledger.Observe(now, a.configurationState(a.cfg.Pool))
	}
}

// Leave makes the agent refuse new requests. Retries of known orders and resumed streams are still served.
func (a *Agent) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.leaving {
		a.cfg.Log.Info("leaving", "running", a.running.Load())
	}
	a.leaving = true
}

// CancelLeave undoes Leave and AnnounceLeave, for a host that the platform's list names as live again.
func (a *Agent) CancelLeave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving {
		a.leaveCancelledAt = a.cfg.Now()
	}
	a.leaving, a.leaveAnnounced = false, false
}

// Leaving reports whether routers should send no new requests.
func (a *Agent) Leaving() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leaving || a.leaveAnnounced
}

// Ready reports whether the upstream can accept requests: an engine has its model loaded and is not about to change it.
// A plain service always counts as ready.
func (a *Agent) Ready() bool {
	if a.cfg.Kind != KindEngine {
		return true
	}
	status, alive, _ := a.engineState.current()
	return alive && status.Ready && !a.engineState.isChanging()
}

// Alarms returns the conditions of the pool's account that need an operator, and logs those that begin or end.
func (a *Agent) Alarms() []string {
	return a.credit.checkAlarms(a.cfg.Now())
}

// watchCredit logs the alarms of the pool's account until ctx is cancelled.
func (a *Agent) watchCredit(ctx context.Context) error {
	t := time.NewTicker(creditCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			a.Alarms()
		}
	}
}

// Running returns the number of requests in progress.
func (a *Agent) Running() int {
	return int(a.running.Load())
}

// Drain refuses new requests and waits until none is in progress and callers have had time to retry their last orders.
// It returns the error of ctx if that is cancelled first.
func (a *Agent) Drain(ctx context.Context) error {
	a.Leave()
	done := make(chan struct{})
	go func() {
		a.requests.Wait()
		close(done)
	}()
	select {
	case <-done:
		return a.awaitOrderRetries(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// orderRetryWindow is how long a drained agent still answers retries after its last order. Callers that lost a response
// retry within seconds, and once the agent has stopped, no process can report whether the order ran.
const orderRetryWindow = 5 * time.Second

// awaitOrderRetries waits until orderRetryWindow has passed since the last order.
func (a *Agent) awaitOrderRetries(ctx context.Context) error {
	last := a.lastOrderAt.Load()
	if last == nil {
		return nil
	}
	t := time.NewTimer(last.Add(orderRetryWindow).Sub(a.cfg.Now()))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close cancels all generations and calls in progress.
func (a *Agent) Close() {
	a.cancel()
}

// beginRequest registers a request as in progress until end is called, or refuses it when the agent is leaving.
func (a *Agent) beginRequest() (end func(), err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving {
		return nil, judge.Refuse(judge.ReasonLeaving, "upstream %s is leaving", a.cfg.Name)
	}
	a.requests.Add(1)
	a.running.Add(1)
	return func() {
		a.running.Add(-1)
		a.requests.Done()
	}, nil
}

// weightOf returns the weight of an organisation in the fair share among the organisations of a rank.
func (a *Agent) weightOf(organisation string) float64 {
	s := a.cfg.Snapshot()
	if s == nil {
		return 1
	}
	o, _ := s.Organisation(organisation)
	return o.Weight
}

// readEnvelope authenticates a router's request, decodes its envelope and merges the reports in it.
func (a *Agent) readEnvelope(r *http.Request) (encoder.Envelope, error) {
	text := r.Header.Get(encoder.EnvelopeHeader)
	if !encoder.Verify(a.cfg.SharedKey, text, r.Header.Get(encoder.SignatureHeader)) {
		return encoder.Envelope{}, judge.Refuse(judge.ReasonUnauthorised, "the envelope is not signed with the fleet's shared key")
	}
	env, err := encoder.DecodeHeader[encoder.Envelope](r.Header, encoder.EnvelopeHeader)
	if err != nil {
		return env, judge.Refuse(judge.ReasonInvalid, "%w", err)
	}
	a.countControl(0, encoder.LoadBytes(env.Load))
	a.cfg.MergeLoad(env.Load)
	a.cfg.MergeFleet(env.Fleet)
	return env, nil
}

// refuse responds to a router with an error and this agent's report.
func (a *Agent) refuse(w http.ResponseWriter, env encoder.Envelope, err error) {
	a.refuseWith(w, env, encoder.NewRefusal(err), err)
}

// refuseWith responds with a refusal that has further fields than those of the error, such as a redirect.
func (a *Agent) refuseWith(w http.ResponseWriter, env encoder.Envelope, r encoder.Refusal, err error) {
	a.cfg.Log.Info("refused", "request", env.RequestID, "organisation", env.Organisation, "rank", env.Rank,
		"reason", r.Error.Code, "verdict", r.Error.Verdict, "mark", r.Mark, "try", r.NextUpstream, "error", err)
	metrics.GetOrRegisterCounter("refused_"+string(r.Error.Code), a.cfg.Metrics).Inc(1)
	a.setReport(w.Header(), a.report(env))
	r.Write(w)
}

// report returns the agent's own load entry and some of other agents. It returns at most as many of these as the envelope
// holds, since the router limits their number to its budget for control traffic.
func (a *Agent) report(env encoder.Envelope) encoder.Report {
	r := encoder.Report{Self: a.Entry()}
	if len(env.Load) > 0 {
		load := a.cfg.FreshestLoad()
		r.Load = load[:min(len(load), len(env.Load))]
	}
	return r
}

// setReport sets a report in a header or trailer and counts its bytes as control traffic.
func (a *Agent) setReport(h http.Header, r encoder.Report) {
	h.Set(encoder.ReportHeader, encoder.EncodeHeader(r))
	a.countControl(encoder.ReportBytes(h), 0)
}

func (a *Agent) countControl(sent, received int) {
	if a.cfg.CountControl != nil {
		a.cfg.CountControl(sent, received)
	}
}

// Entry returns the agent's own load entry, with a new sequence number.
func (a *Agent) Entry() encoder.LoadEntry {
	work, queued, _ := a.gate.load()
	now := a.cfg.Now()
	e := encoder.LoadEntry{
		Upstream: a.cfg.Name, Incarnation: a.incarnation, Sequence: a.lastReport.Add(1),
		Work: work, Queued: queued, Leaving: a.Leaving(), UptimeMS: now.Sub(a.started).Milliseconds(),
	}
	if a.cfg.Kind == KindEngine {
		status, _, since := a.engineState.current()
		e.Version = status.Version
		// To routers, an uptime of 0 means that the upstream cannot accept requests now.
		e.UptimeMS = 0
		if a.Ready() {
			e.UptimeMS = max(now.Sub(since).Milliseconds(), 1)
		}
	}
	return e
}

// controller returns the name of this incarnation in load orders to the engine.
func (a *Agent) controller() string {
	return fmt.Sprintf("%s.%x", a.cfg.Name, a.incarnation)
}

// newStreamID returns an ID that is unique across agents and restarts.
func (a *Agent) newStreamID() encoder.StreamID {
	return encoder.StreamID{Agent: a.cfg.Name, Incarnation: a.incarnation, Serial: a.lastStream.Add(1)}
}
