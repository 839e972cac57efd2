package gossiper

import (
	"context"
	"errors"
)

// HostsRequest asks a peer for its list of hosts.
type HostsRequest struct{}

func (r *HostsRequest) check() error {
	return nil
}

// Hosts returns the encoded list of hosts that a peer last had from the platform.
func (g *Gossiper) Hosts(ctx context.Context, address string) ([]byte, error) {
	reply, err := call[Content](ctx, g, address, "Hosts", &HostsRequest{})
	if err != nil {
		return nil, err
	}
	return reply.Data, nil
}

var errNoHosts = errors.New("no list of hosts is known")

// Hosts answers with the list of hosts that the process last had from the platform.
func (s *service) Hosts(_ *HostsRequest, c *Content) error {
	if s.g.cfg.Hosts != nil {
		c.Data = s.g.cfg.Hosts()
	}
	if len(c.Data) == 0 {
		return errNoHosts
	}
	return nil
}
