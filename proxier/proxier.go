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
	"clementineramp/blocker"
	"clementineramp/connector"
	"clementineramp/dispatcher"
	"clementineramp/estimator"
	"clementineramp/judge"
	"clementineramp/mapper"
	"clementineramp/placer"
	"clementineramp/registrar"
	"clementineramp/shedder"
)

const (
	// defaultTimeout bounds a request for which neither the caller nor the route sets a timeout.
	defaultTimeout = time.Minute
	// bodyReadTimeout bounds the reading of a request body, against callers that send slowly.
	bodyReadTimeout = 10 * time.Second
	// minRetryAfter and maxRetryAfter bound the "retry after" delay of a refused caller. The delay is uniformly random
	// between them, so that callers that were refused at the same time do not retry at the same time.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 600 * time.Millisecond
)

const (
	// startupTimeout is the time for which a request waits for the first configuration, which takes about 100 ms after
	// the start to be read from the store.
	startupTimeout = 250 * time.Millisecond
	// minStartupRetryAfter and maxStartupRetryAfter bound the "retry after" delay of callers of a router that has no
	// configuration after startupTimeout: one arrives after about a second even if the store is unreachable.
	minStartupRetryAfter = 700 * time.Millisecond
	maxStartupRetryAfter = 1500 * time.Millisecond
)

// CurrentTable is the configuration in use and the time when it was last confirmed to be the newest.
type CurrentTable struct {
	Table *mapper.Table
	// Confirmed is the time when the store or a peer last confirmed that no newer configuration exists.
	Confirmed time.Time
	// Superseded is set if the store holds a newer configuration that could not be decoded.
	Superseded bool
}

// Config holds the dependencies and settings of a Proxier; New sets no defaults.
type Config struct {
	Codec   Codec
	Placer  *placer.Placer
	Health  *appraiser.Appraiser
	Crashes *blocker.Blocker
	Shedder *shedder.Shedder
	// Acquire waits for a place for a request to a service that is no engine and reports no load. The error is a
	// *dispatcher.Refusal, or that of ctx. Nil admits all requests.
	Acquire func(ctx context.Context, r dispatcher.Request) (dispatcher.Place, time.Duration, error)
	Pool    *connector.Pool
	// CurrentTable returns the configuration in use; its Table is nil until the first configuration has been read.
	CurrentTable func() CurrentTable
	// AwaitReady waits until a configuration and upstreams have been received; it returns false if ctx ends first.
	AwaitReady func(ctx context.Context) bool
	// AllowRetry deducts one retry from a service's budget and returns false if none is left; CountRequest adds a request
	// to those from which the budget is computed.
	AllowRetry   func(service string) bool
	CountRequest func(service string)
	// Routers returns the number of routers that share the connections to an upstream.
	Routers func() int
	// Closing reports whether responses close their connections, so that callers move to other routers.
	Closing func() bool
	// CallerLeft reports whether the caller of the request with the given context has closed its connection.
	CallerLeft func(ctx context.Context) bool
	// MarkLeaving records that an upstream stated in a response that it is leaving, and returns whether that is new.
	MarkLeaving func(u registrar.Upstream) bool
	// Record records the result of an attempt at an upstream of a plain service that reports no load, and Work counts the requests
	// for such services; nil means that neither is done.
	Record func(s estimator.Sample, now time.Time)
	Work   *estimator.Meter
	// MaxBodyBytes bounds the total size of the bodies that are in memory at the same time, and that of a single body
	// if the configuration sets no limit for it.
	MaxBodyBytes int64
	// MaxHeldBytes bounds the total size of the unfinished responses that are held back, beyond a few KB of each: past it a
	// plain response is sent to its caller as it arrives, and a stream with a long unfinished event is broken.
	MaxHeldBytes int64
	// StaleAfter is the time since the last confirmation after which an unknown route or key may belong to a newer
	// configuration that this process has not read yet.
	StaleAfter time.Duration
	// Arrived returns the earliest time at which a response that is read now may have arrived; nil means now.
	Arrived func(now time.Time) time.Time
	Log     hclog.Logger
	Metrics metrics.Registry
}

