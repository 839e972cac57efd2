package watcher

import (
	"context"
	"math"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"clementineramp/configurer"
	"clementineramp/encoder"
	"clementineramp/gossiper"
	"clementineramp/limiter"
	"clementineramp/subscriber"
)

const (
	// maxGossipEntries and minGossipEntries are the most and the fewest load entries in an exchange with a peer. With up
	// to 32 entries, an idle process sends and receives 6.7 KB/s, and one that many peers pick by chance exceeds the
	// budget.
	maxGossipEntries = 24
	minGossipEntries = 4
)

// budgetReserve is the fraction of the budget's burst that load entries leave available for the configuration and for
// messages of peers.
const budgetReserve = 0.75

// maxAlarms is the number of latest alarms that operators see.
const maxAlarms = 16

// initGossip creates the Gossiper and the Distributor, which send the view of this watcher and merge what they receive
// into it.
func (w *Watcher) initGossip() error {
	cfg := gossiper.Config{
		Name: w.cfg.Self.Name, Control: w.cfg.Self.Control, Key: []byte(w.cfg.SharedKey),
		Load: w.gossipEntries, MergeLoad: w.Merge, Marks: w.cfg.Marks, MergeMarks: w.cfg.MergeMarks,
		Fleet: w.Fleet, MergeFleet: w.MergeFleet, Hosts: w.encodedHosts,
		Current:  w.holder.Current,
		Observe:  func(peer string, id configurer.ID) { w.distributor.Observe(peer, id) },
		Manifest: w.holder.Manifest, Part: w.holder.Part,
		Count: w.CountControl, Allow: w.allowExchange, Log: w.cfg.Log,
	}
	if w.cfg.Dial != nil {
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) { return w.cfg.Dial(ctx, "tcp", address) }
	}
	var err error
	if w.gossip, err = gossiper.New(cfg); err != nil {
		return trace.Wrap(err)
	}
	w.distributor = gossiper.NewDistributor(gossiper.DistributorConfig{
		Name: w.cfg.Self.Name, Domain: w.cfg.Self.Domain, Holder: w.holder, Platform: w.cfg.Platform,
		Gossip: w.gossip, Hosts: w.peers, OnAdopt: w.onAdopt, OnConflict: w.onConflict, Log: w.cfg.Log,
	})
	return nil
}

// maxSkipTime is the longest time for which exchanges are skipped for lack of budget. Load entries expire after 10 s,
// and without those of the other agents, an agent cannot enforce the load limit.
const maxSkipTime = 4 * time.Second

// CountControl charges bytes of control traffic to the budget, if there is one.
func (w *Watcher) CountControl(sent, received int) {
	if w.cfg.Budget == nil {
		return
	}
	now := w.cfg.Now()
	w.cfg.Budget.CountSent(sent, now)
	w.cfg.Budget.CountReceived(received, now)
}

// registerControlMetrics exports the byte counts and skipped exchanges of the control budget as metrics.
func (w *Watcher) registerControlMetrics() {
	if w.cfg.Budget == nil {
		return
	}
	for name, get := range map[string]func(limiter.ControlTotals) uint64{
		"control_bytes_sent":     func(t limiter.ControlTotals) uint64 { return t.Sent },
		"control_bytes_received": func(t limiter.ControlTotals) uint64 { return t.Received },
		"control_skipped":        func(t limiter.ControlTotals) uint64 { return t.Skipped },
	} {
		metrics.NewRegisteredFunctionalGauge(name, w.cfg.Metrics, func() int64 { return int64(get(w.cfg.Budget.Totals())) })
	}
}

// allowExchange reports whether an exchange of a size may take place: if the budget allows it, or if the last one is at
// least maxSkipTime ago.
func (w *Watcher) allowExchange(bytes int) bool {
	now := w.cfg.Now()
	allowed := w.cfg.Budget == nil || w.cfg.Budget.Allow(bytes, now)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !allowed && now.Sub(w.lastExchange) < maxSkipTime {
		return false
	}
	w.lastExchange = now
	return true
}

// peers returns the hosts to gossip with: those of the host list, or the configured peers while no list is known.
func (w *Watcher) peers() []subscriber.Host {
	if hosts := w.Hosts(); len(hosts) > 0 || len(w.cfg.Peers) == 0 {
		return hosts
	}
	// The process itself is included, so that it watches the platform until it has received the list.
	hosts := []subscriber.Host{w.cfg.Self}
	for _, p := range w.cfg.Peers {
		if p != w.cfg.Self.Control {
			hosts = append(hosts, subscriber.Host{Name: p, Control: p})
		}
	}
	return hosts
}

// gossipEntries returns the load entries for an exchange with a peer.
func (w *Watcher) gossipEntries() []encoder.LoadEntry {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.cfg.Now()
	return w.tracker.Freshest(w.maxEntries(maxGossipEntries, minGossipEntries, now), "", now)
}

// maxEntries returns the maximum number of load entries in a message, between the given limits. It decreases with the
// available budget, so that the traffic of a process settles at the budget's rate and all kinds of messages shrink
// together.
func (w *Watcher) maxEntries(upper, lower int, now time.Time) int {
	if w.cfg.Budget == nil {
		return upper
	}
	share := (w.cfg.Budget.AvailableShare(now) - budgetReserve) / (1 - budgetReserve)
	return max(lower, int(math.Ceil(float64(upper)*share)))
}

// pushTimeout limits a push to all peers of a pool, and maxParallelPushes the number of its concurrent exchanges.
const (
	pushTimeout       = 2 * time.Second
	maxParallelPushes = 8
)

// PushMarks sends this process's crash marks to all agents of a pool, in the background. A retry of a request that
// crashed its engine may come within a second, sooner than the marks would spread by random exchanges.
func (w *Watcher) PushMarks(pool string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
		defer cancel()
		var g errgroup.Group
		g.SetLimit(maxParallelPushes)
		for _, h := range w.Hosts() {
			if h.Upstream != pool || h.Name == w.cfg.Self.Name || h.Control == "" {
				continue
			}
			g.Go(func() error {
				if _, err := w.gossip.Exchange(ctx, h.Control); err != nil {
					w.cfg.Log.Debug("push_failed", "peer", h.Name, "error", err)
				}
				return nil
			})
		}
		_ = g.Wait()
	}()
}

// onAdopt records and reports a configuration that has become the current one.
func (w *Watcher) onAdopt(s *configurer.Snapshot) {
	w.history.recordAdoption(s.ID())
	w.cfg.Log.Info("configuration_in_force", "version", s.Version, "digest", string(s.Digest),
		"organisations", s.OrganisationCount())
	if w.cfg.OnSnapshot != nil {
		w.cfg.OnSnapshot(s)
	}
}

// onConflict adds an alarm for a version that was published with two contents.
func (w *Watcher) onConflict(c configurer.Conflict) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.alarms = append(w.alarms, c.String())
	if len(w.alarms) > maxAlarms {
		w.alarms = w.alarms[1:]
	}
}
