package gossiper

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"clementineramp/configurer"
	"clementineramp/subscriber"
)

const (
	defaultInterval = time.Second
	// pauseThreshold is the delay of a timer from which the process is considered to have been paused.
	pauseThreshold = time.Second
	// watcherPollInterval is how often a process checks whether it has become a watcher.
	watcherPollInterval = time.Second
	// minWatchDuration is the time below which the next watch is delayed if a watch returns an unchanged value.
	minWatchDuration = 500 * time.Millisecond
	// startTimeout is how long a starting process waits for the newest known configuration before it starts with an
	// older one.
	startTimeout = 10 * time.Second
)

// DistributorConfig holds the settings and dependencies of a Distributor.
type DistributorConfig struct {
	// Name and Domain are the process's own name and failure domain.
	Name, Domain string
	Holder       *configurer.Holder
	Platform     *subscriber.Client
	Gossip       *Gossiper
	// Hosts returns the latest known list of hosts; an empty list makes the process a watcher.
	Hosts func() []subscriber.Host
	// Interval is the time between exchanges with a random peer; zero means 1 s.
	Interval time.Duration
	// FallbackInterval returns the time between fallback reads, given the number of hosts and a random number from 0 to
	// 1; nil means the function FallbackInterval.
	FallbackInterval func(hosts int, u float64) time.Duration
	// Seed makes the random choices repeatable; zero means a random seed.
	Seed uint64
	// OnAdopt is called with each configuration that becomes the current one; it must not block.
	OnAdopt func(*configurer.Snapshot)
	// OnConflict is called when one version has been published with two contents.
	OnConflict func(configurer.Conflict)
	Log        hclog.Logger
}

// Distributor makes each published configuration the current one of its process. It is safe for concurrent use.
type Distributor struct {
	cfg         DistributorConfig
	partLimiter *rate.Limiter
	ready       chan struct{}
	// These signals hold at most one value, since a receiver acts on the latest state.
	pushWake, fetchWake, readWake chan struct{}

	// fetching holds a value during a fetch from a peer. It is no mutex, because a fetch waits for peers, and in a bubble
	// of testing/synctest time stands still while a goroutine waits for a mutex.
	fetching chan struct{}

	mu     sync.Mutex
	random *rand.Rand
	// wanted is the highest configuration that a peer is known to have and this process lacks.
	wanted     configurer.ID
	wantedFrom string
	// partsBackoffUntil is the time until which no part is read from the platform, after a read failed.
	partsBackoffUntil time.Time
	failures          int
	confirmed         time.Time
	revision          uint64
	readyClosed       bool
}

// NewDistributor returns a Distributor with defaults for unset fields of cfg; Run starts it.
func NewDistributor(cfg DistributorConfig) *Distributor {
	if cfg.Interval <= 0 {
		cfg.Interval = defaultInterval
	}
	if cfg.FallbackInterval == nil {
		cfg.FallbackInterval = FallbackInterval
	}
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	if cfg.OnAdopt == nil {
		cfg.OnAdopt = func(*configurer.Snapshot) {}
	}
	if cfg.OnConflict == nil {
		cfg.OnConflict = func(configurer.Conflict) {}
	}
	if cfg.Log == nil {
		cfg.Log = hclog.NewNullLogger()
	}
	parts := rate.NewLimiter(rate.Limit(partRate(nil, true)), 1)
	// The limiter starts empty. With a full one, the first part reads of all processes would come in the same second
	// when the whole fleet starts.
	parts.Allow()
	return &Distributor{
		cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		partLimiter: parts, ready: make(chan struct{}),
		fetching: make(chan struct{}, 1),
		pushWake: make(chan struct{}, 1), fetchWake: make(chan struct{}, 1), readWake: make(chan struct{}, 1),
	}
}

