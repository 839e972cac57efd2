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

// Kind says what stands beside an agent.
type Kind string

// The kinds of upstream.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Config joins an agent to its upstream and to its view of the fleet.
type Config struct {
	// Name is the name of the upstream and of its agent.
	Name string
	// Pool is the name of the pool or service that the upstream belongs to.
	Pool string
	Kind Kind
	// Upstream is the address of the engine or service.
	Upstream  string
	SharedKey string
	Slots     int
	// Bound is the multiple of the pool's mean load that the engine may carry.
	Bound float64
	// MaxQueueWork bounds the waiting work of a rank, in tokens, and QueueTime the wait of a request.
	MaxQueueWork float64
	MaxQueueTime time.Duration
	// AnswerRetention is how long an answer is kept after its end.
	AnswerRetention time.Duration
	// ResumeGrace is how long a generation goes on that no router follows.
	ResumeGrace time.Duration
	// StreamIdle ends a generation in which the engine sends nothing for that long.
	StreamIdle time.Duration
	// Horizon is the time within which callers repeat an order with their own key.
	Horizon time.Duration
	// TicketLifetime is the time for which a ticket may be used.
	TicketLifetime time.Duration
	// Admission is the rule of admission; zero means the standard one, and the others are baselines for measures.
	Admission admitter.Policy
	// ChecksFencing says that the engine refuses orders with an old fencing number.
	ChecksFencing bool

	Snapshot func() *configurer.Snapshot
	// Confirmed returns when the platform last confirmed the configuration in force.
	Confirmed func() time.Time
	// Opened returns since when the fleet has been old enough for orders with callers' own keys, and its first configuration.
	Opened func() (time.Time, configurer.Pair)
	// LearnFleet takes what a router knows of the past of the fleet.
	LearnFleet func(encoder.Fleet)
	// Routing is the policy of the routers; agents place chats only for the one in service.
	Routing chooser.Policy
	// PeerLoad returns the known load of a pool without this agent's own.
	PeerLoad func(pool, self string) tracker.Load
	// View returns what is known of the upstreams of a pool.
	View func(pool string) []chooser.Upstream
	// MergeLoad takes load entries from a router's envelope.
	MergeLoad func([]encoder.LoadEntry)
	// FreshestLoad returns load entries to pass on.
	FreshestLoad func() []encoder.LoadEntry
	// CountControl counts the bytes of control traffic; nil counts nothing.
	CountControl func(sent, received int)
	// OnCrash is called when a request may have crashed the engine, so that peers hear of the marks soon; it must not block.
	OnCrash func()
	// CreditAdvance is the time of accrual of the pool's account that a started agent may spend at once.
	CreditAdvance time.Duration
	// DialUpstream opens connections to the upstream; nil means the network's own.
	DialUpstream func(ctx context.Context, network, address string) (net.Conn, error)
	Log          hclog.Logger
	Metrics      metrics.Registry
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Agent serves routers on behalf of one upstream.
type Agent struct {
	cfg         Config
	incarnation uint64
	started     time.Time
	engine      *engine.Client
	engineState *engineState
	gate        *gate
	credit      *credit
	recorder    *recorder.Recorder
	suspects    *suspects
	ledger      *ticketer.Ledger
	service     *service.Client
	followers   *followerTracker
	locator     *locator.Locator
	chooser     *chooser.Chooser
	lastStream  atomic.Uint64
	lastReport  atomic.Uint64

	// lifetime ends when the agent stops for good.
	lifetime context.Context
	cancel   context.CancelFunc

	mu             sync.Mutex
	leaveAnnounced bool
	leaving        bool
	// leaveCancelledAt is when the agent last took its leaving back.
	leaveCancelledAt time.Time
	requests         sync.WaitGroup
	running          atomic.Int64
	// lastOrderAt is when the last ticket or order came.
	lastOrderAt atomic.Pointer[time.Time]
}

// New returns an agent; Run keeps it, and its handler serves routers.
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

// incarnationRandomBits tells two starts within the same millisecond apart.
const incarnationRandomBits = 16

// newIncarnation returns a number that grows from start to start, because processes believe the reports of the newest
// incarnation; with a random one they would ignore every second restarted agent for a while.
func newIncarnation(now time.Time) uint64 {
	return uint64(now.UnixMilli())<<incarnationRandomBits | uint64(rand.N(1<<incarnationRandomBits))
}

func setDefaults(cfg *Config) {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.LearnFleet == nil {
		cfg.LearnFleet = func(encoder.Fleet) {}
	}
	if cfg.Opened == nil {
		cfg.Opened = func() (time.Time, configurer.Pair) { return time.Time{}, configurer.Pair{} }
	}
	if cfg.OnCrash == nil {
		cfg.OnCrash = func() {}
	}
	if cfg.LearnFleet == nil {
		cfg.LearnFleet = func(encoder.Fleet) {}
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

// Run keeps the agent's knowledge of its upstream until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	if a.cfg.Kind == KindEngine {
		g.Go(func() error { return a.pollEngine(ctx) })
		g.Go(func() error { return a.maintainPlacement(ctx) })
		g.Go(func() error { return a.watchCredit(ctx) })
	}
	return g.Wait()
}

// Handler returns the handler for routers.
func (a *Agent) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", a.serveChat)
	mux.HandleFunc("POST /v1/chats", a.servePlace)
	mux.HandleFunc("GET /v1/streams/{id}", a.serveResume)
	mux.HandleFunc("POST /v1/tickets", a.serveTicket)
	mux.HandleFunc("/v1/call/", a.serveCall)
	return mux
}

