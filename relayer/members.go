package relayer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// member is what is known of a peer.
type member struct {
	at        time.Time
	link      float64
	saturated bool
}

// members returns the gateways that live, this one included; the lock is held.
func (r *Relayer) liveMembers(now time.Time) []Peer {
	all := []Peer{{Address: r.cfg.Address, Link: r.cfg.Link, Saturated: r.saturated()}}
	for a, m := range r.known {
		if age := now.Sub(m.at); age < peerTTL {
			all = append(all, Peer{Address: a, Age: age, Link: m.link, Saturated: m.saturated})
		}
	}
	return all
}

// Readers returns the addresses of the n gateways that should read the store for all: those with the fastest links,
// because each change of a large configuration comes whole, and among equals any that all agree on.
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

// Reader reports whether this gateway should read the store for the others.
func (r *Relayer) Reader() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(Readers(r.liveMembers(time.Now()), r.cfg.Readers), r.cfg.Address)
}

// hear notes that a peer lives, and what it knows of others.
func (r *Relayer) recordPeers(from Peer, others []Peer, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordPeer(from, now)
	for _, p := range others {
		if p.Age >= 0 && p.Age < peerTTL {
			r.recordPeer(p, now.Add(-p.Age))
		}
	}
	for a, m := range r.known {
		if now.Sub(m.at) >= peerTTL {
			delete(r.known, a)
		}
	}
}

func (r *Relayer) recordPeer(p Peer, at time.Time) {
	old := r.known[p.Address]
	if p.Address == "" || p.Address == r.cfg.Address || !at.After(old.at) {
		return
	}
	if p.Link == 0 {
		p.Link = old.link // Who told of the peer does not know its link yet.
	}
	r.known[p.Address] = member{at: at, link: p.Link, saturated: p.Saturated}
}

func (r *Relayer) otherMembers(now time.Time) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.liveMembers(now)[1:]
	return all[:min(len(all), maxListedPeers)]
}

func (r *Relayer) saturated() bool {
	return r.cfg.Saturated != nil && r.cfg.Saturated()
}

// Unsaturated returns the number of other gateways that live and are not saturated.
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

// Gateways returns the number of gateways that live, this one included.
func (r *Relayer) Gateways() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.liveMembers(time.Now()))
}
