package proxier

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"clementineramp/appraiser"
	"clementineramp/connector"
	"clementineramp/convictor"
	"clementineramp/judge"
	"clementineramp/mapper"
	"clementineramp/placer"
	"clementineramp/shedder"
)

const (
	// defaultTimeout bounds a request whose caller and route name no time.
	defaultTimeout = time.Minute
	// bodyTime bounds the reading of a body that the caller sends slowly.
	bodyTime = 10 * time.Second
	// minBackoff and maxBackoff bound the time after which a refused caller should return. It is drawn evenly
	// between them, so that callers who were refused together do not return together.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
)

// Refusal says which requests a process that is about to end no longer takes.
type Refusal int32

const (
	// RefuseNone takes all requests; it is the zero value.
	RefuseNone Refusal = iota
	// RefuseStreams takes requests that end soon.
	RefuseStreams
	// RefuseAll takes none.
	RefuseAll
)

const (
	// startPatience is the time for which a request waits for the first configuration: reading it from the store takes a
	// tenth of a second after the start.
	startPatience = 250 * time.Millisecond
	// minStart and maxStart bound the time after which a caller should return to a router that knows no configuration
	// then: with the store away, too, it takes a second or so until one arrives.
	minStart = 700 * time.Millisecond
	maxStart = 1500 * time.Millisecond
)

// Belief is a configuration and how sure the router is that it is the newest.
type Belief struct {
	Table *mapper.Table
	// Confirmed is the time at which the store or a peer last confirmed that nothing newer exists.
	Confirmed time.Time
}

// Config joins a Proxier to what it knows and decides with.
type Config struct {
	Codec   Codec
	Placer  *placer.Placer
	Health  *appraiser.Appraiser
	Crashes *convictor.Tracker
	Shedder *shedder.Shedder
	Pool    *connector.Pool
	// Belief returns the configuration in force; its table is nil before the first one is known.
	Belief func() Belief
	// AwaitReady waits until a configuration and upstreams are known, or ctx ends, and reports which.
	AwaitReady func(ctx context.Context) bool
	// Retry takes one second try from a service's budget, and First counts a request for it.
	Retry func(service string) bool
	First func(service string)
	// Routers returns the number of routers that share the connections to an upstream.
	Routers func() int
	// Closing reports whether answers close their connections, so that callers go to other routers.
	Closing func() bool
	// Refusing says which new requests are refused because the process is about to end.
	Refusing func() Refusal
	// MaxBodyBytes bounds the bodies that are held at the same time.
	MaxBodyBytes int64
	// StaleAfter is the age of a belief from which an unknown route or key may be a newer one.
	StaleAfter time.Duration
	Log        hclog.Logger
	Metrics    metrics.Registry
}

// Proxier is an http.Handler for callers.
type Proxier struct {
	cfg     Config
	meters  *meters
	bodies  atomic.Int64
	running atomic.Int64
	sample  atomic.Uint64
}

// New returns a proxier.
func New(cfg Config) *Proxier {
	return &Proxier{cfg: cfg, meters: newMeters(cfg.Metrics)}
}

// Running returns the number of requests in progress.
func (p *Proxier) Running() int {
	return int(p.running.Load())
}

// job is one request of a caller while it is carried.
type job struct {
	Request
	p       *Proxier
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	started time.Time
	// deadline is the end of the time that the caller or the route allows.
	deadline time.Time
	belief   Belief
	route    *mapper.Route
	owner    *mapper.Organisation
	urgency  int
	service  string
	body     []byte
	print    convictor.Fingerprint
	header   http.Header

	// tried lists the upstreams that had the request, arrivals counts those that may have read it and runs those
	// that may have run it.
	tried    []string
	arrivals int
	runs     int
	stream   relay
	// firstEvent is the time to the first byte of the answer.
	firstEvent time.Duration
	choice     placer.Choice
	// occupancy is the share of the service's places that were taken when the request came, and excess the share of
	// the requests that were refused then.
	occupancy float64
	excess    float64
}