// Ready returns a channel that is closed when the current configuration is the newest one that the platform and a few
// peers reported at the start, or an older one after 10 s.
func (d *Distributor) Ready() <-chan struct{} {
	return d.ready
}

// Confirmed returns when the platform last listed the current configuration as its newest; the zero time means never.
func (d *Distributor) Confirmed() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.confirmed
}

// Observe records the current configuration of a peer and fetches it if it is higher than the one of this process. It
// is meant as Config.Observe of the process's Gossiper.
func (d *Distributor) Observe(peer string, id configurer.ID) {
	r := d.cfg.Holder.Observe(id)
	d.reportConflict(r)
	if !r.Wanted {
		return
	}
	d.mu.Lock()
	if id.Compare(d.wanted) >= 0 {
		d.wanted, d.wantedFrom = id, peer
	}
	d.mu.Unlock()
	signal(d.fetchWake)
}

// Run fetches and announces configurations until ctx ends; it then returns nil.
func (d *Distributor) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.fetchLoop(ctx) })
	group.Go(func() error { return d.pushLoop(ctx) })
	group.Go(func() error {
		d.start(ctx)
		group.Go(func() error { return d.watchLoop(ctx) })
		group.Go(func() error { return d.readLoop(ctx) })
		group.Go(func() error { return d.gossipLoop(ctx) })
		return nil
	})
	return group.Wait()
}

// start queries the platform and a few peers concurrently, and waits until the newest of their configurations is the
// current one, or until startTimeout has passed and any configuration is current.
func (d *Distributor) start(ctx context.Context) {
	start := time.Now()
	for failures := 1; ctx.Err() == nil; failures++ {
		newest := d.queryNewest(ctx)
		if d.upToDate(newest) {
			break
		}
		if time.Since(start) > startTimeout && d.cfg.Holder.Snapshot() != nil {
			d.cfg.Log.Warn("start_with_a_configuration_that_is_not_the_newest", "newest", newest.String(), "in_force", d.cfg.Holder.Current().String())
			break
		}
		sleep(ctx, RetryDelay(len(d.cfg.Hosts()), failures, d.randomFloat()))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if ctx.Err() == nil && !d.readyClosed {
		d.readyClosed = true
		close(d.ready)
	}
}

// queryNewest returns the highest valid configuration that the platform or a peer reports, and fetches it. The zero ID
// means that none is higher than the current one.
func (d *Distributor) queryNewest(ctx context.Context) configurer.ID {
	var mu sync.Mutex
	var newest configurer.ID
	observe := func(id configurer.ID) {
		mu.Lock()
		defer mu.Unlock()
		// Wanted is false for a configuration that is known to be invalid, so that start does not wait for it.
		if d.cfg.Holder.Observe(id).Wanted && id.Compare(newest) > 0 {
			newest = id
		}
	}
	var group errgroup.Group
	group.Go(func() error {
		if id, ok := d.readManifest(ctx); ok {
			observe(id)
		}
		return nil
	})
	for _, peer := range d.randomPeers(startPeers) {
		group.Go(func() error {
			if s, err := d.cfg.Gossip.Announce(ctx, peer); err == nil {
				observe(s.Current)
			}
			return nil
		})
	}
	_ = group.Wait()
	d.fetch(ctx)
	return newest
}

func (d *Distributor) upToDate(newest configurer.ID) bool {
	if d.cfg.Holder.Snapshot() == nil {
		return false
	}
	return !d.cfg.Holder.Observe(newest).Wanted
}

// watchLoop watches the manifest while the process is one of the watchers of its failure domain.
func (d *Distributor) watchLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		if !d.isWatcher() {
			sleep(ctx, watcherPollInterval)
			continue
		}
		start := time.Now()
		before := d.lastRevision()
		v, err := d.cfg.Platform.WatchValue(ctx, configurer.ManifestKey, before)
		if err != nil {
			d.backOffWatch(ctx, err)
			continue
		}
		d.handleManifest(ctx, v)
		if v.Revision == before && time.Since(start) < minWatchDuration {
			// A platform that answers watches at once must not be queried in a tight loop.
			sleep(ctx, RetryDelay(len(d.cfg.Hosts()), 1, d.randomFloat()))
		}
	}
	return nil
}

