package soaker

import (
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"clementineramp/platform/imitator"
)

const (
	// timeTolerance is the time by which a guarantee with a time bound may be missed: the stand-ins and the gateways share
	// a machine, and their clocks are read one after the other.
	timeTolerance = 250 * time.Millisecond
	// minServedShare is the minimum share of the requests of the final phase that must be served.
	minServedShare = 0.9
	// minFinalRequests is the minimum number of requests of the final phase; fewer do not show that the fleet recovered.
	minFinalRequests = 20
)

// check compares what callers and upstreams received; finalStart is the start of the final phase, after the recovery.
func (s *soak) check(finalStart time.Time) *Report {
	runs := make(map[string][]run)
	for _, u := range s.allUpstreams {
		for _, r := range u.runs() {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	sent := make(map[string]*attempt, len(s.attempts))
	for _, a := range s.attempts {
		sent[a.id] = a
	}
	for id, list := range runs {
		slices.SortFunc(list, func(a, b run) int { return a.Start.Compare(b.Start) })
		a := sent[id]
		if a == nil {
			s.addViolation("unknown: a run of %q, which no caller sent", id)
			continue
		}
		for _, r := range list {
			s.checkRun(a, r)
		}
	}
	report := &Report{Seed: s.cfg.Seed}
	for _, a := range s.attempts {
		s.checkAttempt(a, runs[a.id])
		report.count(a, runs[a.id])
	}
	if s.cfg.Timed {
		s.checkRetryBudget(runs)
		s.checkRecovery(finalStart)
		s.checkMarks(runs)
		s.checkPauses(sent)
		s.checkEvacuations(sent)
	}
	for _, g := range s.gateways {
		if !g.process.Running() {
			s.addViolation("ended: %s is not running at the end of the soak", g.process.Name)
		}
	}
	report.Faults, report.Violations = s.faultLog, s.violations
	return report
}

func (r *Report) count(a *attempt, runs []run) {
	r.Requests++
	r.Runs += len(runs)
	r.Repeated += max(len(runs)-1, 0)
	switch {
	case a.disconnects:
		r.Disconnected++
	case a.served():
		r.Served++
	case guaranteesNotRun(a.status):
		r.Refused++
	default:
		r.Failed++
	}
}

// guaranteesNotRun reports whether a status guarantees that the request has not run.
func guaranteesNotRun(status int) bool {
	return slices.Contains([]int{
		http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
	}, status)
}

// checkRun checks a request as an upstream received it.
func (s *soak) checkRun(a *attempt, r run) {
	if r.Method != http.MethodPost || r.Target != a.target || r.Body != a.body {
		s.addViolation("changed: %s ran as %s %s %q", a.id, r.Method, r.Target, r.Body)
	}
	if r.Header.Get(imitator.HeaderTenant) != organisation || r.Header.Get(imitator.HeaderKey) != "" {
		s.addViolation("identity: %s ran for organisation %q with key %q", a.id, r.Header.Get(imitator.HeaderTenant), r.Header.Get(imitator.HeaderKey))
	}
	if r.service != a.service {
		s.addViolation("route: %s ran at %s", a.id, r.upstream)
	}
	if late := r.Start.Sub(r.leavingSince); s.cfg.Timed && !r.leavingSince.IsZero() && late > maxLeaveDelay+timeTolerance &&
		s.faultFree(r.leavingSince.Add(-reconnectTime), r.Start, s.gateways[a.gateway].process.Name, r.upstream) {
		s.addViolation("leaving: %s ran at %s %v after the upstream announced that it was leaving", a.id, r.upstream, late)
	}
}

// checkAttempt checks the response that a caller received, against the runs of its request.
func (s *soak) checkAttempt(a *attempt, runs []run) {
	if a.once && len(runs) > 1 {
		s.addViolation("twice: %s ran at %s and %s", a.id, runs[0].upstream, runs[1].upstream)
	}
	if len(runs) > maxAttempts {
		s.addViolation("attempts: %s ran %d times", a.id, len(runs))
	}
	if a.once && guaranteesNotRun(a.status) && len(runs) > 0 {
		s.addViolation("refused: %s got status %d, which guarantees that it did not run, but ran at %s", a.id, a.status, runs[0].upstream)
	}
	if a.status >= 400 && a.status < 500 && !guaranteesNotRun(a.status) {
		s.addViolation("denied: %s got status %d", a.id, a.status)
	}
	if id := a.header.Get(imitator.HeaderAttempt); id != "" && id != a.id {
		s.addViolation("foreign: %s got the response to %s", a.id, id)
	}
	if a.status == http.StatusOK {
		s.checkAnswer(a, runs)
	}
	if s.cfg.Timed && !a.disconnects {
		s.checkShutdowns(a, runs)
	}
}

// checkShutdowns checks that no response was cut around a graceful shutdown, and that no order was ended before its deadline.
// Requests whose gateway or upstreams were affected by a fault are not checked, nor plain ones whose time ended: their
// upstreams may be Slow.
func (s *soak) checkShutdowns(a *attempt, runs []run) {
	took := a.ended.Sub(a.sent)
	early := a.once && a.events == 0 && a.status == http.StatusGatewayTimeout && took < a.timeout-2*timeTolerance
	late := a.events == 0 && took >= a.timeout-timeTolerance
	// A kept connection may be closed in the moment in which a request is sent on it; the gateway has not read it then.
	unread := len(runs) == 0 && took < timeTolerance
	if !early && (a.err == nil || late || unread) {
		return
	}
	name := s.gateways[a.gateway].process.Name
	targets := []string{name, allLinks}
	for _, r := range runs {
		targets = append(targets, r.upstream)
	}
	for _, p := range s.shutdowns {
		if p.target != name || !a.sent.Before(p.end) || !a.ended.After(p.start) ||
			s.affected(a.sent.Add(-reconnectTime), a.ended, name) || s.affected(a.sent, a.ended, targets...) {
			continue
		}
		if early {
			s.addViolation("unfinished: %s was sent at %s and ended with status %d after %v around the graceful shutdown of %s", a.id,
				a.sent.UTC().Format(timeFormat), a.status, took, p.target)
			continue
		}
		s.addViolation("cut: %s was sent at %s and failed after %v around the graceful shutdown of %s: %v", a.id,
			a.sent.UTC().Format(timeFormat), took, p.target, a.err)
	}
}

// affected reports whether a fault affected one of the targets between start and end; those of the store do not count.
func (s *soak) affected(start, end time.Time, targets ...string) bool {
	return slices.ContainsFunc(s.faultWindows, func(d faultWindow) bool {
		return slices.Contains(targets, d.target) && d.start.Before(end) && d.end.After(start)
	})
}

// checkAnswer checks a response with status 200: it comes from an upstream, and its body is the expected one, or a
// prefix of it if reading the response failed.
func (s *soak) checkAnswer(a *attempt, runs []run) {
	want := plainAnswer(a.id)
	if a.events > 0 {
		var b strings.Builder
		for n := 1; n <= a.events; n++ {
			b.WriteString(streamEvent(a.id, n))
		}
		want = b.String()
	}
	switch {
	case a.header.Get(imitator.HeaderSignature) == "" || len(runs) == 0:
		s.addViolation("forged: %s got status 200 without a signature or without a run", a.id)
	case a.err == nil && a.answer != want:
		s.addViolation("incomplete: %s got %q as a complete response", a.id, a.answer)
	case !strings.HasPrefix(want, a.answer):
		s.addViolation("joined: %s got %q, which does not match its expected response", a.id, a.answer)
	}
}

// faultFree reports whether no fault affected the whole fleet or one of the targets between start and end, and start is
// after the start of the fleet. If the first target is empty, faults of any target count.
func (s *soak) faultFree(start, end time.Time, targets ...string) bool {
	for _, d := range s.faultWindows {
		if (d.target == "" || targets[0] == "" || slices.Contains(targets, d.target)) && d.start.Before(end) && d.end.After(start) {
			return false
		}
	}
	return start.After(s.startedAt)
}

// checkRetryBudget checks that the retries of each service stay within the budget in every window of retryWindow.
func (s *soak) checkRetryBudget(runs map[string][]run) {
	for _, service := range []string{plainService, engineService} {
		var requests, repeats []time.Time
		for _, a := range s.attempts {
			if a.service != service {
				continue
			}
			requests = append(requests, a.sent)
			for i, r := range runs[a.id] {
				if i > 0 {
					repeats = append(repeats, r.Start)
				}
			}
		}
		byTime := func(list []time.Time) {
			sort.Slice(list, func(i, j int) bool { return list[i].Before(list[j]) })
		}
		byTime(requests)
		byTime(repeats)
		for i, at := range repeats {
			end := at.Add(retryWindow)
			n := sort.Search(len(repeats), func(j int) bool { return repeats[j].After(end) }) - i
			first := sort.Search(len(requests), func(j int) bool { return !requests[j].Before(at) })
			last := sort.Search(len(requests), func(j int) bool { return requests[j].After(end) })
			if allowed := retryRatio*float64(last-first) + retryExtra; float64(n) > allowed {
				s.addViolation("budget: %d retries at %s within %v from %s, allowed %.0f", n, service, retryWindow, at.UTC().Format(timeFormat), allowed)
				break
			}
		}
	}
}

// checkRecovery checks that the fleet serves at least minServedShare of the requests of the final phase.
func (s *soak) checkRecovery(finalStart time.Time) {
	all, served := 0, 0
	for _, a := range s.attempts {
		if a.sent.After(finalStart) && !a.disconnects {
			all++
			if a.served() {
				served++
			}
		}
	}
	if all < minFinalRequests || float64(served) < minServedShare*float64(all) {
		s.addViolation("recovery: %d of %d requests in the final phase were served", served, all)
	}
}
