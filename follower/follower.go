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
	// DefaultWait is the default duration of a watch without changes. An unresponsive connection is detected only
	// after it, and a change must take effect within two seconds.
	DefaultWait = time.Second
	// minBackoff and maxBackoff bound the backoff after a failed call; a store that has recovered must be read again
	// within two seconds.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// backoffHeartbeats is the number of heartbeats that the backoff may last. An outage that is noticed to have ended
	// later by more than a part of a heartbeat would seem long enough for entries to have expired.
	backoffHeartbeats = 0.25
	// DefaultPropagation is the default time within which a change in the store must take effect.
	DefaultPropagation = 2 * time.Second
	// renewalMargin is the time before the end of the propagation time at which a process that no peer has sent a newer
	// confirmation reads the store itself: for one that opens a connection first and is short of processor time.
	renewalMargin = 250 * time.Millisecond
	// renewalWait is the duration of the watch of such a read, which returns at once, and maxRenewals the number of tries: after a
	// gap in the history, the next one reads the list. While the store is down, further reads are spread over the fleet.
	renewalWait = time.Millisecond
	maxRenewals = 3
	// DefaultHeartbeat is the default interval at which upstreams renew their entries.
	DefaultHeartbeat = 1200 * time.Millisecond
	// outageHeartbeats is the number of heartbeats without a confirmation from the store to any known process after which
	// entries may have expired: an entry lasts for three, and the first may have been missed before the outage.
	// outageMargin is subtracted, because confirmations are up to this much later than the calls that they are for.
	outageHeartbeats = 2
	outageMargin     = 200 * time.Millisecond
	// minFailure is the time for which this process's own calls must have failed to count as an outage. It is shorter
	// than minOutage, because an unresponsive store is noticed up to 1.5 s late.
	minFailure = 500 * time.Millisecond
	// spreadTime is the time that a confirmation takes at most from a reader to the other processes, over two exchanges
	// between peers. One that has heard of no confirmation for this time and the duration of a watch schedules a read.
	spreadTime = 1200 * time.Millisecond
	// fallbackInterval is the mean interval between such fallback reads across the whole fleet.
	fallbackInterval = 200 * time.Millisecond
	// fallbackReadTime is the time for which a process keeps reading the store after starting a fallback read.
	fallbackReadTime = 3 * time.Second
	// batchTime is the pause after a watch that returned changes, so that changes in quick succession, such as many
	// upstreams that start, take few calls.
	batchTime = 250 * time.Millisecond
	// readyPollInterval is the interval at which AwaitReady checks for readiness while requests wait for it.
	readyPollInterval = 10 * time.Millisecond
	// readerPollInterval is the interval at which a process that does not read the store checks whether it should.
	readerPollInterval = 50 * time.Millisecond
)

// reading is how a process uses the store at the moment.
type reading int

const (
	// idle: it makes no calls.
	idle reading = iota
	// watching: it reads changes as they come.
	watching
	// renewing: it asks once for changes, with a watch that returns at once.
	renewing
)

// Store holds the functions of the platform's store that a Follower uses.
type Store struct {
	ReadAll func(ctx context.Context) (platform.Changes, error)
	Watch   func(ctx context.Context, after uint64, wait time.Duration) (platform.Changes, error)
}

// Config holds the settings and dependencies of a Follower.
type Config struct {
	Store    Store
	Registry *registrar.Registry
	// Wait is the maximum duration of a watch without changes; zero means DefaultWait.
	Wait time.Duration
	// Propagation is the time within which a change must take effect; zero means DefaultPropagation. A process that does not read
	// the store on behalf of its peers reads it before its latest confirmation is as old, whatever has become of the others.
	Propagation time.Duration
	// Heartbeat is the interval at which upstreams renew their entries; zero means DefaultHeartbeat.
	Heartbeat time.Duration
	// Reader reports whether this process reads the store on behalf of its peers; nil means always.
	Reader func() bool
	// Gateways returns the number of gateway processes in the fleet; nil means one.
	Gateways func() int
	// OnUpdate is called when the store returned a new configuration or a change of upstreams; it may be nil.
	OnUpdate func()
	// Decode parses a published configuration.
	Decode func(data []byte) (*mapper.Table, error)
	Log    hclog.Logger
}

