package quarantiner

import (
	"fmt"
	"strings"
	"time"

	"clementineramp/judge"
)

// Action is the kind of a decision; it is logged under the key "action".
type Action string

// The actions are named after the methods of Quarantine; ActionRefuse comes from Admit or Begin.
const (
	ActionAdmit  Action = "admit"
	ActionRefuse Action = "refuse"
	ActionBegin  Action = "begin"
	ActionAbort  Action = "leave"
	ActionFinish Action = "finish"
	ActionCrash  Action = "crash"
	ActionMerge  Action = "merge"
)

// Decision describes the latest decision of a Quarantine for logs and tests.
type Decision struct {
	Action Action
	// Fingerprint identifies the request; after a crash it is the blocked one, or 0 if none was blocked.
	Fingerprint Fingerprint
	// Suspect reports whether the request is handled as a suspect one, of which only one runs at a time.
	Suspect bool
	// Mark is the mark that this agent has stored for the request.
	Mark int
	// Reason and RetryAfter are set for a refusal.
	Reason     judge.Reason
	RetryAfter time.Duration
	// Blocked reports whether the crash blocked a request.
	Blocked bool
	// SuspectsRunning is the number of distinct suspect requests that were running at the crash.
	SuspectsRunning int
	// MarksAdded counts the marks that a crash or a merge added, Unmarked the running requests that got no mark at the crash.
	MarksAdded, Unmarked int
	// Running is the number of runs in progress after the decision.
	Running int
	// Records is the number of requests with a record, Dropped the number of records evicted or not stored because
	// MaxMarks was reached, since the start.
	Records, Dropped int
}

// LastDecision returns the latest decision; it is the zero value before the first one.
func (q *Quarantine) LastDecision() Decision { return q.decision }

func (q *Quarantine) setDecision(now time.Time, d Decision) {
	if d.Fingerprint != 0 {
		d.Mark = q.mark(now, d.Fingerprint)
	}
	d.Running, d.Records, d.Dropped = len(q.running), len(q.records), q.dropped
	q.decision = d
}

// Pairs returns the fields of the decision that apply to its action, as alternating keys and values for a structured logger.
func (d Decision) Pairs() []any {
	pairs := []any{"action", string(d.Action)}
	switch d.Action {
	case ActionCrash:
		pairs = append(pairs, "marked_running", d.SuspectsRunning, "marks_given", d.MarksAdded, "spared", d.Unmarked)
		if d.Blocked {
			pairs = append(pairs, "convicted", d.Fingerprint.String(), "mark", d.Mark)
		}
	case ActionMerge:
		pairs = append(pairs, "marks_added", d.MarksAdded)
	default:
		pairs = append(pairs, "fingerprint", d.Fingerprint.String(), "marked", d.Suspect, "mark", d.Mark)
	}
	if d.Reason != "" {
		pairs = append(pairs, "reason", string(d.Reason), "retry_after", d.RetryAfter)
	}
	return append(pairs, "running", d.Running, "known", d.Records, "dropped", d.Dropped)
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
