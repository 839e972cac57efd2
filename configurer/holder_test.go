package configurer_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"clementineramp/configurer"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		// A fixed seed makes the property tests reproducible.
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

type published struct {
	manifest []byte
	parts    map[configurer.Digest][]byte
}

func (p published) id() configurer.ID {
	m, _ := configurer.DecodeManifest(p.manifest)
	return configurer.ID{Version: m.Version, Digest: configurer.DigestOf(p.manifest)}
}

func publish(version uint64, parts ...configurer.Part) published {
	p := published{parts: map[configurer.Digest][]byte{}}
	m := configurer.Manifest{Version: version}
	for i, part := range parts {
		data := configurer.EncodePart(part)
		d := configurer.DigestOf(data)
		p.parts[d] = data
		m.Parts = append(m.Parts, configurer.PartRef{Name: fmt.Sprintf("part-%d", i), Digest: d})
	}
	p.manifest, _ = json.Marshal(m)
	return p
}

func ranks(share float64) configurer.Part {
	return configurer.Part{Ranks: []configurer.Rank{{Name: "urgent", TargetMS: 440, Worth: 10, Share: share}}}
}

func organisation(name string) configurer.Organisation {
	return configurer.Organisation{Name: name, KeyHash: hashOf(name), Rank: "urgent"}
}

func organisations(names ...string) configurer.Part {
	var p configurer.Part
	for _, n := range names {
		p.Organisations = append(p.Organisations, organisation(n))
	}
	return p
}

// deliver offers a configuration and adds its missing parts. It returns the last error.
func deliver(h *configurer.Holder, p published) error {
	_, err := h.Offer(p.manifest)
	for _, d := range h.Missing() {
		if data, ok := p.parts[d]; ok {
			if _, addErr := h.AddPart(d, data); addErr != nil {
				err = addErr
			}
		}
	}
	return err
}

func TestAdoptsOnlyCompleteConfigurations(t *testing.T) {
	h := configurer.NewHolder()
	p := publish(1, ranks(0.5), organisations("a", "b"))
	r, err := h.Offer(p.manifest)
	require.NoError(t, err)
	require.True(t, r.Wanted)
	missing := h.Missing()
	require.Len(t, missing, 2)
	_, err = h.AddPart(missing[0], p.parts[missing[0]])
	require.NoError(t, err)
	require.Nil(t, h.Snapshot(), "an incomplete configuration must not be adopted")
	r, err = h.AddPart(missing[1], p.parts[missing[1]])
	require.NoError(t, err)
	require.Same(t, h.Snapshot(), r.Adopted)
	require.Equal(t, p.id(), h.Current())
	_, ok := h.Snapshot().Authenticate("b")
	require.True(t, ok)

	data, ok := h.Part(missing[0])
	require.True(t, ok)
	require.Equal(t, p.parts[missing[0]], data)
	data, ok = h.Manifest(p.id().Digest)
	require.True(t, ok)
	require.Equal(t, p.manifest, data)
	_, ok = h.Manifest("")
	require.False(t, ok)
}

// Guards against an incomplete configuration that blocks the adoption of every later one with a lower version.
func TestIncompleteDoesNotBlockLowerVersion(t *testing.T) {
	h := configurer.NewHolder()
	_, err := h.Offer(publish(9, ranks(0.9), organisations("x")).manifest)
	require.NoError(t, err)
	require.NoError(t, deliver(h, publish(2, ranks(0.5))))
	require.Equal(t, uint64(2), h.Snapshot().Version)
}

// Guards against fetching an invalid configuration repeatedly, and against adopting it or content that does
// not match its digest.
func TestInvalidPart(t *testing.T) {
	h := configurer.NewHolder()
	good := publish(1, ranks(0.5), organisations("a"))
	require.NoError(t, deliver(h, good))
	bad := publish(2, ranks(1.5), organisations("a"))
	err := deliver(h, bad)
	var partErr *configurer.PartError
	require.ErrorAs(t, err, &partErr)
	require.Equal(t, "part-0", partErr.Part)
	require.Equal(t, 2, partErr.Line)
	require.Equal(t, "share", partErr.Field)
	require.Equal(t, good.id(), h.Current())
	require.Empty(t, h.Missing())
	require.False(t, h.Observe(bad.id()).Wanted)
	_, err = h.Offer(bad.manifest)
	require.ErrorContains(t, err, "was refused")

	p := publish(3, ranks(0.7))
	_, err = h.Offer(p.manifest)
	require.NoError(t, err)
	_, err = h.AddPart(h.Missing()[0], []byte("{}"))
	require.ErrorContains(t, err, "the content has digest")
}

