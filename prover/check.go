package prover

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"clementineramp/demonstrator"
	"clementineramp/judge"
	"clementineramp/standin"
)

// Invariant is a property that must hold whatever faults are injected. Its value begins the line of a violation.
type Invariant string

// The invariants, in the order in which Check checks them.
const (
	// LoadLimit means that no engine carries more than the load factor times the mean load.
	LoadLimit Invariant = "load_bound"
	// CompleteAnswer means that every caller gets the complete answer to its own request.
	CompleteAnswer Invariant = "whole_answer"
	// NotRunVerdict means that a request refused with the verdict "not run" has not run anywhere.
	NotRunVerdict Invariant = "true_not_run"
	// AtMostOnce means that no order runs twice.
	AtMostOnce Invariant = "at_most_once"
	// NoWorkToLeaving means that a leaving upstream gets no new work after leavingDelay.
	NoWorkToLeaving Invariant = "no_work_to_leaving"
	// CleanShutdown means that a graceful shutdown interrupts no request.
	CleanShutdown Invariant = "clean_stop"
	// ConfigConvergence means that every process uses the newest configuration in time and never an older one
	// afterwards.
	ConfigConvergence Invariant = "configuration_in_force"
)

// Violation is a breach of an invariant; Text says where it happened.
type Violation struct {
	Invariant Invariant
	Text      string
}

// String returns the invariant and the text in one line.
func (v Violation) String() string { return string(v.Invariant) + ": " + v.Text }

const (
	// leavingDelay is the time after which a leaving upstream may get no new work.
	leavingDelay = 3 * time.Second
	// maxLoadAge is how old an agent's data on the load of other engines may be. An engine that failed counts again
	// after the tracker's backoff of 2 s, and gossip spreads its report once per second.
	maxLoadAge = 3 * time.Second
	// eventResolution is the time between two events below which their order is unknown.
	eventResolution = time.Millisecond
)

// Check checks every invariant against a journal. It returns nil if all hold.
func Check(j *Journal) []Violation {
	j.mu.Lock()
	defer j.mu.Unlock()
	k := &checker{journal: j}
	k.loadLimit()
	k.completeChats()
	k.completeOrders()
	k.notRunVerdicts()
	k.atMostOnce()
	k.noWorkToLeaving()
	k.cleanShutdowns()
	k.configConvergence()
	return k.violations
}

type checker struct {
	journal    *Journal
	violations []Violation
}

func (k *checker) report(i Invariant, format string, args ...any) {
	k.violations = append(k.violations, Violation{i, fmt.Sprintf(format, args...)})
}

// loadLimit checks each run at the time when its engine admitted it. The load that includes the run may be at most
// the load factor times the mean, unless the load before it was at or below the mean. The mean is the largest one
// within maxLoadAge, because agents may act on data of that age.
func (k *checker) loadLimit() {
	for _, group := range k.admissions() {
		first := group[0]
		mean := k.largestMean(first.Started.Add(-maxLoadAge), first.Started)
		work := first.WorkBefore
		for _, r := range group {
			work = min(work, r.WorkBefore)
		}
		slices.SortFunc(group, func(a, b standin.Run) int { return cmp.Compare(a.Work, b.Work) })
		for _, r := range group {
			if work > mean && work+r.Work > k.journal.LoadFactor*mean {
				k.report(LoadLimit, "%s carried %.0f tokens with %s, the mean was at most %.0f", r.Engine, work+r.Work, r.RequestID, mean)
			}
			work += r.Work
		}
	}
}

// admissions groups the runs that an engine admitted at the same time. The order in which the agent admitted the
// requests of a group is unknown, because they reach the engine over different connections.
func (k *checker) admissions() [][]standin.Run {
	var groups [][]standin.Run
	for _, r := range k.journal.Runs {
		if r.Crashed {
			continue
		}
		same := func(g []standin.Run) bool {
			return g[0].Engine == r.Engine && g[0].Started.Sub(r.Started).Abs() < eventResolution
		}
		if at := slices.IndexFunc(groups, same); at >= 0 {
			groups[at] = append(groups[at], r)
		} else {
			groups = append(groups, []standin.Run{r})
		}
	}
	return groups
}

// largestMean returns an upper limit of the mean load in tokens between from and to: the largest demand in that time,
// divided by the smallest number of engines in service in that time. An engine that loads a model at any point in that
// time is not in service, because an agent may still have the report that the engine is not ready.
func (k *checker) largestMean(from, to time.Time) float64 {
	j := k.journal
	times := []time.Time{from, to}
	for _, r := range j.Runs {
		times = append(times, r.Started)
	}
	for _, a := range j.Chats {
		times = append(times, a.Started)
	}
	largest, least := 0.0, j.Engines
	for _, t := range times {
		if !t.Before(from) && !t.After(to) {
			largest = max(largest, k.demand(t))
			least = min(least, k.inService(t, from, to))
		}
	}
	return largest / float64(max(least, 1))
}