// Follower maintains the current configuration and feeds upstream changes to a registry. It is safe for concurrent use.
type Follower struct {
	cfg     Config
	current atomic.Pointer[proxier.CurrentTable]

	// fallbackAt is the time of the next fallback read by a process that does not normally read the store, and
	// fallbackUntil the end of a fallback in progress. Only Run uses them.
	fallbackAt    time.Time
	fallbackUntil time.Time
	// renewed is the confirmation that was last to be renewed by reads of this process, and renewals their number. Only Run uses
	// them.
	renewed  time.Time
	renewals int
	// probeAt is the time of the next call of a process that does not normally read the store and whose last call failed. Only Run
	// uses it.
	probeAt time.Time
	// unreadable holds the revisions of the items of the store that were logged as unreadable, by key. Only Run uses it.
	unreadable map[string]uint64
	// lastRead is the start of the last successful call of this process. Only Run uses it.
	lastRead time.Time
	// namedEra is the era that the last response named, if it was another one than that of the list; nil otherwise. Only
	// Run uses it.
	namedEra *uint64

	mu       sync.Mutex
	document platform.Document
	// reached is set while the last call to the store has succeeded.
	reached bool
	// failingSince is the time of the first failure in the latest series of failed calls; zero if no call has failed.
	failingSince time.Time
}

// New returns a follower without a configuration; Run starts following the store.
func New(cfg Config) *Follower {
	if cfg.Wait == 0 {
		cfg.Wait = DefaultWait
	}
	if cfg.Propagation == 0 {
		cfg.Propagation = DefaultPropagation
	}
	if cfg.Heartbeat == 0 {
		cfg.Heartbeat = DefaultHeartbeat
	}
	if cfg.Gateways == nil {
		cfg.Gateways = func() int { return 1 }
	}
	f := &Follower{cfg: cfg}
	f.current.Store(&proxier.CurrentTable{})
	return f
}

// Current returns the current configuration and when it was last confirmed. The table is nil before the first one.
func (f *Follower) Current() proxier.CurrentTable {
	return *f.current.Load()
}

// Ready reports whether a configuration and a list of upstreams have been received.
func (f *Follower) Ready() bool {
	return f.Current().Table != nil && f.cfg.Registry.Synced()
}

// AwaitReady waits until the follower is ready and returns true, or until ctx ends and returns false.
func (f *Follower) AwaitReady(ctx context.Context) bool {
	for !f.Ready() {
		if ctx.Err() != nil {
			return false
		}
		pause(ctx, readyPollInterval)
	}
	return true
}

// Reached reports whether the last call to the store succeeded; it is false before the first call.
func (f *Follower) Reached() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reached
}

// Document returns the current configuration as published; its revision is zero before the first one is received.
func (f *Follower) Document() platform.Document {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.document
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var at registrar.Position // where the next watch begins; a revision of zero asks for a full read
	backoff := minBackoff
	retry := func() {
		pause(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, f.maxBackoff())
	}
	for ctx.Err() == nil {
		known := f.cfg.Registry.Position()
		mode := f.mode(time.Now())
		if mode == idle {
			at = known
			pause(ctx, readerPollInterval)
			continue
		}
		if overtaken(at, known) {
			at = known
		}
		if f.cfg.Registry.LacksEvacuations() {
			at.Revision = 0 // A watch would not return those before the position of the list.
		}
		started := time.Now()
		changes, err := f.call(ctx, at.Revision, mode)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.callFailed(err)
			gap := at.Revision != 0 && errors.Is(err, platform.ErrCompacted)
			if at = afterFailure(at, mode, gap); !gap {
				retry()
			}
			continue
		}
		if overtaken(at, f.cfg.Registry.Position()) {
			continue // Between the position of the list and that of the watch there may be changes of the new era.
		}
		if !f.settleEra(&changes, at.Revision == 0) {
			if at.Revision == 0 {
				retry()
			}
			at.Revision = 0
			f.endRenewal(mode)
			continue
		}
		backoff = minBackoff
		changed := f.apply(changes, at.Revision, started)
		f.callSucceeded(started)
		f.lastRead = started
		at = registrar.Position{Era: changes.Era, Revision: changes.Revision}
		if changed || f.cfg.Registry.LacksEvacuations() { // The list that lacks them may be ahead of the store's.
			pause(ctx, batchTime)
		}
	}
}

