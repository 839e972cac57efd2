package chooser_test

import (
	"encoding/json"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"clementineramp/chooser"
)

func drawFleet(t *rapid.T, label string) []chooser.Upstream {
	ups := fleet(40)
	keep := rapid.SliceOfN(rapid.Bool(), len(ups), len(ups)).Draw(t, label)
	var out []chooser.Upstream
	for i, u := range ups {
		if keep[i] {
			u.Uptime = time.Duration(i) * time.Second
			out = append(out, u)
		}
	}
	return out
}

// Guards against the removal of an upstream moving chats whose preferred upstream is another one.
func TestRemovalMovesOnlyItsChats(t *testing.T) {
	c := mustNew(chooser.Config{})
	rapid.Check(t, func(t *rapid.T) {
		ups := drawFleet(t, "ups")
		if len(ups) < 2 {
			t.Skip()
		}
		i := rapid.IntRange(0, len(ups)-1).Draw(t, "removed")
		key := rapid.Uint64().Draw(t, "key")
		before := c.Choose(key, 0, ups).Order[0].Name
		after := c.Choose(key, 0, slices.Delete(slices.Clone(ups), i, i+1)).Order[0].Name
		if before != ups[i].Name && before != after {
			t.Fatalf("removing %s moved a chat from %s to %s", ups[i].Name, before, after)
		}
	})
}

// Guards against routers with different lists sending one chat to different upstreams although both lists hold both.
func TestDifferingListsAgree(t *testing.T) {
	c := mustNew(chooser.Config{})
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawFleet(t, "a"), drawFleet(t, "b")
		if len(a) == 0 || len(b) == 0 {
			t.Skip()
		}
		key := rapid.Uint64().Draw(t, "key")
		has := func(list []chooser.Upstream, name string) bool {
			return slices.ContainsFunc(list, func(u chooser.Upstream) bool { return u.Name == name })
		}
		first, second := c.Choose(key, 0, a).Order[0].Name, c.Choose(key, 0, b).Order[0].Name
		if has(b, first) && has(a, second) && first != second {
			t.Fatalf("both lists hold %s and %s, but the choices differ", first, second)
		}
	})
}

// Guards against a choice that depends on the order of the router's list of upstreams.
func TestListOrderIsIrrelevant(t *testing.T) {
	c := mustNew(chooser.Config{})
	rapid.Check(t, func(t *rapid.T) {
		ups := drawFleet(t, "ups")
		for i := range ups {
			ups[i].Work = rapid.Float64Range(0, 3000).Draw(t, "work")
		}
		key := rapid.Uint64().Draw(t, "key")
		shuffled := rapid.Permutation(ups).Draw(t, "shuffled")
		want, got := c.Choose(key, 10, ups), c.Choose(key, 10, shuffled)
		require.Equal(t, names(want.Order), names(got.Order))
		require.Equal(t, names(want.Skipped), names(got.Skipped))
		require.Equal(t, want.Reason, got.Reason)
	})
}

// Guards against candidates that are leaving, down while others are usable, or tried twice, and against too few candidates.
func TestOrderIsUsable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		attempts := rapid.IntRange(1, chooser.MaxAttempts).Draw(t, "attempts")
		c := mustNew(chooser.Config{Attempts: attempts})
		ups := drawFleet(t, "ups")
		usable := 0
		for i := range ups {
			ups[i].State = chooser.State(rapid.IntRange(0, 4).Draw(t, "state"))
			ups[i].Work = rapid.Float64Range(0, 3000).Draw(t, "work")
			if ups[i].State != chooser.Leaving && ups[i].State != chooser.Down {
				usable++
			}
		}
		ch := c.Choose(rapid.Uint64().Draw(t, "key"), 10, ups)
		if usable > 0 {
			require.Len(t, ch.Order, min(attempts, usable))
		}
		seen := names(ch.Order)
		slices.Sort(seen)
		require.Len(t, slices.Compact(seen), len(ch.Order), "an upstream is tried twice")
		for _, cand := range ch.Order {
			require.NotEqual(t, chooser.Leaving, cand.State)
			require.False(t, usable > 0 && cand.State == chooser.Down)
		}
	})
}

