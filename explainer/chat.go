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
	// Rank is the rank that the request asks for; empty means that of the organisation.
	Rank string
	// Chat is the caller's name for the chat; without it the messages identify the chat.
	Chat string
	// Request needs a model; messages and the bound of the answer give the cost.
	Request encoder.ChatRequest
	// Cost replaces the estimated cost if it is above 0, in tokens.
	Cost float64
}

// The sources of a chat's key.
const (
	KeyFromChat     = "chat"
	KeyFromMessages = "messages"
)

// Admission says what the agent of a candidate does with the request.
type Admission string

// The answers of an agent as far as its load is known.
const (
	// AdmissionUnknown means that no load entry of the candidate is known.
	AdmissionUnknown Admission = "unknown"
	AdmissionIdle    Admission = "admitted_idle"
	AdmissionWithin  Admission = "admitted_within_bound"
	// AdmissionEven means that the candidate is above the bound with the request, but at or below the mean without it.
	AdmissionEven    Admission = "admitted_at_or_below_mean"
	AdmissionRefused Admission = "refused"
	// AdmissionQueued means that the last candidate holds the request in its queue until the bound allows it.
	AdmissionQueued Admission = "queued"
)

// NoteDisplaced is the note of a candidate that the chat's own agent named because it had no room.
const NoteDisplaced = "named_by_first"

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
	// Mean is the mean of the running work and the backlog of the Known upstreams whose load is known, out of Members.
	Mean    float64 `json:"mean"`
	Known   int     `json:"known"`
	Members int     `json:"members"`
	// Limit is the work up to which an agent admits; zero means that there is no limit.
	Limit float64 `json:"limit"`
}

// Chat explains where a chat request goes.
type Chat struct {
	Configuration configurer.ID `json:"configuration"`
	Caller        Caller        `json:"caller"`
	Pool          Destination   `json:"pool"`
	Key           uint64        `json:"key,string"`
	KeyFrom       string        `json:"key_from"`
	// Cost is the work of the request in tokens.
	Cost  float64 `json:"cost"`
	Bound Bound   `json:"bound"`
	// Reason is that of the choice, and Why says it in a sentence.
	Reason   string    `json:"reason"`
	Why      string    `json:"why"`
	Attempts []Attempt `json:"attempts"`
	// Lands names the upstream of the first attempt that is not refused; it is empty if there is none.
	Lands string `json:"lands"`
	// Ranking lists all upstreams of the pool in the order of the chat; leaving ones come last.
	Ranking []chooser.Candidate `json:"ranking"`
	Notes   []string            `json:"notes"`
}

// Chat explains a chat request.
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
		return nil, unknown("model", q.Request.Model, models)
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

// choose fills in the decision.
func (e *Explainer) choose(out *Chat) {
	view := e.tracker.View(out.Pool.Name, e.now)
	explained := e.chooser.Explain(out.Key, out.Cost, view)
	mean := e.tracker.PoolLoad(out.Pool.Name, e.now)
	work := mean.LowerEstimate() + mean.Backlog()
	out.Bound = Bound{Multiple: e.bound, Known: mean.Known, Members: mean.Members}
	if mean.Known > 0 {
		out.Bound.Mean = work / float64(mean.Known)
		out.Bound.Limit = chooser.Limit(e.bound, work, mean.Known, out.Cost)
	}
	out.Reason, out.Ranking = explained.Choice.Reason, explained.Ranking
	out.Why = why(explained.Choice)
	e.attempt(out, explained.Choice.Order, work)
	if len(out.Attempts) > 0 && out.Attempts[0].Admission == AdmissionRefused {
		out.Why += fmt.Sprintf("; its agent is above the load bound and refuses, so %s takes the chat", out.Lands)
	}
	unreported := 0
	for _, u := range view {
		if !e.reported[u.Name] {
			unreported++
		}
	}
	if unreported > 0 {
		out.Notes = append(out.Notes, fmt.Sprintf("no load entry is given for %d of %d upstreams; they count as ready for long and not as loaded",
			unreported, len(view)))
	}
}

// attempt follows the attempts of a router until its candidates are used up.
func (e *Explainer) attempt(out *Chat, order []chooser.Candidate, demand float64) {
	out.Attempts = []Attempt{}
	for len(order) > 0 {
		cand := order[0]
		order = order[1:]
		first, last := len(out.Attempts) == 0, len(order) == 0
		a := Attempt{
			Number: len(out.Attempts) + 1, Upstream: cand.Name, Address: e.hosts[cand.Name].Address, Domain: cand.Domain,
			Note: cand.Note, Admission: admission(cand, out.Cost, out.Bound, demand),
		}
		if a.Admission == AdmissionRefused && last {
			a.Admission = AdmissionQueued
		}
		if a.Admission == AdmissionRefused && first {
			order = e.displace(out, cand.Name, order)
		}
		if out.Lands == "" && a.Admission != AdmissionRefused {
			out.Lands = cand.Name
		}
		out.Attempts = append(out.Attempts, a)
	}
}

// displace puts the upstream that the chat's own agent names when it has no room before the other candidates.
func (e *Explainer) displace(out *Chat, own string, order []chooser.Candidate) []chooser.Candidate {
	view := e.tracker.View(out.Pool.Name, e.now)
	for _, cand := range e.displacer.Choose(out.Key, out.Cost, view).Order {
		if cand.Name == own {
			continue
		}
		cand.Note = NoteDisplaced
		order = slices.DeleteFunc(order, func(c chooser.Candidate) bool { return c.Name == cand.Name })
		return slices.Insert(order, 0, cand)
	}
	return order
}

// admission applies the rule of the agent to what is known of its load.
func admission(cand chooser.Candidate, cost float64, bound Bound, demand float64) Admission {
	switch {
	case !cand.Known:
		return AdmissionUnknown
	case cand.Work <= 0:
		return AdmissionIdle
	case chooser.Admits(cand.Work, cost, bound.Limit):
		return AdmissionWithin
	case chooser.AtOrBelowMean(cand.Work, demand, bound.Known):
		return AdmissionEven
	default:
		return AdmissionRefused
	}
}

// why says the reason of a choice in a sentence.
func why(choice chooser.Choice) string {
	first := ""
	if len(choice.Order) > 0 {
		first = choice.Order[0].Name
	}
	own := ""
	if len(choice.Skipped) > 0 {
		own = choice.Skipped[0].Name
	}
	switch choice.Reason {
	case chooser.ReasonAffinity:
		return fmt.Sprintf("%s is first in the chat's order", first)
	case chooser.ReasonAboveBound:
		return fmt.Sprintf("%s is first in the chat's order, but known to be above the load bound, so %s leads", own, first)
	case chooser.ReasonSuspect:
		return fmt.Sprintf("%s is first in the chat's order, but did not answer in time, so %s leads", own, first)
	case chooser.ReasonDown:
		return fmt.Sprintf("%s is first in the chat's order, but down, so %s leads", own, first)
	case chooser.ReasonAllAboveBound:
		return fmt.Sprintf("every usable upstream is above the load bound, so the chat's order is followed from %s", first)
	case chooser.ReasonAllSuspect:
		return fmt.Sprintf("only suspect upstreams are left; %s is the first of them in the chat's order", first)
	case chooser.ReasonAllDown:
		return fmt.Sprintf("every upstream is down; %s is tried because it may be back", first)
	case chooser.ReasonNoCandidate:
		return "the pool has no upstream that takes new work"
	default:
		return fmt.Sprintf("policy %s puts %s first", choice.Reason, first)
	}
}