// Proxier is an http.Handler that serves callers; it is safe for concurrent use.
type Proxier struct {
	cfg         Config
	instruments *instruments
	// bodyBytes is the number of bytes of request bodies in memory.
	bodyBytes atomic.Int64
	// heldBytes is the number of bytes of responses that are held back.
	heldBytes atomic.Int64
	running   atomic.Int64
	// requests is the context that endRequests cancels at the end of a shutdown.
	requests    context.Context
	endRequests context.CancelCauseFunc
	shutdown    atomic.Pointer[Shutdown]
	refusesAll  atomic.Bool
	// stops is the context that beginStop cancels when a shutdown begins.
	stops     context.Context
	beginStop context.CancelFunc
	// successes counts the requests served at the first attempt, of which one in successSample is logged.
	successes atomic.Uint64
}

// New returns a Proxier and registers its metrics in cfg.Metrics.
func New(cfg Config) *Proxier {
	if cfg.Arrived == nil {
		cfg.Arrived = func(now time.Time) time.Time { return now }
	}
	p := &Proxier{cfg: cfg, instruments: newInstruments(cfg.Metrics)}
	if cfg.Acquire != nil {
		p.instruments.addWaits()
	}
	// A registry may hold the gauge of an earlier Proxier.
	_ = cfg.Metrics.Register("held_response_bytes", metrics.NewFunctionalGauge(p.heldBytes.Load))
	p.requests, p.endRequests = context.WithCancelCause(context.Background())
	p.stops, p.beginStop = context.WithCancel(context.Background())
	return p
}

// Running returns the number of requests in progress, including refused ones that are still being answered.
func (p *Proxier) Running() int {
	return int(p.running.Load())
}

// job is the state of one request of a caller while it is being served.
type job struct {
	Request
	p       *Proxier
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	started time.Time
	// deadline is when the timeout of the caller or the route ends, whichever is earlier.
	deadline time.Time
	current  CurrentTable
	route    *mapper.Route
	owner    *mapper.Organisation
	urgency  int
	service  string
	body     []byte
	// bodyBroken is set if only a part of the body was read.
	bodyBroken bool
	// print is the fingerprint that identifies the request in crash reports.
	print blocker.Fingerprint
	// parts are the parts of the prompt that may crash upstreams, and begunAt is the time at which the upstream of the current
	// attempt has begun to answer, which clears them; zero means that it has not. outlived is set once the answer is whole or
	// has gone on for blocker.LateSpan.
	parts    []blocker.Part
	begunAt  time.Time
	outlived bool
	// blocked is the refusal if a part became blocked between two attempts.
	blocked error
	header  http.Header
	// phase says whether the response has begun, or EndRequests has ended the request.
	phase atomic.Int32

	// tried lists the upstreams that were tried, arrivals counts those that may have read the request and runs those that
	// may have run it.
	tried    []string
	arrivals int
	runs     int
	stream   streamState
	// firstByte is the time to the first byte of the response.
	firstByte time.Duration
	choice    placer.Choice
	// onlyCold is set if the last choice failed because the upstreams that were left are cold.
	onlyCold bool
	// mayHaveRunAt lists the upstreams that were tried and may have run the request.
	mayHaveRunAt []string
	// replacement is where the request is sent next, if the last attempt was given up for it.
	replacement *replacement
	// sentAt is the time at which the current attempt was sent, in nanoseconds since 1970; zero means not yet.
	sentAt atomic.Int64
	// abandoned is set if the caller had left when an attempt was about to be sent.
	abandoned bool
	// occupancy is the utilisation of the service's slots when the request arrived, and refusedShare the share of
	// requests that were being refused at that time.
	occupancy    float64
	refusedShare float64
	// reportsLoad is set if the upstreams of the service report their load, and queued is the time for which the request waited
	// for a place.
	reportsLoad bool
	queued      time.Duration
	// assigned is the upstream that was named with the place at a plain service; it may be empty.
	assigned string
}

// ServeHTTP serves one request; it panics with http.ErrAbortHandler to close the connection without a
// complete response.
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
	defer p.bodyBytes.Add(-int64(len(j.body)))
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	defer j.watchShutdown(end)()
	j.ctx = ctx
	release, err := j.acquire()
	if err != nil {
		j.refuse(err)
		return
	}
	defer release()
	p.cfg.CountRequest(j.service)
	j.run()
}

