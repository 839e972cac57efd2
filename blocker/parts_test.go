package blocker_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/blocker"
)

func parts(ids ...string) []blocker.Part {
	return blocker.PartsOf(append(ids, "own"))
}

// crash records a crash on the given parts for a request that is like no other.
func crash(b *blocker.Blocker, upstream string, at time.Time, ids ...string) {
	b.RecordCrash(blocker.FingerprintOf("POST", upstream, fmt.Sprint(ids), nil), upstream, at, parts(ids...)...)
}

func blocked(b *blocker.Blocker, id string, at time.Time) bool {
	_, _, ok := b.BlockedPart([]blocker.Part{blocker.PartOf(id)}, at)
	return ok
}

func after(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func TestPartsOf(t *testing.T) {
	require.Empty(t, blocker.PartsOf(nil))
	require.Empty(t, blocker.PartsOf([]string{"own"}))
	require.Equal(t, []blocker.Part{blocker.PartOf("a"), blocker.PartOf("b")}, blocker.PartsOf([]string{"a", "b", "a", "own"}))
	var long []string
	for i := range 100 {
		long = append(long, fmt.Sprint(i))
	}
	got := blocker.PartsOf(long)
	require.Len(t, got, 99, "the last part belongs to the request")
	for i, part := range got {
		require.Equal(t, blocker.PartOf(fmt.Sprint(i)), part)
	}
}

// Guards against the incident: requests that have only a part in common crash one upstream after the other.
func TestPartThatCrashesUpstreamsIsBlocked(t *testing.T) {
	for _, c := range []struct {
		name string
		// crashes lists the parts of the requests that crash upstreams, one every 0.4 s from the start; begins lists
		// parts that begin at the given times.
		crashes [][]string
		begins  map[string]float64
		at      float64
		want    string
		sound   []string
	}{
		{"before the settle time", [][]string{{"a", "x"}, {"a", "x"}, {"a", "x"}}, nil, 1.4, "", []string{"a", "x"}},
		{"two crashes", [][]string{{"a", "x"}, {"a", "x"}}, nil, 9, "", []string{"a", "x"}},
		{"first part is used by others", [][]string{{"a", "x"}, {"a", "x"}, {"a", "x"}}, map[string]float64{"a": 1}, 2, "x", []string{"a"}},
		{"rare first part", [][]string{{"a", "x"}, {"a", "x"}, {"a", "x"}}, nil, 2, "x", []string{"a"}},
		{"first part crashes", [][]string{{"x", "b"}, {"x", "c"}, {"x", "d"}}, nil, 2, "x", []string{"b", "c", "d"}},
		{"first part crashes in one chat, then in another", [][]string{{"x", "b"}, {"x", "b"}, {"x", "b"}, {"x", "c"}}, nil, 2, "x", []string{"b", "c"}},
		{"part without other parts", [][]string{{"x"}, {"x"}, {"x"}}, nil, 2, "x", nil},
		{"begins after the crashes", [][]string{{"a", "x"}, {"a", "x"}, {"a", "x"}}, map[string]float64{"a": 1, "x": 1}, 9, "", []string{"a", "x"}},
		{"begins between crashes", [][]string{{"x"}, {"x"}, {"x"}, {"x"}, {"x"}, {"x"}}, map[string]float64{"x": 0.3}, 9, "", []string{"x"}},
		{"crashes after the last begin", [][]string{{"x"}, {"x"}, {"x"}, {"x"}, {"x"}, {"x"}, {"x"}}, map[string]float64{"x": 0.1}, 6.3, "x", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := blocker.New()
			for i, ids := range c.crashes {
				crash(b, fmt.Sprint("u", i), after(0.4*float64(i)), ids...)
			}
			for id, at := range c.begins {
				b.RecordBegin(parts(id), after(at))
			}
			if c.want != "" {
				require.True(t, blocked(b, c.want, after(c.at)))
			}
			for _, id := range c.sound {
				require.False(t, blocked(b, id, after(c.at)), id)
			}
		})
	}
}

