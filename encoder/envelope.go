package encoder

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"clementineramp/judge"
)

// Names of the headers between the processes of the fleet.
const (
	// EnvelopeHeader carries an Envelope from a router to an agent.
	EnvelopeHeader = "Clementine-Envelope"
	// ReportHeader carries a Report from an agent to a router.
	ReportHeader = "Clementine-Report"
	// StreamHeader carries the StreamID of the answer.
	StreamHeader = "Clementine-Stream"
	// SignatureHeader authenticates an Envelope with the fleet's shared key.
	SignatureHeader = "Clementine-Signature"
	// VersionHeader carries the version of the model that generates the answer.
	VersionHeader = "Clementine-Model-Version"
	// AnswerHeader marks a response that comes from the upstream, whatever its status, and not from the agent.
	AnswerHeader = "Clementine-Answer"
)

// maxNameBytes is the maximum length of the name of a process.
const maxNameBytes = 256

// MaxHeadBytes bounds the heads of a response that a client of the fleet receives, in bytes. That of net/http is 10 MB for each
// request.
const MaxHeadBytes = 64 << 10

// maxHeaderBytes is the maximum size of a decoded header, so that a faulty peer cannot cause unlimited allocation.
const maxHeaderBytes = 16 << 10

// maxMS is the longest time in milliseconds that does not overflow a time.Duration.
const maxMS = math.MaxInt64 / int64(time.Millisecond)

// Envelope is the metadata that a router sends to an agent with a request.
type Envelope struct {
	RequestID    string `json:"request_id"`
	Organisation string `json:"organisation"`
	Rank         string `json:"rank"`
	ChatKey      uint64 `json:"chat_key,string"`
	// DeadlineMS is the time left until the first byte of the answer is due, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
	// Attempt is the number of agents tried before this one.
	Attempt int `json:"attempt"`
	// LastAttempt means that no further agent will be tried, so that the request may wait in this agent's queue.
	LastAttempt bool `json:"last,omitempty"`
	// Preferred means that the agent's upstream is the first in the chat's preference order.
	Preferred bool `json:"home,omitempty"`
	// Advised means that another agent refused the request and named this one as the next to try, because it has the
	// chat's prefix in its cache or has capacity.
	Advised bool `json:"advised,omitempty"`
	// Holder names the engine that runs a chat, in a message that notifies the first agent in the chat's preference order.
	Holder string `json:"holder,omitempty"`
	// Mark is the number of engine crashes during which the request was in flight.
	Mark int `json:"mark,omitempty"`
	// Offset is the number of events of the answer that the caller already has.
	Offset int `json:"offset,omitempty"`
	// Version is the model version that generated the start of the answer; empty means any.
	Version string `json:"version,omitempty"`
	// Service names the plain service of an order, and is empty for a chat.
	Service string `json:"service,omitempty"`
	// Key is the idempotency key or ticket of an order; empty means that only one attempt is made.
	Key string `json:"key,omitempty"`
	// ConfigVersion is the version of the configuration with which the router chose the agent.
	ConfigVersion uint64 `json:"config_version,omitempty"`
	// Fleet is the history of the fleet as known to the router; it is sent with orders only.
	Fleet FleetHistory `json:"fleet,omitzero"`
	// Load holds the most recent entries of the sender's load table.
	Load LoadEntries `json:"load,omitempty"`
}

// Deadline returns the time left until the first byte is due.
func (e Envelope) Deadline() time.Duration {
	return time.Duration(e.DeadlineMS) * time.Millisecond
}

// check returns an error that names the first field of the envelope that is missing or out of range.
func (e Envelope) check() error {
	switch {
	case e.RequestID == "":
		return fmt.Errorf("field request_id is missing")
	case e.Attempt < 0:
		return fmt.Errorf("field attempt is %d, want 0 or more", e.Attempt)
	case e.Offset < 0:
		return fmt.Errorf("field offset is %d, want 0 or more", e.Offset)
	case e.DeadlineMS > maxMS:
		return fmt.Errorf("field deadline_ms is %d, want at most %d", e.DeadlineMS, maxMS)
	case e.Mark < 0:
		return fmt.Errorf("field mark is %d, want 0 or more", e.Mark)
	}
	if err := e.Fleet.Check(); err != nil {
		return err
	}
	return e.Load.check()
}

