package blocker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/blocker"
)

const asked = blocker.Fingerprint(1 << 40)

// crashAsked records that the request and another one with a deadly part were running at an upstream that crashed, unless the part
// is empty.
func crashAsked(b *blocker.Blocker, n int, at time.Time, deadly string) {
	b.RecordCrash(asked, fmt.Sprint("u", n), at)
	if deadly != "" {
		b.RecordCrash(blocker.Fingerprint(n), fmt.Sprint("u", n), at, blocker.PartOf(deadly))
	}
}

// Guards against a sound request that is asked again and refused for the crashes of another one: an answer that was served
// whole in between clears it, and a part that is blamed for the crashes explains them. A request that never was served and that
// nothing else explains is blocked at once.
func TestRequestBesideCrashesOfAnother(t *testing.T) {
	for _, c := range []struct {
		name string
		// crashes and served are the times in seconds at which the request was in a crash and served; deadly says whether
		// another request with the same part is in all of them.
		crashes, served []float64
		deadly          bool
		now             float64
		blocked         bool
	}{
		{"three crashes", []float64{0, 1, 2}, nil, false, 2.1, true},
		{"three crashes in an instant", []float64{0, 0, 0}, nil, false, 0.1, true},
		{"two crashes", []float64{0, 1}, nil, false, 2, false},
		{"served after the first", []float64{0, 2, 4}, []float64{1}, false, 10, false},
		{"served after the second", []float64{0, 1, 5}, []float64{2}, false, 10, false},
		{"served after each", []float64{0, 2, 4, 6, 8, 10}, []float64{1, 3, 5, 7, 9}, false, 15, false},
		{"served before all, not since", []float64{2, 4, 6}, []float64{0}, false, 7.1, true},
		{"served before all, about to be served", []float64{2, 4, 6}, []float64{0}, false, 6.9, false},
		{"beside a part that is blamed", []float64{0, 1, 2, 3}, nil, true, 3.1, false},
		{"beside a part that is blamed, and served", []float64{0, 1, 2, 3}, []float64{1.5}, true, 3.1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := blocker.New()
			served := c.served
			for n, at := range c.crashes {
				for len(served) > 0 && served[0] < at {
					b.RecordServed(asked, after(served[0]))
					served = served[1:]
				}
				deadly := ""
				if c.deadly {
					deadly = "deadly"
				}
				crashAsked(b, n, after(at), deadly)
			}
			require.Equal(t, c.blocked, b.BlockedFor(asked, after(c.now)) > 0)
			require.Equal(t, c.blocked, b.HeldFor(asked, after(c.now)) > 0)
		})
	}
}

// Guards against a request that crashes upstreams in the middle of its answers and is never blocked, because it has begun, and
// against one that passes because a part explains other crashes than its own.
func TestRequestThatIsNeverServedIsBlocked(t *testing.T) {
	b := blocker.New()
	for n := range 3 {
		at := after(float64(n))
		b.RecordBegin(parts("shared", "session"), at.Add(-100*time.Millisecond))
		b.RecordCrash(asked, fmt.Sprint("u", n), at)
	}
	require.Positive(t, b.BlockedFor(asked, after(2.1)))

	b = blocker.New()
	for n := range 4 {
		crashAsked(b, n, after(float64(n)), "deadly")
	}
	require.Zero(t, b.BlockedFor(asked, after(4)))
	for n := 10; n < 13; n++ {
		crashAsked(b, n, after(float64(n)), "")
	}
	require.Positive(t, b.BlockedFor(asked, after(13)))
}

