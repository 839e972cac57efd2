package configurer

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"time"
)

// Rank is a priority class of requests; ranks are listed from the most to the least urgent.
type Rank struct {
	Name string `json:"name"`
	// TargetMS is the time to the first token that 95% of the requests should meet, in milliseconds.
	TargetMS int64 `json:"target_ms"`
	// Worth is the value of a unit of work relative to that of the other ranks.
	Worth float64 `json:"worth"`
	// Share is the fraction of capacity that is guaranteed to the rank under any overload.
	Share float64 `json:"share"`
}

// Target returns TargetMS as a duration.
func (r Rank) Target() time.Duration {
	return time.Duration(r.TargetMS) * time.Millisecond
}

// Pool is a set of engines that serve one model.
type Pool struct {
	Name    string `json:"name"`
	Model   string `json:"model"`
	Version string `json:"version"`
	// Floor is the fraction of the pool's engines that stays ready during a change of version, from 0 to 1.
	Floor float64 `json:"floor"`
	// Account is the name of the credit account that pays for the requests of the pool; empty means that they need no
	// credit.
	Account string `json:"account,omitempty"`
}

// Service is a plain HTTP service. Requests to it are called orders and may be non-idempotent.
type Service struct {
	Name string `json:"name"`
	// Workers lists the names of the upstreams that own the keys of the service.
	Workers []string `json:"workers"`
	// HorizonMS is the time within which callers may retry an order, in milliseconds.
	HorizonMS int64 `json:"horizon_ms"`
}

// Organisation is a customer of the fleet.
type Organisation struct {
	Name string `json:"name"`
	// KeyHash is the SHA-256 hash of the API key, in lower-case hexadecimal.
	KeyHash string `json:"key_hash"`
	// Rank is the default rank, which applies to requests that name none.
	Rank string `json:"rank"`
	// Ranks lists the ranks that the organisation may request in addition to Rank; empty means only Rank.
	Ranks []string `json:"ranks,omitempty"`
	// Weight is the organisation's weight relative to others of the same rank; zero means 1.
	Weight float64 `json:"weight,omitempty"`
}

// Allows reports whether the organisation may request a rank, which is so for Rank and each of Ranks.
func (o Organisation) Allows(rank string) bool {
	if rank == o.Rank {
		return true
	}
	for _, r := range o.Ranks {
		if r == rank {
			return true
		}
	}
	return false
}

// Account holds provider credits that expire.
type Account struct {
	Name string `json:"name"`
	// Amount is the number of credits left at AsOf.
	Amount float64   `json:"amount"`
	AsOf   time.Time `json:"as_of"`
	// Lapses is the time at which the remaining credits expire.
	Lapses time.Time `json:"lapses"`
	// CreditsPerToken is the price of a token of work, in credits.
	CreditsPerToken float64 `json:"credits_per_token"`
}

// Part is a piece of a configuration that is published under its own key; any section may be empty.
type Part struct {
	Ranks         []Rank         `json:"ranks,omitempty"`
	Pools         []Pool         `json:"pools,omitempty"`
	Services      []Service      `json:"services,omitempty"`
	Organisations []Organisation `json:"organisations,omitempty"`
	Accounts      []Account      `json:"accounts,omitempty"`
}

// Snapshot is a complete configuration. It is immutable.
type Snapshot struct {
	Version  uint64
	Digest   Digest
	Ranks    []Rank
	Pools    []Pool
	Services []Service
	Accounts []Account

	organisations map[string]Organisation
	nameByKey     map[keyHash]string
	// parts holds the parts by digest, so that the next snapshot can reuse unchanged ones. It is nil after NewSnapshot.
	parts map[Digest]*decodedPart
}

type keyHash [sha256.Size]byte

// NewSnapshot merges parts into a snapshot without checking them, whereas Load and Holder check a configuration first.
func NewSnapshot(version uint64, digest Digest, parts []Part) *Snapshot {
	s := &Snapshot{
		Version: version, Digest: digest,
		organisations: map[string]Organisation{}, nameByKey: map[keyHash]string{},
	}
	for _, p := range parts {
		s.addSections(p)
		for _, o := range p.Organisations {
			s.addOrganisation(o)
		}
	}
	return s
}

func (s *Snapshot) addSections(p Part) {
	s.Ranks = append(s.Ranks, p.Ranks...)
	s.Pools = append(s.Pools, p.Pools...)
	s.Services = append(s.Services, p.Services...)
	s.Accounts = append(s.Accounts, p.Accounts...)
}

func (s *Snapshot) addOrganisation(o Organisation) {
	s.organisations[o.Name] = o
	raw, err := hex.DecodeString(o.KeyHash)
	if err != nil || len(raw) != sha256.Size {
		return
	}
	s.nameByKey[keyHash(raw)] = o.Name
}

// ID returns the version of the snapshot and the digest of its manifest.
func (s *Snapshot) ID() ID {
	return ID{Version: s.Version, Digest: s.Digest}
}

// OrganisationCount returns the number of organisations in all parts.
func (s *Snapshot) OrganisationCount() int {
	return len(s.organisations)
}

// Authenticate returns the organisation of an API key, or false if the key is unknown.
func (s *Snapshot) Authenticate(key string) (Organisation, bool) {
	sum := sha256.Sum256([]byte(key))
	name, ok := s.nameByKey[sum]
	if !ok {
		return Organisation{}, false
	}
	o := s.organisations[name]
	// The look-up by hash selects one candidate; the final comparison takes constant time.
	return o, subtle.ConstantTimeCompare([]byte(o.KeyHash), []byte(hex.EncodeToString(sum[:]))) == 1
}

// Organisation returns the organisation with a name, or false if there is none.
func (s *Snapshot) Organisation(name string) (Organisation, bool) {
	o, ok := s.organisations[name]
	return o, ok
}

// Rank returns the rank with a name and its position, 0 for the most urgent, or false if there is none.
func (s *Snapshot) Rank(name string) (Rank, int, bool) {
	for i, r := range s.Ranks {
		if r.Name == name {
			return r, i, true
		}
	}
	return Rank{}, 0, false
}

// PoolOfModel returns the pool that serves a model, or false if there is none.
func (s *Snapshot) PoolOfModel(model string) (Pool, bool) {
	for _, p := range s.Pools {
		if p.Model == model {
			return p, true
		}
	}
	return Pool{}, false
}

// Pool returns the pool with a name, or false if there is none.
func (s *Snapshot) Pool(name string) (Pool, bool) {
	for _, p := range s.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return Pool{}, false
}

// Service returns the plain HTTP service with a name, or false if there is none.
func (s *Snapshot) Service(name string) (Service, bool) {
	for _, v := range s.Services {
		if v.Name == name {
			return v, true
		}
	}
	return Service{}, false
}