// admit decides whether the request is accepted, and reads its body.
func (j *job) admit() error {
	req, err := j.p.cfg.Codec.DecodeRequest(j.r.Header)
	j.Request = req
	j.deadline = j.started.Add(defaultTimeout)
	if err != nil {
		return newRefusal(http.StatusBadRequest, judge.ReasonInvalid, err.Error())
	}
	if j.p.stopping() && j.current.Table == nil {
		return stoppingRefusal()
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
	j.setDeadline()
	if !j.mayStart() {
		return stoppingRefusal()
	}
	if err := j.readBody(t.Limits); err != nil {
		return err
	}
	if !j.mayStart() { // The shutdown may have begun since.
		j.p.bodyBytes.Add(-int64(len(j.body)))
		return stoppingRefusal()
	}
	j.service = j.route.Service(j.splitSeed())
	j.print = blocker.FingerprintOf(j.r.Method, j.r.RequestURI, j.Key, j.body)
	if err := j.refuseBlocked(j.p.cfg.Crashes.BlockedFor); err != nil {
		j.p.bodyBytes.Add(-int64(len(j.body)))
		return err
	}
	j.parts = blocker.PartsOf(j.promptIDs())
	if err := j.refuseBlockedPart(j.p.cfg.Crashes.BlockedPart); err != nil {
		j.p.bodyBytes.Add(-int64(len(j.body)))
		return err
	}
	j.countWork()
	if err := j.shed(); err != nil {
		j.p.bodyBytes.Add(-int64(len(j.body)))
		return err
	}
	j.header = j.p.cfg.Codec.ForwardHeaders(j.r.Header)
	return nil
}

func (j *job) promptIDs() []string {
	ids := make([]string, len(j.Prompt))
	for i, part := range j.Prompt {
		ids[i] = part.ID
	}
	return ids
}

// refuseBlocked refuses the request if it crashes the upstreams that run it, as find tells.
func (j *job) refuseBlocked(find func(blocker.Fingerprint, time.Time) time.Duration) error {
	left := find(j.print, time.Now())
	if left == 0 {
		return nil
	}
	return &localResponse{
		status: http.StatusServiceUnavailable, reason: judge.ReasonCrashesUpstream, retryAfter: left,
		text: "this request crashes the upstreams that run it",
	}
}

// refuseBlockedPart refuses the request if its prompt has a part that crashes the upstreams that begin to answer, as find
// tells.
func (j *job) refuseBlockedPart(find func([]blocker.Part, time.Time) (blocker.Part, time.Duration, bool)) error {
	part, left, blocked := find(j.parts, time.Now())
	if !blocked {
		return nil
	}
	id := ""
	for _, p := range j.Prompt {
		if blocker.PartOf(p.ID) == part {
			id = p.ID
			break
		}
	}
	return &localResponse{
		status: http.StatusServiceUnavailable, reason: judge.ReasonCrashesUpstream, retryAfter: left,
		text: fmt.Sprintf("the part %s of the prompt (hash %08x) crashes the upstreams that begin to answer", id, uint32(part)),
	}
}

// shed refuses the request if its service is overloaded and other requests have priority.
func (j *job) shed() error {
	now := time.Now()
	occupancy, known := j.p.cfg.Placer.Occupancy(j.service, now)
	if !known {
		return nil
	}
	j.occupancy, j.reportsLoad = occupancy, true
	r := shedder.Request{Service: j.service, Urgency: j.urgency, Remaining: j.deadline.Sub(now)}
	if j.owner != nil {
		r.Organisation = j.owner.Name
	}
	d := j.p.cfg.Shedder.Decide(r, occupancy, now)
	j.refusedShare = d.RefusedShare
	if !d.Refused {
		return nil
	}
	return &localResponse{
		status: http.StatusServiceUnavailable, reason: judge.ReasonOverload, retryAfter: d.RetryAfter,
		text: fmt.Sprintf("the service is overloaded: %.2f of the requests are refused, and %.2f go before this one",
			d.RefusedShare, d.Position),
	}
}

// awaitTable returns the configuration in use. Right after the start it waits up to startupTimeout for the first one
// and returns nil if none arrives.
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

// authorise looks up the route and the organisation, and sets the urgency that follows from them.
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

// unknownRefusal returns status, which is final for the caller, only if the configuration was confirmed recently and is the
// newest one; otherwise it returns 503, since a newer configuration may have the route or key.
func (j *job) unknownRefusal(status int, reason judge.Reason, text string) error {
	if j.current.Superseded || time.Since(j.current.Confirmed) > j.p.cfg.StaleAfter {
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

// splitSeed returns the seed that selects one of the services that share a route; it is the same for all requests of a
// chat.
func (j *job) splitSeed() string {
	if chat := j.Chat(); chat != "" {
		return chat
	}
	return j.ID
}

// readBody reads the whole body, so that a retry can send it again.
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
	if !reserve(&j.p.bodyBytes, reserved, j.p.cfg.MaxBodyBytes) {
		return newRefusal(http.StatusServiceUnavailable, judge.ReasonQueueFull, "the memory for bodies is used up")
	}
	readDeadline := time.Now().Add(min(bodyReadTimeout, time.Until(j.deadline)))
	rc := http.NewResponseController(j.w)
	_ = rc.SetReadDeadline(readDeadline) // It fails only on a connection that is already closed.
	stop := context.AfterFunc(j.p.requests, func() { _ = rc.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	var err error
	if j.r.ContentLength > 0 {
		j.body = make([]byte, j.r.ContentLength)
		_, err = io.ReadFull(j.r.Body, j.body)
	} else {
		body := &reservingReader{p: j.p, body: http.MaxBytesReader(j.w, j.r.Body, maxBytes)}
		j.body, err = io.ReadAll(body)
		reserved = body.reserved
	}
	if err == nil && stop() {
		_ = rc.SetReadDeadline(time.Time{})
		return nil
	}
	j.p.bodyBytes.Add(-reserved)
	j.body, j.bodyBroken = nil, true
	if j.p.requests.Err() != nil {
		return stoppingRefusal()
	}
	if errors.Is(err, errBodyMemory) {
		return newRefusal(http.StatusServiceUnavailable, judge.ReasonQueueFull, "the memory for bodies is used up")
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return newRefusal(http.StatusRequestEntityTooLarge, judge.ReasonInvalid, "the body is too large")
	}
	return newRefusal(http.StatusRequestTimeout, judge.ReasonTimeout, "the body did not arrive")
}

var errBodyMemory = errors.New("the memory for bodies is used up")

// reservingReader reads a body of unknown length and reserves memory for it as it arrives.
type reservingReader struct {
	p        *Proxier
	body     io.Reader
	reserved int64
}

// Read reads from the body, or fails if there is no memory for what arrived.
func (r *reservingReader) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if !reserve(&r.p.bodyBytes, int64(n), r.p.cfg.MaxBodyBytes) {
		return n, errBodyMemory
	}
	r.reserved += int64(n)
	return n, err
}

// localResponse is a response that the router itself generates, as an error.
type localResponse struct {
	status int
	reason judge.Reason
	text   string
	// retryAfter is the "retry after" delay that is sent with 429 and 503; zero means a random delay.
	retryAfter time.Duration
}

// Error returns the text that is sent to the caller.
func (a *localResponse) Error() string {
	return a.text
}

func newRefusal(status int, reason judge.Reason, text string) *localResponse {
	return &localResponse{status: status, reason: reason, text: text}
}

// impliesNotRun reports whether the status guarantees to callers that the request has not run and never will.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// refuse sends the final response to a request that gets none from an upstream.
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
	if j.bodyBroken {
		h.Set("Connection", "close") // The server would wait for the rest of the body before it responds.
	}
	text := a.text + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	j.w.WriteHeader(a.status)
	if _, err := io.WriteString(j.w, text); err != nil && j.r.Context().Err() == nil {
		j.p.instruments.writeErrors.Inc(1)
	}
	j.recordOutcome(a.status, a.reason, a.text)
}
