package convictor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/convictor"
)

var start = time.Unix(1_700_000_000, 0)

func TestThreeCrashesConvictEverywhere(t *testing.T) {
	a, b := convictor.New(), convictor.New()
	guilty := convictor.Of("POST", "/a", "key", []byte("body"))
	innocent := convictor.Of("POST", "/a", "key", []byte("other"))
	a.Charge(guilty, "u1", start)
	a.Charge(innocent, "u1", start)
	a.Charge(guilty, "u2", start)
	require.Zero(t, a.Convicted(guilty, start))
	b.Charge(guilty, "u3", start)
	b.Merge(a.Crashes(start), start.Add(time.Second))
	require.Positive(t, b.Convicted(guilty, start.Add(time.Second)))
	require.Zero(t, b.Convicted(innocent, start.Add(time.Second)))
}

func TestOneCrashCountsOnce(t *testing.T) {
	a, b := convictor.New(), convictor.New()
	f := convictor.Of("GET", "/", "", nil)
	a.Charge(f, "u1", start)
	for range 5 {
		b.Merge(a.Crashes(start), start)
		a.Merge(b.Crashes(start), start)
	}
	require.Zero(t, a.Convicted(f, start))
}

func TestConvictionEnds(t *testing.T) {
	c := convictor.New()
	f := convictor.Of("GET", "/", "", nil)
	for _, u := range []string{"u1", "u2", "u3"} {
		c.Charge(f, u, start)
	}
	require.Positive(t, c.Convicted(f, start.Add(time.Minute)))
	require.Zero(t, c.Convicted(f, start.Add(10*time.Minute)))
	require.Empty(t, c.Crashes(start.Add(10*time.Minute)))
}

func TestChargesAreBounded(t *testing.T) {
	c := convictor.New()
	for i := range 10000 {
		c.Charge(convictor.Fingerprint(i), "u", start)
	}
	require.LessOrEqual(t, len(c.Crashes(start)), 4096)
}
