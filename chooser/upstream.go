package chooser

import (
	"fmt"
	"time"
)

// State is the condition of an upstream as one process sees it.
type State int

const (
	// Joining is the state of an upstream that has not been heard of yet, or that is due for a trial after a failure.
	Joining State = iota
	// Live is the state of an upstream that answers.
	Live
	// Suspect is the state of an upstream that sent no first byte in time.
	Suspect
	// Leaving is the state of an upstream that takes no new work.
	Leaving
	// Down is the state of an upstream that refused a connection, is not ready, or is held back after a restart.
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

// UnmarshalText decodes the name of a state and refuses any other text.
func (s *State) UnmarshalText(text []byte) error {
	for i, name := range stateNames {
		if name == string(text) {
			*s = State(i)
			return nil
		}
	}
	return fmt.Errorf("unknown upstream state %q", text)
}

// Upstream is what a process knows of one upstream.
type Upstream struct {
	Name   string `json:"name"`
	Domain string `json:"domain,omitempty"`
	State  State  `json:"state"`
	// Known says that Work and Queued hold a report that has not expired.
	Known bool `json:"known,omitempty"`
	// Work is the work running in the upstream, in tokens.
	Work float64 `json:"work,omitempty"`
	// Queued is the work waiting at the agent, in tokens.
	Queued float64 `json:"queued,omitempty"`
	// WorkAge is the time since the agent measured the load.
	WorkAge time.Duration `json:"work_age_ns,omitempty"`
	// Version is the model version that is ready, as the agent last reported it.
	Version string `json:"version,omitempty"`
	// Uptime is the time since the upstream became ready, as its agent reports it.
	Uptime time.Duration `json:"uptime_ns,omitempty"`
}
