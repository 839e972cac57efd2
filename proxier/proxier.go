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
	// bodyReadTimeout bounds the reading of a body that the caller sends slowly.
	bodyReadTimeout = 10 * time.Second
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller should return. It is drawn evenly
	// between them, so that callers who were refused together do not return together.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 600 * time.Millisecond
)

// RefusalMode says which requests a process that is about to end no longer takes.
type RefusalMode int32

const (
	// RefuseNone takes all requests; it is the zero value.
	RefuseNone RefusalMode = iota
	// RefuseStreams takes requests that end soon.
	RefuseStreams
	// RefuseAll takes none.
	RefuseAll
)

const (
	// startupTimeout is the time for which a request waits for the first configuration: reading it from the store takes a
	// tenth of a second after the start.
	startupTimeout = 250 * time.Millisecond
	// minStartupRetryAfter and maxStartupRetryAfter bound the time after which a caller should return to a router that knows no configuration
	// then: with the store away, too, it takes a second or so until one arrives.
	minStartupRetryAfter = 700 * time.Millisecond
	maxStartupRetryAfter = 1500 * time.Millisecond
)

// CurrentTable is a configuration and how sure the router is that it is the newest.
type CurrentTable struct {
	Table *mapper.Table
	// Confirmed is the time at which the store or a peer last confirmed that nothing newer exists.
	Confirmed time.Time
}

// Config joins a Proxier to what it knows and decides with.
type Config struct {
	Codec   Codec
	Placer  *placer.Placer
	Health  *appraiser.Appraiser
	Crashes *convictor.Convictor
	Shedder *shedder.Shedder
	Pool    *connector.Pool
	// CurrentTable returns the configuration in force; its table is nil before the first one is known.
	CurrentTable func() CurrentTable
	// AwaitReady waits until a configuration and upstreams are known, or ctx ends, and reports which.
	AwaitReady func(ctx context.Context) bool
	// AllowRetry takes one second try from a service's budget, and First counts a request for it.
	AllowRetry   func(service string) bool
	CountRequest func(service string)
	// Routers returns the number of routers that share the connections to an upstream.
	Routers func() int
	// Closing reports whether answers close their connections, so that callers go to other routers.
	Closing func() bool
	// Refusing says which new requests are refused because the process is about to end.
	Refusing func() RefusalMode
	// MaxBodyBytes bounds the bodies that are held at the same time.
	MaxBodyBytes int64
	// StaleAfter is the age of a belief from which an unknown route or key may be a newer one.
	StaleAfter time.Duration
	Log        hclog.Logger
	Metrics    metrics.Registry
}

// Proxier is an http.Handler for callers.
type Proxier struct {
	cfg         Config
	instruments *instruments
	bodies      atomic.Int64
	running     atomic.Int64
	sample      atomic.Uint64
}

// New returns a proxier.
func New(cfg Config) *Proxier {
	return &Proxier{cfg: cfg, instruments: newInstruments(cfg.Metrics)}
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
	current  CurrentTable
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
	stream   streamState
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
	j := &job{p: p, w: w, r: r, started: time.Now(), current: p.cfg.CurrentTable()}
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
	p.cfg.CountRequest(j.service)
	j.run()
}

