package estimator

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"clementineramp/registrar"
)

const (
	// sampleTime is the time constant with which the weight of evidence falls, so that the median follows a change after
	// about 0.5 s. Evidence older than evidenceTTL does not count.
	sampleTime  = 700 * time.Millisecond
	evidenceTTL = 3 * time.Second
	// fadeAfter is the age of the newest evidence from which a slowdown fades; it is 1 at evidenceTTL. An upstream that is
	// avoided is thus tried again within the 5 s that a recovery may take.
	fadeAfter = time.Second
	// maxSamples bounds the samples that are kept for an upstream. With more in evidenceTTL, the oldest are left out.
	maxSamples = 64
	// priorWeight is the weight of the assumption that an upstream is as fast as usual, in samples: one response in a hundred
	// takes five times as long and must not count alone.
	priorWeight = 1
	// maxReportWeight is the most that the evidence of one gateway counts, in samples, and maxReports the number of other
	// gateways that count, so that one with wrong measurements does not mislead the others.
	maxReportWeight = 4
	maxReports      = 8
	// maxSenders bounds the gateways whose reports on one upstream are kept.
	maxSenders = 32
	// rejectedSlowdown is the slowdown for which a rejection counts: a full upstream is far beyond its limit.
	rejectedSlowdown = 4
	// minSlowdown and maxSlowdown bound slowdowns, so that nonsense from a peer stays within reason.
	minSlowdown = 1.0 / 8
	maxSlowdown = 64
	// routeTTL is the time without samples after which a route is forgotten, and maxRoutes bounds the routes that are kept.
	routeTTL  = 5 * time.Minute
	maxRoutes = 1024
	// maxUpstreams bounds the incarnations that are kept between two calls of Prune.
	maxUpstreams = 4096
)

// Sample is the result of one attempt at an upstream.
type Sample struct {
	Upstream registrar.Upstream
	Route    string
	// Target is the latency objective of the route; zero means none.
	Target time.Duration
	// Latency is the time from sending to the end of the response.
	Latency time.Duration
	// Rejected means that the upstream was full, and Failed that it failed or was given up after Latency.
	Rejected, Failed bool
}

// Estimate is what is known of an upstream.
type Estimate struct {
	// Slowdown is the latency as a multiple of the usual one of the service; it is 1 without samples.
	Slowdown float64
	// Limit is the number of requests in progress, over all gateways, up to which the upstream answers in time.
	Limit float64
	// Latency is the expected latency of the route with the strictest goal; zero means unknown. Goal is the slowdown at which
	// this route reaches its goal; zero means unknown.
	Latency time.Duration
	Goal    float64
	// Samples is the weight of the samples of all gateways that count, and Age the age of the newest of them.
	Samples float64
	Age     time.Duration
	// Confidence is between 0 (no samples) and 1.
	Confidence float64
}

// Report is what one gateway found out about an upstream by its own requests.
type Report struct {
	Upstream registrar.Incarnation
	Slowdown float64
	// Samples is the weight of the samples, and Age the age of the newest.
	Samples float64
	Age     time.Duration
}

// Config sets up an Estimator.
type Config struct {
	// View returns the upstreams in use.
	View func() *registrar.View
	// Usable reports whether requests are sent to an upstream in use; nil means to all. No lock is held during the call.
	Usable func(u registrar.Upstream, now time.Time) bool
}

// Estimator learns the speed and the limits of upstreams; it is safe for concurrent use.
type Estimator struct {
	cfg Config

	mu        sync.Mutex
	usual     map[routeKey]*usual
	upstreams map[registrar.Incarnation]*upstream
	// goals holds the goals of the services that were asked for lately.
	goals map[string]serviceGoal
}

type routeKey struct{ service, route string }

// sample is a latency as a multiple of the usual one.
type sample struct {
	at    time.Time
	ratio float64
}

// upstream is the state of an incarnation of an upstream.
type upstream struct {
	samples []sample
	reports map[string]report
	limit   limit
}

// report is a Report of another gateway, whose newest sample was at the given time.
type report struct {
	at              time.Time
	slowdown, count float64
}

// New returns an Estimator without any samples.
func New(cfg Config) *Estimator {
	return &Estimator{
		cfg: cfg, usual: make(map[routeKey]*usual), upstreams: make(map[registrar.Incarnation]*upstream),
		goals: make(map[string]serviceGoal),
	}
}

