package spender_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"clementineramp/configurer"
	"clementineramp/spender"
)

func TestMain(m *testing.M) {
	// A fixed seed makes each run draw the same cases; a flag on the command line overrides it.
	for name, value := range map[string]string{"rapid.seed": "20260301", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var epoch = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

const day = 24 * time.Hour

func ranks() []configurer.Rank {
	return []configurer.Rank{{Name: "urgent", Worth: 10}, {Name: "normal", Worth: 3}, {Name: "batch", Worth: 1}}
}

func account(name string, amount float64, asOf, lapses time.Duration) configurer.Account {
	return configurer.Account{Name: name, Amount: amount, AsOf: epoch.Add(asOf), Lapses: epoch.Add(lapses), CreditsPerToken: 1}
}

// payer is the interface that simulate calls; Spender and the baseline implement it.
type payer interface {
	Spend(now time.Time, rank string, cost float64) (string, bool)
}

// baseline pays for any rank without projecting demand, and spends the accounts in the given order. If upfront is set,
// the whole share is available from the start instead of accruing.
type baseline struct {
	accounts []configurer.Account
	start    time.Time
	agents   int
	upfront  bool
	spent    map[string]float64
}

func newBaseline(now time.Time, agents int, upfront bool, accounts ...configurer.Account) *baseline {
	return &baseline{accounts, now, agents, upfront, map[string]float64{}}
}

func (p *baseline) Spend(now time.Time, _ string, cost float64) (string, bool) {
	for _, a := range p.accounts {
		accrued := now.Sub(p.start).Seconds() / a.Lapses.Sub(a.AsOf).Seconds()
		if p.upfront {
			accrued = 1
		}
		if now.Before(a.Lapses) && p.spent[a.Name]+cost <= accrued*a.Amount/float64(p.agents) {
			p.spent[a.Name] += cost
			return a.Name, true
		}
	}
	return "", false
}

// load is the simulated demand, in tokens per second over all agents.
type load struct {
	urgent, batch float64
	// skew is the ratio of the demand of the first agent to that of the last; it falls linearly between them.
	skew float64
	// restarts is the mean number of restarts of an agent per day.
	restarts float64
}

type result struct {
	spent                          map[string]float64
	urgentPaid, urgentAsked, batch float64
}

const agents = 20

// simulate runs agents for a day; start creates the payer of an agent, also after each restart.
func simulate(l load, start func(now time.Time) payer) result {
	const step, cost = 20 * time.Second, 100.0
	rng := rand.New(rand.NewPCG(1, 2))
	fleet := make([]payer, agents)
	weights := make([]float64, agents)
	sum := 0.0
	for i := range fleet {
		fleet[i] = start(epoch)
		weights[i] = 1 + (max(l.skew, 1)-1)*float64(agents-1-i)/(agents-1)
		sum += weights[i]
	}
	res := result{spent: map[string]float64{}}
	for at := step; at < day; at += step {
		now := epoch.Add(at)
		for i := range fleet {
			if rng.Float64() < l.restarts*step.Hours()/24 {
				fleet[i] = start(now)
			}
			request := func(rank string, rate float64) (asked, paid float64) {
				n := rate * weights[i] / sum * step.Seconds() / cost
				for n > rng.Float64() {
					c := cost * (0.5 + rng.Float64())
					if name, ok := fleet[i].Spend(now, rank, c); ok {
						res.spent[name] += c
						paid += c
					}
					asked += c
					n--
				}
				return asked, paid
			}
			_, paid := request("batch", l.batch)
			res.batch += paid
			asked, paid := request("urgent", l.urgent)
			res.urgentAsked += asked
			res.urgentPaid += paid
		}
	}
	return res
}

// newSpenderWith returns a start function for simulate that creates a Spender with the given accounts.
func newSpenderWith(accounts ...configurer.Account) func(time.Time) payer {
	return func(now time.Time) payer {
		s := spender.New(now, spender.Config{Agents: agents, Ranks: ranks()})
		s.SetAccounts(now, accounts)
		return s
	}
}

const amount = 8_640_000.0 // 100 tokens per second for a day

// Guards against restarts after which agents spend more than the account holds, as they do if the share does not accrue.
func TestRestartsNeverOverspend(t *testing.T) {
	t.Parallel()
	a := account("a", amount, 0, day)
	for _, restarts := range []float64{0, 0.45, 10, 500} {
		t.Run(fmt.Sprint(restarts), func(t *testing.T) {
			t.Parallel()
			l := load{urgent: 300, batch: 300, restarts: restarts}
			got := simulate(l, newSpenderWith(a)).spent["a"]
			upfront := simulate(l, func(now time.Time) payer { return newBaseline(now, agents, true, a) }).spent["a"]
			t.Logf("%g restarts per agent and day: overspent %.0f, wasted %.4f; share without accrual: overspent %.4f",
				restarts, math.Max(0, got-amount), 1-got/amount, math.Max(0, upfront/amount-1))
			require.LessOrEqual(t, got, amount)
			if restarts >= 0.45 {
				require.Greater(t, upfront, amount)
			}
		})
	}
}

// Guards against projections that let too many credits expire unused. The limits are fractions of the account.
func TestWaste(t *testing.T) {
	t.Parallel()
	a := account("a", amount, 0, day)
	tests := []struct {
		name  string
		l     load
		limit float64
	}{
		{"demand far above supply", load{urgent: 60, batch: 300}, 0.01},
		{"restarts of a normal day", load{urgent: 60, batch: 300, restarts: 0.45}, 0.01},
		{"only urgent demand, above supply", load{urgent: 150}, 0.01},
		{"ten restarts per agent", load{urgent: 60, batch: 300, restarts: 10}, 0.03},
		{"tenfold skew of demand", load{urgent: 60, batch: 300, skew: 10}, 0.05},
		{"tenfold skew, demand just above supply", load{urgent: 60, batch: 60, skew: 10}, 0.30},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			res := simulate(tt.l, newSpenderWith(a))
			waste := 1 - res.spent["a"]/amount
			t.Logf("wasted %.4f, urgent work paid %.4f", waste, res.urgentPaid/res.urgentAsked)
			require.LessOrEqual(t, waste, tt.limit)
			require.GreaterOrEqual(t, waste, 0.0)
		})
	}
}

