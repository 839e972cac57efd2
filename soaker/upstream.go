package soaker

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"clementineramp/platform/imitator"
)

// Behaviour is how an upstream responds to requests.
type Behaviour int32

const (
	// Healthy upstreams serve all requests; it is the zero value.
	Healthy Behaviour = iota
	// Failing upstreams respond to every second request with status 500.
	Failing
	// Hanging upstreams send no response to every second request.
	Hanging
	// Resetting upstreams reset the connection of every second request.
	Resetting
	// Shedding upstreams reject every second request without running it.
	Shedding
	// Duplicating upstreams send two responses to each plain request.
	Duplicating
	behaviours
	// Flooding upstreams send bytes without end in response to every second request.
	Flooding
	// Misanswering upstreams run every second request, but respond with a part of a response, or with a refusal that does
	// not name the request.
	Misanswering
	// Pausing upstreams reject some requests and want no further ones for pauseTime after each.
	Pausing
	// Slow upstreams serve every second plain request after a time of up to maxSlowTime, as sound upstreams with long work do.
	Slow
)

const (
	// drainTime is the time for which an upstream serves after it has announced that it is leaving, or after its entry was
	// deleted.
	drainTime = maxLeaveDelay + 1500*time.Millisecond
	// pauseTime is the time for which a Pausing upstream wants no requests from a gateway after it has rejected one.
	pauseTime = 1500 * time.Millisecond
	// pausingInterval is the number of requests of which a Pausing upstream rejects one: so few that it does not count as
	// unhealthy, which would keep requests away, too.
	pausingInterval = 8
	// eventInterval is the time between two events of a stream.
	eventInterval = 15 * time.Millisecond
	// workTime is the processing time of a plain request, and maxSlowTime the longest one at a Slow upstream. It is less than
	// the time that most callers wait and, with slowSteps different times, more than the rest of a grace period.
	workTime    = 10 * time.Millisecond
	maxSlowTime = 2800 * time.Millisecond
	slowSteps   = 3
)

// floodKinds are the kinds of responses without end that a Flooding upstream sends. None of them is signed, so that nothing
// of them may reach a caller, and none says that the request has not run, since it counts as run.
var floodKinds = []string{
	"head", "header lines", "interim heads", "no HTTP", "stale responses", "silence after a partial head",
}

// partialHead is the start of a response of which misanswer sends the first bytes only.
const partialHead = "HTTP/1.1 200 OK\r\n" + imitator.HeaderAttempt + ": {id}\r\n" + imitator.HeaderSignature + ": signed\r\n"

// misanswers are the responses of a Misanswering upstream, after which it closes the connection; {id} and {event} stand for
// the request's ID and the next event of its stream.
var misanswers = []string{
	partialHead, partialHead + "Content-Type: text/event-stream\r\n\r\n", partialHead + "\r\n",
	partialHead + "Content-Type: text/event-stream\r\n\r\n{event}HTTP/1.1 500 Error\r\nContent-Length: 4\r\n\r\nfail\n\n",
	"HTTP/1.1 503 Full\r\n" + imitator.HeaderNotExecuted + ": 1\r\nContent-Length: 4\r\n\r\nfull",
	"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n",
}

// lengthHeader is the request header with the number of events of the stream that an upstream sends.
const lengthHeader = "X-Events"

// run is a request that an upstream ran.
type run struct {
	imitator.Run
	upstream, service string
	// saysLeaving is set if the upstream has said in its responses that it is leaving, at any time.
	saysLeaving bool
	// leavingSince is when the upstream announced that it was leaving; it is zero if it did not.
	leavingSince time.Time
}

// upstream is a stand-in for an upstream; its connections pass through link.
type upstream struct {
	imitator.Upstream
	link      *link
	behaviour atomic.Int32
	// leavingInResponses is set if the upstream says in its responses that it is leaving.
	leavingInResponses atomic.Bool
	// count counts the requests that it handled, and offered those that it might have rejected.
	count, offered atomic.Int64

	mu           sync.Mutex
	leavingSince time.Time
	stopped      bool
}

func newUpstream(id, service string) *upstream {
	u := &upstream{Upstream: imitator.Upstream{ID: id, Service: service}}
	u.Handle = u.handle
	u.ShouldShed = func(*http.Request) bool {
		switch Behaviour(u.behaviour.Load()) {
		case Shedding:
			return u.offered.Add(1)%2 == 0
		case Pausing:
			return u.offered.Add(1)%pausingInterval == 0
		default:
			return false
		}
	}
	u.ShedPause = func() time.Duration {
		if Behaviour(u.behaviour.Load()) == Pausing {
			return pauseTime
		}
		return 0
	}
	u.Leaving = u.leavingInResponses.Load
	u.Start()
	u.link = newLink(u.Address())
	u.AdvertisedAddress, u.Born = u.link.address(), time.Now().UnixMilli()
	return u
}

