package watcher

import (
	"context"
	"net"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"clementineramp/configurer"
	"clementineramp/encoder"
	"clementineramp/gossiper"
	"clementineramp/platform"
)

// loadEntries is the number of load entries in an exchange with a peer.
const loadEntries = 32

// maxAlarms bounds the alarms that are shown to operators.
const maxAlarms = 16

// connect joins the view to the gossip with peers.
func (w *Watcher) connect() error {
	cfg := gossiper.Config{
		Name: w.cfg.Self.Name, Control: w.cfg.Self.Control, Key: []byte(w.cfg.SharedKey),
		Load: w.entries, MergeLoad: w.Merge, Marks: w.cfg.Marks, MergeMarks: w.cfg.MergeMarks,
		Newest:   w.holder.Newest,
		Note:     func(peer string, p configurer.Pair) { w.distributor.Note(peer, p) },
		Manifest: w.holder.Manifest, Part: w.holder.Part,
		Count: w.CountControl, Allow: w.allow, Log: w.cfg.Log,
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
		Gossip: w.gossip, Hosts: w.peers, Adopted: w.adopted, Alarm: w.conflict, Log: w.cfg.Log,
	})
	return nil
}

// CountControl counts bytes of control traffic against the budget.
func (w *Watcher) CountControl(bytes int) {
	if w.cfg.Budget != nil {
		w.cfg.Budget.Received(bytes, w.cfg.Now())
	}
}

func (w *Watcher) allow(bytes int) bool {
	return w.cfg.Budget == nil || w.cfg.Budget.Allow(bytes, w.cfg.Now())
}

// peers returns the hosts to gossip with: those of the list, or the peers of the settings while no list is known.
func (w *Watcher) peers() []platform.Host {
	if hosts := w.Hosts(); len(hosts) > 0 || len(w.cfg.Peers) == 0 {
		return hosts
	}
	// The process itself is among them, so that it watches the platform until it knows the list.
	hosts := []platform.Host{w.cfg.Self}
	for _, p := range w.cfg.Peers {
		if p != w.cfg.Self.Control {
			hosts = append(hosts, platform.Host{Name: p, Control: p})
		}
	}
	return hosts
}

// entries returns the load entries for an exchange with a peer.
func (w *Watcher) entries() []encoder.LoadEntry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracker.Freshest(loadEntries, "", w.cfg.Now())
}

// pushTimeout bounds the telling of all peers of a pool, and pushAtOnce the connections at one time.
const (
	pushTimeout = 2 * time.Second
	pushAtOnce  = 8
)

// PushMarks tells all agents of a pool of this process's crash marks, in the background. A repeat of a request that
// crashed its engine may come within a second, sooner than the marks would spread by random exchanges.
func (w *Watcher) PushMarks(pool string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
		defer cancel()
		var g errgroup.Group
		g.SetLimit(pushAtOnce)
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

// adopted tells of a configuration that came into force.
func (w *Watcher) adopted(s *configurer.Snapshot) {
	w.cfg.Log.Info("configuration_in_force", "version", s.Version, "digest", string(s.Digest),
		"organisations", s.OrganisationCount())
	if w.cfg.OnSnapshot != nil {
		w.cfg.OnSnapshot(s)
	}
}

// conflict raises the alarm for a version that was published with two contents.
func (w *Watcher) conflict(c configurer.Conflict) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.alarms = append(w.alarms, c.String())
	if len(w.alarms) > maxAlarms {
		w.alarms = w.alarms[1:]
	}
}
