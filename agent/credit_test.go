package agent_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"clementineramp/agent"
	"clementineramp/chooser"
	"clementineramp/configurer"
	"clementineramp/encoder"
	"clementineramp/judge"
	"clementineramp/standin"
	"clementineramp/tracker"
)

const (
	pool  = "pool"
	model = "model"
	key   = "shared key of the tests"
	// promptTokens and answerTokens are the estimates of the work of each request.
	promptTokens = 20
	answerTokens = 20
	cost         = promptTokens + answerTokens
)

var epoch = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// fleet holds agents with stand-in engines, and a clock that the test sets.
type fleet struct {
	t            *testing.T
	now          atomic.Pointer[time.Time]
	listedAgents int
	// snapshot is read by the agents while a test replaces it.
	snapshot atomic.Pointer[configurer.Snapshot]
	engines  []*standin.Engine
	agents   []*agent.Agent
	stops    []context.CancelFunc
	requests atomic.Int64
	// slots is the batch size of an engine, interval the time between its tokens, and log receives the log lines.
	slots    int
	interval time.Duration
	log      io.Writer
	// text is the start of the text of the requests, which is filled up to promptTokens.
	text string
}

func account(amount float64, lifetime time.Duration) configurer.Account {
	return configurer.Account{Name: "a", Amount: amount, AsOf: epoch, Lapses: epoch.Add(lifetime), CreditsPerToken: 2}
}

func snapshot(name string, accounts ...configurer.Account) *configurer.Snapshot {
	return configurer.NewSnapshot(1, "", []configurer.Part{{
		Ranks:    []configurer.Rank{{Name: "urgent", Worth: 10}, {Name: "batch", Worth: 1}},
		Pools:    []configurer.Pool{{Name: pool, Model: model, Version: "v1", Account: name}},
		Accounts: accounts,
	}})
}

func newFleet(t *testing.T, n int, s *configurer.Snapshot) *fleet {
	f := &fleet{t: t, listedAgents: n, slots: 8, log: io.Discard}
	f.snapshot.Store(s)
	f.startEngines(n)
	return f
}

// startEngines starts n engines and their agents.
func (f *fleet) startEngines(n int) {
	f.engines, f.agents, f.stops = make([]*standin.Engine, n), make([]*agent.Agent, n), make([]context.CancelFunc, n)
	f.setTime(0)
	for i := range n {
		var err error
		f.engines[i], err = standin.StartEngine(standin.EngineConfig{
			Name: fmt.Sprint("engine-", i), Model: model, Version: "v1", CacheTokens: 1, Slots: f.slots, TokenInterval: f.interval,
		})
		require.NoError(f.t, err)
		f.t.Cleanup(f.engines[i].Kill)
		f.startAgent(i)
		f.t.Cleanup(func() { f.stops[i]() })
	}
}

func (f *fleet) setTime(d time.Duration) {
	now := epoch.Add(d)
	f.now.Store(&now)
}

// startAgent replaces an agent by a new one, which has none of the state of its predecessor.
func (f *fleet) startAgent(i int) {
	if f.stops[i] != nil {
		f.stops[i]()
	}
	a, err := agent.New(agent.Config{
		Name: fmt.Sprint("engine-", i), Pool: pool, Kind: agent.KindEngine, Upstream: f.engines[i].Address(), SharedKey: key, Slots: f.slots,
		Snapshot:   f.snapshot.Load,
		PeerLoad:   func(string, string) tracker.Load { return tracker.Load{} },
		View:       func(string) []chooser.Upstream { return make([]chooser.Upstream, f.listedAgents) },
		MergeFleet: func(encoder.FleetHistory) {},
		MergeLoad:  func([]encoder.LoadEntry) {}, FreshestLoad: func() []encoder.LoadEntry { return nil },
		Log: hclog.New(&hclog.LoggerOptions{Output: f.log}), Now: func() time.Time { return *f.now.Load() },
	})
	require.NoError(f.t, err)
	a.SetSnapshot(f.snapshot.Load())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = a.Run(ctx)
	}()
	f.agents[i] = a
	f.stops[i] = func() {
		_ = a.Drain(context.Background())
		a.Close()
		cancel()
		<-done
	}
	require.Eventually(f.t, a.Ready, 10*time.Second, time.Millisecond)
}

