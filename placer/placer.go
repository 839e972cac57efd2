package placer

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"clementineramp/appraiser"
	"clementineramp/registrar"
)

const (
	// DefaultLoadFactor is the multiple of the mean load up to which an upstream takes the longest chats that it has cached.
	// A step of an engine takes 1.5% longer for each request beside, while a chat that moves has its prompt read again.
	// Loads are known with a delay of some 0.2 s, in which they grow beyond the bound by a fifth.
	DefaultLoadFactor = 1.7
	// DefaultSlack is added to the bound, because with few requests the mean is a fraction of one.
	DefaultSlack = 2
	// shortChatFactor is the part of the bound that holds for the shortest chats: they leave a loaded upstream first, since
	// they free as much of its time and cost less to read again. So the same chats move each time, too.
	shortChatFactor = 0.75
	// longChatTokens is the number of cached tokens from which a chat counts as long; an engine reads them in about 40 ms.
	longChatTokens = 4000
	// maxSlotShare is the part of an upstream's places from which its chats go elsewhere, as long as others have room: the
	// rest is for what other gateways send meanwhile.
	maxSlotShare = 0.9
	// DefaultRamp is the time over which the share of chats that an upstream takes grows after its start. Each chat
	// that it takes from another upstream is read again.
	DefaultRamp = time.Minute
	// minAge bounds the share of an upstream that has just started from below.
	minAge = time.Second
	// loadDecayTime is the time in which a reported load falls to 1/e if nothing is added: streams last one to two seconds,
	// and an upstream that gets no requests sends no reports.
	loadDecayTime = 1500 * time.Millisecond
	// reportTTL is the time for which a reported load is passed on to other gateways.
	reportTTL = 2 * loadDecayTime
)

// Load is what an upstream reported of itself.
type Load struct {
	Running, Waiting, Slots int
}

// Request is what bears on the choice for one request.
type Request struct {
	Service string
	// Chat identifies the cached part of the prompt; it is empty for requests without one.
	Chat string
	// ChatTokens is the length of the cached part.
	ChatTokens int
	// Repeatable requests may serve as trials of suspect upstreams.
	Repeatable bool
	// Tried holds the upstreams that had the request before.
	Tried []string
}

// Choice is a chosen upstream and what decided.
type Choice struct {
	Upstream registrar.Upstream
	Health   appraiser.Health
	// Load is the estimated number of requests at the upstream before this one, Mean that of the candidates.
	Load, Mean float64
	// Position is the upstream's place in the chat's order; 0 is the home of the chat.
	Position   int
	Candidates int
	// Source is another upstream that probably holds the chat's cache; its address is empty if there is none.
	Source registrar.Upstream
	// ReportAge is the age of the upstream's own report, or -1.
	ReportAge time.Duration
}

// Config sets up a Placer; zero fields take the defaults.
type Config struct {
	LoadFactor float64
	Slack      float64
	Ramp       time.Duration
	// FailureDomain is that of this process; upstreams in it win ties.
	FailureDomain string
	// View returns the upstreams in use.
	View func() *registrar.View
	// Health returns the health of an upstream.
	Health func(upstream string, now time.Time) appraiser.Health
	// Random returns a number below n; nil means that of math/rand.
	Random func(n int) int
}

// Placer is safe for concurrent use.
type Placer struct {
	cfg Config

	mu    sync.Mutex
	loads map[string]*upstreamLoad
}

// upstreamLoad is what one upstream has to do.
type upstreamLoad struct {
	// local is the number of requests that this process has there.
	local int
	// reported is the upstream's load at reportedAt, when own was ownThen.
	reported      int
	localAtReport int
	reportedAt    time.Time
}

// estimate returns the number of requests at the upstream: the own ones, and those of others at the last report
// less what has ended since.
func (w *upstreamLoad) estimate(now time.Time) float64 {
	others := float64(max(w.reported-w.localAtReport, 0))
	if others == 0 {
		return float64(w.local)
	}
	return float64(w.local) + others*math.Exp(-now.Sub(w.reportedAt).Seconds()/loadDecayTime.Seconds())
}

