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

// Invariant is one of the properties that must always hold.
type Invariant string

// The invariants, in the order of the design.
const (
	LoadBound     Invariant = "load_bound"
	WholeAnswer   Invariant = "whole_answer"
	TrueNotRun    Invariant = "true_not_run"
	AtMostOnce    Invariant = "at_most_once"
	NoWorkLeaving Invariant = "no_work_to_leaving"
	CleanStop     Invariant = "clean_stop"
	ConfigInForce Invariant = "configuration_in_force"
)

// Violation is a breach of an invariant.
type Violation struct {
	Invariant Invariant
	Text      string
}

// String returns the violation in one line.
func (v Violation) String() string { return string(v.Invariant) + ": " + v.Text }

const (
	// leaveTime is the time after which a leaving upstream gets no new work.
	leaveTime = 3 * time.Second
	// loadLag is how old an agent's knowledge of the other engines may be: an engine that failed counts again after the
	// tracker's wait of 2 s, and its report spreads with gossip each second.
	loadLag = 3 * time.Second
	// sameTime is the distance of two events below which their order is not known.
	sameTime = time.Millisecond
)

// Check checks every invariant on a journal.
func Check(j *Journal) []Violation {
	j.mu.Lock()
	defer j.mu.Unlock()
	k := &checker{journal: j}
	k.loadBound()
	k.wholeChats()
	k.wholeOrders()
	k.trueNotRun()
	k.atMostOnce()
	k.noWorkToLeaving()
	k.cleanStops()
	k.configuration()
	return k.violations
}

type checker struct {
	journal    *Journal
	violations []Violation
}

func (k *checker) report(i Invariant, format string, args ...any) {
	k.violations = append(k.violations, Violation{i, fmt.Sprintf(format, args...)})
}

// loadBound checks the runs at the moment when their engine took them in: an engine with work may carry at most the bound
// times the mean, or be at or below the mean before. The mean is the largest of the time by which knowledge may lag.
func (k *checker) loadBound() {
	for _, group := range k.admissions() {
		first := group[0]
		mean := k.largestMean(first.Started.Add(-loadLag), first.Started)
		work := first.WorkBefore
		for _, r := range group {
			work = min(work, r.WorkBefore)
		}
		slices.SortFunc(group, func(a, b standin.Run) int { return cmp.Compare(a.Work, b.Work) })
		for _, r := range group {
			if work > mean && work+r.Work > k.journal.Bound*mean {
				k.report(LoadBound, "%s carried %.0f tokens with %s, the mean was at most %.0f", r.Engine, work+r.Work, r.RequestID, mean)
			}
			work += r.Work
		}
	}
}

// admissions returns the runs of each engine in groups that the engine took in at the same time. The order in which the
// agent admitted the requests of a group is not known, because they reach the engine over different connections.
func (k *checker) admissions() [][]standin.Run {
	var groups [][]standin.Run
	for _, r := range k.journal.Runs {
		if r.Crashed {
			continue
		}
		same := func(g []standin.Run) bool {
			return g[0].Engine == r.Engine && g[0].Started.Sub(r.Started).Abs() < sameTime
		}
		if at := slices.IndexFunc(groups, same); at >= 0 {
			groups[at] = append(groups[at], r)
		} else {
			groups = append(groups, []standin.Run{r})
		}
	}
	return groups
}

// largestMean returns the largest demand within a time, in tokens, over the least number of engines in service within it.
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
			least = min(least, k.inService(t))
		}
	}
	return largest / float64(max(least, 1))
}

