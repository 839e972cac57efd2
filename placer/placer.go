package placer

import (
	"cmp"
	"errors"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"clementineramp/appraiser"
	"clementineramp/notifier"
	"clementineramp/registrar"
	"clementineramp/throttler"
)

const (
	// DefaultLoadFactor is the factor by which the mean load is multiplied to get the load limit, from which on an
	// upstream receives no more long chats. It is well above 1, because uneven load costs less than moving chats: each
	// concurrent request makes an engine step 1.5% longer, whereas a chat that moves to another upstream has its prompt
	// processed again. Load reports are delayed by about 0.2 s, during which loads exceed the limit by up to a fifth.
	DefaultLoadFactor = 1.7
	// DefaultSlack is a number of requests added to the load limit, because with few requests the mean load is below one.
	DefaultSlack = 2
	// shortChatFactor is the fraction of the load limit that applies to the shortest chats. Short chats are moved away
	// from a loaded upstream before long ones: moving one relieves the upstream as much and costs less prompt processing.
	// It also means that the same chats move each time.
	shortChatFactor = 0.75
	// longChatTokens is the number of cached tokens from which a chat counts as long; an engine processes that many in
	// about 40 ms.
	longChatTokens = 4000
	// A hot chat is spread over one upstream for each gatewaysPerSpread gateways, as the requests of the others that a
	// gateway has not heard of grow with their number, but over at most maxSpread.
	gatewaysPerSpread = 6
	maxSpread         = 16
	// softShare is the fraction of the load limit, counted from above, in which an upstream is taken with a falling
	// probability. It holds for softGateways gateways and more and for idle upstreams; it is less in proportion for fewer
	// gateways, and falls to zero with a mean load of half the slots, because under overload all upstreams are near their
	// limits, and chats that move only have their prompts processed again.
	softShare    = 0.7
	softGateways = 100
	// maxSlotShare is the fraction of an upstream's slots above which its chats go to other upstreams, as long as those
	// have free slots. The rest is left for requests that other gateways send before their load is reported.
	maxSlotShare = 0.9
	// noticeableSlowdown is the ratio of two slowdowns below which they count as equal. Estimates are noisy, and all gateways
	// would send their requests to the upstream that seems the fastest by a little.
	noticeableSlowdown = 1.5
	// DefaultRamp is the time after an upstream's start over which its share of the chats grows to the full share. It
	// limits the rate of prompt processing, since each chat that moves to the upstream is processed again.
	DefaultRamp = time.Minute
	// minAge is the least age used for the weight of an upstream, so that one that has just started has a weight above 0.
	minAge = time.Second
	// maxClockSkew is the time by which an upstream's start may be ahead of this host's clock. A start further ahead says
	// nothing about the age, which then counts as unknown: the upstream would otherwise get hardly any chats until then.
	maxClockSkew = time.Minute
	// loadDecayTime is the time constant with which a reported load decays, falling to 1/e. Streams last one to two
	// seconds, and an upstream that receives no requests sends no reports.
	loadDecayTime = 1500 * time.Millisecond
	// waitingDecayTime replaces it while this process has requests at the upstream. An upstream reports its load with its
	// responses, so one that is silent although it has requests still has most of its load: they wait.
	waitingDecayTime = 4 * time.Second
	// reportTTL is the age up to which a reported load is forwarded to other gateways.
	reportTTL = 2 * loadDecayTime
	// highReportTTL is the age up to which a report above the load limit is forwarded with every exchange, and
	// minHighInterval is the least time between two calls of OnHigh: a flood brings many such reports.
	highReportTTL   = time.Second
	minHighInterval = 300 * time.Millisecond
	// maxSourceSilence is the age of an upstream's latest load report up to which prompts are fetched from it. An engine
	// that is told to fetch from a host that is gone waits for its connection before it processes the prompt, while the
	// entries of lost upstreams stay in the store as long as an outage lasts, and for seconds after it.
	maxSourceSilence = 2 * time.Second
	// maxListedSourceSilence replaces it while the list of upstreams is current: upstreams that leave report no load any
	// more, but are listed until they are gone, and crashed ones are soon found to be unreachable.
	maxListedSourceSilence = 10 * time.Second
)

// Load is the load that an upstream reported, in requests.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is the time that work takes on the upstream's host at this moment, as a multiple of the usual; zero means
	// unknown. Choices do not depend on it.
	Slowdown float64
}

