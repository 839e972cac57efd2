package chooser_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/stretchr/testify/require"

	"clementineramp/chooser"
)

// Parameters of the simulation. With them an engine runs about 24 requests at a time.
const (
	engines     = 30
	viewCount   = 4
	tick        = 100 * time.Millisecond
	duration    = 60 * time.Second
	arrivals    = 18 // requests per tick
	cachedChats = 400
	warmUp      = 15 * time.Second
	// refreshProbability is the probability per tick that a view receives the current load of an engine, so that its
	// entries are 2 s old on average.
	refreshProbability = 0.05
	// meanFactor is the fraction of the known mean that the agents of the simulation use. Load tables are much older here
	// than in production, where agents deduct a margin that depends on the age of their tables.
	meanFactor = 0.92
)

type request struct {
	chat uint64
	cost float64
	ends time.Duration
}

type chatState struct {
	key    uint64
	prompt int
	due    time.Duration
}

// admissionRule is the rule by which an agent admits a request.
type admissionRule int

const (
	unbounded admissionRule = iota
	// strict admits a request within the bound, or if the engine is idle.
	strict
	// belowMean also admits a request if the engine runs no more than the mean.
	belowMean
	// demand is belowMean with all queued work counted in the mean.
	demand
	// backlog is belowMean with queued work counted in the mean as far as it exceeds a fifth of the running work.
	backlog
)

// simulation runs one policy against one seeded sequence of arrivals and engine restarts, and counts the results.
type simulation struct {
	rng           *rand.Rand
	c             *chooser.Chooser
	oracleChooser *chooser.Chooser
	rule          admissionRule
	coldStart     bool
	oracle        bool

	now      time.Duration
	actual   []chooser.Upstream
	observed [viewCount][]chooser.Upstream
	ready    []time.Duration
	running  [][]request
	waiting  [][]request
	cache    []*simplelru.LRU[uint64, int]

	reused, reusable          float64
	attempts, requests, waits int
	overBound                 int
	waitTime                  time.Duration
	maxAdmitted               float64
	skews                     []float64
}

func newSimulation(cfg chooser.Config, r admissionRule, cold, oracle bool) *simulation {
	t := &simulation{
		rng:           rand.New(rand.NewPCG(1, 2)),
		c:             mustNew(cfg),
		oracleChooser: mustNew(chooser.Config{SkipFactor: 1}),
		rule:          r,
		coldStart:     cold,
		oracle:        oracle,
		actual:        fleet(engines),
		ready:         make([]time.Duration, engines),
		running:       make([][]request, engines),
		waiting:       make([][]request, engines),
	}
	for i := range t.actual {
		t.actual[i].Work = 0
		t.ready[i] = -time.Hour
		lru, _ := simplelru.NewLRU[uint64, int](cachedChats, nil)
		t.cache = append(t.cache, lru)
	}
	for v := range t.observed {
		t.observed[v] = append([]chooser.Upstream(nil), t.actual...)
	}
	return t
}

// mean returns the total work of the live engines and their number.
func mean(ups []chooser.Upstream) (total float64, n int) {
	for _, u := range ups {
		if u.State == chooser.Live {
			total += u.Work
			n++
		}
	}
	return total, n
}

// churn drains one engine every 5 s. It goes down 2 s later, and is live again with an empty cache 10 s after the start
// of the drain.
func (t *simulation) churn() {
	for i := range t.actual {
		phase := t.now - time.Duration(i*7%engines)*5*time.Second
		u := &t.actual[i]
		switch {
		case phase < 0 || t.now < time.Second:
		case phase < 2*time.Second:
			u.State = chooser.Leaving
		case phase < 10*time.Second:
			u.State, u.Work = chooser.Down, 0
			t.running[i], t.waiting[i] = nil, nil
			t.cache[i].Purge()
			t.ready[i] = t.now
		default:
			u.State = chooser.Live
		}
		u.Uptime = t.now - t.ready[i]
	}
}

