package blocker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/blocker"
)

// prompt returns the IDs of n parts that begin with name.
func prompt(name string, n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprint(name, i)
	}
	return ids
}

// with returns the IDs with another one at a place.
func with(ids []string, place int, id string) []string {
	ids = append([]string(nil), ids...)
	ids[place] = id
	return ids
}

// Guards against a part that crashes upstreams without end because of its place in a long prompt, of which only the first and
// the last parts were suspected.
func TestPartAtAnyPlaceIsBlocked(t *testing.T) {
	for _, n := range []int{2, 16, 17, 21, 32, 33, 100, 500, 1200} {
		for _, place := range []int{0, n / 4, n / 2, n - n/4 - 1, n - 1} {
			for name, others := range map[string]func(i int) string{
				"others begin":           func(int) string { return "shared" },
				"others are of one chat": func(i int) string { return fmt.Sprint("chat", i, "-") },
			} {
				t.Run(fmt.Sprint(place, " of ", n, " ", name), func(t *testing.T) {
					a, b := blocker.New(), blocker.New()
					for i := range 3 {
						at := after(float64(i))
						b.RecordBegin(parts(prompt(others(i), n)...), at.Add(-100*time.Millisecond))
						crash([]*blocker.Blocker{a, b, a}[i], fmt.Sprint("u", i), at, with(prompt(others(i), n), place, "deadly")...)
						b.RecordBegin(parts(prompt(others(i), n)...), at.Add(500*time.Millisecond))
					}
					for i := range 3 {
						now := after(2.5 + 0.5*float64(i)) // Begins are reported up to 0.4 s later.
						pull(t, a, b, now, now)
						pull(t, b, a, now, now)
					}
					for _, g := range []*blocker.Blocker{a, b} {
						require.True(t, blocked(g, "deadly", after(4)))
						require.Equal(t, 1, g.BlockedParts(after(4)))
					}
				})
			}
		}
	}
}

// Guards against a prompt of several reports that loses the order of its parts: among parts with as many crashes the latest is
// blamed, at the gateway that reports the crashes and at one that hears of them.
func TestOrderOfLongPromptIsKept(t *testing.T) {
	a, b := blocker.New(), blocker.New()
	for i := range 3 {
		crash(a, fmt.Sprint("u", i), after(float64(i)), prompt("p", 40)...)
		crash(b, fmt.Sprint("v", i), after(float64(i)), prompt("p", 40)...)
	}
	pull(t, b, a, after(3), after(3.2))
	pull(t, a, b, after(3), after(3.2))
	for _, g := range []*blocker.Blocker{a, b} {
		require.True(t, blocked(g, "p39", after(4)))
		require.Equal(t, 1, g.BlockedParts(after(4)))
	}
}

// Guards against reports without bound when an upstream crashes that runs many requests with long prompts, and against reports
// that a gateway of the version before drops with all that come beside them, because one has more than 16 parts.
func TestReportsOfLongPromptsAreBounded(t *testing.T) {
	b := blocker.New()
	for i := range 64 {
		crash(b, "u", after(1), prompt(fmt.Sprint("chat", i, "-"), 1200)...)
	}
	total := 0
	for _, batch := range b.ReportsSince(nil, after(1)) {
		total += len(batch.Parts)
		for _, n := range batch.PartCounts {
			require.LessOrEqual(t, n, uint8(16))
		}
	}
	require.LessOrEqual(t, total, 2048+64*16)

	// Parts that begin all the time are reported once for each crash.
	b = blocker.New()
	shared := prompt("shared", 100)
	b.RecordBegin(parts(shared...), after(0))
	for i := range 64 {
		crash(b, "u", after(1), append(shared, fmt.Sprint("chat", i))...)
	}
	batches := b.ReportsSince(nil, after(1))
	require.Len(t, batches, 1)
	require.Len(t, batches[0].Parts, 100+64)
}

// Guards against a part that is left out of all reports because upstreams crash that run more long prompts than fit, and against
// suspects of other crashes that take the room of those that matter.
func TestPartBesideFloodOfLongPromptsIsBlocked(t *testing.T) {
	for _, place := range []int{0, 100, 199} {
		t.Run(fmt.Sprint(place), func(t *testing.T) {
			b := blocker.New()
			for i := range 40 {
				at := after(float64(i))
				for k := range 15 {
					crash(b, fmt.Sprint("u", i), at, prompt(fmt.Sprint("chat", i, "-", k, "-"), 1200)...)
				}
				before := prompt(fmt.Sprint("seen", i, "-"), 200)
				b.RecordBegin(parts(before...), at.Add(-100*time.Millisecond))
				crash(b, fmt.Sprint("u", i), at, with(before, place, "deadly")...)
				if blocked(b, "deadly", at.Add(time.Second)) {
					require.Less(t, i, 5)
					return
				}
			}
			t.Error("the part is never blocked")
		})
	}
}

// Guards against a request with a prompt of thousands of parts that takes the gateway's time.
func BenchmarkCrashOfLongPrompts(b *testing.B) {
	long := parts(prompt("p", 1200)...)
	for range b.N {
		g := blocker.New()
		for i := range 64 {
			g.RecordBegin(long, start)
			g.RecordCrash(blocker.Fingerprint(i), "u", after(1), long...)
		}
	}
}
