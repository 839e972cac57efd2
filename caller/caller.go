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
	// RankHeader names the rank of a request; the default is the rank of the organisation.
	RankHeader = "Clementine-Rank"
	// ChatHeader identifies a chat, so that its turns are sent to the same engine.
	ChatHeader = "Clementine-Chat"
	// DeadlineHeader holds the time until the first byte of the answer is due, in milliseconds.
	DeadlineHeader = "Clementine-Deadline-Ms"
	// KeyHeader holds the idempotency key or the ticket of an order.
	KeyHeader = "Idempotency-Key"
)

// deadlineFactor is the multiple of the latency target of a rank that is the default deadline of its requests, unless
// Limits.Deadline is longer. A request can only shorten its deadline.
const deadlineFactor = 2

// maxNameBytes is the maximum length of a chat name or key in a header, in bytes.
const maxNameBytes = 256

// Emit sends an event of an answer to the caller. An error means that the caller has disconnected or that the answer has
// exceeded a limit.
type Emit func(encoder.Event) error

// Chat is an authenticated chat request.
type Chat struct {
	Organisation configurer.Organisation
	Rank         string
	// Chat is the caller's name for the chat; it may be empty.
	Chat string
	// Deadline is the time from Started until the first byte of the answer is due.
	Deadline time.Duration
	Body     encoder.ChatRequest
	Started  time.Time
}

// Resume is an authenticated request for the rest of an answer.
type Resume struct {
	Organisation configurer.Organisation
	Stream       encoder.StreamID
	// Offset is the number of events that the caller has received.
	Offset int
}

// Order is an authenticated call to a plain service.
type Order struct {
	Organisation configurer.Organisation
	Rank         string
	Service      string
	Method       string
	// Path is the path at the service with its query.
	Path   string
	Header http.Header
	// Key is the caller's own key or a ticket; it may be empty.
	Key  string
	Body []byte
	// Deadline is the maximum wait for the response.
	Deadline time.Duration
	Started  time.Time
}

// Response is the response of a plain service.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Ticket permits running one order once, until it expires.
type Ticket struct {
	Ticket      string `json:"ticket"`
	ExpiresInMS int64  `json:"expires_in_ms"`
}

// Limits holds the limits on requests and responses.
type Limits struct {
	// BodyBytes is the maximum size of the body of a request; zero means 4 MiB.
	BodyBytes int64
	// HeaderBytes is the maximum size of the header of a request; zero means 32 KiB.
	HeaderBytes int
	// HeaderTime is the maximum time for reading a header; zero means 5 s.
	HeaderTime time.Duration
	// IdleTime is the time after which an idle connection is closed; zero means 90 s.
	IdleTime time.Duration
	// BodyTime is the maximum time for reading a body; zero means 30 s.
	BodyTime time.Duration
	// Deadline is the maximum time until the first byte of an answer, unless the rank has a long target; zero means 30 s.
	Deadline time.Duration
	// StreamTime is the maximum time from the arrival of a request to the end of its answer, and StreamBytes the maximum
	// size of a streamed answer. Zero means 10 min and 16 MiB.
	StreamTime  time.Duration
	StreamBytes int64
}

// Config holds the settings and dependencies of an Edge.
type Config struct {
	Limits Limits
	// Snapshot returns the current configuration, or nil while there is none.
	Snapshot func() *configurer.Snapshot
	// Ready returns an error while the load balancer should send no requests; a nil function counts as ready.
	Ready func() error
	// Accepting returns an error while new requests are refused; a nil function means that they never are.
	Accepting func() error
	Chat      func(ctx context.Context, c Chat, emit Emit) error
	Resume    func(ctx context.Context, r Resume, emit Emit) error
	Ticket    func(ctx context.Context, o configurer.Organisation, service string) (Ticket, error)
	Order     func(ctx context.Context, o Order) (Response, error)
}

// Edge is the HTTP interface to callers.
type Edge struct {
	cfg  Config
	echo *echo.Echo
}

// New returns an edge; limits that are zero are set to their defaults.
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

// Handler returns the handler for the address at which callers connect.
func (e *Edge) Handler() http.Handler {
	return e.echo
}

// Server returns an HTTP server with the edge's handler and limits; it does not listen yet.
func (e *Edge) Server() *http.Server {
	return &http.Server{
		Handler:           e.echo,
		ReadHeaderTimeout: e.cfg.Limits.HeaderTime,
		IdleTimeout:       e.cfg.Limits.IdleTime,
		MaxHeaderBytes:    e.cfg.Limits.HeaderBytes,
	}
}

// writeError turns the error of a handler, or of a request without a matching route, into a refusal.
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

// check calls state, which may be nil, and returns its error. If there is none, it returns an error while there is no
// configuration.
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

// identity holds the organisation, rank and deadline that the header of a request gives.
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
		// Requests of a rank with a long target may wait longer than the general limit.
		id.deadline = max(id.deadline, deadlineFactor*rank.Target())
	}
	if text := r.Header.Get(DeadlineHeader); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return identity{}, judge.Refuse(judge.ReasonInvalid, "header %s: want a positive number of milliseconds, have %q", DeadlineHeader, text)
		}
		// Comparing in milliseconds keeps a large number from overflowing to a negative deadline.
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
