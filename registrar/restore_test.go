package registrar_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/registrar"
)

// history feeds a registry the changes of an upstream in a store with eras.
type history struct {
	*registrar.Registry
	pos registrar.Position
	now time.Time
}

// change reports the next changes of the store's era.
func (h *history) change(records ...registrar.Record) {
	since := h.pos
	for i := range records {
		h.pos.Revision++
		records[i].Revision = h.pos.Revision
	}
	h.MergeChanges(records, since, h.pos, h.now)
}

// restore reports a list of the next era.
func (h *history) restore(list ...registrar.Record) {
	h.pos = registrar.Position{Era: h.pos.Era + 1, Revision: 10}
	h.MergeList(list, h.pos, h.now)
}

// pass lets time pass.
func (h *history) pass(d time.Duration) {
	h.now = h.now.Add(d)
	h.Refresh(h.now)
}

// used returns the start time of the incarnation in use, or zero.
func (h *history) used() int64 {
	for _, u := range h.View().ByService["s"] {
		return u.Born
	}
	return 0
}

// Guards against upstreams that are used although they are leaving or gone, or not used although they are sound, in any
// combination of what was known of an upstream, what the copy says from which the store was restored, and what is written then.
func TestEntriesAroundARestore(t *testing.T) {
	ready, leaving, earlier := instance("a", 2, 5, false), instance("a", 2, 5, true), instance("a", 1, 5, false)
	gone := removed("a", 0)
	// A state before the restore leads to leaves, if that incarnation must not be used again, or to absent, if it must not be used
	// until it is written again.
	for _, before := range []struct {
		name           string
		reach          func(h *history)
		leaves, absent bool
	}{
		{"ready", func(*history) {}, false, false},
		{"leaving", func(h *history) { h.change(leaving) }, true, false},
		{"marked", func(h *history) { h.MarkLeaving(ready.Upstream, "response", h.now) }, true, false},
		{"removed", func(h *history) { h.change(gone) }, false, true},
		{"leaving, then removed", func(h *history) { h.change(leaving); h.change(gone) }, true, true},
		{"lapsed", func(h *history) { h.OutageEnded(h.now); h.change(gone) }, false, false},
		{"lapsed, then gone", func(h *history) { h.OutageEnded(h.now); h.change(gone); h.pass(3 * time.Second) }, false, true},
		{"removed, then in a copy", func(h *history) { h.change(gone); h.restore(ready) }, false, true},
		{"lapsed in a copy", func(h *history) { h.restore() }, false, false},
		{"earlier in a copy", func(h *history) { h.restore(earlier) }, false, false},
	} {
		for _, copied := range []struct {
			name string
			list []registrar.Record
		}{{"ready", []registrar.Record{ready}}, {"leaving", []registrar.Record{leaving}}, {"earlier", []registrar.Record{earlier}}, {"absent", nil}} {
			restored := func() *history {
				h := &history{Registry: registrar.New(registrar.Config{Expiry: expiry}), now: start}
				h.restore(earlier)
				h.change(ready)
				before.reach(h)
				h.restore(copied.list...)
				h.pass(time.Second)
				return h
			}
			name := "before " + before.name + ", copy " + copied.name
			sound := !before.leaves && !before.absent && copied.name != "leaving"
			t.Run(name+", not written again", func(t *testing.T) {
				h := restored()
				require.Equal(t, sound, h.used() == 2)
				require.NotEqualValues(t, 1, h.used())
				h.pass(time.Minute)
				stays := copied.name == "ready" && !before.leaves
				require.Equal(t, stays, h.used() == 2)
				require.Equal(t, copied.name == "earlier", h.used() == 1, "the store is believed in the end")
			})
			t.Run(name+", written again", func(t *testing.T) {
				h := restored()
				h.change(ready)
				require.Equal(t, !before.leaves, h.used() == 2)
				h.pass(time.Minute)
				require.Equal(t, !before.leaves, h.used() == 2)
				require.NotEqualValues(t, 1, h.used())
			})
			t.Run(name+", leaving", func(t *testing.T) {
				h := restored()
				h.change(leaving)
				require.Zero(t, h.used())
				h.pass(time.Minute)
				require.Zero(t, h.used())
			})
			t.Run(name+", removed", func(t *testing.T) {
				h := restored()
				h.change(gone)
				require.Equal(t, sound, h.used() == 2, "an entry may have expired")
				h.pass(registrar.ExpiryGrace)
				require.Zero(t, h.used())
				h.pass(10 * time.Minute)
				require.Zero(t, h.used())
				records, _, _ := h.RecordsSince(registrar.Position{Era: 1 << 40})
				require.Empty(t, records, "entries are kept for ever")
				h.change(instance("a", 3, 0, false))
				require.EqualValues(t, 3, h.used())
			})
		}
	}
}
