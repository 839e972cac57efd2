package proxier

import (
	"net/http"
	"net/textproto"
	"strings"
	"time"
)

// Part is a piece of a prompt that upstreams may hold in their cache.
type Part struct {
	ID     string
	Tokens int
}

// Request is what the headers of a caller's request say.
type Request struct {
	// ID identifies this attempt of the caller.
	ID  string
	Key string
	// Remaining is the time that the caller still waits, if HasRemaining is set.
	Remaining    time.Duration
	HasRemaining bool
	// Prompt holds the parts of the prompt in order; the last one belongs to this request alone.
	Prompt []Part
	// LastEvent is the last event that the caller has of a stream that it resumes.
	LastEvent string
}

// Chat identifies the part of the prompt that later requests of the chat share; it is empty without one.
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

// ChatTokens returns the length of the prompt up to the end of the part that Chat identifies.
func (r *Request) ChatTokens() int {
	n := 0
	for i, part := range r.Prompt {
		if i == 0 || i < len(r.Prompt)-1 {
			n += part.Tokens
		}
	}
	return n
}

// Attempt is what one upstream is told beside the request.
type Attempt struct {
	// Upstream is the only one that may run the request.
	Upstream     string
	Organisation string
	// Urgency is the place among the ranks of the configuration; 0 is the most urgent.
	Urgency      int
	Remaining    time.Duration
	HasRemaining bool
	// LastEvent is the event after which a stream goes on; it is empty at the start of one.
	LastEvent string
	// CacheSource is the address of an upstream that may hold more of the prompt in its cache; it may be empty.
	CacheSource string
}

// Load is what an upstream says of its work.
type Load struct {
	Running, Waiting, Slots int
}

// Reply is what the headers of an upstream's answer say.
type Reply struct {
	// RequestID identifies the request that was answered; it is empty if the answer does not say.
	RequestID string
	// Signed answers bear the upstream's signature.
	Signed bool
	// NotRun means that the upstream has not run the request and never will.
	NotRun bool
	// WrongUpstream means that another upstream answered at the address.
	WrongUpstream bool
	Load          Load
	HasLoad       bool
	// IdleTimeout is the time after which the upstream closes the connection if unused; zero means unknown.
	IdleTimeout time.Duration
}

// Codec translates the headers of callers and upstreams.
type Codec struct {
	DecodeRequest  func(http.Header) (Request, error)
	ForwardHeaders func(http.Header) http.Header
	SetAttempt     func(http.Header, Attempt)
	DecodeReply    func(status int, h http.Header) Reply
	// SetRequestID marks an answer of the router's own with the request that it belongs to.
	SetRequestID func(h http.Header, id string)
}

// hopByHop are the headers that concern one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// EndToEnd returns a copy of the headers without those that concern one connection only.
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
