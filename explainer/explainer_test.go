package explainer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	"clementineramp/chooser"
	"clementineramp/compiler"
	"clementineramp/configurer"
	"clementineramp/encoder"
	"clementineramp/explainer"
	"clementineramp/subscriber"
	"clementineramp/ticketer"
	"clementineramp/tracker"
)

const sheetText = `version,number
version,412
rank,name,target,worth,share
rank,urgent,440ms,100,0.5
rank,batch,1m,1,0.1
pool,name,model,version,floor
pool,vavrad,clementine-8b,2026-12-01,0.75
service,name,workers,horizon
service,bestall,bestall-1 bestall-2 bestall-3,10m
organisation,name,key_hash,rank,ranks,weight
organisation,Kvarnby,ffbcb78bd3725651d1942db437b733f498bb5648f20109792d15dfc223c01b60,batch,urgent,3
organisation,Sjövik,044b03be761f83cd6ffb81065f8ce7c7f9c94bf7efe321e159be1cbb4c12a0f4,batch,,
`

func sheet(t testing.TB) *compiler.Sheet {
	t.Helper()
	s, err := compiler.Compile(compiler.Source{Name: "sheet.csv", Data: []byte(sheetText)})
	require.NoError(t, err)
	return s
}

func agent(upstream string, i int) subscriber.Host {
	return subscriber.Host{
		Name: fmt.Sprintf("%s-%d", upstream, i), Address: fmt.Sprintf("127.0.0.1:%d", 9000+i),
		Domain: fmt.Sprintf("d%d", i%3), Role: subscriber.RoleAgent, Upstream: upstream, State: subscriber.StateLive,
	}
}

func hosts(engines int) []subscriber.Host {
	list := []subscriber.Host{{Name: "router-1", Address: "127.0.0.1:1", Domain: "d0", Role: subscriber.RoleRouter, State: subscriber.StateLive}}
	for i := range engines {
		list = append(list, agent("vavrad", i+1))
	}
	for i := range 3 {
		list = append(list, agent("bestall", i+1))
	}
	return list
}

func newExplainer(t testing.TB, cfg explainer.Config) *explainer.Explainer {
	t.Helper()
	cfg.Sheet = sheet(t)
	e, err := explainer.New(cfg)
	require.NoError(t, err)
	return e
}

func chatQuery(chat string) explainer.ChatQuery {
	return explainer.ChatQuery{
		Organisation: "Kvarnby", Chat: chat, Request: encoder.ChatRequest{Model: "clementine-8b", MaxTokens: 100},
	}
}