// demand returns the work in tokens at time t: that of the runs in engines, and that of attempts which a caller is
// waiting for and no engine is running.
func (k *checker) demand(t time.Time) float64 {
	work := 0.0
	running := map[int64]bool{}
	for _, r := range k.journal.Runs {
		// The end is included, so that a run that a crash ends at the instant of its start counts at that instant.
		if !t.Before(r.Started) && (r.Ended.IsZero() || !t.After(r.Ended)) {
			work += r.Work
			running[r.Seed] = true
		}
	}
	for _, a := range k.journal.Chats {
		if !running[a.Seed] && !t.Before(a.Started) && t.Before(a.Ended) {
			work += a.Cost
		}
	}
	return work
}

// inService returns the number of engines that at time t are neither hit by a fault nor leaving, and that load no model
// between from and to.
func (k *checker) inService(t, from, to time.Time) int {
	n := 0
	for i := range k.journal.Engines {
		name := demonstrator.EngineName(i)
		unavailable := k.journal.hadFault(t, t, name, demonstrator.UpstreamEndpoint(name))
		for _, l := range k.journal.Leaving {
			unavailable = unavailable || l.Process == name && l.covers(t)
		}
		for _, l := range k.journal.Loading {
			unavailable = unavailable || l.Process == name && l.overlaps(from, to)
		}
		if !unavailable {
			n++
		}
	}
	return n
}

// completeChats checks that each answer that ended is the complete answer to its own request, that no engine
// continued the answer of another generation, and that every chat got its answer.
func (k *checker) completeChats() {
	j := k.journal
	for _, a := range j.Chats {
		if a.Outcome == Complete && !slices.Contains(a.Want, a.Text) {
			k.report(CompleteAnswer, "%s at %s received %d bytes that are not its complete answer", a.ID, a.Router, len(a.Text))
		}
	}
	for _, r := range j.Runs {
		if r.PrefixMismatch {
			k.report(CompleteAnswer, "%s was asked to continue the answer of another generation", r.Engine)
		}
	}
	for _, r := range j.Results {
		if !r.Complete && !r.Crashes && !k.isOrder(r.ID) {
			k.report(CompleteAnswer, "%s never received its complete answer: %s", r.ID, k.lastAttempt(r.ID))
		}
	}
}

func (k *checker) isOrder(id string) bool {
	return orderPattern.MatchString(id)
}

// lastAttempt describes how the last attempt at a chat ended.
func (k *checker) lastAttempt(id string) string {
	last := "there was no attempt"
	for _, a := range k.journal.Chats {
		if a.ID == id {
			last = fmt.Sprintf("the last attempt at %s ended as %s %s", a.Router, a.Outcome, a.Reason)
		}
	}
	return last
}

// serviceAnswer is the response body of the stand-in service.
type serviceAnswer struct {
	Worker string `json:"worker"`
	Number int    `json:"number"`
}

// completeOrders checks that the response to an order is the one that the service gave to this order.
func (k *checker) completeOrders() {
	for _, a := range k.journal.Orders {
		if a.Outcome != Complete {
			continue
		}
		var got serviceAnswer
		err := json.Unmarshal([]byte(a.Text), &got)
		matches := slices.ContainsFunc(k.executions(a.ID), func(x standin.Execution) bool {
			return x.Service == got.Worker && x.Number == got.Number
		})
		if err != nil || !matches {
			k.report(CompleteAnswer, "%s at %s received %q, which is not the response to this order", a.ID, a.Router, a.Text)
		}
	}
}

// executions returns the recorded executions of an order by the services.
func (k *checker) executions(id string) []standin.Execution {
	var list []standin.Execution
	for _, x := range k.journal.Executions {
		if orderPattern.FindString(x.Body) == id {
			list = append(list, x)
		}
	}
	return list
}

// notRunVerdicts checks that no request ran whose caller received the verdict "not run".
func (k *checker) notRunVerdicts() {
	for _, a := range k.journal.Chats {
		if !refusedNotRun(a) {
			continue
		}
		for _, r := range k.journal.Runs {
			if r.Seed == a.Seed {
				k.report(NotRunVerdict, "%s at %s was refused as not run (%s), but %s ran it", a.ID, a.Router, a.Reason, r.Engine)
			}
		}
	}
	for _, a := range k.journal.Orders {
		if !refusedNotRun(a) {
			continue
		}
		for _, x := range k.executions(a.ID) {
			if x.Key == a.Key {
				k.report(NotRunVerdict, "%s at %s was refused as not run (%s), but %s ran it with the same key", a.ID, a.Router, a.Reason, x.Service)
			}
		}
	}
}

func refusedNotRun(a Attempt) bool {
	return a.Outcome == Refused && a.Verdict == judge.NotRun
}

// atMostOnce checks that no order ran twice.
func (k *checker) atMostOnce() {
	count := map[string]int{}
	for _, x := range k.journal.Executions {
		id := orderPattern.FindString(x.Body)
		if count[id]++; count[id] == 2 {
			k.report(AtMostOnce, "%s ran twice, the second time at %s", id, x.Service)
		}
	}
}