// admit decides whether the request is taken at all, and reads its body.
func (j *job) admit() error {
	req, err := j.p.cfg.Codec.DecodeRequest(j.r.Header)
	j.Request = req
	j.deadline = j.started.Add(defaultTimeout)
	if err != nil {
		return newRefusal(http.StatusBadRequest, judge.ReasonInvalid, err.Error())
	}
	t := j.awaitTable()
	if t == nil {
		return &localResponse{
			status: http.StatusServiceUnavailable, reason: judge.ReasonNotReady, text: "no configuration is known yet",
			retryAfter: minStartupRetryAfter + rand.N(maxStartupRetryAfter-minStartupRetryAfter),
		}
	}
	if err := j.authorise(t); err != nil {
		return err
	}
	if n := j.p.cfg.Refusing(); n == RefuseAll || n == RefuseStreams && j.route.Kind == mapper.Stream {
		return newRefusal(http.StatusServiceUnavailable, judge.ReasonLeaving, "this router is stopping")
	}
	j.setDeadline()
	if err := j.readBody(t.Limits); err != nil {
		return err
	}
	j.service = j.route.Service(j.splitSeed())
	j.print = convictor.Of(j.r.Method, j.r.RequestURI, j.Key, j.body)
	if left := j.p.cfg.Crashes.Convicted(j.print, time.Now()); left > 0 {
		j.p.bodies.Add(-int64(len(j.body)))
		return &localResponse{
			status: http.StatusServiceUnavailable, reason: judge.ReasonCrashesUpstream, retryAfter: left,
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
	j.excess = d.Excess
	if !d.Refused {
		return nil
	}
	return &localResponse{
		status: http.StatusServiceUnavailable, reason: judge.ReasonOverload, retryAfter: d.RetryAfter,
		text: fmt.Sprintf("the service is overloaded: %.2f of the requests are refused, and %.2f go before this one", d.Excess, d.Position),
	}
}

// awaitTable returns the configuration, for which a request that comes right after the start waits a moment.
func (j *job) awaitTable() *mapper.Table {
	if j.current.Table == nil {
		ctx, cancel := context.WithTimeout(j.r.Context(), startupTimeout)
		defer cancel()
		if j.p.cfg.AwaitReady(ctx) {
			j.current = j.p.cfg.CurrentTable()
		}
	}
	return j.current.Table
}

// authorise finds the route and the organisation.
func (j *job) authorise(t *mapper.Table) error {
	path, _, _ := strings.Cut(j.r.RequestURI, "?")
	route, ok := t.Match(j.r.Host, path)
	if !ok {
		return j.unknownRefusal(http.StatusNotFound, judge.ReasonNotFound, "no route for this host and path")
	}
	j.route = route
	if t.Organisations == nil || route.Anonymous {
		j.urgency = t.Urgency(route, nil)
		return nil
	}
	owner, ok := t.Owner(j.Key)
	if !ok {
		return j.unknownRefusal(http.StatusUnauthorized, judge.ReasonUnauthorised, "the key is unknown")
	}
	j.owner, j.urgency = owner, t.Urgency(route, owner)
	return nil
}

// unknownRefusal refuses for good only if the configuration is known to be the newest.
func (j *job) unknownRefusal(status int, reason judge.Reason, text string) error {
	if time.Since(j.current.Confirmed) > j.p.cfg.StaleAfter {
		return newRefusal(http.StatusServiceUnavailable, reason, text+" in a configuration that may be out of date")
	}
	return newRefusal(status, reason, text)
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
	maxBytes := limits.BodyBytes
	if maxBytes <= 0 {
		maxBytes = j.p.cfg.MaxBodyBytes
	}
	if j.r.ContentLength > maxBytes {
		return newRefusal(http.StatusRequestEntityTooLarge, judge.ReasonInvalid, "the body is too large")
	}
	if j.r.ContentLength == 0 {
		return nil
	}
	reserved := max(j.r.ContentLength, 0)
	if j.p.bodies.Add(reserved) > j.p.cfg.MaxBodyBytes {
		j.p.bodies.Add(-reserved)
		return newRefusal(http.StatusServiceUnavailable, judge.ReasonQueueFull, "the memory for bodies is used up")
	}
	readDeadline := time.Now().Add(min(bodyReadTimeout, time.Until(j.deadline)))
	rc := http.NewResponseController(j.w)
	_ = rc.SetReadDeadline(readDeadline) // Only a connection that is closed already refuses it.
	var err error
	if j.r.ContentLength > 0 {
		j.body = make([]byte, j.r.ContentLength)
		_, err = io.ReadFull(j.r.Body, j.body)
	} else {
		j.body, err = io.ReadAll(http.MaxBytesReader(j.w, j.r.Body, maxBytes))
	}
	j.p.bodies.Add(int64(len(j.body)) - reserved)
	if err == nil {
		_ = rc.SetReadDeadline(time.Time{})
		return nil
	}
	j.p.bodies.Add(-int64(len(j.body)))
	j.body = nil
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return newRefusal(http.StatusRequestEntityTooLarge, judge.ReasonInvalid, "the body is too large")
	}
	return newRefusal(http.StatusRequestTimeout, judge.ReasonTimeout, "the body did not arrive")
}

// localResponse is an localResponse of the router's own.
type localResponse struct {
	status int
	reason judge.Reason
	text   string
	// retryAfter is sent with answers that promise that the request has not run; zero means a random time.
	retryAfter time.Duration
}

// Error returns the text for the caller.
func (a *localResponse) Error() string {
	return a.text
}

func newRefusal(status int, reason judge.Reason, text string) *localResponse {
	return &localResponse{status: status, reason: reason, text: text}
}

// impliesNotRun reports whether callers may take the status as a promise that the request never runs.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// refuse gives the final answer to a request that no upstream answers.
func (j *job) refuse(err error) {
	a := &localResponse{status: http.StatusBadGateway, reason: judge.ReasonInternal, text: "internal error"}
	errors.As(err, &a)
	h := j.w.Header()
	j.p.cfg.Codec.SetRequestID(h, j.ID)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests {
		wait := a.retryAfter
		if wait == 0 {
			wait = minRetryAfter + rand.N(maxRetryAfter-minRetryAfter)
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
		j.p.instruments.writeErrors.Inc(1)
	}
	j.recordOutcome(a.status, a.reason, a.text)
}