// Request holds the properties of a request that the choice depends on.
type Request struct {
	Service string
	// Chat identifies the cacheable part of the prompt; it is empty for requests without one.
	Chat string
	// ChatTokens is the length of the cacheable part.
	ChatTokens int
	// Repeatable requests may be sent to a suspect upstream as a trial.
	Repeatable bool
	// Preferred is the upstream that is chosen if it is a good candidate, for requests without a chat; it may be empty.
	Preferred string
	// Tried holds the upstreams that were sent the request before; they are not chosen again.
	Tried []string
}

// Choice is the chosen upstream and the values that led to the choice.
type Choice struct {
	Upstream registrar.Upstream
	Health   appraiser.Health
	// Load is the estimated number of requests at the upstream without this one, Mean the mean over the candidates.
	Load, Mean float64
	// Position is the upstream's position in the chat's preference order; 0 is the preferred upstream. It equals
	// Candidates if all of them are at the load limit, so that the least loaded one is chosen.
	Position   int
	Candidates int
	// Leaving is the number of upstreams of the service that are leaving, Evacuated that of those in evacuated failure domains,
	// Paused that of those that want no requests for a time, and Cold that of the cold ones to which this gateway may send no
	// request now; none of them are candidates.
	Leaving, Evacuated, Paused, Cold int
	// Listed is the number of upstreams of the service that are neither leaving nor evacuated.
	Listed int
	// reserved is set if the request has a place in the window of a cold upstream.
	reserved bool
	// Source is another upstream that probably has the chat's prompt cached; its address is empty if there is none.
	Source registrar.Upstream
	// ReportAge is the age of the upstream's latest load report, or -1 if there is none.
	ReportAge time.Duration
}

// Config sets up a Placer; zero fields take the defaults.
type Config struct {
	LoadFactor float64
	Slack      float64
	Ramp       time.Duration
	// FailureDomain is the failure domain of this process; among equally loaded upstreams, those in it are preferred.
	FailureDomain string
	// View returns the upstreams in use.
	View func() *registrar.View
	// Health returns the health of an upstream. A lock is held during the call, so it must not call the Placer.
	Health func(upstream string, now time.Time) appraiser.Health
	// ListCurrent reports whether upstreams that are gone, other than by a crash, are no longer in use; nil means never. No lock
	// is held during the call.
	ListCurrent func(now time.Time) bool
	// OnHigh is called when a report shows that an upstream has come to carry more than its load limit, so that other
	// gateways are told without delay; it may be nil. No lock is held during the call.
	OnHigh func()
	// Gateways returns the number of gateways that choose among the same upstreams; nil means one.
	Gateways func() int
	// Slowdown returns the latency of an upstream that reports no load as a multiple of the usual one; nil means that choices do
	// not depend on it. A lock is held during the call, so it must not call the Placer.
	Slowdown func(u registrar.Upstream, now time.Time) float64
	// Random returns a number from 0 to n-1; nil means rand.IntN.
	Random func(n int) int
	// Cold bounds the requests to cold upstreams; nil means that no upstream is ever cold.
	Cold *throttler.Throttler
}

// Placer chooses upstreams by their health and load; it is safe for concurrent use.
type Placer struct {
	cfg Config

	mu sync.Mutex
	// calls holds the calls of OnHigh that are due.
	calls notifier.Notifier
	loads map[string]*upstreamLoad
	// limits holds the load limit of each service at the last choice, and highAt is the time of the last call of OnHigh.
	limits map[string]float64
	highAt time.Time
	// gateways is the number of gateways at the last choice.
	gateways int
	// hot holds the hot chats by the hashes of their names.
	hot map[uint32]*hotChat
	// pauses holds the ends of the pauses that upstreams asked for.
	pauses map[registrar.Incarnation]time.Time
}

// upstreamLoad is the load of one upstream, in requests.
type upstreamLoad struct {
	// local is the number of requests that this process has in progress at the upstream.
	local int
	// reported is the upstream's load at reportedAt, when local had the value localAtReport.
	reported      int
	localAtReport int
	reportedAt    time.Time
	// heardHere is set if the upstream reported the load to this process, rather than to another gateway.
	heardHere bool
	// service and slots are those of the upstream when it was last a candidate.
	service string
	slots   int
	// high is set if the reported load is above the load limit.
	high bool
}

