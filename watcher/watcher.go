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
	// tickInterval is the time between two runs of the periodic tasks: detecting pauses of the process, applying pending
	// host lists and calling OnTick.
	tickInterval = 100 * time.Millisecond
	// minPause is the gap between two ticks above which the process is considered to have been paused.
	minPause = time.Second
	// minRetryWait and maxRetryWait limit the backoff after a failed read of the platform.
	minRetryWait = 200 * time.Millisecond
	maxRetryWait = 5 * time.Second
	// The fleet's reads of a changed host list are spread over hostsSpreadPerHost times the number of hosts, but at least
	// minHostsSpread. At 1,020 processes, the reads after one change come to 51 a second.
	minHostsSpread     = 500 * time.Millisecond
	hostsSpreadPerHost = 20 * time.Millisecond
	// maxPiggybackEntries is the maximum number of load entries sent with each request and response.
	maxPiggybackEntries = 8
)

// Config holds the settings and dependencies of a Watcher.
type Config struct {
	// Self is the host entry of this process, as the platform should list it.
	Self     subscriber.Host
	Platform *subscriber.Client
	Tracker  tracker.Config
	// Peers lists the gossip addresses of peers to contact while no host list is known.
	Peers []string
	// SharedKey authenticates gossip between the fleet's processes; it has at least 16 bytes.
	SharedKey string
	// Budget limits the control traffic; nil means no limit.
	Budget *limiter.ControlBudget
	// Marks returns the crash marks to forward; MergeMarks receives those of a peer. Nil means that the process keeps
	// none.
	Marks      func() []gossiper.Mark
	MergeMarks func([]gossiper.Mark)
	// Dial opens connections to peers; nil means TCP.
	Dial    func(ctx context.Context, network, address string) (net.Conn, error)
	Log     hclog.Logger
	Metrics metrics.Registry
	// OnSnapshot is called with each configuration that becomes the current one; it must not block.
	OnSnapshot func(*configurer.Snapshot)
	// OnLeaving is called after each update of the host list with whether the list marks this host as leaving.
	OnLeaving func(leaving bool)
	// OnPause is called with the length of each pause of the process, after the pause.
	OnPause func(gap time.Duration)
	// OnTick is called every 100 ms.
	OnTick func(now time.Time)
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Watcher keeps the view of the fleet; it is safe for concurrent use.
type Watcher struct {
	cfg     Config
	holder  *configurer.Holder
	history *history
	gossip  *gossiper.Gossiper
	// distributor makes published configurations the current ones.
	distributor *gossiper.Distributor

	mu      sync.Mutex
	tracker *tracker.Tracker
	hosts   []subscriber.Host
	byName  map[string]subscriber.Host
	// encodedList is the encoded host list, for peers that start while the platform is down.
	encodedList []byte
	alarms      []string
	// lastExchange is the time when an exchange with a peer was last allowed.
	lastExchange time.Time
	// hostsKnown is true if a host list has been received from the platform or a peer.
	hostsKnown bool
}

// New returns a Watcher whose view is empty until Run. It returns an error if the name of Self is missing or the shared
// key is too short.
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

// Run keeps the view up to date and serves peers on a listener until ctx ends. It closes the listener.
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

// Snapshot returns the current configuration, or nil before the first one.
func (w *Watcher) Snapshot() *configurer.Snapshot {
	return w.holder.Snapshot()
}

// Ready returns a channel that is closed when the process has a configuration to start with; see
// gossiper.Distributor.Ready.
func (w *Watcher) Ready() <-chan struct{} {
	return w.distributor.Ready()
}

// Confirmed returns when the platform last listed the current configuration as its newest; the zero time means never.
func (w *Watcher) Confirmed() time.Time {
	return w.distributor.Confirmed()
}

// Alarms returns the latest conditions that need an operator, at most 16, oldest first.
func (w *Watcher) Alarms() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.alarms)
}

// View returns the state of the upstreams of a pool or service.
func (w *Watcher) View(pool string) []chooser.Upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracker.View(pool, w.cfg.Now())
}

// PoolLoad returns the known load of a pool or service.
func (w *Watcher) PoolLoad(pool string) tracker.Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracker.PoolLoad(pool, w.cfg.Now())
}

// PoolLoadExcept returns the known load of a pool or service without the upstream self.
func (w *Watcher) PoolLoadExcept(pool, self string) tracker.Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracker.PoolLoadExcept(pool, self, w.cfg.Now())
}

// Address returns the address of the agent of an upstream, also if the upstream is leaving or no longer listed. The
// second result is false if no list has contained it.
func (w *Watcher) Address(upstream string) (string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h, ok := w.byName[upstream]
	return h.Address, ok
}

// Hosts returns the latest known host list. The result must not be modified.
func (w *Watcher) Hosts() []subscriber.Host {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts
}

// HostsReceived reports whether a host list has been received from the platform or a peer.
func (w *Watcher) HostsReceived() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hostsKnown
}

// Observe records this process's own observation of an upstream.
func (w *Watcher) Observe(o tracker.Observation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tracker.Observe(o, w.cfg.Now())
}

// Merge merges load entries of another process.
func (w *Watcher) Merge(entries []encoder.LoadEntry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tracker.Merge(entries, w.cfg.Now())
}

// Freshest returns the most recent load entries to piggyback, as many as the budget allows and at most eight. It leaves
// out the entry of the agent that they are exchanged with, which measures its own load; an empty name leaves out none.
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

// watchHosts keeps the host list up to date with the platform's list.
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
			if !w.HostsReceived() {
				w.fetchHostsFromPeer(ctx)
			}
			return err
		}
		revision = list.Revision
		w.setHosts(list.Hosts)
		w.setEncodedHosts(list)
		// All processes receive a change at the same time, so the delay spreads their next reads.
		w.sleep(ctx, hostsReadDelay(len(list.Hosts)))
		return nil
	})
}

// readHosts reads the host list if revision is 0, otherwise waits for a list with a higher revision.
func (w *Watcher) readHosts(ctx context.Context, revision uint64) (subscriber.HostList, error) {
	if revision == 0 {
		return w.cfg.Platform.Hosts(ctx)
	}
	return w.cfg.Platform.WatchHosts(ctx, revision)
}

// hostsReadDelay returns a random delay before the next read of the host list, which grows with the fleet so that its
// reads have a constant rate at any size.
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

// repeat calls read until ctx ends, with exponential backoff and jitter while it fails.
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
	// Addresses of unlisted agents are kept, since orders and streams may still refer to them.
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