// Guards against work of little worth that uses the credits that work of greater worth needs later, and against credits
// that expire because they were reserved for it.
func TestGreatestWorthFirst(t *testing.T) {
	t.Parallel()
	a := account("a", amount, 0, day)
	l := load{urgent: 60, batch: 300}
	got := simulate(l, newSpenderWith(a))
	noProjection := simulate(l, func(now time.Time) payer { return newBaseline(now, agents, false, a) })
	urgentOnly := simulate(load{urgent: 60}, newSpenderWith(a))
	report := func(name string, r result) (urgent, waste float64) {
		urgent, waste = r.urgentPaid/r.urgentAsked, 1-r.spent["a"]/amount
		t.Logf("%s: urgent work paid %.4f, wasted %.4f", name, urgent, waste)
		return urgent, waste
	}
	urgent, waste := report("spender", got)
	require.Greater(t, urgent, 0.99)
	require.Less(t, waste, 0.01)
	urgent, _ = report("without projection", noProjection)
	require.Less(t, urgent, 0.9)
	_, waste = report("urgent work alone", urgentOnly)
	require.Greater(t, waste, 0.3)
}

// Guards against credits that expire while credits that expire later are spent.
func TestSoonestToExpireFirst(t *testing.T) {
	t.Parallel()
	soon, late := account("soon", amount/4, 0, day/2), account("late", amount, 0, day)
	l := load{urgent: 60}
	got := simulate(l, newSpenderWith(late, soon))
	latestFirst := simulate(l, func(now time.Time) payer { return newBaseline(now, agents, false, late, soon) })
	waste := func(r result) float64 { return 1 - r.spent["soon"]/soon.Amount }
	t.Logf("wasted of the account that expires first: %.4f, with the latest first %.4f", waste(got), waste(latestFirst))
	require.Less(t, waste(got), 0.02)
	require.Greater(t, waste(latestFirst), 0.5)
}

