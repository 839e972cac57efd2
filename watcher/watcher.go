package watcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"clementineramp/chooser"
	"clementineramp/configurer"
	"clementineramp/encoder"
	"clementineramp/gossiper"
	"clementineramp/limiter"
	"clementineramp/subscriber"
	"clementineramp/tracker"
)

const (
	// tickInterval is the interval of housekeeping; a gap well above it is a pause of the process.
	tickInterval = 100 * time.Millisecond
	// minPause is the gap between two ticks that counts as a pause.
	minPause = time.Second
	// minRetryWait and retryMax bound the wait after a failed read of the platform.
	minRetryWait = 200 * time.Millisecond
	maxRetryWait = 5 * time.Second
	// minHostsSpread is the least spread of the reads after a change of the host list, and hostsPerHost its growth:
	// at 1,020 processes the reads of one change come to 51 a second.
	minHostsSpread     = 500 * time.Millisecond
	hostsSpreadPerHost = 20 * time.Millisecond
	// maxPiggybackEntries is the number of load entries that travel with each request and answer.
	maxPiggybackEntries = 8
)

// Config says where a process finds its view of the fleet.
type Config struct {
	// Self is the process's own entry, as the platform should list it.
	Self     subscriber.Host
	Platform *subscriber.Client
	Tracker  tracker.Config
	// Peers lists gossip addresses to ask while no host list is known.
	Peers []string
	// SharedKey authenticates gossip between the fleet's processes.
	SharedKey string
	// Budget bounds the control traffic.
	Budget *limiter.ControlBudget
	// Marks returns crash marks to pass on; MergeMarks takes those of a peer. Nil means that the process keeps none.
	Marks      func() []gossiper.Mark
	MergeMarks func([]gossiper.Mark)
	// Dial opens connections to peers; nil means TCP.
	Dial    func(ctx context.Context, network, address string) (net.Conn, error)
	Log     hclog.Logger
	Metrics metrics.Registry
	// OnSnapshot is told of each configuration that comes into force.
	OnSnapshot func(*configurer.Snapshot)
	// OnLeaving is told when the platform's list says that this host is leaving.
	OnLeaving func(leaving bool)
	// OnPause is told the length of each pause of the process.
	OnPause func(gap time.Duration)
	// OnTick is called at each tick.
	OnTick func(now time.Time)
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Watcher keeps the view; it is safe for concurrent use.
type Watcher struct {
	cfg    Config
	holder *configurer.Holder
	// history is what is known of the past of the fleet.
	history *history
	gossip  *gossiper.Gossiper
	// distributor brings published configurations into force.
	distributor *gossiper.Distributor

	mu      sync.Mutex
	tracker *tracker.Tracker
	hosts   []subscriber.Host
	byName  map[string]subscriber.Host
	// encodedList is the encoded encodedList of the platform, for peers that start while the platform is down.
	encodedList []byte
	alarms      []string
	// lastExchange is when an exchange with a peer was last allowed.
	lastExchange time.Time
	// hostsKnown says that a list of hosts was read.
	hostsKnown bool
}

// New returns a watcher that knows nothing until Run.
func New(cfg Config) (*Watcher, error) {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	w := &Watcher{
		cfg: cfg, holder: configurer.NewHolder(), history: newHistory(cfg.Now()),
		tracker: tracker.New(cfg.Tracker), byName: map[string]subscriber.Host{},
	}
	w.registerControlMetrics()
	return w, trace.Wrap(w.initGossip())
}

// Run keeps the view and answers peers on a listener until ctx ends.
func (w *Watcher) Run(ctx context.Context, control net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return w.gossip.Serve(control) })
	g.Go(func() error {
		<-ctx.Done()
		_ = control.Close()
		w.gossip.Close()
		return nil
	})
	g.Go(func() error { return w.watchHosts(ctx) })
	g.Go(func() error { return w.distributor.Run(ctx) })
	g.Go(func() error { return w.housekeep(ctx) })
	return g.Wait()
}

// Snapshot returns the configuration in force, or nil.
func (w *Watcher) Snapshot() *configurer.Snapshot {
	return w.holder.Snapshot()
}

// Ready is closed when the process has the newest configuration that it heard of at its start.
func (w *Watcher) Ready() <-chan struct{} {
	return w.distributor.Ready()
}

// Confirmed returns when the platform last answered with the configuration in force.
func (w *Watcher) Confirmed() time.Time {
	return w.distributor.Confirmed()
}

// Alarms returns the conditions that need an operator.
func (w *Watcher) Alarms() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.alarms)
}

// View returns what is known of the upstreams of a pool or service.
func (w *Watcher) View(pool string) []chooser.Upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracker.View(pool, w.cfg.Now())
}

// PoolLoad returns the known load of a pool.
func (w *Watcher) PoolLoad(pool string) tracker.Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracker.PoolLoad(pool, w.cfg.Now())
}

// PoolLoadExcept returns the known load of a pool without one upstream.
func (w *Watcher) PoolLoadExcept(pool, self string) tracker.Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracker.PoolLoadExcept(pool, self, w.cfg.Now())
}

// Address returns the address of the agent beside an upstream, also of one that is leaving.
func (w *Watcher) Address(upstream string) (string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h, ok := w.byName[upstream]
	return h.Address, ok
}

// Hosts returns the platform's list as it was last read.
func (w *Watcher) Hosts() []subscriber.Host {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts
}

// KnowsHosts reports whether the platform's list was read, or that of a peer.
func (w *Watcher) KnowsHosts() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hostsKnown
}

