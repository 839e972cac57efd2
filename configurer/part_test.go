package configurer_test

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"clementineramp/configurer"
)

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func TestPartRoundTrip(t *testing.T) {
	p := configurer.Part{
		Ranks:         ranks(0.5).Ranks,
		Pools:         []configurer.Pool{{Name: "vavrad", Model: "m", Version: "1", Floor: 0.8}},
		Services:      []configurer.Service{{Name: "bestall", Workers: []string{"w1", "w2"}, HorizonMS: 600_000}},
		Organisations: organisations("a", "b").Organisations,
	}
	got, err := configurer.DecodePart("all", configurer.EncodePart(p))
	require.NoError(t, err)
	require.Equal(t, p, got)
}

// Guards against errors that name the wrong line of a part.
func TestPartErrorLine(t *testing.T) {
	tests := []struct{ name, data, want string }{
		{"syntax", "{\"ranks\":[\n{\"name\":]}", "line 2"},
		{"type", "{\"ranks\":[\n{\"name\":\"a\",\"target_ms\":\"x\"}]}", "line 2, field target_ms"},
		{"range", "{\"ranks\":[\n{\"name\":\"a\",\"target_ms\":1,\"worth\":1},\n{\"name\":\"b\",\"target_ms\":1}]}", "line 3, field worth"},
		{"not an object", "[]", "line 1"},
		{"trailing", "{}\n{}", "line 2: text follows"},
		{"empty", "", "line 1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := configurer.DecodePart("p", []byte(tt.data))
			require.ErrorContains(t, err, tt.want)
		})
	}
}

// Guards against a process that refuses parts with sections or fields of a newer version of the system.
func TestUnknownFieldsAreIgnored(t *testing.T) {
	_, err := configurer.DecodePart("p", []byte(`{"later":[{"x":1}],"ranks":[{"name":"a","target_ms":1,"worth":1,"later":2}]}`))
	require.NoError(t, err)
}

func FuzzDecodePart(f *testing.F) {
	f.Add(configurer.EncodePart(ranks(0.5)))
	f.Add(configurer.EncodePart(organisations("a", "b")))
	f.Add([]byte(`{"x":{"y":[1,2]},"pools":[null]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := configurer.DecodePart("p", data)
		if err != nil {
			require.Contains(t, err.Error(), `part "p"`)
			return
		}
		again, err := configurer.DecodePart("p", configurer.EncodePart(p))
		require.NoError(t, err)
		require.Equal(t, configurer.EncodePart(p), configurer.EncodePart(again))
	})
}

func FuzzDecodeManifest(f *testing.F) {
	f.Add(publish(1, ranks(1)).manifest)
	f.Add([]byte(`{"version":1,"parts":[{"name":"a","digest":"` + strings.Repeat("0", 32) + `"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := configurer.DecodeManifest(data)
		if err != nil {
			return
		}
		require.NotZero(t, m.Version)
		for _, p := range m.Parts {
			require.Len(t, string(p.Digest), 32)
		}
	})
}