// Guards against unintended changes of the rules by which an account pays for a request.
func TestSpend(t *testing.T) {
	t.Parallel()
	start := func(accounts ...configurer.Account) *spender.Spender {
		s := spender.New(epoch, spender.Config{Agents: 1, Ranks: ranks()})
		s.SetAccounts(epoch, accounts)
		return s
	}
	hour := account("a", 3600, 0, time.Hour) // 1 credit per second
	tests := []struct {
		name     string
		accounts []configurer.Account
		before   func(s *spender.Spender)
		at       time.Duration
		rank     string
		cost     float64
		account  string
		reason   spender.Reason
	}{
		{"no account", nil, nil, time.Minute, "urgent", 1, "", spender.ReasonNoAccount},
		{"accrued", []configurer.Account{hour}, nil, time.Minute, "urgent", 60, "a", spender.ReasonPays},
		{"not yet accrued", []configurer.Account{hour}, nil, time.Minute, "urgent", 61, "", spender.ReasonBalance},
		{"expired", []configurer.Account{hour}, nil, time.Hour, "urgent", 1, "", spender.ReasonNoAccount},
		{"other time zone", []configurer.Account{{
			Name: "z", Amount: 3600, AsOf: epoch, CreditsPerToken: 1,
			Lapses: time.Date(2026, 3, 1, 2, 0, 0, 0, time.FixedZone("CET", 3600)),
		}}, nil, 59 * time.Minute, "urgent", 60, "z", spender.ReasonPays},
		{"price", []configurer.Account{{
			Name: "p", Amount: 3600, AsOf: epoch, Lapses: epoch.Add(time.Hour), CreditsPerToken: 2,
		}}, nil, time.Minute, "urgent", 31, "", spender.ReasonBalance},
		{"demand unknown", []configurer.Account{hour}, nil, 5*time.Minute - 1, "batch", 1, "", spender.ReasonUnmeasured},
		{"no demand of greater worth", []configurer.Account{hour}, nil, 5 * time.Minute, "batch", 300, "a", spender.ReasonPays},
		{"demand of greater worth needs the whole account", []configurer.Account{hour}, func(s *spender.Spender) {
			for i := range 360 {
				s.Spend(epoch.Add(time.Duration(i)*time.Second), "normal", 2)
			}
		}, 6 * time.Minute, "batch", 1, "", spender.ReasonProjection},
		{"later account has a surplus", []configurer.Account{hour, account("b", 720_000, 0, 100*time.Hour)}, func(s *spender.Spender) {
			for i := range 600 {
				s.Spend(epoch.Add(time.Duration(i)*time.Second), "normal", 1.2)
			}
		}, 10 * time.Minute, "batch", 50, "b", spender.ReasonPays},
		{"NaN", []configurer.Account{hour}, nil, time.Minute, "urgent", math.NaN(), "", spender.ReasonInvalid},
		{"negative", []configurer.Account{hour}, nil, time.Minute, "urgent", -1, "", spender.ReasonInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := start(tt.accounts...)
			if tt.before != nil {
				tt.before(s)
			}
			name, ok := s.Spend(epoch.Add(tt.at), tt.rank, tt.cost)
			require.Equal(t, tt.account, name, s.LastDecision())
			require.Equal(t, tt.account != "", ok)
			require.Equal(t, tt.reason, s.LastDecision().Reason, s.LastDecision())
		})
	}
}

// Guards against an interval that accrues twice because the clock is set back.
func TestClockSetBack(t *testing.T) {
	t.Parallel()
	s := spender.New(epoch, spender.Config{Agents: 1, Ranks: ranks()})
	s.SetAccounts(epoch, []configurer.Account{account("a", 3600, 0, time.Hour)})
	require.InDelta(t, 600, s.Balance(epoch.Add(10*time.Minute), "a"), 1e-6)
	require.InDelta(t, 600, s.Balance(epoch, "a"), 1e-6)
	require.InDelta(t, 600, s.Balance(epoch.Add(10*time.Minute), "a"), 1e-6)
}