// finalRecorder ignores informational responses, which httptest.ResponseRecorder would record as the final one.
type finalRecorder struct{ *httptest.ResponseRecorder }

func (w finalRecorder) WriteHeader(code int) {
	if code >= http.StatusOK {
		w.ResponseRecorder.WriteHeader(code)
	}
}

// sendChat sends a request and returns the refusal, or nil when the answer is complete.
func (f *fleet) sendChat(i int, rank string) *judge.Error {
	id := f.requests.Add(1)
	text := f.text + strings.Repeat("x", (promptTokens-1)*4-len(f.text))
	body, err := json.Marshal(encoder.ChatRequest{
		Model: model, MaxTokens: answerTokens, Stream: true, RequestID: fmt.Sprint("r", id),
		Messages: []encoder.Message{{Role: "user", Content: text}},
	})
	require.NoError(f.t, err)
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(string(body)))
	envelope := encoder.EncodeHeader(encoder.Envelope{
		RequestID: fmt.Sprint("r", id), Organisation: "o", Rank: rank, LastAttempt: true, DeadlineMS: 1e6,
	})
	r.Header.Set(encoder.EnvelopeHeader, envelope)
	r.Header.Set(encoder.SignatureHeader, encoder.Sign(key, envelope))
	w := finalRecorder{httptest.NewRecorder()}
	f.agents[i].Handler().ServeHTTP(w, r)
	if w.Code == http.StatusOK {
		require.Contains(f.t, w.Body.String(), "[DONE]")
		return nil
	}
	var refusal encoder.Refusal
	require.NoError(f.t, json.Unmarshal(w.Body.Bytes(), &refusal))
	return refusal.JudgeError()
}

// spent returns the credits for the work that the engines did.
func (f *fleet) spent() float64 {
	tokens := 0
	for _, e := range f.engines {
		for _, r := range e.Runs() {
			tokens += r.PromptTokens + r.Emitted
		}
	}
	return float64(tokens) * f.snapshot.Load().Accounts[0].CreditsPerToken
}

// Guards against a refusal for lack of credit although the account has enough, and against requests that need credit
// although their pool names no account.
func TestNoCredit(t *testing.T) {
	hour := account(3600*2, time.Hour) // one token per second for one agent
	f := newFleet(t, 1, snapshot("a", hour))
	f.setTime((cost - 1) * time.Second)
	err := f.sendChat(0, "urgent")
	require.Equal(t, judge.ReasonNoCredit, judge.ReasonOf(err))
	require.Equal(t, judge.NotRun, judge.VerdictOf(err))
	require.InDelta(t, time.Second, err.RetryAfter, float64(10*time.Millisecond))
	require.Zero(t, f.spent())
	f.setTime(cost * time.Second)
	require.Nil(t, f.sendChat(0, "urgent"))
	require.InDelta(t, 2*cost, f.spent(), 1e-9)

	f.snapshot.Store(snapshot("", hour))
	f.agents[0].SetSnapshot(f.snapshot.Load())
	require.Nil(t, f.sendChat(0, "batch"))
}

// Guards against a failed request that gets no refund for the work that was not done.
func TestRefund(t *testing.T) {
	f := newFleet(t, 1, snapshot("a", account(3600*2, time.Hour)))
	f.setTime(cost * time.Second)
	f.text = standin.CrashText
	require.Equal(t, judge.ReasonEngineCrashed, judge.ReasonOf(f.sendChat(0, "urgent")))
	f.text = ""
	require.NoError(t, f.engines[0].Restart())
	require.Eventually(t, f.agents[0].Ready, 10*time.Second, time.Millisecond)
	// The engine may have processed the prompt, so only the answer is refunded.
	f.setTime((cost + promptTokens - 1) * time.Second)
	require.Equal(t, judge.ReasonNoCredit, judge.ReasonOf(f.sendChat(0, "urgent")))
	f.setTime((cost + promptTokens) * time.Second)
	require.Nil(t, f.sendChat(0, "urgent"))
}

