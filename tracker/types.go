package tracker

import (
	"cmp"
	"fmt"
	"time"
)

// Defaults of Config.
const (
	// DefaultLoadTTL is longer than the few seconds in which gossip refreshes the whole load table.
	DefaultLoadTTL = 10 * time.Second
	// DefaultLivenessTTL is as long as that of a load report, since gossip brings both.
	DefaultLivenessTTL = 10 * time.Second
	// DefaultFlapWindow is the time within which flaps double the wait.
	DefaultFlapWindow = 5 * time.Minute
	// DefaultMinBackoff and DefaultMaxBackoff bound the time until a failed upstream is eligible again.
	DefaultMinBackoff = 2 * time.Second
	DefaultMaxBackoff = 64 * time.Second
)

const (
	// statusChangeWindow is the time for which a change of readiness is passed on before other reports, enough for several
	// requests of each router.
	statusChangeWindow = 3 * time.Second
	// Upstreams of the first host list have most likely been up for long; a process that starts must not treat
	// them all as cold while its peers know better.
	assumedUptime = time.Hour
	// Reports that are read within this time after a pause may have waited in a socket for the whole pause.
	resumeGrace = time.Second
)

// Config configures a Tracker; a zero field takes its default.
type Config struct {
	// LoadTTL is the age at which a load report expires.
	LoadTTL time.Duration
	// LivenessTTL is the time for which an answer or report shows that an upstream is live, and keeps one that the
	// host list lacks.
	LivenessTTL time.Duration
	// FlapWindow is the time within which flaps double the wait from MinWait up to MaxWait.
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

// Host is one entry of the platform's host list.
type Host struct {
	Name    string
	Address string
	Pool    string
	Domain  string
	Leaving bool
}

// Outcome is what a process observed of an attempt at an upstream.
type Outcome int

const (
	// Answered is a first byte of an answer or any refusal that does not speak against the upstream.
	Answered Outcome = iota
	// ConnectionRefused is a connection that could not be opened.
	ConnectionRefused
	// TimedOut is a first byte that did not come before the header timeout.
	TimedOut
	// NotReady is a refusal of an agent whose engine is not ready.
	NotReady
	// Leaving is a refusal that says that the upstream is leaving.
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

// ListChange says what a host list changed.
type ListChange struct {
	// Applied is false if the list is kept aside.
	Applied bool
	Added   []string
	Removed []string
	// Leaving names the upstreams that the list newly marks as leaving.
	Leaving []string
	// Warning says why the list is kept aside.
	Warning string
}

// Load is the known load of a pool.
type Load struct {
	// Work is the work running in the upstreams whose load is known, and Queued the work waiting there, in tokens.
	Work   float64
	Queued float64
	// Known is the number of upstreams whose load is known, and Members the number that may take work.
	Known   int
	Members int
	// Deviation is the standard deviation of Work from what runs now, since the reports are some time old.
	Deviation float64
	// Trend is the change of Work to expect since the reports.
	Trend float64
}

const (
	// marginDeviations is the number of standard deviations by which a cautious process takes the pool's work to be lower than
	// its table says.
	marginDeviations = 2
	// maxMarginShare is the largest part of the pool's work that uncertainty may take away, so that agents that hear little
	// of each other still fill their engines.
	maxMarginShare = 0.2
	// backlogShare is the queued work, as a part of the running, above which it counts as a backlog.
	backlogShare = 0.2
)

// LowerEstimate returns the work that the pool most likely runs at least, in tokens.
func (l Load) LowerEstimate() float64 {
	margin := marginDeviations*l.Deviation + max(0, -l.Trend)
	return l.Work - min(margin, maxMarginShare*l.Work)
}

// Backlog returns the queued work that counts in the mean, in tokens. A few queued requests do not: with them the bound
// on what runs would rise above that of the true mean. A backlog does: without it a pool that starts cold under full
// load never fills its batches, since each agent waits for a mean that it knows late.
func (l Load) Backlog() float64 {
	return max(0, l.Queued-backlogShare*l.Work)
}