// demand returns the work that runs in engines, and that of attempts whose callers wait and which no engine runs.
func (k *checker) demand(t time.Time) float64 {
	work := 0.0
	running := map[int64]bool{}
	for _, r := range k.journal.Runs {
		// A run that a crash ends at the instant of its start counts at that instant.
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

// inService returns the number of engines that no fault hits at a time and that are not leaving.
func (k *checker) inService(t time.Time) int {
	n := 0
	for i := range k.journal.Engines {
		name := demonstrator.EngineName(i)
		out := k.journal.faulty(t, t, name, demonstrator.UpstreamEndpoint(name))
		for _, l := range k.journal.Leaving {
			out = out || l.Process == name && l.covers(t)
		}
		if !out {
			n++
		}
	}
	return n
}

// wholeChats checks that each answer that ended is the complete answer to its own request, and that no chat lost its answer.
func (k *checker) wholeChats() {
	j := k.journal
	for _, a := range j.Chats {
		if a.Outcome == Whole && !slices.Contains(a.Want, a.Text) {
			k.report(WholeAnswer, "%s at %s got %d bytes that are not its answer", a.ID, a.Router, len(a.Text))
		}
	}
	for _, r := range j.Runs {
		if r.PrefixMismatch {
			k.report(WholeAnswer, "%s was asked to go on with another generation's answer", r.Engine)
		}
	}
	for _, r := range j.Results {
		if !r.Whole && !r.Crashes && !k.isOrder(r.ID) {
			k.report(WholeAnswer, "%s never got its answer: %s", r.ID, k.lastOf(r.ID))
		}
	}
}

func (k *checker) isOrder(id string) bool {
	return orderPattern.MatchString(id)
}

// lastOf describes how the last attempt at a chat ended.
func (k *checker) lastOf(id string) string {
	last := "no attempt"
	for _, a := range k.journal.Chats {
		if a.ID == id {
			last = fmt.Sprintf("the last attempt at %s ended as %s %s", a.Router, a.Outcome, a.Reason)
		}
	}
	return last
}

// serviceAnswer is the answer of the stand-in service.
type serviceAnswer struct {
	Worker string `json:"worker"`
	Number int    `json:"number"`
}

// wholeOrders checks that the answer to an order is the one that the service gave to this order.
func (k *checker) wholeOrders() {
	for _, a := range k.journal.Orders {
		if a.Outcome != Whole {
			continue
		}
		var got serviceAnswer
		err := json.Unmarshal([]byte(a.Text), &got)
		own := slices.ContainsFunc(k.executions(a.ID), func(x standin.Execution) bool {
			return x.Service == got.Worker && x.Number == got.Number
		})
		if err != nil || !own {
			k.report(WholeAnswer, "%s at %s got the answer %q, which is not its own", a.ID, a.Router, a.Text)
		}
	}
}

// executions returns how a service ran an order.
func (k *checker) executions(id string) []standin.Execution {
	var list []standin.Execution
	for _, x := range k.journal.Executions {
		if orderPattern.FindString(x.Body) == id {
			list = append(list, x)
		}
	}
	return list
}

// trueNotRun checks that no upstream ran a request whose caller got the verdict not_run.
func (k *checker) trueNotRun() {
	for _, a := range k.journal.Chats {
		if !saysNotRun(a) {
			continue
		}
		for _, r := range k.journal.Runs {
			if r.Seed == a.Seed {
				k.report(TrueNotRun, "%s at %s got the verdict not_run (%s), but %s ran it", a.ID, a.Router, a.Reason, r.Engine)
			}
		}
	}
	for _, a := range k.journal.Orders {
		if !saysNotRun(a) {
			continue
		}
		for _, x := range k.executions(a.ID) {
			if x.Key == a.Key {
				k.report(TrueNotRun, "%s at %s got the verdict not_run (%s), but %s ran its key", a.ID, a.Router, a.Reason, x.Service)
			}
		}
	}
}

func saysNotRun(a Attempt) bool {
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

// noWorkToLeaving checks that what a leaving upstream started was sent to its agent in time.
func (k *checker) noWorkToLeaving() {
	j := k.journal
	for _, l := range j.Leaving {
		limit := l.From.Add(leaveTime)
		late := func(started time.Time, id string) bool {
			sent, ok := j.Sent[arrival{l.Process, id}]
			return started.After(limit) && l.covers(started) && (!ok || sent.After(limit))
		}
		for _, r := range j.Runs {
			if r.Engine == l.Process && late(r.Started, r.RequestID) {
				k.report(NoWorkLeaving, "%s took %s %v after it began to leave", l.Process, r.RequestID, r.Started.Sub(l.From))
			}
		}
		for _, x := range j.Executions {
			if id := orderPattern.FindString(x.Body); x.Service == l.Process && late(x.At, id) {
				k.report(NoWorkLeaving, "%s took %s %v after it began to leave", l.Process, id, x.At.Sub(l.From))
			}
		}
	}
}

// cleanStops checks that a planned stop cut no request, unless a fault hit the processes on the request's way.
func (k *checker) cleanStops() {
	j := k.journal
	for _, s := range j.Stops {
		for _, a := range slices.Concat(j.Chats, j.Orders) {
			cut := a.Outcome == Broken && a.Accepted && s.overlaps(a.Ended, a.Ended)
			if cut && a.Router == s.Process && !j.faulty(a.Started, a.Ended, a.Router) {
				k.report(CleanStop, "the stop of %s cut %s", s.Process, a.ID)
			}
		}
		for _, r := range j.Runs {
			cut := r.Engine == s.Process && !r.Completed && !r.Crashed && !r.Ended.IsZero() && s.overlaps(r.Ended, r.Ended)
			if cut && !k.resumed(r) && !k.faultOnWay(r.Engine, r.Started, r.Ended) {
				k.report(CleanStop, "the stop of %s cut the generation of %s", s.Process, r.RequestID)
			}
		}
		for _, x := range j.Executions {
			if x.Service == s.Process && !x.Answered && s.overlaps(x.At, x.At) && !k.faultOnWay(x.Service, x.At, x.At.Add(orderTime)) {
				k.report(CleanStop, "the stop of %s cut %s", s.Process, x.Body)
			}
		}
	}
}

// resumed reports whether a run was paused for a more urgent one and went on later at the same engine.
func (k *checker) resumed(r standin.Run) bool {
	return slices.ContainsFunc(k.journal.Runs, func(o standin.Run) bool {
		return o.Engine == r.Engine && o.RequestID == r.RequestID && o.Started.After(r.Started)
	})
}

func (k *checker) faultOnWay(agent string, from, to time.Time) bool {
	on := []string{agent, demonstrator.UpstreamEndpoint(agent)}
	for i := range routers {
		on = append(on, demonstrator.RouterName(i))
	}
	return k.journal.faulty(from, to, on...)
}

// configuration checks that the newest configuration is in force everywhere in time, and that none went back.
func (k *checker) configuration() {
	j := k.journal
	newest := map[string]Sample{}
	switches := map[string]int{}
	for _, s := range j.Samples {
		before, seen := newest[s.Process]
		if seen && s.Version < before.Version {
			k.report(ConfigInForce, "%s went back from version %d to %d", s.Process, before.Version, s.Version)
		}
		if seen && s.Version == before.Version && s.Content != before.Content {
			// Of two configurations with the same version the one with the higher ID wins, so that a process changes over at
			// most once.
			if switches[s.Process]++; switches[s.Process] == 2 {
				k.report(ConfigInForce, "%s went back to the configuration with %s", s.Process, s.Content)
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
		if !seen || s.At.Before(j.due()) || s.Version != j.Version {
			k.report(ConfigInForce, "%s has version %d, want %d %v after its publication", name, s.Version, j.Version, j.due().Sub(j.Published))
			continue
		}
		if !first && s.Content != content {
			k.report(ConfigInForce, "%s has the configuration with %q, another process the one with %q", name, s.Content, content)
		}
		content, first = s.Content, false
	}
}

// hasStopped reports whether a process stopped on plan, after which its configuration does not count.
func (k *checker) hasStopped(name string) bool {
	return slices.ContainsFunc(k.journal.Stops, func(s Interval) bool { return s.Process == name })
}
