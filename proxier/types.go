package proxier

import (
	"net/http"
	"net/textproto"
	"strings"
	"time"
)

// Part is a piece of a prompt that upstreams may have cached.
type Part struct {
	ID     string
	Tokens int
}

// Request holds the decoded headers of a caller's request.
type Request struct {
	// ID identifies this attempt of the caller.
	ID  string
	Key string
	// Remaining is how much longer the caller waits; it is valid if HasRemaining is set.
	Remaining    time.Duration
	HasRemaining bool
	// Prompt holds the parts of the prompt in order; the last one is specific to this request.
	Prompt []Part
	// LastEvent is the ID of the last event that the caller received of a stream that it resumes.
	LastEvent string
}

// Chat returns the ID of the last part of the prompt that later requests of the chat share, or "" without a prompt.
func (r *Request) Chat() string {
	switch n := len(r.Prompt); n {
	case 0:
		return ""
	case 1:
		return r.Prompt[0].ID
	default:
		return r.Prompt[n-2].ID
	}
}

// ChatTokens returns the number of prompt tokens up to the end of the part that Chat identifies.
func (r *Request) ChatTokens() int {
	n := 0
	for i, part := range r.Prompt {
		if i == 0 || i < len(r.Prompt)-1 {
			n += part.Tokens
		}
	}
	return n
}

// Attempt holds what is sent to one upstream in addition to the request.
type Attempt struct {
	// Upstream is the ID of the only upstream that may run this attempt.
	Upstream     string
	Organisation string
	// Urgency is the position among the ranks of the configuration; 0 is the most urgent.
	Urgency      int
	Remaining    time.Duration
	HasRemaining bool
	// LastEvent is the ID of the event after which a stream resumes; it is empty at the start of one.
	LastEvent string
	// CacheSource is the address of an upstream that may have more of the prompt cached; it may be empty.
	CacheSource string
}

// Load is the number of running and waiting requests and the capacity that an upstream reports.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is the time that work takes on the upstream's host at this moment, as a multiple of the usual; zero means
	// unknown.
	Slowdown float64
}

// Reply holds the decoded headers of an upstream's response.
type Reply struct {
	// RequestID identifies the request that the response belongs to; it is empty if the response does not name one.
	RequestID string
	// Signed means that the response carries the upstream's signature.
	Signed bool
	// NotRun means that the upstream states that it has not run the request and never will.
	NotRun bool
	// WrongUpstream means that the upstream at the address is not the one that the attempt names.
	WrongUpstream bool
	Load          Load
	HasLoad       bool
	// IdleTimeout is the time after which the upstream closes an idle connection; zero means unknown.
	IdleTimeout time.Duration
	// Leaving means that the upstream states that it is leaving.
	Leaving bool
	// Pause is the time for which an upstream that refused the request wants no further ones from this router; zero means
	// that it has not asked for any.
	Pause time.Duration
}

// Codec encodes and decodes the headers that callers and upstreams use.
type Codec struct {
	DecodeRequest  func(http.Header) (Request, error)
	ForwardHeaders func(http.Header) http.Header
	SetAttempt     func(http.Header, Attempt)
	DecodeReply    func(status int, h http.Header) Reply
	// IsEventField reports whether events may have a field of this name in addition to those of all server-sent events; nil
	// means that there is none.
	IsEventField func(name string) bool
	// SetRequestID names the request in a response that the router itself generates.
	SetRequestID func(h http.Header, id string)
}

// hopByHop lists the headers that apply to a single connection.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// EndToEnd returns a copy of the headers without the hop-by-hop ones, including those that Connection names.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !hopByHop[name] {
			out[name] = values
		}
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	return out
}