// New returns a placer without knowledge of any load.
func New(cfg Config) *Placer {
	if cfg.LoadFactor == 0 {
		cfg.LoadFactor = DefaultLoadFactor
	}
	if cfg.Slack == 0 {
		cfg.Slack = DefaultSlack
	}
	if cfg.Ramp == 0 {
		cfg.Ramp = DefaultRamp
	}
	if cfg.Random == nil {
		cfg.Random = rand.IntN
	}
	return &Placer{cfg: cfg, loads: make(map[string]*upstreamLoad)}
}

// candidate is an upstream with its load and health.
type candidate struct {
	registrar.Upstream
	health appraiser.Health
	load   float64
	// score is the place in the order of the chat; the highest is its home.
	score float64
}

// loadLimit returns the load up to which an upstream takes chats: beyond its places they would wait.
func (c *candidate) loadLimit(bound float64) float64 {
	if c.Slots > 0 {
		return min(bound, maxSlotShare*float64(c.Slots))
	}
	return bound
}

// Choose returns the upstream for a request and counts the request there until Done.
func (p *Placer) Choose(r Request, now time.Time) (Choice, bool) {
	listed := p.cfg.View().ByService[r.Service]
	p.mu.Lock()
	defer p.mu.Unlock()
	usable := p.usable(listed, r, now)
	if len(usable) == 0 {
		return Choice{}, false
	}
	mean := 0.0
	for _, c := range usable {
		mean += c.load / float64(len(usable))
	}
	at, place := p.pick(usable, r, mean, now)
	c := usable[at]
	choice := Choice{
		Upstream: c.Upstream, Health: c.health, Load: c.load, Mean: mean, Position: place, Candidates: len(usable), ReportAge: -1,
	}
	if r.Chat != "" {
		choice.Source = cacheSource(usable, at)
	}
	w := p.loadOf(c.ID)
	if !w.reportedAt.IsZero() {
		choice.ReportAge = now.Sub(w.reportedAt)
	}
	w.local++
	return choice, true
}

// Occupancy returns the requests at the upstreams of a service as a share of their places. It is false while no
// upstream has told its load.
func (p *Placer) Occupancy(service string, now time.Time) (share float64, known bool) {
	listed := p.cfg.View().ByService[service]
	p.mu.Lock()
	defer p.mu.Unlock()
	load, places := 0.0, 0
	for _, c := range p.usable(listed, Request{}, now) {
		load += c.load
		places += c.Slots
		if w := p.loads[c.ID]; w != nil && !w.reportedAt.IsZero() {
			known = true
		}
	}
	if places == 0 {
		return 0, false
	}
	return load / float64(places), known
}

// usable returns the upstreams that may take the request: good ones and trials, or all that can be reached if
// fewer than half are good.
func (p *Placer) usable(listed []registrar.Upstream, r Request, now time.Time) []candidate {
	var best, reachable, rest []candidate
	for _, u := range listed {
		if contains(r.Tried, u.ID) {
			continue
		}
		c := candidate{Upstream: u, health: p.cfg.Health(u.ID, now)}
		if w := p.loads[u.ID]; w != nil {
			c.load = w.estimate(now)
		}
		switch {
		case c.health == appraiser.Good || c.health == appraiser.Trial && r.Repeatable:
			best = append(best, c)
		case c.health == appraiser.Unreachable:
			rest = append(rest, c)
			continue
		}
		reachable = append(reachable, c)
	}
	switch {
	case 2*len(best) >= len(listed)-len(r.Tried) && len(best) > 0:
		return best
	case len(reachable) > 0:
		return reachable
	}
	return rest
}