func (d *Distributor) isWatcher() bool {
	hosts := d.cfg.Hosts()
	return len(hosts) == 0 || slices.Contains(Watchers(hosts, d.cfg.Domain), d.cfg.Name)
}

// readLoop reads the manifest at the fallback interval, with the first read at a random time within the interval.
func (d *Distributor) readLoop(ctx context.Context) error {
	wait := scale(d.nextFallback(), d.randomFloat())
	for {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-d.readWake:
			timer.Stop()
			// Many processes may have been paused together, so their reads are spread out.
			sleep(ctx, scale(minRetry, d.randomFloat()))
		case <-timer.C:
		}
		d.readManifest(ctx)
		wait = d.nextFallback()
	}
}

func (d *Distributor) nextFallback() time.Duration {
	return d.cfg.FallbackInterval(len(d.cfg.Hosts()), d.randomFloat())
}

// readManifest reads and applies the platform's manifest and returns its ID, or false if it is unreadable or invalid.
func (d *Distributor) readManifest(ctx context.Context) (configurer.ID, bool) {
	v, err := d.cfg.Platform.Value(ctx, configurer.ManifestKey)
	if err != nil {
		d.cfg.Log.Debug("platform_read_failed", "key", configurer.ManifestKey, "error", err.Error())
		return configurer.ID{}, false
	}
	return d.handleManifest(ctx, v)
}

// gossipLoop exchanges state with one random peer at each interval.
func (d *Distributor) gossipLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		// The jitter keeps processes that started together from exchanging state in lockstep.
		wait := scale(d.cfg.Interval, 0.75+0.5*d.randomFloat())
		start := time.Now()
		sleep(ctx, wait)
		if time.Since(start) > wait+pauseThreshold {
			d.cfg.Log.Warn("process_was_paused", "seconds", (time.Since(start) - wait).Seconds())
			signal(d.readWake)
		}
		for _, peer := range d.randomPeers(1) {
			_, err := d.cfg.Gossip.Exchange(ctx, peer)
			if trace.IsLimitExceeded(err) {
				// Load entries can be sent later when the budget allows it, but a process that a push did not reach
				// receives a new configuration only by such an exchange.
				_, err = d.cfg.Gossip.Announce(ctx, peer)
			}
			if err != nil {
				d.cfg.Log.Debug("exchange_failed", "peer", peer, "error", err.Error())
			}
		}
	}
	return nil
}

// pushLoop announces each adopted configuration to random peers; the state sent is the one at the time of sending.
func (d *Distributor) pushLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.pushWake:
		}
		var group errgroup.Group
		for _, peer := range d.randomPeers(pushPeers) {
			group.Go(func() error {
				if _, err := d.cfg.Gossip.Announce(ctx, peer); err != nil {
					d.cfg.Log.Debug("push_failed", "peer", peer, "error", err.Error())
				}
				return nil
			})
		}
		_ = group.Wait()
	}
}

// randomPeers returns the gossip addresses of up to n other hosts.
func (d *Distributor) randomPeers(n int) []string {
	var all []string
	for _, h := range d.cfg.Hosts() {
		if h.Name != d.cfg.Name && h.Control != "" {
			all = append(all, h.Control)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

func (d *Distributor) randomFloat() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.Float64()
}

func (d *Distributor) lastRevision() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revision
}

func (d *Distributor) reportConflict(r configurer.Result) {
	if r.Conflict == nil {
		return
	}
	d.cfg.Log.Error("configuration_conflict", "version", r.Conflict.Version, "digests", r.Conflict.Digests)
	d.cfg.OnConflict(*r.Conflict)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