// Guards against a part that was in three broken connections to the same incarnation, or in a crash of several upstreams at
// once, where sound parts need longer to begin.
func TestCrashesOfOneIncarnationOrMoment(t *testing.T) {
	b := blocker.New()
	for i := range 5 {
		crash(b, "u", after(float64(i)), "x")
	}
	require.False(t, blocked(b, "x", after(9)))
	b = blocker.New()
	for i := range 5 {
		crash(b, fmt.Sprint("u", i), after(0.02*float64(i)), "x")
	}
	require.False(t, blocked(b, "x", after(2.4)))
	require.True(t, blocked(b, "x", after(2.6)))
}

// Guards against sound parts that are blamed because their requests waited at the upstreams that another part crashed: a
// crash that is explained does not count against other parts.
func TestBystanderIsNotBlamed(t *testing.T) {
	b := blocker.New()
	for i := range 4 {
		crash(b, fmt.Sprint("u", i), after(float64(i)), "a", "x")
		if i < 3 {
			crash(b, fmt.Sprint("u", i), after(float64(i)), "c", "bystander", "d")
		}
	}
	require.True(t, blocked(b, "x", after(5)))
	for _, id := range []string{"a", "c", "bystander", "d"} {
		require.False(t, blocked(b, id, after(5)), id)
	}
}

// Guards against a block that falls on a sound part behind the one that crashes upstreams, which is in as many crashes: it had
// begun shortly before, and the other never has. Of parts that have all begun, or none, the latest in the prompt is blamed.
func TestPartThatNeverBeganIsBlamedFirst(t *testing.T) {
	for _, c := range []struct {
		name        string
		begun, want []string
	}{
		{"the later one began", []string{"second"}, []string{"first"}},
		{"the earlier one began", []string{"first"}, []string{"second"}},
		{"none began", nil, []string{"second"}},
		{"both began", []string{"first", "second"}, []string{"second"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := blocker.New(), blocker.New()
			for _, id := range c.begun {
				a.RecordBegin(parts(id), after(-2))
				b.RecordBegin(parts(id), after(-2))
			}
			for i := range 6 {
				crash([]*blocker.Blocker{a, b}[i%2], fmt.Sprint("u", i), after(0.002*float64(i)), "first", "second")
			}
			pull(t, a, b, after(1), after(1))
			pull(t, b, a, after(1), after(1))
			for _, g := range []*blocker.Blocker{a, b} {
				for _, id := range []string{"first", "second"} {
					require.Equal(t, slices.Contains(c.want, id), blocked(g, id, after(2.8)), id)
				}
			}
		})
	}
}

// Guards against the blame that stays on a part that never began when the one that became deadly crashes upstreams without it.
func TestBlameMovesToPartInMoreCrashes(t *testing.T) {
	b := blocker.New()
	b.RecordBegin(parts("deadly"), after(-2))
	for i := range 4 {
		crash(b, fmt.Sprint("u", i), after(float64(i)), "deadly", "new")
	}
	require.True(t, blocked(b, "new", after(3.5)))
	require.False(t, blocked(b, "deadly", after(3.5)))
	crash(b, "u4", after(4), "deadly", "other")
	require.True(t, blocked(b, "deadly", after(4.1)))
	require.False(t, blocked(b, "new", after(4.1)))
}

func TestHoldOfPart(t *testing.T) {
	b := blocker.New()
	for i := range 3 {
		crash(b, fmt.Sprint("u", i), after(float64(i)), "x")
	}
	require.True(t, blocked(b, "x", after(2+59)))
	require.False(t, blocked(b, "x", after(2+121)))
	crash(b, "u3", after(150), "x")
	require.True(t, blocked(b, "x", after(150.1)), "a single crash after the hold blocks again")
	require.True(t, blocked(b, "x", after(150+119)), "the hold doubles")
	b.RecordBegin(parts("x"), after(200))
	require.False(t, blocked(b, "x", after(200.1)), "a begin unblocks")
	crash(b, "u4", after(210), "x")
	require.False(t, blocked(b, "x", after(240)), "crashes before the begin count no more")
}

