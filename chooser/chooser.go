package chooser

import (
	"cmp"
	"fmt"
	"slices"
	"sync/atomic"
	"time"
)

// Defaults of Config.
const (
	DefaultAttempts = 3
	DefaultRamp     = 30 * time.Second
	// DefaultLoadTTL is longer than the few seconds that gossip takes to refresh the whole load table.
	DefaultLoadTTL = 10 * time.Second
	// DefaultSkipFactor is above 1, so that candidates slightly above the bound are still tried: the agent's own load
	// is exact, whereas the router's load table is a few seconds old. In TestPoliciesThroughChurn, skipping at the bound
	// itself saves no attempts and reduces cache reuse.
	DefaultSkipFactor = 1.2
)

// Config configures a Chooser; a zero field takes its default.
type Config struct {
	Policy Policy
	// Bound is the limit on the work of an engine, as a multiple of the mean work of its pool.
	Bound float64
	// SkipFactor is multiplied by Bound to get the multiple of the mean work above which a candidate is skipped.
	SkipFactor float64
	// Attempts is the maximum number of candidates that a request tries, at most MaxAttempts.
	Attempts int
	// Ramp is the uptime at which an upstream reaches its full weight.
	Ramp time.Duration
	// LoadTTL is the age above which a load report is not used.
	LoadTTL time.Duration
	// Domain is the failure domain of the router. It only breaks ties in load for the last attempt.
	Domain string
	// Seed makes the random policy reproducible.
	Seed uint64
}

// Chooser orders candidates; it is safe for concurrent use.
type Chooser struct {
	cfg Config
	// sequence counts the choices under the random and round-robin policies, which change with each choice.
	sequence atomic.Uint64
}

// New returns a Chooser, or an error if the configuration is out of range.
func New(cfg Config) (*Chooser, error) {
	cfg.Bound = cmp.Or(cfg.Bound, DefaultBound)
	cfg.SkipFactor = cmp.Or(cfg.SkipFactor, DefaultSkipFactor)
	cfg.Attempts = cmp.Or(cfg.Attempts, DefaultAttempts)
	cfg.Ramp = cmp.Or(cfg.Ramp, DefaultRamp)
	cfg.LoadTTL = cmp.Or(cfg.LoadTTL, DefaultLoadTTL)
	if err := cfg.check(); err != nil {
		return nil, err
	}
	return &Chooser{cfg: cfg}, nil
}

func (cfg Config) check() error {
	switch {
	case cfg.Policy < Rendezvous || cfg.Policy > LeastLoad:
		return fmt.Errorf("unknown %v", cfg.Policy)
	case !(cfg.Bound >= 1):
		return fmt.Errorf("bound %g is below 1", cfg.Bound)
	case !(cfg.SkipFactor >= 1):
		return fmt.Errorf("skip factor %g is below 1", cfg.SkipFactor)
	case cfg.Attempts < 1 || cfg.Attempts > MaxAttempts:
		return fmt.Errorf("attempts %d is not between 1 and %d", cfg.Attempts, MaxAttempts)
	case cfg.Ramp < 0 || cfg.LoadTTL < 0:
		return fmt.Errorf("ramp %v or load TTL %v is negative", cfg.Ramp, cfg.LoadTTL)
	default:
		return nil
	}
}

// Choose returns the upstreams that a request of the given cost (in tokens) tries, in order.
// The key identifies the chat. The order of ups matters only to the round-robin policy.
func (c *Chooser) Choose(key uint64, cost float64, ups []Upstream) Choice {
	r := c.newRanking(key, cost, ups)
	var tiers [tierCount]top
	for i := range ups {
		item := r.rank(i)
		if item.tier != tierExcluded {
			tiers[item.tier].add(item, c.cfg.Attempts+1, ups)
		}
	}
	var buf [MaxAttempts + 1]ranked
	picked := r.pick(&tiers, buf[:0])
	return r.choice(picked, &tiers)
}

// ranking holds the values that are shared by all candidates of one choice.
type ranking struct {
	cfg      *Config
	key      uint64
	cost     float64
	ups      []Upstream
	sequence uint64
	// mean is the mean work of the upstreams whose load is known, in tokens, and known is their number.
	mean  float64
	known int
	limit float64
}