// Guards against a new sheet after which an agent can spend again what it spent after the provider read the amount.
func TestNewSheet(t *testing.T) {
	t.Parallel()
	s := spender.New(epoch, spender.Config{Agents: 2, Ranks: ranks()})
	s.SetAccounts(epoch, []configurer.Account{account("a", 7200, 0, time.Hour)})
	at := epoch.Add(30 * time.Minute)
	_, ok := s.Spend(at, "urgent", 1000)
	require.True(t, ok)
	adopted := epoch.Add(40 * time.Minute)
	s.Refund(adopted, at, "a", 100)
	require.InDelta(t, 2400-900, s.Balance(adopted, "a"), 1e-6)
	// The provider read the amount of 7200 before the 900 were spent.
	s.SetAccounts(adopted, []configurer.Account{account("a", 7200, 20*time.Minute, time.Hour)})
	require.InDelta(t, 1800-900, s.Balance(adopted, "a"), 1e-6)
	s.Refund(adopted, epoch.Add(10*time.Minute), "a", 100)
	require.InDelta(t, 1800-900, s.Balance(adopted, "a"), 1e-6)
	// The provider read the amount of 6300 after the 900 were spent.
	s.SetAccounts(adopted, []configurer.Account{account("a", 6300, 35*time.Minute, time.Hour)})
	require.InDelta(t, 6300.0/25*5/2, s.Balance(adopted, "a"), 1e-6)
	s.SetAgents(adopted, 4)
	require.InDelta(t, 6300.0/25*5/2+6300.0/25*10/4, s.Balance(epoch.Add(50*time.Minute), "a"), 1e-6)
	// An account that is removed from the sheet and added again does not accrue for the past.
	s.SetAccounts(adopted, nil)
	s.SetAccounts(adopted, []configurer.Account{account("a", 6300, 35*time.Minute, time.Hour)})
	require.InDelta(t, 0, s.Balance(adopted, "a"), 1e-6)
}

// Guards against spending that is dropped from the history although it happened after the provider read the amount, in
// the same minute.
func TestNewSheetInSameMinute(t *testing.T) {
	t.Parallel()
	s := spender.New(epoch, spender.Config{Agents: 1, Ranks: ranks()})
	s.SetAccounts(epoch, []configurer.Account{account("a", 3600, 0, time.Hour)})
	_, ok := s.Spend(epoch.Add(30*time.Minute+50*time.Second), "urgent", 1800)
	require.True(t, ok)
	s.SetAccounts(epoch.Add(40*time.Minute), []configurer.Account{account("a", 3600, 30*time.Minute+30*time.Second, time.Hour)})
	require.Zero(t, s.Balance(epoch.Add(40*time.Minute), "a"))
}

