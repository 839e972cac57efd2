package operator

import (
	"errors"
	"expvar"
	"net/http"
	"net/http/pprof"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"

	"clementineramp/encoder"
	"clementineramp/judge"
)

// Config holds the settings and dependencies of the endpoints for operators.
type Config struct {
	// SharedKey is the key from which the token for POST /drain is derived.
	SharedKey string
	// State returns the state of the process; it must not block.
	State func() State
	// Status returns the response to GET /status. If it blocks, the request times out.
	Status func() Status
	// Drain begins the graceful shutdown and must not block; it is called for each POST /drain with a valid token.
	Drain func()
	// Registry holds the metrics that GET /metrics returns.
	Registry metrics.Registry
	// Logger receives an event for each POST /drain.
	Logger hclog.Logger
}

// Limits on requests of operators.
const (
	headerTimeout = 5 * time.Second
	readTimeout   = 10 * time.Second
	// responseTimeout is the time limit of all responses except those below debugPrefix.
	responseTimeout = 5 * time.Second
	// writeTimeout leaves time for a profile of 30 s, the default of go tool pprof.
	writeTimeout   = 60 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 8 << 10
	maxBodyBytes   = 4 << 10
)

// debugPrefix is the path prefix of pprof and expvar.
const debugPrefix = "/debug/"

// NewServer returns a server for the operators' address with limits on all times and sizes; it does not listen yet.
func NewServer(cfg Config) *http.Server {
	return &http.Server{
		Handler:           Handler(cfg),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          cfg.Logger.StandardLogger(nil),
	}
}

// Handler returns a handler for the endpoints for operators.
func Handler(cfg Config) http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = writeError
	e.GET("/status", serveJSON(func() (int, Status) { return http.StatusOK, cfg.Status() }))
	e.GET("/healthz", serveJSON(func() (int, DrainReply) { return health(cfg.State()) }))
	e.GET("/metrics", func(c echo.Context) error { return serveMetrics(c, cfg.Registry) })
	e.POST("/drain", func(c echo.Context) error { return serveDrain(c, cfg) })

	debug := echo.New()
	debug.HTTPErrorHandler = writeError
	debug.GET("/debug/vars", echo.WrapHandler(expvar.Handler()))
	debug.GET("/debug/pprof/cmdline", echo.WrapHandler(http.HandlerFunc(pprof.Cmdline)))
	debug.GET("/debug/pprof/profile", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	debug.GET("/debug/pprof/symbol", echo.WrapHandler(http.HandlerFunc(pprof.Symbol)))
	debug.GET("/debug/pprof/trace", echo.WrapHandler(http.HandlerFunc(pprof.Trace)))
	debug.GET("/debug/pprof/*", echo.WrapHandler(http.HandlerFunc(pprof.Index)))

	// The time limit is enforced outside echo, because a handler that still runs after a time-out must keep its
	// echo.Context, which echo would otherwise reuse.
	limited := http.TimeoutHandler(e, responseTimeout, "the process gave no answer in time\n")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		if strings.HasPrefix(r.URL.Path, debugPrefix) {
			debug.ServeHTTP(w, r)
			return
		}
		limited.ServeHTTP(w, r)
	})
}

// serveJSON returns a handler that responds with the status code and value of get.
func serveJSON[T any](get func() (int, T)) echo.HandlerFunc {
	return func(c echo.Context) error {
		status, v := get()
		c.Response().Header().Set("Cache-Control", "no-store")
		return c.JSON(status, v)
	}
}

// health returns 200 only for a process that accepts new requests and is not about to shut down.
func health(s State) (int, DrainReply) {
	if s == StateReady {
		return http.StatusOK, DrainReply{State: s}
	}
	return http.StatusServiceUnavailable, DrainReply{State: s}
}

func serveDrain(c echo.Context, cfg Config) error {
	from := c.Request().RemoteAddr
	if !authorised(c.Request(), cfg.SharedKey) {
		cfg.Logger.Warn("drain_refused", "from", from, "reason", judge.ReasonUnauthorised)
		c.Response().Header().Set("WWW-Authenticate", "Bearer")
		return judge.Refuse(judge.ReasonUnauthorised, "the token of the shared key is missing or wrong")
	}
	cfg.Logger.Info("drain_requested", "from", from)
	cfg.Drain()
	return c.JSON(http.StatusAccepted, DrainReply{State: cfg.State()})
}

// serveMetrics responds with JSON, or with text if the header Accept begins with text/plain.
func serveMetrics(c echo.Context, r metrics.Registry) error {
	c.Response().Header().Set("Cache-Control", "no-store")
	c.Response().Header().Set("Vary", "Accept")
	if strings.HasPrefix(c.Request().Header.Get("Accept"), "text/plain") {
		c.Response().Header().Set("Content-Type", "text/plain; charset=utf-8")
		metrics.WriteOnce(r, c.Response())
		return nil
	}
	return c.JSON(http.StatusOK, nonFiniteToNull(r.GetAll()))
}

// writeError writes an error as a refusal.
func writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var httpErr *echo.HTTPError
	if !errors.As(err, &httpErr) {
		encoder.NewRefusal(err).Write(c.Response())
		return
	}
	refusal := encoder.NewRefusal(judge.Refuse(judge.ReasonNotFound, "%v", httpErr.Message))
	if httpErr.Code != http.StatusNotFound {
		refusal = encoder.NewRefusal(judge.Refuse(judge.ReasonInvalid, "%v", httpErr.Message))
	}
	_ = c.JSON(httpErr.Code, refusal)
}