// Observe takes what this process saw of an upstream.
func (w *Watcher) Observe(o tracker.Observation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tracker.Observe(o, w.cfg.Now())
}

// Merge takes load entries from another process.
func (w *Watcher) Merge(entries []encoder.LoadEntry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tracker.Merge(entries, w.cfg.Now())
}

// Freshest returns the load entries to pass on to an agent, which knows its own, or from one, as many as the budget has
// room for.
func (w *Watcher) Freshest(agent string) []encoder.LoadEntry {
	now := w.cfg.Now()
	n := w.maxEntries(maxPiggybackEntries, 0, now)
	if n == 0 {
		w.cfg.Budget.CountSkipped()
		return nil
	}
	entries := w.tracker.Freshest(n, agent, now)
	for i, e := range entries {
		entries[i] = e.Brief()
	}
	return entries
}

func (w *Watcher) housekeep(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	last := w.cfg.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		now := w.cfg.Now()
		if gap := now.Sub(last); gap > minPause {
			w.handlePause(gap, now)
		}
		last = now
		w.retryPendingHosts(now)
		if w.cfg.OnTick != nil {
			w.cfg.OnTick(now)
		}
	}
}

func (w *Watcher) handlePause(gap time.Duration, now time.Time) {
	w.mu.Lock()
	w.tracker.Resume(gap, now)
	w.mu.Unlock()
	metrics.GetOrRegisterCounter("pauses", w.cfg.Metrics).Inc(1)
	w.cfg.Log.Warn("paused", "gap_ms", gap.Milliseconds())
	if w.cfg.OnPause != nil {
		w.cfg.OnPause(gap)
	}
}

func (w *Watcher) retryPendingHosts(now time.Time) {
	w.mu.Lock()
	change, changed := w.tracker.RetryPending(now)
	w.mu.Unlock()
	if changed {
		w.logHosts(change)
	}
}

// watchHosts follows the platform's list.
func (w *Watcher) watchHosts(ctx context.Context) error {
	revision := uint64(0)
	return w.repeat(ctx, "hosts", func() error {
		list, err := w.readHosts(ctx, revision)
		if errors.Is(err, subscriber.ErrUnchanged) {
			return nil
		}
		if err != nil {
			// The platform may have restarted with other revisions.
			revision = 0
			if !w.KnowsHosts() {
				w.fetchHostsFromPeer(ctx)
			}
			return err
		}
		revision = list.Revision
		w.setHosts(list.Hosts)
		w.setEncodedHosts(list)
		// All processes hear of a change at once; the wait spreads their next reads.
		w.sleep(ctx, hostsReadDelay(len(list.Hosts)))
		return nil
	})
}

// readHosts reads the list, or waits for one after a revision.
func (w *Watcher) readHosts(ctx context.Context, revision uint64) (subscriber.HostList, error) {
	if revision == 0 {
		return w.cfg.Platform.Hosts(ctx)
	}
	return w.cfg.Platform.WatchHosts(ctx, revision)
}

// hostsReadDelay returns a random wait that keeps the fleet's reads of the list at a constant rate at any size.
func hostsReadDelay(hosts int) time.Duration {
	return rand.N(max(minHostsSpread, time.Duration(hosts)*hostsSpreadPerHost))
}

func (w *Watcher) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// repeat calls read again and again, with waits that grow with jitter while it fails.
func (w *Watcher) repeat(ctx context.Context, what string, read func() error) error {
	wait := minRetryWait
	for ctx.Err() == nil {
		err := read()
		if err == nil {
			wait = minRetryWait
			continue
		}
		if ctx.Err() != nil {
			break
		}
		w.cfg.Log.Warn("platform_read_failed", "what", what, "retry_ms", wait.Milliseconds(), "error", err)
		w.sleep(ctx, wait/2+rand.N(wait))
		wait = min(2*wait, maxRetryWait)
	}
	return nil
}

func (w *Watcher) setHosts(hosts []subscriber.Host) {
	list := make([]tracker.Host, 0, len(hosts))
	byName := make(map[string]subscriber.Host, len(hosts))
	selfLeaving := false
	for _, h := range hosts {
		byName[h.Name] = h
		if h.Name == w.cfg.Self.Name {
			selfLeaving = h.State == subscriber.StateLeaving
		}
		if h.Role != subscriber.RoleAgent {
			continue
		}
		list = append(list, tracker.Host{
			Name: h.Name, Address: h.Address, Pool: h.Upstream, Domain: h.Domain,
			Leaving: h.State == subscriber.StateLeaving,
		})
	}
	w.mu.Lock()
	change := w.tracker.UpdateHosts(list, w.cfg.Now())
	w.hosts = hosts
	w.hostsKnown = true
	// An address outlives its entry, because orders and streams name an agent that the list may have dropped.
	for name, h := range byName {
		w.byName[name] = h
	}
	w.mu.Unlock()
	w.logHosts(change)
	if w.cfg.OnLeaving != nil {
		w.cfg.OnLeaving(selfLeaving)
	}
}

func (w *Watcher) logHosts(c tracker.ListChange) {
	if c.Warning != "" {
		w.cfg.Log.Warn("hosts_kept_aside", "warning", c.Warning)
		return
	}
	if len(c.Added)+len(c.Removed)+len(c.Leaving) > 0 {
		w.cfg.Log.Info("hosts", "added", c.Added, "removed", c.Removed, "leaving", c.Leaving)
	}
}