// afterFailure returns the position from which to continue after a failed call from the position at. After a gap in the history,
// the store is reachable, so that a full read follows at once. Otherwise, a process that reads for its peers reads the list again;
// with all others, that would be many reads.
func afterFailure(at registrar.Position, mode reading, gap bool) registrar.Position {
	if gap || mode == watching {
		at.Revision = 0
	}
	return at
}

// overtaken reports whether a watch from the position at cannot continue the list at the position known, because a peer has
// passed on the list of another era. A full read has a revision of zero, and is never overtaken.
func overtaken(at, known registrar.Position) bool {
	return at.Revision > 0 && (at.Era != known.Era || at.Revision > known.Revision)
}

func (f *Follower) call(ctx context.Context, revision uint64, mode reading) (platform.Changes, error) {
	wait := f.cfg.Wait
	if mode == renewing {
		wait = renewalWait
	}
	if revision == 0 {
		return f.cfg.Store.ReadAll(ctx)
	}
	return f.cfg.Store.Watch(ctx, revision, wait)
}

// settleEra reports whether a response may be applied, and sets its era if it does not state one. A response of another era
// than the list is applied only if it is a full list and the response before it named the same era, so that a single wrong
// header changes nothing; the era may then also be lower than before, so that a wrong one is not kept.
func (f *Follower) settleEra(c *platform.Changes, full bool) bool {
	known := f.cfg.Registry.Position()
	if !c.HasEra {
		c.Era = known.Era
		if c.Configuration != nil {
			c.Configuration.Era = known.Era
		}
	}
	if c.Era == known.Era || full && known.Revision == 0 {
		f.namedEra = nil
		return true
	}
	if full && f.namedEra != nil && *f.namedEra == c.Era {
		f.namedEra = nil
		return true
	}
	era := c.Era
	f.namedEra = &era
	return false
}

// mode returns how this process should use the store now. It watches because it reads on behalf of its peers, because it has no
// list of upstreams yet or one without evacuations, or because a fallback read is in progress; and it renews a confirmation that is
// about to be too old.
func (f *Follower) mode(now time.Time) reading {
	if f.cfg.Reader == nil || f.cfg.Reader() || f.cfg.Registry.LacksEvacuations() {
		return watching
	}
	confirmed := f.Current().Confirmed
	if f.lastRead.After(confirmed) {
		confirmed = f.lastRead // There is no configuration yet, or it has been read by this process only.
	}
	age := now.Sub(confirmed)
	switch {
	case age >= f.cfg.Propagation-renewalMargin && f.Ready() && f.startRenewal(confirmed):
		return renewing
	case age < f.cfg.Wait+spreadTime:
		f.fallbackAt = time.Time{}
		switch {
		case f.Ready() && f.isProbeDue(now):
			return renewing
		case now.Before(f.fallbackUntil):
			return watching
		}
		return idle
	case !f.cfg.Registry.Synced():
		return watching
	}
	if f.fallbackAt.IsZero() {
		f.fallbackAt = now.Add(rand.N(time.Duration(f.cfg.Gateways()) * fallbackInterval))
	}
	if now.Before(f.fallbackAt) {
		return idle
	}
	f.fallbackAt = time.Time{}
	f.fallbackUntil = now.Add(fallbackReadTime)
	return watching
}

