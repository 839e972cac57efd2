package relayer

import (
	"encoding/binary"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"clementineramp/estimator"
	"clementineramp/registrar"
)

const (
	// slowdownAgeUnit is the resolution of the age of a report on a slowdown.
	slowdownAgeUnit = 20 * time.Millisecond
	// maxSlowdowns bounds the reports in a message, which take slowdownBytes each; a gateway sends about 6 messages a second.
	maxSlowdowns  = 24
	slowdownBytes = 7
	// largeFleet is the number of peers from which hubs send each other no slowdowns.
	largeFleet = 16
	// A slowdown is sent as the number of steps from 1/16 on, slowdownSteps to a factor of two.
	slowdownSteps  = 16
	lowestSlowdown = 1.0 / 16
	// A rate or number of requests is sent as 1 plus the number of steps from lowestAmount on, amountSteps to a factor of two,
	// which reaches beyond 20,000; smaller ones are sent as zero.
	amountSteps  = 12
	lowestAmount = 0.01
	// maxWorkServices bounds the services in a list of peers.
	maxWorkServices = 16
	// minSharedGateways is the number of gateways that are assumed while the demands at the others are unknown.
	minSharedGateways = 4
	// minShare and maxShare bound the share of a gateway as multiples of the equal share, so that wrong views of the fleet
	// change the sum of the shares by a bounded factor.
	minShare, maxShare = 0.5, 4
)

// hashIncarnation returns the hash that stands for an incarnation in Slowdowns.
func hashIncarnation(i registrar.Incarnation) uint32 {
	return uint32(xxhash.Sum64String(i.ID + "\x00" + i.Address + "\x00" + time.UnixMilli(i.Born).UTC().Format(time.RFC3339Nano)))
}

// encodeSteps returns the number of steps of a logarithmic scale from lowest to x, between 0 and 255.
func encodeSteps(x, lowest, steps float64) byte {
	if !(x > lowest) {
		return 0
	}
	return byte(min(math.Round(steps*math.Log2(x/lowest)), 255))
}

// encodeSlowdowns returns at most maxSlowdowns of the reports in rows of slowdownBytes: hash of the incarnation, slowdown on a
// logarithmic scale, weight of the samples rounded up, and age in units of 20 ms. Rows of bytes need no description of their
// type on each new connection, which would take more than the reports.
func encodeSlowdowns(reports []estimator.Report) []byte {
	var rows []byte
	for _, r := range reports {
		age := (r.Age + slowdownAgeUnit - 1) / slowdownAgeUnit
		if age < 0 || age > 255 || len(rows) >= maxSlowdowns*slowdownBytes {
			continue
		}
		rows = binary.BigEndian.AppendUint32(rows, hashIncarnation(r.Upstream))
		samples := byte(min(max(math.Ceil(r.Samples), 1), 255))
		rows = append(rows, encodeSteps(r.Slowdown, lowestSlowdown, slowdownSteps), samples, byte(age))
	}
	return rows
}

// decodeSlowdowns returns the reports on upstreams in use, at most maxSlowdowns; malformed rows give none.
func (c *upstreamCodec) decodeSlowdowns(rows []byte) []estimator.Report {
	if len(rows) == 0 || len(rows)%slowdownBytes != 0 {
		return nil
	}
	incarnations := c.indexIncarnations()
	var reports []estimator.Report
	for row := range slices.Chunk(rows[:min(len(rows), maxSlowdowns*slowdownBytes)], slowdownBytes) {
		if incarnation, ok := incarnations[binary.BigEndian.Uint32(row)]; ok {
			reports = append(reports, estimator.Report{
				Upstream: incarnation, Slowdown: lowestSlowdown * math.Exp2(float64(row[4])/slowdownSteps),
				Samples: float64(row[5]), Age: time.Duration(row[6]) * slowdownAgeUnit,
			})
		}
	}
	return reports
}

// indexIncarnations returns the incarnations of the upstreams in use by their hashes.
func (c *upstreamCodec) indexIncarnations() map[uint32]registrar.Incarnation {
	c.index()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.incarnations
}

// ServiceWork is the work of a gateway for a plain service.
type ServiceWork struct {
	// Service is a hash of the name.
	Service uint32
	// Rate is the number of requests a second, and InProgress the mean number at upstreams.
	Rate, InProgress float64
}

// hashService returns the hash that stands for a service in Work.
func hashService(name string) uint32 {
	return uint32(xxhash.Sum64String(name))
}

func encodeAmount(x float64) byte {
	if !(x >= lowestAmount) {
		return 0
	}
	return 1 + min(encodeSteps(x, lowestAmount, amountSteps), 254)
}

func decodeAmount(b byte) float64 {
	if b == 0 {
		return 0
	}
	return lowestAmount * math.Exp2(float64(b-1)/amountSteps)
}

// encodeWork returns the work of gateways, for the first maxWorkServices services: the number of services, the hashes of their
// names, and for each gateway and service two bytes, rate and number in progress on a logarithmic scale. Zero means none or
// unknown.
func encodeWork(gateways ...[]ServiceWork) []byte {
	var services []uint32
	for _, list := range gateways {
		for _, s := range list {
			if len(services) < maxWorkServices && !slices.Contains(services, s.Service) {
				services = append(services, s.Service)
			}
		}
	}
	if len(services) == 0 {
		return nil
	}
	b := []byte{byte(len(services))}
	for _, hash := range services {
		b = binary.BigEndian.AppendUint32(b, hash)
	}
	for _, list := range gateways {
		row := make([]byte, 2*len(services))
		for _, s := range list {
			if j := slices.Index(services, s.Service); j >= 0 {
				row[2*j], row[2*j+1] = encodeAmount(s.Rate), encodeAmount(s.InProgress)
			}
		}
		b = append(b, row...)
	}
	return b
}