func TestConflict(t *testing.T) {
	a, b := publish(1, ranks(0.5)), publish(1, ranks(0.6))
	winner := a
	if b.id().Compare(a.id()) > 0 {
		winner = b
	}
	for _, order := range [][]published{{a, b}, {b, a}} {
		h := configurer.NewHolder()
		require.NoError(t, deliver(h, order[0]))
		r, err := h.Offer(order[1].manifest)
		require.NoError(t, err)
		require.NotNil(t, r.Conflict)
		require.Equal(t, uint64(1), r.Conflict.Version)
		r, err = h.Offer(order[1].manifest)
		require.NoError(t, err)
		require.Nil(t, r.Conflict, "a conflict must be reported only once")
		require.NoError(t, deliver(h, order[1]))
		require.Equal(t, winner.id(), h.Current())
	}
}

func TestCheckAcrossParts(t *testing.T) {
	excessShares := configurer.Part{Ranks: []configurer.Rank{
		{Name: "urgent", TargetMS: 1, Worth: 1, Share: 0.7},
		{Name: "batch", TargetMS: 1, Worth: 1, Share: 0.4},
	}}
	pool := configurer.Pool{Name: "p", Model: "m", Version: "1"}
	sameKey := organisation("b")
	sameKey.KeyHash = hashOf("a")
	unknownRank := organisation("a")
	unknownRank.Ranks = []string{"other"}
	tests := []struct {
		name  string
		parts []configurer.Part
		want  string
	}{
		{"no rank", []configurer.Part{organisations("a")}, "no part lists a rank"},
		{"shares above 1", []configurer.Part{excessShares}, `line 3, field share: the shares up to this rank sum to 1.1`},
		{"rank twice", []configurer.Part{ranks(0.1), ranks(0.2)}, "listed twice"},
		{"unknown rank", []configurer.Part{ranks(1), {Organisations: []configurer.Organisation{unknownRank}}}, `part "part-1", line 2, field ranks: rank "other" is unknown`},
		{"organisation twice", []configurer.Part{ranks(1), organisations("a", "b"), organisations("c", "a")}, `part "part-2", line 3, field name`},
		{"same part twice", []configurer.Part{ranks(1), organisations("a"), organisations("a")}, "listed twice"},
		{"same key", []configurer.Part{ranks(1), organisations("a"), {Organisations: []configurer.Organisation{sameKey}}}, "have the same key"},
		{"model twice", []configurer.Part{ranks(1), {Pools: []configurer.Pool{pool, {Name: "q", Model: "m", Version: "2"}}}}, "served by two pools"},
		{"unknown account", []configurer.Part{ranks(1), {Pools: []configurer.Pool{{Name: "q", Model: "m", Version: "2", Account: "z"}}}}, `account "z" is unknown`},
		{"upstream twice", []configurer.Part{ranks(1), {Pools: []configurer.Pool{pool}, Services: []configurer.Service{{Name: "p", Workers: []string{"w"}, HorizonMS: 1}}}}, `"p" is listed twice`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := configurer.NewHolder()
			require.ErrorContains(t, deliver(h, publish(1, tt.parts...)), tt.want)
			require.Nil(t, h.Snapshot())
		})
	}
}

// Guards against removed organisations that stay and added ones that are missing when unchanged parts are reused.
func TestReuseOfParts(t *testing.T) {
	h := configurer.NewHolder()
	require.NoError(t, deliver(h, publish(1, ranks(1), organisations("a", "b"), organisations("c"))))
	next := publish(2, ranks(1), organisations("b", "d"), organisations("c"))
	_, err := h.Offer(next.manifest)
	require.NoError(t, err)
	require.Len(t, h.Missing(), 1)
	require.NoError(t, deliver(h, next))
	s := h.Snapshot()
	require.Equal(t, 3, s.OrganisationCount())
	for name, want := range map[string]bool{"a": false, "b": true, "c": true, "d": true} {
		_, ok := s.Organisation(name)
		require.Equal(t, want, ok, name)
		_, ok = s.Authenticate(name)
		require.Equal(t, want, ok, name)
	}
}