// Guards against gateways that refuse a request which others have served: those that see it served tell the others.
func TestServedRequestIsReported(t *testing.T) {
	a, b, c := blocker.New(), blocker.New(), blocker.New()
	crashAsked(a, 1, after(0), "")
	crashAsked(b, 2, after(1), "")
	pull(t, a, b, after(1), after(1.3))
	pull(t, b, a, after(1), after(1.3))
	a.RecordServed(asked, after(2.5))
	pull(t, b, a, after(3), after(3.1)) // a waits up to 0.4 s for the report of another gateway.
	pull(t, b, a, after(3.5), after(3.6))
	crashAsked(b, 3, after(4), "")
	crashAsked(b, 4, after(5), "")
	require.Zero(t, b.BlockedFor(asked, after(7)))
	pull(t, c, b, after(7), after(7))
	pull(t, c, a, after(7), after(7))
	require.Zero(t, c.BlockedFor(asked, after(7)), "a gateway that starts hears of both")

	crashAsked(b, 5, after(8), "")
	require.Positive(t, b.BlockedFor(asked, after(9.1)))
	pull(t, a, b, after(9), after(9))
	require.Positive(t, a.BlockedFor(asked, after(9.1)))
	a.RecordServed(asked, after(9.5)) // It was running.
	pull(t, b, a, after(9.5), after(9.6))
	require.Zero(t, b.BlockedFor(asked, after(9.7)), "the block ends at once")
}

// Guards against a report that a request was served which a gateway receives before those of its crashes.
func TestServedRequestIsReportedBeforeItsCrashes(t *testing.T) {
	a, b, c := blocker.New(), blocker.New(), blocker.New()
	for n := range 3 {
		crashAsked(a, n, after(0), "")
	}
	pull(t, b, a, after(1), after(1))
	b.RecordServed(asked, after(2))
	require.NoError(t, c.Merge(b.ReportsSince(c.Known(after(3)), after(3))[:1], after(3)))
	pull(t, c, b, after(3), after(3))
	pull(t, c, a, after(3), after(3))
	require.Zero(t, c.BlockedFor(asked, after(4)))
}

// Guards against blocks that end by themselves only: a request that had been served is let pass again after seconds, one at a
// time, and one that never was after minutes. A single crash then blocks it again.
func TestHoldOfRequest(t *testing.T) {
	for name, c := range map[string]struct {
		served      bool
		least, most float64
	}{
		"served before": {true, 4, 10},
		"never served":  {false, 120, 240},
	} {
		t.Run(name, func(t *testing.T) {
			b := blocker.New()
			if c.served {
				b.RecordServed(asked, after(-5))
			}
			for n := range 3 {
				crashAsked(b, n, after(0.1*float64(n)), "")
			}
			left := b.BlockedFor(asked, after(1.5)).Seconds() + 1.5
			require.GreaterOrEqual(t, left, c.least)
			require.LessOrEqual(t, left, c.most+0.2)
			passed := 0
			for at := left + 0.01; at < left+2; at += 0.1 {
				if b.BlockedFor(asked, after(at)) == 0 {
					passed++
				}
			}
			require.Equal(t, 1, passed)
			crashAsked(b, 4, after(left+1), "")
			require.Greater(t, b.BlockedFor(asked, after(left+2.5)), time.Minute)
			b.RecordServed(asked, after(left+3))
			require.Zero(t, b.BlockedFor(asked, after(left+3)))
		})
	}
}

// Guards against a flood of reports of harmless requests that keeps out those of one that crashes upstreams.
func TestFloodOfRequestsKeepsNoneOut(t *testing.T) {
	b := blocker.New()
	for i := range 5000 {
		b.RecordCrash(blocker.Fingerprint(i), "u", after(-1))
	}
	for n := range 3 {
		for i := range 1000 {
			b.RecordCrash(blocker.Fingerprint(10000+n*1000+i), "u", after(float64(n)))
		}
		crashAsked(b, n, after(float64(n)), "")
	}
	require.Positive(t, b.BlockedFor(asked, after(3)))
}

// Guards against a request that was served and that a router which starts later refuses: the reports of crashes with parts of its
// prompt are kept for longer than that it was served.
func TestServedIsKeptAsLongAsItsCrashes(t *testing.T) {
	for _, age := range []float64{10, 130, 300, 590} {
		b, started := blocker.New(), blocker.New()
		for n := range 3 {
			b.RecordCrash(asked, fmt.Sprint("u", n), after(float64(n)), blocker.PartOf("part"))
		}
		b.RecordServed(asked, after(5))
		require.NoError(t, started.Merge(b.ReportsSince(nil, after(age)), after(age)))
		for range 2 { // The first request after a block passes as a trial.
			require.Zero(t, started.BlockedFor(asked, after(age+0.1)), "after %v s", age)
		}
	}
}