// reportHeaderOverhead is the size of the name of the report header and its separators, in bytes.
const reportHeaderOverhead = len(ReportHeader) + len(": \r\n")

// ReportBytes returns the size in bytes of the report in a header or trailer, with the header's name; 0 means that
// there is no report.
func ReportBytes(h http.Header) int {
	n := len(h.Get(ReportHeader))
	if n == 0 {
		return 0
	}
	return n + reportHeaderOverhead
}

// Report is the load that an agent reports to a router with an answer or refusal.
type Report struct {
	// Self is the entry of the agent's own upstream.
	Self LoadEntry
	// Load holds the most recent entries of other upstreams.
	Load LoadEntries
}

// reportJSON is the wire form of a report; the first entry is that of the agent's own upstream.
type reportJSON struct {
	Load LoadEntries `json:"load"`
}

// MarshalJSON encodes the report.
func (r Report) MarshalJSON() ([]byte, error) {
	return json.Marshal(reportJSON{append(LoadEntries{r.Self}, r.Load...)})
}

// UnmarshalJSON decodes a report and checks its entries; the first entry is required.
func (r *Report) UnmarshalJSON(data []byte) error {
	var w reportJSON
	if err := json.Unmarshal(data, &w); err != nil {
		return err
	}
	if len(w.Load) == 0 {
		return fmt.Errorf("report: field load is empty")
	}
	r.Self, r.Load = w.Load[0], w.Load[1:]
	return nil
}

func (r Report) check() error {
	if err := r.Self.check(); err != nil {
		return err
	}
	return r.Load.check()
}

// checker is a wire type that checks the values of its fields.
type checker interface {
	check() error
}

// EncodeHeader encodes a value as JSON for a header, in printable ASCII only.
func EncodeHeader[T checker](v T) string {
	b, err := json.Marshal(v)
	if err != nil {
		// Not expected: the wire types hold only strings and finite numbers.
		return ""
	}
	return escapeNonASCII(string(b))
}