// Guards against an explanation that lists other upstreams than a router with the same state would try.
func TestChatAgreesWithRouter(t *testing.T) {
	load := []encoder.LoadEntry{
		{Upstream: "vavrad-1", Work: 4000, AgeMS: 100, UptimeMS: 3_600_000},
		{Upstream: "vavrad-2", Work: 200, AgeMS: 900, UptimeMS: 3_600_000},
		{Upstream: "vavrad-3", Work: 700, AgeMS: 20_000, UptimeMS: 3_600_000},
		{Upstream: "vavrad-4", Work: 300, AgeMS: 50, UptimeMS: 4000},
		{Upstream: "vavrad-5", Leaving: true},
	}
	observed := []tracker.Observation{{Upstream: "vavrad-6", Outcome: tracker.ConnectionRefused}}
	cfg := explainer.Config{Hosts: hosts(8), Load: load, Observations: observed, Routing: chooser.Config{Bound: 1.5, Attempts: 4}}
	e := newExplainer(t, cfg)

	now := time.Unix(1_000_000, 0)
	table := tracker.New(tracker.Config{})
	var list []tracker.Host
	for _, h := range cfg.Hosts {
		if h.Role == subscriber.RoleAgent {
			list = append(list, tracker.Host{Name: h.Name, Pool: h.Upstream, Domain: h.Domain})
		}
	}
	table.UpdateHosts(list, now)
	table.Merge(load, now)
	table.Observe(observed[0], now)
	// Package launcher sets this factor for routers.
	cfg.Routing.SkipFactor = 1e6
	router, err := chooser.New(cfg.Routing)
	require.NoError(t, err)
	agentChooser, err := chooser.New(chooser.Config{Bound: cfg.Routing.Bound})
	require.NoError(t, err)

	reasons, redirected := map[string]int{}, 0
	for i := range 300 {
		q := chatQuery(fmt.Sprint("chat-", i))
		got, err := e.Chat(q)
		require.NoError(t, err)
		key, view := q.Request.ChatKey("Kvarnby", q.Chat), table.View("vavrad", now)
		want := router.Choose(key, q.Request.Cost(), view)
		order := names(want.Order)
		if got.Attempts[0].Admission == explainer.AdmissionRefused {
			// The agent that refuses names the first of its own candidates that is another engine.
			agentOrder := names(agentChooser.Choose(key, q.Request.Cost(), view).Order)
			agentOrder = slices.DeleteFunc(agentOrder, func(n string) bool { return n == order[0] })
			rest := slices.DeleteFunc(order[1:], func(n string) bool { return n == agentOrder[0] })
			order = append([]string{want.Order[0].Name, agentOrder[0]}, rest...)
			require.Equal(t, explainer.NoteRedirected, got.Attempts[1].Note)
			redirected++
		}
		var attempts []string
		for _, a := range got.Attempts {
			attempts = append(attempts, a.Upstream)
		}
		require.Equal(t, order, attempts)
		require.Equal(t, want.Reason, got.Reason)
		require.Len(t, got.Ranking, 8)
		reasons[got.Reason]++
	}
	require.NotZero(t, reasons[chooser.ReasonAffinity])
	require.NotZero(t, reasons[chooser.ReasonDown])
	require.NotZero(t, redirected)
}

func names(order []chooser.Candidate) []string {
	var out []string
	for _, c := range order {
		out = append(out, c.Name)
	}
	return out
}

// Guards against a predicted admission that differs from the agent's admission rule.
func TestAdmission(t *testing.T) {
	tests := []struct {
		name string
		work [3]float64
		cost float64
		// want is the admission at vavrad-1, whose work is work[0].
		want explainer.Admission
	}{
		{"idle", [3]float64{0, 1000, 1000}, 5000, explainer.AdmissionIdle},
		{"within", [3]float64{1000, 1100, 1100}, 50, explainer.AdmissionWithinBound},
		{"at or below mean", [3]float64{1000, 1000, 1000}, 1000, explainer.AdmissionAtOrBelowMean},
		{"refused", [3]float64{1300, 1000, 1000}, 200, explainer.AdmissionRefused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var load []encoder.LoadEntry
			for i, w := range tt.work {
				load = append(load, encoder.LoadEntry{Upstream: fmt.Sprintf("vavrad-%d", i+1), Work: w, UptimeMS: 3_600_000})
			}
			e := newExplainer(t, explainer.Config{Hosts: hosts(3), Load: load})
			seen := false
			for i := range 20 {
				q := chatQuery(fmt.Sprint(i))
				q.Cost = tt.cost
				chat, err := e.Chat(q)
				require.NoError(t, err)
				for _, a := range chat.Attempts {
					if a.Upstream != "vavrad-1" {
						continue
					}
					want := tt.want
					if want == explainer.AdmissionRefused && a.Number == len(chat.Attempts) {
						want = explainer.AdmissionQueued
					}
					require.Equal(t, want, a.Admission)
					seen = true
				}
				if want := chat.Attempts[0]; want.Admission != explainer.AdmissionRefused {
					require.Equal(t, want.Upstream, chat.RoutedTo)
				} else {
					require.NotEqual(t, want.Upstream, chat.RoutedTo)
				}
			}
			require.True(t, seen)
		})
	}
}

