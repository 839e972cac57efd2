package relayer

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// knownTTL is the time for which Known remembers a gateway that is not heard of any more. It is far above the length of
	// outages, so that gateways that are cut off or killed do not change the owners of cold upstreams.
	knownTTL = 10 * time.Minute
	// knownAfter is the time after its start from which a gateway may be settled. It has begun about ten exchanges by then, and
	// a process that was restarted has sent nothing for longer than a window before.
	knownAfter = 3 * time.Second
	// quietTime is the time without a new gateway from which the list counts as complete: three exchanges of a gateway.
	quietTime = time.Second
	// contactTTL is the time since the last exchange after which a gateway counts as cut off. It allows for one exchange that
	// fails after callTimeout and the pauses around it.
	contactTTL = 3 * time.Second
)

// Known returns the addresses of all gateways heard of within ten minutes, including this one and the seeds, at most
// maxMembers. It is settled if the list is probably complete: the gateway has run for a while, has heard of no new gateway
// lately, and is in contact with another one if it knows of any.
func (r *Relayer) Known(now time.Time) (addresses []string, settled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	addresses = append(make([]string, 0, 1+len(r.cfg.Seeds)+len(r.known)), r.cfg.Address)
	for _, a := range r.cfg.Seeds {
		if len(addresses) < maxMembers && !slices.Contains(addresses, a) {
			addresses = append(addresses, a)
		}
	}
	seeds := len(addresses)
	for a, at := range r.known {
		if now.Sub(at) < knownTTL && len(addresses) < maxMembers && !slices.Contains(addresses[:seeds], a) {
			addresses = append(addresses, a)
		}
	}
	alone := len(addresses) == 1
	settled = now.Sub(r.started) >= knownAfter && now.Sub(r.learntAt) >= quietTime && (alone || now.Sub(r.contactAt) < contactTTL)
	return addresses, settled
}

// recordKnown records that a peer was heard of at the given time. The caller holds r.mu.
func (r *Relayer) recordKnown(address string, at, now time.Time) {
	old, known := r.known[address]
	if address == r.cfg.Address || now.Sub(at) >= knownTTL {
		return
	}
	if known && now.Sub(old) < knownTTL {
		if at.After(old) {
			r.known[address] = at
		}
		return
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return
	}
	if len(r.known) >= maxMembers {
		maps.DeleteFunc(r.known, func(_ string, at time.Time) bool { return now.Sub(at) >= knownTTL })
	}
	if len(r.known) >= maxMembers {
		r.forgetOldest()
	}
	r.known[address], r.learntAt = at, time.Now() // The exchange may have begun a second ago.
}

// forgetOldest removes the peer that was heard of the longest ago from those that Known returns. The caller holds r.mu.
func (r *Relayer) forgetOldest() {
	oldest := ""
	for a, at := range r.known {
		if oldest == "" || at.Before(r.known[oldest]) {
			oldest = a
		}
	}
	delete(r.known, oldest)
}
