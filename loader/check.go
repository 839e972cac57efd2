package loader

import (
	"fmt"
	"net/netip"
	"slices"
)

// checkSettings records the problems that concern more than one field.
func (d *decoder) checkSettings(s *Settings, env Env) {
	d.checkSharedKey(s, env)
	d.checkListeners(s)
	d.checkUpstream(s)
	d.checkDrain(s)
}

// checkSharedKey checks that the file gives exactly one source of the shared key, and reads the key from the
// environment if the file names a variable. With a nil env it looks up nothing.
func (d *decoder) checkSharedKey(s *Settings, env Env) {
	_, hasKey := d.offsets["shared_key"]
	_, hasEnv := d.offsets["shared_key_env"]
	switch {
	case hasKey && hasEnv:
		d.addProblem("shared_key_env", "is set together with shared_key", "one of shared_key and shared_key_env")
	case !hasKey && !hasEnv:
		d.addProblem("shared_key", "is missing", "one of shared_key and shared_key_env")
	case hasEnv && env != nil && d.hasValid("shared_key_env"):
		value, ok := env(s.SharedKeyEnv)
		// The message leaves out the name of the variable, because an operator may have entered the secret itself instead.
		if !ok {
			d.addProblem("shared_key_env", "names an environment variable that is not set", "")
			return
		}
		if len(value) < minSecretBytes {
			d.addProblem("shared_key_env", fmt.Sprintf("names an environment variable that holds %d bytes", len(value)),
				fmt.Sprintf("at least %d bytes", minSecretBytes))
			return
		}
		s.SharedKey = Secret(value)
	}
}

// listener is an address that the process listens on, with the path of its field.
type listener struct {
	path    string
	address netip.AddrPort
}

// listeners returns the addresses that a router or an agent listens on.
func (d *decoder) listeners(s *Settings) []listener {
	return []listener{
		{"listen", s.Listen},
		{"control_listen", s.ControlListen},
		{"operator_listen", s.OperatorListen},
	}
}

// checkListeners records each listen address that repeats an earlier one.
func (d *decoder) checkListeners(s *Settings) {
	d.checkDistinctAddresses(d.listeners(s))
}

// checkDistinctAddresses records each address that repeats an earlier one; it skips addresses that are unset or invalid.
func (d *decoder) checkDistinctAddresses(listeners []listener) {
	listeners = slices.DeleteFunc(listeners, func(l listener) bool { return !d.hasValid(l.path) })
	for i, l := range listeners {
		for _, earlier := range listeners[:i] {
			if l.address == earlier.address {
				d.addProblem(l.path, "repeats "+earlier.path, "a different address or port")
				break
			}
		}
	}
}

// checkUpstream checks that an agent, and only an agent, has an upstream, that checks_fencing is set only for an engine,
// and that the upstream's address is none of the agent's listen addresses.
func (d *decoder) checkUpstream(s *Settings) {
	if !d.hasValid("role") {
		return
	}
	if s.Role == RoleRouter {
		if s.Upstream != nil {
			d.addProblem("upstream", "is set at a router", "only with role agent")
		}
		return
	}
	if s.Upstream == nil {
		d.addProblem("upstream", "is missing", "an object, required with role agent")
		return
	}
	if _, ok := d.offsets["upstream.checks_fencing"]; ok && s.Upstream.Kind == KindService {
		d.addProblem("upstream.checks_fencing", "is set for a plain service", "only with kind engine")
	}
	if !d.hasValid("upstream.address") {
		return
	}
	for _, l := range d.listeners(s) {
		if l.address == s.Upstream.Address {
			d.addProblem("upstream.address", "repeats "+l.path, "the address of another process")
		}
	}
}

// checkDrain checks that a graceful shutdown leaves enough time for the longest request.
func (d *decoder) checkDrain(s *Settings) {
	if d.invalid["drain.limit"] || d.invalid["drain.grace"] || d.invalid["limits.stream_time"] || d.invalid["upstream.queue_time"] {
		return
	}
	minimum := s.Drain.Grace + s.Limits.StreamTime
	sum := "drain.grace and limits.stream_time"
	if s.Upstream != nil {
		minimum += s.Upstream.QueueTime
		sum = "drain.grace, limits.stream_time and upstream.queue_time"
	}
	if s.Drain.Limit >= minimum {
		return
	}
	path := "drain.limit"
	if !d.hasValid(path) && d.hasValid("limits.stream_time") {
		// The drain limit has its default, and the file raises the stream time beyond it, so the problem is reported at
		// the stream time.
		d.offsets[path] = d.offsets["limits.stream_time"]
	}
	d.addProblem(path, fmt.Sprintf("%v would cut running requests", s.Drain.Limit),
		fmt.Sprintf("at least %v, the sum of %s", minimum, sum))
}
