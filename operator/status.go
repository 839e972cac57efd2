package operator

import (
	"fmt"

	"clementineramp/configurer"
)

// State says how far a process is in its life.
type State string

// The states of a process.
const (
	// StateStarting is the state until the process has a configuration.
	StateStarting State = "starting"
	// StateReady is the state of a process that takes work.
	StateReady State = "ready"
	// StateLeaving is the state during the grace time of a planned stop; work is still accepted.
	StateLeaving State = "leaving"
	// StateDraining is the state after the grace time; the requests that run are finished.
	StateDraining State = "draining"
)

// UnmarshalText decodes a state and refuses any other text.
func (s *State) UnmarshalText(text []byte) error {
	switch v := State(text); v {
	case StateStarting, StateReady, StateLeaving, StateDraining:
		*s = v
		return nil
	default:
		return fmt.Errorf("unknown state %q: want starting, ready, leaving or draining", text)
	}
}

// Status is what GET /status shows of a process.
type Status struct {
	Name          string `json:"name"`
	Role          string `json:"role"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Incarnation   uint64 `json:"incarnation,string"`
	State         State  `json:"state"`
	// UptimeMS is the time since the start of the process, in milliseconds.
	UptimeMS int64 `json:"uptime_ms"`
	// Running counts the requests that run.
	Running int `json:"running"`
	// Queued counts the requests that wait.
	Queued        int           `json:"queued"`
	Configuration Configuration `json:"configuration"`
	// ControlBytesPerSecond is the recent rate of control traffic, sent and received.
	ControlBytesPerSecond float64 `json:"control_bytes_per_second"`
	// Upstreams is the load table of the process.
	Upstreams []Upstream `json:"upstreams,omitempty"`
	// Alarms are the conditions that need an operator.
	Alarms []string `json:"alarms,omitempty"`
}

// Configuration is the configuration in force at a process; its version is 0 when there is none.
type Configuration struct {
	Version uint64 `json:"version"`
	// Digest is the digest of the manifest.
	Digest configurer.Digest `json:"digest,omitempty"`
	// ConfirmedMS is the time since the platform last confirmed it, in milliseconds; it is negative if it never did.
	ConfirmedMS int64 `json:"confirmed_ms"`
}

// Upstream is what a process knows of one upstream.
type Upstream struct {
	Name          string `json:"name"`
	Pool          string `json:"pool"`
	FailureDomain string `json:"failure_domain"`
	// State is joining, live, suspect, leaving or down.
	State string `json:"state"`
	// Work is the work that runs, in tokens.
	Work float64 `json:"work"`
	// Queued is the work that waits, in tokens.
	Queued float64 `json:"queued"`
	// AgeMS is the time since the report on which the entry rests, in milliseconds.
	AgeMS int64 `json:"age_ms"`
	// Version is the model version that is ready.
	Version string `json:"version,omitempty"`
}

// DrainReply is the answer to POST /drain.
type DrainReply struct {
	State State `json:"state"`
}