// estimate returns the estimated number of requests at the upstream: those of this process, plus those of other
// processes at the last report, which decay over time.
func (l *upstreamLoad) estimate(now time.Time) float64 {
	others := float64(max(l.reported-l.localAtReport, 0))
	if others == 0 {
		return float64(l.local)
	}
	decayTime := loadDecayTime
	if l.local > 0 {
		decayTime = waitingDecayTime
	}
	return float64(l.local) + others*math.Exp(-now.Sub(l.reportedAt).Seconds()/decayTime.Seconds())
}

// New returns a Placer without any load reports.
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
	if cfg.Gateways == nil {
		cfg.Gateways = func() int { return 1 }
	}
	if cfg.Random == nil {
		cfg.Random = rand.IntN
	}
	return &Placer{
		cfg: cfg, loads: make(map[string]*upstreamLoad), limits: make(map[string]float64), hot: make(map[uint32]*hotChat),
		pauses: make(map[registrar.Incarnation]time.Time),
	}
}

// candidate is an upstream with its load and health.
type candidate struct {
	registrar.Upstream
	health appraiser.Health
	load   float64
	// score orders the candidates for a chat; the highest score is the preferred upstream.
	score float64
}

// loadLimit returns the load up to which an upstream accepts chats: the given limit, but at most maxSlotShare of its
// slots, since requests beyond its slots would wait.
func loadLimit(slots int, limit float64) float64 {
	if slots > 0 {
		return min(limit, maxSlotShare*float64(slots))
	}
	return limit
}