// Guards against shares of chats that do not follow the weights, which would overload an upstream with a cold cache.
func TestRampShares(t *testing.T) {
	const chats = 40000
	c := mustNew(chooser.Config{})
	for _, tt := range []struct {
		uptime time.Duration
		weight float64
	}{{0, 0.1}, {15 * time.Second, 0.5}, {30 * time.Second, 1}, {-time.Second, 0.1}} {
		ups := fleet(10)
		ups[3].Uptime = tt.uptime
		n := 0
		for key := range uint64(chats) {
			if c.Choose(key, 0, ups).Order[0].Name == ups[3].Name {
				n++
			}
		}
		require.InDelta(t, tt.weight/(9+tt.weight), float64(n)/chats, 0.01, "uptime %v", tt.uptime)
	}
}

// Guards against a first candidate that is known to reject the request, and against a wrong reason in the log.
func TestReasons(t *testing.T) {
	const key = 7
	c := mustNew(chooser.Config{Domain: "own"})
	order := names(c.Explain(key, 10, fleet(6)).Ranking)
	at := func(ups []chooser.Upstream, position int) *chooser.Upstream {
		i := slices.IndexFunc(ups, func(u chooser.Upstream) bool { return u.Name == order[position] })
		return &ups[i]
	}
	all := func(f func(u *chooser.Upstream)) func(ups []chooser.Upstream) {
		return func(ups []chooser.Upstream) {
			for i := range ups {
				f(&ups[i])
			}
		}
	}
	tests := []struct {
		name   string
		change func(ups []chooser.Upstream)
		reason string
		want   []int
	}{
		{"preferred upstream", func([]chooser.Upstream) {}, chooser.ReasonAffinity, []int{0, 1, 2}},
		{"above bound", func(ups []chooser.Upstream) { at(ups, 0).Work = 9000 }, chooser.ReasonAboveBound, []int{1, 2, 3}},
		{"expired load report", func(ups []chooser.Upstream) {
			at(ups, 0).Work = 9000
			at(ups, 0).WorkAge = time.Minute
		}, chooser.ReasonAffinity, []int{0, 1, 2}},
		{"idle engine", func(ups []chooser.Upstream) {
			all(func(u *chooser.Upstream) { u.Work = 0 })(ups)
		}, chooser.ReasonAffinity, []int{0, 1, 2}},
		{"suspect", func(ups []chooser.Upstream) { at(ups, 0).State = chooser.Suspect }, chooser.ReasonSuspect, []int{1, 2, 3}},
		{"down", func(ups []chooser.Upstream) { at(ups, 0).State = chooser.Down }, chooser.ReasonDown, []int{1, 2, 3}},
		{"leaving", func(ups []chooser.Upstream) { at(ups, 0).State = chooser.Leaving }, chooser.ReasonAffinity, []int{1, 2, 3}},
		{"less loaded candidate gets the last attempt", func(ups []chooser.Upstream) { at(ups, 3).Work = 900 }, chooser.ReasonAffinity, []int{0, 1, 3}},
		{"queued work counts for the last attempt", func(ups []chooser.Upstream) { at(ups, 2).Queued = 1 }, chooser.ReasonAffinity, []int{0, 1, 3}},
		{"failure domain not yet tried breaks a tie", func(ups []chooser.Upstream) {
			all(func(u *chooser.Upstream) { u.Domain = "a" })(ups)
			at(ups, 3).Domain = "b"
		}, chooser.ReasonAffinity, []int{0, 1, 3}},
		{"failure domain of the router breaks a tie", func(ups []chooser.Upstream) {
			for i := range 4 {
				at(ups, i).Domain = string(rune('a' + i))
			}
			at(ups, 3).Domain = "own"
		}, chooser.ReasonAffinity, []int{0, 1, 3}},
		{"suspect upstream never replaces a live one", func(ups []chooser.Upstream) {
			all(func(u *chooser.Upstream) { u.State = chooser.Suspect })(ups)
			for i := range 3 {
				at(ups, i).State = chooser.Live
			}
			at(ups, 3).Work = 1
		}, chooser.ReasonAffinity, []int{0, 1, 2}},
		{"all suspect", all(func(u *chooser.Upstream) { u.State = chooser.Suspect }), chooser.ReasonAllSuspect, []int{0, 1, 2}},
		{"all down", all(func(u *chooser.Upstream) { u.State = chooser.Down }), chooser.ReasonAllDown, []int{0, 1, 2}},
		{"all leaving", all(func(u *chooser.Upstream) { u.State = chooser.Leaving }), chooser.ReasonNoCandidate, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ups := fleet(6)
			for i := range ups {
				ups[i].Domain = ""
			}
			tt.change(ups)
			ch := c.Choose(key, 10, ups)
			require.Equal(t, tt.reason, ch.Reason)
			want := make([]string, len(tt.want))
			for i, position := range tt.want {
				want[i] = order[position]
			}
			require.Equal(t, want, names(ch.Order))
			ex := c.Explain(key, 10, ups)
			require.Equal(t, ch, ex.Choice)
			require.Len(t, ex.Ranking, len(ups))
			_, err := json.Marshal(ex)
			require.NoError(t, err)
		})
	}
}

