package relayer

import (
	"context"
	"errors"
	"net/rpc"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// minOwnerLink is the fraction of the fastest link from which a gateway may own a service: an owner answers each request for the
// service, so that a slow link or host would delay them all.
const minOwnerLink = 0.5

// Owner returns the address of the live gateway that owns a service: one of those with the fastest links, chosen by rendezvous
// hashing. Gateways that know and reach the same members name the same one. It is empty as long as this gateway does not know
// the others. The excepted gateways are not named.
func (r *Relayer) Owner(service string, now time.Time, except ...string) string {
	if _, settled := r.Known(now); !settled {
		return ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	members := r.liveMembers(now)
	eligible := func(m Peer) bool {
		return !m.Saturated && !r.isUnreachable(m.Address) && !slices.Contains(except, m.Address)
	}
	fastest := 0.0
	for _, m := range members {
		if eligible(m) {
			fastest = max(fastest, m.Link)
		}
	}
	owner, highest := "", uint64(0)
	for _, m := range members {
		if !eligible(m) || m.Link < minOwnerLink*fastest {
			continue
		}
		if h := xxhash.Sum64String(service + "\x00" + m.Address); owner == "" || h > highest {
			owner, highest = m.Address, h
		}
	}
	return owner
}

// Call calls a method of a peer until ctx ends. The connection is that of the exchanges with the peer.
func (r *Relayer) Call(ctx context.Context, peer, method string, args, reply any) error {
	c, _, err := r.client(ctx, peer)
	if err != nil {
		return err
	}
	call := c.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		// Any error but one that the method of the peer returned has ended the connection.
		if call.Error != nil && !errors.As(call.Error, new(rpc.ServerError)) {
			r.dropClient(peer, c)
		}
		return call.Error
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
