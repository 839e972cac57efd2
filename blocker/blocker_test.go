package blocker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/blocker"
)

var start = time.Unix(1_700_000_000, 0)

func TestThreeCrashesBlockAtAllRouters(t *testing.T) {
	a, b := blocker.New(), blocker.New()
	crashing := blocker.FingerprintOf("POST", "/a", "key", []byte("body"))
	harmless := blocker.FingerprintOf("POST", "/a", "key", []byte("other"))
	a.RecordCrash(crashing, "u1", start)
	a.RecordCrash(harmless, "u1", start)
	a.RecordCrash(crashing, "u2", start)
	require.Zero(t, a.BlockedFor(crashing, start))
	b.RecordCrash(crashing, "u3", start)
	b.Merge(a.Reports(start), start.Add(time.Second))
	require.Positive(t, b.BlockedFor(crashing, start.Add(time.Second)))
	require.Zero(t, b.BlockedFor(harmless, start.Add(time.Second)))
}

// Guards against crash reports that are counted again each time that routers exchange them.
func TestOneCrashCountsOnce(t *testing.T) {
	a, b := blocker.New(), blocker.New()
	f := blocker.FingerprintOf("GET", "/", "", nil)
	a.RecordCrash(f, "u1", start)
	for range 5 {
		b.Merge(a.Reports(start), start)
		a.Merge(b.Reports(start), start)
	}
	require.Zero(t, a.BlockedFor(f, start))
}

func TestBlockExpires(t *testing.T) {
	c := blocker.New()
	f := blocker.FingerprintOf("GET", "/", "", nil)
	for _, u := range []string{"u1", "u2", "u3"} {
		c.RecordCrash(f, u, start)
	}
	require.Positive(t, c.BlockedFor(f, start.Add(time.Minute)))
	require.Zero(t, c.BlockedFor(f, start.Add(10*time.Minute)))
	require.Empty(t, c.Reports(start.Add(10*time.Minute)))
}

func TestReportsAreBounded(t *testing.T) {
	c := blocker.New()
	for i := range 10000 {
		c.RecordCrash(blocker.Fingerprint(i), "u", start)
	}
	require.LessOrEqual(t, len(c.Reports(start)), 4096)
}
