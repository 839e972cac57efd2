package quarantiner

import (
	"fmt"
	"strings"
	"time"

	"clementineramp/judge"
)

// Action is what a decision does.
type Action string

// The actions of a decision.
const (
	ActionAdmit  Action = "admit"
	ActionRefuse Action = "refuse"
	ActionBegin  Action = "begin"
	ActionAbort  Action = "leave"
	ActionFinish Action = "finish"
	ActionCrash  Action = "crash"
	ActionMerge  Action = "merge"
)

// Decision explains the latest decision of a Quarantine.
type Decision struct {
	Action Action
	// Fingerprint is the request; for a crash it is the convicted one, if any.
	Fingerprint Fingerprint
	// Marked says that the request counts as marked.
	Marked bool
	// Mark is the mark of the request at this agent.
	Mark int
	// Reason is the cause of a refusal.
	Reason     judge.Reason
	RetryAfter time.Duration
	// Blocked says that the crash convicted a request.
	Blocked bool
	// MarkedRunning is the number of marked requests that ran at the crash.
	MarkedRunning int
	// MarksAdded counts the marks that a crash gave or a merge added, and Unmarked the requests without a mark from the crash.
	MarksAdded, Unmarked int
	// Running is the number of runs after the decision.
	Running int
	// Known is the number of requests with a mark or conviction, and Dropped that of the records dropped for room so far.
	Known, Dropped int
}

// Explain returns the latest decision.
func (q *Quarantine) Explain() Decision { return q.decision }

func (q *Quarantine) setDecision(now time.Time, d Decision) {
	if d.Fingerprint != 0 {
		d.Mark = q.mark(now, d.Fingerprint)
	}
	d.Running, d.Known, d.Dropped = len(q.running), len(q.records), q.dropped
	q.decision = d
}

// Pairs returns the fields of the decision as alternating keys and values for a structured logger.
func (d Decision) Pairs() []any {
	pairs := []any{"action", string(d.Action)}
	switch d.Action {
	case ActionCrash:
		pairs = append(pairs, "marked_running", d.MarkedRunning, "marks_given", d.MarksAdded, "spared", d.Unmarked)
		if d.Blocked {
			pairs = append(pairs, "convicted", d.Fingerprint.String(), "mark", d.Mark)
		}
	case ActionMerge:
		pairs = append(pairs, "marks_added", d.MarksAdded)
	default:
		pairs = append(pairs, "fingerprint", d.Fingerprint.String(), "marked", d.Marked, "mark", d.Mark)
	}
	if d.Reason != "" {
		pairs = append(pairs, "reason", string(d.Reason), "retry_after", d.RetryAfter)
	}
	return append(pairs, "running", d.Running, "known", d.Known, "dropped", d.Dropped)
}

// String returns the decision as one line of key=value fields.
func (d Decision) String() string {
	var b strings.Builder
	pairs := d.Pairs()
	for i := 0; i < len(pairs); i += 2 {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s=%v", pairs[i], pairs[i+1])
	}
	return b.String()
}
