package locator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/locator"
)

// Guards against sending a chat to an engine that no longer has its prefix in the cache.
func TestLocator(t *testing.T) {
	l, err := locator.New(locator.Config{Capacity: 2, Lifetime: time.Minute})
	require.NoError(t, err)
	now := time.Unix(1000, 0)

	l.Record(1, "engine-2", now)
	got, since, ok := l.Find(1, now.Add(time.Minute))
	require.True(t, ok)
	require.Equal(t, "engine-2", got)
	require.Equal(t, now, since)

	_, _, ok = l.Find(1, now.Add(time.Minute+1))
	require.False(t, ok, "an entry must expire after its lifetime")

	l.Record(1, "engine-2", now)
	l.Record(1, "engine-1", now)
	got, _, _ = l.Find(1, now)
	require.Equal(t, "engine-1", got, "the latest record must replace the earlier one")

	l.Record(1, "a", now)
	l.Record(2, "b", now)
	l.Record(3, "c", now)
	require.Equal(t, 2, l.Len())
	_, _, ok = l.Find(1, now)
	require.False(t, ok, "the least recently used entry must be evicted")
}

func TestConfig(t *testing.T) {
	_, err := locator.New(locator.Config{Capacity: -1})
	require.ErrorContains(t, err, "capacity")
	_, err = locator.New(locator.Config{Lifetime: -time.Second})
	require.ErrorContains(t, err, "lifetime")
}
