package subscriber

import (
	"encoding/json"
	"fmt"
	"net/netip"
)

// The roles of a host.
const (
	RoleRouter = "router"
	RoleAgent  = "agent"
)

// The states of a host in the platform's list.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Host is one entry of the platform's host list, a router or an agent.
type Host struct {
	Name string `json:"name"`
	// Address is the IP address and port for requests.
	Address string `json:"address"`
	// Control is the IP address and port for gossip; empty means that the host does not take part in gossip.
	Control string `json:"control"`
	// Domain is the failure domain.
	Domain string `json:"domain"`
	Role   string `json:"role"`
	// Upstream is the name of the pool or service that an agent serves; it is empty for a router.
	Upstream string `json:"upstream,omitempty"`
	State    string `json:"state"`
}

// UnmarshalJSON decodes an entry and returns an error if a field is missing or invalid.
func (h *Host) UnmarshalJSON(data []byte) error {
	type plain Host
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return fmt.Errorf("host: %w", err)
	}
	if err := Host(p).check(); err != nil {
		return fmt.Errorf("host %q: %w", p.Name, err)
	}
	*h = Host(p)
	return nil
}

func (h Host) check() error {
	if h.Name == "" {
		return fmt.Errorf("field name is missing")
	}
	if h.Domain == "" {
		return fmt.Errorf("field domain is missing")
	}
	if _, err := netip.ParseAddrPort(h.Address); err != nil {
		return fmt.Errorf("field address is %q, want an IP address and port", h.Address)
	}
	if _, err := netip.ParseAddrPort(h.Control); h.Control != "" && err != nil {
		return fmt.Errorf("field control is %q, want an IP address and port", h.Control)
	}
	if h.Role != RoleRouter && h.Role != RoleAgent {
		return fmt.Errorf("field role is %q, want %s or %s", h.Role, RoleRouter, RoleAgent)
	}
	if h.Role == RoleAgent && h.Upstream == "" {
		return fmt.Errorf("field upstream is missing for role %s", RoleAgent)
	}
	if h.State != StateLive && h.State != StateLeaving {
		return fmt.Errorf("field state is %q, want %s or %s", h.State, StateLive, StateLeaving)
	}
	return nil
}

// HostList is the platform's list of live and leaving hosts. It is updated with a delay after a host changes.
type HostList struct {
	Revision uint64 `json:"revision"`
	Hosts    []Host `json:"hosts"`
}

// DecodeHostList decodes and checks a list. It rejects a list with any invalid entry, so that the caller keeps its last
// valid list.
func DecodeHostList(data []byte) (HostList, error) {
	var l HostList
	if err := json.Unmarshal(data, &l); err != nil {
		return HostList{}, fmt.Errorf("host list: %w", err)
	}
	seen := make(map[string]bool, len(l.Hosts))
	for _, h := range l.Hosts {
		if seen[h.Name] {
			return HostList{}, fmt.Errorf("host list: host %q is listed twice", h.Name)
		}
		seen[h.Name] = true
	}
	return l, nil
}