// markLeaving records when the upstream announced that it is leaving; later calls change nothing.
func (u *upstream) markLeaving(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.leavingSince.IsZero() {
		u.leavingSince = now
	}
	u.leavingInResponses.Store(true)
}

// stop stops the upstream and breaks its connections. Further calls do nothing.
func (u *upstream) stop() {
	u.mu.Lock()
	stopped := u.stopped
	u.stopped = true
	u.mu.Unlock()
	if !stopped {
		u.link.close()
		u.Close()
	}
}

// runs returns the requests that the upstream ran.
func (u *upstream) runs() []run {
	u.mu.Lock()
	leavingSince := u.leavingSince
	u.mu.Unlock()
	var all []run
	for _, r := range u.Runs() {
		all = append(all, run{
			Run: r, upstream: u.ID, service: u.Service, saysLeaving: u.leavingInResponses.Load(), leavingSince: leavingSince,
		})
	}
	return all
}

func (u *upstream) handle(w http.ResponseWriter, r *http.Request) {
	n := u.count.Add(1)
	second := n%2 == 0
	switch m := Behaviour(u.behaviour.Load()); {
	case m == Failing && second:
		imitator.Status(http.StatusInternalServerError)(w, r)
	case m == Hanging && second:
		imitator.Hang(w, r)
	case m == Resetting && second:
		imitator.ResetConnection(w, r)
	case m == Flooding && second:
		imitator.FloodResponse(floodKinds[int(n/2)%len(floodKinds)])(w, r)
	case m == Misanswering && second:
		misanswer(w, r, int(n/2))
	case m == Duplicating && r.Header.Get(lengthHeader) == "":
		serveDuplicate(w, r)
	case r.Header.Get(lengthHeader) != "":
		serveStream(w, r)
	default:
		if m == Slow && second {
			time.Sleep(maxSlowTime * time.Duration(1+n/2%slowSteps) / slowSteps)
		}
		time.Sleep(workTime)
		imitator.Plain(plainAnswer(r.Header.Get(imitator.HeaderAttempt)))(w, r)
	}
}

// plainAnswer returns the response body for the plain request with an ID.
func plainAnswer(id string) string {
	return "answer to " + id
}

// streamEvent returns event n of the stream for the request with an ID.
func streamEvent(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n)
}

// serveStream sends the events of a stream after the last one that the caller has received.
func serveStream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(imitator.HeaderAttempt)
	last, _ := strconv.Atoi(r.Header.Get(imitator.HeaderLastEvent)) // Without the header, the caller has no event yet.
	length, err := strconv.Atoi(r.Header.Get(lengthHeader))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set(imitator.HeaderSignature, "signed")
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for n := last + 1; n <= length; n++ {
		if _, err := io.WriteString(w, streamEvent(id, n)); err != nil || rc.Flush() != nil {
			return
		}
		time.Sleep(eventInterval)
	}
}

// misanswer sends one of misanswers; requests for which no event is left get none that holds one.
func misanswer(w http.ResponseWriter, r *http.Request, n int) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = c.Close() }()
	id, response := r.Header.Get(imitator.HeaderAttempt), misanswers[n%len(misanswers)]
	// Without the headers, the caller has no event yet, and the request is plain.
	last, _ := strconv.Atoi(r.Header.Get(imitator.HeaderLastEvent))
	length, _ := strconv.Atoi(r.Header.Get(lengthHeader))
	if last >= length && strings.Contains(response, "{event}") {
		response = partialHead
	}
	_, _ = strings.NewReplacer("{id}", id, "{event}", streamEvent(id, last+1)).WriteString(c, response)
}

// serveDuplicate sends the response and, on the same connection, a second response that belongs to another request.
func serveDuplicate(w http.ResponseWriter, r *http.Request) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = c.Close() }()
	for _, id := range []string{r.Header.Get(imitator.HeaderAttempt), "another"} {
		text := plainAnswer(id)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: signed\r\nContent-Length: %d\r\n\r\n%s",
			imitator.HeaderAttempt, id, imitator.HeaderSignature, len(text), text)
	}
	time.Sleep(workTime)
}
