package gossiper

import (
	"context"
	"errors"
)

// HostsRequest is the argument of the method Gossip.Hosts; it has no fields.
type HostsRequest struct{}

func (r *HostsRequest) check() error {
	return nil
}

// Hosts returns the encoded list of hosts that a peer last received from the platform. It returns an error if the peer
// has none.
func (g *Gossiper) Hosts(ctx context.Context, address string) ([]byte, error) {
	reply, err := call[Content](ctx, g, address, "Hosts", &HostsRequest{})
	if err != nil {
		return nil, err
	}
	return reply.Data, nil
}

var errNoHosts = errors.New("no list of hosts is known")

// Hosts replies with the list of hosts that the process last received from the platform, or with an error if there is
// none.
func (s *service) Hosts(_ *HostsRequest, c *Content) error {
	if s.g.cfg.Hosts != nil {
		c.Data = s.g.cfg.Hosts()
	}
	if len(c.Data) == 0 {
		return errNoHosts
	}
	return nil
}
