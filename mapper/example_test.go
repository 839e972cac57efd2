package mapper_test

import (
	"fmt"

	"clementineramp/mapper"
)

func Example() {
	table := (&mapper.Table{
		Routes: []mapper.Route{
			{Name: "questions", Host: "a.example", Prefix: "/ask/", Rank: 0},
			{Name: "drafts", Host: "a.example", Prefix: "/", Rank: 2},
		},
		Organisations: map[string]*mapper.Organisation{"key": {Name: "weavers", Rank: 1, HasRank: true}},
	}).Build()
	route, _ := table.Match("a.example", "/ask/1")
	owner, _ := table.Owner("key")
	fmt.Println(route.Name, owner.Name, table.Urgency(route, owner))
	// Output: questions weavers 1
}
