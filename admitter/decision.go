package admitter

import (
	"fmt"
	"strings"
	"time"

	"clementineramp/judge"
)

// Action is the kind of a decision; it is logged under the key "action".
type Action string

// The actions of a decision. ActionPreempt starts a preemption and ActionPaused completes it; ActionEvict removes a
// request from a full queue, and ActionExpire one whose queue time or deadline has passed.
const (
	ActionQueue   Action = "queue"
	ActionRefuse  Action = "refuse"
	ActionEvict   Action = "evict"
	ActionExpire  Action = "expire"
	ActionStart   Action = "start"
	ActionResume  Action = "resume"
	ActionPreempt Action = "preempt"
	ActionPaused  Action = "paused"
	ActionDone    Action = "done"
	ActionCancel  Action = "cancel"
)

// Decision describes one decision of an Admitter and the load of the engine after it.
type Decision struct {
	Action             Action
	ID                 uint64
	Rank, Organisation string
	// Reason is the cause of a refusal.
	Reason judge.Reason
	// Cause is why a request started: below_share if its rank was below its guaranteed share, otherwise most_urgent.
	Cause string
	// PreemptedFor is the ID of the waiting request for which another one is preempted; zero for other actions.
	PreemptedFor uint64
	// Cost is the estimated work, and Work the work that a finished request did or that a paused one has left, in tokens.
	Cost, Work float64
	// Deficit is the work by which the rank was below its guaranteed share, in tokens.
	Deficit    float64
	RetryAfter time.Duration
	// EngineWork is the work of the running requests, and Limit the load limit, in tokens.
	EngineWork, Limit       float64
	Running, Slots, Waiting int
}

// LastDecision returns the latest decision; it is the zero value before the first one.
func (a *Admitter) LastDecision() Decision { return a.lastDecision }

func (a *Admitter) recordDecision(d Decision, e *entry) {
	d.ID, d.Rank, d.Organisation, d.Cost = e.req.ID, e.rank.name, e.req.Organisation, e.req.Cost
	d.EngineWork, d.Limit = a.work, a.limit
	d.Running, d.Slots, d.Waiting = len(a.running), a.cfg.Slots, a.Waiting()
	a.lastDecision = d
}

// Pairs returns the fields that apply to the decision as alternating keys and values for a structured logger.
func (d Decision) Pairs() []any {
	pairs := []any{"action", string(d.Action), "id", d.ID, "rank", d.Rank, "organisation", d.Organisation, "cost", d.Cost}
	if d.Reason != "" {
		pairs = append(pairs, "reason", string(d.Reason), "retry_after", d.RetryAfter)
	}
	if d.Cause != "" {
		pairs = append(pairs, "cause", d.Cause, "deficit", d.Deficit)
	}
	if d.PreemptedFor != 0 {
		pairs = append(pairs, "for", d.PreemptedFor, "deficit", d.Deficit)
	}
	if d.Action == ActionDone || d.Action == ActionPaused {
		pairs = append(pairs, "work", d.Work)
	}
	return append(pairs, "engine_work", d.EngineWork, "limit", d.Limit,
		"running", d.Running, "slots", d.Slots, "waiting", d.Waiting)
}

// String returns the decision as one line of key=value fields.
func (d Decision) String() string {
	var b strings.Builder
	pairs := d.Pairs()
	for i := 0; i < len(pairs); i += 2 {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s=", pairs[i])
		switch v := pairs[i+1].(type) {
		case string:
			// Quoting prevents a caller-supplied name from injecting fields.
			fmt.Fprintf(&b, "%q", v)
		case float64:
			fmt.Fprintf(&b, "%.0f", v)
		default:
			fmt.Fprint(&b, v)
		}
	}
	return b.String()
}
