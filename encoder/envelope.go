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

// Names of the headers between the system's own processes.
const (
	// EnvelopeHeader carries an Envelope from a router to an agent.
	EnvelopeHeader = "Clementine-Envelope"
	// ReportHeader carries a Report from an agent to a router.
	ReportHeader = "Clementine-Report"
	// StreamHeader carries the identity of the answer's stream.
	StreamHeader = "Clementine-Stream"
	// SignatureHeader authenticates an Envelope with the fleet's shared key.
	SignatureHeader = "Clementine-Signature"
	// VersionHeader carries the version of the model that gives the answer.
	VersionHeader = "Clementine-Model-Version"
	// AnswerHeader marks a response that the upstream gave, whatever its status.
	AnswerHeader = "Clementine-Answer"
)

// maxNameBytes bounds the name of a process.
const maxNameBytes = 256

// maxHeaderBytes bounds a decoded header, so that a faulty peer cannot make a process allocate without limit.
const maxHeaderBytes = 16 << 10

// maxMS bounds a time in milliseconds, so that it does not overflow a time.Duration.
const maxMS = math.MaxInt64 / int64(time.Millisecond)

// Envelope accompanies a request from a router to an agent.
type Envelope struct {
	RequestID    string `json:"request_id"`
	Organisation string `json:"organisation"`
	Rank         string `json:"rank"`
	ChatKey      uint64 `json:"chat_key,string"`
	// DeadlineMS is the time left until the first byte of the answer is due, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
	// Attempt counts the agents tried before this one.
	Attempt int `json:"attempt"`
	// Last says that no further agent will be tried, so that the request may wait in the queue.
	Last bool `json:"last,omitempty"`
	// Home says that the agent is the first in the chat's order.
	Home bool `json:"home,omitempty"`
	// Advised says that another agent named this one, because it holds the chat's prefix or has room.
	Advised bool `json:"advised,omitempty"`
	// Holder names the engine that runs a chat, in a message to the first agent in the chat's order.
	Holder string `json:"holder,omitempty"`
	// Mark counts the engine crashes in which the request was in flight.
	Mark int `json:"mark,omitempty"`
	// Offset is the number of events of the answer that the caller already has.
	Offset int `json:"offset,omitempty"`
	// Version is the model version that the answer began with; empty means any.
	Version string `json:"version,omitempty"`
	// Service names the plain service of an order.
	Service string `json:"service,omitempty"`
	// Key is the idempotency key or ticket of an order; empty means that there is one attempt only.
	Key string `json:"key,omitempty"`
	// ConfigVersion is the version of the configuration by which the router chose the agent.
	ConfigVersion uint64 `json:"config_version,omitempty"`
	// Fleet is what the router knows of the past of the fleet; it is sent with orders only.
	Fleet Fleet `json:"fleet,omitzero"`
	// Load holds the freshest entries of the sender's load table.
	Load LoadEntries `json:"load,omitempty"`
}

// Deadline returns the time left until the first byte is due.
func (e Envelope) Deadline() time.Duration {
	return time.Duration(e.DeadlineMS) * time.Millisecond
}

// check says which field of the envelope is out of range.
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

// reportLine is the size of the name of a report's header with its separators, in bytes.
const reportLine = len(ReportHeader) + len(": \r\n")

// ReportBytes returns the size of the report in a header or trailer; 0 means that there is none.
func ReportBytes(h http.Header) int {
	n := len(h.Get(ReportHeader))
	if n == 0 {
		return 0
	}
	return n + reportLine
}

// Report accompanies an answer or refusal from an agent to a router.
type Report struct {
	// Self is the agent's own entry.
	Self LoadEntry
	// Load holds the freshest entries of others.
	Load LoadEntries
}

// reportWire is the wire form of a report; the first entry is the agent's own.
type reportWire struct {
	Load LoadEntries `json:"load"`
}

// MarshalJSON encodes the report.
func (r Report) MarshalJSON() ([]byte, error) {
	return json.Marshal(reportWire{append(LoadEntries{r.Self}, r.Load...)})
}

// UnmarshalJSON decodes and checks a report.
func (r *Report) UnmarshalJSON(data []byte) error {
	var w reportWire
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

// checked is a wire type that validates itself.
type checked interface {
	check() error
}

// EncodeHeader encodes a value for a header.
func EncodeHeader[T checked](v T) string {
	b, err := json.Marshal(v)
	if err != nil {
		// The wire types hold only strings and finite numbers.
		return ""
	}
	return asciiOnly(string(b))
}

// asciiOnly escapes runes that must not stand in a header.
func asciiOnly(s string) string {
	q := strconv.QuoteToASCII(s)
	if len(q) == len(s)+2+strings.Count(s, `"`)+strings.Count(s, `\`) {
		return s
	}
	var b strings.Builder
	for _, r := range s {
		// JSON allows DEL in a string, and HTTP forbids it in a header.
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

// DecodeHeader decodes and checks a value from a header.
func DecodeHeader[T checked](h http.Header, name string) (T, error) {
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

// Sign returns the signature of an encoded header under the fleet's shared key.
func Sign(sharedKey, header string) string {
	mac := hmac.New(sha256.New, []byte(sharedKey))
	_, _ = mac.Write([]byte(header))
	return hex.EncodeToString(mac.Sum(nil))
}

// Verify reports in constant time whether a signature fits an encoded header.
func Verify(sharedKey, header, signature string) bool {
	return hmac.Equal([]byte(Sign(sharedKey, header)), []byte(signature))
}

// Refusal is the body of every error answer, to callers and between own processes.
type Refusal struct {
	Error RefusalError `json:"error"`
	// Mark counts the engine crashes in which the refused request was in flight.
	Mark int `json:"mark,omitempty"`
	// Try names the upstream that the router should try next.
	Try string `json:"try,omitempty"`
	// Moved says that the chat moves to Try with this request; otherwise it ran there before.
	Moved bool `json:"moved,omitempty"`
}

// RefusalError is the customary error object of the chat-completions shape, with a verdict.
type RefusalError struct {
	Message      string        `json:"message"`
	Type         string        `json:"type"`
	Code         judge.Reason  `json:"code"`
	Verdict      judge.Verdict `json:"verdict"`
	RetryAfterMS int64         `json:"retry_after_ms,omitempty"`
}

// NewRefusal returns the wire form of err.
func NewRefusal(err error) Refusal {
	r := Refusal{Error: RefusalError{
		Message: err.Error(), Type: "clementineramp_error",
		Code: judge.ReasonOf(err), Verdict: judge.VerdictOf(err),
	}}
	if e, ok := asJudged(err); ok {
		r.Error.RetryAfterMS = e.RetryAfter.Milliseconds()
		if e.Err != nil {
			r.Error.Message = e.Err.Error()
		}
	}
	return r
}

// Judged returns the refusal as an error of package judge.
func (r Refusal) Judged() *judge.Error {
	return &judge.Error{
		Verdict: r.Error.Verdict, Reason: r.Error.Code,
		RetryAfter: time.Duration(min(max(r.Error.RetryAfterMS, 0), maxMS)) * time.Millisecond,
		Err:        fmt.Errorf("%s", r.Error.Message),
	}
}

// Status returns the HTTP status that fits the reason of a refusal.
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

// Write answers a request with the refusal.
func (r Refusal) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	if r.Error.RetryAfterMS > 0 {
		seconds := (r.Error.RetryAfterMS + 999) / 1000
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(r.Status())
	_ = json.NewEncoder(w).Encode(r)
}
