package blocker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/blocker"
)

// crashLate records a crash in the middle of an answer to a request that is like no other.
func crashLate(b *blocker.Blocker, upstream string, at time.Time, ids ...string) {
	b.RecordLateCrash(blocker.FingerprintOf("POST", upstream, fmt.Sprint(ids), nil), upstream, at, parts(ids...))
}

// Guards against a part that crashes upstreams in the middle of their answers and is never blocked, since each answer has begun,
// and against sound parts that are blocked because the upstreams were writing answers with them.
func TestPartThatCrashesInAnswers(t *testing.T) {
	for _, c := range []struct {
		name    string
		crashes []float64
		// outlived is the begin of an answer that is known to have outlived blocker.LateSpan a second later.
		outlived float64
		// other is set if a part that never began is in the same crashes.
		other bool
		want  bool
	}{
		{"three crashes", []float64{2, 3, 4}, 0, false, true},
		{"two crashes", []float64{2, 3}, 0, false, false},
		{"three at once", []float64{2, 2.05, 2.1, 4}, 0, false, false},
		{"three that come one after the other", []float64{2, 2.2, 2.4}, 0, false, true},
		{"answer before the crashes", []float64{2, 3, 4}, 0.5, false, true},
		{"answer between the crashes", []float64{2, 3, 4}, 2.5, false, false},
		{"crashes after the answer", []float64{2, 2.5, 3, 4, 4.2}, 1.8, false, true},
		{"explained by another part", []float64{2, 3, 4}, 0, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := blocker.New()
			for i, at := range c.crashes {
				upstream := fmt.Sprint("u", i)
				b.RecordBegin(parts("x"), after(at-0.4))
				crashLate(b, upstream, after(at), "x")
				if c.other {
					crash(b, upstream, after(at), "y")
				}
			}
			require.False(t, blocked(b, "x", after(4.4)), "a sound part may still be cleared")
			if c.outlived > 0 {
				b.RecordOutlived(parts("x"), after(c.outlived), after(c.outlived+1))
			}
			require.Equal(t, c.want, blocked(b, "x", after(5.8)))
			require.Equal(t, c.other, blocked(b, "y", after(5.8)))
		})
	}
}

// Guards against gateways that do not hear of crashes in the middle of answers, or of an answer that clears a part of them.
func TestCrashesInAnswersReachOtherGateways(t *testing.T) {
	a, b, c := blocker.New(), blocker.New(), blocker.New()
	for i, from := range []*blocker.Blocker{a, b, a} {
		crashLate(from, fmt.Sprint("u", i), after(float64(i+2)), "x", "y")
	}
	for _, from := range []*blocker.Blocker{a, b} {
		pull(t, c, from, after(4.5), after(4.6))
		pull(t, a, from, after(4.5), after(4.6))
	}
	require.Equal(t, 1, c.BlockedParts(after(5)), "the crashes have one cause")
	require.True(t, blocked(c, "y", after(5)))
	require.True(t, blocked(a, "y", after(5)))
	a.RecordOutlived(parts("x", "y"), after(5), after(6))
	pull(t, c, a, after(6.1), after(6.2))
	require.False(t, blocked(c, "y", after(6.2)))
	require.False(t, blocked(c, "x", after(6.2)))
}

// Guards against a request that is no longer blocked for its own crashes if these come in the middle of answers.
func TestRequestThatCrashesInAnswersIsBlocked(t *testing.T) {
	a, b := blocker.New(), blocker.New()
	for i := range 3 {
		require.Equal(t, i+1, a.RecordLateCrash(7, fmt.Sprint("u", i), after(float64(i)), parts("x")))
	}
	pull(t, b, a, after(2), after(2))
	require.Positive(t, a.BlockedFor(7, after(2)))
	require.Positive(t, b.BlockedFor(7, after(2)))
}