// Record adds a sample. Attempts whose caller left, or that ran on a saturated gateway or at a cold upstream, say nothing
// about the upstream and must not be recorded.
func (e *Estimator) Record(s Sample, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := routeKey{s.Upstream.Service, s.Route}
	r := e.usual[key]
	if r == nil {
		if len(e.usual) >= maxRoutes {
			return
		}
		r = &usual{}
		e.usual[key] = r
	}
	r.target = s.Target
	if !s.Rejected && !s.Failed {
		r.add(s.Latency, now)
	}
	if r.latency == 0 {
		return
	}
	ratio := float64(s.Latency) / float64(r.latency)
	switch {
	case s.Rejected:
		ratio = rejectedSlowdown
	case s.Failed && ratio <= 1:
		return // A failure that comes fast does not make the upstream fast.
	}
	u := e.upstream(s.Upstream.Incarnation())
	if u == nil {
		return
	}
	u.samples = append(u.samples, sample{at: now, ratio: clampSlowdown(ratio)})
	if len(u.samples) > maxSamples {
		u.samples = slices.Delete(u.samples, 0, len(u.samples)-maxSamples)
	}
	e.advance(u, s.Upstream, now)
}

// upstream returns the state of an incarnation, or nil if there is no room for another one. The caller holds e.mu.
func (e *Estimator) upstream(key registrar.Incarnation) *upstream {
	u := e.upstreams[key]
	if u == nil && len(e.upstreams) < maxUpstreams {
		u = &upstream{reports: make(map[string]report)}
		e.upstreams[key] = u
	}
	return u
}

func clampSlowdown(s float64) float64 {
	return min(max(s, minSlowdown), maxSlowdown)
}

// evidence is a value with a weight, for weighted medians.
type evidence struct{ value, weight float64 }

// median returns the weighted median, or 1 if there is no evidence.
func median(list []evidence) float64 {
	slices.SortFunc(list, func(a, b evidence) int { return cmp.Compare(a.value, b.value) })
	total := 0.0
	for _, v := range list {
		total += v.weight
	}
	sum := 0.0
	for _, v := range list {
		if sum += v.weight; sum >= total/2 {
			return v.value
		}
	}
	return 1
}

// weightAt returns the weight of a sample relative to the newest one.
func weightAt(at, newest time.Time) float64 {
	return math.Exp(-newest.Sub(at).Seconds() / sampleTime.Seconds())
}

// own returns what this gateway's samples say; the result is false if there are none.
func (u *upstream) own(now time.Time) (report, bool) {
	u.samples = slices.DeleteFunc(u.samples, func(s sample) bool { return now.Sub(s.at) >= evidenceTTL })
	if len(u.samples) == 0 {
		return report{}, false
	}
	r := report{at: u.samples[len(u.samples)-1].at}
	list := make([]evidence, 0, len(u.samples))
	for _, s := range u.samples {
		w := weightAt(s.at, r.at)
		r.count += w
		list = append(list, evidence{s.ratio, w})
	}
	r.slowdown = median(list)
	return r, true
}

// slowdown returns the slowdown with the weight and the age of the evidence; without any, the slowdown is 1.
func (u *upstream) slowdown(now time.Time) (slowdown, weight float64, age time.Duration) {
	all := make([]report, 0, maxReports+1)
	for _, r := range u.reports {
		if now.Sub(r.at) < evidenceTTL {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b report) int { return cmp.Or(b.at.Compare(a.at), cmp.Compare(a.slowdown, b.slowdown)) })
	all = all[:min(len(all), maxReports)]
	if own, ok := u.own(now); ok {
		all = append(all, own)
	}
	if len(all) == 0 {
		return 1, 0, 0
	}
	newest := all[0].at
	for _, r := range all {
		if r.at.After(newest) {
			newest = r.at
		}
	}
	list := make([]evidence, 1, len(all)+1)
	list[0] = evidence{1, priorWeight}
	for _, r := range all {
		w := min(r.count, maxReportWeight) * weightAt(r.at, newest)
		weight += w
		list = append(list, evidence{r.slowdown, w})
	}
	age = max(now.Sub(newest), 0)
	left := 1 - float64(age-fadeAfter)/float64(evidenceTTL-fadeAfter)
	left = min(max(left, 0), 1)
	return math.Pow(median(list), left), weight * left, age
}

// Slowdown returns the latency of an upstream as a multiple of the usual one; it is 1 without samples.
func (e *Estimator) Slowdown(u registrar.Upstream, now time.Time) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.upstreams[u.Incarnation()]; s != nil {
		slowdown, _, _ := s.slowdown(now)
		return slowdown
	}
	return 1
}

// Estimate returns what is known of an upstream.
func (e *Estimator) Estimate(u registrar.Upstream, now time.Time) Estimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.estimate(u, now)
}