// escapeNonASCII escapes the runes of JSON text that are not allowed in a header: DEL and everything beyond ASCII.
func escapeNonASCII(s string) string {
	// QuoteToASCII adds two quotes and a backslash before each quote and backslash; more bytes mean that it escaped a rune.
	q := strconv.QuoteToASCII(s)
	if len(q) == len(s)+2+strings.Count(s, `"`)+strings.Count(s, `\`) {
		return s
	}
	var b strings.Builder
	for _, r := range s {
		// JSON allows DEL in a string, but HTTP forbids it in a header.
		if r < 0x7f {
			b.WriteRune(r)
			continue
		}
		if r > 0xffff {
			r -= 0x10000
			fmt.Fprintf(&b, `\u%04x\u%04x`, 0xd800+(r>>10), 0xdc00+(r&0x3ff))
			continue
		}
		fmt.Fprintf(&b, `\u%04x`, r)
	}
	return b.String()
}

// DecodeHeader decodes and checks a value from the header with a name. A header that is missing or larger than 16 KiB
// is an error.
func DecodeHeader[T checker](h http.Header, name string) (T, error) {
	var v T
	text := h.Get(name)
	if text == "" {
		return v, fmt.Errorf("header %s is missing", name)
	}
	if len(text) > maxHeaderBytes {
		return v, fmt.Errorf("header %s has %d bytes, want at most %d", name, len(text), maxHeaderBytes)
	}
	if err := json.Unmarshal([]byte(text), &v); err != nil {
		return v, fmt.Errorf("header %s: %w", name, err)
	}
	if err := v.check(); err != nil {
		return v, fmt.Errorf("header %s: %w", name, err)
	}
	return v, nil
}

// Sign returns the hexadecimal HMAC-SHA256 of an encoded header under the fleet's shared key.
func Sign(sharedKey, header string) string {
	mac := hmac.New(sha256.New, []byte(sharedKey))
	_, _ = mac.Write([]byte(header))
	return hex.EncodeToString(mac.Sum(nil))
}

// Verify reports, with a comparison in constant time, whether a signature is that of an encoded header.
func Verify(sharedKey, header, signature string) bool {
	return hmac.Equal([]byte(Sign(sharedKey, header)), []byte(signature))
}

// Refusal is the body of every error response, to callers and between the processes of the fleet.
type Refusal struct {
	Error RefusalError `json:"error"`
	// Mark is the number of engine crashes during which the refused request was in flight.
	Mark int `json:"mark,omitempty"`
	// NextUpstream names the upstream that the router should try next; empty means that the agent names none.
	NextUpstream string `json:"try,omitempty"`
	// Moved means that the chat moves to NextUpstream with this request; otherwise it ran there before.
	Moved bool `json:"moved,omitempty"`
}

// RefusalError is the error object of the chat-completions format, with a verdict, which says whether the
// request may have run.
type RefusalError struct {
	Message      string        `json:"message"`
	Type         string        `json:"type"`
	Code         judge.Reason  `json:"code"`
	Verdict      judge.Verdict `json:"verdict"`
	RetryAfterMS int64         `json:"retry_after_ms,omitempty"`
}

// NewRefusal returns the wire form of err, with the reason and verdict that package judge assigns to it.
func NewRefusal(err error) Refusal {
	r := Refusal{Error: RefusalError{
		Message: err.Error(), Type: "clementineramp_error",
		Code: judge.ReasonOf(err), Verdict: judge.VerdictOf(err),
	}}
	if e, ok := asJudgeError(err); ok {
		r.Error.RetryAfterMS = e.RetryAfter.Milliseconds()
		if e.Err != nil {
			r.Error.Message = e.Err.Error()
		}
	}
	return r
}

// JudgeError returns the refusal as an error of package judge.
func (r Refusal) JudgeError() *judge.Error {
	return &judge.Error{
		Verdict: r.Error.Verdict, Reason: r.Error.Code,
		RetryAfter: time.Duration(min(max(r.Error.RetryAfterMS, 0), maxMS)) * time.Millisecond,
		Err:        fmt.Errorf("%s", r.Error.Message),
	}
}

// Status returns the HTTP status for the reason of the refusal; it is 503 for a reason without one of its own.
func (r Refusal) Status() int {
	switch r.Error.Code {
	case judge.ReasonInvalid, judge.ReasonTicketInvalid:
		return http.StatusBadRequest
	case judge.ReasonUnauthorised:
		return http.StatusUnauthorized
	case judge.ReasonNotFound, judge.ReasonStreamLost:
		return http.StatusNotFound
	case judge.ReasonCrashesUpstream:
		return http.StatusUnprocessableEntity
	case judge.ReasonLoadBound, judge.ReasonCachedElsewhere, judge.ReasonQueueFull, judge.ReasonRetryBudget, judge.ReasonNoCredit, judge.ReasonDeadline:
		return http.StatusTooManyRequests
	case judge.ReasonTimeout:
		return http.StatusGatewayTimeout
	case judge.ReasonBroken, judge.ReasonEngineCrashed:
		return http.StatusBadGateway
	case judge.ReasonTicketExpired, judge.ReasonOtherIncarnation, judge.ReasonKeyUnknown,
		judge.ReasonKeyReused, judge.ReasonAnswerNotKept:
		return http.StatusConflict
	case judge.ReasonInternal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}

// Write responds to a request with the refusal. Retry-After is rounded up to whole seconds.
func (r Refusal) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	if r.Error.RetryAfterMS > 0 {
		seconds := (r.Error.RetryAfterMS + 999) / 1000
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(r.Status())
	_ = json.NewEncoder(w).Encode(r)
}