// pick returns the index of the choice and its place in the order of the chat.
func (p *Placer) pick(usable []candidate, r Request, mean float64, now time.Time) (at, place int) {
	for i := range usable {
		if usable[i].health == appraiser.Trial && usable[i].load <= mean {
			return i, 0 // One request decides whether the upstream is well again.
		}
	}
	if r.Chat == "" {
		return p.leastLoaded(usable), 0
	}
	for i := range usable {
		usable[i].score = p.score(r.Chat, usable[i].Upstream, now)
	}
	length := min(float64(r.ChatTokens)/longChatTokens, 1)
	bound := (p.cfg.LoadFactor*mean + p.cfg.Slack) * (shortChatFactor + (1-shortChatFactor)*length)
	at = -1
	for i, c := range usable {
		if c.load < c.loadLimit(bound) && (at < 0 || c.score > usable[at].score) {
			at = i
		}
	}
	if at < 0 {
		return p.leastLoaded(usable), len(usable)
	}
	for _, c := range usable {
		if c.score > usable[at].score {
			place++
		}
	}
	return at, place
}

// cacheSource returns the first upstream in the order of the chat beside the chosen one. A chat that was moved has its
// cache at its home, one that has come to a new home at the next in the order.
func cacheSource(usable []candidate, chosen int) registrar.Upstream {
	best := -1
	for i, c := range usable {
		if i != chosen && c.health == appraiser.Good && (best < 0 || c.score > usable[best].score) {
			best = i
		}
	}
	if best < 0 {
		return registrar.Upstream{}
	}
	return usable[best].Upstream
}

// score returns the rendezvous score of an upstream for a chat, weighted by the time since the upstream's start.
func (p *Placer) score(chat string, u registrar.Upstream, now time.Time) float64 {
	const bits = 53 // of a float64's mantissa
	h := float64(xxhash.Sum64String(chat+"\x00"+u.ID)>>(64-bits)+1) / (1<<bits + 1)
	weight := 1.0
	if u.Born > 0 {
		age := min(max(now.Sub(time.UnixMilli(u.Born)), minAge), p.cfg.Ramp)
		weight = age.Seconds() / p.cfg.Ramp.Seconds()
	}
	return -weight / math.Log(h)
}

// leastLoaded prefers upstreams of the own failure domain among equals, and then any.
func (p *Placer) leastLoaded(usable []candidate) int {
	start := p.cfg.Random(len(usable))
	best := start
	for i := range usable {
		j := (start + i) % len(usable)
		c, b := usable[j], usable[best]
		near := c.FailureDomain == p.cfg.FailureDomain && b.FailureDomain != p.cfg.FailureDomain
		if c.load < b.load || c.load == b.load && near {
			best = j
		}
	}
	return best
}

func (p *Placer) loadOf(upstream string) *upstreamLoad {
	w := p.loads[upstream]
	if w == nil {
		w = &upstreamLoad{}
		p.loads[upstream] = w
	}
	return w
}

// Done ends a request that Choose counted.
func (p *Placer) Done(upstream string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.loads[upstream]; w != nil {
		w.local--
	}
}

// RecordLoad takes the load that an upstream told with an answer; the request that was answered may still run.
func (p *Placer) RecordLoad(upstream string, l Load, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.loadOf(upstream)
	w.reported, w.localAtReport, w.reportedAt = l.Running+l.Waiting, w.local, now
}

// LoadReport is a load that an upstream told some gateway.
type LoadReport struct {
	Upstream string
	// Load is the number of requests that ran or waited there.
	Load int
	Age  time.Duration
}

// Reports returns the loads that are new enough to count, for the other gateways.
func (p *Placer) Reports(now time.Time) []LoadReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]LoadReport, 0, len(p.loads))
	for name, w := range p.loads {
		if age := now.Sub(w.reportedAt); age < reportTTL {
			all = append(all, LoadReport{Upstream: name, Load: w.reported, Age: age})
		}
	}
	return all
}

// Merge takes the loads that another gateway knows, if they are newer.
func (p *Placer) Merge(reports []LoadReport, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range reports {
		w := p.loadOf(r.Upstream)
		if at := now.Add(-r.Age); r.Age >= 0 && at.After(w.reportedAt) {
			w.reported, w.localAtReport, w.reportedAt = r.Load, w.local, at
		}
	}
}

// Prune drops the upstreams without requests for which keep is false.
func (p *Placer) Prune(keep func(upstream string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, w := range p.loads {
		if w.local <= 0 && !keep(name) {
			delete(p.loads, name)
		}
	}
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}
