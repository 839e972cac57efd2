package mapper_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"clementineramp/mapper"
)

func TestMatch(t *testing.T) {
	table := (&mapper.Table{Routes: []mapper.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}}).Build()
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"A.Example", "/x/y/1", "long"},
		{"a.example:80", "/x/y/", "long"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/x", ""},
		{"c.example", "/x/1", ""},
		{"", "/x/1", ""},
	} {
		r, ok := table.Match(c.host, c.path)
		require.Equal(t, c.want != "", ok, "%s%s", c.host, c.path)
		if ok {
			require.Equal(t, c.want, r.Name, "%s%s", c.host, c.path)
		}
	}
}

func TestServiceByWeight(t *testing.T) {
	r := mapper.Route{Name: "r", Shares: []mapper.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "none"}}}
	counts := map[string]int{}
	for i := range 10000 {
		seed := fmt.Sprintf("%x", i)
		s := r.Service(seed)
		require.Equal(t, s, r.Service(seed))
		counts[s]++
	}
	require.InDelta(t, 1000, counts["b"], 150)
	require.Zero(t, counts["none"])
}

func TestRankOf(t *testing.T) {
	r := &mapper.Route{Rank: 2}
	require.Equal(t, 2, mapper.RankOf(r, nil))
	require.Equal(t, 2, mapper.RankOf(r, &mapper.Organisation{Rank: 0}))
	require.Equal(t, 0, mapper.RankOf(r, &mapper.Organisation{Rank: 0, HasRank: true}))
}

func TestRepeatable(t *testing.T) {
	for _, c := range []struct {
		route mapper.Route
		want  bool
	}{
		{mapper.Route{Kind: mapper.Idempotent}, true},
		{mapper.Route{Kind: mapper.NonIdempotent}, false},
		{mapper.Route{Kind: mapper.NonIdempotent, Resumable: true}, false},
		{mapper.Route{Kind: mapper.Stream}, false},
		{mapper.Route{Kind: mapper.Stream, Resumable: true}, true},
	} {
		require.Equal(t, c.want, c.route.Repeatable(), "%+v", c.route)
	}
}