func (c *Chooser) newRanking(key uint64, cost float64, ups []Upstream) ranking {
	r := ranking{cfg: &c.cfg, key: key, cost: cost, ups: ups}
	if c.cfg.Policy == Random || c.cfg.Policy == RoundRobin {
		r.sequence = c.sequence.Add(1) - 1
	}
	total := 0.0
	for i := range ups {
		u := &ups[i]
		if u.State == Leaving || u.State == Down || !r.loadKnown(u) {
			continue
		}
		total += u.Work
		r.known++
	}
	if r.known > 0 {
		r.mean = total / float64(r.known)
	}
	r.limit = Limit(c.cfg.SkipFactor*c.cfg.Bound, total, r.known, cost)
	return r
}

func (r *ranking) loadKnown(u *Upstream) bool {
	return u.Known && u.WorkAge <= r.cfg.LoadTTL
}

// rank returns the score and the tier of the upstream at index i.
func (r *ranking) rank(i int) ranked {
	u := &r.ups[i]
	item := ranked{index: i, tier: r.tier(u)}
	if item.tier == tierExcluded {
		return item
	}
	item.tie = hash(r.key, u.Name)
	switch r.cfg.Policy {
	case Random:
		item.score = rendezvous(hash(r.cfg.Seed+r.sequence, u.Name), 1)
	case RoundRobin:
		n := uint64(len(r.ups))
		item.score = -float64((uint64(i) + n - r.sequence%n) % n)
	case LeastLoad:
		item.score = -r.load(u)
	default:
		item.score = rendezvous(item.tie, weight(u.Uptime, r.cfg.Ramp))
	}
	return item
}

func (r *ranking) tier(u *Upstream) tier {
	switch u.State {
	case Leaving:
		return tierExcluded
	case Down:
		return tierDown
	case Suspect:
		return tierSuspect
	default:
	}
	if r.cfg.Policy == Rendezvous && r.loadKnown(u) && !Admits(u.Work, r.cost, r.limit) {
		return tierAboveBound
	}
	return tierFit
}

// load returns the running and queued work of an upstream, or the mean if its load is unknown.
func (r *ranking) load(u *Upstream) float64 {
	if !r.loadKnown(u) {
		return r.mean
	}
	return u.Work + u.Queued
}

// pick appends the candidates of a request to dst, best tier first. Upstreams that are down are picked only if there
// is no other: a refused connection costs little, and the upstream may have recovered.
func (r *ranking) pick(tiers *[tierCount]top, dst []ranked) []ranked {
	for t := range tiers {
		if tier(t) == tierDown && len(dst) > 0 {
			break
		}
		room := r.cfg.Attempts + 1 - len(dst)
		dst = append(dst, tiers[t].items[:min(room, tiers[t].n)]...)
	}
	if len(dst) <= r.cfg.Attempts {
		return dst
	}
	last := r.cfg.Attempts - 1
	if r.replacesLast(dst) {
		dst[last] = dst[last+1]
	}
	return dst[:r.cfg.Attempts]
}

// replacesLast reports whether the candidate after the last attempt replaces the last one, because it is less loaded or
// because it has equal load and a better failure domain: one that no earlier attempt goes to, or else that of the
// router. A single attempt always follows the chat's preference order.
func (r *ranking) replacesLast(picked []ranked) bool {
	last := r.cfg.Attempts - 1
	if r.cfg.Policy != Rendezvous || last == 0 || picked[last+1].tier > tierAboveBound {
		return false
	}
	a, b := &r.ups[picked[last].index], &r.ups[picked[last+1].index]
	if la, lb := r.load(a), r.load(b); la != lb {
		return lb < la
	}
	if ta, tb := r.domainTried(a.Domain, picked[:last]), r.domainTried(b.Domain, picked[:last]); ta != tb {
		return ta
	}
	return a.Domain != r.cfg.Domain && b.Domain == r.cfg.Domain
}

// domainTried reports whether an earlier attempt goes to the failure domain.
func (r *ranking) domainTried(domain string, earlier []ranked) bool {
	return slices.ContainsFunc(earlier, func(e ranked) bool { return r.ups[e.index].Domain == domain })
}
