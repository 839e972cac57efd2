package relayer

import (
	"errors"
	"net/netip"
	"slices"
	"time"
)

// PeerList holds descriptions of gateways in columns: the element i of each list, but of DomainNames, belongs to one.
type PeerList struct {
	Addresses []netip.AddrPort
	// Domains holds indices into DomainNames, which holds each failure domain once.
	Domains     []byte
	DomainNames []string
	// AgesMS holds the times in milliseconds since some gateway last exchanged state with the peer.
	AgesMS    []uint32
	Links     []float64
	Saturated []bool
	// Work holds the work of the peers for plain services, as encodeWork writes it.
	Work []byte
}

// encodePeers returns peers in columns. Those with an address that is no IP address and port are left out, and so are
// those in failure domains beyond the first 256.
func encodePeers(peers []Peer) PeerList {
	var l PeerList
	var work [][]ServiceWork
	for _, p := range peers {
		address, err := netip.ParseAddrPort(p.Address)
		if err != nil {
			continue
		}
		domain := slices.Index(l.DomainNames, p.FailureDomain)
		if domain < 0 {
			if len(l.DomainNames) > 255 {
				continue
			}
			domain = len(l.DomainNames)
			l.DomainNames = append(l.DomainNames, p.FailureDomain)
		}
		l.Addresses = append(l.Addresses, address)
		l.Domains = append(l.Domains, byte(domain))
		l.AgesMS = append(l.AgesMS, uint32(p.Age.Milliseconds()))
		l.Links = append(l.Links, p.Link)
		l.Saturated = append(l.Saturated, p.Saturated)
		work = append(work, p.Work)
	}
	l.Work = encodeWork(work...)
	return l
}

// decode returns the peers in the columns, or an error if these do not fit together.
func (l *PeerList) decode() ([]Peer, error) {
	n := len(l.Addresses)
	if len(l.Domains) != n || len(l.AgesMS) != n || len(l.Links) != n || len(l.Saturated) != n {
		return nil, errors.New("the columns of the list of peers have different lengths")
	}
	peers, work := make([]Peer, n), decodeWork(l.Work, n)
	for i := range peers {
		if int(l.Domains[i]) >= len(l.DomainNames) {
			return nil, errors.New("the list of peers refers to a failure domain that it does not name")
		}
		peers[i] = Peer{
			Address: l.Addresses[i].String(), FailureDomain: l.DomainNames[l.Domains[i]],
			Age: time.Duration(l.AgesMS[i]) * time.Millisecond, Link: l.Links[i], Saturated: l.Saturated[i],
			Work: work[i],
		}
	}
	return peers, nil
}
