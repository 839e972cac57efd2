package loader

import (
	"fmt"
	"net/netip"
	"slices"
)

// check records the faults that lie between fields.
func (d *decoder) check(s *Settings, env Env) {
	d.checkKey(s, env)
	d.checkListen(s)
	d.checkUpstream(s)
	d.checkDrain(s)
}

// checkKey resolves the shared key.
func (d *decoder) checkKey(s *Settings, env Env) {
	_, hasKey := d.at["shared_key"]
	_, hasEnv := d.at["shared_key_env"]
	switch {
	case hasKey && hasEnv:
		d.fault("shared_key_env", "is set beside shared_key", "one of shared_key and shared_key_env")
	case !hasKey && !hasEnv:
		d.fault("shared_key", "is missing", "one of shared_key and shared_key_env")
	case hasEnv && env != nil && d.set("shared_key_env"):
		value, ok := env(s.SharedKeyEnv)
		// The message names no variable, because an operator may have put the secret itself here.
		if !ok {
			d.fault("shared_key_env", "names an environment variable that is not set", "")
			return
		}
		if len(value) < minSecretLength {
			d.fault("shared_key_env", fmt.Sprintf("names an environment variable that holds %d bytes", len(value)),
				fmt.Sprintf("at least %d bytes", minSecretLength))
			return
		}
		s.SharedKey = Secret(value)
	}
}

// listener is an address that the process listens on.
type listener struct {
	path    string
	address netip.AddrPort
}

// listeners returns the addresses that the process listens on.
func (d *decoder) listeners(s *Settings) []listener {
	return []listener{
		{"listen", s.Listen},
		{"control_listen", s.ControlListen},
		{"operator_listen", s.OperatorListen},
	}
}

// checkListen refuses an address that two listeners share.
func (d *decoder) checkListen(s *Settings) {
	d.checkDistinct(d.listeners(s))
}

// checkDistinct refuses an address that two valid listeners share.
func (d *decoder) checkDistinct(all []listener) {
	all = slices.DeleteFunc(all, func(l listener) bool { return !d.set(l.path) })
	for i, l := range all {
		for _, earlier := range all[:i] {
			if l.address == earlier.address {
				d.fault(l.path, "repeats "+earlier.path, "a different address or port")
				break
			}
		}
	}
}

func (d *decoder) checkUpstream(s *Settings) {
	if !d.set("role") {
		return
	}
	if s.Role == RoleRouter {
		if s.Upstream != nil {
			d.fault("upstream", "is set at a router", "only with role agent")
		}
		return
	}
	if s.Upstream == nil {
		d.fault("upstream", "is missing", "an object, required with role agent")
		return
	}
	if _, ok := d.at["upstream.checks_fencing"]; ok && s.Upstream.Kind == KindService {
		d.fault("upstream.checks_fencing", "is set for a plain service", "only with kind engine")
	}
	if !d.set("upstream.address") {
		return
	}
	for _, l := range d.listeners(s) {
		if l.address == s.Upstream.Address {
			d.fault("upstream.address", "repeats "+l.path, "the address of another process")
		}
	}
}

// checkDrain makes sure that a planned stop leaves time for the longest request.
func (d *decoder) checkDrain(s *Settings) {
	if d.bad["drain.limit"] || d.bad["drain.grace"] || d.bad["limits.stream_time"] || d.bad["upstream.queue_time"] {
		return
	}
	least := s.Drain.Grace + s.Limits.StreamTime
	sum := "drain.grace and limits.stream_time"
	if s.Upstream != nil {
		least += s.Upstream.QueueTime
		sum = "drain.grace, limits.stream_time and upstream.queue_time"
	}
	if s.Drain.Limit >= least {
		return
	}
	path := "drain.limit"
	if !d.set(path) && d.set("limits.stream_time") {
		// The file raises the stream time above what the default limit allows, so the fault is shown there.
		d.at[path] = d.at["limits.stream_time"]
	}
	d.fault(path, fmt.Sprintf("%v would cut running requests", s.Drain.Limit),
		fmt.Sprintf("at least %v, the sum of %s", least, sum))
}