// Guards against an agent's share of the account that grows when the host list loses agents or has not arrived yet.
func TestShareUsesLargestAgentCount(t *testing.T) {
	f := newFleet(t, 1, snapshot("a", account(36_000*2, 10*time.Hour)))
	f.listedAgents = 0
	f.startAgent(0)
	f.setTime(10 * cost * time.Second)
	require.Equal(t, judge.ReasonNoCredit, judge.ReasonOf(f.sendChat(0, "urgent")))
	f.listedAgents = 4
	require.Equal(t, judge.ReasonNoCredit, judge.ReasonOf(f.sendChat(0, "urgent")))
	f.listedAgents = 1
	f.setTime((10 + 2) * cost * time.Second)
	require.Equal(t, judge.ReasonNoCredit, judge.ReasonOf(f.sendChat(0, "urgent")))
	f.setTime((10 + 4) * cost * time.Second)
	require.Nil(t, f.sendChat(0, "urgent"))
}

// Guards against an account that expires unused or runs out without an alarm, and against alarms without a cause.
func TestCreditAlarms(t *testing.T) {
	tests := []struct {
		name  string
		every time.Duration
		want  string
	}{
		{"as planned", cost * time.Second, ""},
		{"low demand", 4 * cost * time.Second, "account a will lapse unused at 2026-03-01T01:00:00Z: demand for 20% of what is left"},
		{"high demand", cost / 2 * time.Second, "account a runs out before 2026-03-01T01:00:00Z: demand for 200% of what is left"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, 1, snapshot("a", account(3600*2, time.Hour)))
			for d := tt.every; d <= 20*time.Minute; d += tt.every {
				f.setTime(d)
				f.sendChat(0, "urgent")
			}
			got := f.agents[0].Alarms()
			if tt.want == "" {
				require.Empty(t, got)
				return
			}
			require.Equal(t, []string{tt.want}, got)
		})
	}
}

// Guards against agents that together spend more than the account, however often they restart, and limits the fraction
// of the account that restarts waste.
func TestSpendingStaysWithinAccount(t *testing.T) {
	const agents, length, step = 3, time.Hour, 20 * time.Second
	tests := []struct {
		name string
		// demand is the requested work relative to the account, and restarts the mean number of restarts per agent.
		// waste is the largest permitted fraction of the account that is not spent.
		demand, restarts float64
		waste            float64
	}{
		{"no restarts", 3, 0, 0.03},
		{"one restart per agent", 3, 1, 0.12},
		{"ten restarts per agent", 3, 10, 0.40},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(1, 2))
			steps := float64(length / step)
			total := account(agents*steps*cost*2/tt.demand, length)
			f := newFleet(t, agents, snapshot("a", total))
			paid, asked := 0.0, 0.0
			for d := step; d < length; d += step {
				f.setTime(d)
				for i := range agents {
					if rng.Float64() < tt.restarts/steps {
						f.startAgent(i)
					}
					rank := "batch"
					if rng.Float64() < 0.2 {
						rank = "urgent"
						asked++
					}
					if f.sendChat(i, rank) == nil && rank == "urgent" {
						paid++
					}
				}
			}
			over, waste := max(0, f.spent()-total.Amount), 1-f.spent()/total.Amount
			t.Logf("overspent %.0f of %.0f, wasted %.4f, urgent requests paid %.3f", over, total.Amount, waste, paid/asked)
			require.Zero(t, over)
			require.LessOrEqual(t, waste, tt.waste)
		})
	}
}

// Guards against the work of a paused request being counted twice, which makes its rank appear to have received more
// work than it did.
func TestWorkAfterPause(t *testing.T) {
	var log bytes.Buffer
	f := &fleet{t: t, listedAgents: 1, slots: 1, interval: 5 * time.Millisecond, log: &log}
	f.snapshot.Store(snapshot(""))
	f.startEngines(1)
	batch := make(chan *judge.Error, 1)
	go func() { batch <- f.sendChat(0, "batch") }()
	require.Eventually(t, func() bool {
		runs := f.engines[0].Runs()
		return len(runs) == 1 && runs[0].Emitted > 2
	}, 10*time.Second, time.Millisecond)
	require.Nil(t, f.sendChat(0, "urgent"))
	require.Nil(t, <-batch)
	f.stops[0]()
	work := func(action string) float64 {
		m := regexp.MustCompile(`action=` + action + ` id=1 .* work=([0-9.]+)`).FindStringSubmatch(log.String())
		require.NotNil(t, m, log.String())
		v, err := strconv.ParseFloat(m[1], 64)
		require.NoError(t, err)
		return v
	}
	// The closing event of an answer counts as one token.
	require.InDelta(t, work("paused"), work("done"), 1)
}