// Choose returns the upstream for a request and counts the request there until Done or, if nothing was sent, Withdraw. The
// result is false if no upstream of the service is left.
func (p *Placer) Choose(r Request, now time.Time) (Choice, bool) {
	view := p.cfg.View()
	listed := view.ByService[r.Service]
	gateways := p.cfg.Gateways()
	current := r.Chat != "" && p.cfg.ListCurrent != nil && p.cfg.ListCurrent(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gateways = gateways
	inUse := len(listed)
	listed, paused := p.unpaused(listed, now)
	leaving, evacuated := view.Leaving[r.Service], view.Evacuated[r.Service]
	open, cold := p.open(listed, r, now)
	none := Choice{Leaving: len(leaving), Evacuated: len(evacuated), Paused: paused, Cold: cold, Listed: inUse}
	usable := p.usable(open, r, now)
	if len(usable) == 0 {
		return none, false
	}
	mean := 0.0
	for _, c := range usable {
		mean += c.load / float64(len(usable))
	}
	limitMean := mean
	if cold+len(evacuated) > 0 {
		limitMean = min(mean, p.meanOf(slices.Concat(listed, evacuated), now))
	}
	index, position := p.pick(usable, r, mean, limitMean, now)
	c := usable[index]
	choice := none
	choice.Upstream, choice.Health, choice.Load, choice.Mean, choice.Position = c.Upstream, c.health, c.load, mean, position
	choice.Candidates, choice.ReportAge = len(usable), -1
	choice.reserved = p.reserve(c.Upstream, now)
	if r.Chat != "" {
		choice.Source = p.cacheSource(usable, index, slices.Concat(leaving, evacuated), r.Chat, current, now)
	}
	l := p.loadOf(c.ID)
	if !l.reportedAt.IsZero() {
		choice.ReportAge = now.Sub(l.reportedAt)
	}
	l.local++
	return choice, true
}

var (
	// ErrLeaving means that an upstream has come to leave since it was chosen.
	ErrLeaving = errors.New("the upstream is leaving")
	// ErrEvacuated means that the failure domain of an upstream has come to be evacuated since it was chosen.
	ErrEvacuated = errors.New("the failure domain of the upstream is evacuated")
)

// Occupancy returns the requests at the upstreams of a service as a fraction of their slots. The second result is
// false as long as no upstream has reported its load.
func (p *Placer) Occupancy(service string, now time.Time) (utilisation float64, reported bool) {
	listed := p.cfg.View().ByService[service]
	p.mu.Lock()
	defer p.mu.Unlock()
	listed, _ = p.unpaused(listed, now)
	listed, _ = p.warm(listed, now)
	load, slots := 0.0, 0
	for _, c := range p.usable(listed, Request{}, now) {
		load += c.load
		slots += c.Slots
		if l := p.loads[c.ID]; l != nil && !l.reportedAt.IsZero() {
			reported = true
		}
	}
	if slots == 0 {
		return 0, false
	}
	return load / float64(slots), reported
}

// usable returns the candidates for a request: the upstreams whose health is Good, or Trial if the request is
// repeatable; all reachable ones if those are fewer than half; the unreachable ones if no other is left.
func (p *Placer) usable(listed []registrar.Upstream, r Request, now time.Time) []candidate {
	var healthy, reachable, unreachable []candidate
	for _, u := range listed {
		if contains(r.Tried, u.ID) {
			continue
		}
		c := candidate{Upstream: u, health: p.cfg.Health(u.ID, now)}
		if l := p.loads[u.ID]; l != nil {
			c.load = l.estimate(now)
			l.service, l.slots = u.Service, u.Slots
		}
		switch {
		case c.health == appraiser.Good || c.health == appraiser.Trial && r.Repeatable:
			healthy = append(healthy, c)
		case c.health == appraiser.Unreachable:
			unreachable = append(unreachable, c)
			continue
		}
		reachable = append(reachable, c)
	}
	switch {
	case 2*len(healthy) >= len(listed)-len(r.Tried) && len(healthy) > 0:
		return healthy
	case len(reachable) > 0:
		return reachable
	}
	return unreachable
}

// pick returns the index of the chosen candidate and its position in the chat's preference order.
// The load limit follows from limitMean.
func (p *Placer) pick(usable []candidate, r Request, mean, limitMean float64, now time.Time) (index, position int) {
	for i := range usable {
		if usable[i].health == appraiser.Trial && usable[i].load <= mean {
			return i, 0 // One request at a time decides whether the upstream has recovered.
		}
	}
	if r.Chat == "" {
		for i := range usable {
			if usable[i].ID == r.Preferred && usable[i].health == appraiser.Good {
				return i, 0
			}
		}
		return p.leastLoaded(p.withDelays(usable, now)), 0
	}
	for i := range usable {
		usable[i].score = p.score(r.Chat, usable[i].Upstream, now)
	}
	length := min(float64(r.ChatTokens)/longChatTokens, 1)
	p.limits[r.Service] = p.cfg.LoadFactor*limitMean + p.cfg.Slack
	limit := p.limits[r.Service] * (shortChatFactor + (1-shortChatFactor)*length)
	index = -1
	below := 0
	for i, c := range usable {
		if c.load >= loadLimit(c.Slots, limit) {
			continue
		}
		below++
		if index < 0 || c.score > usable[index].score {
			index = i
		}
	}
	if index < 0 {
		return p.leastLoaded(usable), len(usable)
	}
	if !p.accepts(usable[index], limit, mean) {
		index = p.nextAccepting(usable, limit, mean)
	}
	if position = positionOf(usable, index); p.isHot(r.Chat, position, float64(below)/float64(len(usable)), now) {
		accepting := accepting(usable, limit)
		width := min(max(p.gateways/gatewaysPerSpread, 1), maxSpread)
		index = p.spread(usable, accepting[:min(len(accepting), width)], limit)
		position = positionOf(usable, index)
	}
	return index, position
}

// accepts reports whether a candidate below its load limit is taken. Close to the limit it is taken with a probability that
// falls to zero, because the other gateways have the same old reports and would all use up what is left at the same time.
// limit is the load limit, and mean the mean load of the candidates.
func (p *Placer) accepts(c candidate, limit, mean float64) bool {
	const steps = 1 << 20
	limit = loadLimit(c.Slots, limit)
	idle := 1.0
	if c.Slots > 0 {
		idle = max(1-2*mean/float64(c.Slots), 0)
	}
	margin := softShare * idle * limit * min(float64(p.gateways)/softGateways, 1)
	free := limit - c.load
	return free >= margin || free > margin*float64(p.cfg.Random(steps))/steps
}

// nextAccepting returns the index of the first candidate in the chat's preference order that is taken, or of the first one
// below its limit if none is.
func (p *Placer) nextAccepting(usable []candidate, limit, mean float64) int {
	list := accepting(usable, limit)
	for _, i := range list[1:] {
		if p.accepts(usable[i], limit, mean) {
			return i
		}
	}
	return list[0]
}

// accepting returns the indices of the candidates below their load limits, in the chat's preference order.
func accepting(usable []candidate, limit float64) []int {
	var list []int
	for i, c := range usable {
		if c.load < loadLimit(c.Slots, limit) {
			list = append(list, i)
		}
	}
	slices.SortFunc(list, func(a, b int) int { return cmp.Compare(usable[b].score, usable[a].score) })
	return list
}

// positionOf returns the position of a candidate in the chat's preference order.
func positionOf(usable []candidate, index int) int {
	position := 0
	for _, c := range usable {
		if c.score > usable[index].score {
			position++
		}
	}
	return position
}

// spread returns one of the candidates at random, in proportion to the load that they still accept.
func (p *Placer) spread(usable []candidate, list []int, limit float64) int {
	const steps = 1 << 20
	free := func(i int) float64 { return loadLimit(usable[i].Slots, limit) - usable[i].load }
	total := 0.0
	for _, i := range list {
		total += free(i)
	}
	left := total * float64(p.cfg.Random(steps)) / steps
	for _, i := range list {
		if left -= free(i); left < 0 {
			return i
		}
	}
	return list[len(list)-1]
}

// cacheSource returns the first good upstream in the chat's preference order other than the chosen one, which may be one
// of those that are leaving or evacuated. If the chat was moved for load, that is the preferred upstream; if the chosen one has
// just become the preferred upstream, the chat is cached at the next one in the order; if the preferred upstream is leaving or
// evacuated, it still has the chat until it is gone. The result is empty if that upstream has reported no load lately: it may be
// gone, and those after it in the order hardly have the chat. current says whether the list of upstreams is current.
func (p *Placer) cacheSource(usable []candidate, chosen int, withdrawn []registrar.Upstream, chat string, current bool, now time.Time) registrar.Upstream {
	var best registrar.Upstream
	score := math.Inf(-1)
	for i, c := range usable {
		if i != chosen && c.health == appraiser.Good && c.score > score {
			best, score = c.Upstream, c.score
		}
	}
	for _, u := range withdrawn {
		if s := p.score(chat, u, now); s > score && p.cfg.Health(u.ID, now) == appraiser.Good {
			best, score = u, s
		}
	}
	silence := maxSourceSilence
	if current {
		silence = maxListedSourceSilence
	}
	if l := p.loads[best.ID]; l == nil || now.Sub(l.reportedAt) > silence {
		return registrar.Upstream{}
	}
	return best
}

// score returns the rendezvous-hash score of an upstream for a chat, weighted by the time since the upstream's start.
func (p *Placer) score(chat string, u registrar.Upstream, now time.Time) float64 {
	const bits = 53 // the precision of a float64's mantissa
	h := float64(xxhash.Sum64String(chat+"\x00"+u.ID)>>(64-bits)+1) / (1<<bits + 1)
	weight := 1.0
	if sinceStart := now.Sub(time.UnixMilli(u.Born)); u.Born > 0 && sinceStart >= -maxClockSkew {
		age := min(max(sinceStart, minAge), p.cfg.Ramp)
		weight = age.Seconds() / p.cfg.Ramp.Seconds()
	}
	return -weight / math.Log(h)
}

// withDelays returns the candidates for a request without a chat, with the time until they would answer it in place of their
// loads, if they report no loads: (own requests in progress + 1) x slowdown / slots.
func (p *Placer) withDelays(usable []candidate, now time.Time) []candidate {
	if p.cfg.Slowdown == nil {
		return usable
	}
	slowdowns, lowest, slots := make([]float64, len(usable)), math.Inf(1), true
	for i, c := range usable {
		if l := p.loads[c.ID]; l != nil && !l.reportedAt.IsZero() {
			return usable
		}
		slowdowns[i] = p.cfg.Slowdown(c.Upstream, now)
		lowest = min(lowest, slowdowns[i])
		slots = slots && c.Slots > 0
	}
	delays := slices.Clone(usable)
	for i := range delays {
		c := &delays[i]
		if slowdowns[i] < noticeableSlowdown*lowest {
			slowdowns[i] = lowest
		}
		c.load = (c.load + 1) * slowdowns[i]
		if slots {
			c.load /= float64(c.Slots)
		}
	}
	return delays
}

// leastLoaded returns the index of the least loaded candidate. Among equally loaded ones it prefers those in the failure
// domain of this process, and picks one of these at random.
func (p *Placer) leastLoaded(usable []candidate) int {
	start := p.cfg.Random(len(usable))
	best := start
	for i := range usable {
		j := (start + i) % len(usable)
		c, b := usable[j], usable[best]
		closer := c.FailureDomain == p.cfg.FailureDomain && b.FailureDomain != p.cfg.FailureDomain
		if c.load < b.load || c.load == b.load && closer {
			best = j
		}
	}
	return best
}

// meanOf returns the mean load of upstreams, whether they are candidates or not. While some are cold or evacuated, the load limit
// follows from the mean over all of them: no upstream may carry more than a multiple of the mean load of its service, and the
// mean of the others is higher. The caller holds p.mu.
func (p *Placer) meanOf(list []registrar.Upstream, now time.Time) float64 {
	sum := 0.0
	for _, u := range list {
		if l := p.loads[u.ID]; l != nil {
			sum += l.estimate(now)
		}
	}
	return sum / float64(max(len(list), 1))
}

func (p *Placer) loadOf(upstream string) *upstreamLoad {
	l := p.loads[upstream]
	if l == nil {
		l = &upstreamLoad{}
		p.loads[upstream] = l
	}
	return l
}

// InProgress returns the number of requests of this process that are in progress at an upstream.
func (p *Placer) InProgress(upstream string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.loads[upstream]; l != nil {
		return l.local
	}
	return 0
}

// Done removes a request that Choose counted from the load of its upstream.
func (p *Placer) Done(upstream string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.loads[upstream]; l != nil {
		l.local--
	}
}

// RecordLoad stores the load that an upstream reported with a response that arrived at the given time, unless a later one is
// known; the request it responds to may still be running.
func (p *Placer) RecordLoad(upstream string, load Load, at time.Time) {
	p.mu.Lock()
	defer p.calls.Unlock(&p.mu)
	l := p.loadOf(upstream)
	if at.Before(l.reportedAt) {
		return
	}
	l.reported, l.localAtReport, l.reportedAt, l.heardHere = load.Running+load.Waiting, l.local, at, true
	p.detectHigh(l, at)
}

// detectHigh compares a new report with the load limit, and calls OnHigh if the load has risen above it.
func (p *Placer) detectHigh(l *upstreamLoad, now time.Time) {
	limit, known := p.limits[l.service]
	before := l.high
	l.high = known && float64(l.reported) > loadLimit(l.slots, limit)
	if l.high && !before && p.cfg.OnHigh != nil && now.Sub(p.highAt) >= minHighInterval {
		p.highAt = now
		p.calls.Add(p.cfg.OnHigh)
	}
}

// HighReports returns the recent reports above the load limit.
func (p *Placer) HighReports(now time.Time) []LoadReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []LoadReport
	for name, l := range p.loads {
		if age := now.Sub(l.reportedAt); l.high && age < highReportTTL {
			all = append(all, LoadReport{Upstream: name, Load: l.reported, Age: age, Local: l.heardHere})
		}
	}
	return all
}

