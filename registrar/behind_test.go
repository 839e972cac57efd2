package registrar_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"clementineramp/registrar"
)

// messages holds, by name, the ways in which records of a list at the given position reach a registry.
var messages = map[string]func(r *registrar.Registry, records []registrar.Record, to registrar.Position){
	"whole list": func(r *registrar.Registry, records []registrar.Record, to registrar.Position) {
		r.MergePeerList(records, to.Era, to, start, start)
	},
	"list without evacuations": func(r *registrar.Registry, records []registrar.Record, to registrar.Position) {
		r.MergePeerUpstreams(records, to.Era, to, start, start)
	},
	"changes": func(r *registrar.Registry, records []registrar.Record, to registrar.Position) {
		r.MergeChanges(records, at(to.Era, 1), to, start)
	},
	"records": func(r *registrar.Registry, records []registrar.Record, _ registrar.Position) {
		r.Merge(records, start)
	},
	"list of the store": func(r *registrar.Registry, records []registrar.Record, to registrar.Position) {
		r.MergeList(records, to, start)
	},
}

// Guards against requests to upstreams that are gone: a gateway whose list was complete up to their removal, but that had no
// record of it, took them back from a peer that was behind.
func TestUpstreamsThatOnlyAPeerBehindLists(t *testing.T) {
	keeps := []registrar.Record{instance("kept", 1, 2, false)}
	for name, registry := range map[string]func() *registrar.Registry{
		"started after the removal": func() *registrar.Registry {
			r := registrar.New(registrar.Config{Expiry: expiry})
			r.MergeList(keeps, at(2, 8), start)
			return r
		},
		"removal forgotten": func() *registrar.Registry {
			r := registrar.New(registrar.Config{Expiry: expiry})
			r.MergeList(append(keeps, instance("gone", 1, 3, false)), at(2, 3), start)
			r.MergeChanges([]registrar.Record{removed("gone", 8)}, at(2, 3), at(2, 8), start)
			r.Refresh(start.Add(time.Hour))
			return r
		},
		"removed in an earlier era": func() *registrar.Registry {
			r := registrar.New(registrar.Config{Expiry: expiry})
			r.MergeList([]registrar.Record{instance("gone", 1, 3, false)}, at(1, 90), start)
			r.MergeChanges([]registrar.Record{removed("gone", 91)}, at(1, 90), at(1, 91), start)
			r.MergeList(keeps, at(2, 8), start)
			return r
		},
		"first list from a peer": func() *registrar.Registry {
			r := registrar.New(registrar.Config{Expiry: expiry})
			r.MergePeerList(keeps, 0, at(2, 8), start, start)
			return r
		},
	} {
		for message, merge := range messages {
			t.Run(name+", "+message, func(t *testing.T) {
				r := registry()
				merge(r, append(keeps, instance("gone", 1, 3, false), instance("new", 1, 9, false)), at(2, 7))
				require.Equal(t, []string{"kept", "new"}, ids(r))
				require.Equal(t, at(2, 8), r.Position())
				merge(r, append(keeps, instance("gone", 1, 10, false), instance("new", 1, 9, false)), at(2, 10))
				require.Equal(t, []string{"gone", "kept", "new"}, ids(r), "it has registered again")
			})
		}
		t.Run(name+", list of another era", func(t *testing.T) {
			r := registry()
			require.True(t, r.MergePeerList(append(keeps, instance("restored", 1, 3, false)), 2, at(3, 4), start, start))
			require.Contains(t, ids(r), "restored")
		})
	}
}

// Guards against a first list that is refused: before it, nothing is known.
func TestFirstListFromAPeerBehind(t *testing.T) {
	r := registrar.New(registrar.Config{})
	require.True(t, r.MergePeerList([]registrar.Record{instance("a", 1, 3, false)}, 0, at(2, 7), start, start))
	require.Equal(t, []string{"a"}, ids(r))
	// What a list says beyond its position is news of its own.
	r.MergePeerList([]registrar.Record{instance("a", 1, 3, false), instance("b", 1, 9, false)}, 2, at(2, 7), start, start)
	require.Equal(t, []string{"a", "b"}, ids(r))
}

