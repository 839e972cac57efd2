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

// TestUrgencyOrdersByOrganisationThenRoute guards against an order in which the route has no effect. When all
// organisations have one rank, their short questions would then wait behind their own long drafts.
func TestUrgencyOrdersByOrganisationThenRoute(t *testing.T) {
	question, tag, draft := mapper.Route{Name: "question", Rank: 0}, mapper.Route{Name: "tag", Rank: 1}, mapper.Route{Name: "draft", Rank: 2}
	first := &mapper.Organisation{Name: "first", Rank: 0, HasRank: true}
	second := &mapper.Organisation{Name: "second", Rank: 1, HasRank: true}
	plain := &mapper.Organisation{Name: "plain"}
	for _, c := range []struct {
		name          string
		organisations []*mapper.Organisation
		// routes and owners hold the route and the organisation of each request, the most urgent first.
		routes []mapper.Route
		owners []*mapper.Organisation
		want   []int
	}{
		{
			"by organisation, then by route",
			[]*mapper.Organisation{first, second},
			[]mapper.Route{question, tag, draft, question, tag, draft},
			[]*mapper.Organisation{first, first, first, second, second, second},
			[]int{0, 1, 2, 3, 4, 5},
		},
		{
			"organisations without a rank",
			[]*mapper.Organisation{plain},
			[]mapper.Route{question, question, tag, draft},
			[]*mapper.Organisation{nil, plain, plain, plain},
			[]int{0, 0, 1, 2},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := &mapper.Table{Routes: []mapper.Route{draft, question, tag}, Organisations: map[string]*mapper.Organisation{}}
			for _, o := range c.organisations {
				table.Organisations["key of "+o.Name] = o
			}
			table.Build()
			for i := range c.routes {
				require.Equal(t, c.want[i], table.Urgency(&c.routes[i], c.owners[i]), "%s of %+v", c.routes[i].Name, c.owners[i])
			}
		})
	}
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