// ServeHTTP carries one request.
func (p *Proxier) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.running.Add(1)
	defer p.running.Add(-1)
	j := &job{p: p, w: w, r: r, started: time.Now(), belief: p.cfg.Belief()}
	if p.cfg.Closing() {
		w.Header().Set("Connection", "close")
	}
	if err := j.admit(); err != nil {
		j.refuse(err)
		return
	}
	defer p.bodies.Add(-int64(len(j.body)))
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	j.ctx = ctx
	p.cfg.First(j.service)
	j.run()
}

// admit decides whether the request is taken at all, and reads its body.
func (j *job) admit() error {
	req, err := j.p.cfg.Codec.DecodeRequest(j.r.Header)
	j.Request = req
	j.deadline = j.started.Add(defaultTimeout)
	if err != nil {
		return refusal(http.StatusBadRequest, judge.ReasonInvalid, err.Error())
	}
	t := j.awaitTable()
	if t == nil {
		return &answer{
			status: http.StatusServiceUnavailable, reason: judge.ReasonNotReady, text: "no configuration is known yet",
			retryAfter: minStart + rand.N(maxStart-minStart),
		}
	}
	if err := j.authorise(t); err != nil {
		return err
	}
	if n := j.p.cfg.Refusing(); n == RefuseAll || n == RefuseStreams && j.route.Kind == mapper.Stream {
		return refusal(http.StatusServiceUnavailable, judge.ReasonLeaving, "this router is stopping")
	}
	j.setDeadline()
	if err := j.readBody(t.Limits); err != nil {
		return err
	}
	j.service = j.route.Service(j.splitSeed())
	j.print = convictor.FingerprintOf(j.r.Method, j.r.RequestURI, j.Key, j.body)
	if left := j.p.cfg.Crashes.BlockedFor(j.print, time.Now()); left > 0 {
		j.p.bodies.Add(-int64(len(j.body)))
		return &answer{
			status: http.StatusServiceUnavailable, reason: judge.ReasonConvicted, retryAfter: left,
			text: "this request crashes the upstreams that run it",
		}
	}
	if err := j.shed(); err != nil {
		j.p.bodies.Add(-int64(len(j.body)))
		return err
	}
	j.header = j.p.cfg.Codec.ForwardHeaders(j.r.Header)
	return nil
}

// shed refuses the request if its service is overloaded and others go before it.
func (j *job) shed() error {
	now := time.Now()
	occupancy, known := j.p.cfg.Placer.Occupancy(j.service, now)
	if !known {
		return nil
	}
	j.occupancy = occupancy
	r := shedder.Request{Service: j.service, Urgency: j.urgency, Remaining: j.deadline.Sub(now)}
	if j.owner != nil {
		r.Organisation = j.owner.Name
	}
	d := j.p.cfg.Shedder.Decide(r, occupancy, now)
	j.excess = d.RefusedShare
	if !d.Refused {
		return nil
	}
	return &answer{
		status: http.StatusServiceUnavailable, reason: judge.ReasonOverload, retryAfter: d.RetryAfter,
		text: fmt.Sprintf("the service is overloaded: %.2f of the requests are refused, and %.2f go before this one", d.RefusedShare, d.Position),
	}
}

// awaitTable returns the configuration, for which a request that comes right after the start waits a moment.
func (j *job) awaitTable() *mapper.Table {
	if j.belief.Table == nil {
		ctx, cancel := context.WithTimeout(j.r.Context(), startPatience)
		defer cancel()
		if j.p.cfg.AwaitReady(ctx) {
			j.belief = j.p.cfg.Belief()
		}
	}
	return j.belief.Table
}

// authorise finds the route and the organisation.
func (j *job) authorise(t *mapper.Table) error {
	path, _, _ := strings.Cut(j.r.RequestURI, "?")
	route, ok := t.Match(j.r.Host, path)
	if !ok {
		return j.unknown(http.StatusNotFound, judge.ReasonNotFound, "no route for this host and path")
	}
	j.route = route
	if t.Organisations == nil || route.Anonymous {
		j.urgency = t.Urgency(route, nil)
		return nil
	}
	owner, ok := t.Owner(j.Key)
	if !ok {
		return j.unknown(http.StatusUnauthorized, judge.ReasonUnauthorised, "the key is unknown")
	}
	j.owner, j.urgency = owner, t.Urgency(route, owner)
	return nil
}