// Guards against an upstream that is never used because peers of another version could not decode its entry, so that their list
// lacks it: the store decides.
func TestStoreListsWhatPeersLack(t *testing.T) {
	r := registrar.New(registrar.Config{})
	r.MergePeerList(nil, 0, at(2, 7), start, start)
	r.MergeList([]registrar.Record{instance("a", 1, 3, false)}, at(2, 7), start)
	require.Equal(t, []string{"a"}, ids(r))
	r.MergePeerList([]registrar.Record{instance("gone", 1, 4, false)}, 2, at(2, 6), start, start)
	require.Equal(t, []string{"a"}, ids(r), "a list of a peer that is behind")
}

// Guards against a failure domain that no request goes to any more: a gateway whose list was complete up to the end of an
// evacuation took it back from a peer that was behind, and nothing ended it again.
func TestEvacuationsThatOnlyAPeerBehindLists(t *testing.T) {
	upstreams := []registrar.Record{in("x", "a", 2), in("y", "b", 2)}
	for name, registry := range map[string]func() *registrar.Registry{
		"started after the end": func() *registrar.Registry {
			r := registrar.New(registrar.Config{})
			r.MergeList(upstreams, at(2, 8), start)
			return r
		},
		"end forgotten": func() *registrar.Registry {
			r := registrar.New(registrar.Config{})
			r.MergeList(append(upstreams, evacuates("x", 3)), at(2, 3), start)
			r.MergeChanges([]registrar.Record{withdraws("x", 8)}, at(2, 3), at(2, 8), start)
			r.Refresh(start.Add(time.Hour))
			return r
		},
		"ended in an earlier era": func() *registrar.Registry {
			r := registrar.New(registrar.Config{})
			r.MergeList(append(upstreams, evacuates("x", 3)), at(1, 90), start)
			r.MergeChanges([]registrar.Record{withdraws("x", 91)}, at(1, 90), at(1, 91), start)
			r.MergeList(upstreams, at(2, 8), start)
			return r
		},
	} {
		for message, merge := range messages {
			if message == "list without evacuations" {
				continue
			}
			t.Run(name+", "+message, func(t *testing.T) {
				r := registry()
				merge(r, append(upstreams, evacuates("x", 3), evacuates("y", 9)), at(2, 7))
				require.Equal(t, []string{"a"}, ids(r))
				merge(r, append(upstreams, evacuates("x", 10), evacuates("y", 9)), at(2, 10))
				require.Empty(t, ids(r), "it has been evacuated again")
			})
		}
		t.Run(name+", list of another era", func(t *testing.T) {
			r := registry()
			r.MergePeerList(append(upstreams, evacuates("x", 3)), 2, at(3, 4), start, start)
			require.Equal(t, []string{"b"}, ids(r))
		})
	}
}

// Guards against evacuations that a gateway never asks for: its list came from a peer that knows none, and the list of another
// one, which was behind that, counted as complete.
func TestEvacuationsAfterAListWithout(t *testing.T) {
	upstreams := []registrar.Record{in("x", "a", 2), in("y", "b", 2)}
	for name, list := range map[string]func(r *registrar.Registry, records []registrar.Record, to registrar.Position){
		"peer": messages["whole list"], "store": messages["list of the store"],
	} {
		t.Run(name, func(t *testing.T) {
			r := registrar.New(registrar.Config{})
			r.MergePeerUpstreams(upstreams, 0, at(2, 8), start, start)
			list(r, append(upstreams, evacuates("x", 3)), at(2, 4))
			require.Equal(t, []string{"b"}, ids(r), "no evacuation was known")
			require.True(t, r.LacksEvacuations(), "there may be others up to 8")
			list(r, append(upstreams, evacuates("y", 5)), at(2, 8))
			require.Equal(t, []string{"a"}, ids(r))
			require.False(t, r.LacksEvacuations())
			list(r, append(upstreams, evacuates("x", 3)), at(2, 4))
			require.Equal(t, []string{"a"}, ids(r))
		})
	}
}

