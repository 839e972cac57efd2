package prover

import (
	"sync"
	"time"

	"clementineramp/demonstrator"
	"clementineramp/encoder"
	"clementineramp/judge"
	"clementineramp/standin"
)

// Outcome is how an attempt ended for its caller.
type Outcome string

// The outcomes.
const (
	// Whole is an answer with its closing event, or the answer to an order.
	Whole Outcome = "whole"
	// Refused is an error answer, or an error event in a stream.
	Refused Outcome = "refused"
	// Broken is a connection that broke, or an answer that stopped, without an error answer.
	Broken Outcome = "broken"
	// Unreachable is a connection that could not be opened.
	Unreachable Outcome = "unreachable"
	// GaveUp is a caller that waited for its own time limit.
	GaveUp Outcome = "gave_up"
)

// Attempt is one attempt of a caller, as the caller saw it.
type Attempt struct {
	// Chat or order that the attempt is for.
	ID     string
	Router string
	// Seed tells the attempts at a chat apart at the engines.
	Seed int64
	// Key is the ticket of an order; it is empty for an order without one.
	Key            string
	Started, Ended time.Time
	// Cost is the work of a chat in tokens.
	Cost    float64
	Outcome Outcome
	// Accepted says that the router took the connection from its listener. A connection that still waits when the
	// listener closes is reset by the system, and no process has seen its request.
	Accepted bool
	// Verdict and Reason are those of a refusal.
	Verdict judge.Verdict
	Reason  judge.Reason
	// Text is what the caller got.
	Text string
	// Want holds the complete answers to a chat that each model version gives.
	Want []string
}

// Result is how a chat or order ended after all attempts.
type Result struct {
	ID string
	// Whole says that the caller has the complete answer.
	Whole bool
	// Crashes marks a request that crashes its engine, which may end without an answer.
	Crashes bool
}

// Interval is a time in which something holds for a process, without its end; a zero To means that it never ended.
type Interval struct {
	Process  string
	Fault    Fault
	From, To time.Time
}

func (i Interval) covers(t time.Time) bool {
	return !t.Before(i.From) && (i.To.IsZero() || t.Before(i.To))
}

// overlaps reports whether the interval, here with its end, and the time from one instant to another have an instant in
// common. What a process does last and its end fall on one instant of virtual time.
func (i Interval) overlaps(from, to time.Time) bool {
	return !to.Before(i.From) && (i.To.IsZero() || !from.After(i.To))
}

// Sample is the configuration that a process was seen to act by.
type Sample struct {
	Process string
	At      time.Time
	// Version is the version seen; the configurations that operators race with have the same one and differ in Content.
	Version uint64
	Content string
}

// arrival names a request at an agent.
type arrival struct{ agent, id string }

// connection names the two ends of a connection.
type connection struct{ from, to string }

// Journal is what callers, stand-ins and the network recorded of one cell.
type Journal struct {
	mu sync.Mutex
	// Chats and Orders are the attempts of callers.
	Chats, Orders []Attempt
	Results       []Result
	// Runs and Executions are the records of the engines and services.
	Runs       []standin.Run
	Executions []standin.Execution
	// Sent tells when a router first wrote a request to an agent.
	Sent map[arrival]time.Time
	// Faults, Leaving and Stops tell when a fault hit a process, and when one was leaving or stopping.
	Faults, Leaving, Stops []Interval
	Samples                []Sample
	// Published is when the newest configuration was published, and Version its version; zero means none.
	Published time.Time
	Version   uint64
	// Healed is when the last fault was healed.
	Healed time.Time
	// Engines is the number of engines of the pool, and Bound the load bound that is checked.
	Engines int
	Bound   float64
	// Processes names every process of the fleet.
	Processes []string
	// accepted tells when a process last accepted a connection of another.
	accepted map[connection]time.Time
}

func newJournal() *Journal {
	return &Journal{Sent: map[arrival]time.Time{}, accepted: map[connection]time.Time{}}
}

func (j *Journal) addChat(a Attempt) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.Chats = append(j.Chats, a)
}

func (j *Journal) addOrder(a Attempt) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.Orders = append(j.Orders, a)
}

func (j *Journal) addResult(r Result) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.Results = append(j.Results, r)
}

func (j *Journal) addSample(s Sample) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.Samples = append(j.Samples, s)
}

func (j *Journal) addSent(agent, id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, ok := j.Sent[arrival{agent, id}]; !ok {
		j.Sent[arrival{agent, id}] = time.Now()
	}
}

func (j *Journal) addAccepted(from, to string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.accepted[connection{from, to}] = time.Now()
}

// acceptedSince reports whether a process accepted a connection of another since a time.
func (j *Journal) acceptedSince(from, to string, since time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	t, ok := j.accepted[connection{from, to}]
	return ok && !t.Before(since)
}

// open adds an interval that begins now to a list of the journal.
func (j *Journal) open(list *[]Interval, process string, f Fault) {
	j.mu.Lock()
	defer j.mu.Unlock()
	*list = append(*list, Interval{Process: process, Fault: f, From: time.Now()})
}

// close ends the open intervals of a process in a list of the journal.
func (j *Journal) close(list *[]Interval, process string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i := range *list {
		if l := &(*list)[i]; l.Process == process && l.To.IsZero() {
			l.To = time.Now()
		}
	}
}

func (j *Journal) publish(version uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.Published = time.Now()
	j.Version = max(j.Version, version)
}

// faulty reports whether a fault hit one of the processes within a time.
func (j *Journal) faulty(from, to time.Time, processes ...string) bool {
	for _, i := range j.Faults {
		for _, p := range processes {
			if i.Process == p && i.overlaps(from, to) {
				return true
			}
		}
	}
	return false
}

// answers returns the complete answer of each model version to a chat.
func answers(r encoder.ChatRequest) []string {
	return []string{standin.Answer(r, demonstrator.Version), standin.Answer(r, nextVersion)}
}
