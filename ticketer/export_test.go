package ticketer

import (
	"container/list"
	"slices"
	"time"

	"clementineramp/judge"
)

// Clone returns an independent copy, so that a state-space search can branch.
func (l *Ledger) Clone() *Ledger {
	c := &Ledger{
		cfg: l.cfg, minOwned: l.minOwned, serial: l.serial, ownership: l.ownership, keptBytes: l.keptBytes,
		entries: make(map[Key]*entry, len(l.entries)), reserved: make(map[uint64]struct{}, len(l.reserved)),
		kept: list.New(),
	}
	c.ownership.workerSets = slices.Clone(l.ownership.workerSets)
	for key, e := range l.entries {
		copied := *e
		pending := *e.pending
		if !e.closed {
			pending.done = make(chan struct{})
		}
		copied.pending = &pending
		copied.kept = nil
		c.entries[key] = &copied
	}
	for serial := range l.reserved {
		c.reserved[serial] = struct{}{}
	}
	for el := l.kept.Front(); el != nil; el = el.Next() {
		e := c.entries[el.Value.(*entry).key]
		e.kept = c.kept.PushBack(e)
	}
	c.issued.items = slices.Clone(l.issued.items[l.issued.head:])
	for _, e := range l.closedTickets.items[l.closedTickets.head:] {
		c.closedTickets.push(c.entries[e.key])
	}
	for _, e := range l.closedKeys.items[l.closedKeys.head:] {
		c.closedKeys.push(c.entries[e.key])
	}
	return c
}

// State holds everything in a ledger that concerns one key, in a small comparable form; times count in units since the start.
// Worker sets are reduced to whether this agent owns the key.
type State struct {
	Active, Last, Confirmed, Expires int16
	WorkerSets                       [4]struct {
		Present, Owned bool
		From           int16
	}
	Reserved, Known, Closed, Kept bool
	Verdict                       int8
}

// StateOf returns the state of the ledger for a key; all times must be multiples of the unit.
func (l *Ledger) StateOf(key Key, unit time.Duration) State {
	units := func(d time.Duration) int16 { return int16(d / unit) }
	s := State{Active: units(l.ownership.active), Last: units(l.ownership.lastObserved.Sub(l.cfg.Started)), Reserved: len(l.reserved) > 0}
	if !l.ownership.confirmed.IsZero() {
		s.Confirmed = 1 + units(l.ownership.confirmed.Sub(l.cfg.Started))
	}
	for i, w := range l.ownership.workerSets {
		s.WorkerSets[i].Present = true
		s.WorkerSets[i].Owned = Owner(key, w.workers) == l.cfg.Agent
		s.WorkerSets[i].From = units(w.from)
	}
	if e := l.entries[key]; e != nil {
		s.Known = true
		s.Closed = e.closed
		s.Kept = e.kept != nil
		s.Expires = units(e.expires)
		s.Verdict = int8(judge.VerdictOf(e.pending.err))
	}
	return s
}

// SetMinOwned sets the active time that an ownership must exceed before the agent runs an order whose key has no record.
func (l *Ledger) SetMinOwned(d time.Duration) {
	l.minOwned = d
}

// SetMaxGap sets the time between two confirmations above which all ownerships restart.
func (l *Ledger) SetMaxGap(d time.Duration) {
	l.ownership.maxGap = d
}