func (t *simulation) step() {
	t.churn()
	for i := range t.actual {
		keep := t.running[i][:0]
		for _, r := range t.running[i] {
			if r.ends > t.now {
				keep = append(keep, r)
				continue
			}
			t.actual[i].Work -= r.cost
		}
		t.running[i] = keep
		if len(keep) == 0 {
			t.actual[i].Work = 0
		}
	}
	for v := range t.observed {
		for i := range t.actual {
			u := &t.observed[v][i]
			u.WorkAge += tick
			u.Uptime = t.actual[i].Uptime
			if t.rng.Float64() < refreshProbability {
				*u = t.actual[i]
			}
		}
	}
	for i, queue := range t.waiting {
		t.waiting[i] = nil
		t.actual[i].Queued = 0
		for _, r := range queue {
			if !t.admit(i, r) {
				t.enqueue(i, r)
			}
		}
	}
}

func (t *simulation) enqueue(i int, r request) {
	t.waiting[i] = append(t.waiting[i], r)
	t.actual[i].Queued += r.cost
	t.waitTime += tick
}

// admit starts a request unless the agent rejects it. The agent has its exact own work, but the mean with a delay.
func (t *simulation) admit(i int, r request) bool {
	u := &t.actual[i]
	if u.State != chooser.Live {
		return false
	}
	if !t.oracle && !t.allowed(u.Work, r.cost, t.observed[0], meanFactor*chooser.DefaultBound) {
		return false
	}
	if t.oracle && !t.allowed(u.Work, r.cost, t.actual, chooser.DefaultBound) {
		return false
	}
	idle := u.Work == 0
	u.Work += r.cost
	total, live := mean(t.actual)
	if ratio := u.Work * float64(live) / total; !idle {
		if t.now > warmUp {
			t.maxAdmitted = max(t.maxAdmitted, ratio)
			if ratio > chooser.DefaultBound {
				t.overBound++
			}
		}
	}
	r.ends = t.now + 4*time.Second
	t.running[i] = append(t.running[i], r)
	return true
}

// allowed applies the admission rule. A simulation with a warm start applies none at first, so that it begins with the
// load of the steady state.
func (t *simulation) allowed(work, cost float64, ups []chooser.Upstream, bound float64) bool {
	if t.rule == unbounded || !t.coldStart && t.now < warmUp/2 {
		return true
	}
	total, n := mean(ups)
	queued := 0.0
	for _, u := range ups {
		if u.State == chooser.Live {
			queued += u.Queued
		}
	}
	switch t.rule {
	case demand:
		total += queued
	case backlog:
		total += max(0, queued-0.2*total)
	default:
	}
	return chooser.Admits(work, cost, chooser.Limit(bound, total, n, cost)) || t.rule >= belowMean && chooser.AtOrBelowMean(work, total, n)
}

// order returns the engines that a request tries, in order. The oracle policy uses the exact caches and loads.
func (t *simulation) order(ch *chatState, cost float64) []int {
	ups, c := t.observed[t.rng.IntN(viewCount)], t.c
	if t.oracle {
		ups, c = t.actual, t.oracleChooser
		total, n := mean(ups)
		limit := chooser.Limit(chooser.DefaultBound, total, n, cost)
		best, most := -1, 0
		for i, u := range ups {
			if tokens, _ := t.cache[i].Peek(ch.key); tokens > most && u.State == chooser.Live && chooser.Admits(u.Work, cost, limit) {
				best, most = i, tokens
			}
		}
		if best >= 0 {
			return []int{best}
		}
	}
	var out []int
	for _, cand := range c.Choose(ch.key, cost, ups).Order {
		var i int
		_, _ = fmt.Sscanf(cand.Name, "engine-%d", &i)
		out = append(out, i)
	}
	return out
}

