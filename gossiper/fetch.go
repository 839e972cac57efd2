package gossiper

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"clementineramp/configurer"
	"clementineramp/subscriber"
)

// parallelParts is the number of parts that are fetched concurrently, so that a first start does not take one round
// trip per part.
const parallelParts = 8

func (d *Distributor) isReady() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.readyClosed
}

// handleManifest offers the platform's manifest to the holder and fetches the missing parts. It returns the manifest's
// ID, or false if the manifest is invalid.
func (d *Distributor) handleManifest(ctx context.Context, v subscriber.Value) (configurer.ID, bool) {
	m, err := configurer.DecodeManifest(v.Data)
	if err != nil {
		d.setRevision(v.Revision)
		d.cfg.Log.Error("platform_holds_an_invalid_manifest", "revision", v.Revision, "error", err.Error())
		return configurer.ID{}, false
	}
	id := configurer.ID{Version: m.Version, Digest: configurer.DigestOf(v.Data)}
	d.setRevision(v.Revision)
	r, err := d.cfg.Holder.Offer(v.Data)
	d.handleResult(r, err)
	if r.Wanted {
		d.fetchParts(ctx, "")
	}
	newest := d.cfg.Holder.Current()
	switch id.Compare(newest) {
	case 0:
		d.setConfirmed()
	case -1:
		d.cfg.Log.Warn("platform_holds_an_older_configuration", "platform", id.String(), "in_force", newest.String())
	}
	return id, true
}

func (d *Distributor) setRevision(revision uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision = revision
	d.failures = 0
}

func (d *Distributor) setConfirmed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.confirmed = time.Now()
}

// backOffWatch waits after a failed watch; the delays of the fleet's processes are spread out.
func (d *Distributor) backOffWatch(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	d.mu.Lock()
	d.failures++
	failures := d.failures
	d.mu.Unlock()
	wait := RetryDelay(len(d.cfg.Hosts()), failures, d.randomFloat())
	d.cfg.Log.Warn("platform_watch_failed", "retry_ms", wait.Milliseconds(), "error", err.Error())
	sleep(ctx, wait)
}

// handleResult logs the holder's result for a manifest or part, calls OnAdopt and starts a push after an adoption.
func (d *Distributor) handleResult(r configurer.Result, err error) {
	d.reportConflict(r)
	if err != nil {
		d.cfg.Log.Error("configuration_refused", "error", err.Error())
	}
	if r.Adopted == nil {
		return
	}
	d.cfg.Log.Info("configuration_adopted", "version", r.Adopted.Version, "digest", string(r.Adopted.Digest))
	d.cfg.OnAdopt(r.Adopted)
	signal(d.pushWake)
}

// fetchLoop fetches the highest configuration that a peer is known to have, whenever Observe signals one.
func (d *Distributor) fetchLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.fetchWake:
			d.fetch(ctx)
		}
	}
}

// fetch fetches the wanted configuration from the peer that reported it. Calls run one at a time, so a concurrent call
// returns after the running one has ended, or when its ctx ends.
func (d *Distributor) fetch(ctx context.Context) {
	select {
	case d.fetching <- struct{}{}:
		defer func() { <-d.fetching }()
	case <-ctx.Done():
		return
	}
	id, peer := d.takeWanted()
	if id.Version == 0 || !d.cfg.Holder.Observe(id).Wanted {
		return
	}
	data, err := d.cfg.Gossip.Manifest(ctx, peer, id.Digest)
	if err != nil {
		// The peer may have adopted a higher configuration in the meantime, which the next exchange will report.
		d.cfg.Log.Debug("manifest_not_fetched", "peer", peer, "configuration", id.String(), "error", err.Error())
		return
	}
	r, err := d.cfg.Holder.Offer(data)
	d.handleResult(r, err)
	if r.Wanted {
		d.fetchParts(ctx, peer)
	}
}

func (d *Distributor) takeWanted() (configurer.ID, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id, peer := d.wanted, d.wantedFrom
	d.wanted, d.wantedFrom = configurer.ID{}, ""
	return id, peer
}

