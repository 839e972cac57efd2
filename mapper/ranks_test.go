package mapper_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"clementineramp/mapper"
)

// Guards against an urgency that differs from the position in the list of all pairs of ranks, which is not made any more.
func TestUrgencyIsPositionAmongPairs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.SliceOfN(rapid.IntRange(-3, 6), 1, 8)
		table := &mapper.Table{Organisations: map[string]*mapper.Organisation{"none": {}}}
		type pair struct{ organisation, route int }
		var pairs []pair
		routeRanks := ranks.Draw(t, "routes")
		for _, r := range routeRanks {
			table.Routes = append(table.Routes, mapper.Route{Rank: r})
			pairs = append(pairs, pair{r, r})
		}
		for i, o := range ranks.Draw(t, "organisations") {
			table.Organisations[fmt.Sprint(i)] = &mapper.Organisation{Rank: o, HasRank: true}
			for _, r := range routeRanks {
				pairs = append(pairs, pair{o, r})
			}
		}
		slices.SortFunc(pairs, func(a, b pair) int {
			return cmp.Or(cmp.Compare(a.organisation, b.organisation), cmp.Compare(a.route, b.route))
		})
		pairs = slices.Compact(pairs)
		table.Build()
		for i := range table.Routes {
			r := &table.Routes[i]
			require.Equal(t, slices.Index(pairs, pair{r.Rank, r.Rank}), table.Urgency(r, nil))
			for _, o := range table.Organisations {
				want := pair{r.Rank, r.Rank}
				if o.HasRank {
					want.organisation = o.Rank
				}
				require.Equal(t, slices.Index(pairs, want), table.Urgency(r, o))
			}
		}
	})
}

// Guards against a configuration of 1 MB that takes all memory: it may have some 10,000 ranks of routes and of
// organisations each, and hundreds of millions of pairs.
func TestManyRanks(t *testing.T) {
	const n = 20_000
	table := &mapper.Table{Organisations: map[string]*mapper.Organisation{}}
	for i := range n {
		table.Routes = append(table.Routes, mapper.Route{Rank: i})
		table.Organisations[fmt.Sprint(i)] = &mapper.Organisation{Rank: i, HasRank: true}
	}
	table.Build()
	require.Equal(t, n*n-1, table.Urgency(&table.Routes[n-1], table.Organisations[fmt.Sprint(n-1)]))
}