// Guards against a return to a lower version, a mixture of two configurations, and processes that end up with
// different ones, whatever the order in which manifests and parts arrive.
func TestArrivalOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var all []published
		var best configurer.ID
		for i := range rapid.IntRange(1, 6).Draw(rt, "configurations") {
			share := rapid.SampledFrom([]float64{0.1, 0.5, 0.9, 1.5}).Draw(rt, "share")
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "organisation")
			p := publish(uint64(rapid.IntRange(1, 4).Draw(rt, "version")), ranks(share), organisations(name, fmt.Sprint("o", i)))
			all = append(all, p)
			if share <= 1 && p.id().Compare(best) > 0 {
				best = p.id()
			}
		}
		h := configurer.NewHolder()
		last := configurer.ID{}
		check := func() {
			if h.Current().Compare(last) < 0 {
				rt.Fatalf("reverted from %v to %v", last, h.Current())
			}
			last = h.Current()
		}
		for range rapid.IntRange(0, 40).Draw(rt, "arrivals") {
			p := rapid.SampledFrom(all).Draw(rt, "source")
			if rapid.Bool().Draw(rt, "manifest") {
				_, _ = h.Offer(p.manifest)
			} else {
				m, _ := configurer.DecodeManifest(p.manifest)
				d := rapid.SampledFrom(m.Parts).Draw(rt, "part").Digest
				_, _ = h.AddPart(d, p.parts[d])
			}
			check()
		}
		for range all {
			for _, p := range all {
				_ = deliver(h, p)
				check()
			}
		}
		if h.Current() != best {
			rt.Fatalf("current configuration %v, want %v", h.Current(), best)
		}
		for _, p := range all {
			if p.id() != best {
				continue
			}
			want, err := configurer.Load(p.manifest, func(d configurer.Digest) ([]byte, bool) { b, ok := p.parts[d]; return b, ok })
			require.NoError(rt, err)
			require.Equal(rt, want.Ranks, h.Snapshot().Ranks)
			require.Equal(rt, want.OrganisationCount(), h.Snapshot().OrganisationCount())
		}
	})
}

func BenchmarkAdoptOneChangedPart(b *testing.B) {
	const total, shards = 14_000, 128
	parts := []configurer.Part{ranks(1)}
	for s := range shards {
		var names []string
		for i := s; i < total; i += shards {
			names = append(names, fmt.Sprintf("organisation-%05d", i))
		}
		parts = append(parts, organisations(names...))
	}
	h := configurer.NewHolder()
	if err := deliver(h, publish(1, parts...)); err != nil {
		b.Fatal(err)
	}
	var next []published
	for i := range 2 {
		changed := append([]configurer.Part(nil), parts...)
		changed[7] = organisations(append([]string{fmt.Sprint("new-", i)}, "other")...)
		next = append(next, publish(1, changed...))
	}
	version := uint64(1)
	b.ReportAllocs()
	for b.Loop() {
		version++
		p := next[version%2]
		m, _ := configurer.DecodeManifest(p.manifest)
		m.Version = version
		p.manifest, _ = json.Marshal(m)
		if err := deliver(h, p); err != nil || h.Snapshot().Version != version {
			b.Fatal(err)
		}
	}
}

func TestRowsOutOfRange(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tests := []struct {
		row   interface{ Check() error }
		field string
	}{
		{configurer.Rank{TargetMS: 1, Worth: 1}, "name"},
		{configurer.Rank{Name: "r", Worth: 1}, "target_ms"},
		{configurer.Rank{Name: "r", TargetMS: 1}, "worth"},
		{configurer.Rank{Name: "r", TargetMS: 1, Worth: 1, Share: -0.1}, "share"},
		{configurer.Pool{Name: "p", Model: "m"}, "version"},
		{configurer.Pool{Name: "p", Model: "m", Version: "1", Floor: 1.1}, "floor"},
		{configurer.Service{Name: "s", HorizonMS: 1}, "workers"},
		{configurer.Service{Name: "s", HorizonMS: 1, Workers: []string{"w", "w"}}, "workers"},
		{configurer.Service{Name: "s", Workers: []string{"w"}}, "horizon_ms"},
		{configurer.Organisation{Name: "o", Rank: "r", KeyHash: "00"}, "key_hash"},
		{configurer.Organisation{Name: "o", Rank: "r", KeyHash: hashOf("k"), Weight: -1}, "weight"},
		{configurer.Account{Name: "a", Amount: -1, CreditsPerToken: 1}, "amount"},
		{configurer.Account{Name: "a"}, "credits_per_token"},
		{configurer.Account{Name: "a", CreditsPerToken: 1}, "as_of"},
		{configurer.Account{Name: "a", CreditsPerToken: 1, AsOf: now, Lapses: now}, "lapses"},
	}
	for _, tt := range tests {
		var e *configurer.FieldError
		require.ErrorAs(t, tt.row.Check(), &e, "%+v", tt.row)
		require.Equal(t, tt.field, e.Field, "%+v", tt.row)
	}
}
