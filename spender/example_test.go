package spender_test

import (
	"fmt"
	"time"

	"clementineramp/configurer"
	"clementineramp/spender"
)

func Example() {
	start := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	s := spender.New(start, spender.Config{
		Agents: 12,
		Ranks:  []configurer.Rank{{Name: "urgent", Worth: 10}, {Name: "batch", Worth: 1}},
	})
	s.SetAccounts(start, []configurer.Account{
		{Name: "spring", Amount: 1_440_000, AsOf: start, Lapses: start.Add(24 * time.Hour), CreditsPerToken: 1},
	})
	account, ok := s.Spend(start.Add(10*time.Minute), "urgent", 300)
	fmt.Println(account, ok)
	fmt.Println(s.LastDecision())
	// Output:
	// spring true
	// rank="urgent" cost=300 account="spring" reason="pays" balance=833 surplus=120000 reserved_rate=0.00
}