func (t *simulation) serve(ch *chatState) {
	t.requests++
	cost := float64(ch.prompt + 200)
	previous := ch.prompt - 150
	var served int
	r := request{chat: ch.key, cost: cost}
	order := t.order(ch, cost)
	for attempt, i := range order {
		t.attempts++
		served = i
		if t.admit(i, r) {
			break
		}
		if attempt == len(order)-1 {
			t.waits++
			t.enqueue(i, r)
		}
	}
	if previous >= 200 {
		tokens, _ := t.cache[served].Get(ch.key)
		t.reused += float64(min(tokens, previous))
		t.reusable += float64(previous)
	}
	t.cache[served].Add(ch.key, ch.prompt)
	ch.prompt = min(ch.prompt+150, 3000)
	ch.due = t.now + time.Duration(t.rng.ExpFloat64()*float64(20*time.Second))
}

func (t *simulation) run() {
	var chats []*chatState
	for t.now = 0; t.now < duration; t.now += tick {
		t.step()
		remaining := arrivals
		for n := 0; n < 200 && remaining > 0 && len(chats) > 0; n++ {
			ch := chats[t.rng.IntN(len(chats))]
			if ch.due <= t.now && t.rng.Float64() < 0.8 {
				t.serve(ch)
				remaining--
			}
		}
		for ; remaining > 0; remaining-- {
			ch := &chatState{key: t.rng.Uint64(), prompt: 100 + t.rng.IntN(1000)}
			chats = append(chats, ch)
			t.serve(ch)
		}
		if t.now > warmUp {
			total, n := mean(t.actual)
			most := 0.0
			for _, u := range t.actual {
				if u.State == chooser.Live {
					most = max(most, u.Work)
				}
			}
			t.skews = append(t.skews, most*float64(n)/total)
		}
	}
}

func (t *simulation) skew() (average, most float64) {
	for _, s := range t.skews {
		average += s / float64(len(t.skews))
		most = max(most, s)
	}
	return average, most
}

// Guards against loads above the bound, and against cache reuse that falls towards that of the baseline policies, while
// engines are restarted and load tables are 2 s old.
func TestPoliciesThroughChurn(t *testing.T) {
	reference := newSimulation(chooser.Config{}, strict, false, true)
	reference.run()
	best := reference.reused / reference.reusable
	report := func(name string, tr *simulation) {
		average, most := tr.skew()
		t.Logf("%-26s reuse %.3f (%.3f of the oracle) skew mean %.2f max %.2f, admitted at most %.3f of the mean, over the bound %d, attempts %.3f, waits %d of %d, mean wait %v",
			name, tr.reused/tr.reusable, tr.reused/tr.reusable/best, average, most, tr.maxAdmitted, tr.overBound,
			float64(tr.attempts)/float64(tr.requests), tr.waits, tr.requests, (tr.waitTime / time.Duration(tr.requests)).Round(time.Millisecond))
	}
	report("oracle", reference)
	var production *simulation
	rows := []struct {
		name string
		skip float64
		rule admissionRule
		cold bool
	}{
		{"skip at the bound", 1, demand, false},
		{"no skip", 100, demand, false},
		{"strict rule, cold start", 0, strict, true},
		{"below mean, cold start", 0, belowMean, true},
		{"demand rule, cold start", 0, demand, true},
		{"demand rule, warm", 0, demand, false},
		{"backlog rule, cold start", 0, backlog, true},
		{"production", 0, backlog, false},
	}
	if !testing.Verbose() {
		// The other rows are only reported; no check depends on them.
		rows = rows[len(rows)-1:]
	}
	for _, row := range rows {
		tr := newSimulation(chooser.Config{SkipFactor: row.skip}, row.rule, row.cold, false)
		tr.run()
		report(row.name, tr)
		production = tr
	}
	require.Zero(t, production.overBound)
	baselines := make([]*simulation, len(chooser.Policies()))
	for _, p := range chooser.Policies()[1:] {
		baselines[p] = newSimulation(chooser.Config{Policy: p}, unbounded, false, false)
		baselines[p].run()
		report(p.String(), baselines[p])
	}
	require.Greater(t, production.reused, 5*baselines[chooser.Random].reused)
	bounded, _ := production.skew()
	hashed, _ := baselines[chooser.Hashing].skew()
	require.Less(t, bounded, hashed)
}