// Guards against sequences of spending, restarts, refunds and new sheets that overspend an account.
func TestNeverOverspends(t *testing.T) {
	t.Parallel()
	largest, used := 0.0, 0.0
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(rt, "agents")
		sheet := account("a", 100_000, 0, 10*time.Hour)
		now := epoch
		fleet := make([]*spender.Spender, n)
		restart := func(i int) {
			fleet[i] = spender.New(now, spender.Config{Agents: n, Ranks: ranks()})
			fleet[i].SetAccounts(now, []configurer.Account{sheet})
		}
		for i := range fleet {
			restart(i)
		}
		// The provider reads the amount; the sheet with this amount reaches the agents some steps later.
		var read configurer.Account
		pending := 0
		left := sheet.Amount
		for range rapid.IntRange(50, 300).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(rt, "wait")) * time.Second)
			i := rapid.IntRange(0, n-1).Draw(rt, "agent")
			switch rapid.IntRange(0, 9).Draw(rt, "action") {
			case 0:
				// A restart after the reading and before the sheet arrives can overspend: TestRestartBeforeNewSheet.
				if pending == 0 {
					restart(i)
				}
			case 1:
				if pending == 0 && now.Before(sheet.Lapses) {
					read = sheet
					read.Amount, read.AsOf = left, now
					pending = 3
				}
			default:
				rank := rapid.SampledFrom([]string{"urgent", "normal", "batch"}).Draw(rt, "rank")
				// Spending almost the whole balance leaves no slack that could hide an overspend.
				fraction := rapid.SampledFrom([]float64{0.1, 1}).Draw(rt, "fraction")
				cost := fraction * fleet[i].Balance(now, "a") * (1 - 1e-9)
				if _, ok := fleet[i].Spend(now, rank, cost); ok {
					left -= cost
					if rapid.IntRange(0, 4).Draw(rt, "refund") == 0 {
						fleet[i].Refund(now, now, "a", cost/2)
						left += cost / 2
					}
				}
			}
			if pending > 0 {
				if pending--; pending == 0 {
					sheet = read
					for _, s := range fleet {
						s.SetAccounts(now, []configurer.Account{sheet})
					}
				}
			}
			if left < -1e-6 {
				rt.Fatalf("overspent by %v", -left)
			}
			largest = math.Max(largest, -left)
			used = math.Max(used, 100_000-left)
		}
	})
	t.Logf("largest overspend %.0f, most used %.0f of 100000", math.Max(0, largest), used)
}

// Bounds the one case in which an account without an advance can be overspent: an agent spends its balance after the
// provider read the amount, and restarts before it has the new sheet. The overspend is at most that balance.
func TestRestartBeforeNewSheet(t *testing.T) {
	t.Parallel()
	const n = 10
	s := spender.New(epoch, spender.Config{Agents: n, Ranks: ranks()})
	s.SetAccounts(epoch, []configurer.Account{account("a", 100_000, 0, 10*time.Hour)})
	read := epoch.Add(5 * time.Hour)
	balance := s.Balance(read, "a")
	_, ok := s.Spend(read.Add(time.Minute), "urgent", balance)
	require.True(t, ok)
	restarted := spender.New(read.Add(2*time.Minute), spender.Config{Agents: n, Ranks: ranks()})
	restarted.SetAccounts(read.Add(2*time.Minute), []configurer.Account{account("a", 100_000, 5*time.Hour, 10*time.Hour)})
	later := restarted.Balance(epoch.Add(10*time.Hour-time.Nanosecond), "a")
	t.Logf("share %d, spent after the reading %.0f, available after the restart %.0f", 100_000/n, balance, later)
	require.LessOrEqual(t, later, 100_000.0/n)
	require.LessOrEqual(t, balance+later-100_000.0/n, balance)
}

func BenchmarkSpend(b *testing.B) {
	accounts := make([]configurer.Account, 8)
	for i := range accounts {
		accounts[i] = account(fmt.Sprintf("account-%d", i), 1e9, 0, time.Duration(i+1)*day)
	}
	for _, rank := range []string{"urgent", "batch"} {
		b.Run(rank, func(b *testing.B) {
			s := spender.New(epoch, spender.Config{Agents: 600, Ranks: ranks()})
			s.SetAccounts(epoch, accounts)
			now := epoch.Add(time.Hour)
			b.ReportAllocs()
			for range b.N {
				now = now.Add(time.Millisecond)
				s.Spend(now, rank, 100)
			}
		})
	}
}

// BenchmarkSpendPerOrganisation has an account for each of 14,000 organisations, as an upper bound on the size of a sheet.
func BenchmarkSpendPerOrganisation(b *testing.B) {
	accounts := make([]configurer.Account, 14_000)
	for i := range accounts {
		accounts[i] = account(fmt.Sprintf("account-%05d", i), 1, 0, day)
	}
	s := spender.New(epoch, spender.Config{Agents: 600, Ranks: ranks()})
	s.SetAccounts(epoch, accounts)
	now := epoch.Add(time.Hour)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		now = now.Add(time.Millisecond)
		s.Spend(now, "batch", 100)
	}
}