// fetchParts fetches the missing parts from the peer that reported the configuration, then from a random one.
// Without such a peer, a watcher reads them from the platform, and any other process asks random peers first, so that
// a start of the whole fleet does not read each part once per process.
func (d *Distributor) fetchParts(ctx context.Context, peer string) {
	var peers []string
	switch {
	case peer != "":
		peers = append([]string{peer}, d.randomPeers(1)...)
	case !d.isWatcher():
		peers = d.randomPeers(pushPeers)
	}
	sources := &partSources{peers: peers}
	var group errgroup.Group
	group.SetLimit(parallelParts)
	for _, digest := range d.cfg.Holder.Missing() {
		group.Go(func() error {
			d.fetchPart(ctx, sources, digest)
			return nil
		})
	}
	_ = group.Wait()
	if len(d.cfg.Holder.Missing()) > 0 && (d.isWatcher() || peer == "" && d.isReady()) {
		// A watch reports changes only, and possibly no peer has the parts, so a failed read is retried after a delay.
		// A starting process repeats all its queries anyway.
		time.AfterFunc(RetryDelay(len(d.cfg.Hosts()), 1, d.randomFloat()), func() { signal(d.readWake) })
	}
}

// partSources lists the peers to ask for parts. An unresponsive peer is removed, since otherwise each of, say, 100
// parts would wait for its timeout.
type partSources struct {
	mu    sync.Mutex
	peers []string
}

func (s *partSources) list() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.peers)
}

func (s *partSources) remove(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = slices.DeleteFunc(s.peers, func(p string) bool { return p == peer })
}

func (d *Distributor) fetchPart(ctx context.Context, sources *partSources, digest configurer.Digest) {
	for _, peer := range sources.list() {
		data, err := d.cfg.Gossip.Part(ctx, peer, digest)
		if err == nil {
			d.addPart(digest, data)
			return
		}
		if trace.IsConnectionProblem(err) {
			sources.remove(peer)
		}
	}
	// Peers that respond but lack the part will have it soon, when the watchers have read it; then there is no need to
	// wait for the platform's rate limit.
	wait := d.isWatcher() || len(sources.list()) == 0
	if data, ok := d.readPart(ctx, digest, wait); ok {
		d.addPart(digest, data)
	}
}

func (d *Distributor) addPart(digest configurer.Digest, data []byte) {
	d.handleResult(d.cfg.Holder.AddPart(digest, data))
}

// readPart reads a part from the platform, at a rate that keeps the fleet below the platform's read limit.
// If wait is false and the rate limit allows no read now, it returns false at once.
func (d *Distributor) readPart(ctx context.Context, digest configurer.Digest, wait bool) ([]byte, bool) {
	d.partLimiter.SetLimit(rate.Limit(partRate(d.cfg.Hosts(), d.isWatcher())))
	if wait && !d.partsBackingOff() {
		_ = d.partLimiter.Wait(ctx)
	} else if !d.partLimiter.Allow() {
		return nil, false
	}
	if ctx.Err() != nil || d.partsBackingOff() {
		return nil, false
	}
	v, err := d.cfg.Platform.Value(ctx, configurer.PartKey(digest))
	if err == nil {
		return v.Data, true
	}
	d.backOffParts()
	if !trace.IsNotFound(err) {
		d.cfg.Log.Debug("part_not_read", "digest", string(digest), "error", err.Error())
		return nil, false
	}
	d.cfg.Log.Warn("platform_lacks_a_part_that_a_manifest_lists", "digest", string(digest))
	return nil, false
}

func (d *Distributor) partsBackingOff() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(d.partsBackoffUntil)
}

// backOffParts suspends part reads, so that a part that the platform lacks is not requested at each exchange.
func (d *Distributor) backOffParts() {
	wait := RetryDelay(len(d.cfg.Hosts()), 1, d.randomFloat())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.partsBackoffUntil = time.Now().Add(wait)
}