// Guards against baseline policies that do not match their names, and against a single attempt that does not go to the
// chat's preferred upstream.
func TestPolicies(t *testing.T) {
	ups := fleet(4)
	first := func(c *chooser.Chooser, key uint64) string { return c.Choose(key, 10, ups).Order[0].Name }
	roundRobin := mustNew(chooser.Config{Policy: chooser.RoundRobin})
	for i := range 8 {
		require.Equal(t, ups[i%4].Name, roundRobin.Explain(1, 10, ups).Choice.Order[0].Name, "Explain must not advance the sequence")
		require.Equal(t, ups[i%4].Name, first(roundRobin, 1))
	}
	a := mustNew(chooser.Config{Policy: chooser.Random, Seed: 3})
	b := mustNew(chooser.Config{Policy: chooser.Random, Seed: 3})
	seen := make(map[string]int)
	for range 400 {
		name := first(a, 1)
		require.Equal(t, name, first(b, 1))
		seen[name]++
	}
	for _, n := range seen {
		require.InDelta(t, 100, n, 40)
	}
	least, hashing := mustNew(chooser.Config{Policy: chooser.LeastLoad}), mustNew(chooser.Config{Policy: chooser.Hashing})
	sole := mustNew(chooser.Config{Attempts: 1})
	ties := make(map[string]bool)
	for key := range uint64(50) {
		require.Equal(t, first(hashing, key), first(sole, key))
		ties[first(least, key)] = true
	}
	require.Len(t, ties, 4, "equal loads must be spread over all upstreams")
	ups[2].Work = 1
	require.Equal(t, ups[2].Name, first(least, 1))
	for key := range uint64(50) {
		require.Equal(t, first(hashing, key), first(sole, key), "a single attempt must go to the preferred upstream, whatever the load")
	}
	for _, p := range chooser.Policies() {
		text, err := p.MarshalText()
		require.NoError(t, err)
		var decoded chooser.Policy
		require.NoError(t, decoded.UnmarshalText(text))
		require.Equal(t, p, decoded)
	}
}

// Guards against a limit that admits work above the bound, or that rejects work while no load is known.
func TestLimit(t *testing.T) {
	require.InDelta(t, 1.25*1010/10, chooser.Limit(1.25, 1000, 10, 10), 1e-9)
	require.True(t, math.IsInf(chooser.Limit(1.25, 0, 0, 10), 1))
	require.True(t, chooser.Admits(0, 500, 100))
	require.True(t, chooser.Admits(90, 10, 100))
	require.False(t, chooser.Admits(90, 11, 100))
}

func TestNewRefusesBadConfig(t *testing.T) {
	for _, cfg := range []chooser.Config{
		{Bound: 0.9},
		{Bound: math.NaN()},
		{SkipFactor: 0.5},
		{Attempts: -1},
		{Attempts: chooser.MaxAttempts + 1},
		{Ramp: -1},
		{Policy: 99},
	} {
		_, err := chooser.New(cfg)
		require.Error(t, err, "%+v", cfg)
	}
}

// Guards against an allocation per upstream, which would make the router's garbage grow with the size of the fleet.
func TestChooseAllocatesOnce(t *testing.T) {
	c, ups := mustNew(chooser.Config{}), fleet(600)
	require.LessOrEqual(t, testing.AllocsPerRun(100, func() { c.Choose(1, 10, ups) }), 1.0)
}

func BenchmarkChoose(b *testing.B) {
	for _, p := range chooser.Policies() {
		b.Run(p.String(), func(b *testing.B) {
			c, ups := mustNew(chooser.Config{Policy: p}), fleet(600)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				c.Choose(uint64(i), 10, ups)
			}
		})
	}
}