// estimate is Estimate for callers that hold e.mu.
func (e *Estimator) estimate(u registrar.Upstream, now time.Time) Estimate {
	usual, goal := e.goal(u.Service, now)
	s := e.upstreams[u.Incarnation()]
	if s == nil {
		return Estimate{Slowdown: 1, Limit: startLimit * slots(u), Latency: usual, Goal: goal}
	}
	e.advance(s, u, now)
	est := Estimate{Limit: s.limit.value, Goal: goal}
	est.Slowdown, est.Samples, est.Age = s.slowdown(now)
	est.Latency = time.Duration(est.Slowdown * float64(usual))
	est.Confidence = est.Samples / (est.Samples + maxReportWeight)
	return est
}

// Usual returns the latency of a route at rest; zero means unknown.
func (e *Estimator) Usual(service, route string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.usual[routeKey{service, route}]; r != nil {
		return r.latency
	}
	return 0
}

// inUse returns the upstreams of a service to which requests are sent, or all of them if there are none.
func (e *Estimator) inUse(service string, now time.Time) []registrar.Upstream {
	all := e.cfg.View().ByService[service]
	if e.cfg.Usable == nil {
		return all
	}
	var used []registrar.Upstream
	for _, u := range all {
		if e.cfg.Usable(u, now) {
			used = append(used, u)
		}
	}
	if len(used) == 0 {
		return all
	}
	return used
}

// Limit returns the sum of the limits of the upstreams of a service that are in use.
func (e *Estimator) Limit(service string, now time.Time) float64 {
	used := e.inUse(service, now)
	e.mu.Lock()
	defer e.mu.Unlock()
	sum := 0.0
	for _, u := range used {
		sum += e.estimate(u, now).Limit
	}
	return sum
}

// Latency returns the current latency of a route: the usual one times the mean slowdown of the upstreams in use, weighted by
// their limits. Zero means unknown.
func (e *Estimator) Latency(service, route string, now time.Time) time.Duration {
	used := e.inUse(service, now)
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.usual[routeKey{service, route}]
	if r == nil || len(used) == 0 {
		return 0
	}
	limits, sum := 0.0, 0.0
	for _, u := range used {
		est := e.estimate(u, now)
		limits += est.Limit
		sum += est.Limit * est.Slowdown
	}
	return time.Duration(sum / limits * float64(r.latency))
}

// Reports returns what this gateway's own requests showed lately, in random order.
func (e *Estimator) Reports(now time.Time) []Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []Report
	for key, u := range e.upstreams {
		if own, ok := u.own(now); ok {
			all = append(all, Report{Upstream: key, Slowdown: own.slowdown, Samples: own.count, Age: now.Sub(own.at)})
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

// Merge stores the reports of another gateway; they replace its earlier ones on the same upstreams.
func (e *Estimator) Merge(from string, reports []Report, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range reports {
		// The comparisons also leave out values that are no numbers.
		if r.Age < 0 || r.Age >= evidenceTTL || !(r.Slowdown > 0) || !(r.Samples > 0) {
			continue
		}
		u := e.upstream(r.Upstream)
		if u == nil {
			continue
		}
		at := now.Add(-r.Age)
		old, known := u.reports[from]
		if known && at.Before(old.at) || !known && len(u.reports) >= maxSenders && !u.dropOldest(at) {
			continue
		}
		u.reports[from] = report{at: at, slowdown: clampSlowdown(r.Slowdown), count: r.Samples}
	}
}

// dropOldest removes the oldest report if it is from before the given time, and reports whether it was.
func (u *upstream) dropOldest(before time.Time) bool {
	oldest := ""
	for from, r := range u.reports {
		if r.at.Before(before) {
			oldest, before = from, r.at
		}
	}
	delete(u.reports, oldest)
	return oldest != ""
}

// Prune removes the state of incarnations for which keep returns false, old reports and unused routes.
func (e *Estimator) Prune(keep func(registrar.Incarnation) bool, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.upstreams, func(key registrar.Incarnation, _ *upstream) bool { return !keep(key) })
	for _, u := range e.upstreams {
		maps.DeleteFunc(u.reports, func(_ string, r report) bool { return now.Sub(r.at) >= evidenceTTL })
	}
	maps.DeleteFunc(e.goals, func(_ string, g serviceGoal) bool { return now.Sub(g.at) >= goalTTL })
	maps.DeleteFunc(e.usual, func(_ routeKey, r *usual) bool { return now.Sub(r.last) >= routeTTL })
}