// Guards against gateways that know only their own begins: the one that saw a sound part begin reports it to the others.
func TestBeginIsReported(t *testing.T) {
	a, b, late := blocker.New(), blocker.New(), blocker.New()
	urgent := 0
	a.OnSuspicion = func() { urgent++ }
	crash(b, "u0", after(0), "s")
	crash(b, "u1", after(0.3), "s")
	a.RecordBegin(parts("s"), after(0.5))
	pull(t, a, b, after(0.6), after(0.6)) // The reports arrive after the begin.
	crash(b, "u2", after(0.6), "s")
	for i := range 5 {
		pull(t, b, a, after(0.7+0.2*float64(i)), after(0.7+0.2*float64(i)))
	}
	pull(t, late, b, after(1.8), after(1.8))
	for name, x := range map[string]*blocker.Blocker{"a": a, "b": b, "late": late} {
		require.False(t, blocked(x, "s", after(2)), name)
		require.False(t, blocked(x, "s", after(30)), name)
	}
	require.Positive(t, urgent)
}

// Guards against a gateway that starts again and lets requests pass until it has seen three crashes itself.
func TestGatewayThatStartsBlocksKnownPart(t *testing.T) {
	a, b, other := blocker.New(), blocker.New(), blocker.New()
	for i := range 2 {
		crash(a, fmt.Sprint("u", i), after(float64(i)), "a", "x")
	}
	crash(other, "u2", after(2), "a", "x")
	pull(t, a, other, after(40), after(40))
	pull(t, b, a, after(40), after(40))
	require.True(t, blocked(b, "x", after(40)))
	require.False(t, blocked(b, "a", after(40)))
	require.False(t, b.Lacks(a.Known(after(40))))
	crash(a, "u3", after(41), "a", "x")
	require.True(t, b.Lacks(a.Known(after(41))))
}

// Guards against a gateway whose connections break, and whose reports block parts at all gateways.
func TestReportsOfOneGateway(t *testing.T) {
	bad, b := blocker.New(), blocker.New()
	for i := range 5 {
		crash(bad, fmt.Sprint("u", i), after(float64(i)), "x")
	}
	pull(t, b, bad, after(6), after(6))
	require.True(t, blocked(bad, "x", after(7)), "a gateway that is cut off blocks by what it saw itself")
	require.False(t, blocked(b, "x", after(7)))
	crash(b, "u5", after(8), "x")
	require.True(t, blocked(b, "x", after(8.1)))
}

// Guards against a service that remains refused for minutes after all its upstreams were gone at once: a part that had begun
// before has a short first hold, and the usual one after another crash.
func TestFirstHoldOfPartThatHadBegun(t *testing.T) {
	a, b := blocker.New(), blocker.New()
	a.RecordBegin(parts("system"), after(0))
	for _, g := range []*blocker.Blocker{a, b} {
		for i := range 4 {
			crash(g, fmt.Sprint("u", i), after(3), "system", fmt.Sprint("chat", i))
		}
	}
	require.True(t, blocked(a, "system", after(3+3.9)))
	require.False(t, blocked(a, "system", after(3+10.1)))
	require.True(t, blocked(b, "system", after(3+59)), "a part that has not begun")
	crash(a, "u4", after(14), "system", "chat")
	require.True(t, blocked(a, "system", after(14+59)))
	a.RecordBegin(parts("system"), after(80))
	require.False(t, blocked(a, "system", after(80.1)))
}

func TestEventsOfPart(t *testing.T) {
	b := blocker.New()
	var events []blocker.PartEvent
	b.OnPart = func(e blocker.PartEvent) { events = append(events, e) }
	for i := range 3 {
		crash(b, fmt.Sprint("u", i), after(float64(i)), "x")
	}
	require.Equal(t, 1, b.BlockedParts(after(3)))
	require.Equal(t, 1, b.BlockedParts(after(4)))
	require.Zero(t, b.BlockedParts(after(130)))
	require.Len(t, events, 2)
	require.Equal(t, blocker.PartOf("x"), events[0].Part)
	require.True(t, events[0].Blocked)
	require.Equal(t, 3, events[0].Crashes)
	require.False(t, events[1].Blocked)
}

