package caller

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"clementineramp/configurer"
	"clementineramp/encoder"
	"clementineramp/judge"
)

// Names of the headers that callers send.
const (
	// RankHeader names the rank of a request; the organisation's own rank is the default.
	RankHeader = "Clementine-Rank"
	// ChatHeader identifies a chat, so that its turns meet the same engine.
	ChatHeader = "Clementine-Chat"
	// DeadlineHeader is the time until the first byte of the answer is due, in milliseconds.
	DeadlineHeader = "Clementine-Deadline-Ms"
	// KeyHeader is the idempotency key or ticket of an order.
	KeyHeader = "Idempotency-Key"
)

// deadlineTargets is the number of targets of its rank after which a request without a deadline of its own is refused.
const deadlineTargets = 2

// maxNameBytes bounds a name that a caller gives in a header.
const maxNameBytes = 256

// Emit passes an event of an answer to the caller; an error means that the caller is gone.
type Emit func(encoder.Event) error

// Chat is an authenticated chat request.
type Chat struct {
	Organisation configurer.Organisation
	Rank         string
	// Chat is the caller's name for the chat; it may be empty.
	Chat     string
	Deadline time.Duration
	Body     encoder.ChatRequest
	Started  time.Time
}

// Resume is an authenticated request for the rest of an answer.
type Resume struct {
	Organisation configurer.Organisation
	Stream       encoder.StreamID
	// Offset is the number of events that the caller has.
	Offset int
}

// Order is an authenticated call of a plain service.
type Order struct {
	Organisation configurer.Organisation
	Rank         string
	Service      string
	Method       string
	// Path is the path at the service with its query.
	Path     string
	Header   http.Header
	Key      string
	Body     []byte
	Deadline time.Duration
	Started  time.Time
}

// Response is the answer of a plain service.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Ticket is the permission to run one order once.
type Ticket struct {
	Ticket      string `json:"ticket"`
	ExpiresInMS int64  `json:"expires_in_ms"`
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	// BodyBytes bounds a request's body.
	BodyBytes int64
	// HeaderBytes bounds a request's header.
	HeaderBytes int
	// HeaderTime bounds the time to read a header.
	HeaderTime time.Duration
	// IdleTime closes a connection without requests.
	IdleTime time.Duration
	// BodyTime bounds the time to read a body.
	BodyTime time.Duration
	// Deadline is the longest time until the first byte of an answer.
	Deadline time.Duration
	// StreamTime bounds a request from its arrival to the end of its answer, and StreamBytes the size of the answer.
	StreamTime  time.Duration
	StreamBytes int64
}

// Config says how the edge authenticates and where it passes requests.
type Config struct {
	Limits Limits
	// Snapshot returns the configuration in force, or nil while there is none.
	Snapshot func() *configurer.Snapshot
	// Ready returns an error when the load balancer should send no more requests.
	Ready func() error
	// Accepting returns an error while new requests are refused.
	Accepting func() error
	Chat      func(ctx context.Context, c Chat, emit Emit) error
	Resume    func(ctx context.Context, r Resume, emit Emit) error
	Ticket    func(ctx context.Context, o configurer.Organisation, service string) (Ticket, error)
	Order     func(ctx context.Context, o Order) (Response, error)
}

// Edge serves callers.
type Edge struct {
	cfg  Config
	echo *echo.Echo
}

