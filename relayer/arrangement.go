package relayer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"clementineramp/placer"
)

const (
	// hubsPerDomain is the number of hubs of a failure domain, so that loads spread while one of them is down.
	hubsPerDomain = 2
	// sameDomainShare is the fraction of exchanges with peers of any kind that stay within the failure domain.
	sameDomainShare = 0.75
	// seedEvery and lonelySeedEvery say that one exchange in so many goes to a seed, so that parts of the fleet that started
	// separately discover each other; the second applies to a gateway that knows fewer peers than it has seeds.
	seedEvery       = 32
	lonelySeedEvery = 3
	// arrangementTTL is the time after which the arrangement is computed again even if no member has joined or left.
	arrangementTTL = time.Second
)

// arrangement assigns roles to the live members. Gateways that know and reach the same members compute the same one.
// Members that this gateway does not reach get no role: other gateways may list them for a while after they are gone.
type arrangement struct {
	at time.Time
	// readers are the gateways that read the store on behalf of all. isNextReader is set if this gateway takes the place
	// of one when some of them are gone or do not reach the store.
	readers      []string
	isNextReader bool
	// hubs are the hubs of all failure domains, and domainHubs those of this gateway's; both leave out this gateway.
	hubs, domainHubs []string
	// isHub is set if this gateway is a hub.
	isHub bool
	// peers are the live peers, and domainPeers those in this gateway's failure domain.
	peers, domainPeers []string
}

// arrange returns the current arrangement. The caller holds r.mu.
func (r *Relayer) arrange(now time.Time) *arrangement {
	if r.fleet != nil && now.Sub(r.fleet.at) < arrangementTTL {
		return r.fleet
	}
	members := rank(r.liveMembers(now))
	reached := slices.DeleteFunc(slices.Clone(members), func(m Peer) bool { return r.isUnreachable(m.Address) })
	readers := Readers(reached, 2*r.cfg.Readers)
	n := min(len(readers), r.cfg.Readers)
	// Those that do not reach the store come last, but no gateway beyond these takes a place: if the store is down, all would.
	away := slices.DeleteFunc(slices.Clone(readers), func(a string) bool { return !r.isAway(a, now) })
	readers = append(slices.DeleteFunc(readers, func(a string) bool { return r.isAway(a, now) }), away...)
	f := &arrangement{at: now, readers: readers[:n], isNextReader: slices.Contains(readers[n:], r.cfg.Address)}
	hubs := make(map[string]int)
	for _, m := range members {
		own, near := m.Address == r.cfg.Address, m.FailureDomain == r.cfg.FailureDomain
		if !r.isUnreachable(m.Address) && hubs[m.FailureDomain] < hubsPerDomain {
			hubs[m.FailureDomain]++
			switch {
			case own:
				f.isHub = true
			case near:
				f.domainHubs = append(f.domainHubs, m.Address)
				f.hubs = append(f.hubs, m.Address)
			default:
				f.hubs = append(f.hubs, m.Address)
			}
		}
		if !own {
			f.peers = append(f.peers, m.Address)
			if near {
				f.domainPeers = append(f.domainPeers, m.Address)
			}
		}
	}
	r.fleet = f
	return f
}

// isAway reports whether a peer replied lately that it does not reach the store, or whether this gateway does not. The caller
// holds r.mu.
func (r *Relayer) isAway(peer string, now time.Time) bool {
	if peer == r.cfg.Address {
		return !r.cfg.State.Reached()
	}
	at, ok := r.away[peer]
	return ok && now.Sub(at) < peerTTL
}

// isUnreachable reports whether the last exchange with a peer failed. The caller holds r.mu.
func (r *Relayer) isUnreachable(peer string) bool {
	_, failed := r.unreachable[peer]
	return failed
}

// rank orders gateways by the speed of their links, the fastest first; ties are broken by a hash of the address, so that
// the order is the same at all gateways.
func rank(members []Peer) []Peer {
	type ranked struct {
		Peer
		hash uint64
	}
	all := make([]ranked, len(members))
	for i, m := range members {
		all[i] = ranked{Peer: m, hash: xxhash.Sum64String(m.Address)}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.Link, a.Link), cmp.Compare(a.hash, b.hash))
	})
	sorted := make([]Peer, len(all))
	for i, m := range all {
		sorted[i] = m.Peer
	}
	return sorted
}

// Readers returns the addresses of the n gateways that read the store on behalf of all, or of all members if there are
// fewer. Those with the fastest links come first, because each change of a large configuration is transferred in full.
// As long as their links have at least half of the highest speed, they are spread over the failure domains.
func Readers(members []Peer, n int) []string {
	all := rank(members)
	readers := make([]string, 0, n)
	taken := make(map[string]int)
	for round := 1; len(readers) < min(n, len(all)); round++ {
		for _, p := range all {
			fast := 2*p.Link >= all[0].Link || round > len(all)
			if len(readers) < n && fast && taken[p.FailureDomain] < round && !slices.Contains(readers, p.Address) {
				readers = append(readers, p.Address)
				taken[p.FailureDomain]++
			}
		}
	}
	return readers
}

// nextHub returns the hub for the next exchange of loads, or "" if there is none, and the mean interval of such exchanges.
// A hub exchanges with hubs of all failure domains, another gateway with those of its own.
func (r *Relayer) nextHub(now time.Time) (hub string, interval time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.arrange(now)
	hubs, interval := f.domainHubs, memberInterval
	if f.isHub {
		interval = hubInterval
	}
	if f.isHub || len(hubs) == 0 {
		hubs = f.hubs
	}
	if len(hubs) == 0 {
		return "", interval
	}
	return hubs[rand.IntN(len(hubs))], interval
}

// carriesLoads reports whether an exchange with a peer carries loads.
func (r *Relayer) carriesLoads(peer string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.arrange(now)
	return f.isHub || slices.Contains(f.hubs, peer)
}

// newsForHub returns the loads that this gateway sends with a request. Hubs send all that they know. What another gateway
// has heard from hubs is no news to them, so it sends only what upstreams reported to itself.
func (r *Relayer) newsForHub(loads []placer.LoadReport, now time.Time) []placer.LoadReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.arrange(now).isHub {
		return loads
	}
	return slices.DeleteFunc(loads, func(l placer.LoadReport) bool { return !l.Local })
}

// nextPeer returns the peer for the next exchange with a peer of any kind, or "" if none is known: a random live peer,
// mostly of the own failure domain, or a seed. A gateway that would take the place of a reader of the store exchanges with
// the readers, so that it learns within a second that one is gone.
func (r *Relayer) nextPeer(now time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.arrange(now)
	seeds := slices.DeleteFunc(slices.Clone(r.cfg.Seeds), func(a string) bool { return a == r.cfg.Address })
	every := seedEvery
	if len(f.peers) <= len(seeds) {
		every = lonelySeedEvery
	}
	if len(seeds) > 0 && (len(f.peers) == 0 || rand.IntN(every) == 0) {
		return seeds[rand.IntN(len(seeds))]
	}
	peers := f.peers
	if f.isNextReader {
		peers = f.readers
	} else if len(f.domainPeers) > 0 && rand.Float64() < sameDomainShare {
		peers = f.domainPeers
	}
	if len(peers) == 0 {
		return ""
	}
	return peers[rand.IntN(len(peers))]
}