// noWorkToLeaving checks that whatever a leaving upstream started after leavingDelay had been sent to its agent
// before.
func (k *checker) noWorkToLeaving() {
	j := k.journal
	for _, l := range j.Leaving {
		limit := l.From.Add(leavingDelay)
		late := func(started time.Time, id string) bool {
			sent, ok := j.Sent[agentRequest{l.Process, id}]
			return started.After(limit) && l.covers(started) && (!ok || sent.After(limit))
		}
		for _, r := range j.Runs {
			if r.Engine == l.Process && late(r.Started, r.RequestID) {
				k.report(NoWorkToLeaving, "%s started %s %v after it began to leave", l.Process, r.RequestID, r.Started.Sub(l.From))
			}
		}
		for _, x := range j.Executions {
			if id := orderPattern.FindString(x.Body); x.Service == l.Process && late(x.At, id) {
				k.report(NoWorkToLeaving, "%s started %s %v after it began to leave", l.Process, id, x.At.Sub(l.From))
			}
		}
	}
}

// cleanShutdowns checks that a graceful shutdown interrupted no request, unless a fault hit a process on the
// request's path.
func (k *checker) cleanShutdowns() {
	j := k.journal
	for _, s := range j.Stops {
		for _, a := range slices.Concat(j.Chats, j.Orders) {
			interrupted := a.Outcome == Broken && a.Accepted && s.overlaps(a.Ended, a.Ended)
			if interrupted && a.Router == s.Process && !j.hadFault(a.Started, a.Ended, a.Router) {
				k.report(CleanShutdown, "the shutdown of %s interrupted %s", s.Process, a.ID)
			}
		}
		for _, r := range j.Runs {
			interrupted := r.Engine == s.Process && !r.Completed && !r.Crashed && !r.Ended.IsZero() && s.overlaps(r.Ended, r.Ended)
			if interrupted && !k.resumed(r) && !k.faultOnPath(r.Engine, r.Started, r.Ended) {
				k.report(CleanShutdown, "the shutdown of %s interrupted the generation of %s", s.Process, r.RequestID)
			}
		}
		for _, x := range j.Executions {
			if x.Service == s.Process && !x.Answered && s.overlaps(x.At, x.At) && !k.faultOnPath(x.Service, x.At, x.At.Add(orderDelay)) {
				k.report(CleanShutdown, "the shutdown of %s interrupted %s", s.Process, x.Body)
			}
		}
	}
}

// resumed reports whether a run was preempted by a more urgent one and continued later on the same engine.
func (k *checker) resumed(r standin.Run) bool {
	return slices.ContainsFunc(k.journal.Runs, func(o standin.Run) bool {
		return o.Engine == r.Engine && o.RequestID == r.RequestID && o.Started.After(r.Started)
	})
}

// faultOnPath reports whether a fault hit the agent, its upstream or any router between from and to.
func (k *checker) faultOnPath(agent string, from, to time.Time) bool {
	processes := []string{agent, demonstrator.UpstreamEndpoint(agent)}
	for i := range routers {
		processes = append(processes, demonstrator.RouterName(i))
	}
	return k.journal.hadFault(from, to, processes...)
}

// configConvergence checks that every process uses the newest configuration in time, and that none returned to an
// older one.
func (k *checker) configConvergence() {
	j := k.journal
	newest := map[string]Sample{}
	switches := map[string]int{}
	for _, s := range j.Samples {
		before, seen := newest[s.Process]
		if seen && s.Version < before.Version {
			k.report(ConfigConvergence, "%s returned from configuration version %d to %d", s.Process, before.Version, s.Version)
		}
		if seen && s.Version == before.Version && s.Content != before.Content {
			// Of two configurations with one version, every process ends up with the one that compares as higher, so
			// that a process switches at most once.
			if switches[s.Process]++; switches[s.Process] == 2 {
				k.report(ConfigConvergence, "%s returned to the configuration with content %q", s.Process, s.Content)
			}
		}
		newest[s.Process] = s
	}
	if j.Published.IsZero() {
		return
	}
	content, first := "", true
	for _, name := range j.Processes {
		if k.hasStopped(name) {
			continue
		}
		s, seen := newest[name]
		if !seen || s.At.Before(j.convergenceDeadline()) || s.Version != j.Version {
			k.report(ConfigConvergence, "%s uses configuration version %d, want %d within %v of its publication", name, s.Version, j.Version, j.convergenceDeadline().Sub(j.Published))
			continue
		}
		if !first && s.Content != content {
			k.report(ConfigConvergence, "%s uses the configuration with content %q, another process the one with content %q", name, s.Content, content)
		}
		content, first = s.Content, false
	}
}

// hasStopped reports whether a process was shut down gracefully; its configuration is not checked.
func (k *checker) hasStopped(name string) bool {
	return slices.ContainsFunc(k.journal.Stops, func(s Interval) bool { return s.Process == name })
}
