package relayer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// member is the last reported state of a peer.
type member struct {
	// at is the time at which some gateway last exchanged state with the peer.
	at        time.Time
	link      float64
	saturated bool
}

// liveMembers returns this gateway, followed by the peers that some gateway exchanged state with within peerTTL. The
// caller holds r.mu.
func (r *Relayer) liveMembers(now time.Time) []Peer {
	all := []Peer{{Address: r.cfg.Address, Link: r.cfg.Link, Saturated: r.saturated()}}
	for a, m := range r.members {
		if age := now.Sub(m.at); age < peerTTL {
			all = append(all, Peer{Address: a, Age: age, Link: m.link, Saturated: m.saturated})
		}
	}
	return all
}

// Readers returns the addresses of the n gateways that read the store on behalf of all, or of all members if there are
// fewer. Those with the fastest links come first, because each change of a large configuration is transferred in full;
// ties are broken by a hash of the address, so that all gateways choose the same ones.
func Readers(members []Peer, n int) []string {
	all := slices.Clone(members)
	slices.SortFunc(all, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(b.Link, a.Link), cmp.Compare(xxhash.Sum64String(a.Address), xxhash.Sum64String(b.Address)))
	})
	readers := make([]string, 0, n)
	for _, p := range all[:min(n, len(all))] {
		readers = append(readers, p.Address)
	}
	return readers
}

// Reader reports whether this gateway is one of those that read the store on behalf of all.
func (r *Relayer) Reader() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(Readers(r.liveMembers(time.Now()), r.cfg.Readers), r.cfg.Address)
}

// recordPeers records that a peer is alive and which other peers it listed, and removes expired peers.
func (r *Relayer) recordPeers(from Peer, others []Peer, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordPeer(from, now)
	for _, p := range others {
		if p.Age >= 0 && p.Age < peerTTL {
			r.recordPeer(p, now.Add(-p.Age))
		}
	}
	for a, m := range r.members {
		if now.Sub(m.at) >= peerTTL {
			delete(r.members, a)
		}
	}
}

// recordPeer updates the state of a peer unless a newer one is recorded.
func (r *Relayer) recordPeer(p Peer, at time.Time) {
	old := r.members[p.Address]
	if p.Address == "" || p.Address == r.cfg.Address || !at.After(old.at) {
		return
	}
	if p.Link == 0 {
		p.Link = old.link // Replies have no link speed, and the gateway that listed the peer may not have received it yet.
	}
	r.members[p.Address] = member{at: at, link: p.Link, saturated: p.Saturated}
}

// otherMembers returns the live peers, at most maxListedPeers of them.
func (r *Relayer) otherMembers(now time.Time) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.liveMembers(now)[1:]
	return all[:min(len(all), maxListedPeers)]
}

func (r *Relayer) saturated() bool {
	return r.cfg.Saturated != nil && r.cfg.Saturated()
}

// Unsaturated returns the number of live peers that are not saturated; this gateway is not counted.
func (r *Relayer) Unsaturated() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, p := range r.liveMembers(time.Now())[1:] {
		if !p.Saturated {
			n++
		}
	}
	return n
}

// Gateways returns the number of live gateways, including this one.
func (r *Relayer) Gateways() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.liveMembers(time.Now()))
}
