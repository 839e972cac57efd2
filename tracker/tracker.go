package tracker

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"clementineramp/chooser"
	"clementineramp/encoder"
)

// Tracker combines the host list, local observations and reports of peers; it is safe for concurrent use.
type Tracker struct {
	cfg Config

	mu      sync.Mutex
	entries map[string]*entry
	// byHash maps the hash of a name to its entry, or to nil if several names share the hash.
	byHash map[uint32]*entry
	// sorted holds the entries sorted by name, so that processes with the same information return equal views.
	sorted      []*entry
	hasHostList bool
	// drift estimates how fast the load of one upstream departs from its last report.
	drift drift
	// pending is the latest host list if it has not been applied, and nil otherwise.
	pending []Host
	// Reports merged before delayedUntil count as older by pauseDelay, the length of the last pause of the process.
	pauseDelay   time.Duration
	delayedUntil time.Time
}

// New returns a Tracker without upstreams.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg.withDefaults(), entries: make(map[string]*entry)}
}

// UpdateHosts applies the platform's latest host list. A list that lacks more than half of the live upstreams is not
// applied but kept as pending, since it is probably faulty.
func (t *Tracker) UpdateHosts(list []Host, now time.Time) ListChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending = nil
	return t.tryApply(list, now)
}

// RetryPending tries to apply the pending host list, if any, and reports whether it was applied. It is to be called each
// second, since the upstreams that the list lacks may have turned out to be down. It also removes expired upstreams.
func (t *Tracker) RetryPending(now time.Time) (ListChange, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	if t.pending == nil {
		return ListChange{}, false
	}
	change := t.tryApply(t.pending, now)
	return change, change.Applied
}

func (t *Tracker) tryApply(list []Host, now time.Time) ListChange {
	listed := make(map[string]bool, len(list))
	for _, h := range list {
		listed[h.Name] = true
	}
	live, missing := 0, 0
	for _, e := range t.sorted {
		if !e.listed || e.failing() || e.leaving(now, &t.cfg) {
			continue
		}
		live++
		if !listed[e.host.Name] {
			missing++
		}
	}
	if 2*missing > live {
		t.pending = slices.Clone(list)
		if t.pending == nil {
			t.pending = []Host{}
		}
		return ListChange{Warning: fmt.Sprintf("host list lacks %d of %d live upstreams", missing, live)}
	}
	t.pending = nil
	return t.apply(list, listed, now)
}

func (t *Tracker) apply(list []Host, listed map[string]bool, now time.Time) ListChange {
	change := ListChange{Applied: true}
	for _, h := range list {
		e, ok := t.entries[h.Name]
		if !ok {
			e = &entry{failure: chooser.Live}
			if t.hasHostList {
				e.firstListed = now
			}
			t.entries[h.Name] = e
			t.sorted = append(t.sorted, e)
		}
		if !e.listed {
			change.Added = append(change.Added, h.Name)
		}
		if h.Leaving && (!e.listed || !e.host.Leaving) {
			change.Leaving = append(change.Leaving, h.Name)
		}
		if !h.Leaving && e.listed && e.host.Leaving {
			e.clearLeaving()
		}
		e.host = h
		e.listed = true
	}
	for _, e := range t.sorted {
		if e.listed && !listed[e.host.Name] {
			e.listed = false
			change.Removed = append(change.Removed, e.host.Name)
		}
	}
	t.hasHostList = true
	slices.SortFunc(t.sorted, func(a, b *entry) int { return cmp.Compare(a.host.Name, b.host.Name) })
	t.removeExpired(now)
	t.rebuildHashIndex()
	return change
}

// removeExpired removes upstreams that are no longer members. It keeps those that failed within the flap window, so that
// an upstream that reappears retains its count of flaps.
func (t *Tracker) removeExpired(now time.Time) {
	t.sorted = slices.DeleteFunc(t.sorted, func(e *entry) bool {
		if e.isMember(now, &t.cfg) || now.Sub(e.flapped) <= t.cfg.FlapWindow {
			return false
		}
		delete(t.entries, e.host.Name)
		return true
	})
}

// Observe records the outcome of an attempt. It is to be called at the first byte of an answer, and not again at its end.
// Unknown upstreams are ignored.
func (t *Tracker) Observe(o Observation, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[o.Upstream]
	if !ok {
		return
	}
	switch o.Outcome {
	case Answered:
		e.answered = now
		e.failure = chooser.Live
	case ConnectionRefused:
		e.fail(chooser.Down, now, now, true, &t.cfg)
	case TimedOut:
		e.fail(chooser.Suspect, now, now, true, &t.cfg)
	case NotReady:
		e.fail(chooser.Down, now, now, false, &t.cfg)
	case Leaving:
		e.answered = now
		e.refusedLeaving = now
	}
}

// lookup returns the entry that a report refers to by name or hash, or nil.
func (t *Tracker) lookup(r *encoder.LoadEntry) *entry {
	if r.Upstream == "" {
		return t.byHash[r.Hash]
	}
	return t.entries[r.Upstream]
}