// Guards against a flood of reports that keeps out those of a part that crashes upstreams, and against reports without
// bound: a router that starts receives them in one reply of at most 4 MiB.
func TestPartReportsAreBounded(t *testing.T) {
	all := make([]*blocker.Blocker, 8)
	for g := range all {
		all[g] = blocker.New()
		for i := range 6000 {
			crash(all[g], fmt.Sprint("u", i%40), start, fmt.Sprint("s", g, i), fmt.Sprint("t", g, i))
		}
	}
	for _, b := range all[1:] {
		pull(t, all[0], b, start, start)
	}
	require.LessOrEqual(t, count(all[0].ReportsSince(nil, start)), 16384)
	b := all[1]
	for i := range 3 {
		crash(b, fmt.Sprint("v", i), after(300+float64(i)), "x")
	}
	require.True(t, blocked(b, "x", after(304)))
}

func TestMalformedParts(t *testing.T) {
	for name, change := range map[string]func(*blocker.Batch){
		"too few parts":  func(b *blocker.Batch) { b.Parts = b.Parts[:2] },
		"too many parts": func(b *blocker.Batch) { b.Parts = append(b.Parts, 1) },
		"missing counts": func(b *blocker.Batch) { b.PartCounts = nil },
		"too few counts": func(b *blocker.Batch) { b.PartCounts, b.Parts = b.PartCounts[:2], b.Parts[:2] },
		"long prompt":    func(b *blocker.Batch) { b.PartCounts[0], b.Parts = 200, make([]blocker.Part, 202) },
		"too few late":   func(b *blocker.Batch) { b.Late = []byte{0, 1, 1, 2, 3, 4} },
		"too many late":  func(b *blocker.Batch) { b.Late = []byte{0, 0, 0, 1} },
		"late cut off":   func(b *blocker.Batch) { b.Late = []byte{0, 0, 1, 1, 2, 3} },
		"long late":      func(b *blocker.Batch) { b.Late = append([]byte{200, 0, 0}, make([]byte, 800)...) },
	} {
		t.Run(name, func(t *testing.T) {
			b := blocker.Batch{
				Origin: 1, Last: 3, Requests: []blocker.Fingerprint{1, 2, 3}, Upstreams: []uint32{1, 2, 3},
				AgesMS: []uint32{3000, 2000, 1000}, PartCounts: []uint8{1, 1, 1}, Parts: parts("x", "y", "z"),
			}
			require.NoError(t, blocker.New().Merge([]blocker.Batch{b}, start))
			change(&b)
			c := blocker.New()
			require.Error(t, c.Merge([]blocker.Batch{b}, start))
			require.Zero(t, count(c.ReportsSince(nil, start)))
		})
	}
}

// Guards against gateways of an earlier version, which neither send the columns of parts nor know them.
func TestBatchWithoutParts(t *testing.T) {
	old := blocker.Batch{Origin: 5, Last: 3, Requests: []blocker.Fingerprint{7, 7, 7}, Upstreams: []uint32{1, 2, 3}, AgesMS: []uint32{0, 0, 0}}
	c := blocker.New()
	require.NoError(t, c.Merge([]blocker.Batch{old}, start))
	require.Positive(t, c.BlockedFor(7, start))
	require.Zero(t, c.BlockedParts(after(5)))
	for _, b := range c.ReportsSince(nil, start) {
		require.Empty(t, b.PartCounts)
		require.Empty(t, b.Parts)
	}
}

// Guards against a part that becomes deadly and is in so many requests that all upstreams crash within the second after its
// last begin: these crashes counted as cleared, and the upstreams that came back crashed again.
func TestPartThatCrashesAllUpstreamsAfterBegin(t *testing.T) {
	for n, want := range map[int]bool{4: false, 5: true, 20: true} {
		b := blocker.New()
		b.RecordBegin(parts("x"), after(0.4))
		for i := range n {
			crash(b, fmt.Sprint("u", i), after(0.55+0.8*float64(i)/float64(n)), "x")
		}
		require.False(t, blocked(b, "x", after(0.55+0.8)), "%d crashes", n)
		require.Equal(t, want, blocked(b, "x", after(0.55+1)), "%d crashes", n)
		b.RecordBegin(parts("x"), after(2))
		require.False(t, blocked(b, "x", after(2)), "%d crashes", n)
	}
}

