package mapper

import (
	"cmp"
	"hash/fnv"
	"net"
	"slices"
	"strings"
	"time"
)

// Kind says how often a request may run.
type Kind int

const (
	// NonIdempotent requests may run once for each attempt of a caller; it is the zero value.
	NonIdempotent Kind = iota
	// Idempotent requests may run any number of times.
	Idempotent
	// Stream requests are answered with a series of events.
	Stream
)

var kindNames = [...]string{NonIdempotent: "non_idempotent", Idempotent: "idempotent", Stream: "stream"}

// String returns the name of the kind in logs.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return kindNames[NonIdempotent]
	}
	return kindNames[k]
}

// Share is the weight of a service among those that share a route.
type Share struct {
	Service string
	Weight  int
}

// Route says how the requests of one host name and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may go on at another upstream after the last event that was delivered.
	Resumable bool
	// Timeout is the longest time that a caller waits for the end of the answer; zero means no limit of the route.
	Timeout time.Duration
	// Target is the latency objective: to the end of a plain answer, or to the first event of a stream.
	Target time.Duration
	// Gap is the longest pause between two events of a stream that is on time.
	Gap time.Duration
	// Rank is the priority class; 0 is the most urgent.
	Rank int
	// Attempts is the number of upstreams that may run a request; at least 1.
	Attempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Chat routes carry prompts whose parts upstreams cache.
	Chat   bool
	Shares []Share
}

// Repeatable reports whether a request of the route may run at a second upstream.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service returns the service that handles a request; equal seeds give equal services.
func (r *Route) Service(seed string) string {
	total := 0
	for _, s := range r.Shares {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		if len(r.Shares) == 0 {
			return ""
		}
		return r.Shares[0].Service
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(r.Name + "\x00" + seed))
	at := int(mix(h.Sum64()) % uint64(total))
	for _, s := range r.Shares {
		at -= max(s.Weight, 0)
		if at < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// mix spreads the bits of a FNV hash, whose low bits are weak for short inputs.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Service describes the upstreams of one service.
type Service struct {
	Name string
	// Connections is the number of connections that one upstream takes from all routers; zero means unknown.
	Connections int
	// Engine says that the upstreams are model engines.
	Engine bool
}

// Organisation is the owner of keys.
type Organisation struct {
	Name string
	// Rank goes before the rank of the route if HasRank is set.
	Rank    int
	HasRank bool
}

// Limits bound what a caller may send; a zero field means no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Table is one version of the configuration; it is not changed after Build.
type Table struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	// Organisations maps keys to their owners; keys are not checked if it is nil.
	Organisations map[string]*Organisation
	Limits        Limits

	// byHost holds the routes of each host, those with the longest prefix first.
	byHost map[string][]*Route
	// ranks holds the ranks that requests may have, the most urgent first.
	ranks []rank
}

// rank orders requests: that of the organisation decides, and among organisations of one rank that of the route.
type rank struct {
	organisation, route int
}

func compareRanks(a, b rank) int {
	return cmp.Or(cmp.Compare(a.organisation, b.organisation), cmp.Compare(a.route, b.route))
}

// rankOf returns the rank of a request; organisations without a rank of their own take that of the route.
func rankOf(r *Route, o *Organisation) rank {
	if o != nil && o.HasRank {
		return rank{organisation: o.Rank, route: r.Rank}
	}
	return rank{organisation: r.Rank, route: r.Rank}
}

// Build makes the indexes that Match needs.
func (t *Table) Build() *Table {
	t.byHost = make(map[string][]*Route)
	for i := range t.Routes {
		r := &t.Routes[i]
		r.Attempts = max(r.Attempts, 1)
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	t.ranks = t.allRanks()
	return t
}

// allRanks returns the ranks of all routes for all organisations, in order.
func (t *Table) allRanks() []rank {
	routes := make(map[int]*Route)
	for i := range t.Routes {
		routes[t.Routes[i].Rank] = &t.Routes[i]
	}
	organisations := map[int]*Organisation{}
	for _, o := range t.Organisations {
		if o.HasRank {
			organisations[o.Rank] = o
		}
	}
	var all []rank
	for _, r := range routes {
		all = append(all, rankOf(r, nil))
		for _, o := range organisations {
			all = append(all, rankOf(r, o))
		}
	}
	slices.SortFunc(all, compareRanks)
	return slices.Compact(all)
}

// Urgency returns the place of a request among the ranks of the configuration; 0 is the most urgent.
func (t *Table) Urgency(r *Route, o *Organisation) int {
	i, _ := slices.BinarySearchFunc(t.ranks, rankOf(r, o), compareRanks)
	return i
}

// Match returns the route with the longest prefix of path among those of host, which may have a port.
func (t *Table) Match(host, path string) (*Route, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Owner returns the organisation that holds key.
func (t *Table) Owner(key string) (*Organisation, bool) {
	o, ok := t.Organisations[key]
	return o, ok
}