// Incarnation returns the number that tells this start of the agent from all others.
func (a *Agent) Incarnation() uint64 {
	return a.incarnation
}

// SetSnapshot takes a configuration that came into force.
func (a *Agent) SetSnapshot(s *configurer.Snapshot) {
	a.gate.setRanks(s.Ranks)
	a.credit.setSnapshot(a.cfg.Now(), a.cfg.Pool, s)
}

// AnnounceLeave tells routers that the agent is about to leave, while it still takes the work that is on its way.
func (a *Agent) AnnounceLeave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaveAnnounced = true
}

// ObserveKeyOwnership counts the time for which the agent has owned the keys of its service; it is called several times a second.
func (a *Agent) ObserveKeyOwnership(now time.Time) {
	if a.cfg.Kind == KindService {
		a.ledger.Observe(now, a.freshness(a.cfg.Pool))
	}
}

// Leave makes the agent refuse new work; it still answers repeats and resumes.
func (a *Agent) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.leaving {
		a.cfg.Log.Info("leaving", "running", a.running.Load())
	}
	a.leaving = true
}

// CancelLeave takes a Leave back, for a host that the platform's list names as live again.
func (a *Agent) CancelLeave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving {
		a.leaveCancelledAt = a.cfg.Now()
	}
	a.leaving, a.leaveAnnounced = false, false
}

// Leaving reports whether routers should send no new work.
func (a *Agent) Leaving() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leaving || a.leaveAnnounced
}

// Ready reports whether the upstream can take work, as far as the agent knows.
func (a *Agent) Ready() bool {
	if a.cfg.Kind != KindEngine {
		return true
	}
	status, alive, _ := a.engineState.current()
	return alive && status.Ready && !a.engineState.isChanging()
}

// Alarms returns the conditions that need an operator.
func (a *Agent) Alarms() []string {
	return a.credit.checkAlarms(a.cfg.Now())
}

// watchCredit logs the alarms of the pool's account until ctx ends.
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

// Drain refuses new work and waits until no request is in progress or ctx ends.
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

// orderRetryWindow is how long a drained agent still answers repeats after its last order. Callers that lost an answer
// repeat within seconds, and after the agent has gone nobody can tell them whether the order ran.
const orderRetryWindow = 5 * time.Second

// awaitOrderRetries waits until callers have had time to repeat their last orders.
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

// Close ends all work at once.
func (a *Agent) Close() {
	a.cancel()
}

// beginRequest counts a request in, unless the agent is leaving.
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

// weightOf returns the organisation's part beside others of its rank.
func (a *Agent) weightOf(organisation string) float64 {
	s := a.cfg.Snapshot()
	if s == nil {
		return 1
	}
	o, _ := s.Organisation(organisation)
	return o.Weight
}

// readEnvelope authenticates a router's request and decodes its readEnvelope.
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
	a.cfg.LearnFleet(env.Fleet)
	return env, nil
}

// refuse answers a router with an error and this agent's report.
func (a *Agent) refuse(w http.ResponseWriter, env encoder.Envelope, err error) {
	a.refuseWith(w, env, encoder.NewRefusal(err), err)
}

// refuseWith answers a router with a refusal that carries more than the error.
func (a *Agent) refuseWith(w http.ResponseWriter, env encoder.Envelope, r encoder.Refusal, err error) {
	a.cfg.Log.Info("refused", "request", env.RequestID, "organisation", env.Organisation, "rank", env.Rank,
		"reason", r.Error.Code, "verdict", r.Error.Verdict, "mark", r.Mark, "try", r.Try, "error", err)
	metrics.GetOrRegisterCounter("refused_"+string(r.Error.Code), a.cfg.Metrics).Inc(1)
	a.setReport(w.Header(), a.report(env))
	r.Write(w)
}

// report returns the agent's own load entry and a few of others. It holds no more of them than the envelope, which
// has as many as the router's budget has room for.
func (a *Agent) report(env encoder.Envelope) encoder.Report {
	r := encoder.Report{Self: a.Entry()}
	if len(env.Load) > 0 {
		load := a.cfg.FreshestLoad()
		r.Load = load[:min(len(load), len(env.Load))]
	}
	return r
}

// setReport puts a report into a header or trailer and counts it.
func (a *Agent) setReport(h http.Header, r encoder.Report) {
	h.Set(encoder.ReportHeader, encoder.EncodeHeader(r))
	a.countControl(encoder.ReportBytes(h), 0)
}

func (a *Agent) countControl(sent, received int) {
	if a.cfg.CountControl != nil {
		a.cfg.CountControl(sent, received)
	}
}

// Entry returns the agent's own load entry.
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
		// Routers take an uptime of 0 for an upstream that cannot take work now.
		e.UptimeMS = 0
		if a.Ready() {
			e.UptimeMS = max(now.Sub(since).Milliseconds(), 1)
		}
	}
	return e
}

// controller names this incarnation to the engine.
func (a *Agent) controller() string {
	return fmt.Sprintf("%s.%x", a.cfg.Name, a.incarnation)
}

// newStreamID returns the identity of a new stream.
func (a *Agent) newStreamID() encoder.StreamID {
	return encoder.StreamID{Agent: a.cfg.Name, Incarnation: a.incarnation, Serial: a.lastStream.Add(1)}
}
