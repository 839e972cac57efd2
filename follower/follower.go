package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"clementineramp/mapper"
	"clementineramp/platform"
	"clementineramp/proxier"
	"clementineramp/registrar"
)

const (
	// DefaultWait is the time that a watch waits: a connection that has gone silent is found after it, and a change
	// must be in force within two seconds.
	DefaultWait = time.Second
	// minBackoff and maxBackoff bound the pause after a failed call; the store must be found again within two seconds.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// shortestOutage is the time without an answer of the store to anyone after which entries may have lapsed: they
	// last for three heartbeats of 1.2 s, the first of which may have been missed before.
	shortestOutage = 2200 * time.Millisecond
	// shortestFailure is the least time for which the own calls failed in an outage: a silent store is noticed up to
	// 1.5 s late.
	shortestFailure = 500 * time.Millisecond
	// patience is the age of the configuration's last confirmation from which a process that does not read the store
	// tries it: a watch, its slack and an exchange between peers.
	patience = 1700 * time.Millisecond
	// tryInterval is the mean pause between such tries of the whole fleet.
	tryInterval = 200 * time.Millisecond
	// helpTime is the time for which a process reads the store after such a try.
	helpTime = 3 * time.Second
	// readyInterval is the pause between looks at whether a configuration has come, for requests that wait for it.
	readyInterval = 10 * time.Millisecond
	// lookInterval is the pause between looks at whether the store is to be read.
	lookInterval = 50 * time.Millisecond
)

// Store is the part of the platform's store that a Follower uses.
type Store struct {
	ReadAll func(ctx context.Context) (platform.Changes, error)
	Watch   func(ctx context.Context, after uint64, wait time.Duration) (platform.Changes, error)
}

// Config sets up a Follower.
type Config struct {
	Store    Store
	Registry *registrar.Registry
	// Wait is the time that a watch waits; zero means DefaultWait.
	Wait time.Duration
	// Reader reports whether this process reads the store for the others; nil means always.
	Reader func() bool
	// Gateways returns the number of processes; nil means one.
	Gateways func() int
	// OnNews is told when the store had something new; nil means no one is.
	OnNews func()
	// Decode reads a configuration.
	Decode func(data []byte) (*mapper.Table, error)
	Log    hclog.Logger
}

// Follower is safe for concurrent use.
type Follower struct {
	cfg    Config
	belief atomic.Pointer[proxier.Belief]

	// tryAt is the time of the next try of the store by a process that does not read it, helpUntil the end of the time
	// for which it reads after one; both belong to Run.
	tryAt     time.Time
	helpUntil time.Time

	mu       sync.Mutex
	document platform.Document
	// reached says that the last call of the store succeeded.
	reached bool
	lostAt  time.Time
}

// New returns a follower that knows nothing.
func New(cfg Config) *Follower {
	if cfg.Wait == 0 {
		cfg.Wait = DefaultWait
	}
	if cfg.Gateways == nil {
		cfg.Gateways = func() int { return 1 }
	}
	f := &Follower{cfg: cfg}
	f.belief.Store(&proxier.Belief{})
	return f
}

// Belief returns the configuration in force and when it was last confirmed.
func (f *Follower) Belief() proxier.Belief {
	return *f.belief.Load()
}

// Ready reports whether a configuration and a list of upstreams are known.
func (f *Follower) Ready() bool {
	return f.Belief().Table != nil && f.cfg.Registry.Synced()
}

// AwaitReady waits until a configuration and a list of upstreams are known, or ctx ends, and reports which.
func (f *Follower) AwaitReady(ctx context.Context) bool {
	for !f.Ready() {
		if ctx.Err() != nil {
			return false
		}
		pause(ctx, readyInterval)
	}
	return true
}

// Reached reports whether the last call of the store succeeded.
func (f *Follower) Reached() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reached
}