// New returns an edge; zero limits get defaults.
func New(cfg Config) *Edge {
	l := &cfg.Limits
	setDefault(&l.BodyBytes, 4<<20)
	setDefault(&l.HeaderBytes, 32<<10)
	setDefault(&l.HeaderTime, 5*time.Second)
	setDefault(&l.IdleTime, 90*time.Second)
	setDefault(&l.BodyTime, 30*time.Second)
	setDefault(&l.Deadline, 30*time.Second)
	setDefault(&l.StreamTime, 10*time.Minute)
	setDefault(&l.StreamBytes, 16<<20)
	e := &Edge{cfg: cfg, echo: echo.New()}
	e.echo.HideBanner = true
	e.echo.HTTPErrorHandler = e.writeError
	e.echo.POST("/v1/chat/completions", e.serveChat)
	e.echo.GET("/v1/streams/:id", e.serveResume)
	e.echo.POST("/v1/services/:service/tickets", e.serveTicket)
	e.echo.Any("/v1/services/:service/call/*", e.serveOrder)
	e.echo.GET("/v1/ready", e.serveReady)
	return e
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Handler returns the handler of the callers' address.
func (e *Edge) Handler() http.Handler {
	return e.echo
}

// Server returns an HTTP server with the edge's limits.
func (e *Edge) Server() *http.Server {
	return &http.Server{
		Handler:           e.echo,
		ReadHeaderTimeout: e.cfg.Limits.HeaderTime,
		IdleTimeout:       e.cfg.Limits.IdleTime,
		MaxHeaderBytes:    e.cfg.Limits.HeaderBytes,
	}
}

// writeError answers requests that no route takes.
func (e *Edge) writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var judged *judge.Error
	if errors.As(err, &judged) {
		encoder.NewRefusal(err).Write(c.Response())
		return
	}
	var httpErr *echo.HTTPError
	if errors.As(err, &httpErr) {
		encoder.NewRefusal(judge.Refuse(judge.ReasonNotFound, "%s %s: %v", c.Request().Method, c.Request().URL.Path, httpErr.Message)).Write(c.Response())
		return
	}
	encoder.NewRefusal(err).Write(c.Response())
}

func (e *Edge) serveReady(c echo.Context) error {
	if err := e.check(e.cfg.Ready); err != nil {
		return err
	}
	return c.String(http.StatusOK, "ready\n")
}

// check returns an error while there is no configuration or state returns one.
func (e *Edge) check(state func() error) error {
	if state != nil {
		if err := state(); err != nil {
			return err
		}
	}
	if e.cfg.Snapshot() == nil {
		return judge.Refuse(judge.ReasonNotReady, "no configuration is in force yet")
	}
	return nil
}

// identity is what the header of a request says of its caller.
type identity struct {
	organisation configurer.Organisation
	rank         string
	deadline     time.Duration
}

func (e *Edge) authenticate(r *http.Request) (identity, error) {
	if err := e.check(e.cfg.Accepting); err != nil {
		return identity{}, err
	}
	snapshot := e.cfg.Snapshot()
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return identity{}, judge.Refuse(judge.ReasonUnauthorised, "header Authorization: want Bearer and the organisation's key")
	}
	organisation, ok := snapshot.Authenticate(key)
	if !ok {
		return identity{}, judge.Refuse(judge.ReasonUnauthorised, "the key belongs to no organisation")
	}
	id := identity{organisation: organisation, rank: organisation.Rank}
	if rank := r.Header.Get(RankHeader); rank != "" {
		if _, _, known := snapshot.Rank(rank); !known || !organisation.Allows(rank) {
			return identity{}, judge.Refuse(judge.ReasonInvalid, "header %s: the organisation may not use rank %q", RankHeader, rank)
		}
		id.rank = rank
	}
	id.deadline = e.cfg.Limits.Deadline
	if rank, _, ok := snapshot.Rank(id.rank); ok {
		// A rank with a slow target may wait longer than the general limit.
		id.deadline = max(id.deadline, deadlineTargets*rank.Target())
	}
	if text := r.Header.Get(DeadlineHeader); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return identity{}, judge.Refuse(judge.ReasonInvalid, "header %s: want a positive number of milliseconds, have %q", DeadlineHeader, text)
		}
		// The comparison in milliseconds keeps a large number from overflowing to a negative deadline.
		id.deadline = time.Duration(min(id.deadline.Milliseconds(), ms)) * time.Millisecond
	}
	return id, nil
}

func nameHeader(r *http.Request, header string) (string, error) {
	name := r.Header.Get(header)
	if len(name) > maxNameBytes {
		return "", judge.Refuse(judge.ReasonInvalid, "header %s has %d bytes, want at most %d", header, len(name), maxNameBytes)
	}
	return name, nil
}