// isProbeDue reports whether this process, whose last call failed while peers reach the store, should call it again. Otherwise it
// would never learn that it reaches the store, too, and could not take the place of a reader. The calls are spread over the fleet.
func (f *Follower) isProbeDue(now time.Time) bool {
	if f.Reached() {
		f.probeAt = time.Time{}
		return false
	}
	if f.probeAt.IsZero() {
		f.probeAt = now.Add(rand.N(2 * time.Duration(f.cfg.Gateways()) * fallbackInterval))
	}
	if now.Before(f.probeAt) {
		return false
	}
	f.probeAt = time.Time{}
	return true
}

// startRenewal reports whether this process should read the store to renew a confirmation, and counts the read. The readers that
// the confirmation came from may be cut off from the store or gone, which it may not hear in time, or not at all.
func (f *Follower) startRenewal(confirmed time.Time) bool {
	if !f.renewed.Equal(confirmed) {
		f.renewed, f.renewals = confirmed, 0
	}
	f.renewals++
	return f.renewals <= maxRenewals
}

// endRenewal ends the tries to renew a confirmation when the store has turned out to be in another era: the whole fleet would read
// the list, which spreads from peer to peer.
func (f *Follower) endRenewal(mode reading) {
	if mode == renewing {
		f.renewals = maxRenewals
	}
}

// apply applies the changes that the store returned, and reports whether there were any; revision is the one that was
// watched from, or zero after a full read.
func (f *Follower) apply(c platform.Changes, revision uint64, started time.Time) (changed bool) {
	now := time.Now()
	f.logUnreadable(&c, revision == 0)
	f.detectOutageEnd(started)
	confirmed := started
	if empty := c.Configuration == nil && len(c.Upstreams) == 0 && len(c.Unreadable) == 0; empty && revision != 0 && now.Sub(started) >= f.cfg.Wait {
		// The store responds to a watch without changes only at its end.
		confirmed = started.Add(f.cfg.Wait)
	}
	// The configuration is applied before the upstreams, since the registry's complete revision means to peers that this
	// process has all changes up to it, including those of the configuration.
	updated := false
	if c.Configuration != nil {
		updated = f.Adopt(*c.Configuration, started, "store")
	}
	to := registrar.Position{Era: c.Era, Revision: c.Revision}
	if revision == 0 {
		updated = f.cfg.Registry.MergeList(c.Upstreams, to, now) || updated
	} else {
		updated = f.cfg.Registry.MergeChanges(c.Upstreams, registrar.Position{Era: c.Era, Revision: revision}, to, now) || updated
	}
	if updated && f.cfg.OnUpdate != nil {
		f.cfg.OnUpdate()
	}
	f.Confirm(confirmed)
	return updated || len(c.Unreadable) > 0
}

// sinceConfirmation returns the time from the last confirmation by this process or a peer until at; zero if there has
// been none.
func (f *Follower) sinceConfirmation(at time.Time) time.Duration {
	last := f.Current().Confirmed
	if last.IsZero() {
		return 0
	}
	return at.Sub(last)
}

// maxBackoff returns the longest backoff after a failed call.
func (f *Follower) maxBackoff() time.Duration {
	return min(max(time.Duration(backoffHeartbeats*float64(f.cfg.Heartbeat)), minBackoff), maxBackoff)
}

// minOutage returns the time without a confirmation after which entries of upstreams may have expired.
func (f *Follower) minOutage() time.Duration {
	return outageHeartbeats*f.cfg.Heartbeat - outageMargin
}

// detectOutageEnd handles the end of an outage when a call of this process succeeds again. There was an outage if the
// calls of this process failed and no peer confirmed the configuration meanwhile; if peers still reached the store,
// there was none.
func (f *Follower) detectOutageEnd(at time.Time) {
	f.mu.Lock()
	failing := !f.reached && !f.failingSince.IsZero() && at.Sub(f.failingSince) > minFailure
	f.mu.Unlock()
	if failing && f.sinceConfirmation(at) > f.minOutage() {
		f.outageEnded(at, at)
	}
}

