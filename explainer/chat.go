package explainer

import (
	"fmt"
	"slices"

	"github.com/gravitational/trace"

	"clementineramp/chooser"
	"clementineramp/configurer"
	"clementineramp/encoder"
)

// ChatQuery describes a chat request.
type ChatQuery struct {
	Organisation string
	// Rank is the rank that the request asks for; empty means the organisation's default rank.
	Rank string
	// Chat is the caller's name for the chat; if it is empty, the messages identify the chat.
	Chat string
	// Request must name a model; the cost is estimated from its messages and its maximum number of tokens.
	Request encoder.ChatRequest
	// Cost, in tokens, replaces the estimated cost if it is above 0.
	Cost float64
}

// The sources of a chat's key.
const (
	KeyFromChat     = "chat"
	KeyFromMessages = "messages"
)

// Admission is the decision of a candidate's agent about the request, as predicted from its load entry.
type Admission string

// The admission decisions.
const (
	// AdmissionUnknown means that the candidate's load is unknown.
	AdmissionUnknown     Admission = "unknown"
	AdmissionIdle        Admission = "admitted_idle"
	AdmissionWithinBound Admission = "admitted_within_bound"
	// AdmissionAtOrBelowMean means that the candidate is above the load limit with the request, but at or below the mean
	// without it.
	AdmissionAtOrBelowMean Admission = "admitted_at_or_below_mean"
	AdmissionRefused       Admission = "refused"
	// AdmissionQueued means that the last candidate queues the request until its load allows it.
	AdmissionQueued Admission = "queued"
)

// NoteRedirected is the note of a candidate to which the agent of the first candidate redirects the chat when it
// refuses it because of its load.
const NoteRedirected = "named_by_first"

// Attempt is one candidate that the router tries.
type Attempt struct {
	Number    int       `json:"number"`
	Upstream  string    `json:"upstream"`
	Address   string    `json:"address"`
	Domain    string    `json:"domain"`
	Note      string    `json:"note"`
	Admission Admission `json:"admission"`
}

// Bound is the load bound of a pool for one request, in tokens.
type Bound struct {
	Multiple float64 `json:"multiple"`
	// Mean is the mean of the running work and the backlog over the upstreams with known load. Known is the number of
	// these upstreams, and Members the number of all upstreams of the pool.
	Mean    float64 `json:"mean"`
	Known   int     `json:"known"`
	Members int     `json:"members"`
	// Limit is the work up to which an agent admits requests; zero means that there is no limit.
	Limit float64 `json:"limit"`
}

// Chat explains how a chat request is routed.
type Chat struct {
	Configuration configurer.ID `json:"configuration"`
	Caller        Caller        `json:"caller"`
	Pool          Destination   `json:"pool"`
	Key           uint64        `json:"key,string"`
	KeyFrom       string        `json:"key_from"`
	// Cost is the work of the request in tokens.
	Cost  float64 `json:"cost"`
	Bound Bound   `json:"bound"`
	// Reason is the reason code of the choice; Why explains it in a sentence.
	Reason   string    `json:"reason"`
	Why      string    `json:"why"`
	Attempts []Attempt `json:"attempts"`
	// RoutedTo names the upstream of the first attempt that is not refused; it is empty if there is none.
	RoutedTo string `json:"lands"`
	// Ranking lists all upstreams of the pool in the chat's preference order; leaving ones come last.
	Ranking []chooser.Candidate `json:"ranking"`
	Notes   []string            `json:"notes"`
}

// Chat explains a chat request. It returns an error if the query names an unknown organisation, rank or model, uses a
// rank that the organisation may not use, or identifies no chat.
func (e *Explainer) Chat(q ChatQuery) (*Chat, error) {
	caller, err := e.caller(q.Organisation, q.Rank)
	if err != nil {
		return nil, err
	}
	pool, ok := e.snapshot.PoolOfModel(q.Request.Model)
	if !ok {
		var models []string
		for _, p := range e.snapshot.Pools {
			models = append(models, p.Model)
		}
		return nil, unknownName("model", q.Request.Model, models)
	}
	if q.Chat == "" && len(q.Request.Messages) == 0 {
		return nil, trace.BadParameter("neither a chat nor messages are given, so the chat has no key")
	}
	out := &Chat{
		Configuration: e.snapshot.ID(), Caller: caller, Pool: e.destination(pool.Name),
		Key: q.Request.ChatKey(q.Organisation, q.Chat), KeyFrom: KeyFromChat,
		Cost: q.Request.Cost(), Notes: e.notes(),
	}
	out.Pool.Model, out.Pool.Version, out.Pool.Account = pool.Model, pool.Version, pool.Account
	if q.Chat == "" {
		out.KeyFrom = KeyFromMessages
	}
	if q.Cost > 0 {
		out.Cost = q.Cost
	}
	e.choose(out)
	return out, nil
}

