package relayer

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// member is the last reported state of a peer.
type member struct {
	// at is the time at which some gateway last exchanged state with the peer.
	at time.Time
	// workAt is the time at which its work was stated.
	workAt time.Time
	// saturationAt is the time of the first state after the last change of whether it is saturated; zero means no change.
	saturationAt time.Time
	// Peer holds the rest of its state; its age is not used.
	Peer
}

// liveMembers returns this gateway, followed by the peers that some gateway exchanged state with within peerTTL. The
// caller holds r.mu.
func (r *Relayer) liveMembers(now time.Time) []Peer {
	all := make([]Peer, 0, 1+len(r.members))
	all = append(all, Peer{Address: r.cfg.Address, FailureDomain: r.cfg.FailureDomain, Link: r.cfg.Link, Saturated: r.saturated()})
	for _, m := range r.members {
		if age := now.Sub(m.at); age < peerTTL {
			p := m.Peer
			p.Age = age
			all = append(all, p)
		}
	}
	return all
}

// settleTime is the time after the start of a gateway in which it is no reader of the store, beyond what it reads for
// itself, because it does not know yet which others are.
const settleTime = time.Second

// Reader reports whether this gateway is one of those that read the store on behalf of all.
func (r *Relayer) Reader() bool {
	if time.Since(r.started) < settleTime {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.arrange(time.Now()).readers, r.cfg.Address)
}

// recordPeers records that a peer is alive and which other peers it listed, and removes expired peers.
func (r *Relayer) recordPeers(from Peer, list PeerList, now time.Time) {
	others, err := list.decode()
	if err != nil {
		r.cfg.Log.Warn("peer_list_malformed", "peer", from.Address, "error", err.Error())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.After(r.contactAt) {
		r.contactAt = now
	}
	r.recordKnown(from.Address, now, now)
	r.recordPeer(from, now)
	for _, p := range others {
		r.recordKnown(p.Address, now.Add(-max(p.Age, 0)), now)
		if p.Age >= 0 && p.Age < peerTTL {
			r.recordPeer(p, now.Add(-p.Age))
		}
	}
	for a, m := range r.members {
		if now.Sub(m.at) >= peerTTL {
			delete(r.members, a)
			delete(r.away, a)
			r.fleet = nil
		}
	}
}

// recordPeer updates the state of a peer unless a newer one is recorded, or its address is malformed.
func (r *Relayer) recordPeer(p Peer, at time.Time) {
	old, known := r.members[p.Address]
	if p.Address == r.cfg.Address || !at.After(old.at) {
		return
	}
	if !known {
		if _, err := netip.ParseAddrPort(p.Address); err != nil || len(r.members) >= maxMembers {
			return
		}
		r.fleet = nil
	}
	if failed, ok := r.unreachable[p.Address]; ok && at.Sub(failed) > unreachableTime {
		r.forgetFailure(p.Address)
	}
	r.members[p.Address] = old.merge(p, at)
}

// saturationNewsTime is the time after a change of whether a peer is saturated in which messages list it before others. Each
// gateway that hears of the change counts from the state that it hears, so that the change reaches all in a few exchanges.
const saturationNewsTime = 3 * time.Second

// listPeers returns some of the live peers for a message to a gateway: half of them chosen at random, and half of them
// those that have become saturated or unsaturated lately, and then those with the latest exchanges.
func (r *Relayer) listPeers(to string, now time.Time) PeerList {
	r.mu.Lock()
	defer r.mu.Unlock()
	share := listedShare
	if f := r.arrange(now); f.isHub && !slices.Contains(f.hubs, to) {
		share = hubListedShare
	}
	all := r.liveMembers(now)[1:]
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for i, p := range all {
		if m := r.members[p.Address]; m.workAt.Before(m.at) {
			all[i].Work = nil // It would become younger by being passed on.
		}
	}
	listed := min(len(all), max(minListedPeers, len(all)/share))
	news := func(p Peer) int {
		if now.Sub(r.members[p.Address].saturationAt) < saturationNewsTime {
			return 0
		}
		return 1
	}
	slices.SortFunc(all[listed/2:], func(a, b Peer) int { return cmp.Or(cmp.Compare(news(a), news(b)), cmp.Compare(a.Age, b.Age)) })
	return encodePeers(all[:listed])
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
	now := time.Now()
	n := 1
	for _, m := range r.members {
		if now.Sub(m.at) < peerTTL {
			n++
		}
	}
	return n
}
