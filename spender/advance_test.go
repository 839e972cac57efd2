package spender_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/configurer"
	"clementineramp/spender"
)

// Guards against a new process that refuses its first requests although the account is full, and against an advance that
// is granted in addition to what accrues instead of being repaid from it.
func TestAdvance(t *testing.T) {
	start := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	s := spender.New(start, spender.Config{
		Agents: 2, Advance: 10 * time.Minute,
		Ranks: []configurer.Rank{{Name: "urgent", Worth: 10}, {Name: "batch", Worth: 1}},
	})
	// 2 credits accrue per second, 1 of them to this agent.
	s.SetAccounts(start, []configurer.Account{{Name: "a", Amount: 7200, AsOf: start, Lapses: start.Add(time.Hour), CreditsPerToken: 1}})
	require.InDelta(t, 600, s.Balance(start, "a"), 1e-6)
	_, ok := s.Spend(start, "batch", 100)
	require.True(t, ok, "all ranks may spend the first half of the advance")
	_, ok = s.Spend(start, "urgent", 500)
	require.True(t, ok)
	_, ok = s.Spend(start, "urgent", 1)
	require.False(t, ok)
	require.Zero(t, s.Balance(start.Add(10*time.Minute), "a"), "what accrues at first repays the advance")
	require.InDelta(t, 60, s.Balance(start.Add(11*time.Minute), "a"), 1e-6)
	require.InDelta(t, 3000, s.Balance(start.Add(time.Hour-1), "a"), 1, "the whole share is 3600 credits")
}