// choose fills in the choice of the router, the load bound and the attempts.
func (e *Explainer) choose(out *Chat) {
	view := e.tracker.View(out.Pool.Name, e.now)
	explanation := e.chooser.Explain(out.Key, out.Cost, view)
	load := e.tracker.PoolLoad(out.Pool.Name, e.now)
	totalWork := load.LowerEstimate() + load.Backlog()
	out.Bound = Bound{Multiple: e.bound, Known: load.Known, Members: load.Members}
	if load.Known > 0 {
		out.Bound.Mean = totalWork / float64(load.Known)
		out.Bound.Limit = chooser.Limit(e.bound, totalWork, load.Known, out.Cost)
	}
	out.Reason, out.Ranking = explanation.Choice.Reason, explanation.Ranking
	out.Why = describeChoice(explanation.Choice)
	e.simulateAttempts(out, explanation.Choice.Order, totalWork)
	if len(out.Attempts) > 0 && out.Attempts[0].Admission == AdmissionRefused {
		out.Why += fmt.Sprintf("; its agent is above the load bound and refuses, so %s accepts the chat", out.RoutedTo)
	}
	unreported := 0
	for _, u := range view {
		if !e.reported[u.Name] {
			unreported++
		}
	}
	if unreported > 0 {
		out.Notes = append(out.Notes, fmt.Sprintf("no load entry is given for %d of %d upstreams; they are assumed to have full weight and to be within the load bound",
			unreported, len(view)))
	}
}

// simulateAttempts fills in the attempts that a router would make if every candidate failed.
func (e *Explainer) simulateAttempts(out *Chat, order []chooser.Candidate, totalWork float64) {
	out.Attempts = []Attempt{}
	for len(order) > 0 {
		cand := order[0]
		order = order[1:]
		first, last := len(out.Attempts) == 0, len(order) == 0
		a := Attempt{
			Number: len(out.Attempts) + 1, Upstream: cand.Name, Address: e.hosts[cand.Name].Address, Domain: cand.Domain,
			Note: cand.Note, Admission: admission(cand, out.Cost, out.Bound, totalWork),
		}
		if a.Admission == AdmissionRefused && last {
			a.Admission = AdmissionQueued
		}
		if a.Admission == AdmissionRefused && first {
			order = e.insertRedirect(out, cand.Name, order)
		}
		if out.RoutedTo == "" && a.Admission != AdmissionRefused {
			out.RoutedTo = cand.Name
		}
		out.Attempts = append(out.Attempts, a)
	}
}

// insertRedirect moves the upstream to which the agent of first redirects a refused chat to the front of the remaining
// candidates.
func (e *Explainer) insertRedirect(out *Chat, first string, order []chooser.Candidate) []chooser.Candidate {
	view := e.tracker.View(out.Pool.Name, e.now)
	for _, cand := range e.agentChooser.Choose(out.Key, out.Cost, view).Order {
		if cand.Name == first {
			continue
		}
		cand.Note = NoteRedirected
		order = slices.DeleteFunc(order, func(c chooser.Candidate) bool { return c.Name == cand.Name })
		return slices.Insert(order, 0, cand)
	}
	return order
}

// admission applies the agent's admission rule to the known load of a candidate.
func admission(cand chooser.Candidate, cost float64, bound Bound, totalWork float64) Admission {
	switch {
	case !cand.Known:
		return AdmissionUnknown
	case cand.Work <= 0:
		return AdmissionIdle
	case chooser.Admits(cand.Work, cost, bound.Limit):
		return AdmissionWithinBound
	case chooser.AtOrBelowMean(cand.Work, totalWork, bound.Known):
		return AdmissionAtOrBelowMean
	default:
		return AdmissionRefused
	}
}

// describeChoice returns the reason of a choice as a sentence.
func describeChoice(choice chooser.Choice) string {
	first := ""
	if len(choice.Order) > 0 {
		first = choice.Order[0].Name
	}
	preferred := ""
	if len(choice.Skipped) > 0 {
		preferred = choice.Skipped[0].Name
	}
	switch choice.Reason {
	case chooser.ReasonAffinity:
		return fmt.Sprintf("%s is first in the chat's preference order", first)
	case chooser.ReasonAboveBound:
		return fmt.Sprintf("%s is first in the chat's preference order, but known to be above the load bound, so %s is tried first", preferred, first)
	case chooser.ReasonSuspect:
		return fmt.Sprintf("%s is first in the chat's preference order, but did not respond in time, so %s is tried first", preferred, first)
	case chooser.ReasonDown:
		return fmt.Sprintf("%s is first in the chat's preference order, but down, so %s is tried first", preferred, first)
	case chooser.ReasonAllAboveBound:
		return fmt.Sprintf("every usable upstream is above the load bound, so the chat's preference order applies, starting with %s", first)
	case chooser.ReasonAllSuspect:
		return fmt.Sprintf("only suspect upstreams are left; %s is the first of them in the chat's preference order", first)
	case chooser.ReasonAllDown:
		return fmt.Sprintf("every upstream is down; %s is tried because it may have recovered", first)
	case chooser.ReasonNoCandidate:
		return "the pool has no upstream that accepts new work"
	default:
		return fmt.Sprintf("policy %s puts %s first", choice.Reason, first)
	}
}
