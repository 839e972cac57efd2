package gossiper_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"clementineramp/configurer"
	"clementineramp/gossiper"
)

// Guards against a process that rejects messages of a newer or older protocol version.
func TestMixedVersions(t *testing.T) {
	newer, err := cbor.Marshal(map[string]any{"p": 9, "n": "a", "later": []int{1, 2}, "l": []any{map[string]any{"u": "x", "w": 3, "later": "y"}}})
	require.NoError(t, err)
	s, err := gossiper.DecodeState(newer)
	require.NoError(t, err)
	require.Equal(t, "x", s.Load[0].Upstream)
	require.InDelta(t, 3, s.Load[0].Work, 0)
	require.Equal(t, configurer.ID{}, s.Current)
}

func FuzzDecodeState(f *testing.F) {
	for _, s := range []gossiper.State{
		{Protocol: 1, Name: "a", Control: "10.0.0.1:7"},
		{Protocol: 1, Name: "a", Load: entries("vavrad-1", 2), Marks: []gossiper.Mark{{Fingerprint: 1, Count: 1, RemainingMS: 60_000}}},
		{Protocol: 1, Name: "a", Current: configurer.ID{Version: 7, Digest: configurer.DigestOf([]byte("x"))}},
	} {
		data, err := gossiper.EncodeState(s)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := gossiper.DecodeState(data)
		if err != nil {
			return
		}
		for _, e := range s.Load {
			require.NotEmpty(t, e.Upstream)
			require.GreaterOrEqual(t, e.Work, 0.0)
			require.GreaterOrEqual(t, e.AgeMS, int64(0))
		}
		again, err := gossiper.EncodeState(s)
		require.NoError(t, err)
		_, err = gossiper.DecodeState(again)
		require.NoError(t, err)
	})
}