// rebuildHashIndex rebuilds byHash from the entries.
func (t *Tracker) rebuildHashIndex() {
	t.byHash = make(map[uint32]*entry, len(t.sorted))
	for _, e := range t.sorted {
		hash := encoder.NameHash(e.host.Name)
		if _, shared := t.byHash[hash]; shared {
			t.byHash[hash] = nil
			continue
		}
		t.byHash[hash] = e
	}
}

// Merge merges load reports and returns how many of them superseded the current ones. It ignores reports of upstreams
// that no host list has named, which bounds the table, and reports whose loads are not finite and non-negative numbers.
func (t *Tracker) Merge(reports []encoder.LoadEntry, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for i := range reports {
		r := &reports[i]
		e := t.lookup(r)
		if e == nil || !validLoad(r.Work) || !validLoad(r.Queued) || r.UptimeMS < 0 {
			continue
		}
		age := time.Duration(max(0, min(r.AgeMS, math.MaxInt64/int64(time.Millisecond)))) * time.Millisecond
		if now.Before(t.delayedUntil) {
			age += t.pauseDelay
		}
		before, sameIncarnation := *e, e.hasReport && e.report.Incarnation == r.Incarnation
		if e.merge(r, now.Add(-age), now, &t.cfg) {
			n++
			if sameIncarnation {
				t.drift.add(r.Work-before.report.Work, e.measured.Sub(before.measured))
			}
		}
	}
	return n
}

func validLoad(work float64) bool {
	return work >= 0 && !math.IsInf(work, 1)
}

// Resume notifies the tracker that the process was paused for gap until now. Reports that are merged shortly afterwards
// may have waited in a socket for the whole pause, so they count as older by gap.
func (t *Tracker) Resume(gap time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pauseDelay = gap
	t.delayedUntil = now.Add(resumeGrace)
}

// View returns the upstreams of a pool, sorted by name, with their state and load as of now.
func (t *Tracker) View(pool string, now time.Time) []chooser.Upstream {
	return t.AppendView(nil, pool, now)
}

// AppendView appends the result of View to dst, so that a caller may reuse a slice.
func (t *Tracker) AppendView(dst []chooser.Upstream, pool string, now time.Time) []chooser.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	if dst == nil {
		dst = make([]chooser.Upstream, 0, len(t.sorted))
	}
	for _, e := range t.sorted {
		if e.host.Pool == pool && e.isMember(now, &t.cfg) {
			dst = append(dst, e.upstream(now, &t.cfg))
		}
	}
	return dst
}

// Lookup returns the host of an upstream, and false unless the host list has it or it answered or reported recently.
func (t *Tracker) Lookup(name string, now time.Time) (Host, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[name]
	if !ok || !e.isMember(now, &t.cfg) {
		return Host{}, false
	}
	return e.host, true
}

// PoolLoad returns the known load of a pool. Upstreams that are leaving or accept no work count neither as known nor as
// members.
func (t *Tracker) PoolLoad(pool string, now time.Time) Load {
	return t.PoolLoadExcept(pool, "", now)
}

// PoolLoadExcept returns the load of a pool without the upstream self, for an agent that adds its own, exact load.
func (t *Tracker) PoolLoadExcept(pool, self string, now time.Time) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	var l Load
	variance := 0.0
	for _, e := range t.sorted {
		if e.host.Pool != pool || e.host.Name == self || !e.isMember(now, &t.cfg) || !e.countsInMean(now, &t.cfg) {
			continue
		}
		l.Members++
		if age, ok := e.loadAge(now, &t.cfg); ok {
			l.Known++
			l.Work += e.report.Work
			l.Queued += e.report.Queued
			variance += t.drift.varianceRate() * age.Seconds()
			l.Trend += t.drift.trend() * age.Seconds()
		}
	}
	l.Deviation = math.Sqrt(variance)
	return l
}

// Freshest returns up to n reports that have not expired, with their current ages, to be forwarded to peers. The report
// of the upstream except is left out. Upstreams whose readiness or leaving state changed recently come first, then the
// youngest reports. Otherwise an engine that receives no more requests, and so has no young report, would be crowded out,
// although all other processes must exclude it from the mean. The reports hold only what agents reported, not the
// observations of this process.
func (t *Tracker) Freshest(n int, except string, now time.Time) []encoder.LoadEntry {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n <= 0 {
		return nil
	}
	best := make([]*entry, 0, min(n, len(t.sorted))+1)
	for _, e := range t.sorted {
		if _, ok := e.loadAge(now, &t.cfg); !ok || e.host.Name == except || !e.isMember(now, &t.cfg) {
			continue
		}
		if len(best) == n && !e.priorityTime(now).After(best[n-1].priorityTime(now)) {
			continue
		}
		i := len(best)
		for i > 0 && e.priorityTime(now).After(best[i-1].priorityTime(now)) {
			i--
		}
		best = slices.Insert(best, i, e)
		best = best[:min(n, len(best))]
	}
	out := make([]encoder.LoadEntry, len(best))
	for i, e := range best {
		out[i] = e.report
		// Ages are rounded up, so that a report does not grow younger at each hop.
		out[i].AgeMS = int64((max(0, now.Sub(e.measured)) + time.Millisecond - 1) / time.Millisecond)
	}
	return out
}
