package operator

import (
	"fmt"

	"clementineramp/configurer"
)

// State is the stage of the life cycle of a process.
type State string

// The states of a process.
const (
	// StateStarting is the state until the process has a configuration.
	StateStarting State = "starting"
	// StateReady is the state of a process that accepts requests.
	StateReady State = "ready"
	// StateLeaving is the state during the grace period of a graceful shutdown; requests are still accepted.
	StateLeaving State = "leaving"
	// StateDraining is the state after the grace period; no new requests are accepted, and running ones are finished.
	StateDraining State = "draining"
)

// UnmarshalText decodes a state; it returns an error for any text that is not one of the states above.
func (s *State) UnmarshalText(text []byte) error {
	switch v := State(text); v {
	case StateStarting, StateReady, StateLeaving, StateDraining:
		*s = v
		return nil
	default:
		return fmt.Errorf("unknown state %q: want starting, ready, leaving or draining", text)
	}
}

// Status is the response to GET /status.
type Status struct {
	Name          string `json:"name"`
	Role          string `json:"role"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Incarnation   uint64 `json:"incarnation,string"`
	State         State  `json:"state"`
	// UptimeMS is the time since the start of the process, in milliseconds.
	UptimeMS int64 `json:"uptime_ms"`
	// Running is the number of running requests.
	Running int `json:"running"`
	// Queued is the number of requests in the queue.
	Queued        int           `json:"queued"`
	Configuration Configuration `json:"configuration"`
	// ControlBytesPerSecond is the recent rate of control traffic, sent and received together.
	ControlBytesPerSecond float64 `json:"control_bytes_per_second"`
	// Upstreams is the load table of the process.
	Upstreams []Upstream `json:"upstreams,omitempty"`
	// Alarms are the conditions that need an operator.
	Alarms []string `json:"alarms,omitempty"`
}

// Configuration describes the current configuration of a process; its version is 0 if there is none.
type Configuration struct {
	Version uint64 `json:"version"`
	// Digest is the digest of the manifest.
	Digest configurer.Digest `json:"digest,omitempty"`
	// ConfirmedMS is the time since the platform last confirmed the configuration, in milliseconds; it is negative if the
	// platform never did.
	ConfirmedMS int64 `json:"confirmed_ms"`
}

// Upstream is the state of one upstream as known to a process.
type Upstream struct {
	Name          string `json:"name"`
	Pool          string `json:"pool"`
	FailureDomain string `json:"failure_domain"`
	// State is joining, live, suspect, leaving or down.
	State string `json:"state"`
	// Work is the work of the running requests, in tokens.
	Work float64 `json:"work"`
	// Queued is the work of the queued requests, in tokens.
	Queued float64 `json:"queued"`
	// AgeMS is the age of the report from which this entry was made, in milliseconds.
	AgeMS int64 `json:"age_ms"`
	// Version is the model version that is ready.
	Version string `json:"version,omitempty"`
}

// DrainReply is the response to POST /drain and GET /healthz.
type DrainReply struct {
	State State `json:"state"`
}