// delayed is a reply of a peer that has not arrived yet.
type delayed struct {
	r           *registrar.Registry
	records     []registrar.Record
	since, to   registrar.Position
	whole, lack bool
}

func (d *delayed) arrive() {
	switch {
	case d.lack:
		d.r.MergePeerUpstreams(d.records, d.since.Era, d.to, start, start)
	case d.whole:
		d.r.MergePeerList(d.records, d.since.Era, d.to, start, start)
	default:
		d.r.MergeChanges(d.records, d.since, d.to, start)
	}
}

// TestNothingComesBack checks that after any series of changes, reads, restarts, and replies of peers of this and of an older
// version that arrive in any order, no gateway uses an upstream or keeps an evacuation that its list knows to be gone.
func TestNothingComesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &eraStore{at: registrar.Position{Era: 1}, left: make(map[registrar.Incarnation]bool)}
		s.write(instance("a", 1, 0, false))
		fresh := func() *registrar.Registry { return registrar.New(registrar.Config{Expiry: expiry}) }
		fleet := []*registrar.Registry{fresh(), fresh(), fresh()}
		var replies []delayed
		one := func() int { return rapid.IntRange(0, len(fleet)-1).Draw(t, "gateway") }
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id")
			switch rapid.SampledFrom([]string{"write", "remove", "evacuate", "withdraw", "read", "watch", "ask", "arrive", "restart", "forget"}).Draw(t, "step") {
			case "write":
				s.write(instance(id, int64(rapid.IntRange(1, 2).Draw(t, "born")), 0, false))
			case "remove":
				s.write(removed(id, 0))
			case "evacuate":
				s.write(evacuates("x", 0))
			case "withdraw":
				s.write(withdraws("x", 0))
			case "read":
				s.read(fleet[one()], start)
			case "watch":
				s.watch(fleet[one()], start)
			case "ask":
				r, peer := fleet[one()], fleet[one()]
				d := delayed{r: r, since: r.Position(), lack: peer.LacksEvacuations() || rapid.Bool().Draw(t, "older")}
				if r.LacksEvacuations() || rapid.Bool().Draw(t, "all") {
					d.since.Revision = 0
				}
				d.records, d.to, d.whole = peer.RecordsSince(d.since)
				if d.lack {
					d.records = slices.DeleteFunc(d.records, func(rec registrar.Record) bool { return rec.Evacuation })
				}
				replies = append(replies, d)
			case "arrive":
				if len(replies) > 0 {
					replies[rapid.IntRange(0, len(replies)-1).Draw(t, "reply")].arrive()
				}
			case "restart":
				fleet[one()] = fresh()
			case "forget":
				fleet[one()].Refresh(start.Add(time.Hour))
			}
			for i, r := range fleet {
				v := r.View()
				for _, u := range append(v.ByService["s"], v.Evacuated["s"]...) {
					checkListed(t, s, r, i, u.ID, false)
				}
				if _, ok := v.Evacuations["x"]; ok && !r.LacksEvacuations() {
					checkListed(t, s, r, i, "x", true)
				}
			}
		}
	})
}

// checkListed checks that what a registry lists is in the store at the position of the registry, or has come later.
func checkListed(t *rapid.T, s *eraStore, r *registrar.Registry, i int, id string, evacuation bool) {
	at := r.Position().Revision
	listed := false
	for _, rec := range s.changes {
		if rec.ID == id && rec.Evacuation == evacuation {
			listed = !rec.Removed || rec.Revision > at && listed
		}
	}
	if !listed {
		t.Fatalf("gateway %d lists %s at %d, the changes are %v", i, id, at, s.changes)
	}
}
