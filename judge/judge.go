package judge

import (
	"errors"
	"fmt"
	"time"
)

// Verdict says whether a request may have run at an upstream.
type Verdict int

const (
	// MayHaveRun is the verdict when it is unknown whether the request ran; it is the zero value.
	MayHaveRun Verdict = iota
	// NotRun is the verdict of a request that did not run and will not run later.
	NotRun
	// Ran is the verdict of a request that the upstream ran, wholly or in part.
	Ran
)

var verdictNames = [...]string{MayHaveRun: "may_have_run", NotRun: "not_run", Ran: "ran"}

// String returns the name of the verdict in logs and on the wire.
func (v Verdict) String() string {
	if v < 0 || int(v) >= len(verdictNames) {
		return verdictNames[MayHaveRun]
	}
	return verdictNames[v]
}

// MarshalText encodes the verdict as its name.
func (v Verdict) MarshalText() ([]byte, error) {
	return []byte(v.String()), nil
}

// UnmarshalText decodes the name of a verdict and returns an error for any other text.
func (v *Verdict) UnmarshalText(text []byte) error {
	for i, name := range verdictNames {
		if name == string(text) {
			*v = Verdict(i)
			return nil
		}
	}
	return fmt.Errorf("unknown verdict %q: want not_run, may_have_run or ran", text)
}

// Reason is a short machine-readable cause of a refusal or failure.
type Reason string

// The reasons for which processes refuse or fail requests.
const (
	ReasonInvalid          Reason = "invalid_request"
	ReasonUnauthorised     Reason = "unauthorised"
	ReasonNotFound         Reason = "not_found"
	ReasonNoUpstream       Reason = "no_upstream"
	ReasonUnreachable      Reason = "unreachable"
	ReasonLoadBound        Reason = "load_bound"
	ReasonCachedElsewhere  Reason = "cached_elsewhere"
	ReasonQueueFull        Reason = "queue_full"
	ReasonOverload         Reason = "overload"
	ReasonPaused           Reason = "upstreams_paused"
	ReasonEvacuated        Reason = "evacuated"
	ReasonCold             Reason = "upstreams_cold"
	ReasonDeadline         Reason = "deadline"
	ReasonLeaving          Reason = "leaving"
	ReasonNotReady         Reason = "not_ready"
	ReasonNoCredit         Reason = "no_credit"
	ReasonSuspect          Reason = "crash_suspect"
	ReasonCrashesUpstream  Reason = "crashes_upstream"
	ReasonEngineCrashed    Reason = "engine_crashed"
	ReasonWrongVersion     Reason = "wrong_version"
	ReasonTimeout          Reason = "timeout"
	ReasonBroken           Reason = "connection_broken"
	ReasonRetryBudget      Reason = "retry_budget"
	ReasonTicketInvalid    Reason = "ticket_invalid"
	ReasonTicketExpired    Reason = "ticket_expired"
	ReasonOtherIncarnation Reason = "other_incarnation"
	ReasonKeyUnknown       Reason = "key_history_unknown"
	ReasonKeyReused        Reason = "key_reused"
	ReasonAnswerNotKept    Reason = "answer_not_kept"
	ReasonStreamLost       Reason = "stream_lost"
	ReasonInternal         Reason = "internal"
)

// Error is a refusal or failure together with its verdict.
type Error struct {
	Verdict Verdict
	Reason  Reason
	// RetryAfter is the delay after which a retry may succeed; zero means that none is known.
	RetryAfter time.Duration
	// Err is the cause; it is nil if Reason says all that is known.
	Err error
}

// Error describes the failure in one line.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s (%s)", e.Reason, e.Verdict)
	}
	return fmt.Sprintf("%s (%s): %v", e.Reason, e.Verdict, e.Err)
}

// Unwrap returns the cause, which may be nil.
func (e *Error) Unwrap() error {
	return e.Err
}

// Refuse returns an error whose verdict is NotRun.
func Refuse(reason Reason, format string, args ...any) *Error {
	return &Error{Verdict: NotRun, Reason: reason, Err: fmt.Errorf(format, args...)}
}

// Uncertain returns an error whose verdict is MayHaveRun.
func Uncertain(reason Reason, format string, args ...any) *Error {
	return &Error{Verdict: MayHaveRun, Reason: reason, Err: fmt.Errorf(format, args...)}
}

// VerdictOf returns the verdict of the first Error in the chain of err, or MayHaveRun if there is none.
func VerdictOf(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// ReasonOf returns the reason of the first Error in the chain of err, or ReasonInternal if there is none.
func ReasonOf(err error) Reason {
	var e *Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return ReasonInternal
}