// Heard returns the time of an upstream's latest load report to any gateway; it is zero before the first.
func (p *Placer) Heard(upstream string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.loads[upstream]; l != nil {
		return l.reportedAt
	}
	return time.Time{}
}

// LoadReport is a load that an upstream reported to one of the gateways.
type LoadReport struct {
	Upstream string
	// Load is the number of requests that were running or waiting at the upstream.
	Load int
	Age  time.Duration
	// Local is set if the upstream reported the load to this process.
	Local bool
}

// Reports returns the load reports that are recent enough to be forwarded to other gateways.
func (p *Placer) Reports(now time.Time) []LoadReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]LoadReport, 0, len(p.loads))
	for name, l := range p.loads {
		if age := now.Sub(l.reportedAt); age < reportTTL {
			all = append(all, LoadReport{Upstream: name, Load: l.reported, Age: age, Local: l.heardHere})
		}
	}
	return all
}

// Merge stores those load reports from another gateway that are newer than the stored ones.
func (p *Placer) Merge(reports []LoadReport, now time.Time) {
	p.mu.Lock()
	defer p.calls.Unlock(&p.mu)
	for _, r := range reports {
		l := p.loadOf(r.Upstream)
		if at := now.Add(-r.Age); r.Age >= 0 && at.After(l.reportedAt) {
			l.reported, l.localAtReport, l.reportedAt, l.heardHere = r.Load, l.local, at, false
			p.detectHigh(l, now)
		}
	}
}

// Prune removes the state of upstreams for which keep returns false, except those with requests of this process, and the
// pauses that have passed.
func (p *Placer) Prune(keep func(upstream string) bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.pauses, func(_ registrar.Incarnation, until time.Time) bool { return !now.Before(until) })
	for name, l := range p.loads {
		if l.local <= 0 && !keep(name) {
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