// Guards against a chat key that changes from one turn of the chat to the next.
func TestChatKey(t *testing.T) {
	e := newExplainer(t, explainer.Config{Hosts: hosts(5)})
	q := chatQuery("")
	q.Request.Messages = []encoder.Message{{Role: "user", Content: "hello"}}
	first, err := e.Chat(q)
	require.NoError(t, err)
	q.Request.Messages = append(q.Request.Messages, encoder.Message{Role: "assistant", Content: "hi"}, encoder.Message{Role: "user", Content: "more"})
	second, err := e.Chat(q)
	require.NoError(t, err)
	require.Equal(t, explainer.KeyFromMessages, first.KeyFrom)
	require.Equal(t, first.Key, second.Key)
	require.Equal(t, first.RoutedTo, second.RoutedTo)
	require.Greater(t, second.Cost, first.Cost)
}

func TestNoCandidate(t *testing.T) {
	list := hosts(1)
	list[1].State = subscriber.StateLeaving
	chat, err := newExplainer(t, explainer.Config{Hosts: list}).Chat(chatQuery("1"))
	require.NoError(t, err)
	require.Equal(t, chooser.ReasonNoCandidate, chat.Reason)
	require.Empty(t, chat.Attempts)
	require.Empty(t, chat.RoutedTo)
	require.Equal(t, 1, chat.Pool.Leaving)
}

func TestOrganisation(t *testing.T) {
	e := newExplainer(t, explainer.Config{Hosts: hosts(2)})
	o, err := e.Organisation("Kvarnby")
	require.NoError(t, err)
	require.Equal(t, "organisations-000", o.Part.Name)
	require.Len(t, o.Ranks, 2)
	require.Equal(t, "urgent", o.Ranks[0].Name)
	require.False(t, o.Ranks[0].Default)
	require.InDelta(t, 1, o.Ranks[0].FairShare, 0)
	require.True(t, o.Ranks[1].Default)
	require.Equal(t, 2, o.Ranks[1].Organisations)
	require.InDelta(t, 0.75, o.Ranks[1].FairShare, 0)
	require.Equal(t, 2, o.Pools[0].Agents)
	require.Empty(t, o.Notes)
}

// Guards against unknown names and invalid load entries that are accepted instead of reported.
func TestInvalidInput(t *testing.T) {
	e := newExplainer(t, explainer.Config{Hosts: hosts(2)})
	edit := func(f func(*explainer.ChatQuery)) error {
		q := chatQuery("1")
		f(&q)
		_, err := e.Chat(q)
		return err
	}
	require.ErrorContains(t, edit(func(q *explainer.ChatQuery) { q.Organisation = "Kvarnbi" }), `did you mean "Kvarnby"?`)
	require.ErrorContains(t, edit(func(q *explainer.ChatQuery) { q.Request.Model = "clementine-8" }), `did you mean "clementine-8b"?`)
	require.ErrorContains(t, edit(func(q *explainer.ChatQuery) { q.Rank = "urgnt" }), `did you mean "urgent"?`)
	require.ErrorContains(t, edit(func(q *explainer.ChatQuery) { q.Chat = "" }), "no key")
	err := edit(func(q *explainer.ChatQuery) { q.Organisation, q.Rank = "Sjövik", "urgent" })
	require.True(t, trace.IsAccessDenied(err), "%v", err)
	_, err = e.Order(explainer.OrderQuery{Organisation: "Kvarnby", Service: "bestal"})
	require.ErrorContains(t, err, `did you mean "bestall"?`)

	for _, load := range []encoder.LoadEntry{{Upstream: "vavrad-9"}, {Upstream: "vavrad-1", Work: -1}, {Upstream: "router-1"}} {
		_, err := explainer.New(explainer.Config{Sheet: sheet(t), Hosts: hosts(2), Load: []encoder.LoadEntry{load}})
		require.ErrorContains(t, err, "load entry", load)
	}
	_, err = explainer.New(explainer.Config{Sheet: sheet(t), Hosts: hosts(2), Observations: []tracker.Observation{{Upstream: "x"}}})
	require.ErrorContains(t, err, "observation")
}

