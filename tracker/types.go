package tracker

import (
	"cmp"
	"fmt"
	"time"
)

// Defaults of Config.
const (
	// DefaultLoadTTL is longer than the few seconds that gossip takes to refresh the whole load table.
	DefaultLoadTTL = 10 * time.Second
	// DefaultLivenessTTL equals DefaultLoadTTL, since a report that arrives by gossip shows both load and liveness.
	DefaultLivenessTTL = 10 * time.Second
	// DefaultFlapWindow is the time after a flap within which the next one doubles the backoff.
	DefaultFlapWindow = 5 * time.Minute
	// DefaultMinBackoff and DefaultMaxBackoff bound the time until a failed upstream may be tried again.
	DefaultMinBackoff = 2 * time.Second
	DefaultMaxBackoff = 64 * time.Second
)

const (
	// statusChangeWindow is the time for which a change of readiness or of the leaving state is forwarded ahead of other
	// reports. It is enough for several requests of each router.
	statusChangeWindow = 3 * time.Second
	// assumedUptime is the uptime of upstreams of the first host list before their first report. Most of them have been up
	// for long, and a process that starts must not treat them all as cold while its peers have their real uptimes.
	assumedUptime = time.Hour
	// resumeGrace is the time after a pause during which a report may have waited in a socket for the whole pause.
	resumeGrace = time.Second
)

// Config configures a Tracker; a zero field takes its default.
type Config struct {
	// LoadTTL is the age above which a load report has expired.
	LoadTTL time.Duration
	// LivenessTTL is the time for which an upstream counts as live after an answer or report, and for which it stays a
	// member although the host list lacks it.
	LivenessTTL time.Duration
	// FlapWindow is the time after a flap within which the next one doubles the backoff, from MinBackoff up to
	// MaxBackoff. A flap is a restart or a failure other than NotReady, outside the backoff of an earlier failure.
	FlapWindow time.Duration
	MinBackoff time.Duration
	MaxBackoff time.Duration
}

func (cfg Config) withDefaults() Config {
	cfg.LoadTTL = cmp.Or(cfg.LoadTTL, DefaultLoadTTL)
	cfg.LivenessTTL = cmp.Or(cfg.LivenessTTL, DefaultLivenessTTL)
	cfg.FlapWindow = cmp.Or(cfg.FlapWindow, DefaultFlapWindow)
	cfg.MinBackoff = cmp.Or(cfg.MinBackoff, DefaultMinBackoff)
	cfg.MaxBackoff = cmp.Or(cfg.MaxBackoff, DefaultMaxBackoff)
	return cfg
}

// Host is one upstream in the platform's host list.
type Host struct {
	Name    string
	Address string
	Pool    string
	Domain  string
	Leaving bool
}

// Outcome is the outcome of an attempt at an upstream, as observed by this process.
type Outcome int

const (
	// Answered means that the first byte of an answer arrived, or a refusal that does not indicate a fault of the
	// upstream.
	Answered Outcome = iota
	// ConnectionRefused means that no connection could be opened.
	ConnectionRefused
	// TimedOut means that the first byte did not arrive before the header timeout.
	TimedOut
	// NotReady means that the agent refused the request because its engine is not ready.
	NotReady
	// Leaving means that the agent refused the request because the upstream is leaving.
	Leaving
)

var outcomeNames = [...]string{
	Answered:          "answered",
	ConnectionRefused: "connection_refused",
	TimedOut:          "timed_out",
	NotReady:          "not_ready",
	Leaving:           "leaving",
}

// String returns the name of the outcome in logs.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return fmt.Sprintf("outcome(%d)", int(o))
	}
	return outcomeNames[o]
}

// Observation is the outcome of one attempt at an upstream.
type Observation struct {
	Upstream string
	Outcome  Outcome
}

// ListChange describes the changes due to a host list, by names of upstreams.
type ListChange struct {
	// Applied is false if the list is kept as pending, or if there was none to apply.
	Applied bool
	Added   []string
	Removed []string
	// Leaving names the upstreams that this list marks as leaving and the previous one did not.
	Leaving []string
	// Warning is the reason why the list was not applied, or empty.
	Warning string
}

// Load is the known load of a pool.
type Load struct {
	// Work is the running work of the upstreams whose load is known, and Queued the work in their queues, in tokens.
	Work   float64
	Queued float64
	// Known is the number of upstreams whose load is known, and Members the number that may accept work.
	Known   int
	Members int
	// Deviation is the estimated standard deviation of Work from the work that runs now, in tokens, due to the age of the
	// reports.
	Deviation float64
	// Trend is the expected change of Work since the reports, in tokens.
	Trend float64
}

const (
	// marginDeviations is the number of standard deviations that LowerEstimate deducts from the known work of a pool.
	marginDeviations = 2
	// maxMarginShare is the largest fraction of the known work that LowerEstimate deducts, so that agents that receive
	// few reports of each other still fill their engines.
	maxMarginShare = 0.2
	// backlogShare is the fraction of the running work above which queued work counts as a backlog.
	backlogShare = 0.2
)

// LowerEstimate returns a lower estimate of the work that the pool runs now, in tokens. It deducts a margin for the
// age of the reports and for a falling trend from the known work.
func (l Load) LowerEstimate() float64 {
	margin := marginDeviations*l.Deviation + max(0, -l.Trend)
	return l.Work - min(margin, maxMarginShare*l.Work)
}

// Backlog returns the queued work that counts in the mean, in tokens. A few queued requests do not count, since they would
// raise the bound on running work above that of the true mean. A backlog counts: without it, a pool that starts cold
// under full load never fills its batches, since each agent waits for a mean that it receives with a delay.
func (l Load) Backlog() float64 {
	return max(0, l.Queued-backlogShare*l.Work)
}