// decodeWork returns the work of the given number of gateways; malformed bytes give none.
func decodeWork(b []byte, gateways int) [][]ServiceWork {
	all := make([][]ServiceWork, gateways)
	if len(b) == 0 {
		return all
	}
	n := int(b[0])
	if n == 0 || n > maxWorkServices || len(b) != 1+4*n+2*n*gateways {
		return all
	}
	hashes, rows := b[1:1+4*n], b[1+4*n:]
	for i := range all {
		for j := range n {
			rate, inProgress := rows[2*(i*n+j)], rows[2*(i*n+j)+1]
			if (rate > 0 || inProgress > 0) && len(all[i]) < estimator.MaxWork {
				all[i] = append(all[i], ServiceWork{
					Service: binary.BigEndian.Uint32(hashes[4*j:]), Rate: decodeAmount(rate), InProgress: decodeAmount(inProgress),
				})
			}
		}
	}
	return all
}

// ownWork returns the work of this gateway.
func (r *Relayer) ownWork(now time.Time) []ServiceWork {
	if r.cfg.State.Work == nil {
		return nil
	}
	var all []ServiceWork
	for _, w := range r.cfg.State.Work(now) {
		all = append(all, ServiceWork{Service: hashService(w.Service), Rate: w.Rate, InProgress: w.InProgress})
	}
	return all
}

// ownSlowdowns returns this gateway's reports for a peer in rows. Hubs of a large fleet send each other none: they exchange
// so often across failure domains that the reports would count too much there, and they hear enough from other gateways.
func (r *Relayer) ownSlowdowns(peer string, now time.Time) []byte {
	if r.cfg.State.Slowdowns == nil {
		return nil
	}
	r.mu.Lock()
	f := r.arrange(now)
	between := f.isHub && slices.Contains(f.hubs, peer) && len(f.peers) >= largeFleet
	r.mu.Unlock()
	if between {
		return nil
	}
	return encodeSlowdowns(r.cfg.State.Slowdowns(now))
}

// mergeSlowdowns merges the reports of a peer, which count for its address. A peer that states its address wrongly would
// count as several gateways, so malformed addresses are ignored.
func (r *Relayer) mergeSlowdowns(peer string, rows []byte, now time.Time) {
	if r.cfg.State.MergeSlowdowns == nil || peer == r.cfg.Address || !isAddress(peer) {
		return
	}
	if reports := r.upstreams.decodeSlowdowns(rows); len(reports) > 0 {
		r.cfg.State.MergeSlowdowns(peer, reports, now)
	}
}

// Demand is the work of the fleet for a plain service.
type Demand struct {
	// Own is the rate of requests of this gateway and Rate that of all live gateways, in requests a second; InProgress is the
	// mean number of requests of all live gateways at upstreams.
	Own, Rate, InProgress float64
	// Gateways is the number of live gateways, and Stated the number of other ones that state their work for the service.
	Gateways, Stated int
}

// Demand returns the work of the fleet for a plain service, as far as it is known.
func (r *Relayer) Demand(service string, now time.Time) Demand {
	hash := hashService(service)
	d := Demand{Gateways: 1}
	add := func(list []ServiceWork) (own float64, stated bool) {
		for _, w := range list {
			if w.Service == hash {
				d.Rate += w.Rate
				d.InProgress += w.InProgress
				return w.Rate, true
			}
		}
		return 0, false
	}
	d.Own, _ = add(r.ownWork(now))
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.members {
		if now.Sub(m.at) >= peerTTL {
			continue
		}
		d.Gateways++
		if now.Sub(m.workAt) < peerTTL {
			if _, stated := add(m.Work); stated {
				d.Stated++
			}
		}
	}
	return d
}

// Share returns this gateway's share of the requests for a plain service: its rate of requests as a part of all, between half
// of and four times the equal share. As long as fewer than half of the other gateways state their work, or none do, it is the
// equal share among at least minSharedGateways.
func (r *Relayer) Share(service string, now time.Time) float64 {
	d := r.Demand(service, now)
	if d.Stated == 0 || 2*d.Stated < d.Gateways-1 || d.Rate <= 0 {
		return 1 / float64(max(d.Gateways, minSharedGateways))
	}
	equal := 1 / float64(d.Gateways)
	return min(max(d.Own/d.Rate, minShare*equal), maxShare*equal, 1)
}

// merge replaces the state of a peer by a newer one. Gateways of an earlier version list peers without their work, so what is
// known of it remains until it is too old.
func (m member) merge(p Peer, at time.Time) member {
	if len(p.Work) == 0 {
		p.Work = m.Work
	} else {
		m.workAt = at
	}
	if !m.at.IsZero() && p.Saturated != m.Saturated {
		m.saturationAt = at
	}
	return member{at: at, workAt: m.workAt, saturationAt: m.saturationAt, Peer: p}
}

func isAddress(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}