// unknown refuses for good only if the configuration is known to be the newest.
func (j *job) unknown(status int, reason judge.Reason, text string) error {
	if time.Since(j.belief.Confirmed) > j.p.cfg.StaleAfter {
		return refusal(http.StatusServiceUnavailable, reason, text+" in a configuration that may be out of date")
	}
	return refusal(status, reason, text)
}

func (j *job) setDeadline() {
	allowed := defaultTimeout
	if j.route.Timeout > 0 {
		allowed = j.route.Timeout
	}
	if j.HasRemaining {
		allowed = min(allowed, j.Remaining)
	}
	j.deadline = j.started.Add(allowed)
}

// splitSeed keeps the requests of a chat at one of the services that share a route.
func (j *job) splitSeed() string {
	if chat := j.Chat(); chat != "" {
		return chat
	}
	return j.ID
}

// readBody reads the whole body, so that it can be sent again.
func (j *job) readBody(limits mapper.Limits) error {
	most := limits.BodyBytes
	if most <= 0 {
		most = j.p.cfg.MaxBodyBytes
	}
	if j.r.ContentLength > most {
		return refusal(http.StatusRequestEntityTooLarge, judge.ReasonInvalid, "the body is too large")
	}
	if j.r.ContentLength == 0 {
		return nil
	}
	need := max(j.r.ContentLength, 0)
	if j.p.bodies.Add(need) > j.p.cfg.MaxBodyBytes {
		j.p.bodies.Add(-need)
		return refusal(http.StatusServiceUnavailable, judge.ReasonQueueFull, "the memory for bodies is used up")
	}
	limit := time.Now().Add(min(bodyTime, time.Until(j.deadline)))
	rc := http.NewResponseController(j.w)
	_ = rc.SetReadDeadline(limit) // Only a connection that is closed already refuses it.
	var err error
	if j.r.ContentLength > 0 {
		j.body = make([]byte, j.r.ContentLength)
		_, err = io.ReadFull(j.r.Body, j.body)
	} else {
		j.body, err = io.ReadAll(http.MaxBytesReader(j.w, j.r.Body, most))
	}
	j.p.bodies.Add(int64(len(j.body)) - need)
	if err == nil {
		_ = rc.SetReadDeadline(time.Time{})
		return nil
	}
	j.p.bodies.Add(-int64(len(j.body)))
	j.body = nil
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refusal(http.StatusRequestEntityTooLarge, judge.ReasonInvalid, "the body is too large")
	}
	return refusal(http.StatusRequestTimeout, judge.ReasonTimeout, "the body did not arrive")
}

// answer is an answer of the router's own.
type answer struct {
	status int
	reason judge.Reason
	text   string
	// retryAfter is sent with answers that promise that the request has not run; zero means a random time.
	retryAfter time.Duration
}

// Error returns the text for the caller.
func (a *answer) Error() string {
	return a.text
}

func refusal(status int, reason judge.Reason, text string) *answer {
	return &answer{status: status, reason: reason, text: text}
}

// promisesNotRun reports whether callers may take the status as a promise that the request never runs.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// refuse gives the final answer to a request that no upstream answers.
func (j *job) refuse(err error) {
	a := &answer{status: http.StatusBadGateway, reason: judge.ReasonInternal, text: "internal error"}
	errors.As(err, &a)
	h := j.w.Header()
	j.p.cfg.Codec.SetRequestID(h, j.ID)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests {
		wait := a.retryAfter
		if wait == 0 {
			wait = minBackoff + rand.N(maxBackoff-minBackoff)
		}
		h.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	}
	if a.reason == judge.ReasonTimeout && a.status == http.StatusRequestTimeout {
		h.Set("Connection", "close") // The rest of the body may still come.
	}
	text := a.text + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	j.w.WriteHeader(a.status)
	if _, err := io.WriteString(j.w, text); err != nil && j.r.Context().Err() == nil {
		j.p.meters.writeErrors.Inc(1)
	}
	j.ended(a.status, a.reason, a.text)
}