// PeerReachedStore records that the store answered a peer at the given time. outageEnd is the end of the last outage that the
// peer recorded; zero means none. The outage is recorded here only if this process had no confirmation of the configuration
// during it either. A lack of messages from peers alone does not count as an outage.
func (f *Follower) PeerReachedStore(at, outageEnd time.Time) {
	if !outageEnd.IsZero() && f.sinceConfirmation(at) > f.minOutage() {
		f.outageEnded(at, outageEnd)
	}
}

func (f *Follower) outageEnded(at, end time.Time) {
	f.cfg.Log.Info("store_outage_ended", "lasted_ms", f.sinceConfirmation(at).Milliseconds())
	f.cfg.Registry.OutageEnded(end)
}

// Confirm records that the current configuration was the newest at the given time. It does nothing before the first
// configuration or if a later confirmation is recorded.
func (f *Follower) Confirm(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := *f.current.Load()
	if current.Table != nil && at.After(current.Confirmed) {
		current.Confirmed = at
		f.current.Store(&current)
	}
}

// Adopt replaces the current configuration if d is newer, and reports whether it did. Unreadable documents and older
// versions are logged and ignored; source names the origin in the log.
//
// The version decides whatever the era: a store that was restored from an older copy may still hold an older version, or get
// one again that was lost. A version that was written again in a later era replaces the one of the earlier era, whose contents
// may have differed.
func (f *Follower) Adopt(d platform.Document, at time.Time, source string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d.Era == f.document.Era && d.Revision <= f.document.Revision {
		return false
	}
	// A peer states the version. An older one says nothing about the store, which may have replaced it long ago.
	if d.Version > 0 && (d.Version < f.document.Version || d.Version == f.document.Version && d.Era < f.document.Era) {
		return false
	}
	table, err := f.cfg.Decode(d.Data)
	if err != nil {
		f.cfg.Log.Error("configuration_refused", "revision", d.Revision, "era", d.Era, "source", source, "error", err.Error())
		f.setSuperseded(true)
		return false
	}
	old := f.current.Load()
	if old.Table != nil {
		again := table.Version == old.Table.Version && d.Era > f.document.Era
		if table.Version <= old.Table.Version && !again {
			f.cfg.Log.Warn("configuration_older", "version", table.Version, "in_force", old.Table.Version, "revision", d.Revision,
				"era", d.Era, "source", source)
			f.setSuperseded(false)
			return false
		}
	}
	f.document = platform.Document{Era: d.Era, Revision: d.Revision, Version: table.Version, Data: d.Data}
	f.current.Store(&proxier.CurrentTable{Table: table, Confirmed: at})
	f.cfg.Log.Info("configuration_adopted", "version", table.Version, "revision", d.Revision, "era", d.Era, "source", source,
		"routes", len(table.Routes), "services", len(table.Services), "keys", len(table.Organisations))
	return true
}

// setSuperseded records whether the store holds a newer configuration that cannot be decoded. The caller holds f.mu.
func (f *Follower) setSuperseded(superseded bool) {
	current := *f.current.Load()
	current.Superseded = superseded
	f.current.Store(&current)
}

// callFailed records a failed call to the store, and logs the first one of a series.
func (f *Follower) callFailed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reached || f.failingSince.IsZero() {
		f.failingSince = time.Now()
		f.cfg.Log.Warn("store_lost", "error", err.Error(), "configuration_revision", f.document.Revision,
			"era", f.document.Era)
	}
	f.reached = false
}

// callSucceeded records a successful call to the store, and logs the first one after a failure or the start.
func (f *Follower) callSucceeded(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reached {
		return
	}
	f.reached = true
	f.cfg.Log.Info("store_reached", "away_ms", f.downtime(at).Milliseconds())
}

// downtime returns the time from the first call of the latest series of failures until at; zero if none has failed.
func (f *Follower) downtime(at time.Time) time.Duration {
	if f.failingSince.IsZero() {
		return 0
	}
	return at.Sub(f.failingSince)
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
