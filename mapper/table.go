package mapper

import (
	"hash/fnv"
	"maps"
	"net"
	"slices"
	"strings"
	"time"
)

// Kind says whether a request may run more than once, and whether its response is a stream.
type Kind int

const (
	// NonIdempotent requests may run at most once per attempt of the caller; it is the zero value.
	NonIdempotent Kind = iota
	// Idempotent requests may run any number of times.
	Idempotent
	// Stream requests have a stream of events as response.
	Stream
)

var kindNames = [...]string{NonIdempotent: "non_idempotent", Idempotent: "idempotent", Stream: "stream"}

// String returns the name of the kind in logs; unknown kinds have that of NonIdempotent.
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
	// Resumable streams may be continued at another upstream after the last event delivered to the caller.
	Resumable bool
	// Timeout is the longest time to the end of the response; zero means that the route sets no limit.
	Timeout time.Duration
	// Target is the latency objective: the time to the end of a plain response, or to the first event of a stream.
	Target time.Duration
	// Gap is the longest time between two events of a stream that still counts as on time.
	Gap time.Duration
	// Rank is the priority class; 0 is the most urgent.
	Rank int
	// Attempts is the maximum number of upstreams that a request is sent to; Build raises it to at least 1.
	Attempts int
	// Anonymous routes accept requests without a key.
	Anonymous bool
	// Chat routes carry prompts of which upstreams cache a part.
	Chat   bool
	Shares []Share
}

// Repeatable reports whether a request of the route may be sent to another upstream after one that may have run it.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service returns the service that handles a request, chosen by weight: equal seeds give equal services. It is empty if
// the route has none.
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
	offset := int(mix(h.Sum64()) % uint64(total))
	for _, s := range r.Shares {
		offset -= max(s.Weight, 0)
		if offset < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// mix is the finaliser of MurmurHash3. It is applied because the low bits of an FNV hash are poorly distributed for
// short inputs.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Service holds the properties that the upstreams of a service have in common.
type Service struct {
	Name string
	// Connections is the number of connections that one upstream accepts from all routers together; zero means unknown.
	Connections int
	// Engine is true if the upstreams are engines, which run a language model.
	Engine bool
	// ColdStart is the time for which an upstream is cold after its start, and ColdRate the number of requests a second that it
	// tolerates meanwhile. With a rate of zero, no upstream of the service is ever cold.
	ColdStart time.Duration
	ColdRate  float64
}

// Organisation is the owner of keys.
type Organisation struct {
	Name string
	// Rank takes precedence over the rank of the route if HasRank is set.
	Rank    int
	HasRank bool
}

// Limits bound the size and the duration of a caller's request; a zero field means no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Table is one version of the configuration; it must not be modified after Build.
type Table struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	// Organisations maps keys to their owners; keys are not checked if it is nil.
	Organisations map[string]*Organisation
	Limits        Limits

	// byHost holds the routes of each host, those with the longest prefix first.
	byHost map[string][]*Route
	ranks  ranks
}

// rank orders requests by the rank of the organisation, then by that of the route; lower ranks are more urgent.
type rank struct {
	organisation, route int
}

// rankOf returns the rank of a request; an organisation without a rank has that of the route.
func rankOf(r *Route, o *Organisation) rank {
	if o != nil && o.HasRank {
		return rank{organisation: o.Rank, route: r.Rank}
	}
	return rank{organisation: r.Rank, route: r.Rank}
}

// Build creates the indexes that Match and Urgency use, and returns the table.
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
	t.ranks = t.collectRanks()
	return t
}

// ranks orders the ranks that a request can have: each pair of the rank of an organisation and that of a route, and the
// pairs of the rank of a route with itself, for organisations without a rank. The pairs are not listed, as there may be
// hundreds of millions in a configuration of 1 MB.
type ranks struct {
	// routes holds the ranks of routes, and firsts those of routes and organisations, each once and the most urgent first.
	routes, firsts []int
	// before holds, for each element of firsts, the number of pairs whose first rank is more urgent.
	before []int
	// organisations holds the ranks of organisations.
	organisations map[int]bool
}

func (t *Table) collectRanks() ranks {
	r := ranks{organisations: make(map[int]bool)}
	for i := range t.Routes {
		r.routes = append(r.routes, t.Routes[i].Rank)
	}
	for _, o := range t.Organisations {
		if o.HasRank {
			r.organisations[o.Rank] = true
		}
	}
	slices.Sort(r.routes)
	r.routes = slices.Compact(r.routes)
	r.firsts = slices.AppendSeq(slices.Clone(r.routes), maps.Keys(r.organisations))
	slices.Sort(r.firsts)
	r.firsts = slices.Compact(r.firsts)
	n := 0
	for _, first := range r.firsts {
		r.before = append(r.before, n)
		if r.organisations[first] {
			n += len(r.routes)
		} else {
			n++
		}
	}
	return r
}

// position returns the number of ranks that are more urgent than the one of a request.
func (r *ranks) position(of rank) int {
	i, found := slices.BinarySearch(r.firsts, of.organisation)
	if !found {
		return 0
	}
	if !r.organisations[of.organisation] {
		return r.before[i]
	}
	j, _ := slices.BinarySearch(r.routes, of.route)
	return r.before[i] + j
}

// Urgency returns the position of a request among the ranks of the configuration; 0 is the most urgent. The organisation
// may be nil.
func (t *Table) Urgency(r *Route, o *Organisation) int {
	return t.ranks.position(rankOf(r, o))
}

// Match returns the route of host with the longest prefix that matches path; host may include a port. It is false if no
// route matches.
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

// Owner returns the organisation that a key belongs to, and false for an unknown key.
func (t *Table) Owner(key string) (*Organisation, bool) {
	o, ok := t.Organisations[key]
	return o, ok
}
