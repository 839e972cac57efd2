package chooser

import (
	"fmt"
	"time"
)

// State is the state of an upstream as one process observes it.
type State int

const (
	// Joining is the state of an upstream that has not answered or reported recently, or that may be tried again after a
	// failure.
	Joining State = iota
	// Live is the state of an upstream that has answered or reported recently.
	Live
	// Suspect is the state of an upstream that did not send the first byte of an answer before the timeout.
	Suspect
	// Leaving is the state of an upstream that accepts no new work.
	Leaving
	// Down is the state of an upstream that refused a connection, is not ready, or is in its backoff after a restart.
	Down
)

var stateNames = [...]string{Joining: "joining", Live: "live", Suspect: "suspect", Leaving: "leaving", Down: "down"}

// String returns the name of the state in logs.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return fmt.Sprintf("state(%d)", int(s))
	}
	return stateNames[s]
}

// MarshalText encodes the state as its name.
func (s State) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// UnmarshalText decodes the name of a state and returns an error for any other text.
func (s *State) UnmarshalText(text []byte) error {
	for i, name := range stateNames {
		if name == string(text) {
			*s = State(i)
			return nil
		}
	}
	return fmt.Errorf("unknown upstream state %q", text)
}

// Upstream is the state and load of one upstream, as known to one process.
type Upstream struct {
	Name   string `json:"name"`
	Domain string `json:"domain,omitempty"`
	State  State  `json:"state"`
	// Known is true if Work and Queued come from a load report that has not expired.
	Known bool `json:"known,omitempty"`
	// Work is the running work of the upstream, in tokens.
	Work float64 `json:"work,omitempty"`
	// Queued is the work in the queue of its agent, in tokens.
	Queued float64 `json:"queued,omitempty"`
	// WorkAge is the time since the agent measured the load.
	WorkAge time.Duration `json:"work_age_ns,omitempty"`
	// Version is the model version that is ready, as last reported by the agent.
	Version string `json:"version,omitempty"`
	// Uptime is the time since the upstream became ready, as reported by its agent; it is an estimate before the first
	// report.
	Uptime time.Duration `json:"uptime_ns,omitempty"`
}