// Guards against a router that sends one request after the other with a part once its hold has ended, before the crash of the
// first is known.
func TestTrialsOfPart(t *testing.T) {
	b := blocker.New()
	b.RecordBegin(parts("x"), after(0))
	for i := range 3 {
		crash(b, fmt.Sprint("u", i), after(2+float64(i)), "x")
	}
	require.True(t, blocked(b, "x", after(7.9)))
	require.False(t, blocked(b, "x", after(8.1)), "the trial")
	_, left, refused := b.BlockedPart(parts("x"), after(8.6))
	require.True(t, refused)
	require.Equal(t, 1500*time.Millisecond, left)
	_, _, held := b.HeldPart(parts("x"), after(8.6))
	require.False(t, held, "the trial may be repeated")
	require.False(t, blocked(b, "x", after(10.2)), "a trial without outcome")
	require.True(t, blocked(b, "x", after(10.3)))
	b.RecordBegin(parts("x"), after(10.4))
	for range 3 {
		require.False(t, blocked(b, "x", after(10.5)))
	}
	require.Zero(t, b.BlockedParts(after(10.5)))
}

// Guards against holds that many routers end within the time that the report of a crash takes, and against a part of few
// requests that waits for the routers that receive none of them.
func TestHoldsEndInTurn(t *testing.T) {
	const routers = 100
	for _, c := range []struct {
		name                  string
		requests              int
		atStart, soon, inTime [2]int
	}{
		{"many requests", 60, [2]int{1, 5}, [2]int{2, 9}, [2]int{100, 100}},
		{"few requests", 3, [2]int{5, 40}, [2]int{20, 80}, [2]int{100, 100}},
	} {
		t.Run(c.name, func(t *testing.T) {
			all := make([]*blocker.Blocker, routers)
			for i := range all {
				all[i] = blocker.NewWithOrigin(uint64(i)*1e15 + 1)
				all[i].RecordBegin(parts("x"), after(0))
			}
			for i := range c.requests {
				crash(all[i*37%routers], fmt.Sprint("u", i), after(2+1.5*float64(i)/float64(c.requests-1)), "x")
			}
			for range 2 {
				for i := range all {
					pull(t, all[0], all[i], after(3.6), after(3.6))
					pull(t, all[i], all[0], after(3.6), after(3.6))
				}
			}
			at := []float64{7.4, 7.6, 9.5, 13.6}
			for i, want := range [][2]int{{0, 0}, c.atStart, c.soon, c.inTime} {
				open := 0
				for _, b := range all {
					if _, _, held := b.HeldPart(parts("x"), after(at[i])); !held {
						open++
					}
				}
				t.Logf("%d routers after %.1f s", open, at[i])
				require.GreaterOrEqual(t, open, want[0], "%.1f s", at[i])
				require.LessOrEqual(t, open, want[1], "%.1f s", at[i])
			}
		})
	}
}

// Guards against a part that crashes each upstream right after the first event of an answer and is never blocked, because the
// begin of each such answer clears it, and against a begin that is taken back together with an earlier one that holds.
func TestBeginThatIsTakenBackClearsNothing(t *testing.T) {
	for _, c := range []struct {
		name string
		// sound is the time of a begin that holds; zero means that there is none.
		sound float64
		want  bool
	}{{"no other begin", 0, true}, {"begin before the crashes", 0.5, true}, {"begin between the crashes", 2.5, false}} {
		t.Run(c.name, func(t *testing.T) {
			b := blocker.New()
			for i := range 3 {
				begun := after(float64(i + 2))
				if at := after(c.sound); c.sound > 0 && at.Before(begun) && (i == 0 || at.After(begun.Add(-time.Second))) {
					b.RecordBegin(parts("x"), at)
				}
				b.RecordBegin(parts("x"), begun)
				b.RetractBegin(parts("x"), begun, begun.Add(blocker.AnswerStart))
				crash(b, fmt.Sprint("u", i), begun.Add(blocker.AnswerStart), "x")
			}
			require.Equal(t, c.want, blocked(b, "x", after(6)))
		})
	}
}