// Guards against an explanation that names another agent for an order than the one that routers choose.
func TestOrder(t *testing.T) {
	list := hosts(1)
	list[len(list)-1].State = subscriber.StateLeaving
	load := []encoder.LoadEntry{{Upstream: "bestall-1", Work: 2, UptimeMS: 60_000}, {Upstream: "bestall-2", Work: 1, UptimeMS: 60_000}}
	e := newExplainer(t, explainer.Config{Hosts: list[:len(list)-1], Load: load})
	workers := []string{"bestall-1", "bestall-2", "bestall-3"}
	owners := map[string]int{}
	for i := range 60 {
		key := fmt.Sprint("order-", i)
		o, err := e.Order(explainer.OrderQuery{Organisation: "Kvarnby", Service: "bestall", Key: key})
		require.NoError(t, err)
		require.Equal(t, explainer.KeyCaller, o.KeyKind)
		require.Equal(t, ticketer.Owner(ticketer.Key{Organisation: "Kvarnby", Text: key}, workers), o.Owner)
		require.Len(t, o.Workers, 3)
		if o.Owner == "bestall-3" {
			// This worker is missing from the host list, which does not change the owner of the key.
			require.Empty(t, o.RoutedTo)
			require.Contains(t, o.Notes[len(o.Notes)-1], "not in the host list")
		} else {
			require.Equal(t, o.Owner, o.RoutedTo)
		}
		owners[o.Owner]++
	}
	require.Len(t, owners, 3)

	ticket := ticketer.Ticket{Service: "bestall", Agent: "bestall-2", Incarnation: 7, Serial: 3, MAC: make([]byte, 16)}
	o, err := e.Order(explainer.OrderQuery{Organisation: "Kvarnby", Service: "bestall", Key: ticket.String()})
	require.NoError(t, err)
	require.Equal(t, explainer.KeyTicket, o.KeyKind)
	require.Equal(t, "bestall-2", o.Owner)

	o, err = e.Order(explainer.OrderQuery{Organisation: "Kvarnby", Service: "bestall", Key: "cr1-broken"})
	require.NoError(t, err)
	require.Equal(t, explainer.KeyCaller, o.KeyKind)
	require.Contains(t, fmt.Sprint(o.Notes), "has the prefix of a ticket but is not a valid ticket")

	o, err = e.Order(explainer.OrderQuery{Organisation: "Kvarnby", Service: "bestall"})
	require.NoError(t, err)
	require.Equal(t, explainer.KeyNone, o.KeyKind)
	require.Empty(t, o.Owner)
	require.Equal(t, "bestall-2", o.RoutedTo)

	o, err = newExplainer(t, explainer.Config{Hosts: list}).Order(explainer.OrderQuery{Organisation: "Kvarnby", Service: "bestall"})
	require.NoError(t, err)
	require.Equal(t, "bestall-1", o.RoutedTo)
	require.Equal(t, subscriber.StateLeaving, o.Workers[2].State)
}

func TestMismatches(t *testing.T) {
	s := sheet(t)
	snapshot, err := configurer.Load(s.Manifest, s.Part)
	require.NoError(t, err)
	require.Empty(t, explainer.Mismatches(snapshot, hosts(1)))
	list := hosts(0)[:3]
	list = append(list, agent("bestall", 4), agent("vavrat", 1))
	require.Equal(t, []string{
		`host bestall-4 serves "bestall", but the sheet does not list it as a worker`,
		`host vavrat-1 serves "vavrat", which is neither a pool nor a service of the sheet`,
		`pool "vavrad" has no host`,
		`worker bestall-3 of service "bestall" is not a host that serves it`,
	}, explainer.Mismatches(snapshot, list))
}
