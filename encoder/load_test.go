package encoder_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"clementineramp/encoder"
)

func loadEntries(n int) encoder.LoadEntries {
	l := make(encoder.LoadEntries, n)
	for i := range l {
		l[i] = encoder.LoadEntry{
			Upstream: fmt.Sprintf("clementine-pool-%d", i+1), Incarnation: 0x9f2c_0d1e_55aa_1234, Sequence: 4711,
			Work: 5120, Queued: 640, AgeMS: 350, UptimeMS: 3_600_000, Version: "2026-12-01",
		}
	}
	return l
}

// Guards against load entries that exceed the control budget: at 8 KB/s and nine requests per second, each direction of
// a request may use about 440 bytes.
func TestLoadEntriesAreCompact(t *testing.T) {
	const entries, budget = 6, 440
	l := loadEntries(entries)
	for i, e := range l {
		l[i] = e.Brief()
	}
	require.LessOrEqual(t, encoder.LoadBytes(l), budget)
	plain, err := json.Marshal([]encoder.LoadEntry(l))
	require.NoError(t, err)
	t.Logf("%d entries: %d bytes, as objects %d", entries, encoder.LoadBytes(l), len(plain))
	var decoded encoder.LoadEntries
	require.NoError(t, json.Unmarshal(plain, &decoded), "a list of objects is accepted too")
	require.Equal(t, l, decoded)
}