// Document returns the configuration as it was published; its revision is zero before the first is known.
func (f *Follower) Document() platform.Document {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.document
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var revision uint64
	backoff := minBackoff
	for ctx.Err() == nil {
		if !f.reads(time.Now()) {
			revision = f.cfg.Registry.CompleteRevision()
			pause(ctx, lookInterval)
			continue
		}
		started := time.Now()
		changes, err := f.call(ctx, revision)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.lost(err)
			gap := revision != 0 && errors.Is(err, platform.ErrCompacted)
			revision = 0
			if gap {
				continue // The store answers; everything is read again at once.
			}
			pause(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		f.take(changes, revision, started)
		f.back(started)
		revision = changes.Revision
	}
}

func (f *Follower) call(ctx context.Context, revision uint64) (platform.Changes, error) {
	if revision == 0 {
		return f.cfg.Store.ReadAll(ctx)
	}
	return f.cfg.Store.Watch(ctx, revision, f.cfg.Wait)
}

// reads reports whether this process calls the store now: if it reads for the others, if nobody has confirmed the
// configuration for too long, or if it did so a moment ago for that reason.
func (f *Follower) reads(now time.Time) bool {
	if f.cfg.Reader == nil || f.cfg.Reader() {
		return true
	}
	if now.Sub(f.Belief().Confirmed) < patience {
		f.tryAt = time.Time{}
		return now.Before(f.helpUntil)
	}
	if f.Belief().Table == nil {
		return true
	}
	if f.tryAt.IsZero() {
		f.tryAt = now.Add(rand.N(time.Duration(f.cfg.Gateways()) * tryInterval))
	}
	if now.Before(f.tryAt) {
		return false
	}
	f.tryAt = time.Time{}
	f.helpUntil = now.Add(helpTime)
	return true
}

// take brings what the store told into force; revision is that of the watch, or zero after a complete read.
func (f *Follower) take(c platform.Changes, revision uint64, started time.Time) {
	now := time.Now()
	for _, key := range c.Unreadable {
		f.cfg.Log.Warn("upstream_entry_unreadable", "key", key, "revision", c.Revision)
	}
	f.storeAnswered(started)
	// The configuration comes first: the list's revision tells peers that nothing before it is missing.
	news := false
	if c.Configuration != nil {
		news = f.Adopt(*c.Configuration, started, "store")
	}
	if revision == 0 {
		news = f.cfg.Registry.MergeList(c.Upstreams, c.Revision, now) || news
	} else {
		news = f.cfg.Registry.MergeChanges(c.Upstreams, revision, c.Revision, now) || news
	}
	if news && f.cfg.OnNews != nil {
		f.cfg.OnNews()
	}
	f.Confirm(started)
}

// silentFor returns the time up to at in which no process that this one heard of had an answer of the store.
func (f *Follower) silentFor(at time.Time) time.Duration {
	last := f.Belief().Confirmed
	if last.IsZero() {
		return 0
	}
	return at.Sub(last)
}

// storeAnswered looks for the end of an outage when the store answers this process: its own calls failed, and no
// peer confirmed the configuration meanwhile. A call that fails for one process alone is no outage.
func (f *Follower) storeAnswered(at time.Time) {
	f.mu.Lock()
	failing := !f.reached && !f.lostAt.IsZero() && at.Sub(f.lostAt) > shortestFailure
	f.mu.Unlock()
	if failing && f.silentFor(at) > shortestOutage {
		f.outageEnded(at, at)
	}
}

// Contact notes that the store answered a peer at a time. An outage that the peer knows of counts only if nobody
// confirmed the configuration to this process either; peers that were merely not heard are no sign of one.
func (f *Follower) Contact(at time.Time, outageAge time.Duration) {
	if outageAge >= 0 && f.silentFor(at) > shortestOutage {
		f.outageEnded(at, time.Now().Add(-outageAge))
	}
}

func (f *Follower) outageEnded(at, end time.Time) {
	f.cfg.Log.Info("store_outage_ended", "lasted_ms", f.silentFor(at).Milliseconds())
	f.cfg.Registry.OutageEnded(end)
}

// Confirm notes that at a time nothing newer than the configuration in force existed.
func (f *Follower) Confirm(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := *f.belief.Load()
	if b.Table != nil && at.After(b.Confirmed) {
		b.Confirmed = at
		f.belief.Store(&b)
	}
}

// Adopt takes a configuration from any source and reports whether it is newer than the one in force.
func (f *Follower) Adopt(d platform.Document, at time.Time, source string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d.Revision <= f.document.Revision {
		return false
	}
	table, err := f.cfg.Decode(d.Data)
	if err != nil {
		f.cfg.Log.Error("configuration_refused", "revision", d.Revision, "source", source, "error", err.Error())
		return false
	}
	old := f.belief.Load()
	if old.Table != nil && table.Version <= old.Table.Version {
		f.cfg.Log.Warn("configuration_older", "version", table.Version, "in_force", old.Table.Version, "source", source)
		return false
	}
	f.document = d
	f.belief.Store(&proxier.Belief{Table: table, Confirmed: at})
	f.cfg.Log.Info("configuration_adopted", "version", table.Version, "revision", d.Revision, "source", source,
		"routes", len(table.Routes), "services", len(table.Services), "keys", len(table.Organisations))
	return true
}

// lost notes a failed call.
func (f *Follower) lost(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reached || f.lostAt.IsZero() {
		f.lostAt = time.Now()
		f.cfg.Log.Warn("store_lost", "error", err.Error(), "configuration_revision", f.document.Revision)
	}
	f.reached = false
}

// back notes a call that succeeded.
func (f *Follower) back(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reached {
		return
	}
	f.reached = true
	f.cfg.Log.Info("store_reached", "away_ms", f.away(at).Milliseconds())
}

func (f *Follower) away(at time.Time) time.Duration {
	if f.lostAt.IsZero() {
		return 0
	}
	return at.Sub(f.lostAt)
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
